/** @file stated_waits.h Waiting times that callers state, to tell first attempts from retries. */
#ifndef STATED_WAITS_H
#define STATED_WAITS_H

#include "../strong_type.h"

#include <array>
#include <cstddef>

/**
 * Waiting times stated in the latest submissions of a client account on a route. Retries state the time that is left,
 * so that the longest of them is taken as that of a first attempt. A few far longer ones are passed over: they are of
 * callers that state something else.
 */
class StatedWaits {
public:
	/** Adds the time that a submission states. @param wait The time. */
	void Add(Millis wait);
	/** @return Waiting time of a first attempt, as far as known: one submission of 16 states it or a longer one. */
	[[nodiscard]] Millis FirstAttempt() const;

private:
	static constexpr size_t KEPT = 64; ///< Number of submissions that count.

	std::array<Millis, KEPT> waits{}; ///< Times of the latest submissions.
	size_t count = 0;                 ///< Number of submissions so far.
};

#endif /* STATED_WAITS_H */
