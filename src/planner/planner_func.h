/** @file planner_func.h Planning steps: pure functions from the fleet's state to proposals. */
#ifndef PLANNER_FUNC_H
#define PLANNER_FUNC_H

#include "../fleet/budget_func.h"
#include "planner_type.h"

/** Pools by name, with what planned steps of this round have changed in them. */
using PoolDraft = std::map<PoolName, PoolPicture>;

/**
 * Proposes a permit and marks the box as draining in the draft.
 * @param box The box in the draft.
 * @param purpose What the permit is for.
 * @param to Target of a move; empty for maintenance.
 * @return The proposal.
 */
Proposal GrantPermit(Box &box, PermitPurpose purpose, const PoolName &to);

/**
 * Registers new boxes and records changes of health.
 * @param fleet The state.
 * @param list The platform's list.
 * @return Proposals.
 */
std::vector<Proposal> PlanList(const FleetState &fleet, const std::vector<ListedBox> &list);

/**
 * Tells which draining boxes are confirmed as empty. Keepers do this for their zone, whoever plans.
 * @param fleet The state.
 * @param zone The zone, or null for all.
 * @param inputs Drains.
 * @return Proposals.
 */
std::vector<Proposal> PlanDrains(const FleetState &fleet, const ZoneName *zone, const PlannerInputs &inputs);

/**
 * Carries boxes under a permit on: flip, reboot, back, verified, set aside.
 * @param fleet The state.
 * @param inputs List and drains.
 * @return Proposals. An accepted BK_REBOOT is followed by the order to the platform.
 */
std::vector<Proposal> PlanSteps(const FleetState &fleet, const PlannerInputs &inputs);

/**
 * Withdraws permits of boxes not rebooted yet where failures left the floors without headroom.
 * @param draft The pools; withdrawn boxes serve again in it.
 * @return Proposals.
 */
std::vector<Proposal> PlanWithdrawals(PoolDraft &draft);

/**
 * Moves boxes to pools that are short of them, if it is worth a move.
 * @param draft The pools; boxes chosen are draining in it.
 * @param now Log time.
 * @param policy Weights.
 * @param observed Observed use per pool.
 * @return Proposals.
 */
std::vector<Proposal> PlanMoves(PoolDraft &draft, Millis now, const PlannerPolicy &policy,
								const std::map<PoolName, uint64_t> &observed);

/**
 * Grants permits for maintenance: waves along failure domains, a canary first, sized by the tightest budget.
 * @param draft The pools; boxes chosen are draining in it.
 * @param fleet The state, for jobs on boxes and the time.
 * @param policy Cycle and leads.
 * @return Proposals.
 */
std::vector<Proposal> PlanMaintenance(PoolDraft &draft, const FleetState &fleet, const PlannerPolicy &policy);

/**
 * One whole planning step for boxes.
 * @param fleet The state.
 * @param inputs List, use and drains.
 * @param policy Weights.
 * @return Proposals in the order in which they should be decided.
 */
std::vector<Proposal> PlanBoxes(const FleetState &fleet, const PlannerInputs &inputs, const PlannerPolicy &policy);

/** What the job planner wants done. */
struct JobPlan {
	std::vector<Proposal> placements; ///< Jobs to place.
	std::vector<JobName> stop;        ///< Running jobs to stop at a checkpoint, for urgent work or a draining box.
};

/**
 * Places waiting jobs: urgent first, then the team furthest below its quota; boxes maintained last first, fullest
 * first. Urgent work that finds no room stops batch jobs that may be repeated.
 * @param fleet The state.
 * @param policy Weights, for how long jobs of a draining box may go on.
 * @param limit Most placements in one step.
 * @return Placements and jobs to stop.
 */
JobPlan PlanJobs(const FleetState &fleet, const PlannerPolicy &policy, size_t limit);

#endif /* PLANNER_FUNC_H */
