/** @file keeper_core.h State shared by the parts of a keeper: identity, log, writer, fleet state, list of boxes. */
#ifndef KEEPER_CORE_H
#define KEEPER_CORE_H

#include "../log/log_tail.h"
#include "../log/log_writer.h"
#include "../platform_type.h"

/** Time limits and intervals of a keeper. */
struct KeeperTimes {
	Millis lease = Millis(2000); ///< Duration of an entry's lease on its view.
	Millis fresh = Millis(1500); ///< Age of the log's last answer up to which leases are granted; see MayGrantLeases().
	Millis lapse = Millis(6000); ///< Time without contact after which a keeper proposes that a member leaves.
	Millis plan_tick = Millis(500);                ///< Interval between planning steps.
	Millis list_tick = Millis(1000);               ///< Interval between fetches of the list of boxes.
	Millis planner_silence = Millis(6000);         ///< A planner that wrote nothing for this time may be replaced.
	Millis snapshot_age = Millis(6 * MS_PER_HOUR); ///< Age of the newest snapshot after which the planner writes one.
	uint64_t snapshot_records = 2000; ///< Number of records since a snapshot, after which the planner writes one.
};

/** Identity of a keeper. */
struct KeeperIdentity {
	MemberName name;         ///< Name of the keeper.
	RegionName region;       ///< Region of the keeper.
	ZoneName zone;           ///< Availability zone that it serves.
	std::string address;     ///< IP:port on which it accepts frame connections.
	Incarnation incarnation; ///< Incarnation of the process.
};

/** Counters of a keeper. */
struct KeeperCounters {
	uint64_t accepted = 0;       ///< Proposals of all writers that were accepted.
	uint64_t rejected = 0;       ///< Proposals of all writers that were rejected.
	uint64_t plans = 0;          ///< Planning steps run.
	uint64_t plan_us = 0;        ///< Total time spent in planning steps, us.
	uint64_t terms = 0;          ///< Planning terms acquired.
	uint64_t snapshots = 0;      ///< Snapshots written.
	uint64_t reboots = 0;        ///< Reboot orders sent, including repeated ones.
	uint64_t views = 0;          ///< Views sent.
	uint64_t frame_bytes = 0;    ///< Bytes of frames sent and received.
	uint64_t leases = 0;         ///< Leases granted.
	uint64_t leases_refused = 0; ///< Leases refused because the state was not recent enough.
};

/** State shared by the parts of a keeper, all of which run on one thread. */
struct KeeperCore {
	KeeperIdentity self;                          ///< Identity of this keeper.
	KeeperTimes times;                            ///< Time limits and intervals.
	Scheduler &scheduler;                         ///< Clock and timers.
	LogTail &tail;                                ///< Reads the log and applies it to the state.
	LogWriter &writer;                            ///< Appends proposals to the log.
	std::vector<ListedBox> list;                  ///< The platform's list of boxes, as last fetched.
	Millis list_fetched_at = Millis(-MS_PER_DAY); ///< When the list was last fetched.
	KeeperCounters counters;                      ///< Counters.

	/** @return The state with all records read so far applied. */
	[[nodiscard]] const FleetState &State() const { return this->tail.State(); }
};

/**
 * Builds the proposal by which a keeper joins. A repeated join of the same incarnation changes no membership, but it
 * advances the writer's sequence in the log, which shows the other keepers that this one is alive.
 * @param self Identity of the keeper.
 * @return The proposal.
 */
std::unique_ptr<glade::wire::ProposalT> MakeJoinProposal(const KeeperIdentity &self);

#endif /* KEEPER_CORE_H */
