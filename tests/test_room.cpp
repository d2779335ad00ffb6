/** @file test_room.cpp Boxes whose room shrinks and grows while they run, and that start whatever they are told. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

const ServiceName CALC("calc");
const Resources LITTLE_ROOM{500, 8000, 0}; ///< Less than a task takes.

/** Changes the room of all boxes. @param world The world. @param room What each has from now on. */
void ResizeAll(JobWorld &world, const Resources &room)
{
	for (const BoxReport &it : world.site.Reports()) {
		world.site.Resize(it.box, room);
	}
}

/** Boxes stop to hear starts and stops, or hear them again. @param world The world. @param deaf Whether they stop. */
void SetDeaf(JobWorld &world, bool deaf)
{
	for (const BoxReport &it : world.site.Reports()) {
		world.site.faults[it.box].drop_starts_and_stops = deaf;
	}
}

/** Answers to lease orders get lost, or come again. @param world The world. @param heard Whether they come. */
void SetListsHeard(JobWorld &world, bool heard)
{
	for (const BoxReport &it : world.site.Reports()) {
		world.site.faults[it.box].lose_lease_every = heard ? 0 : 1;
	}
}

} // namespace

TEST_CASE("a start that is repeated doesn't go beyond the room that its box has by then")
{
	JobWorld world;
	world.site.checks_capacity = false;
	world.clock.RunUntil(Millis(3000));
	/* Placed in the room of before; the orders get lost, and are repeated since too many of the step are away. */
	SetDeaf(world, true);
	const WorldJob &job = world.Plan(Millis(0), "calc", JobWorld::Lasting(3));
	world.clock.RunUntil(Millis(3500));
	ResizeAll(world, LITTLE_ROOM);
	/* The owner has heard of it within a beat; it binds 4.5 s later. */
	world.clock.RunUntil(Millis(9000));
	SetDeaf(world, false);
	world.clock.RunUntil(Millis(12000));
	CHECK(world.site.violations == std::vector<std::string>{});
	CHECK(world.site.Running(job.spec.id) == 0);
	/* Room again: what waited goes on. */
	ResizeAll(world, Resources{8000, 8000, 0});
	world.clock.RunUntil(Millis(16000));
	CHECK(world.site.violations == std::vector<std::string>{});
	CHECK(world.site.Running(job.spec.id) == 3);
}

TEST_CASE("a box that is beyond its new room gets nothing new, and what works there goes on")
{
	JobWorld world;
	world.site.checks_capacity = false;
	const WorldJob &lasting = world.Plan(Millis(1000), "calc", JobWorld::Lasting(4));
	world.clock.RunUntil(Millis(4000));
	REQUIRE(world.site.Running(lasting.spec.id) == 4);
	ResizeAll(world, LITTLE_ROOM);
	world.clock.RunUntil(Millis(9000));
	const WorldJob &later = world.Plan(Millis(0), "calc", JobWorld::Chain(2));
	world.clock.RunUntil(Millis(14000));
	CHECK(world.site.Running(lasting.spec.id) == 4);
	CHECK_FALSE(world.site.Started(later.spec.id));
	ResizeAll(world, Resources{8000, 8000, 0});
	world.clock.RunUntil(Millis(20000));
	CHECK(world.ViewOf(later).phase == JobPhase::JP_COMPLETED);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a run that came to work unseen is not stopped since its box has shrunk meanwhile")
{
	JobWorld world;
	world.site.checks_capacity = false;
	for (const BoxReport &it : world.site.Reports()) {
		world.site.faults[it.box] = BoxFaults{.lose_every = 1};
	}
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(3));
	world.clock.RunUntil(Millis(1005));
	SetListsHeard(world, false);
	ResizeAll(world, LITTLE_ROOM);
	world.clock.RunUntil(Millis(3500));
	SetListsHeard(world, true);
	for (const BoxReport &it : world.site.Reports()) {
		world.site.faults[it.box] = BoxFaults{};
	}
	world.clock.RunUntil(Millis(6000));
	CHECK(world.site.Running(job.spec.id) == 3);
	CHECK(world.site.violations == std::vector<std::string>{});
}
