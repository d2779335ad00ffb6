/** @file shard_owner.cpp Claims a shard in the log, loads it, runs it and releases it. */
#include "shard_owner.h"

#include "../store/owner_record.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

/** With an older view of the inbox, or an older confirmation of the ownership, an unknown job may still exist. */
constexpr Millis FRESH_FOR(2500);
/** An owner that has appended nothing for this long appends its owner record: this shows whether it still is the owner
 * and whether the log is reachable. */
constexpr Millis CONFIRM_EVERY(250);
/** An owner whose main partition has answered no append for this long doesn't begin to hand its shard over: nobody
 * would own it until that partition answers. Three confirmations. */
constexpr Millis MAIN_ANSWERED_WITHIN(1000);
/** Interval of checks whether CONFIRM_EVERY has passed since the last append; confirmations are at most 0.35 s apart.
 */
constexpr Millis CONFIRM_CHECK_EVERY(100);
constexpr Millis LOAD_LOG_EVERY(1000); ///< Interval of log lines on the load of an owner.
/** Interval of checks whether the main partition has the record of a release that the spare one has. */
constexpr Millis RELEASE_CHECK_EVERY(50);
/** @return Key in the inbox for a record of the progress partition. Submissions and cancellations are stored there as
 * other nodes would append them, and stay; progress is removed once it is in its own partition. */
SpareKey InboxKeyOf(const std::string &key)
{
	if (key == OWNER_KEY) {
		return SpareKey{key, false};
	}
	return key.front() == ACCEPTED_PREFIX ? SpareKey{key.substr(1), false} : SpareKey{PROGRESS_PREFIX + key, true};
}

/** Long polls, so that a submission is read at once. */
constexpr PollTiming INBOX_POLL_TIMING{Millis(1000), Millis(0), Millis(100)};

} // namespace

std::string TopicOf(const ServiceName &service)
{
	return "keyed.jobs." + service.Value();
}

ShardOwner::ShardOwner(const ShardOwnerContext &context, ServiceName service, std::function<bool()> should_claim,
					   std::function<bool()> should_watch)
		: context(context), service(std::move(service)), should_claim(std::move(should_claim)),
		  should_watch(std::move(should_watch)), progress{TopicOf(this->service), PROGRESS_PARTITION}
{
}

ShardOwner::~ShardOwner()
{
	this->context.scheduler.Cancel(this->confirm_timer);
	this->context.scheduler.Cancel(this->release_timer);
}

void ShardOwner::Start()
{
	this->claim = std::make_unique<PartitionClaim>(this->context.scheduler, this->context.log, this->context.events,
												   ClaimSpec{this->context.address, this->progress, this->context.group,
															 this->should_claim, false, this->should_watch,
															 this->expects_release, this->vacancy_wait});
	this->claim->Start([this](const ClaimedPartition &claimed) { this->Run(claimed); });
}

bool ShardOwner::MainAnswers() const
{
	return this->journal && this->context.scheduler.Now() - this->journal->MainConfirmedAt() <= MAIN_ANSWERED_WITHIN;
}

void ShardOwner::CheckNow()
{
	if (this->claim) {
		this->claim->CheckNow();
	}
}

bool ShardOwner::Fresh() const
{
	if (!this->running || this->losing) {
		return false;
	}
	const Millis as_of = std::min(this->inbox->CurrentAsOf(), this->journal->ConfirmedAt());
	return this->context.scheduler.Now() - as_of <= FRESH_FOR;
}

