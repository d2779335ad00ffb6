/** @file shard_base.h A shard: the jobs of one service and the boxes that run them, under one owner. */
#ifndef SHARD_BASE_H
#define SHARD_BASE_H

#include "../account/account_book.h"
#include "../event_log.h"
#include "../store/paired_journal.h"
#include "evacuation_type.h"
#include "order_fence.h"
#include "progress_records.h"
#include "shard_type.h"
#include "ticket_cache.h"
#include "wait_reason.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

/**
 * Schedules the tasks of one service on its boxes while this node owns the service. A placement is recorded before its
 * start order is sent, and an end before the box may forget it, so that another owner can take over at any moment and a
 * superseded one can't start anything.
 */
class Shard {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param journal Appends records to the log; must outlive this object.
	 * @param orders Sends orders to boxes; must outlive this object.
	 * @param log Event log; must outlive this object.
	 * @param service Name of the service.
	 * @param fence Token of this ownership.
	 * @param limits Time limits.
	 * @param advisor Client of the placement policy, or null when there is none; must outlive this object.
	 */
	Shard(Scheduler &scheduler, PairedJournal &journal, BoxOrders &orders, EventLog &log, ServiceName service,
		  FenceToken fence, ShardLimits limits, PlacementAdvisor *advisor = nullptr);
	~Shard();
	Shard(const Shard &) = delete;
	Shard &operator=(const Shard &) = delete;

	/** Restores recorded progress; of two records of a task the newer one wins. To be called before Begin(). @param id
	 * Id of the job. @param progress Recorded progress, perhaps with some of the tasks only. */
	void Restore(const JobId &id, const StoredProgress &progress);
	/** Notes that the previous owner has released the shard, or that there was none. To be called before Begin().
	 * @param span How long owners before that one may still renew leases. Each owner passes on what is left of it: when
	 * five owners in 30 s each start the wait anew, tasks of an unreachable box are not restarted for 43 s. */
	void SetEarlierLeaseSpan(Millis span) { this->earlier_leases_until = this->owned_since + span; }
	/** @return How long earlier owners may still renew leases. */
	[[nodiscard]] Millis EarlierLeaseSpanLeft() const
	{
		return std::max(this->earlier_leases_until - this->scheduler.Now(), Millis(0));
	}
	/**
	 * Drains boxes for planned maintenance: nothing is placed there, and lasting tasks move away as their limits allow.
	 * @param drain Boxes to drain. The drain ends at the next call without the box, or 2 s after the last call.
	 * @param due Boxes that will be drained soon: lasting tasks are placed elsewhere if possible.
	 * @param give_way Boxes of `drain` that a pool needs for jobs that can be on time: late tasks with checkpoints are
	 * stopped there, see MayGiveWay().
	 */
	void Drain(const std::set<BoxName> &drain, const std::set<BoxName> &due, const std::set<BoxName> &give_way = {});
	/** Notes that incarnations have ended and their runs are lost. @param incarnations The ended incarnations, also
	 * those of other pools. */
	void NoteEnded(const std::set<BoxIncarnation> &incarnations);
	/** @return Whether the log has confirmed this ownership recently. Otherwise another owner may be placing tasks, and
	 * the state of boxes held here may be outdated. */
	[[nodiscard]] bool Confirmed() const;
	/** Applies grants of the share ledger: parts of their maxima that accounts may use in this service. @param loan The
	 * grants; ignored when newer ones were applied. */
	void TakeLoan(const ShareLoan &loan);
	/** @return Status of the pool. */
	[[nodiscard]] PoolStatus Status();
	/** Adds a job; a known one only becomes `recorded`. @param spec The job. @param recorded Whether the log has it. */
	void Submit(const JobSpec &spec, bool recorded = true);
	/** Cancels a job, also one that is submitted later. @param id Id of the job. @param account Account of the caller;
	 * a job of another account is not cancelled. @param route Route of the job; empty when not known. */
	void Cancel(const JobId &id, const AccountName &account, const RouteName &route);
	/** @return Whether a caller that may access a job has cancelled it. @param id Id of the job. @param account Account
	 * of the job. */
	[[nodiscard]] bool Cancelled(const JobId &id, const AccountName &account) const;
	/** Takes in a submission or cancellation, to be recorded with the next append together with the placements that
	 * follow from it, or answers it at once when it can't be recorded here. @param incoming Record of the caller. */
	void Accept(IncomingRecord incoming);
	/** Sets the policy that jobs of a route have while the configuration lacks it. @param route Name of the route.
	 * @param policy The newest policy of the route that was in force. */
	void SetLastPolicy(const RouteName &route, const VersionedPolicy &policy);
	/** Applies a configuration. @param config The configuration. */
	void Configure(const JobConfig &config);
	/** Applies a change of the evacuated zones: nothing is started there, and lasting tasks move away as their limits
	 * and the room in other zones allow. @param evacuated The evacuated zones. */
	void SetEvacuatedZones(const EvacuatedZones &evacuated);
	/** Handles a report of a box. @param report The report. */
	void OnReport(const BoxReport &report);
	/** Handles the removal of a report. @param id Id of the box's agent. */
	void OnReportRemoved(const BoxId &id);
	/** Keeps the last report of an incarnation whose report was removed: orders to it need its address. To be called
	 * before Begin(). @param report The report. */
	void NoteRemovedReport(const BoxReport &report) { this->removed_reports[report.incarnation] = report; }
	/** Starts to place tasks. To be called once all records known when the shard was claimed have been passed in. */
	void Begin();

