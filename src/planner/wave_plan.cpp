/** @file wave_plan.cpp Plans the maintenance of boxes: steps under permits, withdrawals, new permits zone by zone. */
#include "planner_func.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace {

/**
 * Proposes a step of a box under its permit.
 * @param box The box.
 * @param step The step.
 * @return The proposal.
 */
Proposal MakeStep(const Box &box, BoxStepKind step)
{
	glade::wire::BoxStepT record;
	record.box = box.name.Value();
	record.permit = box.permit.Value();
	record.step = static_cast<uint8_t>(step);
	return MakeProposal(std::move(record));
}

/**
 * Proposes that a box is empty, with the confirmations that this keeper knows, unless that would change nothing.
 * @param fleet The fleet's state.
 * @param box The box.
 * @param inputs Inputs, of which the confirmed drains are used.
 * @return The proposal, or null when it would change nothing.
 */
Proposal MakeEmptiedStep(const FleetState &fleet, const Box &box, const PlannerInputs &inputs)
{
	glade::wire::BoxStepT record;
	record.box = box.name.Value();
	record.permit = box.permit.Value();
	record.step = static_cast<uint8_t>(BoxStepKind::BK_EMPTIED);
	std::set<std::string> confirmed = box.confirmed;
	if (const auto it = inputs.drained.find(box.name); it != inputs.drained.end()) {
		for (const MemberName &name : it->second) {
			if (confirmed.insert(name.Value()).second) {
				record.confirmed.push_back(name.Value());
			}
		}
	}
	Box next;
	return CheckBoxStep(fleet, record, next).Ok() ? MakeProposal(std::move(record)) : nullptr;
}

/**
 * Proposes the next step of a box under a permit, or of one that was set aside.
 * @param box The box.
 * @param listed The box in the platform's list, or null.
 * @return The proposal, or null when there is nothing to do yet.
 */
Proposal NextStep(const Box &box, const ListedBox *listed)
{
	switch (box.state) {
	case BoxState::BS_EMPTY:
		return MakeStep(box,
						box.purpose == PermitPurpose::PP_MOVE ? BoxStepKind::BK_CHANGE_POOL : BoxStepKind::BK_REBOOT);
	case BoxState::BS_REBOOTING:
		if (listed != nullptr && listed->booted_for == box.permit && listed->health == BoxHealth::BH_UP) {
			return MakeStep(box, BoxStepKind::BK_BOOTED);
		}
		return nullptr;
	case BoxState::BS_VERIFYING:
		if (listed == nullptr || listed->health != BoxHealth::BH_UP || box.health != BoxHealth::BH_UP) {
			return nullptr;
		}
		return MakeStep(box, listed->checks_pass ? BoxStepKind::BK_VERIFIED : BoxStepKind::BK_SET_ASIDE);
	case BoxState::BS_SET_ASIDE:
		/* Set aside by failed checks: once they pass, the box serves again and is due for maintenance as before. */
		if (box.strikes == 0 && listed != nullptr && listed->health == BoxHealth::BH_UP && listed->checks_pass) {
			return MakeStep(box, BoxStepKind::BK_RESTORE);
		}
		return nullptr;
	case BoxState::BS_DRAINING: /* See PlanDrains(). */
	case BoxState::BS_SERVING:
		break;
	}
	return nullptr;
}

/** A box that may be maintained now. */
struct Candidate {
	Millis deadline;        ///< Log time by which it must have been maintained.
	uint32_t job_units = 0; ///< Units of its jobs, which a drain would move.
	Box *box = nullptr;     ///< The box in the draft.
};

/** Boxes to be maintained in one availability zone of a pool. */
struct ZoneQueue {
	ZoneName zone;                     ///< The zone.
	std::vector<Candidate> candidates; ///< Boxes that may be maintained now, best first once sorted.
	uint32_t active = 0;               ///< Boxes of the zone with a permit for maintenance.
	uint64_t up = 0;                   ///< Slots of the zone's boxes that take work.
	Millis deadline;                   ///< The earliest deadline of the candidates.
	bool stopped = false; ///< Whether a box of the zone failed its checks after the reboot and is set aside.
};

/**
 * @param fleet The fleet's state.
 * @param box A box.
 * @return Units of jobs placed on it.
 */
uint32_t JobUnitsOn(const FleetState &fleet, const BoxName &box)
{
	const auto it = fleet.box_used.find(box);
	return it == fleet.box_used.end() ? 0 : it->second;
}

/**
 * Sorts a pool's boxes into one queue per zone.
 * @param pool The pool.
 * @param fleet The fleet's state.
 * @param policy Policy, of which cycle and leads are used.
 * @return Queues that have candidates and aren't stopped: zones under maintenance first, then zones with more slots
 * that take work, then by deadline.
 */
