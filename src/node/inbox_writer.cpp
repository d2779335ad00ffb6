/** @file inbox_writer.cpp Batched appends to an inbox partition. */
#include "inbox_writer.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr size_t BATCH_RECORDS_MAX = 100; ///< Records per append: about 200 KB, mostly far below the log's limit.
constexpr double SMOOTHING_WEIGHT = 0.3;  ///< Weight of the newest append in the smoothed duration.
constexpr double TIMEOUT_FACTOR = 4;      ///< Append timeout as a multiple of the smoothed duration.
constexpr Millis TIMEOUT_MIN(700); ///< Minimum append timeout: the store can become slow from one append to the next.
/** Maximum append timeout: the log refuses appends if those in its queue take more than 2 s. */
constexpr Millis TIMEOUT_MAX(2600);

/** Consecutive appends without an answer after which the inbox counts as unreachable. A single one may have timed out
 * because the store became slow; its duration lengthens the timeout of the next one. */
constexpr uint32_t UNREACHABLE_AFTER_LOST = 2;
/** While the inbox is unreachable, records that were never sent are refused at once. After this time the next record is
 * sent as a retry. */
constexpr Millis UNREACHABLE_RETRY_INTERVAL(1200);

} // namespace

Millis InboxWriter::AppendTimeout() const
{
	const Millis scaled(static_cast<int64_t>(this->smoothed_duration_ms * TIMEOUT_FACTOR));
	return std::clamp(scaled, TIMEOUT_MIN, TIMEOUT_MAX);
}

bool InboxWriter::Unreachable() const
{
	return this->lost_in_a_row >= UNREACHABLE_AFTER_LOST &&
		   this->scheduler.Now() - this->lost_at < UNREACHABLE_RETRY_INTERVAL;
}

void InboxWriter::Append(const KeyedRecord &record, Millis deadline, bool uncertain, Done done)
{
	if (!uncertain && this->Unreachable()) {
		done(ResultCode::RC_LOG_UNAVAILABLE);
		return;
	}
	const uint64_t number = ++this->last_number;
	this->queue.push_back(QueuedRecord{number, record, deadline, uncertain, std::move(done)});
	if (!this->append_in_flight) {
		this->Send();
		return;
	}
	/* A record that is still unsent after one append timeout is refused. It is certain that it wasn't stored, so the
	 * caller can retry on another node. */
	this->scheduler.After(this->AppendTimeout(), [this, number, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->RefuseUnsent(number);
		}
	});
}

void InboxWriter::RefuseUnsent(uint64_t number)
{
	const auto it = std::ranges::find(this->queue, number, &QueuedRecord::number);
	if (it == this->queue.end()) {
		return; /* Already sent. */
	}
	const Done done = std::move(it->done);
	this->queue.erase(it);
	done(ResultCode::RC_LOG_UNAVAILABLE);
}

void InboxWriter::OnAnswer(ResultCode code, Millis took)
{
	const auto ms = static_cast<double>(took.Value());
	/* A failed append only counts if it took longer: quick refusals must not shorten the timeout. */
	if (code == ResultCode::RC_OK || ms > this->smoothed_duration_ms) {
		this->smoothed_duration_ms += SMOOTHING_WEIGHT * (ms - this->smoothed_duration_ms);
	}
	const bool lost = code == ResultCode::RC_LOG_ANSWER_LOST;
	this->lost_in_a_row = lost ? this->lost_in_a_row + 1 : 0;
	this->lost_at = lost ? this->scheduler.Now() : this->lost_at;
	this->append_in_flight = false;
	/* After a lost append, its records are sent first: their callers append them again. */
	if (!lost && !this->queue.empty()) {
		this->Send();
	}
}

void InboxWriter::Send()
{
	const Millis now = this->scheduler.Now();
	/* While the inbox may be unreachable, only records that may be stored already are sent. The others can still be
	 * refused with certainty. */
	const bool uncertain_only = this->lost_in_a_row > 0 && std::ranges::any_of(this->queue, &QueuedRecord::uncertain);
	const size_t bytes_max = this->log.Limits().call_bytes;
	size_t bytes = 0;
	std::vector<KeyedRecord> records;
	std::vector<Done> sent;
	std::vector<Done> overdue;
	std::deque<QueuedRecord> remaining;
	for (QueuedRecord &it : std::exchange(this->queue, {})) {
		if (it.deadline <= now) {
			overdue.push_back(std::move(it.done));
		} else if (records.size() == BATCH_RECORDS_MAX || bytes + EncodedSize(it.record) > bytes_max ||
				   (uncertain_only && !it.uncertain)) {
			remaining.push_back(std::move(it));
		} else {
			bytes += EncodedSize(it.record);
			records.push_back(std::move(it.record));
			sent.push_back(std::move(it.done));
		}
	}
	this->queue = std::move(remaining);
	this->append_in_flight = !records.empty();
	if (this->append_in_flight) {
		this->log.Append(this->partition, records, AppendCondition{}, this->AppendTimeout(),
						 [this, sent, now, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
							 if (still.expired()) {
								 return;
							 }
							 this->OnAnswer(answer.code, this->scheduler.Now() - now);
							 std::ranges::for_each(sent, [&answer](const Done &it) { it(answer.code); });
						 });
	}
	std::ranges::for_each(overdue, [](const Done &it) { it(ResultCode::RC_LOG_UNAVAILABLE); });
}
