/** @file test_refusing_store.cpp The log rejects calls or does not answer: callers get a prompt and correct result and
 * may retry. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

constexpr Millis SETTLED(3000);        ///< Time by which all shards have owners.
constexpr Millis REJECT_FOR(6000);     ///< Duration of the fault.
constexpr Millis SUBMIT_INTERVAL(250); ///< Interval at which jobs are submitted, to each node in turn.
constexpr Millis CALLER_WAIT(3000);    ///< Deadline of a caller, from its submission.
constexpr Millis PROMPT_WITHIN(400);   ///< A rejection within this time leaves its caller time to retry.

/** Result of a submission. */
struct SubmitResult {
	std::optional<ResultCode> code; ///< Result code; nullopt before there is one.
	Millis took;                    ///< Time from the submission to the result.
};

/**
 * Submits a job once.
 * @param world The simulation.
 * @param node Node to submit it to.
 * @param job The job.
 * @param result Receives the result; must live until it is set.
 */
void SubmitOnce(JobWorld &world, WorldNode &node, const WorldJob &job, SubmitResult &result)
{
	const Millis at = world.clock.Now();
	node.job_api.Submit(job.spec, job.service, node.scheduler.Now() + CALLER_WAIT,
						[&world, &result, at](ResultCode code) {
							result = SubmitResult{code, world.clock.Now() - at};
						});
}

bool IsRejected(const SubmitResult &result)
{
	return result.code == ResultCode::RC_LOG_UNAVAILABLE || result.code == ResultCode::RC_LOG_THROTTLED;
}

} // namespace

TEST_CASE("while the log rejects appends, callers are rejected promptly, and rejected jobs never run")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	for (const auto &it : world.nodes) {
		it->log.faults.refusing = true;
	}
	std::vector<std::unique_ptr<SubmitResult>> results;
	std::vector<const WorldJob *> jobs;
	for (Millis at(0); at < REJECT_FOR; at = at + SUBMIT_INTERVAL) {
		jobs.push_back(&world.Plan(Millis(1000000), "calc", JobWorld::Chain(2)));
		results.push_back(std::make_unique<SubmitResult>());
		SubmitOnce(world, *world.nodes[jobs.size() % world.nodes.size()], *jobs.back(), *results.back());
		world.clock.RunUntil(SETTLED + at + SUBMIT_INTERVAL);
	}
	for (const auto &it : world.nodes) {
		it->log.faults.refusing = false;
	}
	world.clock.RunUntil(SETTLED + REJECT_FOR + Millis(20000));
	for (size_t n = 0; n < jobs.size(); n++) {
		CAPTURE(n);
		const bool at_the_end =
				SETTLED + Millis(static_cast<int64_t>(n + 2) * SUBMIT_INTERVAL.Value()) >= SETTLED + REJECT_FOR;
		CHECK((at_the_end || (IsRejected(*results[n]) && results[n]->took <= PROMPT_WITHIN)));
		CHECK_FALSE((IsRejected(*results[n]) && world.site.Started(jobs[n]->spec.id)));
		CHECK((results[n]->code != ResultCode::RC_OK || world.site.Started(jobs[n]->spec.id)));
	}
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a job that its owner rejects is kept if another node has recorded it meanwhile")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	WorldNode &owner = *world.OwnerOf(ServiceName("calc"));
	const auto other = std::ranges::find_if(world.nodes, [&owner](const auto &it) { return it.get() != &owner; });
	const WorldJob &job = world.Plan(Millis(1000000), "calc", JobWorld::Chain(2));
	owner.log.faults.refusing = true;
	SubmitResult first;
	SubmitOnce(world, owner, job, first);
	world.clock.RunUntil(SETTLED + Millis(20));
	SubmitResult second;
	SubmitOnce(world, **other, job, second);
	/* The owner reads the inbox again before it drops the job. */
	world.clock.RunUntil(SETTLED + Millis(60));
	owner.log.faults.refusing = false;
	world.clock.RunUntil(SETTLED + Millis(8000));
	CHECK(second.code == ResultCode::RC_OK);
	CHECK(world.ViewOf(job).phase == JobPhase::JP_COMPLETED);
}

TEST_CASE("submissions behind an unanswered append are rejected promptly")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	WorldNode &owner = *world.OwnerOf(ServiceName("calc"));
	WorldNode &node = **std::ranges::find_if(world.nodes, [&owner](const auto &it) { return it.get() != &owner; });
	node.log.faults.silent = true;
	SubmitResult sent;
	SubmitOnce(world, node, world.Plan(Millis(1000000), "calc", JobWorld::Chain(1)), sent);
	std::vector<std::unique_ptr<SubmitResult>> results;
	for (int n = 0; n < 4; n++) {
		world.clock.RunUntil(world.clock.Now() + Millis(100));
		results.push_back(std::make_unique<SubmitResult>());
		SubmitOnce(world, node, world.Plan(Millis(1000000), "calc", JobWorld::Chain(1)), *results.back());
	}
	world.clock.RunUntil(SETTLED + Millis(6000));
	CHECK(sent.code == ResultCode::RC_OUTCOME_UNKNOWN);
	for (const auto &it : results) {
		CHECK(IsRejected(*it));
		CHECK(it->took <= PROMPT_WITHIN + Millis(400));
	}
}

TEST_CASE("a retry is not rejected while the first attempt may have been recorded, nor if it was")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	WorldNode &owner = *world.OwnerOf(ServiceName("calc"));
	const WorldJob &known = world.Plan(Millis(1000000), "calc", JobWorld::Chain(1), Millis(10000));
	SubmitResult first;
	SubmitOnce(world, owner, known, first);
	world.clock.RunUntil(SETTLED + Millis(500));
	REQUIRE(first.code == ResultCode::RC_OK);
	for (const auto &it : world.nodes) {
		it->log.faults.silent = true;
	}
	const WorldJob &open = world.Plan(Millis(1000000), "calc", JobWorld::Chain(1), Millis(10000));
	SubmitResult sent;
	SubmitOnce(world, owner, open, sent);
	world.clock.RunUntil(SETTLED + Millis(600));
	SubmitResult again;
	SubmitOnce(world, owner, open, again);
	SubmitResult known_again;
	SubmitOnce(world, owner, known, known_again);
	world.clock.RunUntil(SETTLED + Millis(700));
	CHECK(known_again.code == ResultCode::RC_OK);
	world.clock.RunUntil(SETTLED + Millis(2500));
	/* The first attempt may still be recorded, so the retry is not rejected. */
	CHECK_FALSE(IsRejected(again));
	world.clock.RunUntil(SETTLED + Millis(5000));
	CHECK(sent.code == ResultCode::RC_OUTCOME_UNKNOWN);
	CHECK(again.code == ResultCode::RC_OUTCOME_UNKNOWN);
}
