/** @file scenarios.cpp The plays of the review. */
#include "scenarios.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <memory>

namespace {

/** @return Body of a job with one step. */
std::string JobBody(int64_t count, int64_t cpu, int64_t memory, int64_t estimate, bool lasting = false)
{
	QJsonObject step{{"count", static_cast<qint64>(count)},
					 {"cpu", static_cast<qint64>(cpu)},
					 {"mem-mb", static_cast<qint64>(memory)},
					 {"est-runtime-ms", static_cast<qint64>(estimate)}};
	if (lasting) {
		step["long-running"] = true;
	}
	return BodyOf(QJsonObject{{"spec", "recalculate"}, {"steps", QJsonArray{step}}});
}

std::string StateOf(const HttpReply &reply)
{
	return JsonOf(reply.body)["state"].toString().toStdString();
}

/** Asks a job's state at each node in turn. @param done Called with the answers. */
void AskAll(World &world, const std::string &path, size_t node, std::vector<HttpReply> answers,
			const std::function<void(const std::vector<HttpReply> &)> &done)
{
	if (node == World::NODES) {
		done(answers);
		return;
	}
	world.Call(node, CallSpec{"GET", path, {}, Millis(3000)},
			   [&world, path, node, answers, done](const HttpReply &reply) mutable {
				   answers.push_back(reply);
				   AskAll(world, path, node + 1, answers, done);
			   });
}

/** A queue is sent to another service while one of its jobs runs: by one config, or by two of which the first removes
 * the queue and the second adds it again. */
class RouteMoved {
public:
	RouteMoved(World &world, bool removed_first) : world(world), removed_first(removed_first) {}

	void Play()
	{
		this->world.minions.jobs[JOB] = TaskNeeds{500, 256, Millis(0)};
		this->world.Start([this] { this->HandIn(); });
	}

private:
	static constexpr const char *JOB = "5c0e7a21d94b36f8";
	static constexpr const char *PATH = "/calc/5c0e7a21d94b36f8";
	World &world;
	bool removed_first;
	std::string body = JobBody(4, 500, 256, 20000, true);
	std::vector<std::string> broken;

	void HandIn()
	{
		this->world.HandIn(0, CallSpec{"POST", PATH, this->body}, 4, [this](const HttpReply &reply) {
			if (reply.status != 200) {
				this->world.End(2, "the job was not accepted");
				return;
			}
			this->world.After(Millis(3500), [this] { this->Change(); });
		});
	}

	void Change()
	{
		if (this->world.minions.Running(JOB, "calc") != 4) {
			this->world.End(2, "the job does not run before the change");
			return;
		}
		if (!this->removed_first) {
			this->Add();
			return;
		}
		this->world.Publish({{"grid", "grid", 600}});
		this->world.After(bounds::CONFIG_APPLY + bounds::CONTACT, [this] { this->Add(); });
	}

	void Add()
	{
		/* Without the disruption, the queue keeps its service. */
		this->world.Publish({{"calc", this->world.options.trouble ? "grid" : "calc", 700}, {"grid", "grid", 600}});
		this->world.After(bounds::CONFIG_APPLY + bounds::CONTACT, [this] { this->Ask(); });
	}

	void Ask()
	{
		AskAll(this->world, PATH, 0, {}, [this](const std::vector<HttpReply> &answers) {
			const auto gone = std::ranges::count(answers, 410, &HttpReply::status);
			if (gone > 0) {
				this->broken.push_back("LOST: " + std::to_string(gone) + " of 3 nodes answer 410 for an accepted job");
			}
			this->Repeat();
		});
	}

	void Repeat()
	{
		/* The client sends the same id again, seconds after its 2xx. */
		this->world.HandIn(1, CallSpec{"POST", PATH, this->body}, 4, [this](const HttpReply &) {
			this->world.After(Millis(4000), [this] {
				const size_t twice = this->world.minions.RunTwice(JOB).size();
				if (twice > 0) {
					this->broken.push_back("TWICE: " + std::to_string(twice) + " of 4 tasks have two runs at once");
				}
				this->Cancel();
			});
		});
	}

	void Cancel()
	{
		this->world.Call(2, CallSpec{"DELETE", PATH, {}}, [this](const HttpReply &reply) {
			const bool acknowledged = reply.status == 200 || reply.status == 410;
			this->world.After(bounds::CANCEL + bounds::STOP + Millis(1000), [this, acknowledged] {
				const size_t left = this->world.minions.Running(JOB, "");
				if (acknowledged && left > 0) {
					this->broken.push_back("UNASKED: " + std::to_string(left) +
										   " tasks run on after the acknowledged cancelling");
				}
				this->Conclude();
			});
		});
	}

