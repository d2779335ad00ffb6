/** @file qt_scheduler.h Clock and timers on Qt's event loop of one thread. */
#ifndef QT_SCHEDULER_H
#define QT_SCHEDULER_H

#include "../scheduler_type.h"
#include "monotonic_clock.h"

#include <QElapsedTimer>
#include <QObject>
#include <QTimer>

/** Scheduler of the thread that makes it. One Qt timer serves all of ours. */
class QtScheduler : public Scheduler {
public:
	/** @param clock What it goes by; outlives this. */
	explicit QtScheduler(const MonotonicClock &clock = SystemClock());

	[[nodiscard]] Millis Now() const override;
	[[nodiscard]] Millis WallNow() const override;
	TimerId After(Millis delay, std::function<void()> run) override;
	void Cancel(TimerId id) override;
	void Post(std::function<void()> run) override;

	/**
	 * Notices pauses of the process: timers that run much too late.
	 * @return When the process last went on after a pause.
	 */
	[[nodiscard]] Millis ResumedAt();

	/** @return Object that lives on the scheduler's thread. */
	[[nodiscard]] QObject *Context() { return &this->context; }

private:
	/** When a timer is due, and in which order among those of the moment. */
	struct Due {
		Millis at;  ///< The moment.
		TimerId id; ///< The order.

		auto operator<=>(const Due &) const = default;
	};

	const MonotonicClock &clock;                 ///< What it goes by.
	QObject context;                             ///< Lives on the thread.
	QTimer timer;                                ///< Rings for the earliest of ours.
	uint64_t last_id = 0;                        ///< Last timer handed out.
	std::map<Due, std::function<void()>> timers; ///< What is to run, in order.
	std::map<TimerId, Millis> due;               ///< Moment of each, for Cancel().
	Millis paused_at{-1000000};                  ///< For ResumedAt(); long ago at the start.
	Millis armed;                                ///< Moment for which the Qt timer is set.

	void Arm();
	void NotePause();
	void RunDue();
};

#endif /* QT_SCHEDULER_H */
