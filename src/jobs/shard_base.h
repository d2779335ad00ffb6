/** @file shard_base.h A shard: the jobs of one service and the boxes that run them, under one owner. */
#ifndef SHARD_BASE_H
#define SHARD_BASE_H

#include "../account/account_book.h"
#include "../event_log.h"
#include "../store/paired_journal.h"
#include "shard_type.h"
#include "ticket_cache.h"

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

	/** Restores recorded progress; of two records of a job the newer one wins. To be called before Begin(). @param id
	 * Id of the job. @param progress Recorded progress. */
	void Restore(const JobId &id, const StoredProgress &progress);
	/** Notes that the previous owner has released the shard, or that there was none. To be called before Begin().
	 * @param span How long owners before that one may still renew leases. Passed on from owner to owner: when each of
	 * five owners within 30 s started the wait anew, tasks of an unreachable box were not restarted for 43 s. */
	void SetEarlierLeaseSpan(Millis span) { this->earlier_leases_until = this->owned_since + span; }
	/** @return How long earlier owners may still renew leases. */
	[[nodiscard]] Millis EarlierLeaseSpanLeft() const
	{
		return std::max(this->earlier_leases_until - this->scheduler.Now(), Millis(0));
	}
	/**
	 * Drains boxes for planned maintenance: nothing is placed there, and lasting tasks move away as their limits allow.
	 * @param drain Boxes to drain, until the next call or for a short time.
	 * @param due Boxes that will be drained soon: lasting tasks are placed elsewhere if possible.
	 */
	void Drain(const std::set<BoxName> &drain, const std::set<BoxName> &due);
	/** Notes that incarnations have ended and their runs are lost. @param incarnations The ended incarnations, also
	 * those of other pools. */
	void NoteEnded(const std::set<BoxIncarnation> &incarnations);
	/** @return Whether the log has confirmed this ownership recently. Otherwise another owner may be placing tasks, and
	 * the state of boxes held here may be outdated. */
	[[nodiscard]] bool Confirmed() const;
	/** Applies the quota that accounts may use in this service. @param loan Quota granted by the share ledger. */
	void TakeLoan(const ShareLoan &loan);
	/** @return Status of the pool. */
	[[nodiscard]] PoolStatus Status();
	/** Adds a job; a known one is ignored. @param spec The job. @param recorded Whether the log has it. */
	void Submit(const JobSpec &spec, bool recorded = true);
	/** Cancels a job, also one that is submitted later. @param id Id of the job. @param account Account of the caller;
	 * a job of another account is not cancelled. */
	void Cancel(const JobId &id, const AccountName &account);
	/** Accepts a submission or cancellation. It is recorded with the next append, together with the placements that
	 * follow from it. @param incoming Record of the caller. */
	void Accept(IncomingRecord incoming);
	/** Applies a configuration. @param config The configuration. */
	void Configure(const JobConfig &config);
	/** Handles a report of a box. @param report The report. */
	void OnReport(const BoxReport &report);
	/** Handles the removal of a report. @param id Id of the box's agent. */
	void OnReportRemoved(const BoxId &id);
	/** Passes on the address of an incarnation whose report was removed. To be called before Begin(). @param report Its
	 * last report. */
	void NoteRemovedReport(const BoxReport &report) { this->removed_reports[report.incarnation] = report; }
	/** Starts to place tasks. To be called once all records known when the shard was claimed have been passed in. */
	void Begin();

	/** Continues after the end of an append that was not this shard's own. */
	void OnJournalFree();
	/** Handles an append that the log has certainly refused: callers are refused and nothing is placed for a moment. */
	void OnJournalRefused();

	/** @return Recorded status of a job. @param id Id of the job. */
	[[nodiscard]] JobView View(const JobId &id) const;
	/** @return Number of jobs of a route of which no task was started. @param route Name of the route. */
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
	/** @return Resources that accounts use here. */
	[[nodiscard]] const AccountBook &Accounts() const { return this->book; }
	/** @return Jobs by id, also those that are over. */
	[[nodiscard]] const ShardJobs &Jobs() const { return this->jobs; }

	std::function<void()> on_superseded; ///< Called last in a turn when a box has seen a higher token.
	/** Reads the inbox up to its current end and calls back once its records have been passed in. Null when there is no
	 * inbox. */
	std::function<void(std::function<void()>)> read_inbox;

