/** @file test_cancel_unseen.cpp A cancellation that lies in the inbox while the owner's way to the store is cut. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

const ServiceName CALC("calc");

/** A job whose second step is placed while its owner can't reach the store; meanwhile it is cancelled at another node,
 * by the inbox. Nobody takes over: the other nodes stand still. @param cut_for The store is back after this. @param
 * cut_at When it goes. @return Rules broken. */
std::vector<std::string> Play(Millis cut_for, Millis cut_at = Millis(4400))
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
	(*other)->desk.Cancel(job.spec.id, job.spec.account, CALC, (*other)->scheduler.Now() + Millis(3000),
						  [&world, &job](ResultCode code) {
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

/* Found by a soak: four tasks were started 3.1 s after their job's cancellation had been confirmed. In that order: the
 * owner's way to the store was cut; another node wrote the cancellation to the inbox; the way came back, the owner's
 * append of new runs got through first, and their orders left before it had read the inbox. */
TEST_CASE("starts whose record took seconds wait until the inbox was read")
{
	for (Millis cut_for(3050); cut_for < Millis(4300); cut_for = cut_for + Millis(25)) {
		CAPTURE(cut_for.Value());
		CHECK(Play(cut_for) == std::vector<std::string>{});
	}
}

/* The same cut at other moments of the job's run, and for other times. */
TEST_CASE("starts wait until the inbox was read, whenever the way to the store was cut")
{
	constexpr Millis MOMENTS_APART(40);
	constexpr Millis TIMES_APART(150);
	for (Millis cut_at(4100); cut_at < Millis(5000); cut_at = cut_at + MOMENTS_APART) {
		for (Millis cut_for(1000); cut_for < Millis(6000); cut_for = cut_for + TIMES_APART) {
			CAPTURE(cut_at.Value());
			CAPTURE(cut_for.Value());
			CHECK(Play(cut_for, cut_at) == std::vector<std::string>{});
		}
	}
}

TEST_CASE("an inbox that says nothing holds such starts up for a moment only")
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
