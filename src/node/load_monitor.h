/** @file load_monitor.h Decides from the busy time of the event loop whether this node is overloaded. */
#ifndef LOAD_MONITOR_H
#define LOAD_MONITOR_H

#include "../strong_type.h"

#include <deque>
#include <optional>

/** Source of the busy time of this node's event loop. */
class LoadSource {
public:
	virtual ~LoadSource() = default;

	/** @return Total time for which the event loop has been at work; nothing if it isn't measured. */
	[[nodiscard]] virtual std::optional<Millis> BusyTime() const = 0;
};

/** Load of this node over the last samples. */
class LoadMonitor {
public:
	/**
	 * Adds a sample. The first one only sets the start of the next one's interval.
	 * @param now Time of the sample.
	 * @param busy_total Total busy time of the event loop.
	 */
	void Add(Millis now, Millis busy_total);

	/** @return Whether there are enough samples to judge the load. */
	[[nodiscard]] bool Measured() const;
	/** @return Time for which the event loop was busy during the last samples, in percent. */
	[[nodiscard]] int64_t BusyPercent() const;
	/** @return Whether the event loop was almost always busy in each of the last samples. */
	[[nodiscard]] bool Overloaded() const;

private:
	/** Interval between two samples. */
	struct Interval {
		Millis span; ///< Its length.
		Millis busy; ///< Busy time in it.
	};

	std::optional<Millis> last_at;  ///< Time of the last sample.
	Millis last_busy;               ///< Total busy time at the last sample.
	std::deque<Interval> intervals; ///< Last intervals, oldest first, no more than needed to cover the window.

	/** @return Total length of the intervals. */
	[[nodiscard]] Millis Span() const;
};

#endif /* LOAD_MONITOR_H */
