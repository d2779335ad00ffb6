/** @file shard_type.h What a shard knows of its jobs, their tasks and its boxes. */
#ifndef SHARD_TYPE_H
#define SHARD_TYPE_H

#include "../account/share_type.h"
#include "../scheduler_type.h"
#include "../store/keyed_log.h"
#include "job_codec.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/** Figures that a shard works with. */
struct ShardLimits {
	Millis lease = Millis(4500); ///< Lease asked for; bridges a change of owner (about 2.5 s), ends a dark box soon.
	Millis lease_max = Millis(10000); ///< Longest lease that boxes grant (setting).
	Millis lease_wait =
			Millis(1000); ///< A box holds its answer back so long for an end: also the refresh of the lease.
	/** An owner that has not heard of the log for so long prolongs no lease: with the lease it bridges outages of 9 s.
	 * Another owner has to wait as long for a box that it can't reach: 9.2 s, after 2 s until it has claimed. With 6.5
	 * s here a lasting task was restarted 13 s after its box and its owner had died. */
	Millis owner_term = Millis(4500);
};

/** Counters of a shard, for metrics and tests. */
struct ShardCounters {
	uint64_t starts = 0;          ///< Start orders sent.
	uint64_t stops = 0;           ///< Stop orders sent.
	uint64_t looks = 0;           ///< Lease orders sent.
	uint64_t done = 0;            ///< Runs that ended well.
	uint64_t failed = 0;          ///< Runs that failed.
	uint64_t lapsed = 0;          ///< Runs lost with their box or lease.
	uint64_t refused = 0;         ///< Starts that boxes refused.
	uint64_t unknown = 0;         ///< Starts without an answer.
	uint64_t crashed = 0;         ///< Runs under which a box has crashed for certain.
	uint64_t restarted = 0;       ///< Boxes that started again under their id.
	uint64_t inherited = 0;       ///< Runs that a box's next life began by an order to the one before.
	uint64_t given_up = 0;        ///< Jobs that failed since a task of theirs crashes boxes.
	uint64_t records_refused = 0; ///< Callers' records handed back since the log refused them.
	uint64_t rounds = 0;          ///< Rounds of placing.
	uint64_t boxes_walked = 0;    ///< Boxes gone through one by one, in turns and at the begin of rounds.
	uint64_t tasks_walked = 0;    ///< Tasks on boxes gone through one by one.
};

/** What waits at an owner: it grows when the node has too little processor time. */
struct ShardBacklog {
	size_t starts_waiting = 0;   ///< Recorded starts whose order has not left.
	size_t starts_under_way = 0; ///< Start orders without answer.
	size_t callers_waiting = 0;  ///< Callers' records that wait for an append.
};

/** Boxes of a shard, for logs: beside the machines that are up they show what is kept from use. */
struct BoxCounts {
	size_t listed = 0;  ///< Boxes whose report stands.
	size_t over = 0;    ///< Those of them that are taken to have ended.
	size_t adopted = 0; ///< Those that have answered this owner.
	size_t open = 0;    ///< Those on which tasks may be placed.
};

/** What a run of a placed task is known to do. Not stored: a new owner asks the boxes. */
enum class RunState : uint8_t {
	RS_RECORDING = 0, ///< The placement is being recorded; no order was sent.
	RS_ORDERED = 1,   ///< The order was sent; no answer yet.
	RS_RUNNING = 2,   ///< The box has confirmed it.
	RS_RESTORED = 3,  ///< Recorded by an earlier owner: it may run, or an order may be under way.
	RS_UNKNOWN = 4,   ///< The order got no answer.
};

inline constexpr int64_t FULL_PACE = 100; ///< Percent at which a run works and disturbs others unless told otherwise.

/** A task with what is known of its run. */
struct ShardTask : public StoredTask {
	RunState run_state = RunState::RS_RECORDING; ///< Of the current run, while placed.
	bool uncertain = false;                      ///< An order for the run got no answer: it may still be carried out.
	bool stop_wanted = false;                    ///< The run is to be stopped.
	bool stop_recorded = false;                  ///< `leaving` is recorded: its stop may be sent.
	bool stop_sent = false;                      ///< A stop is under way.
	bool stop_confirmed = false;                 ///< The box has confirmed the stop: it can't start any more.
	Millis settled_at;                           ///< When the newest order for the run was answered.
	Millis since;                                ///< When it was placed, or began to wait.
	bool at_work = false;                        ///< The box lists it at full pace.
	int64_t pace = FULL_PACE;                    ///< Percent of full pace last ordered.
	Millis ordered_at;                           ///< When the first order for the run was sent.
	/** A box crashed just after it had begun the task. Not stored: a new owner goes by `crashes`. */
	bool suspect = false;
	/** A box crashed when the task's job was the only one that had just begun there. Not stored either. */
	bool crash_cause = false;
	uint64_t listed_by = 0; ///< Number of the newest look whose list had the current run.
};

