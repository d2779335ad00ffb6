/** @file shard_records.cpp Shard: recording in the log, and answers to callers. */
#include "route_codec.h"
#include "shard_base.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

/** A caller's record that has waited this long for an append is returned unrecorded, so that the caller can try
 * elsewhere. A slow store takes 600 ms per append. */
constexpr Millis WITHDRAW_AFTER(700);
/** After the log has refused an append, callers' records are refused and nothing is placed for this time: as long as
 * two refusals take. */
constexpr Millis REFUSAL_PAUSE(200);
/** Starts whose record took at least this long wait until inbox and reports have been read. A slow store takes 600 ms
 * per append. */
constexpr Millis SLOW_RECORD(1000);
/** Starts recorded within this time after the log was last unreachable wait until inbox and reports have been read: the
 * log is checked twice a second, and the first append afterwards takes up to 0.6 s. */
constexpr Millis LOG_RECOVERY(2000);
/** Maximum time that starts wait for the inbox and the reports, so that a partition that doesn't answer doesn't block
 * them. */
constexpr Millis READ_WAIT_MAX(600);
/** An owner whose last confirmation is older accepts no records of callers. */
constexpr Millis LOG_UNCONFIRMED_MAX(1600);

} // namespace

bool Shard::MayRecord() const
{
	return !this->journal.Busy() && this->scheduler.Now() - this->refused_at >= REFUSAL_PAUSE;
}

void Shard::Accept(IncomingRecord incoming)
{
	const Millis now = this->scheduler.Now();
	const bool unconfirmed =
			now - this->journal.ConfirmedAt() > LOG_UNCONFIRMED_MAX || now - this->refused_at < REFUSAL_PAUSE;
	if (this->BelongsToOtherAccount(incoming.inbox_key)) {
		incoming.done(ResultCode::RC_OTHER_ACCOUNT);
		return;
	}
	if (!this->begun || this->superseded || unconfirmed || this->KnownResultOf(incoming) == ResultCode::RC_OK) {
		incoming.done(this->KnownResultOf(incoming));
		return;
	}
	const uint64_t number = ++this->incoming_last;
	this->incoming.emplace(number, std::move(incoming));
	this->scheduler.After(WITHDRAW_AFTER, [this, number, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->Withdraw(number);
		}
	});
	this->ScheduleTurn();
}

ResultCode Shard::KnownResultOf(const IncomingRecord &incoming) const
{
	/* An equal record may have arrived before: it is recorded already, or in a batch that the log may yet accept. */
	if (!incoming.spec) {
		return this->cancelled.contains({incoming.inbox_key.job, incoming.inbox_key.account})
					   ? ResultCode::RC_OUTCOME_UNKNOWN
					   : ResultCode::RC_LOG_UNAVAILABLE;
	}
	const auto it = this->jobs.find(incoming.inbox_key.job);
	if (it == this->jobs.end()) {
		return ResultCode::RC_LOG_UNAVAILABLE;
	}
	return it->second.recorded ? ResultCode::RC_OK : ResultCode::RC_OUTCOME_UNKNOWN;
}

bool Shard::BelongsToOtherAccount(const InboxKey &name) const
{
	const auto it = this->jobs.find(name.job);
	return it != this->jobs.end() && !MayAccess(it->second.spec.account, name.account);
}

void Shard::Withdraw(uint64_t number)
{
	if (const auto node = this->incoming.extract(number); !node.empty()) {
		node.mapped().done(this->KnownResultOf(node.mapped()));
	}
}

void Shard::ApplyIncoming()
{
	for (IncomingRecord &it : std::exchange(this->incoming, {}) | std::views::values) {
		if (this->BelongsToOtherAccount(it.inbox_key)) {
			it.done(ResultCode::RC_OTHER_ACCOUNT); /* Two callers have submitted the same id at the same time. */
			continue;
		}
		if (this->may_record && !this->may_record(it)) {
			it.done(ResultCode::RC_LOG_UNAVAILABLE); /* The route was redirected to another shard meanwhile. */
			continue;
		}
		const bool known = it.spec ? this->jobs.contains(it.inbox_key.job)
								   : this->cancelled.contains({it.inbox_key.job, it.inbox_key.account});
		if (known) {
			it.record.key.clear(); /* Already recorded, since no append is under way. */
		} else if (it.spec) {
			this->Submit(*it.spec, false);
		} else {
			this->Cancel(it.inbox_key.job, it.inbox_key.account,
						 DecodeCancellation(it.record.value.value_or(std::string())).route);
		}
		this->accepted.push_back(std::move(it));
	}
}

void Shard::Record(KeyedRecord record, std::function<void(ResultCode)> done)
{
	this->accepted.push_back(IncomingRecord{std::move(record), std::nullopt, InboxKey(), std::move(done)});
	this->ScheduleTurn();
}

void Shard::RecordProgressOf(const RouteName &route)
{
	for (const auto &[id, job] : this->jobs) {
		if (job.spec.route == route && job.revision == 0) {
			this->MarkDirty(id);
		}
	}
}

