/** @file test_crashing_tasks.cpp Tasks that crash each box that starts them.
 *
 * Guards against a task that takes down one box after another. A task crashed its box 10 ms after the start; the box
 * came back after 3 s as a new incarnation, and the owner, which counted failed runs but not runs lost with their box,
 * started the task at once on the next box, beside as many other tasks as fit there. One such task reached 32 runs in
 * two minutes, 50 boxes were started 764 times, and 2,648 runs were lost, while none was counted as failed.
 */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

namespace {

constexpr Millis SIMULATED_TIME(40000); ///< Simulated time of a scenario; a crashed box is back after 3 s.
constexpr int ORDINARY_JOBS = 24;       ///< Number of jobs that crash no box.
constexpr Millis CRASH_INTERVAL(1500);  ///< Interval between crashes that no task causes.
const ServiceName CALC("calc");

/** Ordinary jobs, and some whose only task crashes each box that starts it. */
struct CrashScenario {
	/** @param crashers Number of jobs whose task crashes its boxes. */
	explicit CrashScenario(int crashers)
	{
		for (int n = 0; n < crashers; n++) {
			WorldJob &job = this->world.Plan(Millis(2000 + n * 50), "calc", JobWorld::Chain(1));
			this->world.site.JobOf(job.spec.id).crashing_tasks = {0};
			this->crashing.push_back(&job);
		}
		for (int n = 0; n < ORDINARY_JOBS; n++) {
			this->ordinary.push_back(
					&this->world.Plan(Millis(1500 + n * 500), "calc", JobWorld::Chain(4), Millis(1000)));
		}
	}

	/** Schedules a kill of the node that owns the service. @param at Delay until the kill. */
	void KillOwnerAt(Millis at)
	{
		this->world.clock.After(at, [this] {
			if (WorldNode *owner = this->world.OwnerOf(CALC); owner != nullptr) {
				JobWorld::Kill(*owner);
			}
		});
	}

	/** Schedules crashes of boxes in turn that no task causes. @param from Time of the first. @param until End,
	 * exclusive. */
	void CrashBoxes(Millis from, Millis until)
	{
		for (Millis at = from; at < until; at = at + CRASH_INTERVAL) {
			const int64_t n = at.Value() / CRASH_INTERVAL.Value() % 4;
			this->world.clock.After(at, [this, n] { this->world.site.Crash(BoxName("calc-box" + std::to_string(n))); });
		}
	}

	/** Runs the scenario and checks the invariants that all scenarios share. */
	void Run()
	{
		this->world.clock.RunUntil(SIMULATED_TIME);
		CHECK(this->world.site.violations == std::vector<std::string>{});
		CHECK(this->Count(this->crashing, JobPhase::JP_FAILED) == std::ssize(this->crashing));
		for (const auto &job : this->world.jobs) {
			const bool failed = this->world.ViewOf(*job).phase == JobPhase::JP_FAILED;
			CHECK((!failed || this->world.site.MayFail(job->spec.id)));
		}
	}

	/** @return Number of jobs in a phase. @param jobs The jobs to count. @param phase The phase. */
	int64_t Count(const std::vector<WorldJob *> &jobs, JobPhase phase)
	{
		return std::ranges::count_if(jobs, [&](const WorldJob *it) { return this->world.ViewOf(*it).phase == phase; });
	}

	JobWorld world;                   ///< The simulation.
	std::vector<WorldJob *> crashing; ///< Jobs whose task crashes its boxes.
	std::vector<WorldJob *> ordinary; ///< All other jobs.
};

} // namespace

TEST_CASE("a task that crashes each box that starts it is given up, and its job fails soon")
{
	CrashScenario scenario(1);
	scenario.Run();
	CHECK(scenario.Count(scenario.ordinary, JobPhase::JP_COMPLETED) == ORDINARY_JOBS);
	/* Without a count of lost runs: 11 crashes, and 5 of 24 ordinary jobs not completed. */
	CHECK(scenario.world.site.crashes <= 3);
}

TEST_CASE("four tasks that crash their boxes crash few boxes, and all other jobs complete")
{
	CrashScenario scenario(4);
	scenario.Run();
	CHECK(scenario.Count(scenario.ordinary, JobPhase::JP_COMPLETED) == ORDINARY_JOBS);
	/* Without a count of lost runs: 40 crashes, and 13 of 24 ordinary jobs not completed. */
	CHECK(scenario.world.site.crashes <= 12);
}

TEST_CASE("the count of crashes survives a change of owner")
{
	for (const int64_t at : {2200, 2500, 3000, 5000, 5500, 6000, 8000}) {
		CAPTURE(at);
		CrashScenario scenario(2);
		scenario.KillOwnerAt(Millis(at));
		scenario.KillOwnerAt(Millis(at + 6000));
		scenario.Run();
		CHECK(scenario.Count(scenario.ordinary, JobPhase::JP_COMPLETED) == ORDINARY_JOBS);
	}
}

