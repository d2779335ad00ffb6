/** @file paired_journal.cpp Appends of an owner to its partition, and around it to a second one. */
#include "paired_journal.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace {

/** A batch that the main partition has not answered by then goes to the spare one, too: an append takes 8 ms, and 40 ms
 * from a node that runs five times slower. */
constexpr Millis PATIENCE_LEAST(300);
constexpr Millis PATIENCE_MOST(900);   ///< The same while the store is slow: below the limit of one append (1 s).
constexpr int64_t PATIENCE_FACTOR = 3; ///< Times what the main partition took lately.
/** A batch that both partitions have refused for so long is handed back: what callers wait for is refused to them while
 * they have time to come again. */
constexpr Millis REFUSED_FOR(100);
/** Batches that waited are written with one append up to so many records: the fleet's are below 100 bytes each, and a
 * call carries 2 MB. */
constexpr size_t TOGETHER_MOST = 1000;
constexpr size_t REPEAT_MOST = 200; ///< Records repeated with one append: about 400 KB, a fifth of what a call carries.

} // namespace

PairedJournal::PairedJournal(Scheduler &scheduler, KeyedLog &log, EventLog &events, JournalPair pair,
							 const ClaimNumber &claim)
		: scheduler(scheduler), events(events), pair(std::move(pair)), main(scheduler, log, this->pair.main, claim),
		  spare(scheduler, log, this->pair.spare, claim), finished_at(scheduler.Now())
{
	this->main.on_refused = [this] { this->OnRefused(); };
	this->spare.on_refused = [this] { this->OnRefused(); };
	this->main.on_superseded = [this] { this->OnDeposed(); };
	this->spare.on_superseded = [this] { this->OnDeposed(); };
}

PairedJournal::~PairedJournal()
{
	this->scheduler.Cancel(this->timer);
}

void PairedJournal::OnDeposed()
{
	if (!std::exchange(this->deposed, true) && this->on_superseded) {
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
		this->Next();
	}
}

Millis PairedJournal::Patience() const
{
	return std::clamp(Millis(this->took.Value() * PATIENCE_FACTOR), PATIENCE_LEAST, PATIENCE_MOST);
}

PairedJournal::Batch PairedJournal::TakeQueued()
{
	Batch batch = std::move(this->queue.front());
	this->queue.pop_front();
	/* One by one, the records of 37 boxes whose maintenance had begun held up orders to move 129 boxes to a queue at
	 * its peak: 0.43 s with appends that take 11 ms (one day played, with and without). */
	while (!batch.refused && !this->queue.empty() && !this->queue.front().refused &&
		   batch.records.size() < TOGETHER_MOST) {
		Batch &next = this->queue.front();
		std::ranges::move(next.records, std::back_inserter(batch.records));
		std::ranges::move(next.done, std::back_inserter(batch.done));
		this->queue.pop_front();
	}
	return batch;
}

void PairedJournal::Next()
{
	if (!this->queue.empty()) {
		this->current = this->TakeQueued();
	} else if (!this->behind.empty() && !this->main.Busy()) {
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
	this->sent_at = this->scheduler.Now();
	if (this->main.Busy()) {
		this->ToSpare();
	} else {
		this->ToMain();
	}
}

void PairedJournal::ToMain()
{
	std::vector<KeyedRecord> records = this->current->records;
	std::ranges::for_each(records, [this](const KeyedRecord &it) { this->behind.erase(it.key); });
	this->repeated.clear();
	for (const auto &[key, it] : this->behind | std::views::take(REPEAT_MOST)) {
		records.push_back(it.record);
		this->repeated.emplace(key, it.number);
	}
	const uint64_t number = this->current->number;
	this->current->in_main = true;
	this->timer = this->scheduler.After(this->Patience(), [this, number] {
		if (this->current && this->current->number == number && !this->current->in_spare) {
			this->ToSpare();
		}
	});
	this->main.Append(std::move(records), [this, number] { this->OnMain(number); });
}

void PairedJournal::ToSpare()
{
	if (!std::exchange(this->around, true)) {
		this->events.Write("journal_around", {{"topic", this->pair.main.topic},
											  {"part", std::to_string(this->pair.main.part)},
											  {"waited_ms", std::to_string(this->Patience().Value())}});
	}
	if (this->current->records.empty()) {
		this->Finish(); /* Only repeats what the spare partition has. */
		return;
	}
	this->current->in_spare = true;
	std::vector<KeyedRecord> records;
	for (const KeyedRecord &it : this->current->records) {
		const SpareKey there = this->pair.key_for(it.key);
		records.push_back(KeyedRecord{there.key, it.value});
		if (there.drop) {
			this->droppable.insert(there.key);
		}
	}
	this->spare.Append(std::move(records), [this, number = this->current->number] { this->OnSpare(number); });
}

void PairedJournal::OnSpare(uint64_t number)
{
	if (!this->current || this->current->number != number) {
		return; /* The main partition was sooner. */
	}
	this->detours++;
	for (const KeyedRecord &it : this->current->records) {
		this->behind[it.key] = Behind{it, number};
	}
	this->Finish();
}

void PairedJournal::Settle(uint64_t number)
{
	std::erase_if(this->behind, [&](const auto &it) {
		const auto brought = this->repeated.find(it.first);
		return it.second.number == number || (brought != this->repeated.end() && brought->second == it.second.number);
	});
	this->repeated.clear();
	if (this->behind.empty() && std::exchange(this->around, false)) {
		this->events.Write("journal_back", {{"topic", this->pair.main.topic},
											{"part", std::to_string(this->pair.main.part)},
											{"detours", std::to_string(this->detours)}});
	}
}

void PairedJournal::OnMain(uint64_t number)
{
	const bool waited_for = this->current && this->current->number == number;
	if (waited_for) {
		/* Up at once: a store that turns slow would get each of its first batches twice. */
		this->took = SmoothedTook(this->took, this->scheduler.Now() - this->sent_at);
	}
	this->Settle(number);
	this->TidySpare();
	if (waited_for) {
		this->Finish();
	} else if (!this->current) {
		this->Next();
	}
}

void PairedJournal::TidySpare()
{
	if (!this->behind.empty() || this->spare.Busy() || this->droppable.empty()) {
		return;
	}
	std::vector<KeyedRecord> records;
	std::ranges::transform(std::exchange(this->droppable, {}), std::back_inserter(records), [](const std::string &it) {
		return KeyedRecord{it, std::nullopt};
	});
	this->spare.Append(std::move(records), [] {
		/* Nothing waits for it: what stays there is older than what the main partition has. */
	});
}

void PairedJournal::OnRefused()
{
	if (!this->current || !this->current->refused) {
		return;
	}
	if (!this->current->in_spare) {
		this->ToSpare();
		return;
	}
	const bool certain = this->spare.Refused() && (!this->current->in_main || this->main.Refused());
	if (!certain || this->scheduler.Now() - this->sent_at < REFUSED_FOR) {
		return;
	}
	this->spare.TakeBack();
	if (this->current->in_main) {
		this->main.TakeBack();
	}
	this->scheduler.Cancel(this->timer);
	const Done refused = std::move(this->current->refused);
	this->current.reset();
	this->Next();
	refused();
}

void PairedJournal::Finish()
{
	this->scheduler.Cancel(this->timer);
	this->finished_at = this->scheduler.Now();
	this->last_took = this->finished_at - this->sent_at;
	const std::vector<Done> told = std::move(this->current->done);
	this->current.reset();
	this->Next();
	/* Last: this may be gone after it. */
	std::ranges::for_each(told, [](const Done &it) {
		if (it) {
			it();
		}
	});
}