/** What a job's waiting tasks ask for, worked out when its tasks change. */
struct JobOutlook {
	bool stale = true;       ///< Its tasks or its route have changed since.
	Millis made_at;          ///< When it was worked out: due times and learned run times change by themselves.
	double chain_all = 0;    ///< ms that its longest chain of steps takes.
	double chain_left = 0;   ///< The same of the steps that have tasks left.
	double waiting_work = 0; ///< Thousandths of a core times ms of its waiting tasks.
	Resources ready;         ///< What its waiting tasks ask for whose turn has come.
	bool lasting = false;    ///< Whether it has tasks that last.
};

/** A job with its tasks. */
struct ShardJob {
	JobSpec spec;                                 ///< As handed in.
	JobPhase phase = JobPhase::JP_QUEUED;         ///< Where it stands.
	JobPhase durable_phase = JobPhase::JP_QUEUED; ///< What is recorded: others are told only this.
	std::vector<ShardTask> tasks;                 ///< By occurrence, step, index.
	uint64_t revision = 0;                        ///< Of its last record.
	bool recorded = false;                        ///< Whether the log has it: otherwise it may still be refused.
	/** Whether a box is known to have begun a run. A job whose tasks are placed still waits while their orders do: an
	 * owner short of processor time told 2 of 24 that had waited for 5 s. */
	bool begun = false;
	JobOutlook outlook;                 ///< What its waiting tasks ask for.
	std::vector<uint32_t> step_offsets; ///< Where each step begins within an occurrence.
	uint32_t per_occurrence = 0;        ///< Tasks of an occurrence.
	Millis taken_at;                    ///< When this owner learned of it.
	JobRoute route;                     ///< Its route, as last configured.

	/** @return Whether nothing more is to be started. */
	[[nodiscard]] bool Over() const { return this->phase > JobPhase::JP_RUNNING; }
	/** @return Place of a task in `tasks`. */
	[[nodiscard]] size_t IndexOf(const TaskId &task) const
	{
		return size_t{task.occurrence} * this->per_occurrence + this->step_offsets[task.step] + task.index;
	}
	/** @return Whether a task exists. */
	[[nodiscard]] bool Has(const TaskId &task) const;
	/** @return The task at a place in `tasks`. */
	[[nodiscard]] TaskId TaskAt(size_t place) const;
};

/** Jobs by id. A job stays where it is in memory. */
using ShardJobs = std::unordered_map<JobId, ShardJob, JobIdHash>;

/** A box of the service. */
struct ShardBox {
	BoxReport report;                     ///< What its agent says of itself.
	FenceToken fence;                     ///< Token of orders to this life: see Shard::NextFence().
	bool listed = true;                   ///< Whether its report stands.
	bool adopted = false;                 ///< It has answered this owner: orders of earlier owners can't come any more.
	bool asking = false;                  ///< A lease order is under way.
	bool unreachable = false;             ///< It can't be reached, or two orders in a row got no answer.
	uint32_t unanswered = 0;              ///< Orders without an answer since the last answer.
	Millis unanswered_at{-1000000};       ///< When the last order without an answer was given up.
	Millis unanswered_again_at{-1000000}; ///< When that last happened twice within a short time.
	bool over = false;                    ///< This life has ended for certain; what is placed there is held.
	bool has_successor = false;           ///< Its agent is known to run again under its id.
	bool has_predecessor = false;         ///< Another life had its id before: orders to that one may have come here.
	std::optional<Millis> clock;          ///< Its clock at `clock_at`.
	Millis clock_at;                      ///< When `clock` was heard.
	Millis lapse_at;                      ///< From then on no lease can hold there any more, by our clock.
	Millis asked_at;                      ///< When the last lease order was sent.
	Millis wait;                          ///< So long its answer may wait for an end.
	Millis answered_at;                   ///< When the last answer to any order came.
	Millis listed_at;                     ///< When it last listed its runs.
	Millis avoid_until;                   ///< Nothing is placed there before.
	/** An order to it got no answer since it last listed its runs: its agent may have started again. */
	bool may_have_restarted = false;
	uint64_t ends_seen = 0;         ///< Ends up to this number are taken in.
	uint64_t ends_durable = 0;      ///< Ends up to this number are recorded.
	uint64_t ends_acknowledged = 0; ///< Ends up to this number, the box has heard, are recorded.
	Millis planned_until;           ///< Until then its end may be our own order, done late.
	Millis drain_until;             ///< Until then it is being emptied for planned work.
	Millis drain_since;             ///< When that began.
	bool due = false;               ///< It will be emptied before long.
	bool unknown_runs = false;      ///< It runs something that this shard has not placed.
	Resources used;                 ///< Taken by the tasks placed there.
	JobId last_start;               ///< Job of which a task was placed or started there last,
	Millis last_start_at{-1000000}; ///< and when.
	std::set<TaskId> placed;        ///< Tasks placed there.
	/** Those of them that were suspects when they were placed: rounds look at these alone, since a look at each task
	 * placed grows with boxes times rounds. */
	std::set<TaskId> suspects;
	TimerId timer; ///< Next lease order.
};

