/** @file planner_type.h What a planner is told and how deployments weigh its choices. */
#ifndef PLANNER_TYPE_H
#define PLANNER_TYPE_H

#include "../fleet/fleet_func.h"

#include <map>
#include <memory>
#include <vector>

/** A change that a planner proposes. */
using Proposal = std::unique_ptr<glade::wire::ProposalT>;

/** How a deployment weighs moves against buffer and roll-out time. Integers only. */
struct PlannerPolicy {
	Millis cycle = Millis(21 * MS_PER_DAY);     ///< Every box is maintained once in this time.
	Millis lead = Millis(21 * MS_PER_DAY);      ///< How long before its deadline a box may be taken.
	Millis idle_lead = Millis(21 * MS_PER_DAY); ///< The same for a box that runs no job: it costs no job move.
	Millis drain_grace = Millis(0);             ///< How long jobs of a draining box may end by themselves.
	uint32_t move_gain_percent = 25;            ///< Deviation from its weight's share that is worth moving a box.
	uint32_t moves_at_once = 4;                 ///< Boxes on the move at once.
	uint32_t spare_boxes = 1;                   ///< Boxes a pool should be able to spare, where boxes are first placed.
	Millis failure_grace = Millis(0);    ///< A failed box counts as coming back for so long: no box moves for it.
	Millis blocked_lead = Millis(0);     ///< Time to the deadline at which a pool that can't spare a box gets one.
	uint32_t urgent_reserve_percent = 2; ///< Room for jobs that only urgent ones may take.
	uint32_t zones_at_once = 1;          ///< Availability zones of a pool that may be under maintenance at once.
};

/** @return Weights of a deployment that fears moves most. */
PlannerPolicy GreenhousePolicy();

/** @return Weights of a deployment that fears spare capacity and long roll-outs most. */
PlannerPolicy LindeboomPolicy();

/** A box as the platform's list shows it. */
struct ListedBox {
	BoxName name;                             ///< Its name.
	ZoneName zone;                            ///< Its availability zone.
	RackName rack;                            ///< Its rack.
	std::string address;                      ///< IP:port of its endpoint.
	Slots slots;                              ///< Requests that its endpoint runs side by side.
	BoxHealth health = BoxHealth::BH_UNKNOWN; ///< Live, leaving or failed.
	PermitId booted_for;                      ///< Permit of the last reboot that it came back from, 0 for none.
	bool checks_pass = true;                  ///< Whether it passes its checks.

	auto operator<=>(const ListedBox &) const = default;
};

/** What a planner sees besides the fleet's state. */
struct PlannerInputs {
	std::vector<ListedBox> list;           ///< The platform's list, lagging.
	std::map<PoolName, uint64_t> observed; ///< High quantile of slots in use per pool; lagged, may be absent.
	std::map<BoxName, std::vector<MemberName>> drained; ///< Entries that confirmed the drain of a box under its permit.
};

#endif /* PLANNER_TYPE_H */
