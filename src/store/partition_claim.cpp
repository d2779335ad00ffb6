/** @file partition_claim.cpp Claims a partition of the keyed log. */
#include "partition_claim.h"

#include "group_member.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace {

/** Longest timeout of a claim's append. Timeouts are short, as a service serves no callers while it has no owner. */
constexpr Millis MAX_CLAIM_TIMEOUT(1000);
constexpr Millis MIN_CLAIM_TIMEOUT(250);    ///< Shortest timeout of a claim's append.
constexpr int64_t CLAIM_TIMEOUT_FACTOR = 6; ///< Timeout as a multiple of the duration of the last owner read.
constexpr Millis CLAIM_RETRY_DELAY(150);    ///< Delay after a call that the log refused or didn't answer.
constexpr int SEQUENCE_SHIFT = 24; ///< Leaves 40 bits of a 64-bit hash: far below the largest number of a call.
/** A partition that has not grown for this long has no owner that can append: a live owner refreshes its record within
 * 0.35 s plus the duration of one append. */
constexpr Millis UNCHANGED_LIMIT(400);
/** UNCHANGED_LIMIT while answers of the log get lost: an owner repeats an unanswered append after 1 s at most. */
constexpr Millis UNCHANGED_LIMIT_LOSSY(1150);
constexpr Millis LOSSY_PERIOD(2500); ///< Answers count as getting lost for this long after the last loss at this node.
/** This multiple of the duration of the last owner read is added to UNCHANGED_LIMIT or UNCHANGED_LIMIT_LOSSY: a slow
 * store is slow for the owner, too. */
constexpr int64_t READ_DURATION_FACTOR = 4;
constexpr Millis OWNER_CHECK_INTERVAL(200); ///< Interval of checks of the owner; each costs two read calls.
/** Interval of checks while a release to this node is announced: a service places nothing between release and claim. */
constexpr Millis EXPECTING_CHECK_INTERVAL(20);
/** Other nodes leave a partition to the named successor for this long after the release. A successor claims within two
 * round trips of the log, which take 10 to 25 ms in total and up to 0.5 s with a slow store. */
constexpr Millis SUCCESSOR_WAIT(500);

/** Longest time between two records of a live owner with a fast store, see ShardOwner and FleetOwner. */
constexpr Millis OWNER_WRITE_INTERVAL(350);
/** Time after which an owner whose main partition doesn't answer appends to the spare one, see PairedJournal. */
constexpr Millis OWNER_MAIN_TIMEOUT(300);
/** Time until an owner sends the fourth attempt of an append of which three were lost: timeouts of 80, 160 and 320 ms,
 * each followed by a delay of 5 ms, see OwnerJournal. */
constexpr Millis OWNER_REPEATS(575);
/** Margin for an owner whose connection to the store is slow while that of the observing node isn't: the first append
 * of such an owner takes about 1 s until its answer arrives within the growing timeout, and its next record follows
 * 0.6 s later. */
constexpr Millis SILENCE_MARGIN(100);
/** Minimum time without a record of a listed owner after which it counts as silent. */
constexpr Millis SILENCE_LIMIT = OWNER_WRITE_INTERVAL + OWNER_MAIN_TIMEOUT + OWNER_REPEATS + SILENCE_MARGIN;
/** This multiple of the slowest read is added to SILENCE_LIMIT, as the times above grow with the duration of appends: 1
 * for OWNER_WRITE_INTERVAL, 3 for OWNER_MAIN_TIMEOUT, 6 for the first timeout of OWNER_REPEATS, and two appends. */
constexpr int64_t SILENCE_READ_FACTOR = 12;
/** With a longer time between two answered reads, this node was paused or the store was slow or absent. The owner then
 * gets the whole SilenceLimit() anew. */
constexpr Millis OBSERVATION_GAP(600);

} // namespace

PartitionClaim::PartitionClaim(Scheduler &scheduler, KeyedLog &log, EventLog &events, ClaimSpec spec)
		: scheduler(scheduler), log(log), events(events), spec(std::move(spec))
{
}

