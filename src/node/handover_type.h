/** @file handover_type.h Types shared by the parts that hand a shard over from an overloaded node to another one. */
#ifndef HANDOVER_TYPE_H
#define HANDOVER_TYPE_H

#include "../jobs/job_type.h"

#include <functional>
#include <string>
#include <vector>

/** Time for which a node expects a shard after it has accepted the offer. A release takes 10 ms, and up to 1.6 s with a
 * slow store behind an append under way. */
constexpr Millis HANDOVER_EXPECTATION(3000);

/** Load of a node, as it reports it to other nodes. */
struct NodeLoad {
	int64_t cpu = 0;            ///< Processor time limit, in thousandths of a core.
	int64_t busy_percent = 0;   ///< Time for which its event loop was busy lately, in percent.
	size_t shards = 0;          ///< Number of shards that it owns or expects.
	bool accepts_shard = false; ///< Whether it would take over a further shard.
};

/** Load of a shard that this node owns. */
struct ShardLoad {
	ServiceName service;  ///< The shard's service.
	uint64_t epoch = 0;   ///< Epoch of this node's ownership.
	int64_t starts_per_s; ///< Tasks started in the last second.
};

/** Shards of this node, as seen by the coordinator of handovers. */
class HandoverShards {
public:
	virtual ~HandoverShards() = default;

	/** @return Loads of the shards that run on this node. */
	[[nodiscard]] virtual std::vector<ShardLoad> Loads() const = 0;
	/**
	 * Releases a shard to another node, which expects it. The shard accepts no requests from now on, and waiting
	 * callers are answered so that they retry.
	 * @param service The shard's service.
	 * @param successor IP:port on which the other node serves nodes.
	 * @param done Called with true when the release is durable, with false when this node doesn't own the shard any
	 * more.
	 */
	virtual void HandOver(const ServiceName &service, const std::string &successor, std::function<void(bool)> done) = 0;
	/**
	 * Prepares to take a shard over that its owner is about to release to this node.
	 * @param service The shard's service.
	 * @return Whether this node can take it over; false while it stops or doesn't know the service.
	 */
	virtual bool Expect(const ServiceName &service) = 0;
};

#endif /* HANDOVER_TYPE_H */
