/** @file demand_forecast.cpp Learns in which order the demand of pools rises. */
#include "demand_forecast.h"

#include "../generated/forecast_generated.h"
#include "../store/record_codec.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace wire = glade::forecast;

namespace {

constexpr const char *FORECAST_KEY = "forecast"; ///< Key of the record.
constexpr Millis GONE_AFTER(10000);              ///< A pool without a report for this time gets no share.
constexpr int64_t RISE_FACTOR = 2;               ///< A demand above this multiple of the lowest one is a rise.
constexpr double OVER_SHARE = 0.5;               ///< Share of its level below which a small peak may be over.
constexpr double VARIATION_FACTOR = 4.0; ///< Random variation in square roots of boxes, as PoolLimits::safety_factor.
constexpr double COUNT_DECAY = 0.5;      ///< Factor of the counts of earlier rises at each later one.
constexpr double LOWEST_COUNT = 0.5;     ///< Lower counts are dropped: the order has changed since.
constexpr double CANDIDATE_COUNT = 0.5;  ///< Weight of the even split, as a number of rises seen.
constexpr double TOP_GROWTH = 1.1;       ///< Smaller growth of the highest use counts as random variation.

} // namespace

double RandomVariationOf(double cpu, double box_cpu, double factor)
{
	return factor * std::sqrt(cpu / box_cpu) * box_cpu;
}

bool DemandForecast::IsForecastKey(const std::string &key)
{
	return key == FORECAST_KEY;
}

bool DemandForecast::Restore(const std::string &value)
{
	const auto in = UnpackRecord<wire::ForecastRecord>(value);
	if (!in || std::ranges::any_of(in->pools, [](const auto &it) { return it->next.size() != it->counts.size(); })) {
		return false;
	}
	if (in->version <= this->version) {
		return true;
	}
	this->version = this->recorded = in->version;
	this->turn = in->turn;
	this->rows.clear();
	for (const auto &it : in->pools) {
		Row &row = this->rows[ServiceName(it->pool)];
		row.rise_turn = it->rise_turn;
		row.over_turn = it->over_turn;
		row.peak = it->peak;
		row.in_peak = it->in_peak;
		for (size_t n = 0; n < it->next.size(); n++) {
			row.next[ServiceName(it->next[n])] = it->counts[n];
		}
	}
	return true;
}

std::optional<KeyedRecord> DemandForecast::TakeRecord()
{
	if (std::exchange(this->recorded, this->version) == this->version) {
		return std::nullopt;
	}
	wire::ForecastRecordT out;
	out.format = RECORD_FORMAT;
	out.version = this->version;
	out.turn = this->turn;
	for (const auto &[pool, row] : this->rows) {
		auto it = std::make_unique<wire::PoolForecastT>();
		it->pool = pool.Value();
		it->rise_turn = row.rise_turn;
		it->over_turn = row.over_turn;
		it->peak = row.peak;
		it->in_peak = row.in_peak;
		for (const auto &[next, count] : row.next) {
			it->next.push_back(next.Value());
			it->counts.push_back(count);
		}
		out.pools.push_back(std::move(it));
	}
	return KeyedRecord{FORECAST_KEY, PackRecord<wire::ForecastRecord>(out)};
}

bool DemandForecast::IsPresent(const Row &row, Millis now)
{
	return row.seen && now - *row.seen <= GONE_AFTER;
}

bool DemandForecast::IsRise(const Row &row, const PoolDemand &demand)
{
	return demand.used + demand.waiting > std::max(demand.minimum, RISE_FACTOR * row.lowest);
}

DemandForecast::Row *DemandForecast::LastRisen()
{
	const auto it = std::ranges::find(this->rows | std::views::values, this->turn, &Row::rise_turn);
	return this->turn == 0 || it == std::ranges::end(this->rows | std::views::values) ? nullptr : &*it;
}

void DemandForecast::BeginRise(const ServiceName &pool, Row &row, Millis now)
{
	/* Rises that are seen first at the same decision have no order. */
	const bool same_turn = this->turn > 0 && this->turn_began == now;
	if (Row *last = this->LastRisen(); last != nullptr && !same_turn) {
		std::ranges::for_each(last->next | std::views::values, [](double &it) { it *= COUNT_DECAY; });
		std::erase_if(last->next, [](const auto &it) { return it.second < LOWEST_COUNT; });
		last->next[pool] += 1;
	}
	this->turn += same_turn ? 0 : 1;
	this->turn_began = now;
	this->version++;
	row.rise_turn = this->turn;
	row.in_peak = true;
	row.last = Peak::BeginAt(now);
}

