/** @file drain_choice.h Which boxes to drain for a move to another pool, and how long a drain goes on. No I/O. */
#ifndef DRAIN_CHOICE_H
#define DRAIN_CHOICE_H

#include "../jobs/shard_type.h"

/** Limits of drains for moves between pools. */
struct DrainLimits {
	/** Longest expected time until a box that runs only late jobs is empty, for its drain to begin. A move takes at
	 * least 1.5 s more, and a peak lasts several seconds. */
	Millis late_within = Millis(2500);
	/** The same for a box with jobs that can still be on time. Its free room is lost to its pool meanwhile. */
	Millis on_time_within = Millis(1000);
	Millis no_effect_max = Millis(1500); ///< Longest drain of a box that still accepts tasks.
	/** Smallest pool, in boxes, whose boxes with jobs on time are drained. In a smaller one each closed box is a
	 * noticeable part of the room that its own jobs need when their demand varies. */
	size_t on_time_pool_min = 32;
	Millis unknown_end_max = Millis(1500); ///< Longest drain of a box whose expected end is unknown.
	Millis longest = Millis(4000);         ///< Longest drain. One that is expected to take longer is cancelled.
	/** A drain isn't cancelled for this long after an order to move its box was decided: the order may still be sent,
	 * and would end tasks that have been placed there. Longer than MAX_RECORD_TIME of the fleet owner. */
	Millis order_within = Millis(1200);
};

/** Counts of drains for moves between pools, for metrics and logs. */
struct DrainCounters {
	uint64_t begun = 0;     ///< Drains that were begun.
	uint64_t ended = 0;     ///< Drains that ended with an order to move the box.
	uint64_t cancelled = 0; ///< Drains that were cancelled.

	bool operator==(const DrainCounters &) const = default;
};

/** @return Whether the drain of a box with tasks may begin. @param box The box. @param pool_size Number of boxes of its
 * pool. @param limits Limits of drains. */
bool MayDrain(const PoolBox &box, size_t pool_size, const DrainLimits &limits);
/** Sorts boxes so that the one with the earliest expected end is last; those without a known end come first. @param
 * boxes The boxes. */
void SortForDraining(std::vector<const PoolBox *> &boxes);
/** @return Whether a drain goes on. @param box The box as reported by its pool's owner, or null without an answer.
 * @param age Time since the drain was chosen. @param limits Limits of drains. */
bool DrainGoesOn(const PoolBox *box, Millis age, const DrainLimits &limits);

#endif /* DRAIN_CHOICE_H */
