/** @file scheduler_type.h Clock and timers behind one interface: Qt's event loop in programs, a virtual one in tests.
 */
#ifndef SCHEDULER_TYPE_H
#define SCHEDULER_TYPE_H

#include "strong_type.h"

#include <functional>
#include <map>

using TimerId = Strong<struct TimerIdTag, uint64_t>; ///< A timer that was set; 0 is "none".

/** Clock and timers of one thread. Callbacks run on that thread, never inside After(). */
class Scheduler {
public:
	virtual ~Scheduler() = default;

	/** @return Monotonic time. */
	[[nodiscard]] virtual Millis Now() const = 0;

	/** @return Time since 1970, for what other processes see. */
	[[nodiscard]] virtual Millis WallNow() const = 0;

	/**
	 * Runs a function once, later.
	 * @param delay How much later, 0 for as soon as the caller has returned.
	 * @param run The function.
	 * @return For Cancel().
	 */
	virtual TimerId After(Millis delay, std::function<void()> run) = 0;

	/**
	 * Cancels a timer; one that ran or was cancelled before is ignored.
	 * @param id The timer.
	 */
	virtual void Cancel(TimerId id) = 0;

	/**
	 * Runs a function soon on the scheduler's thread. The only member that other threads may call.
	 * @param run The function.
	 */
	virtual void Post(std::function<void()> run) = 0;
};

/** A scheduler whose time is moved by hand. Timers of the same moment run in the order in which they were set. */
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
	 * Runs everything that is due until a moment, then stands at that moment.
	 * @param until The moment.
	 */
	void RunUntil(Millis until);

	/**
	 * Runs the next timer.
	 * @return False when there is none.
	 */
	bool RunNextTimer();

private:
	/** When a timer is due, and in which order among those of the moment. */
	struct Due {
		Millis at;  ///< The moment.
		TimerId id; ///< The order.

		auto operator<=>(const Due &) const = default;
	};

	Millis wall_start;                           ///< Wall clock at virtual time 0.
	Millis now;                                  ///< Virtual time.
	uint64_t last_id = 0;                        ///< Last timer handed out.
	std::map<Due, std::function<void()>> timers; ///< What is to run, in order.
	std::map<TimerId, Millis> due;               ///< Moment of each timer, for Cancel().
};

#endif /* SCHEDULER_TYPE_H */
