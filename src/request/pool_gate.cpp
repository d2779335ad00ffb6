/** @file pool_gate.cpp Admission control and load balancing for the endpoints of one pool. */
#include "pool_gate.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace {

constexpr int64_t US_PER_MS = 1000;               ///< Microseconds in a millisecond.
constexpr int64_t SMOOTHING = 8;                  ///< Smoothed values move by 1/SMOOTHING towards each sample.
constexpr uint32_t MAX_ERROR_SCORE = 1000;        ///< Error score of an endpoint that fails all requests.
constexpr uint32_t EJECT_ERROR_SCORE = 500;       ///< Error score from which a server error counts as a failure.
constexpr uint64_t MILLION = 1000000;             ///< Scale of `share_scale`.
constexpr Millis PEAK_WINDOW(10 * MS_PER_SECOND); ///< How long the peak usage of a service is remembered.
constexpr uint32_t MAX_REFUSAL_DOUBLINGS = 5;     ///< Limits the backoff to REFUSAL_BACKOFF * 2^5 = 1600 ms.
constexpr Millis REFUSAL_BACKOFF(50);             ///< Backoff after an endpoint's first refusal; doubles with each.
constexpr Millis MIN_RETRY_AFTER(1000);           ///< Shortest delay that a refused caller is told.

/**
 * Scales a fleet-wide floor or ceiling to this entry.
 * @param slots Slots in the whole fleet.
 * @param scale Share of this entry in millionths.
 * @return Slots of this entry, rounded up.
 */
uint32_t ScaleUp(Slots slots, uint64_t scale)
{
	return static_cast<uint32_t>((slots.Value() * scale + MILLION - 1) / MILLION);
}

/**
 * Exponentially weighted moving average.
 * @param old Average so far, 0 for none.
 * @param sample Latest sample.
 * @return New average, at least 1.
 */
int64_t Smooth(int64_t old, int64_t sample)
{
	return old == 0 ? std::max<int64_t>(sample, 1) : std::max<int64_t>((old * (SMOOTHING - 1) + sample) / SMOOTHING, 1);
}

} // namespace

PoolGate::PoolGate(GateSettings settings, uint64_t seed) : settings(settings), random(seed) {}

void PoolGate::Update(const std::vector<GateEndpoint> &list, const std::vector<ServiceRow> &rows, uint64_t share_scale,
					  Millis from, Millis now)
{
	Decisions decisions;
	{
		const std::scoped_lock guard(this->lock);
		this->gained_usable_from = from;
		for (auto &[box, it] : this->endpoints) {
			it.listed = false;
			it.view.open = false;
		}
		for (const GateEndpoint &it : list) {
			EndpointState &state = this->endpoints[it.box];
			if (state.view.epoch != it.epoch) {
				state.failures = 0;
				state.error_score = 0;
				state.ejected_until = Millis(0);
			}
			state.view = it;
			state.usable_share = std::min(state.usable_share, it.share);
			state.listed = true;
		}
		std::erase_if(this->endpoints, [](const auto &it) { return Removable(it.second); });
		std::set<ServiceName> configured;
		for (const ServiceRow &row : rows) {
			ServiceState &service = this->services[row.service];
			service.row = row;
			service.floor = ScaleUp(row.floor, share_scale);
			service.ceiling = std::max(ScaleUp(row.ceiling, share_scale), 1U);
			configured.insert(row.service);
		}
		for (auto &[name, service] : this->services) {
			if (!configured.contains(name)) {
				service.ceiling = 0;
			}
		}
		this->GrantWaiting(now, decisions);
	}
	Deliver(decisions);
}

bool PoolGate::Removable(const EndpointState &it)
{
	return !it.listed && it.in_flight == 0 && it.lent == 0 && it.borrowed == 0;
}

bool PoolGate::Usable(const EndpointState &it, Millis now) const
{
	/* After an ejection, one request at a time probes whether the endpoint has recovered. */
	const bool probing = this->settings.eject && it.failures >= this->settings.eject_after;
	const uint32_t limit = probing ? std::min(LimitOf(it), 1U) : LimitOf(it);
	return it.view.open && it.in_flight < limit && it.ejected_until <= now && it.refused_until <= now;
}

