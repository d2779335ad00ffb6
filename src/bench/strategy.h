/** @file strategy.h Ways to run a fleet: ours and the baselines it is compared with. All go through the same fold. */
#ifndef STRATEGY_H
#define STRATEGY_H

#include "../planner/planner_func.h"

#include <memory>

/** A way to run a fleet. */
class Strategy {
public:
	virtual ~Strategy() = default;

	/** @return Its name. */
	[[nodiscard]] virtual const char *Name() const = 0;

	/**
	 * One planning step.
	 * @param fleet The state.
	 * @param inputs List and drains.
	 * @return Proposals.
	 */
	virtual std::vector<Proposal> Step(const FleetState &fleet, const PlannerInputs &inputs) = 0;

	/** @return Weights, for the placing of jobs. */
	[[nodiscard]] virtual PlannerPolicy JobPolicy() const { return this->policy; }

protected:
	PlannerPolicy policy; ///< Weights.
};

/** @return Our planner with the weights of a deployment. */
std::unique_ptr<Strategy> PlannerStrategy(const PlannerPolicy &policy);

/** @return Even split: pools as equal as can be, one shared failure buffer a pool, all that budgets allow at once. */
std::unique_ptr<Strategy> EvenSplitStrategy();

/** @return First fit: boxes in the order of the list, to the first pool that lacks one. */
std::unique_ptr<Strategy> FirstFitStrategy();

/** @return Even split, one box of the fleet at a time. */
std::unique_ptr<Strategy> OneAtATimeStrategy();

#endif /* STRATEGY_H */
