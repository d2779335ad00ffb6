/** @file fleet_func.cpp Decodes records of the log and applies their proposals to the state in order. */
#include "fleet_func.h"

#include "fleet_hash.h"
#include "table_func.h"

#include <algorithm>

namespace {

using glade::wire::Change;
using glade::wire::ChangeUnion;

constexpr uint64_t SWEEP_INTERVAL_RECORDS = 1024;    ///< Records between two runs of RemoveExpired().
constexpr Millis FINISHED_JOB_RETENTION(MS_PER_DAY); ///< Time that a finished job is kept.
constexpr Millis IDLE_WRITER_RETENTION(14 *
									   MS_PER_DAY); ///< Time that an idle writer is kept; exceeds any log retention.

/**
 * Converts a publication from the log to an edit.
 * @param publication The publication.
 * @return The edit.
 */
TableEdit EditOf(const glade::wire::TablePublishT &publication)
{
	TableEdit edit;
	edit.base = TableVersion(publication.base_version);
	for (const auto &cell : publication.cells) {
		edit.cells.push_back(CellEdit{CellKey{ServiceName(cell->service), cell->column}, cell->value});
	}
	for (const std::string &service : publication.removed_services) {
		edit.removed.emplace_back(service);
	}
	return edit;
}

/**
 * Checks whether a proposal is new, by the last proposal of its writer that was decided.
 * @param fleet The state.
 * @param id Id of the proposal.
 * @return RC_OK, RC_DUPLICATE, or RC_FENCED when a later incarnation has written.
 */
Result CheckWriter(const FleetState &fleet, const ProposalId &id)
{
	const auto it = fleet.writers.find(id.writer);
	if (it == fleet.writers.end() || it->second.incarnation < id.incarnation) {
		return {};
	}
	if (it->second.incarnation > id.incarnation) {
		return {ResultCode::RC_FENCED, id.Text()};
	}
	return it->second.sequence >= id.sequence ? Result{ResultCode::RC_DUPLICATE, id.Text()} : Result();
}

/**
 * Removes old finished jobs and idle writers that are no members. Runs at fixed offsets, so that every process removes
 * the same ones.
 * @param fleet The state.
 */
void RemoveExpired(FleetState &fleet)
{
	std::vector<JobName> old_jobs;
	for (const auto &[name, job] : fleet.jobs) {
		const bool finished = job.state == JobState::JS_DONE || job.state == JobState::JS_CANCELLED ||
							  job.state == JobState::JS_PARKED;
		if (finished && job.since + FINISHED_JOB_RETENTION < fleet.time) {
			old_jobs.push_back(name);
		}
	}
	std::vector<std::string> old_writers;
	for (const auto &[name, progress] : fleet.writers) {
		if (progress.last + IDLE_WRITER_RETENTION < fleet.time && !fleet.members.contains(MemberName(name))) {
			old_writers.push_back(name);
		}
	}
	for (const JobName &name : old_jobs) {
		fleet.Drop(fleet.jobs, name);
	}
	for (const std::string &name : old_writers) {
		fleet.Drop(fleet.writers, name);
	}
}

/**
 * Applies the proposals of a batch.
 * @param fleet The state.
 * @param batch The batch.
 * @return A decision per proposal.
 */
std::vector<Decision> ApplyBatch(FleetState &fleet, const BatchT &batch)
{
	std::vector<Decision> decisions;
	CommandContext context;
	context.offset = fleet.offset;
	context.writer = batch.writer;
	context.incarnation = Incarnation(batch.incarnation);
	context.region = RegionName(batch.region);
	context.term = Term(batch.term);
	for (const auto &proposal : batch.proposals) {
		Decision decision;
		decision.id = ProposalId{batch.writer, context.incarnation, proposal->sequence};
		decision.offset = fleet.offset;
		decision.result = CheckWriter(fleet, decision.id);
		if (decision.result.Ok()) {
			decision.result = batch.rule_version == fleet.rule_version
									  ? RunCommand(context, fleet, proposal->change)
									  : Result{ResultCode::RC_RULE_VERSION, std::to_string(batch.rule_version)};
			fleet.Put(fleet.writers, batch.writer, WriterProgress{context.incarnation, proposal->sequence, fleet.time});
		}
		decisions.push_back(std::move(decision));
		context.index++;
	}
	return decisions;
}

} // namespace