uint32_t PoolGate::LimitOf(const EndpointState &it)
{
	/* When a new view lowers the share below what is lent, no own slots remain until lent ones are returned. */
	const uint32_t own = it.usable_share > it.lent ? it.usable_share - it.lent : 0;
	return own + it.borrowed - it.recalled;
}

bool PoolGate::AnyOpen() const
{
	return std::ranges::any_of(this->endpoints, [](const auto &it) { return it.second.view.open; });
}

uint32_t PoolGate::FreeSlots(Millis now) const
{
	uint32_t free = 0;
	for (const auto &[box, it] : this->endpoints) {
		free += this->Usable(it, now) ? LimitOf(it) - it.in_flight : 0;
	}
	return free;
}

uint32_t PoolGate::TotalSlots(Millis now) const
{
	uint32_t total = 0;
	for (const auto &[box, it] : this->endpoints) {
		total += it.view.open && it.ejected_until <= now ? LimitOf(it) : 0;
	}
	return total;
}

PoolGate::EndpointState *PoolGate::LessLoaded(EndpointState *a, EndpointState *b) const
{
	/* Expected completion time of one more request: requests in flight times latency, divided by the slots. */
	const auto cost = [](const EndpointState &it) {
		return static_cast<double>(it.in_flight + 1) * static_cast<double>(std::max<int64_t>(it.typical_us, 1)) /
			   std::max(LimitOf(it), 1U);
	};
	return cost(*b) < cost(*a) ? b : a;
}

PoolGate::EndpointState *PoolGate::Choose(const std::set<BoxName> &avoid, Millis now)
{
	std::vector<EndpointState *> usable;
	bool other_open = false;
	for (auto &[box, it] : this->endpoints) {
		const bool avoided = avoid.contains(box);
		other_open = other_open || (!avoided && it.view.open && it.ejected_until <= now);
		if (!avoided && this->Usable(it, now)) {
			usable.push_back(&it);
		}
	}
	if (usable.empty() && !other_open) {
		for (auto &[box, it] : this->endpoints) {
			if (this->Usable(it, now)) {
				usable.push_back(&it);
			}
		}
	}
	if (usable.empty()) {
		return nullptr;
	}
	if (!this->settings.two_choices) {
		return usable[this->round_robin++ % usable.size()];
	}
	boost::random::uniform_int_distribution<size_t> any(0, usable.size() - 1);
	EndpointState *first = usable[any(this->random)];
	EndpointState *second = usable[any(this->random)];
	return this->LessLoaded(first, second);
}

Millis PoolGate::TypicalLatency(const ServiceState &service) const
{
	return service.typical_us == 0 ? this->settings.initial_latency : Millis(service.typical_us / US_PER_MS);
}

Millis PoolGate::EstimatedWait(const ServiceState &service, WorkClass work_class, Millis deadline, Millis now) const
{
	uint64_t ahead = 0;
	for (const auto &[name, other] : this->services) {
		for (const auto &[other_class, waiters] : other.waiting) {
			if (other_class < work_class) {
				ahead += waiters.size();
			} else if (other_class == work_class) {
				ahead += static_cast<uint64_t>(std::ranges::count_if(
						waiters, [&](const Waiter &it) { return it.request.deadline <= deadline; }));
			}
		}
	}
	const uint64_t slots = std::max<uint64_t>(std::min(this->TotalSlots(now), std::max(service.ceiling, 1U)), 1);
	const int64_t typical =
			service.typical_us == 0 ? this->settings.initial_latency.Value() * US_PER_MS : service.typical_us;
	return Millis(static_cast<int64_t>(ahead) * typical / static_cast<int64_t>(slots) / US_PER_MS);
}

