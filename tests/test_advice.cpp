/** @file test_advice.cpp Routes with a placement policy: each start order needs a ticket. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

/** A simulation whose route to "calc" has a placement policy. */
struct PolicyWorld : public JobWorld {
	PolicyWorld() : JobWorld(0)
	{
		this->config.routes[0].policy.needs_ticket = true;
		this->site.ticket_valid = [this](const BoxReport &box, const StartOrder &order) {
			return box.service != ServiceName("calc") || this->advisor.IsValid(order);
		};
		for (const char *name : {"node-0", "node-1", "node-2"}) {
			this->Boot(name);
		}
	}
};

bool Completed(JobWorld &world, const WorldJob &job)
{
	return world.ViewOf(job).phase == JobPhase::JP_COMPLETED;
}

} // namespace

TEST_CASE("a route with a policy uses only boxes that the policy allows, with valid tickets")
{
	PolicyWorld world;
	std::vector<WorldJob *> jobs;
	constexpr int COUNT = 10;
	jobs.reserve(COUNT);
	for (int n = 0; n < COUNT; n++) {
		jobs.push_back(&world.Plan(Millis(2000 + n * 700), "calc", JobWorld::Chain(2), Millis(400)));
	}
	world.clock.RunUntil(Millis(20000));
	CHECK(std::ranges::all_of(jobs, [&world](const WorldJob *it) { return Completed(world, *it); }));
	CHECK(world.site.violations == std::vector<std::string>{});
	/* 30 tasks; no start was refused because of a missing or expired ticket. */
	CHECK(world.site.starts == 30);
	CHECK(world.OwnerOf(ServiceName("calc"))->host.Find(ServiceName("calc"))->Running()->Counters().refused == 0);
	/* For the 20 steps, the policy is asked on average at most once about each of the four boxes. */
	CHECK(world.advisor.asked <= 20 * 4);
}

TEST_CASE("a policy that doesn't answer delays only its own route")
{
	PolicyWorld world;
	world.advisor.unresponsive = true;
	const WorldJob &with_policy = world.Plan(Millis(2000), "calc", JobWorld::Chain(2), Millis(400));
	const WorldJob &without_policy = world.Plan(Millis(2000), "grid", JobWorld::Chain(2), Millis(400));
	world.clock.RunUntil(Millis(6000));
	CHECK(!Completed(world, with_policy));
	CHECK(Completed(world, without_policy));
	world.advisor.unresponsive = false;
	world.clock.RunUntil(Millis(12000));
	CHECK(Completed(world, with_policy));
}

TEST_CASE("an expired ticket is requested again")
{
	PolicyWorld world;
	/* The allowed box has capacity for eight tasks: the other tasks wait until their tickets have expired. */
	const WorldJob &job = world.Plan(Millis(2000), "calc", JobWorld::Chain(20), Millis(3000));
	world.clock.RunUntil(Millis(30000));
	CHECK(Completed(world, job));
	CHECK(world.site.violations == std::vector<std::string>{});
}
