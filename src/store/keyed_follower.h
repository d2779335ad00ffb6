/** @file keyed_follower.h Follows a partition of the keyed log: newest records first, then all appends. */
#ifndef KEYED_FOLLOWER_H
#define KEYED_FOLLOWER_H

#include "../scheduler_type.h"
#include "keyed_log.h"

#include <memory>
#include <set>

/** Timing of a follower's read calls. */
struct PollTiming {
	Millis wait;        ///< Longest time for which the log may hold back an answer until a record arrives (long poll).
	Millis pause;       ///< Delay between two read calls; 0 for none.
	Millis retry_after; ///< Delay after a failed call.
};

/**
 * Reports every change of a partition at least once and in order; while the log has all offsets, exactly once. When the
 * log no longer has the offset, the newest records are reported again, and keys that are gone are reported as dropped.
 */
class KeyedFollower {
public:
	using OnRecord = std::function<void(const KeyedRecord &)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The keyed log; must outlive this.
	 * @param partition Partition to follow.
	 * @param timing Timing of the read calls.
	 */
	KeyedFollower(Scheduler &scheduler, KeyedLog &log, PartitionId partition, PollTiming timing);
	~KeyedFollower();
	KeyedFollower(const KeyedFollower &) = delete;
	KeyedFollower &operator=(const KeyedFollower &) = delete;

	/** Starts following. */
	void Start();

	/** Reads at once what has been appended so far and reports it to `on_record`; the regular reads go on after it.
	 * @param done Called after that; never when the read failed. */
	void ReadNow(std::function<void()> done);

	/** @return Whether the newest records of all keys were reported once. */
	[[nodiscard]] bool Loaded() const { return this->loaded; }

	/** @return Time up to which all appends are known: when the last read that reached the end of the partition, or the
	 * first page of the last complete load, was requested. */
	[[nodiscard]] Millis CurrentAsOf() const { return this->current_as_of; }

	/** @return Time up to which all appends were reported. Later than CurrentAsOf() if the log has waited for a record
	 * in vain. */
	[[nodiscard]] Millis ConfirmedAsOf() const { return this->confirmed_as_of; }

	/** @return Offset up to which the records were reported. */
	[[nodiscard]] uint64_t Position() const { return this->next; }

	/** @return When the last answer to a read arrived. */
	[[nodiscard]] Millis LastAnswerAt() const { return this->last_answer_at; }

	OnRecord on_record;              ///< Called with each record.
	std::function<void()> on_batch;  ///< Called after the records of an answer.
	std::function<void()> on_loaded; ///< Called once, after the newest records of all keys.

private:
	Scheduler &scheduler;              ///< Clock and timers.
	KeyedLog &log;                     ///< The keyed log.
	PartitionId partition;             ///< Partition that is followed.
	PollTiming timing;                 ///< Timing of the read calls.
	bool loaded = false;               ///< See Loaded().
	uint64_t next = 0;                 ///< Offset of the next read.
	std::optional<uint64_t> load_end;  ///< End of the partition in the first page of the load in progress.
	Millis load_sent_at;               ///< When the first page of the load in progress was requested.
	std::set<std::string> live_keys;   ///< Keys that have a value.
	std::set<std::string> loaded_keys; ///< Keys seen by the load in progress.
	Millis current_as_of;              ///< See CurrentAsOf().
	Millis confirmed_as_of;            ///< See ConfirmedAsOf().
	Millis last_answer_at;             ///< See LastAnswerAt().
	TimerId timer;                     ///< Next call.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	void Schedule(Millis delay, void (KeyedFollower::*step)());
	void LoadFirst();
	void LoadPage(const std::string &after);
	void OnPage(const NewestPage &page, Millis sent_at);
	void DropMissing();
	void ReadNext();
	void OnRead(const KeyedReadAnswer &answer, Millis sent_at);
	/** Reports the records of a read that no other read has reported yet. @param answer The answer. */
	void ReportNew(const KeyedReadAnswer &answer);
	void Report(const KeyedRecord &record);
	/** Notes up to when all appends were reported. @param answer Answer of a read. @param sent_at When the read was
	 * sent. @param wait Longest time for which the log could hold back the answer. */
	void NoteConfirmed(const KeyedReadAnswer &answer, Millis sent_at, Millis wait);
};

#endif /* KEYED_FOLLOWER_H */
