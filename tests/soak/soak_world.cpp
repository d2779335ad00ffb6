/** @file soak_world.cpp A randomized test with real processes. */
#include "soak_world.h"

#include <QJsonArray>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>

namespace {

constexpr uint32_t PARTITIONS = 12;               ///< Partitions of each topic.
constexpr Millis CAPACITY_CHANGE_INTERVAL(700);   ///< Interval of changes of a box's capacity.
constexpr Millis CRASH_INTERVAL(1900);            ///< Interval of crashes.
constexpr uint32_t MAX_CRASHES_AT_ONCE = 3;       ///< Maximum number of boxes that crash at a time.
constexpr int64_t RESTART_MIN_MS = 50;            ///< Least time from a crash to the restart.
constexpr uint32_t RESTART_SHORT_SPREAD_MS = 300; ///< Largest addition for half of the crashes, to go unnoticed.
constexpr uint32_t RESTART_LONG_SPREAD_MS = 4400; ///< Largest addition for the other half of the crashes.
constexpr uint32_t NEW_ID_ONE_IN = 4;             ///< One restart of this many is under a new id.
constexpr Millis CRASH_RESTART_DELAY(1200);       ///< Time from a crash caused by a task to the restart.
constexpr uint32_t CRASH_AT_START_ONE_IN = 40;    ///< One start order of this many crashes its box.
constexpr uint32_t CRASH_AFTER_START_MS = 20;     ///< Longest time from the order to the crash.
constexpr Millis NEVER(3600000);                  ///< Time from a crash to the restart of a box that is lost for good.
constexpr Millis WARM_UP(3000);                   ///< Time for nodes to start and claim their partitions.
constexpr Millis FAULT_MIN(300);                  ///< Shortest fault.
constexpr Millis FAULT_MAX(4500);                 ///< Longest fault.
constexpr Millis STATE_POLL_INTERVAL(500);        ///< Interval of state queries at the end.
constexpr Millis SETTLE_TIMEOUT(45000); ///< Time for all jobs to reach their state: two leases and two owner changes.
constexpr size_t MAX_VALID_KEYS = 2;    ///< Number of API keys that are valid at a time.
constexpr int64_t ACCOUNT_MAXIMUM_HIGH = 200000; ///< Account maximum in thousandths of a core, above all boxes.
constexpr int64_t ACCOUNT_MAXIMUM_LOW = 100000;  ///< Account maximum in thousandths of a core, lower but sufficient.
constexpr Millis MOVE_INTERVAL_MIN(400);         ///< Shortest time between two changes of a route's service.
constexpr Millis MOVE_INTERVAL_MAX(4000);        ///< Longest time between two changes of a route's service.
constexpr Millis CONFIG_TIMEOUT(3000);           ///< Time until a configuration is in force on all nodes.
constexpr Millis STOP_TIMEOUT(7000);             ///< Time limit of a planned stop.
constexpr const char *LARGE_NODE_CPU = "0.5";    ///< Cores of each of the first LARGE_NODES nodes.
constexpr const char *SMALL_NODE_CPU = "0.2";    ///< Cores of each other node.
constexpr int LARGE_NODES = 3;                   ///< Number of nodes with LARGE_NODE_CPU.

const Resources REDUCED_CAPACITY{2000, 8000, 0}; ///< Capacity of a box after a reduction.

} // namespace

SoakWorld::SoakWorld(const SoakOptions &options)
		: options(options), random(options.seed), capacity_random(options.seed), crash_random(options.seed),
		  loss_random(options.seed), roaming_random(options.seed), store(this->scheduler, PARTITIONS, options.seed),
		  boxes(this->scheduler, options.seed), fleet(this->scheduler, this->store, this->boxes),
		  evacuations(this->scheduler, this->store.store, this->boxes.site, options.seed),
		  caller(this->scheduler, DialLimits{Millis(500), Millis(60000), 8}),
		  lasting(this->scheduler, this->boxes.site, this->jobs, [this] { return this->NodesUp(); })
{
}

