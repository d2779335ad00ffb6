/** @file test_lasting_waits.cpp The owner tells why a long-running task is without a run, and since when. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

constexpr Millis CHECKED_WITHIN(1600); ///< Time from an event until the owner's next check has seen it.
constexpr Millis NEVER(10000000);      ///< A box that is back after this time is lost for good.
constexpr Millis STARTED_BY(6000);     ///< By then the tasks of all jobs have been started once.
const ServiceName CALC("calc");

/** A simulation that keeps the log lines of all nodes. */
struct WaitWorld {
	WaitWorld()
	{
		for (const auto &node : this->world.nodes) {
			node->events.write = [this](const std::string &line) { this->lines.push_back(line); };
		}
	}

	/** @return The reason and the start of the wait of the job's task with the lowest number that is without a run;
	 * nothing when all run. @param job The job. */
	std::optional<LastingWait> WaitOf(const WorldJob &job)
	{
		const WorldNode *owner = this->world.OwnerOf(CALC);
		REQUIRE(owner != nullptr);
		const auto &waits = std::as_const(owner->host).Find(CALC)->Running()->LastingWaits();
		const auto it = std::ranges::find_if(waits, [&job](const auto &row) { return row.first.job == job.spec.id; });
		return it == waits.end() ? std::nullopt : std::optional(it->second);
	}

	/** @return The reason of that wait; nothing when all run. @param job The job. */
	std::optional<WaitReason> ReasonOf(const WorldJob &job)
	{
		const std::optional<LastingWait> wait = this->WaitOf(job);
		return wait ? std::optional(wait->reason) : std::nullopt;
	}

	/** @return The box on which the first task of a job is placed. @param job The job. */
	BoxName BoxOf(const WorldJob &job)
	{
		const WorldNode *owner = this->world.OwnerOf(CALC);
		REQUIRE(owner != nullptr);
		const ShardTask &task = std::as_const(owner->host).Find(CALC)->Running()->Jobs().at(job.spec.id).tasks.front();
		REQUIRE(task.phase == TaskPhase::TP_PLACED);
		return BoxName(task.box.id.Value().substr(0, task.box.id.Value().find("-life")));
	}

	/** @return Number of lines of a kind that contain a text. @param event The kind. @param text The text. */
	int64_t CountLines(const std::string &event, const std::string &text)
	{
		return std::ranges::count_if(this->lines, [&](const std::string &it) {
			return it.starts_with(event + " ") && it.find(text) != std::string::npos;
		});
	}

	std::vector<std::string> lines; ///< Log lines of all nodes.
	JobWorld world;                 ///< The simulation.
};

} // namespace

TEST_CASE("the wait of a long-running task at the crash limit is told, and so are its crashes")
{
	WaitWorld waits;
	const WorldJob &job = waits.world.Plan(Millis(1000), "calc", JobWorld::Lasting(2));
	waits.world.site.JobOf(job.spec.id).crashing_tasks = {1};
	waits.world.clock.RunUntil(Millis(40000));
	CHECK(waits.ReasonOf(job) == WaitReason::WR_CRASH_LIMIT);
	const std::string task = "job=" + job.spec.id.Value() + " task=1 ";
	CHECK(waits.CountLines("crash_limit", task) == 1);
	CHECK(waits.CountLines("crash_counted", task) == 4);
	CHECK(waits.CountLines("lasting_waiting", "why=crash_limit") >= 3);
	CHECK(waits.CountLines("lasting_waiting", "job=" + job.spec.id.Value() + " task=0 ") == 0);
}

TEST_CASE("a possible crash that counts against a long-running task is logged")
{
	WaitWorld waits;
	waits.world.site.restart_delay = NEVER;
	const WorldJob &job = waits.world.Plan(Millis(1000), "calc", JobWorld::Lasting(1));
	bool crashed = false;
	waits.world.site.choose_transit = [&](const OutgoingOrder &it) -> std::optional<OrderTransit> {
		if (crashed || it.kind != OrderKind::OK_START) {
			return std::nullopt;
		}
		crashed = true;
		waits.world.site.Crash(it.box);
		return OrderTransit{};
	};
	waits.world.clock.RunUntil(Millis(25000));
	const std::string task = "job=" + job.spec.id.Value() + " task=0 run=1 ";
	CHECK(waits.CountLines("crash_counted", task) == 1);
	CHECK(waits.CountLines("crash_counted", " certain=no ") == 1);
}

