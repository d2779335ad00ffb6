/** @file refusal_log.h Refused callers, counted by reason and client account: a line a second for each, not one a call.
 */
#ifndef REFUSAL_LOG_H
#define REFUSAL_LOG_H

#include "../error_type.h"
#include "../event_log.h"
#include "../scheduler_type.h"
#include "../strong_type.h"

#include <map>
#include <memory>

/** Counts refusals and writes them. */
class RefusalLog {
public:
	/** @param scheduler Clock and timers. @param events Lines; outlives this. */
	RefusalLog(Scheduler &scheduler, EventLog &events) : scheduler(scheduler), events(events) {}

	/** Counts one. @param code Why. @param account Whose caller; empty when that isn't known. @param version Version of
	 * the configuration that decided. @param age Time since that was known to be the newest. */
	void Count(ResultCode code, const AccountName &account, uint64_t version, Millis age);

	/** @return Refusals so far, by reason. */
	[[nodiscard]] const std::map<ResultCode, uint64_t> &Totals() const { return this->totals; }

private:
	/** Refusals of one kind since the last lines. */
	struct Row {
		uint64_t count = 0;   ///< How many.
		uint64_t version = 0; ///< Configuration at the last one,
		Millis age;           ///< and its age.
	};

	Scheduler &scheduler;                                       ///< Clock and timers.
	EventLog &events;                                           ///< Lines.
	std::map<std::pair<ResultCode, AccountName>, Row> rows;     ///< Since the last lines; accounts are few.
	std::map<ResultCode, uint64_t> totals;                      ///< For Totals().
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void Write();
};

#endif /* REFUSAL_LOG_H */
