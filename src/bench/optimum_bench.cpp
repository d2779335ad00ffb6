/** @file optimum_bench.cpp Small fleets: box moves by the planner after a change of floors, and the fewest possible. */
#include "bench_output.h"
#include "simulated_fleet.h"

#include "../fleet/budget_func.h"
#include "../planner/planner_func.h"

#include <algorithm>

namespace {

constexpr uint32_t BOXES = 9;            ///< Boxes of a fleet: 3 zones with 3 racks of one box each.
constexpr uint32_t POOLS = 3;            ///< Pools.
constexpr uint32_t SLOTS = 8;            ///< Slots of a box.
constexpr int MAX_STEPS = 200;           ///< Maximum of planning steps; floors not met by then count as missed.
constexpr uint64_t CASES_PER_SEED = 200; ///< Changes of floors in a run.

/** Boxes and floors. The pools of the boxes are given apart, by an assignment: the pool index of each box. */
struct SmallFleet {
	std::vector<Box> boxes;       ///< Boxes of all pools.
	std::vector<uint32_t> floors; ///< Floor of each pool's service.
};

/** @return Model of a pool with one service and the boxes that are assigned to it. */
PoolModel ModelOfPool(const SmallFleet &fleet, const std::vector<uint32_t> &assignment, uint32_t pool)
{
	PoolModel model;
	model.name = PoolName(PoolNameOf(pool));
	ServiceRow row;
	row.service = ServiceName(ServiceNameOf(pool));
	row.pool = model.name;
	row.floor = Slots(fleet.floors[pool]);
	row.ceiling = Slots(SLOTS * BOXES);
	row.guard = Guard::GD_ZONE;
	model.rows.push_back(row);
	for (size_t i = 0; i < fleet.boxes.size(); i++) {
		if (assignment[i] == pool) {
			model.boxes.push_back(fleet.boxes[i]);
		}
	}
	return model;
}

/** @return Whether every pool meets its floor, also after the loss of a zone. */
bool AllFloorsHold(const SmallFleet &fleet, const std::vector<uint32_t> &assignment)
{
	for (uint32_t pool = 0; pool < POOLS; pool++) {
		const PoolModel model = ModelOfPool(fleet, assignment, pool);
		if (!FloorsHold(CapacityOf(model), FloorsOf(model), true)) {
			return false;
		}
	}
	return true;
}

/** @return Fewest moves to an assignment that meets all floors, by trying every one; UINT32_MAX if there is none. */
uint32_t FewestMoves(const SmallFleet &fleet, const std::vector<uint32_t> &initial)
{
	uint32_t best = UINT32_MAX;
	std::vector<uint32_t> assignment(BOXES, 0);
	while (true) {
		uint32_t moves = 0;
		for (uint32_t i = 0; i < BOXES; i++) {
			moves += assignment[i] != initial[i] ? 1 : 0;
		}
		if (moves < best && AllFloorsHold(fleet, assignment)) {
			best = moves;
		}
		/* The next assignment: counts up in base POOLS. */
		uint32_t digit = 0;
		while (digit < BOXES && ++assignment[digit] == POOLS) {
			assignment[digit++] = 0;
		}
		if (digit == BOXES) {
			return best;
		}
	}
}

/**
 * Plans moves until the planner proposes none; of each planning step, the first move is carried out at once.
 * @param fleet Boxes and floors.
 * @param assignment Index of each box's pool at the start.
 * @param[out] floors_hold Whether all floors are met in the end.
 * @return Number of moves.
 */
uint32_t PlannerMoves(const SmallFleet &fleet, std::vector<uint32_t> assignment, bool &floors_hold)
{
	PlannerPolicy policy = GreenhousePolicy();
	policy.blocked_lead = Millis(0);
	uint32_t moves = 0;
	for (int step = 0; step < MAX_STEPS; step++) {
		PoolDraft draft;
		for (uint32_t pool = 0; pool < POOLS; pool++) {
			draft[PoolName(PoolNameOf(pool))] = ModelOfPool(fleet, assignment, pool);
		}
		const std::vector<Proposal> proposals = PlanMoves(draft, Millis(0), policy, {});
		if (proposals.empty()) {
			break;
		}
		const auto *grant = proposals.front()->change.AsPermitGrant();
		const auto box = std::ranges::find(fleet.boxes, BoxName(grant->box), &Box::name);
		for (uint32_t pool = 0; pool < POOLS; pool++) {
			if (PoolNameOf(pool) == grant->move_to) {
				assignment[static_cast<size_t>(box - fleet.boxes.begin())] = pool;
			}
		}
		moves++;
	}
	floors_hold = AllFloorsHold(fleet, assignment);
	return moves;
}

} // namespace

int RunOptimumBench(const BenchOptions &options)
{
	RandomSource rng(options.seed);
	SmallFleet fleet;
	for (uint32_t i = 0; i < BOXES; i++) {
		Box box;
		box.name = BoxName("box-" + std::to_string(i));
		box.SetDomains(ZoneName(std::to_string(i / 3)), RackName(std::to_string(i)));
		box.slots = Slots(SLOTS);
		box.health = BoxHealth::BH_UP;
		fleet.boxes.push_back(box);
	}
	uint64_t fewest_moves = 0;
	uint64_t planner_moves = 0;
	uint64_t counted_cases = 0;
	uint64_t missed_cases = 0;
	const uint64_t cases = options.quick ? CASES_PER_SEED / 10 : CASES_PER_SEED;
	while (counted_cases + missed_cases < cases) {
		std::vector<uint32_t> initial;
		for (uint32_t i = 0; i < BOXES; i++) {
			initial.push_back(i % POOLS);
		}
		/* Each box starts in a random pool with a probability of a quarter. */
		std::ranges::for_each(initial, [&](uint32_t &it) {
			it = rng.UniformBelow(4) == 0 ? static_cast<uint32_t>(rng.UniformBelow(POOLS)) : it;
		});
		fleet.floors.clear();
		for (uint32_t pool = 0; pool < POOLS; pool++) {
			fleet.floors.push_back(static_cast<uint32_t>(rng.UniformBelow(4)) * SLOTS);
		}
		const uint32_t best = FewestMoves(fleet, initial);
		if (best == 0 || best == UINT32_MAX) {
			continue; /* The floors are already met, or no assignment meets them. */
		}
		bool floors_hold = false;
		const uint32_t moves = PlannerMoves(fleet, initial, floors_hold);
		if (!floors_hold) {
			missed_cases++;
			continue;
		}
		fewest_moves += best;
		planner_moves += moves;
		counted_cases++;
	}
	const auto print = [&](const char *figure, double value, const char *unit, double ratio) {
		PrintFigure({"optimum", "9_boxes_3_pools", figure, value, unit, ratio == 0 ? "" : "fewest_possible", ratio,
					 options.seed});
	};
	print("moves", static_cast<double>(planner_moves), "moves",
		  static_cast<double>(planner_moves) / static_cast<double>(std::max<uint64_t>(fewest_moves, 1)));
	print("cases", static_cast<double>(counted_cases), "changes of floors", 0);
	print("not_arrived", static_cast<double>(missed_cases), "changes of floors", 0);
	return 0;
}
