/** @file scheduler_type.h Interface for clock and timers, implemented by Qt's event loop in programs and by a
 * simulated clock in tests. */
#ifndef SCHEDULER_TYPE_H
#define SCHEDULER_TYPE_H

#include "strong_type.h"

#include <functional>
#include <map>

using TimerId = Strong<struct TimerIdTag, uint64_t>; ///< Id of a timer; 0 means none.

/** Clock and timers of one thread. Callbacks run on that thread and never from within After(). */
class Scheduler {
public:
	virtual ~Scheduler() = default;

	/** @return Monotonic time. */
	[[nodiscard]] virtual Millis Now() const = 0;

	/** @return Time since the Unix epoch, for values that are shared with other processes. */
	[[nodiscard]] virtual Millis WallNow() const = 0;

	/**
	 * Runs a function once after a delay.
	 * @param delay The delay; 0 runs it as soon as control returns to the event loop.
	 * @param run The function.
	 * @return Id of the timer, for Cancel().
	 */
	virtual TimerId After(Millis delay, std::function<void()> run) = 0;

	/**
	 * Cancels a timer. Does nothing when the timer has run or was cancelled.
	 * @param id The timer.
	 */
	virtual void Cancel(TimerId id) = 0;

	/**
	 * Queues a function to run on the scheduler's thread. The only member function that other threads may call.
	 * @param run The function.
	 */
	virtual void Post(std::function<void()> run) = 0;
};

/** Scheduler with a simulated clock. Timers that are due at the same time run in the order in which they were set. */
class VirtualScheduler : public Scheduler {
public:
	/**
	 * @param wall_start Wall clock at virtual time 0.
	 */
	explicit VirtualScheduler(Millis wall_start = Millis(0)) : wall_start(wall_start) {}

	[[nodiscard]] Millis Now() const override { return this->now; }
	[[nodiscard]] Millis WallNow() const override { return this->wall_start + this->now; }
	TimerId After(Millis delay, std::function<void()> run) override;
	void Cancel(TimerId id) override;
	void Post(std::function<void()> run) override { this->After(Millis(0), std::move(run)); }

	/**
	 * Runs all timers that are due up to a time, then sets the clock to that time.
	 * @param until The time.
	 */
	void RunUntil(Millis until);

	/**
	 * Runs the next timer and advances the clock to its time.
	 * @return False when there is no timer.
	 */
	bool RunNextTimer();

private:
	/** Key that orders timers by due time, then by id. */
	struct Due {
		Millis at;  ///< Due time.
		TimerId id; ///< Id of the timer.

		auto operator<=>(const Due &) const = default;
	};

	Millis wall_start;                           ///< Wall clock at virtual time 0.
	Millis now;                                  ///< Current virtual time.
	uint64_t last_id = 0;                        ///< Id of the last timer that was set.
	std::map<Due, std::function<void()>> timers; ///< Pending timers in the order in which they run.
	std::map<TimerId, Millis> due;               ///< Due time of each pending timer, for Cancel().
};

#endif /* SCHEDULER_TYPE_H */
