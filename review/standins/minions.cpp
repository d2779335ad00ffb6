/** @file minions.cpp Stand-ins of minions and of the control of machines. */
#include "minions.h"

#include <QJsonArray>

#include <algorithm>

namespace {

constexpr Millis HEARTBEAT(1500);      ///< Setting `heartbeat-ms` of the small deployments.
constexpr int SILENT_REPORTS = 3;      ///< An entry goes after so many reports of silence.
constexpr Millis POLL_INTERVAL(5);     ///< Interval at which a waiting hold looks for ends.
constexpr int64_t HOLD_MAX_MS = 10000; ///< Bound `hold-max-ms` of canopy-grid.
constexpr Millis STOP_TIME(20);        ///< Within `stop_ms`.
constexpr size_t ENDS_AT_ONCE = 500;
constexpr int64_t SAVE_MS = 500; ///< `save_s` of canopy-grid.
constexpr qint64 CPU = 16000;    ///< About 16 cores.
constexpr qint64 MEMORY = 32768; ///< 32 GB.

QString Q(const std::string &text)
{
	return QString::fromStdString(text);
}

std::string JobOf(const std::string &task)
{
	return task.substr(0, task.find('.'));
}

} // namespace

Minions::Minions(QtScheduler &scheduler, Record &record, ReviewStore &store)
		: scheduler(scheduler), record(record), store(store),
		  control(scheduler,
				  [this](const DeferredAnswerPtr &to, const CallerRequest &it) { this->ServeControl(to, it); })
{
}

void Minions::Add(const std::string &machine, const std::string &service, const std::string &zone,
				  const std::string &rack)
{
	Minion &minion = this->minions[machine];
	minion.machine = machine;
	minion.service = service;
	minion.zone = zone;
	minion.rack = rack;
	minion.listener = std::make_unique<SoakListener>(
			this->scheduler,
			[this, &minion](const DeferredAnswerPtr &to, const CallerRequest &it) { this->Serve(minion, to, it); });
}

bool Minions::Start()
{
	for (auto &[name, minion] : this->minions) {
		if (!minion.listener->Listen()) {
			return false;
		}
		minion.address = "127.0.0.1:" + std::to_string(minion.listener->Port());
		this->BeginLife(minion);
	}
	return this->control.Listen();
}

void Minions::BeginLife(Minion &minion)
{
	minion.id = "i-" + minion.machine + "-" + std::to_string(++minion.lives);
	minion.born = this->scheduler.Now() - Millis(10000);
	minion.fence = minion.writes = minion.last_end = 0;
	minion.lease_until = 0;
	minion.ended_runs.clear();
	minion.ends.clear();
	minion.down = false;
	this->Report(minion.machine, minion.id);
}

void Minions::Report(const std::string &machine, const std::string &id)
{
	Minion &it = this->minions.at(machine);
	if (it.down || it.id != id) {
		return;
	}
	this->store.Put("keyed.servers", id,
					BodyOf(QJsonObject{{"service", Q(it.service)},
									   {"address", Q(it.address)},
									   {"zone", Q(it.zone)},
									   {"version", "1"},
									   {"slots", 8},
									   {"state", "ready"},
									   {"call-seq", static_cast<qint64>(++it.writes)},
									   {"machine", Q(machine)},
									   {"capacity", QJsonObject{{"cpu", CPU}, {"mem-mb", MEMORY}, {"gpu", 0}}},
									   {"labels", QJsonArray{"a", Q(it.rack)}}}));
	this->scheduler.After(HEARTBEAT, [this, machine, id] { this->Report(machine, id); });
}

std::string Minions::CheckpointOf(const std::string &task, Millis since) const
{
	const auto job = this->jobs.find(JobOf(task));
	const int64_t saves = (this->scheduler.Now() - since).Value() / SAVE_MS;
	if (job == this->jobs.end() || job->second.checkpoint == 0 || saves == 0) {
		return {};
	}
	std::string text = task + "/" + std::to_string(saves) + "/";
	text.resize(std::max(job->second.checkpoint, text.size()), '0');
	return text;
}

void Minions::Finish(Minion &minion, const std::string &task, const std::string &how)
{
	const auto it = minion.running.find(task);
	if (it == minion.running.end()) {
		return;
	}
	this->scheduler.Cancel(it->second.timer);
	RunSeen &seen = this->runs[it->second.seen];
	seen.until = this->scheduler.Now();
	seen.how = how;
	minion.ended_runs[task] = std::max(minion.ended_runs[task], it->second.run);
	minion.ends.push_back(End{++minion.last_end, task, it->second.run, how, this->CheckpointOf(task, seen.from)});
	if (this->log_runs) {
		this->record.Write(minion.machine, "run " + std::to_string(it->second.run) + " of " + task + " ended " + how);
	}
	minion.running.erase(it);
}

void Minions::LoseAll(Minion &minion)
{
	for (auto &[task, run] : minion.running) {
		this->scheduler.Cancel(run.timer);
		this->runs[run.seen].until = this->scheduler.Now();
		this->runs[run.seen].how = "lost with its minion";
		if (this->log_runs) {
			this->record.Write(minion.machine,
							   "run " + std::to_string(run.run) + " of " + task + " lost with its minion");
		}
	}
	minion.running.clear();
	this->scheduler.Cancel(minion.lease_timer);
}

