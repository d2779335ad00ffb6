/** @file paired_journal.h Appends of an owner to its main partition, or to the spare one while that doesn't answer. */
#ifndef PAIRED_JOURNAL_H
#define PAIRED_JOURNAL_H

#include "../event_log.h"
#include "owner_journal.h"

#include <map>
#include <set>

/** Key in the spare partition under which a record of the main partition is stored. */
struct SpareKey {
	std::string key;   ///< The key.
	bool drop = false; ///< Whether the key is dropped from the spare partition once the main one has the record.
};

/** The two partitions to which an owner appends. */
struct JournalPair {
	PartitionId main;  ///< Partition that gets all records in the end.
	PartitionId spare; ///< Partition that gets records while the main one doesn't answer.
	std::function<SpareKey(const std::string &)> key_for; ///< Maps a key of the main partition to the spare one.
};

/**
 * Writes the records of one ownership, one batch at a time. A batch that the main partition doesn't answer within a
 * timeout is sent to the spare one as well, and is durable as soon as either has it. Further batches go to the spare
 * partition alone until the main one answers; then all records that the main one lacks are repeated there. Each claim
 * fences both partitions, so a later owner finds every durable record in one of the two.
 *
 * Without the spare partition a service stops while its main partition doesn't answer: with a fifth of the partitions
 * unresponsive, 6 s without answers made the jobs of 14 s late. On days with such failures, jobs earned 0.41 of their
 * possible value without the spare partition and 0.53 with it (worst times, classes and zones weigh more; costs
 * deducted).
 */
class PairedJournal {
public:
	using Done = std::function<void()>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The keyed log; must outlive this.
	 * @param events Event log; must outlive this.
	 * @param pair Partitions to append to.
	 * @param claim Epoch and sequence number of the claim, the same in both partitions; the appends continue them.
	 */
	PairedJournal(Scheduler &scheduler, KeyedLog &log, EventLog &events, JournalPair pair, const ClaimNumber &claim);
	~PairedJournal();
	PairedJournal(const PairedJournal &) = delete;
	PairedJournal &operator=(const PairedJournal &) = delete;

	/**
	 * Appends records in order. Queued appends without `refused` are joined into one batch; a batch that is too large
	 * for one append is written by several.
	 * @param records Records to append, none larger than Limits() allows. If this ownership ends meanwhile, the log may
	 * have only the first ones.
	 * @param done Called once all are durable; never when this ownership has ended.
	 * @param refused Called instead when the log has refused them for a while, and it is certain that none is or will
	 * be written. Null to repeat the append until it succeeds.
	 */
	void Append(std::vector<KeyedRecord> records, Done done, Done refused = nullptr);

	/** @return Sizes that the log accepts. */
	[[nodiscard]] const AppendLimits &Limits() const { return this->limits; }

	/** @return Whether a batch is in progress. */
	[[nodiscard]] bool Busy() const { return this->current.has_value(); }

	/** @return Whether no batch was in progress for some time. An owner refreshes its own record only then, which
	 * leaves half of the time to appends that somebody waits for. @param span The time; extended up to the duration of
	 * the last batch if that took longer. */
	[[nodiscard]] bool IdleFor(Millis span) const
	{
		const Millis idle_time = std::max(span, std::min(this->last_duration, MAX_IDLE_EXTENSION));
		return !this->Busy() && this->scheduler.Now() - this->finished_at >= idle_time;
	}

	/** @return Whether the main partition is bypassed or lacks records that the spare one has. */
	[[nodiscard]] bool Bypassing() const { return this->bypassing; }

	/** @return When the last successful append was sent: at that time this ownership was the latest. */
	[[nodiscard]] Millis ConfirmedAt() const { return std::max(this->main.ConfirmedAt(), this->spare.ConfirmedAt()); }

	/** @return When the last successful append to the main partition was sent. */
	[[nodiscard]] Millis MainConfirmedAt() const { return this->main.ConfirmedAt(); }

	/** @return Whether the main partition has every durable record. */
	[[nodiscard]] bool MainComplete() const { return this->missing.empty(); }

	/** @return Number of batches that the spare partition stored first. */
	[[nodiscard]] uint64_t Detours() const { return this->detours; }

	std::function<void()> on_superseded; ///< Called once when a later owner has claimed the partitions.
	std::function<void()>
			on_repeated; ///< Called when a batch that only repeats records to the main partition is finished.

private:
	/** Limit up to which the duration of the last batch extends the time of IdleFor(): an append takes this long in a
	 * slow store, and a batch that took longer met an outage that is over. */
	static constexpr Millis MAX_IDLE_EXTENSION = Millis(500);

	/** Records that are appended together. */
	struct Batch {
		uint64_t number = 0; ///< Number of the append in this ownership.
		std::vector<KeyedRecord>
				records; ///< Records of the append in progress, or of all appends before the first one.
		std::deque<std::vector<KeyedRecord>> remaining; ///< Records of the appends that follow.
		std::vector<Done> done;                         ///< Called when all records are durable.
		Done refused;          ///< Called when certainly nothing is written; null to retry forever.
		bool in_main = false;  ///< Whether it was sent to the main partition.
		bool in_spare = false; ///< Whether it was sent to the spare partition.
	};

	/** A record that only the spare partition has. */
	struct MissingRecord {
		KeyedRecord record;  ///< The record, under its key in the main partition.
		uint64_t number = 0; ///< Number of the batch that wrote it.
	};

	Scheduler &scheduler;                         ///< Clock and timers.
	EventLog &events;                             ///< Event log.
	JournalPair pair;                             ///< Partitions to append to.
	AppendLimits limits;                          ///< Sizes that the log accepts.
	OwnerJournal main;                            ///< Appends to the main partition.
	OwnerJournal spare;                           ///< Appends to the spare partition.
	std::deque<Batch> queue;                      ///< Batches that are not sent yet.
	std::optional<Batch> current;                 ///< Batch in progress.
	uint64_t last_number = 0;                     ///< Number of the last batch.
	Millis sent_at;                               ///< When the current batch was sent.
	Millis finished_at;                           ///< When the last batch became durable.
	Millis last_duration;                         ///< Duration of the last batch.
	Millis main_duration = Millis(0);             ///< Smoothed duration of appends to the main partition.
	std::map<std::string, MissingRecord> missing; ///< Records that the main partition lacks, by their key there.
	std::map<std::string, uint64_t> repeated;     ///< Batch numbers of the records that the append in progress repeats.
	std::set<std::string> spare_keys_to_drop;     ///< Keys to drop from the spare partition later.
	bool bypassing = false;                       ///< See Bypassing().
	bool superseded = false;                      ///< Whether on_superseded was called.
	uint64_t detours = 0;                         ///< See Detours().
	TimerId timer;                                ///< Timeout of the main partition.

	[[nodiscard]] Millis MainTimeout() const;
	[[nodiscard]] Batch TakeNextBatch();
	void StartNext();
	/** Sends the next append of the current batch. */
	void SendNextPart();
	/** @return Most bytes of records that a batch puts into one append. */
	[[nodiscard]] size_t AppendBytesMax() const;
	/** Chooses the records that the next append to the main partition repeats. @param[out] records Receives them. */
	void AddRepeats(std::vector<KeyedRecord> &records);
	void SendToMain();
	void SendToSpare();
	void OnMain(uint64_t number);
	void OnSpare(uint64_t number);
	void EraseStored(uint64_t number);
	void CleanUpSpare();
	void FinishBatch();
	void OnRefused();
	void OnSuperseded();
};

#endif /* PAIRED_JOURNAL_H */
