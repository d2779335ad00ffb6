/** @file shard_type.h State that a shard keeps of its jobs, their tasks and its boxes. */
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
#include <utility>
#include <vector>

/** Time limits of a shard. */
struct ShardLimits {
	/** Requested length of leases: a box may run its tasks for this long without a renewal. Bridges a change of owner
	 * (about 2.5 s) but soon ends runs on an unreachable box. */
	Millis lease = Millis(4500);
	Millis lease_max = Millis(10000); ///< Longest lease that boxes grant (setting).
	/** A box holds back its answer this long until a run ends; also the interval of lease renewals. */
	Millis lease_wait = Millis(1000);
	/** An owner whose last confirmation by the log is older renews no lease. Runs survive a log outage of `lease` plus
	 * `owner_term` (9 s). A new owner, which needs 2 s to claim the shard, then waits as long (9.2 s) before it
	 * restarts the tasks of a box that it can't reach. With 6.5 s here, a lasting task is restarted only 13 s after its
	 * box and its owner have failed. */
	Millis owner_term = Millis(4500);
};

/** Counters of a shard, for metrics and tests. */
struct ShardCounters {
	uint64_t starts = 0;          ///< Start orders sent.
	uint64_t stops = 0;           ///< Stop orders sent.
	uint64_t looks = 0;           ///< Lease orders sent.
	uint64_t looks_fenced = 0;    ///< Lease orders that an own order with a higher token has overtaken.
	uint64_t done = 0;            ///< Runs that ended successfully.
	uint64_t failed = 0;          ///< Runs that failed.
	uint64_t lapsed = 0;          ///< Runs lost because their box ended or their lease expired.
	uint64_t refused = 0;         ///< Start orders refused by boxes.
	uint64_t unknown = 0;         ///< Start orders without an answer.
	uint64_t crashed = 0;         ///< Runs counted as possible causes of a box's certain crash.
	uint64_t restarted = 0;       ///< Boxes whose agent restarted under the same id.
	uint64_t gave_way = 0;        ///< Runs of late jobs that were stopped so that another pool gets their box.
	uint64_t lost_core_ms = 0;    ///< Upper bound of the work that these runs lost, in core-ms.
	uint64_t inherited = 0;       ///< Runs that an incarnation started by an order to the previous one.
	uint64_t given_up = 0;        ///< Jobs failed because their tasks crash boxes.
	uint64_t records_refused = 0; ///< Callers' records that the log refused.
	uint64_t rounds = 0;          ///< Placement rounds.
	uint64_t boxes_walked = 0;    ///< Visits of single boxes, in turns and at the start of rounds.
	uint64_t tasks_walked = 0;    ///< Visits of single tasks on boxes.
};

/** Queue lengths at an owner; they grow when the node has too little processor time. */
struct ShardBacklog {
	size_t starts_waiting = 0;   ///< Recorded starts whose order has not been sent.
	size_t starts_under_way = 0; ///< Start orders without an answer.
	size_t callers_waiting = 0;  ///< Callers' records that wait for an append.
};

/** Numbers of boxes of a shard, for logs: fewer open boxes than machines that are up means that some are unused. */
struct BoxCounts {
	size_t listed = 0;          ///< Boxes that have a report.
	size_t over = 0;            ///< Boxes with a report whose incarnation has ended.
	size_t adopted = 0;         ///< Boxes with a report that have answered this owner.
	size_t open = 0;            ///< Boxes that accept tasks.
	size_t evacuated = 0;       ///< Boxes with a report in evacuated zones.
	size_t evacuated_tasks = 0; ///< Tasks that are still placed on these.
};

/** Known state of the current run of a placed task. Not stored: a new owner asks the boxes. */
enum class RunState : uint8_t {
	RS_RECORDING = 0, ///< The placement is being recorded; no order was sent.
	RS_ORDERED = 1,   ///< The start order was sent; no answer yet.
	RS_RUNNING = 2,   ///< Confirmed by the box.
	RS_RESTORED = 3,  ///< Recorded by an earlier owner: it may run, or an order may be under way.
	RS_UNKNOWN = 4,   ///< The start order got no answer.
};

inline constexpr int64_t FULL_PACE = 100; ///< Pace of a run in percent, unless ordered otherwise.

