/** @file inbox_writer.h Appends of callers' records to the inbox of one shard, for when its owner can't be asked. */
#ifndef INBOX_WRITER_H
#define INBOX_WRITER_H

#include "../scheduler_type.h"
#include "../store/keyed_log.h"

#include <deque>
#include <memory>

/**
 * Appends in batches: one append is under way at a time, what comes meanwhile goes with the next. A partition takes its
 * appends in turn, so a store that is 50 times slower takes about ten a second of them all.
 */
class InboxWriter {
public:
	/** Gets the outcome of one try: RC_OK, RC_LOG_ANSWER_LOST (it may be done), or a refusal (it is not). */
	using Done = std::function<void(ResultCode)>;

	/** @param scheduler Clock. @param log The log; outlives this. @param partition The inbox. */
	InboxWriter(Scheduler &scheduler, KeyedLog &log, PartitionId partition)
			: scheduler(scheduler), log(log), partition(std::move(partition))
	{
	}

	/** Appends a record. @param record It. @param deadline It is not sent after this. @param uncertain Whether it may
	 * lie in the log already. @param done Gets the outcome. */
	void Append(const KeyedRecord &record, Millis deadline, bool uncertain, Done done);

private:
	/** A record that waits. */
	struct Waiting {
		uint64_t number;    ///< Counts the records.
		KeyedRecord record; ///< It.
		Millis deadline;    ///< Not sent after this.
		bool uncertain;     ///< Whether it may lie in the log already.
		Done done;          ///< Gets the outcome.
	};

	Scheduler &scheduler;                                       ///< Clock.
	KeyedLog &log;                                              ///< The log.
	PartitionId partition;                                      ///< The inbox.
	std::deque<Waiting> waiting;                                ///< Records for the next append.
	uint64_t last_number = 0;                                   ///< Of the last record.
	Millis lost_at{-1000000};                                   ///< When an append was last given up without an answer.
	uint32_t lost = 0;                                          ///< Appends in a row that were.
	bool busy = false;                                          ///< Whether an append is under way.
	double took_ms = 0;                                         ///< Time that answered appends took, smoothed.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	[[nodiscard]] Millis Patience() const;
	[[nodiscard]] bool Silent() const;
	void HandBack(uint64_t number);
	void OnAnswer(ResultCode code, Millis took);
	void Send();
};

#endif /* INBOX_WRITER_H */
