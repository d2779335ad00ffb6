/** @file test_planned_stops.cpp The limit on planned stops, and counts of waiting jobs, across a change of owner. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <ranges>

namespace {

const ServiceName CALC("calc");
constexpr Millis STOP_TIME(5000); ///< Time that a box takes to end a run; longer than a takeover.

/** @return Boxes on which a shard has placed tasks. @param shard The shard, at its owner. */
std::vector<BoxName> BoxesWithTasks(const Shard &shard)
{
	std::vector<BoxName> out;
	for (const ShardBox &box : shard.Boxes() | std::views::values) {
		if (!box.placed.empty()) {
			out.push_back(box.report.box);
		}
	}
	return out;
}

/** Three long-running tasks, of which planned work may stop one at a time. Boxes need STOP_TIME to end a run. */
struct PlannedStopWorld {
	PlannedStopWorld() : job(this->world.Plan(Millis(1000), "calc", JobWorld::Lasting(3)))
	{
		this->world.site.stop_delay = STOP_TIME;
		this->world.clock.RunUntil(Millis(4000));
		REQUIRE(this->world.site.Running(this->job.spec.id) == 3);
		this->first_owner = this->world.OwnerOf(CALC);
		REQUIRE(this->first_owner != nullptr);
		this->task_boxes = BoxesWithTasks(*this->first_owner->host.Find(CALC)->Running());
		REQUIRE(this->task_boxes.size() == 3);
	}

	/** Runs the simulation until another node has claimed the shard. @param loaded Whether the node must also have
	 * loaded the shard. @return The node, or null. */
	WorldNode *Successor(bool loaded)
	{
		for (Millis at = this->world.clock.Now(); at < Millis(20000); at = at + Millis(5)) {
			this->world.clock.RunUntil(at);
			for (const auto &node : this->world.nodes) {
				const ShardOwner *owner = std::as_const(node->host).Find(CALC);
				const bool claimed = node.get() != this->first_owner && owner != nullptr && owner->Claimed();
				if (claimed && (!loaded || owner->Running() != nullptr)) {
					return node.get();
				}
			}
		}
		return nullptr;
	}

	JobWorld world;                   ///< The simulation.
	const WorldJob &job;              ///< The job with the long-running tasks.
	WorldNode *first_owner = nullptr; ///< The first owner of the shard.
	std::vector<BoxName> task_boxes;  ///< Boxes that run the tasks.
};

} // namespace

TEST_CASE("an owner that was replaced in the log stops no more runs for planned work")
{
	PlannedStopWorld it;
	it.first_owner->log.faults.silent = true;
	/* The next owner reads slowly: boxes have not seen its token yet, and still accept orders of the first owner. */
	for (const auto &node : it.world.nodes) {
		node->log.faults.latency = Millis(150);
	}
	REQUIRE(it.Successor(false) != nullptr);
	Shard *old_shard =
			it.first_owner->host.Find(CALC) == nullptr ? nullptr : it.first_owner->host.Find(CALC)->Running();
	REQUIRE(old_shard != nullptr);
	old_shard->Drain({it.task_boxes[0]}, {});
	WorldNode *next = it.Successor(true);
	REQUIRE(next != nullptr);
	Shard *shard = next->host.Find(CALC)->Running();
	for (int n = 0; n < 20; n++) {
		shard->Drain({it.task_boxes[1]}, {});
		it.world.clock.RunUntil(it.world.clock.Now() + Millis(100));
	}
	CHECK(it.world.site.violations.empty());
}

TEST_CASE("an owner counts the stops for planned work that the previous owner has sent")
{
	PlannedStopWorld it;
	it.first_owner->host.Find(CALC)->Running()->Drain({it.task_boxes[0]}, {});
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(50));
	REQUIRE(it.first_owner->host.Find(CALC)->Running()->Counters().stops == 1);
	/* The next owner takes over without delays, while the box still lists the run that it is ending. */
	JobWorld::Kill(*it.first_owner);
	WorldNode *next = it.Successor(true);
	REQUIRE(next != nullptr);
	Shard *shard = next->host.Find(CALC)->Running();
	for (int n = 0; n < 10; n++) {
		shard->Drain({it.task_boxes[1]}, {});
		it.world.clock.RunUntil(it.world.clock.Now() + Millis(50));
	}
	CHECK(it.world.site.violations.empty());
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(8000));
	CHECK(it.world.site.Running(it.job.spec.id) == 3);
}

TEST_CASE("a stop for planned work waits for its append, and is sent once the log is available again")
{
	PlannedStopWorld it;
	it.first_owner->log.faults.refusing = true;
	Shard *shard = it.first_owner->host.Find(CALC)->Running();
	shard->Drain({it.task_boxes[0]}, {});
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(400));
	CHECK(shard->Counters().stops == 0);
	it.first_owner->log.faults.refusing = false;
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(1000));
	CHECK(shard->Counters().stops == 1);
}

TEST_CASE("a job counts as waiting until a box has started one of its tasks")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	for (int n = 0; n < 4; n++) {
		world.site.faults[BoxName("calc-box" + std::to_string(n))].unreachable = true;
	}
	const WorldJob &job = world.Plan(Millis(0), "calc", JobWorld::Chain(2));
	world.clock.RunUntil(Millis(3300));
	REQUIRE(job.accepted);
	const Shard *shard = std::as_const(owner->host).Find(CALC)->Running();
	REQUIRE(shard->Counters().starts > 0);
	CHECK(shard->Waiting(RouteName("r-calc")) == 1);
	for (int n = 0; n < 4; n++) {
		world.site.faults[BoxName("calc-box" + std::to_string(n))].unreachable = false;
	}
	world.clock.RunUntil(Millis(5000));
	CHECK(shard->Waiting(RouteName("r-calc")) == 0);
}

TEST_CASE("a run that a box starts late is stopped if its job was cancelled and its owner was killed")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	for (int n = 0; n < 4; n++) {
		BoxFaults &faults = world.site.faults[BoxName("calc-box" + std::to_string(n))];
		faults.lose_every = 1;
		faults.late = true;
	}
	WorldJob &job = world.Plan(Millis(0), "calc", JobWorld::Lasting(3));
	world.PlanCancel(Millis(300), job);
	world.clock.RunUntil(Millis(3600));
	REQUIRE(job.cancelled);
	JobWorld::Kill(*owner);
	for (int n = 0; n < 4; n++) {
		world.site.faults[BoxName("calc-box" + std::to_string(n))].lose_every = 0;
	}
	world.clock.RunUntil(Millis(9500));
	CHECK(world.site.Running(job.spec.id) == 0);
	CHECK(world.site.violations.empty());
}
