/** @file owner_journal.cpp Appends of an owner. */
#include "owner_journal.h"

#include <algorithm>

namespace {

/** An answer later than this counts as lost, and the append is repeated: the log takes it for the same. Six times what
 * appends took lately, since a repeat that comes too soon only makes a slow partition's queue longer; twice as long
 * after each loss in a row. With a fixed 1 s (and 0.3 s until the second partition) a third of the answers lost left an
 * owner idle most of the time. */
constexpr Millis PATIENCE_LEAST(80); ///< An append takes 8 ms, and 40 ms from a node that runs five times slower.
constexpr Millis PATIENCE_MOST(1000);
constexpr int64_t PATIENCE_FACTOR = 6;
constexpr int64_t TOOK_PART = 4;     ///< The newest append counts a fourth in the smoothed time, when it is quicker.
constexpr Millis REFUSED_PAUSE(100); ///< Before the next try when the store refused: about 10 tries a second.
constexpr Millis LOST_PAUSE(5);      ///< Before a repeat whose first answer was lost; it has already waited.
constexpr uint32_t LOST_COUNTED = 4; ///< Losses in a row that lengthen the wait: 80 ms grow beyond PATIENCE_MOST.

} // namespace

OwnerJournal::OwnerJournal(Scheduler &scheduler, KeyedLog &log, PartitionId partition, const ClaimNumber &claim)
		: scheduler(scheduler), log(log), partition(std::move(partition)), epoch(claim.epoch),
		  sequence(claim.sequence + 1), confirmed_at(scheduler.Now())
{
}

Millis OwnerJournal::Patience() const
{
	const Millis usual = std::max(Millis(this->took.Value() * PATIENCE_FACTOR), PATIENCE_LEAST);
	return std::min(Millis(usual.Value() << std::min(this->lost_in_row, LOST_COUNTED)), PATIENCE_MOST);
}

Millis SmoothedTook(Millis before, Millis took)
{
	return std::max(took, before + Millis((took.Value() - before.Value()) / TOOK_PART));
}

OwnerJournal::~OwnerJournal()
{
	this->scheduler.Cancel(this->timer);
}

void OwnerJournal::Append(std::vector<KeyedRecord> records, Done done)
{
	this->queue.push_back(Pending{std::move(records), std::move(done)});
	if (!this->busy) {
		this->busy = true;
		this->Send();
	}
}

void OwnerJournal::Send()
{
	const Millis sent = this->scheduler.Now();
	this->sendings++;
	this->sent = true;
	const AppendCondition condition{std::nullopt, OWNER_PRODUCER, this->epoch, this->sequence};
	this->log.Append(this->partition, this->queue.front().records, condition, this->Patience(),
					 [this, sent, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
						 if (!still.expired()) {
							 this->OnAnswer(answer, sent);
						 }
					 });
}

void OwnerJournal::OnAnswer(const KeyedAppendAnswer &answer, Millis sent)
{
	this->sent = false;
	switch (answer.code) {
	case ResultCode::RC_OK: {
		this->uncertain = false;
		this->confirmed_at = sent;
		this->took = SmoothedTook(this->took, this->scheduler.Now() - sent);
		this->lost_in_row = 0;
		this->sequence++;
		const Done done = std::move(this->queue.front().done);
		this->queue.pop_front();
		this->busy = !this->queue.empty();
		if (this->busy) {
			this->Send();
		}
		done();
		return;
	}
	case ResultCode::RC_FENCED:
	case ResultCode::RC_STALE_TERM:
		/* A sequence that the log doesn't want is as final as a higher epoch: only a new claim gets out of it. */
		if (this->on_superseded) {
			this->on_superseded();
		}
		return;
	case ResultCode::RC_LOG_ANSWER_LOST:
		this->uncertain = true;
		this->lost_in_row++;
		this->timer = this->scheduler.After(LOST_PAUSE, [this] { this->Send(); });
		return;
	default:
		this->timer = this->scheduler.After(REFUSED_PAUSE, [this] { this->Send(); });
		if (this->on_refused) {
			this->on_refused();
		}
		return;
	}
}

void OwnerJournal::TakeBack()
{
	this->scheduler.Cancel(this->timer);
	this->queue.clear();
	this->busy = false;
}
