/** @file inbox_writer.cpp Batched appends to an inbox partition. */
#include "inbox_writer.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr size_t BATCH_MOST = 100;    ///< Records per append: about 200 KB, far below the size limit of a call.
constexpr double TOOK_WEIGHT = 0.3;   ///< Weight of the newest append in the smoothed duration.
constexpr double PATIENCE_FACTOR = 4; ///< Multiple of the smoothed duration after which an append counts as lost.
constexpr Millis
		PATIENCE_LEAST(700); ///< Minimum of that timeout: the store can become slow from one append to the next.
constexpr Millis
		PATIENCE_MOST(2600); ///< Maximum of that timeout: the log refuses appends if more than 2 s of them are queued.

/** Consecutive appends without an answer after which the inbox counts as unreachable. A single one may have timed out
 * because the store became slow; the next append has a longer timeout. */
constexpr uint32_t SILENT_LOST = 2;
/** While the inbox is unreachable, records that were never sent are refused at once. After this time the next record is
 * sent as a retry. */
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
	/* A record that is still unsent after one append timeout is refused. It is certain that it wasn't stored, so the
	 * caller can retry on another node. */
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
		return; /* Already sent. */
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
	/* After a lost append, its records are sent first: their callers append them again. */
	if (!lost && !this->waiting.empty()) {
		this->Send();
	}
}

void InboxWriter::Send()
{
	const Millis now = this->scheduler.Now();
	/* While the inbox may be unreachable, only records that may be stored already are sent. The others can still be
	 * refused with certainty. */
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
