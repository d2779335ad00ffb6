// Case 4: the owner's answer about one job reaches another process, which takes it for the answer about its own job.
#include "world.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <iostream>

using namespace rv;

namespace {

constexpr const char *SERVICE = "aerovent";
constexpr int NODES = 9;              // canopy-grid: 9 edge machines
constexpr size_t HERD = 4;            // share 0.44 of the 9 (herd_kill: 0.6)
constexpr long long LOSS_MS = 4500;   // platform_lost: for_s 4.5
constexpr long long LATE_MS = 4500;   // done 1 to 6 s later
constexpr double LOSS_SHARE = 0.35;   // platform_lost: x 0.35 of the writes
constexpr long long RESTART_MS = 200; // a process starts again after a short delay
constexpr long long CONTACT_MS = 3000, VISIBLE_MS = 3000, FINISH_MS = 14000;

std::string PathOf(int job)
{
	char id[17];
	std::snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(job));
	return std::string("/") + SERVICE + "/" + id;
}

/** Calls some nodes at the same moment. */
std::vector<Answer> CallAll(World &world, const std::vector<int> &nodes, const std::string &method, int first_job,
							bool same_job, const std::string &body)
{
	std::vector<Answer> out(nodes.size());
	std::vector<std::thread> threads;
	for (size_t n = 0; n < nodes.size(); n++) {
		threads.emplace_back([&, n] {
			const int job = same_job ? first_job : first_job + static_cast<int>(n);
			out[n] = world.Client(static_cast<size_t>(nodes[n]), method, PathOf(job), body);
		});
	}
	for (std::thread &it : threads) {
		it.join();
	}
	return out;
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 4) {
		std::cerr << "usage: crossed_answers GLADE_NODE FOLDER RECORD\n";
		return 2;
	}
	std::ofstream record(argv[3]);
	const char *const setting = std::getenv("TROUBLE");
	const bool trouble = setting == nullptr || std::string(setting) != "0";
	WorldSpec spec;
	spec.nodes = NODES;
	World world(spec, argv[2], argv[1], record);
	if (!world.Start()) {
		world.Note("the deployment did not start");
		return 2;
	}
	SleepMs(2500);
	const int owner = world.OwnerOf(SERVICE);
	std::vector<int> herd;
	for (int n = 0; n < NODES && herd.size() < HERD; n++) {
		if (n != owner) {
			herd.push_back(n);
		}
	}
	world.Note(std::string("owner of ") + SERVICE + ": " + world.nodes[static_cast<size_t>(owner)].name);

	/* While `losing`, the owner's appends get no answer and are done later, but for `pass` of them. */
	std::atomic<bool> losing = false;
	std::atomic<int> pass = 0, lost = 0;
	world.store.late_ms = LATE_MS;
	world.store.fate = [&](const std::string &topic, int part, const Request &request) {
		if (!losing || topic != std::string("keyed.jobs.") + SERVICE || !request.query.contains("producer")) {
			return AppendFate::NORMAL;
		}
		if (part == 0 && pass > 0) {
			pass--;
			return AppendFate::NORMAL;
		}
		lost++;
		return AppendFate::LATE;
	};
	const auto await = [](const std::function<bool()> &reached, long long ms) {
		for (const long long until = NowMs() + ms; !reached() && NowMs() < until;) {
			SleepMs(1);
		}
	};

	/* Clients ask for a job that doesn't exist, then hand in one job at each of four nodes. */
	CallAll(world, herd, "GET", 0xaa, true, "");
	const std::string body = World::JobBody(3, 500);
	losing = trouble;
	if (trouble) {
		await([&] { return lost > 0; }, 1000);
	}
	const long long loss_began = NowMs();
	const unsigned long long writes_before = world.store.writes;
	std::thread first([&] { CallAll(world, herd, "POST", 0x100, false, body); });
	if (trouble) {
		SleepMs(25);
		const int lost_before = lost;
		pass = 1; /* The jobs go with the owner's next append, which is lost. */
		await([&] { return pass == 0 && lost > lost_before; }, 1000);
		SleepMs(20);
		for (const int n : herd) {
			world.KillNode(static_cast<size_t>(n));
		}
		SleepMs(RESTART_MS);
		for (const int n : herd) {
			world.StartNode(static_cast<size_t>(n));
		}
		for (const int n : herd) {
			if (!world.AwaitReady(static_cast<size_t>(n), 3000)) {
				world.Note("a node did not start again");
				first.join();
				return 2;
			}
		}
	}
	first.join();
	/* The same requests for other jobs. */
	CallAll(world, herd, "GET", 0xaa, true, "");
	std::vector<Answer> answers;
	std::thread second([&] { answers = CallAll(world, herd, "POST", 0x200, false, body); });
	SleepMs(40);
	if (trouble) {
		world.Note("the store answers one append again, " + std::to_string(NowMs() - loss_began) +
				   " ms after it began to lose answers");
		pass = 1;
		await([&] { return pass == 0; }, 1500);
		SleepMs(100);
		world.KillNode(static_cast<size_t>(owner));
		losing = false;
		SleepMs(RESTART_MS);
		world.StartNode(static_cast<size_t>(owner));
	}
	second.join();
	const long long acknowledged = NowMs();
	SleepMs(std::max(0LL, loss_began + LOSS_MS - NowMs()));
	const auto writes = static_cast<double>(world.store.writes - writes_before + 1);
	world.Note("within " + std::to_string(LOSS_MS) + " ms the store lost " + std::to_string(lost) + " of " +
			   std::to_string(static_cast<long long>(writes)) + " writes");
	if (lost > LOSS_SHARE * writes) {
		world.Note("more writes were lost than the pages say");
		return 2;
	}

	/* Calm for contact-ms, later than visible_ms after the answers; then the jobs are asked for. */
	SleepMs(std::max(LATE_MS - LOSS_MS, CONTACT_MS) + VISIBLE_MS + std::max(0LL, acknowledged - NowMs()));
	std::vector<int> all(NODES);
	for (int n = 0; n < NODES; n++) {
		all[static_cast<size_t>(n)] = n;
	}
	std::map<size_t, int> gone; // asked 410, by job
	int rounds = 0;
	for (const long long until = NowMs() + FINISH_MS; NowMs() < until; SleepMs(2000)) {
		rounds++;
		for (size_t n = 0; n < herd.size(); n++) {
			for (const Answer &it : CallAll(world, all, "GET", 0x200 + static_cast<int>(n), true, "")) {
				gone[n] += it.status == 410 ? 1 : 0;
			}
		}
	}
	if (world.AnyNodeEnded()) {
		return 2;
	}
	int broken = 0;
	for (size_t n = 0; n < herd.size(); n++) {
		const bool accepted = answers[n].status >= 200 && answers[n].status < 300;
		if (accepted && gone[n] > 0) {
			broken++;
			world.Note("LOST: " + PathOf(0x200 + static_cast<int>(n)) + " was accepted, and " +
					   std::to_string(gone[n]) + " of " + std::to_string(rounds * NODES) + " requests for it got 410");
		}
	}
	world.Note(broken > 0 ? "rule broken" : "rule held");
	return broken > 0 ? 1 : 0;
}
