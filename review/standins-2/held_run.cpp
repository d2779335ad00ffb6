// Case 8: a task that lasts isn't started again for 14 s from its start when that start had no answer and its minion is
// then lost.
#include "world.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace rv;

namespace {

constexpr const char *SERVICE = "aerovent";
constexpr const char *JOB = "00000000000000d1";
constexpr int MINIONS = 8, TASKS = 3;
constexpr long long LOST_AFTER_MS = 3000;                              // from the start to the loss of the minion
constexpr long long LAST_RUN_MS = 6000, CALM_MS = 4000, GAP_MS = 3000; // RULES.md, LOST

} // namespace

int main(int argc, char **argv)
{
	if (argc != 4) {
		std::cerr << "usage: held_run GLADE_NODE FOLDER RECORD\n";
		return 2;
	}
	std::ofstream record(argv[3]);
	const char *const setting = std::getenv("TROUBLE");
	const bool trouble = setting == nullptr || std::string(setting) != "0";
	WorldSpec spec;
	spec.nodes = 4;
	spec.services = 1;
	spec.minions = MINIONS;
	World world(spec, argv[2], argv[1], record);
	if (!world.Start()) {
		world.Note("the deployment did not start");
		return 2;
	}
	SleepMs(16000); /* All has been calm for long. */
	const std::string path = std::string("/") + SERVICE + "/" + JOB, task = std::string(JOB) + ".0.0.1";
	if (trouble) {
		const std::lock_guard<std::mutex> lock(world.server->mutex);
		world.late_start = task;
	}
	if (world.Client(0, "POST", path, World::LastingBody(TASKS, 2000)).status != 200) {
		return 2;
	}
	const auto runs_on = [&]() -> int {
		const std::lock_guard<std::mutex> lock(world.server->mutex);
		for (size_t n = 0; n < world.minions.size(); n++) {
			if (world.minions[n]->Runs(task)) {
				return static_cast<int>(n);
			}
		}
		return -1;
	};
	SleepMs(LOST_AFTER_MS);
	const int minion = runs_on();
	if (minion < 0) {
		world.Note("the task does not run");
		return 2;
	}
	const long long lost_at = NowMs();
	if (trouble) {
		world.LoseMinion(static_cast<size_t>(minion), true);
	}
	const long long give_up = lost_at + 40000;
	while (runs_on() < 0 && NowMs() < give_up) {
		SleepMs(5);
	}
	const long long away_until = runs_on() < 0 ? give_up : NowMs();
	/* The first 3 s that count: from 6 s after the last run, and with 4 s of calm before them. */
	const long long counts_from = lost_at + std::max(LAST_RUN_MS, CALM_MS);
	const long long counted = away_until - counts_from;
	if (trouble) {
		world.Note("the task was without a run for " + std::to_string(away_until - lost_at) + " ms, " +
				   std::to_string(std::max(0LL, counted)) +
				   " ms of them later than 6 s after its last run and 4 s after the " +
				   "last disturbance; seven minions had room");
	}
	if (world.AnyNodeEnded()) {
		return 2;
	}
	const bool broken = trouble && counted >= GAP_MS;
	world.Note(broken ? "LOST: rule broken" : "rule held");
	return broken ? 1 : 0;
}
