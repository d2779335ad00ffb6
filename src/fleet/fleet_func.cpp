/** @file fleet_func.cpp The fold: decodes records of the log and applies their proposals in order. */
#include "fleet_func.h"

#include "fleet_hash.h"
#include "table_func.h"

#include <algorithm>

namespace {

using glade::wire::Change;
using glade::wire::ChangeUnion;

constexpr uint64_t SWEEP_EVERY = 1024;         ///< Records between two sweeps of what may be forgotten.
constexpr Millis KEEP_FINISHED(MS_PER_DAY);    ///< How long a finished job is remembered.
constexpr Millis KEEP_WRITER(14 * MS_PER_DAY); ///< How long a silent writer is remembered; over any retention.

/**
 * Turns a publication of the log into an edit.
 * @param it The publication.
 * @return The edit.
 */
TableEdit EditOf(const glade::wire::TablePublishT &it)
{
	TableEdit edit;
	edit.base = TableVersion(it.base_version);
	for (const auto &cell : it.cells) {
		edit.cells.push_back(CellEdit{CellKey{ServiceName(cell->service), cell->column}, cell->value});
	}
	for (const std::string &service : it.removed_services) {
		edit.removed.emplace_back(service);
	}
	return edit;
}

/**
 * Decides whether a proposal is new, by the mark of its writer.
 * @param fleet The state.
 * @param id The proposal.
 * @return RC_OK, RC_DUPLICATE or RC_FENCED.
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
 * Forgets finished jobs and silent writers. Runs at fixed offsets, so every process forgets the same.
 * @param fleet The state.
 */
void Sweep(FleetState &fleet)
{
	std::vector<JobName> old_jobs;
	for (const auto &[name, job] : fleet.jobs) {
		const bool finished = job.state == JobState::JS_DONE || job.state == JobState::JS_CANCELLED ||
							  job.state == JobState::JS_PARKED;
		if (finished && job.since + KEEP_FINISHED < fleet.time) {
			old_jobs.push_back(name);
		}
	}
	std::vector<std::string> old_writers;
	for (const auto &[name, mark] : fleet.writers) {
		if (mark.last + KEEP_WRITER < fleet.time && !fleet.members.contains(MemberName(name))) {
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
 * Folds the proposals of a batch.
 * @param fleet The state.
 * @param batch The batch.
 * @return A decision per proposal.
 */
std::vector<Decision> FoldBatch(FleetState &fleet, const BatchT &batch)
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
			fleet.Put(fleet.writers, batch.writer, WriterMark{context.incarnation, proposal->sequence, fleet.time});
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
		decisions = FoldBatch(fleet, *batch);
	}
	if (record.offset.Value() % SWEEP_EVERY == 0) {
		Sweep(fleet);
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
		return {}; /* Chunks are read by those who join; they change nothing. */
	case Change::RuleAdvance:
		return CmdRuleAdvance(context, fleet, *change.AsRuleAdvance());
	case Change::NONE:
		break;
	}
	return {ResultCode::RC_MALFORMED, "no change"};
}