TEST_CASE("crashes that happen without an owner are counted by the next owner")
{
	/* Guards against starts that are not counted since the owner is killed just after each of them. */
	CrashScenario scenario(1);
	scenario.world.site.restart_delay = Millis(1200);
	uint64_t crashes = 0;
	while (crashes < 5 && scenario.world.clock.Now() < Millis(30000)) {
		REQUIRE(scenario.world.clock.RunNextTimer());
		if (scenario.world.site.crashes == crashes) {
			continue;
		}
		crashes++;
		if (WorldNode *owner = scenario.world.OwnerOf(CALC); owner != nullptr) {
			const std::string name = owner->name;
			JobWorld::Kill(*owner);
			scenario.world.Boot(name);
		}
	}
	scenario.Run();
}

TEST_CASE("a task that crashes its boxes is given up also if they come back only after its lease has lapsed")
{
	CrashScenario scenario(1);
	scenario.world.site.restart_delay = Millis(9000);
	scenario.world.clock.RunUntil(SIMULATED_TIME);
	scenario.Run();
}

TEST_CASE("a task that crashes its boxes is given up also if every third answer of boxes is lost")
{
	CrashScenario scenario(2);
	for (const BoxReport &it : scenario.world.site.Reports()) {
		scenario.world.site.faults[it.box].lose_every = 3;
	}
	scenario.Run();
}

TEST_CASE("no job fails when boxes crash in turn without a task as the cause")
{
	CrashScenario scenario(0);
	scenario.CrashBoxes(Millis(2500), Millis(14000));
	scenario.Run();
	CHECK(scenario.Count(scenario.ordinary, JobPhase::JP_COMPLETED) == ORDINARY_JOBS);
}

TEST_CASE("a long-running task that crashes its boxes is no longer started, and the other tasks of its job go on")
{
	JobWorld world;
	WorldJob &partly = world.Plan(Millis(1000), "calc", JobWorld::Lasting(2));
	world.site.JobOf(partly.spec.id).crashing_tasks = {1};
	WorldJob &crashing = world.Plan(Millis(1000), "grid", JobWorld::Lasting(1));
	world.site.JobOf(crashing.spec.id).crashing_tasks = {0};
	world.clock.RunUntil(Millis(25000));
	const uint64_t starts = world.site.starts;
	world.clock.RunUntil(SIMULATED_TIME);
	CHECK(world.site.starts == starts);
	CHECK(world.ViewOf(partly).phase == JobPhase::JP_RUNNING);
	CHECK(world.site.Running(partly.spec.id) == 1);
	CHECK(world.ViewOf(crashing).phase == JobPhase::JP_FAILED);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a long-running task that has run for a while is not given up, however many of its boxes crash")
{
	JobWorld world;
	const WorldJob &lasting = world.Plan(Millis(1000), "calc", JobWorld::Lasting(2));
	for (int64_t at = 12000; at < 30000; at += 4000) {
		world.clock.After(Millis(at),
						  [&world, at] { world.site.Crash(BoxName("calc-box" + std::to_string(at / 4000 % 4))); });
	}
	world.clock.RunUntil(SIMULATED_TIME);
	CHECK(world.ViewOf(lasting).phase == JobPhase::JP_RUNNING);
	CHECK(world.site.Running(lasting.spec.id) == 2);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a job doesn't fail when two boxes crash just after starting its long-running task, for another cause")
{
	/* The second start runs in quarantine. Its box crashes 317 ms later, and the last lease renewal is answered only
	 * seconds after that. */
	for (const int64_t after : {320, 400, 600, 900, 1500}) {
		CAPTURE(after);
		JobWorld world;
		const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(4));
		for (int crash = 0; crash < 2; crash++) {
			const uint64_t starts = world.site.starts;
			while (world.site.starts == starts || world.site.Running(job.spec.id) < 4) {
				REQUIRE(world.clock.RunNextTimer());
			}
			world.clock.RunUntil(world.clock.Now() + Millis(crash == 0 ? 100 : after));
			world.site.Crash(BoxName("calc-box0"));
		}
		world.clock.RunUntil(world.clock.Now() + Millis(20000));
		CHECK(world.ViewOf(job).phase == JobPhase::JP_RUNNING);
		CHECK(world.site.Running(job.spec.id) == 4);
		CHECK(world.site.violations == std::vector<std::string>{});
	}
}

TEST_CASE("a long-running task is restarted however often its box crashes one second after the start")
{
	/* Guards against a task that is no longer started after four such crashes. */
	JobWorld world;
	world.site.restart_delay = Millis(1200);
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(1));
	for (int crash = 0; crash < 6; crash++) {
		while (world.site.Running(job.spec.id) < 1 && world.clock.Now() < SIMULATED_TIME) {
			REQUIRE(world.clock.RunNextTimer());
		}
		world.clock.RunUntil(world.clock.Now() + Millis(1100));
		for (const BoxReport &it : world.site.Reports()) {
			world.site.Crash(it.box);
		}
	}
	world.clock.RunUntil(world.clock.Now() + Millis(8000));
	CHECK(world.site.Running(job.spec.id) == 1);
}

