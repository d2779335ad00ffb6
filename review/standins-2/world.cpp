// The small deployment in which a case plays: a store, minions, control of machines, and glade_node processes.
#include "world.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <rapidjson/document.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rv {

namespace {

constexpr int STORE_ROLE = 0, CLOUD_ROLE = 1, MINION_ROLE = 10;
constexpr long long HEARTBEAT_MS = 1500;
constexpr long long LATE_MS = 2000; // how late a start without an answer is carried out
constexpr int PORTS = 4;            // of a node: callers, ready, frames, metrics

Response Json(int status, const std::string &body)
{
	return Response{status, body};
}

Pending At(const Response &answer)
{
	return [answer] { return std::optional(answer); };
}

constexpr long long CPU = 16000; // of a minion

/** Returns the number behind a word of a task's spec. */
long long SpecNumber(const std::string &spec, const std::string &word, long long fallback)
{
	const size_t mark = spec.find(word + "=");
	return mark == std::string::npos ? fallback : std::stoll(spec.substr(mark + word.size() + 1));
}

long long NumberOf(const rapidjson::Value &json, const char *name)
{
	return json.HasMember(name) && json[name].IsInt64() ? json[name].GetInt64() : 0;
}

} // namespace

std::string Minion::Entry(long long call_seq) const
{
	return "{\"service\":\"" + this->service + "\",\"machine\":\"" + this->machine + "\",\"address\":\"" +
		   this->address +
		   "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,"
		   "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"call-seq\":" +
		   std::to_string(call_seq) + "}";
}

void Minion::Finish(const std::string &task, const std::string &how)
{
	const Run run = this->runs.at(task);
	this->runs.erase(task);
	this->over[task] = std::max(this->over[task], run.number);
	this->ends.push_back(End{++this->last_end, task, run.number, how});
	this->note("minion " + this->id + ": " + task + " run " + std::to_string(run.number) + " ended " + how);
}

void Minion::Flap(long long up_ms, long long down_ms)
{
	this->up_ms = up_ms;
	this->down_ms = down_ms;
	this->crash_at = NowMs() + up_ms;
}

void Minion::Crash()
{
	for (const auto &[task, run] : this->runs) {
		this->note("minion " + this->id + ": " + task + " run " + std::to_string(run.number) + " is lost in a crash");
	}
	this->note("minion " + this->id + " crashes");
	this->crashes++;
	this->down_until = NowMs() + this->down_ms;
	this->runs.clear();
}

void Minion::ComeBack()
{
	/* A new life: it has a new id, runs nothing, and has seen no fence number. */
	this->down_until = 0;
	this->id = this->id.substr(0, this->id.find('x')) + "x" + std::to_string(this->crashes);
	this->born = NowMs();
	this->crash_at = this->born + this->up_ms;
	this->expiry = this->fence = this->last_end = 0;
	this->over.clear();
	this->ends.clear();
	this->note("minion " + this->id + " is there");
}

void Minion::Tick()
{
	if (this->up_ms > 0 && !this->Down() && NowMs() >= this->crash_at) {
		this->Crash();
	}
	if (this->Down()) {
		if (NowMs() >= this->down_until) {
			this->ComeBack();
		}
		return;
	}
	std::vector<std::pair<std::string, std::string>> ended;
	for (const auto &[task, run] : this->runs) {
		if (NowMs() >= run.done_at) {
			ended.emplace_back(task, "done");
		} else if (this->Clock() > this->expiry) {
			ended.emplace_back(task, "lapsed");
		}
	}
	for (const auto &[task, how] : ended) {
		this->Finish(task, how);
	}
}

std::string Minion::Lists() const
{
	std::string running, finished;
	for (const auto &[task, run] : this->runs) {
		running += (running.empty() ? "" : ",");
		running += "[\"" + task + "\"," + std::to_string(run.number) + ",\"\",100,0]";
	}
	for (const End &it : this->ends) {
		finished += (finished.empty() ? "" : ",");
		finished += "[" + std::to_string(it.number) + ",\"" + it.task + "\"," + std::to_string(it.run) + ",\"" +
					it.how + "\",\"\"]";
	}
	return "{\"clock-ms\":" + std::to_string(this->Clock()) + ",\"running\":[" + running + "],\"finished\":[" +
		   finished + "]}";
}

