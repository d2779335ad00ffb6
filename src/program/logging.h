/** @file logging.h Structured log lines, key=value, by easylogging++. Lines tell of changes of state; counters tell the
 * rest. */
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

/** Weight of a log line. */
enum class LogLevel : unsigned char {
	LL_DEBUG = 0,   ///< For developers.
	LL_INFO = 1,    ///< A change of state.
	LL_WARNING = 2, ///< Something that an operator should know.
	LL_ERROR = 3,   ///< Something that an operator must act on.
};

/**
 * Sets logging up.
 * @param program Name of the program, on every line.
 * @param level "debug", "info", "warning" or "error": the least that is written.
 * @return False when the level is none of these.
 */
bool SetUpLogging(const std::string &program, const std::string &level);

/**
 * Writes a line to standard error.
 * @param level Its weight.
 * @param event What happened, as a word.
 * @param fields The particulars.
 */
void LogEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields);

/**
 * Writes a line, as above.
 * @param level Weight.
 * @param event What happened, one word.
 * @param fields Its fields.
 */
void LogEvent(LogLevel level, const char *event, std::span<const LogField> fields);

#endif /* LOGGING_H */
