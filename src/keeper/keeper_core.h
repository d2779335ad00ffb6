/** @file keeper_core.h What the parts of a keeper share: identity, log, writer, state, platform. */
#ifndef KEEPER_CORE_H
#define KEEPER_CORE_H

#include "../log/log_tail.h"
#include "../log/log_writer.h"
#include "../platform_type.h"

/** Times of a keeper. */
struct KeeperTimes {
	Millis lease = Millis(2000);           ///< Lease on the view of an entry.
	Millis fresh = Millis(1500);           ///< The log must have answered within this time for a lease to be given.
	Millis lapse = Millis(6000);           ///< Silence after which an entry or keeper has lapsed.
	Millis plan_tick = Millis(500);        ///< Between two planning steps.
	Millis list_tick = Millis(1000);       ///< Between two looks at the list of boxes.
	Millis planner_silence = Millis(6000); ///< Silence after which a planner may be replaced.
	Millis snapshot_age = Millis(6 * MS_PER_HOUR); ///< Age of the newest snapshot after which another is written.
	uint64_t snapshot_records = 2000;              ///< Records after which a snapshot is written.
};

/** Who a keeper is. */
struct KeeperIdentity {
	MemberName name;         ///< Its name.
	RegionName region;       ///< Its region.
	ZoneName zone;           ///< Its zone.
	std::string address;     ///< IP:port of its frames.
	Incarnation incarnation; ///< Its start.
};

/** Counters of a keeper. */
struct KeeperCounters {
	uint64_t accepted = 0;       ///< Proposals of all writers that the fold accepted.
	uint64_t rejected = 0;       ///< Proposals that it rejected.
	uint64_t plans = 0;          ///< Planning steps.
	uint64_t plan_us = 0;        ///< Time spent in them.
	uint64_t terms = 0;          ///< Planning terms taken.
	uint64_t snapshots = 0;      ///< Snapshots written.
	uint64_t reboots = 0;        ///< Reboots ordered.
	uint64_t views = 0;          ///< Views sent.
	uint64_t view_bytes = 0;     ///< Bytes of frames sent and received.
	uint64_t leases = 0;         ///< Leases given.
	uint64_t leases_refused = 0; ///< Leases not given: the log is silent.
};

/** What the parts of a keeper share. Lives on one thread. */
struct KeeperCore {
	KeeperIdentity self;                          ///< Who this keeper is.
	KeeperTimes times;                            ///< Times.
	Scheduler &scheduler;                         ///< Clock and timers.
	LogTail &tail;                                ///< The state.
	LogWriter &writer;                            ///< Appends.
	std::vector<ListedBox> list;                  ///< The platform's list, as last seen.
	Millis list_fetched_at = Millis(-MS_PER_DAY); ///< When the list was last seen.
	KeeperCounters counters;                      ///< Counters.

	/** @return The state folded so far. */
	[[nodiscard]] const FleetState &State() const { return this->tail.State(); }
};

/**
 * The keeper's own joining. Joining again under the same start changes nothing, but moves the writer's mark, so that
 * everybody sees that the keeper lives.
 * @param self The keeper.
 * @return The proposal.
 */
std::unique_ptr<glade::wire::ProposalT> MakeJoinProposal(const KeeperIdentity &self);

#endif /* KEEPER_CORE_H */
