/** @file test_crash_evidence.cpp A long-running task is not given up for losses that it hasn't certainly caused. */
#include "unlucky_task.h"

#include <algorithm>

namespace {

constexpr Millis RESTARTED_BY(7000); ///< Time after the last fault by which a long-running task must run again.

/** Waits until all tasks of the job run. @param unlucky The simulation. @return Whether they do in time. */
bool RunsAgainInTime(UnluckyTask &unlucky)
{
	const Millis give_up_at = unlucky.world.clock.Now() + RESTARTED_BY;
	while (unlucky.world.site.Running(unlucky.job.spec.id) < 3) {
		if (unlucky.world.clock.Now() > give_up_at || !unlucky.world.clock.RunNextTimer()) {
			return false;
		}
	}
	return true;
}

/** @return The last task of the job, as its owner knows it; null when there is no owner. @param unlucky The simulation.
 */
const ShardTask *TaskOf(UnluckyTask &unlucky)
{
	const WorldNode *owner = unlucky.world.OwnerOf(CALC);
	return owner == nullptr
				   ? nullptr
				   : &std::as_const(owner->host).Find(CALC)->Running()->Jobs().at(unlucky.job.spec.id).tasks[2];
}

} // namespace

TEST_CASE("a long-running task is restarted however often its box and its owner are lost a second after its start")
{
	for (const int others : {0, 40}) {
		CAPTURE(others);
		UnluckyTask unlucky(others);
		int lost = 0;
		while (lost < UnluckyTask::LOST_RUNS && unlucky.WaitForRun()) {
			unlucky.LoseRun(Millis(1000), true);
			lost++;
		}
		CHECK(lost == UnluckyTask::LOST_RUNS);
		unlucky.CheckAllRun();
	}
}

TEST_CASE("a long-running task is restarted in time though its box and its owner were lost just after six starts")
{
	UnluckyTask unlucky(0);
	int lost = 0;
	while (lost < 6 && unlucky.WaitForRun()) {
		unlucky.LoseRun(Millis(20), true);
		lost++;
	}
	CHECK(lost == 6);
	CHECK(RunsAgainInTime(unlucky));
	unlucky.CheckAllRun();
}

TEST_CASE("the loss of one run is held against a long-running task once, however many owners find it")
{
	UnluckyTask unlucky(0);
	REQUIRE(unlucky.WaitForRun());
	unlucky.world.site.restart_delay = Millis(100000);
	unlucky.world.ReportEndedIncarnations();
	unlucky.LoseRun(Millis(20), true);
	uint32_t most = 0;
	for (int n = 0; n < 5; n++) {
		unlucky.world.clock.RunUntil(unlucky.world.clock.Now() + Millis(2600));
		const ShardTask *task = TaskOf(unlucky);
		most = std::max(most, task == nullptr ? 0 : task->crashes + task->crashes_possible);
		unlucky.ReplaceOwner();
	}
	CHECK(most <= 1);
	unlucky.world.clock.RunUntil(unlucky.world.clock.Now() + UnluckyTask::START_WITHIN);
	CHECK(unlucky.world.site.Running(unlucky.job.spec.id) == 3);
	CHECK(unlucky.world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a long-running task that crashes its boxes isn't started three times more after an outage of the log")
{
	for (const int64_t outage : {1000, 2000, 4000}) {
		CAPTURE(outage);
		JobWorld world;
		world.site.restart_delay = Millis(250);
		WorldJob &job = world.Plan(Millis(4000), "calc", JobWorld::Lasting(1));
		world.site.JobOf(job.spec.id).crashing_tasks = {0};
		world.clock.RunUntil(Millis(4000));
		std::ranges::for_each(world.nodes, [](const auto &it) { it->log.faults.silent = true; });
		world.clock.RunUntil(Millis(4000 + outage));
		std::ranges::for_each(world.nodes, [](const auto &it) { it->log.faults.silent = false; });
		world.clock.RunUntil(Millis(60000));
		CHECK(world.site.crashes > 0);
		CHECK(world.site.violations == std::vector<std::string>{});
	}
}
