/** @file event_log.h Interface for structured log lines, for modules that don't depend on the logging library. */
#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <initializer_list>
#include <string>

/** One field of a log line. */
struct EventField {
	const char *key;   ///< Name.
	std::string value; ///< Value.
};

/** Receiver of log lines; never blocks. */
class EventLog {
public:
	virtual ~EventLog() = default;

	/**
	 * Writes a line. Lines of one kind may be dropped when there are too many; their number is logged later.
	 * @param event Name of the event; the kind of the line.
	 * @param fields Fields of the line: the decision and its inputs.
	 */
	virtual void Write(const char *event, std::initializer_list<EventField> fields) = 0;
	/**
	 * Writes a line about a lasting task. Such lines are few and have a limit of their own, so that lines about
	 * other tasks don't displace them.
	 * @param event Name of the event; the kind of the line.
	 * @param fields Fields of the line: the decision and its inputs.
	 */
	virtual void WriteLasting(const char *event, std::initializer_list<EventField> fields)
	{
		this->Write(event, fields);
	}
};

/** Discards all lines; for tests and benchmarks. */
class NullEventLog : public EventLog {
public:
	void Write(const char *, std::initializer_list<EventField>) override {}
};

#endif /* EVENT_LOG_H */
