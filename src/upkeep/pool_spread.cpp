/** @file pool_spread.cpp Moves of idle boxes to the pools whose demand is expected to rise next. */
#include "pool_balancer.h"

#include <algorithm>
#include <cmath>
#include <ranges>

void PoolBalancer::ObserveDemand(const PoolStatus &status, Balance &balance, const FleetView &view, Millis now)
{
	/* The owner of a pool that has just taken over may not know its boxes yet. */
	if (status.boxes.empty()) {
		return;
	}
	const DemandTrend &trend = this->demand.at(balance.pool);
	const int64_t minimum = this->FloorOf(view);
	PoolDemand load{0, status.waiting_cpu + status.late_cpu, minimum, MeanBoxCpu(view)};
	std::ranges::for_each(status.boxes, [&load](const PoolBox &it) { load.used += it.used_cpu; });
	this->forecast.Observe(balance.pool, load, now);
	balance.demand_covered = load.waiting == 0 && (trend.growth <= 0 || balance.want <= minimum);
}

void PoolBalancer::ApplyForecast(std::vector<Balance> &all, const FleetView &view, Millis now)
{
	const double box_cpu = MeanBoxCpu(view);
	const bool any_over =
			std::ranges::any_of(all, [this](const Balance &it) { return this->forecast.PeakIsOver(it.pool); });
	const std::map<ServiceName, double> shares =
			any_over ? this->forecast.Shares(now) : std::map<ServiceName, double>();
	for (Balance &it : all) {
		const auto share = shares.find(it.pool);
		it.share = share == shares.end() ? 0 : share->second;
		const int64_t peak = this->forecast.ExpectedPeak(it.pool);
		const double safety = RandomVariationOf(static_cast<double>(peak), box_cpu, this->limits.safety_factor);
		it.forecast_max = it.share > 0 ? peak + static_cast<int64_t>(safety) : 0;
	}
	const bool wanted = std::ranges::any_of(all, [](const Balance &it) { return it.have < it.forecast_max; });
	for (Balance &it : all) {
		const auto short_in = this->short_in_turn.find(it.pool);
		const bool was_short = short_in != this->short_in_turn.end() && short_in->second == this->forecast.Turn();
		it.gives_idle = wanted && it.share <= 0 && !was_short && this->forecast.PeakIsOver(it.pool);
	}
}

bool PoolBalancer::CanSpread(const Balance &donor) const
{
	return donor.gives_idle && donor.demand_covered && !donor.empty.empty() &&
		   donor.have - donor.empty.back()->cpu >= donor.want + donor.late;
}

PoolBalancer::Balance *PoolBalancer::SpreadTarget(std::vector<Balance> &all, const Balance &donor, double idle)
{
	const int64_t cpu = donor.empty.back()->cpu;
	Balance *best = nullptr;
	double most = 0;
	for (Balance &it : all) {
		const bool open = it.have + cpu <= it.forecast_max && !this->incompatible_pools.contains({donor.pool, it.pool});
		const double missing = it.share * idle - static_cast<double>(it.have - it.want);
		if (open && (best == nullptr || missing > most)) {
			best = &it;
			most = missing;
		}
	}
	return best;
}

void PoolBalancer::SpreadIdle(std::vector<Balance> &all, Millis now)
{
	if (!this->forecast.Settled(now)) {
		return;
	}
	double idle = 0; /* What the shares refer to: what is idle in the pools that give and in those that get. */
	size_t boxes = 0;
	for (const Balance &it : all) {
		const bool gives = this->CanSpread(it);
		idle += gives || it.share > 0 ? static_cast<double>(std::max<int64_t>(it.have - it.want, 0)) : 0;
		boxes += gives ? it.empty.size() : 0;
	}
	auto left = static_cast<size_t>(std::ceil(static_cast<double>(boxes) * this->limits.spread_share));
	for (Balance &donor : all) {
		while (left > 0 && this->CanSpread(donor)) {
			Balance *target = this->SpreadTarget(all, donor, idle);
			if (target == nullptr) {
				break;
			}
			const PoolBox &box = *donor.empty.back();
			donor.empty.pop_back();
			donor.have -= box.cpu;
			target->have += box.cpu;
			this->BeginMove(box.box, target->pool, now);
			left--;
		}
	}
}
