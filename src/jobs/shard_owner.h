/** @file shard_owner.h Claims a shard in the log, loads it, runs it, and lets go of it. */
#ifndef SHARD_OWNER_H
#define SHARD_OWNER_H

#include "../store/keyed_follower.h"
#include "../store/partition_claim.h"
#include "shard_base.h"

/** Partition of a service's topic in which the owner records progress. */
inline constexpr uint32_t PROGRESS_PARTITION = 0;
/** Partition of a service's topic in which any node records submissions and cancellations. */
inline constexpr uint32_t INBOX_PARTITION = 1;

/** Before the key of an inbox's record in the key under which the owner records it, among the progress. */
inline constexpr char ACCEPTED_PREFIX = 'j';
/** Before the id of a job in the key under which the owner records its progress in the inbox, while the partition of
 * progress doesn't answer. Behind all digits of ids. */
inline constexpr char PROGRESS_PREFIX = 'p';

/** @return Topic of a service. @param service The service. */
std::string TopicOf(const ServiceName &service);

/** What an owner needs of its node. */
struct ShardOwnerContext {
	Scheduler &scheduler;                ///< Clock and timers.
	KeyedLog &log;                       ///< The log.
	BoxOrders &orders;                   ///< Boxes.
	EventLog &events;                    ///< Lines.
	std::string address;                 ///< Where this node answers others.
	ShardLimits limits;                  ///< Figures.
	PlacementAdvisor *advisor = nullptr; ///< Knows the policies of routes; null when there is none.
	std::string group;                   ///< Group of the nodes that may be owners.
};

/** Ownership of one shard, from the wish to own it on. Destroying it lets go. */
class ShardOwner {
public:
	/**
	 * @param context What it needs; outlives this.
	 * @param service The service.
	 * @param wanted Whether this node is the one to claim the shard when its owner is gone.
	 * @param watches Whether it watches the shard's owner beside that one.
	 */
	ShardOwner(const ShardOwnerContext &context, ServiceName service, std::function<bool()> wanted,
			   std::function<bool()> watches);
	~ShardOwner();
	ShardOwner(const ShardOwner &) = delete;
	ShardOwner &operator=(const ShardOwner &) = delete;

	/** Begins to claim. */
	void Start();
	/** Lets go because another node is to own the shard: no lease is prolonged from now on, and the log tells so. The
	 * object may be destroyed once `done` was called. @param done Called when the log has it, or another owner came. */
	void Release(const std::function<void()> &done);
	/** Takes a configuration. @param config It. */
	void Configure(const JobConfig &config);
	/** Takes a caller's record, as it would lie in the inbox. @param record It. @param done Gets RC_OK once it is
	 * durable, RC_PEER_UNAVAILABLE or RC_LOG_UNAVAILABLE when it never will be. */
	void Accept(const KeyedRecord &record, std::function<void(ResultCode)> done);
	/** Takes a box's report. @param report It. */
	void OnReport(const BoxReport &report);
	/** The report under an id is gone. @param id The id. */
	void OnReportRemoved(const BoxId &id);
	/** Tells where a life answered whose report has gone, before this owner has claimed. @param report Its last report.
	 */
	void NoteRemovedReport(const BoxReport &report) { this->removed_reports.push_back(report); }
	/** @return Whether this node owns the shard in the log. */
	[[nodiscard]] bool Claimed() const { return this->journal != nullptr; }
	/** @return Whether another node owns the shard. */
	[[nodiscard]] bool Waiting() const { return !this->journal && this->claim && this->claim->Waiting(); }
	/** @return The shard, once it has been loaded; null before. */
	[[nodiscard]] const Shard *Running() const { return this->running ? this->shard.get() : nullptr; }
	/** @return The same, to be asked to do something. */
	[[nodiscard]] Shard *Running() { return this->running ? this->shard.get() : nullptr; }
	/** @return Whether everything submitted until shortly ago is known: a job that isn't known doesn't exist. */
	[[nodiscard]] bool Fresh() const;

	std::function<void()> on_running; ///< Told when the shard runs.
	std::function<void()> on_lost;    ///< A later owner has claimed the shard: this object may be destroyed from here.

private:
	ShardOwnerContext context;                                  ///< What it needs.
	ServiceName service;                                        ///< The service.
	std::function<bool()> wanted;                               ///< Whether this node is to claim.
	std::function<bool()> watches;                              ///< Whether this node watches the owner.
	PartitionId progress;                                       ///< Where progress lies.
	uint64_t epoch = 0;                                         ///< Of the claim.
	std::unique_ptr<PartitionClaim> claim;                      ///< The claim.
	JobConfig config;                                           ///< The configuration in force.
	std::map<BoxId, BoxReport> reports;                         ///< Reports of the service's boxes.
	std::vector<BoxReport> removed_reports;                     ///< Last reports of lives whose report has gone.
	std::unique_ptr<PairedJournal> journal;                     ///< Records, once claimed.
	std::unique_ptr<Shard> shard;                               ///< Once claimed.
	std::unique_ptr<KeyedFollower> inbox;                       ///< Once claimed.
	std::vector<KeyedRecord> loading;                           ///< Submissions and cancellations read until then.
	bool running = false;                                       ///< Whether the inbox is loaded.
	TimerId confirm_timer;                                      ///< Next KeepConfirmed().
	Millis confirm_due;                                         ///< When that is due.
	Millis max_lateness;                                        ///< How late it came at most since the last line.
	Millis load_logged_at;                                      ///< When LogLoad() wrote its last line.
	ShardCounters logged_counters;                              ///< The shard's counters at that time.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void Run(const ClaimedPartition &claimed);
	void OnInbox(const KeyedRecord &record);
	void OnLoaded();
	void ApplyInboxRecord(const KeyedRecord &record);
	void RestoreProgress(const std::string &key, const JobId &id, const std::string &bytes);
	void LoseOwnership();
	void KeepConfirmed();
	void LogLoad();
};

#endif /* SHARD_OWNER_H */
