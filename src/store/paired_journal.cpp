/** @file paired_journal.cpp Appends of an owner to its main partition or, while that doesn't answer, the spare one. */
#include "paired_journal.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace {

/** Least time after which a batch that the main partition hasn't answered is sent to the spare one, too. An append
 * takes 8 ms, and 40 ms from a node that runs five times slower. */
constexpr Millis MIN_MAIN_TIMEOUT(300);
/** Longest timeout of the main partition, for a slow store: below the timeout of one append (1 s). */
constexpr Millis MAX_MAIN_TIMEOUT(900);
constexpr int64_t MAIN_TIMEOUT_FACTOR = 3; ///< Timeout as a multiple of the smoothed duration in the main partition.
/** A batch that both partitions have refused for this long fails, so that callers learn it in time to retry. */
constexpr Millis REFUSAL_TIME(100);
/** Limit of the records up to which queued batches are joined into one append: the fleet's records are below 100 bytes
 * each, and a call carries up to 2 MB. */
constexpr size_t MAX_JOINED_RECORDS = 1000;
constexpr size_t MAX_REPEATED_RECORDS = 200; ///< With one append: about 400 KB, a fifth of what a call carries.
/** A batch puts this part of what the log accepts into one append, so that a slow partition answers it within the
 * timeouts; repeated records take as much again. */
constexpr size_t APPENDS_PER_CALL_LIMIT = 4;

/**
 * Divides records, in their order, into parts that each have a bounded size but at least one record.
 * @param records The records.
 * @param bytes Most bytes of a part.
 * @return The parts; one without records if there are none.
 */
std::deque<std::vector<KeyedRecord>> DivideBySize(std::vector<KeyedRecord> records, size_t bytes)
{
	std::deque<std::vector<KeyedRecord>> parts(1);
	size_t sum = 0;
	for (KeyedRecord &it : records) {
		const size_t size = EncodedSize(it);
		if (!parts.back().empty() && sum + size > bytes) {
			parts.emplace_back();
			sum = 0;
		}
		sum += size;
		parts.back().push_back(std::move(it));
	}
	return parts;
}

} // namespace

PairedJournal::PairedJournal(Scheduler &scheduler, KeyedLog &log, EventLog &events, JournalPair pair,
							 const ClaimNumber &claim)
		: scheduler(scheduler), events(events), pair(std::move(pair)), limits(log.Limits()),
		  main(scheduler, log, this->pair.main, claim), spare(scheduler, log, this->pair.spare, claim),
		  finished_at(scheduler.Now())
{
	this->main.on_refused = [this] { this->OnRefused(); };
	this->spare.on_refused = [this] { this->OnRefused(); };
	this->main.on_superseded = [this] { this->OnSuperseded(); };
	this->spare.on_superseded = [this] { this->OnSuperseded(); };
}

PairedJournal::~PairedJournal()
{
	this->scheduler.Cancel(this->timer);
}

void PairedJournal::OnSuperseded()
{
	if (!std::exchange(this->superseded, true) && this->on_superseded) {
		this->on_superseded();
	}
}

void PairedJournal::Append(std::vector<KeyedRecord> records, Done done, Done refused)
{
	Batch batch;
	batch.number = ++this->last_number;
	batch.records = std::move(records);
	batch.done.push_back(std::move(done));
	batch.refused = std::move(refused);
	this->queue.push_back(std::move(batch));
	if (!this->current) {
		this->StartNext();
	}
}

Millis PairedJournal::MainTimeout() const
{
	return std::clamp(Millis(this->main_duration.Value() * MAIN_TIMEOUT_FACTOR), MIN_MAIN_TIMEOUT, MAX_MAIN_TIMEOUT);
}

PairedJournal::Batch PairedJournal::TakeNextBatch()
{
	Batch batch = std::move(this->queue.front());
	this->queue.pop_front();
	/* Joined because single appends take long: written one by one, at 11 ms each, the records of 37 boxes whose
	 * maintenance had begun delayed orders to move 129 boxes to a service at its peak by 0.43 s. */
	while (!batch.refused && !this->queue.empty() && !this->queue.front().refused &&
		   batch.records.size() < MAX_JOINED_RECORDS) {
		Batch &next = this->queue.front();
		std::ranges::move(next.records, std::back_inserter(batch.records));
		std::ranges::move(next.done, std::back_inserter(batch.done));
		this->queue.pop_front();
	}
	return batch;
}

void PairedJournal::StartNext()
{
	if (!this->queue.empty()) {
		this->current = this->TakeNextBatch();
	} else if (!this->missing.empty() && !this->main.Busy()) {
		Batch repeat;
		repeat.number = ++this->last_number;
		repeat.done.emplace_back([this] {
			if (this->on_repeated) {
				this->on_repeated();
			}
		});
		this->current = std::move(repeat);
	} else {
		return;
	}
	this->current->remaining = DivideBySize(std::move(this->current->records), this->AppendBytesMax());
	this->SendNextPart();
}

size_t PairedJournal::AppendBytesMax() const
{
	return this->limits.call_bytes / APPENDS_PER_CALL_LIMIT;
}

void PairedJournal::SendNextPart()
{
	this->current->records = std::move(this->current->remaining.front());
	this->current->remaining.pop_front();
	this->sent_at = this->scheduler.Now();
	if (this->main.Busy()) {
		this->SendToSpare();
	} else {
		this->SendToMain();
	}
}

