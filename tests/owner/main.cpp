/** @file main.cpp glade_owner_bench: processor time that the owner of a queue spends per run, over loopback sockets. */
#include "../../platform/box_client.h"
#include "bench/bench_output.h"
#include "jobs/shard_base.h"
#include "program/program.h"
#include "simulated_agents.h"

#include <QCoreApplication>

#include <ctime>
#include <iostream>
#include <random>

namespace {

constexpr const char *USAGE = R"(glade_owner_bench: processor time that the owner of a queue spends, as JSON lines

Usage:
  glade_owner_bench [--boxes N] [--rate N] [--seconds N]
  glade_owner_bench (-h | --help)

Options:
  --boxes N    Boxes of the queue [default: 600].
  --rate N     Tasks submitted per second [default: 3800].
  --seconds N  Measured time, after a warm-up [default: 5].
  -h --help    Show this.
)";

constexpr Millis WARM_UP(3000);                    ///< Time until the number of tasks in the queue is stable.
constexpr Millis RUN_TIME(1000);                   ///< Run time of a task.
constexpr Millis APPEND_TIME(8);                   ///< Time of an append to the log.
constexpr Millis SUBMIT_INTERVAL(10);              ///< Interval of submissions.
constexpr Resources BOX_CAPACITY{16000, 65536, 0}; ///< Capacity of a box.
constexpr Resources DEMAND{2200, 6400, 0};         ///< Mean demand of a task.
constexpr int64_t DEMAND_SPREAD = 1000;            ///< Largest deviation from the mean, in thousandths of a core.
constexpr uint32_t STEP_TASKS_MIN = 3;             ///< Least number of tasks of a step.
constexpr uint32_t STEP_TASKS_MAX = 13;            ///< Largest number of tasks of a step.
constexpr double MEAN_STEPS = 1.6;                 ///< Mean number of steps of a job, which has one or two.
constexpr double NS_PER_US = 1000;                 ///< Nanoseconds in a microsecond.
constexpr double US_PER_SECOND = 1000000;          ///< Microseconds in a second.
const ServiceName SERVICE("calc");                 ///< Service of the queue.
const PartitionId PROGRESS{"jobs.calc", 0};        ///< Partition of the owner's records.

/** @return Processor time of this thread in microseconds. */
double ThreadMicros()
{
	timespec now{};
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return static_cast<double>(now.tv_sec) * US_PER_SECOND + static_cast<double>(now.tv_nsec) / NS_PER_US;
}

/** A log that accepts every append and stores nothing. Other calls get no answer. */
class AcceptingLog : public KeyedLog {
public:
	explicit AcceptingLog(Scheduler &scheduler) : scheduler(scheduler) {}

	void Append(const PartitionId &, const std::vector<KeyedRecord> &, const AppendCondition &, Millis,
				std::function<void(KeyedAppendAnswer)> done) override
	{
		this->scheduler.After(APPEND_TIME, [done = std::move(done)] { done(KeyedAppendAnswer{ResultCode::RC_OK, 0}); });
	}
	void Read(const PartitionId &, uint64_t, Millis, std::function<void(KeyedReadAnswer)>) override {}
	void Newest(const PartitionId &, const std::string &, std::function<void(NewestPage)>) override {}
	void Join(const std::string &, const std::string &, const std::string &, Millis, uint64_t,
			  std::function<void(GroupMembership)>) override
	{
	}
	void Leave(const std::string &, const std::string &, std::function<void()>) override {}
	void Holders(const std::string &, std::function<void(ResultCode, std::vector<PartitionHolder>)>) override {}

private:
	Scheduler &scheduler; ///< Event loop.
};

/** An owner with its boxes and a steady rate of submissions. */
class OwnerBench {
public:
	OwnerBench(size_t boxes, int64_t rate)
			: agents(boxes, RUN_TIME), log(this->scheduler), caller(this->scheduler, DialLimits{}),
			  orders(this->caller), journal(this->scheduler, this->log, this->events,
											JournalPair{PROGRESS, SparePartitionOf(PROGRESS),
														[](const std::string &key) {
															return SpareKey{key, false};
														}},
											ClaimNumber{1, 0}),
			  shard(this->scheduler, this->journal, this->orders, this->events, SERVICE, FenceToken(1), ShardLimits{}),
			  rate(rate)
	{
		JobConfig config;
		config.version = 1;
		config.routes = {JobRoute{RouteName("r"), "h", "/r/", SERVICE, RoutePolicy{0, 3, 1.6, Millis(600)}}};
		config.services = {JobService{SERVICE, true, false}};
		this->shard.Configure(config);
		for (const BoxReport &it : this->agents.Reports(SERVICE, BOX_CAPACITY)) {
			this->shard.OnReport(it);
		}
		this->shard.SetEarlierLeaseSpan(Millis(0));
		this->shard.Begin();
		this->SubmitJobs();
	}