/** An order to a box that is under way: who it was meant for, and what was known then. */
struct SentOrder {
	BoxIncarnation incarnation;  ///< The life that it was sent to.
	FenceToken fence;            ///< Its token.
	Millis at;                   ///< When.
	std::optional<Millis> clock; ///< The life's clock told last by then: it never goes back.
};

/** What a job can still be, in the order in which jobs are served. */
enum class JobTimeliness : uint8_t {
	JT_LASTING = 0,  ///< Its tasks last: they are to run at all times.
	JT_ON_TIME = 1,  ///< It can still end within its objective.
	JT_LATE = 2,     ///< It will be late, but is still worth something.
	JT_TOO_LATE = 3, ///< Nobody gains by its end any more; it is done when there is room.
};

/** Place of a job in the order: smaller ones first among equals, since they earn more for the room they take. */
struct JobRank {
	int64_t priority = 0;                                 ///< Of its route.
	JobTimeliness timeliness = JobTimeliness::JT_ON_TIME; ///< What it can still be.
	/** Whether its account has as much as its share of the boxes already, while not all find room. */
	bool beyond_share = false;
	double waiting_work = 0; ///< Thousandths of a core times ms of its waiting tasks.

	auto operator<=>(const JobRank &) const = default;
};

/** What tells that a box has crashed under its runs, rather than left, been taken down, or been cut off. */
enum class CrashEvidence : uint8_t {
	CE_NONE = 0,     ///< It has left or was taken down.
	CE_POSSIBLE = 1, ///< It may have crashed.
	CE_CERTAIN = 2,  ///< It has crashed.
};

/** How a task is started, by what is known of boxes that have crashed under it. */
enum class StartKind : uint8_t {
	SK_PLAIN = 0,       ///< Like others.
	SK_SUSPECT = 1,     ///< Nothing else starts beside it.
	SK_CRASH_CAUSE = 2, ///< On the box that is kept for such tasks.
};

/** A box that takes tasks in this round of placing. */
struct OpenBox {
	ShardBox *box = nullptr; ///< The box.
	std::optional<JobId>
			isolated_job; ///< Job of which a suspect task has just begun there: nothing else starts beside it.
	/** Job of which a task has just begun there, while tasks crash boxes: those of others wait for a moment, so that a
	 * crash names one job. */
	std::optional<JobId> recent_start;
	bool quarantine_box = false; ///< Only blamed tasks start there: it is kept for them, and empty.
	Resources free;              ///< What is left there.
	uint32_t picked = 0;         ///< Tasks of the gang at hand that were chosen for it but not assigned yet.
};

/** One round of placing: what has room, and what was found to fit nowhere. */
struct PlaceRound {
	std::vector<OpenBox> open;          ///< Boxes that take tasks.
	bool quarantine_box = false;        ///< Whether one of them is the trial box.
	std::vector<Resources> unplaceable; ///< Demands that no box has room for. Room only shrinks within a round.

	/** @return Whether a demand is known to fit nowhere. @param demand It. */
	[[nodiscard]] bool FitsNowhere(const Resources &demand) const;
};

/** A box as its pool's owner sees it. */
struct PoolBox {
	BoxName box;                ///< The box.
	BoxIncarnation incarnation; ///< Its life.
	uint32_t tasks = 0;         ///< Tasks placed there.
	int64_t used_cpu = 0;       ///< Thousandths of a core taken.
	int64_t cpu = 0;            ///< Thousandths of a core that it has.
	bool placing = false;       ///< Whether tasks may be placed there.
	int64_t late_cpu = 0;       ///< The part of `used_cpu` that is taken by jobs that can't be on time any more.
};

/** How a pool stands. */
struct PoolStatus {
	std::vector<PoolBox> boxes; ///< Its boxes.
	/** Thousandths of a core that waiting tasks ask for, whose turn has come and for which their accounts have room. */
	int64_t waiting_cpu = 0;
	int64_t late_cpu = 0; ///< The same of jobs that can't be on time any more; not in `waiting_cpu`.
	ShareReport shares;   ///< What accounts hold and want of their maxima.
};

/** A submission or cancellation that a caller waits for. */
struct IncomingRecord {
	KeyedRecord record;                   ///< What is to be recorded, under its key in the shard's partition.
	std::optional<JobSpec> spec;          ///< The job; none for a cancellation.
	InboxKey name;                        ///< What it is about.
	std::function<void(ResultCode)> done; ///< Gets RC_OK once it is durable, RC_LOG_UNAVAILABLE when it never will be,
										  ///< RC_OUTCOME_UNKNOWN when an earlier one of the same may be.
};

/** Answer about a job. */
struct JobView {
	bool known = false;                   ///< Whether there is such a job.
	JobPhase phase = JobPhase::JP_QUEUED; ///< Where it stands, as recorded.
	AccountName account;                  ///< Client account that handed it in.
};

#endif /* SHARD_TYPE_H */