	void Conclude()
	{
		std::string text;
		for (const std::string &it : this->broken) {
			text += (text.empty() ? "" : "; ") + it;
		}
		this->world.End(this->broken.empty() ? 0 : 1,
						text.empty() ? "the job was known, ran once and ended when it was cancelled" : text);
	}
};

/** A job whose record grows beyond what the store takes comes among small jobs of the same queue: a timed one of many
 * times, or one with long checkpoints. */
class LargeJob {
public:
	LargeJob(World &world, bool timed) : world(world), timed(timed) {}

	void Play()
	{
		this->world.minions.log_runs = false;
		this->world.Start([this] { this->Next(); });
	}

private:
	static constexpr int64_t TASKS = 12;   ///< Tasks of each time of the timed job.
	static constexpr int64_t TIMES = 1600; ///< Its times; TASKS x TIMES is less than the 20,000 that a node accepts.
	static constexpr int64_t TIMES_WITHOUT = 16; ///< Its times without the disruption.
	static constexpr int64_t INTERVAL_MS = 10;   ///< Time between two times. In service this would be a minute.
	static constexpr int STEPS = 5;              ///< Steps of the job with checkpoints: the most on the sheet.
	static constexpr int64_t WIDTH = 32;         ///< Tasks of each of its steps: the most on the sheet.
	static constexpr size_t CHECKPOINT = 2000;   ///< Length of its checkpoints.
	static constexpr size_t CHECKPOINT_WITHOUT = 32;
	static constexpr const char *LARGE = "b000000000000001";
	static constexpr int SMALL_TIMED = 36; ///< Small jobs beside the timed one.
	static constexpr int SMALL = 16;       ///< Small jobs beside the one with checkpoints.
	static constexpr int LARGE_AFTER = 4;  ///< Small jobs before the large one.
	World &world;
	bool timed;
	std::map<std::string, bool> small; ///< Small jobs by id: whether accepted.
	std::map<std::string, std::string> states;
	int sent = 0;

	static std::string IdOf(int number)
	{
		const std::string digits = std::to_string(number);
		return "a0000000000000" + std::string(2 - digits.size(), '0') + digits;
	}

	std::string TimedBody()
	{
		this->world.minions.jobs[LARGE] = TaskNeeds{20, 4, Millis(100)};
		const int64_t times = this->world.options.trouble ? TIMES : TIMES_WITHOUT;
		const QJsonObject step{
				{"count", static_cast<qint64>(TASKS)}, {"cpu", 20}, {"mem-mb", 4}, {"est-runtime-ms", 100}};
		return BodyOf(QJsonObject{{"spec", "recalculate"},
								  {"steps", QJsonArray{step}},
								  {"repeat-count", static_cast<qint64>(times)},
								  {"start-delay-ms", static_cast<qint64>(this->world.scheduler.WallNow().Value())},
								  {"interval-ms", static_cast<qint64>(INTERVAL_MS)}});
	}

	std::string CheckpointBody()
	{
		TaskNeeds needs{400, 300, Millis(4000)};
		needs.checkpoint = this->world.options.trouble ? CHECKPOINT : CHECKPOINT_WITHOUT;
		this->world.minions.jobs[LARGE] = needs;
		QJsonArray steps;
		for (int n = 0; n < STEPS; n++) {
			steps.append(QJsonObject{{"count", static_cast<qint64>(WIDTH)},
									 {"cpu", 400},
									 {"mem-mb", 300},
									 {"est-runtime-ms", 4000},
									 {"checkpointing", true}});
		}
		return BodyOf(QJsonObject{{"spec", "recalculate"}, {"steps", steps}});
	}

	void HandInLarge()
	{
		const std::string body = this->timed ? this->TimedBody() : this->CheckpointBody();
		this->world.HandIn(0, CallSpec{"POST", std::string("/calc/") + LARGE, body}, 4, [](const HttpReply &) {});
	}

	void Next()
	{
		if (this->sent == LARGE_AFTER) {
			this->HandInLarge();
		}
		if (this->sent == (this->timed ? SMALL_TIMED : SMALL)) {
			this->world.After(bounds::FINISH, [this] { this->Ask(0); });
			return;
		}
		const std::string id = IdOf(this->sent++);
		this->world.minions.jobs[id] = TaskNeeds{880, 1300, Millis(1000)};
		this->world.HandIn(static_cast<size_t>(this->sent),
						   CallSpec{"POST", "/calc/" + id, JobBody(6, 880, 1300, 1000)}, 4,
						   [this, id](const HttpReply &reply) { this->small[id] = reply.status == 200; });
		this->world.After(Millis(1000), [this] { this->Next(); });
	}

