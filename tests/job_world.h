/** @file job_world.h Nodes, the keyed log and boxes in memory under one virtual clock, with callers that hand in jobs.
 */
#ifndef JOB_WORLD_H
#define JOB_WORLD_H

#include "node/job_api.h"
#include "standin/memory/box_site.h"
#include "standin/memory/keyed_store.h"
#include "standin/memory/node_scheduler.h"

#include <memory>
#include <ranges>

/** A feed that the world drives. */
class WorldFeed : public SiteFeed {
public:
	void Start(SiteFeedEvents &) override {}
	void WatchBoxes(bool) override {}
	[[nodiscard]] Millis CurrentAsOf() const override { return Millis(0); }
	[[nodiscard]] Millis LastAnswerAt() const override { return Millis(0); }
	void Confirm(std::function<void(bool)> done) override { done(true); }
	[[nodiscard]] uint64_t ConfigVersion() const override { return 0; }
	[[nodiscard]] const std::string &ConfigBody() const override { return this->body; }
	void TakeConfig(const std::string &) override {}

	std::string body; ///< Configuration as published; none here.
};

/** A policy: the first box of a service may run its steps. Its tickets hold for a while. */
class WorldAdvisor : public PlacementAdvisor {
public:
	explicit WorldAdvisor(VirtualScheduler &clock) : clock(clock) {}

	void Ask(const StepId &step, const std::vector<BoxIncarnation> &boxes, std::function<void(Advice)> done) override
	{
		this->asked += boxes.size();
		if (this->silent) {
			this->clock.After(PATIENCE, [done] { done(Advice{}); });
			return;
		}
		Advice advice{ResultCode::RC_OK, {}, VALID};
		for (const BoxIncarnation &it : boxes) {
			if (this->Allows(it)) {
				advice.tickets[it] = step.job.Value() + "/" + std::to_string(step.step) + "@" +
									 std::to_string((this->clock.Now() + VALID).Value());
			}
		}
		this->clock.After(ANSWER, [done, advice] { done(advice); });
	}

	/** @return Whether a start order's ticket is for its step and still holds. @param order The order. */
	[[nodiscard]] bool Holds(const StartOrder &order) const
	{
		const std::string head = order.task.job.Value() + "/" + std::to_string(order.task.step) + "@";
		return order.ticket.starts_with(head) &&
			   std::stoll(order.ticket.substr(head.size())) > this->clock.Now().Value();
	}

	/** @return Whether the policy allows a box. @param life The box. */
	static bool Allows(const BoxIncarnation &incarnation)
	{
		return incarnation.id.Value().find("box0") != std::string::npos;
	}

	bool silent = false; ///< Whether it doesn't answer.
	size_t asked = 0;    ///< Boxes that it was asked about.

private:
	static constexpr Millis VALID = Millis(2000);    ///< Tickets hold so long.
	static constexpr Millis ANSWER = Millis(60);     ///< Its answers take so long.
	static constexpr Millis PATIENCE = Millis(1000); ///< A question without an answer has failed after this.

	VirtualScheduler &clock; ///< The world's clock.
};

/** A node process. */
class WorldNode {
public:
	WorldNode(VirtualScheduler &clock, KeyedStore &store, BoxSite &site, const std::string &name, int64_t cpu,
			  PlacementAdvisor *advisor)
			: scheduler(clock), log(this->scheduler, clock, store), orders(this->scheduler, clock, site),
			  member(this->scheduler, this->log, this->events,
					 GroupSpec{NODE_GROUP, GroupPeer{name, cpu}, NODE_TOPIC, Millis(1500), PARTS}),
			  host(ShardOwnerContext{this->scheduler, this->log, this->orders, this->events, name, ShardLimits{},
									 advisor, NODE_GROUP},
				   this->member, this->feed, PARTS),
			  lookup(this->scheduler, this->log, this->events),
			  desk(this->scheduler, this->log, this->host, this->lookup, this->events), name(name)
	{
		this->member.on_answer = [this] { this->host.OnMembership(); };
		this->member.Start();
	}

	static constexpr uint32_t PARTS = 12; ///< Partitions of a topic.

	NodeScheduler scheduler; ///< Its clock.
	KeyedStoreClient log;    ///< Its way to the log.
	SiteOrders orders;       ///< Its way to the boxes.
	NullEventLog events;     ///< Its lines.
	WorldFeed feed;          ///< Its feed.
	GroupMember member;      ///< Its part in the group.
	ShardHost host;          ///< Its shards.
	OwnerLookup lookup;      ///< Owners elsewhere.
	JobApi desk;             ///< Its answers.
	std::string name;        ///< Its name.
	bool up = true;          ///< Whether it was not killed.
};

/** A job as a caller sees it. */
struct WorldJob {
	JobSpec spec;           ///< As handed in.
	ServiceName service;    ///< Its service.
	size_t tries = 0;       ///< Times it was handed in.
	size_t refused = 0;     ///< Times it was certainly refused.
	bool accepted = false;  ///< Whether it was confirmed.
	bool cancelled = false; ///< Whether its cancellation was confirmed.
};

