/** @file shard_host.h The shards that this node owns, according to its membership in the group of nodes. */
#ifndef SHARD_HOST_H
#define SHARD_HOST_H

#include "../jobs/shard_owner.h"
#include "../jobs/site_feed.h"
#include "../store/group_member.h"
#include "handover_type.h"

#include <deque>

/** Names of the group of nodes and of the topic whose partitions represent shards. */
inline constexpr const char *NODE_GROUP = "nodes";
inline constexpr const char *NODE_TOPIC = "shards";

/**
 * Maps a service to the partition that represents its shard. Services are spread evenly over the partitions, because
 * the group assigns adjacent partitions to the same member.
 * @param config The configuration.
 * @param service The service.
 * @param partitions Number of partitions of the topic.
 * @return Number of the partition, or nothing if the service is not configured or runs no jobs.
 */
std::optional<uint32_t> PartitionOf(const JobConfig &config, const ServiceName &service, uint32_t partitions);

/**
 * Selects the partition whose holder monitors the owner of a shard. That partition represents no shard itself as long
 * as services are spread over the partitions.
 * @param part Partition that represents the shard.
 * @param partitions Number of partitions of the topic.
 * @return Number of the partition.
 */
uint32_t MonitorPartitionOf(uint32_t part, uint32_t partitions);

/** Claims the shards that the group assigns to this node once their previous owners are gone, and owns them while this
 * node is a member of the group. */
class ShardHost : public HandoverShards {
public:
	/**
	 * @param context Dependencies of shard owners.
	 * @param member This node's membership in the group; outlives this object.
	 * @param feed Source of box reports; outlives this object.
	 * @param partitions Number of partitions of the topic.
	 */
	ShardHost(ShardOwnerContext context, GroupMember &member, SiteFeed &feed, uint32_t partitions);

	/**
	 * Applies a configuration.
	 * @param config The configuration.
	 */
	void Configure(const JobConfig &config);
	/**
	 * Applies a change of the evacuated zones.
	 * @param evacuated The evacuated zones.
	 */
	void SetEvacuatedZones(const EvacuatedZones &evacuated);
	/** Starts and releases shard owners according to the current membership; called after each answer of the group. */
	void OnMembership();
	/**
	 * Processes a box's report.
	 * @param report The report.
	 */
	void OnReport(const BoxReport &report);
	/**
	 * Processes the removal of a box's report.
	 * @param id Id of the box's agent.
	 */
	void OnReportRemoved(const BoxId &id);
	[[nodiscard]] std::vector<ShardLoad> Loads() const override;
	void HandOver(const ServiceName &service, const std::string &successor, std::function<void(bool)> done) override;
	bool Expect(const ServiceName &service) override;
	/** @return Number of shards that this node has claimed or expects to be released to it. */
	[[nodiscard]] size_t ClaimedOrExpected() const;
	/** Releases all shards and claims none afterwards; called when the node stops. */
	void Clear();

	/**
	 * @param service The service.
	 * @return Owner of the service's shard on this node, or null.
	 */
	[[nodiscard]] const ShardOwner *Find(const ServiceName &service) const;
	/**
	 * @param service The service.
	 * @return Owner of the service's shard on this node, or null.
	 */
	ShardOwner *Find(const ServiceName &service);
	/** @return All shard owners of this node, by service. */
	[[nodiscard]] const std::map<ServiceName, std::unique_ptr<ShardOwner>> &Owners() const { return this->owners; }

	/** Returns whether this node is overloaded: it then leaves vacant shards to other nodes at first. */
	std::function<bool()> overloaded = [] { return false; };

private:
	ShardOwnerContext context;          ///< Dependencies of shard owners.
	GroupMember &member;                ///< This node's membership in the group.
	SiteFeed &feed;                     ///< Source of box reports.
	uint32_t partitions;                ///< Number of partitions of the topic.
	JobConfig config;                   ///< The configuration in force.
	EvacuatedZones evacuated;           ///< The evacuated zones.
	std::map<BoxId, BoxReport> reports; ///< Current box reports, by agent id.
	/** Last reports of incarnations of agents that have no report any more, oldest first. */
	std::deque<BoxReport> last_reports;
	/** Shards that are owned, being claimed or waited for, by service. */
	std::map<ServiceName, std::unique_ptr<ShardOwner>> owners;
	Millis owners_checked_at{-1000000};                 ///< Time of the last check of all owners; initially long ago.
	std::vector<std::unique_ptr<ShardOwner>> releasing; ///< Former shard owners whose release is being recorded.
	std::map<ServiceName, Millis> expected_until;       ///< Ends of the expectations of shards; see Expect().
	std::map<ServiceName, Millis> handed_over_at;       ///< When this node last handed each shard over.
	bool stopped = false;                               ///< Whether Clear() was called.

	void KeepLastReport(const BoxReport &report);
	/** @return Whether the group has assigned the service's shard to this node. @param service The service. */
	[[nodiscard]] bool Assigned(const ServiceName &service) const;
	/** @return Whether this node has to take the shard over if its owner fails. @param service The service. */
	[[nodiscard]] bool Monitored(const ServiceName &service) const;
	/** @return Number of shards that this node has claimed, including those that are still being loaded. */
	[[nodiscard]] size_t Claimed() const;
	/** @return Number of shards that this node may own before it hands over those assigned to others. */
	[[nodiscard]] size_t KeptShardsMax() const;
	/** @return Whether this node expects the service's shard to be released to it. @param service The service. */
	[[nodiscard]] bool Expected(const ServiceName &service) const;
	/** @return Whether the release of the service's shard is being recorded. @param service The service. */
	[[nodiscard]] bool Releasing(const ServiceName &service) const;
	/** @return Whether the shard was released to this node lately. @param owner The shard's owner. */
	[[nodiscard]] bool ReceivedRecently(const ShardOwner &owner) const;
	/** @return For how long this node leaves the service's shard to others if it is vacant. @param service The service.
	 */
	[[nodiscard]] Millis VacancyWait(const ServiceName &service) const;
	void StartOwner(const ServiceName &service);
	void Release(const ServiceName &service, const std::string &successor = {},
				 std::function<void(bool)> done = nullptr);
};

#endif /* SHARD_HOST_H */