PartitionClaim::~PartitionClaim()
{
	this->scheduler.Cancel(this->timer);
}

void PartitionClaim::Start(Done done)
{
	this->done = std::move(done);
	this->ReadOwner();
}

void PartitionClaim::ReadOwner()
{
	this->owner_read_at = this->scheduler.Now();
	this->log.Newest(this->spec.partition, KEY_BEFORE_OWNER,
					 [this, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (!still.expired()) {
							 this->OnOwner(page);
						 }
					 });
}

void PartitionClaim::OnOwner(const NewestPage &page)
{
	if (page.code != ResultCode::RC_OK) {
		/* Restarts the time without growth, as the owner may be unable to append for the same reason. */
		this->last_end.reset();
		this->RestartObservation();
		this->Retry(CLAIM_RETRY_DELAY);
		return;
	}
	this->owner_read_duration = this->scheduler.Now() - this->owner_read_at;
	this->NoteObservation();
	this->NoteEnd(page.end);
	const Millis remaining = this->UnchangedLimit() - this->UnchangedFor();
	const auto it = std::ranges::find(page.records, OWNER_KEY, &KeyedRecord::key);
	const std::optional<StoredOwner> owner =
			it == page.records.end() ? std::nullopt : DecodeOwner(it->value.value_or(std::string()));
	const bool vacant = !owner || owner->released;
	/* The owner was an earlier process at this address, or this process, whose ownership has ended since. */
	const bool own = !vacant && owner->address == this->spec.address;
	const bool should_claim = this->spec.should_claim();
	const bool should_watch = should_claim || (this->spec.should_watch && this->spec.should_watch());
	const bool successor = this->IsSuccessor(owner);
	const Millis wait_left = vacant && !successor ? this->VacancyWaitLeft(owner) : Millis(0);
	if (wait_left > Millis(0)) {
		this->Wait(std::min(wait_left, this->CheckInterval()));
	} else if (own || successor || (vacant && (should_claim || (should_watch && remaining <= Millis(0))))) {
		this->Load();
	} else if (vacant || !should_watch || remaining > Millis(0)) {
		const Millis interval = this->CheckInterval();
		this->Wait(should_watch && remaining > Millis(0) ? std::min(remaining, interval) : interval);
	} else {
		this->AskHolders(owner->address);
	}
}

Millis PartitionClaim::CheckInterval() const
{
	return this->spec.expects_release && this->spec.expects_release() ? EXPECTING_CHECK_INTERVAL : OWNER_CHECK_INTERVAL;
}

bool PartitionClaim::IsSuccessor(const std::optional<StoredOwner> &owner) const
{
	return owner && owner->released && owner->successor == this->spec.address;
}

Millis PartitionClaim::VacancyWaitLeft(const std::optional<StoredOwner> &owner) const
{
	const Millis for_successor = owner && !owner->successor.empty() ? SUCCESSOR_WAIT : Millis(0);
	const Millis for_others = this->spec.vacancy_wait ? this->spec.vacancy_wait() : Millis(0);
	return std::max(for_successor, for_others) - this->UnchangedFor();
}

void PartitionClaim::NoteEnd(uint64_t end)
{
	if (this->last_end != end) {
		this->last_end = end;
		this->last_end_since = this->scheduler.Now();
		/* Earlier reads say nothing about the store during a silence that begins now. */
		this->slowest_read = this->owner_read_duration;
	}
}

Millis PartitionClaim::UnchangedFor() const
{
	return this->scheduler.Now() - this->last_end_since;
}

Millis PartitionClaim::UnchangedLimit() const
{
	const Millis now = this->scheduler.Now();
	const Millis least = now - this->log.AnswerLostAt() <= LOSSY_PERIOD ? UNCHANGED_LIMIT_LOSSY : UNCHANGED_LIMIT;
	return least + Millis(this->owner_read_duration.Value() * READ_DURATION_FACTOR);
}

