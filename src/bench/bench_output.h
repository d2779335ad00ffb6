/** @file bench_output.h Figures of benches as JSON lines. */
#ifndef BENCH_OUTPUT_H
#define BENCH_OUTPUT_H

#include <cstdint>
#include <string>
#include <vector>

/** One figure. */
struct Figure {
	std::string bench;    ///< Name of the bench.
	std::string preset;   ///< Preset or setting that it was measured with.
	std::string figure;   ///< What was measured.
	double value = 0;     ///< The value.
	std::string unit;     ///< Its unit.
	std::string baseline; ///< What it is compared with; empty for none.
	double ratio = 0;     ///< Value against the baseline's, in the same run; 0 for none.
	uint64_t seed = 0;    ///< Seed of the run.
};

/**
 * Prints a figure as a line of JSON.
 * @param figure The figure.
 */
void PrintFigure(const Figure &figure);

/** What a bench is run with. */
struct BenchOptions {
	std::string preset = "greenhouse"; ///< Deployment.
	uint64_t seed = 1;                 ///< Seed.
	uint64_t seeds = 1;                ///< Number of seeds from `seed` on.
	bool quick = false;                ///< Small sizes, to see that the bench works.
	std::string page;                  ///< Page whose tables `capacity` writes; empty for none.
};

int RunMaintainBench(const BenchOptions &options);   ///< Three weeks of maintenance, against baselines.
int RunOptimumBench(const BenchOptions &options);    ///< Moves on small fleets, against the fewest possible.
int RunFoldBench(const BenchOptions &options);       ///< Fold, snapshot and join at letter 1's size.
int RunJobsBench(const BenchOptions &options);       ///< Urgent start, fairness, cancel waves.
int RunConfigBench(const BenchOptions &options);     ///< Publish to in force.
int RunOverloadBench(const BenchOptions &options);   ///< Three times the capacity, with faults, against baselines.
int RunSlotsBench(const BenchOptions &options);      ///< Shares of slots among entries.
int RunProxyBench(const BenchOptions &options);      ///< Real sockets: throughput and added latency.
int RunFleetOwnerBench(const BenchOptions &options); ///< A look of the fleet's holder at 300, 1,200 and 5,000 boxes.
int RunCapacityBench(const BenchOptions &options);   ///< Slopes for docs/CAPACITY.md.

#endif /* BENCH_OUTPUT_H */
