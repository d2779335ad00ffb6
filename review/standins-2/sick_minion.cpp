// Case 6: one minion that crashes when it works makes jobs fail, though no run of theirs has ended `failed`.
#include "world.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>

using namespace rv;

namespace {

constexpr const char *SERVICE = "aerovent";
constexpr int MINIONS = 8; // canopy-grid: 8 minions of aerovent
constexpr int JOBS = 4;
constexpr int TASKS = 16;                       // canopy-grid: up to 24 a step
constexpr int RUN_MS = 1700;                    // canopy-grid: 1 s and 1.7 s on average
constexpr long long UP_MS = 900, DOWN_MS = 500; // by turns; srv_flap: gap_s 1.4
constexpr long long TROUBLE_MS = 6500;          // srv_flap: for_s 6.5
constexpr long long FINISH_MS = 14000;

std::string PathOf(int job)
{
	char id[17];
	std::snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(job));
	return std::string("/") + SERVICE + "/" + id;
}

std::string StateOf(World &world, size_t node, int job)
{
	const Answer it = world.Client(node, "GET", PathOf(job));
	for (const char *const state : {"queued", "running", "completed", "failed", "cancelled"}) {
		if (it.status == 200 && it.body.find(std::string("\"") + state + "\"") != std::string::npos) {
			return state;
		}
	}
	return "";
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 4) {
		std::cerr << "usage: sick_minion GLADE_NODE FOLDER RECORD\n";
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
	/* Tasks that last take 15 of 16 cores of seven minions; the eighth is free. */
	if (world.Client(0, "POST", PathOf(1), World::LastingBody(MINIONS - 1, 15000)).status != 200) {
		return 2;
	}
	SleepMs(1000);
	Minion *sick = nullptr;
	{
		const std::lock_guard<std::mutex> lock(world.server->mutex);
		for (const auto &it : world.minions) {
			sick = it->Idle() ? it.get() : sick;
		}
		if (sick == nullptr) {
			return 2;
		}
		if (trouble) {
			sick->Flap(UP_MS, DOWN_MS);
			world.Note("minion " + sick->id + " goes down and up by turns from now on");
		}
	}
	const long long began = NowMs();
	for (int n = 0; n < JOBS; n++) {
		if (world.Client(0, "POST", PathOf(0x100 + n), World::JobBody(TASKS, RUN_MS)).status != 200) {
			return 2;
		}
		SleepMs(1300);
	}
	SleepMs(std::max(0LL, began + TROUBLE_MS - NowMs()));
	{
		const std::lock_guard<std::mutex> lock(world.server->mutex);
		sick->Flap(0, DOWN_MS);
	}
	world.Note("minion " + sick->id + " stays up from now on");
	/* The same job once more, under another id: it can be done. */
	const bool again = world.Client(0, "POST", PathOf(0x200), World::JobBody(TASKS, RUN_MS)).status == 200;
	SleepMs(FINISH_MS);
	const std::string state_again = StateOf(world, 1, 0x200);
	int failed = 0;
	for (int n = 0; n < JOBS; n++) {
		failed += StateOf(world, 1, 0x100 + n) == "failed" ? 1 : 0;
	}
	unsigned failed_ends = 0;
	{
		const std::lock_guard<std::mutex> lock(world.server->mutex);
		for (const auto &it : world.minions) {
			failed_ends += it->failed_ends;
		}
	}
	world.Note("crashes of the minion: " + std::to_string(sick->crashes) + "; runs that ended `failed`: " +
			   std::to_string(failed_ends) + "; jobs shown as failed: " + std::to_string(failed) + " of " +
			   std::to_string(JOBS) + "; the same job afterwards: " + state_again);
	if (!again || state_again != "completed" || failed_ends > 0 || world.AnyNodeEnded()) {
		return 2;
	}
	world.Note(failed > 0 ? "LOST: rule broken" : "rule held");
	return failed > 0 ? 1 : 0;
}
