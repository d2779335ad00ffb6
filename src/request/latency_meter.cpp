/** @file latency_meter.cpp Statistics of durations. */
#include "latency_meter.h"

#include <array>

namespace {

constexpr std::array<double, 2> _quantiles = {0.5, 0.99}; ///< Quantiles that a meter estimates.

} // namespace

LatencyMeter::LatencyMeter() : set(boost::accumulators::extended_p_square_probabilities = _quantiles) {}

void LatencyMeter::Add(double ms)
{
	const std::scoped_lock guard(this->lock);
	this->set(ms);
}

LatencyMeter::Summary LatencyMeter::Read() const
{
	namespace acc = boost::accumulators;
	const std::scoped_lock guard(this->lock);
	Summary summary;
	summary.count = acc::count(this->set);
	if (summary.count == 0) {
		return summary;
	}
	summary.mean = acc::mean(this->set);
	summary.max = acc::max(this->set);
	summary.p50 = acc::quantile(this->set, acc::quantile_probability = _quantiles[0]);
	summary.p99 = acc::quantile(this->set, acc::quantile_probability = _quantiles[1]);
	return summary;
}
