/** @file handover_planner.cpp Decides which shard an overloaded node hands over, and to which node. */
#include "handover_planner.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace {

/** Processor time that a successor needs, as a ratio to this node's: a weaker node would be overloaded next. */
constexpr int64_t STRENGTH_NUMERATOR = 3;
constexpr int64_t STRENGTH_DENOMINATOR = 4; ///< See STRENGTH_NUMERATOR.
constexpr int64_t SUCCESSOR_BUSY_MAX = 60;  ///< Load up to which a node takes over a shard, in percent.
constexpr int64_t PERCENT = 100;            ///< Load of a saturated node.
/** Minimum time between two moves of a shard, and between two shards that a node takes over: the load of the new owner
 * must show before it is judged. */
constexpr Millis MOVE_INTERVAL(5000);
/** Time for which a shard stays that another node has handed over: a shard that saturates each owner would else move on
 * and on, and each move costs starts. */
constexpr Millis RECEIVED_KEPT_FOR(15000);
/** Time for which a node that has released a shard accepts none. Its load is low only because the shard is gone; what
 * made it slow may last. */
constexpr Millis RELEASED_PAUSE(10000);
constexpr Millis UNAVAILABLE_PAUSE(3000); ///< Time for which a node that declined or didn't answer is not asked.

} // namespace

void HandoverPlanner::NoteShards(Millis now, const std::vector<ShardLoad> &shards)
{
	std::map<ServiceName, Ownership> current;
	for (const ShardLoad &it : shards) {
		const auto known = this->owned.find(it.service);
		const bool same = known != this->owned.end() && known->second.epoch == it.epoch;
		const bool received = same ? known->second.received : this->accepted && this->accepted->service == it.service;
		current[it.service] = Ownership{it.epoch, same ? known->second.since : now, received};
	}
	this->owned = std::move(current);
}

void HandoverPlanner::NoteReleased(Millis now, const ServiceName &service)
{
	this->owned.erase(service);
	this->released_at = now;
}

void HandoverPlanner::NoteUnavailable(Millis now, const std::string &address)
{
	this->unavailable_until[address] = now + UNAVAILABLE_PAUSE;
}

void HandoverPlanner::NoteAccepted(Millis now, const ServiceName &service, uint64_t epoch)
{
	this->accepted = AcceptedOffer{service, epoch, now};
}

std::vector<ShardLoad> HandoverPlanner::Movable(Millis now, const std::vector<ShardLoad> &shards) const
{
	std::vector<ShardLoad> out;
	std::ranges::copy_if(shards, std::back_inserter(out), [&](const ShardLoad &it) {
		const auto known = this->owned.find(it.service);
		return known != this->owned.end() && known->second.epoch == it.epoch &&
			   now - known->second.since >= (known->second.received ? RECEIVED_KEPT_FOR : MOVE_INTERVAL);
	});
	return out;
}

std::vector<std::string> HandoverPlanner::Candidates(Millis now, const std::vector<GroupPeer> &peers) const
{
	std::vector<std::string> out;
	for (const GroupPeer &it : peers) {
		const auto pause = this->unavailable_until.find(it.address);
		if (this->IsStrong(it.cpu) && it.address != this->self.address && !it.address.empty() &&
			(pause == this->unavailable_until.end() || now >= pause->second)) {
			out.push_back(it.address);
		}
	}
	std::ranges::sort(out);
	const auto repeated = std::ranges::unique(out);
	out.erase(repeated.begin(), repeated.end());
	return out;
}

bool HandoverPlanner::IsStrong(int64_t cpu) const
{
	return cpu * STRENGTH_DENOMINATOR >= this->self.cpu * STRENGTH_NUMERATOR;
}

bool HandoverPlanner::HasRoom(const PeerLoad &peer) const
{
	return peer.load.accepts_shard && peer.load.busy_percent <= SUCCESSOR_BUSY_MAX && this->IsStrong(peer.load.cpu);
}

bool HandoverPlanner::CanCarry(const PeerLoad &peer, int64_t load) const
{
	return peer.load.busy_percent + load * this->self.cpu / std::max<int64_t>(peer.load.cpu, 1) <= PERCENT;
}

std::optional<HandoverChoice> HandoverPlanner::Choose(Millis now, int64_t busy_percent,
													  const std::vector<ShardLoad> &shards,
													  const std::vector<PeerLoad> &peers) const
{
	std::vector<PeerLoad> free;
	std::ranges::copy_if(peers, std::back_inserter(free), [this](const PeerLoad &it) { return this->HasRoom(it); });
	std::vector<ShardLoad> movable = this->Movable(now, shards);
	if (free.empty() || movable.empty()) {
		return std::nullopt;
	}
	const auto idle_cpu = [](const PeerLoad &it) { return (PERCENT - it.load.busy_percent) * it.load.cpu; };
	const PeerLoad best = *std::ranges::min_element(free, {}, [&idle_cpu](const PeerLoad &it) {
		return std::tuple(-idle_cpu(it), it.load.shards, it.address);
	});
	std::ranges::sort(movable, {}, [](const ShardLoad &it) { return std::tuple(-it.starts_per_s, it.service); });
	/* The only shard of a saturated node is not compared with the successor's room: the node may be slow, and then its
	 * busy time says little about the load on another node. */
	if (shards.size() == 1) {
		return HandoverChoice{movable.front(), best};
	}
	int64_t starts = 0;
	std::ranges::for_each(shards, [&starts](const ShardLoad &it) { starts += it.starts_per_s; });
	const auto fits = std::ranges::find_if(movable, [&](const ShardLoad &it) {
		return this->CanCarry(best, busy_percent * it.starts_per_s / std::max<int64_t>(starts, 1));
	});
	if (fits != movable.end()) {
		return HandoverChoice{*fits, best};
	}
	/* By the number of shards a move can't be undone by the same rule. */
	return best.load.shards + 1 < shards.size() ? std::optional(HandoverChoice{movable.back(), best}) : std::nullopt;
}

bool HandoverPlanner::Accepts(Millis now, int64_t busy_percent) const
{
	const bool received = (this->accepted && now - this->accepted->at < MOVE_INTERVAL) ||
						  std::ranges::any_of(this->owned | std::views::values,
											  [now](const Ownership &it) { return now - it.since < MOVE_INTERVAL; });
	const bool released = this->released_at && now - *this->released_at < RELEASED_PAUSE;
	return busy_percent <= SUCCESSOR_BUSY_MAX && !received && !released;
}

bool HandoverPlanner::Expects(Millis now, const ServiceName &service, uint64_t epoch) const
{
	return this->accepted && this->accepted->service == service && this->accepted->epoch == epoch &&
		   now - this->accepted->at < HANDOVER_EXPECTATION;
}

std::optional<ServiceName> HandoverPlanner::Expected(Millis now) const
{
	if (!this->accepted || now - this->accepted->at >= HANDOVER_EXPECTATION ||
		this->owned.contains(this->accepted->service)) {
		return std::nullopt;
	}
	return this->accepted->service;
}
