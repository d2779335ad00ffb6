/** @file ticket_cache.cpp Tickets of the placement policy. */
#include "ticket_cache.h"

#include <algorithm>

namespace {

/** A ticket isn't used when it expires within this time: recording and the order take some 50 ms. */
constexpr Millis TICKET_MARGIN(300);
constexpr Millis RETRY_AFTER(200); ///< Delay of the next request after a failed one.
constexpr size_t SPARE_BOXES = 3;  ///< Boxes requested beyond those needed, since some will be refused.
/** Maximum number of boxes in a request (platform documentation on advice). */
constexpr size_t BOXES_PER_REQUEST_MAX = 100;
/** Maximum number of requests under way: the service handles one at a time and refuses the 33rd. */
constexpr size_t REQUESTS_UNDER_WAY_MAX = 8;

} // namespace

TicketCache::~TicketCache()
{
	this->scheduler.Cancel(this->retry);
}

const std::string *TicketCache::Find(const StepId &step, const BoxIncarnation &incarnation) const
{
	const auto entry = this->steps.find(step);
	if (entry == this->steps.end()) {
		return nullptr;
	}
	const auto it = entry->second.tickets.find(incarnation);
	const bool holds = it != entry->second.tickets.end() && this->scheduler.Now() < it->second.until;
	return holds ? &it->second.text : nullptr;
}

void TicketCache::Request(const StepId &step, const std::vector<BoxIncarnation> &boxes, size_t wanted)
{
	StepTickets &entry = this->steps[step];
	if (this->advisor == nullptr || entry.request_under_way || this->under_way >= REQUESTS_UNDER_WAY_MAX) {
		return;
	}
	std::vector<BoxIncarnation> request;
	const size_t count_max = std::min(BOXES_PER_REQUEST_MAX, wanted + SPARE_BOXES);
	for (const BoxIncarnation &it : boxes) {
		if (request.size() < count_max && !entry.refused.contains(it) && this->Find(step, it) == nullptr) {
			request.push_back(it);
		}
	}
	if (request.empty()) {
		return;
	}
	entry.request_under_way = true;
	this->under_way++;
	this->advisor->Ask(step, request,
					   [this, step, request, sent = this->scheduler.Now(),
						still = std::weak_ptr<bool>(this->alive)](const Advice &advice) {
						   if (!still.expired()) {
							   this->OnAdvice(step, request, sent, advice);
						   }
					   });
}

void TicketCache::OnAdvice(const StepId &step, const std::vector<BoxIncarnation> &requested, Millis sent,
						   const Advice &advice)
{
	this->under_way--;
	this->events.Write("advice", {{"job", step.job.Value()},
								  {"step", std::to_string(step.step)},
								  {"code", SymbolOf(advice.code)},
								  {"requested", std::to_string(requested.size())},
								  {"tickets", std::to_string(advice.tickets.size())},
								  {"took_ms", std::to_string((this->scheduler.Now() - sent).Value())}});
	const auto it = this->steps.find(step);
	if (it != this->steps.end()) {
		it->second.request_under_way = false;
		for (const BoxIncarnation &incarnation :
			 advice.code == ResultCode::RC_OK ? requested : std::vector<BoxIncarnation>()) {
			const auto good = advice.tickets.find(incarnation);
			if (good == advice.tickets.end()) {
				it->second.refused.insert(incarnation);
			} else {
				/* Counted from the time of the request, since the answer may have been in transit for long. */
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