	/** Appends a record of the owner with the next batch. @param record The record. @param done Called as
	 * IncomingRecord::done is; a refused record is kept for the next batch. */
	void Record(KeyedRecord record, std::function<void(ResultCode)> done);
	/** Records the progress of a job with the next batch. @param id Id of the job. */
	void RecordProgressOf(const JobId &id) { this->MarkDirty(id); }
	/** Records, with the next batch, the progress of all jobs of a route that have none in the log. @param route Name
	 * of the route. */
	void RecordProgressOf(const RouteName &route);
	/** @return Whether progress of a job was restored whose submission hasn't arrived. @param id Id of the job. */
	[[nodiscard]] bool AwaitsSubmission(const JobId &id) const { return this->restored.contains(id); }
	/** @return Whether there is any job of a route, also one that is over, or the cancellation of a job that isn't
	 * known. @param route Name of the route. */
	[[nodiscard]] bool HasAnyOf(const RouteName &route) const;
	/** @return Routes of all jobs, also of those that are over. */
	[[nodiscard]] std::vector<RouteName> RoutesOfJobs() const;

	/** Answers the callers whose records are in no append; called before the shard stops, which appends nothing more.
	 * @return Callers whose records are in the append under way, if any. They are answered with its outcome, unless a
	 * later owner supersedes this one: then nobody here learns the outcome, and the caller of this has to answer. */
	[[nodiscard]] std::shared_ptr<RecordingCallers> Close();

	/** Continues after the end of an append that was not this shard's own. */
	void OnJournalFree();
	/** Handles an append that the log has certainly refused: callers are refused and nothing is placed for a moment. */
	void OnJournalRefused();

	/** @return Recorded status of a job. @param id Id of the job. */
	[[nodiscard]] JobView View(const JobId &id) const;
	/** @return Number of unfinished jobs of a route of which no box is known to have started a task. @param route Name
	 * of the route. */
	[[nodiscard]] uint32_t Waiting(const RouteName &route) const;
	/** @return Number of batches recorded in the spare partition because the shard's own one didn't answer. */
	[[nodiscard]] uint64_t Detours() const { return this->journal.Detours(); }
	/** @return Counters. */
	[[nodiscard]] const ShardCounters &Counters() const { return this->counters; }
	/** @return Queue lengths. */
	[[nodiscard]] ShardBacklog Backlog() const
	{
		return ShardBacklog{this->recorded_starts.size(), this->starts_under_way, this->incoming.size()};
	}
	/** @return Numbers of boxes by state. */
	[[nodiscard]] BoxCounts CountBoxes() const;
	/** @return Boxes by incarnation. */
	[[nodiscard]] const std::map<BoxIncarnation, ShardBox> &Boxes() const { return this->boxes; }
	/** @return Lasting tasks that are without a run, as of the last check. */
	[[nodiscard]] const std::map<TaskId, LastingWait> &LastingWaits() const { return this->waits; }
	/** @return Resources that accounts use here. */
	[[nodiscard]] const AccountBook &Accounts() const { return this->book; }
	/** @return Jobs by id, also those that are over. */
	[[nodiscard]] const ShardJobs &Jobs() const { return this->jobs; }

	/** Returns whether a caller's record that was taken in may still be recorded here; null when any may. */
	std::function<bool(const IncomingRecord &)> may_record;
	std::function<void()> on_superseded; ///< Called last in a turn when a box has seen a higher token.
	/** Reads the inbox up to its current end and calls back once its records have been passed in. Null when there is no
	 * inbox. */
	std::function<void(std::function<void()>)> read_inbox;
	/** The same for the reports of boxes. */
	std::function<void(std::function<void()>)> read_reports;

private:
	/** A start order, sent once the placement is recorded. */
	struct PendingStart {
		TaskId task;   ///< The task.
		RunNumber run; ///< Number of the run.
	};

	/** A stop order for planned maintenance, sent once StoredTask::leaving is recorded. */
	struct PendingStop {
		TaskId task;   ///< The task.
		RunNumber run; ///< Number of the run.
	};

	/** State of one check of the lasting tasks. */
	struct WaitCheck {
		std::map<TaskId, LastingWait> before;     ///< What the check before has found.
		std::optional<std::vector<OpenBox>> open; ///< Boxes that accept tasks, once they are needed.
		/** Why no box is chosen, by the first task of a step and the kind of start. */
		std::map<std::pair<TaskId, StartKind>, WaitReason> no_box;
	};