uint32_t PoolGate::ReservedFor(const ServiceState &applicant) const
{
	if (applicant.row.work_class == WorkClass::WC_URGENT ||
		this->TypicalLatency(applicant) < this->settings.long_request) {
		return 0;
	}
	uint32_t reserved = 0;
	for (const auto &[name, it] : this->services) {
		if (it.row.work_class != WorkClass::WC_URGENT) {
			continue;
		}
		/* One slot above the recent peak lets an urgent service grow up to its floor. */
		const uint32_t wanted = std::min(it.floor, it.recent_peak + 1);
		reserved += wanted > it.in_flight ? wanted - it.in_flight : 0;
	}
	return reserved;
}

bool PoolGate::MayGrant(const ServiceState &service, uint32_t free) const
{
	if (service.in_flight >= service.ceiling) {
		return false;
	}
	return service.in_flight < service.floor ? free > 0 : free > this->ReservedFor(service);
}

PoolGate::ServiceState *PoolGate::NextService(uint32_t free)
{
	using Rank = std::tuple<bool, WorkClass, uint64_t>;
	ServiceState *best = nullptr;
	Rank best_rank;
	for (auto &[name, it] : this->services) {
		if (it.waiting_count == 0 || !this->MayGrant(it, free)) {
			continue;
		}
		const auto first = std::ranges::find_if(it.waiting, [](const auto &queue) { return !queue.second.empty(); });
		const uint64_t use = uint64_t{it.in_flight} * MILLION / std::max(it.row.weight, 1U);
		const Rank rank{it.in_flight >= it.floor, first->first, use};
		if (best == nullptr || rank < best_rank) {
			best = &it;
			best_rank = rank;
		}
	}
	return best;
}

GateDecision PoolGate::GrantSlot(ServiceState &service, EndpointState &endpoint, Millis now)
{
	endpoint.in_flight++;
	endpoint.peak = std::max(endpoint.peak, endpoint.in_flight);
	service.in_flight++;
	if (service.in_flight >= service.recent_peak || service.peak_since + PEAK_WINDOW < now) {
		service.recent_peak = service.in_flight;
		service.peak_since = now;
	}
	this->counters.granted++;
	GateDecision decision;
	decision.grant = Grant{endpoint.view.box, endpoint.view.address, endpoint.view.epoch};
	return decision;
}

GateDecision PoolGate::Refuse(ResultCode code, const ServiceState *service, Millis now)
{
	GateDecision decision;
	decision.code = code;
	decision.retry_after = MIN_RETRY_AFTER;
	if (code == ResultCode::RC_QUEUE_FULL) {
		this->counters.queue_full++;
	} else if (code == ResultCode::RC_CANNOT_BE_ON_TIME) {
		this->counters.cannot_be_on_time++;
	} else {
		this->counters.no_endpoint++;
	}
	if (service != nullptr) {
		const Millis wait = this->EstimatedWait(*service, WorkClass::WC_BATCH, now + Millis(MS_PER_DAY), now);
		decision.retry_after = std::max(decision.retry_after, wait);
	}
	return decision;
}

std::optional<GateDecision> PoolGate::RequestSlot(SlotRequest request, Millis now, SlotRequestId &id)
{
	const std::scoped_lock guard(this->lock);
	const auto found = this->services.find(request.service);
	if (found == this->services.end() || !this->AnyOpen()) {
		return this->Refuse(ResultCode::RC_NO_ENDPOINT, nullptr, now);
	}
	ServiceState &service = found->second;
	const uint32_t free = this->FreeSlots(now);
	const bool nobody_waits = service.waiting_count == 0 && this->NextService(free) == nullptr;
	if (nobody_waits && this->MayGrant(service, free)) {
		if (EndpointState *endpoint = this->Choose(request.avoid, now); endpoint != nullptr) {
			return this->GrantSlot(service, *endpoint, now);
		}
	}
	if (request.no_queue) {
		return this->Refuse(ResultCode::RC_NO_ENDPOINT, &service, now);
	}
	if (service.waiting_count >= this->settings.queue_limit) {
		return this->Refuse(ResultCode::RC_QUEUE_FULL, &service, now);
	}
	const Millis wait = this->EstimatedWait(service, request.work_class, request.deadline, now);
	if (this->settings.admit_by_deadline && now + wait + this->TypicalLatency(service) > request.deadline) {
		return this->Refuse(ResultCode::RC_CANNOT_BE_ON_TIME, &service, now);
	}
	id = SlotRequestId(++this->last_id);
	this->queued[id] = {request.service, request.work_class};
	auto &queue = service.waiting[request.work_class];
	auto place = queue.end();
	while (this->settings.admit_by_deadline && place != queue.begin() &&
		   std::prev(place)->request.deadline > request.deadline) {
		--place;
	}
	queue.insert(place, Waiter{id, std::move(request)});
	service.waiting_count++;
	return std::nullopt;
}

