/** @file test_silent_partition.cpp A partition of the log does not respond for some seconds, while all others do.
 *
 * Guards against a partition of the log that is a queue's single point of failure. Before owners had spare
 * partitions, a fifth of the partitions did not respond for 6 s, among them the one to which the owner of a queue
 * wrote, and its append was repeated once a second until the partition responded again. The owner placed no tasks while
 * the append was under way, although new jobs still arrived through the inbox. At the queue's peak, jobs with a demand
 * of 1,235,650 thousandths of a core were waiting afterwards and ran late, over 9 s, so that the queue earned 0.16 to
 * 0.37 of their value instead of 0.40. Such a fault cost 0.21 of the value, other faults 0.07 at most.
 */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

constexpr Millis SETTLED(3000);         ///< Time by which all shards have owners.
constexpr Millis OUTAGE(6000);          ///< Duration of the fault.
constexpr Millis SUBMIT_INTERVAL(500);  ///< Interval at which jobs are submitted.
constexpr Millis COMPLETE_WITHIN(2000); ///< Limit for each job: two steps of 0.3 s, and the switch of partitions.
const PartitionId JOURNAL{"keyed.jobs.calc", 0}; ///< Partition to which the owner of "calc" writes.

/**
 * Makes a partition unresponsive for all nodes, or responsive again.
 * @param world The simulation.
 * @param partition The partition.
 * @param unresponsive Whether calls to it get no answer.
 */
void SetUnresponsive(JobWorld &world, const PartitionId &partition, bool unresponsive)
{
	for (const auto &node : world.nodes) {
		if (unresponsive) {
			node->log.faults.silent_partitions.insert(partition);
		} else {
			node->log.faults.silent_partitions.erase(partition);
		}
	}
}

} // namespace

TEST_CASE("a queue is served while the partition to which its owner writes does not respond")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	SetUnresponsive(world, JOURNAL, true);
	world.clock.After(OUTAGE, [&world] { SetUnresponsive(world, JOURNAL, false); });
	for (Millis at(0); at < OUTAGE; at = at + SUBMIT_INTERVAL) {
		world.Plan(at, "calc", JobWorld::Chain(2), Millis(300));
	}
	for (const auto &job : world.jobs) {
		CAPTURE(job->spec.id.Value());
		/* Jobs are submitted one after the other. */
		const auto n = static_cast<int64_t>(&job - &world.jobs.front());
		world.clock.RunUntil(SETTLED + Millis(n * SUBMIT_INTERVAL.Value()) + COMPLETE_WITHIN);
		CHECK(world.ViewOf(*job).phase == JobPhase::JP_COMPLETED);
	}
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("the next owner knows what was recorded while the main partition did not respond")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	SetUnresponsive(world, JOURNAL, true);
	const WorldJob &done = world.Plan(Millis(0), "calc", JobWorld::Chain(2), Millis(300));
	const WorldJob &unfinished = world.Plan(Millis(1500), "calc", JobWorld::Chain(2), Millis(2000));
	WorldJob &cancelled = world.Plan(Millis(500), "calc", JobWorld::Lasting(2));
	world.PlanCancel(Millis(1500), cancelled);
	world.clock.RunUntil(SETTLED + Millis(3000));
	REQUIRE(world.ViewOf(done).phase == JobPhase::JP_COMPLETED);
	REQUIRE(cancelled.cancelled);
	const uint64_t starts = world.site.starts;
	JobWorld::Kill(*world.OwnerOf(ServiceName("calc")));
	SetUnresponsive(world, JOURNAL, false);
	world.clock.RunUntil(SETTLED + Millis(3000) + Millis(12000));
	CHECK(world.ViewOf(done).phase == JobPhase::JP_COMPLETED);
	CHECK(world.ViewOf(cancelled).phase == JobPhase::JP_CANCELLED);
	CHECK(world.ViewOf(unfinished).phase == JobPhase::JP_COMPLETED);
	/* Only the last step of the unfinished job starts: nothing that had ended runs again. */
	CHECK(world.site.starts == starts + 1);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("nothing remains in the spare partition once the main one responds again")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	SetUnresponsive(world, JOURNAL, true);
	const WorldJob &job = world.Plan(Millis(0), "calc", JobWorld::Chain(2), Millis(300));
	world.clock.RunUntil(SETTLED + Millis(2000));
	const std::string key = PROGRESS_PREFIX + job.spec.id.Value();
	const auto record_count = [&world](const PartitionId &partition, const std::string &name) {
		return std::ranges::count(world.store.Newest(partition, {}).records, name, &KeyedRecord::key);
	};
	CHECK(record_count(SparePartitionOf(JOURNAL), key) == 1);
	CHECK(record_count(JOURNAL, job.spec.id.Value()) == 0);
	SetUnresponsive(world, JOURNAL, false);
	world.clock.RunUntil(SETTLED + Millis(5000));
	CHECK(record_count(SparePartitionOf(JOURNAL), key) == 0);
	CHECK(record_count(JOURNAL, job.spec.id.Value()) == 1);
}

TEST_CASE("a new node finds an owner whose partition does not respond")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	const WorldJob &job = world.Plan(Millis(0), "calc", JobWorld::Chain(2), Millis(300));
	world.clock.RunUntil(SETTLED + Millis(1000));
	WorldNode &new_node = world.Boot("node-new");
	new_node.log.faults.silent_partitions.insert(JOURNAL);
	/* The simulation delivers no frames, so only the address that the node would ask is checked. */
	new_node.job_api.Ask(JobQuestion{ServiceName("calc"), RouteName("r-calc"), job.spec.id, AccountName()},
						 world.clock.Now() + Millis(1000), [](const JobAnswer &) {});
	world.clock.RunUntil(world.clock.Now() + Millis(1500));
	CHECK(new_node.lookup.OwnerOf(JOURNAL) == world.OwnerOf(ServiceName("calc"))->name);
}