	/** A batch of records passed to the journal: what to continue with once it is durable. */
	struct Batch {
		std::vector<PendingStart> starts;           ///< Starts to send.
		std::vector<PendingStop> stops;             ///< Stops to send.
		std::map<BoxIncarnation, uint64_t> ends;    ///< Number of the newest end that the batch records, by box.
		std::map<JobId, JobPhase> phases;           ///< Phases of the recorded jobs.
		std::vector<IncomingRecord> caller_records; ///< Callers' records in the batch.
		Millis made_at;                             ///< When it was passed to the journal.
	};

	Scheduler &scheduler;               ///< Clock and timers.
	PairedJournal &journal;             ///< Appends records to the log.
	BoxOrders &orders;                  ///< Sends orders to boxes.
	EventLog &log;                      ///< Event log.
	ServiceName service;                ///< Name of the service.
	FenceToken fence;                   ///< Token of this ownership: see RaiseFence().
	std::map<BoxId, OrderFence> fences; ///< Tokens of orders, by the id that they are sent to.
	/** Highest token of the ids that aren't in `fences` any more: a box that reports again has seen its last one. */
	FenceToken forgotten_fence;
	ShardLimits limits;                  ///< Time limits.
	Millis owned_since;                  ///< When this ownership started.
	Millis earlier_leases_until;         ///< Until then an earlier owner may renew leases.
	Millis log_unreachable_at{-1000000}; ///< When the log was last found unreachable; initially long ago.
	bool begun = false;                  ///< Whether Begin() was called.
	bool turn_scheduled = false;         ///< Whether a turn is scheduled to run at once.
	bool place_wanted = false;           ///< Whether a turn skipped placing because an append was under way.
	bool superseded = false;             ///< Whether a box has seen a higher token.
	JobConfig config;                    ///< The configuration in force.
	EvacuatedZones evacuated;            ///< The evacuated zones.
	ShardJobs jobs;                      ///< All jobs, also those that are over.
	std::map<RouteName, VersionedPolicy> last_policies; ///< See SetLastPolicy().
	std::map<RouteName, size_t> jobs_by_route;          ///< Number of jobs of each route that has some.
	/** Routes of cancelled jobs that haven't arrived; an empty one when it isn't known. */
	std::map<JobId, RouteName> cancelled_early;
	std::map<JobId, ShardJob *> live;                  ///< Jobs that are not over.
	std::map<JobId, RestoredProgress> restored;        ///< Recorded progress of jobs whose submission hasn't arrived.
	std::set<std::pair<JobId, AccountName>> cancelled; ///< Job and caller's account; also of jobs that haven't arrived.
	AccountBook book;                                  ///< Resources that accounts use here.
	std::map<BoxIncarnation, ShardBox> boxes;          ///< Boxes of the service.
	/** Last reports of incarnations whose report was removed; used until Begin(). */
	std::map<BoxIncarnation, BoxReport> removed_reports;
	Millis order_unanswered_at{-1000000}; ///< When a box was last found running after an order without an answer.
	Millis box_lost_at{-1000000};         ///< When a box was last lost other than as planned; initially long ago.
	std::set<BoxId> held_ids;             ///< Ids of ended incarnations that may have runs which the next one starts.
	std::map<BoxId, BoxReport> older_reports;    ///< Reports of incarnations that started before a known one.
	std::map<RouteName, double> run_times;       ///< Run times of a route's tasks in ms: geometric moving average.
	std::map<uint64_t, IncomingRecord> incoming; ///< Records taken in by Accept() but not by a turn, by number.
	uint64_t incoming_last = 0;                  ///< Number of the newest record taken in.
	Millis starts_spaced_until;    ///< Until then, starts of different jobs on one box are spaced in time.
	std::set<TaskId> crash_causes; ///< Sole crash causes; may include tasks of ended jobs.
	std::optional<BoxIncarnation> quarantine_box; ///< Box reserved for crash causes while some wait.
	Millis refused_at{-1000000};                  ///< When the log last refused an append; initially long ago.
	std::vector<IncomingRecord> accepted;         ///< Records applied by a turn, for the next append.
	/** Callers whose records are in the append under way. */
	std::shared_ptr<RecordingCallers> recording = std::make_shared<RecordingCallers>();
	std::set<JobId> dirty;                    ///< Jobs whose progress is to be recorded.
	std::vector<PendingStart> starts;         ///< Start orders to send once recorded.
	std::vector<PendingStop> stops;           ///< Stop orders to send once recorded.
	std::deque<PendingStart> recorded_starts; ///< Recorded start orders that wait to be sent.
	size_t starts_under_way = 0;              ///< Start orders without an answer.
	size_t reads_awaited = 0;                 ///< Reads of inbox and reports that recorded starts wait for.
	uint64_t last_hold = 0;                   ///< Number of the last time that starts were held for such reads.
	Millis renewal_gap;                       ///< Minimum time between two lease orders to a box.
	uint64_t newest_listing = 0;              ///< Number of answered lease orders, and so of the newest list of runs.
	Millis boxes_checked_at{-1000000};        ///< When CheckBoxes() last visited the boxes; initially long ago.
	bool boxes_changed = false;        ///< Whether the next turn visits the boxes even if they were just visited.
	Millis turn_due;                   ///< When the next turn is due; during a turn, when it was due.
	double late_ms = 0;                ///< Smoothed lateness of turns.
	Millis starts_waited_at{-1000000}; ///< When recorded starts last had to wait; initially long ago.
	/** Work that may be lost now by stopping late tasks, in thousandths of a core times ms. */
	double loss_allowed = 0;
	Millis loss_refilled_at;             ///< When `loss_allowed` was last raised.
	std::set<JobId> lasting_jobs;        ///< Jobs with lasting tasks; may include some that are over.
	std::map<TaskId, LastingWait> waits; ///< See LastingWaits().
	Millis waits_noted_at{-1000000};     ///< When NoteWaits() last checked; initially long ago.
	TicketCache tickets;                 ///< Tickets of the placement policy.
	ShardCounters counters;              ///< Counters.
	TimerId timer;                       ///< Next turn.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	/* shard_jobs.cpp */
	void ScheduleTurn();
	void Turn();
	void NoteLateness();
	/** Visits all boxes, unless they were just visited. @return Time until the next visit is due. */
	[[nodiscard]] Millis CheckBoxes();
	void AddToBox(ShardBox &box, const ShardJob &job, const TaskId &id);
	/** @return Whether the task was placed on the box. */
	bool RemoveFromBox(ShardBox &box, const ShardJob &job, const TaskId &id);
	ShardJob MakeJob(const JobSpec &spec) const;
	void ApplyRoute(ShardJob &job) const;
	void EndJob(ShardJob &job, JobPhase phase, const char *reason);
	void CheckCompleted(ShardJob &job);
	ShardTask *FindTask(const TaskId &id);
	[[nodiscard]] const ShardTask *FindTask(const TaskId &id) const;
	void MarkDirty(const JobId &id);

