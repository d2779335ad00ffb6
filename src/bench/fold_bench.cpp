/** @file fold_bench.cpp Time to fold a log, to hash the whole state, and to pack and unpack a snapshot. */
#include "bench_output.h"
#include "synthetic_log.h"

#include "../fleet/snapshot_func.h"

#include <chrono>

namespace {

double MillisecondsSince(std::chrono::steady_clock::time_point begin)
{
	return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
}

} // namespace

int RunFoldBench(const BenchOptions &options)
{
	const FleetPreset preset = PresetByName(options.preset);
	const SyntheticSize size = SyntheticSizeOf(preset);
	const std::vector<LogRecord> log = SyntheticLog(size, options.quick ? 2000 : 20000, options.seed);
	FleetState fleet;
	const auto begin = std::chrono::steady_clock::now();
	uint64_t proposals = 0;
	uint64_t refused = 0;
	for (const LogRecord &record : log) {
		for (const Decision &it : ApplyRecord(fleet, record)) {
			proposals++;
			refused += it.result.Ok() ? 0 : 1;
		}
	}
	const double fold_ms = MillisecondsSince(begin);
	const auto hash_begin = std::chrono::steady_clock::now();
	const bool hash_matches = fleet.RecomputeHash() == fleet.Hash();
	const double hash_ms = MillisecondsSince(hash_begin);
	const auto pack_begin = std::chrono::steady_clock::now();
	const std::string bytes = PackSnapshot(fleet);
	const double pack_ms = MillisecondsSince(pack_begin);
	const auto unpack_begin = std::chrono::steady_clock::now();
	const bool unpacked = UnpackSnapshot(bytes, fleet.Hash()).has_value();
	const double unpack_ms = MillisecondsSince(unpack_begin);
	const auto print = [&](const char *figure, double value, const char *unit) {
		PrintFigure({"fold", preset.name, figure, value, unit, "", 0, options.seed});
	};
	print("records_a_second", static_cast<double>(log.size()) * MS_PER_SECOND / fold_ms, "1/s");
	print("proposals_a_second", static_cast<double>(proposals) * MS_PER_SECOND / fold_ms, "1/s");
	print("proposals_refused", static_cast<double>(refused), "proposals");
	PrintFigure({"fold", preset.name, "hash_whole_state", hash_ms, "ms", "one_record",
				 hash_ms / (fold_ms / static_cast<double>(log.size())), options.seed});
	print("snapshot_bytes", static_cast<double>(bytes.size()), "B");
	print("snapshot_pack", pack_ms, "ms");
	print("join_from_snapshot", unpack_ms, "ms");
	return hash_matches && unpacked ? 0 : 1;
}