void Minions::Lose(const std::string &machine)
{
	Minion &minion = this->minions.at(machine);
	this->record.Write(machine, "the minion is lost for good");
	minion.down = true;
	this->LoseAll(minion);
	const Millis silent(HEARTBEAT.Value() * SILENT_REPORTS);
	this->scheduler.After(silent, [this, id = minion.id] { this->store.Put("keyed.servers", id, std::nullopt); });
}

void Minions::Extend(Minion &minion, int64_t until)
{
	const int64_t clock = this->ClockOf(minion);
	const int64_t end = std::min(until, clock + HOLD_MAX_MS);
	if (end <= minion.lease_until || end <= clock) {
		return;
	}
	minion.lease_until = end;
	this->scheduler.Cancel(minion.lease_timer);
	minion.lease_timer = this->scheduler.After(Millis(end - clock), [this, &minion] {
		while (!minion.running.empty()) {
			this->Finish(minion, std::string(minion.running.begin()->first), "lapsed");
		}
	});
}

void Minions::Serve(Minion &minion, const DeferredAnswerPtr &answer, const CallerRequest &request)
{
	if (minion.down) {
		answer->Disconnect();
		return;
	}
	const std::string *target = request.headers.Find("X-Target-Instance");
	if (target != nullptr && *target != minion.id) {
		answer->Answer(421, std::string("{}"));
		return;
	}
	const QJsonObject json = JsonOf(request.body);
	const auto fence = static_cast<uint64_t>(json["fencing-token"].toInteger());
	const auto clock = static_cast<qint64>(this->ClockOf(minion));
	if (fence < minion.fence) {
		answer->Answer(409, QJsonObject{{"clock-ms", clock}, {"reason", "fence"}});
		return;
	}
	minion.fence = fence;
	if (request.target == "/v1/run-start") {
		this->QueueStart(minion, answer, json);
	} else if (request.target == "/v1/run-stop") {
		const std::string task = json["task"].toString().toStdString();
		const auto run = static_cast<uint32_t>(json["run-id"].toInteger());
		minion.ended_runs[task] = std::max(minion.ended_runs[task], run);
		const auto it = minion.running.find(task);
		if (it != minion.running.end() && it->second.run <= run && !std::exchange(it->second.stopping, true)) {
			this->scheduler.Cancel(it->second.timer);
			it->second.timer =
					this->scheduler.After(STOP_TIME, [this, &minion, task] { this->Finish(minion, task, "stopped"); });
		}
		answer->Answer(200, QJsonObject{{"clock-ms", clock}});
	} else if (request.target == "/v1/hold") {
		if (json.contains("expiry-ms")) {
			this->Extend(minion, json["expiry-ms"].toInteger());
		}
		this->ServeHold(minion.machine, minion.id, answer, json,
						this->scheduler.Now() + Millis(json["wait-ms"].toInteger()), true);
	} else {
		answer->Answer(200, QJsonObject{{"clock-ms", clock}}); /* /v1/pace: all run at full pace. */
	}
}

void Minions::QueueStart(Minion &minion, const DeferredAnswerPtr &answer, const QJsonObject &json)
{
	if (this->start_time == Millis(0)) {
		this->ServeStart(minion, answer, json);
		return;
	}
	const Millis now = this->scheduler.Now();
	minion.busy_until = std::max(minion.busy_until, now) + this->start_time;
	this->scheduler.After(minion.busy_until - now, [this, &minion, id = minion.id, answer, json] {
		if (minion.down || minion.id != id) {
			answer->Disconnect();
		} else {
			this->ServeStart(minion, answer, json);
		}
	});
}

void Minions::ServeStart(Minion &minion, const DeferredAnswerPtr &answer, const QJsonObject &json)
{
	const std::string task = json["task"].toString().toStdString();
	const auto run = static_cast<uint32_t>(json["run-id"].toInteger());
	const int64_t expiry = json["expiry-ms"].toInteger();
	const auto clock = static_cast<qint64>(this->ClockOf(minion));
	const auto refuse = [&](const char *reason) {
		answer->Answer(409, QJsonObject{{"clock-ms", clock}, {"reason", reason}});
	};
	if (const auto it = minion.running.find(task); it != minion.running.end() && it->second.run == run) {
		answer->Answer(200, QJsonObject{{"clock-ms", clock}});
		return;
	}
	if (const auto it = minion.ended_runs.find(task); it != minion.ended_runs.end() && run <= it->second) {
		this->Extend(minion, expiry);
		refuse("old");
		return;
	}
	if (expiry <= clock) {
		refuse("late");
		return;
	}
	const std::string job = JobOf(task);
	const auto known = this->jobs.find(job);
	const TaskNeeds needs = known == this->jobs.end() ? TaskNeeds{} : known->second;
	int64_t cpu = needs.cpu;
	int64_t memory = needs.memory;
	for (const auto &[other, unused] : minion.running) {
		const auto it = this->jobs.find(JobOf(other));
		cpu += it == this->jobs.end() ? 0 : it->second.cpu;
		memory += it == this->jobs.end() ? 0 : it->second.memory;
	}
	this->Extend(minion, expiry);
	if (cpu > CPU || memory > MEMORY) {
		refuse("room");
		return;
	}
	Run started{run, TimerId(), this->runs.size(), false};
	this->runs.push_back(RunSeen{task, run, minion.machine, minion.service, this->scheduler.Now(), std::nullopt, ""});
	if (needs.run_time > Millis(0)) {
		const std::string how = run <= needs.fail_first ? "failed" : "done";
		started.timer =
				this->scheduler.After(needs.run_time, [this, &minion, task, how] { this->Finish(minion, task, how); });
	}
	minion.running[task] = started;
	if (this->log_runs) {
		this->record.Write(minion.machine,
						   "(" + minion.service + ") starts run " + std::to_string(run) + " of " + task);
	}
	answer->Answer(200, QJsonObject{{"clock-ms", clock}});
	if (this->on_start) {
		this->on_start(this->runs.back(), minion.id);
	}
}