/** The whole. */
class JobWorld {
public:
	explicit JobWorld(size_t count = 3)
	{
		this->config.version = 1;
		this->config.routes = {MakeRoute("r-calc", "calc", 0), MakeRoute("r-grid", "grid", 1)};
		this->config.services = {JobService{ServiceName("calc"), true, false},
								 JobService{ServiceName("grid"), true, false}};
		for (const char *service : {"calc", "grid"}) {
			for (int n = 0; n < 4; n++) {
				this->site.Add(MakeBox(service, n));
			}
		}
		for (size_t n = 0; n < count; n++) {
			this->Boot("node-" + std::to_string(n));
		}
		this->TellReports();
	}

	/** Starts a node. @param name Its name. @param cpu Thousandths of a core that it has. */
	WorldNode &Boot(const std::string &name, int64_t cpu = 250)
	{
		this->nodes.push_back(
				std::make_unique<WorldNode>(this->clock, this->store, this->site, name, cpu, &this->advisor));
		this->nodes.back()->desk.Configure(this->config);
		return *this->nodes.back();
	}

	/** Kills a node; its object stays, so that what it sent may still arrive. @param node It. */
	static void Kill(WorldNode &node)
	{
		*node.scheduler.alive = false;
		node.up = false;
	}

	/** @return The node that owns a service's shard, or null. @param service The service. */
	WorldNode *OwnerOf(const ServiceName &service)
	{
		for (const auto &node : this->nodes) {
			const ShardOwner *owner = node->up ? std::as_const(node->host).Find(service) : nullptr;
			if (owner != nullptr && owner->Running() != nullptr) {
				return node.get();
			}
		}
		return nullptr;
	}

	/** Hands a job in, again and again at other nodes until it is confirmed. @param job It. */
	void HandIn(WorldJob &job)
	{
		WorldNode &node = *this->nodes[job.tries % this->nodes.size()];
		job.tries++;
		const auto again = [this, &job] {
			if (!job.accepted && job.tries < TRIES) {
				this->clock.After(RETRY, [this, &job] { this->HandIn(job); });
			}
		};
		if (!node.up) {
			job.refused++;
			again();
			return;
		}
		auto answered = std::make_shared<bool>(false);
		node.desk.Submit(
				job.spec, job.service, node.scheduler.Now() + Millis(3000), [&job, again, answered](ResultCode rc) {
					*answered = true;
					job.accepted = job.accepted || rc == ResultCode::RC_OK;
					job.refused += rc == ResultCode::RC_LOG_THROTTLED || rc == ResultCode::RC_LOG_UNAVAILABLE ? 1 : 0;
					again();
				});
		this->clock.After(Millis(3500), [again, answered] {
			if (!std::exchange(*answered, true)) {
				again();
			}
		});
	}

	/** Makes a job and hands it in at a moment. @param at When. @param service Its service. @param steps Its steps.
	 * @return It. */
	WorldJob &Plan(Millis at, const std::string &service, std::vector<StepSpec> steps, Millis run_time = Millis(500),
				   uint32_t fail_first = 0)
	{
		auto &job = *this->jobs.emplace_back(std::make_unique<WorldJob>());
		const std::string digits = std::to_string(this->jobs.size());
		job.spec.id = JobId(std::string(16 - digits.size(), 'a') + digits);
		job.spec.route = RouteName("r-" + service);
		job.spec.payload = "payload of " + digits;
		job.spec.steps = std::move(steps);
		job.service = ServiceName(service);
		SiteJob known;
		known.spec = job.spec;
		known.service = job.service;
		known.run_time = run_time;
		known.fail_first = fail_first;
		this->site.AddJob(known);
		this->clock.After(at, [this, &job] { this->HandIn(job); });
		return job;
	}

	/** Cancels a job at a moment, again until confirmed. @param at When. @param job It. */
	void PlanCancel(Millis at, WorldJob &job)
	{
		this->clock.After(at, [this, &job] {
			/* Callers are kept away from nodes that don't answer. */
			const auto node = std::ranges::find_if(this->nodes, [this](const auto &it) {
				return it->up && it->scheduler.paused_until <= this->clock.Now();
			});
			if (node == this->nodes.end()) {
				this->PlanCancel(RETRY, job);
				return;
			}
			this->site.JobOf(job.spec.id).cancel_sent = true;
			(*node)->desk.Cancel(job.spec.id, job.spec.account, job.service, (*node)->scheduler.Now() + Millis(3000),
								 [this, &job](ResultCode rc) {
									 if (rc == ResultCode::RC_OK && !job.cancelled) {
										 job.cancelled = true;
										 this->site.JobOf(job.spec.id).cancelled_at = this->clock.Now();
									 }
								 });
			this->clock.After(Millis(3500), [this, &job] {
				if (!job.cancelled) {
					this->PlanCancel(Millis(0), job);
				}
			});
		});
	}

