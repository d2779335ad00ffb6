/** @file fleet_owner_bench.cpp Decision time of the fleet owner: a wave over half of the boxes, pool balancing. */
#include "bench_output.h"

#include "../upkeep/pool_balancer.h"

#include <array>
#include <chrono>

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::array<size_t, 3> FLEET_SIZES = {300, 1200, 5000}; ///< Fleet sizes in boxes.
constexpr size_t POOLS = 4;                                      ///< Pools that run jobs.
constexpr int DECISION_COUNT = 10;                               ///< Decisions that a measurement averages over.
constexpr Millis DECISION_INTERVAL(200);                         ///< Time between two decisions.
constexpr Resources BOX_CAPACITY{16000, 65536, 0};               ///< Resources of a box.
constexpr int64_t WAITING_CPU = 4000000; ///< Thousandths of a core that jobs of the first pool wait for.

ServiceName TestPoolName(size_t n)
{
	return ServiceName("pool" + std::to_string(n));
}

/** @return A fleet: in the first pool all boxes run jobs and more wait; in the others every second box runs jobs. */
FleetView MakeView(size_t boxes)
{
	FleetView view;
	for (size_t n = 0; n < boxes; n++) {
		MachineRow row;
		/* 7919 is a prime that divides no fleet size: names are distinct and out of order. */
		row.box = BoxName("machine-" + std::to_string(n * 7919 % boxes));
		row.pool = TestPoolName(n % POOLS);
		row.state = MachineState::MS_UP;
		row.capacity = BOX_CAPACITY;
		row.id = BoxId("life-" + std::to_string(n));
		PoolStatus &pool = view.pools[row.pool];
		const bool busy = n % POOLS == 0 || n / POOLS % 2 == 0;
		pool.boxes.push_back(PoolBox{row.box, BoxIncarnation{row.id, Millis(1)}, busy ? 5U : 0U,
									 busy ? BOX_CAPACITY.cpu / 2 : 0, BOX_CAPACITY.cpu, true});
		view.machines.push_back(row);
	}
	view.pools[TestPoolName(0)].waiting_cpu = WAITING_CPU;
	return view;
}

/** @return Mean time of a decision in microseconds. */
double MeasureDecision(size_t boxes)
{
	const FleetView view = MakeView(boxes);
	WavePlanner waves((WaveLimits()));
	PoolBalancer pools((PoolLimits()));
	WaveOrder order;
	order.number = 1;
	order.within = Millis(MS_PER_HOUR);
	order.down_max = static_cast<uint32_t>(boxes / 5);
	for (size_t n = 0; n < boxes; n += 2) {
		order.boxes.push_back(view.machines[n].box);
	}
	waves.Add(order, Millis(0));
	const auto begin = Clock::now();
	for (int n = 1; n <= DECISION_COUNT; n++) {
		const Millis now(n * DECISION_INTERVAL.Value());
		waves.SetExcluded(pools.Taken());
		waves.Decide(view, now);
		pools.Decide(view, waves.Taken(), now);
	}
	return std::chrono::duration<double, std::micro>(Clock::now() - begin).count() / DECISION_COUNT;
}

} // namespace

int RunFleetOwnerBench(const BenchOptions &options)
{
	for (const size_t boxes : FLEET_SIZES) {
		PrintFigure(
				{"fleet", std::to_string(boxes) + " boxes", "look", MeasureDecision(boxes), "us", "", 0, options.seed});
	}
	return 0;
}
