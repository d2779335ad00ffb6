/** @file refusal_log.h Log of refused callers: a line per second for each reason and client account. */
#ifndef REFUSAL_LOG_H
#define REFUSAL_LOG_H

#include "../error_type.h"
#include "../event_log.h"
#include "../scheduler_type.h"
#include "../strong_type.h"

#include <map>
#include <memory>

/** Counts refusals by reason and account, and logs the counts. */
class RefusalLog {
public:
	/** @param scheduler Clock and timers. @param events Event log; must outlive this. */
	RefusalLog(Scheduler &scheduler, EventLog &events) : scheduler(scheduler), events(events) {}

	/** Counts a refusal. @param code Reason. @param account Account of the caller; empty when unknown. @param version
	 * Version of the configuration used. @param age Time since that configuration was last known to be the newest. */
	void Count(ResultCode code, const AccountName &account, uint64_t version, Millis age);

	/** @return Number of refusals so far, by reason. */
	[[nodiscard]] const std::map<ResultCode, uint64_t> &Totals() const { return this->totals; }

private:
	/** Refusals of one reason and account since the last write. */
	struct Row {
		uint64_t count = 0;   ///< Number of refusals.
		uint64_t version = 0; ///< Configuration version at the last refusal.
		Millis age;           ///< Age of that configuration at the last refusal.
	};

	Scheduler &scheduler;                                       ///< Clock and timers.
	EventLog &events;                                           ///< Event log.
	std::map<std::pair<ResultCode, AccountName>, Row> rows;     ///< Refusals since the last write; accounts are few.
	std::map<ResultCode, uint64_t> totals;                      ///< See Totals().
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	void Write();
};

#endif /* REFUSAL_LOG_H */