uint32_t SoakWorld::RandomBelow(uint32_t below)
{
	return static_cast<uint32_t>(this->random() % below);
}

Millis SoakWorld::RandomMillis(int64_t low, int64_t high)
{
	return Millis(low + static_cast<int64_t>(this->RandomBelow(static_cast<uint32_t>(high - low + 1))));
}

bool SoakWorld::Start(std::function<void()> done)
{
	this->done = std::move(done);
	if (!this->store.Start() || !this->boxes.Start()) {
		return false;
	}
	this->boxes.site.log = &this->log;
	this->boxes.site.checks_capacity = false;
	this->boxes.site.restart_delay = CRASH_RESTART_DELAY;
	this->boxes.on_start = [this](const BoxName &box) { this->CrashAtStart(box); };
	this->boxes.on_restart = [this] { this->fleet.Publish(); };
	this->fleet.Add(this->options.boxes);
	this->PublishConfig(true);
	this->fleet.Publish();
	this->DefineFaults();
	const SoakEnvironment environment{this->options.program, this->options.folder,      this->options.first_port,
									  this->store.Port(),    this->boxes.ControlPort(), PARTITIONS};
	for (int n = 0; n < this->options.nodes; n++) {
		this->nodes.push_back(std::make_unique<SoakNode>(this->scheduler, environment, n,
														 n < LARGE_NODES ? LARGE_NODE_CPU : SMALL_NODE_CPU));
		this->nodes.back()->Start();
	}
	this->scheduler.After(WARM_UP, [this] {
		this->traffic_started_at = this->scheduler.Now();
		this->SubmitNextJob();
		this->lasting.Start();
		if (!this->options.calm) {
			this->InjectNextFault();
			this->ChangeCapacity();
			this->CrashBoxes();
			this->MoveRoute();
			this->evacuations.Start();
		}
		this->scheduler.After(this->options.faults_for, [this] { this->EndFaults(); });
	});
	return true;
}

void SoakWorld::PublishConfig(bool with_extra)
{
	this->version += 1 + this->RandomBelow(3);
	/* Each configuration adds a key and revokes the oldest. */
	this->keys.push_back("key-" + std::to_string(this->version));
	if (this->keys.size() > MAX_VALID_KEYS) {
		this->revoked_key = this->keys.front();
		this->keys.pop_front();
	}
	this->AppendConfig(with_extra);
}

QJsonArray SoakWorld::RoutesJson(bool with_extra) const
{
	std::map<std::string, std::string> services_by_route{{"calc", "calc"}, {"grid", "grid"}};
	if (with_extra) {
		services_by_route["extra"] = "calc";
	}
	if (!this->roaming_service.empty()) {
		services_by_route[ROAMING_ROUTE] = this->roaming_service;
	}
	QJsonArray routes;
	for (const auto &[name, service] : services_by_route) {
		routes.append(QJsonObject{{"name", QString::fromStdString(name)},
								  {"host", "soak"},
								  {"path-prefix", "/" + QString::fromStdString(name) + "/"},
								  {"service", QString::fromStdString(service)},
								  {"auth-exempt", name != "grid"},
								  {"priority", 0},
								  {"max-attempts", 3},
								  {"stretch", 1.6},
								  {"target-latency-ms", 600}});
	}
	return routes;
}

