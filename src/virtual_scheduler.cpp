/** @file virtual_scheduler.cpp Scheduler with a simulated clock. */
#include "scheduler_type.h"

#include <algorithm>

TimerId VirtualScheduler::After(Millis delay, std::function<void()> run)
{
	const TimerId id(++this->last_id);
	const Millis at = this->now + std::max(delay, Millis(0));
	this->timers.emplace(Due{at, id}, std::move(run));
	this->due.emplace(id, at);
	return id;
}

void VirtualScheduler::Cancel(TimerId id)
{
	const auto it = this->due.find(id);
	if (it == this->due.end()) {
		return;
	}
	this->timers.erase(Due{it->second, id});
	this->due.erase(it);
}

bool VirtualScheduler::RunNextTimer()
{
	if (this->timers.empty()) {
		return false;
	}
	auto node = this->timers.extract(this->timers.begin());
	this->now = std::max(this->now, node.key().at);
	this->due.erase(node.key().id);
	node.mapped()();
	return true;
}

void VirtualScheduler::RunUntil(Millis until)
{
	while (!this->timers.empty() && this->timers.begin()->first.at <= until) {
		this->RunNextTimer();
	}
	this->now = std::max(this->now, until);
}
