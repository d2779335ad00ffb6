/** @file job_type.h Jobs as graphs of tasks, the boxes that run them, and the orders between the two. */
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

using RouteName = Strong<struct RouteNameTag, std::string>; ///< A route: a queue of jobs for one service.
using BoxId = Strong<struct BoxIdTag, std::string>;         ///< Id of a box's agent; it may keep it over restarts.
using RunNumber = Strong<struct RunNumberTag, uint32_t>;    ///< Counts the starts of a task, from 1; 0 is "none".
using FenceToken = Strong<struct FenceTokenTag, uint64_t>;  ///< A box obeys only the highest token it has seen.

/**
 * One start of a box's agent. It holds and knows nothing of an earlier one, also under the same id: its clock and its
 * numbers of ends begin anew, and it has seen no token, run or stop.
 */
struct BoxIncarnation {
	BoxId id;       ///< Its id.
	Millis started; ///< Wall time of the start; 0 when it isn't told.

	auto operator<=>(const BoxIncarnation &) const = default;
};

/** @return A life, as logs show it: the id, and when it began if that is known. @param life The life. */
std::string IncarnationText(const BoxIncarnation &incarnation);

/** A step of a job: tasks that are alike. */
struct StepSpec {
	uint32_t count = 1;                 ///< Tasks.
	Resources demand;                   ///< What each takes.
	Millis estimate;                    ///< Guess of the run time of each.
	std::vector<uint32_t> after;        ///< Steps of the same job that must have ended before.
	bool gang = false;                  ///< All tasks start and end together.
	bool one_rack = false;              ///< Runs much slower when spread over racks.
	std::string required_label;         ///< Label that the box must have; empty for any.
	std::string data_rack;              ///< Rack near the data; elsewhere the step is slower. Empty for any.
	uint32_t per_box = 0;               ///< Tasks that one box may run at most; 0 for any number.
	bool checkpoints = false;           ///< Saves progress, and resumes from it.
	bool copies = false;                ///< A second copy of a slow task may run beside the first.
	bool lasting = false;               ///< Runs until the job is cancelled; restarted however it ends.
	std::string image;                  ///< Program; tasks of one image behave alike.
	Millis latency_limit;               ///< Limit on the tail latency of a task that serves users; 0 for none.
	bool filler = false;                ///< Takes only the processor time that others leave.
	std::optional<uint32_t> absent_max; ///< Tasks that planned work may keep away at once; none for no limit.

	bool operator==(const StepSpec &) const = default;
};

/** A job, as its caller handed it in. */
struct JobSpec {
	JobId id;                    ///< Its name.
	RouteName route;             ///< Queue that took it.
	AccountName account;         ///< Client account that handed it in; empty for nobody's.
	std::string payload;         ///< Passed to the boxes unread.
	std::vector<StepSpec> steps; ///< Its steps.
	Millis first_due;            ///< Wall time of the first occurrence, for repeated jobs.
	Millis interval;             ///< Between two occurrences.
	uint32_t repeats = 0;        ///< Occurrences; 0 for one at once.
	Millis requested_at;         ///< Wall time at which its caller first asked, as far as that is known.

	/** @return Number of occurrences. */
	[[nodiscard]] uint32_t Occurrences() const { return this->repeats == 0 ? 1 : this->repeats; }
	bool operator==(const JobSpec &) const = default;
};

/** @return Whether each step of a job could run within what its account may have at once. @param spec The job. @param
 * maximum That; 0 of a kind for no limit. */
bool FitsMaximum(const JobSpec &spec, const Resources &maximum);

/** Where a job stands; the numbers are stored. */
enum class JobPhase : uint8_t {
	JP_QUEUED = 0,    ///< No task was started yet.
	JP_RUNNING = 1,   ///< Tasks were started.
	JP_COMPLETED = 2, ///< All tasks have ended well.
	JP_FAILED = 3,    ///< A task failed too often.
	JP_CANCELLED = 4, ///< Its caller has cancelled it.
};

/** Where a task stands; the numbers are stored. */
enum class TaskPhase : uint8_t {
	TP_WAITING = 0, ///< To be started.
	TP_PLACED = 1,  ///< A box was chosen and may run it.
	TP_DONE = 2,    ///< Ended well.
};

