/** @file config_bench.cpp Delay until all entries apply a publication, with and without faults, on a virtual clock. */
#include "bench_output.h"
#include "simulated_fleet.h"

#include "../standin/memory/fleet_site.h"

#include <algorithm>

namespace {

constexpr Millis LOG_DELAY(20);              ///< Delay of the answer to an append or read without faults.
constexpr Millis PUBLICATION_INTERVAL(1000); ///< Time from the end of one publication to the start of the next.
constexpr Millis IN_FORCE_TIMEOUT(120000);   ///< A publication that takes longer counts as never in force.
constexpr size_t DISTINCT_VALUES = 7;        ///< Number of values that the published cell cycles through.

/** Injected fault. */
enum class ConfigFault : uint8_t {
	CF_NONE,         ///< No fault.
	CF_LOG_SLOW,     ///< Every call to the log takes 500 ms.
	CF_ZONE_CUT,     ///< A zone has no connection to the log during every other publication.
	CF_ANSWERS_LOST, ///< Each keeper loses the answer to one append per publication.
};

/** Result of a run. */
struct ConfigResult {
	std::vector<double> in_force_ms; ///< Delay until the last connected entry applies a publication, ms.
	double appends = 0;              ///< Appends per second by all keepers.
	double bytes = 0;                ///< Bytes per second appended by all keepers.
	size_t never_in_force = 0;       ///< Publications refused, undecided or not in force within IN_FORCE_TIMEOUT.
	size_t violations = 0;           ///< Violated invariants.
};

/** @return Quantile at `share`, without interpolation; 0 without values. */
double QuantileOf(std::vector<double> values, double share)
{
	if (values.empty()) {
		return 0;
	}
	std::ranges::sort(values);
	return values[std::min(static_cast<size_t>(share * static_cast<double>(values.size())), values.size() - 1)];
}

/**
 * Publishes a cell again and again on a simulated site and waits until it is in force.
 * @param fault Fault to inject.
 * @param publications Number of publications.
 * @param boxes Boxes of the site.
 * @return Delays, load on the log, and failures.
 */
ConfigResult RunWithFault(ConfigFault fault, size_t publications, uint32_t boxes)
{
	FleetSite site(boxes);
	for (const auto &it : site.keepers) {
		it->log.faults.delay = LOG_DELAY;
	}
	site.SetUp();
	const Millis begin = site.clock.Now();
	const uint64_t appends = site.store.RecordsAppended();
	const uint64_t bytes = site.store.BytesAppended();
	ConfigResult result;
	for (size_t i = 0; i < publications; i++) {
		for (const auto &it : site.keepers) {
			it->log.faults.delay = fault == ConfigFault::CF_LOG_SLOW ? Millis(500) : LOG_DELAY;
			it->log.faults.down = fault == ConfigFault::CF_ZONE_CUT && it->zone == "zone-b" && i % 2 == 0;
			it->log.faults.lose_answers = fault == ConfigFault::CF_ANSWERS_LOST ? 1 : 0;
		}
		KeeperNode &keeper = site.AnyKeeper();
		const Millis published_at = site.clock.Now();
		const auto outcome =
				keeper.Publish({{CellKey{ServiceName("misting"), "weight"}, std::to_string(1 + i % DISTINCT_VALUES)}},
							   keeper.core.State().table_version.Value());
		const bool decided = site.RunUntil([&] { return outcome->code == 0; }, IN_FORCE_TIMEOUT);
		const LogOffset offset(outcome->offset);
		const bool in_force = decided && site.RunUntil(
												 [&] {
													 return std::ranges::all_of(site.entries, [&](const auto &it) {
														 const bool cut = fault == ConfigFault::CF_ZONE_CUT &&
																		  i % 2 == 0 && it->zone == "zone-b";
														 return cut || it->routes.Offset() >= offset;
													 });
												 },
												 IN_FORCE_TIMEOUT);
		if (in_force) {
			result.in_force_ms.push_back(static_cast<double>((site.clock.Now() - published_at).Value()));
		} else {
			result.never_in_force++;
		}
		site.Run(PUBLICATION_INTERVAL);
	}
	const double seconds = static_cast<double>((site.clock.Now() - begin).Value()) / MS_PER_SECOND;
	result.appends = static_cast<double>(site.store.RecordsAppended() - appends) / seconds;
	result.bytes = static_cast<double>(site.store.BytesAppended() - bytes) / seconds;
	result.violations = site.violations.size();
	return result;
}

} // namespace

int RunConfigBench(const BenchOptions &options)
{
	const FleetPreset preset = PresetByName(options.preset);
	const size_t publications = options.quick ? 10 : 200;
	int failed = 0;
	struct Case {
		ConfigFault fault; ///< Injected fault.
		const char *name;  ///< Name in the output.
	};
	static constexpr Case _cases[] = {{ConfigFault::CF_NONE, "good_day"},
									  {ConfigFault::CF_LOG_SLOW, "log_slow_500ms"},
									  {ConfigFault::CF_ZONE_CUT, "zone_cut"},
									  {ConfigFault::CF_ANSWERS_LOST, "answers_lost"}};
	for (const Case &it : _cases) {
		const ConfigResult result = RunWithFault(it.fault, publications, std::min(preset.boxes, 90U));
		const auto print = [&](const char *figure, double value, const char *unit) {
			PrintFigure({"config", it.name, figure, value, unit, "", 0, options.seed});
		};
		print("in_force_p50", QuantileOf(result.in_force_ms, 0.5), "ms");
		print("in_force_p99", QuantileOf(result.in_force_ms, 0.99), "ms");
		print("in_force_max", QuantileOf(result.in_force_ms, 1.0), "ms");
		print("never_in_force", static_cast<double>(result.never_in_force), "publications");
		print("appends", result.appends, "1/s");
		print("append_bytes", result.bytes, "B/s");
		failed += static_cast<int>(result.violations);
	}
	return failed;
}