StoredProgress Shard::ProgressOf(const ShardJob &job) const
{
	StoredProgress out;
	out.phase = job.phase;
	out.route = job.spec.route;
	out.changed = this->scheduler.WallNow();
	out.revision = job.revision;
	out.begun = job.begun;
	std::ranges::transform(job.tasks, std::back_inserter(out.tasks),
						   [](const ShardTask &it) -> const StoredTask & { return it; });
	return out;
}

void Shard::AppendProgressOf(ShardJob &job, std::vector<KeyedRecord> &records)
{
	if (job.released) {
		return; /* Its last record has all that is ever needed. */
	}
	job.revision++;
	const StoredProgress progress = this->ProgressOf(job);
	ProgressRecords made =
			MakeProgressRecords(job.spec.id, progress, job.recorded_tasks, this->journal.Limits().record_bytes);
	std::ranges::move(made.records, std::back_inserter(records));
	if (made.checkpoints_left_out > 0) {
		this->log.Write("checkpoints_left_out",
						{{"job", job.spec.id.Value()}, {"count", std::to_string(made.checkpoints_left_out)}});
	}
	job.recorded_tasks = made.divided ? progress.tasks : std::vector<StoredTask>();
}

Shard::Batch Shard::BuildBatch(std::vector<KeyedRecord> &records)
{
	/* No append is under way, so all records passed in are either durable or belong to the dirty jobs. */
	Batch batch;
	batch.made_at = this->scheduler.Now();
	this->counters.boxes_walked += this->boxes.size();
	for (const auto &[incarnation, box] : this->boxes) {
		if (box.ends_seen > box.ends_durable) {
			batch.ends[incarnation] = box.ends_seen;
		}
	}
	batch.caller_records = std::exchange(this->accepted, {});
	for (const IncomingRecord &it : batch.caller_records) {
		if (!it.record.key.empty()) {
			records.push_back(it.record);
		}
	}
	for (const JobId &id : std::exchange(this->dirty, {})) {
		ShardJob &job = this->jobs.at(id);
		this->AppendProgressOf(job, records);
		batch.phases[id] = job.phase;
	}
	batch.starts = std::exchange(this->starts, {});
	batch.stops = std::exchange(this->stops, {});
	return batch;
}

void Shard::Commit()
{
	std::vector<KeyedRecord> records;
	const Batch batch = this->BuildBatch(records);
	const auto callers = std::make_shared<RecordingCallers>(RecordingCallers{batch.caller_records});
	if (records.empty()) {
		callers->Answer(ResultCode::RC_OK);
		this->OnCommitted(batch);
		return;
	}
	/* The journal may outlive the shard, to record that its owner has released it. */
	const std::weak_ptr<bool> still(this->alive);
	this->recording = callers;
	const auto committed = [this, batch, callers, still] {
		if (!still.expired()) {
			std::ranges::for_each(batch.caller_records, [this](const IncomingRecord &it) { this->NoteRecorded(it); });
		}
		callers->Answer(ResultCode::RC_OK);
		if (!still.expired()) {
			this->OnCommitted(batch);
		}
	};
	const auto refused = [this, batch, callers, still] {
		if (still.expired()) {
			callers->AnswerRefused();
			return;
		}
		callers->records.clear(); /* OnRefused() answers or keeps each of them. */
		this->OnRefused(batch);
	};
	this->journal.Append(std::move(records), committed, refused);
}

std::shared_ptr<RecordingCallers> Shard::Close()
{
	for (const IncomingRecord &it : std::exchange(this->incoming, {}) | std::views::values) {
		it.done(this->BelongsToOtherAccount(it.inbox_key) ? ResultCode::RC_OTHER_ACCOUNT : this->KnownResultOf(it));
	}
	/* Their effects were taken into account here, but the log has refused them so far. */
	for (const IncomingRecord &it : std::exchange(this->accepted, {})) {
		it.done(ResultCode::RC_OUTCOME_UNKNOWN);
	}
	return this->recording;
}

void Shard::OnCommitted(const Batch &batch)
{
	for (const auto &[id, phase] : batch.phases) {
		ShardJob &job = this->jobs.at(id);
		if (job.durable_phase != phase) {
			this->log.Write("job_phase", {{"job", id.Value()},
										  {"phase", NameOf(phase)},
										  {"age_ms", std::to_string((this->scheduler.Now() - job.taken_at).Value())}});
		}
		job.durable_phase = phase;
	}
	std::ranges::copy(batch.starts, std::back_inserter(this->recorded_starts));
	const Millis now = this->scheduler.Now();
	/* Also holds starts of tasks placed only after the log was reachable again, since an unanswered append also delays
	 * placing. */
	const bool was_unreachable = now - this->log_unreachable_at < LOG_RECOVERY;
	if (was_unreachable || now - batch.made_at >= SLOW_RECORD) {
		this->HoldStarts();
	}
	this->SendRecordedStarts();
	std::ranges::for_each(batch.stops, [this](const PendingStop &it) { this->OnStopRecorded(it); });
	for (const auto &[incarnation, number] : batch.ends) {
		const auto it = this->boxes.find(incarnation);
		if (it != this->boxes.end()) {
			it->second.ends_durable = std::max(it->second.ends_durable, number);
			this->RenewLease(it->second);
		}
	}
	for (const JobId &id : batch.phases | std::views::keys) {
		if (!this->dirty.contains(id)) {
			this->ReleaseEnded(this->jobs.at(id));
		}
	}
	if (!this->dirty.empty() || this->place_wanted) {
		this->ScheduleTurn();
	}
}

