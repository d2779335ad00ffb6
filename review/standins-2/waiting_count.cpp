// Case 5: after a change of owner, jobs of which no task has begun are missing from their queue's count.
#include "world.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <rapidjson/document.h>

using namespace rv;

namespace {

constexpr const char *SERVICE = "aerovent";
constexpr int MINIONS = 8; // canopy-grid: 8 minions of aerovent
constexpr int JOBS = 4;
constexpr long long GREY_MS = 6500; // srv_grey: for_s 6.5
constexpr long long KILL_AT_MS = 2000;
constexpr long long VISIBLE_MS = 3000; // bounds.visible_ms; the rule adds 2 s
constexpr long long RESTART_MS = 500;  // a process starts again after a short delay

std::string PathOf(int job)
{
	char id[17];
	std::snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(job));
	return std::string("/") + SERVICE + "/" + id;
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 4) {
		std::cerr << "usage: waiting_count GLADE_NODE FOLDER RECORD\n";
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
	const auto idle = [&] {
		const std::lock_guard<std::mutex> lock(world.server->mutex);
		std::vector<Minion *> out;
		for (const auto &it : world.minions) {
			if (it->Idle()) {
				out.push_back(it.get());
			}
		}
		return out;
	};
	/* A job of tasks that last takes all minions but one. With TROUBLE=0, all. */
	const int lasting = trouble ? MINIONS - 1 : MINIONS;
	if (world.Client(client, "POST", PathOf(1), World::LastingBody(lasting, 16000)).status != 200) {
		return 2;
	}
	for (const long long until = NowMs() + 5000; static_cast<int>(idle().size()) > MINIONS - lasting;) {
		if (NowMs() > until) {
			world.Note("the tasks that last did not start");
			return 2;
		}
		SleepMs(20);
	}
	const long long began = NowMs();
	const std::vector<Minion *> grey = idle();
	if (trouble) {
		const std::lock_guard<std::mutex> lock(world.server->mutex);
		for (Minion *it : grey) {
			it->refuses_starts = true;
			world.Note("minion " + it->id + " refuses starts from now on");
		}
	}
	long long accepted = 0;
	for (int n = 0; n < JOBS; n++) {
		if (world.Client(client, "POST", PathOf(0x100 + n), World::JobBody(1, 500, 1000)).status != 200) {
			return 2;
		}
		accepted = NowMs();
	}
	world.Client(client, "GET", std::string("/") + SERVICE + "/");
	SleepMs(began + KILL_AT_MS - NowMs());
	world.Client(client, "GET", std::string("/") + SERVICE + "/");
	if (trouble) {
		world.KillNode(static_cast<size_t>(owner));
		SleepMs(RESTART_MS);
		world.StartNode(static_cast<size_t>(owner));
	}
	SleepMs(accepted + VISIBLE_MS + 2000 + 100 - NowMs());
	int counts = 0, low = 0;
	while (NowMs() < began + GREY_MS - 150) {
		for (size_t n = 0; n < world.nodes.size(); n++) {
			if (static_cast<int>(n) == owner) {
				continue; /* It was killed: not in touch yet. */
			}
			const Answer it = world.Client(n, "GET", std::string("/") + SERVICE + "/", "", 1000);
			rapidjson::Document json;
			json.Parse(it.body.c_str());
			if (it.status == 200 && !json.HasParseError() && json.HasMember("waiting")) {
				counts++;
				low += 2 * json["waiting"].GetInt() < JOBS ? 1 : 0;
			}
		}
		SleepMs(200);
	}
	unsigned begun = 0;
	{
		const std::lock_guard<std::mutex> lock(world.server->mutex);
		for (Minion *it : grey) {
			begun += it->starts;
			it->refuses_starts = false;
		}
	}
	world.Note("starts on the minion that refuses them: " + std::to_string(begun) +
			   "; counts: " + std::to_string(counts) + ", of these under half of " + std::to_string(JOBS) + ": " +
			   std::to_string(low));
	if (counts == 0 || begun > 0 || world.AnyNodeEnded()) {
		return 2;
	}
	world.Note(low > 0 ? "MIXED: rule broken" : "rule held");
	return low > 0 ? 1 : 0;
}
