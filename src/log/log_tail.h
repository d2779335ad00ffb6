/** @file log_tail.h Follows the platform's log: joins by snapshot or from the start, folds, survives outages. */
#ifndef LOG_TAIL_H
#define LOG_TAIL_H

#include "../fleet/snapshot_func.h"
#include "../scheduler_type.h"
#include "log_service.h"

#include <functional>
#include <memory>

/** How a tail stands. */
enum class TailPhase : uint8_t {
	TP_JOINING = 0,   ///< No state that continues into what the log keeps; looking for a snapshot.
	TP_FOLLOWING = 1, ///< Folding record by record.
	TP_HALTED = 2,    ///< Rules in force are newer than this program.
};

/** Waits of a tail. */
struct TailPace {
	Millis poll = Millis(50);      ///< Wait after a read that brought nothing.
	Millis retry = Millis(200);    ///< Wait after a read that failed.
	Millis timeout = Millis(5000); ///< A read without an answer for so long counts as failed.
};

/** Reads the log and folds it. The state only ever moves to higher offsets. */
class LogTail {
public:
	using OnRecord = std::function<void(const std::vector<Decision> &)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The platform's log.
	 * @param on_record Called after each folded record with its decisions.
	 * @param pace Waits.
	 */
	LogTail(Scheduler &scheduler, LogService &log, OnRecord on_record, TailPace pace = {});
	~LogTail();
	LogTail(const LogTail &) = delete;
	LogTail &operator=(const LogTail &) = delete;

	/** Begins to read. */
	void Start();

	/**
	 * Takes over a state from a peer, if it is ahead of ours.
	 * @param fleet The state; its hash was checked.
	 * @return Whether it was taken.
	 */
	bool Adopt(FleetState fleet);

	/** @return The state folded so far. */
	[[nodiscard]] const FleetState &State() const { return this->fleet; }

	/** @return How the tail stands. */
	[[nodiscard]] TailPhase Phase() const { return this->phase; }

	/** @return When the log last answered, by the scheduler's clock. */
	[[nodiscard]] Millis LastAnswer() const { return this->last_answer; }

	/** @return Whether everything that the log had at the last answer is folded. */
	[[nodiscard]] bool CaughtUp() const { return this->phase == TailPhase::TP_FOLLOWING && this->caught_up; }

	/** @return Base of the newest complete snapshot seen in the log. */
	[[nodiscard]] LogOffset SnapshotBase() const { return this->collector.Base(); }

	/** @return Oldest offset that the log kept at the last answer. */
	[[nodiscard]] LogOffset Oldest() const { return this->oldest; }

private:
	Scheduler &scheduler;                      ///< Clock and timers.
	LogService &log;                           ///< The platform's log.
	OnRecord on_record;                        ///< Told of each folded record.
	TailPace pace;                             ///< Waits.
	FleetState fleet;                          ///< The state.
	SnapshotCollector collector;               ///< Snapshots seen.
	TailPhase phase = TailPhase::TP_FOLLOWING; ///< How the tail stands.
	LogOffset next = LogOffset(1);             ///< Next offset to read.
	LogOffset oldest = LogOffset(1);           ///< Oldest kept by the log.
	Millis last_answer = Millis(-MS_PER_DAY);  ///< When the log last answered.
	bool caught_up = false;                    ///< Whether all that the log had is folded.
	uint64_t round = 0;                        ///< Counts reads; answers of older ones are ignored.
	TimerId timer;                             ///< Timeout or pause.
	std::shared_ptr<bool> alive;               ///< False once this is gone.

	void ReadOn();
	void ReadAfter(Millis delay);
	void OnAnswer(uint64_t of_round, const ReadAnswer &answer);
	void BeginJoin(const ReadAnswer &answer);
	void Take(const LogRecord &record);
	void FinishJoin();
};

#endif /* LOG_TAIL_H */
