/** @file region_planner.h Planner of a keeper's region: acquires the term, plans boxes and jobs, and sends the
 * platform the orders to reboot boxes and to start and stop jobs. */
#ifndef REGION_PLANNER_H
#define REGION_PLANNER_H

#include "entry_handler.h"
#include "keeper_core.h"

#include "../planner/planner_func.h"

#include <set>

/**
 * Plans the keeper's region while the keeper holds the region's term: the right to plan. The keeper that holds it is
 * the planner. Any keeper of the region may take the next term when the planner writes nothing for too long. Until the
 * former planner reads of that, both plan, which wastes work but is safe: proposals are accepted under one term only.
 */
class RegionPlanner {
public:
	/**
	 * @param core Shared state of the keeper; outlives this.
	 * @param entries Source of the confirmed drains; outlives this.
	 * @param control The platform's control of boxes and jobs; outlives this.
	 * @param policy Weights of the planner.
	 */
	RegionPlanner(KeeperCore &core, const EntryHandler &entries, BoxControl &control, PlannerPolicy policy);

	/**
	 * Does nothing until the log is read to its end. Reports the confirmed drains of the keeper's zone, also without
	 * the term. Then plans when this keeper holds the term, else takes the term when the planner is gone or has written
	 * nothing for too long. Called every KeeperTimes::plan_tick.
	 */
	void Tick();

	/**
	 * Takes any decision on a proposal of the planner as a sign that it is alive.
	 * @param decisions Decisions on the proposals of one log record.
	 */
	void OnDecisions(const std::vector<Decision> &decisions);

	/** @return Whether this process holds the region's term. */
	[[nodiscard]] bool HoldsTerm() const;

	/**
	 * Proposes to record attempts that have ended. Does nothing when this process doesn't hold the term.
	 * @param ends Ends of job attempts.
	 */
	void OnJobEnds(const std::vector<JobEnd> &ends);

private:
	KeeperCore &core;                            ///< Shared state of the keeper.
	const EntryHandler &entries;                 ///< Source of the confirmed drains.
	BoxControl &control;                         ///< Control of boxes and jobs.
	PlannerPolicy policy;                        ///< Weights of the planner.
	Millis planner_last_seen;                    ///< Start of the silence after which this keeper takes the term.
	Millis last_heartbeat = Millis(-MS_PER_DAY); ///< When this keeper last submitted a heartbeat.
	bool term_pending = false;                   ///< Whether a proposal to take the term is undecided.
	Term own_term;                               ///< Term that this process acquired last, 0 for none.
	size_t pending_plan_proposals = 0;           ///< Number of undecided proposals of the last plan.
	size_t pending_drain_reports = 0;            ///< Number of undecided reports of drains.
	std::set<JobEnd, bool (*)(const JobEnd &, const JobEnd &)> pending_ends; ///< Ends proposed and undecided.

	void TakeTerm();
	void SubmitHeartbeat();
	void Plan();
	void Submit(Proposal proposal, WritePriority priority);
	void SendRebootOrders();
	void SendJobOrders();
	void ReportLostJobs();
	void ReportDrains();
	[[nodiscard]] Millis TakeoverDelay() const;
};

#endif /* REGION_PLANNER_H */