/** A task and the state of its current run. */
struct ShardTask : public StoredTask {
	RunState run_state = RunState::RS_RECORDING; ///< State of the current run, while placed.
	/** A start order for the run got no answer, or an earlier owner may have sent one: it may still be carried out. */
	bool uncertain = false;
	/** The start was confirmed by an answer that a later incarnation may have given; the next list decides. */
	bool answerer_unsure = false;
	bool stop_wanted = false;    ///< The run is to be stopped.
	bool stop_recorded = false;  ///< `leaving` is recorded: the stop order may be sent.
	bool stop_sent = false;      ///< A stop order is under way.
	bool stop_confirmed = false; ///< The box has confirmed the stop: the run can't start any more.
	/** When the state of the run was last learned: when an order for it was answered or timed out, or when the list
	 * that first showed it running was requested. A list requested earlier says nothing about that state. */
	Millis state_known_at;
	Millis phase_since;        ///< When it was placed or started to wait.
	bool at_full_pace = false; ///< The box lists the run at full pace.
	int64_t pace = FULL_PACE;  ///< Pace last ordered, in percent.
	bool order_known = true;   ///< Whether this owner, not an earlier one, has ordered the current run.
	Millis ordered_at;         ///< When the first start order for the run was sent.
	Millis last_ordered_at;    ///< When the last one was sent, at the latest.
	Millis saved_at;           ///< When the list that first showed its newest checkpoint was requested.
	Millis confirmed_at;       ///< When an answer of the box first showed that the run had started.
	/** Suspected of crashing boxes: a box crashed just after it had started the task or before it had confirmed the
	 * start. Not stored: a new owner derives it from `crashes` and `crashes_possible`. */
	bool suspect = false;
	/** Sole crash cause: a box crashed when it had just started the task and no other job's task. Not stored, so a new
	 * owner takes it only for a suspect. */
	bool crash_cause = false;
	uint64_t last_listing = 0; ///< Number (see Shard::newest_listing) of the last list that has the current run.
};

/** Figures derived from the state of a job's tasks. */
struct JobOutlook {
	bool stale = true;    ///< The job's tasks or route have changed since it was computed.
	Millis made_at;       ///< When it was computed: occurrences come due and learned run times change without an event.
	double chain_all = 0; ///< Run time of the longest chain of steps, in ms.
	double chain_left = 0;   ///< Run time of the longest chain, counting only steps with unfinished tasks, in ms.
	double waiting_work = 0; ///< Work of waiting tasks, in thousandths of a core times ms.
	Resources ready;         ///< Total demand of ready tasks.
	bool lasting = false;    ///< Whether the job has lasting tasks.
};

/** A job with its tasks. */
struct ShardJob {
	JobSpec spec;                                 ///< The job as submitted.
	JobPhase phase = JobPhase::JP_QUEUED;         ///< Current phase.
	JobPhase durable_phase = JobPhase::JP_QUEUED; ///< Recorded phase; only this one is reported.
	std::vector<ShardTask> tasks;                 ///< By occurrence, step, index.
	uint64_t revision = 0;                        ///< Revision of the newest record.
	/** The tasks as recorded last, if the job has several records; empty when all of them are to be written. */
	std::vector<StoredTask> recorded_tasks;
	bool recorded = false; ///< Whether the log has the submission; otherwise it may still be refused.
	/** Whether a box is known to have started a run. Jobs whose start orders are still queued count as waiting;
	 * otherwise an owner short of processor time reports only 2 of 24 jobs that have waited for 5 s. */
	bool begun = false;
	JobOutlook outlook;                 ///< Figures derived from the tasks.
	bool late = false;                  ///< Whether it can't be on time any more, as of the last status of the pool.
	std::vector<uint32_t> step_offsets; ///< Index of the first task of each step within an occurrence.
	uint32_t per_occurrence = 0;        ///< Tasks per occurrence.
	Millis taken_at;                    ///< When this owner learned of the job.
	RoutePolicy policy;                 ///< Policy of its route: the newest one that is known.
	/** Whether its tasks and steps were freed: it has ended, its end is recorded, and no run of it may exist. */
	bool released = false;
	/** Whether any policy of the route is known. While none is, a failed task is neither restarted nor given up. */
	bool has_policy = false;

	/** @return Whether the job has completed, failed or been cancelled. */
	[[nodiscard]] bool Over() const { return this->phase > JobPhase::JP_RUNNING; }
	/** @return Index of a task in `tasks`. */
	[[nodiscard]] size_t IndexOf(const TaskId &task) const
	{
		return size_t{task.occurrence} * this->per_occurrence + this->step_offsets[task.step] + task.index;
	}
	/** @return Whether the job has this task. */
	[[nodiscard]] bool Has(const TaskId &task) const;
	/** @return Id of the task at an index in `tasks`. */
	[[nodiscard]] TaskId TaskAt(size_t position) const;
};

/** Jobs by id. References to a job stay valid until it is erased. */
using ShardJobs = std::unordered_map<JobId, ShardJob, JobIdHash>;

