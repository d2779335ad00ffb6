/** @file owner_journal.cpp Appends of a partition's owner. */
#include "owner_journal.h"

#include <algorithm>

namespace {

/** Least time after which an answer counts as lost and the append is repeated, which the log recognises as a repeat. An
 * append takes 8 ms, and 40 ms from a node that runs five times slower. The timeout is a multiple of the smoothed
 * duration of appends, since an early repeat only lengthens the queue of a slow partition, and doubles with each
 * consecutive loss. With a fixed timeout of 1 s, or of 0.3 s without the spare partition, an owner that lost a third
 * of the answers was idle most of the time. */
constexpr Millis MIN_TIMEOUT(80);
constexpr Millis MAX_TIMEOUT(1000);      ///< Longest timeout of an answer.
constexpr int64_t TIMEOUT_FACTOR = 6;    ///< Timeout as a multiple of the smoothed duration of appends.
constexpr int64_t SMOOTHING_DIVISOR = 4; ///< A quicker append lowers the smoothed duration by the difference over this.
constexpr Millis REFUSED_DELAY(100);     ///< Delay after a refusal: about 10 attempts per second.
constexpr Millis LOST_DELAY(5);          ///< Delay after a lost answer; short, as the timeout has already passed.
constexpr uint32_t MAX_DOUBLINGS = 4;    ///< Limit of the doublings: after so many, 80 ms exceed MAX_TIMEOUT.

} // namespace

OwnerJournal::OwnerJournal(Scheduler &scheduler, KeyedLog &log, PartitionId partition, const ClaimNumber &claim)
		: scheduler(scheduler), log(log), partition(std::move(partition)), epoch(claim.epoch),
		  sequence(claim.sequence + 1), confirmed_at(scheduler.Now())
{
}

Millis OwnerJournal::AnswerTimeout() const
{
	const Millis base_timeout = std::max(Millis(this->append_duration.Value() * TIMEOUT_FACTOR), MIN_TIMEOUT);
	return std::min(Millis(base_timeout.Value() << std::min(this->consecutive_losses, MAX_DOUBLINGS)), MAX_TIMEOUT);
}

Millis SmoothedDuration(Millis before, Millis duration)
{
	return std::max(duration, before + Millis((duration.Value() - before.Value()) / SMOOTHING_DIVISOR));
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
	const Millis sent_at = this->scheduler.Now();
	this->attempts++;
	this->in_flight = true;
	const AppendCondition condition{std::nullopt, OWNER_PRODUCER, this->epoch, this->sequence};
	this->log.Append(this->partition, this->queue.front().records, condition, this->AnswerTimeout(),
					 [this, sent_at, still = std::weak_ptr<bool>(this->alive)](const KeyedAppendAnswer &answer) {
						 if (!still.expired()) {
							 this->OnAnswer(answer, sent_at);
						 }
					 });
}

void OwnerJournal::OnAnswer(const KeyedAppendAnswer &answer, Millis sent_at)
{
	this->in_flight = false;
	switch (answer.code) {
	case ResultCode::RC_OK: {
		this->answer_lost = false;
		this->confirmed_at = sent_at;
		this->append_duration = SmoothedDuration(this->append_duration, this->scheduler.Now() - sent_at);
		this->consecutive_losses = 0;
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
		/* A rejected sequence number is as final as a higher epoch: only a new claim helps. */
		if (this->on_superseded) {
			this->on_superseded();
		}
		return;
	case ResultCode::RC_LOG_ANSWER_LOST:
		this->answer_lost = true;
		this->consecutive_losses++;
		this->timer = this->scheduler.After(LOST_DELAY, [this] { this->Send(); });
		return;
	default:
		this->timer = this->scheduler.After(REFUSED_DELAY, [this] { this->Send(); });
		if (this->on_refused) {
			this->on_refused();
		}
		return;
	}
}

void OwnerJournal::Withdraw()
{
	this->scheduler.Cancel(this->timer);
	this->queue.clear();
	this->busy = false;
}
