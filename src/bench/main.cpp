/** @file main.cpp glade_bench: load and experiment tool. Decision benches run on a virtual clock and are exact. */
#include "../program/program.h"
#include "bench_output.h"

#include <QCoreApplication>

#include <array>
#include <iostream>

namespace {

constexpr const char *USAGE = R"(glade_bench: measures glademount and prints JSON lines

Usage:
  glade_bench (maintain|optimum|fold|jobs|config|overload|slots|proxy|fleet|capacity) [options]
  glade_bench (-h | --help)
  glade_bench --version

Options:
  --preset NAME   greenhouse, lindeboom or letter1 [default: greenhouse].
  --seed N        Seed; the same seed gives the same bytes but for times measured [default: 1].
  --seeds N       Number of seeds, from --seed on [default: 1].
  --quick         Small sizes: shows that the bench works.
  --page FILE     With capacity: writes the tables into this page.
  -h --help       Show this.
  --version       Show the version.
)";

/** A bench by name. */
struct BenchCommand {
	const char *name;                 ///< Its word on the command line.
	int (*run)(const BenchOptions &); ///< Runs it.
};

constexpr std::array _benches = {
		BenchCommand{"maintain", RunMaintainBench}, BenchCommand{"optimum", RunOptimumBench},
		BenchCommand{"fold", RunFoldBench},         BenchCommand{"jobs", RunJobsBench},
		BenchCommand{"config", RunConfigBench},     BenchCommand{"overload", RunOverloadBench},
		BenchCommand{"slots", RunSlotsBench},       BenchCommand{"proxy", RunProxyBench},
		BenchCommand{"fleet", RunFleetOwnerBench},  BenchCommand{"capacity", RunCapacityBench}};

} // namespace

int main(int argc, char **argv)
{
	ParsedArguments args;
	if (const std::optional<int> exit_code = ParseArguments(USAGE, "glade_bench", argc, argv, args); exit_code) {
		return *exit_code;
	}
	UseEpollEventLoop();
	QCoreApplication app(argc, argv);
	BenchOptions options;
	options.preset = args["--preset"].asString();
	options.quick = args["--quick"].asBool();
	options.page = args["--page"].isString() ? args["--page"].asString() : "";
	try {
		options.seed = std::stoull(args["--seed"].asString());
		options.seeds = std::stoull(args["--seeds"].asString());
	} catch (const std::exception &) {
		std::cerr << Result{ResultCode::RC_USAGE, "--seed and --seeds: expected a whole number"}.Text() << '\n';
		return static_cast<int>(ExitCode::EC_USAGE);
	}
	if (options.preset != "greenhouse" && options.preset != "lindeboom" && options.preset != "letter1") {
		std::cerr << Result{ResultCode::RC_USAGE, "--preset: expected greenhouse, lindeboom or letter1"}.Text() << '\n';
		return static_cast<int>(ExitCode::EC_USAGE);
	}
	for (const BenchCommand &it : _benches) {
		if (args[it.name].asBool()) {
			return it.run(options);
		}
	}
	return static_cast<int>(ExitCode::EC_USAGE);
}
