/** @file handover_planner.h Decides which shard an overloaded node hands over, and to which node. */
#ifndef HANDOVER_PLANNER_H
#define HANDOVER_PLANNER_H

#include "../store/group_member.h"
#include "handover_type.h"

#include <map>
#include <optional>

/** Load of another node, as it answered. */
struct PeerLoad {
	std::string address; ///< IP:port on which it serves nodes.
	NodeLoad load;       ///< Its load.
};

/** A shard to hand over, and its successor. */
struct HandoverChoice {
	ShardLoad shard;    ///< The shard.
	PeerLoad successor; ///< Node that shall own it.
};

/** The rules for handovers, without I/O. Both sides are here: which shard a node offers to whom, and which offers it
 * accepts. */
class HandoverPlanner {
public:
	/** @param self Address and processor time of this node. */
	explicit HandoverPlanner(GroupPeer self) : self(std::move(self)) {}

	/**
	 * Notes the shards that run on this node.
	 * @param now Current time.
	 * @param shards The shards.
	 */
	void NoteShards(Millis now, const std::vector<ShardLoad> &shards);
	/** Notes that this node has released a shard. @param now Current time. @param service The shard's service. */
	void NoteReleased(Millis now, const ServiceName &service);
	/** Notes that a node has not answered or has declined. @param now Current time. @param address Its address. */
	void NoteUnavailable(Millis now, const std::string &address);
	/** Notes that a node answers. @param address Its address. */
	void NoteAnswer(const std::string &address) { this->unavailable_until.erase(address); }
	/** Notes an offer that this node has accepted. @param now Current time. @param service The shard's service.
	 * @param epoch Epoch of the ownership that is released. */
	void NoteAccepted(Millis now, const ServiceName &service, uint64_t epoch);

	/**
	 * @param now Current time.
	 * @param shards Shards of this node.
	 * @return Those that may be handed over now.
	 */
	[[nodiscard]] std::vector<ShardLoad> Movable(Millis now, const std::vector<ShardLoad> &shards) const;
	/**
	 * Selects the nodes to ask for their load.
	 * @param now Current time.
	 * @param peers Nodes that hold partitions of the group.
	 * @return Addresses of the nodes that are strong enough.
	 */
	[[nodiscard]] std::vector<std::string> Candidates(Millis now, const std::vector<GroupPeer> &peers) const;
	/**
	 * Selects a shard and its successor.
	 * @param now Current time.
	 * @param busy_percent Load of this node.
	 * @param shards Shards of this node.
	 * @param peers Answers of candidates.
	 * @return The shard and its successor; nothing if no candidate has room.
	 */
	[[nodiscard]] std::optional<HandoverChoice> Choose(Millis now, int64_t busy_percent,
													   const std::vector<ShardLoad> &shards,
													   const std::vector<PeerLoad> &peers) const;

	/**
	 * @param now Current time.
	 * @param busy_percent Load of this node.
	 * @return Whether this node would accept a further shard.
	 */
	[[nodiscard]] bool Accepts(Millis now, int64_t busy_percent) const;
	/**
	 * @param service A service.
	 * @param epoch Epoch of the ownership that is released.
	 * @param now Current time.
	 * @return Whether this node has accepted the offer of this shard and still expects it.
	 */
	[[nodiscard]] bool Expects(Millis now, const ServiceName &service, uint64_t epoch) const;
	/** @return The shard that this node has accepted and that doesn't run yet, if it still expects one. @param now
	 * Current time. */
	[[nodiscard]] std::optional<ServiceName> Expected(Millis now) const;

private:
	/** An ownership of this node. */
	struct Ownership {
		uint64_t epoch = 0;    ///< Its epoch.
		Millis since;          ///< Time at which it was first seen.
		bool received = false; ///< Whether another node handed the shard over.
	};
	/** An offer that this node has accepted. */
	struct AcceptedOffer {
		ServiceName service; ///< The shard's service.
		uint64_t epoch = 0;  ///< Epoch of the ownership that is released.
		Millis at;           ///< Time of the acceptance.
	};

	GroupPeer self;                                  ///< Address and processor time of this node.
	std::map<ServiceName, Ownership> owned;          ///< Shards of this node.
	std::map<std::string, Millis> unavailable_until; ///< Times until which nodes are not asked, by address.
	std::optional<AcceptedOffer> accepted;           ///< The last offer that this node has accepted.
	std::optional<Millis> released_at;               ///< Time at which this node last released a shard.

	/** @return Whether a node has enough processor time for a shard of this one. @param cpu Its processor time. */
	[[nodiscard]] bool IsStrong(int64_t cpu) const;
	/** @return Whether a node may take a shard over, whichever it is. @param peer The node. */
	[[nodiscard]] bool HasRoom(const PeerLoad &peer) const;
	/** @return Whether taking over a shard keeps a node below saturation. @param peer The node. @param load Load of the
	 * shard on this node, in percent. */
	[[nodiscard]] bool CanCarry(const PeerLoad &peer, int64_t load) const;
};

#endif /* HANDOVER_PLANNER_H */
