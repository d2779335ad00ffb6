/** @file monotonic_clock.h Monotonic clock that includes the time during which the machine was suspended. */
#ifndef MONOTONIC_CLOCK_H
#define MONOTONIC_CLOCK_H

#include "../strong_type.h"

/** A clock that never moves backwards. */
class MonotonicClock {
public:
	virtual ~MonotonicClock() = default;

	/** @return Time since a fixed point before the start of the process. */
	[[nodiscard]] virtual Millis Now() const = 0;
};

/**
 * @return Clock of the time since the machine's boot, including suspended time. That time counts because, after a
 * suspension, an owner must neither act on a lease from before it nor answer callers that have disconnected since.
 */
const MonotonicClock &SystemClock();

#endif /* MONOTONIC_CLOCK_H */
