/** @file job_type.h Jobs as graphs of tasks, the boxes that run them, and the orders sent to boxes. */
#ifndef JOB_TYPE_H
#define JOB_TYPE_H

#include "../account/account_list.h"
#include "../error_type.h"
#include "job_id.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using RouteName = Strong<struct RouteNameTag, std::string>; ///< Name of a route: a queue of jobs for one service.
using BoxId = Strong<struct BoxIdTag, std::string>;         ///< Id of a box's agent; may stay the same over restarts.
using RunNumber = Strong<struct RunNumberTag, uint32_t>;    ///< Counts the starts of a task, from 1; 0 means none.
using FenceToken = Strong<struct FenceTokenTag, uint64_t>;  ///< A box obeys only the highest token it has seen.

/**
 * One start of a box's agent. It has no state of an earlier one, also under the same id: its clock and the numbers of
 * ended runs start anew, and it has seen no token, run or stop order.
 */
struct BoxIncarnation {
	BoxId id;       ///< Id of the agent.
	Millis started; ///< Wall time of the start; 0 when unknown.

	auto operator<=>(const BoxIncarnation &) const = default;
};

/** @return The id and, if known, the start time, as shown in logs. @param incarnation The incarnation. */
std::string IncarnationText(const BoxIncarnation &incarnation);

/** A step of a job: a number of like tasks. */
struct StepSpec {
	uint32_t count = 1;          ///< Number of tasks.
	Resources demand;            ///< Resources per task.
	Millis estimate;             ///< Run time of a task, as estimated by the caller.
	std::vector<uint32_t> after; ///< Steps of the same job that must be done before this one starts.
	bool gang = false;           ///< All tasks start and end together.
	bool one_rack = false;       ///< Runs much slower when spread over several racks.
	std::string required_label;  ///< Label that the box must have; empty for any box.
	std::string data_rack;       ///< Rack near the data; the step is slower elsewhere. Empty for any rack.
	uint32_t per_box = 0;        ///< Maximum number of tasks on one box; 0 for no limit.
	bool checkpoints = false;    ///< Saves checkpoints and resumes from them.
	bool copies = false;         ///< A second copy of a slow task may run in parallel.
	bool lasting = false;        ///< Runs until cancelled; restarted however a run ends, unless it crashes boxes.
	std::string image;           ///< Program image; tasks with the same image behave alike.
	Millis latency_limit;        ///< Limit of the tail latency of a task that serves users; 0 for none.
	bool filler = false;         ///< Uses only processor time that other tasks leave idle.
	std::optional<uint32_t> absent_max; ///< Tasks that planned maintenance may keep from running at once; no limit if
										///< unset.

	bool operator==(const StepSpec &) const = default;
};

/** What a configuration says about the jobs of a route. */
struct RoutePolicy {
	int64_t priority = 0;      ///< Lower numbers are served first.
	uint32_t failures_max = 1; ///< Number of failed runs of a task that fails the job.
	double stretch = 1.0;      ///< The objective is `stretch` times the longest chain of steps, plus `headroom`.
	Millis headroom;           ///< Added to the stretched chain.
	bool needs_ticket = false; ///< Starts need a ticket of the placement policy, which allows only some boxes.

	bool operator==(const RoutePolicy &) const = default;
};

/** A route's policy and the version of the configuration that it is from. */
struct VersionedPolicy {
	uint64_t config = 0; ///< Version of the configuration.
	RoutePolicy policy;  ///< The policy.

	bool operator==(const VersionedPolicy &) const = default;
};

/** A job, as submitted by its caller. */
struct JobSpec {
	JobId id;                    ///< Id of the job.
	RouteName route;             ///< Route it was submitted on.
	AccountName account;         ///< Client account that submitted it; empty for none.
	std::string payload;         ///< Opaque data, passed on to the boxes.
	std::vector<StepSpec> steps; ///< Steps of the job.
	Millis first_due;            ///< Wall time of the first occurrence of a repeated job.
	Millis interval;             ///< Time between two occurrences.
	uint32_t repeats = 0;        ///< Number of occurrences; 0 for a single one that is due at once.
	Millis requested_at;         ///< Wall time of the caller's first request, as far as known.
	uint64_t config = 0;         ///< Version of the configuration by which its shard was chosen; 0 when not known.
	std::optional<RoutePolicy> policy; ///< Policy of the route in this configuration; unset when not known.

	/** @return Number of occurrences, at least 1. */
	[[nodiscard]] uint32_t Occurrences() const { return this->repeats == 0 ? 1 : this->repeats; }
	bool operator==(const JobSpec &) const = default;
};

