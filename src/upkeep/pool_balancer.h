/** @file pool_balancer.h Decides on moves of boxes between pools and the reserve, by the pools' demand. No I/O. */
#ifndef POOL_BALANCER_H
#define POOL_BALANCER_H

#include "demand_forecast.h"
#include "drain_choice.h"
#include "wave_planner.h"

#include <deque>

/** Limits of moves, balanced for the prices of the greenhouse site: see docs/design/consortium.md. */
struct PoolLimits {
	double waiting_weight = 1.0;          ///< Fraction of the waiting tasks' CPU that counts as demand.
	double headroom_factor = 1.15;        ///< Capacity wanted, as a multiple of the CPU in use.
	Millis growth_horizon = Millis(1800); ///< Demand is extrapolated this far ahead: a move takes at least 1.5 s.
	double floor_share = 0.4;             ///< Fraction of an even share of all CPU that a pool keeps for sudden demand.
	Millis rise_window = Millis(10000); ///< Longest time in which a rise of a pool's demand to its peak is looked for.
	/** Time over which the largest rise of a pool's demand is taken: longer than a cycle of the pools' peaks. */
	Millis demand_window = Millis(90000);
	/** Boxes that a pool keeps beyond its demand after a rise like the largest one, as a multiple of its square root in
	 * boxes. The demand of many independent jobs varies by about the square root of their number, so a large pool keeps
	 * a smaller part of its boxes idle than a small one. */
	double safety_factor = 4.0;
	/** Fraction of a pool's boxes, at least one, that begin to move to the reserve at one decision: few enough that a
	 * rise of its demand is seen meanwhile. */
	double release_share = 0.05;
	/** Fraction of the idle boxes of pools whose peak is over, at least one, that begin to move to the pools that are
	 * expected to rise next at one decision; 0 for none. */
	double spread_share = 0;
	DrainLimits drain;                   ///< Limits of drains.
	Millis order_timeout = Millis(1500); ///< A move from a reserve that wasn't ordered after this time is cancelled.
	Millis move_timeout = Millis(6000);  ///< A move that hasn't ended after this time no longer counts as capacity.
};

/** A move to order now. */
struct PoolMove {
	BoxName box;    ///< The box.
	ServiceName to; ///< The target pool.
};

/** Actions to take now. */
struct PoolActions {
	std::map<ServiceName, std::set<BoxName>> drain; ///< Boxes to drain, or to keep drained, by pool.
	std::vector<PoolMove> moves;                    ///< Empty boxes to move.
	/** Boxes of `drain` that another pool needs for jobs that can be on time, by pool. */
	std::map<ServiceName, std::set<BoxName>> give_way;
};

/** Decides which boxes move between pools and the reserve. */
class PoolBalancer {
public:
	/** @param limits Limits of moves. */
	explicit PoolBalancer(PoolLimits limits) : limits(limits) {}

	/** Decides on moves from a new view. @return Actions to take now. @param view Snapshot of the fleet. @param
	 * taken Boxes that must not be moved. @param now Current time. */
	PoolActions Decide(const FleetView &view, const std::set<BoxName> &taken, Millis now);
	/** Records that an order is about to be sent. @param move The ordered move. @param now Current time. */
	void RecordOrder(const PoolMove &move, Millis now);
	/** Records the outcome of an order. @param move The ordered move. @param from The box's pool before. @param outcome
	 * How the order ended. */
	void RecordOutcome(const PoolMove &move, const ServiceName &from, ControlOutcome outcome);

	/** @return The forecast of the next rise, to restore and record it. */
	[[nodiscard]] DemandForecast &Forecast() { return this->forecast; }
	/** @return Boxes that are being drained or moved. */
	[[nodiscard]] std::set<BoxName> Taken() const;
	/** @return Counts of drains. */
	[[nodiscard]] const DrainCounters &Drains() const { return this->drains; }

private:
	/** A move that was chosen and hasn't ended yet. */
	struct PendingMove {
		ServiceName to;       ///< The target pool.
		Millis since;         ///< When it was chosen, or when the order was sent.
		bool ordered = false; ///< Whether the order was sent.
		bool on_time = false; ///< Whether the target pool lacks capacity for jobs that can be on time.
		bool drained = false; ///< Whether the box is drained for it.
		std::optional<Millis> decided = std::nullopt; ///< When its order was last decided, if it was.
	};

	/** Demand that a pool is to be ready for. */
	struct ExpectedPeak {
		int64_t cpu = 0;    ///< Thousandths of a core that it uses after a rise like the largest one.
		int64_t safety = 0; ///< Thousandths of a core to keep beyond that.
	};

	/** Capacity and demand of a pool. */
	struct Balance {
		ServiceName pool; ///< The pool.
		int64_t have = 0; ///< Thousandths of a core that it has or gets, after all pending moves.
		int64_t want = 0; ///< Thousandths of a core that it should have.
		int64_t late = 0; ///< Thousandths of a core wanted on top for jobs that can't be on time any more.
		/** What it is to be ready for; nothing until that is known. */
		std::optional<ExpectedPeak> peak;
		double share = 0;         ///< Share of the idle boxes that it should hold for the next rise, by the forecast.
		int64_t forecast_max = 0; ///< Thousandths of a core that it holds at most for the next rise; 0 without a share.
		bool gives_idle = false;  ///< Whether its peak is over and other pools should hold its idle boxes.
		bool demand_covered = false;        ///< Whether no task waits and its demand doesn't rise.
		std::vector<const PoolBox *> empty; ///< Boxes without tasks.
		/** Boxes with tasks that may be drained for a pool that lacks capacity for jobs that can be on time: see
		 * MayDrain(). The one with the earliest expected end is last. */
		std::vector<const PoolBox *> drainable;
	};