void PairedJournal::SendToMain()
{
	std::vector<KeyedRecord> records = this->current->records;
	std::ranges::for_each(records, [this](const KeyedRecord &it) { this->missing.erase(it.key); });
	this->AddRepeats(records);
	const uint64_t number = this->current->number;
	this->current->in_main = true;
	this->timer = this->scheduler.After(this->MainTimeout(), [this, number] {
		if (this->current && this->current->number == number && !this->current->in_spare) {
			this->SendToSpare();
		}
	});
	this->main.Append(std::move(records), [this, number] { this->OnMain(number); });
}

void PairedJournal::AddRepeats(std::vector<KeyedRecord> &records)
{
	this->repeated.clear();
	size_t sum = 0;
	for (const auto &[key, it] : this->missing | std::views::take(MAX_REPEATED_RECORDS)) {
		sum += EncodedSize(it.record);
		if (sum > this->AppendBytesMax() && !this->repeated.empty()) {
			return;
		}
		records.push_back(it.record);
		this->repeated.emplace(key, it.number);
	}
}

void PairedJournal::SendToSpare()
{
	if (!std::exchange(this->bypassing, true)) {
		this->events.Write("journal_bypass", {{"topic", this->pair.main.topic},
											  {"part", std::to_string(this->pair.main.part)},
											  {"waited_ms", std::to_string(this->MainTimeout().Value())}});
	}
	if (this->current->records.empty()) {
		this->FinishBatch(); /* A batch without own records only repeats what the spare partition has. */
		return;
	}
	this->current->in_spare = true;
	std::vector<KeyedRecord> records;
	for (const KeyedRecord &it : this->current->records) {
		const SpareKey spare_key = this->pair.key_for(it.key);
		records.push_back(KeyedRecord{spare_key.key, it.value});
		if (spare_key.drop) {
			this->spare_keys_to_drop.insert(spare_key.key);
		}
	}
	this->spare.Append(std::move(records), [this, number = this->current->number] { this->OnSpare(number); });
}

void PairedJournal::OnSpare(uint64_t number)
{
	if (!this->current || this->current->number != number) {
		return; /* The main partition has answered first. */
	}
	this->detours++;
	for (const KeyedRecord &it : this->current->records) {
		this->missing[it.key] = MissingRecord{it, number};
	}
	this->FinishBatch();
}

void PairedJournal::EraseStored(uint64_t number)
{
	std::erase_if(this->missing, [&](const auto &it) {
		const auto sent_repeat = this->repeated.find(it.first);
		return it.second.number == number ||
			   (sent_repeat != this->repeated.end() && sent_repeat->second == it.second.number);
	});
	this->repeated.clear();
	if (this->missing.empty() && std::exchange(this->bypassing, false)) {
		this->events.Write("journal_bypass_ended", {{"topic", this->pair.main.topic},
													{"part", std::to_string(this->pair.main.part)},
													{"detours", std::to_string(this->detours)}});
	}
}

void PairedJournal::OnMain(uint64_t number)
{
	const bool is_current = this->current && this->current->number == number;
	if (is_current) {
		/* The smoothed duration rises at once: otherwise a store that gets slow would get each of its first batches
		 * twice. */
		this->main_duration = SmoothedDuration(this->main_duration, this->scheduler.Now() - this->sent_at);
	}
	this->EraseStored(number);
	this->CleanUpSpare();
	if (is_current) {
		this->FinishBatch();
	} else if (!this->current) {
		this->StartNext();
	}
}

void PairedJournal::CleanUpSpare()
{
	if (!this->missing.empty() || this->spare.Busy() || this->spare_keys_to_drop.empty()) {
		return;
	}
	std::vector<KeyedRecord> records;
	std::ranges::transform(std::exchange(this->spare_keys_to_drop, {}), std::back_inserter(records),
						   [](const std::string &it) {
							   return KeyedRecord{it, std::nullopt};
						   });
	for (std::vector<KeyedRecord> &it : DivideBySize(std::move(records), this->AppendBytesMax())) {
		this->spare.Append(std::move(it), [] {
			/* Nothing waits for this: records that stay in the spare partition are older than those in the main one. */
		});
	}
}

void PairedJournal::OnRefused()
{
	if (!this->current || !this->current->refused) {
		return;
	}
	if (!this->current->in_spare) {
		this->SendToSpare();
		return;
	}
	const bool not_written = this->spare.Refused() && (!this->current->in_main || this->main.Refused());
	if (!not_written || this->scheduler.Now() - this->sent_at < REFUSAL_TIME) {
		return;
	}
	this->spare.Withdraw();
	if (this->current->in_main) {
		this->main.Withdraw();
	}
	this->scheduler.Cancel(this->timer);
	const Done refused = std::move(this->current->refused);
	this->current.reset();
	this->StartNext();
	refused();
}

void PairedJournal::FinishBatch()
{
	this->scheduler.Cancel(this->timer);
	if (!this->current->remaining.empty()) {
		/* From now on it can't be said that nothing was written. */
		this->current->refused = nullptr;
		this->current->number = ++this->last_number;
		this->current->in_main = this->current->in_spare = false;
		this->SendNextPart();
		return;
	}
	this->finished_at = this->scheduler.Now();
	this->last_duration = this->finished_at - this->sent_at;
	const std::vector<Done> callbacks = std::move(this->current->done);
	this->current.reset();
	this->StartNext();
	/* Last, since a callback may destroy this object. */
	std::ranges::for_each(callbacks, [](const Done &it) {
		if (it) {
			it();
		}
	});
}