/** @return Whether each step of a job fits the maximum of its account when it runs alone. @param spec The job. @param
 * maximum Maximum of the account; 0 of a kind of resource for no limit. */
bool FitsMaximum(const JobSpec &spec, const Resources &maximum);

/** Phase of a job; the numbers are stored. */
enum class JobPhase : uint8_t {
	JP_QUEUED = 0,    ///< No task was placed yet.
	JP_RUNNING = 1,   ///< At least one task was placed.
	JP_COMPLETED = 2, ///< All tasks have ended successfully.
	JP_FAILED = 3,    ///< A task failed or crashed boxes too often.
	JP_CANCELLED = 4, ///< Cancelled by its caller.
};

/** Phase of a task; the numbers are stored. */
enum class TaskPhase : uint8_t {
	TP_WAITING = 0, ///< To be started.
	TP_PLACED = 1,  ///< A box was chosen and may run it.
	TP_DONE = 2,    ///< Ended successfully.
};

/** Identifies a task of a job. */
struct TaskId {
	JobId job;               ///< Id of the job.
	uint32_t occurrence = 0; ///< Index of the occurrence.
	uint32_t step = 0;       ///< Index of the step.
	uint32_t index = 0;      ///< Index of the task within the step.

	auto operator<=>(const TaskId &) const = default;
};

/** Configuration of a route. */
struct JobRoute {
	RouteName name;          ///< Name of the route.
	std::string host;        ///< Host name in callers' requests.
	std::string path_prefix; ///< Path prefix of its jobs.
	ServiceName service;     ///< Service whose boxes run the jobs.
	RoutePolicy policy;      ///< How its jobs are treated.
	bool keyless = false;    ///< Callers need no key; its jobs belong to no account.
};

/** Configuration of a service. */
struct JobService {
	ServiceName name;              ///< Name of the service.
	bool enforces_capacity = true; ///< Its boxes refuse tasks that don't fit.
	bool reserve = false;          ///< Pool of boxes that are switched off.
};

/** The configuration in force. */
struct JobConfig {
	uint64_t version = 0;             ///< Rises with each change.
	std::vector<JobRoute> routes;     ///< All routes.
	std::vector<JobService> services; ///< All services.
	/** Client accounts; null where callers need no key at all. Shared by the shards of a node. */
	std::shared_ptr<const AccountList> accounts;

	/** @return The route with the given name, or null. */
	[[nodiscard]] const JobRoute *FindRoute(const RouteName &name) const;
	/**
	 * Finds the route of a request: the one with the longest matching prefix among those of the host.
	 * @param host Host named in the request, without port.
	 * @param path Path of the request.
	 * @return The route, or null.
	 */
	[[nodiscard]] const JobRoute *Match(std::string_view host, std::string_view path) const;
	/** @return The service with the given name, or null. */
	[[nodiscard]] const JobService *FindService(const ServiceName &name) const;
};

/** Status that a box's agent publishes. */
struct BoxReport {
	BoxIncarnation incarnation;      ///< Current incarnation of the agent.
	BoxName box;                     ///< Name of the box.
	ServiceName service;             ///< Service whose pool it belongs to.
	std::string address;             ///< IP:port of the agent.
	ZoneName zone;                   ///< Availability zone.
	Resources capacity;              ///< Total resources.
	std::vector<std::string> labels; ///< Labels, such as kind and rack.
	RackName rack;                   ///< Rack; one of the labels.
	bool leaving = false;            ///< Shuts down soon: nothing new may start there.
	Millis time_left;                ///< While leaving: minimum time until it shuts down.
	Millis cold_for;                 ///< Time from its writing on for which the box is still slow after its start.

	/** @return Whether the box has a label. */
	[[nodiscard]] bool HasLabel(const std::string &label) const;
};

inline constexpr double CLOCK_RATE_MIN = 0.98; ///< A box's clock may run 2% slow (platform documentation).

/** An order to start a task. */
struct StartOrder {
	TaskId task;           ///< The task.
	bool numbered = false; ///< Whether the job has occurrences at set times.
	RunNumber run;         ///< Number of the run.
	std::string payload;   ///< Payload of the job.
	std::string saved;     ///< Checkpoint to resume from; empty for none.
	std::string ticket;    ///< Ticket of the placement policy; empty for none.
	Millis lease_until;    ///< End of the lease, by the box's clock.
	FenceToken fence;      ///< Token of the owner.
};