void Shard::ReleaseEnded(ShardJob &job)
{
	const auto placed = [](const ShardTask &it) { return it.phase == TaskPhase::TP_PLACED; };
	if (!job.Over() || job.durable_phase != job.phase || std::ranges::any_of(job.tasks, placed)) {
		return;
	}
	std::vector<ShardTask>().swap(job.tasks);
	std::vector<StoredTask>().swap(job.recorded_tasks);
	std::vector<StepSpec>().swap(job.spec.steps);
	std::vector<uint32_t>().swap(job.step_offsets);
	std::string().swap(job.spec.payload);
	job.released = true;
}

void Shard::HoldStarts()
{
	if (this->recorded_starts.empty() || this->reads_awaited > 0) {
		return;
	}
	/* While this owner could not reach the log, other nodes may have confirmed cancellations that lie in the inbox, and
	 * boxes may have reported less room, or that they leave. */
	std::vector<std::function<void(std::function<void()>)>> reads{this->read_inbox, this->read_reports};
	std::erase_if(reads, [](const auto &it) { return !it; });
	this->reads_awaited = reads.size();
	const uint64_t number = ++this->last_hold;
	const auto resume = [this, number, still = std::weak_ptr<bool>(this->alive)](size_t finished) {
		if (still.expired() || number != this->last_hold || this->reads_awaited == 0) {
			return;
		}
		this->reads_awaited -= std::min(finished, this->reads_awaited);
		this->SendRecordedStarts();
	};
	this->scheduler.After(READ_WAIT_MAX, [resume, all = reads.size()] { resume(all); });
	std::ranges::for_each(reads, [&resume](const auto &it) { it([resume] { resume(1); }); });
}

void Shard::NoteRecorded(const IncomingRecord &incoming)
{
	if (const auto it = this->jobs.find(incoming.inbox_key.job); it != this->jobs.end() && incoming.spec) {
		it->second.recorded = true;
	}
}

void Shard::OnRefused(const Batch &batch)
{
	std::ranges::copy(batch.starts, std::back_inserter(this->starts));
	std::ranges::copy(batch.stops, std::back_inserter(this->stops));
	for (const JobId &id : batch.phases | std::views::keys) {
		this->dirty.insert(id);
		this->jobs.at(id).recorded_tasks.clear();
	}
	std::vector<IncomingRecord> refused;
	std::vector<IncomingRecord> kept;
	for (const IncomingRecord &it : batch.caller_records) {
		const auto job = this->jobs.find(it.inbox_key.job);
		const bool stays = !it.spec || (job != this->jobs.end() && job->second.recorded);
		if (stays) {
			/* A cancellation has already taken effect, and a job that also arrived in the inbox is kept. */
			kept.push_back(it);
			continue;
		}
		if (job != this->jobs.end()) {
			this->Forget(it.inbox_key.job);
		}
		refused.push_back(it);
	}
	/* Before those that came meanwhile: of two records with one key the newer one has to be the last. */
	this->accepted.insert(this->accepted.begin(), kept.begin(), kept.end());
	this->counters.records_refused += refused.size();
	this->log.Write("records_refused", {{"service", this->service.Value()},
										{"refused", std::to_string(refused.size())},
										{"kept", std::to_string(this->accepted.size())}});
	std::ranges::for_each(refused, [](const IncomingRecord &it) { it.done(ResultCode::RC_LOG_UNAVAILABLE); });
	this->OnJournalRefused();
}

void Shard::Forget(const JobId &id)
{
	const ShardJob &job = this->jobs.at(id);
	if (const auto it = this->jobs_by_route.find(job.spec.route); --it->second == 0) {
		this->jobs_by_route.erase(it);
	}
	for (size_t position = 0; position < job.tasks.size(); position++) {
		const auto box = this->boxes.find(job.tasks[position].box);
		if (box != this->boxes.end()) {
			this->RemoveFromBox(box->second, job, job.TaskAt(position));
		}
		if (job.tasks[position].phase == TaskPhase::TP_PLACED) {
			this->book.Remove(job.spec.account, job.spec.steps[job.TaskAt(position).step].demand);
		}
	}
	this->tickets.Forget(id);
	this->dirty.erase(id);
	this->live.erase(id);
	this->jobs.erase(id);
}

void Shard::OnJournalFree()
{
	if (this->place_wanted) {
		this->ScheduleTurn();
	}
}

void Shard::OnJournalRefused()
{
	this->refused_at = this->scheduler.Now();
	for (const IncomingRecord &it : std::exchange(this->incoming, {}) | std::views::values) {
		it.done(this->KnownResultOf(it));
	}
	this->scheduler.After(REFUSAL_PAUSE, [this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->ScheduleTurn();
		}
	});
}