/** One incarnation of a box of the service. */
struct ShardBox {
	BoxReport report;       ///< Newest report of its agent.
	bool has_report = true; ///< Whether a report of it exists at present.
	bool adopted = false;   ///< It has listed its runs for this owner, so it refuses orders of earlier owners.
	bool lease_order_under_way = false; ///< A lease order is under way.
	bool unreachable = false;           ///< It can't be reached, or two orders in a row got no answer.
	uint32_t unanswered = 0;            ///< Orders in a row that got no answer.
	/** An order got no answer: the next answer shows that the box has kept running meanwhile. */
	bool order_unanswered = false;
	Millis unanswered_at{-1000000};       ///< When an order last timed out; initially long ago, as if never.
	Millis unanswered_again_at{-1000000}; ///< When an order last timed out within 5 s of another one.
	/** This incarnation has certainly ended. Runs that its successor may still start stay placed here: see `held_ids`
	 * of the shard. */
	bool over = false;
	bool has_successor = false;   ///< A later incarnation is known to have its id.
	bool has_predecessor = false; ///< An earlier incarnation had its id, so it may have received orders to that one.
	std::optional<Millis> clock;  ///< Its clock at `clock_at`.
	Millis clock_at;              ///< When `clock` was reported.
	Millis leases_expire_at;      ///< Owner's time at which all leases on the box will have expired.
	Millis lease_ordered_at;      ///< When the last lease order was sent.
	Millis answer_wait;           ///< How long it may hold back its answer to the last lease order.
	Millis answered_at;           ///< When the last answer to any order arrived.
	Millis up_at;                 ///< When the newest answered order was sent: the box was still up then.
	Millis runs_listed_at;        ///< When it last listed its runs.
	Millis avoid_until;           ///< No task is placed there before this time.
	Millis warm_at;               ///< Until then it is slow, as it has just been started.
	/** An order got no answer, or one that the next incarnation may have given, since the box last listed its runs: its
	 * agent may have restarted. */
	bool may_have_restarted = false;
	Millis may_have_restarted_at;   ///< When `may_have_restarted` was last set.
	uint64_t ends_seen = 0;         ///< Ends up to this number have been processed.
	uint64_t ends_durable = 0;      ///< Ends up to this number are recorded.
	uint64_t ends_acknowledged = 0; ///< Ends up to this number were acknowledged to the box.
	size_t ends_listed = 0;         ///< Number of ends in its last list.
	Millis planned_end_until;       ///< An end before this time may be due to a delayed move order, not a crash.
	Millis drain_until;             ///< It is drained for planned maintenance before this time.
	Millis drain_since;             ///< When the last drain started.
	bool due = false;               ///< Whether it will be drained soon.
	bool gives_way = false;         ///< Whether late tasks with checkpoints are stopped there while it is drained.
	bool unknown_runs = false;      ///< It lists runs that this shard has not placed there.
	Resources used;                 ///< Resources of the tasks placed there.
	JobId last_start;               ///< Job of the task placed there or ordered to start there last.
	Millis last_start_at{-1000000}; ///< When `last_start` was set; initially long ago.
	std::set<TaskId> placed;        ///< Tasks placed there.
	/** Tasks of `placed` that were suspects when they were added. Kept apart, since checking every placed task in each
	 * round costs too much with many boxes. */
	std::set<TaskId> suspects;
	TimerId timer; ///< Next lease renewal.
};

/** Context of an order that is under way to a box, as of when it was sent. */
struct SentOrder {
	BoxIncarnation incarnation; ///< Incarnation that it was sent to.
	FenceToken fence;           ///< Token of the order.
	Millis at;                  ///< When it was sent.
	/** Clock of the incarnation as last reported; a lower one in an answer is that of a later incarnation. */
	std::optional<Millis> clock;
	std::optional<Millis> clock_min; ///< Lowest clock of the incarnation when it was sent, unless it was suspended.
	Millis answer_due; ///< By then a box that keeps running has answered, unless the order or its answer was lost.
};

/** Whether a job can still meet its objective. Lower values are served first. */
enum class JobTimeliness : uint8_t {
	JT_LASTING = 0,  ///< It has lasting tasks, which should always run.
	JT_ON_TIME = 1,  ///< It can still end within its objective.
	JT_LATE = 2,     ///< It will be late but is still worth something to its caller.
	JT_TOO_LATE = 3, ///< Its result is worth nothing any more; it runs when there is room.
};

/** Sort key of jobs: by its members in turn, the lowest value is served first. Less waiting work comes first, since
 * such jobs are worth more per resource used. */
struct JobRank {
	int64_t priority = 0;                                 ///< Priority of its route; lower numbers are served first.
	JobTimeliness timeliness = JobTimeliness::JT_ON_TIME; ///< Whether it can meet its objective.
	/** Whether its account already uses its share of the boxes while the waiting tasks don't all fit. */
	bool beyond_share = false;
	double waiting_work = 0; ///< Work of waiting tasks, in thousandths of a core times ms.

	auto operator<=>(const JobRank &) const = default;
};

