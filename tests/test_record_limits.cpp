/** @file test_record_limits.cpp The log rejects large appends and records for good: no service stops at one. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

namespace {

constexpr AppendLimits SMALL_LIMITS{4096, 16384}; ///< A job of a few hundred tasks outgrows a record.
constexpr Millis SETTLED(3000);                   ///< Time by which all shards have owners.
const ServiceName CALC("calc");

/** @return Number of jobs in a phase. @param world The simulation. @param jobs The jobs. @param phase The phase. */
int64_t Count(JobWorld &world, const std::vector<WorldJob *> &jobs, JobPhase phase)
{
	return std::ranges::count_if(jobs, [&](const WorldJob *it) { return world.ViewOf(*it).phase == phase; });
}

/** Kills the node that owns the service and starts another one. @param world The simulation. */
void ReplaceOwner(JobWorld &world)
{
	WorldNode *owner = world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	const std::string name = owner->name;
	JobWorld::Kill(*owner);
	world.Boot(name);
}

/** @return A step with many tasks that run one after the other. @param count Number of tasks. */
std::vector<StepSpec> Wide(uint32_t count)
{
	std::vector<StepSpec> steps = JobWorld::Chain(count);
	steps.resize(1);
	return steps;
}

} // namespace

TEST_CASE("a service goes on when its owner has more to record than one append may carry")
{
	JobWorld world;
	world.store.limits = SMALL_LIMITS;
	world.clock.RunUntil(SETTLED);
	const WorldJob &lasting = world.Plan(Millis(100), "calc", JobWorld::Lasting(2));
	std::vector<WorldJob *> jobs;
	for (int n = 0; n < 300; n++) {
		jobs.push_back(&world.Plan(Millis(200 + n), "calc", JobWorld::Chain(3), Millis(50)));
	}
	/* The next owner takes them all at once, and cancels many in the same moment. */
	world.clock.RunUntil(SETTLED + Millis(700));
	ReplaceOwner(world);
	for (WorldJob *it : jobs | std::views::drop(100)) {
		world.PlanCancel(Millis(1), *it);
	}
	world.clock.RunUntil(SETTLED + Millis(40000));
	CHECK(world.site.Running(lasting.spec.id) == 2);
	CHECK(Count(world, jobs, JobPhase::JP_COMPLETED) + Count(world, jobs, JobPhase::JP_CANCELLED) == 300);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a job whose progress outgrows a record of the log stops neither itself nor the other jobs of its service")
{
	for (const bool replaced : {false, true}) {
		CAPTURE(replaced);
		JobWorld world;
		world.store.limits = SMALL_LIMITS;
		world.clock.RunUntil(SETTLED);
		const WorldJob &lasting = world.Plan(Millis(100), "calc", JobWorld::Lasting(2));
		std::vector<WorldJob *> jobs = {&world.Plan(Millis(200), "calc", Wide(2500), Millis(50))};
		for (int n = 0; n < 10; n++) {
			jobs.push_back(&world.Plan(Millis(300 + n * 500), "calc", JobWorld::Chain(2)));
		}
		world.clock.RunUntil(SETTLED + Millis(2500));
		if (replaced) {
			ReplaceOwner(world);
		}
		world.clock.RunUntil(SETTLED + Millis(60000));
		CHECK(world.site.Running(lasting.spec.id) == 2);
		CHECK(Count(world, jobs, JobPhase::JP_COMPLETED) == 11);
		CHECK(world.site.violations == std::vector<std::string>{});
	}
}
