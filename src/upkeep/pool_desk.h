/** @file pool_desk.h Moves of boxes between pools and the reserve, by what their jobs ask for. Pure: it only decides. */
#ifndef POOL_DESK_H
#define POOL_DESK_H

#include "wave_desk.h"

/** Figures of moves. Prices and times are the greenhouse site's; see docs/design/consortium.md. */
struct PoolLimits {
	double waiting_weight = 0.7;       ///< Part of the waiting tasks that room is made for: the others end before it comes.
	double used_headroom = 1.15;       ///< Room kept above what runs.
	Millis idle_for = Millis(1500);    ///< A box is sent away after its pool could do without it for so long.
	Millis empty_within = Millis(1500); ///< A box that isn't empty by then is not moved after all.
	Millis move_within = Millis(6000); ///< A move that isn't seen to end by then is no longer counted on.
};

/** A move to order now. */
struct PoolMove {
	BoxName box;     ///< Which box.
	ServiceName to;  ///< Where to.
};

/** What the desk wants done now. */
struct PoolActions {
	std::map<ServiceName, std::set<BoxName>> drain; ///< Boxes to be kept empty, by pool.
	std::vector<PoolMove> moves;                    ///< Empty boxes to move.
};

/** Decides on moves. */
class PoolDesk {
public:
	/** @param limits Figures. */
	explicit PoolDesk(PoolLimits limits) : limits(limits) {}

	/** @return What to do now. @param view The fleet. @param taken Boxes that are not to be touched. @param now The time. */
	PoolActions Decide(const FleetView &view, const std::set<BoxName> &taken, Millis now);
	/** An order is about to leave. @param move It. @param now The time. */
	void Ordered(const PoolMove &move, Millis now);
	/** An order has ended. @param move It. @param from Pool before. @param outcome How. */
	void Answered(const PoolMove &move, const ServiceName &from, ControlOutcome outcome);

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
		std::vector<const PoolBox *> empty; ///< Boxes that run nothing.
	};

	PoolLimits limits;                                     ///< Figures.
	std::map<BoxName, Leaving> leaving;                    ///< Boxes on their way.
	std::map<ServiceName, Millis> surplus_since;           ///< Since when a pool could do without a box.
	std::set<std::pair<ServiceName, ServiceName>> refused; ///< Pairs of pools between which boxes can't move.

	void NoteArrivals(const FleetView &view, Millis now);
	[[nodiscard]] std::vector<Balance> Balances(const FleetView &view, const std::set<BoxName> &taken) const;
	void Supply(Balance &needy, std::vector<Balance> &all, const FleetView &view, const std::set<BoxName> &taken, Millis now);
	void SendAway(Balance &rich, const FleetView &view, Millis now);
	void Choose(const BoxName &box, const ServiceName &to, Millis now);
};

#endif /* POOL_DESK_H */
