/** @file strategy.h Strategies for planning a fleet: the planner, and baselines on the same fold. */
#ifndef STRATEGY_H
#define STRATEGY_H

#include "../planner/planner_func.h"

#include <memory>

/** Plans registration, moves and maintenance of the boxes of a fleet. */
class Strategy {
public:
	virtual ~Strategy() = default;

	/** @return Name in the output. */
	[[nodiscard]] virtual const char *Name() const = 0;

	/**
	 * Runs a planning step.
	 * @param fleet Current state.
	 * @param inputs Listed boxes and drain reports.
	 * @return Proposals to append.
	 */
	virtual std::vector<Proposal> Step(const FleetState &fleet, const PlannerInputs &inputs) = 0;

	/** @return Settings for the placement of jobs. */
	[[nodiscard]] virtual PlannerPolicy JobPolicy() const { return this->policy; }

protected:
	PlannerPolicy policy; ///< Planner settings.
};

/** @return The glademount planner with the settings of a deployment. */
std::unique_ptr<Strategy> PlannerStrategy(const PlannerPolicy &policy);

/**
 * @return Even split: new boxes go to the smallest pool, the services of a pool share one buffer for failures, and as
 * many boxes are maintained at once as budgets allow.
 */
std::unique_ptr<Strategy> EvenSplitStrategy();

/** @return First fit: new boxes go to the first pool with less than 1.5 times its floors; otherwise even split. */
std::unique_ptr<Strategy> FirstFitStrategy();

/** @return Even split with at most one box of the fleet in maintenance at a time. */
std::unique_ptr<Strategy> OneAtATimeStrategy();

#endif /* STRATEGY_H */
