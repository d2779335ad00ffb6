/** @file node_core.h A node: its part in the group, the shards that it owns, and its answers to callers and nodes. */
#ifndef NODE_CORE_H
#define NODE_CORE_H

#include "../upkeep/fleet_owner.h"
#include "config_peers.h"
#include "job_api.h"

#include <list>

/** Who this node is. */
struct NodeIdentity {
	std::string name;        ///< Name of this process.
	std::string frames;      ///< IP:port where other nodes ask; also in its name in the group.
	int64_t cpu = 0;         ///< Thousandths of a core that it may use.
	uint32_t partitions = 1; ///< Partitions of a topic.
	Millis silence;          ///< A node not heard of for so long loses its shards.
	ShardLimits limits;      ///< Figures of shards.
	Millis turn_gap;         ///< Time between the orders to machines of two nodes.
	/** Frames' addresses of some other nodes, which may be gone. */
	std::vector<std::string> seeds;
};

/** What a node speaks to. All outlive it. */
struct NodeLinks {
	KeyedLog &log;                       ///< The store.
	BoxOrders &orders;                   ///< Boxes.
	SiteFeed &feed;                      ///< What is published.
	MachineControl &machines;            ///< Machines.
	WaveReporter &reports;               ///< For operators.
	EventLog &events;                    ///< Lines.
	PlacementAdvisor *advisor = nullptr; ///< Policies of routes; null when there are none.
};

/** The node without its transport to callers. */
class NodeCore : public SiteFeedEvents, public PoolOwnerClient {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param links What it speaks to.
	 * @param self Who this node is.
	 */
	NodeCore(Scheduler &scheduler, const NodeLinks &links, const NodeIdentity &self);

	/** Begins. @return Whether the frames' address could be listened on. */
	bool Start();
	/** Leaves the group and lets go of all shards. @param done Told when the store was told, or could not be. */
	void Leave(std::function<void()> done);

	/** @return Whether callers should come here: configured, and the store was reached a moment ago. */
	[[nodiscard]] bool Ready() const;

	void OnConfig(const JobConfig &config) override;
	void OnWave(const WaveOrder &wave) override;
	void OnReport(const BoxReport &report) override;
	void OnReportRemoved(const BoxId &id) override;
	void Ask(const ServiceName &service, const PoolRequest &request,
			 std::function<void(std::optional<PoolStatus>)> done) override;

	/** Makes sure that this node has the newest configuration. @param done Gets whether it is known to; perhaps never.
	 */
	void ConfirmConfig(const std::function<void(bool)> &done) { this->configs.Confirm(done); }

	/** @return The exchange of configurations with other nodes. */
	[[nodiscard]] const ConfigExchange &Configs() const { return this->configs; }
	JobApi &Desk() { return this->desk; }                              ///< Answers to callers.
	[[nodiscard]] const ShardHost &Host() const { return this->host; } ///< Shards owned.
	[[nodiscard]] const JobApi &Desk() const { return this->desk; }    ///< Answers to callers.

private:
	Scheduler &scheduler;                             ///< Clock and timers.
	NodeLinks links;                                  ///< What it speaks to.
	NodeIdentity self;                                ///< Who this node is.
	GroupMember member;                               ///< Its part in the group.
	ShardHost host;                                   ///< Shards owned.
	OwnerLookup lookup;                               ///< Owners elsewhere.
	JobApi desk;                                      ///< Answers.
	FramePeers peers;                                 ///< Other nodes, for the configuration.
	ConfigExchange configs;                           ///< What they tell of it.
	Millis peers_read_at{-1000000};                   ///< When the group's members were last read.
	FrameServer frames;                               ///< Other nodes ask here.
	std::set<FrameLink *> recording;                  ///< Connections that wait for an answer.
	bool leaving = false;                             ///< Whether Leave() was called.
	std::map<uint64_t, WaveOrder> waves;              ///< Waves heard of.
	std::unique_ptr<FleetOwner> fleet;                ///< While this node gives orders to machines, or waits to.
	Millis fleet_looked_at{-1000000};                 ///< When the fleet's holder was last looked at.
	std::list<std::unique_ptr<FleetOwner>> releasing; ///< Those whose letting go is being recorded.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	[[nodiscard]] bool FleetDealt() const;
	[[nodiscard]] bool FleetWatched() const;
	void OnMembership();
	void BeginFleet();
	void ReleaseFleet();
	void OnFrame(FrameLink &link, const MessageUnion &message);
	void OnJobQuestion(FrameLink &link, const glade::wire::JobQuestionT &in);
	void OnPoolQuestion(FrameLink &link, const glade::wire::PoolQuestionT &in);
	void OnRecordQuestion(FrameLink &link, const glade::wire::RecordQuestionT &in);
	void OnConfigQuestion(FrameLink &link, const glade::wire::ConfigQuestionT &in);
	void ReadPeers();
	std::optional<PoolStatus> PoolHere(const ServiceName &service, const PoolRequest &request);
};

#endif /* NODE_CORE_H */