	/** Measures after a warm-up and prints the figures. @param boxes Number of boxes, for the output. @param span
	 * Measured time. */
	void Measure(size_t boxes, Millis span)
	{
		this->RunFor(WARM_UP);
		const ShardCounters before = this->shard.Counters();
		const double micros = ThreadMicros();
		this->RunFor(span);
		const double spent = ThreadMicros() - micros;
		const ShardCounters &after = this->shard.Counters();
		const auto seconds = static_cast<double>(span.Value()) / MS_PER_SECOND;
		const auto runs = static_cast<double>(after.done - before.done);
		const auto print = [boxes](const char *figure, double value, const char *unit) {
			PrintFigure({"owner", std::to_string(boxes) + " boxes", figure, value, unit, "", 0, 1});
		};
		print("processor", spent / US_PER_SECOND / seconds, "cores");
		print("runs", runs / seconds, "1/s");
		print("starts", static_cast<double>(after.starts - before.starts) / seconds, "1/s");
		print("looks", static_cast<double>(after.looks - before.looks) / seconds, "1/s");
		print("rounds", static_cast<double>(after.rounds - before.rounds) / seconds, "1/s");
		print("boxes_walked", static_cast<double>(after.boxes_walked - before.boxes_walked) / seconds, "1/s");
		print("tasks_walked", static_cast<double>(after.tasks_walked - before.tasks_walked) / seconds, "1/s");
		print("processor_a_run", runs > 0 ? spent / runs : 0, "us");
	}

private:
	QtScheduler scheduler;  ///< Event loop of this thread.
	SimulatedAgents agents; ///< Simulated boxes.
	AcceptingLog log;       ///< Log of the journal.
	NullEventLog events;    ///< Drops log events.
	HttpCaller caller;      ///< Connections to the boxes.
	BoxClient orders;       ///< Sends orders to the boxes.
	PairedJournal journal;  ///< Journal of the owner.
	Shard shard;            ///< The measured owner.
	int64_t rate;           ///< Tasks submitted per second.
	std::mt19937 random{1}; ///< Chooses sizes of jobs and demands.
	uint64_t jobs = 0;      ///< Submitted jobs.
	double tasks_due = 0;   ///< Tasks that are due for submission.

	void RunFor(Millis span)
	{
		this->scheduler.After(span, [] { QCoreApplication::exit(); });
		QCoreApplication::exec();
	}

	uint32_t Between(int64_t low, int64_t high)
	{
		return static_cast<uint32_t>(std::uniform_int_distribution<int64_t>(low, high)(this->random));
	}

	JobSpec MakeJob()
	{
		JobSpec job;
		const std::string digits = std::to_string(++this->jobs);
		job.id = JobId(std::string(16 - digits.size(), 'a') + digits);
		job.route = RouteName("r");
		job.payload = std::string(100, 'p');
		job.requested_at = this->scheduler.WallNow();
		StepSpec step;
		step.demand = DEMAND;
		step.demand.cpu += int64_t{this->Between(0, 2 * DEMAND_SPREAD)} - DEMAND_SPREAD;
		step.estimate = RUN_TIME;
		step.count = this->Between(STEP_TASKS_MIN, STEP_TASKS_MAX);
		job.steps.push_back(step);
		if (std::bernoulli_distribution(MEAN_STEPS - 1)(this->random)) {
			step.after = {0};
			job.steps.push_back(step);
		}
		return job;
	}

	void SubmitJobs()
	{
		this->tasks_due += static_cast<double>(this->rate * SUBMIT_INTERVAL.Value()) / MS_PER_SECOND;
		while (this->tasks_due > 0) {
			JobSpec job = this->MakeJob();
			std::ranges::for_each(job.steps, [this](const StepSpec &it) { this->tasks_due -= it.count; });
			const JobId id = job.id;
			this->shard.Accept(IncomingRecord{KeyedRecord{'j' + id.Value(), EncodeSubmission(job)}, job,
											  InboxKey{id, AccountName(), false},
											  [](ResultCode) { /* No caller waits for the answer. */ }});
		}
		this->scheduler.After(SUBMIT_INTERVAL, [this] { this->SubmitJobs(); });
	}
};

} // namespace

int main(int argc, char **argv)
{
	ParsedArguments args;
	if (const std::optional<int> exit_code = ParseArguments(USAGE, "glade_owner_bench", argc, argv, args); exit_code) {
		return *exit_code;
	}
	UseEpollEventLoop();
	QCoreApplication app(argc, argv);
	try {
		const size_t boxes = std::stoul(args["--boxes"].asString());
		OwnerBench run(boxes, std::stol(args["--rate"].asString()));
		run.Measure(boxes, Millis(std::stol(args["--seconds"].asString()) * MS_PER_SECOND));
	} catch (const std::exception &) {
		std::cerr << Result{ResultCode::RC_USAGE, "expected whole numbers"}.Text() << '\n';
		return static_cast<int>(ExitCode::EC_USAGE);
	}
	return 0;
}