Pending Minion::Handle(const Request &request)
{
	rapidjson::Document json;
	json.Parse(request.body.c_str());
	const std::string clock = "\"clock-ms\":" + std::to_string(this->Clock());
	const auto refuse = [&clock](const char *reason) {
		return At(Json(409, "{" + clock + ",\"reason\":\"" + reason + "\"}"));
	};
	if (request.headers.contains("x-target-instance") && request.headers.at("x-target-instance") != this->id) {
		return At(Json(421, "{}"));
	}
	if (json.HasParseError() || !json.IsObject()) {
		return At(Json(400, "{}"));
	}
	if (NumberOf(json, "fencing-token") < this->fence) {
		return refuse("fence");
	}
	this->fence = NumberOf(json, "fencing-token");
	const auto extend = [&] {
		this->expiry = std::max(this->expiry, std::min(NumberOf(json, "expiry-ms"), this->Clock() + this->hold_max));
	};
	if (request.path == "/v1/run-start") {
		const std::string task = json["task"].GetString();
		if (this->refuses_starts) {
			this->note("minion " + this->id + ": " + task + " run " + std::to_string(NumberOf(json, "run-id")) +
					   " refused with 503");
			return At(Json(503, "{}"));
		}
		const long long number = NumberOf(json, "run-id");
		const auto it = this->runs.find(task);
		if (it != this->runs.end() && it->second.number == number) {
			return At(Json(200, "{" + clock + "}"));
		}
		if (it != this->runs.end() || (this->over.contains(task) && this->over.at(task) >= number)) {
			extend();
			return refuse("old");
		}
		if (NumberOf(json, "expiry-ms") <= this->Clock()) {
			return refuse("late");
		}
		extend();
		const std::string spec = json["spec"].GetString();
		const long long cpu = SpecNumber(spec, "cpu", 0);
		long long used = cpu;
		for (const auto &[other, run] : this->runs) {
			used += run.cpu;
		}
		if (used > CPU) {
			return refuse("room");
		}
		this->runs[task] = Run{number, NowMs() + SpecNumber(spec, "run-ms", 500), cpu};
		this->starts++;
		this->started_at[task] = NowMs();
		this->note("minion " + this->id + ": started " + task + " run " + std::to_string(number));
		return At(Json(200, "{" + clock + "}"));
	}
	if (request.path == "/v1/run-stop") {
		const std::string task = json["task"].GetString();
		const long long number = NumberOf(json, "run-id");
		const auto it = this->runs.find(task);
		if (it != this->runs.end() && it->second.number == number) {
			this->Finish(task, "stopped");
		}
		this->over[task] = std::max(this->over[task], number);
		return At(Json(200, "{" + clock + "}"));
	}
	if (request.path == "/v1/hold") {
		const long long seen = NumberOf(json, "last-seen");
		std::erase_if(this->ends, [seen](const End &it) { return it.number <= seen; });
		if (json.HasMember("expiry-ms")) {
			extend();
		}
		const long long until = NowMs() + std::min<long long>(NumberOf(json, "wait-ms"), 2000);
		return [this, until]() -> std::optional<Response> {
			if (this->ends.empty() && NowMs() < until) {
				return std::nullopt;
			}
			return Json(200, this->Lists());
		};
	}
	return At(Json(200, "{" + clock + "}"));
}

