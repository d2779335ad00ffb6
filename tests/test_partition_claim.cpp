/** @file test_partition_claim.cpp Two nodes claim a partition at the same moment.
 *
 * After a loss of power of all nodes, the node that had owned a shard comes back and claims it again, while the node
 * that the group has dealt it to finds the owner missing and claims it, too. Both have read the same, so both try the
 * next epoch. The log takes the second claim for a repeat of the first one when producer, epoch and sequence number are
 * the same, and gives it the first answer, whatever its condition says. Two owners with one fence then start the same
 * tasks (two runs at once), or each waits for what the other has recorded (tasks that never run).
 */
#include "standin/memory/keyed_store.h"
#include "store/paired_journal.h"
#include "store/partition_claim.h"

#include <doctest/doctest.h>

namespace {

const PartitionId PARTITION{"keyed.jobs.calc", 0};

/** A node that claims. */
struct Claimer {
	Claimer(VirtualScheduler &clock, KeyedStore &store, const std::string &address)
			: log(clock, clock, store),
			  claim(clock, this->log, this->events, ClaimSpec{address, PARTITION, "nodes", [] { return true; }})
	{
		this->claim.Start([this](const ClaimedPartition &it) { this->claimed = it; });
	}

	NullEventLog events;                     ///< Its lines.
	KeyedStoreClient log;                    ///< Its way to the log.
	PartitionClaim claim;                    ///< Its claim.
	std::optional<ClaimedPartition> claimed; ///< What it has got.
};

} // namespace

TEST_CASE("of two nodes that claim a partition at the same moment one gets it")
{
	VirtualScheduler clock{Millis(1700000000000)};
	KeyedStore store(12);
	Claimer one(clock, store, "10.0.0.1:7060");
	Claimer two(clock, store, "10.0.0.2:7060");
	clock.RunUntil(Millis(100));
	CHECK(one.claimed.has_value() + two.claimed.has_value() == 1);
}

TEST_CASE("a claim whose answers get lost is made again soon, and one at a slow store is waited for")
{
	VirtualScheduler clock{Millis(1700000000000)};
	KeyedStore store(12);
	Claimer lossy(clock, store, "10.0.0.1:7060");
	lossy.log.faults.lose_every = 2; /* Of each claim, the append that fences the second partition. */
	while (!lossy.claimed && clock.Now() < Millis(5000)) {
		clock.RunUntil(clock.Now() + Millis(10));
	}
	/* Looks, pages and appends take 8 ms each, and the pause after the lost answer 150 ms. */
	CHECK(clock.Now() <= Millis(500));

	const Millis begun = clock.Now();
	KeyedStore slow_store(12);
	Claimer slow(clock, slow_store, "10.0.0.2:7060");
	slow.log.faults.latency = Millis(240);
	while (!slow.claimed && clock.Now() - begun < Millis(9000)) {
		clock.RunUntil(clock.Now() + Millis(10));
	}
	REQUIRE(slow.claimed.has_value());
	CHECK(slow.claimed->number.epoch == 1);
}
