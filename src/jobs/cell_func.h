/** @file cell_func.h How the jobs and boxes of a service are dealt to its cells. */
#ifndef CELL_FUNC_H
#define CELL_FUNC_H

#include "../store/keyed_log.h"
#include "job_type.h"

/**
 * A shard: one of the cells of a service. Each cell has jobs and boxes of its own, an owner, and two partitions of the
 * service's topic; so a service is served by several owners, and one that is slow or cut off stops its part alone.
 */
struct ShardName {
	/** @param service The service. @param cell Which of its cells; the first one of a service that has no other. */
	ShardName(ServiceName service, uint32_t cell = 0) : service(std::move(service)), cell(cell) {}

	ServiceName service; ///< The service.
	uint32_t cell = 0;   ///< Which of its cells, from 0.

	auto operator<=>(const ShardName &) const = default;
	/** @return The name for logs: the service, with the cell behind a slash. */
	[[nodiscard]] std::string Text() const { return this->service.Value() + "/" + std::to_string(this->cell); }
};

/**
 * Number of cells that each service has. It follows from how the platform sizes its topics, which all nodes are told
 * alike and which stays while records of jobs are kept: a job's cell never changes.
 * @param partitions Partitions of a topic.
 */
uint32_t CellsOf(uint32_t partitions);
/** @return Cell of a job. @param job The job. @param cells Number of cells. */
uint32_t CellOf(const JobId &job, uint32_t cells);
/** @return Cell of a box, in whichever pool it is. @param box The box. @param cells Number of cells. */
uint32_t CellOf(const BoxName &box, uint32_t cells);

/** @return Topic of a service. @param service The service. */
std::string TopicOf(const ServiceName &service);
/** @return Partition in which a shard's owner records. @param shard The shard. */
PartitionId ProgressOf(const ShardName &shard);
/** @return Partition in which any node records submissions and cancellations for a shard. @param shard The shard. */
PartitionId InboxOf(const ShardName &shard);

#endif /* CELL_FUNC_H */
