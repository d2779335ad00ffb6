/** @file region_planner.h The keeper as planner: takes terms, plans boxes and jobs, orders reboots and jobs. */
#ifndef REGION_PLANNER_H
#define REGION_PLANNER_H

#include "entry_handler.h"
#include "keeper_core.h"

#include "../planner/planner_func.h"

#include <set>

/**
 * Plans the keeper's region while it holds the region's term. Any keeper may take the term when the planner is silent;
 * two that believe to hold it cost work, not safety, since the fold accepts one term.
 */
class RegionPlanner {
public:
	/**
	 * @param core Shared parts.
	 * @param entries Drains.
	 * @param control The platform's control of boxes and jobs; outlives this.
	 * @param policy Weights.
	 */
	RegionPlanner(KeeperCore &core, const EntryHandler &entries, BoxControl &control, PlannerPolicy policy);

	/** One look: take the term, renew it, or plan. Called every plan tick. */
	void Tick();

	/**
	 * Looks at what the fold decided, to see whether the planner is alive.
	 * @param decisions Decisions of a record.
	 */
	void OnDecisions(const std::vector<Decision> &decisions);

	/** @return Whether this keeper holds the term. */
	[[nodiscard]] bool HoldsTerm() const;

	/**
	 * Records ended attempts that the platform tells of.
	 * @param ends The ends.
	 */
	void OnJobEnds(const std::vector<JobEnd> &ends);

private:
	KeeperCore &core;                       ///< Shared parts.
	const EntryHandler &entries;            ///< Drains.
	BoxControl &control;                    ///< Orders.
	PlannerPolicy policy;                   ///< Weights.
	Millis planner_heard;                   ///< When the planner last wrote, as seen here.
	Millis last_beat = Millis(-MS_PER_DAY); ///< When this keeper last showed that it plans.
	bool asked = false;                     ///< Whether a term was proposed and is not decided yet.
	Term taken;                             ///< Term that this process took, 0 for none.
	size_t undecided = 0;                   ///< Planned proposals not decided yet.
	size_t drains = 0;                      ///< Drains reported, not decided yet.
	std::set<JobEnd, bool (*)(const JobEnd &, const JobEnd &)> reported; ///< Ends proposed, not decided yet.

	void TakeTerm();
	void Beat();
	void Plan();
	void Submit(Proposal proposal, WritePriority priority);
	void OrderReboots();
	void OrderJobs();
	void ReportLapsedJobs();
	void ReportDrains();
	[[nodiscard]] Millis Patience() const;
};

#endif /* REGION_PLANNER_H */