World::World(const WorldSpec &spec, const std::string &folder, const std::string &program, std::ofstream &record)
		: spec(spec), folder(folder), program(program), record(record)
{
	this->store.note = [this](const std::string &it) { this->Note(it); };
	this->server =
			std::make_unique<Server>([this](int role, const Request &request) { return this->Handle(role, request); });
	this->store_port = this->server->Listen(STORE_ROLE, "127.0.0.1");
	this->cloud_port = this->server->Listen(CLOUD_ROLE, "127.0.0.1");
	const std::vector<std::string> names{"aerovent", "dewpoint", "sunveil"};
	const std::vector<std::string> services(names.begin(), names.begin() + spec.services);
	for (int n = 0; n < spec.services * spec.minions; n++) {
		auto minion = std::make_unique<Minion>(services[static_cast<size_t>(n % spec.services)],
											   "m-" + std::to_string(n), "i-" + std::to_string(n));
		minion->note = this->store.note;
		minion->address = "127.0.0.1:" + std::to_string(this->server->Listen(MINION_ROLE + n, "127.0.0.1"));
		this->minions.push_back(std::move(minion));
	}
	std::map<std::string, std::string> routes;
	for (const std::string &service : services) {
		routes[service] = service;
	}
	this->services = services;
	this->PutConfig(7, routes);
	for (int n = 0; n < spec.nodes; n++) {
		Node node;
		node.ip = "127.0.0." + std::to_string(11 + n);
		node.name = "edge-" + std::to_string(n + 1);
		node.settings = folder + "/" + node.name + ".yaml";
		this->nodes.push_back(node);
	}
	for (this->base_port = 21000 + getpid() * 16 % 9000;; this->base_port += PORTS) {
		bool all = true;
		for (const Node &it : this->nodes) {
			for (int n = 0; n < PORTS; n++) {
				all = all && PortFree(it.ip, this->base_port + n);
			}
		}
		if (all) {
			break;
		}
	}
	for (const Node &it : this->nodes) {
		const auto at = [&](int n) { return it.ip + ":" + std::to_string(this->base_port + n); };
		std::ofstream(it.settings) << "name: " << it.name << "\nzone: z1\ncallers: " << at(0) << "\nready: " << at(1)
								   << "\nframes: " << at(2) << "\nmetrics: " << at(3)
								   << "\nstore: 127.0.0.1:" << this->store_port
								   << "\ncpu: 0.25\nmemory_mb: 260\ndescriptors: 4100\npartitions: 12\n"
								   << "store_record_bytes: 262144\nstore_call_bytes: 2097152\nlease_max: 10000ms\n"
								   << "machines: 127.0.0.1:" << this->cloud_port
								   << "\nseeds: []\nadvisor: []\nturn_gap: 3000ms\nconfig_in_force: 2000ms\n";
	}
	this->thread = std::thread([this] { this->server->Run(); });
	this->ticks = std::thread([this] {
		while (!this->stopped) {
			{
				const std::lock_guard<std::mutex> lock(this->server->mutex);
				this->Tick();
			}
			SleepMs(2);
		}
	});
}

void World::PutConfig(int version, const std::map<std::string, std::string> &routes)
{
	std::string list, pools;
	for (const auto &[route, service] : routes) {
		list += (list.empty() ? "" : ",");
		list += "{\"name\":\"r-" + route + "\",\"host\":\"jobs.example\",\"path-prefix\":\"/" + route +
				"/\",\"kind\":\"non_idempotent\",\"timeout-ms\":3000,\"target-latency-ms\":600,\"priority\":0,"
				"\"service\":\"" +
				service + "\",\"max-attempts\":3,\"stretch\":1.6}";
	}
	for (const std::string &service : this->services) {
		pools += (pools.empty() ? "" : ",");
		pools += "{\"name\":\"" + service + "\",\"admission-check\":true}";
	}
	const std::lock_guard<std::mutex> lock(this->server->mutex);
	this->store.Put("keyed.op", "config",
					"{\"version\":" + std::to_string(version) + ",\"routes\":[" + list + "],\"services\":[" + pools +
							"],\"limits\":{}}");
}

World::~World()
{
	for (size_t n = 0; n < this->nodes.size(); n++) {
		this->KillNode(n);
	}
	this->stopped = true;
	this->server->Stop();
	this->thread.join();
	this->ticks.join();
}

void World::Note(const std::string &text)
{
	const std::lock_guard<std::mutex> lock(this->record_mutex);
	char time[32];
	std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(NowMs()) / 1000);
	this->record << time << text << std::endl;
}

