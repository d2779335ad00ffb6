/** @file shard_owner.h Claims a shard in the log, loads it, runs it and releases it. */
#ifndef SHARD_OWNER_H
#define SHARD_OWNER_H

#include "../store/keyed_follower.h"
#include "../store/partition_claim.h"
#include "job_memory.h"
#include "route_shards.h"
#include "shard_base.h"

/** Partition of a service's topic to which the owner appends progress. */
inline constexpr uint32_t PROGRESS_PARTITION = 0;
/** Partition of a service's topic to which any node appends submissions and cancellations. */
inline constexpr uint32_t INBOX_PARTITION = 1;

/** Prefix of the key of a submission or cancellation that the owner appends to the progress partition. */
inline constexpr char ACCEPTED_PREFIX = 'j';
/** Prefix of the key of progress that the owner appends to the inbox while the progress partition doesn't answer. Sorts
 * after all digits of ids. */
inline constexpr char PROGRESS_PREFIX = 'p';

/** @return Name of the log topic of a service. @param service Name of the service. */
std::string TopicOf(const ServiceName &service);

/** Services of the node that an owner uses. */
struct ShardOwnerContext {
	Scheduler &scheduler;                ///< Clock and timers.
	KeyedLog &log;                       ///< Client of the log.
	BoxOrders &orders;                   ///< Sends orders to boxes.
	EventLog &events;                    ///< Event log.
	std::string address;                 ///< Address at which other nodes reach this one.
	ShardLimits limits;                  ///< Time limits.
	PlacementAdvisor *advisor = nullptr; ///< Client of the placement policy; null when there is none.
	std::string group;                   ///< Group of the nodes that may be owners.
	/** Reads the reports of boxes up to now and calls back once they were passed in; null when there is no feed. */
	std::function<void(std::function<void()>)> read_reports = nullptr;
	ShardPeers *peers = nullptr; ///< Reaches the shards of other services; null when there are none.
	JobMemory *memory = nullptr; ///< Decides whether there is memory for a job; null to admit all.
};

/** Ownership of one shard: waits for the claim, then loads and runs the shard. Destroying it stops the shard. */
class ShardOwner {
public:
	/**
	 * @param context Services of the node; must outlive this object.
	 * @param service Name of the service.
	 * @param should_claim Returns whether this node should claim the shard when it has no live owner.
	 * @param should_watch Returns whether this node monitors the shard's owner in addition to that node.
	 */
	ShardOwner(const ShardOwnerContext &context, ServiceName service, std::function<bool()> should_claim,
			   std::function<bool()> should_watch);
	~ShardOwner();
	ShardOwner(const ShardOwner &) = delete;
	ShardOwner &operator=(const ShardOwner &) = delete;

	/** Starts to claim the shard. */
	void Start();
	/** Releases the shard because another node is to own it: no lease is renewed and nothing is placed from now on, and
	 * the release is recorded in the log. Callers whose records are in no append are answered at once, the others when
	 * the outcome of the append is known. The object may be destroyed once `done` was called.
	 * @param done Called with true when the release is durable, with false when another owner has claimed the shard,
	 * also if it did so after a release whose answer was lost.
	 * @param successor IP:port on which the node that is to own the shard serves nodes; empty when any node may. */
	void Release(std::function<void(bool)> done, const std::string &successor = {});
	/** Checks at once whether the shard can be claimed, if this node waits for that. */
	void CheckNow();
	/** Applies a configuration. @param config The configuration. */
	void Configure(const JobConfig &config);
	/** Applies a change of the evacuated zones. @param evacuated The evacuated zones. */
	void SetEvacuatedZones(const EvacuatedZones &evacuated);
	/** Accepts a record of a caller. @param record The record in the format of the inbox. @param done Called as
	 * IncomingRecord::done is, with RC_PEER_UNAVAILABLE when the shard isn't running here, or with RC_JOB_MEMORY_FULL.
	 */
	void Accept(const KeyedRecord &record, std::function<void(ResultCode)> done);
	/** Handles a report of a box. @param report The report. */
	void OnReport(const BoxReport &report);
	/** Handles the removal of a report. @param id Id of the box's agent. */
	void OnReportRemoved(const BoxId &id);
	/** Keeps the last report of an incarnation whose report was removed before this owner has claimed the shard: orders
	 * to it need its address. @param report The report. */
	void NoteRemovedReport(const BoxReport &report) { this->removed_reports.push_back(report); }
	/** @return Name of the service. */
	[[nodiscard]] const ServiceName &Service() const { return this->service; }
	/** @return Epoch of the claim; 0 before it. */
	[[nodiscard]] uint64_t Epoch() const { return this->epoch; }
	/** @return When this node has claimed the shard, if the previous owner had released it to this node. */
	[[nodiscard]] std::optional<Millis> ReceivedAt() const { return this->received_at; }
	/** @return Tasks started per second, over the last full second. */
	[[nodiscard]] int64_t StartsPerSecond() const { return this->starts_per_s; }
	/** @return Whether the main partition has answered an append lately. A release is seen by others only there. */
	[[nodiscard]] bool MainAnswers() const;
	/** @return Whether this node owns the shard according to the log. */
	[[nodiscard]] bool Claimed() const { return this->journal != nullptr; }
	/** @return Whether another node owns the shard. */
	[[nodiscard]] bool Waiting() const { return !this->journal && this->claim && this->claim->Waiting(); }
	/** @return The shard once it has been loaded, otherwise null. */
	[[nodiscard]] const Shard *Running() const { return this->running ? this->shard.get() : nullptr; }
	/** @return The shard, mutable, once it has been loaded, otherwise null. */
	[[nodiscard]] Shard *Running() { return this->running ? this->shard.get() : nullptr; }
	/** @return Whether all submissions up to a moment ago are known, so that an unknown job doesn't exist: the inbox
	 * was read, and this ownership was confirmed. A later owner records what it accepts in the progress partition,
	 * which this one doesn't read. */
	[[nodiscard]] bool Fresh() const;