std::vector<ZoneQueue> QueuesOf(PoolModel &pool, const FleetState &fleet, const PlannerPolicy &policy)
{
	std::map<ZoneName, ZoneQueue> queues;
	for (Box &box : pool.boxes) {
		ZoneQueue &queue = queues[box.zone];
		queue.zone = box.zone;
		queue.active += box.purpose == PermitPurpose::PP_MAINTAIN ? 1 : 0;
		queue.up += TakesWork(box) ? box.slots.Value() : 0;
		const bool failed_its_wave = box.state == BoxState::BS_SET_ASIDE && box.strikes == 0;
		queue.stopped = queue.stopped || failed_its_wave;
		const bool may_be_maintained =
				box.state == BoxState::BS_SERVING && box.permit == PermitId() && box.purpose == PermitPurpose::PP_NONE;
		if (!may_be_maintained) {
			continue;
		}
		Candidate it{std::max(box.last_maintained, box.registered) + policy.cycle, JobUnitsOn(fleet, box.name), &box};
		const Millis lead = it.job_units == 0 ? std::max(policy.lead, policy.idle_lead) : policy.lead;
		const bool maintained_recently =
				box.last_maintained > Millis(0) && box.last_maintained + Millis(policy.cycle.Value() / 2) > fleet.time;
		if (maintained_recently || it.deadline - lead > fleet.time) {
			continue;
		}
		queue.deadline = queue.candidates.empty() ? it.deadline : std::min(queue.deadline, it.deadline);
		queue.candidates.push_back(it);
	}
	std::vector<ZoneQueue> sorted;
	for (auto &[zone, queue] : queues) {
		const auto before = [](const Candidate &a, const Candidate &b) {
			return std::tie(a.job_units, a.deadline, a.box->rack, a.box->name) <
				   std::tie(b.job_units, b.deadline, b.box->rack, b.box->name);
		};
		std::ranges::sort(queue.candidates, before);
		if (!queue.candidates.empty() && !queue.stopped) {
			sorted.push_back(std::move(queue));
		}
	}
	/* A box of the largest zone costs least capacity: the pool must be able to lose that zone anyway. */
	std::ranges::stable_sort(sorted, [](const ZoneQueue &a, const ZoneQueue &b) {
		return std::make_tuple(a.active == 0, -static_cast<int64_t>(a.up), a.deadline) <
			   std::make_tuple(b.active == 0, -static_cast<int64_t>(b.up), b.deadline);
	});
	return sorted;
}

/**
 * Tells whether a pool still needs a canary: none of its boxes was maintained within the last half cycle, which counts
 * as this round of maintenance.
 * @param pool The pool.
 * @param fleet The fleet's state.
 * @param policy Policy, of which the cycle is used.
 * @return Whether at most one box of the pool may be under maintenance.
 */
bool NeedsCanary(const PoolModel &pool, const FleetState &fleet, const PlannerPolicy &policy)
{
	const Millis round_start = fleet.time - Millis(policy.cycle.Value() / 2);
	return std::ranges::none_of(pool.boxes, [&](const Box &box) {
		return box.last_maintained > round_start && box.last_maintained > Millis(0);
	});
}

/**
 * @param pool The pool.
 * @return Number of availability zones with boxes under maintenance.
 */
uint32_t ZonesInProgress(const PoolModel &pool)
{
	std::set<ZoneName> zones;
	for (const Box &box : pool.boxes) {
		if (box.purpose == PermitPurpose::PP_MAINTAIN) {
			zones.insert(box.zone);
		}
	}
	return static_cast<uint32_t>(zones.size());
}

/**
 * Grants permits in one zone of a pool as far as the budgets allow.
 * @param pool The pool.
 * @param queue The zone's queue.
 * @param limit Maximum number of permits.
 * @param[out] proposals Gets the grants.
 * @return Number of permits granted.
 */
size_t GrantInZone(const PoolModel &pool, const ZoneQueue &queue, size_t limit, std::vector<Proposal> &proposals)
{
	size_t granted = 0;
	for (const Candidate &it : queue.candidates) {
		if (granted >= limit) {
			break;
		}
		/* A box that takes no work costs no budget. It is maintained at once: the reboot may repair it. */
		if (TakesWork(*it.box) && !CheckBudget(pool, *it.box, false).Ok()) {
			continue;
		}
		proposals.push_back(GrantPermit(*it.box, PermitPurpose::PP_MAINTAIN, PoolName()));
		granted++;
	}
	return granted;
}

} // namespace