void World::Tick()
{
	this->store.Tick();
	while (!this->late_orders.empty() && NowMs() >= this->late_orders.front().at) {
		Minion &minion = *this->minions[this->late_orders.front().minion];
		if (!minion.lost) {
			minion.Handle(this->late_orders.front().request);
		}
		this->late_orders.pop_front();
	}
	static long long beat_at = -1, beats = 0;
	const bool beat = beat_at < 0 || NowMs() - beat_at >= HEARTBEAT_MS;
	for (size_t n = 0; n < this->minions.size(); n++) {
		Minion &it = *this->minions[n];
		if (it.lost) {
			continue;
		}
		const std::string id = it.id;
		const bool was_down = it.Down();
		it.Tick();
		if (!was_down && it.Down()) {
			this->server->DropConnections(MINION_ROLE + static_cast<int>(n));
			this->entries_to_drop.emplace_back(NowMs() + 3 * HEARTBEAT_MS, id);
		}
		if (!it.Down() && (beat || it.id != id)) {
			this->store.Put("keyed.servers", it.id, it.Entry(beats));
		}
	}
	while (!this->entries_to_drop.empty() && this->entries_to_drop.front().first <= NowMs()) {
		this->store.Put("keyed.servers", this->entries_to_drop.front().second, std::nullopt);
		this->entries_to_drop.pop_front();
	}
	if (beat) {
		beat_at = NowMs();
		beats++;
	}
}

Pending World::Handle(int role, const Request &request)
{
	if (role == STORE_ROLE) {
		if (request.path == "/v1/log-append" && request.query.contains("producer")) {
			/* The owner's record names its address in plain text. */
			for (const Node &it : this->nodes) {
				const std::string address = it.ip + ":" + std::to_string(this->base_port + 2);
				if (request.body.find(address) != std::string::npos) {
					this->owner_values[request.query.at("topic")] = it.name;
				}
			}
		}
		return this->store.Handle(request);
	}
	if (role == CLOUD_ROLE) {
		return this->HandleCloud(request);
	}
	Minion &minion = *this->minions.at(static_cast<size_t>(role - MINION_ROLE));
	if (minion.lost) {
		Response nothing;
		nothing.silent = true;
		return At(nothing);
	}
	if (minion.Down()) {
		this->server->DropConnections(role); /* Its port is dead. */
		return At(Json(503, "{}"));
	}
	if (!this->late_start.empty() && request.path == "/v1/run-start") {
		rapidjson::Document json;
		json.Parse(request.body.c_str());
		const std::string task = json["task"].GetString();
		if (task == this->late_start) {
			this->late_start.clear();
			this->Note("minion " + minion.id + ": the start of " + task +
					   " gets no answer, and is carried out 2 s later");
			this->late_orders.push_back(LateOrder{NowMs() + LATE_MS, static_cast<size_t>(role - MINION_ROLE), request});
			Response nothing;
			nothing.silent = true;
			return At(nothing);
		}
	}
	return minion.Handle(request);
}

Pending World::HandleCloud(const Request &request)
{
	if (request.path != "/v1/machines") {
		return At(Json(409, R"({"reason":"busy"})")); /* Machines stay where they are in this deployment. */
	}
	std::string rows;
	for (const auto &it : this->minions) {
		if (it->lost && !it->listed_as_down) {
			continue;
		}
		const bool down = it->lost || it->Down();
		rows += (rows.empty() ? "" : ",");
		rows += "{\"machine\":\"" + it->machine + "\",\"pool\":\"" + it->service + "\",\"state\":\"" +
				(down ? "down" : "up") +
				"\",\"zone\":\"z1\",\"labels\":[\"a\",\"r1-1\"],\"capacity\":{\"cpu\":16000,\"mem-"
				"mb\":32768,"
				"\"gpu\":0},\"id\":\"" +
				(down ? std::string() : it->id) + "\"}";
	}
	return At(Json(200, "{\"machines\":[" + rows + "],\"next-token\":null}"));
}

