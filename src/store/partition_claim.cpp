/** @file partition_claim.cpp Claims a partition of the keyed log. */
#include "partition_claim.h"

#include "group_member.h"
#include "owner_record.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace {

/** An answer to a claim later than this counts as lost: the longest wait, and the shortest. In between six times what
 * the look before it took. While nobody owns a queue, each second of it is lost to its callers. */
constexpr Millis CLAIM_PATIENCE_MOST(1000);
constexpr Millis CLAIM_PATIENCE_LEAST(250);
constexpr int64_t CLAIM_PATIENCE_FACTOR = 6;
constexpr Millis CLAIM_AGAIN(150); ///< Before the next try after the log refused or kept silent.
constexpr int SEQUENCE_SHIFT = 24; ///< Leaves 40 bits of a hash: far below what a number in a call may be.
/** A partition that has not moved for so long has an owner that can't record, if any: one that lives records itself
 * within 0.35 s, and one append later. */
constexpr Millis STILL_LEAST(400);
/** The same while answers of the log get lost: an owner repeats an append without an answer after 1 s at the longest.
 */
constexpr Millis STILL_LOSSY(1150);
constexpr Millis LOSSY_FOR(2500); ///< Answers are taken to get lost for so long after one was, here.
/** On top of either, times what the look took: a slow store is slow for the owner, too. */
constexpr int64_t STILL_TOOK = 4;
constexpr Millis LOOK_AGAIN(200); ///< While another owns the partition, it is looked at so often: two reading calls.

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
	this->Look();
}

void PartitionClaim::Look()
{
	this->looked_at = this->scheduler.Now();
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
		this->still_end.reset(); /* What this node can't read, the owner may not be able to write. */
		this->TryAgain(CLAIM_AGAIN);
		return;
	}
	this->look_took = this->scheduler.Now() - this->looked_at;
	this->NoteEnd(page.end);
	const Millis left = this->StillLimit() - this->StillFor();
	const auto it = std::ranges::find(page.records, OWNER_KEY, &KeyedRecord::key);
	const std::optional<StoredOwner> owner =
			it == page.records.end() ? std::nullopt : DecodeOwner(it->value.value_or(std::string()));
	const bool vacant = !owner || owner->released;
	/* Owned by an earlier process here, or lost without another owner. */
	const bool own = !vacant && owner->address == this->spec.address;
	const bool wanted = this->spec.wanted();
	const bool watches = wanted || (this->spec.watches && this->spec.watches());
	if (own || (vacant && (wanted || (watches && left <= Millis(0))))) {
		this->Load();
	} else if (vacant || !watches || left > Millis(0)) {
		this->Wait(watches && left > Millis(0) ? std::min(left, LOOK_AGAIN) : LOOK_AGAIN);
	} else {
		this->AskHolders(owner->address);
	}
}

void PartitionClaim::NoteEnd(uint64_t end)
{
	if (this->still_end != end) {
		this->still_end = end;
		this->still_since = this->scheduler.Now();
	}
}

Millis PartitionClaim::StillFor() const
{
	return this->scheduler.Now() - this->still_since;
}

Millis PartitionClaim::StillLimit() const
{
	const Millis now = this->scheduler.Now();
	const Millis least = now - this->log.AnswerLostAt() <= LOSSY_FOR ? STILL_LOSSY : STILL_LEAST;
	return least + Millis(this->look_took.Value() * STILL_TOOK);
}

void PartitionClaim::AskHolders(const std::string &owner)
{
	this->log.Holders(this->spec.group, [this, owner, still = std::weak_ptr<bool>(this->alive)](
												ResultCode code, const std::vector<PartitionHolder> &rows) {
		if (still.expired()) {
			return;
		}
		const bool lives = std::ranges::any_of(
				rows, [&owner](const PartitionHolder &it) { return ParseMemberName(it.member).address == owner; });
		if (code != ResultCode::RC_OK) {
			this->TryAgain(CLAIM_AGAIN);
		} else if (lives) {
			this->Wait(LOOK_AGAIN);
		} else {
			this->Load();
		}
	});
}

void PartitionClaim::Wait(Millis delay)
{
	this->waiting = true;
	this->TryAgain(delay);
}

void PartitionClaim::TryAgain(Millis delay)
{
	this->timer = this->scheduler.After(delay, [this] { this->Look(); });
}

