/** @file owner_journal.h Appends of an owner: one at a time, in order, repeated until their outcome is known. */
#ifndef OWNER_JOURNAL_H
#define OWNER_JOURNAL_H

#include "../scheduler_type.h"
#include "partition_claim.h"

#include <deque>
#include <memory>

/**
 * Time that appends take: up at once, down slowly, since a store that turns slow stays so for seconds.
 * @param before As smoothed so far.
 * @param took Time that the newest append took.
 * @return Smoothed.
 */
Millis SmoothedTook(Millis before, Millis took);

/**
 * Writes the records of one ownership. Since each append carries the owner's epoch and a sequence number, a repeated
 * append has its effect once, and none at all after a later owner has claimed the partition.
 */
class OwnerJournal {
public:
	using Done = std::function<void()>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The log; outlives this.
	 * @param partition Where the state of what is owned lies.
	 * @param claim Number of the claim; the appends follow.
	 */
	OwnerJournal(Scheduler &scheduler, KeyedLog &log, PartitionId partition, const ClaimNumber &claim);
	~OwnerJournal();
	OwnerJournal(const OwnerJournal &) = delete;
	OwnerJournal &operator=(const OwnerJournal &) = delete;

	/**
	 * Appends records.
	 * @param records What; all or none are written.
	 * @param done Called once they are durable; never when this ownership has ended.
	 */
	void Append(std::vector<KeyedRecord> records, Done done);

	/** @return Whether an append is under way. */
	[[nodiscard]] bool Busy() const { return this->busy; }

	/** @return Whether all sendings of the append under way were refused, and none is out: nothing of it was done. */
	[[nodiscard]] bool Refused() const
	{
		return this->busy && !this->sent && !this->uncertain && this->queue.size() == 1;
	}
	/** Takes the append under way back, which Refused() allows. Its `done` is never called then. */
	void TakeBack();

	/** @return When the last append that succeeded was sent: this ownership was the latest then. */
	[[nodiscard]] Millis ConfirmedAt() const { return this->confirmed_at; }

	/** @return Appends sent, with repeats. */
	[[nodiscard]] uint64_t Sendings() const { return this->sendings; }

	std::function<void()> on_superseded; ///< A later owner has claimed the partition.
	std::function<void()> on_refused;    ///< The log has refused a sending; it is repeated after a pause.

private:
	/** An append that waits for its turn. */
	struct Pending {
		std::vector<KeyedRecord> records; ///< What.
		Done done;                        ///< Told when durable.
	};

	Scheduler &scheduler;                                       ///< Clock and timers.
	KeyedLog &log;                                              ///< The log.
	PartitionId partition;                                      ///< Where.
	uint64_t epoch;                                             ///< The ownership.
	uint64_t sequence;                                          ///< Of the append under way or the next one.
	std::deque<Pending> queue;                                  ///< Appends; the first may be under way.
	bool busy = false;                                          ///< Whether the first is under way.
	bool sent = false;                                          ///< Whether a sending of it is not answered yet.
	bool uncertain = false;                                     ///< Whether a sending of it got no answer.
	Millis confirmed_at;                                        ///< For ConfirmedAt().
	uint64_t sendings = 0;                                      ///< For Sendings().
	Millis took;                                                ///< Time that appends took, smoothed.
	uint32_t lost_in_row = 0;                                   ///< Sendings without an answer since the last one.
	TimerId timer;                                              ///< Next repeat.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	[[nodiscard]] Millis Patience() const;
	void Send();
	void OnAnswer(const KeyedAppendAnswer &answer, Millis sent);
};

#endif /* OWNER_JOURNAL_H */