void World::StartNode(size_t n)
{
	Node &node = this->nodes[n];
	node.output = this->folder + "/" + node.name + "." + std::to_string(++node.lives) + ".log";
	node.pid = ::fork();
	if (node.pid == 0) {
		::prctl(PR_SET_PDEATHSIG, SIGKILL);
		const int fd = ::open(node.output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
		::dup2(fd, 1);
		::dup2(fd, 2);
		::execl(this->program.c_str(), this->program.c_str(), "--settings", node.settings.c_str(), nullptr);
		::_exit(127);
	}
	this->Note("start of " + node.name + ", process " + std::to_string(node.pid));
}

void World::KillNode(size_t n)
{
	Node &node = this->nodes[n];
	if (node.pid > 0) {
		::kill(node.pid, SIGKILL);
		::waitpid(node.pid, nullptr, 0);
		this->Note("kill of " + node.name);
		node.pid = 0;
	}
}

void World::LoseMinion(size_t n, bool listed)
{
	const std::lock_guard<std::mutex> lock(this->server->mutex);
	Minion &it = *this->minions.at(n);
	it.lost = true;
	it.listed_as_down = listed;
	this->server->SilenceConnections(MINION_ROLE + static_cast<int>(n));
	this->entries_to_drop.emplace_back(NowMs() + 3 * HEARTBEAT_MS, it.id);
	this->Note("minion " + it.id + " is lost for good, with all that runs there");
}

bool World::AnyNodeEnded()
{
	for (Node &it : this->nodes) {
		int status = 0;
		if (it.pid > 0 && ::waitpid(it.pid, &status, WNOHANG) == it.pid) {
			this->Note(it.name + " has ended by itself, status " + std::to_string(status));
			it.pid = 0;
			return true;
		}
	}
	return false;
}

bool World::AwaitReady(size_t n, long long within_ms)
{
	const long long until = NowMs() + within_ms;
	while (NowMs() < until) {
		if (Call(this->nodes[n].ip, this->base_port + 1, "GET", "/v1/ready", "ready", "", 500).status == 200) {
			return true;
		}
		SleepMs(5);
	}
	return false;
}

bool World::Start()
{
	for (size_t n = 0; n < this->nodes.size(); n++) {
		this->StartNode(n);
	}
	for (size_t n = 0; n < this->nodes.size(); n++) {
		if (!this->AwaitReady(n, 10000)) {
			return false;
		}
	}
	const long long until = NowMs() + 10000;
	while (NowMs() < until && this->OwnerOf("aerovent") < 0) {
		SleepMs(20);
	}
	return this->OwnerOf("aerovent") >= 0;
}

int World::OwnerOf(const std::string &service)
{
	const std::lock_guard<std::mutex> lock(this->server->mutex);
	const auto it = this->owner_values.find("keyed.jobs." + service);
	for (size_t n = 0; n < this->nodes.size(); n++) {
		if (it != this->owner_values.end() && it->second == this->nodes[n].name) {
			return static_cast<int>(n);
		}
	}
	return -1;
}

Answer World::Client(size_t node, const std::string &method, const std::string &path, const std::string &body,
					 int timeout_ms)
{
	const long long sent = NowMs();
	const Answer out = Call(this->nodes[node].ip, this->base_port, method, path, "jobs.example", body, timeout_ms);
	this->Note("client: " + method + " " + path + " at " + this->nodes[node].name + " -> " +
			   std::to_string(out.status) + " " + out.body + " after " + std::to_string(NowMs() - sent) + " ms");
	return out;
}

std::string World::JobBody(int tasks, int run_ms, int cpu)
{
	return "{\"spec\":\"run-ms=" + std::to_string(run_ms) + " cpu=" + std::to_string(cpu) +
		   "\",\"steps\":[{\"count\":" + std::to_string(tasks) + ",\"cpu\":" + std::to_string(cpu) +
		   ",\"mem-mb\":256,\"est-runtime-ms\":" + std::to_string(run_ms) + "}]}";
}

std::string World::LastingBody(int tasks, int cpu)
{
	return "{\"spec\":\"run-ms=100000000 cpu=" + std::to_string(cpu) +
		   "\",\"steps\":[{\"count\":" + std::to_string(tasks) + ",\"cpu\":" + std::to_string(cpu) +
		   ",\"mem-mb\":256,\"est-runtime-ms\":1000,\"long-running\":true,\"anti-affinity\":1}]}";
}

} // namespace rv
