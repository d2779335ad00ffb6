/** @file test_partition_claim.cpp Two nodes claim a partition at the same moment.
 *
 * Guards against two owners with the same fencing token. After a power failure of all nodes, the previous owner of a
 * shard restarts and claims it again, while the node that the group assigned the partition to finds no owner and claims
 * it, too. Both have read the same records, so both try the next epoch. The log takes the second claim for a repeat of
 * the first one if producer, epoch and sequence number are the same, and answers it like the first, whatever its
 * condition says. The two owners then start the same tasks (two runs at once), or each waits for the other's records
 * (tasks that never run).
 */
#include "standin/memory/keyed_store.h"
#include "store/paired_journal.h"
#include "store/partition_claim.h"

#include <doctest/doctest.h>

namespace {

const PartitionId PARTITION{"keyed.jobs.calc", 0}; ///< The claimed partition.

/** A node that claims the partition. */
struct Claimer {
	Claimer(VirtualScheduler &clock, KeyedStore &store, const std::string &address)
			: log(clock, clock, store),
			  claim(clock, this->log, this->events, ClaimSpec{address, PARTITION, "nodes", [] { return true; }})
	{
		this->claim.Start([this](const ClaimedPartition &it) { this->claimed = it; });
	}

	NullEventLog events;                     ///< Discards log events.
	KeyedStoreClient log;                    ///< Its log client.
	PartitionClaim claim;                    ///< Its claim.
	std::optional<ClaimedPartition> claimed; ///< Result of the claim, once it succeeded.
};

} // namespace

TEST_CASE("exactly one of two nodes that claim a partition at the same moment gets it")
{
	VirtualScheduler clock{Millis(1700000000000)};
	KeyedStore store(12);
	Claimer one(clock, store, "10.0.0.1:7060");
	Claimer two(clock, store, "10.0.0.2:7060");
	clock.RunUntil(Millis(100));
	CHECK(one.claimed.has_value() + two.claimed.has_value() == 1);
}

TEST_CASE("a claim whose answers are lost is repeated soon, and a claim in a slow store succeeds")
{
	VirtualScheduler clock{Millis(1700000000000)};
	KeyedStore store(12);
	Claimer lossy(clock, store, "10.0.0.1:7060");
	lossy.log.faults.lose_every = 2; /* Loses the answer to the second append, which fences the spare partition. */
	while (!lossy.claimed && clock.Now() < Millis(5000)) {
		clock.RunUntil(clock.Now() + Millis(10));
	}
	/* Each read and append takes 8 ms, and the pause after the lost answer 150 ms. */
	CHECK(clock.Now() <= Millis(500));

	const Millis slow_started_at = clock.Now();
	KeyedStore slow_store(12);
	Claimer slow(clock, slow_store, "10.0.0.2:7060");
	slow.log.faults.latency = Millis(240);
	while (!slow.claimed && clock.Now() - slow_started_at < Millis(9000)) {
		clock.RunUntil(clock.Now() + Millis(10));
	}
	REQUIRE(slow.claimed.has_value());
	CHECK(slow.claimed->number.epoch == 1);
}
