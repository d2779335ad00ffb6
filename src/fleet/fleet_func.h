/** @file fleet_func.h The fold: decodes records of the log and applies their proposals in order. */
#ifndef FLEET_FUNC_H
#define FLEET_FUNC_H

#include "../generated/wire_generated.h"
#include "fleet_base.h"

#include <string>
#include <vector>

/** A record of the platform's log. */
struct LogRecord {
	LogOffset offset;  ///< Its place.
	Millis stamp;      ///< The log's own time of the append.
	std::string bytes; ///< What was appended: a wire::Batch.
};

/** Who wrote a proposal: what makes a repeated append harmless. */
struct ProposalId {
	std::string writer;      ///< Name of the writer.
	Incarnation incarnation; ///< Its start.
	uint64_t sequence = 0;   ///< Its count.

	auto operator<=>(const ProposalId &) const = default;

	/** @return Text that operators and scripts use: writer.incarnation.sequence. */
	[[nodiscard]] std::string Text() const;
};

/** What the fold decided on a proposal. */
struct Decision {
	ProposalId id;    ///< The proposal.
	LogOffset offset; ///< Record that held it.
	Result result;    ///< RC_OK when accepted.
};

/** A batch under construction, in native form. */
using BatchT = glade::wire::BatchT;

/** Where a command stands: what a proposal carries besides its change. */
struct CommandContext {
	CommandMode mode = CommandMode::CM_EXECUTE; ///< Check alone, or check and change.
	LogOffset offset;                           ///< Record being folded.
	uint32_t index = 0;                         ///< Place of the proposal in its batch.
	std::string writer;                         ///< Who proposes.
	Incarnation incarnation;                    ///< Its start.
	RegionName region;                          ///< Region that the writer plans, empty when it does not plan.
	Term term;                                  ///< Its planning term.
};

inline constexpr uint32_t RULE_VERSION_NEWEST = 1; ///< Newest rules that this program knows.

/**
 * A program that meets newer rules must stop folding: its state would part from that of the others.
 * @param fleet The state.
 * @return Whether this program knows the rules in force.
 */
inline bool SupportsRules(const FleetState &fleet)
{
	return fleet.rule_version <= RULE_VERSION_NEWEST;
}

/**
 * Folds one record. Records at or below the state's offset are ignored, so that reading twice does no harm.
 * @param fleet The state.
 * @param record The record.
 * @return A decision per proposal, in order.
 */
std::vector<Decision> ApplyRecord(FleetState &fleet, const LogRecord &record);

/**
 * Applies one change: the same code for a test run and for the fold.
 * @param context Mode, place and writer.
 * @param fleet The state.
 * @param change The change.
 * @return RC_OK or why it is refused.
 */
Result RunCommand(const CommandContext &context, FleetState &fleet, const glade::wire::ChangeUnion &change);

/**
 * Encodes a batch as the log keeps it.
 * @param batch The batch.
 * @return Bytes.
 */
std::string EncodeBatch(const BatchT &batch);

/**
 * Decodes a record's bytes.
 * @param bytes The bytes.
 * @return The batch, null when the bytes are no valid batch.
 */
std::unique_ptr<BatchT> DecodeBatch(const std::string &bytes);

/**
 * Builds a proposal around a native change.
 * @tparam T Native type of the change, such as wire::BoxStepT.
 * @param change The change.
 * @return A proposal without sequence; the writer numbers it.
 */
template <class T>
std::unique_ptr<glade::wire::ProposalT> MakeProposal(T change)
{
	auto proposal = std::make_unique<glade::wire::ProposalT>();
	proposal->change.Set(std::move(change));
	return proposal;
}

/* Commands, one family a file. Each checks, and changes the state only in execute mode. */
Result CmdBoxRegister(const CommandContext &context, FleetState &fleet, const glade::wire::BoxRegisterT &it);
Result CmdBoxHealth(const CommandContext &context, FleetState &fleet, const glade::wire::BoxHealthReportT &it);
Result CmdPermitGrant(const CommandContext &context, FleetState &fleet, const glade::wire::PermitGrantT &it);
Result CmdBoxStep(const CommandContext &context, FleetState &fleet, const glade::wire::BoxStepT &it);
Result CmdMemberJoin(const CommandContext &context, FleetState &fleet, const glade::wire::MemberJoinT &it);
Result CmdMemberLeave(const CommandContext &context, FleetState &fleet, const glade::wire::MemberLeaveT &it);
Result CmdPlannerTerm(const CommandContext &context, FleetState &fleet, const glade::wire::PlannerTermT &it);
Result CmdRuleAdvance(const CommandContext &context, FleetState &fleet, const glade::wire::RuleAdvanceT &it);
Result CmdTeamQuota(const CommandContext &context, FleetState &fleet, const glade::wire::TeamQuotaT &it);
Result CmdJobAccept(const CommandContext &context, FleetState &fleet, const glade::wire::JobAcceptT &it);
Result CmdJobPlace(const CommandContext &context, FleetState &fleet, const glade::wire::JobPlaceT &it);
Result CmdJobReport(const CommandContext &context, FleetState &fleet, const glade::wire::JobReportT &it);
Result CmdJobCancel(const CommandContext &context, FleetState &fleet, const glade::wire::JobCancelT &it);

/**
 * Checks a step of a box, without changing the state.
 * @param fleet The state.
 * @param it The step.
 * @param[out] next The box after the step.
 * @return RC_OK or why it is refused.
 */
Result CheckBoxStep(const FleetState &fleet, const glade::wire::BoxStepT &it, Box &next);

/**
 * Checks that the writer plans the region that its batch names.
 * @param context Writer, region and term.
 * @param fleet The state.
 * @return RC_OK or RC_STALE_TERM.
 */
Result CheckTerm(const CommandContext &context, const FleetState &fleet);

#endif /* FLEET_FUNC_H */
