/** @file partition_claim.cpp Claims a partition of the keyed log. */
#include "partition_claim.h"

#include "owner_record.h"

#include <algorithm>

namespace {

constexpr Millis CLAIM_PATIENCE(1000); ///< An answer to a claim later than this counts as lost.
constexpr Millis CLAIM_AGAIN(150);     ///< Before the next try after the log refused or kept silent.

} // namespace

PartitionClaim::PartitionClaim(Scheduler &scheduler, KeyedLog &log, EventLog &events, std::string address,
							   PartitionId partition)
		: scheduler(scheduler), log(log), events(events), address(std::move(address)), partition(std::move(partition))
{
}

PartitionClaim::~PartitionClaim()
{
	this->scheduler.Cancel(this->timer);
}

void PartitionClaim::Start(Done done)
{
	this->done = std::move(done);
	this->Load();
}

void PartitionClaim::TryAgain(Millis delay)
{
	this->timer = this->scheduler.After(delay, [this] { this->Load(); });
}

void PartitionClaim::Load()
{
	this->found = ClaimedPartition{0, true, {}};
	this->first_end.reset();
	this->LoadPage({});
}

void PartitionClaim::LoadPage(const std::string &after)
{
	this->log.Newest(this->partition, after, [this, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
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
	const AppendCondition condition{this->first_end, OWNER_PRODUCER, epoch, 0};
	this->log.Append(this->partition, {KeyedRecord{OWNER_KEY, EncodeOwner(StoredOwner{epoch, this->address, false})}},
					 condition, CLAIM_PATIENCE,
					 [this, epoch, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
						 if (!still.expired()) {
							 this->OnClaimed(epoch, answer);
						 }
					 });
}

void PartitionClaim::OnClaimed(uint64_t epoch, const KeyedAppendAnswer &answer)
{
	if (answer.code != ResultCode::RC_OK) {
		this->events.Write(
				"claim_failed",
				{{"topic", this->partition.topic}, {"epoch", std::to_string(epoch)}, {"code", SymbolOf(answer.code)}});
		/* What was read is old when the log has moved on: read again at once. */
		this->TryAgain(answer.code == ResultCode::RC_STALE_TERM ? Millis(0) : CLAIM_AGAIN);
		return;
	}
	this->events.Write("claimed", {{"topic", this->partition.topic},
								   {"epoch", std::to_string(epoch)},
								   {"released", this->found.released ? "yes" : "no"},
								   {"records", std::to_string(this->found.records.size())}});
	this->found.epoch = epoch;
	this->done(this->found);
}
