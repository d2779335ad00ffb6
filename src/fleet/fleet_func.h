/** @file fleet_func.h Decodes records of the log and applies their proposals to the state in order. */
#ifndef FLEET_FUNC_H
#define FLEET_FUNC_H

#include "../generated/wire_generated.h"
#include "fleet_base.h"

#include <string>
#include <vector>

/** A record of the platform's log. */
struct LogRecord {
	LogOffset offset;  ///< Offset in the log.
	Millis stamp;      ///< Time of the append by the log's clock.
	std::string bytes; ///< Bytes appended: an encoded wire::Batch.
};

/** Identity of a proposal: repeated appends are recognised by it and ignored. */
struct ProposalId {
	std::string writer;      ///< Name of the writer.
	Incarnation incarnation; ///< Incarnation of the writer.
	uint64_t sequence = 0;   ///< Sequence number of the proposal within the incarnation.

	auto operator<=>(const ProposalId &) const = default;

	/** @return The id as operators and scripts write it: writer.incarnation.sequence. */
	[[nodiscard]] std::string Text() const;
};

/** Outcome of applying a proposal. */
struct Decision {
	ProposalId id;    ///< The proposal.
	LogOffset offset; ///< Offset of the record that held it.
	Result result;    ///< RC_OK when accepted, else the reason for the refusal.
};

/** A batch in the native (unpacked) form of FlatBuffers. */
using BatchT = glade::wire::BatchT;

/** Context of a command: what its proposal and batch carry besides the change. */
struct CommandContext {
	CommandMode mode = CommandMode::CM_EXECUTE; ///< Whether to check only, or to check and change.
	LogOffset offset;                           ///< Offset of the record being applied.
	uint32_t index = 0;                         ///< Index of the proposal in its batch, from 0.
	std::string writer;                         ///< Name of the writer.
	Incarnation incarnation;                    ///< Incarnation of the writer.
	RegionName region;                          ///< Region that the writer plans, empty when it plans none.
	Term term;                                  ///< Term in which the writer plans.
};

inline constexpr uint32_t RULE_VERSION_NEWEST = 1; ///< Newest rule version that this program supports.

/**
 * A program must stop applying records when the rule version in force is newer than it supports: its state would
 * diverge from that of other processes.
 * @param fleet The state.
 * @return Whether this program supports the rule version in force.
 */
inline bool SupportsRules(const FleetState &fleet)
{
	return fleet.rule_version <= RULE_VERSION_NEWEST;
}

/**
 * Applies one record. Records at or below the state's offset are ignored, so it is safe to read a record twice.
 * @param fleet The state.
 * @param record The record.
 * @return A decision per proposal, in order; empty when the record is ignored or is no valid batch.
 */
std::vector<Decision> ApplyRecord(FleetState &fleet, const LogRecord &record);

/**
 * Checks one change and, in execute mode, applies it. Both modes run the same checks.
 * @param context Mode, position in the log and writer.
 * @param fleet The state.
 * @param change The change.
 * @return RC_OK or the reason for the refusal.
 */
Result RunCommand(const CommandContext &context, FleetState &fleet, const glade::wire::ChangeUnion &change);

/**
 * Encodes a batch for the log.
 * @param batch The batch.
 * @return Bytes of the record.
 */
std::string EncodeBatch(const BatchT &batch);

/**
 * Decodes a record's bytes.
 * @param bytes The bytes.
 * @return The batch, or null when the bytes are no valid batch.
 */
std::unique_ptr<BatchT> DecodeBatch(const std::string &bytes);

/**
 * Builds a proposal that holds a change in native form.
 * @tparam T Native type of the change, such as wire::BoxStepT.
 * @param change The change.
 * @return A proposal without a sequence number; LogWriter sets it.
 */
template <class T>
std::unique_ptr<glade::wire::ProposalT> MakeProposal(T change)
{
	auto proposal = std::make_unique<glade::wire::ProposalT>();
	proposal->change.Set(std::move(change));
	return proposal;
}

/* Commands, by kind of entity in *_cmd.cpp. Each checks its change, and makes it only in execute mode. */
Result CmdBoxRegister(const CommandContext &context, FleetState &fleet, const glade::wire::BoxRegisterT &command);
Result CmdBoxHealth(const CommandContext &context, FleetState &fleet, const glade::wire::BoxHealthReportT &command);
Result CmdPermitGrant(const CommandContext &context, FleetState &fleet, const glade::wire::PermitGrantT &command);
Result CmdBoxStep(const CommandContext &context, FleetState &fleet, const glade::wire::BoxStepT &command);
Result CmdMemberJoin(const CommandContext &context, FleetState &fleet, const glade::wire::MemberJoinT &command);
Result CmdMemberLeave(const CommandContext &context, FleetState &fleet, const glade::wire::MemberLeaveT &command);
Result CmdPlannerTerm(const CommandContext &context, FleetState &fleet, const glade::wire::PlannerTermT &command);
Result CmdRuleAdvance(const CommandContext &context, FleetState &fleet, const glade::wire::RuleAdvanceT &command);
Result CmdTeamQuota(const CommandContext &context, FleetState &fleet, const glade::wire::TeamQuotaT &command);
Result CmdJobAccept(const CommandContext &context, FleetState &fleet, const glade::wire::JobAcceptT &command);
Result CmdJobPlace(const CommandContext &context, FleetState &fleet, const glade::wire::JobPlaceT &command);
Result CmdJobReport(const CommandContext &context, FleetState &fleet, const glade::wire::JobReportT &command);
Result CmdJobCancel(const CommandContext &context, FleetState &fleet, const glade::wire::JobCancelT &command);

/**
 * Checks a step of a box without changing the state.
 * @param fleet The state.
 * @param command The step.
 * @param[out] next The box after the step.
 * @return RC_OK or the reason for the refusal.
 */
Result CheckBoxStep(const FleetState &fleet, const glade::wire::BoxStepT &command, Box &next);

/**
 * Checks that the writer plans the region that its batch names.
 * @param context Writer, region and term.
 * @param fleet The state.
 * @return RC_OK or RC_STALE_TERM.
 */
Result CheckTerm(const CommandContext &context, const FleetState &fleet);

#endif /* FLEET_FUNC_H */
