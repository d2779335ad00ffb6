/** @file node_core.h A node: its group membership, its shards, and its answers to callers and other nodes. */
#ifndef NODE_CORE_H
#define NODE_CORE_H

#include "../upkeep/fleet_owner.h"
#include "config_peers.h"
#include "handover_peers.h"
#include "job_api.h"
#include "shard_peers.h"

#include <list>

/** Identity and parameters of this node. */
struct NodeSpec {
	std::string name; ///< Name of this process.
	/** IP:port of the frame server for other nodes; also part of the member name in the group. */
	std::string frame_address;
	int64_t cpu = 0;                ///< CPU limit of this node, in thousandths of a core.
	uint32_t partitions = 1;        ///< Number of partitions of a topic.
	Millis group_timeout;           ///< Time without contact after which a node loses its shards.
	ShardLimits limits;             ///< Limits of shards.
	FrameServerLimits frame_limits; ///< Limits of connections from other nodes.
	Millis turn_gap;                ///< Minimum time between the orders to machines of two successive fleet owners.
	double spread_share = 0;        ///< See PoolLimits::spread_share.
	/** IP:port of the frame servers of some other nodes; some of them may no longer exist. */
	std::vector<std::string> seeds;
};

/** External interfaces of a node. All of them outlive the node. */
struct NodeInterfaces {
	KeyedLog &log;                       ///< The store.
	BoxOrders &orders;                   ///< Orders to boxes.
	SiteFeed &feed;                      ///< Configuration, maintenance waves and box reports.
	MachineControl &machines;            ///< Control of machines.
	WaveReporter &wave_reporter;         ///< Progress of waves, for operators.
	EventLog &events;                    ///< Event log.
	PlacementAdvisor *advisor = nullptr; ///< Placement policies of routes; null if there are none.
	const LoadSource *load = nullptr;    ///< Busy time of the event loop; null if it isn't measured.
	JobMemory *memory = nullptr;         ///< Decides whether there is memory for a job; null to admit all.
};

/** A node without its HTTP transport to callers. */
class NodeCore : public SiteFeedEvents, public PoolOwnerClient {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param interfaces External interfaces.
	 * @param self Identity and parameters of this node.
	 */
	NodeCore(Scheduler &scheduler, const NodeInterfaces &interfaces, const NodeSpec &self);

	/**
	 * Starts the node.
	 * @return Whether the frame server could listen on its address.
	 */
	bool Start();
	/**
	 * Leaves the group and releases all shards.
	 * @param done Called when the store has answered the leave request, or has failed to.
	 */
	void Leave(std::function<void()> done);

	/** @return Whether this node should receive new callers: it has a configuration, recent contact with the store, and
	 * is not leaving. */
	[[nodiscard]] bool Ready() const;

	void OnConfig(const JobConfig &config) override;
	void OnWave(const WaveOrder &wave) override;
	void OnEvacuatedZones(const EvacuatedZones &evacuated) override;
	void OnReport(const BoxReport &report) override;
	void OnReportRemoved(const BoxId &id) override;
	void Ask(const ServiceName &service, const PoolRequest &request,
			 std::function<void(std::optional<PoolStatus>)> done) override;

	/**
	 * Confirms that this node has the newest configuration.
	 * @param done Called with true, possibly several times, once the store or a peer confirms it; never called if
	 * neither answers.
	 */
	void ConfirmConfig(const std::function<void(bool)> &done) { this->config_exchange.Confirm(done); }

	/** Asks the store and all known nodes for a newer configuration. @param done See ConfigExchange::Refresh(). */
	void RefreshConfig(const std::function<void(bool)> &done) { this->config_exchange.Refresh(done); }

