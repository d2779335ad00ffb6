/** @file capacity_bench.cpp Measures how state, messages and time grow with the fleet, for docs/CAPACITY.md. */
#include "bench_output.h"
#include "capacity_page.h"
#include "synthetic_log.h"

#include "../fleet/snapshot_func.h"
#include "../keeper/view_func.h"
#include "../planner/planner_func.h"

#include <chrono>
#include <cmath>
#include <functional>
#include <malloc.h>

namespace {

constexpr size_t SYNTHETIC_RECORDS = 400; ///< Records of a synthetic log after its initial records.

/** State folded from a synthetic log, with its memory and time. */
struct FoldResult {
	FleetState fleet;         ///< Resulting state.
	double heap_bytes = 0;    ///< Heap memory of the state.
	double us_per_record = 0; ///< Mean time to fold a record, microseconds.
};

FoldResult FoldSyntheticLog(const SyntheticSize &size)
{
	const std::vector<LogRecord> log = SyntheticLog(size, SYNTHETIC_RECORDS, 1);
	FoldResult result;
	const auto heap_before = static_cast<double>(mallinfo2().uordblks);
	const auto begin = std::chrono::steady_clock::now();
	for (const LogRecord &record : log) {
		ApplyRecord(result.fleet, record);
	}
	const auto took = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
	result.us_per_record = took / static_cast<double>(log.size());
	result.heap_bytes = static_cast<double>(mallinfo2().uordblks) - heap_before;
	return result;
}

/** @return Bytes of a frame that carries a message, with its length prefix. */
template <class T>
double FrameBytes(T body)
{
	glade::wire::MessageUnion message;
	message.Set(std::move(body));
	flatbuffers::FlatBufferBuilder builder;
	const auto packed = message.Pack(builder);
	builder.Finish(glade::wire::CreateFrame(builder, message.type, packed));
	return builder.GetSize() + 4.0;
}

/** Fits a line by least squares; `counts` and `values` are the coordinates of the points. */
LinearFit FitLine(const std::string &name, const std::string &unit, const std::string &count_name,
				  const std::vector<double> &counts, const std::vector<double> &values)
{
	const auto n = static_cast<double>(counts.size());
	double sum_x = 0;
	double sum_y = 0;
	double sum_xx = 0;
	double sum_xy = 0;
	for (size_t i = 0; i < counts.size(); i++) {
		sum_x += counts[i];
		sum_y += values[i];
		sum_xx += counts[i] * counts[i];
		sum_xy += counts[i] * values[i];
	}
	LinearFit fit;
	fit.name = name;
	fit.unit = unit;
	fit.count = count_name;
	fit.per_count = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
	fit.base = (sum_y - fit.per_count * sum_x) / n;
	for (size_t i = 0; i < counts.size(); i++) {
		const double fitted = fit.base + fit.per_count * counts[i];
		fit.residual = std::max(fit.residual, std::abs(fitted - values[i]) / std::max(values[i], 1.0));
	}
	fit.points = counts.size();
	return fit;
}

/** Measures a quantity with one count set to each of `sizes` and fits a line. */
LinearFit Measure(const std::string &name, const std::string &unit, const std::string &count_name,
				  const std::vector<uint32_t> &sizes, const std::function<double(uint32_t)> &value)
{
	std::vector<double> counts;
	std::vector<double> values;
	for (const uint32_t it : sizes) {
		counts.push_back(it);
		values.push_back(value(it));
	}
	return FitLine(name, unit, count_name, counts, values);
}

/** @return Size that the measurements start from; each sets the counts that it varies. */
SyntheticSize SmallSize()
{
	SyntheticSize size;
	size.jobs = 50;
	return size;
}

/** Measures how the memory of a keeper's state grows with each count. */
void MeasureState(std::vector<LinearFit> &fits)
{
	const auto heap = [](const SyntheticSize &size) { return FoldSyntheticLog(size).heap_bytes; };
	fits.push_back(Measure("state", "B", "boxes", {100, 300, 600, 1200}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		size.boxes = n;
		return heap(size);
	}));
	fits.push_back(Measure("state", "B", "pools", {5, 10, 20, 43}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		size.boxes = 100;
		size.pools = n;
		return heap(size);
	}));
	fits.push_back(Measure("state", "B", "teams", {50, 150, 300, 610}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		size.teams = n;
		return heap(size);
	}));
	fits.push_back(Measure("state", "B", "entries", {8, 16, 32, 64}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		size.entries = n;
		return heap(size);
	}));
	fits.push_back(Measure("state", "B", "jobs", {250, 500, 1000, 1500}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		const std::vector<LogRecord> log = SyntheticLog(size, n / 3, 1);
		FleetState fleet;
		const auto before = static_cast<double>(mallinfo2().uordblks);
		for (const LogRecord &record : log) {
			ApplyRecord(fleet, record);
		}
		/* Cancelled jobs stay in the state for a day and count too; the memory is scaled from their number to n. */
		return (static_cast<double>(mallinfo2().uordblks) - before) * n /
			   static_cast<double>(std::max<size_t>(fleet.jobs.size(), 1));
	}));
}