void DemandForecast::Follow(Peak &peak, const PoolDemand &demand, Millis now)
{
	const auto all = static_cast<double>(demand.used + demand.waiting);
	const double level = std::max(peak.level, static_cast<double>(demand.minimum));
	const double variation = std::min(RandomVariationOf(level, demand.box_cpu, VARIATION_FACTOR), level * OVER_SHARE);
	peak.waiting = demand.waiting > 0;
	if (static_cast<double>(demand.used) > TOP_GROWTH * static_cast<double>(peak.top)) {
		peak.top = demand.used;
		peak.top_at = now;
	}
	if (all >= level - variation / 2) {
		peak.high_at = now;
	}
	if (all < level - variation) {
		peak.below_since = peak.below_since.value_or(now);
		return; /* The level is that of the peak, not of its end. */
	}
	peak.below_since.reset();
	peak.decisions++;
	peak.level += (static_cast<double>(demand.used) - peak.level) / static_cast<double>(peak.decisions);
}

void DemandForecast::UpdatePeak(Row &row, const PoolDemand &demand, Millis now)
{
	Peak &peak = *row.last;
	Follow(peak, demand, now);
	/* A fall counts once the demand has stayed low for as long as it took to fall: long tasks, which end slowly, need a
	 * longer time than short ones to show that no new ones come. */
	const bool over =
			peak.below_since && now > *peak.below_since && now - *peak.below_since >= *peak.below_since - peak.high_at;
	/* After a longer dip the peak goes on. */
	const bool resumed = !row.in_peak && peak.high_at == now;
	if (row.in_peak ? over : resumed) {
		row.in_peak = resumed;
		row.over_turn = this->turn;
		/* An owner that has seen only the end of a peak doesn't know how high it was. */
		row.peak = peak.decisions > 0 ? peak.top : row.peak;
		row.lowest = demand.used + demand.waiting;
		this->version++;
	}
}

void DemandForecast::Observe(const ServiceName &pool, const PoolDemand &demand, Millis now)
{
	Row &row = this->rows[pool];
	if (row.in_peak && !row.last) {
		/* A peak that began under an earlier owner. */
		row.last = Peak::BeginAt(now);
	} else if (!row.in_peak && IsRise(row, demand)) {
		this->BeginRise(pool, row, now);
	}
	row.lowest = row.seen ? std::min(row.lowest, demand.used + demand.waiting) : demand.used + demand.waiting;
	row.seen = now;
	if (row.last) {
		this->UpdatePeak(row, demand, now);
	}
}

std::vector<ServiceName> DemandForecast::Candidates(Millis now) const
{
	std::vector<std::pair<uint64_t, ServiceName>> out;
	for (const auto &[pool, row] : this->rows) {
		const bool passed = row.rise_turn == this->turn || row.over_turn == this->turn;
		if (IsPresent(row, now) && !row.in_peak && !passed) {
			out.emplace_back(row.rise_turn, pool);
		}
	}
	std::ranges::sort(out);
	/* Pools that haven't risen yet, or else those whose last rise is longest ago. */
	const auto risen = std::ranges::find_if(out, [](const auto &it) { return it.first > 0; });
	const auto half = static_cast<std::ptrdiff_t>((out.size() + 1) / 2);
	out.erase(risen == out.begin() ? out.begin() + half : risen, out.end());
	std::vector<ServiceName> pools;
	std::ranges::copy(out | std::views::values, std::back_inserter(pools));
	return pools;
}

std::map<ServiceName, double> DemandForecast::Shares(Millis now) const
{
	std::map<ServiceName, double> out;
	if (this->turn == 0) {
		return out;
	}
	for (const Row &row : this->rows | std::views::values) {
		if (row.rise_turn != this->turn) {
			continue;
		}
		for (const auto &[pool, count] : row.next) {
			const auto next = this->rows.find(pool);
			if (next != this->rows.end() && IsPresent(next->second, now) && !next->second.in_peak) {
				out[pool] += count;
			}
		}
	}
	const std::vector<ServiceName> candidates = this->Candidates(now);
	for (const ServiceName &pool : candidates) {
		out[pool] += CANDIDATE_COUNT / static_cast<double>(candidates.size());
	}
	double sum = 0;
	std::ranges::for_each(out | std::views::values, [&sum](double it) { sum += it; });
	std::ranges::for_each(out | std::views::values, [sum](double &it) { it /= sum; });
	return out;
}

bool DemandForecast::PeakIsOver(const ServiceName &pool) const
{
	const auto it = this->rows.find(pool);
	return it != this->rows.end() && it->second.rise_turn > 0 && !it->second.in_peak;
}

bool DemandForecast::Settled(Millis now) const
{
	return std::ranges::none_of(this->rows | std::views::values, [&](const Row &row) {
		return row.in_peak && row.last && IsPresent(row, now) &&
			   (row.last->waiting || now - row.last->top_at <= row.last->top_at - row.last->began);
	});
}

int64_t DemandForecast::ExpectedPeak(const ServiceName &pool) const
{
	const auto it = this->rows.find(pool);
	if (it != this->rows.end() && it->second.peak > 0) {
		return it->second.peak;
	}
	int64_t highest = 0;
	for (const Row &row : this->rows | std::views::values) {
		highest = std::max({highest, row.peak, row.last ? row.last->top : 0});
	}
	return highest;
}
