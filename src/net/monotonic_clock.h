/** @file monotonic_clock.h Clock that never goes back and counts also the time for which the machine was suspended. */
#ifndef MONOTONIC_CLOCK_H
#define MONOTONIC_CLOCK_H

#include "../strong_type.h"

/** A clock that never goes back. */
class MonotonicClock {
public:
	virtual ~MonotonicClock() = default;

	/** @return Time since some moment before the process began. */
	[[nodiscard]] virtual Millis Now() const = 0;
};

/**
 * @return The machine's clock since it was started, with the time for which it was suspended. An owner that slept must
 * not act by the right that it had before, nor answer callers who have left meanwhile.
 */
const MonotonicClock &SystemClock();

#endif /* MONOTONIC_CLOCK_H */
