// The small deployment in which a case plays: a store, minions, control of machines, and glade_node processes.
#pragma once
#include "store.h"

#include <fstream>
#include <memory>
#include <sys/types.h>
#include <thread>

namespace rv {

/** A minion: one life of an agent that runs tasks. A task's `spec` says how long it runs, and on how many thousandths
 * of a core: "run-ms=800 cpu=500". */
class Minion {
public:
	Minion(std::string service, std::string machine, std::string id)
			: service(std::move(service)), machine(std::move(machine)), id(std::move(id))
	{
	}
	Pending Handle(const Request &request);
	void Tick();
	[[nodiscard]] std::string Entry(long long call_seq) const;

	std::string service, machine, id, address;
	long long hold_max = 10000;
	bool refuses_starts = false; // unhealthy: starts get 503, and nothing is done
	/** Goes down and up by turns from now on. `up_ms`: how long it is up; 0 to stay up. `down_ms`: how long it is down.
	 */
	void Flap(long long up_ms, long long down_ms);
	unsigned crashes = 0;     // crashes so far
	unsigned failed_ends = 0; // runs that ended `failed`; none does here
	[[nodiscard]] bool Down() const { return this->down_until > 0; }
	bool lost = false;                           // for good: it says nothing any more
	bool listed_as_down = false;                 // when lost: whether its machine stays in the list
	std::map<std::string, long long> started_at; // when the newest run of a task began, by task
	[[nodiscard]] bool Runs(const std::string &task) const { return !this->lost && this->runs.contains(task); }
	unsigned starts = 0; // starts carried out
	std::function<void(const std::string &)> note;
	[[nodiscard]] bool Idle() const { return this->runs.empty(); }

private:
	struct Run {
		long long number = 0, done_at = 0, cpu = 0;
	};
	struct End {
		long long number;
		std::string task;
		long long run;
		std::string how;
	};
	long long born = NowMs(), expiry = 0, fence = 0, last_end = 0;
	long long up_ms = 0, down_ms = 0, crash_at = 0, down_until = 0;
	std::map<std::string, Run> runs;
	std::map<std::string, long long> over; // highest run that was stopped or has ended, by task
	std::vector<End> ends;

	[[nodiscard]] long long Clock() const { return NowMs() - this->born + 1000; }
	void Finish(const std::string &task, const std::string &how);
	void Crash();
	void ComeBack();
	[[nodiscard]] std::string Lists() const;
};

/** A glade_node process. */
struct Node {
	std::string ip, name, settings, output;
	pid_t pid = 0;
	int lives = 0;
};

struct WorldSpec {
	int nodes = 3;
	int services = 2; // aerovent, dewpoint, sunveil
	int minions = 4;  // of each service
};

class World {
public:
	World(const WorldSpec &spec, const std::string &folder, const std::string &program, std::ofstream &record);
	~World();
	/** Starts all nodes and waits until they are ready. Returns whether they are. */
	bool Start();
	void StartNode(size_t n);
	/** Ends a node at once. */
	void KillNode(size_t n);
	/** Takes a minion away for good, without a word. `listed`: whether its machine stays in the list, as `down`. */
	void LoseMinion(size_t n, bool listed = false);
	/** The first start of this task gets no answer, and is carried out 2 s later; to be set under the server's mutex.
	 */
	std::string late_start;
	/** Waits until a node calls itself ready. */
	bool AwaitReady(size_t n, long long within_ms);
	/** Returns the node that is recorded as the owner of a service's jobs; -1 if none. */
	int OwnerOf(const std::string &service);
	/** A client's call to a node; it is noted. */
	Answer Client(size_t node, const std::string &method, const std::string &path, const std::string &body = "",
				  int timeout_ms = 3000);
	/** Body of a job of one step of short tasks. */
	static std::string JobBody(int tasks, int run_ms, int cpu = 500);
	/** Body of a job whose tasks last, each on one minion of its own. */
	static std::string LastingBody(int tasks, int cpu);
	void Note(const std::string &text);
	/** The operator's: writes a config with these routes, each with its service. The path of route R begins with /R/.
	 */
	void PutConfig(int version, const std::map<std::string, std::string> &routes);
	/** Says whether a node ended by itself. */
	bool AnyNodeEnded();

	std::vector<Node> nodes;
	Store store; // to be used under the server's mutex
	std::unique_ptr<Server> server;
	std::vector<std::unique_ptr<Minion>> minions; // to be used under the server's mutex

private:
	WorldSpec spec;
	std::string folder, program;
	std::ofstream &record;
	std::mutex record_mutex;
	std::vector<std::string> services;
	std::map<std::string, std::string> owner_values;
	std::thread thread, ticks;
	bool stopped = false;
	int store_port = 0, cloud_port = 0, base_port = 0;

	Pending Handle(int role, const Request &request);
	Pending HandleCloud(const Request &request);
	void Tick();
	struct LateOrder {
		long long at;
		size_t minion;
		Request request;
	};
	std::deque<LateOrder> late_orders;
	std::deque<std::pair<long long, std::string>> entries_to_drop; // of crashed minions: after three beats
};

} // namespace rv