/** Measures how the time of folding, planning and building views grows with the boxes. */
void MeasureTime(std::vector<LinearFit> &fits)
{
	fits.push_back(Measure("fold a record", "us", "boxes", {100, 300, 600, 1200}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		size.boxes = n;
		return FoldSyntheticLog(size).us_per_record;
	}));
	fits.push_back(Measure("planning step", "us", "boxes", {100, 300, 600, 1200}, [&](uint32_t n) {
		FleetPreset preset = PresetByName("letter1");
		preset.boxes = n;
		preset.pools = std::max(n * 43 / 1200, 2U);
		SimulatedFleet simulated_fleet(preset, 1);
		SyntheticSize size = SmallSize();
		size.boxes = n;
		size.pools = preset.pools;
		const FleetState fleet = FoldSyntheticLog(size).fleet;
		PlannerInputs inputs;
		for (const auto &[name, box] : fleet.boxes) {
			inputs.list.push_back(
					ListedBox{name, box.zone, box.rack, box.address, box.slots, box.health, PermitId(), true});
		}
		constexpr int REPETITIONS = 5;
		const auto begin = std::chrono::steady_clock::now();
		for (int i = 0; i < REPETITIONS; i++) {
			PlanBoxes(fleet, inputs, GreenhousePolicy());
			PlanJobs(fleet, GreenhousePolicy(), 200);
		}
		return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() /
			   REPETITIONS;
	}));
	fits.push_back(Measure("build a view", "us", "boxes", {100, 300, 600, 1200}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		size.boxes = n;
		size.zones = 10;
		const FleetState fleet = FoldSyntheticLog(size).fleet;
		constexpr int REPETITIONS = 20;
		const auto begin = std::chrono::steady_clock::now();
		for (int i = 0; i < REPETITIONS; i++) {
			BuildView(fleet, ZoneName("zone-0"), {});
		}
		return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() /
			   REPETITIONS;
	}));
}

/** Measures how messages, records and snapshots grow with their contents. */
void MeasureMessages(std::vector<LinearFit> &fits)
{
	fits.push_back(Measure("whole view", "B", "boxes of the zone", {12, 30, 60, 120}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		size.boxes = n;
		size.zones = 1;
		return FrameBytes(BuildView(FoldSyntheticLog(size).fleet, ZoneName("zone-0"), {}));
	}));
	fits.push_back(Measure("whole view", "B", "pools", {5, 10, 20, 43}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		size.pools = n;
		return FrameBytes(BuildView(FoldSyntheticLog(size).fleet, ZoneName("zone-0"), {}));
	}));
	fits.push_back(Measure("snapshot", "B", "boxes", {100, 300, 600, 1200}, [&](uint32_t n) {
		SyntheticSize size = SmallSize();
		size.boxes = n;
		return static_cast<double>(PackSnapshot(FoldSyntheticLog(size).fleet).size());
	}));
	fits.push_back(Measure("publication of cells", "B", "cells", {1, 4, 16, 64}, [&](uint32_t n) {
		BatchT batch;
		batch.writer = "keeper-zone-a-1";
		batch.region = "region-1";
		glade::wire::TablePublishT table;
		for (uint32_t i = 0; i < n; i++) {
			auto cell = std::make_unique<glade::wire::TableCellT>();
			cell->service = ServiceNameOf(i);
			cell->column = "floor";
			cell->value = "120";
			table.cells.push_back(std::move(cell));
		}
		batch.proposals.push_back(MakeProposal(std::move(table)));
		return static_cast<double>(EncodeBatch(batch).size());
	}));
	fits.push_back(Measure("record of box steps", "B", "steps", {1, 4, 16, 64}, [&](uint32_t n) {
		BatchT batch;
		batch.writer = "keeper-zone-a-1";
		batch.region = "region-1";
		for (uint32_t i = 0; i < n; i++) {
			glade::wire::BoxStepT step;
			step.box = "box-0001";
			step.permit = 1;
			batch.proposals.push_back(MakeProposal(std::move(step)));
		}
		return static_cast<double>(EncodeBatch(batch).size());
	}));
	fits.push_back(Measure("keeper beat", "B", "entries of the zone", {1, 3, 6, 9}, [&](uint32_t n) {
		glade::wire::KeeperBeatT beat;
		beat.member = "keeper-zone-a-1";
		for (uint32_t i = 0; i < n; i++) {
			beat.heard.push_back("entry-zone-a-1");
		}
		return FrameBytes(std::move(beat));
	}));
	fits.push_back(Measure("hello of an entry", "B", "boxes draining", {0, 2, 4, 8}, [&](uint32_t n) {
		glade::wire::EntryHelloT hello;
		hello.member = "entry-zone-a-1";
		hello.zone = "zone-a";
		hello.region = "region-1";
		hello.address = "10.1.0.1:8001";
		hello.frames = "10.1.0.1:8002";
		for (uint32_t i = 0; i < n; i++) {
			hello.drained_boxes.push_back("box-0001");
			hello.drained_permits.push_back(1);
		}
		return FrameBytes(std::move(hello));
	}));
}

} // namespace

int RunCapacityBench(const BenchOptions &options)
{
	std::vector<LinearFit> fits;
	MeasureState(fits);
	MeasureTime(fits);
	MeasureMessages(fits);
	for (const LinearFit &it : fits) {
		PrintFigure({"capacity", it.count, it.name + ".base", it.base, it.unit, "", 0, options.seed});
		PrintFigure({"capacity", it.count, it.name + ".slope", it.per_count, it.unit + " each", "", 0, options.seed});
		PrintFigure({"capacity", it.count, it.name + ".residual", it.residual, "share", "", 0, options.seed});
	}
	const CapacityTable table = ComputeCapacity(fits);
	for (const CapacityRow &it : table.rows) {
		PrintFigure({"capacity", it.role, it.what, it.value, it.unit, it.limit == 0 ? "" : "limit",
					 it.limit == 0 ? 0 : it.value / it.limit, options.seed});
	}
	if (!options.page.empty() && !WriteCapacityPage(options.page, fits, table)) {
		return 1;
	}
	return 0;
}