std::string ProposalId::Text() const
{
	return this->writer + "." + std::to_string(this->incarnation.Value()) + "." + std::to_string(this->sequence);
}

std::string EncodeBatch(const BatchT &batch)
{
	flatbuffers::FlatBufferBuilder builder;
	builder.Finish(glade::wire::Batch::Pack(builder, &batch));
	return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::unique_ptr<BatchT> DecodeBatch(const std::string &bytes)
{
	const auto *data = reinterpret_cast<const uint8_t *>(bytes.data());
	flatbuffers::Verifier verifier(data, bytes.size());
	if (!verifier.VerifyBuffer<glade::wire::Batch>()) {
		return nullptr;
	}
	return std::unique_ptr<BatchT>(flatbuffers::GetRoot<glade::wire::Batch>(data)->UnPack());
}

std::vector<Decision> ApplyRecord(FleetState &fleet, const LogRecord &record)
{
	if (record.offset <= fleet.offset || !SupportsRules(fleet)) {
		return {};
	}
	fleet.offset = record.offset;
	fleet.time = std::max(fleet.time, record.stamp);
	const std::unique_ptr<BatchT> batch = DecodeBatch(record.bytes);
	std::vector<Decision> decisions;
	if (batch) {
		decisions = ApplyBatch(fleet, *batch);
	}
	if (record.offset.Value() % SWEEP_INTERVAL_RECORDS == 0) {
		RemoveExpired(fleet);
	}
	return decisions;
}

Result RunCommand(const CommandContext &context, FleetState &fleet, const ChangeUnion &change)
{
	switch (change.type) {
	case Change::TablePublish:
		return CmdPublishTable(context.mode, fleet, EditOf(*change.AsTablePublish()),
							   TableVersion(context.offset.Value()));
	case Change::BoxRegister:
		return CmdBoxRegister(context, fleet, *change.AsBoxRegister());
	case Change::BoxHealthReport:
		return CmdBoxHealth(context, fleet, *change.AsBoxHealthReport());
	case Change::PermitGrant:
		return CmdPermitGrant(context, fleet, *change.AsPermitGrant());
	case Change::BoxStep:
		return CmdBoxStep(context, fleet, *change.AsBoxStep());
	case Change::MemberJoin:
		return CmdMemberJoin(context, fleet, *change.AsMemberJoin());
	case Change::MemberLeave:
		return CmdMemberLeave(context, fleet, *change.AsMemberLeave());
	case Change::PlannerTerm:
		return CmdPlannerTerm(context, fleet, *change.AsPlannerTerm());
	case Change::TeamQuota:
		return CmdTeamQuota(context, fleet, *change.AsTeamQuota());
	case Change::JobAccept:
		return CmdJobAccept(context, fleet, *change.AsJobAccept());
	case Change::JobPlace:
		return CmdJobPlace(context, fleet, *change.AsJobPlace());
	case Change::JobReport:
		return CmdJobReport(context, fleet, *change.AsJobReport());
	case Change::JobCancel:
		return CmdJobCancel(context, fleet, *change.AsJobCancel());
	case Change::SnapshotChunk:
		return {}; /* Read by SnapshotCollector; does not change the state. */
	case Change::RuleAdvance:
		return CmdRuleAdvance(context, fleet, *change.AsRuleAdvance());
	case Change::NONE:
		break;
	}
	return {ResultCode::RC_MALFORMED, "no change"};
}
