/** @file test_refusing_store.cpp The log refuses or says nothing: callers are told soon and truly, and may come again.
 */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

constexpr Millis SETTLED(3000);     ///< All shards are owned by then.
constexpr Millis REFUSING(6000);    ///< Length of the fault.
constexpr Millis EVERY(250);        ///< A job is handed in so often, at each node by turns.
constexpr Millis CALLER_WAIT(3000); ///< Callers wait so long.
constexpr Millis TOLD_SOON(400);    ///< A refusal within this leaves its caller time to come again.

/** What a caller was told. */
struct Told {
	std::optional<ResultCode> code; ///< The result.
	Millis took;                    ///< Time from the call to it.
};

/** Hands a job in once. @param world The world. @param node Where. @param job It. @param told Gets what is told. */
void HandInOnce(JobWorld &world, WorldNode &node, const WorldJob &job, Told &told)
{
	const Millis at = world.clock.Now();
	node.job_api.Submit(job.spec, job.service, node.scheduler.Now() + CALLER_WAIT,
						[&world, &told, at](ResultCode code) {
							told = Told{code, world.clock.Now() - at};
						});
}

bool Refused(const Told &told)
{
	return told.code == ResultCode::RC_LOG_UNAVAILABLE || told.code == ResultCode::RC_LOG_THROTTLED;
}

} // namespace

TEST_CASE("while the log refuses, callers are refused soon, and what was refused never runs")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	for (const auto &it : world.nodes) {
		it->log.faults.refusing = true;
	}
	std::vector<std::unique_ptr<Told>> told;
	std::vector<const WorldJob *> jobs;
	for (Millis at(0); at < REFUSING; at = at + EVERY) {
		jobs.push_back(&world.Plan(Millis(1000000), "calc", JobWorld::Chain(2)));
		told.push_back(std::make_unique<Told>());
		HandInOnce(world, *world.nodes[jobs.size() % world.nodes.size()], *jobs.back(), *told.back());
		world.clock.RunUntil(SETTLED + at + EVERY);
	}
	for (const auto &it : world.nodes) {
		it->log.faults.refusing = false;
	}
	world.clock.RunUntil(SETTLED + REFUSING + Millis(20000));
	for (size_t n = 0; n < jobs.size(); n++) {
		CAPTURE(n);
		const bool at_the_end = SETTLED + Millis(static_cast<int64_t>(n + 2) * EVERY.Value()) >= SETTLED + REFUSING;
		CHECK((at_the_end || (Refused(*told[n]) && told[n]->took <= TOLD_SOON)));
		CHECK_FALSE((Refused(*told[n]) && world.site.Started(jobs[n]->spec.id)));
		CHECK((told[n]->code != ResultCode::RC_OK || world.site.Started(jobs[n]->spec.id)));
	}
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a job refused by its owner is not forgotten when another node has recorded it meanwhile")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	WorldNode &owner = *world.OwnerOf(ServiceName("calc"));
	const auto other = std::ranges::find_if(world.nodes, [&owner](const auto &it) { return it.get() != &owner; });
	const WorldJob &job = world.Plan(Millis(1000000), "calc", JobWorld::Chain(2));
	owner.log.faults.refusing = true;
	Told first;
	HandInOnce(world, owner, job, first);
	world.clock.RunUntil(SETTLED + Millis(20));
	Told second;
	HandInOnce(world, **other, job, second);
	/* The owner reads the inbox again before it gives the job up. */
	world.clock.RunUntil(SETTLED + Millis(60));
	owner.log.faults.refusing = false;
	world.clock.RunUntil(SETTLED + Millis(8000));
	CHECK(second.code == ResultCode::RC_OK);
	CHECK(world.ViewOf(job).phase == JobPhase::JP_COMPLETED);
}

TEST_CASE("what waits behind an append that is not answered is handed back soon")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	WorldNode &owner = *world.OwnerOf(ServiceName("calc"));
	WorldNode &node = **std::ranges::find_if(world.nodes, [&owner](const auto &it) { return it.get() != &owner; });
	node.log.faults.silent = true;
	Told sent;
	HandInOnce(world, node, world.Plan(Millis(1000000), "calc", JobWorld::Chain(1)), sent);
	std::vector<std::unique_ptr<Told>> told;
	for (int n = 0; n < 4; n++) {
		world.clock.RunUntil(world.clock.Now() + Millis(100));
		told.push_back(std::make_unique<Told>());
		HandInOnce(world, node, world.Plan(Millis(1000000), "calc", JobWorld::Chain(1)), *told.back());
	}
	world.clock.RunUntil(SETTLED + Millis(6000));
	CHECK(sent.code == ResultCode::RC_OUTCOME_UNKNOWN);
	for (const auto &it : told) {
		CHECK(Refused(*it));
		CHECK(it->took <= TOLD_SOON + Millis(400));
	}
}

TEST_CASE("a caller who comes again is not refused while its first try may be recorded, nor when it was")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	WorldNode &owner = *world.OwnerOf(ServiceName("calc"));
	const WorldJob &known = world.Plan(Millis(1000000), "calc", JobWorld::Chain(1), Millis(10000));
	Told first;
	HandInOnce(world, owner, known, first);
	world.clock.RunUntil(SETTLED + Millis(500));
	REQUIRE(first.code == ResultCode::RC_OK);
	for (const auto &it : world.nodes) {
		it->log.faults.silent = true;
	}
	const WorldJob &open = world.Plan(Millis(1000000), "calc", JobWorld::Chain(1), Millis(10000));
	Told sent;
	HandInOnce(world, owner, open, sent);
	world.clock.RunUntil(SETTLED + Millis(600));
	Told again;
	HandInOnce(world, owner, open, again);
	Told known_again;
	HandInOnce(world, owner, known, known_again);
	world.clock.RunUntil(SETTLED + Millis(700));
	CHECK(known_again.code == ResultCode::RC_OK);
	world.clock.RunUntil(SETTLED + Millis(2500));
	/* The log takes it now: told neither yes nor no before. */
	CHECK_FALSE(Refused(again));
	world.clock.RunUntil(SETTLED + Millis(5000));
	CHECK(sent.code == ResultCode::RC_OUTCOME_UNKNOWN);
	CHECK(again.code == ResultCode::RC_OUTCOME_UNKNOWN);
}