/** A task of a job. */
struct TaskId {
	JobId job;               ///< The job.
	uint32_t occurrence = 0; ///< Which time.
	uint32_t step = 0;       ///< Which step.
	uint32_t index = 0;      ///< Which task of the step.

	auto operator<=>(const TaskId &) const = default;
};

/** What a route asks of its jobs. */
struct JobRoute {
	RouteName name;            ///< Its name.
	std::string host;          ///< Host that callers name.
	std::string path_prefix;   ///< Path under which its jobs lie.
	ServiceName service;       ///< Service whose boxes run the jobs.
	int64_t priority = 0;      ///< 0 comes first.
	uint32_t failures_max = 1; ///< Runs of a task that may fail; the job fails with the last.
	double stretch = 1.0;      ///< Objective: this times the longest chain of work, plus `headroom`.
	Millis headroom;           ///< Time on top of the stretched chain.
	bool needs_ticket = false; ///< Only boxes that a policy allows may run its steps: each start needs a ticket.
	bool keyless = false;      ///< Callers need no key; what it runs belongs to no account.
};

/** A service, as the configuration has it. */
struct JobService {
	ServiceName name;              ///< Its name.
	bool enforces_capacity = true; ///< Its boxes refuse what doesn't fit.
	bool reserve = false;          ///< Pool of boxes that are switched off.
};

/** The configuration in force. */
struct JobConfig {
	uint64_t version = 0;             ///< Rises with each change.
	std::vector<JobRoute> routes;     ///< Routes.
	std::vector<JobService> services; ///< Services.
	/** Client accounts; null where callers need no key at all. Shared by the shards of a node. */
	std::shared_ptr<const AccountList> accounts;

	/** @return The route of a name, or null. */
	[[nodiscard]] const JobRoute *FindRoute(const RouteName &name) const;
	/**
	 * Finds the route of a request: the longest prefix among those of its host.
	 * @param host Host named by the caller, without port.
	 * @param path Path asked for.
	 * @return The route, or null.
	 */
	[[nodiscard]] const JobRoute *Match(std::string_view host, std::string_view path) const;
	/** @return The service of a name, or null. */
	[[nodiscard]] const JobService *FindService(const ServiceName &name) const;
};

/** What a box's agent says of itself. */
struct BoxReport {
	BoxIncarnation incarnation;      ///< Its current start.
	BoxName box;                     ///< The box.
	ServiceName service;             ///< Pool that it serves.
	std::string address;             ///< IP:port of its agent.
	ZoneName zone;                   ///< Its availability zone.
	Resources capacity;              ///< What it has.
	std::vector<std::string> labels; ///< Kind and rack.
	RackName rack;                   ///< Its rack; one of the labels.
	bool leaving = false;            ///< It will end soon: nothing new may start there.
	Millis time_left;                ///< While leaving: time that it serves on at least.

	/** @return Whether it carries a label. */
	[[nodiscard]] bool HasLabel(const std::string &label) const;
};

/** An order to start a task. */
struct StartOrder {
	TaskId task;           ///< The task.
	bool numbered = false; ///< Whether the job has occurrences at set times.
	RunNumber run;         ///< Counts its starts.
	std::string payload;   ///< The job's payload.
	std::string saved;     ///< Checkpoint to resume from; empty for none.
	std::string ticket;    ///< Of the route's policy; empty for none.
	Millis lease_until;    ///< End of the lease, by the box's clock.
	FenceToken fence;      ///< The owner's token.
};

/** How an order ended. */
enum class OrderOutcome : uint8_t {
	OO_DONE = 0,              ///< Carried out, also when it was before.
	OO_FENCED = 1,            ///< The box has seen a higher token.
	OO_RUN_TOO_OLD = 2,       ///< This or a later run was stopped or has ended there.
	OO_LEASE_PAST = 3,        ///< The lease would end in the past.
	OO_NO_ROOM = 4,           ///< It doesn't fit.
	OO_NO_TICKET = 5,         ///< The placement policy's ticket is missing or old.
	OO_OTHER_INCARNATION = 6, ///< Another life of a box answers at this address.
	OO_BUSY = 7,              ///< Refused by an unhealthy box: nothing was done.
	OO_REJECTED = 8,          ///< The order is not valid.
	OO_NOT_SENT = 9,          ///< No connection: certainly not carried out.
	OO_UNKNOWN = 10,          ///< No answer: it may be carried out, also later.
};

