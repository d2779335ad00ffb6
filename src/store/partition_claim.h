/** @file partition_claim.h Claims a partition of the keyed log for one owner, and reads its records. */
#ifndef PARTITION_CLAIM_H
#define PARTITION_CLAIM_H

#include "../event_log.h"
#include "../scheduler_type.h"
#include "keyed_log.h"
#include "owner_record.h"

#include <map>
#include <memory>

/** Producer name under which owners append: the log refuses an append whose epoch is below the highest epoch that this
 * producer has used in the partition. */
inline constexpr const char *OWNER_PRODUCER = "owner";
/** Key of the owner's record. */
inline constexpr const char *OWNER_KEY = "owner";
/** Pages list the newest records in the order of their keys. The page after this key holds OWNER_KEY and few other
 * records, because the keys of jobs are hexadecimal digits, which sort before it. */
inline constexpr const char *KEY_BEFORE_OWNER = "n";

/** Partition to claim, and by whom and when it may be claimed. */
struct ClaimSpec {
	std::string address;   ///< IP:port on which the claiming node serves other nodes.
	PartitionId partition; ///< Partition to claim.
	std::string group;     ///< Group of the nodes that may be owners.
	/** Returns whether this node should claim the partition when it has no live owner. */
	std::function<bool()> should_claim;
	/** Whether to read the records of the spare partition, to which then only the owner appends. Otherwise other nodes
	 * append to it, too, under keys that sort before KEY_BEFORE_OWNER. */
	bool read_spare = false;
	/** Returns whether this node monitors the owner in addition to the node that should claim. Such a node claims a
	 * released partition only after that has not grown for some time, see PartitionClaim::UnchangedLimit(). Null for
	 * never. */
	std::function<bool()> should_watch = nullptr;
	/** Returns whether the owner has announced that it releases the partition to this node: the owner's record is then
	 * read at short intervals. Null for never. */
	std::function<bool()> expects_release = nullptr;
	/** Returns for how long this node leaves a vacant partition to others. It doesn't apply to a partition that was
	 * released to this node. Null for no time. */
	std::function<Millis()> vacancy_wait = nullptr;
};

/** Epoch and sequence number of a claim, which the owner's appends continue. */
struct ClaimNumber {
	uint64_t epoch = 0;    ///< Higher than those of all earlier owners; nodes that claim at once may try the same one.
	uint64_t sequence = 0; ///< Sequence number of the claim; differs between nodes that try the same epoch.
};

/** Contents of a claimed partition. */
struct ClaimedPartition {
	ClaimNumber number;            ///< Epoch and sequence number of the claim.
	bool released = false;         ///< Whether the previous owner had released it itself, or there was none.
	Millis earlier_lease_span;     ///< If released: how long owners before the previous one may still extend leases.
	bool released_to_self = false; ///< Whether the previous owner had released it to this node.
	std::map<std::string, std::string> records; ///< Values of the main partition by key, without the owner's record.
	std::map<std::string, std::string> spare;   ///< Values of the spare partition by key, with ClaimSpec::read_spare.
};

/** @return The spare partition, to which an owner appends while the main one doesn't answer: the next partition of the
 * same topic. @param partition The main partition. */
inline PartitionId SparePartitionOf(const PartitionId &partition)
{
	return PartitionId{partition.topic, partition.part + 1};
}

/**
 * Waits until a partition has no live owner, reads its records and takes it over. The claim is an append with a higher
 * epoch to the main partition, on condition that nothing was appended there after the records read. From then on the
 * log refuses appends of earlier owners to that partition. Then the spare partition is fenced by an append with the
 * same epoch, without that condition. After that no earlier owner can write to either partition, so all that it has
 * written can be read.
 *
 * An owner that has not released its partition keeps it while it is alive, whichever member the group assigns the
 * partition to: when owners followed the assignment, a rolling restart of nine nodes moved each shard up to 7 times in
 * 20 s. An owner counts as alive while the group lists it as a holder, or while its partition grows, as an idle owner
 * refreshes its own record. The group alone isn't enough, because members drop out of it for moments while answers of
 * the log are lost: with a third of them lost, four services and the fleet changed owners eight times in 6 s, and one
 * service had no owner for 4 s, in which its boxes could not be moved to another service at its peak.
 *
 * A listed owner is replaced as well once it is silent: for SilenceLimit(), it has appended to neither partition,
 * although it has something to append at least every 0.35 s. It can record no start and accept no job then, and the
 * group lists it for up to 2.6 s longer. Only a node whose own reads were answered promptly during all of that time
 * judges this, since otherwise the store rather than the owner may be the cause.
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

	/** @return Whether the claim waits, because another owner is alive or this node isn't the one to claim. */
	[[nodiscard]] bool Waiting() const { return this->waiting; }

	/** Checks the owner now if the claim waits for its next check; called when a release to this node is announced. */
	void CheckNow();