/** Result of an order. */
enum class OrderOutcome : uint8_t {
	OO_DONE = 0,              ///< Carried out, now or earlier.
	OO_FENCED = 1,            ///< The box has seen a higher token.
	OO_RUN_TOO_OLD = 2,       ///< This run or a later one was stopped or has ended on the box.
	OO_LEASE_PAST = 3,        ///< The lease would end in the past.
	OO_NO_ROOM = 4,           ///< The task doesn't fit.
	OO_NO_TICKET = 5,         ///< The ticket of the placement policy is missing or has expired.
	OO_OTHER_INCARNATION = 6, ///< Another incarnation of an agent answers at this address.
	OO_BUSY = 7,              ///< Refused by an unhealthy box; not carried out.
	OO_REJECTED = 8,          ///< The order is not valid.
	OO_NOT_SENT = 9,          ///< No connection; certainly not carried out.
	OO_UNKNOWN = 10,          ///< No answer; it may have been carried out or still be.
};

/** Answer to an order. */
struct OrderAnswer {
	OrderOutcome outcome = OrderOutcome::OO_UNKNOWN; ///< Result of the order.
	std::optional<Millis> box_clock;                 ///< Clock of the box, if reported.
	std::optional<BoxIncarnation> incarnation;       ///< Incarnation that answered, if reported.
};

/** How a run ended. */
enum class RunEnding : uint8_t {
	RE_DONE = 0,    ///< Successfully.
	RE_FAILED = 1,  ///< By a fault of its own or of the box; counts as a failure.
	RE_STOPPED = 2, ///< By a stop order, or before it was started.
	RE_LAPSED = 3,  ///< Its lease expired or its box ended.
	RE_BROKEN = 4,  ///< Another task of its gang ended.
	RE_ALONE = 5,   ///< The other tasks of its gang didn't start in time.
};

/** A run that a box lists as running. */
struct RunningRow {
	TaskId task;       ///< The task.
	RunNumber run;     ///< Number of the run.
	std::string saved; ///< Newest checkpoint.
	int64_t share = 0; ///< Current pace in percent of full pace.
	int64_t load = 0;  ///< Tail latency in ms of a task that serves users, otherwise thousandths of a core in use.
};

/** A run that a box lists as ended. */
struct EndedRow {
	uint64_t number = 0;                      ///< Number of the end; rises within one incarnation of the box.
	TaskId task;                              ///< The task.
	RunNumber run;                            ///< Number of the run.
	RunEnding ending = RunEnding::RE_STOPPED; ///< How it ended.
	std::string saved;                        ///< Checkpoint to resume from.
};

/** An order to renew the lease of all runs on a box and to list them. */
struct LeaseOrder {
	FenceToken fence;                  ///< Token of the owner.
	uint64_t ends_noted = 0;           ///< Ends up to this number are recorded: the box may forget them.
	std::optional<Millis> lease_until; ///< New end of the lease by the box's clock; unset to leave it unchanged.
	Millis wait;                       ///< The box may hold back its answer this long until a run ends.
};

/** Answer to a LeaseOrder. */
struct LeaseAnswer {
	OrderAnswer order;               ///< Result of the order.
	std::vector<RunningRow> running; ///< Current runs.
	std::vector<EndedRow> ended;     ///< Ended runs that the owner hasn't acknowledged yet.
};

/** @return Name of a phase, as shown in logs. @param phase The phase. */
const char *NameOf(JobPhase phase);
/** @return Name of an outcome, as shown in logs. @param outcome The outcome. */
const char *NameOf(OrderOutcome outcome);
/** @return Name of an ending, as shown in logs. @param ending The ending. */
const char *NameOf(RunEnding ending);

/** Sends orders to boxes. Answers are delivered later, never from inside the call. */
class BoxOrders {
public:
	virtual ~BoxOrders() = default;
	using Done = std::function<void(OrderAnswer)>;

	/** Starts a task. @param box Receiver of the order. @param order The order. @param done Called with the answer. */
	virtual void Start(const BoxReport &box, const StartOrder &order, Done done) = 0;
	/** Stops a run, or makes sure that it never starts. @param box Receiver of the order. @param task The task. @param
	 * run Number of the run. @param fence Token of the owner. @param done Called with the answer. */
	virtual void Stop(const BoxReport &box, const TaskId &task, RunNumber run, FenceToken fence, Done done) = 0;
	/** Renews the lease and lists runs. @param box Receiver of the order. @param order The order. @param done Called
	 * with the answer. */
	virtual void Lease(const BoxReport &box, const LeaseOrder &order, std::function<void(LeaseAnswer)> done) = 0;
	/** Sets the pace of a run. @param box Receiver of the order. @param task The task. @param run Number of the run.
	 * @param percent Percent of full pace. @param fence Token of the owner. @param done Called with the answer. */
	virtual void Pace(const BoxReport &box, const TaskId &task, RunNumber run, int64_t percent, FenceToken fence,
					  Done done) = 0;
};

#endif /* JOB_TYPE_H */
