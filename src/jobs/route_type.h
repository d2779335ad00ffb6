/** @file route_type.h Which shards may have jobs of a route, and what shards ask each other about it. */
#ifndef ROUTE_TYPE_H
#define ROUTE_TYPE_H

#include "../error_type.h"
#include "../store/keyed_log.h"
#include "job_type.h"

#include <functional>
#include <set>

/**
 * State of a route in one shard. The configuration may send a route to another service at any time, but a job stays in
 * the shard that has taken it. So each shard records which others may have jobs of the route, and whether one of them
 * takes the new ones.
 */
struct RouteState {
	uint64_t registered = 0;            ///< Version as of which the shard is registered for the route; 0 if it isn't.
	uint64_t redirected = 0;            ///< Version as of which another shard takes the route's jobs; 0 if none does.
	ServiceName redirect_to;            ///< Service of that shard.
	std::set<ServiceName> other_shards; ///< Services of other shards that may have jobs of the route.
	/** Policy of the route in the newest configuration that had it; unset when not known. */
	std::optional<VersionedPolicy> policy;
	uint64_t revision = 0; ///< Rises with each record of the route: the highest is the newest.

	bool operator==(const RouteState &) const = default;
};

/** A shard's registration for a route, visible to all shards. */
struct RouteRegistration {
	RouteName route;     ///< The route.
	ServiceName service; ///< Service of the shard.
	uint64_t config = 0; ///< Version of the configuration that sends the route to the service.

	bool operator==(const RouteRegistration &) const = default;
};

/** Question of a shard to another one that may have jobs of the same route. */
struct RouteQuestion {
	ServiceName service;  ///< Service of the asked shard.
	RouteName route;      ///< The route.
	JobId job;            ///< A job that the asking shard wants to take; empty for none.
	AccountName account;  ///< Account of the job.
	ServiceName from;     ///< Service of the asking shard.
	uint64_t version = 0; ///< Version as of which the asking shard takes the route's jobs; 0 if it doesn't.
};

/** Answer to a RouteQuestion. */
struct RouteAnswer {
	ResultCode code = ResultCode::RC_PEER_UNAVAILABLE; ///< RC_OK or RC_PEER_UNAVAILABLE.
	bool has_job = false;                              ///< Whether the asked shard has the job.
	bool cancelled = false;                            ///< Whether it has a cancellation of the job.
	bool has_any = false; ///< Whether it has any job of the route, or the cancellation of an unknown one.
	uint64_t served = 0;  ///< Version as of which it takes the route's jobs; 0 if not.
};

/** Reaches the shards of other services, wherever their owners are. */
class ShardPeers {
public:
	virtual ~ShardPeers() = default;

	/**
	 * Asks another shard.
	 * @param question The question.
	 * @param deadline Time at which the question is given up.
	 * @param done Called with the answer, or with RC_PEER_UNAVAILABLE; may never be called if an owner on this node
	 * loses the asked shard.
	 */
	virtual void Ask(const RouteQuestion &question, Millis deadline, std::function<void(const RouteAnswer &)> done) = 0;
	/**
	 * Records a submission or cancellation in another shard, by its owner or in its inbox.
	 * @param service Service of the shard.
	 * @param record The record, in the format of the inbox.
	 * @param deadline Time at which the attempt is given up.
	 * @param done Called with RC_OK once the record is durable, otherwise with another code.
	 */
	virtual void Record(const ServiceName &service, const KeyedRecord &record, Millis deadline,
						std::function<void(ResultCode)> done) = 0;
};

#endif /* ROUTE_TYPE_H */
