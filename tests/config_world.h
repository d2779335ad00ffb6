/** @file config_world.h Simulation of nodes that follow the operators' configuration: each reads it from the store, and
 * from the other nodes while the store doesn't answer. One of them answers callers. */
#ifndef CONFIG_WORLD_H
#define CONFIG_WORLD_H

#include "../platform/job_handler.h"
#include "../platform/platform_feed.h"
#include "job_world.h"
#include "node/config_exchange.h"
#include "status_sink.h"

#include <random>

/** A node that follows the configuration. */
class ConfigNode : public SiteFeedEvents, public ConfigPeers {
public:
	/** Finds a node by its address; null if there is none. */
	using Find = std::function<ConfigNode *(const std::string &)>;

	ConfigNode(VirtualScheduler &clock, KeyedStore &store, std::string address, Find find)
			: clock(clock), scheduler(clock), log(this->scheduler, clock, store),
			  feed(this->scheduler, this->log, this->events),
			  exchange(this->scheduler, this->feed, *this, this->events, address), address(std::move(address)),
			  find(std::move(find))
	{
	}

	/** Starts the node. @param known_nodes Addresses of the nodes that it knows. */
	void Start(const std::vector<std::string> &known_nodes)
	{
		std::ranges::for_each(known_nodes, [this](const std::string &it) { this->exchange.AddPeer(it); });
		this->exchange.Start();
		this->feed.Start(*this);
	}

	void OnConfig(const JobConfig &newer) override
	{
		this->config = newer;
		this->on_config();
	}
	void OnWave(const WaveOrder &) override {}
	void OnEvacuatedZones(const EvacuatedZones &) override {}
	void OnReport(const BoxReport &) override {}
	void OnReportRemoved(const BoxId &) override {}

	void Ask(const std::string &to, const ConfigQuestion &question, Done done) override
	{
		ConfigNode *other = this->find(to);
		if (other == nullptr || this->cut_off || other->cut_off) {
			return;
		}
		const Millis latency = this->peer_latency;
		this->scheduler.After(latency, [this, other, question, done, latency] {
			other->exchange.Answer(question, [this, done, latency](const PeerConfig &answer) {
				this->scheduler.After(latency, [done, answer] { done(answer); });
			});
		});
	}

	/** @return When the process last ran again after a pause. */
	[[nodiscard]] Millis ResumedAt() const
	{
		const Millis until = this->scheduler.paused_until;
		return until > Millis(0) && until <= this->clock.Now() ? until : Millis(-1000000);
	}

	VirtualScheduler &clock;                 ///< The simulation's clock.
	NodeScheduler scheduler;                 ///< Clock and timers of the node.
	KeyedStoreClient log;                    ///< Connection to the store.
	NullEventLog events;                     ///< Discards log lines.
	PlatformFeed feed;                       ///< Follows the configuration.
	ConfigExchange exchange;                 ///< Exchange with the other nodes.
	JobConfig config;                        ///< The configuration in force.
	std::function<void()> on_config = [] {}; ///< Called with each newer configuration.
	bool cut_off = false;                    ///< Whether messages between it and other nodes are lost.
	Millis peer_latency = Millis(2);         ///< One-way latency of its messages to other nodes.
	std::string address;                     ///< Its address.

private:
	Find find; ///< Finds the other nodes.
};

/** Publishes versions, each with one route of its own, and asks a node for these routes. */
class ConfigWorld {
public:
	/** A request to the node under test. */
	struct Probe {
		uint64_t route = 0;  ///< Version whose route was asked for.
		Millis sent_at;      ///< When it was sent.
		Millis paused_until; ///< End of the last pause of the node before it.
		StatusSink sink;     ///< Receives the answer.
	};

	/** @param count Number of nodes beside the one under test. @param seed Seed of the random choices. */
	ConfigWorld(size_t count, uint32_t seed) : random(seed)
	{
		for (size_t n = 0; n < count; n++) {
			this->others.push_back(this->MakeNode(AddressOf(n)));
			this->known_nodes.push_back(AddressOf(n));
		}
		this->spared = this->random() % count;
		this->Publish();
		for (const auto &it : this->others) {
			it->Start(this->known_nodes);
		}
		this->StartNode(this->known_nodes);
		this->world.clock.RunUntil(START);
	}

