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
 * Decides for one service, while this node owns it: which box runs which task, and when. A placement is recorded before
 * its order leaves, an end before the box may forget it; so another owner can go on at any moment, and a deposed one
 * can't start anything.
 */
class Shard {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param journal Records; outlives this.
	 * @param orders Boxes; outlives this.
	 * @param log Lines; outlives this.
	 * @param service The service.
	 * @param fence Token of this ownership.
	 * @param limits Figures.
	 * @param advisor Knows the policies of routes; null when there is none; outlives this.
	 */
	Shard(Scheduler &scheduler, PairedJournal &journal, BoxOrders &orders, EventLog &log, ServiceName service,
		  FenceToken fence, ShardLimits limits, PlacementAdvisor *advisor = nullptr);
	~Shard();
	Shard(const Shard &) = delete;
	Shard &operator=(const Shard &) = delete;

	/** Takes over recorded progress, before Begin(): of two records of a job, the newer one. @param id The job. @param
	 * progress What is recorded. */
	void Restore(const JobId &id, const StoredProgress &progress);
	/** The owner before has let go by itself, or there was none. Before Begin(). @param span For so long owners before
	 * that one may still prolong leases. Told on from owner to owner: tasks of a dark box stood for 43 s when each of
	 * five owners within 30 s began to count anew. */
	void SetEarlierLeaseSpan(Millis span) { this->earlier_leases_until = this->owned_since + span; }
	/** @return For how long earlier owners may still prolong leases. */
	[[nodiscard]] Millis EarlierLeaseSpanLeft() const
	{
		return std::max(this->earlier_leases_until - this->scheduler.Now(), Millis(0));
	}
	/**
	 * Empties boxes for planned work: nothing is placed there, and what lasts moves away as its limits allow.
	 * @param drain The boxes, until the next call or for a short time.
	 * @param due Boxes that will be emptied before long: what lasts is rather placed elsewhere.
	 */
	void Drain(const std::set<BoxName> &drain, const std::set<BoxName> &due);
	/** Lives have ended: what ran there is lost. @param lives Lives that don't come back, also of other pools. */
	void NoteEnded(const std::set<BoxIncarnation> &incarnations);
	/** @return Whether the log has confirmed this ownership lately: another owner may place tasks otherwise, and what
	 * is said of boxes here may be over. */
	[[nodiscard]] bool Confirmed() const;
	/** Takes what the ledger of shares lends this service. @param loan It. */
	void TakeLoan(const ShareLoan &loan);
	/** @return How the pool stands. */
	[[nodiscard]] PoolStatus Status();
	/** Takes a job; one that is known is ignored. @param spec The job. @param recorded Whether the log has it. */
	void Submit(const JobSpec &spec, bool recorded = true);
	/** Cancels a job, also one that comes later. @param id The job. @param account Account of the caller: another
	 * account's job is left alone. */
	void Cancel(const JobId &id, const AccountName &account);
	/** Takes a submission or cancellation that is recorded with the next append, together with the placements that
	 * follow from it. @param incoming It. */
	void Accept(IncomingRecord incoming);
	/** Takes a configuration. @param config It. */
	void Configure(const JobConfig &config);
	/** Takes a box's report. @param report It. */
	void OnReport(const BoxReport &report);
	/** The report under an id is gone. @param id The id. */
	void OnReportRemoved(const BoxId &id);
	/** Tells where a life answered whose report has gone. Before Begin(). @param report Its last report. */
	void NoteRemovedReport(const BoxReport &report) { this->removed_reports[report.incarnation] = report; }
	/** Everything known when the shard was claimed has been told: begins to place. */
	void Begin();

	/** An append that was not this shard's own has ended: what had to wait for it goes on. */
	void OnJournalFree();
	/** The log has refused an append for certain: callers are refused and nothing is placed for a moment. */
	void OnJournalRefused();

	/** @return What is known of a job. @param id The job. */
	[[nodiscard]] JobView View(const JobId &id) const;
	/** @return Jobs of a route that no task was started of. @param route The route. */
	[[nodiscard]] uint32_t Waiting(const RouteName &route) const;
	/** @return Batches that were recorded around the shard's partition, since it didn't answer. */
	[[nodiscard]] uint64_t Detours() const { return this->journal.Detours(); }
	/** @return Counters. */
	[[nodiscard]] const ShardCounters &Counters() const { return this->counters; }
	/** @return What waits. */
	[[nodiscard]] ShardBacklog Backlog() const
	{
		return ShardBacklog{this->recorded_starts.size(), this->starts_under_way, this->incoming.size()};
	}
	/** @return How many of its boxes are in use, and why others are not. */
	[[nodiscard]] BoxCounts CountBoxes() const;
	/** @return Boxes. */
	[[nodiscard]] const std::map<BoxIncarnation, ShardBox> &Boxes() const { return this->boxes; }
	/** @return What accounts have running here. */
	[[nodiscard]] const AccountBook &Accounts() const { return this->book; }
	/** @return Jobs. */
	[[nodiscard]] const ShardJobs &Jobs() const { return this->jobs; }