private:
	Scheduler &scheduler;              ///< Clock and timers.
	KeyedLog &log;                     ///< The keyed log.
	EventLog &events;                  ///< Event log.
	ClaimSpec spec;                    ///< Partition to claim, and by whom and when.
	bool waiting = false;              ///< See Waiting().
	Millis owner_read_at;              ///< When the owner's record was last requested.
	Millis owner_read_duration;        ///< Duration of the last read of the owner's record.
	std::optional<uint64_t> last_end;  ///< End of the partition when the owner's record was last read.
	Millis last_end_since;             ///< When `last_end` was first seen.
	Millis observed_at;                ///< When the owner's record was last read successfully.
	Millis observed_since;             ///< Since when such reads have followed each other without a gap.
	Millis slowest_read;               ///< Longest duration of a read since `observed_since`.
	std::optional<uint64_t> spare_end; ///< Offset up to which the spare partition was read for records of the owner.
	Millis spare_since;                ///< Since when the owner is known, or assumed, to have appended nothing there.
	bool claims_silent = false;        ///< Whether the load in progress is for the claim from a silent owner.
	Done done;                         ///< Called once, when claimed.
	ClaimedPartition contents;         ///< Contents read so far.
	uint64_t max_epoch_read = 0;       ///< Highest epoch of an owner read.
	uint64_t epoch_tried = 0;          ///< Highest epoch that this object has tried to claim.
	std::optional<uint64_t> load_end;  ///< End of the partition by the first page of the load.
	TimerId timer;                     ///< Next attempt.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	void ReadOwner();
	void OnOwner(const NewestPage &page);
	/** @return Interval of checks of the owner. */
	[[nodiscard]] Millis CheckInterval() const;
	/** @return Whether the owner has released the partition to this node. @param owner The owner's record. */
	[[nodiscard]] bool IsSuccessor(const std::optional<StoredOwner> &owner) const;
	/** @return For how much longer this node leaves a vacant partition to others. @param owner The owner's record. */
	[[nodiscard]] Millis VacancyWaitLeft(const std::optional<StoredOwner> &owner) const;
	/** Records the end of the partition, and the time if the end has changed. */
	void NoteEnd(uint64_t end);
	/** @return Time since the end of the partition was last seen to change. */
	[[nodiscard]] Millis UnchangedFor() const;
	/** @return Time without a change after which the owner counts as unable to append. */
	[[nodiscard]] Millis UnchangedLimit() const;
	/** Reads the group's holders, and goes on with the claim unless the owner is among them. @param owner Address of
	 * the owner. */
	void AskHolders(const std::string &owner);
	/** Records a successful read of the owner's record: a gap since the previous one restarts the observation. */
	void NoteObservation();
	/** Discards what was observed of the owner's silence so far. */
	void RestartObservation();
	/** @return Time without a record of the owner in either partition after which a listed owner counts as silent. */
	[[nodiscard]] Millis SilenceLimit() const;
	/** @return For how long the owner was observed to append to neither partition. */
	[[nodiscard]] Millis SilentFor() const;
	/** Goes on with the claim if the owner is silent, otherwise waits. @param owner Address of the owner. */
	void CheckSilence(const std::string &owner);
	/** Reads where the spare partition ends, from where records of the owner are looked for. */
	void FindSpareEnd();
	/** Reads what was appended to the spare partition. @param owner Address of the owner. */
	void ReadSpareTail(const std::string &owner);
	void OnSpareTail(const std::string &owner, const KeyedReadAnswer &answer, Millis sent_at);
	/** Claims from the silent owner. @param owner Address of the owner. */
	void ClaimFromSilent(const std::string &owner);
	void Wait(Millis delay);
	void Load();
	void LoadPage(const std::string &after);
	void OnPage(const NewestPage &page);
	/** @return Time after which the answer to an append of this claim counts as lost. */
	[[nodiscard]] Millis ClaimTimeout() const;
	void Claim();
	/** @return Sequence number of a claim. @param epoch Epoch of the claim. */
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
