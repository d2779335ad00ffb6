/** @file budget_func.h Availability budgets: whether one more box of a pool may go down by plan. */
#ifndef BUDGET_FUNC_H
#define BUDGET_FUNC_H

#include "fleet_base.h"

#include <map>
#include <vector>

/** A pool as budgets see it. Planners change the copies of the boxes to see where a step would lead. */
struct PoolModel {
	PoolName name;                ///< The pool.
	std::vector<ServiceRow> rows; ///< Services that it serves.
	std::vector<Box> boxes;       ///< Its boxes, by name.
};

/** Capacity of a pool in slots, and the largest loss per failure domain. */
struct PoolCapacity {
	uint64_t up = 0;           ///< Slots of boxes that take work.
	uint64_t largest_box = 0;  ///< Slots of the largest such box.
	uint64_t largest_rack = 0; ///< Slots of the largest rack among them.
	uint64_t largest_zone = 0; ///< Slots of the largest availability zone among them.

	/**
	 * @param guard A failure domain.
	 * @return The largest loss of that kind.
	 */
	[[nodiscard]] uint64_t LossOf(Guard guard) const;
};

/** Floors of a pool's services, by what they must survive. */
struct PoolFloors {
	uint64_t at_least[4] = {0, 0, 0, 0}; ///< Sum of the floors of services with this guard or a stricter one.

	/** @return Sum of all floors. */
	[[nodiscard]] uint64_t All() const { return this->at_least[static_cast<int>(Guard::GD_NONE)]; }
};

/**
 * @param box A box.
 * @return Whether it takes work: serving, and known to be up.
 */
bool TakesWork(const Box &box);

/**
 * @param fleet The state.
 * @param pool A pool.
 * @return The pool with its boxes and services.
 */
PoolModel PoolModelOf(const FleetState &fleet, const PoolName &pool);

/**
 * All pools in one pass: those that rows name and those that boxes are in.
 * @param fleet The state.
 * @return Pictures by pool.
 */
std::map<PoolName, PoolModel> PoolModelsOf(const FleetState &fleet);

/**
 * Capacity of a pool.
 * @param pool The pool.
 * @param without A box counted as down, or null.
 * @return Sums over boxes that take work.
 */
PoolCapacity CapacityOf(const PoolModel &pool, const BoxName *without = nullptr);

/**
 * @param pool The pool.
 * @return Floors of its services.
 */
PoolFloors FloorsOf(const PoolModel &pool);

/**
 * @param capacity Capacity of a pool.
 * @param floors Floors of its services.
 * @param with_headroom Whether the guards count too; without, the bare floors.
 * @return Whether the floors hold.
 */
bool FloorsHold(const PoolCapacity &capacity, const PoolFloors &floors, bool with_headroom);

/**
 * Slots that a pool must hold idle for its guards: the loss of the strictest guard of a service with a floor.
 * @param capacity Capacity of the pool.
 * @param floors Floors of its services.
 * @return Slots.
 */
uint64_t HeadroomOf(const PoolCapacity &capacity, const PoolFloors &floors);

/**
 * Checks whether a box may go down by plan. Boxes down for any reason count, unknown counts as down. The urgent
 * class may use up the headroom for the next failure, never the floors.
 * @param pool The pool of the box.
 * @param box The box.
 * @param urgent Whether the permit is of the urgent class.
 * @return RC_OK, RC_BUDGET_FLOOR, RC_BUDGET_ZONE or RC_BUDGET_RACK.
 */
Result CheckBudget(const PoolModel &pool, const Box &box, bool urgent);

#endif /* BUDGET_FUNC_H */
