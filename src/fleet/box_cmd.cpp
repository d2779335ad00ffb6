/** @file box_cmd.cpp Commands on boxes: registration, health, permits and steps. */
#include "budget_func.h"
#include "fleet_func.h"
#include "fleet_hash.h"

#include <algorithm>
#include <array>

namespace {

constexpr uint64_t PERMIT_IDS_PER_RECORD = 65536; ///< Permit ids per log record; more than a record has proposals.

/** Rule of a step: the states in which it is allowed and the state that it leads to. */
struct StepRule {
	BoxStepKind step;          ///< The step.
	BoxState from;             ///< State from which it is allowed.
	BoxState alternative_from; ///< Another such state, or the same.
	BoxState to;               ///< State that it leads to.
	bool ends_permit;          ///< Whether the permit ends with it.
	bool needs_permit;         ///< Whether the box must hold the permit that the command names.
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
 * Checks that every entry of the box's zone has confirmed the drain and that no job is left on the box.
 * @param fleet The state.
 * @param box The box with the confirmations received.
 * @return Whether it is drained.
 */
bool IsDrained(const FleetState &fleet, const Box &box)
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
 * Applies a step to a box. The caller has checked that the step is allowed.
 * @param box The box.
 * @param rule Rule of the step.
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
 * @return Whether a row of the table uses it.
 */
bool IsPool(const FleetState &fleet, const PoolName &pool)
{
	return std::ranges::any_of(fleet.rows, [&](const auto &it) { return it.second.pool == pool; });
}

/** @return Refusal for a box that is not registered. @param name Name of the box. */
Result UnknownBox(const std::string &name)
{
	return {ResultCode::RC_UNKNOWN_BOX, name};
}

} // namespace

Result CmdBoxRegister(const CommandContext &context, FleetState &fleet, const glade::wire::BoxRegisterT &command)
{
	if (command.box.empty() || command.zone.empty() || command.slots == 0) {
		return {ResultCode::RC_MALFORMED, "box, zone and slots are needed"};
	}
	const BoxName name(command.box);
	const auto old = fleet.boxes.find(name);
	if (old == fleet.boxes.end() && !IsPool(fleet, PoolName(command.pool))) {
		return {ResultCode::RC_UNKNOWN_POOL, command.pool};
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	Box box = old == fleet.boxes.end() ? Box() : old->second;
	if (old == fleet.boxes.end()) {
		box.name = name;
		box.pool = PoolName(command.pool);
		box.registered = fleet.time;
		box.since = fleet.time;
	}
	box.SetDomains(ZoneName(command.zone), RackName(command.rack));
	box.address = command.address;
	box.slots = Slots(command.slots);
	box.epoch = BoxEpoch(box.epoch.Value() + 1);
	fleet.Put(fleet.boxes, name, std::move(box));
	return {};
}

Result CmdBoxHealth(const CommandContext &context, FleetState &fleet, const glade::wire::BoxHealthReportT &command)
{
	const auto old = fleet.boxes.find(BoxName(command.box));
	if (old == fleet.boxes.end()) {
		return UnknownBox(command.box);
	}
	if (command.health > static_cast<uint8_t>(BoxHealth::BH_LEAVING)) {
		return {ResultCode::RC_MALFORMED, "health " + std::to_string(command.health)};
	}
	if (old->second.epoch.Value() != command.epoch) {
		return {ResultCode::RC_STALE_EPOCH, command.box};
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	Box box = old->second;
	const auto health = static_cast<BoxHealth>(command.health);
	if (health == BoxHealth::BH_DOWN && box.health != BoxHealth::BH_DOWN) {
		/* The new epoch separates work placed before the failure from work placed after the box has returned. */
		box.epoch = BoxEpoch(box.epoch.Value() + 1);
	}
	box.health_since = box.health == health ? box.health_since : fleet.time;
	box.health = health;
	fleet.Put(fleet.boxes, box.name, box);
	return {};
}

Result CmdPermitGrant(const CommandContext &context, FleetState &fleet, const glade::wire::PermitGrantT &command)
{
	if (Result term = CheckTerm(context, fleet); !term.Ok()) {
		return term;
	}
	const auto old = fleet.boxes.find(BoxName(command.box));
	if (old == fleet.boxes.end()) {
		return UnknownBox(command.box);
	}
	Box box = old->second;
	const auto purpose = static_cast<PermitPurpose>(command.purpose);
	if (purpose != PermitPurpose::PP_MAINTAIN && purpose != PermitPurpose::PP_MOVE) {
		return {ResultCode::RC_MALFORMED, "purpose " + std::to_string(command.purpose)};
	}
	if (box.epoch.Value() != command.epoch) {
		return {ResultCode::RC_STALE_EPOCH, command.box};
	}
	if (box.state != BoxState::BS_SERVING || box.permit != PermitId()) {
		return {ResultCode::RC_WRONG_STATE, command.box};
	}
	if (purpose == PermitPurpose::PP_MOVE &&
		(PoolName(command.move_to) == box.pool || !IsPool(fleet, PoolName(command.move_to)))) {
		return {ResultCode::RC_UNKNOWN_POOL, command.move_to};
	}
	/* Taking down a box that takes no work anyway doesn't reduce the capacity. */
	if (TakesWork(box)) {
		if (Result budget = CheckBudget(PoolModelOf(fleet, box.pool), box, command.urgent); !budget.Ok()) {
			return budget;
		}
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	box.permit = PermitId(context.offset.Value() * PERMIT_IDS_PER_RECORD + context.index + 1);
	box.purpose = purpose;
	box.urgent = command.urgent;
	box.move_to = PoolName(command.move_to);
	box.state = BoxState::BS_DRAINING;
	box.since = fleet.time;
	fleet.Put(fleet.boxes, box.name, box);
	return {};
}

Result CheckBoxStep(const FleetState &fleet, const glade::wire::BoxStepT &command, Box &next)
{
	const auto old = fleet.boxes.find(BoxName(command.box));
	if (old == fleet.boxes.end()) {
		return UnknownBox(command.box);
	}
	next = old->second;
	const auto rule = std::ranges::find(_step_rules, static_cast<BoxStepKind>(command.step), &StepRule::step);
	if (rule == _step_rules.end()) {
		return {ResultCode::RC_MALFORMED, "step " + std::to_string(command.step)};
	}
	if (rule->needs_permit && (command.permit == 0 || next.permit.Value() != command.permit)) {
		return {ResultCode::RC_WRONG_PERMIT, command.box};
	}
	const PermitPurpose required_purpose = rule->step == BoxStepKind::BK_CHANGE_POOL ? PermitPurpose::PP_MOVE
										   : rule->step == BoxStepKind::BK_REBOOT    ? PermitPurpose::PP_MAINTAIN
																					 : next.purpose;
	if ((next.state != rule->from && next.state != rule->alternative_from) || next.purpose != required_purpose) {
		return {ResultCode::RC_WRONG_STATE, command.box};
	}
	if (rule->step == BoxStepKind::BK_CHANGE_POOL && !IsPool(fleet, next.move_to)) {
		return {ResultCode::RC_UNKNOWN_POOL, next.move_to.Value()};
	}
	if (rule->step == BoxStepKind::BK_EMPTIED) {
		/* Each keeper reports the confirmations of its entries. Until all entries have confirmed, the box stays in
		 * BS_DRAINING, and the step only adds the new confirmations. */
		const size_t confirmed_before = next.confirmed.size();
		next.confirmed.insert(command.confirmed.begin(), command.confirmed.end());
		if (!IsDrained(fleet, next)) {
			const bool confirmations_added = next.confirmed.size() > confirmed_before;
			return confirmations_added ? Result()
									   : Result{ResultCode::RC_WRONG_STATE, command.box + " is not empty yet"};
		}
	}
	ApplyStep(next, *rule, fleet.time);
	return {};
}

Result CmdBoxStep(const CommandContext &context, FleetState &fleet, const glade::wire::BoxStepT &command)
{
	Box next;
	Result result = CheckBoxStep(fleet, command, next);
	if (result.Ok() && context.mode == CommandMode::CM_EXECUTE) {
		fleet.Put(fleet.boxes, next.name, next);
	}
	return result;
}