void ShardOwner::Run(const ClaimedPartition &claimed)
{
	this->epoch = claimed.number.epoch;
	if (claimed.released_to_self) {
		this->received_at = this->context.scheduler.Now();
	}
	this->journal = std::make_unique<PairedJournal>(
			this->context.scheduler, this->context.log, this->context.events,
			JournalPair{this->progress, SparePartitionOf(this->progress), InboxKeyOf}, claimed.number);
	this->shard = std::make_unique<Shard>(this->context.scheduler, *this->journal, this->context.orders,
										  this->context.events, this->service, FenceToken(claimed.number.epoch),
										  this->context.limits, this->context.advisor);
	if (claimed.released) {
		this->shard->SetEarlierLeaseSpan(claimed.earlier_lease_span);
	}
	this->confirm_due = this->load_logged_at = this->context.scheduler.Now();
	this->KeepConfirmed();
	this->journal->on_superseded = [this] { this->ScheduleLoss(); };
	this->journal->on_repeated = [this] { this->shard->OnJournalFree(); };
	this->shard->on_superseded = [this] { this->ScheduleLoss(); };
	this->routes = std::make_unique<RouteShards>(
			RouteShardsContext{this->context.scheduler, this->context.log, this->context.events, this->context.peers},
			this->service, *this->shard);
	this->shard->may_record = [this](const IncomingRecord &it) { return this->routes->MayRecord(it); };
	for (const auto &[key, bytes] : claimed.records) {
		if (key.starts_with(ACCEPTED_PREFIX)) {
			this->accepted.push_back(KeyedRecord{key.substr(1), bytes});
		} else {
			this->RestoreRecord(key, bytes);
		}
	}
	this->shard->Configure(this->config);
	this->routes->Configure(this->config);
	this->shard->SetEvacuatedZones(this->evacuated);
	std::ranges::for_each(this->reports | std::views::values,
						  [this](const BoxReport &it) { this->shard->OnReport(it); });
	std::ranges::for_each(this->removed_reports, [this](const BoxReport &it) { this->shard->NoteRemovedReport(it); });
	this->inbox =
			std::make_unique<KeyedFollower>(this->context.scheduler, this->context.log,
											PartitionId{this->progress.topic, INBOX_PARTITION}, INBOX_POLL_TIMING);
	this->inbox->on_record = [this](const KeyedRecord &it) { this->OnInbox(it); };
	this->inbox->on_loaded = [this] { this->OnLoaded(); };
	this->inbox->Start();
	this->shard->read_inbox = [this](std::function<void()> done) { this->inbox->ReadNow(std::move(done)); };
	this->shard->read_reports = this->context.read_reports;
}

void ShardOwner::RestoreRecord(const std::string &key, const std::string &bytes)
{
	if (key.empty()) {
		this->NoteBadRecord(key);
		return;
	}
	const std::string name = key.substr(1);
	if (key.front() == ROUTE_PREFIX) {
		if (const auto state = DecodeRoute(bytes); state) {
			this->routes->Restore(RouteName(name), *state);
			return;
		}
	} else if (key.front() == REDIRECT_PREFIX) {
		if (const auto config = DecodeRedirect(bytes); config) {
			this->routes->RestoreRedirect(name, *config);
			return;
		}
	} else if (const auto progress = DecodeProgress(bytes); progress) {
		this->shard->Restore(ParseProgressKey(key).job, *progress);
		return;
	}
	this->NoteBadRecord(key);
}

void ShardOwner::NoteBadRecord(const std::string &key)
{
	this->context.events.Write("bad_record", {{"topic", this->progress.topic}, {"key", key}});
}

void ShardOwner::OnInbox(const KeyedRecord &record)
{
	if (record.value && record.key == OWNER_KEY) {
		this->CheckOwnerRecord(record);
	}
	if (!record.value || record.key.empty() || record.key == OWNER_KEY || this->losing) {
		return;
	}
	const bool progress = record.key.starts_with(PROGRESS_PREFIX);
	if (this->running) {
		if (!progress) { /* Otherwise it is this owner's own record. */
			this->ApplyInboxRecord(record);
		}
	} else if (progress) {
		this->RestoreRecord(record.key.substr(1), *record.value);
	} else {
		this->loading.push_back(record);
	}
}

void ShardOwner::CheckOwnerRecord(const KeyedRecord &record)
{
	const std::optional<StoredOwner> owner = DecodeOwner(*record.value);
	if (owner && owner->epoch > this->epoch) {
		this->ScheduleLoss();
	}
}

void ShardOwner::OnLoaded()
{
	if (this->losing) {
		return;
	}
	/* A job is added once its newest progress is known, which may be in either partition. */
	std::ranges::for_each(std::exchange(this->accepted, {}),
						  [this](const KeyedRecord &it) { this->ApplyAccepted(it); });
	std::ranges::for_each(std::exchange(this->loading, {}),
						  [this](const KeyedRecord &it) { this->ApplyInboxRecord(it); });
	this->running = true;
	this->shard->Begin();
	this->routes->Begin();
	if (this->on_running) {
		this->on_running();
	}
}

void ShardOwner::ApplyAccepted(const KeyedRecord &record)
{
	const InboxKey name = ParseInboxKey(record.key);
	if (name.is_cancellation) {
		this->routes->OnCancellation(record);
	} else if (const std::optional<JobSpec> spec = DecodeSubmission(name.job, *record.value); spec) {
		this->shard->Submit(*spec);
	} else {
		this->NoteBadRecord(record.key);
	}
}

void ShardOwner::ApplyInboxRecord(const KeyedRecord &record)
{
	const InboxKey name = ParseInboxKey(record.key);
	if (name.is_cancellation) {
		this->routes->OnCancellation(record);
		return;
	}
	const std::optional<JobSpec> spec = DecodeSubmission(name.job, *record.value);
	if (!spec) {
		this->NoteBadRecord(record.key);
	} else if (this->shard->AwaitsSubmission(name.job)) {
		this->shard->Submit(*spec); /* An owner of this shard has taken it already. */
	} else {
		this->routes->OnSubmission(record, *spec);
	}
}

