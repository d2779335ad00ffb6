/** @file box_site.h Simulated boxes that run tasks: their state, the orders of one node with fault injection, and
 * checks of the rules for starting and stopping tasks. */
#ifndef BOX_SITE_H
#define BOX_SITE_H

#include "../../event_log.h"
#include "../../jobs/job_type.h"
#include "../../scheduler_type.h"

#include <map>
#include <set>

/** A submitted job: what starts of its tasks are checked against, and how its tasks behave. */
struct SiteJob {
	JobSpec spec;                         ///< As submitted.
	ServiceName service;                  ///< Service that runs it.
	std::set<ServiceName> later_services; ///< Further services that some configuration sends its route to.
	Millis run_time = Millis(500);        ///< Run time of each of its tasks.
	uint32_t fail_first = 0;              ///< Number of runs of each task that fail before one succeeds.
	uint32_t failures_max = 3;            ///< Failed runs after which a task is given up.
	bool cancel_sent = false; ///< Whether a cancellation was sent; StepSpec::absent_max no longer applies then.
	std::optional<Millis> cancelled_at; ///< When its cancellation was confirmed.
	std::set<uint32_t> crashing_tasks;  ///< Indexes of the tasks of the first step that crash their box.
	Millis crash_delay = Millis(10);    ///< Time from the start of a crashing task to the crash.
};

/** Faults of the calls from all nodes to one box. */
struct BoxFaults {
	bool unreachable = false; ///< No call arrives; running tasks continue until the lease expires.
	/** Every n-th start, stop or pace of a node, counted over all boxes, is executed without an answer if it is sent to
	 * this box; 0 for none. */
	uint32_t lose_every = 0;
	bool late = false;                  ///< Whether the orders chosen by `lose_every` are executed LATE_DELAY later.
	bool drop_starts_and_stops = false; ///< Starts, stops and paces never arrive; lease orders are answered.
	uint32_t lose_lease_every = 0;      ///< Every n-th lease order of a node is executed without an answer; 0 for none.
};

/** Kind of an order to a box. */
enum class OrderKind : uint8_t {
	OK_START = 0, ///< Starts a run.
	OK_STOP = 1,  ///< Stops a run.
	OK_PACE = 2,  ///< Changes the pace of a run.
	OK_LEASE = 3, ///< Renews leases, acknowledges ends and lists runs.
};

/** An order as a node sends it. */
struct OutgoingOrder {
	OrderKind kind;          ///< Kind of the order.
	BoxName box;             ///< Box that it is sent to.
	FenceToken fence;        ///< Token of the order.
	TaskId task;             ///< Task of a start, stop or pace.
	uint64_t ends_noted = 0; ///< Number of ends that a lease order acknowledges.
};

/** What happens to an order in transit. */
struct OrderTransit {
	Millis delay = Millis(1); ///< Time until it arrives. It is lost if its box is down then.
	bool lost = false;        ///< Whether it never arrives.
	bool answered = true;     ///< Whether the node gets the answer.
};

/** All boxes with their agents, the processes that execute orders. Describes each violation of the rules in
 * `violations`. */
class BoxSite {
public:
	/** @param clock Clock and timers of the simulation. */
	explicit BoxSite(Scheduler &clock) : clock(clock) {}

	/** Adds a box. @param report Its report, of which the start time of the incarnation is set here. */
	void Add(const BoxReport &report);
	/** Restarts a box's agent: all runs are lost, its clock and its numbers of ends begin anew, and its fence token and
	 * its ends are forgotten. @param box Name of the box.
	 * @return Its new report. */
	BoxReport Restart(const BoxName &box);
	/** Crashes a box: it loses all runs, answers nothing for `restart_delay`, then restarts. Its report stays listed
	 * meanwhile. @param box Name of the box. */
	void Crash(const BoxName &box);
	/** @return A box's own clock: the time since it started. @param box Name of the box. */
	[[nodiscard]] Millis ClockOf(const BoxName &box) const;
	/** @return A box's current incarnation. @param box Name of the box. */
	[[nodiscard]] const BoxIncarnation &IncarnationOf(const BoxName &box) const
	{
		return this->boxes.at(box).report.incarnation;
	}
	/** @return Whether a box has crashed and has not restarted. @param box Name of the box. */
	[[nodiscard]] bool Down(const BoxName &box) const;
	/** Moves a box to another service. @param box Name of the box. @param service The new service. */
	void SetService(const BoxName &box, const ServiceName &service) { this->boxes.at(box).report.service = service; }
	/** Moves a box to another availability zone. @param box Name of the box. @param zone The new zone. */
	void SetZone(const BoxName &box, const ZoneName &zone) { this->boxes.at(box).report.zone = zone; }
	/** Changes the capacity of a running box. @param box Name of the box. @param new_capacity The new capacity. */
	void Resize(const BoxName &box, const Resources &new_capacity);
	/** @return Whether a job may be reported as failed: one of its tasks has failed `failures_max` times, or was
	 * running at two crashes or restarts of boxes. @param id The job. */
	[[nodiscard]] bool MayFail(const JobId &id) const;
	/** Registers a job. @param job What was submitted. */
	void AddJob(const SiteJob &job) { this->jobs[job.spec.id] = job; }
	/** @return A registered job. @param id Its id. */
	SiteJob &JobOf(const JobId &id) { return this->jobs.at(id); }
	/** @return Report of the box whose current incarnation has an id, or null. @param id The id. */
	[[nodiscard]] const BoxReport *FindReport(const BoxId &id) const;
	/** @return Reports of all boxes. */
	[[nodiscard]] std::vector<BoxReport> Reports() const;
	/** @return Whether a task of a job was ever started. @param id The job. */
	[[nodiscard]] bool Started(const JobId &id) const { return this->started_jobs.contains(id); }
	/** @return Number of running tasks of a job. @param id The job. */
	[[nodiscard]] size_t Running(const JobId &id) const;
	/** @return The box that runs a task, if any. @param task The task. */
	[[nodiscard]] std::optional<BoxName> BoxOf(const TaskId &task) const;
	/** @return Whether a box that is up and may be used has room for a task, and runs none of its job.
	 * @param service Service of the box. @param task The task. */
	[[nodiscard]] bool HasRoom(const ServiceName &service, const TaskId &task) const;