void Minions::ServeHold(const std::string &machine, const std::string &id, const DeferredAnswerPtr &answer,
						const QJsonObject &json, Millis until, bool arrived)
{
	Minion &minion = this->minions.at(machine);
	if (!answer->IsPending()) {
		return;
	}
	if (minion.down || minion.id != id) {
		answer->Disconnect();
		return;
	}
	const auto clock = static_cast<qint64>(this->ClockOf(minion));
	const auto fence = static_cast<uint64_t>(json["fencing-token"].toInteger());
	if (fence < minion.fence) {
		answer->Answer(409, QJsonObject{{"clock-ms", clock}, {"reason", "fence"}});
		return;
	}
	if (arrived) {
		const auto seen = static_cast<uint64_t>(json["last-seen"].toInteger());
		std::erase_if(minion.ends, [seen](const End &it) { return it.number <= seen; });
	}
	if (minion.ends.empty() && this->scheduler.Now() < until) {
		this->scheduler.After(POLL_INTERVAL, [this, machine, id, answer, json, until] {
			this->ServeHold(machine, id, answer, json, until, false);
		});
		return;
	}
	QJsonArray running;
	for (const auto &[task, run] : minion.running) {
		running.append(QJsonArray{Q(task), static_cast<qint64>(run.run),
								  Q(this->CheckpointOf(task, this->runs[run.seen].from)), 100, 0});
	}
	QJsonArray finished;
	for (size_t n = 0; n < std::min(minion.ends.size(), ENDS_AT_ONCE); n++) {
		const End &it = minion.ends[n];
		finished.append(QJsonArray{static_cast<qint64>(it.number), Q(it.task), static_cast<qint64>(it.run), Q(it.how),
								   Q(it.saved)});
	}
	answer->Answer(200, QJsonObject{{"clock-ms", clock}, {"running", running}, {"finished", finished}});
}

void Minions::ServeControl(const DeferredAnswerPtr &answer, const CallerRequest &request)
{
	if (PathOf(request.target) != "/v1/machines") {
		/* There are no waves here, and each pool has machines of its own: PROTOCOL.md gives a 400 for such a move. */
		answer->Answer(400, std::string("{}"));
		return;
	}
	QJsonArray rows;
	for (const auto &[name, it] : this->minions) {
		rows.append(QJsonObject{{"machine", Q(name)},
								{"pool", Q(it.service)},
								{"state", it.down ? "down" : "up"},
								{"zone", Q(it.zone)},
								{"labels", QJsonArray{"a", Q(it.rack)}},
								{"capacity", QJsonObject{{"cpu", CPU}, {"mem-mb", MEMORY}, {"gpu", 0}}},
								{"id", Q(it.down ? std::string() : it.id)}});
	}
	answer->Answer(200, QJsonObject{{"machines", rows}});
}

size_t Minions::Running(const std::string &job, const std::string &service) const
{
	size_t n = 0;
	for (const auto &[name, it] : this->minions) {
		if (service.empty() || it.service == service) {
			n += static_cast<size_t>(
					std::ranges::count_if(it.running, [&job](const auto &run) { return JobOf(run.first) == job; }));
		}
	}
	return n;
}

std::vector<RunSeen> Minions::RunsOf(const std::string &job) const
{
	std::vector<RunSeen> out;
	std::ranges::copy_if(this->runs, std::back_inserter(out),
						 [&job](const RunSeen &it) { return JobOf(it.task) == job; });
	return out;
}

std::set<std::string> Minions::RunTwice(const std::string &job) const
{
	std::set<std::string> out;
	const std::vector<RunSeen> seen = this->RunsOf(job);
	for (size_t a = 0; a < seen.size(); a++) {
		for (size_t b = a + 1; b < seen.size(); b++) {
			const bool apart = (seen[a].until && *seen[a].until <= seen[b].from) ||
							   (seen[b].until && *seen[b].until <= seen[a].from);
			if (seen[a].task == seen[b].task && !apart) {
				out.insert(seen[a].task);
			}
		}
	}
	return out;
}