	/** @return What the shard knows of routes once it has been loaded, otherwise null. */
	[[nodiscard]] RouteShards *Routes() { return this->running ? this->routes.get() : nullptr; }
	/** @return What the shard knows of routes once it has been loaded, otherwise null. */
	[[nodiscard]] const RouteShards *Routes() const { return this->running ? this->routes.get() : nullptr; }

	/** See ClaimSpec::expects_release; to be set before Start(). */
	std::function<bool()> expects_release;
	/** See ClaimSpec::vacancy_wait; to be set before Start(). */
	std::function<Millis()> vacancy_wait;
	std::function<void()> on_running; ///< Called when the shard runs.
	std::function<void()> on_lost;    ///< Called when another owner has superseded this one; may destroy this object.

private:
	ShardOwnerContext context;              ///< Services of the node.
	ServiceName service;                    ///< Name of the service.
	std::function<bool()> should_claim;     ///< Returns whether this node should claim the shard.
	std::function<bool()> should_watch;     ///< Returns whether this node monitors the owner.
	PartitionId progress;                   ///< Progress partition.
	uint64_t epoch = 0;                     ///< Epoch of the claim.
	std::optional<Millis> received_at;      ///< See ReceivedAt().
	int64_t starts_per_s = 0;               ///< See StartsPerSecond().
	std::function<void(bool)> release_done; ///< Called at the end of the release; set while it is under way.
	TimerId release_timer;                  ///< Next check whether the main partition has the release.
	/** Callers whose records were in an append under way when the shard was closed. */
	std::shared_ptr<RecordingCallers> recording_callers;
	std::unique_ptr<PartitionClaim> claim;  ///< Claim of the progress partition.
	JobConfig config;                       ///< The configuration in force.
	EvacuatedZones evacuated;               ///< The evacuated zones.
	std::map<BoxId, BoxReport> reports;     ///< Reports of the service's boxes.
	std::vector<BoxReport> removed_reports; ///< Last reports of incarnations whose report was removed.
	std::unique_ptr<PairedJournal> journal; ///< Appends records; set once claimed.
	std::unique_ptr<Shard> shard;           ///< Set once claimed.
	std::unique_ptr<RouteShards> routes;    ///< Set once claimed.
	std::unique_ptr<KeyedFollower> inbox;   ///< Reads the inbox; set once claimed.
	std::vector<KeyedRecord> accepted;      ///< Submissions and cancellations that earlier owners have recorded.
	std::vector<KeyedRecord> loading;       ///< Submissions and cancellations read before the inbox was loaded.
	bool running = false;                   ///< Whether the inbox has been loaded.
	TimerId confirm_timer;                  ///< Next call of KeepConfirmed().
	Millis confirm_due;                     ///< When that call is due.
	Millis confirmed_at;                    ///< When the owner's record was last known to be durable.
	bool confirming = false;                ///< Whether the owner's record is queued or being appended.
	bool losing = false;                    ///< Whether ScheduleLoss() was called.
	Millis max_lateness;                    ///< Maximum lateness of these calls since the last load log line.
	Millis load_logged_at;                  ///< When LogLoad() wrote its last line.
	ShardCounters logged_counters;          ///< Counters of the shard at that time.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	void Run(const ClaimedPartition &claimed);
	void OnInbox(const KeyedRecord &record);
	void OnLoaded();
	/** Applies a submission or cancellation that an earlier owner has recorded. @param record The record. */
	void ApplyAccepted(const KeyedRecord &record);
	/** Applies a submission or cancellation of the inbox. @param record The record. */
	void ApplyInboxRecord(const KeyedRecord &record);
	/** Restores what an earlier owner has recorded other than submissions and cancellations. @param key Key in the
	 * progress partition. @param bytes Value of the record. */
	void RestoreRecord(const std::string &key, const std::string &bytes);
	void NoteBadRecord(const std::string &key);
	/** Ends the ownership if an owner's record in the inbox is a later owner's. @param record The record. */
	void CheckOwnerRecord(const KeyedRecord &record);
	/** Calls LoseOwnership() in the next turn, as that may destroy this object. */
	void ScheduleLoss();
	void LoseOwnership();
	/** Stops the shard and answers its callers, as far as their outcome is known. */
	void CloseShard();
	/** Ends a release once the main partition has its record, which claims and lookups read. */
	void AwaitMainRecord();
	void FinishRelease(bool durable);
	void KeepConfirmed();
	/** @return Whether the owner's record is to be appended now. */
	[[nodiscard]] bool ConfirmationDue() const;
	void LogLoad();
	/** @return Whether there is memory for a job that a caller submits. @param incoming Record of the caller. */
	[[nodiscard]] bool HasMemoryFor(const IncomingRecord &incoming) const;
};

#endif /* SHARD_OWNER_H */
