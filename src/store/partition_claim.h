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

/** Reads and writes the owner's record. */
class OwnerRecordCodec {
public:
	virtual ~OwnerRecordCodec() = default;
	/** @return Bytes of the record. @param epoch The owner's epoch. */
	[[nodiscard]] virtual std::string Encode(uint64_t epoch) const = 0;
	/** @return The epoch; 0 when the bytes are no such record. @param bytes The record. */
	[[nodiscard]] virtual uint64_t EpochOf(const std::string &bytes) const = 0;
};

/**
 * Reads a partition and takes it over: the claim is an append with a higher epoch, on condition that nothing came
 * after what was read. From then on the log refuses appends of earlier owners.
 */
class PartitionClaim {
public:
	using Records = std::map<std::string, std::string>; ///< Values by key.
	using Done = std::function<void(uint64_t epoch, const Records &records)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The log; outlives this.
	 * @param events Lines; outlives this.
	 * @param codec Of the owner's record; outlives this.
	 * @param partition What to claim.
	 */
	PartitionClaim(Scheduler &scheduler, KeyedLog &log, EventLog &events, const OwnerRecordCodec &codec,
				   PartitionId partition);
	~PartitionClaim();
	PartitionClaim(const PartitionClaim &) = delete;
	PartitionClaim &operator=(const PartitionClaim &) = delete;

	/** Tries until it is claimed. @param done Gets the epoch and what the partition held, without the owner's record. */
	void Start(Done done);

private:
	Scheduler &scheduler;                                       ///< Clock and timers.
	KeyedLog &log;                                              ///< The log.
	EventLog &events;                                           ///< Lines.
	const OwnerRecordCodec &codec;                              ///< Of the owner's record.
	PartitionId partition;                                      ///< What to claim.
	Done done;                                                  ///< Told once.
	Records found;                                              ///< What was read.
	uint64_t epoch_found = 0;                                   ///< Epoch of the latest owner read.
	uint64_t epoch_tried = 0;                                   ///< Highest epoch that this claim has tried.
	std::optional<uint64_t> first_end;                          ///< End told by the first page read.
	TimerId timer;                                              ///< Next try.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void Load();
	void LoadPage(const std::string &after);
	void OnPage(const NewestPage &page);
	void Claim();
	void OnClaimed(uint64_t epoch, const KeyedAppendAnswer &answer);
	void TryAgain(Millis delay);
};

#endif /* PARTITION_CLAIM_H */
