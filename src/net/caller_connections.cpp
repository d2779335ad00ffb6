/** @file caller_connections.cpp The connections of one listener. */
#include "caller_connections.h"

#include <algorithm>
#include <ranges>
#include <unistd.h>

namespace {

constexpr Millis LOG_INTERVAL(1000); ///< Least time between two log lines on refusals.
/** A small body that has been arriving for less long doesn't give way: callers send small ones within this time. */
constexpr Millis SMALL_BODY_KEPT_FOR(1000);

} // namespace

const char *NameOf(CallerRefusal reason)
{
	constexpr std::array<const char *, CALLER_REFUSALS> NAMES{"too_slow", "invalid", "bodies_full", "displaced"};
	return NAMES[static_cast<size_t>(reason)];
}

CallerConnections::CallerConnections(std::string name, QtScheduler &scheduler, RequestHandler &handler,
									 const CallerLimits &limits, size_t connections_max, EventLog &events)
		: name(std::move(name)), scheduler(scheduler), handler(handler), limits(limits),
		  connections_max(connections_max), events(events)
{
}

CallerConnections::~CallerConnections()
{
	this->scheduler.Cancel(this->log_timer);
	/* Each connection removes itself in OnClosed(). */
	while (!this->links.empty()) {
		delete this->links.front();
	}
}

void CallerConnections::Add(qintptr descriptor)
{
	if (this->links.size() >= this->connections_max) {
		CallerLink *oldest = this->LeastRecent();
		if (oldest == nullptr) {
			::close(static_cast<int>(descriptor));
			this->OnRefused(CallerRefusal::CR_DISPLACED);
			return;
		}
		this->Displace(*oldest);
	}
	this->counters.accepted++;
	auto *link = new CallerLink(this->scheduler, this->handler, this->limits, this->open, descriptor, this);
	this->places[link] = this->links.insert(this->links.end(), link);
}

CallerLink *CallerConnections::LeastRecent() const
{
	const auto it = std::ranges::find_if(this->links, [](const CallerLink *one) { return !one->Busy(); });
	return it == this->links.end() ? nullptr : *it;
}

void CallerConnections::Displace(CallerLink &link)
{
	this->OnRefused(CallerRefusal::CR_DISPLACED);
	delete &link; /* At once, since its buffers are needed. It is none whose function is running. */
}

void CallerConnections::CloseIdle()
{
	/* A copy: a connection may end at once. */
	const std::vector<CallerLink *> all(this->links.begin(), this->links.end());
	std::ranges::for_each(all, [](CallerLink *it) { it->CloseIfIdle(); });
}

void CallerConnections::OnServed(CallerLink &link)
{
	this->counters.served++;
	if (const auto it = this->places.find(&link); it != this->places.end()) {
		this->links.splice(this->links.end(), this->links, it->second);
	}
}

void CallerConnections::OnClosed(CallerLink &link)
{
	if (const auto it = this->places.find(&link); it != this->places.end()) {
		this->links.erase(it->second);
		this->places.erase(it);
	}
}

bool CallerConnections::MakeRoom(const CallerLink &link, size_t bytes)
{
	if (bytes > SMALL_BODY_BYTES) {
		return false; /* A large body in progress is nearer to its end than a new one. */
	}
	const Millis since = this->scheduler.Now() - SMALL_BODY_KEPT_FOR;
	const auto it = std::ranges::find_if(this->links, [&](const CallerLink *one) {
		const bool is_small = one->BodyBytes() > 0 && one->BodyBytes() <= SMALL_BODY_BYTES;
		return one != &link && is_small && one->BodySince() <= since;
	});
	if (it == this->links.end()) {
		return false;
	}
	this->Displace(**it);
	return true;
}

void CallerConnections::OnRefused(CallerRefusal reason)
{
	this->counters.refusals[static_cast<size_t>(reason)]++;
	if (this->log_timer == TimerId()) {
		this->log_timer = this->scheduler.After(LOG_INTERVAL, [this] { this->LogRefusals(); });
	}
}

void CallerConnections::LogRefusals()
{
	this->log_timer = TimerId();
	const auto since_last = [this](CallerRefusal reason) {
		const auto n = static_cast<size_t>(reason);
		return std::to_string(this->counters.refusals[n] - this->logged.refusals[n]);
	};
	this->events.Write("connections_limited",
					   {{"listener", this->name},
						{"open", std::to_string(this->Open())},
						{"accepted", std::to_string(this->counters.accepted - this->logged.accepted)},
						{"served", std::to_string(this->counters.served - this->logged.served)},
						{"body_bytes", std::to_string(this->limits.bodies ? this->limits.bodies->Used() : 0)},
						{NameOf(CallerRefusal::CR_TOO_SLOW), since_last(CallerRefusal::CR_TOO_SLOW)},
						{NameOf(CallerRefusal::CR_INVALID), since_last(CallerRefusal::CR_INVALID)},
						{NameOf(CallerRefusal::CR_BODIES_FULL), since_last(CallerRefusal::CR_BODIES_FULL)},
						{NameOf(CallerRefusal::CR_DISPLACED), since_last(CallerRefusal::CR_DISPLACED)}});
	this->logged = this->counters;
}