void ShardOwner::Accept(const KeyedRecord &record, std::function<void(ResultCode)> done)
{
	if (!this->running) {
		done(ResultCode::RC_PEER_UNAVAILABLE);
		return;
	}
	IncomingRecord incoming{KeyedRecord{ACCEPTED_PREFIX + record.key, record.value}, std::nullopt,
							ParseInboxKey(record.key), std::move(done)};
	if (!incoming.inbox_key.is_cancellation) {
		incoming.spec = DecodeSubmission(incoming.inbox_key.job, record.value.value_or(std::string()));
	}
	if (!incoming.inbox_key.is_cancellation && !incoming.spec) {
		this->NoteBadRecord(record.key);
		incoming.done(ResultCode::RC_LOG_UNAVAILABLE);
		return;
	}
	if (!this->routes->MayRecord(incoming)) {
		incoming.done(ResultCode::RC_LOG_UNAVAILABLE); /* The caller's node appends it to the inbox. */
		return;
	}
	if (!this->HasMemoryFor(incoming)) {
		incoming.done(ResultCode::RC_JOB_MEMORY_FULL);
		return;
	}
	this->shard->Accept(std::move(incoming));
}

bool ShardOwner::HasMemoryFor(const IncomingRecord &incoming) const
{
	/* A job that is known needs no more memory, and its answer must not depend on that. */
	return !incoming.spec || this->context.memory == nullptr || this->shard->View(incoming.spec->id).known ||
		   this->context.memory->Admit(*incoming.spec);
}

void ShardOwner::LogLoad()
{
	const Millis now = this->context.scheduler.Now();
	this->max_lateness = std::max(this->max_lateness, now - this->confirm_due);
	this->confirm_due = now + CONFIRM_CHECK_EVERY;
	if (now - this->load_logged_at < LOAD_LOG_EVERY || !this->running) {
		return;
	}
	const ShardCounters &last = this->logged_counters;
	const ShardCounters counters = this->shard->Counters();
	const ShardBacklog backlog = this->shard->Backlog();
	const BoxCounts boxes = this->shard->CountBoxes();
	this->context.events.Write("owner_load",
							   {{"service", this->service.Value()},
								{"late_ms", std::to_string(this->max_lateness.Value())},
								{"starts_waiting", std::to_string(backlog.starts_waiting)},
								{"starts_under_way", std::to_string(backlog.starts_under_way)},
								{"callers_waiting", std::to_string(backlog.callers_waiting)},
								{"boxes_listed", std::to_string(boxes.listed)},
								{"boxes_over", std::to_string(boxes.over)},
								{"boxes_adopted", std::to_string(boxes.adopted)},
								{"boxes_open", std::to_string(boxes.open)},
								{"boxes_evacuated", std::to_string(boxes.evacuated)},
								{"tasks_evacuated", std::to_string(boxes.evacuated_tasks)},
								{"starts", std::to_string(counters.starts - last.starts)},
								{"runs_done", std::to_string(counters.done - last.done)},
								{"looks", std::to_string(counters.looks - last.looks)},
								{"looks_fenced", std::to_string(counters.looks_fenced - last.looks_fenced)},
								{"rounds", std::to_string(counters.rounds - last.rounds)},
								{"boxes_walked", std::to_string(counters.boxes_walked - last.boxes_walked)},
								{"tasks_walked", std::to_string(counters.tasks_walked - last.tasks_walked)},
								{"span_ms", std::to_string((now - this->load_logged_at).Value())}});
	this->starts_per_s =
			static_cast<int64_t>(counters.starts - last.starts) * MS_PER_SECOND / (now - this->load_logged_at).Value();
	this->logged_counters = counters;
	this->load_logged_at = now;
	this->max_lateness = Millis(0);
}

void ShardOwner::KeepConfirmed()
{
	this->LogLoad();
	this->confirm_timer = this->context.scheduler.After(CONFIRM_CHECK_EVERY, [this] { this->KeepConfirmed(); });
	if (!this->ConfirmationDue()) {
		return;
	}
	const StoredOwner self{this->epoch, this->context.address, false, Millis(0)};
	const std::weak_ptr<bool> still(this->alive);
	const auto recorded = [this, still] {
		if (!still.expired() && this->shard) {
			this->confirming = false;
			this->confirmed_at = this->context.scheduler.Now();
			this->shard->OnJournalFree();
		}
	};
	const auto refused = [this, still] {
		if (!still.expired() && this->shard) {
			this->confirming = false;
			this->shard->OnJournalRefused();
		}
	};
	this->confirming = true;
	this->journal->Append({KeyedRecord{OWNER_KEY, EncodeOwner(self)}}, recorded, refused);
}

