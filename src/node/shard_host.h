/** @file shard_host.h The shards that this node owns, by its part in the group of nodes. */
#ifndef SHARD_HOST_H
#define SHARD_HOST_H

#include "../jobs/shard_owner.h"
#include "../jobs/site_feed.h"
#include "../store/group_member.h"

#include <deque>

/** Names of the group of nodes, and of the topic whose partitions stand for shards. */
inline constexpr const char *NODE_GROUP = "nodes";
inline constexpr const char *NODE_TOPIC = "shards";

/**
 * Number of the partition that stands for a service's shard.
 * @param config The configuration: services are spread evenly, since the group deals neighbours to one member.
 * @param service The service.
 * @param partitions Partitions of a topic.
 * @return The partition, or nothing when the service is not configured or runs no jobs.
 */
std::optional<uint32_t> PartitionOf(const JobConfig &config, const ServiceName &service, uint32_t partitions);

/**
 * Number of the partition whose member watches the owner of a shard. It stands for no shard itself: services are spread
 * over the partitions.
 * @param part The partition that stands for the shard.
 * @param partitions Partitions of a topic.
 */
uint32_t WatcherOf(uint32_t part, uint32_t partitions);

/** Claims shards that the group deals to this node once their owners are gone, and owns them while it is in the group.
 */
class ShardHost {
public:
	/**
	 * @param parts What owners need.
	 * @param member This node's part in the group; outlives this.
	 * @param feed For boxes' reports; outlives this.
	 * @param partitions Partitions of a topic.
	 */
	ShardHost(ShardOwnerContext parts, GroupMember &member, SiteFeed &feed, uint32_t partitions);

	/** Takes a configuration. @param config It. */
	void Configure(const JobConfig &config);
	/** The group has answered: begins and ends ownerships. */
	void OnMembership();
	/** Takes a box's report. @param report It. */
	void OnReport(const BoxReport &report);
	/** The report under an id is gone. @param id The id. */
	void OnReportRemoved(const BoxId &id);
	/** Lets go of everything, for good: the node stops. */
	void Clear();

	/** @return The owner of a service here, or null. @param service The service. */
	[[nodiscard]] const ShardOwner *Find(const ServiceName &service) const;
	/** @return The same, to be asked to do something. @param service The service. */
	ShardOwner *Find(const ServiceName &service);
	/** @return All owners here. */
	[[nodiscard]] const std::map<ServiceName, std::unique_ptr<ShardOwner>> &Owners() const { return this->owners; }

private:
	ShardOwnerContext parts;                                   ///< What owners need.
	GroupMember &member;                                       ///< This node's part in the group.
	SiteFeed &feed;                                            ///< For boxes' reports.
	uint32_t partitions;                                       ///< Partitions of a topic.
	JobConfig config;                                          ///< The configuration in force.
	std::map<BoxId, BoxReport> reports;                        ///< Boxes' reports.
	std::deque<BoxReport> gone;                                ///< Last reports of lives whose report has gone.
	std::map<ServiceName, std::unique_ptr<ShardOwner>> owners; ///< Shards owned, being claimed, or waited for.
	Millis looked_at{-1000000};                                ///< When the owners of all services were last looked at.
	std::vector<std::unique_ptr<ShardOwner>> releasing;        ///< Shards being let go.
	bool stopped = false;                                      ///< Whether nothing is claimed any more.

	void KeepGone(const BoxReport &report);
	[[nodiscard]] bool Dealt(const ServiceName &service) const;
	[[nodiscard]] bool Watched(const ServiceName &service) const;
	[[nodiscard]] size_t Claimed() const;
	[[nodiscard]] size_t KeepMost() const;
	void Begin(const ServiceName &service);
	void Release(const ServiceName &service);
};

#endif /* SHARD_HOST_H */
