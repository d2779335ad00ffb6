/** @file partition_claim.h Claims a partition of the keyed log for one owner, and reads what it holds. */
#ifndef PARTITION_CLAIM_H
#define PARTITION_CLAIM_H

#include "../event_log.h"
#include "../scheduler_type.h"
#include "keyed_log.h"

#include <map>
#include <memory>

/** Name under which owners append: the log refuses all but the latest owner's epoch. */
inline constexpr const char *OWNER_PRODUCER = "owner";
/** Key of the owner's record. */
inline constexpr const char *OWNER_KEY = "owner";
/** Keys behind this one are the owner's and few others: jobs have hexadecimal digits. */
inline constexpr const char *KEY_BEFORE_OWNER = "n";

/** Who claims what, and when it may. */
struct ClaimSpec {
	std::string address;          ///< Where the owner answers other nodes.
	PartitionId partition;        ///< What to claim.
	std::string group;            ///< Group of the nodes that may be owners.
	std::function<bool()> wanted; ///< Whether this node is the one to claim, should the owner be gone.
	bool read_spare = false;      ///< Whether the records of the spare partition are wanted.
	/** Whether this node watches the owner beside the one that is to claim; null for never. */
	std::function<bool()> watches = nullptr;
};

/** What a claim's appends carry; those of its owner follow. */
struct ClaimNumber {
	uint64_t epoch = 0;    ///< Rises with each claim.
	uint64_t sequence = 0; ///< Where this claim's sequence numbers begin: another claim's of the same epoch differ.
};

/** What the claim has found. */
struct ClaimedPartition {
	ClaimNumber number;                         ///< Of the claim.
	bool released = false;                      ///< Whether the owner before had let go by itself, or there was none.
	Millis earlier_lease_span;                  ///< Then: for so long owners before that one may prolong leases.
	std::map<std::string, std::string> records; ///< Values by key, without the owner's record.
	std::map<std::string, std::string> spare;   ///< The same of the spare partition, if they were wanted.
};

/** @return The partition in which an owner records while its own doesn't answer. @param partition Its own. */
inline PartitionId SparePartitionOf(const PartitionId &partition)
{
	return PartitionId{partition.topic, partition.part + 1};
}

/**
 * Waits until a partition's owner has let go or has left the group, reads the partition and takes it over: the claim is
 * an append with a higher epoch, on condition that nothing came after what was read. From then on the log refuses
 * appends of earlier owners. Then the spare partition is fenced: only after that no earlier owner records anything, and
 * what it has recorded can be read.
 *
 * An owner that lives keeps what it owns, whomever the group deals it to: a rolling restart of nine nodes moved each
 * shard up to 7 times in 20 s when owners followed the deal. It lives while the group names it or while its partition
 * moves: an owner records itself if nothing else. While a third of the log's answers got lost, members fell out of the
 * group for moments; four queues and the fleet changed owners eight times in 6 s, one queue had none for 4 s, and its
 * boxes could not be moved to another at its peak (one day played).
 */
class PartitionClaim {
public:
	using Done = std::function<void(const ClaimedPartition &)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The log; outlives this.
	 * @param events Lines; outlives this.
	 * @param spec Who claims what.
	 */
	PartitionClaim(Scheduler &scheduler, KeyedLog &log, EventLog &events, ClaimSpec spec);
	~PartitionClaim();
	PartitionClaim(const PartitionClaim &) = delete;
	PartitionClaim &operator=(const PartitionClaim &) = delete;

	/** Tries until it is claimed. @param done Gets what it held. */
	void Start(Done done);

	/** @return Whether another owner was found alive, or it is not for this node to claim. */
	[[nodiscard]] bool Waiting() const { return this->waiting; }

private:
	Scheduler &scheduler;                                       ///< Clock and timers.
	KeyedLog &log;                                              ///< The log.
	EventLog &events;                                           ///< Lines.
	ClaimSpec spec;                                             ///< Who claims what.
	bool waiting = false;                                       ///< For Waiting().
	Millis looked_at;                                           ///< When the look under way was sent.
	Millis look_took;                                           ///< Time that the last look took.
	std::optional<uint64_t> still_end;                          ///< End of the partition, as told by the last look.
	Millis still_since;                                         ///< When that end was first told.
	Done done;                                                  ///< Told once.
	ClaimedPartition found;                                     ///< What was read, so far.
	uint64_t epoch_found = 0;                                   ///< Epoch of the latest owner read.
	uint64_t epoch_tried = 0;                                   ///< Highest epoch that this claim has tried.
	std::optional<uint64_t> first_end;                          ///< End told by the first page read.
	TimerId timer;                                              ///< Next try.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void Look();
	void OnOwner(const NewestPage &page);
	void NoteEnd(uint64_t end);
	[[nodiscard]] Millis StillFor() const;
	[[nodiscard]] Millis StillLimit() const;
	void AskHolders(const std::string &owner);
	void Wait(Millis delay);
	void Load();
	void LoadPage(const std::string &after);
	void OnPage(const NewestPage &page);
	[[nodiscard]] Millis ClaimPatience() const;
	void Claim();
	[[nodiscard]] uint64_t OwnSequence(uint64_t epoch) const;
	void OnClaimed(const ClaimNumber &number, const KeyedAppendAnswer &answer);
	void FenceSpare();
	void OnSpareFenced(const KeyedAppendAnswer &answer);
	void LoadSparePage(const std::string &after);
	void OnSparePage(const NewestPage &page);
	void Finish();
	void TryAgain(Millis delay);
};

#endif /* PARTITION_CLAIM_H */
