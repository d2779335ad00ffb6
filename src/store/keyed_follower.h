/** @file keyed_follower.h Follows a partition of the keyed log: newest records first, then what is appended. */
#ifndef KEYED_FOLLOWER_H
#define KEYED_FOLLOWER_H

#include "../scheduler_type.h"
#include "keyed_log.h"

#include <memory>
#include <set>

/** How a follower asks. */
struct PollTiming {
	Millis wait;        ///< Time that the log may hold an answer back until a record comes.
	Millis pause;       ///< Between two questions; 0 to ask at once.
	Millis retry_after; ///< After a question without an answer.
};

/**
 * Tells every change of a partition at least once and in order. When the log has forgotten the offset, the newest
 * records are told again, and keys that are gone are told as dropped.
 */
class KeyedFollower {
public:
	using OnRecord = std::function<void(const KeyedRecord &)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The log; outlives this.
	 * @param partition What to follow.
	 * @param pace How to ask.
	 */
	KeyedFollower(Scheduler &scheduler, KeyedLog &log, PartitionId partition, PollTiming pace);
	~KeyedFollower();
	KeyedFollower(const KeyedFollower &) = delete;
	KeyedFollower &operator=(const KeyedFollower &) = delete;

	/** Begins. */
	void Start();

	/** Reads without waiting what has been appended by now; what comes is told as always, perhaps twice. @param done
	 * Called once it was told; never when it couldn't be read. */
	void ReadNow(std::function<void()> done);

	/** @return Whether the newest records were told once. */
	[[nodiscard]] bool Loaded() const { return this->loaded; }

	/** @return When the last answered question was sent: everything appended before is known. */
	[[nodiscard]] Millis CurrentAsOf() const { return this->fresh_at; }

	/** @return When the last answer came. */
	[[nodiscard]] Millis LastAnswerAt() const { return this->heard_at; }

	OnRecord on_record;              ///< Gets each record.
	std::function<void()> on_batch;  ///< Told after the records of an answer.
	std::function<void()> on_loaded; ///< Told once, after the newest records.

private:
	Scheduler &scheduler;                                       ///< Clock and timers.
	KeyedLog &log;                                              ///< The log.
	PartitionId partition;                                      ///< What is followed.
	PollTiming pace;                                            ///< How to ask.
	bool loaded = false;                                        ///< Whether Loaded().
	uint64_t next = 0;                                          ///< Offset to read from.
	std::optional<uint64_t> first_end;                          ///< End told by the first page of a load.
	std::set<std::string> keys;                                 ///< Keys that have a value.
	std::set<std::string> loading;                              ///< Keys seen by the load under way.
	Millis fresh_at;                                            ///< For CurrentAsOf().
	Millis heard_at;                                            ///< For LastAnswerAt().
	TimerId timer;                                              ///< Next question.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void Later(Millis delay, void (KeyedFollower::*step)());
	void LoadFirst();
	void LoadPage(const std::string &after);
	void OnPage(const NewestPage &page, Millis asked);
	void DropMissing();
	void ReadOn();
	void OnRead(const KeyedReadAnswer &answer, Millis asked);
	void Tell(const KeyedRecord &record);
};

#endif /* KEYED_FOLLOWER_H */