void PartitionClaim::AskHolders(const std::string &owner)
{
	this->log.Holders(this->spec.group, [this, owner, still = std::weak_ptr<bool>(this->alive)](
												ResultCode code, const std::vector<PartitionHolder> &rows) {
		if (still.expired()) {
			return;
		}
		const bool owner_listed = std::ranges::any_of(
				rows, [&owner](const PartitionHolder &it) { return ParseMemberName(it.member).address == owner; });
		if (code != ResultCode::RC_OK) {
			this->Retry(CLAIM_RETRY_DELAY);
		} else if (owner_listed) {
			this->CheckSilence(owner);
		} else {
			this->Load();
		}
	});
}

void PartitionClaim::NoteObservation()
{
	if (this->scheduler.Now() - this->observed_at > OBSERVATION_GAP) {
		this->RestartObservation();
	}
	this->observed_at = this->scheduler.Now();
	this->slowest_read = std::max(this->slowest_read, this->owner_read_duration);
}

void PartitionClaim::RestartObservation()
{
	this->observed_since = this->scheduler.Now();
	this->slowest_read = Millis(0);
	this->spare_end.reset();
}

Millis PartitionClaim::SilenceLimit() const
{
	return SILENCE_LIMIT + Millis(this->slowest_read.Value() * SILENCE_READ_FACTOR);
}

Millis PartitionClaim::SilentFor() const
{
	return this->scheduler.Now() - std::max({this->last_end_since, this->observed_since, this->spare_since});
}

void PartitionClaim::CheckSilence(const std::string &owner)
{
	const bool leaves_to_others = this->spec.vacancy_wait && this->spec.vacancy_wait() > Millis(0);
	if (leaves_to_others || this->scheduler.Now() - this->log.AnswerLostAt() <= LOSSY_PERIOD) {
		/* Appends of the owner may get lost as well, and an overloaded node is no better owner. */
		this->RestartObservation();
		this->Wait(this->CheckInterval());
	} else if (this->spare_end) {
		this->ReadSpareTail(owner);
	} else {
		this->FindSpareEnd();
	}
}

void PartitionClaim::FindSpareEnd()
{
	this->log.Newest(SparePartitionOf(this->spec.partition), KEY_BEFORE_OWNER,
					 [this, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (still.expired()) {
							 return;
						 }
						 if (page.code == ResultCode::RC_OK) {
							 this->spare_end = page.end;
							 /* An owner turns to the spare partition this long after its last record in the main one.
							  */
							 this->spare_since = this->scheduler.Now() - (OWNER_WRITE_INTERVAL + OWNER_MAIN_TIMEOUT);
						 }
						 this->Wait(this->CheckInterval());
					 });
}

void PartitionClaim::ReadSpareTail(const std::string &owner)
{
	this->log.Read(SparePartitionOf(this->spec.partition), *this->spare_end, Millis(0),
				   [this, owner, sent_at = this->scheduler.Now(),
					still = std::weak_ptr<bool>(this->alive)](const KeyedReadAnswer &answer) {
					   if (!still.expired()) {
						   this->OnSpareTail(owner, answer, sent_at);
					   }
				   });
}

void PartitionClaim::OnSpareTail(const std::string &owner, const KeyedReadAnswer &answer, Millis sent_at)
{
	const Millis now = this->scheduler.Now();
	if (answer.code != ResultCode::RC_OK) {
		this->RestartObservation();
		this->Wait(this->CheckInterval());
		return;
	}
	this->slowest_read = std::max(this->slowest_read, now - sent_at);
	this->spare_end = answer.next;
	/* An answer that doesn't reach the end may be followed by records of the owner. */
	if (answer.next < answer.end || std::ranges::any_of(answer.records, [this](const KeyedRecord &it) {
			return this->spec.read_spare || it.key > KEY_BEFORE_OWNER;
		})) {
		this->spare_since = now;
	}
	const Millis remaining = this->SilenceLimit() - this->SilentFor();
	if (remaining > Millis(0) || now - this->observed_at > OBSERVATION_GAP) {
		this->Wait(std::clamp(remaining, Millis(1), OWNER_CHECK_INTERVAL));
		return;
	}
	this->ClaimFromSilent(owner);
}