PlannerPolicy GreenhousePolicy()
{
	PlannerPolicy policy;
	policy.lead = Millis(4 * MS_PER_DAY);
	policy.idle_lead = Millis(21 * MS_PER_DAY);
	policy.drain_grace = Millis(4 * MS_PER_HOUR);
	policy.move_gain_percent = 100;
	policy.failure_grace = Millis(12 * MS_PER_HOUR);
	policy.blocked_lead = Millis(5 * MS_PER_DAY);
	return policy;
}

PlannerPolicy LindeboomPolicy()
{
	PlannerPolicy policy;
	policy.drain_grace = Millis(10 * 60 * MS_PER_SECOND);
	policy.move_gain_percent = 50;
	policy.failure_grace = Millis(1 * MS_PER_HOUR);
	policy.blocked_lead = Millis(7 * MS_PER_DAY);
	policy.max_zones_in_maintenance = UINT32_MAX;
	return policy;
}

std::vector<Proposal> PlanDrains(const FleetState &fleet, const ZoneName *zone, const PlannerInputs &inputs)
{
	std::vector<Proposal> proposals;
	for (const auto &[name, box] : fleet.boxes) {
		if (box.state != BoxState::BS_DRAINING || (zone != nullptr && box.zone != *zone)) {
			continue;
		}
		if (Proposal step = MakeEmptiedStep(fleet, box, inputs); step) {
			proposals.push_back(std::move(step));
		}
	}
	return proposals;
}

std::vector<Proposal> PlanSteps(const FleetState &fleet, const PlannerInputs &inputs)
{
	std::map<BoxName, const ListedBox *> listed;
	for (const ListedBox &it : inputs.list) {
		listed[it.name] = &it;
	}
	std::vector<Proposal> proposals;
	for (const auto &[name, box] : fleet.boxes) {
		if (box.permit == PermitId() && box.state != BoxState::BS_SET_ASIDE) {
			continue;
		}
		const auto it = listed.find(name);
		if (Proposal step = NextStep(box, it == listed.end() ? nullptr : it->second); step) {
			proposals.push_back(std::move(step));
		}
	}
	return proposals;
}

std::vector<Proposal> PlanWithdrawals(PoolDraft &draft)
{
	std::vector<Proposal> proposals;
	for (auto &[name, pool] : draft) {
		const PoolFloors floors = FloorsOf(pool);
		for (Box &box : pool.boxes) {
			const bool can_return = box.permit != PermitId() && box.health == BoxHealth::BH_UP &&
									(box.state == BoxState::BS_DRAINING || box.state == BoxState::BS_EMPTY);
			if (!can_return || FloorsHold(CapacityOf(pool), floors, true)) {
				continue;
			}
			proposals.push_back(MakeStep(box, BoxStepKind::BK_WITHDRAW));
			box.state = BoxState::BS_SERVING;
		}
	}
	return proposals;
}

std::vector<Proposal> PlanMaintenance(PoolDraft &draft, const FleetState &fleet, const PlannerPolicy &policy)
{
	std::vector<Proposal> proposals;
	for (auto &[name, pool] : draft) {
		const auto active = std::ranges::count(pool.boxes, PermitPurpose::PP_MAINTAIN, &Box::purpose);
		const bool canary = NeedsCanary(pool, fleet, policy);
		if (canary && active > 0) {
			continue;
		}
		const size_t limit = canary ? 1 : pool.boxes.size();
		uint32_t zones = ZonesInProgress(pool);
		for (const ZoneQueue &queue : QueuesOf(pool, fleet, policy)) {
			if (queue.active == 0 && zones >= (canary ? 1 : policy.max_zones_in_maintenance)) {
				break;
			}
			const size_t granted = GrantInZone(pool, queue, limit, proposals);
			zones += granted > 0 && queue.active == 0 ? 1 : 0;
		}
	}
	return proposals;
}

std::vector<Proposal> PlanBoxes(const FleetState &fleet, const PlannerInputs &inputs, const PlannerPolicy &policy)
{
	std::vector<Proposal> proposals = PlanList(fleet, inputs.list);
	PoolDraft draft = PoolModelsOf(fleet);
	const auto append = [&](std::vector<Proposal> more) { std::ranges::move(more, std::back_inserter(proposals)); };
	std::vector<Proposal> withdrawals = PlanWithdrawals(draft);
	const bool withdrew = !withdrawals.empty();
	append(std::move(withdrawals));
	append(PlanSteps(fleet, inputs));
	append(PlanDrains(fleet, nullptr, inputs));
	/* No permits are granted in a round that withdraws some. Moves to pools that are short come before maintenance. */
	if (!withdrew) {
		append(PlanMoves(draft, fleet.time, policy, inputs.observed));
		append(PlanMaintenance(draft, fleet, policy));
	}
	return proposals;
}
