/** @file log_writer.cpp Group commit: appends proposals in one record per tick, repeats appends with lost answers. */
#include "log_writer.h"

#include <algorithm>
#include <utility>

namespace {

constexpr size_t PROPOSAL_BYTES_ESTIMATE = 96; ///< Estimated size of a proposal without a snapshot chunk.

/**
 * @param proposal A proposal.
 * @return Estimated size in a batch, in bytes.
 */
size_t EstimateBytes(const glade::wire::ProposalT &proposal)
{
	const auto *chunk = proposal.change.AsSnapshotChunk();
	return PROPOSAL_BYTES_ESTIMATE + (chunk == nullptr ? 0 : chunk->bytes.size());
}

} // namespace

LogWriter::LogWriter(Scheduler &scheduler, LogService &log, std::string writer, Incarnation incarnation,
					 WriterSettings settings)
		: scheduler(scheduler), log(log), writer(std::move(writer)), incarnation(incarnation), settings(settings),
		  retry_delay(settings.retry), alive(std::make_shared<bool>(true))
{
}

LogWriter::~LogWriter()
{
	*this->alive = false;
	this->scheduler.Cancel(this->timer);
}

std::shared_ptr<const ProposalId> LogWriter::Submit(std::unique_ptr<glade::wire::ProposalT> proposal,
													WritePriority priority, Done done)
{
	auto id = std::make_shared<ProposalId>(ProposalId{this->writer, this->incarnation, 0});
	this->queues[priority].push_back(QueuedProposal{std::move(proposal), std::move(done), id});
	this->ScheduleBatch();
	return id;
}

bool LogWriter::Withdraw(const std::shared_ptr<const ProposalId> &id)
{
	size_t removed = 0;
	for (auto &[priority, queue] : this->queues) {
		removed += std::erase_if(queue, [&](const QueuedProposal &it) { return it.id == id; });
	}
	return removed > 0;
}

void LogWriter::SetTerm(RegionName region, Term term)
{
	this->region = std::move(region);
	this->term = term;
}

size_t LogWriter::Backlog() const
{
	size_t n = this->in_flight.size();
	for (const auto &[priority, queue] : this->queues) {
		n += queue.size();
	}
	return n;
}

void LogWriter::ScheduleBatch()
{
	const bool idle = this->in_flight.empty() && this->timer == TimerId();
	if (!idle || this->Backlog() == 0) {
		return;
	}
	const Millis since = this->scheduler.Now() - this->last_append;
	const Millis delay = since >= this->settings.tick ? Millis(0) : this->settings.tick - since;
	this->timer = this->scheduler.After(delay, [this] {
		this->timer = TimerId();
		this->StartBatch();
	});
}

void LogWriter::FillBatch(BatchT &new_batch)
{
	size_t bytes = 0;
	for (auto &[priority, queue] : this->queues) {
		while (!queue.empty() && new_batch.proposals.size() < this->settings.batch_proposals) {
			const size_t size = EstimateBytes(*queue.front().proposal);
			if (!new_batch.proposals.empty() && bytes + size > this->settings.batch_bytes) {
				return;
			}
			bytes += size;
			QueuedProposal next = std::move(queue.front());
			queue.pop_front();
			next.proposal->sequence = ++this->sequence;
			next.id->sequence = this->sequence;
			this->in_flight.emplace(this->sequence, std::move(next.done));
			new_batch.proposals.push_back(std::move(next.proposal));
		}
	}
}

void LogWriter::StartBatch()
{
	BatchT new_batch;
	new_batch.rule_version = this->rule_version;
	new_batch.writer = this->writer;
	new_batch.incarnation = this->incarnation.Value();
	new_batch.region = this->region.Value();
	new_batch.term = this->term.Value();
	this->FillBatch(new_batch);
	if (new_batch.proposals.empty()) {
		return;
	}
	this->batch = EncodeBatch(new_batch);
	this->batch_id++;
	this->retry_delay = this->settings.retry;
	this->Send();
}

void LogWriter::Send()
{
	this->last_append = this->scheduler.Now();
	this->counters.appends++;
	this->counters.bytes += this->batch.size();
	this->log.Append(this->batch,
					 [this, alive_flag = this->alive, answered_id = this->batch_id](const AppendAnswer &answer) {
						 if (*alive_flag) {
							 this->OnAnswer(answered_id, answer);
						 }
					 });
}

void LogWriter::OnAnswer(uint64_t answered_id, const AppendAnswer &answer)
{
	if (answered_id != this->batch_id || this->in_flight.empty()) {
		return;
	}
	/* Even after RC_OK the batch is kept until its proposals are decided. The delay then only covers the case that
	 * the record is never read. */
	const Millis delay = answer.code == ResultCode::RC_OK ? this->settings.retry_max : this->retry_delay;
	this->retry_delay = std::min(Millis(this->retry_delay.Value() * 2), this->settings.retry_max);
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(delay, [this] { this->Retry(); });
}

void LogWriter::Retry()
{
	this->timer = TimerId();
	if (this->in_flight.empty()) {
		this->ScheduleBatch();
		return;
	}
	this->counters.repeats++;
	this->Send();
}

void LogWriter::OnDecisions(const std::vector<Decision> &decisions)
{
	std::vector<std::pair<Done, Decision>> decided;
	for (const Decision &it : decisions) {
		if (it.id.writer != this->writer || it.id.incarnation != this->incarnation) {
			continue;
		}
		const auto found = this->in_flight.find(it.id.sequence);
		if (found == this->in_flight.end()) {
			continue;
		}
		decided.emplace_back(std::move(found->second), it);
		this->in_flight.erase(found);
		this->counters.proposals++;
	}
	if (!decided.empty() && this->in_flight.empty()) {
		this->scheduler.Cancel(this->timer);
		this->timer = TimerId();
	}
	for (const auto &[done, decision] : decided) {
		if (done) {
			done(decision);
		}
	}
	this->ScheduleBatch();
}
