/** @file node_core.h A node: its part in the group, the shards that it owns, and its answers to callers and nodes. */
#ifndef NODE_CORE_H
#define NODE_CORE_H

#include "job_desk.h"

/** Who this node is. */
struct NodeIdentity {
	std::string frames;      ///< IP:port where other nodes ask; also its name in the group.
	uint32_t partitions = 1; ///< Partitions of a topic.
	Millis silence;          ///< A node not heard of for so long loses its shards.
	ShardLimits limits;      ///< Figures of shards.
};

/** The node without its transport to callers. */
class NodeCore : public SiteFeedEvents {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param log The store; outlives this.
	 * @param orders Boxes; outlives this.
	 * @param feed What is published; outlives this.
	 * @param events Lines; outlives this.
	 * @param self Who this node is.
	 */
	NodeCore(Scheduler &scheduler, KeyedLog &log, BoxOrders &orders, SiteFeed &feed, EventLog &events,
			 const NodeIdentity &self);

	/** Begins. @return Whether the frames' address could be listened on. */
	bool Start();
	/** Leaves the group and lets go of all shards. @param done Told when the store was told, or could not be. */
	void Leave(std::function<void()> done);

	/** @return Whether callers should come here: configured, and the store was reached a moment ago. */
	[[nodiscard]] bool Ready() const;

	void OnConfig(const JobConfig &config) override;
	void OnWave(const WaveOrder &wave) override;
	void OnReport(const BoxReport &report) override;
	void OnReportGone(const BoxLife &life) override;

	JobDesk &Desk() { return this->desk; }                           ///< Answers to callers.
	[[nodiscard]] const ShardHost &Host() const { return this->host; } ///< Shards owned.
	[[nodiscard]] const JobDesk &Desk() const { return this->desk; } ///< Answers to callers.

private:
	Scheduler &scheduler;  ///< Clock and timers.
	EventLog &events;      ///< Lines.
	SiteFeed &feed;        ///< What is published.
	NodeIdentity self;     ///< Who this node is.
	GroupMember member;    ///< Its part in the group.
	ShardHost host;        ///< Shards owned.
	OwnerLookup lookup;    ///< Owners elsewhere.
	JobDesk desk;          ///< Answers.
	FrameServer frames;    ///< Other nodes ask here.
	bool leaving = false;  ///< Whether Leave() was called.

	void OnFrame(FrameLink &link, const MessageUnion &message);
};

#endif /* NODE_CORE_H */
