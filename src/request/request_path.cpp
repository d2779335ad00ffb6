/** @file request_path.cpp State shared by all requests of an entry. */
#include "request_path.h"

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

RequestPath::RequestPath(EntryIdentity self, GateSettings gates, LeaseTimes times, KeyLimits keys,
						 RequestSettings settings, const CredentialStore &credentials)
		: self(self), settings(settings), routes(std::move(self), gates, times), keys(keys), credentials(credentials)
{
}

void RequestPath::RecordLatency(const ServiceName &service, double ms)
{
	LatencyMeter *meter = nullptr;
	{
		const std::scoped_lock guard(this->lock);
		auto &slot = this->latencies[service];
		if (!slot) {
			slot = std::make_unique<LatencyMeter>();
		}
		meter = slot.get();
	}
	meter->Add(ms);
}

std::map<ServiceName, LatencyMeter::Summary> RequestPath::Latencies() const
{
	const std::scoped_lock guard(this->lock);
	std::map<ServiceName, LatencyMeter::Summary> all;
	for (const auto &[service, meter] : this->latencies) {
		all[service] = meter->Read();
	}
	return all;
}
