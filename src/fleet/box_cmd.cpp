/** @file box_cmd.cpp Commands on boxes: registration, health, permits and the steps under a permit. */
#include "budget_func.h"
#include "fleet_func.h"
#include "fleet_hash.h"

#include <algorithm>
#include <array>

namespace {

constexpr uint64_t PERMIT_INDEX_SPAN = 65536; ///< Permit ids count the proposals of a record below this.

/** A step under a permit: from where it may start, where it leads. */
struct StepRule {
	BoxStepKind step;  ///< The step.
	BoxState from;     ///< State that it starts from.
	BoxState or_from;  ///< Another state that it starts from.
	BoxState to;       ///< State that it leads to.
	bool ends_permit;  ///< Whether the permit is over.
	bool needs_permit; ///< Whether the box must hold the permit named.
};

constexpr std::array _step_rules = {
		StepRule{BoxStepKind::BK_EMPTIED, BoxState::BS_DRAINING, BoxState::BS_DRAINING, BoxState::BS_EMPTY, false,
				 true},
		StepRule{BoxStepKind::BK_REBOOT, BoxState::BS_EMPTY, BoxState::BS_EMPTY, BoxState::BS_REBOOTING, false, true},
		StepRule{BoxStepKind::BK_BOOTED, BoxState::BS_REBOOTING, BoxState::BS_REBOOTING, BoxState::BS_VERIFYING, false,
				 true},
		StepRule{BoxStepKind::BK_VERIFIED, BoxState::BS_VERIFYING, BoxState::BS_VERIFYING, BoxState::BS_SERVING, true,
				 true},
		StepRule{BoxStepKind::BK_CHANGE_POOL, BoxState::BS_EMPTY, BoxState::BS_EMPTY, BoxState::BS_SERVING, true, true},
		StepRule{BoxStepKind::BK_WITHDRAW, BoxState::BS_DRAINING, BoxState::BS_EMPTY, BoxState::BS_SERVING, true, true},
		StepRule{BoxStepKind::BK_SET_ASIDE, BoxState::BS_VERIFYING, BoxState::BS_REBOOTING, BoxState::BS_SET_ASIDE,
				 true, true},
		StepRule{BoxStepKind::BK_RESTORE, BoxState::BS_SET_ASIDE, BoxState::BS_SET_ASIDE, BoxState::BS_SERVING, false,
				 false},
};

/**
 * Whether every entry of the box's zone has confirmed the drain, and no job is left on the box.
 * @param fleet The state.
 * @param box The box, with the confirmations so far.
 * @return Whether it is empty.
 */
bool IsEmpty(const FleetState &fleet, const Box &box)
{
	const auto used = fleet.box_used.find(box.name);
	if (used != fleet.box_used.end() && used->second != 0) {
		return false;
	}
	return std::ranges::all_of(fleet.members, [&](const auto &it) {
		const bool counts = it.second.role == MemberRole::MR_ENTRY && it.second.zone == box.zone;
		return !counts || box.confirmed.contains(it.first.Value());
	});
}

/**
 * Ends the permit of a box.
 * @param box The box.
 */
void EndPermit(Box &box)
{
	box.permit = PermitId();
	box.purpose = PermitPurpose::PP_NONE;
	box.urgent = false;
	box.move_to = PoolName();
	box.confirmed.clear();
}

/**
 * Changes a box by a step whose preconditions hold.
 * @param box The box.
 * @param rule The step's rule.
 * @param now Log time.
 */
void ApplyStep(Box &box, const StepRule &rule, Millis now)
{
	if (rule.step == BoxStepKind::BK_CHANGE_POOL) {
		box.pool = box.move_to;
		box.epoch = BoxEpoch(box.epoch.Value() + 1);
	}
	if (rule.step == BoxStepKind::BK_VERIFIED) {
		box.last_maintained = now;
	}
	if (rule.step == BoxStepKind::BK_VERIFIED || rule.step == BoxStepKind::BK_RESTORE) {
		box.strikes = 0;
		box.strike_jobs.clear();
	}
	if (rule.step == BoxStepKind::BK_REBOOT) {
		box.epoch = BoxEpoch(box.epoch.Value() + 1);
	}
	if (rule.ends_permit) {
		EndPermit(box);
	}
	box.state = rule.to;
	box.since = now;
}

/**
 * @param fleet The state.
 * @param pool A pool.
 * @return Whether some row of the table uses it.
 */
bool IsPool(const FleetState &fleet, const PoolName &pool)
{
	return std::ranges::any_of(fleet.rows, [&](const auto &it) { return it.second.pool == pool; });
}

/** @return The refusal for a box that is not there. */
Result NoBox(const std::string &name)
{
	return {ResultCode::RC_UNKNOWN_BOX, name};
}

} // namespace

