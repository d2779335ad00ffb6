/** @file incarnation_tracker.h Finds out which incarnations of boxes have ended, from the lists of machine control. */
#ifndef INCARNATION_TRACKER_H
#define INCARNATION_TRACKER_H

#include "../jobs/shard_type.h"
#include "machine_control.h"

#include <map>
#include <set>

/**
 * Compares each list of machines with the one before it. A crashed box takes seconds to return, and until it is back or
 * its lease has expired, the owner of its pool can't know that nothing runs there any more. The next list shows it: a
 * machine that is down runs nothing. The list names agents by id only, and an agent may restart under the same id. So
 * only the incarnation that the pool's owner knew before the list was requested is reported as ended.
 */
class IncarnationTracker {
public:
	/** Records the incarnations that owners of pools know, before the next list is requested. @param pools Status of
	 * the pools, as their owners reported it. */
	void RecordKnown(const std::map<ServiceName, PoolStatus> &pools);
	/** Compares a new list with the one before. @param rows The machines, requested after the list before was answered.
	 * @param now Current time. @return Pools with incarnations that have ended since. */
	std::set<ServiceName> Update(const std::vector<MachineRow> &rows, Millis now);
	/** @return Incarnations of a pool that have ended recently. @param pool Name of the pool. */
	[[nodiscard]] std::set<BoxIncarnation> EndedIn(const ServiceName &pool) const;

private:
	/** An agent as last listed. */
	struct ListedAgent {
		BoxId id;         ///< Its id.
		ServiceName pool; ///< Pool that its machine was in.
	};

	/** An incarnation that has ended. */
	struct EndedIncarnation {
		BoxIncarnation incarnation; ///< The incarnation.
		ServiceName pool;           ///< Pool that its machine was in.
		Millis missed_at;           ///< When it was first found missing.
	};

	std::map<BoxName, ListedAgent> last_listed; ///< Agent last listed, by machine.
	/** Newest incarnations that owners had reported before the last list was requested. */
	std::map<BoxId, BoxIncarnation> known_incarnations;
	std::vector<EndedIncarnation> recently_ended; ///< Incarnations that have ended recently.
};

#endif /* INCARNATION_TRACKER_H */