	std::function<void()> on_deposed; ///< A box has seen a higher token. Called last in a turn.
	/** Reads what lies in the inbox by now, and calls back once that has been told. Null when there is no inbox. */
	std::function<void(std::function<void()>)> read_inbox;

private:
	/** A start order that waits for its record. */
	struct PendingStart {
		TaskId task;   ///< The task.
		RunNumber run; ///< Which start.
	};

	/** A stop for planned work that waits for its record. */
	struct PendingStop {
		TaskId task;   ///< The task.
		RunNumber run; ///< Which start.
	};

	/** What goes on when a batch is recorded. */
	struct Batch {
		std::vector<PendingStart> starts;        ///< Starts to send.
		std::vector<PendingStop> stops;          ///< Stops to send.
		std::map<BoxIncarnation, uint64_t> ends; ///< Ends that boxes may forget, up to these numbers.
		std::map<JobId, JobPhase> phases;        ///< Phases of the jobs recorded.
		std::vector<IncomingRecord> taken;       ///< Callers' records that it takes along.
		Millis made_at;                          ///< When it was handed to the journal.
	};

	Scheduler &scheduler;                              ///< Clock and timers.
	PairedJournal &journal;                            ///< Records.
	BoxOrders &orders;                                 ///< Boxes.
	EventLog &log;                                     ///< Lines.
	ServiceName service;                               ///< The service.
	FenceToken fence;                                  ///< Number of this ownership: see NextFence().
	uint64_t incarnations_seen = 0;                    ///< Lives of boxes that this owner has learned of.
	ShardLimits limits;                                ///< Figures.
	Millis owned_since;                                ///< When this ownership began.
	Millis earlier_leases_until;                       ///< Until then an earlier owner may prolong leases.
	Millis log_unreachable_at{-1000000};               ///< When the log had last not been heard of for long.
	bool begun = false;                                ///< Whether Begin().
	bool turn_scheduled = false;                       ///< Whether a turn is due.
	bool place_wanted = false;                         ///< Whether a turn came while records were under way.
	bool superseded = false;                           ///< Whether a box has seen a higher token.
	JobConfig config;                                  ///< The configuration in force.
	ShardJobs jobs;                                    ///< Jobs, also those that are over.
	std::map<JobId, ShardJob *> live;                  ///< Jobs that are not over.
	std::map<JobId, StoredProgress> restored;          ///< Recorded progress whose submission is not there yet.
	std::set<std::pair<JobId, AccountName>> cancelled; ///< Cancellations, also of jobs that are not there, by caller.
	AccountBook book;                                  ///< What accounts have running here.
	std::map<BoxIncarnation, ShardBox> boxes;          ///< Boxes of the service.
	std::map<BoxIncarnation, BoxReport>
			removed_reports;                      ///< Last reports of lives whose report has gone, until Begin().
	Millis order_unanswered_at{-1000000};         ///< When a box was last seen to live on after an unanswered order.
	std::set<BoxId> held;                         ///< Ids whose next life may carry out orders to the one before.
	std::map<BoxId, BoxReport> older_reports;     ///< Reports of lives that began before one that is known.
	std::map<RouteName, double> run_times;        ///< ms that tasks of a route took, on a scale of ratios, smoothed.
	std::map<uint64_t, IncomingRecord> incoming;  ///< Records that wait for the next append, in the order of arrival.
	uint64_t incoming_last = 0;                   ///< Number of the last of them.
	Millis starts_spaced_until;                   ///< Until then starts on one box are kept apart.
	std::set<TaskId> crash_causes;                ///< Tasks that a crash has named, also some that are over.
	std::optional<BoxIncarnation> quarantine_box; ///< Box that is kept for them, while some wait.
	Millis refused_at{-1000000};                  ///< When the log had last refused what was to be recorded.
	std::vector<IncomingRecord> accepted;         ///< Those that the next append takes along.
	std::set<JobId> dirty;                        ///< Jobs to be recorded.
	std::vector<PendingStart> starts;             ///< Orders to send once recorded.
	std::vector<PendingStop> stops;               ///< Stops for planned work to send once recorded.
	std::deque<PendingStart> recorded_starts;     ///< Recorded ones that wait for their turn to be sent.
	size_t starts_under_way = 0;                  ///< Start orders without answer.
	bool starts_held = false;                     ///< Whether recorded starts wait for the inbox to be read.
	Millis renewal_gap;                           ///< Least time between two lease orders to a box.
	uint64_t last_renewal = 0;                    ///< Number of the last answered lease order.
	Millis boxes_checked_at{-1000000};            ///< When CheckBoxes() last went through the boxes.
	bool boxes_changed = false;                   ///< Whether one changed since in a way that can't wait.
	Millis turn_due;                              ///< When the next turn is due, or the last one was.
	double late_ms = 0;                           ///< How late turns are, smoothed.
	Millis starts_waited_at{-1000000};            ///< When recorded starts last waited for their turn to be sent.
	TicketCache tickets;                          ///< What policies of routes allow.
	ShardCounters counters;                       ///< Counters.
	TimerId timer;                                ///< Next turn without an event.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

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
	void EndJob(ShardJob &job, JobPhase phase, const char *why);
	void CheckCompleted(ShardJob &job);
	ShardTask *FindTask(const TaskId &id);
	[[nodiscard]] const ShardTask *FindTask(const TaskId &id) const;
	void MarkDirty(const JobId &id);