	/* shard_records.cpp */
	/** @return Whether records can be appended now: no append is under way or was just refused. */
	[[nodiscard]] bool MayRecord() const;
	/** @return Result to report for a record that this shard doesn't append: RC_OK when the log has an equal one,
	 * RC_OUTCOME_UNKNOWN when it may have one, otherwise RC_LOG_UNAVAILABLE. */
	[[nodiscard]] ResultCode KnownResultOf(const IncomingRecord &incoming) const;
	/** @return Whether a record concerns a job that another account has submitted. */
	[[nodiscard]] bool BelongsToOtherAccount(const InboxKey &name) const;
	void Withdraw(uint64_t number);
	void ApplyIncoming();
	[[nodiscard]] StoredProgress ProgressOf(const ShardJob &job) const;
	/** Adds the records of a job's progress, as a new revision. @param job The job. @param[out] records Receives the
	 * records. */
	void AppendProgressOf(ShardJob &job, std::vector<KeyedRecord> &records);
	void Commit();
	[[nodiscard]] Batch BuildBatch(std::vector<KeyedRecord> &records);
	/** Frees what only an unfinished job needs, once its end is recorded and no run of it may exist. @param job The
	 * job. */
	static void ReleaseEnded(ShardJob &job);
	void OnCommitted(const Batch &batch);
	void HoldStarts();
	void NoteRecorded(const IncomingRecord &incoming);
	void OnRefused(const Batch &batch);
	void Forget(const JobId &id);

	/* shard_rank.cpp */
	/** A job with its sort key. */
	struct RankedJob {
		JobRank rank;            ///< Sort key.
		ShardJob *job = nullptr; ///< The job.
	};

	[[nodiscard]] std::vector<RankedJob> JobsInOrder();
	void MarkBeyondShares(std::vector<RankedJob> &jobs, const PlaceRound &round) const;
	/** @return Resources of all boxes of the service. */
	[[nodiscard]] Resources TotalCapacity() const;
	/** @return Longest time in which a job is on time, in ms from its request. */
	[[nodiscard]] static double ObjectiveOf(const ShardJob &job);
	[[nodiscard]] static JobRank RankOf(const ShardJob &job, Millis wall_now);
	/** @return Expected run time of a task of a step, in ms. */
	[[nodiscard]] double RunTimeOf(const ShardJob &job, const StepSpec &step) const;
	void RefreshOutlook(ShardJob &job, Millis now) const;
	[[nodiscard]] JobOutlook MakeOutlook(const ShardJob &job) const;
	/** @return Whether all steps that must be done before a step are done. */
	[[nodiscard]] bool StepReady(const ShardJob &job, uint32_t occurrence, uint32_t step) const;
	/** @return Whether the set time of an occurrence has come. */
	[[nodiscard]] bool Due(const ShardJob &job, uint32_t occurrence) const;
	[[nodiscard]] Resources ReadyDemand(const ShardJob &job) const;