	/* Execute an order at once, as the box's agent does; see BoxOrders. Pace() only checks incarnation and fence. */
	OrderAnswer Start(const BoxReport &box, const StartOrder &order);
	OrderAnswer Stop(const BoxReport &box, const TaskId &task, RunNumber run, FenceToken fence);
	OrderAnswer Pace(const BoxReport &box, FenceToken fence);
	LeaseAnswer Lease(const BoxReport &box, const LeaseOrder &order);
	/** @return Whether a waiting lease order would change nothing and have no ends to tell, so that Lease() need not be
	 * called yet. */
	[[nodiscard]] bool NothingToTell(const BoxReport &box, const LeaseOrder &order);

	std::map<BoxName, BoxFaults> faults; ///< Faults by box.
	/** Called for each order that a node sends to a box that can be reached. Decides its transit; without a value, the
	 * faults of the box do. */
	std::function<std::optional<OrderTransit>(const OutgoingOrder &)> choose_transit;
	/** Chooses starts that boxes refuse without carrying them out, and the outcome; null to refuse none. */
	std::function<std::optional<OrderOutcome>(const BoxReport &, const StartOrder &)> refuse_start;
	/** Whether a lease order acknowledges ends only when it arrives, rather than also while it waits for ends. The
	 * platform's pages leave it open. */
	bool acknowledges_on_arrival = false;
	/** Evacuated zones, and the time from which on a start there is a violation. */
	std::map<ZoneName, Millis> no_starts_from;
	std::vector<std::string> violations; ///< Descriptions of broken rules.
	Millis lease_max = Millis(10000);    ///< Longest lease granted.
	Millis stop_delay;                   ///< Time from a stop order to the end of the run; 0 ends it at once.
	std::function<bool(const BoxReport &, const StartOrder &)> ticket_valid; ///< Checks tickets of the placement
																			 ///< policy; null when none are required.
	uint64_t starts = 0;                                                     ///< Number of started runs.
	uint64_t crashes = 0;                                                    ///< Number of crashes of boxes.
	Millis restart_delay = Millis(3000);                                     ///< Time from a crash to the restart.
	bool keep_box_id = true;     ///< Whether boxes keep their ids over a restart, if their reports have start times.
	bool reports_starts = true;  ///< Whether reports have start times. Without them, an id is never used again.
	Millis wall_clock_lag;       ///< Lag of the wall clock of restarted boxes.
	bool checks_capacity = true; ///< Whether boxes refuse starts beyond their capacity.
	EventLog *log = nullptr;     ///< Receives crashes, restarts and wrongly forgotten ends; null for none.

private:
	/** A run. */
	struct Run {
		RunNumber run;         ///< Number of the run.
		Resources resources;   ///< Resources in use.
		TimerId timer;         ///< Ends the run, or crashes its box.
		bool stopping = false; ///< Whether a stop was accepted.
	};

	/** A box. */
	struct Box {
		BoxReport report;                    ///< Its latest report.
		FenceToken fence;                    ///< Highest fence token seen.
		Millis clock_zero;                   ///< When its agent started: time 0 of its own clock.
		Millis lease_until;                  ///< End of the lease by its own clock.
		TimerId lease_timer;                 ///< Ends all runs when the lease expires.
		std::map<TaskId, Run> running;       ///< Running tasks.
		std::map<TaskId, RunNumber> stopped; ///< Highest run of each task that can't start any more.
		std::vector<EndedRow> ended;         ///< Ends of runs that the owner has not acknowledged.
		uint64_t last_end = 0;               ///< Number of the last end.
		bool down = false;                   ///< Whether it has crashed and not restarted.
		Resources capacity_before;           ///< Capacity before the last change.
		Millis resized_at{-1000000};         ///< When its capacity last changed.
	};

