/** @file bounded_log.h Lines of decisions, bounded in volume: a rate for each kind of line. */
#ifndef BOUNDED_LOG_H
#define BOUNDED_LOG_H

#include "../event_log.h"
#include "../scheduler_type.h"

#include <map>
#include <string_view>

/** Writes lines by LogEvent(), at most so many a second of each kind, and tells how many it left out. */
class RateLimitedLog : public EventLog {
public:
	/**
	 * @param scheduler Clock.
	 * @param per_second Lines of one kind written within a second.
	 */
	RateLimitedLog(Scheduler &scheduler, uint32_t per_second) : scheduler(scheduler), per_second(per_second) {}

	void Write(const char *event, std::initializer_list<EventField> fields) override;

	/** @return Lines left out so far. */
	[[nodiscard]] uint64_t DroppedLines() const { return this->left_out; }

private:
	/** Lines of one kind within the current second. */
	struct Window {
		int64_t second = -1;  ///< Which second of the steady clock.
		uint32_t written = 0; ///< Lines written.
		uint32_t omitted = 0; ///< Lines left out.
	};

	Scheduler &scheduler;                               ///< Clock.
	uint32_t per_second;                                ///< Lines of one kind within a second.
	uint64_t left_out = 0;                              ///< For DroppedLines().
	std::map<std::string, Window, std::less<>> windows; ///< By kind.
};

#endif /* BOUNDED_LOG_H */
