// Case 7: a task that lasts isn't started again for 9 s and more when its minion and then its job's owner are lost.
#include "world.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace rv;

namespace {

constexpr const char *SERVICE = "aerovent";
constexpr const char *JOB = "00000000000000d1";
constexpr int MINIONS = 8, TASKS = 3;
constexpr long long KILL_AFTER_MS = 2500; // from the loss of the minion to the end of the owner
constexpr long long RESTART_MS = 500;     // a process starts again after a short delay
constexpr long long LAST_RUN_MS = 6000, CALM_MS = 4000, GAP_MS = 3000; // RULES.md, LOST

} // namespace

int main(int argc, char **argv)
{
	if (argc != 4) {
		std::cerr << "usage: lost_minion GLADE_NODE FOLDER RECORD\n";
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
	SleepMs(2500);
	const int owner = world.OwnerOf(SERVICE);
	const size_t client = owner == 0 ? 1 : 0;
	const std::string path = std::string("/") + SERVICE + "/" + JOB;
	if (world.Client(client, "POST", path, World::LastingBody(TASKS, 2000)).status != 200) {
		return 2;
	}
	SleepMs(16000); /* All has been calm for long. */
	const std::string task = std::string(JOB) + ".0.0.1";
	const auto runs_on = [&]() -> int {
		const std::lock_guard<std::mutex> lock(world.server->mutex);
		for (size_t n = 0; n < world.minions.size(); n++) {
			if (world.minions[n]->Runs(task)) {
				return static_cast<int>(n);
			}
		}
		return -1;
	};
	const int minion = runs_on();
	if (minion < 0) {
		world.Note("the task does not run");
		return 2;
	}
	const long long lost_at = NowMs();
	long long calm_from = lost_at;
	if (trouble) {
		world.LoseMinion(static_cast<size_t>(minion));
		SleepMs(KILL_AFTER_MS);
		world.KillNode(static_cast<size_t>(owner));
		SleepMs(RESTART_MS);
		world.StartNode(static_cast<size_t>(owner));
		calm_from = NowMs();
	}
	const long long give_up = lost_at + 40000;
	while (runs_on() < 0 && NowMs() < give_up) {
		SleepMs(5);
	}
	const long long away_until = runs_on() < 0 ? give_up : NowMs();
	/* The first 3 s that count: from 6 s after the last run, and with 4 s of calm before them. */
	const long long counts_from = std::max(lost_at + LAST_RUN_MS, calm_from + CALM_MS);
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