void SoakWorld::AppendConfig(bool with_extra)
{
	QJsonArray services;
	for (const char *name : {"calc", "grid"}) {
		services.append(QJsonObject{{"name", name}, {"admission-check", true}});
	}
	QJsonArray keys;
	std::ranges::for_each(this->keys, [&keys](const std::string &it) { keys.append(QString::fromStdString(it)); });
	/* The account's maximum goes by whether the version of the newest key is odd or even. */
	const int64_t cores = this->keys.back().back() % 2 == 0 ? ACCOUNT_MAXIMUM_LOW : ACCOUNT_MAXIMUM_HIGH;
	const QJsonArray accounts{QJsonObject{{"name", "soak"},
										  {"api-keys", keys},
										  {"weight", 10},
										  {"maximum", QJsonObject{{"cpu", static_cast<qint64>(cores)}}}}};
	const QJsonObject json{{"version", static_cast<qint64>(this->version)},
						   {"routes", this->RoutesJson(with_extra)},
						   {"services", services},
						   {"tenants", accounts}};
	this->store.store.Append(PartitionId{"keyed.op", 0}, {KeyedRecord{"config", BodyOf(json)}}, AppendCondition{});
}

void SoakWorld::MoveRoute()
{
	if (this->load_ended) {
		return;
	}
	const std::array<std::string, 3> services{"calc", "grid", ""};
	this->roaming_service = services[this->roaming_random() % services.size()];
	this->version++;
	this->AppendConfig(true);
	const auto spread = static_cast<uint64_t>((MOVE_INTERVAL_MAX - MOVE_INTERVAL_MIN).Value());
	this->scheduler.After(MOVE_INTERVAL_MIN + Millis(static_cast<int64_t>(this->roaming_random() % spread)),
						  [this] { this->MoveRoute(); });
}

void SoakWorld::InjectNextFault()
{
	if (this->load_ended) {
		return;
	}
	const Fault &kind = this->fault_kinds[this->RandomBelow(static_cast<uint32_t>(this->fault_kinds.size()))];
	this->faults++;
	std::cout << "fault at_ms=" << (this->scheduler.Now() - this->traffic_started_at).Value() << " kind=" << kind.name
			  << '\n';
	const Millis span = this->RandomMillis(FAULT_MIN.Value(), FAULT_MAX.Value());
	if (kind.cuts_store) {
		this->evacuations.NoteOutage(this->scheduler.Now() + span);
	}
	this->lasting.NoteFault(this->scheduler.Now() + span);
	if (const std::function<void()> end = kind.begin(); end) {
		this->scheduler.After(span, end);
	}
	this->scheduler.After(this->RandomMillis(100, 2500), [this] { this->InjectNextFault(); });
}

void SoakWorld::EndFaults()
{
	this->load_ended = true;
	this->evacuations.End();
	this->lasting.NoteFault(this->scheduler.Now());
	this->roaming_service = "grid"; /* Jobs are queried until they have ended, so their route stays from now on. */
	this->version++;
	this->AppendConfig(true);
	/* No fault is begun any more; the active ones end within FAULT_MAX. */
	this->scheduler.After(FAULT_MAX, [this] {
		this->LoseBox();
		this->faults_ended_at = this->scheduler.Now();
		this->WaitUntilSettled();
	});
}

bool SoakWorld::HasExpectedState(const SoakJob &job) const
{
	/* A cancellation may come after the job's end, and a job may fail once two boxes have crashed while running a task.
	 */
	return job.state == job.expected || (job.cancelled && job.state == "cancelled") ||
		   (job.state == "failed" && this->boxes.site.MayFail(job.spec.id));
}

void SoakWorld::ChangeCapacity()
{
	if (this->load_ended) {
		std::ranges::for_each(this->boxes.site.Reports(),
							  [this](const BoxReport &it) { this->boxes.site.Resize(it.box, FULL_CAPACITY); });
		return;
	}
	const std::vector<BoxReport> all = this->boxes.site.Reports();
	const BoxReport &box = all[this->capacity_random() % all.size()];
	this->boxes.site.Resize(box.box, box.capacity == FULL_CAPACITY ? REDUCED_CAPACITY : FULL_CAPACITY);
	this->scheduler.After(CAPACITY_CHANGE_INTERVAL, [this] { this->ChangeCapacity(); });
}

