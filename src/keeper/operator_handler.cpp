/** @file operator_handler.cpp Handles requests of operators. */
#include "operator_handler.h"

#include "../fleet/table_func.h"

#include <algorithm>
#include <memory>
#include <ranges>
#include <utility>

using glade::wire::AskOutcomeT;
using glade::wire::ChangeRequestT;
using glade::wire::MessageUnion;
using glade::wire::OutcomeT;
using glade::wire::ProposalT;
using glade::wire::PublishRequestT;
using glade::wire::TableCellT;
using glade::wire::TablePublishT;
using glade::wire::TableReplyT;

namespace {

constexpr size_t MAX_RECENT_DECISIONS = 20000; ///< Maximum number of remembered decisions.
constexpr Millis OUTCOME_TIMEOUT(5000);        ///< Time after which an undecided request is answered.

/** Builds the reply with an outcome. */
MessageUnion OutcomeOf(const std::string &id, const Result &result, LogOffset offset)
{
	OutcomeT outcome;
	outcome.id = id;
	outcome.code = static_cast<uint32_t>(result.code);
	outcome.offset = offset.Value();
	outcome.message = result.detail;
	MessageUnion message;
	message.Set(std::move(outcome));
	return message;
}

/** Copies a proposal by encoding and decoding it. */
Proposal CopyOf(const ProposalT &from)
{
	flatbuffers::FlatBufferBuilder builder;
	builder.Finish(glade::wire::Proposal::Pack(builder, &from));
	return Proposal(flatbuffers::GetRoot<glade::wire::Proposal>(builder.GetBufferPointer())->UnPack());
}

/** Builds the change that publishes an edit. */
TablePublishT PublicationOf(const PublishRequestT &request)
{
	TablePublishT publish;
	publish.base_version = request.base_version;
	publish.removed_services = request.removed_services;
	for (const auto &cell : request.cells) {
		publish.cells.push_back(std::make_unique<TableCellT>(*cell));
	}
	return publish;
}

} // namespace

void OperatorHandler::OnPublish(const PublishRequestT &request, const Reply &reply)
{
	Proposal proposal = MakeProposal(PublicationOf(request));
	if (!request.check_only) {
		this->Propose(std::move(proposal), reply);
		return;
	}
	FleetState scratch = this->core.State();
	CommandContext context;
	context.mode = CommandMode::CM_TEST;
	context.offset = LogOffset(scratch.offset.Value() + 1);
	context.writer = this->core.self.name.Value();
	reply(OutcomeOf("", RunCommand(context, scratch, proposal->change), scratch.offset));
}

void OperatorHandler::OnChange(const ChangeRequestT &request, const Reply &reply)
{
	if (!request.proposal) {
		reply(OutcomeOf("", Result{ResultCode::RC_MALFORMED, "no change"}, LogOffset()));
		return;
	}
	this->Propose(CopyOf(*request.proposal), reply);
}

void OperatorHandler::Propose(Proposal proposal, const Reply &reply)
{
	const auto answered = std::make_shared<bool>(false);
	const auto done = [answered, reply](const Decision &decision) {
		if (!std::exchange(*answered, true)) {
			reply(OutcomeOf(decision.id.Text(), decision.result, decision.offset));
		}
	};
	const auto id = this->core.writer.Submit(std::move(proposal), WritePriority::WP_CONFIG, done);
	this->core.scheduler.After(OUTCOME_TIMEOUT, [this, answered, reply, id] {
		if (std::exchange(*answered, true)) {
			return;
		}
		/* A proposal not appended yet is withdrawn and the outcome is certain; otherwise it may still take effect. */
		const bool certain = this->core.writer.Withdraw(id);
		const ResultCode code = certain ? ResultCode::RC_LOG_UNAVAILABLE : ResultCode::RC_OUTCOME_UNKNOWN;
		reply(OutcomeOf(certain ? "" : id->Text(), Result{code, ""}, LogOffset()));
	});
}

void OperatorHandler::OnAskOutcome(const AskOutcomeT &request, const Reply &reply) const
{
	/* A proposal may be in the log twice; the second copy is decided as a duplicate, which is not its outcome. */
	const auto matches_id = [&](const Decision &decision) {
		return decision.id.Text() == request.id && decision.result.code != ResultCode::RC_DUPLICATE;
	};
	const auto found = std::ranges::find_if(this->recent, matches_id);
	if (found == this->recent.end()) {
		reply(OutcomeOf(request.id, Result{ResultCode::RC_OUTCOME_UNKNOWN, ""}, LogOffset()));
		return;
	}
	reply(OutcomeOf(request.id, found->result, found->offset));
}

void OperatorHandler::OnTableRequest(const Reply &reply) const
{
	TableReplyT table;
	table.version = this->core.State().table_version.Value();
	for (const auto &[key, cell] : this->core.State().cells) {
		auto it = std::make_unique<TableCellT>();
		it->service = key.service.Value();
		it->column = key.column;
		it->value = cell.value;
		table.cells.push_back(std::move(it));
	}
	MessageUnion message;
	message.Set(std::move(table));
	reply(message);
}

void OperatorHandler::OnDecisions(const std::vector<Decision> &decisions)
{
	for (const Decision &it : decisions) {
		this->recent.push_back(it);
		(it.result.Ok() ? this->core.counters.accepted : this->core.counters.rejected)++;
	}
	while (this->recent.size() > MAX_RECENT_DECISIONS) {
		this->recent.pop_front();
	}
}
