/** @file member_cmd.cpp Commands on the system's own processes: joining, leaving, planning terms. */
#include "fleet_func.h"
#include "fleet_hash.h"

#include <algorithm>

namespace {

/**
 * @param fleet The state.
 * @param member A member whose lease is said to have lapsed.
 * @param witnesses Keepers that say so.
 * @return Whether every other keeper of its zone is among them.
 */
bool AllKeepersSaySo(const FleetState &fleet, const Member &member, const std::set<std::string> &witnesses)
{
	return std::ranges::all_of(fleet.members, [&](const auto &it) {
		const Member &other = it.second;
		const bool counts =
				other.role == MemberRole::MR_KEEPER && other.zone == member.zone && other.name != member.name;
		return !counts || witnesses.contains(other.name.Value());
	});
}

/**
 * A process speaks for itself; a keeper passes on what entries of its zone say.
 * @param context The writer.
 * @param fleet The state.
 * @param member Who is spoken for.
 * @param zone Its zone.
 * @return Whether the writer may.
 */
bool MaySpeakFor(const CommandContext &context, const FleetState &fleet, const MemberName &member, const ZoneName &zone)
{
	if (context.writer == member.Value()) {
		return true;
	}
	const auto keeper = fleet.members.find(MemberName(context.writer));
	return keeper != fleet.members.end() && keeper->second.role == MemberRole::MR_KEEPER && keeper->second.zone == zone;
}

/**
 * Counts a join or leave of an entry: who owns a key may have changed.
 * @param fleet The state.
 * @param member Who joined or left.
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
	const auto seat = fleet.planners.find(context.region);
	if (seat == fleet.planners.end() || seat->second.term != context.term ||
		seat->second.member.Value() != context.writer) {
		return {ResultCode::RC_STALE_TERM, "region " + context.region.Value()};
	}
	return {};
}

Result CmdMemberJoin(const CommandContext &context, FleetState &fleet, const glade::wire::MemberJoinT &it)
{
	if (it.member.empty() || it.zone.empty() || it.role > static_cast<uint8_t>(MemberRole::MR_KEEPER)) {
		return {ResultCode::RC_MALFORMED, "member and zone are needed"};
	}
	if (!MaySpeakFor(context, fleet, MemberName(it.member), ZoneName(it.zone))) {
		return {ResultCode::RC_UNKNOWN_MEMBER, context.writer + " may not speak for " + it.member};
	}
	const auto old = fleet.members.find(MemberName(it.member));
	if (old != fleet.members.end() && old->second.incarnation.Value() > it.incarnation) {
		return {ResultCode::RC_FENCED, it.member};
	}
	Member member;
	member.name = MemberName(it.member);
	member.role = static_cast<MemberRole>(it.role);
	member.region = RegionName(it.region);
	member.zone = ZoneName(it.zone);
	member.address = it.address;
	member.frames = it.frames;
	member.incarnation = Incarnation(it.incarnation);
	member.rules = it.rules;
	const bool again = old != fleet.members.end() && old->second.incarnation == member.incarnation;
	/* Joining again also takes back what was witnessed against the member: it lives. */
	member.since = again ? old->second.since : fleet.time;
	if (context.mode == CommandMode::CM_TEST || (again && old->second == member)) {
		return {};
	}
	fleet.Put(fleet.members, member.name, member);
	if (!again) {
		CountZoneChange(fleet, member);
	}
	return {};
}

Result CmdMemberLeave(const CommandContext &context, FleetState &fleet, const glade::wire::MemberLeaveT &it)
{
	const auto old = fleet.members.find(MemberName(it.member));
	if (old == fleet.members.end() || old->second.incarnation.Value() != it.incarnation) {
		return {ResultCode::RC_UNKNOWN_MEMBER, it.member};
	}
	Member member = old->second;
	const bool own_word = it.witness == it.member && MaySpeakFor(context, fleet, member.name, member.zone);
	if (!own_word) {
		const auto witness = fleet.members.find(MemberName(it.witness));
		if (witness == fleet.members.end() || witness->second.role != MemberRole::MR_KEEPER ||
			witness->second.zone != member.zone || it.witness != context.writer) {
			return {ResultCode::RC_UNKNOWN_MEMBER, "witness " + it.witness};
		}
		member.witnesses.insert(it.witness);
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	if (own_word || AllKeepersSaySo(fleet, member, member.witnesses)) {
		fleet.Drop(fleet.members, member.name);
		CountZoneChange(fleet, member);
	} else {
		fleet.Put(fleet.members, member.name, member);
	}
	return {};
}

Result CmdPlannerTerm(const CommandContext &context, FleetState &fleet, const glade::wire::PlannerTermT &it)
{
	const RegionName region(it.region);
	const auto old = fleet.planners.find(region);
	const Term current = old == fleet.planners.end() ? Term() : old->second.term;
	if (current.Value() != it.seen_term) {
		return {ResultCode::RC_STALE_TERM, "region " + it.region + ", term " + std::to_string(current.Value())};
	}
	if (it.member != context.writer) {
		return {ResultCode::RC_MALFORMED, "a member takes a term for itself"};
	}
	if (context.mode == CommandMode::CM_EXECUTE) {
		fleet.Put(fleet.planners, region, PlannerSeat{MemberName(it.member), Term(current.Value() + 1)});
	}
	return {};
}

Result CmdRuleAdvance(const CommandContext &context, FleetState &fleet, const glade::wire::RuleAdvanceT &it)
{
	if (it.version != fleet.rule_version + 1) {
		return {ResultCode::RC_RULE_VERSION, std::to_string(it.version)};
	}
	const auto ignorant = [&](const auto &member) { return member.second.rules < it.version; };
	const auto who = std::ranges::find_if(fleet.members, ignorant);
	if (who != fleet.members.end()) {
		return {ResultCode::RC_RULE_VERSION, who->first.Value() + " does not know them yet"};
	}
	if (context.mode == CommandMode::CM_EXECUTE) {
		fleet.rule_version = it.version;
	}
	return {};
}