bool PoolGate::CancelRequest(SlotRequestId id)
{
	const std::scoped_lock guard(this->lock);
	const auto it = this->queued.find(id);
	if (it == this->queued.end()) {
		return false;
	}
	ServiceState &service = this->services[it->second.first];
	service.waiting[it->second.second].remove_if([&](const Waiter &waiter) { return waiter.id == id; });
	service.waiting_count--;
	this->queued.erase(it);
	return true;
}

void PoolGate::RefuseLate(ServiceState &service, Millis now, Decisions &decisions)
{
	const Millis typical = this->TypicalLatency(service);
	for (auto &[work_class, queue] : service.waiting) {
		while (!queue.empty() && now + typical > queue.front().request.deadline) {
			decisions.emplace_back(std::move(queue.front().request.done),
								   this->Refuse(ResultCode::RC_CANNOT_BE_ON_TIME, &service, now));
			this->queued.erase(queue.front().id);
			queue.pop_front();
			service.waiting_count--;
		}
	}
}

void PoolGate::GrantWaiting(Millis now, Decisions &decisions)
{
	if (this->gained_usable_from <= now) {
		for (auto &[box, it] : this->endpoints) {
			it.usable_share = it.view.share;
		}
	}
	if (this->settings.admit_by_deadline) {
		for (auto &[name, service] : this->services) {
			this->RefuseLate(service, now, decisions);
		}
	}
	std::vector<std::pair<ServiceState *, Waiter>> skipped;
	for (uint32_t free = this->FreeSlots(now); free > 0; free = this->FreeSlots(now)) {
		ServiceState *service = this->NextService(free);
		if (service == nullptr) {
			break;
		}
		auto &queue = std::ranges::find_if(service->waiting, [](const auto &it) { return !it.second.empty(); })->second;
		Waiter next = std::move(queue.front());
		queue.pop_front();
		service->waiting_count--;
		EndpointState *endpoint = this->Choose(next.request.avoid, now);
		if (endpoint == nullptr) {
			/* Only endpoints that failed this request have free slots: it stays queued and later requests pass it. */
			skipped.emplace_back(service, std::move(next));
			continue;
		}
		this->queued.erase(next.id);
		decisions.emplace_back(std::move(next.request.done), this->GrantSlot(*service, *endpoint, now));
	}
	for (auto it = skipped.rbegin(); it != skipped.rend(); ++it) {
		auto &[service, waiter] = *it;
		service->waiting[waiter.request.work_class].push_front(std::move(waiter));
		service->waiting_count++;
	}
}

void PoolGate::Release(const BoxName &box, const ServiceName &service, CallOutcome outcome, Millis held, Millis now)
{
	Decisions decisions;
	{
		const std::scoped_lock guard(this->lock);
		ServiceState &owner = this->services[service];
		owner.in_flight -= owner.in_flight > 0 ? 1 : 0;
		if (outcome == CallOutcome::CO_SUCCESS) {
			owner.typical_us = Smooth(owner.typical_us, held.Value() * US_PER_MS);
		}
		if (const auto found = this->endpoints.find(box); found != this->endpoints.end()) {
			EndpointState &it = found->second;
			it.in_flight -= it.in_flight > 0 ? 1 : 0;
			/* A quick error must not lower the latency, which would attract more requests to a failing endpoint. */
			if (outcome == CallOutcome::CO_SUCCESS ||
				(outcome == CallOutcome::CO_SERVER_ERROR && held.Value() * US_PER_MS > it.typical_us)) {
				it.typical_us = Smooth(it.typical_us, held.Value() * US_PER_MS);
			}
			this->UpdateHealth(it, outcome, now);
			if (Removable(it)) {
				this->endpoints.erase(found);
			}
		}
		this->GrantWaiting(now, decisions);
	}
	Deliver(decisions);
}

