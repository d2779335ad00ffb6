/** @file request_path.cpp State shared by all requests of an entry. */
#include "request_path.h"

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
