/** @file shard_peers.h Questions of this node's shards to the shards of other services, here or on other nodes. */
#ifndef SHARD_PEERS_H
#define SHARD_PEERS_H

#include "job_api.h"

/** Reaches a shard in this process or, over a frame connection, on the node of its owner. */
class NodeShardPeers : public ShardPeers {
public:
	/**
	 * @param shards Shards owned by this node; outlives this object.
	 * @param lookup Requests to owners on other nodes; outlives this object.
	 * @param api Records submissions and cancellations; outlives this object.
	 */
	NodeShardPeers(ShardHost &shards, OwnerLookup &lookup, JobApi &api) : shards(shards), lookup(lookup), api(api) {}

	void Ask(const RouteQuestion &question, Millis deadline, std::function<void(const RouteAnswer &)> done) override;
	void Record(const ServiceName &service, const KeyedRecord &record, Millis deadline,
				std::function<void(ResultCode)> done) override
	{
		this->api.Record(service, record, deadline, std::move(done));
	}
	/**
	 * Answers a question from a shard that this node owns.
	 * @param question The question.
	 * @param done Called with the answer, at once with RC_PEER_UNAVAILABLE if this node doesn't own the shard.
	 * @return Whether this node owns the shard.
	 */
	bool AnswerHere(const RouteQuestion &question, std::function<void(const RouteAnswer &)> done);

private:
	ShardHost &shards;   ///< Shards owned by this node.
	OwnerLookup &lookup; ///< Requests to owners on other nodes.
	JobApi &api;         ///< Records submissions and cancellations.
};

#endif /* SHARD_PEERS_H */
