/** @file program.cpp Common parts of all server programs. */
#include "program.h"

#include "../net/epoll_dispatcher.h"
#include "logging.h"

#include <QCoreApplication>
#include <QHttpServerResponse>
#include <QJsonDocument>
#include <QSocketNotifier>

#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

std::array<int, 2> _signal_pipe = {-1, -1}; ///< Self-pipe; carries each signal number as one byte.

/** Signal handler: writes the signal number to the pipe. */
void OnSignal(int number)
{
	const auto byte = static_cast<char>(number);
	[[maybe_unused]] const ssize_t n = write(_signal_pipe[1], &byte, 1);
}

/**
 * Usage text for docopt.
 * @param spec The program.
 * @return The text.
 */
std::string UsageOf(const ProgramSpec &spec)
{
	const std::string name = spec.name;
	return name + ": " + spec.purpose + "\n\nUsage:\n  " + name + " --settings FILE [--check] [--log-level LEVEL]\n  " +
		   name + " (-h | --help)\n  " + name +
		   " --version\n\nOptions:\n  --settings FILE     Settings in YAML.\n  --check             Validate the "
		   "settings and "
		   "exit.\n  --log-level LEVEL   debug, info, warning or error [default: info].\n  -h --help           Show "
		   "this.\n  --version           Show the version.\n\nSettings in the file:\n" +
		   DescribeSettings(spec.table);
}

/** Runs a server until a signal stops it. */
class Runner {
public:
	Runner(QCoreApplication &app, Server &server, const ProgramSpec &spec, std::string file)
			: app(app), server(server), spec(spec), file(std::move(file))
	{
	}

	int Run()
	{
		if (pipe(_signal_pipe.data()) != 0) {
			return static_cast<int>(ExitCode::EC_FAILED);
		}
		QSocketNotifier notifier(_signal_pipe[0], QSocketNotifier::Read);
		QObject::connect(&notifier, &QSocketNotifier::activated, &notifier, [this] { this->OnSignalByte(); });
		for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) {
			std::signal(number, OnSignal);
		}
		std::signal(SIGPIPE, SIG_IGN);
		if (!this->server.Start()) {
			LogEvent(LogLevel::LL_ERROR, "listen_failed", {});
			return static_cast<int>(ExitCode::EC_ADDRESS);
		}
		LogEvent(LogLevel::LL_INFO, "started", {{"version", GLADE_VERSION}});
		return QCoreApplication::exec();
	}

private:
	QCoreApplication &app;   ///< The application.
	Server &server;          ///< The server.
	const ProgramSpec &spec; ///< The program.
	std::string file;        ///< Name of the settings file.
	bool stopping = false;   ///< Whether a graceful stop is in progress.

	void Reload()
	{
		std::string text;
		if (!ReadTextFile(this->file, text)) {
			LogEvent(LogLevel::LL_WARNING, "reload_failed", {{"file", this->file}, {"why", "can't be read"}});
			return;
		}
		const SettingsFile settings = ReadSettings(this->file, text, this->spec.table);
		if (!settings.result.Ok()) {
			LogEvent(LogLevel::LL_WARNING, "reload_failed", {{"file", this->file}, {"why", settings.result.Text()}});
			return;
		}
		this->server.Reload(settings.settings);
	}

	void OnSignalByte()
	{
		char byte = 0;
		if (read(_signal_pipe[0], &byte, 1) != 1) {
			return;
		}
		if (byte == SIGUSR1) {
			std::cout << QJsonDocument(this->server.Dump()).toJson(QJsonDocument::Compact).toStdString() << std::endl;
			return;
		}
		if (byte == SIGHUP) {
			this->Reload();
			return;
		}
		if (this->stopping) {
			return;
		}
		this->stopping = true;
		LogEvent(LogLevel::LL_INFO, "stopping", {});
		this->server.Stop([this] {
			LogEvent(LogLevel::LL_INFO, "stopped", {});
			this->app.quit();
		});
	}
};

} // namespace

void UseEpollEventLoop()
{
	/* Qt's own event loop takes less time per event than GLib's; it serves the threads other than the main one. */
	qputenv("QT_NO_GLIB", "1");
	QCoreApplication::setEventDispatcher(new EpollDispatcher);
}

bool ReadTextFile(const std::string &name, std::string &text)
{
	std::ostringstream out;
	if (name == "-") {
		out << std::cin.rdbuf();
	} else {
		std::ifstream in(name);
		if (!in) {
			return false;
		}
		out << in.rdbuf();
	}
	text = out.str();
	return true;
}

std::optional<int> ParseArguments(const std::string &usage, const char *name, int argc, char **argv,
								  ParsedArguments &args)
{
	try {
		args = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
		return std::nullopt;
	} catch (const docopt::DocoptExitHelp &) {
		std::cout << usage;
		return static_cast<int>(ExitCode::EC_OK);
	} catch (const docopt::DocoptExitVersion &) {
		std::cout << name << ' ' << GLADE_VERSION << '\n';
		return static_cast<int>(ExitCode::EC_OK);
	} catch (const std::exception &e) {
		std::cerr << Result{ResultCode::RC_USAGE, e.what()}.Text() << "\n" << name << " --help shows the usage.\n";
		return static_cast<int>(ExitCode::EC_USAGE);
	}
}

int RunProgram(int argc, char **argv, const ProgramSpec &spec)
{
	ParsedArguments args;
	if (const std::optional<int> exit_code = ParseArguments(UsageOf(spec), spec.name, argc, argv, args); exit_code) {
		return *exit_code;
	}
	if (!SetUpLogging(spec.name, args["--log-level"].asString())) {
		std::cerr << Result{ResultCode::RC_USAGE, "--log-level: expected debug, info, warning or error"}.Text() << '\n';
		return static_cast<int>(ExitCode::EC_USAGE);
	}
	const std::string file = args["--settings"].asString();
	std::string text;
	if (!ReadTextFile(file, text)) {
		std::cerr << Result{ResultCode::RC_SETTINGS, file + ": can't be read"}.Text() << '\n';
		return static_cast<int>(ExitCode::EC_SETTINGS);
	}
	const SettingsFile settings = ReadSettings(file, text, spec.table);
	if (!settings.result.Ok()) {
		std::cerr << settings.result.Text() << '\n';
		return static_cast<int>(ExitCode::EC_SETTINGS);
	}
	if (args["--check"].asBool()) {
		std::cout << file << ": valid\n";
		return static_cast<int>(ExitCode::EC_OK);
	}
	UseEpollEventLoop();
	QCoreApplication app(argc, argv);
	const std::unique_ptr<Server> server = spec.make(settings.settings);
	return Runner(app, *server, spec, file).Run();
}

StatusPage::StatusPage(const Server &server)
{
	this->http.route("/dump", [&server] {
		return QHttpServerResponse("application/json", QJsonDocument(server.Dump()).toJson(QJsonDocument::Compact));
	});
	this->http.route("/health", [&server] {
		return server.Healthy() ? QHttpServerResponse("text/plain", "ok\n")
								: QHttpServerResponse("text/plain", "leaving\n",
													  QHttpServerResponder::StatusCode::ServiceUnavailable);
	});
}

bool StatusPage::Listen(const NetAddress &address)
{
	return this->http.listen(address.ip, address.port) != 0;
}
