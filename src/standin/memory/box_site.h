/** @file box_site.h Boxes that run tasks, in memory: their state machine, orders by one node, and what must never
 * happen. */
#ifndef BOX_SITE_H
#define BOX_SITE_H

#include "../../jobs/job_type.h"
#include "../../scheduler_type.h"

#include <map>
#include <set>

/** What the site knows of a job that callers handed in, to judge starts. */
struct SiteJob {
	JobSpec spec;                       ///< As handed in.
	ServiceName service;                ///< Service that runs it.
	Millis run_time = Millis(500);      ///< Time that each of its tasks takes.
	uint32_t fail_first = 0;            ///< Runs of each task that fail before one ends well.
	uint32_t failures_max = 3;          ///< Runs of a task that may fail.
	bool cancel_sent = false;           ///< Whether its cancellation was sent: no limit on absent tasks holds then.
	std::optional<Millis> cancelled_at; ///< When its cancellation was confirmed.
	std::set<uint32_t> crashing_tasks;  ///< Tasks of its first step that crash each box that starts them.
	Millis crash_delay = Millis(10);    ///< Time from the start of such a task to the crash.
};

/** Faults of the way from the nodes to one box. */
struct BoxFaults {
	bool unreachable = false;           ///< Nothing gets through; what runs goes on.
	uint32_t lose_every = 0;            ///< Every n-th order is done without an answer; 0 for none.
	bool late = false;                  ///< Those are done seconds later.
	bool drop_starts_and_stops = false; ///< Starts and stops get lost on their way; lease orders are answered.
	uint32_t lose_lease_every = 0;      ///< Every n-th lease order is done without an answer; 0 for none.
};

/** All boxes. Violations of the rules are collected as they happen. */
class BoxSite {
public:
	/** @param clock The world's clock. */
	explicit BoxSite(Scheduler &clock) : clock(clock) {}

	/** Adds a box. @param report What it will say of itself. */
	void Add(const BoxReport &report);
	/** A box's agent starts again: it loses all that runs, and its counts and its clock start anew. @param box Which.
	 * @return Its new report. */
	BoxReport Restart(const BoxName &box);
	/** A box loses all that runs, answers nothing for `restart_delay`, then starts again. Its report stands meanwhile.
	 * @param box Which. */
	void Crash(const BoxName &box);
	/** @return A box's own clock: the time since it started. @param box Which. */
	[[nodiscard]] Millis ClockOf(const BoxName &box) const;
	/** @return A box's current life. @param box Which. */
	[[nodiscard]] const BoxIncarnation &IncarnationOf(const BoxName &box) const
	{
		return this->boxes.at(box).report.incarnation;
	}
	/** @return Whether a box has crashed and isn't back. @param box Which. */
	[[nodiscard]] bool Down(const BoxName &box) const;
	/** A box serves another pool from now on. @param box Which. @param service The pool. */
	void Serve(const BoxName &box, const ServiceName &service) { this->boxes.at(box).report.service = service; }
	/** A box's room changes while it runs. @param box Which. @param room Its new room. */
	void Resize(const BoxName &box, const Resources &room);
	/** @return Whether a job may be shown as failed: one of its tasks has failed too often, or two boxes have crashed
	 * under it. @param id The job. */
	[[nodiscard]] bool MayFail(const JobId &id) const;
	/** Tells of a job. @param job It. */
	void AddJob(const SiteJob &job) { this->jobs[job.spec.id] = job; }
	/** @return A job. @param id Which. */
	SiteJob &JobOf(const JobId &id) { return this->jobs.at(id); }
	/** @return Reports of all boxes. */
	[[nodiscard]] std::vector<BoxReport> Reports() const;
	/** @return Whether a task of a job was ever started. @param id The job. */
	[[nodiscard]] bool Started(const JobId &id) const { return this->started.contains(id); }
	/** @return Tasks of a job that run now. @param id The job. */
	[[nodiscard]] size_t Running(const JobId &id) const;

	/* Orders, as they arrive. */
	OrderAnswer Start(const BoxReport &box, const StartOrder &order);
	OrderAnswer Stop(const BoxReport &box, const TaskId &task, RunNumber run, FenceToken fence);
	OrderAnswer Pace(const BoxReport &box, FenceToken fence);
	LeaseAnswer Lease(const BoxReport &box, const LeaseOrder &order);

	std::map<BoxName, BoxFaults> faults;                                     ///< Faults by box.
	std::vector<std::string> violations;                                     ///< Rules broken, in words.
	Millis lease_max = Millis(10000);                                        ///< Longest lease granted.
	Millis stop_delay;                                                       ///< A stopped run is listed for so long.
	std::function<bool(const BoxReport &, const StartOrder &)> ticket_valid; ///< Judges tickets; none are asked for
																			 ///< without it.
	uint64_t starts = 0;                                                     ///< Runs begun.
	uint64_t crashes = 0;                                                    ///< Crashes of boxes.
	Millis restart_delay = Millis(3000);                                     ///< A crashed box is back after this.
	bool keep_box_id = true;                                                 ///< Whether boxes keep their ids.
	Millis wall_clock_lag; ///< Wall clocks of boxes that start are behind by so much.
	bool checks_capacity =
			true; ///< Whether boxes refuse what doesn't fit; otherwise they start all that they are told.

private:
	/** A run. */
	struct Run {
		RunNumber run;         ///< Which start.
		Resources room;        ///< What it takes.
		TimerId timer;         ///< Its end.
		bool stopping = false; ///< A stop was taken.
	};