	/** Asks for each accepted job at all nodes. */
	void Ask(size_t number)
	{
		std::vector<std::string> accepted;
		for (const auto &[id, yes] : this->small) {
			if (yes) {
				accepted.push_back(id);
			}
		}
		if (number == accepted.size()) {
			this->Conclude(accepted);
			return;
		}
		AskAll(this->world, "/calc/" + accepted[number], 0, {},
			   [this, number, id = accepted[number]](const std::vector<HttpReply> &answers) {
				   for (const HttpReply &it : answers) {
					   if (it.status == 200) {
						   this->states[id] = StateOf(it);
					   }
				   }
				   this->Ask(number + 1);
			   });
	}

	void Conclude(const std::vector<std::string> &accepted)
	{
		size_t unfinished = 0;
		size_t idle = 0;
		for (const std::string &id : accepted) {
			const auto it = this->states.find(id);
			unfinished += it == this->states.end() || it->second != "completed" ? 1 : 0;
			idle += this->world.minions.RunsOf(id).empty() ? 1 : 0;
		}
		const std::string text = std::to_string(accepted.size()) + " small jobs accepted; 14 s after the traffic " +
								 std::to_string(unfinished) + " of them are not shown as completed, " +
								 std::to_string(idle) + " have not had a single start; runs of the large job " +
								 std::to_string(this->world.minions.RunsOf(LARGE).size()) +
								 "; appends refused by the store " + std::to_string(this->world.store.refused_appends);
		this->world.End(idle > 0 ? 1 : 0, (idle > 0 ? "LOST: " : "") + text);
	}
};

/** A minion is lost for good while it answers start orders, in steady traffic. */
class MinionLost {
public:
	explicit MinionLost(World &world) : world(world) {}

	void Play()
	{
		this->world.minions.start_time = START_TIME;
		this->world.minions.on_start = [this](const RunSeen &run, const std::string &) { this->OnStart(run); };
		this->world.Start([this] {
			this->begun_at = this->world.scheduler.Now();
			this->Next();
		});
	}

private:
	static constexpr Millis START_TIME = Millis(10);  ///< Time that a minion takes for a start order.
	static constexpr Millis LOST_WITHIN = Millis(15); ///< Time from its first start of a job to the loss of the minion.
	static constexpr Millis LOST_AFTER = Millis(6000);
	static constexpr Millis TRAFFIC = Millis(9000);
	static constexpr Millis INTERVAL = Millis(250);
	World &world;
	Millis begun_at;
	std::optional<Millis> lost_at;
	std::map<std::string, Millis> accepted; ///< When each job was accepted.
	int sent = 0;

	void OnStart(const RunSeen &run)
	{
		const Millis now = this->world.scheduler.Now();
		if (!this->world.options.trouble || this->lost_at || now - this->begun_at < LOST_AFTER ||
			run.service != "calc") {
			return;
		}
		this->lost_at = now + LOST_WITHIN;
		this->world.After(LOST_WITHIN, [this, machine = run.machine] { this->world.minions.Lose(machine); });
	}

	void Next()
	{
		if (this->world.scheduler.Now() - this->begun_at >= TRAFFIC) {
			this->world.After(bounds::FINISH + Millis(4000), [this] { this->Ask(); });
			return;
		}
		const std::string digits = std::to_string(100 + this->sent++); /* Three digits. */
		const std::string id = "a000000000000" + digits;
		this->world.minions.jobs[id] = TaskNeeds{880, 1300, Millis(1000)};
		this->world.HandIn(static_cast<size_t>(this->sent),
						   CallSpec{"POST", "/calc/" + id, JobBody(6, 880, 1300, 1000)}, 4,
						   [this, id](const HttpReply &reply) {
							   if (reply.status == 200) {
								   this->accepted[id] = this->world.scheduler.Now();
							   }
						   });
		this->world.After(INTERVAL, [this] { this->Next(); });
	}

	/** @return Longest time after `from` in which an accepted job ran nothing before its last task ended. */
	[[nodiscard]] Millis LongestGap(const std::string &job, Millis from) const
	{
		std::vector<RunSeen> runs = this->world.minions.RunsOf(job);
		std::ranges::sort(runs, {}, &RunSeen::from);
		Millis covered = std::max(from, this->accepted.at(job));
		Millis longest(0);
		for (const RunSeen &it : runs) {
			if (it.from > covered) {
				longest = std::max(longest, it.from - covered);
			}
			covered = std::max(covered, it.until.value_or(this->world.scheduler.Now()));
		}
		return longest;
	}

