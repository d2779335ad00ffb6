/** @file drain_choice.cpp Which boxes to drain for a move to another pool, and how long a drain goes on. */
#include "drain_choice.h"

#include <algorithm>
#include <limits>

bool MayDrain(const PoolBox &box, size_t pool_size, const DrainLimits &limits)
{
	const bool late_only = box.used_cpu == box.late_cpu;
	if (late_only) {
		return !box.ends_in || *box.ends_in <= limits.late_within;
	}
	return pool_size >= limits.on_time_pool_min && box.ends_in && *box.ends_in <= limits.on_time_within;
}

void SortForDraining(std::vector<const PoolBox *> &boxes)
{
	std::ranges::stable_sort(boxes, std::ranges::greater{}, [](const PoolBox *it) {
		return it->ends_in.value_or(Millis(std::numeric_limits<int64_t>::max()));
	});
}

bool DrainGoesOn(const PoolBox *box, Millis age, const DrainLimits &limits)
{
	if (box != nullptr && box->placing) {
		return age <= limits.no_effect_max;
	}
	/* Without an answer nothing is known to have changed. A new owner of the pool is told of the drain as well. */
	if (box == nullptr || box->tasks == 0) {
		return age <= limits.longest;
	}
	return box->ends_in ? age + *box->ends_in <= limits.longest : age <= limits.unknown_end_max;
}
