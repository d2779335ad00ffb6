/** @file incarnation_tracker.h Which lives of boxes have ended, by what the machines' control lists. */
#ifndef INCARNATION_TRACKER_H
#define INCARNATION_TRACKER_H

#include "../jobs/shard_type.h"
#include "machine_control.h"

#include <map>
#include <set>

/**
 * Compares each list of machines with the one before it. A box that has crashed is away for seconds, and until it is
 * back, or its lease has lapsed, its owner can't know that nothing runs there any more. A list that was asked for later
 * tells it at once: a machine that is down runs nothing. The list names agents by their ids alone, and an agent may
 * start again under its id: so only the life that its owner knew before the list was asked for is told to have ended.
 */
class IncarnationTracker {
public:
	/** Takes the lives that owners know, before the next list is asked for. @param pools As they have told. */
	void RecordKnown(const std::map<ServiceName, PoolStatus> &pools);
	/** Takes a list. @param rows The machines, asked for after the list before was answered. @param now The time.
	 * @return Pools of the lives that have ended since. */
	std::set<ServiceName> Update(const std::vector<MachineRow> &rows, Millis now);
	/** @return Lives of a pool that have ended lately. @param pool The pool. */
	[[nodiscard]] std::set<BoxIncarnation> EndedIn(const ServiceName &pool) const;

private:
	/** An agent that was listed. */
	struct Listed {
		BoxId id;         ///< Its id.
		ServiceName pool; ///< Pool that its machine was in.
	};

	/** A life that has ended. */
	struct Ended {
		BoxIncarnation incarnation; ///< It.
		ServiceName pool;           ///< Pool that its machine was in.
		Millis at;                  ///< When it was first missed.
	};

	std::map<BoxName, Listed> last; ///< Agent listed last, by machine.
	std::map<BoxId, BoxIncarnation>
			known;            ///< Newest lives that owners have told of before the last list was asked for.
	std::vector<Ended> ended; ///< Lives that have ended lately.
};

#endif /* INCARNATION_TRACKER_H */