	/** @return Counts of drains for moves, since this node began to own the fleet; zero while it doesn't. */
	[[nodiscard]] DrainCounters Drains() const { return this->fleet ? this->fleet->Drains() : DrainCounters{}; }
	/** @return The evacuated zones that this node knows of. */
	[[nodiscard]] const EvacuatedZones &Evacuated() const { return this->interfaces.feed.Evacuated(); }
	/** @return Exchange of configurations with other nodes. */
	[[nodiscard]] const ConfigExchange &Configs() const { return this->config_exchange; }
	JobApi &Api() { return this->api; }                                         ///< Operations on jobs for callers.
	[[nodiscard]] const ShardHost &OwnedShards() const { return this->shards; } ///< Shards owned by this node.
	[[nodiscard]] const JobApi &Api() const { return this->api; }               ///< Operations on jobs for callers.
	/** @return Handovers of shards from and to this node. */
	[[nodiscard]] const HandoverCoordinator &Handovers() const { return this->handover; }

private:
	Scheduler &scheduler;                             ///< Clock and timers.
	NodeInterfaces interfaces;                        ///< External interfaces.
	NodeSpec self;                                    ///< Identity and parameters of this node.
	GroupMember member;                               ///< Membership in the group of nodes.
	ShardHost shards;                                 ///< Shards owned by this node.
	OwnerLookup lookup;                               ///< Requests to owners on other nodes.
	JobApi api;                                       ///< Operations on jobs for callers.
	NodeShardPeers shard_peers;                       ///< Questions of this node's shards to others.
	FrameConfigPeers config_peers;                    ///< Transport for configuration requests to other nodes.
	ConfigExchange config_exchange;                   ///< Exchange of configurations with other nodes.
	FrameHandoverPeers handover_peers;                ///< Transport for handovers to other nodes.
	HandoverCoordinator handover;                     ///< Handovers of shards from and to this node.
	Millis peers_read_at{-1000000};                   ///< Time of the last read of the members; initially long ago.
	FrameServer frame_server;                         ///< Server for requests of other nodes.
	std::set<FrameLinkId> known_links;                ///< Open connections whose node is known as a peer.
	bool leaving = false;                             ///< Whether Leave() was called.
	std::map<uint64_t, WaveOrder> waves;              ///< Maintenance waves, by number.
	std::unique_ptr<FleetOwner> fleet;                ///< Set while this node owns the fleet or waits to claim it.
	Millis fleet_checked_at{-1000000};                ///< Time of the last check of its owner; initially long ago.
	std::list<std::unique_ptr<FleetOwner>> releasing; ///< Former fleet owners whose release is being recorded.
	/** Lets callbacks detect that this object was destroyed. */
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);

	/** @return Whether the group has assigned the fleet to this node. */
	[[nodiscard]] bool FleetAssigned() const;
	/** @return Whether this node has to take the fleet over if its owner fails. */
	[[nodiscard]] bool FleetMonitored() const;
	/** Adapts shards and fleet to the membership; called after each answer of the group. */
	void OnMembership();
	void StartFleetOwner();
	void ReleaseFleet();
	void OnFrame(FrameLink &link, const MessageUnion &message);
	/** Makes the node at the other end of a new connection known as a peer. */
	void LearnPeerOf(const FrameLink &link);
	void OnJobQuestion(FrameLink &link, const glade::wire::JobQuestionT &in);
	void OnPoolQuestion(FrameLink &link, const glade::wire::PoolQuestionT &in);
	void OnRecordQuestion(FrameLink &link, const glade::wire::RecordQuestionT &in);
	void OnRouteQuestion(FrameLink &link, const glade::wire::RouteQuestionT &in);
	void OnConfigQuestion(FrameLink &link, const glade::wire::ConfigQuestionT &in);
	void OnLoadQuestion(FrameLink &link, const glade::wire::LoadQuestionT &in);
	void OnHandoverQuestion(FrameLink &link, const glade::wire::HandoverQuestionT &in);
	/** Reads the members of the group, at an interval, as peers for the exchange of configurations and for handovers.
	 */
	void ReadPeers();
	/** Makes the holders of partitions known as peers. */
	void AddPeers(const std::vector<PartitionHolder> &rows);
	/** Applies a request of the fleet's owner to a shard of this node.
	 * @return Status of the pool; nothing if this node doesn't own the shard or has not confirmed it yet. */
	std::optional<PoolStatus> LocalPoolStatus(const ServiceName &service, const PoolRequest &request);
};

#endif /* NODE_CORE_H */