	/* shard_late.cpp */
	/** @return Time since the run of a placed task was ordered: nothing when an earlier owner ordered it. */
	[[nodiscard]] std::optional<Millis> AgeOf(const ShardTask &task) const;
	/** @return Expected time until the run of a placed task ends: nothing when that is unknown or never. */
	[[nodiscard]] std::optional<Millis> TimeLeftOf(const ShardJob &job, const StepSpec &step,
												   const ShardTask &task) const;
	/** @return Whether a job can't be on time any more. */
	[[nodiscard]] bool IsLate(const ShardJob &job, Millis wall_now) const;
	/** @return Resources on a box that are used by jobs that can't be on time any more. */
	[[nodiscard]] Resources LateUseOf(const ShardBox &box, Millis wall_now);
	/** @return Expected time until the last task on a box has ended: nothing when that is unknown or never. */
	[[nodiscard]] std::optional<Millis> EndsIn(const ShardBox &box);
	/** @return Work that a running task loses when it is stopped, in thousandths of a core times ms. */
	[[nodiscard]] double LossOf(const ShardJob &job, const TaskId &id) const;
	/** @return Whether a task may be stopped so that another pool gets its box: a late one with checkpoints, once. */
	[[nodiscard]] bool MayGiveWay(const ShardJob &job, const TaskId &id) const;
	void RefillLossAllowed();
	void GiveWay(ShardJob &job, const TaskId &id);

	/* shard_place.cpp */
	void Place();
	[[nodiscard]] PlaceRound BeginRound();
	/** @return Boxes that accept tasks now. */
	[[nodiscard]] std::vector<OpenBox> OpenBoxes();
	void PlaceJob(PlaceRound &round, ShardJob &job);
	void PlaceStep(PlaceRound &round, ShardJob &job, uint32_t occurrence, uint32_t step);
	void PlaceGang(PlaceRound &round, ShardJob &job, uint32_t occurrence, uint32_t step);
	/** @return The best box for a task of a step, or null when none can take it. */
	OpenBox *ChooseBox(std::vector<OpenBox> &open, const ShardJob &job, const TaskId &first, StartKind kind);
	/** @return Whether the step needs no ticket for the box, or has a valid one. */
	[[nodiscard]] bool MayRun(const ShardJob &job, const TaskId &first, const ShardBox &box) const;
	void WantTickets(const PlaceRound &round, const ShardJob &job, const TaskId &first);
	/** @return Whether the round has a quarantine box and a crash cause of the job waits for it. */
	[[nodiscard]] bool MayUseQuarantine(const PlaceRound &round, const ShardJob &job) const;
	[[nodiscard]] StartKind StartKindOf(const ShardTask &task) const;
	/** @return Whether isolation, spacing and quarantine allow a start. */
	[[nodiscard]] static bool MayStartOn(const OpenBox &open, const JobId &job, StartKind kind);
	void NoteStarting(OpenBox &open, const JobId &job, StartKind kind) const;
	/** Chooses a box for each task of a gang; takes the room from `open`. @return Whether all tasks got one. */
	bool PickGang(std::vector<OpenBox> &open, const ShardJob &job, const TaskId &first, StartKind kind,
				  std::vector<ShardBox *> &picks);
	[[nodiscard]] uint32_t CountStepTasksOn(const ShardBox &box, const TaskId &first) const;
	void Assign(ShardJob &job, const TaskId &id, ShardBox &box, RunNumber run);
	/** @return Whether more tasks may be placed: few enough start orders wait to be sent or answered. */
	[[nodiscard]] bool MayQueueStarts() const;
	void SendRecordedStarts();
	void SendStart(const PendingStart &start);
	StartOrder MakeStart(const PendingStart &start, const ShardTask &task, Millis until) const;
	void OnStartAnswered(const PendingStart &start, const SentOrder &sent, const OrderAnswer &answer);
	void OnStarted(const TaskId &id, RunNumber run, const BoxIncarnation &incarnation, const OrderAnswer &answer);
	void OnStartUnknown(const TaskId &id, ShardTask &task);
	void RepeatStart(const TaskId &id, ShardTask &task);
	void OnStartRefused(const TaskId &id, ShardTask &task, OrderOutcome outcome);
	void GiveUpStart(const TaskId &id, ShardTask &task, RunEnding ending, const char *reason);
	/** Gives up a start in a zone that was evacuated in the meantime. */
	void GiveUpStartInZone(const TaskId &id, ShardTask &task);

