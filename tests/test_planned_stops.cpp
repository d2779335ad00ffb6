/** @file test_planned_stops.cpp Stops that count against a limit, and counts of waiting jobs, around a change of owner.
 */
#include "job_world.h"

#include <doctest/doctest.h>

#include <ranges>

namespace {

const ServiceName CALC("calc");
constexpr Millis STOP_TAKES(5000); ///< A box lists a run that it is ending for so long: longer than a takeover takes.

/** @return The boxes on which an owner's shard has placed tasks. @param shard The shard. */
std::vector<BoxName> Holding(const Shard &shard)
{
	std::vector<BoxName> out;
	for (const ShardBox &box : shard.Boxes() | std::views::values) {
		if (!box.placed.empty()) {
			out.push_back(box.report.box);
		}
	}
	return out;
}

/** Three tasks that last, of which planned work may keep one away; boxes take a while to end a run. */
struct PlannedWorld {
	PlannedWorld() : job(this->world.Plan(Millis(1000), "calc", JobWorld::Lasting(3)))
	{
		this->world.site.stop_delay = STOP_TAKES;
		this->world.clock.RunUntil(Millis(4000));
		REQUIRE(this->world.site.Running(this->job.spec.id) == 3);
		this->before = this->world.OwnerOf(CALC);
		REQUIRE(this->before != nullptr);
		this->holding = Holding(*this->before->host.Find(CALC)->Running());
		REQUIRE(this->holding.size() == 3);
	}

	/** Goes on until another node has claimed the shard, loaded or not. @param loaded Whether it must be loaded.
	 * @return That node, or null. */
	WorldNode *Successor(bool loaded)
	{
		for (Millis at = this->world.clock.Now(); at < Millis(20000); at = at + Millis(5)) {
			this->world.clock.RunUntil(at);
			for (const auto &node : this->world.nodes) {
				const ShardOwner *owner = std::as_const(node->host).Find(CALC);
				const bool claimed = node.get() != this->before && owner != nullptr && owner->Claimed();
				if (claimed && (!loaded || owner->Running() != nullptr)) {
					return node.get();
				}
			}
		}
		return nullptr;
	}

	JobWorld world;               ///< The world.
	const WorldJob &job;          ///< The job.
	WorldNode *before = nullptr;  ///< The first owner.
	std::vector<BoxName> holding; ///< Boxes that run its tasks.
};

} // namespace

TEST_CASE("an owner that was replaced in the log stops nothing for planned work any more")
{
	PlannedWorld it;
	it.before->log.faults.silent = true;
	/* The next owner reads slowly: boxes have not seen its token yet, and still obey the one before. */
	for (const auto &node : it.world.nodes) {
		node->log.faults.latency = Millis(150);
	}
	REQUIRE(it.Successor(false) != nullptr);
	Shard *old = it.before->host.Find(CALC) == nullptr ? nullptr : it.before->host.Find(CALC)->Running();
	REQUIRE(old != nullptr);
	old->Drain({it.holding[0]}, {});
	WorldNode *next = it.Successor(true);
	REQUIRE(next != nullptr);
	Shard *shard = next->host.Find(CALC)->Running();
	for (int n = 0; n < 20; n++) {
		shard->Drain({it.holding[1]}, {});
		it.world.clock.RunUntil(it.world.clock.Now() + Millis(100));
	}
	CHECK(it.world.site.violations.empty());
}

TEST_CASE("an owner counts the stops for planned work that the one before has sent")
{
	PlannedWorld it;
	it.before->host.Find(CALC)->Running()->Drain({it.holding[0]}, {});
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(50));
	REQUIRE(it.before->host.Find(CALC)->Running()->Counters().stops == 1);
	/* The next one finds the run listed at full pace. */
	JobWorld::Kill(*it.before);
	WorldNode *next = it.Successor(true);
	REQUIRE(next != nullptr);
	Shard *shard = next->host.Find(CALC)->Running();
	for (int n = 0; n < 10; n++) {
		shard->Drain({it.holding[1]}, {});
		it.world.clock.RunUntil(it.world.clock.Now() + Millis(50));
	}
	CHECK(it.world.site.violations.empty());
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(8000));
	CHECK(it.world.site.Running(it.job.spec.id) == 3);
}

TEST_CASE("a stop for planned work waits for its record, and is sent once the log is back")
{
	PlannedWorld it;
	it.before->log.faults.refusing = true;
	Shard *shard = it.before->host.Find(CALC)->Running();
	shard->Drain({it.holding[0]}, {});
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(400));
	CHECK(shard->Counters().stops == 0);
	it.before->log.faults.refusing = false;
	it.world.clock.RunUntil(it.world.clock.Now() + Millis(1000));
	CHECK(shard->Counters().stops == 1);
}

TEST_CASE("a job counts as waiting until a box has begun one of its tasks")
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

TEST_CASE("a run that a box begins late is ended when its job was cancelled and its owner has gone")
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
