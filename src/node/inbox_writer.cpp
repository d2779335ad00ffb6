/** @file inbox_writer.cpp Batches of appends to an inbox. */
#include "inbox_writer.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr size_t BATCH_MOST = 100;    ///< Records of one append: about 200 KB, far below what a call may carry.
constexpr double TOOK_WEIGHT = 0.3;   ///< Of the newest append in the smoothed time.
constexpr double PATIENCE_FACTOR = 4; ///< An append that takes so many times the usual counts as lost.
constexpr Millis PATIENCE_LEAST(700); ///< The same at least: a store that turns slow does so within one append.
constexpr Millis PATIENCE_MOST(2600); ///< The same at most; with over 2 s of appends waiting the log refuses.

/** After so many appends in a row without an answer the inbox counts as silent. The first may only have met a store
 * that turned slow: the next one waits longer. */
constexpr uint32_t SILENT_LOST = 2;
/** While the inbox is silent, records that were never sent are refused at once; one of them tries again after this. */
constexpr Millis SILENT_FOR(1200);

} // namespace

Millis InboxWriter::Patience() const
{
	const Millis usual(static_cast<int64_t>(this->took_ms * PATIENCE_FACTOR));
	return std::clamp(usual, PATIENCE_LEAST, PATIENCE_MOST);
}

bool InboxWriter::Silent() const
{
	return this->lost >= SILENT_LOST && this->scheduler.Now() - this->lost_at < SILENT_FOR;
}

void InboxWriter::Append(const KeyedRecord &record, Millis deadline, bool uncertain, Done done)
{
	if (!uncertain && this->Silent()) {
		done(ResultCode::RC_LOG_UNAVAILABLE);
		return;
	}
	const uint64_t number = ++this->last_number;
	this->waiting.push_back(Waiting{number, record, deadline, uncertain, std::move(done)});
	if (!this->busy) {
		this->Send();
		return;
	}
	/* Unsent for as long as an append may take: its caller may try elsewhere, and is told so truly. */
	this->scheduler.After(this->Patience(), [this, number, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->HandBack(number);
		}
	});
}

void InboxWriter::HandBack(uint64_t number)
{
	const auto it = std::ranges::find(this->waiting, number, &Waiting::number);
	if (it == this->waiting.end()) {
		return; /* Sent meanwhile. */
	}
	const Done done = std::move(it->done);
	this->waiting.erase(it);
	done(ResultCode::RC_LOG_UNAVAILABLE);
}

void InboxWriter::OnAnswer(ResultCode code, Millis took)
{
	const auto ms = static_cast<double>(took.Value());
	if (code == ResultCode::RC_OK || ms > this->took_ms) {
		this->took_ms += TOOK_WEIGHT * (ms - this->took_ms);
	}
	const bool lost = code == ResultCode::RC_LOG_ANSWER_LOST;
	this->lost = lost ? this->lost + 1 : 0;
	this->lost_at = lost ? this->scheduler.Now() : this->lost_at;
	this->busy = false;
	/* After a loss, what was lost is repeated first, by those who wait for it. */
	if (!lost && !this->waiting.empty()) {
		this->Send();
	}
}

void InboxWriter::Send()
{
	const Millis now = this->scheduler.Now();
	/* While it is not known whether the inbox answers, what may lie there already goes alone: the others can still be
	 * refused truly. */
	const bool alone = this->lost > 0 && std::ranges::any_of(this->waiting, &Waiting::uncertain);
	std::vector<KeyedRecord> records;
	std::vector<Done> told;
	std::vector<Done> late;
	std::deque<Waiting> kept;
	for (Waiting &it : std::exchange(this->waiting, {})) {
		if (it.deadline <= now) {
			late.push_back(std::move(it.done));
		} else if (records.size() == BATCH_MOST || (alone && !it.uncertain)) {
			kept.push_back(std::move(it));
		} else {
			records.push_back(std::move(it.record));
			told.push_back(std::move(it.done));
		}
	}
	this->waiting = std::move(kept);
	this->busy = !records.empty();
	if (this->busy) {
		this->log.Append(this->partition, records, AppendCondition{}, this->Patience(),
						 [this, told, now, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
							 if (still.expired()) {
								 return;
							 }
							 this->OnAnswer(answer.code, this->scheduler.Now() - now);
							 std::ranges::for_each(told, [&answer](const Done &it) { it(answer.code); });
						 });
	}
	std::ranges::for_each(late, [](const Done &it) { it(ResultCode::RC_LOG_UNAVAILABLE); });
}