	/* shard_runs.cpp */
	void Release(const TaskId &id, ShardTask &task);
	void EndRun(const TaskId &id, RunEnding ending, const std::string &saved, const char *reason);
	void LearnRunTime(const ShardJob &job, Millis ran);
	void OnRunFailed(ShardJob &job, const TaskId &id, ShardTask &task);
	void BreakGang(ShardJob &job, const TaskId &id);
	void FinishGang(ShardJob &job, const TaskId &id);
	void WantStop(const TaskId &id, ShardTask &task, const char *reason);
	void WantPlannedStop(const TaskId &id, ShardTask &task, const char *reason);
	/** Stops a run once StoredTask::leaving is recorded. */
	void WantRecordedStop(const TaskId &id, ShardTask &task, const char *reason);
	void OnStopRecorded(const PendingStop &stop);
	void SendStop(const TaskId &id);
	/** @return Context of an order that is sent to the box now. @param box The box. @param token Token of the order.
	 * @param wait How long the box may hold back its answer. */
	[[nodiscard]] SentOrder SentOrderTo(const ShardBox &box, FenceToken token, Millis wait = Millis(0)) const;
	/** Notes what the outcome of an order says about the box. @return Whether the caller is to process the answer: not
	 * when the token was refused or the incarnation has ended. */
	bool ProcessOutcome(const SentOrder &sent, const OrderAnswer &answer);
	[[nodiscard]] static bool FromOtherIncarnation(const SentOrder &sent, const OrderAnswer &answer);
	/** @return Whether the clock in an answer shows that the incarnation itself has answered. */
	[[nodiscard]] static bool FromSameIncarnation(const SentOrder &sent, const OrderAnswer &answer);
	void OnStopped(const TaskId &id, RunNumber run, const BoxIncarnation &incarnation, const OrderAnswer &answer);

	/* shard_boxes.cpp */
	void RenewLease(ShardBox &box);
	/** @return Whether ends are recorded that were not acknowledged to the box. */
	[[nodiscard]] static bool EndsToAcknowledge(const ShardBox &box)
	{
		return box.ends_durable > box.ends_acknowledged;
	}
	/** @return Whether ends may be acknowledged to the box now. */
	[[nodiscard]] bool MayAcknowledge(const ShardBox &box);
	void NoteMayHaveRestarted(ShardBox &box) const;
	void ForgetBoxes(const std::vector<BoxIncarnation> &incarnations);
	/** @return Whether no lease order needs to be sent to the box any more. */
	[[nodiscard]] static bool Idle(const ShardBox &box);
	void ScheduleRenewal(const BoxIncarnation &incarnation, Millis delay);
	void OnLease(const SentOrder &sent, uint64_t acknowledged, const LeaseAnswer &answer);
	void OnLeaseFailed(ShardBox &box, OrderOutcome outcome);
	/** @return Whether turns are late and starts wait because this node has too little processor time. */
	[[nodiscard]] bool Overloaded() const;
	/** @return Earliest time for the next lease order to a box. @param box The box. */
	[[nodiscard]] Millis RenewalDue(const ShardBox &box);
	/** @return Mean of the expected end times of a box's runs. @param box The box. */
	[[nodiscard]] Millis EndsExpected(const ShardBox &box);
	/** @return How long a box may hold back its answer to the next lease order. */
	[[nodiscard]] Millis LeaseWait(const ShardBox &box) const;
	void NoteOutcome(ShardBox &box, const SentOrder &sent, OrderOutcome outcome);
	/** Notes whether a box that keeps running leaves orders unanswered: see MayStillArrive(). @param box The box.
	 * @param sent An order to it. @param outcome The order's outcome. */
	void NoteUnanswered(ShardBox &box, const SentOrder &sent, OrderOutcome outcome);
	void Adopt(ShardBox &box);
	void ProcessRunning(ShardBox &box, const std::vector<RunningRow> &rows, Millis sent);
	/** @return Whether any end in the list is new. */
	bool ProcessEnded(ShardBox &box, const std::vector<EndedRow> &rows);
	template <class Row>
	void MarkListed(const std::vector<Row> &rows);
	void ProcessMissing(ShardBox &box, Millis sent);
	void StopUnknownRun(ShardBox &box, const RunningRow &row);
	/** @return End of a lease requested now, by the box's clock; nothing when none may be requested. */
	[[nodiscard]] std::optional<Millis> LeaseEnd(const ShardBox &box) const;
	/** @return Owner's time at which all leases requested by earlier owners will have expired. */
	[[nodiscard]] Millis EarlierLeasesEnd() const;
	void NoteLeaseRequested(ShardBox &box, Millis until);
	void NoteLongestLease(ShardBox &box) const;
	void ExpireLeases();
	void SetRenewalGap(size_t busy);
	/** Ends this ownership. @param reason Reason, for the log. */
	void OnSuperseded(const char *reason);

