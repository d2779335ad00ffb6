/** @file strategy.h Strategies for planning a fleet: the planner and baselines, all with the same fold. */
#ifndef STRATEGY_H
#define STRATEGY_H

#include "../planner/planner_func.h"

#include <memory>

/** Plans the boxes of a fleet. */
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

/** @return Even split: pools of equal size, one shared failure buffer per pool, as much at once as budgets allow. */
std::unique_ptr<Strategy> EvenSplitStrategy();

/** @return First fit: boxes in the order of the list, each assigned to the first pool below its need. */
std::unique_ptr<Strategy> FirstFitStrategy();

/** @return Even split with at most one box of the fleet in maintenance at a time. */
std::unique_ptr<Strategy> OneAtATimeStrategy();

#endif /* STRATEGY_H */