	static constexpr uint64_t ROUTES = 20;                  ///< Routes of a version.
	static constexpr Millis START = Millis(3000);           ///< Time at which all nodes have the first version.
	static constexpr Millis IN_FORCE_WITHIN = Millis(3000); ///< Time after which a version must decide.
	static constexpr Millis IN_TOUCH_AFTER = Millis(1000);  ///< Time after a pause from which versions bind the node.
	static constexpr Millis SLACK = Millis(250); ///< Time after which an older version must not decide any more.

	static std::string AddressOf(size_t n) { return "10.0.0." + std::to_string(n) + ":1"; }

	/** Starts the node under test, in place of the one before. @param nodes Addresses of the nodes that it knows. */
	void StartNode(const std::vector<std::string> &nodes)
	{
		StoreFaults faults;
		if (this->node) {
			faults = this->node->log.faults;
			*this->node->scheduler.alive = false;
			this->ended.push_back(std::move(this->node));
			this->ended_handlers.push_back(std::move(this->handler));
		}
		this->node = this->MakeNode("10.0.1.0:1");
		this->node->log.faults = faults;
		this->started_at = this->world.clock.Now();
		this->handler = std::make_unique<JobHttpHandler>(
				this->node->scheduler, this->Api(), this->node->feed,
				[it = this->node.get()] { return it->ResumedAt(); },
				[it = this->node.get()](const std::function<void(bool)> &done) { it->exchange.Confirm(done); },
				this->node->events);
		this->node->on_config = [this, it = this->node.get()] { this->Api().Configure(it->config); };
		this->node->Start(nodes);
	}

	/** Publishes the next version: a route is added, and the oldest one dropped. */
	void Publish()
	{
		this->version++;
		this->published_at[this->version] = this->world.clock.Now();
		std::string routes;
		for (uint64_t n = this->version; n > 0 && n + ROUTES > this->version; n--) {
			routes += (routes.empty() ? "" : ",") + RouteBody(n);
		}
		const std::string body = R"({"version":)" + std::to_string(this->version) + R"(,"routes":[)" + routes +
								 R"(],"services":[{"name":"calc","admission-check":true}]})";
		this->store.Append(PartitionId{"keyed.op", 0}, {KeyedRecord{"config", body}}, AppendCondition{});
	}

	/** Asks the node under test for the number of waiting jobs of a route. @param of Version that added the route. */
	void Ask(uint64_t of)
	{
		auto probe = std::make_unique<Probe>();
		probe->route = of;
		probe->sent_at = this->world.clock.Now();
		probe->paused_until = this->node->scheduler.paused_until;
		CallerRequest request;
		request.method = "GET";
		request.target = "/" + RouteOf(of) + "/";
		request.headers.Add("Host", "h");
		/* A paused process handles it when it runs again. */
		this->node->scheduler.Post([this, to = this->handler.get(), sink = &probe->sink, request] {
			this->served.push_back(to->Serve(*sink, request));
		});
		this->probes.push_back(std::move(probe));
	}

	/** Publishes a version every 300 ms, and asks every 25 ms for the newest route that must be known and for the
	 * newest one that must be gone, until a time. */
	void Run(Millis until)
	{
		constexpr Millis STEP(25);
		constexpr uint64_t STEPS_PER_VERSION = 12;
		for (uint64_t n = 0; this->world.clock.Now() < until; n++) {
			if (n % STEPS_PER_VERSION == 0) {
				this->Publish();
			}
			const uint64_t in_force = this->VersionInForce();
			this->Ask(in_force);
			if (in_force > ROUTES) {
				this->Ask(in_force - ROUTES);
			}
			this->world.clock.RunUntil(this->world.clock.Now() + STEP);
		}
		this->world.clock.RunUntil(until + Millis(1000));
	}

	/** @return Number of answers that only an older version than the one that must be in force allows. */
	[[nodiscard]] size_t DecidedByOldVersion() const
	{
		return static_cast<size_t>(
				std::ranges::count_if(this->probes, [this](const auto &it) { return this->TooOld(*it); }));
	}

	/** @return Number of requests for an added route that were answered as if it did not exist. */
	[[nodiscard]] size_t AddedRouteNotFound() const
	{
		return static_cast<size_t>(std::ranges::count_if(this->probes, [this](const auto &it) {
			return it->sink.status == STATUS_NOT_FOUND && this->TooOld(*it);
		}));
	}