	Scheduler &clock;                                 ///< Clock and timers of the simulation.
	std::set<JobId> started_jobs;                     ///< Jobs with at least one started task.
	std::map<BoxName, Box> boxes;                     ///< Boxes by name.
	std::map<JobId, SiteJob> jobs;                    ///< Registered jobs.
	std::map<TaskId, uint32_t> failures_acknowledged; ///< Acknowledged failed runs by task.
	std::set<TaskId> done;                            ///< Tasks with a successful run.
	std::set<TaskId> done_acknowledged;               ///< Tasks whose success was acknowledged.
	std::map<TaskId, uint32_t> failures;              ///< Failed runs by task.
	std::map<TaskId, uint32_t> crashes_by_task;       ///< Crashes and restarts of boxes while they ran a task, by task.
	std::map<TaskId, uint32_t> starts_after_crashes; ///< Starts of a task after CRASHES_BEFORE_LIMIT of these, by task.
	std::set<TaskId> absent_tasks;                   ///< Tasks that were stopped by an order and not started since.
	uint64_t new_box_ids = 0;                        ///< Number of ids assigned by Restart().

	Box *Find(const BoxReport &report);
	[[nodiscard]] Millis ClockOf(const Box &box) const { return this->clock.Now() - box.clock_zero; }
	[[nodiscard]] OrderAnswer MakeAnswer(const Box *box, OrderOutcome outcome) const;
	void CheckStart(const Box &box, const StartOrder &order);
	void CheckCrashLimit(const SiteJob &job, const TaskId &task);
	void CheckCapacity(const Box &box, const TaskId &task, const Resources &demand);
	void LoseRuns(Box &box);
	/** Ends all other tasks of a lost task's gang, on all boxes. @param lost The lost task. */
	void EndGang(const TaskId &lost);
	void CheckStop(const Box &box, const TaskId &task);
	void EndStopped(const BoxName &name, const TaskId &task, RunNumber run);
	void End(const BoxName &name, const TaskId &task, RunEnding ending);
	void ExpireLease(const BoxName &name);
	void ExtendLease(Box &box, Millis until);
	/** Logs an end that is forgotten by a number above all ends of this incarnation, so by one of another incarnation.
	 */
	void LogForgotten(const Box &box, const LeaseOrder &order, const EndedRow &end);
	/** Logs a crash or a restart of a box. */
	void LogBox(const char *event, const Box &box);
	void AddViolation(const std::string &rule, const TaskId &task);
};

/** Sends the orders of one node to the boxes. */
class SiteOrders : public BoxOrders {
public:
	/** @param scheduler Clock and timers of the node. @param clock Clock and timers of the simulation. @param site The
	 * boxes; outlives this. */
	SiteOrders(Scheduler &scheduler, VirtualScheduler &clock, BoxSite &site)
			: scheduler(scheduler), clock(clock), site(site)
	{
	}

	void Start(const BoxReport &box, const StartOrder &order, Done done) override;
	void Stop(const BoxReport &box, const TaskId &task, RunNumber run, FenceToken fence, Done done) override;
	void Lease(const BoxReport &box, const LeaseOrder &order, std::function<void(LeaseAnswer)> done) override;
	void Pace(const BoxReport &box, const TaskId &task, RunNumber run, int64_t percent, FenceToken fence,
			  Done done) override;

	std::set<BoxName> unreachable_boxes; ///< Boxes that only this node can't reach.

private:
	Scheduler &scheduler;    ///< Clock and timers of the node; answers are held while it is paused.
	VirtualScheduler &clock; ///< Clock and timers of the simulation; orders arrive also while the node is paused.
	BoxSite &site;           ///< The boxes.
	uint32_t orders = 0;     ///< Number of starts, stops and paces sent.
	std::map<BoxName, uint32_t> lease_orders; ///< Number of lease orders sent to each box that could be reached.

	[[nodiscard]] bool CanReach(const BoxReport &box) const;
	/** @return Transit of an order as decided by BoxSite::choose_transit, if it decides. @param order The order. */
	[[nodiscard]] std::optional<OrderTransit> TransitOf(const OutgoingOrder &order) const;
	void Send(const BoxReport &box, const OutgoingOrder &order, std::function<OrderAnswer()> work, Done done);
	/** Sends a start, stop or pace with a decided transit. */
	void SendInTransit(const BoxName &box, const OrderTransit &transit, std::function<OrderAnswer()> work,
					   const Done &done);
	/** Sends a lease order with a decided transit. */
	void LeaseInTransit(const BoxReport &box, const LeaseOrder &order, const OrderTransit &transit,
						const std::function<void(LeaseAnswer)> &done);
	/** Answers a lease order once runs have ended or the order fails, at the latest at `until`. The answer is lost when
	 * the box no longer has the incarnation `called_incarnation`, at which the order arrived. */
	void Poll(const BoxReport &box, const LeaseOrder &order, Millis until, const BoxIncarnation &called_incarnation,
			  const std::function<void(LeaseAnswer)> &done);
};

#endif /* BOX_SITE_H */
