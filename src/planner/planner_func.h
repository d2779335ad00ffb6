/** @file planner_func.h Planning steps: pure functions that turn the fleet's state into proposals. */
#ifndef PLANNER_FUNC_H
#define PLANNER_FUNC_H

#include "../fleet/budget_func.h"
#include "planner_type.h"

/** Copies of all pools by name; include the changes that this round of planning has proposed so far. */
using PoolDraft = std::map<PoolName, PoolModel>;

/**
 * Proposes a permit and marks the box as draining in the draft.
 * @param[in,out] box The box in the draft; its permit id stays 0, as only an accepted proposal has one.
 * @param purpose Purpose of the permit.
 * @param to Target pool of a move; empty for maintenance.
 * @return The proposal.
 */
Proposal GrantPermit(Box &box, PermitPurpose purpose, const PoolName &to);

/**
 * Registers new and changed boxes and records changes of health.
 * @param fleet The fleet's state.
 * @param list The platform's list of boxes; a box missing from it counts as down.
 * @return Proposals.
 */
std::vector<Proposal> PlanList(const FleetState &fleet, const std::vector<ListedBox> &list);

/**
 * Reports which draining boxes are confirmed as empty. Every keeper does so for its zone, even if another one plans.
 * @param fleet The fleet's state.
 * @param zone The zone, or null for all.
 * @param inputs Inputs, of which the confirmed drains are used.
 * @return Proposals.
 */
std::vector<Proposal> PlanDrains(const FleetState &fleet, const ZoneName *zone, const PlannerInputs &inputs);

/**
 * Plans the next step of each box under a permit once it is empty: change of pool or reboot, then booted, then verified
 * or set aside. Restores boxes set aside by failed checks once their checks pass.
 * @param fleet The fleet's state.
 * @param inputs Inputs, of which the list is used.
 * @return Proposals. When a BK_REBOOT is accepted, the caller orders the reboot from the platform.
 */
std::vector<Proposal> PlanSteps(const FleetState &fleet, const PlannerInputs &inputs);

/**
 * Withdraws permits of live boxes not rebooted yet, in pools where the floors no longer hold with headroom.
 * @param[in,out] draft The pools; boxes whose permit is withdrawn serve again in it.
 * @return Proposals.
 */
std::vector<Proposal> PlanWithdrawals(PoolDraft &draft);

/**
 * Moves boxes to pools that need one, see NeedsBox() in pool_plan.cpp. When none is moving, moves one box to the pool
 * furthest below its target, if that is worth a move.
 * @param[in,out] draft The pools; boxes chosen are draining in it.
 * @param now Log time.
 * @param policy Policy.
 * @param observed Observed use by pool, in slots.
 * @return Proposals.
 */
std::vector<Proposal> PlanMoves(PoolDraft &draft, Millis now, const PlannerPolicy &policy,
								const std::map<PoolName, uint64_t> &observed);

/**
 * Grants permits for maintenance: zone by zone, one box of a pool first (the canary), then as many as the budgets
 * allow.
 * @param[in,out] draft The pools; boxes chosen are draining in it.
 * @param fleet The fleet's state, for jobs on boxes and the time.
 * @param policy Policy, of which cycle, leads and the maximum of zones are used.
 * @return Proposals.
 */
std::vector<Proposal> PlanMaintenance(PoolDraft &draft, const FleetState &fleet, const PlannerPolicy &policy);

/**
 * Runs one whole round of planning for boxes.
 * @param fleet The fleet's state.
 * @param inputs List of boxes, observed use and confirmed drains.
 * @param policy Policy.
 * @return Proposals in the order in which they should be decided.
 */
std::vector<Proposal> PlanBoxes(const FleetState &fleet, const PlannerInputs &inputs, const PlannerPolicy &policy);

/** Result of planning jobs. */
struct JobPlan {
	std::vector<Proposal> placements; ///< Jobs to place.
	std::vector<JobName> stop;        ///< Running jobs to stop at a checkpoint, for urgent jobs or as their box drains.
};

/**
 * Places waiting jobs by class, urgent ones first; within a class, the team that uses the smallest share of its quota
 * comes first. Of the boxes, the most recently maintained come first, then those with the least room. For urgent jobs
 * that find no room, batch jobs that may be repeated are stopped.
 * @param fleet The fleet's state.
 * @param policy Policy, for the urgent reserve and for how long jobs of a draining box may run.
 * @param limit Maximum number of placements.
 * @return Placements and jobs to stop.
 */
JobPlan PlanJobs(const FleetState &fleet, const PlannerPolicy &policy, size_t limit);

#endif /* PLANNER_FUNC_H */
