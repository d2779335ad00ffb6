/** @file shard_peers.cpp Questions of this node's shards to the shards of other services. */
#include "shard_peers.h"

#include <utility>

void NodeShardPeers::Ask(const RouteQuestion &question, Millis deadline, std::function<void(const RouteAnswer &)> done)
{
	if (const ShardOwner *owner = this->shards.Find(question.service);
		owner != nullptr && owner->Running() != nullptr) {
		this->AnswerHere(question, std::move(done));
		return;
	}
	const auto make = [question](uint64_t number) {
		glade::wire::RouteQuestionT out;
		out.number = number;
		out.service = question.service.Value();
		out.route = question.route.Value();
		out.job = question.job.Value();
		out.account = question.account.Value();
		out.from = question.from.Value();
		out.version = question.version;
		return MakeMessage(std::move(out));
	};
	this->lookup.Ask(PartitionId{TopicOf(question.service), PROGRESS_PARTITION}, question.route.Value(), deadline, make,
					 [done = std::move(done)](ResultCode code, const MessageUnion *message) {
						 const auto *in = message == nullptr ? nullptr : message->AsRouteAnswer();
						 done(in == nullptr ? RouteAnswer{}
											: RouteAnswer{code, in->has_job, in->cancelled, in->has_any, in->served});
					 });
}

bool NodeShardPeers::AnswerHere(const RouteQuestion &question, std::function<void(const RouteAnswer &)> done)
{
	ShardOwner *owner = this->shards.Find(question.service);
	RouteShards *routes = owner == nullptr ? nullptr : owner->Routes();
	if (routes == nullptr) {
		done(RouteAnswer{});
		return false;
	}
	routes->Answer(question, std::move(done));
	return true;
}
