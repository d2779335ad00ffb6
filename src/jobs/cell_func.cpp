/** @file cell_func.cpp How the jobs and boxes of a service are dealt to its cells. */
#include "cell_func.h"

#include "../store/partition_claim.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace {

/** Partitions of a topic for each cell. Topics of installations up to some hundred boxes have 12; an owner with half a
 * core serves as many boxes at their peak. More cells would leave too few boxes in each for wide steps. */
constexpr uint32_t PARTITIONS_A_CELL = 12;
constexpr uint32_t PARTITIONS_A_SHARD = 2; ///< Where its owner records, and its inbox.

} // namespace

uint32_t CellsOf(uint32_t partitions)
{
	return std::max(partitions / PARTITIONS_A_CELL, 1U);
}

uint32_t CellOf(const JobId &job, uint32_t cells)
{
	return static_cast<uint32_t>(job.Hash() % cells);
}

uint32_t CellOf(const BoxName &box, uint32_t cells)
{
	return static_cast<uint32_t>(XXH3_64bits(box.Value().data(), box.Value().size()) % cells);
}

std::string TopicOf(const ServiceName &service)
{
	return "keyed.jobs." + service.Value();
}

PartitionId ProgressOf(const ShardName &shard)
{
	return PartitionId{TopicOf(shard.service), shard.cell * PARTITIONS_A_SHARD};
}

PartitionId InboxOf(const ShardName &shard)
{
	return SpareOf(ProgressOf(shard));
}