Result CmdBoxRegister(const CommandContext &context, FleetState &fleet, const glade::wire::BoxRegisterT &it)
{
	if (it.box.empty() || it.zone.empty() || it.slots == 0) {
		return {ResultCode::RC_MALFORMED, "box, zone and slots are needed"};
	}
	const BoxName name(it.box);
	const auto old = fleet.boxes.find(name);
	if (old == fleet.boxes.end() && !IsPool(fleet, PoolName(it.pool))) {
		return {ResultCode::RC_UNKNOWN_POOL, it.pool};
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	Box box = old == fleet.boxes.end() ? Box() : old->second;
	if (old == fleet.boxes.end()) {
		box.name = name;
		box.pool = PoolName(it.pool);
		box.registered = fleet.time;
		box.since = fleet.time;
	}
	box.SetDomains(ZoneName(it.zone), RackName(it.rack));
	box.address = it.address;
	box.slots = Slots(it.slots);
	box.epoch = BoxEpoch(box.epoch.Value() + 1);
	fleet.Put(fleet.boxes, name, std::move(box));
	return {};
}

Result CmdBoxHealth(const CommandContext &context, FleetState &fleet, const glade::wire::BoxHealthReportT &it)
{
	const auto old = fleet.boxes.find(BoxName(it.box));
	if (old == fleet.boxes.end()) {
		return NoBox(it.box);
	}
	if (it.health > static_cast<uint8_t>(BoxHealth::BH_LEAVING)) {
		return {ResultCode::RC_MALFORMED, "health " + std::to_string(it.health)};
	}
	if (old->second.epoch.Value() != it.epoch) {
		return {ResultCode::RC_STALE_EPOCH, it.box};
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	Box box = old->second;
	const auto health = static_cast<BoxHealth>(it.health);
	if (health == BoxHealth::BH_DOWN && box.health != BoxHealth::BH_DOWN) {
		/* What was placed here before the failure must not be taken for work of the box that comes back. */
		box.epoch = BoxEpoch(box.epoch.Value() + 1);
	}
	box.health_since = box.health == health ? box.health_since : fleet.time;
	box.health = health;
	fleet.Put(fleet.boxes, box.name, box);
	return {};
}

Result CmdPermitGrant(const CommandContext &context, FleetState &fleet, const glade::wire::PermitGrantT &it)
{
	if (Result term = CheckTerm(context, fleet); !term.Ok()) {
		return term;
	}
	const auto old = fleet.boxes.find(BoxName(it.box));
	if (old == fleet.boxes.end()) {
		return NoBox(it.box);
	}
	Box box = old->second;
	const auto purpose = static_cast<PermitPurpose>(it.purpose);
	if (purpose != PermitPurpose::PP_MAINTAIN && purpose != PermitPurpose::PP_MOVE) {
		return {ResultCode::RC_MALFORMED, "purpose " + std::to_string(it.purpose)};
	}
	if (box.epoch.Value() != it.epoch) {
		return {ResultCode::RC_STALE_EPOCH, it.box};
	}
	if (box.state != BoxState::BS_SERVING || box.permit != PermitId()) {
		return {ResultCode::RC_WRONG_STATE, it.box};
	}
	if (purpose == PermitPurpose::PP_MOVE &&
		(PoolName(it.move_to) == box.pool || !IsPool(fleet, PoolName(it.move_to)))) {
		return {ResultCode::RC_UNKNOWN_POOL, it.move_to};
	}
	/* A box that takes no work anyway costs no budget. */
	if (TakesWork(box)) {
		if (Result budget = CheckBudget(PoolModelOf(fleet, box.pool), box, it.urgent); !budget.Ok()) {
			return budget;
		}
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	box.permit = PermitId(context.offset.Value() * PERMIT_INDEX_SPAN + context.index + 1);
	box.purpose = purpose;
	box.urgent = it.urgent;
	box.move_to = PoolName(it.move_to);
	box.state = BoxState::BS_DRAINING;
	box.since = fleet.time;
	fleet.Put(fleet.boxes, box.name, box);
	return {};
}

Result CheckBoxStep(const FleetState &fleet, const glade::wire::BoxStepT &it, Box &next)
{
	const auto old = fleet.boxes.find(BoxName(it.box));
	if (old == fleet.boxes.end()) {
		return NoBox(it.box);
	}
	next = old->second;
	const auto rule = std::ranges::find(_step_rules, static_cast<BoxStepKind>(it.step), &StepRule::step);
	if (rule == _step_rules.end()) {
		return {ResultCode::RC_MALFORMED, "step " + std::to_string(it.step)};
	}
	if (rule->needs_permit && (it.permit == 0 || next.permit.Value() != it.permit)) {
		return {ResultCode::RC_WRONG_PERMIT, it.box};
	}
	const PermitPurpose wanted = rule->step == BoxStepKind::BK_CHANGE_POOL ? PermitPurpose::PP_MOVE
								 : rule->step == BoxStepKind::BK_REBOOT    ? PermitPurpose::PP_MAINTAIN
																		   : next.purpose;
	if ((next.state != rule->from && next.state != rule->or_from) || next.purpose != wanted) {
		return {ResultCode::RC_WRONG_STATE, it.box};
	}
	if (rule->step == BoxStepKind::BK_CHANGE_POOL && !IsPool(fleet, next.move_to)) {
		return {ResultCode::RC_UNKNOWN_POOL, next.move_to.Value()};
	}
	if (rule->step == BoxStepKind::BK_EMPTIED) {
		/* Each keeper tells what the entries connected to it have confirmed; the box is empty when all have. */
		const size_t before = next.confirmed.size();
		next.confirmed.insert(it.confirmed.begin(), it.confirmed.end());
		if (!IsEmpty(fleet, next)) {
			const bool news = next.confirmed.size() > before;
			return news ? Result() : Result{ResultCode::RC_WRONG_STATE, it.box + " is not empty yet"};
		}
	}
	ApplyStep(next, *rule, fleet.time);
	return {};
}

Result CmdBoxStep(const CommandContext &context, FleetState &fleet, const glade::wire::BoxStepT &it)
{
	Box next;
	Result result = CheckBoxStep(fleet, it, next);
	if (result.Ok() && context.mode == CommandMode::CM_EXECUTE) {
		fleet.Put(fleet.boxes, next.name, next);
	}
	return result;
}
