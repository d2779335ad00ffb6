/** @file member_cmd.cpp Commands on the system's own processes: joins, leaves, planning terms and rule versions. */
#include "fleet_func.h"
#include "fleet_hash.h"

#include <algorithm>

namespace {

/**
 * @param fleet The state.
 * @param member Member whose lease is reported as expired.
 * @param witnesses Keepers that reported it.
 * @return Whether every other keeper of its zone is among them.
 */
bool ConfirmedByAllKeepers(const FleetState &fleet, const Member &member, const std::set<std::string> &witnesses)
{
	return std::ranges::all_of(fleet.members, [&](const auto &it) {
		const Member &other = it.second;
		const bool counts =
				other.role == MemberRole::MR_KEEPER && other.zone == member.zone && other.name != member.name;
		return !counts || witnesses.contains(other.name.Value());
	});
}

/**
 * Checks whether the writer may propose joins and leaves of a member: a member may for itself, and a keeper for any
 * member of its zone.
 * @param context Context of the command, with the writer.
 * @param fleet The state.
 * @param member Name of the member.
 * @param zone Zone of the member.
 * @return Whether the writer may propose them.
 */
bool MayActFor(const CommandContext &context, const FleetState &fleet, const MemberName &member, const ZoneName &zone)
{
	if (context.writer == member.Value()) {
		return true;
	}
	const auto keeper = fleet.members.find(MemberName(context.writer));
	return keeper != fleet.members.end() && keeper->second.role == MemberRole::MR_KEEPER && keeper->second.zone == zone;
}

/**
 * Counts a join or leave of an entry, which may change the owners of keys. Joins and leaves of keepers aren't counted.
 * @param fleet The state.
 * @param member The member that joined or left.
 */
void CountZoneChange(FleetState &fleet, const Member &member)
{
	if (member.role != MemberRole::MR_ENTRY) {
		return;
	}
	const auto old = fleet.zones.find(member.zone);
	const uint64_t changes = old == fleet.zones.end() ? 0 : old->second.changes;
	fleet.Put(fleet.zones, member.zone, ZoneChange{changes + 1, fleet.time});
}

} // namespace

Result CheckTerm(const CommandContext &context, const FleetState &fleet)
{
	const auto planner = fleet.planners.find(context.region);
	if (planner == fleet.planners.end() || planner->second.term != context.term ||
		planner->second.member.Value() != context.writer) {
		return {ResultCode::RC_STALE_TERM, "region " + context.region.Value()};
	}
	return {};
}

Result CmdMemberJoin(const CommandContext &context, FleetState &fleet, const glade::wire::MemberJoinT &command)
{
	if (command.member.empty() || command.zone.empty() || command.role > static_cast<uint8_t>(MemberRole::MR_KEEPER)) {
		return {ResultCode::RC_MALFORMED, "member and zone are needed"};
	}
	if (!MayActFor(context, fleet, MemberName(command.member), ZoneName(command.zone))) {
		return {ResultCode::RC_UNKNOWN_MEMBER, context.writer + " may not speak for " + command.member};
	}
	const auto old = fleet.members.find(MemberName(command.member));
	if (old != fleet.members.end() && old->second.incarnation.Value() > command.incarnation) {
		return {ResultCode::RC_FENCED, command.member};
	}
	Member member;
	member.name = MemberName(command.member);
	member.role = static_cast<MemberRole>(command.role);
	member.region = RegionName(command.region);
	member.zone = ZoneName(command.zone);
	member.address = command.address;
	member.frames = command.frames;
	member.incarnation = Incarnation(command.incarnation);
	member.rules = command.rules;
	const bool rejoins = old != fleet.members.end() && old->second.incarnation == member.incarnation;
	/* Joining again shows that the member is alive, so it also clears the reports of an expired lease. */
	member.since = rejoins ? old->second.since : fleet.time;
	if (context.mode == CommandMode::CM_TEST || (rejoins && old->second == member)) {
		return {};
	}
	fleet.Put(fleet.members, member.name, member);
	if (!rejoins) {
		CountZoneChange(fleet, member);
	}
	return {};
}

Result CmdMemberLeave(const CommandContext &context, FleetState &fleet, const glade::wire::MemberLeaveT &command)
{
	const auto old = fleet.members.find(MemberName(command.member));
	if (old == fleet.members.end() || old->second.incarnation.Value() != command.incarnation) {
		return {ResultCode::RC_UNKNOWN_MEMBER, command.member};
	}
	Member member = old->second;
	const bool self_reported = command.witness == command.member && MayActFor(context, fleet, member.name, member.zone);
	if (!self_reported) {
		const auto witness = fleet.members.find(MemberName(command.witness));
		if (witness == fleet.members.end() || witness->second.role != MemberRole::MR_KEEPER ||
			witness->second.zone != member.zone || command.witness != context.writer) {
			return {ResultCode::RC_UNKNOWN_MEMBER, "witness " + command.witness};
		}
		member.witnesses.insert(command.witness);
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	if (self_reported || ConfirmedByAllKeepers(fleet, member, member.witnesses)) {
		fleet.Drop(fleet.members, member.name);
		CountZoneChange(fleet, member);
	} else {
		fleet.Put(fleet.members, member.name, member);
	}
	return {};
}

Result CmdPlannerTerm(const CommandContext &context, FleetState &fleet, const glade::wire::PlannerTermT &command)
{
	const RegionName region(command.region);
	const auto old = fleet.planners.find(region);
	const Term current = old == fleet.planners.end() ? Term() : old->second.term;
	if (current.Value() != command.seen_term) {
		return {ResultCode::RC_STALE_TERM, "region " + command.region + ", term " + std::to_string(current.Value())};
	}
	if (command.member != context.writer) {
		return {ResultCode::RC_MALFORMED, "a member takes a term for itself"};
	}
	if (context.mode == CommandMode::CM_EXECUTE) {
		fleet.Put(fleet.planners, region, PlannerAssignment{MemberName(command.member), Term(current.Value() + 1)});
	}
	return {};
}

Result CmdRuleAdvance(const CommandContext &context, FleetState &fleet, const glade::wire::RuleAdvanceT &command)
{
	if (command.version != fleet.rule_version + 1) {
		return {ResultCode::RC_RULE_VERSION, std::to_string(command.version)};
	}
	const auto lacks_version = [&](const auto &member) { return member.second.rules < command.version; };
	const auto outdated = std::ranges::find_if(fleet.members, lacks_version);
	if (outdated != fleet.members.end()) {
		return {ResultCode::RC_RULE_VERSION, outdated->first.Value() + " does not know them yet"};
	}
	if (context.mode == CommandMode::CM_EXECUTE) {
		fleet.rule_version = command.version;
	}
	return {};
}
