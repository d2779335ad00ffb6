/** @file soak_world.cpp A randomized day over real processes. */
#include "soak_world.h"

#include <QJsonArray>

#include <algorithm>
#include <iostream>

namespace {

constexpr uint32_t PARTITIONS = 12;      ///< Of a topic.
constexpr Millis REPORT_EVERY(500);      ///< Boxes report so often.
constexpr Millis ROOM_EVERY(700);        ///< A box's room changes so often.
constexpr Millis CRASHES_EVERY(1900);    ///< Boxes crash so often,
constexpr uint32_t CRASHES_MOST = 3;     ///< so many at a time at most;
constexpr int64_t BACK_LEAST = 50;       ///< ms until one is back at least,
constexpr uint32_t BACK_SOON = 300;      ///< and at most so much more for half of them,
constexpr uint32_t BACK_MOST = 4400;     ///< or for the others.
constexpr uint32_t OTHER_ID_OF = 4;      ///< One of so many comes back under another id.
constexpr Millis BACK_AFTER(1200);       ///< A box that a task has crashed is back after this.
constexpr Millis WARM_UP(3000);          ///< Nodes start and claim.
constexpr Millis FAULT_MIN(300);         ///< Shortest fault.
constexpr Millis FAULT_MAX(4500);        ///< Longest fault.
constexpr Millis LOOK_EVERY(500);        ///< Between two rounds of questions at the end.
constexpr Millis SETTLE_MAX(45000);      ///< All jobs are where they belong by then: two leases and two owners' terms.
constexpr size_t KEYS_AT_ONCE = 2;       ///< Keys that callers may use at a time.
constexpr int64_t MAXIMUM_HIGH = 200000; ///< Thousandths of a core that the account may have: more than all boxes,
constexpr int64_t MAXIMUM_LOW = 100000;  ///< and less of it, but enough.
constexpr Millis CONFIG_WITHIN(3000);    ///< A configuration is in force by then.
constexpr Millis STOP_WITHIN(7000);      ///< A planned stop has ended by then.
constexpr const char *STRONG = "0.5";    ///< Cores of the first three nodes.
constexpr const char *WEAK = "0.2";      ///< Cores of the others.
constexpr int STRONG_NODES = 3;          ///< See STRONG.

const Resources WHOLE_ROOM{8000, 8000, 0};  ///< Room of a box.
const Resources LITTLE_ROOM{2000, 8000, 0}; ///< The same after it has shrunk.

} // namespace

SoakWorld::SoakWorld(const SoakPlan &plan)
		: plan(plan), random(plan.seed), rooms(plan.seed), crashes(plan.seed),
		  store(this->scheduler, PARTITIONS, plan.seed), boxes(this->scheduler, plan.seed),
		  caller(this->scheduler, DialLimits{Millis(500), Millis(60000), 8})
{
}

uint32_t SoakWorld::Pick(uint32_t below)
{
	return static_cast<uint32_t>(this->random() % below);
}

Millis SoakWorld::Between(int64_t low, int64_t high)
{
	return Millis(low + static_cast<int64_t>(this->Pick(static_cast<uint32_t>(high - low + 1))));
}

bool SoakWorld::Start(std::function<void()> done)
{
	this->done = std::move(done);
	if (!this->store.Start() || !this->boxes.Start()) {
		return false;
	}
	this->boxes.site.checks_capacity = false;
	this->boxes.site.restart_delay = BACK_AFTER;
	this->boxes.on_restart = [this] { this->PublishReports(); };
	this->AddBoxes();
	this->PublishConfig(true);
	this->PublishReports();
	this->ListFaults();
	const SoakSite site{this->plan.program, this->plan.folder,         this->plan.first_port,
						this->store.Port(), this->boxes.ControlPort(), PARTITIONS};
	for (int n = 0; n < this->plan.nodes; n++) {
		this->nodes.push_back(std::make_unique<SoakNode>(this->scheduler, site, n, n < STRONG_NODES ? STRONG : WEAK));
		this->nodes.back()->Start();
	}
	this->scheduler.After(WARM_UP, [this] {
		this->begun = this->scheduler.Now();
		this->NextJob();
		if (!this->plan.calm) {
			this->NextFault();
			this->NextRoom();
			this->NextCrashes();
		}
		this->scheduler.After(this->plan.faults_for, [this] { this->Heal(); });
	});
	return true;
}