	/** Adds boxes to the service "calc". @param count How many. @param room What each has. */
	void AddBoxes(int count, const Resources &room)
	{
		for (int n = 0; n < count; n++) {
			BoxReport report = this->site.Reports().front();
			report.box = BoxName("calc-wide" + std::to_string(n));
			report.incarnation.id = BoxId(report.box.Value() + "-life0");
			report.service = ServiceName("calc");
			report.address = report.box.Value();
			report.capacity = room;
			this->site.Add(report);
		}
	}

	/** From now on owners hear of lives that have ended, as the holder of the fleet's orders tells them: for some
	 * seconds. */
	void TellEndedLives()
	{
		std::erase_if(this->ended, [this](const auto &it) { return this->clock.Now() - it.second > TOLD_FOR; });
		std::set<BoxIncarnation> lives;
		for (const BoxReport &report : this->site.Reports()) {
			if (this->site.Down(report.box)) {
				this->ended[report.incarnation] = this->clock.Now();
			}
		}
		std::ranges::copy(this->ended | std::views::keys, std::inserter(lives, lives.end()));
		for (const auto &node : this->nodes) {
			if (node->up && !lives.empty()) {
				node->scheduler.After(Millis(0), [it = node.get(), lives] {
					for (const char *service : {"calc", "grid"}) {
						ShardOwner *owner = it->host.Find(ServiceName(service));
						if (owner != nullptr && owner->Running() != nullptr) {
							owner->Running()->NoteEnded(lives);
						}
					}
				});
			}
		}
		this->clock.After(LISTED, [this] { this->TellEndedLives(); });
	}

	/** @return The steps of a small chain: so many tasks, then one. */
	static std::vector<StepSpec> Chain(uint32_t width)
	{
		StepSpec wide;
		wide.count = width;
		wide.demand = Resources{1000, 100, 0};
		wide.estimate = Millis(500);
		StepSpec last = wide;
		last.count = 1;
		last.after = {0};
		return {wide, last};
	}

	/** @return A step of tasks that last, at most one a box. */
	static std::vector<StepSpec> Lasting(uint32_t width)
	{
		StepSpec step;
		step.count = width;
		step.demand = Resources{1000, 100, 0};
		step.lasting = true;
		step.per_box = 1;
		step.absent_max = 1;
		return {step};
	}

	/** @return What is known of a job at its owner. */
	JobView ViewOf(const WorldJob &job)
	{
		WorldNode *node = this->OwnerOf(job.service);
		return node == nullptr ? JobView{} : std::as_const(node->host).Find(job.service)->Running()->View(job.spec.id);
	}

	VirtualScheduler clock{Millis(1700000000000)}; ///< The world's clock.
	KeyedStore store{WorldNode::PARTS};            ///< The log.
	BoxSite site{clock};                           ///< The boxes.
	WorldAdvisor advisor{clock};                   ///< Knows the policies of routes.
	std::vector<std::unique_ptr<WorldNode>> nodes; ///< All nodes ever started.
	std::vector<std::unique_ptr<WorldJob>> jobs;   ///< All jobs.
	JobConfig config;                              ///< The configuration.
	std::set<BoxName> unlisted;                    ///< Boxes whose reports are missing.

private:
	std::map<BoxIncarnation, Millis> ended; ///< Lives that were listed as ended, and when they last were.

	static constexpr size_t TRIES = 12;              ///< Times that a caller hands a job in.
	static constexpr Millis RETRY = Millis(400);     ///< Before a caller tries again.
	static constexpr Millis LISTED = Millis(200);    ///< Machines are listed so often.
	static constexpr Millis TOLD_FOR = Millis(5000); ///< A life that was listed as ended is told for so long.
	static constexpr Millis REPORTS = Millis(500);   ///< Boxes' reports are told so often.

	static JobRoute MakeRoute(const std::string &name, const std::string &service, int64_t priority)
	{
		return JobRoute{RouteName(name), "h", "/" + name + "/", ServiceName(service), priority, 3, 1.6, Millis(600)};
	}

	static BoxReport MakeBox(const std::string &service, int n)
	{
		BoxReport report;
		report.box = BoxName(service + "-box" + std::to_string(n));
		report.incarnation.id = BoxId(report.box.Value() + "-life0");
		report.service = ServiceName(service);
		report.address = report.box.Value();
		report.capacity = Resources{8000, 8000, 0};
		report.labels = {"a", "rack" + std::to_string(n / 2)};
		report.rack = RackName(report.labels.back());
		return report;
	}

	void TellReports()
	{
		for (const auto &node : this->nodes) {
			for (const BoxReport &report : this->site.Reports()) {
				if (!node->up || this->unlisted.contains(report.box)) {
					continue;
				}
				node->scheduler.After(Millis(0), [it = node.get(), report] { it->host.OnReport(report); });
			}
		}
		this->clock.After(REPORTS, [this] { this->TellReports(); });
	}
};

#endif /* JOB_WORLD_H */
