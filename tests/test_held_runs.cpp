/** @file test_held_runs.cpp Runs of a box that is lost for good are not held for longer than their orders may arrive.
 */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

constexpr Millis NEVER(10000000);            ///< A box that is back after this time is lost for good.
constexpr Millis RESTARTED_BY(7000);         ///< Time after the fault by which a long-running task must run again.
constexpr Millis LOST_AT(21000);             ///< By then no start order of the tasks can arrive any more.
constexpr Millis ORDER_TRANSIT(5);           ///< Time until the start order at which the box is lost would arrive.
constexpr Millis LISTED_AS_DOWN_AFTER(1000); ///< Time from that order until the box is listed as down.
constexpr Millis LOST_AFTER_ORDER(3);        ///< Time from the sending of that order to the loss of its box.
const ServiceName CALC("calc");

/** @return The box on which a task of a job runs or is to run, as its owner knows. @param world The simulation. @param
 * job The job, of one task. */
BoxName BoxOf(JobWorld &world, const WorldJob &job)
{
	const WorldNode *owner = world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	const ShardTask &task = std::as_const(owner->host).Find(CALC)->Running()->Jobs().at(job.spec.id).tasks.front();
	REQUIRE(task.phase == TaskPhase::TP_PLACED);
	return BoxName(task.box.id.Value().substr(0, task.box.id.Value().find("-life")));
}

/** Ends the node that owns the service and starts it again. @param world The simulation. */
void ReplaceOwner(JobWorld &world)
{
	if (WorldNode *owner = world.OwnerOf(CALC); owner != nullptr) {
		const std::string name = owner->name;
		JobWorld::Kill(*owner);
		world.Boot(name);
	}
}

} // namespace

TEST_CASE("a long-running task runs elsewhere soon after its box is lost while its start order is under way")
{
	/* The box has answered the start orders of other tasks, sent in the same moment. */
	JobWorld world;
	world.site.restart_delay = NEVER;
	world.Plan(Millis(4000), "calc", JobWorld::Chain(4), Millis(3000));
	const WorldJob &job = world.Plan(Millis(4000), "calc", JobWorld::Lasting(1));
	std::optional<Millis> lost_at;
	world.site.choose_transit = [&](const OutgoingOrder &it) -> std::optional<OrderTransit> {
		if (lost_at || it.kind != OrderKind::OK_START || it.task.job != job.spec.id) {
			return std::nullopt;
		}
		lost_at = world.clock.Now();
		world.clock.After(LOST_AFTER_ORDER, [&world, box = it.box] { world.site.Crash(box); });
		world.clock.After(LISTED_AS_DOWN_AFTER, [&world] { world.ReportEndedIncarnations(); });
		return OrderTransit{ORDER_TRANSIT, false, true};
	};
	world.clock.RunUntil(Millis(6000));
	REQUIRE(lost_at);
	world.clock.RunUntil(*lost_at + RESTARTED_BY);
	CHECK(world.site.Running(job.spec.id) == 1);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a long-running task runs elsewhere soon after its box was lost together with its owner")
{
	for (const int owners_lost : {1, 2, 3}) {
		CAPTURE(owners_lost);
		JobWorld world;
		world.site.restart_delay = NEVER;
		world.ReportEndedIncarnations();
		const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(1));
		world.clock.RunUntil(LOST_AT);
		world.site.Crash(BoxOf(world, job));
		ReplaceOwner(world);
		for (int n = 1; n < owners_lost; n++) {
			world.clock.RunUntil(world.clock.Now() + Millis(3500));
			ReplaceOwner(world);
		}
		world.clock.RunUntil(world.clock.Now() + RESTARTED_BY);
		CHECK(world.site.Running(job.spec.id) == 1);
		CHECK(world.site.violations == std::vector<std::string>{});
	}
}

TEST_CASE("a long-running task runs again soon after its box is back under another id while all nodes were away")
{
	JobWorld world;
	world.site.keep_box_id = false;
	world.site.restart_delay = Millis(250);
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(1));
	world.clock.RunUntil(LOST_AT);
	world.site.Crash(BoxOf(world, job));
	std::ranges::for_each(world.nodes, [](const auto &it) { JobWorld::Kill(*it); });
	world.clock.RunUntil(world.clock.Now() + Millis(1000));
	for (const char *name : {"node-0", "node-1", "node-2"}) {
		world.Boot(name);
	}
	world.clock.RunUntil(world.clock.Now() + RESTARTED_BY);
	CHECK(world.site.Running(job.spec.id) == 1);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a long-running task runs elsewhere soon after its box was lost together with its owner just after its start")
{
	JobWorld world;
	world.site.restart_delay = NEVER;
	world.ReportEndedIncarnations();
	const WorldJob &job = world.Plan(Millis(4000), "calc", JobWorld::Lasting(1));
	while (world.site.Running(job.spec.id) == 0) {
		REQUIRE(world.clock.RunNextTimer());
	}
	world.clock.RunUntil(world.clock.Now() + Millis(20));
	world.site.Crash(BoxOf(world, job));
	ReplaceOwner(world);
	world.clock.RunUntil(world.clock.Now() + RESTARTED_BY);
	CHECK(world.site.Running(job.spec.id) == 1);
	CHECK(world.site.violations == std::vector<std::string>{});
}

/* Guards against the failure of review/8: the first start order has no answer, its repeat has, and the box is lost. */
TEST_CASE("a long-running task runs elsewhere soon after its box was lost, if no other agent can have the box's id")
{
	JobWorld world(3, false);
	world.site.restart_delay = NEVER;
	const WorldJob &job = world.Plan(Millis(4000), "calc", JobWorld::Lasting(1));
	bool late = false;
	world.site.choose_transit = [&](const OutgoingOrder &it) -> std::optional<OrderTransit> {
		if (it.kind != OrderKind::OK_START || std::exchange(late, true)) {
			return std::nullopt;
		}
		return OrderTransit{Millis(2000), false, false};
	};
	world.clock.RunUntil(Millis(7000));
	REQUIRE(world.site.Running(job.spec.id) == 1);
	world.site.Crash(BoxOf(world, job));
	world.clock.After(LISTED_AS_DOWN_AFTER, [&world] { world.ReportEndedIncarnations(); });
	world.clock.RunUntil(world.clock.Now() + RESTARTED_BY);
	CHECK(world.site.Running(job.spec.id) == 1);
	CHECK(world.site.violations == std::vector<std::string>{});
}
