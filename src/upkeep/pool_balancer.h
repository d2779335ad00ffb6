/** @file pool_balancer.h Moves of boxes between pools and the reserve, by what their jobs ask for. Pure: it only
 * decides.
 */
#ifndef POOL_BALANCER_H
#define POOL_BALANCER_H

#include "wave_planner.h"

#include <deque>

/** Figures of moves. They weigh the greenhouse site's prices: see docs/design/consortium.md. */
struct PoolLimits {
	double waiting_weight = 1.0; ///< Part of the waiting tasks that room is made for.
	double used_headroom = 1.15; ///< Room kept above what runs.
	Millis ahead = Millis(1800); ///< What a pool asks for is extrapolated so far: a move takes 1.5 s and more.
	double floor_share = 0.4;    ///< A pool keeps this part of an even share of all boxes, for a sudden start.
	/** A box goes to the reserve when no pool has needed it for so long: peaks come by turns, about 40 s apart, and
	 * what was sent away is fetched again for the next one. */
	Millis unneeded_for = Millis(90000);
	Millis empty_within = Millis(1500); ///< A box that isn't empty by then is not moved after all.
	Millis move_within = Millis(6000);  ///< A move that isn't seen to end by then is no longer counted on.
};

/** A move to order now. */
struct PoolMove {
	BoxName box;    ///< Which box.
	ServiceName to; ///< Where to.
};

/** What the desk wants done now. */
struct PoolActions {
	std::map<ServiceName, std::set<BoxName>> drain; ///< Boxes to be kept empty, by pool.
	std::vector<PoolMove> moves;                    ///< Empty boxes to move.
};

/** Decides on moves. */
class PoolBalancer {
public:
	/** @param limits Figures. */
	explicit PoolBalancer(PoolLimits limits) : limits(limits) {}

	/** @return What to do now. @param view The fleet. @param taken Boxes that are not to be touched. @param now The
	 * time. */
	PoolActions Decide(const FleetView &view, const std::set<BoxName> &taken, Millis now);
	/** An order is about to leave. @param move It. @param now The time. */
	void RecordOrder(const PoolMove &move, Millis now);
	/** An order has ended. @param move It. @param from Pool before. @param outcome How. */
	void RecordOutcome(const PoolMove &move, const ServiceName &from, ControlOutcome outcome);

	/** @return Boxes that are being emptied or moved. */
	[[nodiscard]] std::set<BoxName> Taken() const;

private:
	/** A box on its way. */
	struct Leaving {
		ServiceName to;       ///< Where to.
		Millis since;         ///< When it was chosen, or ordered.
		bool ordered = false; ///< Whether the order has left.
	};

	/** How much a pool has and wants. */
	struct Balance {
		ServiceName pool;                   ///< The pool.
		int64_t have = 0;                   ///< Thousandths of a core that it has or will have before long.
		int64_t want = 0;                   ///< Thousandths of a core that it should have.
		int64_t late = 0;                   ///< The same on top, for jobs that can't be on time any more.
		std::vector<const PoolBox *> empty; ///< Boxes that run nothing.
		/** Boxes that run only what can't be on time any more: they are emptied for a pool whose jobs can be on time.
		 */
		std::vector<const PoolBox *> loose;
	};

	/** What a pool asked for at the last look. */
	struct Asked {
		Millis at;         ///< When.
		double cpu = 0;    ///< Thousandths of a core that ran or waited.
		double growth = 0; ///< Change of that in a ms, smoothed.
	};

	/** What all pools together needed at a look. */
	struct Need {
		Millis at;       ///< When.
		int64_t cpu = 0; ///< Thousandths of a core.
	};

	PoolLimits limits;                                     ///< Figures.
	std::map<BoxName, Leaving> leaving;                    ///< Boxes on their way.
	std::map<ServiceName, Asked> asked;                    ///< By pool.
	std::deque<Need> needs;                                ///< What all pools needed, of the last while.
	std::optional<Millis> watched_since;                   ///< When this desk first looked.
	std::set<std::pair<ServiceName, ServiceName>> refused; ///< Pairs of pools between which boxes can't move.

	void NoteArrivals(const FleetIndex &index, Millis now);
	[[nodiscard]] std::vector<Balance> Balances(const FleetView &view, const FleetIndex &index,
												const std::set<BoxName> &taken, Millis now);
	Balance BalanceOf(const ServiceName &pool, const PoolStatus &status, const FleetIndex &index,
					  const std::set<BoxName> &taken);
	[[nodiscard]] int64_t FloorOf(const FleetView &view) const;
	double GrowthOf(const ServiceName &pool, double cpu, Millis now);
	static bool MayGive(const Balance &other, const Balance &needy, const PoolBox &box);
	void TakeFrom(Balance &other, std::vector<const PoolBox *> &boxes, Balance &needy, Millis now);
	void Supply(Balance &needy, std::vector<Balance> &all, const FleetView &view, const std::set<BoxName> &taken,
				Millis now);
	[[nodiscard]] int64_t Unneeded(const std::vector<Balance> &all, Millis now);
	void SendAway(Balance &rich, const FleetView &view, int64_t &unneeded, Millis now);
	void Choose(const BoxName &box, const ServiceName &to, Millis now);
};

#endif /* POOL_BALANCER_H */