TEST_CASE("of a gang, a crash counts only against the member whose box has crashed")
{
	JobWorld world;
	std::vector<StepSpec> steps = JobWorld::Chain(4);
	steps.front().gang = true;
	steps.front().per_box = 1;
	WorldJob &job = world.Plan(Millis(1000), "calc", steps);
	world.site.JobOf(job.spec.id).crashing_tasks = {2};
	world.clock.RunUntil(Millis(5000));
	WorldNode *owner = world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	const std::vector<ShardTask> &tasks = owner->host.Find(CALC)->Running()->Jobs().at(job.spec.id).tasks;
	CHECK(std::ranges::count_if(tasks, [](const ShardTask &it) { return it.crashes > 0; }) == 1);
	CHECK(tasks[2].crashes == 1);
	world.clock.RunUntil(SIMULATED_TIME);
	CHECK(world.ViewOf(job).phase == JobPhase::JP_FAILED);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("crashes of boxes count after a drain that was called off")
{
	/* Guards against crashes that are not counted for ten seconds after the move of a box was ordered and rejected. */
	CrashScenario scenario(1);
	scenario.world.site.restart_delay = Millis(1200);
	scenario.world.clock.RunUntil(Millis(1400));
	WorldNode *owner = scenario.world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	std::set<BoxName> all;
	std::ranges::for_each(scenario.world.site.Reports(), [&all](const BoxReport &it) { all.insert(it.box); });
	owner->host.Find(CALC)->Running()->Drain(all, {});
	scenario.world.clock.RunUntil(Millis(1450));
	owner->host.Find(CALC)->Running()->Drain({}, {});
	scenario.Run();
}

/* Guards against a sixth start of a task that crashes its boxes: a wave began to drain a box that was already down from
 * a crash, and when the next incarnation answered, the crash was attributed to the wave. */
TEST_CASE("a drain that began after a box had crashed doesn't hide the crash")
{
	CrashScenario scenario(1);
	scenario.world.site.restart_delay = Millis(1200);
	std::map<BoxName, Millis> down_at;
	for (Millis at(1400); at < Millis(30000); at = at + Millis(100)) {
		scenario.world.clock.RunUntil(at);
		for (const BoxReport &it : scenario.world.site.Reports()) {
			if (scenario.world.site.Down(it.box)) {
				down_at[it.box] = at;
			}
		}
		/* A box is drained from its crash until its next incarnation has been seen. */
		std::erase_if(down_at, [at](const auto &it) { return at - it.second > Millis(500); });
		std::set<BoxName> drained;
		std::ranges::copy(down_at | std::views::keys, std::inserter(drained, drained.end()));
		if (WorldNode *owner = scenario.world.OwnerOf(CALC); owner != nullptr) {
			owner->host.Find(CALC)->Running()->Drain(drained, {});
		}
	}
	scenario.Run();
}

TEST_CASE("the end of a box counts as no crash if it was planned or if the report of the box was gone before")
{
	JobWorld world;
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Chain(1), Millis(20000));
	for (int64_t at = 2000; at <= 10000; at += 2000) {
		world.clock.RunUntil(Millis(at));
		WorldNode *owner = world.OwnerOf(CALC);
		REQUIRE(owner != nullptr);
		Shard *shard = owner->host.Find(CALC)->Running();
		const auto holding =
				std::ranges::find_if(shard->Boxes(), [](const auto &it) { return !it.second.placed.empty(); });
		REQUIRE(holding != shard->Boxes().end());
		const BoxName box = holding->second.report.box;
		if (at % 4000 == 0) {
			/* The box is taken down only after the owner of the pool had time to answer. */
			shard->Drain({box}, {});
			world.clock.RunUntil(Millis(at + 1200));
		} else {
			std::ranges::for_each(world.nodes, [&](const auto &it) { it->host.OnReportRemoved(holding->first.id); });
		}
		world.site.Restart(box);
		world.clock.RunUntil(Millis(at + 1900));
	}
	WorldNode *owner = world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	const Shard *shard = owner->host.Find(CALC)->Running();
	CHECK(shard->Jobs().at(job.spec.id).tasks.front().crashes == 0);
	/* The three ends after a removed report. */
	CHECK(shard->Jobs().at(job.spec.id).tasks.front().crashes_possible <= 3);
	CHECK(shard->Counters().crashed == 0);
}