void PartitionClaim::Load()
{
	this->waiting = false;
	this->found = ClaimedPartition{{}, true, Millis(0), {}, {}};
	this->first_end.reset();
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
		this->TryAgain(CLAIM_AGAIN);
		return;
	}
	if (!this->first_end) {
		this->first_end = page.end;
	}
	for (const KeyedRecord &record : page.records) {
		const std::string value = record.value.value_or(std::string());
		if (record.key == OWNER_KEY) {
			const std::optional<StoredOwner> owner = DecodeOwner(value);
			this->epoch_found = std::max(this->epoch_found, owner ? owner->epoch : 0);
			this->found.released = owner && owner->released;
			this->found.earlier_lease_span = owner ? owner->earlier_lease_span : Millis(0);
		} else {
			this->found.records[record.key] = value;
		}
	}
	if (page.more && !page.records.empty()) {
		this->LoadPage(page.records.back().key);
		return;
	}
	this->Claim();
}

Millis PartitionClaim::ClaimPatience() const
{
	return std::clamp(Millis(this->look_took.Value() * CLAIM_PATIENCE_FACTOR), CLAIM_PATIENCE_LEAST,
					  CLAIM_PATIENCE_MOST);
}

void PartitionClaim::Claim()
{
	/* An own claim whose answer was lost may still come: the next one has to be above it. */
	const uint64_t epoch = std::max(this->epoch_found, this->epoch_tried) + 1;
	this->epoch_tried = epoch;
	const ClaimNumber number{epoch, this->OwnSequence(epoch)};
	const AppendCondition condition{this->first_end, OWNER_PRODUCER, epoch, number.sequence};
	const StoredOwner self{epoch, this->spec.address, false, Millis(0)};
	this->log.Append(this->spec.partition, {KeyedRecord{OWNER_KEY, EncodeOwner(self)}}, condition,
					 this->ClaimPatience(),
					 [this, number, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
						 if (!still.expired()) {
							 this->OnClaimed(number, answer);
						 }
					 });
}

uint64_t PartitionClaim::OwnSequence(uint64_t epoch) const
{
	/* Two nodes may try the same epoch at the same moment. With the same sequence number the log would take the second
	 * claim for a repeat of the first, and both would own the partition: two runs of a task at once. */
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
		/* What was read is old when the log has moved on: read again at once. */
		this->TryAgain(answer.code == ResultCode::RC_STALE_TERM ? Millis(0) : CLAIM_AGAIN);
		return;
	}
	this->found.number = number;
	this->FenceSpare();
}

void PartitionClaim::FenceSpare()
{
	/* The same number each time: a repeated append has its effect once. */
	const AppendCondition condition{std::nullopt, OWNER_PRODUCER, this->found.number.epoch,
									this->found.number.sequence};
	const StoredOwner self{this->found.number.epoch, this->spec.address, false, Millis(0)};
	this->log.Append(SparePartitionOf(this->spec.partition), {KeyedRecord{OWNER_KEY, EncodeOwner(self)}}, condition,
					 this->ClaimPatience(),
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
			this->Finish();
		}
		return;
	}
	this->events.Write("claim_failed", {{"topic", this->spec.partition.topic},
										{"epoch", std::to_string(this->found.number.epoch)},
										{"code", SymbolOf(answer.code)},
										{"step", "spare"}});
	if (answer.code == ResultCode::RC_FENCED || answer.code == ResultCode::RC_STALE_TERM) {
		this->TryAgain(Millis(0)); /* Another owner has claimed since. */
		return;
	}
	this->timer = this->scheduler.After(CLAIM_AGAIN, [this] { this->FenceSpare(); });
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
		this->found.spare.clear();
		this->timer = this->scheduler.After(CLAIM_AGAIN, [this] { this->LoadSparePage({}); });
		return;
	}
	for (const KeyedRecord &record : page.records) {
		if (record.key != OWNER_KEY) {
			this->found.spare[record.key] = record.value.value_or(std::string());
		}
	}
	if (page.more && !page.records.empty()) {
		this->LoadSparePage(page.records.back().key);
		return;
	}
	this->Finish();
}

void PartitionClaim::Finish()
{
	this->events.Write("claimed", {{"topic", this->spec.partition.topic},
								   {"epoch", std::to_string(this->found.number.epoch)},
								   {"released", this->found.released ? "yes" : "no"},
								   {"records", std::to_string(this->found.records.size())},
								   {"spare", std::to_string(this->found.spare.size())}});
	this->done(this->found);
}
