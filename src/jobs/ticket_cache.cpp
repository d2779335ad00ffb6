/** @file ticket_cache.cpp Tickets that a route's policy gives. */
#include "ticket_cache.h"

#include <algorithm>

namespace {

constexpr Millis TICKET_MARGIN(300); ///< A ticket is not used in its last moments: record and order take some 50 ms.
constexpr Millis RETRY_AFTER(200);   ///< Another question after one that failed.
constexpr size_t SPARE_BOXES = 3;    ///< Boxes asked about beyond those needed: some will be refused.
constexpr size_t BOXES_PER_REQUEST_MAX = 100; ///< Boxes of a question (the platform's page on advice).
constexpr size_t REQUESTS_UNDER_WAY_MAX =
		8; ///< Questions under way: the service works on one at a time and refuses the 33rd.

} // namespace

TicketCache::~TicketCache()
{
	this->scheduler.Cancel(this->retry);
}

const std::string *TicketCache::Find(const StepId &step, const BoxIncarnation &incarnation) const
{
	const auto known = this->steps.find(step);
	if (known == this->steps.end()) {
		return nullptr;
	}
	const auto it = known->second.tickets.find(incarnation);
	const bool holds = it != known->second.tickets.end() && this->scheduler.Now() < it->second.until;
	return holds ? &it->second.text : nullptr;
}

void TicketCache::Request(const StepId &step, const std::vector<BoxIncarnation> &boxes, size_t wanted)
{
	Known &known = this->steps[step];
	if (this->advisor == nullptr || known.asking || this->under_way >= REQUESTS_UNDER_WAY_MAX) {
		return;
	}
	std::vector<BoxIncarnation> ask;
	const size_t most = std::min(BOXES_PER_REQUEST_MAX, wanted + SPARE_BOXES);
	for (const BoxIncarnation &it : boxes) {
		if (ask.size() < most && !known.refused.contains(it) && this->Find(step, it) == nullptr) {
			ask.push_back(it);
		}
	}
	if (ask.empty()) {
		return;
	}
	known.asking = true;
	this->under_way++;
	this->advisor->Ask(step, ask,
					   [this, step, ask, sent = this->scheduler.Now(),
						still = std::weak_ptr<bool>(this->alive)](const Advice &advice) {
						   if (!still.expired()) {
							   this->OnAdvice(step, ask, sent, advice);
						   }
					   });
}

void TicketCache::OnAdvice(const StepId &step, const std::vector<BoxIncarnation> &asked, Millis sent,
						   const Advice &advice)
{
	this->under_way--;
	this->events.Write("advice", {{"job", step.job.Value()},
								  {"step", std::to_string(step.step)},
								  {"code", SymbolOf(advice.code)},
								  {"asked", std::to_string(asked.size())},
								  {"good", std::to_string(advice.tickets.size())},
								  {"took_ms", std::to_string((this->scheduler.Now() - sent).Value())}});
	const auto it = this->steps.find(step);
	if (it != this->steps.end()) {
		it->second.asking = false;
		for (const BoxIncarnation &incarnation :
			 advice.code == ResultCode::RC_OK ? asked : std::vector<BoxIncarnation>()) {
			const auto good = advice.tickets.find(incarnation);
			if (good == advice.tickets.end()) {
				it->second.refused.insert(incarnation);
			} else {
				/* From the sending on: the answer may have been under way for long. */
				it->second.tickets[incarnation] = Ticket{good->second, sent + advice.valid - TICKET_MARGIN};
			}
		}
	}
	if (!this->on_tickets) {
		return;
	}
	if (advice.code == ResultCode::RC_OK) {
		this->on_tickets();
	} else {
		this->scheduler.Cancel(this->retry);
		this->retry = this->scheduler.After(RETRY_AFTER, [this] { this->on_tickets(); });
	}
}

void TicketCache::Drop(const StepId &step, const BoxIncarnation &incarnation)
{
	if (const auto it = this->steps.find(step); it != this->steps.end()) {
		it->second.tickets.erase(incarnation);
	}
}

void TicketCache::Forget(const JobId &job)
{
	const auto first = this->steps.lower_bound(StepId{job, 0, 0});
	const auto last = std::find_if(first, this->steps.end(), [&job](const auto &it) { return it.first.job != job; });
	this->steps.erase(first, last);
}
