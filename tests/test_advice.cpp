/** @file test_advice.cpp Routes with a policy: each start needs a ticket. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

/** A world whose route to `calc` has a policy. */
struct AdvisedWorld : public JobWorld {
	AdvisedWorld() : JobWorld(0)
	{
		this->config.routes[0].needs_ticket = true;
		this->site.ticket_valid = [this](const BoxReport &box, const StartOrder &order) {
			return box.service != ServiceName("calc") || this->advisor.Holds(order);
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

TEST_CASE("a route with a policy is served on the boxes that it allows, with tickets that hold")
{
	AdvisedWorld world;
	std::vector<WorldJob *> jobs;
	constexpr int COUNT = 10;
	jobs.reserve(COUNT);
	for (int n = 0; n < COUNT; n++) {
		jobs.push_back(&world.Plan(Millis(2000 + n * 700), "calc", JobWorld::Chain(2), Millis(400)));
	}
	world.clock.RunUntil(Millis(20000));
	CHECK(std::ranges::all_of(jobs, [&world](const WorldJob *it) { return Completed(world, *it); }));
	CHECK(world.site.violations == std::vector<std::string>{});
	/* 30 tasks; no start was refused for want of a ticket. */
	CHECK(world.site.starts == 30);
	CHECK(world.OwnerOf(ServiceName("calc"))->host.Find(ServiceName("calc"))->Running()->Counters().refused == 0);
	/* A box that isn't allowed is asked about once a step at most. */
	CHECK(world.advisor.asked <= 20 * 4);
}

TEST_CASE("a policy that can't be heard delays its own route only")
{
	AdvisedWorld world;
	world.advisor.silent = true;
	const WorldJob &advised = world.Plan(Millis(2000), "calc", JobWorld::Chain(2), Millis(400));
	const WorldJob &plain = world.Plan(Millis(2000), "grid", JobWorld::Chain(2), Millis(400));
	world.clock.RunUntil(Millis(6000));
	CHECK(!Completed(world, advised));
	CHECK(Completed(world, plain));
	world.advisor.silent = false;
	world.clock.RunUntil(Millis(12000));
	CHECK(Completed(world, advised));
}

TEST_CASE("a ticket that is over is asked for again")
{
	AdvisedWorld world;
	/* The allowed box has room for eight: the others wait for longer than a ticket holds. */
	const WorldJob &job = world.Plan(Millis(2000), "calc", JobWorld::Chain(20), Millis(3000));
	world.clock.RunUntil(Millis(30000));
	CHECK(Completed(world, job));
	CHECK(world.site.violations == std::vector<std::string>{});
}