/** Answer to an order. */
struct OrderAnswer {
	OrderOutcome outcome = OrderOutcome::OO_UNKNOWN; ///< How it ended.
	std::optional<Millis> box_clock;                 ///< The box's clock, when it told.
	std::optional<BoxIncarnation> incarnation;       ///< The life that answered, when it told.
};

/** How a run ended. */
enum class RunEnding : uint8_t {
	RE_DONE = 0,    ///< Well.
	RE_FAILED = 1,  ///< By its own fault or the box's; counts as a failure.
	RE_STOPPED = 2, ///< By our order.
	RE_LAPSED = 3,  ///< Its lease ran out.
	RE_BROKEN = 4,  ///< Another task of its gang ended.
	RE_ALONE = 5,   ///< It waited for its gang in vain.
};

/** A run that a box lists as running. */
struct RunningRow {
	TaskId task;       ///< The task.
	RunNumber run;     ///< Which start.
	std::string saved; ///< Newest checkpoint.
	int64_t share = 0; ///< Percent of its full pace.
	int64_t load = 0;  ///< Tail latency in ms of a task that serves, else thousandths of a core in use.
};

/** A run that a box lists as ended. */
struct EndedRow {
	uint64_t number = 0;                      ///< Rises with each end within one life of the box.
	TaskId task;                              ///< The task.
	RunNumber run;                            ///< Which start.
	RunEnding ending = RunEnding::RE_STOPPED; ///< How it ended.
	std::string saved;                        ///< Checkpoint to resume from.
};

/** An order to prolong the lease of all that runs on a box and to list it. */
struct LeaseOrder {
	FenceToken fence;                  ///< The owner's token.
	uint64_t ends_noted = 0;           ///< Ends up to this number are recorded: the box may forget them.
	std::optional<Millis> lease_until; ///< New end of the lease by the box's clock; none leaves it as it is.
	Millis wait;                       ///< The answer may wait so long for an end.
};

/** Answer to a LeaseOrder. */
struct LeaseAnswer {
	OrderAnswer order;               ///< How it ended.
	std::vector<RunningRow> running; ///< What runs.
	std::vector<EndedRow> ended;     ///< What has ended and isn't noted yet.
};

/** @return Word for a phase, as logs show it. @param phase The phase. */
const char *NameOf(JobPhase phase);
/** @return Word for an outcome, as logs show it. @param outcome The outcome. */
const char *NameOf(OrderOutcome outcome);
/** @return Word for an ending, as logs show it. @param ending The ending. */
const char *NameOf(RunEnding ending);

/** Orders to boxes. Answers come later, never from inside the call. */
class BoxOrders {
public:
	virtual ~BoxOrders() = default;
	using Done = std::function<void(OrderAnswer)>;

	/** Starts a task. @param box Where. @param order What. @param done Gets the answer. */
	virtual void Start(const BoxReport &box, const StartOrder &order, Done done) = 0;
	/** Stops a run, or makes sure that it never starts. @param box Where. @param task The task. @param run Which
	 * start. @param fence The owner's token. @param done Gets the answer. */
	virtual void Stop(const BoxReport &box, const TaskId &task, RunNumber run, FenceToken fence, Done done) = 0;
	/** Prolongs the lease and lists runs. @param box Where. @param order What. @param done Gets the answer. */
	virtual void Lease(const BoxReport &box, const LeaseOrder &order, std::function<void(LeaseAnswer)> done) = 0;
	/** Sets the pace of a run. @param box Where. @param task The task. @param run Which start. @param percent Share of
	 * full pace. @param fence The owner's token. @param done Gets the answer. */
	virtual void Pace(const BoxReport &box, const TaskId &task, RunNumber run, int64_t percent, FenceToken fence,
					  Done done) = 0;
};

#endif /* JOB_TYPE_H */
