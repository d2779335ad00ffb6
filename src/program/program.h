/** @file program.h What every server program does: command line, settings, logging, signals, state dump. */
#ifndef PROGRAM_H
#define PROGRAM_H

#include "settings.h"

#include <docopt/docopt.h>

#include <QHttpServer>
#include <QJsonObject>

#include <functional>
#include <memory>
#include <optional>

/** Exit codes of all programs; docs/errors.md has them too. */
enum class ExitCode : int {
	EC_OK = 0,       ///< Done.
	EC_FAILED = 1,   ///< The operation was refused or failed.
	EC_USAGE = 2,    ///< The command line is wrong.
	EC_SETTINGS = 3, ///< The settings are wrong.
	EC_ADDRESS = 4,  ///< An address can't be listened on.
	EC_UNKNOWN = 5,  ///< The outcome is unknown; ask again.
};

/** A server, as the main program drives it. */
class Server {
public:
	virtual ~Server() = default;

	/** @return Whether all addresses could be listened on. */
	virtual bool Start() = 0;

	/**
	 * A planned stop was asked for.
	 * @param done Called when the process may end.
	 */
	virtual void Stop(std::function<void()> done) = 0;

	/** The settings were read anew, on SIGHUP. @param now They are valid. */
	virtual void Reload(const Settings &) {}

	/** @return The state, for the dump. */
	[[nodiscard]] virtual QJsonObject Dump() const = 0;

	/** @return Whether the balancer should send callers here. */
	[[nodiscard]] virtual bool Healthy() const { return true; }
};

/** What makes up a server program. */
struct ProgramSpec {
	const char *name;                                              ///< Its name.
	const char *purpose;                                           ///< What it does, in a line.
	std::span<const SettingSpec> table;                            ///< Its settings.
	std::function<std::unique_ptr<Server>(const Settings &)> make; ///< Makes the server.
};

/**
 * Runs a server program: reads the command line and settings, starts, serves until SIGTERM or SIGINT, stops as
 * planned. SIGUSR1 writes the state dump to standard output.
 * @param argc As main() gets it.
 * @param argv As main() gets it.
 * @param spec The program.
 * @return Exit code.
 */
int RunProgram(int argc, char **argv, const ProgramSpec &spec);

using ParsedArguments = std::map<std::string, docopt::value>; ///< Command line, by docopt.

/**
 * Reads a command line; prints help, version or what is wrong.
 * @param usage Usage text for docopt.
 * @param name Name of the program.
 * @param argc As main() gets it.
 * @param argv As main() gets it.
 * @param[out] args What was given.
 * @return Exit code when the program is to end, else nothing.
 */
std::optional<int> ParseArguments(const std::string &usage, const char *name, int argc, char **argv,
								  ParsedArguments &args);

/** The page for operators: GET /dump, /health. By Qt's HTTP server, with synchronous handlers only. */
class StatusPage {
public:
	/**
	 * @param server Whose state it shows; outlives this.
	 */
	explicit StatusPage(const Server &server);

	/**
	 * Begins to listen.
	 * @param address Where.
	 * @return Whether it listens.
	 */
	bool Listen(const NetAddress &address);

private:
	QHttpServer http; ///< Qt's server.
};

/**
 * Gives the main thread an event loop over epoll, and other threads Qt's own one rather than GLib's, which takes more
 * time per event. Called before any Qt object is made.
 */
void UseEpollEventLoop();

/**
 * Reads a file.
 * @param name Its name; "-" for standard input.
 * @param[out] text Its text.
 * @return Whether it could be read.
 */
bool ReadTextFile(const std::string &name, std::string &text);

#endif /* PROGRAM_H */