void SoakWorld::AddBoxes()
{
	for (const char *service : {"calc", "grid"}) {
		for (int n = 0; n < this->plan.boxes; n++) {
			this->box_ways.push_back(std::make_unique<SoakProxy>(this->scheduler, this->boxes.AgentPort()));
			this->box_ways.back()->Start();
			BoxReport report;
			report.box = BoxName(std::string(service) + "-box" + std::to_string(n));
			report.incarnation.id = BoxId(report.box.Value() + "-life0");
			report.service = ServiceName(service);
			report.address = "127.0.0.1:" + std::to_string(this->box_ways.back()->serverPort());
			report.zone = ZoneName("z" + std::to_string(n % 2));
			report.capacity = WHOLE_ROOM;
			report.labels = {"a", "rack" + std::to_string(n / 2)};
			this->boxes.site.Add(report);
		}
	}
}

void SoakWorld::PublishReports()
{
	const PartitionId topic{"keyed.servers", 0};
	std::vector<KeyedRecord> records;
	std::set<std::string> now;
	for (const BoxReport &it : this->boxes.site.Reports()) {
		QJsonArray labels;
		for (const std::string &label : it.labels) {
			labels.append(QString::fromStdString(label));
		}
		const QJsonObject json{{"machine", QString::fromStdString(it.box.Value())},
							   {"service", QString::fromStdString(it.service.Value())},
							   {"address", QString::fromStdString(it.address)},
							   {"zone", QString::fromStdString(it.zone.Value())},
							   {"capacity", QJsonObject{{"cpu", static_cast<qint64>(it.capacity.cpu)},
														{"mem-mb", static_cast<qint64>(it.capacity.memory)}}},
							   {"labels", labels},
							   {"born", static_cast<qint64>(it.incarnation.started.Value())},
							   {"state", "ready"}};
		records.push_back(KeyedRecord{it.incarnation.id.Value(), BodyOf(json)});
		now.insert(it.incarnation.id.Value());
	}
	for (const KeyedRecord &old : this->store.store.Newest(topic, {}).records) {
		if (!now.contains(old.key)) {
			records.push_back(KeyedRecord{old.key, std::nullopt});
		}
	}
	this->store.store.Append(topic, records, AppendCondition{});
	this->scheduler.After(REPORT_EVERY, [this] { this->PublishReports(); });
}

void SoakWorld::PublishConfig(bool with_extra)
{
	QJsonArray routes;
	for (const char *name : {"calc", "grid", "extra"}) {
		if (std::string(name) == "extra" && !with_extra) {
			continue;
		}
		routes.append(QJsonObject{{"name", name},
								  {"host", "soak"},
								  {"path-prefix", "/" + QString(name) + "/"},
								  {"service", std::string(name) == "extra" ? "calc" : name},
								  {"auth-exempt", std::string(name) != "grid"},
								  {"priority", 0},
								  {"max-attempts", 3},
								  {"stretch", 1.6},
								  {"target-latency-ms", 600}});
	}
	QJsonArray services;
	for (const char *name : {"calc", "grid"}) {
		services.append(QJsonObject{{"name", name}, {"admission-check", true}});
	}
	this->version += 1 + this->Pick(3);
	/* Each configuration brings a key and takes the oldest one away; what the account may have falls and rises. */
	this->keys.push_back("key-" + std::to_string(this->version));
	if (this->keys.size() > KEYS_AT_ONCE) {
		this->lost_key = this->keys.front();
		this->keys.pop_front();
	}
	QJsonArray keys;
	std::ranges::for_each(this->keys, [&keys](const std::string &it) { keys.append(QString::fromStdString(it)); });
	const int64_t cores = this->keys.back().back() % 2 == 0 ? MAXIMUM_LOW : MAXIMUM_HIGH;
	const QJsonArray accounts{QJsonObject{{"name", "soak"},
										  {"api-keys", keys},
										  {"weight", 10},
										  {"maximum", QJsonObject{{"cpu", static_cast<qint64>(cores)}}}}};
	const QJsonObject json{{"version", static_cast<qint64>(this->version)},
						   {"routes", routes},
						   {"services", services},
						   {"tenants", accounts}};
	this->store.store.Append(PartitionId{"keyed.op", 0}, {KeyedRecord{"config", BodyOf(json)}}, AppendCondition{});
}

