/** @file latency_meter.h Statistics of durations: mean, quantiles and maximum. */
#ifndef LATENCY_METER_H
#define LATENCY_METER_H

#include <sstream> // Boost.Accumulators' quantiles use it without including it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <mutex>

/** Statistics of durations. Thread safe. */
class LatencyMeter {
public:
	LatencyMeter();

	/** @param ms Duration, ms. */
	void Add(double ms);

	/** Summary of the durations. */
	struct Summary {
		uint64_t count = 0; ///< Number of durations.
		double mean = 0;    ///< Mean, ms.
		double p50 = 0;     ///< Median, ms.
		double p99 = 0;     ///< 99th percentile, ms.
		double max = 0;     ///< Maximum, ms.
	};

	/** @return Summary since the start. */
	[[nodiscard]] Summary Read() const;

private:
	using Tags = boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
											boost::accumulators::tag::max,
											boost::accumulators::tag::extended_p_square_quantile>;

	mutable std::mutex lock;                                ///< Guards the accumulator.
	boost::accumulators::accumulator_set<double, Tags> set; ///< Accumulator of the durations in ms.
};

#endif /* LATENCY_METER_H */