TEST_CASE("the wait of a long-running task that fits on no box is told every 3 s")
{
	WaitWorld waits;
	std::vector<StepSpec> large = JobWorld::Lasting(1);
	large.front().demand.cpu = 9000;
	const WorldJob &job = waits.world.Plan(Millis(1000), "calc", large);
	const WorldJob &wide = waits.world.Plan(Millis(1000), "calc", JobWorld::Lasting(5));
	waits.world.clock.RunUntil(Millis(16000));
	CHECK(waits.ReasonOf(job) == WaitReason::WR_NO_ROOM);
	CHECK(waits.ReasonOf(wide) == WaitReason::WR_PER_BOX);
	const int64_t logged = waits.CountLines("lasting_waiting", "job=" + job.spec.id.Value() + " ");
	CHECK(logged >= 2);
	CHECK(logged <= 5);
	CHECK(waits.CountLines("lasting_waiting", "job=" + wide.spec.id.Value() + " task=4 ") == logged);
}

TEST_CASE("the wait of a long-running task on a silent box is told from the last answer on")
{
	WaitWorld waits;
	const WorldJob &job = waits.world.Plan(Millis(1000), "calc", JobWorld::Lasting(1));
	waits.world.clock.RunUntil(STARTED_BY);
	CHECK(waits.ReasonOf(job) == std::nullopt);
	const Millis silent_at = waits.world.clock.Now();
	waits.world.site.faults[waits.BoxOf(job)].unreachable = true;
	waits.world.clock.RunUntil(silent_at + Millis(3500));
	CHECK(waits.ReasonOf(job) == WaitReason::WR_BOX_SILENT);
	CHECK(waits.WaitOf(job)->since >= silent_at - Millis(1500));
	CHECK(waits.WaitOf(job)->since <= silent_at + Millis(100));
	waits.world.clock.RunUntil(silent_at + Millis(12000));
	CHECK(waits.world.site.Running(job.spec.id) == 1);
	CHECK(waits.ReasonOf(job) == std::nullopt);
}

TEST_CASE("a long-running task is told to be held while its start order may arrive at the next incarnation of its box")
{
	WaitWorld waits;
	waits.world.site.restart_delay = Millis(300);
	const WorldJob &job = waits.world.Plan(Millis(1000), "calc", JobWorld::Lasting(1));
	std::optional<Millis> crashed_at;
	waits.world.site.choose_transit = [&](const OutgoingOrder &it) -> std::optional<OrderTransit> {
		if (crashed_at || it.kind != OrderKind::OK_START) {
			return std::nullopt;
		}
		crashed_at = waits.world.clock.Now();
		waits.world.site.Crash(it.box);
		/* The next incarnation reports but can't be asked for its runs. */
		waits.world.site.faults[it.box].unreachable = true;
		return OrderTransit{Millis(1), true, false};
	};
	waits.world.clock.RunUntil(STARTED_BY);
	REQUIRE(crashed_at);
	CHECK(waits.ReasonOf(job) == WaitReason::WR_RUN_HELD);
	const std::string run = "job=" + job.spec.id.Value() + " task=0 run=1 ";
	CHECK(waits.CountLines("run_held", run) == 1);
	CHECK(waits.CountLines("run_held", "why=has_successor box_over=started_again") == 1);
	waits.world.clock.RunUntil(*crashed_at + Millis(8000));
	CHECK(waits.CountLines("lasting_waiting", run + "why=run_held") >= 1);
}

TEST_CASE("the wait of a long-running task is told while the log refuses appends or doesn't answer")
{
	for (const bool refuses : {false, true}) {
		CAPTURE(refuses);
		WaitWorld waits;
		waits.world.site.restart_delay = Millis(300);
		const WorldJob &job = waits.world.Plan(Millis(1000), "calc", JobWorld::Lasting(1));
		waits.world.clock.RunUntil(STARTED_BY);
		for (const auto &node : waits.world.nodes) {
			(refuses ? node->log.faults.refusing : node->log.faults.silent) = true;
		}
		waits.world.site.Crash(waits.BoxOf(job));
		waits.world.clock.RunUntil(waits.world.clock.Now() + Millis(2000) + CHECKED_WITHIN);
		CHECK(waits.ReasonOf(job) == (refuses ? WaitReason::WR_LOG_REFUSES : WaitReason::WR_LOG_SILENT));
	}
}
