/** @file test_ended_jobs.cpp What an owner keeps of jobs that have ended. */
#include "job_world.h"

#include <doctest/doctest.h>

namespace {

StepSpec PlainStep(uint32_t tasks, int64_t cpu)
{
	StepSpec step;
	step.count = tasks;
	step.demand = Resources{cpu, 10, 0};
	step.estimate = Millis(500);
	return step;
}

} // namespace

TEST_CASE("a job that has ended keeps its state but not its tasks, also with a new owner")
{
	JobWorld world(2);
	world.clock.RunUntil(Millis(4000));
	WorldJob &job = world.Plan(Millis(0), "calc", {PlainStep(3, 1000), PlainStep(2, 1000)});
	WorldJob &cancelled = world.Plan(Millis(0), "calc", {PlainStep(3, 1000)}, Millis(60000));
	world.PlanCancel(Millis(2000), cancelled);
	world.clock.RunUntil(Millis(12000));
	const auto check = [&] {
		WorldNode *owner = world.OwnerOf(ServiceName("calc"));
		REQUIRE(owner != nullptr);
		const Shard &shard = *owner->host.Find(ServiceName("calc"))->Running();
		for (const WorldJob *it : {&job, &cancelled}) {
			const ShardJob &kept = shard.Jobs().at(it->spec.id);
			CHECK(kept.released);
			CHECK(kept.tasks.capacity() == 0);
			CHECK(kept.spec.steps.capacity() == 0);
		}
		CHECK(shard.View(job.spec.id).phase == JobPhase::JP_COMPLETED);
		CHECK(shard.View(cancelled.spec.id).phase == JobPhase::JP_CANCELLED);
		return owner;
	};
	JobWorld::Kill(*check());
	world.clock.RunUntil(Millis(30000));
	check();
	CHECK(world.site.violations.empty());
	CHECK(world.site.Running(cancelled.spec.id) == 0);
}