void SoakWorld::CrashBoxes()
{
	if (this->load_ended) {
		return;
	}
	/* Most boxes restart under their old id. Half of them restart so soon that their absence may go unnoticed,
	 * the others up to RESTART_LONG_SPREAD_MS later. */
	BoxSite &site = this->boxes.site;
	const std::vector<BoxReport> all = site.Reports();
	const Millis default_delay = site.restart_delay;
	for (uint32_t n = 0; n < 1 + this->crash_random() % MAX_CRASHES_AT_ONCE; n++) {
		const bool soon = this->crash_random() % 2 == 0;
		site.restart_delay =
				Millis(RESTART_MIN_MS + static_cast<int64_t>(this->crash_random() % (soon ? RESTART_SHORT_SPREAD_MS
																						  : RESTART_LONG_SPREAD_MS)));
		this->lasting.NoteFault(this->scheduler.Now() + site.restart_delay);
		site.keep_box_id = this->crash_random() % NEW_ID_ONE_IN != 0;
		site.Crash(all[this->crash_random() % all.size()].box);
	}
	site.restart_delay = default_delay;
	this->scheduler.After(CRASH_INTERVAL, [this] { this->CrashBoxes(); });
}

void SoakWorld::CrashAtStart(const BoxName &box)
{
	if (this->options.calm || this->load_ended || this->loss_random() % CRASH_AT_START_ONE_IN != 0) {
		return;
	}
	const Millis delay(static_cast<int64_t>(this->loss_random() % CRASH_AFTER_START_MS));
	this->lasting.NoteFault(this->scheduler.Now() + delay + this->boxes.site.restart_delay);
	if (delay == Millis(0)) {
		this->boxes.site.Crash(box);
	} else {
		this->scheduler.After(delay, [this, box] { this->boxes.site.Crash(box); });
	}
}

void SoakWorld::LoseBox()
{
	const std::vector<BoxName> all = this->lasting.Boxes();
	if (this->options.calm || all.empty()) {
		return;
	}
	const Millis default_delay = std::exchange(this->boxes.site.restart_delay, NEVER);
	this->boxes.site.Crash(all[this->loss_random() % all.size()]);
	this->boxes.site.restart_delay = default_delay;
	this->lasting.NoteFault(this->scheduler.Now());
}

bool SoakWorld::NodesUp() const
{
	return std::ranges::all_of(this->nodes, [](const auto &it) { return it->IsHealthy(); });
}

bool SoakWorld::AllSettled()
{
	return std::ranges::all_of(this->jobs, [this](const auto &job) {
		if (!job->accepted_at) {
			return true;
		}
		const bool right = this->HasExpectedState(*job);
		const bool lasts = right && job->state == "running";
		const size_t runs = this->boxes.site.Running(job->spec.id);
		return right && runs == (lasts ? job->spec.steps.front().count : 0);
	});
}

void SoakWorld::WaitUntilSettled()
{
	if (this->AllSettled() || this->scheduler.Now() - this->faults_ended_at > SETTLE_TIMEOUT) {
		this->Check();
		this->CheckRemovedRoute();
		return;
	}
	for (const auto &job : this->jobs) {
		if (job->accepted_at) {
			this->PollState(*job);
		}
	}
	this->scheduler.After(STATE_POLL_INTERVAL, [this] { this->WaitUntilSettled(); });
}

void SoakWorld::Check()
{
	for (const auto &job : this->jobs) {
		const std::string id = job->spec.id.Value();
		if (!job->accepted_at) {
			if (!job->uncertain && this->boxes.site.Started(job->spec.id)) {
				this->failures.push_back("a job whose submissions were all refused has run: " + id);
			}
			continue;
		}
		const size_t runs = this->boxes.site.Running(job->spec.id);
		if (!this->HasExpectedState(*job)) {
			std::string text = "job " + id;
			text += " is reported as '" + job->state;
			text += "', expected " + (job->cancelled ? "cancelled" : job->expected);
			this->failures.push_back(std::move(text));
		} else if (runs != (job->state == "running" ? job->spec.steps.front().count : 0)) {
			std::string text = "job " + id;
			text += " (" + job->state;
			text += ") has " + std::to_string(runs);
			text += " tasks running";
			this->failures.push_back(std::move(text));
		}
	}
}

