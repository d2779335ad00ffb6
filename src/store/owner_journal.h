/** @file owner_journal.h Appends of a partition's owner: one at a time, in order, repeated until answered. */
#ifndef OWNER_JOURNAL_H
#define OWNER_JOURNAL_H

#include "../scheduler_type.h"
#include "partition_claim.h"

#include <deque>
#include <memory>

/**
 * Smooths the duration of appends: the result rises at once and falls slowly, because a store that gets slow stays slow
 * for seconds.
 * @param before Smoothed duration so far.
 * @param duration Duration of the newest append.
 * @return New smoothed duration.
 */
Millis SmoothedDuration(Millis before, Millis duration);

/**
 * Writes the records of one ownership of a partition. Each append carries the owner's epoch and a sequence number, so a
 * repeated append takes effect once, and not at all after a later owner has claimed the partition.
 */
class OwnerJournal {
public:
	using Done = std::function<void()>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The keyed log; must outlive this.
	 * @param partition Partition to append to.
	 * @param claim Epoch and sequence number of the claim; the appends continue its sequence.
	 */
	OwnerJournal(Scheduler &scheduler, KeyedLog &log, PartitionId partition, const ClaimNumber &claim);
	~OwnerJournal();
	OwnerJournal(const OwnerJournal &) = delete;
	OwnerJournal &operator=(const OwnerJournal &) = delete;

	/**
	 * Appends records.
	 * @param records Records to append; all or none are written.
	 * @param done Called once they are durable; never when this ownership has ended.
	 */
	void Append(std::vector<KeyedRecord> records, Done done);

	/** @return Whether an append is in progress. */
	[[nodiscard]] bool Busy() const { return this->busy; }

	/** @return Whether every attempt of the only queued append was refused and none is in flight: nothing was written.
	 */
	[[nodiscard]] bool Refused() const
	{
		return this->busy && !this->in_flight && !this->answer_lost && this->queue.size() == 1;
	}
	/** Withdraws the append in progress. Only allowed while Refused(). Its `done` is never called. */
	void Withdraw();

	/** @return When the last successful append was sent: at that time this ownership was the latest. */
	[[nodiscard]] Millis ConfirmedAt() const { return this->confirmed_at; }

	/** @return Number of appends sent, including repeats. */
	[[nodiscard]] uint64_t Attempts() const { return this->attempts; }

	std::function<void()> on_superseded; ///< Called when a later owner has claimed the partition.
	std::function<void()> on_refused;    ///< Called when the log has refused an attempt; it is repeated after a delay.

private:
	/** A queued append. */
	struct Pending {
		std::vector<KeyedRecord> records; ///< Records to append.
		Done done;                        ///< Called when they are durable.
	};

	Scheduler &scheduler;            ///< Clock and timers.
	KeyedLog &log;                   ///< The keyed log.
	PartitionId partition;           ///< Partition to append to.
	uint64_t epoch;                  ///< Epoch of this ownership.
	uint64_t sequence;               ///< Sequence number of the append in progress, or of the next one.
	std::deque<Pending> queue;       ///< Queued appends; the first one may be in progress.
	bool busy = false;               ///< Whether the first queued append is in progress.
	bool in_flight = false;          ///< Whether an attempt of that append is in flight.
	bool answer_lost = false;        ///< Whether the answer to an attempt of that append was lost.
	Millis confirmed_at;             ///< See ConfirmedAt().
	uint64_t attempts = 0;           ///< See Attempts().
	Millis append_duration;          ///< Smoothed duration of appends.
	uint32_t consecutive_losses = 0; ///< Lost answers since the last successful append.
	TimerId timer;                   ///< Next attempt.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	[[nodiscard]] Millis AnswerTimeout() const;
	void Send();
	void OnAnswer(const KeyedAppendAnswer &answer, Millis sent_at);
};

#endif /* OWNER_JOURNAL_H */
