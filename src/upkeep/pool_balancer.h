/** @file pool_balancer.h Decides on moves of boxes between pools and the reserve, by the pools' demand. No I/O. */
#ifndef POOL_BALANCER_H
#define POOL_BALANCER_H

#include "wave_planner.h"

#include <deque>

/** Limits of moves, balanced for the prices of the greenhouse site: see docs/design/consortium.md. */
struct PoolLimits {
	double waiting_weight = 1.0;          ///< Fraction of the waiting tasks' CPU that counts as demand.
	double headroom_factor = 1.15;        ///< Capacity wanted, as a multiple of the CPU in use.
	Millis growth_horizon = Millis(1800); ///< Demand is extrapolated this far ahead: a move takes at least 1.5 s.
	double floor_share = 0.4;             ///< Fraction of an even share of all CPU that a pool keeps for sudden demand.
	/** A box moves to the reserve when no pool has needed it for this long. The pools' peaks alternate about every
	 * 40 s, so a box released earlier would be needed back for the next peak. */
	Millis release_after = Millis(90000);
	Millis drain_timeout = Millis(1500); ///< The move of a box that isn't empty after this time is cancelled.
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

	/** @return Boxes that are being drained or moved. */
	[[nodiscard]] std::set<BoxName> Taken() const;

private:
	/** A move that was chosen and hasn't ended yet. */
	struct PendingMove {
		ServiceName to;       ///< The target pool.
		Millis since;         ///< When it was chosen, or when the order was sent.
		bool ordered = false; ///< Whether the order was sent.
	};

	/** Capacity and demand of a pool. */
	struct Balance {
		ServiceName pool; ///< The pool.
		int64_t have = 0; ///< Thousandths of a core that it has or gets, after all pending moves.
		int64_t want = 0; ///< Thousandths of a core that it should have.
		int64_t late = 0; ///< Thousandths of a core wanted on top for jobs that can't be on time any more.
		std::vector<const PoolBox *> empty; ///< Boxes without tasks.
		/** Boxes that run only jobs that can't be on time any more. They are drained for a pool that lacks capacity
		 * for jobs that can. */
		std::vector<const PoolBox *> late_only;
	};

	/** Demand of a pool at the last decision. */
	struct DemandSample {
		Millis at;         ///< Time of the decision.
		double cpu = 0;    ///< Thousandths of a core in use or waited for.
		double growth = 0; ///< Change of `cpu` per ms, smoothed.
	};

	/** Demand of all pools together at one decision. */
	struct TotalDemand {
		Millis at;       ///< Time of the decision.
		int64_t cpu = 0; ///< Thousandths of a core.
	};

	PoolLimits limits;                            ///< Limits of moves.
	std::map<BoxName, PendingMove> pending_moves; ///< Moves that haven't ended, by box.
	std::map<ServiceName, DemandSample> demand;   ///< Demand at the last decision, by pool.
	/** Total demands of the last release_after that no later one reached, oldest first: the first is the maximum. */
	std::deque<TotalDemand> total_demands;
	std::optional<Millis> first_decided_at; ///< Time of the first decision.
	/** Pairs (from, to) of pools between which machine control rejected a move. */
	std::set<std::pair<ServiceName, ServiceName>> incompatible_pools;

	void DropEndedMoves(const FleetIndex &index, Millis now);
	[[nodiscard]] std::vector<Balance> ComputeBalances(const FleetView &view, const FleetIndex &index,
													   const std::set<BoxName> &taken, Millis now);
	Balance BalanceOf(const ServiceName &pool, const PoolStatus &status, const FleetIndex &index,
					  const std::set<BoxName> &taken);
	[[nodiscard]] int64_t FloorOf(const FleetView &view) const;
	double GrowthOf(const ServiceName &pool, double cpu, Millis now);
	static bool CanDonate(const Balance &donor, const Balance &receiver, const PoolBox &box);
	void TakeBoxes(Balance &donor, std::vector<const PoolBox *> &boxes, Balance &receiver, Millis now);
	void CoverShortage(Balance &receiver, std::vector<Balance> &all, const FleetView &view,
					   const std::set<BoxName> &taken, Millis now);
	[[nodiscard]] int64_t SurplusCpu(const std::vector<Balance> &all, Millis now);
	void MoveToReserve(Balance &source, const FleetView &view, int64_t &surplus, Millis now);
	void BeginMove(const BoxName &box, const ServiceName &to, Millis now);
};

#endif /* POOL_BALANCER_H */