/** How certain it is that a box crashed, rather than left, was taken down or lost its connection. */
enum class CrashEvidence : uint8_t {
	CE_NONE = 0,     ///< It has left or was taken down.
	CE_POSSIBLE = 1, ///< It may have crashed.
	CE_CERTAIN = 2,  ///< It has crashed.
};

/** How a task is started, depending on crashes of boxes that ran it. */
enum class StartKind : uint8_t {
	SK_PLAIN = 0,       ///< Without restrictions.
	SK_SUSPECT = 1,     ///< Isolated: only suspects of the same job start beside it.
	SK_CRASH_CAUSE = 2, ///< Only on the quarantine box.
};

/** A box that accepts tasks in the current placement round. */
struct OpenBox {
	ShardBox *box = nullptr; ///< The box.
	/** Job of which a suspect is isolated there: only suspects of the same job start beside it. */
	std::optional<JobId> isolated_job;
	/** Job of which a task has just started there, while starts are spaced: tasks of other jobs wait a moment, so that
	 * a crash can be attributed to one job. */
	std::optional<JobId> recent_start;
	bool is_quarantine = false; ///< Only sole crash causes start there: see Shard::ReserveQuarantineBox().
	Resources free;             ///< Resources left.
	uint32_t picked = 0;        ///< Tasks of the current gang for which it was chosen; not assigned yet.
};

/** State of one placement round. */
struct PlaceRound {
	std::vector<OpenBox> open;          ///< Boxes that accept tasks.
	bool has_quarantine = false;        ///< Whether one of `open` is the quarantine box.
	std::vector<Resources> unplaceable; ///< Demands that fit on no box; free resources only shrink within a round.

	/** @return Whether a demand is known to fit on no box. @param demand Resources of a task. */
	[[nodiscard]] bool FitsNowhere(const Resources &demand) const;
};

/** Status of a box, as reported by the owner of its pool. */
struct PoolBox {
	BoxName box;                ///< Name of the box.
	BoxIncarnation incarnation; ///< Its current incarnation.
	uint32_t tasks = 0;         ///< Tasks placed there.
	int64_t used_cpu = 0;       ///< Thousandths of a core in use: see DominantCpu().
	int64_t cpu = 0;            ///< Thousandths of a core in total.
	bool placing = false;       ///< Whether it accepts tasks.
	int64_t late_cpu = 0;       ///< Part of `used_cpu` used by jobs that can't be on time any more.
	/** Expected time until the last of its tasks has ended; unset when unknown or when a lasting task is among them. */
	std::optional<Millis> ends_in = std::nullopt;
};

/** Status of a pool. */
struct PoolStatus {
	std::vector<PoolBox> boxes; ///< Boxes of the pool.
	/** Thousandths of a core (see DominantCpu()) demanded by ready tasks of jobs that can still be on time, as far as
	 * their accounts' maxima have room for them. */
	int64_t waiting_cpu = 0;
	int64_t late_cpu = 0; ///< Such demand of jobs that can't be on time any more; not included in `waiting_cpu`.
	ShareReport shares;   ///< Use and demand of accounts under their maxima.
};

/** A submission or cancellation whose caller waits for the answer. */
struct IncomingRecord {
	KeyedRecord record;          ///< Record to append, under its key in the shard's progress partition.
	std::optional<JobSpec> spec; ///< The job; unset for a cancellation.
	InboxKey inbox_key;          ///< Decoded key of the record.
	/** Called with RC_OK once the record is durable, RC_LOG_UNAVAILABLE when it never will be, RC_OUTCOME_UNKNOWN when
	 * an earlier equal one may be, RC_OTHER_ACCOUNT when another account has submitted the job. */
	std::function<void(ResultCode)> done;
};

/** Callers whose records are in an append under way; outlives the shard until the outcome of the append is known. */
struct RecordingCallers {
	std::vector<IncomingRecord> records; ///< Records whose callers have no answer yet.

	/** Answers all callers. @param code The answer. */
	void Answer(ResultCode code)
	{
		for (const IncomingRecord &it : std::exchange(this->records, {})) {
			it.done(code);
		}
	}
	/** Answers all callers after the log has certainly refused the append. */
	void AnswerRefused()
	{
		for (const IncomingRecord &it : std::exchange(this->records, {})) {
			/* A record without a key is equal to an earlier one, which may be recorded. */
			it.done(it.record.key.empty() ? ResultCode::RC_OUTCOME_UNKNOWN : ResultCode::RC_LOG_UNAVAILABLE);
		}
	}
};

/** Status of a job, as reported to callers. */
struct JobView {
	bool known = false;                   ///< Whether the job is known.
	JobPhase phase = JobPhase::JP_QUEUED; ///< Recorded phase.
	AccountName account;                  ///< Client account that submitted it.
	bool recorded = true;                 ///< Whether the log is known to have it.
};

#endif /* SHARD_TYPE_H */