void PartitionClaim::ClaimFromSilent(const std::string &owner)
{
	this->events.Write("owner_not_appending", {{"topic", this->spec.partition.topic},
											   {"owner", owner},
											   {"silent_ms", std::to_string(this->SilentFor().Value())},
											   {"limit_ms", std::to_string(this->SilenceLimit().Value())}});
	/* If the claim fails, the store may refuse the owner's appends, too. When it accepts appends again, the owner gets
	 * time for a record. */
	this->RestartObservation();
	this->claims_silent = true;
	this->Load();
}

void PartitionClaim::Wait(Millis delay)
{
	this->waiting = true;
	this->Retry(delay);
}

void PartitionClaim::Retry(Millis delay)
{
	this->timer = this->scheduler.After(delay, [this] {
		this->timer = TimerId();
		this->ReadOwner();
	});
}

void PartitionClaim::CheckNow()
{
	/* Without a timer, a check is in progress. */
	if (this->waiting && this->timer != TimerId()) {
		this->scheduler.Cancel(this->timer);
		this->timer = TimerId();
		this->ReadOwner();
	}
}

void PartitionClaim::Load()
{
	this->waiting = false;
	this->contents = ClaimedPartition{{}, true, Millis(0), false, {}, {}};
	this->load_end.reset();
	this->LoadPage({});
}

void PartitionClaim::LoadPage(const std::string &after)
{
	this->log.Newest(this->spec.partition, after,
					 [this, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (!still.expired()) {
							 this->OnPage(page);
						 }
					 });
}

void PartitionClaim::OnPage(const NewestPage &page)
{
	if (page.code != ResultCode::RC_OK) {
		this->claims_silent = false;
		this->Retry(CLAIM_RETRY_DELAY);
		return;
	}
	if (!this->load_end) {
		this->load_end = page.end;
		if (std::exchange(this->claims_silent, false) && this->last_end != page.end) {
			/* The owner has appended since its partition was last read. */
			this->Wait(Millis(0));
			return;
		}
	}
	for (const KeyedRecord &record : page.records) {
		const std::string value = record.value.value_or(std::string());
		if (record.key == OWNER_KEY) {
			const std::optional<StoredOwner> owner = DecodeOwner(value);
			this->max_epoch_read = std::max(this->max_epoch_read, owner ? owner->epoch : 0);
			this->contents.released = owner && owner->released;
			this->contents.earlier_lease_span = owner ? owner->earlier_lease_span : Millis(0);
			this->contents.released_to_self = this->IsSuccessor(owner);
		} else {
			this->contents.records[record.key] = value;
		}
	}
	if (page.more && !page.records.empty()) {
		this->LoadPage(page.records.back().key);
		return;
	}
	this->Claim();
}

Millis PartitionClaim::ClaimTimeout() const
{
	return std::clamp(Millis(this->owner_read_duration.Value() * CLAIM_TIMEOUT_FACTOR), MIN_CLAIM_TIMEOUT,
					  MAX_CLAIM_TIMEOUT);
}

void PartitionClaim::Claim()
{
	/* A claim of this node whose answer was lost may still arrive, so the next epoch must be higher. */
	const uint64_t epoch = std::max(this->max_epoch_read, this->epoch_tried) + 1;
	this->epoch_tried = epoch;
	const ClaimNumber number{epoch, this->FirstSequence(epoch)};
	const AppendCondition condition{this->load_end, OWNER_PRODUCER, epoch, number.sequence};
	const StoredOwner self{epoch, this->spec.address, false, Millis(0)};
	this->log.Append(this->spec.partition, {KeyedRecord{OWNER_KEY, EncodeOwner(self)}}, condition, this->ClaimTimeout(),
					 [this, number, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
						 if (!still.expired()) {
							 this->OnClaimed(number, answer);
						 }
					 });
}

