/** @file program.h Common parts of all server programs: command line, settings, logging, signals, state dump. */
#ifndef PROGRAM_H
#define PROGRAM_H

#include "settings.h"

#include <docopt/docopt.h>

#include <QHttpServer>
#include <QJsonObject>

#include <functional>
#include <memory>
#include <optional>

/** Exit codes of all programs, documented in docs/errors.md. */
enum class ExitCode : int {
	EC_OK = 0,       ///< Success.
	EC_FAILED = 1,   ///< The operation was rejected or failed.
	EC_USAGE = 2,    ///< The command line is not valid.
	EC_SETTINGS = 3, ///< The settings are not valid.
	EC_ADDRESS = 4,  ///< An address can't be listened on, or a process doesn't answer.
	EC_UNKNOWN = 5,  ///< The outcome is not known yet; it can be queried later.
};

/** Interface of a server process to RunProgram(). */
class Server {
public:
	virtual ~Server() = default;

	/** Starts the server. @return Whether it listens on all its addresses. */
	virtual bool Start() = 0;

	/**
	 * Starts a graceful stop.
	 * @param done Called when the process may exit.
	 */
	virtual void Stop(std::function<void()> done) = 0;

	/** Called with valid settings after SIGHUP has made the program read them again. */
	virtual void Reload(const Settings &) {}

	/** @return The state for the dump. */
	[[nodiscard]] virtual QJsonObject Dump() const = 0;

	/** @return Whether the load balancer should route callers to this process. */
	[[nodiscard]] virtual bool Healthy() const { return true; }
};

/** Description of a server program. */
struct ProgramSpec {
	const char *name;                                              ///< Name of the program.
	const char *purpose;                                           ///< One-line description for the usage text.
	std::span<const SettingSpec> table;                            ///< Settings table.
	std::function<std::unique_ptr<Server>(const Settings &)> make; ///< Creates the server.
};

/**
 * Runs a server program: reads the command line and the settings, then serves until SIGTERM or SIGINT requests a
 * graceful stop. SIGHUP reloads the settings; SIGUSR1 writes the state dump to standard output.
 * @param argc Number of arguments, from main().
 * @param argv Arguments, from main().
 * @param spec The program.
 * @return Exit code.
 */
int RunProgram(int argc, char **argv, const ProgramSpec &spec);

using ParsedArguments = std::map<std::string, docopt::value>; ///< Command line as parsed by docopt.

/**
 * Parses a command line; prints the help, the version or an error.
 * @param usage Usage text for docopt.
 * @param name Name of the program.
 * @param argc Number of arguments, from main().
 * @param argv Arguments, from main().
 * @param[out] args The parsed arguments.
 * @return Exit code when the program must exit, else std::nullopt.
 */
std::optional<int> ParseArguments(const std::string &usage, const char *name, int argc, char **argv,
								  ParsedArguments &args);

/** HTTP status page for operators: GET /dump and /health. Uses Qt's HTTP server with synchronous handlers only. */
class StatusPage {
public:
	/**
	 * @param server The server whose state is shown; outlives this.
	 */
	explicit StatusPage(const Server &server);

	/**
	 * Starts to listen.
	 * @param address Address to listen on.
	 * @return Whether it succeeded.
	 */
	bool Listen(const NetAddress &address);

private:
	QHttpServer http; ///< Qt's server.
};

/**
 * Sets an epoll event loop for the main thread, and Qt's own event loop for other threads instead of GLib's, which
 * takes more time per event. Must be called before any Qt object is created.
 */
void UseEpollEventLoop();

/**
 * Reads a text file.
 * @param name Name of the file; "-" for standard input.
 * @param[out] text Content of the file.
 * @return Whether it could be read.
 */
bool ReadTextFile(const std::string &name, std::string &text);

#endif /* PROGRAM_H */
