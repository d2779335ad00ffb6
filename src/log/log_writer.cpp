/** @file log_writer.cpp Group commit: gathers proposals, appends them in one record a tick, repeats lost answers. */
#include "log_writer.h"

#include <algorithm>
#include <utility>

namespace {

constexpr size_t PROPOSAL_BYTES_GUESS = 96; ///< Bytes of an ordinary proposal, for sizing a batch.

/**
 * @param proposal A proposal.
 * @return About how many bytes it takes in a batch.
 */
size_t SizeOf(const glade::wire::ProposalT &proposal)
{
	const auto *chunk = proposal.change.AsSnapshotChunk();
	return PROPOSAL_BYTES_GUESS + (chunk == nullptr ? 0 : chunk->bytes.size());
}

} // namespace

LogWriter::LogWriter(Scheduler &scheduler, LogService &log, std::string writer, Incarnation incarnation,
					 WriterPace pace)
		: scheduler(scheduler), log(log), writer(std::move(writer)), incarnation(incarnation), pace(pace),
		  wait(pace.retry), alive(std::make_shared<bool>(true))
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
	this->waiting[priority].push_back(Waiting{std::move(proposal), std::move(done), id});
	this->Plan();
	return id;
}

bool LogWriter::Withdraw(const std::shared_ptr<const ProposalId> &id)
{
	size_t removed = 0;
	for (auto &[priority, queue] : this->waiting) {
		removed += std::erase_if(queue, [&](const Waiting &it) { return it.id == id; });
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
	for (const auto &[priority, queue] : this->waiting) {
		n += queue.size();
	}
	return n;
}

void LogWriter::Plan()
{
	const bool idle = this->in_flight.empty() && this->timer == TimerId();
	if (!idle || this->Backlog() == 0) {
		return;
	}
	const Millis since = this->scheduler.Now() - this->last_append;
	const Millis delay = since >= this->pace.tick ? Millis(0) : this->pace.tick - since;
	this->timer = this->scheduler.After(delay, [this] {
		this->timer = TimerId();
		this->StartBatch();
	});
}

void LogWriter::Fill(BatchT &it)
{
	size_t bytes = 0;
	for (auto &[priority, queue] : this->waiting) {
		while (!queue.empty() && it.proposals.size() < this->pace.batch_proposals) {
			const size_t size = SizeOf(*queue.front().proposal);
			if (!it.proposals.empty() && bytes + size > this->pace.batch_bytes) {
				return;
			}
			bytes += size;
			Waiting next = std::move(queue.front());
			queue.pop_front();
			next.proposal->sequence = ++this->sequence;
			next.id->sequence = this->sequence;
			this->in_flight.emplace(this->sequence, std::move(next.done));
			it.proposals.push_back(std::move(next.proposal));
		}
	}
}

void LogWriter::StartBatch()
{
	BatchT it;
	it.rule_version = this->rule_version;
	it.writer = this->writer;
	it.incarnation = this->incarnation.Value();
	it.region = this->region.Value();
	it.term = this->term.Value();
	this->Fill(it);
	if (it.proposals.empty()) {
		return;
	}
	this->batch = EncodeBatch(it);
	this->round++;
	this->wait = this->pace.retry;
	this->Send();
}

void LogWriter::Send()
{
	this->last_append = this->scheduler.Now();
	this->counters.appends++;
	this->counters.bytes += this->batch.size();
	this->log.Append(this->batch, [this, still = this->alive, of_round = this->round](const AppendAnswer &answer) {
		if (*still) {
			this->OnAnswer(of_round, answer);
		}
	});
}

void LogWriter::OnAnswer(uint64_t of_round, const AppendAnswer &answer)
{
	if (of_round != this->round || this->in_flight.empty()) {
		return;
	}
	/* Even after RC_OK the batch stays here until the fold has decided it; the wait then only guards against a
	 * reader that never comes to it. */
	const Millis delay = answer.code == ResultCode::RC_OK ? this->pace.retry_max : this->wait;
	this->wait = std::min(Millis(this->wait.Value() * 2), this->pace.retry_max);
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(delay, [this] { this->Retry(); });
}

void LogWriter::Retry()
{
	this->timer = TimerId();
	if (this->in_flight.empty()) {
		this->Plan();
		return;
	}
	this->counters.repeats++;
	this->Send();
}

void LogWriter::OnDecisions(const std::vector<Decision> &decisions)
{
	std::vector<std::pair<Done, Decision>> ready;
	for (const Decision &it : decisions) {
		if (it.id.writer != this->writer || it.id.incarnation != this->incarnation) {
			continue;
		}
		const auto found = this->in_flight.find(it.id.sequence);
		if (found == this->in_flight.end()) {
			continue;
		}
		ready.emplace_back(std::move(found->second), it);
		this->in_flight.erase(found);
		this->counters.proposals++;
	}
	if (!ready.empty() && this->in_flight.empty()) {
		this->scheduler.Cancel(this->timer);
		this->timer = TimerId();
	}
	for (const auto &[done, decision] : ready) {
		if (done) {
			done(decision);
		}
	}
	this->Plan();
}
