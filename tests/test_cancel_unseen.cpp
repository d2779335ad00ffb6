/** @file test_cancel_unseen.cpp A cancellation that is written to the inbox while the owner is cut off from the store.
 */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

const ServiceName CALC("calc");

/**
 * Cuts the owner off from the store, by default while the second step of its job is placed, and cancels the job through
 * the inbox at another node. No node takes over, as all others are paused.
 * @param cut_for Time from the confirmed cancellation until the owner reaches the store again.
 * @param cut_at Time at which the owner is cut off.
 * @return Violated invariants.
 */
std::vector<std::string> RunScenario(Millis cut_for, Millis cut_at = Millis(4400))
{
	JobWorld world;
	WorldJob &job = world.Plan(Millis(4000), "calc", JobWorld::Chain(3));
	world.clock.RunUntil(cut_at);
	WorldNode *owner = world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	REQUIRE(job.accepted);
	owner->log.faults.silent = true;
	const auto other = std::ranges::find_if(world.nodes, [owner](const auto &it) { return it.get() != owner; });
	world.site.JobOf(job.spec.id).cancel_sent = true;
	(*other)->job_api.Cancel(JobQuestion{CALC, job.spec.route, job.spec.id, job.spec.account},
							 (*other)->scheduler.Now() + Millis(3000), [&world, &job](ResultCode code) {
								 job.cancelled = code == ResultCode::RC_OK;
								 world.site.JobOf(job.spec.id).cancelled_at = world.clock.Now();
							 });
	const Millis cancelled = cut_at + Millis(100);
	world.clock.RunUntil(cancelled);
	REQUIRE(job.cancelled);
	for (const auto &it : world.nodes) {
		it->scheduler.paused_until = it.get() == owner ? Millis(0) : world.clock.Now() + cut_for + Millis(2000);
	}
	world.clock.RunUntil(cancelled + cut_for);
	owner->log.faults.silent = false;
	world.clock.RunUntil(cancelled + cut_for + Millis(4000));
	return world.site.violations;
}

} // namespace

/* Guards against starts after a confirmed cancellation: once the owner reached the store again, its pending append of
 * new runs went through before it had read the cancellation from the inbox, and the start orders were sent 3.1 s after
 * the confirmation. */
TEST_CASE("starts whose append took seconds wait until the inbox has been read")
{
	for (Millis cut_for(3050); cut_for < Millis(4300); cut_for = cut_for + Millis(25)) {
		CAPTURE(cut_for.Value());
		CHECK(RunScenario(cut_for) == std::vector<std::string>{});
	}
}

/* Guards against such starts also when the owner is cut off at other times during the job, and for other durations. */
TEST_CASE("starts wait until the inbox has been read, whenever the owner was cut off from the store")
{
	constexpr Millis CUT_AT_STEP(40);
	constexpr Millis CUT_FOR_STEP(150);
	for (Millis cut_at(4100); cut_at < Millis(5000); cut_at = cut_at + CUT_AT_STEP) {
		for (Millis cut_for(1000); cut_for < Millis(6000); cut_for = cut_for + CUT_FOR_STEP) {
			CAPTURE(cut_at.Value());
			CAPTURE(cut_for.Value());
			CHECK(RunScenario(cut_for, cut_at) == std::vector<std::string>{});
		}
	}
}

TEST_CASE("an inbox that does not answer delays the starts after such a cut-off only briefly")
{
	JobWorld world;
	const WorldJob &job = world.Plan(Millis(4000), "calc", JobWorld::Chain(3));
	world.clock.RunUntil(Millis(4400));
	WorldNode *owner = world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	owner->log.faults.silent = true;
	for (const auto &it : world.nodes) {
		it->scheduler.paused_until = it.get() == owner ? Millis(0) : Millis(9000);
	}
	world.clock.RunUntil(Millis(6000));
	owner->log.faults.silent_partitions = {PartitionId{TopicOf(CALC), INBOX_PARTITION}};
	owner->log.faults.silent = false;
	world.clock.RunUntil(Millis(9000));
	CHECK(world.ViewOf(job).phase == JobPhase::JP_COMPLETED);
	CHECK(world.site.violations == std::vector<std::string>{});
}
