/** @file event_log.h Where modules without transport write their decisions: one structured line each. */
#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <initializer_list>
#include <string>

/** One field of a line. */
struct EventField {
	const char *key;   ///< Name.
	std::string value; ///< Value.
};

/** Takes lines; never blocks. */
class EventLog {
public:
	virtual ~EventLog() = default;

	/**
	 * Writes a line. Lines of one kind may be left out when there are too many; their number is told later.
	 * @param event Kind of line.
	 * @param fields Its fields: what was decided, and on which inputs.
	 */
	virtual void Write(const char *event, std::initializer_list<EventField> fields) = 0;
};

/** Drops all lines; for tests and benches. */
class NullEventLog : public EventLog {
public:
	void Write(const char *, std::initializer_list<EventField>) override {}
};

#endif /* EVENT_LOG_H */
