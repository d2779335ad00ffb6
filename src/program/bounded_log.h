/** @file bounded_log.h Event log with a rate limit for each kind of line. */
#ifndef BOUNDED_LOG_H
#define BOUNDED_LOG_H

#include "../event_log.h"
#include "../scheduler_type.h"

#include <map>
#include <string_view>

/** Writes lines with LogEvent(), a limited number per second of each kind, and logs how many it dropped. */
class RateLimitedLog : public EventLog {
public:
	/**
	 * @param scheduler Clock; outlives this.
	 * @param per_second Maximum number of lines of one kind per second.
	 */
	RateLimitedLog(Scheduler &scheduler, uint32_t per_second) : scheduler(scheduler), per_second(per_second) {}

	void Write(const char *event, std::initializer_list<EventField> fields) override;
	void WriteLasting(const char *event, std::initializer_list<EventField> fields) override;

	/** @return Number of lines dropped so far. */
	[[nodiscard]] uint64_t DroppedLines() const { return this->dropped; }

private:
	/** Counts of lines of one kind within one second. */
	struct Window {
		int64_t second = -1;  ///< The second, by the scheduler's clock.
		uint32_t written = 0; ///< Number of lines written.
		uint32_t omitted = 0; ///< Number of lines dropped.
	};

	/** Current window of each kind of line. */
	using Windows = std::map<std::string, Window, std::less<>>;

	Scheduler &scheduler;    ///< Clock.
	uint32_t per_second;     ///< Maximum number of lines of one kind per second.
	uint64_t dropped = 0;    ///< Number of lines of all kinds dropped so far.
	Windows windows;         ///< Windows of lines written with Write().
	Windows lasting_windows; ///< Windows of lines written with WriteLasting().

	/** Writes a line unless its window is full. @param kinds Windows to which it belongs. @param limit Maximum number
	 * of lines of one kind per second. @param event Kind of the line. @param fields Its fields. */
	void WriteWithin(Windows &kinds, uint32_t limit, const char *event, std::initializer_list<EventField> fields);
};

#endif /* BOUNDED_LOG_H */
