/** @file test_queued_starts.cpp Start orders that wait do not keep later jobs from being placed. */
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

TEST_CASE("a job of very many tasks without demands does not keep a later one waiting")
{
	JobWorld world(1);
	world.clock.RunUntil(Millis(4000));
	/* Some 1,000 starts a second are answered. */
	world.site.choose_transit = [](const OutgoingOrder &order) {
		return order.kind == OrderKind::OK_START ? std::optional(OrderTransit{Millis(100)}) : std::nullopt;
	};
	world.Plan(Millis(0), "calc", {PlainStep(20000, 0)}, Millis(100));
	world.clock.RunUntil(Millis(6000));
	const Millis submitted_at = world.clock.Now();
	const WorldJob &later = world.Plan(Millis(0), "calc", {PlainStep(2, 1000)}, Millis(100));
	Millis done_after;
	while (world.ViewOf(later).phase != JobPhase::JP_COMPLETED && world.clock.Now() < Millis(60000)) {
		world.clock.RunUntil(world.clock.Now() + Millis(50));
		done_after = world.clock.Now() - submitted_at;
	}
	CHECK(done_after < Millis(3000));
}