	/* shard_incarnations.cpp */
	/** Raises the token of orders to an id, for a new incarnation. */
	void RaiseFence(const BoxId &id);
	[[nodiscard]] OrderFence &FenceOf(const ShardBox &box) { return this->fences.at(box.report.incarnation.id); }
	/** @return Whether a later incarnation of the same id is known and has not ended. */
	[[nodiscard]] bool Outdated(const BoxReport &report);
	/** @return Known incarnations of an id, the oldest first. */
	[[nodiscard]] std::vector<ShardBox *> IncarnationsOf(const BoxId &id);
	void EndOtherIncarnations(ShardBox &current);
	void EndIncarnation(ShardBox &box, const char *reason);
	/** @return Whether a later agent may have the id of an incarnation. A report without a start time says that it
	 * can't: then an order that names the id reaches no other agent. */
	[[nodiscard]] static bool IdMayBeUsedAgain(const ShardBox &box);
	/** @return Whether the next incarnation of an ended box may still start the task's run by an earlier order. */
	[[nodiscard]] bool MayStillArrive(const ShardBox &box, const ShardTask &task) const;
	void ResolveLostRuns(ShardBox &box, const char *reason);
	void LoseBox(ShardBox &box, const char *reason, CrashEvidence evidence);
	/** Logs the runs that are held when a box has ended. @param box The box. @param reason Why it has ended. */
	void LogHeldRuns(const ShardBox &box, const char *reason);
	/** @return Whether ended incarnations of an id still have runs that the next one may start. */
	[[nodiscard]] bool HoldsRuns(const BoxId &id);
	void ResolveHeldRuns(const BoxId &id, const char *reason);
	/** Ends the incarnations under other ids that a box had before. @param report Report of its current one. */
	void EndEarlierIds(const BoxReport &report);
	void NoteOtherId(const BoxReport &report);
	/** Moves a run to the box if it was placed on an ended incarnation of the same id. @return Whether a run listed by
	 * the box is the current run of the task and is placed there. */
	bool ClaimRun(ShardBox &box, const TaskId &id, ShardTask &task, RunNumber run);

	/* shard_crashes.cpp */
	[[nodiscard]] CrashEvidence EvidenceOf(const ShardBox &box) const;
	/** Counts the end of a box against a task that was placed there, unless something else explains it. @return Whether
	 * the task's job is to fail. */
	bool NoteCrash(const ShardBox &box, const TaskId &id, CrashEvidence evidence);
	/** @return Whether the task has so many crashes that it isn't started any more. */
	[[nodiscard]] static bool AtCrashLimit(const StoredTask &task);
	/** @return Whether a task isn't started any more because it crashes its boxes. @param step Its step. @param task
	 * The task. */
	[[nodiscard]] static bool GivenUp(const StepSpec &step, const StoredTask &task);
	/** @return Whether it would be certain now that a start has crashed its box: see CALM_AFTER. */
	[[nodiscard]] bool Calm() const;
	/** @return Whether a lasting task at the crash limit waits until boxes are calm. @param step Its step. @param task
	 * The task. */
	[[nodiscard]] bool WaitsForCalm(const StepSpec &step, const StoredTask &task) const;
	/** @return Whether the task waits and isn't given up. @param job The job. @param step Its step. @param task The
	 * task. */
	[[nodiscard]] static bool Startable(const ShardJob &job, const StepSpec &step, const ShardTask &task);
	/** Logs a counted crash. @param box The box. @param id The task. @param certain Whether the box has certainly
	 * crashed while it ran the task. @param last_start Whether no other job's task had just started there. */
	void LogCrash(const ShardBox &box, const TaskId &id, bool certain, bool last_start);
	void ClearSuspicion(const ShardBox &box, const TaskId &id, ShardTask &task);
	void ForgetCrashes(const TaskId &id, ShardTask &task);
	/** Clears the crash counts of a lasting task, since a box that is still up has listed a lapsed run of it.
	 * @param id The task. @param task Its state. */
	void ClearByLapse(const TaskId &id, ShardTask &task);
	/** Records how long a run of a lasting task has lasted, when that has become known. @param box The box. @param
	 * id The task. @param task Its state. */
	void NoteRunAge(const ShardBox &box, const TaskId &id, ShardTask &task);
	/** @return Whether crashes fail the job. @param job The job. @param id Task with the newest crash.
	 * @param crash_attributed Whether that crash is attributed to the task. */
	[[nodiscard]] static bool FailsJob(const ShardJob &job, const TaskId &id, bool crash_attributed);
	void ScheduleIsolationCheck(const TaskId &id, RunNumber run);
	void CheckIsolated(const TaskId &id, RunNumber run);
	/** @return Whether the box was certainly up some time after the start of a run was confirmed. @param box The box.
	 * @param task Task of the run. @param span The time. */
	[[nodiscard]] static bool KnownUpFor(const ShardBox &box, const ShardTask &task, Millis span);
	/** @return When the current run of a task was started at the latest. */
	[[nodiscard]] static Millis StartedAt(const ShardTask &task);
	/** @return Whether the box was last heard from within JUST_STARTED of the start of the task. */
	[[nodiscard]] static bool JustStarted(const ShardBox &box, const ShardTask &task);
	/** @return Whether tasks of other jobs had just started on a box. @param box The box. @param job The job. @param
	 * causes_too Whether sole crash causes count as well. */
	[[nodiscard]] bool OthersJustStarted(const ShardBox &box, const JobId &job, bool causes_too);
	/** @return Whether the task's next start is to be isolated. */
	[[nodiscard]] bool StartsIsolated(const ShardTask &task) const;
	/** @return Whether the task is a suspect that its box is not known to have run for ISOLATION_FOR. */
	[[nodiscard]] static bool IsIsolated(const ShardBox &box, const ShardTask &task);
	/** @return Job whose suspects are isolated on the box. */
	[[nodiscard]] std::optional<JobId> IsolatedJobOn(const ShardBox &box) const;
	/** @return Whether starts of different jobs on one box are spaced in time. */
	[[nodiscard]] bool StartsSpaced() const { return this->scheduler.Now() < this->starts_spaced_until; }
	void SpaceStarts();
	/** @return Whether the task, when it waits, starts only on the quarantine box. */
	[[nodiscard]] bool WaitsForQuarantine(const ShardTask &task) const;
	/** @return Number of lasting tasks placed on the box. */
	[[nodiscard]] int64_t CountLasting(const ShardBox &box) const;
	/** @return Whether the task waits for the quarantine box now. */
	[[nodiscard]] bool QuarantineWanted(const TaskId &id) const;
	/** Chooses the quarantine box while crash causes wait. Takes it out of the round until only lasting tasks are
	 * placed there. */
	void ReserveQuarantineBox(PlaceRound &round);
	/** @return Job whose task was placed or started on the box within START_SPACING. */
	[[nodiscard]] std::optional<JobId> RecentStartOn(const ShardBox &box) const;
	/** @return Whether few enough boxes are isolated for other jobs that this job's suspects may start. */
	[[nodiscard]] static bool MayIsolate(const std::vector<OpenBox> &open, const JobId &job);