	/** Demand of a pool at a decision. */
	struct DemandSample {
		Millis at;      ///< Time of the decision.
		double cpu = 0; ///< Thousandths of a core in use or waited for.
	};

	/** Recent demand of a pool. */
	struct DemandTrend {
		Millis since;                     ///< Time of the first decision.
		double growth = 0;                ///< Change of the demand per ms, smoothed.
		std::deque<DemandSample> samples; ///< Demands within the rise window, oldest first.
		double lowest = 0;                ///< Lowest of them.
		/** Rises above the lowest demand of their time, within the demand window, that no later one reached, oldest
		 * first: the first is the maximum. */
		std::deque<DemandSample> rises;
	};

	PoolLimits limits;                            ///< Limits of moves.
	std::map<BoxName, PendingMove> pending_moves; ///< Moves that haven't ended, by box.
	std::map<ServiceName, DemandTrend> demand;    ///< Recent demand, by pool.
	DrainCounters drains;                         ///< Counts of drains.
	DemandForecast forecast;                      ///< Forecast of the next rise.
	/** Turn in which a pool last got boxes for a shortage after its peak. It gives none to other pools in that turn, so
	 * that boxes don't go back and forth. */
	std::map<ServiceName, uint64_t> short_in_turn;
	/** Pairs (from, to) of pools between which machine control rejected a move. */
	std::set<std::pair<ServiceName, ServiceName>> incompatible_pools;

	/** @return Drains and orders for the moves that were not ordered yet. @param view Snapshot of the fleet. @param
	 * index Index of the view. @param now Current time. */
	PoolActions ActionsOf(const FleetView &view, const FleetIndex &index, Millis now);
	void DropEndedMoves(const FleetView &view, const FleetIndex &index, Millis now);
	/** @return Whether a move that wasn't ordered is kept. @param move The move. @param row The listed machine. @param
	 * view Snapshot of the fleet. @param index Index of the view. @param now Current time. */
	[[nodiscard]] bool Kept(const PendingMove &move, const MachineRow &row, const FleetView &view,
							const FleetIndex &index, Millis now) const;
	[[nodiscard]] std::vector<Balance> ComputeBalances(const FleetView &view, const FleetIndex &index,
													   const std::set<BoxName> &taken, Millis now);
	Balance BalanceOf(const ServiceName &pool, const PoolStatus &status, const FleetIndex &index,
					  const std::set<BoxName> &taken);
	/** @return Thousandths of a core that a box of the fleet has on average. @param view Snapshot of the fleet. */
	[[nodiscard]] static double MeanBoxCpu(const FleetView &view);
	[[nodiscard]] int64_t FloorOf(const FleetView &view) const;
	/** @return Expected demand at the end of the growth horizon, at least the present one. @param pool The pool. @param
	 * cpu Its present demand. @param now Current time. */
	double ExpectedDemand(const ServiceName &pool, double cpu, Millis now);
	void RecordRise(DemandTrend &trend, DemandSample rise) const;
	static bool CanDonate(const Balance &donor, const Balance &receiver, const PoolBox &box);
	void TakeBoxes(Balance &donor, std::vector<const PoolBox *> &boxes, Balance &receiver, int64_t limit, Millis now);
	void CoverShortage(Balance &receiver, std::vector<Balance> &all, const FleetView &view,
					   const std::set<BoxName> &taken, Millis now);
	/** @return Demand that a pool is to be ready for, or nothing while too little of its demand was seen. @param pool
	 * The pool. @param box_cpu CPU of a box. @param now Current time. */
	[[nodiscard]] std::optional<ExpectedPeak> PeakOf(const ServiceName &pool, double box_cpu, Millis now) const;
	void TakeFromReserve(Balance &receiver, int64_t wanted, const FleetView &view, const std::set<BoxName> &taken,
						 Millis now);
	void ObserveDemand(const PoolStatus &status, Balance &balance, const FleetView &view, Millis now);
	void ApplyForecast(std::vector<Balance> &all, const FleetView &view, Millis now);
	[[nodiscard]] bool CanSpread(const Balance &donor) const;
	/** @return Pool that lacks most of its share, or null. @param all All pools. @param donor Pool that gives its last
	 * empty box. @param idle Idle CPU to which the shares refer. */
	Balance *SpreadTarget(std::vector<Balance> &all, const Balance &donor, double idle);
	/** Begins to move idle boxes of pools whose peak is over to those that are expected to rise next. */
	void SpreadIdle(std::vector<Balance> &all, Millis now);
	void MoveToReserve(Balance &source, const FleetView &view, Millis now);
	void BeginMove(const BoxName &box, const ServiceName &to, Millis now);
};

#endif /* POOL_BALANCER_H */
