/** @file inbox_writer.cpp Batches of appends to an inbox. */
#include "inbox_writer.h"

#include <algorithm>
#include <ranges>

namespace {

constexpr size_t BATCH_MOST = 100;    ///< Records of one append: about 200 KB, far below what a call may carry.
constexpr double TOOK_WEIGHT = 0.3;   ///< Of the newest append in the smoothed time.
constexpr double PATIENCE_FACTOR = 4; ///< An append that takes so many times the usual counts as lost.
constexpr Millis PATIENCE_LEAST(700); ///< The same at least: a store that turns slow does so within one append.
constexpr Millis PATIENCE_MOST(2600); ///< The same at most; with over 2 s of appends waiting the log refuses.

} // namespace

Millis InboxWriter::Patience() const
{
	const Millis usual(static_cast<int64_t>(this->took_ms * PATIENCE_FACTOR));
	return std::clamp(usual, PATIENCE_LEAST, PATIENCE_MOST);
}

void InboxWriter::Append(const KeyedRecord &record, Millis deadline, Done done)
{
	this->waiting.push_back(Waiting{record, deadline, std::move(done)});
	if (!this->busy) {
		this->Send();
	}
}

void InboxWriter::Send()
{
	const Millis now = this->scheduler.Now();
	std::vector<KeyedRecord> records;
	std::vector<Done> told;
	std::vector<Done> late;
	while (!this->waiting.empty() && records.size() < BATCH_MOST) {
		Waiting &it = this->waiting.front();
		if (it.deadline <= now) {
			late.push_back(std::move(it.done));
		} else {
			records.push_back(std::move(it.record));
			told.push_back(std::move(it.done));
		}
		this->waiting.pop_front();
	}
	this->busy = !records.empty();
	if (this->busy) {
		this->log.Append(this->partition, records, AppendCondition{}, this->Patience(),
						 [this, told, now, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
							 if (still.expired()) {
								 return;
							 }
							 const auto took = static_cast<double>((this->scheduler.Now() - now).Value());
							 if (answer.code == ResultCode::RC_OK || took > this->took_ms) {
								 this->took_ms += TOOK_WEIGHT * (took - this->took_ms);
							 }
							 this->Send();
							 std::ranges::for_each(told, [&answer](const Done &it) { it(answer.code); });
						 });
	}
	std::ranges::for_each(late, [](const Done &it) { it(ResultCode::RC_LOG_UNAVAILABLE); });
}
