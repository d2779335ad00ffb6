/** @file qt_scheduler.h Clock and timers on the Qt event loop of a thread. */
#ifndef QT_SCHEDULER_H
#define QT_SCHEDULER_H

#include "../scheduler_type.h"
#include "monotonic_clock.h"

#include <QElapsedTimer>
#include <QObject>
#include <QTimer>

/** Scheduler of the thread that creates it. A single Qt timer drives all timers. */
class QtScheduler : public Scheduler {
public:
	/** @param clock Time source; outlives this object. */
	explicit QtScheduler(const MonotonicClock &clock = SystemClock());

	[[nodiscard]] Millis Now() const override;
	[[nodiscard]] Millis WallNow() const override;
	TimerId After(Millis delay, std::function<void()> run) override;
	void Cancel(TimerId id) override;
	void Post(std::function<void()> run) override;

	/**
	 * Detects pauses of the process by overdue timers.
	 * @return Time when the process last resumed after a pause; far in the past if there was none.
	 */
	[[nodiscard]] Millis ResumedAt();

	/** @return Object that lives on the scheduler's thread. */
	[[nodiscard]] QObject *Context() { return &this->context; }

private:
	/** Sort key of a timer: expiry time, then id. */
	struct TimerKey {
		Millis at;  ///< Expiry time.
		TimerId id; ///< Id, in order of creation.

		auto operator<=>(const TimerKey &) const = default;
	};

	const MonotonicClock &clock;                      ///< Time source.
	QObject context;                                  ///< Lives on the scheduler's thread; receives posted functions.
	QTimer qt_timer;                                  ///< Fires at the earliest expiry.
	uint64_t last_id = 0;                             ///< Id of the last timer created.
	std::map<TimerKey, std::function<void()>> timers; ///< Functions to run, earliest first.
	std::map<TimerId, Millis> expiry_times;           ///< Expiry time by id, for Cancel().
	Millis resumed_at{-1000000};                      ///< Time of the last resumption; initially far in the past.
	Millis armed_for;                                 ///< Time for which the Qt timer is set.

	void Arm();
	void DetectPause();
	void RunDue();
};

#endif /* QT_SCHEDULER_H */
