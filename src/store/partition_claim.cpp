/** @file partition_claim.cpp Claims a partition of the keyed log. */
#include "partition_claim.h"

#include "group_member.h"
#include "owner_record.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace {

constexpr Millis CLAIM_PATIENCE(1000); ///< An answer to a claim later than this counts as lost.
constexpr Millis CLAIM_AGAIN(150);     ///< Before the next try after the log refused or kept silent.
constexpr int SEQUENCE_SHIFT = 24;     ///< Leaves 40 bits of a hash: far below what a number in a call may be.
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
	this->log.Newest(this->spec.partition, BEFORE_OWNER,
					 [this, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (!still.expired()) {
							 this->OnOwner(page);
						 }
					 });
}

void PartitionClaim::OnOwner(const NewestPage &page)
{
	if (page.code != ResultCode::RC_OK) {
		this->TryAgain(CLAIM_AGAIN);
		return;
	}
	const auto it = std::ranges::find(page.records, OWNER_KEY, &KeyedRecord::key);
	const std::optional<StoredOwner> owner =
			it == page.records.end() ? std::nullopt : DecodeOwner(it->value.value_or(std::string()));
	const bool vacant = !owner || owner->released;
	/* Owned by an earlier process here, or lost without another owner. */
	const bool own = !vacant && owner->address == this->spec.address;
	const bool wanted = this->spec.wanted();
	if (own || (wanted && vacant)) {
		this->Load();
	} else if (!wanted) {
		this->Wait();
	} else {
		this->AskHolders(owner->address, page.end);
	}
}

void PartitionClaim::AskHolders(const std::string &owner, uint64_t end)
{
	this->log.Holders(this->spec.group, [this, owner, end, still = std::weak_ptr<bool>(this->alive)](
												ResultCode code, const std::vector<PartitionHolder> &rows) {
		if (still.expired()) {
			return;
		}
		const bool lives = std::ranges::any_of(
				rows, [&owner](const PartitionHolder &it) { return PeerOf(it.member).address == owner; });
		if (code != ResultCode::RC_OK) {
			this->TryAgain(CLAIM_AGAIN);
		} else if (lives) {
			this->absent_end.reset();
			this->Wait();
		} else if (this->absent_end != end) {
			/* While all partitions are dealt anew, a member that lives may hold none for a moment; it records on. */
			this->absent_end = end;
			this->TryAgain(LOOK_AGAIN);
		} else {
			this->Load();
		}
	});
}

void PartitionClaim::Wait()
{
	this->waiting = true;
	this->TryAgain(LOOK_AGAIN);
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
			this->found.others_for = owner ? owner->others_for : Millis(0);
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

void PartitionClaim::Claim()
{
	/* An own claim whose answer was lost may still come: the next one has to be above it. */
	const uint64_t epoch = std::max(this->epoch_found, this->epoch_tried) + 1;
	this->epoch_tried = epoch;
	const ClaimNumber number{epoch, this->OwnSequence(epoch)};
	const AppendCondition condition{this->first_end, OWNER_PRODUCER, epoch, number.sequence};
	const StoredOwner self{epoch, this->spec.address, false, Millis(0)};
	this->log.Append(this->spec.partition, {KeyedRecord{OWNER_KEY, EncodeOwner(self)}}, condition, CLAIM_PATIENCE,
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
	this->log.Append(SpareOf(this->spec.partition), {KeyedRecord{OWNER_KEY, EncodeOwner(self)}}, condition,
					 CLAIM_PATIENCE, [this, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
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
	this->log.Newest(SpareOf(this->spec.partition), after,
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