TEST_CASE("the stored record of a task includes its crash counts")
{
	StoredProgress progress;
	progress.route = RouteName("r");
	StoredTask task;
	task.crashes = 2;
	task.crashes_possible = 1;
	progress.tasks = {task, StoredTask{}};
	const std::optional<StoredProgress> read = DecodeProgress(EncodeProgress(progress));
	REQUIRE(read);
	CHECK(*read == progress);
}

/* Guards against a wait of seconds before tasks of a crashed box are started elsewhere, because nothing checked whether
 * the machine is listed as down. */
TEST_CASE("tasks of a crashed box start elsewhere once its machine is listed as down")
{
	constexpr Millis CRASH_AT(3000);
	constexpr Millis RESTART_WITHIN(500); ///< Listing, notification of the owner, and the append of the new start.
	constexpr Millis RUN_TIME(1000);
	JobWorld world;
	const WorldJob &job = world.Plan(Millis(2500), "calc", JobWorld::Chain(1), RUN_TIME);
	world.ReportEndedIncarnations();
	world.clock.RunUntil(CRASH_AT);
	const BoxIncarnation incarnation =
			std::as_const(world.OwnerOf(CALC)->host).Find(CALC)->Running()->Jobs().at(job.spec.id).tasks[0].box;
	REQUIRE_FALSE(incarnation.id.Value().empty());
	world.site.Crash(BoxName(incarnation.id.Value().substr(0, incarnation.id.Value().find("-life"))));
	world.clock.RunUntil(CRASH_AT + RESTART_WITHIN + RUN_TIME);
	CHECK(std::as_const(world.OwnerOf(CALC)->host).Find(CALC)->Running()->Jobs().at(job.spec.id).tasks[0].phase ==
		  TaskPhase::TP_DONE);
	world.clock.RunUntil(SIMULATED_TIME);
	CHECK(world.ViewOf(job).phase == JobPhase::JP_COMPLETED);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a task that crashes its boxes is given up sooner if machines that are down are listed")
{
	constexpr Millis FAILED_WITHIN(4000); ///< From the submission at 2 s: two crashes, and a wait for the start.
	CrashScenario scenario(1);
	scenario.world.ReportEndedIncarnations();
	scenario.world.clock.RunUntil(Millis(2000) + FAILED_WITHIN);
	CHECK(scenario.Count(scenario.crashing, JobPhase::JP_FAILED) == 1);
	scenario.Run();
	CHECK(scenario.Count(scenario.ordinary, JobPhase::JP_COMPLETED) == ORDINARY_JOBS);
}

/* Guards against a suspected task that waits while all boxes but the quarantine box are full, and then starts beside
 * other tasks again. */
TEST_CASE("a task suspected of a crash is tried in quarantine while all other boxes are full")
{
	constexpr Millis SECOND_AT(7000);     ///< By now starts on one box are spaced: a crash has one suspect.
	constexpr Millis FAILED_WITHIN(5000); ///< Time for two crashes, and for runs of 1 s on the quarantine box to end.
	constexpr uint64_t TASKS_PER_BOX = 8; ///< Tasks that fit on a box.
	constexpr int FILLER_JOBS = 120;      ///< Jobs that keep all boxes full for 16 s.
	CrashScenario scenario(1);
	for (int n = 0; n < FILLER_JOBS; n++) {
		scenario.ordinary.push_back(&scenario.world.Plan(Millis(1000), "calc", JobWorld::Chain(4), Millis(1000)));
	}
	WorldJob &second = scenario.world.Plan(SECOND_AT, "calc", JobWorld::Chain(1));
	scenario.world.site.JobOf(second.spec.id).crashing_tasks = {0};
	scenario.world.ReportEndedIncarnations();
	scenario.world.clock.RunUntil(SECOND_AT);
	const auto lost = [&scenario] {
		return std::as_const(scenario.world.OwnerOf(CALC)->host).Find(CALC)->Running()->Counters().lapsed;
	};
	const uint64_t before = lost();
	REQUIRE(scenario.Count(scenario.crashing, JobPhase::JP_FAILED) == 1);
	scenario.world.clock.RunUntil(SECOND_AT + FAILED_WITHIN);
	CHECK(scenario.world.ViewOf(second).phase == JobPhase::JP_FAILED);
	/* All runs on the first box, and the task alone on the second. */
	CHECK(lost() - before <= TASKS_PER_BOX + 1);
	scenario.Run();
	CHECK(scenario.Count(scenario.ordinary, JobPhase::JP_COMPLETED) == ORDINARY_JOBS + FILLER_JOBS);
}