bool ShardOwner::ConfirmationDue() const
{
	/* While records go to the inbox, the owner's record is written at the usual interval even if the journal is busy:
	 * other nodes append submissions to the inbox, too, so these don't show that this owner is alive. */
	const bool unseen =
			this->journal->Bypassing() && this->context.scheduler.Now() - this->confirmed_at >= CONFIRM_EVERY;
	return !this->confirming && (unseen || this->journal->IdleFor(CONFIRM_EVERY));
}

void ShardOwner::ScheduleLoss()
{
	this->running = false;
	if (std::exchange(this->losing, true)) {
		return;
	}
	this->context.scheduler.After(Millis(0), [this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->LoseOwnership();
		}
	});
}

void ShardOwner::LoseOwnership()
{
	if (this->release_done) {
		this->FinishRelease(false);
		return;
	}
	this->context.events.Write("shard_lost", {{"service", this->service.Value()}});
	if (this->shard) {
		/* The journal ends with this owner, so it reports no outcome of an append under way. */
		this->shard->Close()->Answer(ResultCode::RC_OUTCOME_UNKNOWN);
	}
	/* Claiming again by outdated group membership would compete with the new owner; the next join decides. */
	if (this->on_lost) {
		this->on_lost();
	}
}

void ShardOwner::Release(std::function<void(bool)> done, const std::string &successor)
{
	this->running = false;
	this->claim.reset();
	this->inbox.reset();
	this->context.scheduler.Cancel(this->confirm_timer);
	if (!this->journal) {
		done(false);
		return;
	}
	const StoredOwner last{this->epoch, this->context.address, true, this->shard->EarlierLeaseSpanLeft(), successor};
	this->release_done = std::move(done);
	this->CloseShard();
	this->journal->on_repeated = nullptr;
	this->journal->on_superseded = [this] { this->FinishRelease(false); };
	this->journal->Append({KeyedRecord{OWNER_KEY, EncodeOwner(last)}}, [this, named = !successor.empty()] {
		if (named) {
			this->AwaitMainRecord();
		} else {
			this->FinishRelease(true);
		}
	});
}

void ShardOwner::CloseShard()
{
	this->recording_callers = this->shard->Close();
	this->routes.reset();
	this->shard.reset();
}

void ShardOwner::AwaitMainRecord()
{
	if (this->journal->MainComplete()) {
		this->FinishRelease(true);
		return;
	}
	this->release_timer = this->context.scheduler.After(RELEASE_CHECK_EVERY, [this] { this->AwaitMainRecord(); });
}

void ShardOwner::FinishRelease(bool durable)
{
	this->context.scheduler.Cancel(this->release_timer);
	/* Appends are in order, so before a durable release the callers were answered already. */
	this->recording_callers->Answer(ResultCode::RC_OUTCOME_UNKNOWN);
	if (const auto done = std::exchange(this->release_done, nullptr); done) {
		done(durable);
	}
}

void ShardOwner::Configure(const JobConfig &config)
{
	this->config = config;
	if (this->shard) {
		this->shard->Configure(config);
		this->routes->Configure(config);
	}
}

void ShardOwner::SetEvacuatedZones(const EvacuatedZones &evacuated)
{
	this->evacuated = evacuated;
	if (this->shard) {
		this->shard->SetEvacuatedZones(evacuated);
	}
}

void ShardOwner::OnReport(const BoxReport &report)
{
	const auto known = this->reports.find(report.incarnation.id);
	if (report.service != this->service) {
		if (known != this->reports.end()) {
			/* An incarnation keeps its service: a report with another service is of a later incarnation or was written
			 * by something else. */
			const BoxIncarnation before = known->second.incarnation;
			if (this->shard && before < report.incarnation) {
				this->shard->NoteEnded({before});
			}
			this->OnReportRemoved(report.incarnation.id);
		}
		return;
	}
	if (known != this->reports.end() && known->second.incarnation != report.incarnation) {
		this->removed_reports.push_back(known->second);
	}
	this->reports[report.incarnation.id] = report;
	if (this->shard) {
		this->shard->OnReport(report);
	}
}

void ShardOwner::OnReportRemoved(const BoxId &id)
{
	if (const auto it = this->reports.find(id); it != this->reports.end()) {
		this->removed_reports.push_back(it->second);
		this->reports.erase(it);
	}
	if (this->shard) {
		this->shard->OnReportRemoved(id);
	}
}