	/** A box. */
	struct Box {
		BoxReport report;                    ///< What it says of itself.
		FenceToken fence;                    ///< Highest token seen.
		Millis started;                      ///< When its agent started; its own clock begins then.
		Millis lease_until;                  ///< By its own clock.
		TimerId lease_timer;                 ///< End of the lease.
		std::map<TaskId, Run> running;       ///< What runs.
		std::map<TaskId, RunNumber> stopped; ///< Runs up to this one can't start any more.
		std::vector<EndedRow> ended;         ///< Ends not noted.
		uint64_t last_end = 0;               ///< Number of the last end.
		bool down = false;                   ///< It has crashed and isn't back yet.
		Resources capacity_before;           ///< Its room before the last change.
		Millis resized_at{-1000000};         ///< When its room changed last.
	};

	Scheduler &clock;                                 ///< The world's clock.
	std::set<JobId> started;                          ///< Jobs of which a task was started.
	std::map<BoxName, Box> boxes;                     ///< Boxes.
	std::map<JobId, SiteJob> jobs;                    ///< Jobs handed in.
	std::map<TaskId, uint32_t> failures_acknowledged; ///< Failed runs noted.
	std::set<TaskId> done;                            ///< Tasks of which a run has ended well.
	std::set<TaskId> done_acknowledged;               ///< The same, noted.
	std::map<TaskId, uint32_t> failures;              ///< Failed runs.
	std::map<TaskId, uint32_t> crashes_by_task;       ///< Boxes that crashed while they ran a task.
	std::map<TaskId, uint32_t> starts_after_crashes;  ///< Starts of a task after the third such crash.
	std::set<TaskId> absent_tasks; ///< Tasks that an order ended and that were not started again since.
	uint64_t new_box_ids = 0;      ///< Lives given out by Restart().

	Box *Find(const BoxReport &report);
	[[nodiscard]] Millis ClockOf(const Box &box) const { return this->clock.Now() - box.started; }
	[[nodiscard]] OrderAnswer MakeAnswer(const Box *box, OrderOutcome outcome) const;
	void CheckStart(const Box &box, const StartOrder &order);
	void CheckCrashLimit(const SiteJob &job, const TaskId &task);
	void CheckCapacity(const Box &box, const TaskId &task, const Resources &demand);
	void LoseRuns(Box &box);
	void EndGang(const TaskId &lost);
	void CheckStop(const Box &box, const TaskId &task);
	void EndStopped(const BoxName &name, const TaskId &task, RunNumber run);
	void End(const BoxName &name, const TaskId &task, RunEnding ending);
	void ExpireLease(const BoxName &name);
	void ExtendLease(Box &box, Millis until);
	void AddViolation(const std::string &rule, const TaskId &task);
};

/** Orders of one node to the boxes. */
class SiteOrders : public BoxOrders {
public:
	/** @param scheduler The node's clock. @param clock The world's clock. @param site The boxes; outlives this. */
	SiteOrders(Scheduler &scheduler, VirtualScheduler &clock, BoxSite &site)
			: scheduler(scheduler), clock(clock), site(site)
	{
	}

	void Start(const BoxReport &box, const StartOrder &order, Done done) override;
	void Stop(const BoxReport &box, const TaskId &task, RunNumber run, FenceToken fence, Done done) override;
	void Lease(const BoxReport &box, const LeaseOrder &order, std::function<void(LeaseAnswer)> done) override;
	void Pace(const BoxReport &box, const TaskId &task, RunNumber run, int64_t percent, FenceToken fence,
			  Done done) override;

	std::set<BoxName> unreachable_boxes; ///< Boxes that this node alone can't reach.

private:
	Scheduler &scheduler;                     ///< The node's clock.
	VirtualScheduler &clock;                  ///< The world's clock.
	BoxSite &site;                            ///< The boxes.
	uint32_t orders = 0;                      ///< Starts and stops sent.
	std::map<BoxName, uint32_t> lease_orders; ///< Lease orders sent, by box.

	[[nodiscard]] bool CanReach(const BoxReport &box) const;
	void Send(const BoxReport &box, std::function<OrderAnswer()> work, Done done);
	void Poll(const BoxReport &box, const LeaseOrder &order, Millis until, const BoxIncarnation &called_incarnation,
			  const std::function<void(LeaseAnswer)> &done);
};

#endif /* BOX_SITE_H */