	/* shard_records.cpp */
	[[nodiscard]] bool MayRecord() const;
	/** @return What is known of a record that is not taken: RC_OK when the log has it, RC_OUTCOME_UNKNOWN when it may.
	 */
	[[nodiscard]] ResultCode KnownResultOf(const IncomingRecord &incoming) const;
	/** @return Whether a record is about a job that another account has handed in. */
	[[nodiscard]] bool OfOtherAccount(const InboxKey &name) const;
	void Withdraw(uint64_t number);
	void TakeIncoming();
	[[nodiscard]] StoredProgress ProgressOf(const ShardJob &job) const;
	void Commit();
	[[nodiscard]] Batch TakeBatch(std::vector<KeyedRecord> &records);
	void OnCommitted(const Batch &batch);
	void HoldStarts();
	void NoteRecorded(const IncomingRecord &incoming);
	void OnRefused(const Batch &batch);
	void Forget(const JobId &id);

	/* shard_rank.cpp */
	/** A job with its place in the order. */
	struct RankedJob {
		JobRank rank;            ///< Its rank.
		ShardJob *job = nullptr; ///< The job.
	};

	[[nodiscard]] std::vector<RankedJob> JobsInOrder();
	void MarkBeyondShares(std::vector<RankedJob> &jobs, const PlaceRound &round) const;
	/** @return Thousandths of a core that jobs that can't be on time any more take on a box. */
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
	OpenBox *Choose(std::vector<OpenBox> &open, const ShardJob &job, const TaskId &first, StartKind kind);
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
	void GiveUpStart(const TaskId &id, ShardTask &task, RunEnding ending, const char *why);

	/* shard_runs.cpp */
	void Release(const TaskId &id, ShardTask &task);
	void EndRun(const TaskId &id, RunEnding ending, const std::string &saved, const char *why);
	void LearnRunTime(const ShardJob &job, Millis ran);
	void OnRunFailed(ShardJob &job, const TaskId &id, ShardTask &task);
	void BreakGang(ShardJob &job, const TaskId &id);
	void FinishGang(ShardJob &job, const TaskId &id);
	void WantStop(const TaskId &id, ShardTask &task, const char *why);
	void WantPlannedStop(const TaskId &id, ShardTask &task, const char *why);
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
	void OnLease(const SentOrder &sent, uint64_t noted, const LeaseAnswer &answer);
	void OnLeaseFailed(ShardBox &box, OrderOutcome outcome);
	[[nodiscard]] bool Overloaded() const;
	/** @return When a box may be looked at again. @param box It. */
	[[nodiscard]] Millis RenewalDue(const ShardBox &box);
	/** @return When the middle one of a box's runs is expected to have ended. @param box It. */
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
	[[nodiscard]] Millis FirstLapse() const;
	void NoteLeaseAsked(ShardBox &box, Millis until);
	void NoteLongestLease(ShardBox &box) const;
	void LapseBoxes();
	void SetRenewalGap(size_t busy);
	void OnSuperseded();

	/* shard_incarnations.cpp */
	FenceToken NextFence();
	[[nodiscard]] bool Outdated(const BoxReport &report);
	[[nodiscard]] std::vector<ShardBox *> IncarnationsOf(const BoxId &id);
	void EndOtherIncarnations(ShardBox &current);
	void EndIncarnation(ShardBox &box, const char *why);
	[[nodiscard]] bool MayStillArrive(const ShardBox &box, const ShardTask &task) const;
	void ResolveLostRuns(ShardBox &box, const char *why);
	void LoseBox(ShardBox &box, const char *why, CrashEvidence evidence);
	[[nodiscard]] bool HoldsRuns(const BoxId &id);
	void ResolveHeldRuns(const BoxId &id, const char *why);
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
	[[nodiscard]] static bool JustBegan(const ShardBox &box, const ShardTask &task);
	[[nodiscard]] bool OthersJustBegan(const ShardBox &box, const JobId &job, bool causes_too);
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
	void EmptyBoxes();
	[[nodiscard]] bool ReportMissing(const ShardBox &box, Millis now) const;
	void NoteLogUnreachable();
	[[nodiscard]] bool ListedRecently(const BoxIncarnation &incarnation) const;
	[[nodiscard]] bool MayStop(const ShardJob &job, const TaskId &id) const;
	[[nodiscard]] static bool AcceptsTasks(const ShardBox &box, Millis now);
};

#endif /* SHARD_BASE_H */
