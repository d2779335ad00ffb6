/** @file optimum_bench.cpp Small fleets: moves of our planner after a change of floors against the fewest possible. */
#include "bench_output.h"
#include "fleet_world.h"

#include "../fleet/budget_func.h"
#include "../planner/planner_func.h"

#include <algorithm>

namespace {

constexpr uint32_t BOXES = 9;   ///< Boxes of a fleet: 3 zones of 3 racks.
constexpr uint32_t POOLS = 3;   ///< Pools.
constexpr uint32_t SLOTS = 8;   ///< Slots of a box.
constexpr int MOST_STEPS = 200; ///< Planning steps after which ours counts as not arrived.
constexpr uint64_t CASES = 200; ///< Changes of floors a seed.

/** A fleet of boxes in pools, and floors. */
struct Small {
	std::vector<Box> boxes;       ///< The boxes.
	std::vector<uint32_t> floors; ///< Floor of each pool's service.
};

PoolModel PictureOfPool(const Small &small, const std::vector<uint32_t> &assignment, uint32_t pool)
{
	PoolModel picture;
	picture.name = PoolName(PoolOf(pool));
	ServiceRow row;
	row.service = ServiceName(ServiceOf(pool));
	row.pool = picture.name;
	row.floor = Slots(small.floors[pool]);
	row.ceiling = Slots(SLOTS * BOXES);
	row.guard = Guard::GD_ZONE;
	picture.rows.push_back(row);
	for (size_t i = 0; i < small.boxes.size(); i++) {
		if (assignment[i] == pool) {
			picture.boxes.push_back(small.boxes[i]);
		}
	}
	return picture;
}

bool Holds(const Small &small, const std::vector<uint32_t> &assignment)
{
	for (uint32_t pool = 0; pool < POOLS; pool++) {
		const PoolModel picture = PictureOfPool(small, assignment, pool);
		if (!FloorsHold(CapacityOf(picture), FloorsOf(picture), true)) {
			return false;
		}
	}
	return true;
}

/** Tries every assignment. */
uint32_t FewestMoves(const Small &small, const std::vector<uint32_t> &from)
{
	uint32_t best = UINT32_MAX;
	std::vector<uint32_t> assignment(BOXES, 0);
	while (true) {
		uint32_t moves = 0;
		for (uint32_t i = 0; i < BOXES; i++) {
			moves += assignment[i] != from[i] ? 1 : 0;
		}
		if (moves < best && Holds(small, assignment)) {
			best = moves;
		}
		uint32_t place = 0;
		while (place < BOXES && ++assignment[place] == POOLS) {
			assignment[place++] = 0;
		}
		if (place == BOXES) {
			return best;
		}
	}
}

/** Lets the planner move boxes, each move carried out at once, until guards hold or nothing moves any more. */
uint32_t OurMoves(const Small &small, std::vector<uint32_t> assignment, bool &arrived)
{
	PlannerPolicy policy = GreenhousePolicy();
	policy.blocked_lead = Millis(0);
	uint32_t moves = 0;
	for (int step = 0; step < MOST_STEPS; step++) {
		PoolDraft draft;
		for (uint32_t pool = 0; pool < POOLS; pool++) {
			draft[PoolName(PoolOf(pool))] = PictureOfPool(small, assignment, pool);
		}
		const std::vector<Proposal> proposals = PlanMoves(draft, Millis(0), policy, {});
		if (proposals.empty()) {
			break;
		}
		const auto *grant = proposals.front()->change.AsPermitGrant();
		const auto box = std::ranges::find(small.boxes, BoxName(grant->box), &Box::name);
		for (uint32_t pool = 0; pool < POOLS; pool++) {
			if (PoolOf(pool) == grant->move_to) {
				assignment[static_cast<size_t>(box - small.boxes.begin())] = pool;
			}
		}
		moves++;
	}
	arrived = Holds(small, assignment);
	return moves;
}

} // namespace

int RunOptimumBench(const BenchOptions &options)
{
	Dice dice(options.seed);
	Small small;
	for (uint32_t i = 0; i < BOXES; i++) {
		Box box;
		box.name = BoxName("box-" + std::to_string(i));
		box.SetDomains(ZoneName(std::to_string(i / 3)), RackName(std::to_string(i)));
		box.slots = Slots(SLOTS);
		box.health = BoxHealth::BH_UP;
		small.boxes.push_back(box);
	}
	uint64_t fewest = 0;
	uint64_t ours = 0;
	uint64_t counted = 0;
	uint64_t missed = 0;
	const uint64_t cases = options.quick ? CASES / 10 : CASES;
	while (counted + missed < cases) {
		std::vector<uint32_t> from;
		for (uint32_t i = 0; i < BOXES; i++) {
			from.push_back(i % POOLS);
		}
		std::ranges::for_each(
				from, [&](uint32_t &it) { it = dice.Below(4) == 0 ? static_cast<uint32_t>(dice.Below(POOLS)) : it; });
		small.floors.clear();
		for (uint32_t pool = 0; pool < POOLS; pool++) {
			small.floors.push_back(static_cast<uint32_t>(dice.Below(4)) * SLOTS);
		}
		const uint32_t best = FewestMoves(small, from);
		if (best == 0 || best == UINT32_MAX) {
			continue; /* Nothing to do, or nothing would help. */
		}
		bool arrived = false;
		const uint32_t moves = OurMoves(small, from, arrived);
		if (!arrived) {
			missed++;
			continue;
		}
		fewest += best;
		ours += moves;
		counted++;
	}
	const auto print = [&](const char *figure, double value, const char *unit, double ratio) {
		PrintFigure({"optimum", "9_boxes_3_pools", figure, value, unit, ratio == 0 ? "" : "fewest_possible", ratio,
					 options.seed});
	};
	print("moves", static_cast<double>(ours), "moves",
		  static_cast<double>(ours) / static_cast<double>(std::max<uint64_t>(fewest, 1)));
	print("cases", static_cast<double>(counted), "changes of floors", 0);
	print("not_arrived", static_cast<double>(missed), "changes of floors", 0);
	return 0;
}
