/** @file inbox_writer.h Appends callers' records to the inbox of a shard while its owner can't be reached. */
#ifndef INBOX_WRITER_H
#define INBOX_WRITER_H

#include "../scheduler_type.h"
#include "../store/keyed_log.h"

#include <deque>
#include <memory>

/** Appends records in batches. One append is in flight at a time; records that arrive meanwhile go into the next batch.
 * A partition executes its appends one after another, so a store that is 50 times slower than usual completes about ten
 * appends per second in total. */
class InboxWriter {
public:
	/** Called with the outcome of one attempt: RC_OK, RC_LOG_ANSWER_LOST (the record may be stored), or another error
	 * (the record is not stored). */
	using Done = std::function<void(ResultCode)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The log; outlives this object.
	 * @param partition The inbox partition.
	 */
	InboxWriter(Scheduler &scheduler, KeyedLog &log, PartitionId partition)
			: scheduler(scheduler), log(log), partition(std::move(partition))
	{
	}

	/**
	 * Appends a record.
	 * @param record The record.
	 * @param deadline Time after which the record is no longer sent.
	 * @param uncertain Whether an earlier attempt may have stored the record.
	 * @param done Called with the outcome.
	 */
	void Append(const KeyedRecord &record, Millis deadline, bool uncertain, Done done);

private:
	/** A record in the queue. */
	struct QueuedRecord {
		uint64_t number;    ///< Sequence number of the record in this writer.
		KeyedRecord record; ///< The record.
		Millis deadline;    ///< Time after which the record is no longer sent.
		bool uncertain;     ///< Whether an earlier attempt may have stored the record.
		Done done;          ///< Called with the outcome.
	};

	Scheduler &scheduler;            ///< Clock and timers.
	KeyedLog &log;                   ///< The log.
	PartitionId partition;           ///< The inbox partition.
	std::deque<QueuedRecord> queue;  ///< Records for the next append, oldest first.
	uint64_t last_number = 0;        ///< Number of the last record.
	Millis lost_at{-1000000};        ///< Time of the last append without an answer; initially far in the past.
	uint32_t lost_in_a_row = 0;      ///< Consecutive appends without an answer.
	bool append_in_flight = false;   ///< Whether an append is in flight.
	double smoothed_duration_ms = 0; ///< Smoothed duration of appends, in ms.
	/** Lets callbacks detect that this object was destroyed. */
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);

	[[nodiscard]] Millis AppendTimeout() const;
	[[nodiscard]] bool Unreachable() const;
	void RefuseUnsent(uint64_t number);
	void OnAnswer(ResultCode code, Millis took);
	void Send();
};

#endif /* INBOX_WRITER_H */
