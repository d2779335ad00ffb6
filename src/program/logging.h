/** @file logging.h Structured log lines of key=value fields, by easylogging++. Changes of state are logged; frequent
 * events are counted instead. */
#ifndef LOGGING_H
#define LOGGING_H

#include <initializer_list>
#include <span>
#include <string>

/** One field of a log line. */
struct LogField {
	const char *key;   ///< Name.
	std::string value; ///< Value; quoted when it holds blanks.
};

/** Severity of a log line. */
enum class LogLevel : unsigned char {
	LL_DEBUG = 0,   ///< For developers.
	LL_INFO = 1,    ///< A change of state.
	LL_WARNING = 2, ///< A condition that an operator should know about.
	LL_ERROR = 3,   ///< A condition that requires an operator to act.
};

/**
 * Sets up logging. Called before other threads start.
 * @param program Name of the program, written on every line.
 * @param level Lowest severity that is written: "debug", "info", "warning" or "error".
 * @return False when the level is none of these.
 */
bool SetUpLogging(const std::string &program, const std::string &level);

/**
 * Writes a log line to standard output.
 * @param level Severity.
 * @param event Name of the event, one word.
 * @param fields Fields of the line.
 */
void LogEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields);

/**
 * Writes a log line to standard output.
 * @param level Severity.
 * @param event Name of the event, one word.
 * @param fields Fields of the line.
 */
void LogEvent(LogLevel level, const char *event, std::span<const LogField> fields);

#endif /* LOGGING_H */
