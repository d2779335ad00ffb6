/** @file log_tail.h Reads the platform's log from its start or a snapshot and applies it, with retries. */
#ifndef LOG_TAIL_H
#define LOG_TAIL_H

#include "../fleet/snapshot_func.h"
#include "../scheduler_type.h"
#include "log_service.h"

#include <functional>
#include <memory>

/** State of a log reader. */
enum class TailPhase : uint8_t {
	TP_JOINING = 0,   ///< The log no longer keeps the next record; reading on until a usable snapshot is found.
	TP_FOLLOWING = 1, ///< Applying records one by one.
	TP_HALTED = 2,    ///< The rule version in force is newer than this program supports.
};

/** Delays and timeouts of a log reader. */
struct TailTimings {
	Millis poll = Millis(50);      ///< Delay after a read that returned no records.
	Millis retry = Millis(200);    ///< Delay after a failed read.
	Millis timeout = Millis(5000); ///< Time without an answer after which a read is repeated.
};

/** Reads the log and applies its records to a state, whose offset never decreases. */
class LogTail {
public:
	using OnRecord = std::function<void(const std::vector<Decision> &)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The platform's log.
	 * @param on_record Called after each applied record with its decisions, and with none after a state was adopted.
	 * @param timings Delays and timeouts.
	 */
	LogTail(Scheduler &scheduler, LogService &log, OnRecord on_record, TailTimings timings = {});
	~LogTail();
	LogTail(const LogTail &) = delete;
	LogTail &operator=(const LogTail &) = delete;

	/** Starts reading. */
	void Start();

	/**
	 * Replaces the state by one from a peer or a snapshot, if that has a higher offset and its rule version is
	 * supported.
	 * @param fleet The new state, its hash already checked.
	 * @return Whether the state was replaced.
	 */
	bool Adopt(FleetState fleet);

	/** @return State after the records applied. */
	[[nodiscard]] const FleetState &State() const { return this->fleet; }

	/** @return Phase of the reader. */
	[[nodiscard]] TailPhase Phase() const { return this->phase; }

	/** @return Time of the last answer of the log by the scheduler's clock. */
	[[nodiscard]] Millis LastAnswer() const { return this->last_answer; }

	/** @return Whether all records that the log had at its last answer are applied. */
	[[nodiscard]] bool CaughtUp() const { return this->phase == TailPhase::TP_FOLLOWING && this->caught_up; }

	/** @return Base offset of the newest complete snapshot in the log, 0 for none. */
	[[nodiscard]] LogOffset SnapshotBase() const { return this->collector.Base(); }

	/** @return Oldest offset that the log kept at its last answer. */
	[[nodiscard]] LogOffset Oldest() const { return this->oldest; }

private:
	Scheduler &scheduler;                      ///< Clock and timers.
	LogService &log;                           ///< The platform's log.
	OnRecord on_record;                        ///< Called after each applied record.
	TailTimings timings;                       ///< Delays and timeouts.
	FleetState fleet;                          ///< State after the records applied.
	SnapshotCollector collector;               ///< Snapshots found in the log.
	TailPhase phase = TailPhase::TP_FOLLOWING; ///< Phase of the reader.
	LogOffset next = LogOffset(1);             ///< Next offset to read.
	LogOffset oldest = LogOffset(1);           ///< Oldest offset that the log kept at its last answer.
	Millis last_answer = Millis(-MS_PER_DAY);  ///< Time of the last answer of the log.
	bool caught_up = false;                    ///< Whether all records of the last answer are applied up to the newest.
	uint64_t read_id = 0;                      ///< Number of the current read; answers to earlier reads are ignored.
	TimerId timer;                             ///< Timeout of a read, or delay before the next.
	std::shared_ptr<bool> alive;               ///< Set to false by the destructor, for callbacks that come later.

	void ReadNext();
	void ScheduleRead(Millis delay);
	void OnAnswer(uint64_t answered_id, const ReadAnswer &answer);
	void BeginJoin(const ReadAnswer &answer);
	void HandleRecord(const LogRecord &record);
	void FinishJoin();
};

#endif /* LOG_TAIL_H */