	void Ask()
	{
		size_t idle = 0;
		Millis longest(0);
		std::string example;
		/* The rule asks for 3 s, with them and the 4 s before them calm, of machines that are in touch. */
		const Millis from = this->lost_at.value_or(this->begun_at) + bounds::CONTACT + Millis(4000);
		for (const auto &[id, at] : this->accepted) {
			const Millis gap = this->LongestGap(id, from);
			idle += gap >= Millis(3000) ? 1 : 0;
			if (gap > longest) {
				longest = gap;
				example = id;
			}
		}
		const std::string text = std::to_string(this->accepted.size()) + " jobs accepted; " + std::to_string(idle) +
								 " of them ran nothing for 3 s in calm time; the longest " +
								 std::to_string(longest.Value()) + " ms after the first 7 s, job " +
								 (example.empty() ? "-" : example);
		if (this->world.options.trouble && !this->lost_at) {
			this->world.End(2, "no minion was lost");
			return;
		}
		this->world.End(idle > 0 ? 1 : 0, (idle > 0 ? "LOST: " : "") + text);
	}
};

/** A queue is removed and added again, and all nodes are stopped and started in turn meanwhile. A task of a job of this
 * queue fails once. */
class RouteAway {
public:
	explicit RouteAway(World &world) : world(world) {}

	void Play()
	{
		TaskNeeds needs{880, 1300, Millis(30000)};
		needs.fail_first = 1;
		this->world.minions.jobs[JOB] = needs;
		this->world.Start([this] {
			this->world.HandIn(0, CallSpec{"POST", PATH, JobBody(1, 880, 1300, 30000)}, 4,
							   [this](const HttpReply &reply) {
								   if (reply.status != 200) {
									   this->world.End(2, "the job was not accepted");
									   return;
								   }
								   this->world.After(Millis(2000), [this] { this->Remove(); });
							   });
		});
	}

private:
	static constexpr const char *JOB = "5c0e7a21d94b36f8";
	static constexpr const char *PATH = "/calc/5c0e7a21d94b36f8";
	World &world;

	void Remove()
	{
		if (this->world.options.trouble) {
			this->world.Publish({{"grid", "grid", 600}});
		} else {
			this->world.Publish({{"calc", "calc", 600}, {"grid", "grid", 600}});
		}
		this->world.After(bounds::CONFIG_APPLY + bounds::CONTACT, [this] { this->Roll(0); });
	}

	void Roll(size_t node)
	{
		if (node == World::NODES) {
			this->AwaitFailure();
			return;
		}
		this->world.Restart(node,
							[this, node] { this->world.After(Millis(2000), [this, node] { this->Roll(node + 1); }); });
	}

	void AwaitFailure()
	{
		const std::vector<RunSeen> runs = this->world.minions.RunsOf(JOB);
		if (!std::ranges::any_of(runs, [](const RunSeen &it) { return it.how == "failed"; })) {
			this->world.After(Millis(200), [this] { this->AwaitFailure(); });
			return;
		}
		this->world.After(Millis(2000), [this] {
			this->world.Publish({{"calc", "calc", 700}, {"grid", "grid", 600}});
			this->world.After(bounds::CONFIG_APPLY + bounds::CONTACT + Millis(30000), [this] { this->Ask(); });
		});
	}

	void Ask()
	{
		AskAll(this->world, PATH, 0, {}, [this](const std::vector<HttpReply> &answers) {
			const auto failed =
					std::ranges::count_if(answers, [](const HttpReply &it) { return StateOf(it) == "failed"; });
			const auto done =
					std::ranges::count_if(answers, [](const HttpReply &it) { return StateOf(it) == "completed"; });
			const std::vector<RunSeen> runs = this->world.minions.RunsOf(JOB);
			const auto bad = std::ranges::count(runs, std::string("failed"), &RunSeen::how);
			const std::string text = "shown as failed by " + std::to_string(failed) + " and as completed by " +
									 std::to_string(done) + " of 3 nodes; runs " + std::to_string(runs.size()) +
									 ", of which " + std::to_string(bad) + " ended `failed`; max-attempts 3";
			this->world.End(failed > 0 ? 1 : done == 3 ? 0 : 2, (failed > 0 ? "LOST: " : "") + text);
		});
	}
};

template <class Scenario, class... More>
void Run(World &world, More... more)
{
	static std::unique_ptr<Scenario> scenario;
	scenario = std::make_unique<Scenario>(world, more...);
	scenario->Play();
}

} // namespace

bool Play(World &world, const std::string &name)
{
	if (name == "route-moved") {
		Run<RouteMoved>(world, false);
	} else if (name == "route-removed-and-added") {
		Run<RouteMoved>(world, true);
	} else if (name == "timed-job") {
		Run<LargeJob>(world, true);
	} else if (name == "checkpoint-job") {
		Run<LargeJob>(world, false);
	} else if (name == "route-away") {
		Run<RouteAway>(world);
	} else if (name == "minion-lost") {
		Run<MinionLost>(world);
	} else {
		return false;
	}
	return true;
}
