/** @file partition_claim.h Claims a partition of the keyed log for one owner, and reads its records. */
#ifndef PARTITION_CLAIM_H
#define PARTITION_CLAIM_H

#include "../event_log.h"
#include "../scheduler_type.h"
#include "keyed_log.h"

#include <map>
#include <memory>

/** Producer name of owners' appends: under it the log refuses epochs below the latest owner's. */
inline constexpr const char *OWNER_PRODUCER = "owner";
/** Key of the owner's record. */
inline constexpr const char *OWNER_KEY = "owner";
/** A page of the newest records after this key has OWNER_KEY and few others: keys of jobs are hexadecimal digits. */
inline constexpr const char *KEY_BEFORE_OWNER = "n";

/** Partition to claim, and by whom and when it may be claimed. */
struct ClaimSpec {
	std::string address;          ///< IP:port on which the claiming node serves other nodes.
	PartitionId partition;        ///< Partition to claim.
	std::string group;            ///< Group of the nodes that may be owners.
	std::function<bool()> wanted; ///< Whether this node is the one to claim when the owner is gone.
	bool read_spare = false;      ///< Whether to read the records of the spare partition.
	/** Whether this node watches the owner as a second one, and claims only when the partition stops growing; null for
	 * never. */
	std::function<bool()> watches = nullptr;
};

/** Epoch and sequence number of a claim, which the owner's appends continue. */
struct ClaimNumber {
	uint64_t epoch = 0;    ///< Increases with each claim.
	uint64_t sequence = 0; ///< First sequence number; differs from that of other claims of the same epoch.
};

/** Contents of a claimed partition. */
struct ClaimedPartition {
	ClaimNumber number;        ///< Epoch and sequence number of the claim.
	bool released = false;     ///< Whether the previous owner had released it itself, or there was none.
	Millis earlier_lease_span; ///< If released: how long owners before that one may still extend leases.
	std::map<std::string, std::string> records; ///< Values by key, without the owner's record.
	std::map<std::string, std::string> spare;   ///< The same of the spare partition, with ClaimSpec::read_spare.
};

/** @return The partition to which an owner appends while its main one doesn't answer. @param partition The main one. */
inline PartitionId SparePartitionOf(const PartitionId &partition)
{
	return PartitionId{partition.topic, partition.part + 1};
}

/**
 * Waits until the owner of a partition has released it or has left the group, reads the partition and takes it over.
 * The claim is an append with a higher epoch, on condition that nothing was appended after the records read. From then
 * on the log refuses appends of earlier owners. Then the spare partition is fenced in the same way: only after that can
 * no earlier owner write any more, and all that it has written can be read.
 *
 * An owner that is alive keeps its partition, whichever member the group assigns it to: when owners followed the
 * assignment, a rolling restart of nine nodes moved each shard up to 7 times in 20 s. An owner counts as alive while
 * the group lists it or while its partition grows, as an idle owner refreshes its own record. The group alone isn't
 * enough: while a third of the log's answers were lost, members dropped out of it for moments. Four queues and the
 * fleet changed owners eight times in 6 s, one queue had no owner for 4 s, and its boxes could not be moved to another
 * queue at its peak.
 */
class PartitionClaim {
public:
	using Done = std::function<void(const ClaimedPartition &)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The keyed log; must outlive this.
	 * @param events Event log; must outlive this.
	 * @param spec Partition to claim, and by whom and when.
	 */
	PartitionClaim(Scheduler &scheduler, KeyedLog &log, EventLog &events, ClaimSpec spec);
	~PartitionClaim();
	PartitionClaim(const PartitionClaim &) = delete;
	PartitionClaim &operator=(const PartitionClaim &) = delete;

	/** Retries until the partition is claimed. @param done Called then with its contents. */
	void Start(Done done);

	/** @return Whether the claim waits, since another owner is alive or this node isn't the one to claim. */
	[[nodiscard]] bool Waiting() const { return this->waiting; }

private:
	Scheduler &scheduler;                                       ///< Clock and timers.
	KeyedLog &log;                                              ///< The keyed log.
	EventLog &events;                                           ///< Event log.
	ClaimSpec spec;                                             ///< Partition to claim, and by whom and when.
	bool waiting = false;                                       ///< See Waiting().
	Millis owner_read_at;                                       ///< When the owner's record was last requested.
	Millis owner_read_duration;                                 ///< Duration of the last read of the owner's record.
	std::optional<uint64_t> last_end;                           ///< End of the partition at that read.
	Millis last_end_since;                                      ///< When that end was first seen.
	Done done;                                                  ///< Called once, when claimed.
	ClaimedPartition contents;                                  ///< Contents read so far.
	uint64_t max_epoch_read = 0;                                ///< Highest epoch of an owner read.
	uint64_t epoch_tried = 0;                                   ///< Highest epoch that this object has tried to claim.
	std::optional<uint64_t> load_end;                           ///< End of the partition by the first page of the load.
	TimerId timer;                                              ///< Next attempt.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	void ReadOwner();
	void OnOwner(const NewestPage &page);
	void NoteEnd(uint64_t end);
	[[nodiscard]] Millis UnchangedFor() const;
	[[nodiscard]] Millis UnchangedLimit() const;
	void AskHolders(const std::string &owner);
	void Wait(Millis delay);
	void Load();
	void LoadPage(const std::string &after);
	void OnPage(const NewestPage &page);
	[[nodiscard]] Millis ClaimTimeout() const;
	void Claim();
	[[nodiscard]] uint64_t FirstSequence(uint64_t epoch) const;
	void OnClaimed(const ClaimNumber &number, const KeyedAppendAnswer &answer);
	void FenceSpare();
	void OnSpareFenced(const KeyedAppendAnswer &answer);
	void LoadSparePage(const std::string &after);
	void OnSparePage(const NewestPage &page);
	void ReportClaimed();
	void Retry(Millis delay);
};

#endif /* PARTITION_CLAIM_H */
