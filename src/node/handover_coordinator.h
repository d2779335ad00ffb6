/** @file handover_coordinator.h Hands shards of this node over to other nodes while it is overloaded, and answers the
 * offers of others. */
#ifndef HANDOVER_COORDINATOR_H
#define HANDOVER_COORDINATOR_H

#include "../event_log.h"
#include "../scheduler_type.h"
#include "handover_planner.h"
#include "load_monitor.h"

#include <memory>
#include <set>

/** Offer of a shard to another node. */
struct HandoverOffer {
	ServiceName service;      ///< The shard's service.
	uint64_t epoch = 0;       ///< Epoch of the ownership that would be released.
	std::string owner;        ///< IP:port on which the owner serves nodes.
	int64_t busy_percent = 0; ///< Load of the owner.
};

/** Transport for questions about load and for offers of shards to other nodes. */
class HandoverPeers {
public:
	virtual ~HandoverPeers() = default;

	/**
	 * Asks a node for its load.
	 * @param address IP:port on which the node serves nodes.
	 * @param done Called with the answer, never from within this call; not called if none arrives before
	 * EndRequests().
	 */
	virtual void AskLoad(const std::string &address, std::function<void(const NodeLoad &)> done) = 0;
	/**
	 * Offers a shard to a node.
	 * @param address IP:port on which the node serves nodes.
	 * @param offer The offer.
	 * @param done Called with whether the node accepts, never from within this call; not called if no answer arrives
	 * before EndRequests().
	 */
	virtual void Offer(const std::string &address, const HandoverOffer &offer, std::function<void(bool)> done) = 0;
	/** Drops the requests without an answer: those that were not sent yet will not be sent. */
	virtual void EndRequests() = 0;
};

/** Counters of handovers. */
struct HandoverCounters {
	uint64_t rounds = 0;    ///< Times at which other nodes were asked for their load.
	uint64_t no_room = 0;   ///< Rounds in which no node had room.
	uint64_t offered = 0;   ///< Offers to other nodes.
	uint64_t declined = 0;  ///< Offers that were declined or not answered.
	uint64_t released = 0;  ///< Shards released to a successor.
	uint64_t accepted = 0;  ///< Offers of other nodes that this node accepted.
	uint64_t refused = 0;   ///< Offers of other nodes that this node declined.
	uint64_t completed = 0; ///< Shards that this node has taken over from an overloaded node.
	uint64_t lapsed = 0;    ///< Accepted shards that didn't arrive in time.
};

/**
 * Measures the load of this node. While it is overloaded, asks other nodes for their load, offers a shard to one of
 * them, and releases the shard once the offer is accepted. A node that isn't overloaded asks nothing. Timeouts of
 * questions are counted in turns of the event loop, in each of which the sockets are read: on an overloaded node,
 * answers may arrive long before they are read.
 */
class HandoverCoordinator {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param source Busy time of the event loop; outlives this object. Null if it isn't measured: then this node
	 * neither hands over nor accepts shards.
	 * @param peers Transport to other nodes; outlives this object.
	 * @param shards Shards of this node; outlives this object.
	 * @param events Event log; outlives this object.
	 * @param self Address and processor time of this node.
	 */
	HandoverCoordinator(Scheduler &scheduler, const LoadSource *source, HandoverPeers &peers, HandoverShards &shards,
						EventLog &events, const GroupPeer &self);

	/** Starts the periodic measurement of the load. */
	void Start();
	/** Ends all activity: nothing is offered or accepted any more. A release in progress goes on. */
	void Stop();
	/** Sets the nodes that may be asked. @param nodes Nodes that hold partitions of the group. */
	void SetPeers(std::vector<GroupPeer> nodes) { this->holders = std::move(nodes); }

	/** @return Load of this node, as other nodes are told. */
	[[nodiscard]] NodeLoad Load() const;
	/** Answers another node's offer, and prepares for the shard if it is accepted. @param offer The offer.
	 * @return Whether this node accepts. */
	bool Answer(const HandoverOffer &offer);

	/** @return Whether this node is overloaded. It should leave a vacant shard to other nodes first. */
	[[nodiscard]] bool Overloaded() const { return this->monitor.Overloaded(); }
	/** @return Time for which the event loop was busy lately, in percent. */
	[[nodiscard]] int64_t BusyPercent() const { return this->monitor.BusyPercent(); }
	/** @return Counters of handovers. */
	[[nodiscard]] const HandoverCounters &Counters() const { return this->counters; }

private:
	/** Phase of the handover in progress. */
	enum class Phase : uint8_t {
		HP_NONE,      ///< There is none.
		HP_ASKING,    ///< Other nodes were asked for their load.
		HP_OFFERING,  ///< A shard was offered.
		HP_RELEASING, ///< The offer was accepted; the shard is being released.
	};

	/** An accepted offer whose shard doesn't run yet. */
	struct AwaitedShard {
		HandoverOffer offer; ///< The offer.
		Millis since;        ///< Time of the acceptance.
	};

	Scheduler &scheduler;                ///< Clock and timers.
	const LoadSource *source;            ///< Busy time of the event loop, or null.
	HandoverPeers &peers;                ///< Transport to other nodes.
	HandoverShards &shards;              ///< Shards of this node.
	EventLog &events;                    ///< Event log.
	GroupPeer self;                      ///< Address and processor time of this node.
	LoadMonitor monitor;                 ///< Load of this node.
	HandoverPlanner planner;             ///< Rules for handovers.
	HandoverCounters counters;           ///< Counters of handovers.
	std::vector<GroupPeer> holders;      ///< Nodes that hold partitions of the group.
	Phase phase = Phase::HP_NONE;        ///< Phase of the handover in progress.
	uint64_t step = 0;                   ///< Number of the current step; callbacks of earlier ones are ignored.
	std::set<std::string> asked;         ///< Nodes that haven't answered the question for their load.
	std::vector<PeerLoad> answers;       ///< Answers to that question.
	size_t offers_left = 0;              ///< Number of offers that may follow in this round.
	Millis next_round_at{-1000000};      ///< Earliest time of the next round.
	std::optional<AwaitedShard> awaited; ///< The last accepted offer until its shard runs.
	bool stopped = false;                ///< Whether Stop() was called.
	/** Lets callbacks detect that this object was destroyed. */
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);

	void ScheduleSample();
	void Sample();
	void CheckAwaited(Millis now, const std::vector<ShardLoad> &loads);
	void StartRound();
	/** @return Addresses to ask, a limited number of them, different ones in each round if there are more. */
	[[nodiscard]] std::vector<std::string> NodesToAsk() const;
	void OnLoad(const std::string &address, const NodeLoad &load);
	/** Ends the wait for loads, and offers a shard to the best successor if there is one. */
	void OnLoadsKnown();
	void OfferNext();
	void OnOfferDeclined(const HandoverChoice &choice, const char *why);
	void Release(const HandoverChoice &choice);
	void OnReleased(const HandoverChoice &choice, bool released);
	/** Enters a phase; callbacks of earlier steps have no effect from now on. @param next The phase. */
	void Enter(Phase next);
	void EndRound();
	/** Calls a function after a number of turns of the event loop, unless the step has ended by then. @param turns The
	 * number. @param done The function. */
	void AfterTurns(int turns, std::function<void()> done);
	/** @return Whether callbacks of a step still count. @param number Number of the step. @param still Watches this
	 * object. */
	[[nodiscard]] static bool IsCurrent(const HandoverCoordinator *object, uint64_t number,
										const std::weak_ptr<bool> &still)
	{
		return !still.expired() && object->step == number;
	}
};

#endif /* HANDOVER_COORDINATOR_H */