uint64_t PartitionClaim::FirstSequence(uint64_t epoch) const
{
	/* Two nodes may try the same epoch at the same moment. With equal sequence numbers the log would take the second
	 * claim for a repeat of the first, and both would own the partition and run a task twice at the same time. */
	const std::string text =
			this->spec.address + "/" + std::to_string(this->scheduler.WallNow().Value()) + "/" + std::to_string(epoch);
	return XXH3_64bits(text.data(), text.size()) >> SEQUENCE_SHIFT;
}

void PartitionClaim::OnClaimed(const ClaimNumber &number, const KeyedAppendAnswer &answer)
{
	if (answer.code != ResultCode::RC_OK) {
		this->events.Write("claim_failed", {{"topic", this->spec.partition.topic},
											{"epoch", std::to_string(number.epoch)},
											{"code", SymbolOf(answer.code)}});
		/* RC_STALE_TERM: something was appended after the records were read, so they are read again at once. */
		this->Retry(answer.code == ResultCode::RC_STALE_TERM ? Millis(0) : CLAIM_RETRY_DELAY);
		return;
	}
	this->contents.number = number;
	this->FenceSpare();
}

void PartitionClaim::FenceSpare()
{
	/* Repeats use the same sequence number, so that the append takes effect once. */
	const AppendCondition condition{std::nullopt, OWNER_PRODUCER, this->contents.number.epoch,
									this->contents.number.sequence};
	const StoredOwner self{this->contents.number.epoch, this->spec.address, false, Millis(0)};
	this->log.Append(SparePartitionOf(this->spec.partition), {KeyedRecord{OWNER_KEY, EncodeOwner(self)}}, condition,
					 this->ClaimTimeout(),
					 [this, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
						 if (!still.expired()) {
							 this->OnSpareFenced(answer);
						 }
					 });
}

void PartitionClaim::OnSpareFenced(const KeyedAppendAnswer &answer)
{
	if (answer.code == ResultCode::RC_OK) {
		if (this->spec.read_spare) {
			this->LoadSparePage({});
		} else {
			this->ReportClaimed();
		}
		return;
	}
	this->events.Write("claim_failed", {{"topic", this->spec.partition.topic},
										{"epoch", std::to_string(this->contents.number.epoch)},
										{"code", SymbolOf(answer.code)},
										{"step", "spare"}});
	if (answer.code == ResultCode::RC_FENCED || answer.code == ResultCode::RC_STALE_TERM) {
		this->Retry(Millis(0)); /* Another owner has claimed the partition since. */
		return;
	}
	this->timer = this->scheduler.After(CLAIM_RETRY_DELAY, [this] { this->FenceSpare(); });
}

void PartitionClaim::LoadSparePage(const std::string &after)
{
	this->log.Newest(SparePartitionOf(this->spec.partition), after,
					 [this, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (!still.expired()) {
							 this->OnSparePage(page);
						 }
					 });
}

void PartitionClaim::OnSparePage(const NewestPage &page)
{
	if (page.code != ResultCode::RC_OK) {
		this->contents.spare.clear();
		this->timer = this->scheduler.After(CLAIM_RETRY_DELAY, [this] { this->LoadSparePage({}); });
		return;
	}
	for (const KeyedRecord &record : page.records) {
		if (record.key != OWNER_KEY) {
			this->contents.spare[record.key] = record.value.value_or(std::string());
		}
	}
	if (page.more && !page.records.empty()) {
		this->LoadSparePage(page.records.back().key);
		return;
	}
	this->ReportClaimed();
}

void PartitionClaim::ReportClaimed()
{
	this->events.Write("claimed", {{"topic", this->spec.partition.topic},
								   {"epoch", std::to_string(this->contents.number.epoch)},
								   {"released", this->contents.released ? "yes" : "no"},
								   {"records", std::to_string(this->contents.records.size())},
								   {"spare", std::to_string(this->contents.spare.size())}});
	this->done(this->contents);
}