void SoakWorld::NextFault()
{
	if (this->calm) {
		return;
	}
	const Fault &kind = this->kinds[this->Pick(static_cast<uint32_t>(this->kinds.size()))];
	this->faults++;
	std::cout << "fault at_ms=" << (this->scheduler.Now() - this->begun).Value() << " kind=" << kind.name << '\n';
	const Millis span = this->Between(FAULT_MIN.Value(), FAULT_MAX.Value());
	if (const std::function<void()> end = kind.begin(); end) {
		this->scheduler.After(span, end);
	}
	this->scheduler.After(this->Between(100, 2500), [this] { this->NextFault(); });
}

void SoakWorld::Heal()
{
	this->calm = true;
	/* Faults under way end by themselves. */
	this->scheduler.After(FAULT_MAX, [this] {
		this->healed_at = this->scheduler.Now();
		this->Settle();
	});
}

bool SoakWorld::Right(const SoakJob &job) const
{
	/* A cancellation may come after the end; two boxes that crash under a task are cause enough to give it up. */
	return job.state == job.expected || (job.cancelled && job.state == "cancelled") ||
		   (job.state == "failed" && this->boxes.site.MayFail(job.spec.id));
}

void SoakWorld::NextRoom()
{
	if (this->calm) {
		std::ranges::for_each(this->boxes.site.Reports(),
							  [this](const BoxReport &it) { this->boxes.site.Resize(it.box, WHOLE_ROOM); });
		return;
	}
	const std::vector<BoxReport> all = this->boxes.site.Reports();
	const BoxReport &box = all[this->rooms() % all.size()];
	this->boxes.site.Resize(box.box, box.capacity == WHOLE_ROOM ? LITTLE_ROOM : WHOLE_ROOM);
	this->scheduler.After(ROOM_EVERY, [this] { this->NextRoom(); });
}

void SoakWorld::NextCrashes()
{
	if (this->calm) {
		return;
	}
	/* Mostly back under the id that they had, before anybody has missed them or long after. */
	BoxSite &site = this->boxes.site;
	const std::vector<BoxReport> all = site.Reports();
	const Millis usual = site.restart_delay;
	for (uint32_t n = 0; n < 1 + this->crashes() % CRASHES_MOST; n++) {
		const bool soon = this->crashes() % 2 == 0;
		site.restart_delay =
				Millis(BACK_LEAST + static_cast<int64_t>(this->crashes() % (soon ? BACK_SOON : BACK_MOST)));
		site.keeps_id = this->crashes() % OTHER_ID_OF != 0;
		site.Crash(all[this->crashes() % all.size()].box);
	}
	site.restart_delay = usual;
	this->scheduler.After(CRASHES_EVERY, [this] { this->NextCrashes(); });
}

bool SoakWorld::AllSettled()
{
	return std::ranges::all_of(this->jobs, [this](const auto &job) {
		if (!job->accepted_at) {
			return true;
		}
		const bool right = this->Right(*job);
		const bool lasts = right && job->state == "running";
		const size_t runs = this->boxes.site.Running(job->spec.id);
		return right && runs == (lasts ? job->spec.steps.front().count : 0);
	});
}

void SoakWorld::Settle()
{
	if (this->AllSettled() || this->scheduler.Now() - this->healed_at > SETTLE_MAX) {
		this->Check();
		this->CheckRemovedRoute();
		return;
	}
	for (const auto &job : this->jobs) {
		if (job->accepted_at) {
			this->Ask(*job);
		}
	}
	this->scheduler.After(LOOK_EVERY, [this] { this->Settle(); });
}