	/* shard_waits.cpp */
	/** Writes a line about a task. @param job The job. @param id The task. @param event Kind of the line. @param
	 * fields Its fields. */
	void LogTask(const ShardJob &job, const TaskId &id, const char *event, std::initializer_list<EventField> fields);
	/** Finds out which lasting tasks are without a run, and logs those that are for long. */
	void NoteWaits();
	void NoteWaitsOf(WaitCheck &check, const ShardJob &job);
	void NoteWait(const WaitCheck &check, const ShardJob &job, const TaskId &id, WaitReason reason);
	/** @return When the task was last known to run, or when its wait began. */
	[[nodiscard]] Millis LastKnownToRun(const ShardTask &task) const;
	/** @return Why a lasting task is without a run; nothing when it runs. */
	[[nodiscard]] std::optional<WaitReason> WhyWithoutRun(WaitCheck &check, const ShardJob &job, const TaskId &id);
	/** @return Why nothing can be recorded; nothing when it can. */
	[[nodiscard]] std::optional<WaitReason> WhyNotRecorded() const;
	/** @return Why a placed task doesn't run; nothing when it does. */
	[[nodiscard]] std::optional<WaitReason> WhyNotRunning(const ShardTask &task) const;
	[[nodiscard]] WaitReason WhyNotPlaced(WaitCheck &check, const ShardJob &job, const TaskId &id);
	[[nodiscard]] WaitReason WhyNoBox(WaitCheck &check, const ShardJob &job, const TaskId &first, StartKind kind);

	/* shard_drain.cpp */
	/** Stops the tasks on a box that is about to shut down, but for those that may still end there. */
	void StopTasksOnLeaving(ShardBox &box);
	void DrainBoxes();
	/** @return Whether operators have evacuated the box's zone. */
	[[nodiscard]] bool InEvacuatedZone(const ShardBox &box) const { return this->evacuated.Contains(box.report.zone); }
	/** Moves lasting tasks out of evacuated zones. */
	void MoveTasksFromZones();
	/** @return Whether a task runs, and another box has room for it, which is then taken from the round. */
	bool TakeRoomElsewhere(PlaceRound &round, const ShardJob &job, const TaskId &id);
	/** @return Whether a box that can be reached has no report although the log has been reachable. */
	[[nodiscard]] bool ReportMissing(const ShardBox &box, Millis now) const;
	void NoteLogUnreachable();
	/** @return Whether the last list of a box's runs can be relied on. */
	[[nodiscard]] bool ListedRecently(const BoxIncarnation &incarnation) const;
	/** @return Whether a planned stop of the task keeps within the step's limit of absent tasks. */
	[[nodiscard]] bool MayStop(const ShardJob &job, const TaskId &id) const;
	/** @return Whether tasks may be placed on the box now. */
	[[nodiscard]] bool AcceptsTasks(const ShardBox &box, Millis now) const;
};

#endif /* SHARD_BASE_H */
