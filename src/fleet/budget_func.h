/** @file budget_func.h Availability budgets: whether one more box of a pool may be taken down for planned work. */
#ifndef BUDGET_FUNC_H
#define BUDGET_FUNC_H

#include "fleet_base.h"

#include <map>
#include <vector>

/** Services and boxes of a pool. The boxes are copies: planners change them to evaluate steps that they propose. */
struct PoolModel {
	PoolName name;                ///< The pool.
	std::vector<ServiceRow> rows; ///< Rows of the services in the pool.
	std::vector<Box> boxes;       ///< Boxes of the pool, sorted by name.
};

/** Capacity of a pool in slots, and the largest loss per failure domain. */
struct PoolCapacity {
	uint64_t up = 0;           ///< Slots of the boxes that accept new work.
	uint64_t largest_box = 0;  ///< Slots of the largest such box.
	uint64_t largest_rack = 0; ///< Slots of the largest rack among them.
	uint64_t largest_zone = 0; ///< Slots of the largest availability zone among them.

	/**
	 * @param guard Kind of failure domain.
	 * @return Slots lost when the largest domain of this kind fails, 0 for GD_NONE.
	 */
	[[nodiscard]] uint64_t LossOf(Guard guard) const;
};

/** Floors of a pool's services in slots, summed by the failure that they must survive. A floor that must survive the
 * loss of a zone must survive the loss of a rack or box too, so it is part of several sums. */
struct PoolFloors {
	uint64_t must_survive[4] = {0, 0, 0, 0}; ///< Sum of the floors with this guard or a stricter one; index: Guard.

	/** @return Sum of all floors in slots. */
	[[nodiscard]] uint64_t All() const { return this->must_survive[static_cast<int>(Guard::GD_NONE)]; }
};

/**
 * @param box A box.
 * @return Whether it accepts new work: its state is BS_SERVING and its health BH_UP.
 */
bool TakesWork(const Box &box);

/**
 * @param fleet The state.
 * @param pool A pool.
 * @return The pool with its boxes and services.
 */
PoolModel PoolModelOf(const FleetState &fleet, const PoolName &pool);

/**
 * Builds the models of all pools in one pass: pools named by a row of the table and pools that have boxes.
 * @param fleet The state.
 * @return Models by pool name.
 */
std::map<PoolName, PoolModel> PoolModelsOf(const FleetState &fleet);

/**
 * Sums the capacity of a pool.
 * @param pool The pool.
 * @param excluded Name of a box that is counted as down, or null.
 * @return Sums over the boxes that accept new work.
 */
PoolCapacity CapacityOf(const PoolModel &pool, const BoxName *excluded = nullptr);

/**
 * @param pool The pool.
 * @return Floors of its services.
 */
PoolFloors FloorsOf(const PoolModel &pool);

/**
 * @param capacity Capacity of a pool.
 * @param floors Floors of its services.
 * @param with_headroom Whether the floors must also hold after the failure that their guards name.
 * @return Whether the floors hold.
 */
bool FloorsHold(const PoolCapacity &capacity, const PoolFloors &floors, bool with_headroom);

/**
 * Computes the slots that a pool must keep idle for its guards: the largest loss among the guards of services with a
 * floor. A pool that has this headroom on top of all floors also passes FloorsHold(), which counts for each failure
 * only the floors that must survive it.
 * @param capacity Capacity of the pool.
 * @param floors Floors of its services.
 * @return Headroom in slots.
 */
uint64_t HeadroomOf(const PoolCapacity &capacity, const PoolFloors &floors);

/**
 * Checks whether a box may be taken down for planned work. Boxes that take no work for any reason (permit, set aside,
 * failed, leaving, unknown health) have no capacity and count against the budgets of their zone and rack. Urgent
 * permits may use the headroom reserved for the next failure, but never go below the floors.
 * @param pool The pool of the box.
 * @param box The box; the check counts it as down, whatever its state.
 * @param urgent Whether the permit is of the urgent class.
 * @return RC_OK, RC_BUDGET_FLOOR, RC_BUDGET_ZONE or RC_BUDGET_RACK.
 */
Result CheckBudget(const PoolModel &pool, const Box &box, bool urgent);

#endif /* BUDGET_FUNC_H */
