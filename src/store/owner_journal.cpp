/** @file owner_journal.cpp Appends of an owner. */
#include "owner_journal.h"

namespace {

constexpr Millis APPEND_PATIENCE(1000); ///< An answer later than this counts as lost; a slow store takes a few 100 ms.
constexpr Millis REFUSED_PAUSE(100);    ///< Before the next try when the store refused: about 10 tries a second.
constexpr Millis LOST_PAUSE(20);        ///< Before a repeat whose first answer was lost; it has already waited long.

} // namespace

OwnerJournal::OwnerJournal(Scheduler &scheduler, KeyedLog &log, PartitionId partition, const ClaimNumber &claim)
		: scheduler(scheduler), log(log), partition(std::move(partition)), epoch(claim.epoch),
		  sequence(claim.sequence + 1), confirmed_at(scheduler.Now())
{
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
	this->log.Append(this->partition, this->queue.front().records, condition, APPEND_PATIENCE,
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
		if (this->on_deposed) {
			this->on_deposed();
		}
		return;
	case ResultCode::RC_LOG_ANSWER_LOST:
		this->uncertain = true;
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