private:
	/** A start order whose record is pending. */
	struct PendingStart {
		TaskId task;   ///< The task.
		RunNumber run; ///< Number of the run.
	};

	/** A stop order for planned maintenance whose record is pending. */
	struct PendingStop {
		TaskId task;   ///< The task.
		RunNumber run; ///< Number of the run.
	};

	/** What to continue with once a batch of records is durable. */
	struct Batch {
		std::vector<PendingStart> starts;           ///< Starts to send.
		std::vector<PendingStop> stops;             ///< Stops to send.
		std::map<BoxIncarnation, uint64_t> ends;    ///< Numbers up to which boxes may forget ends.
		std::map<JobId, JobPhase> phases;           ///< Phases of the recorded jobs.
		std::vector<IncomingRecord> caller_records; ///< Callers' records in the batch.
		Millis made_at;                             ///< When it was passed to the journal.
	};

	Scheduler &scheduler;                     ///< Clock and timers.
	PairedJournal &journal;                   ///< Appends records to the log.
	BoxOrders &orders;                        ///< Sends orders to boxes.
	EventLog &log;                            ///< Event log.
	ServiceName service;                      ///< Name of the service.
	FenceToken fence;                         ///< Token of this ownership: see NextFence().
	uint64_t incarnations_seen = 0;           ///< Incarnations of boxes that this owner has learned of.
	ShardLimits limits;                       ///< Time limits.
	Millis owned_since;                       ///< When this ownership started.
	Millis earlier_leases_until;              ///< Until then an earlier owner may renew leases.
	Millis log_unreachable_at{-1000000};      ///< When the log was last found unreachable.
	bool begun = false;                       ///< Whether Begin() was called.
	bool turn_scheduled = false;              ///< Whether a turn is scheduled to run at once.
	bool place_wanted = false;                ///< Whether a turn skipped placing because an append was under way.
	bool superseded = false;                  ///< Whether a box has seen a higher token.
	JobConfig config;                         ///< The configuration in force.
	ShardJobs jobs;                           ///< All jobs, also those that are over.
	std::map<JobId, ShardJob *> live;         ///< Jobs that are not over.
	std::map<JobId, StoredProgress> restored; ///< Recorded progress of jobs whose submission hasn't arrived.
	std::set<std::pair<JobId, AccountName>> cancelled; ///< Cancellations by caller, also of jobs that haven't arrived.
	AccountBook book;                                  ///< Resources that accounts use here.
	std::map<BoxIncarnation, ShardBox> boxes;          ///< Boxes of the service.
	/** Last reports of incarnations whose report was removed; used until Begin(). */
	std::map<BoxIncarnation, BoxReport> removed_reports;
	Millis order_unanswered_at{-1000000};     ///< When a box was last found running after an order without an answer.
	std::set<BoxId> held;                     ///< Ids whose next incarnation may carry out orders to the previous one.
	std::map<BoxId, BoxReport> older_reports; ///< Reports of incarnations that started before a known one.
	std::map<RouteName, double> run_times;    ///< Run times of a route's tasks in ms: geometric moving average.
	std::map<uint64_t, IncomingRecord> incoming; ///< Records that wait for the next append, in order of arrival.
	uint64_t incoming_last = 0;                  ///< Number of the newest of them.
	Millis starts_spaced_until;    ///< Until then, starts of different jobs on one box are spaced in time.
	std::set<TaskId> crash_causes; ///< Isolated crash causes; some may be over.
	std::optional<BoxIncarnation> quarantine_box; ///< Box reserved for them while some wait.
	Millis refused_at{-1000000};                  ///< When the log last refused an append.
	std::vector<IncomingRecord> accepted;         ///< Records that go into the next append.
	std::set<JobId> dirty;                        ///< Jobs whose progress is to be recorded.
	std::vector<PendingStart> starts;             ///< Start orders to send once recorded.
	std::vector<PendingStop> stops;               ///< Stop orders to send once recorded.
	std::deque<PendingStart> recorded_starts;     ///< Recorded start orders that wait to be sent.
	size_t starts_under_way = 0;                  ///< Start orders without an answer.
	bool starts_held = false;                     ///< Whether recorded starts wait until the inbox has been read.
	Millis renewal_gap;                           ///< Minimum time between two lease orders to a box.
	uint64_t last_renewal = 0;                    ///< Number of the last answered lease order.
	Millis boxes_checked_at{-1000000};            ///< When CheckBoxes() last visited the boxes.
	bool boxes_changed = false;        ///< Whether a box changed since then in a way that needs a check at once.
	Millis turn_due;                   ///< When the next turn is due, or the last one was.
	double late_ms = 0;                ///< Smoothed lateness of turns.
	Millis starts_waited_at{-1000000}; ///< When recorded starts were last left waiting to be sent.
	TicketCache tickets;               ///< Tickets of the placement policy.
	ShardCounters counters;            ///< Counters.
	TimerId timer;                     ///< Next turn.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	/* shard_jobs.cpp */
	void ScheduleTurn();
	void Turn();
	void NoteLateness();
	[[nodiscard]] Millis CheckBoxes();
	void AddToBox(ShardBox &box, const ShardJob &job, const TaskId &id);
	bool RemoveFromBox(ShardBox &box, const ShardJob &job, const TaskId &id);
	ShardJob MakeJob(const JobSpec &spec) const;
	void ApplyRoute(ShardJob &job) const;
	[[nodiscard]] bool Cancelled(const JobSpec &spec) const;
	void EndJob(ShardJob &job, JobPhase phase, const char *reason);
	void CheckCompleted(ShardJob &job);
	ShardTask *FindTask(const TaskId &id);
	[[nodiscard]] const ShardTask *FindTask(const TaskId &id) const;
	void MarkDirty(const JobId &id);

	/* shard_records.cpp */
	[[nodiscard]] bool MayRecord() const;
	/** @return Result to report for a record that is not accepted: RC_OK when the log has it already,
	 * RC_OUTCOME_UNKNOWN when it may have it. */
	[[nodiscard]] ResultCode KnownResultOf(const IncomingRecord &incoming) const;
	/** @return Whether a record concerns a job that another account has submitted. */
	[[nodiscard]] bool BelongsToOtherAccount(const InboxKey &name) const;
	void Withdraw(uint64_t number);
	void ApplyIncoming();
	[[nodiscard]] StoredProgress ProgressOf(const ShardJob &job) const;
	void Commit();
	[[nodiscard]] Batch BuildBatch(std::vector<KeyedRecord> &records);
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
	/** @return Thousandths of a core on a box that are used by jobs that can't be on time any more. */
	[[nodiscard]] int64_t LateCpuOn(const ShardBox &box, Millis wall_now);
	[[nodiscard]] static JobRank RankOf(const ShardJob &job, Millis wall_now);
	[[nodiscard]] double RunTimeOf(const ShardJob &job, const StepSpec &step) const;
	void RefreshOutlook(ShardJob &job, Millis now) const;
	[[nodiscard]] JobOutlook MakeOutlook(const ShardJob &job) const;
	[[nodiscard]] bool StepReady(const ShardJob &job, uint32_t occurrence, uint32_t step) const;
	[[nodiscard]] bool Due(const ShardJob &job, uint32_t occurrence) const;
	[[nodiscard]] Resources ReadyDemand(const ShardJob &job) const;

	/* shard_place.cpp */
	void Place();
	[[nodiscard]] PlaceRound BeginRound();
	void PlaceJob(PlaceRound &round, ShardJob &job);
	void PlaceStep(PlaceRound &round, ShardJob &job, uint32_t occurrence, uint32_t step);
	void PlaceGang(PlaceRound &round, ShardJob &job, uint32_t occurrence, uint32_t step);
	OpenBox *ChooseBox(std::vector<OpenBox> &open, const ShardJob &job, const TaskId &first, StartKind kind);
	[[nodiscard]] bool MayRun(const ShardJob &job, const TaskId &first, const ShardBox &box) const;
	void WantTickets(const PlaceRound &round, const ShardJob &job, const TaskId &first);
	[[nodiscard]] bool MayUseQuarantine(const PlaceRound &round, const ShardJob &job) const;
	[[nodiscard]] StartKind StartKindOf(const ShardTask &task) const;
	[[nodiscard]] static bool MayStartOn(const OpenBox &open, const JobId &job, StartKind kind);
	void NoteStarting(OpenBox &open, const JobId &job, StartKind kind) const;
	bool PickGang(std::vector<OpenBox> &open, const ShardJob &job, const TaskId &first, StartKind kind,
				  std::vector<ShardBox *> &picks);
	[[nodiscard]] uint32_t CountStepTasksOn(const ShardBox &box, const TaskId &first) const;
	void Assign(ShardJob &job, const TaskId &id, ShardBox &box, RunNumber run);
	void SendRecordedStarts();
	void SendStart(const PendingStart &start);
	void OnStarted(const TaskId &id, RunNumber run, const BoxIncarnation &incarnation, const OrderAnswer &answer);
	void OnStartUnknown(const TaskId &id, ShardTask &task);
	void RepeatStart(const TaskId &id, ShardTask &task);
	void OnStartRefused(const TaskId &id, ShardTask &task, OrderOutcome outcome);
	void GiveUpStart(const TaskId &id, ShardTask &task, RunEnding ending, const char *reason);

	/* shard_runs.cpp */
	void Release(const TaskId &id, ShardTask &task);
	void EndRun(const TaskId &id, RunEnding ending, const std::string &saved, const char *reason);
	void LearnRunTime(const ShardJob &job, Millis ran);
	void OnRunFailed(ShardJob &job, const TaskId &id, ShardTask &task);
	void BreakGang(ShardJob &job, const TaskId &id);
	void FinishGang(ShardJob &job, const TaskId &id);
	void WantStop(const TaskId &id, ShardTask &task, const char *reason);
	void WantPlannedStop(const TaskId &id, ShardTask &task, const char *reason);
	void OnStopRecorded(const PendingStop &stop);
	void SendStop(const TaskId &id);
	[[nodiscard]] SentOrder SentOrderTo(const ShardBox &box) const;
	bool ProcessOutcome(const SentOrder &sent, const OrderAnswer &answer);
	[[nodiscard]] static bool FromOtherIncarnation(const SentOrder &sent, const OrderAnswer &answer);
	void OnStopped(const TaskId &id, RunNumber run, const BoxIncarnation &incarnation, const OrderAnswer &answer);

	/* shard_boxes.cpp */
	void RenewLease(ShardBox &box);
	[[nodiscard]] static bool Idle(const ShardBox &box);
	void ScheduleRenewal(const BoxIncarnation &incarnation, Millis delay);
	void OnLease(const SentOrder &sent, uint64_t acknowledged, const LeaseAnswer &answer);
	void OnLeaseFailed(ShardBox &box, OrderOutcome outcome);
	[[nodiscard]] bool Overloaded() const;
	/** @return When the lease of a box may be renewed next. @param box The box. */
	[[nodiscard]] Millis RenewalDue(const ShardBox &box);
	/** @return Mean of the expected end times of a box's runs. @param box The box. */
	[[nodiscard]] Millis EndsExpected(const ShardBox &box);
	[[nodiscard]] Millis LeaseWait(const ShardBox &box) const;
	void NoteOutcome(ShardBox &box, Millis sent, OrderOutcome outcome);
	void Adopt(ShardBox &box);
	void ProcessRunning(ShardBox &box, const std::vector<RunningRow> &rows, Millis sent);
	bool ProcessEnded(ShardBox &box, const std::vector<EndedRow> &rows);
	template <class Row>
	void MarkListed(const std::vector<Row> &rows);
	void ProcessMissing(ShardBox &box, Millis sent);
	void StopUnknownRun(ShardBox &box, const RunningRow &row);
	[[nodiscard]] std::optional<Millis> LeaseEnd(const ShardBox &box) const;
	[[nodiscard]] Millis EarlierLeasesEnd() const;
	void NoteLeaseRequested(ShardBox &box, Millis until);
	void NoteLongestLease(ShardBox &box) const;
	void ExpireLeases();
	void SetRenewalGap(size_t busy);
	void OnSuperseded();

	/* shard_incarnations.cpp */
	FenceToken NextFence();
	[[nodiscard]] bool Outdated(const BoxReport &report);
	[[nodiscard]] std::vector<ShardBox *> IncarnationsOf(const BoxId &id);
	void EndOtherIncarnations(ShardBox &current);
	void EndIncarnation(ShardBox &box, const char *reason);
	[[nodiscard]] bool MayStillArrive(const ShardBox &box, const ShardTask &task) const;
	void ResolveLostRuns(ShardBox &box, const char *reason);
	void LoseBox(ShardBox &box, const char *reason, CrashEvidence evidence);
	[[nodiscard]] bool HoldsRuns(const BoxId &id);
	void ResolveHeldRuns(const BoxId &id, const char *reason);
	void NoteOtherId(const BoxReport &report);
	bool ClaimRun(ShardBox &box, const TaskId &id, ShardTask &task, RunNumber run);

	/* shard_crashes.cpp */
	[[nodiscard]] CrashEvidence EvidenceOf(const ShardBox &box) const;
	bool NoteCrash(const ShardBox &box, const TaskId &id, CrashEvidence evidence);
	[[nodiscard]] static bool CrashesBoxes(const StoredTask &task);
	[[nodiscard]] static bool Startable(const ShardTask &task);
	void LogCrash(const ShardBox &box, const TaskId &id, bool last_start);
	void ClearSuspicion(const ShardBox &box, const TaskId &id, ShardTask &task);
	[[nodiscard]] static bool GivesUp(const ShardJob &job, const TaskId &id, bool last_start);
	void ScheduleIsolationCheck(const TaskId &id, RunNumber run);
	void CheckIsolated(const TaskId &id, RunNumber run);
	[[nodiscard]] static bool JustStarted(const ShardBox &box, const ShardTask &task);
	[[nodiscard]] bool OthersJustStarted(const ShardBox &box, const JobId &job, bool causes_too);
	[[nodiscard]] bool StartsIsolated(const ShardTask &task) const;
	[[nodiscard]] static bool IsIsolated(const ShardBox &box, const ShardTask &task);
	[[nodiscard]] std::optional<JobId> IsolatedJobOn(const ShardBox &box) const;
	[[nodiscard]] bool StartsSpaced() const { return this->scheduler.Now() < this->starts_spaced_until; }
	void SpaceStarts();
	[[nodiscard]] bool WaitsForQuarantine(const ShardTask &task) const;
	[[nodiscard]] int64_t CountLasting(const ShardBox &box) const;
	[[nodiscard]] bool QuarantineWanted(const TaskId &id) const;
	void ReserveQuarantineBox(PlaceRound &round);
	[[nodiscard]] std::optional<JobId> RecentStartOn(const ShardBox &box) const;
	[[nodiscard]] static bool MayIsolate(const std::vector<OpenBox> &open, const JobId &job);

	/* shard_drain.cpp */
	void Evacuate(ShardBox &box);
	void DrainBoxes();
	[[nodiscard]] bool ReportMissing(const ShardBox &box, Millis now) const;
	void NoteLogUnreachable();
	[[nodiscard]] bool ListedRecently(const BoxIncarnation &incarnation) const;
	[[nodiscard]] bool MayStop(const ShardJob &job, const TaskId &id) const;
	[[nodiscard]] static bool AcceptsTasks(const ShardBox &box, Millis now);
};

#endif /* SHARD_BASE_H */