void SoakWorld::CheckRemovedRoute()
{
	this->PublishConfig(false);
	this->scheduler.After(CONFIG_TIMEOUT, [this] {
		for (const auto &node : this->nodes) {
			this->Send(*node, "GET", "/extra/", {}, [this, &node](const HttpReply &reply) {
				if (reply.result != CallResult::CR_ANSWERED || reply.status != 404) {
					this->failures.push_back("a removed route is still served by " + node->Address() + ": status " +
											 std::to_string(reply.status));
				}
			});
		}
		this->CheckKeys();
		this->scheduler.After(CONFIG_TIMEOUT, [this] { this->StopAll(); });
	});
}

void SoakWorld::CheckKey(SoakNode &node, const std::string &key)
{
	HttpCallSpec spec{node.Address(), {}, CONFIG_TIMEOUT};
	spec.request.method = "GET";
	spec.request.target = "/grid/";
	spec.request.headers.Add("Host", "soak");
	spec.request.headers.Add("Authorization", "Token " + key);
	this->caller.Call(spec, [this, key, at = node.Address()](const HttpReply &reply) {
		constexpr int STATUS_UNAUTHORIZED = 401;
		const bool good = std::ranges::find(this->keys, key) != this->keys.end();
		if (reply.result == CallResult::CR_ANSWERED && (reply.status == STATUS_UNAUTHORIZED) == good) {
			this->failures.push_back(
					at + (good ? " answers a valid key with 401" : " does not answer an invalid key with 401") +
					": status " + std::to_string(reply.status));
		}
	});
}

void SoakWorld::CheckKeys()
{
	for (const auto &node : this->nodes) {
		this->CheckKey(*node, this->keys.front());
		this->CheckKey(*node, this->keys.back());
		this->CheckKey(*node, this->revoked_key.empty() ? "never-a-key" : this->revoked_key);
		this->CheckKey(*node, "never-a-key");
	}
}

void SoakWorld::StopAll()
{
	this->lasting.End();
	for (const auto &node : this->nodes) {
		node->Finish();
	}
	/* Sends requests during the stop: they must not be cut off. */
	for (size_t n = 0; n < this->jobs.size() && n < this->nodes.size(); n++) {
		this->PollState(*this->jobs[n]);
	}
	this->scheduler.After(STOP_TIMEOUT, [this] {
		for (const auto &node : this->nodes) {
			if (!node->HasExited()) {
				this->failures.push_back(node->Address() + " did not stop in time");
			}
		}
		this->done();
	});
}

std::vector<std::string> SoakWorld::Failures() const
{
	std::vector<std::string> out = this->failures;
	std::ranges::copy(this->boxes.site.violations, std::back_inserter(out));
	if (this->options.judges_gaps) {
		std::ranges::copy(this->lasting.violations, std::back_inserter(out));
	}
	for (const auto &node : this->nodes) {
		if (!node->unexpected_exit.empty()) {
			out.push_back(node->unexpected_exit);
		}
	}
	return out;
}

std::string SoakWorld::Summary() const
{
	const auto accepted = std::ranges::count_if(this->jobs, [](const auto &it) { return it->accepted_at.has_value(); });
	return "seed=" + std::to_string(this->options.seed) + " jobs=" + std::to_string(this->jobs.size()) +
		   " accepted=" + std::to_string(accepted) + " starts=" + std::to_string(this->boxes.site.starts) +
		   " faults=" + std::to_string(this->faults) + " evacuations=" + std::to_string(this->evacuations.Count()) +
		   " lasting_gap_ms=" + std::to_string(this->lasting.LongestGap().Value()) +
		   " broken=" + std::to_string(this->Failures().size());
}