	/** @return Number of requests carried out by an older version than one that was sent SLACK before. */
	[[nodiscard]] size_t WentBack() const
	{
		uint64_t least = 0; /* Version that the requests sent long enough before prove at least. */
		auto earlier = this->probes.begin();
		return static_cast<size_t>(std::ranges::count_if(this->probes, [&](const auto &later) {
			for (; (*earlier)->sent_at + SLACK < later->sent_at; ++earlier) {
				least = std::max(least, (*earlier)->sink.status == STATUS_FOUND ? (*earlier)->route : 0);
			}
			return later->sink.status == STATUS_FOUND && later->route + ROUTES <= least;
		}));
	}

	/** @return Number of requests sent in a span of time that got a status. */
	[[nodiscard]] size_t Answered(int status, Millis from, Millis until) const
	{
		return static_cast<size_t>(std::ranges::count_if(this->probes, [&](const auto &it) {
			return it->sink.status == status && it->sent_at >= from && it->sent_at < until;
		}));
	}

	JobWorld world{1};                               ///< Clock, and a node that owns the service.
	KeyedStore store{1};                             ///< The operators' part of the store.
	std::mt19937 random;                             ///< Random source.
	std::vector<std::unique_ptr<ConfigNode>> others; ///< The nodes beside the one under test.
	size_t spared = 0;                               ///< Index of the node that no fault of the others strikes.
	bool restarted_knows_spared = true;         ///< Whether a restarted node knows that node beside the seed nodes.
	std::vector<std::string> known_nodes;       ///< Their addresses.
	std::unique_ptr<ConfigNode> node;           ///< The node under test.
	Millis started_at;                          ///< When it was started.
	uint64_t version = 1;                       ///< Newest version; the simulated node starts with 1.
	std::map<uint64_t, Millis> published_at;    ///< When each version was published.
	std::vector<std::unique_ptr<Probe>> probes; ///< All requests.

private:
	std::unique_ptr<JobHttpHandler> handler;                     ///< Answers callers at the node under test.
	std::vector<std::unique_ptr<ConfigNode>> ended;              ///< Earlier processes of that node.
	std::vector<std::unique_ptr<JobHttpHandler>> ended_handlers; ///< Their handlers.
	std::vector<std::shared_ptr<ServedRequest>> served;          ///< Requests in progress.

	static constexpr int STATUS_FOUND = 200;     ///< The node has the route.
	static constexpr int STATUS_NOT_FOUND = 404; ///< The node doesn't have the route.

	static std::string RouteOf(uint64_t of) { return "v" + std::to_string(of); }

	static std::string RouteBody(uint64_t of)
	{
		const std::string name = RouteOf(of);
		return R"({"name":")" + name + R"(","host":"h","path-prefix":"/)" + name + R"(/","service":"calc"})";
	}

	/** @return The newest version that must be in force. */
	[[nodiscard]] uint64_t VersionInForce() const
	{
		uint64_t newest = 1;
		for (const auto &[number, at] : this->published_at) {
			newest = at + IN_FORCE_WITHIN < this->world.clock.Now() ? number : newest;
		}
		return newest;
	}

	JobApi &Api() { return this->world.nodes.front()->job_api; }

	std::unique_ptr<ConfigNode> MakeNode(const std::string &address)
	{
		return std::make_unique<ConfigNode>(this->world.clock, this->store, address, [this](const std::string &to) {
			const auto it = std::ranges::find(this->others, to, [](const auto &other) { return other->address; });
			return it == this->others.end() ? nullptr : it->get();
		});
	}

	/** @return Whether a version was published so long before a request that it must have decided it. */
	[[nodiscard]] bool InForceAt(uint64_t number, const Probe &probe) const
	{
		const auto it = this->published_at.find(number);
		return it != this->published_at.end() && it->second + IN_FORCE_WITHIN < probe.sent_at;
	}

	/** @return Whether the answer to a request is one that the versions in force don't allow. */
	[[nodiscard]] bool TooOld(const Probe &probe) const
	{
		if (probe.sent_at < probe.paused_until + IN_TOUCH_AFTER) {
			return false;
		}
		const bool dropped = this->InForceAt(probe.route + ROUTES, probe);
		const bool kept = probe.route + ROUTES > this->version;
		const bool added = this->InForceAt(probe.route, probe);
		return (probe.sink.status == STATUS_FOUND && dropped) ||
			   (probe.sink.status == STATUS_NOT_FOUND && added && kept);
	}
};

#endif /* CONFIG_WORLD_H */
