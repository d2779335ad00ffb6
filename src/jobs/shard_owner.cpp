/** @file shard_owner.cpp Claims a shard in the log, loads it, runs it. */
#include "shard_owner.h"

#include <algorithm>
#include <ranges>

namespace {

constexpr Millis CLAIM_PATIENCE(1000); ///< An answer to a claim later than this counts as lost.
constexpr Millis CLAIM_AGAIN(150);     ///< Before the next try to claim after the log refused or kept silent.
constexpr Millis FRESH_FOR(2500);      ///< A view of the inbox older than this can't tell that a job doesn't exist.
constexpr FollowPace INBOX_PACE{Millis(1000), Millis(0), Millis(100)}; ///< Long polls: a submission is read at once.

} // namespace

std::string TopicOf(const ServiceName &service)
{
	return "keyed.jobs." + service.Value();
}

ShardOwner::ShardOwner(const OwnerParts &parts, ServiceName service)
		: parts(parts), service(std::move(service)), progress{TopicOf(this->service), PROGRESS_PART}
{
}

ShardOwner::~ShardOwner()
{
	this->parts.scheduler.Cancel(this->timer);
}

void ShardOwner::Start()
{
	this->Load();
}

bool ShardOwner::Fresh() const
{
	return this->running && this->parts.scheduler.Now() - this->inbox->FreshAt() <= FRESH_FOR;
}

void ShardOwner::TryAgain(Millis delay)
{
	this->timer = this->parts.scheduler.After(delay, [this] { this->Load(); });
}

void ShardOwner::Load()
{
	this->found.clear();
	this->first_end.reset();
	this->LoadPage({});
}

void ShardOwner::LoadPage(const std::string &after)
{
	this->parts.log.Newest(this->progress, after, [this, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
		if (!still.expired()) {
			this->OnPage(page);
		}
	});
}

void ShardOwner::OnPage(const NewestPage &page)
{
	if (page.code != ResultCode::RC_OK) {
		this->TryAgain(CLAIM_AGAIN);
		return;
	}
	if (!this->first_end) {
		this->first_end = page.end;
	}
	for (const KeyedRecord &record : page.records) {
		if (record.key == OWNER_KEY) {
			const std::optional<StoredOwner> owner = DecodeOwner(record.value.value_or(std::string()));
			this->epoch_found = std::max(this->epoch_found, owner ? owner->epoch : 0);
		} else if (const auto progress = DecodeProgress(record.value.value_or(std::string())); progress) {
			this->found[JobId(record.key)] = *progress;
		} else {
			this->parts.events.Write("bad_record", {{"topic", this->progress.topic}, {"key", record.key}});
		}
	}
	if (page.more && !page.records.empty()) {
		this->LoadPage(page.records.back().key);
		return;
	}
	this->Claim();
}

void ShardOwner::Claim()
{
	/* An own claim whose answer was lost may still come: the next one has to be above it. */
	const uint64_t epoch = std::max(this->epoch_found, this->epoch_tried) + 1;
	this->epoch_tried = epoch;
	const AppendCondition condition{this->first_end, OWNER_PRODUCER, epoch, 0};
	const KeyedRecord record{OWNER_KEY, EncodeOwner(StoredOwner{epoch, this->parts.address})};
	this->parts.log.Append(this->progress, {record}, condition, CLAIM_PATIENCE,
						   [this, epoch, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
							   if (!still.expired()) {
								   this->OnClaimed(epoch, answer);
							   }
						   });
}

void ShardOwner::OnClaimed(uint64_t epoch, const KeyedAppendAnswer &answer)
{
	if (answer.code == ResultCode::RC_OK) {
		this->Run(epoch);
		return;
	}
	this->parts.events.Write("claim_failed", {{"service", this->service.Value()},
											  {"epoch", std::to_string(epoch)},
											  {"code", SymbolOf(answer.code)}});
	/* What was read is old when the log has moved on: read again at once. */
	this->TryAgain(answer.code == ResultCode::RC_STALE_TERM ? Millis(0) : CLAIM_AGAIN);
}

void ShardOwner::Run(uint64_t epoch)
{
	this->parts.events.Write("claimed", {{"service", this->service.Value()},
										 {"epoch", std::to_string(epoch)},
										 {"jobs", std::to_string(this->found.size())}});
	this->journal = std::make_unique<ShardJournal>(this->parts.scheduler, this->parts.log, this->progress, epoch);
	this->shard = std::make_unique<Shard>(this->parts.scheduler, *this->journal, this->parts.orders, this->parts.events,
										  this->service, FenceToken(epoch), this->parts.limits);
	const auto let_go = [this, still = std::weak_ptr<bool>(this->alive)] {
		this->parts.scheduler.After(Millis(0), [this, still] {
			if (!still.expired()) {
				this->LetGo();
			}
		});
	};
	this->journal->on_deposed = let_go;
	this->shard->on_deposed = let_go;
	for (const auto &[id, progress] : std::exchange(this->found, {})) {
		this->shard->Restore(id, progress);
	}
	this->shard->Configure(this->config);
	std::ranges::for_each(this->reports | std::views::values, [this](const BoxReport &it) { this->shard->OnReport(it); });
	this->inbox = std::make_unique<KeyedFollower>(this->parts.scheduler, this->parts.log,
												  PartitionId{this->progress.topic, INBOX_PART}, INBOX_PACE);
	this->inbox->on_record = [this](const KeyedRecord &it) { this->OnInbox(it); };
	this->inbox->on_loaded = [this] {
		this->running = true;
		this->shard->Begin();
		if (this->on_running) {
			this->on_running();
		}
	};
	this->inbox->Start();
}

void ShardOwner::OnInbox(const KeyedRecord &record)
{
	if (!record.value) {
		return;
	}
	if (record.key.front() == CANCEL_MARK) {
		this->shard->Cancel(JobId(record.key.substr(1)));
		return;
	}
	if (const std::optional<JobSpec> spec = DecodeSubmission(JobId(record.key), *record.value); spec) {
		this->shard->Submit(*spec);
	} else {
		this->parts.events.Write("bad_record", {{"topic", this->progress.topic}, {"key", record.key}});
	}
}

void ShardOwner::LetGo()
{
	this->parts.events.Write("let_go", {{"service", this->service.Value()}, {"epoch", std::to_string(this->epoch_tried)}});
	this->running = false;
	/* Claiming again on the old word of the group would fight the new owner: the next join decides. */
	if (this->on_lost) {
		this->on_lost();
	}
}

void ShardOwner::Configure(const JobConfig &config)
{
	this->config = config;
	if (this->shard) {
		this->shard->Configure(config);
	}
}

void ShardOwner::OnReport(const BoxReport &report)
{
	if (report.service == this->service) {
		this->reports[report.life] = report;
	}
	if (this->shard) {
		this->shard->OnReport(report);
	}
}

void ShardOwner::OnReportGone(const BoxLife &life)
{
	this->reports.erase(life);
	if (this->shard) {
		this->shard->OnReportGone(life);
	}
}

void ShardOwner::Confirm(Millis at)
{
	if (this->shard) {
		this->shard->Confirm(at);
	}
}
