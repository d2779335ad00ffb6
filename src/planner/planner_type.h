/** @file planner_type.h Inputs and policies of the planner. */
#ifndef PLANNER_TYPE_H
#define PLANNER_TYPE_H

#include "../fleet/fleet_func.h"

#include <map>
#include <memory>
#include <vector>

/** A change that a planner proposes. */
using Proposal = std::unique_ptr<glade::wire::ProposalT>;

/** Policy of a deployment: weighs box moves against spare capacity and the duration of maintenance. Integers only. */
struct PlannerPolicy {
	Millis cycle = Millis(21 * MS_PER_DAY);     ///< Time within which every box is maintained once; sets its deadline.
	Millis lead = Millis(21 * MS_PER_DAY);      ///< How long before its deadline a box may be maintained.
	Millis idle_lead = Millis(21 * MS_PER_DAY); ///< The same for a box that runs no job, so that no job has to move.
	Millis drain_grace = Millis(0);             ///< How long jobs of a draining box may run before they are stopped.
	uint32_t move_gain_percent = 25;   ///< Percent that a pool must be below its target to get a box; 100: never.
	uint32_t max_concurrent_moves = 4; ///< Boxes that may be moving at once.
	uint32_t spare_boxes = 1; ///< Boxes that a pool should be able to spare for maintenance; part of its target.
	Millis failure_grace = Millis(0);      ///< How long a failed box counts as coming back: no box moves to replace it.
	Millis blocked_lead = Millis(0);       ///< How long before a deadline a pool that can't spare a box gets one more.
	uint32_t urgent_reserve_percent = 2;   ///< Percent of the slots for jobs that only urgent ones may take.
	uint32_t max_zones_in_maintenance = 1; ///< Zones of a pool that may be under maintenance at once.
};

/** @return Policy of a deployment for which moves cost most. */
PlannerPolicy GreenhousePolicy();

/** @return Policy of a deployment for which spare capacity and long maintenance cost most. */
PlannerPolicy LindeboomPolicy();

/** A box as the platform's list shows it. */
struct ListedBox {
	BoxName name;                             ///< Its name.
	ZoneName zone;                            ///< Its availability zone.
	RackName rack;                            ///< Its rack.
	std::string address;                      ///< IP:port of its endpoint.
	Slots slots;                              ///< Requests that its endpoint runs concurrently.
	BoxHealth health = BoxHealth::BH_UNKNOWN; ///< Live, leaving or failed.
	PermitId booted_for;                      ///< Permit of the last reboot that it has come back from, 0 for none.
	bool checks_pass = true;                  ///< Whether it passes its checks.

	auto operator<=>(const ListedBox &) const = default;
};

/** Inputs of the planner besides the fleet's state. */
struct PlannerInputs {
	std::vector<ListedBox> list;           ///< The platform's list of boxes; may lag.
	std::map<PoolName, uint64_t> observed; ///< High quantile of the slots in use, by pool; may lag or be absent.
	std::map<BoxName, std::vector<MemberName>> drained; ///< Entries that confirmed the drain of a box under its permit.
};

#endif /* PLANNER_TYPE_H */
