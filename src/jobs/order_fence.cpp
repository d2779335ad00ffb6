/** @file order_fence.cpp Tokens of the orders to a box, and when ends may be acknowledged to it. */
#include "order_fence.h"

#include <algorithm>

bool OrderFence::OrderedRun::MayStillStart() const
{
	/* The run is listed because one order was carried out: one without an answer, unless an answer confirms the run. */
	const uint32_t done_unanswered = this->listed && !this->confirmed ? 1 : 0;
	return this->orders > this->answered + done_unanswered;
}

void OrderFence::Raise()
{
	if (!this->UsedUp()) {
		this->token = FenceToken(this->token.Value() + 1);
	}
}

FenceToken OrderFence::ForOrder(Millis now)
{
	this->used_at = now;
	return this->token;
}

FenceToken OrderFence::ForStart(const TaskId &task, RunNumber run, Millis now)
{
	if (this->acknowledgement == this->token) {
		this->Raise();
	}
	this->starts_under_way++;
	OrderedRun *entry = this->Find(task, run);
	if (entry == nullptr) {
		entry = &this->ordered.emplace_back(OrderedRun{task, run, now});
	}
	entry->orders++;
	entry->sent_at = now;
	return this->ForOrder(now);
}

FenceToken OrderFence::ForAcknowledgement(Millis now)
{
	/* Each one that isn't known to be done has a token of its own, so that none is taken for another. */
	if (this->acknowledgement == this->token) {
		this->Raise();
	}
	this->acknowledgement = this->token;
	return this->ForOrder(now);
}

void OrderFence::OnStartAnswered(const TaskId &task, RunNumber run, OrderOutcome outcome)
{
	this->starts_under_way--;
	OrderedRun *entry = this->Find(task, run);
	if (entry == nullptr || outcome == OrderOutcome::OO_UNKNOWN) {
		return;
	}
	entry->answered++;
	entry->confirmed = entry->confirmed || outcome == OrderOutcome::OO_DONE;
	this->ForgetSettled();
}

void OrderFence::OnRunListed(const TaskId &task, RunNumber run)
{
	if (OrderedRun *entry = this->Find(task, run); entry != nullptr) {
		entry->listed = true;
		this->ForgetSettled();
	}
}

void OrderFence::OnAcknowledged(FenceToken sent)
{
	if (this->acknowledgement == sent) {
		this->acknowledgement.reset();
	}
}

bool OrderFence::MayAcknowledge(Millis now)
{
	std::erase_if(this->ordered, [now](const OrderedRun &it) { return now - it.sent_at >= ORDER_DELAY_MAX; });
	return this->ordered.empty();
}

OrderFence::OrderedRun *OrderFence::Find(const TaskId &task, RunNumber run)
{
	const auto it = std::ranges::find_if(
			this->ordered, [&](const OrderedRun &entry) { return entry.task == task && entry.run == run; });
	return it == this->ordered.end() ? nullptr : &*it;
}

void OrderFence::ForgetSettled()
{
	std::erase_if(this->ordered, [](const OrderedRun &it) { return !it.MayStillStart(); });
}