void SoakWorld::Check()
{
	for (const auto &job : this->jobs) {
		const std::string id = job->spec.id.Value();
		if (!job->accepted_at) {
			if (!job->uncertain && this->boxes.site.Started(job->spec.id)) {
				this->broken.push_back("a job that was refused at every try has run: " + id);
			}
			continue;
		}
		const size_t runs = this->boxes.site.Running(job->spec.id);
		if (!this->Right(*job)) {
			std::string text = "job " + id;
			text += " is told as '" + job->state;
			text += "', expected " + (job->cancelled ? "cancelled" : job->expected);
			this->broken.push_back(std::move(text));
		} else if (runs != (job->state == "running" ? job->spec.steps.front().count : 0)) {
			std::string text = "job " + id;
			text += " (" + job->state;
			text += ") has " + std::to_string(runs);
			text += " tasks running";
			this->broken.push_back(std::move(text));
		}
	}
}

void SoakWorld::CheckRemovedRoute()
{
	this->PublishConfig(false);
	this->scheduler.After(CONFIG_WITHIN, [this] {
		for (const auto &node : this->nodes) {
			this->Send(*node, "GET", "/extra/", {}, [this, &node](const HttpReply &reply) {
				if (reply.result != CallResult::CR_ANSWERED || reply.status != 404) {
					this->broken.push_back("a removed route is still there on " + node->Address() + ": status " +
										   std::to_string(reply.status));
				}
			});
		}
		this->CheckKeys();
		this->scheduler.After(CONFIG_WITHIN, [this] { this->StopAll(); });
	});
}

void SoakWorld::TryKey(SoakNode &node, const std::string &key)
{
	HttpCallSpec spec{node.Address(), {}, CONFIG_WITHIN};
	spec.request.method = "GET";
	spec.request.target = "/grid/";
	spec.request.headers.Add("Host", "soak");
	spec.request.headers.Add("Authorization", "Token " + key);
	this->caller.Call(spec, [this, key, at = node.Address()](const HttpReply &reply) {
		constexpr int NO_KEY = 401;
		const bool good = std::ranges::find(this->keys, key) != this->keys.end();
		if (reply.result == CallResult::CR_ANSWERED && (reply.status == NO_KEY) == good) {
			this->broken.push_back(at + (good ? " refuses a good key" : " takes a bad key") + ": status " +
								   std::to_string(reply.status));
		}
	});
}

void SoakWorld::CheckKeys()
{
	for (const auto &node : this->nodes) {
		this->TryKey(*node, this->keys.front());
		this->TryKey(*node, this->keys.back());
		this->TryKey(*node, this->lost_key.empty() ? "never-a-key" : this->lost_key);
		this->TryKey(*node, "never-a-key");
	}
}

void SoakWorld::StopAll()
{
	for (const auto &node : this->nodes) {
		node->Finish();
	}
	/* Callers go on using their connections during the stop. */
	for (size_t n = 0; n < this->jobs.size() && n < this->nodes.size(); n++) {
		this->Ask(*this->jobs[n]);
	}
	this->scheduler.After(STOP_WITHIN, [this] {
		for (const auto &node : this->nodes) {
			if (!node->Over()) {
				this->broken.push_back(node->Address() + " has not stopped in time");
			}
		}
		this->done();
	});
}

std::vector<std::string> SoakWorld::Broken() const
{
	std::vector<std::string> out = this->broken;
	std::ranges::copy(this->boxes.site.violations, std::back_inserter(out));
	for (const auto &node : this->nodes) {
		if (!node->ended_by_itself.empty()) {
			out.push_back(node->ended_by_itself);
		}
	}
	return out;
}

std::string SoakWorld::Summary() const
{
	const auto accepted = std::ranges::count_if(this->jobs, [](const auto &it) { return it->accepted_at.has_value(); });
	return "seed=" + std::to_string(this->plan.seed) + " jobs=" + std::to_string(this->jobs.size()) +
		   " accepted=" + std::to_string(accepted) + " starts=" + std::to_string(this->boxes.site.starts) +
		   " faults=" + std::to_string(this->faults) + " broken=" + std::to_string(this->Broken().size());
}