void PoolGate::UpdateHealth(EndpointState &it, CallOutcome outcome, Millis now)
{
	const bool bad = outcome == CallOutcome::CO_SERVER_ERROR || outcome == CallOutcome::CO_CONNECTION_FAILED;
	if (outcome == CallOutcome::CO_CANCELLED) {
		return;
	}
	if (outcome == CallOutcome::CO_REFUSED) {
		it.refused_until = now + Millis(REFUSAL_BACKOFF.Value() << std::min(it.refusals, MAX_REFUSAL_DOUBLINGS));
		it.refusals++;
		return;
	}
	it.refusals = 0;
	it.error_score = (it.error_score * (SMOOTHING - 1) + (bad ? MAX_ERROR_SCORE : 0)) / SMOOTHING;
	if (!bad) {
		it.failures = 0;
		it.ejections = 0;
		return;
	}
	if (outcome == CallOutcome::CO_CONNECTION_FAILED) {
		it.failures++;
	} else if (it.error_score >= EJECT_ERROR_SCORE) {
		/* Errors may be caused by the requests: they count only while most endpoints of the pool have a low score. */
		const auto healthy = std::ranges::count_if(
				this->endpoints, [](const auto &other) { return other.second.error_score < EJECT_ERROR_SCORE / 2; });
		it.failures += static_cast<size_t>(healthy) * 2 > this->endpoints.size() ? 1 : 0;
	}
	if (it.failures >= this->settings.eject_after) {
		this->Eject(it, now);
	}
}

void PoolGate::Eject(EndpointState &it, Millis now)
{
	if (!this->settings.eject) {
		return;
	}
	uint64_t open = 0;
	uint64_t ejected = 0;
	for (const auto &[box, other] : this->endpoints) {
		open += other.view.open ? 1 : 0;
		ejected += other.view.open && other.ejected_until > now ? 1 : 0;
	}
	/* The ejected percentage is limited, so that simultaneous failures of many endpoints do not empty the pool. */
	if (it.ejected_until > now || (ejected + 1) * 100 > open * this->settings.eject_cap_percent) {
		return;
	}
	const int64_t factor = int64_t{1} << std::min(it.ejections, 10U);
	it.ejected_until = now + std::min(Millis(this->settings.eject_base.Value() * factor), this->settings.eject_max);
	it.ejections++;
	this->counters.ejections++;
}

void PoolGate::Tick(Millis now)
{
	Decisions decisions;
	{
		const std::scoped_lock guard(this->lock);
		this->GrantWaiting(now, decisions);
	}
	Deliver(decisions);
}

void PoolGate::Deliver(Decisions &decisions)
{
	for (auto &[done, decision] : decisions) {
		done(decision);
	}
}

std::vector<GateEndpoint> PoolGate::Drained() const
{
	const std::scoped_lock guard(this->lock);
	std::vector<GateEndpoint> drained;
	for (const auto &[box, it] : this->endpoints) {
		if (!it.view.open && it.view.permit != PermitId() && it.listed && it.in_flight == 0) {
			drained.push_back(it.view);
		}
	}
	return drained;
}

std::vector<EndpointStatus> PoolGate::Endpoints(Millis now) const
{
	const std::scoped_lock guard(this->lock);
	std::vector<EndpointStatus> views;
	views.reserve(this->endpoints.size());
	for (const auto &[box, it] : this->endpoints) {
		views.push_back(EndpointStatus{it.view, it.in_flight, it.lent, it.borrowed, Millis(it.typical_us / US_PER_MS),
									   it.ejected_until > now});
	}
	return views;
}

GateCounters PoolGate::Counters() const
{
	const std::scoped_lock guard(this->lock);
	return this->counters;
}

size_t PoolGate::Waiting() const
{
	const std::scoped_lock guard(this->lock);
	return this->queued.size();
}
