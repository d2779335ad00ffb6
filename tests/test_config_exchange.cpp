/** @file test_config_exchange.cpp Propagation of configurations between nodes while the store rejects requests of some
 * of them. */
#include "node/config_exchange.h"
#include "scheduler_type.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <ranges>

namespace {

constexpr Millis HOP_LATENCY(2);         ///< One-way latency of a message between nodes.
constexpr Millis READ_LATENCY(5);        ///< Latency of a read from the store.
constexpr Millis POLL_TIMEOUT(1000);     ///< The store answers a long poll after this time even without a new version.
constexpr Millis EFFECTIVE_WITHIN(3000); ///< Time within which a published version must have reached every node.
constexpr Millis REJECTED_FROM(5000);    ///< Time from which the store rejects requests of some nodes.
constexpr Millis REJECTED_UNTIL(14000);  ///< Time from which the store serves all nodes again.
constexpr size_t PEER_COUNT = 11;        ///< Peers of each node: the nodes that hold partitions, and three seed nodes.

/** The newest configuration in the store. */
struct PublishedConfig {
	uint64_t version = 1;     ///< Version of the configuration.
	EvacuatedZones evacuated; ///< The evacuated zones.
};

/** Configuration feed of a node: a long poll on the store, unless the store rejects its requests. */
class StoreFeed : public SiteFeed {
public:
	StoreFeed(VirtualScheduler &clock, const PublishedConfig &published) : clock(clock), published(published)
	{
		this->Poll();
	}

	void Start(SiteFeedEvents &) override {}
	void WatchBoxes(bool) override {}
	void ConfirmReports(std::function<void()>) override {}
	[[nodiscard]] Millis CurrentAsOf() const override { return this->as_of; }
	[[nodiscard]] Millis LastAnswerAt() const override { return this->last_answer_at; }
	[[nodiscard]] Millis ConfirmedAsOf() const override { return this->last_answer_at; }
	void Confirm(std::function<void(bool)> done) override
	{
		this->clock.After(READ_LATENCY, [this, done = std::move(done)] {
			if (!this->requests_rejected) {
				this->AdoptVersion(this->published.version);
				this->TakeEvacuatedZones(this->published.evacuated);
				done(true);
			}
		});
	}
	[[nodiscard]] uint64_t ConfigVersion() const override { return this->version; }
	[[nodiscard]] const std::string &ConfigBody() const override { return this->body; }
	void TakeConfig(const std::string &bytes) override
	{
		if (bytes.starts_with("v")) {
			this->AdoptVersion(std::stoull(bytes.substr(1)));
		}
	}

	[[nodiscard]] const EvacuatedZones &Evacuated() const override { return this->evacuated; }
	void TakeEvacuatedZones(const EvacuatedZones &newer) override
	{
		if (newer.as_of > this->evacuated.as_of) {
			this->evacuated = newer;
			this->zones_learned_at[newer.as_of] = this->clock.Now();
		}
	}

	bool requests_rejected = false;        ///< Whether the store rejects this node's requests.
	std::map<uint64_t, Millis> learned_at; ///< Time at which the node got each version.
	/** Time at which the node got each state of the evacuated zones, by EvacuatedZones::as_of. */
	std::map<uint64_t, Millis> zones_learned_at;

private:
	VirtualScheduler &clock;          ///< Clock of the simulation.
	const PublishedConfig &published; ///< Content of the store.
	uint64_t version = 0;             ///< Version of the configuration that the node has.
	std::string body;                 ///< Body of that configuration.
	EvacuatedZones evacuated;         ///< The evacuated zones that the node knows.
	Millis as_of;                     ///< Start of the last answered poll.
	Millis last_answer_at;            ///< Time of the last answer.
	Millis poll_started_at;           ///< Start of the current poll.

	void AdoptVersion(uint64_t newest)
	{
		if (newest > this->version) {
			this->version = newest;
			this->body = "v" + std::to_string(newest);
			this->learned_at[newest] = this->clock.Now();
		}
	}

	void Poll()
	{
		const Millis now = this->clock.Now();
		const bool has_newer =
				this->published.version > this->version || this->published.evacuated.as_of > this->evacuated.as_of;
		if (!this->requests_rejected && (has_newer || now - this->poll_started_at >= POLL_TIMEOUT)) {
			this->AdoptVersion(this->published.version);
			this->TakeEvacuatedZones(this->published.evacuated);
			this->as_of = this->poll_started_at;
			this->last_answer_at = this->poll_started_at = now;
		}
		this->clock.After(READ_LATENCY, [this] { this->Poll(); });
	}
};

/** Simulates nodes, their store, and the messages between them. */
class ExchangeWorld {
public:
	ExchangeWorld(size_t count, uint32_t seed, bool with_exchange) : random(seed)
	{
		for (const size_t n : std::views::iota(size_t{0}, count)) {
			this->nodes.push_back(std::make_unique<Node>(*this, NameOf(n)));
		}
		for (const auto &it : this->nodes) {
			for (size_t n = 0; with_exchange && n < PEER_COUNT; n++) {
				it->exchange.AddPeer(NameOf(n));
			}
			this->clock.After(Millis(this->RandomBelow(200)), [node = it.get()] { node->exchange.Start(); });
		}
	}

	/** A node with its feed and its exchange. */
	struct Node : public ConfigPeers {
		Node(ExchangeWorld &world, const std::string &name)
				: world(world), feed(world.clock, world.published),
				  exchange(world.clock, feed, *this, world.events, name)
		{
		}

		void Ask(const std::string &address, const ConfigQuestion &question, Done done) override
		{
			Node *other = this->world.Find(address);
			this->world.messages++;
			if (this->cut_off || other == nullptr || other->cut_off) {
				return;
			}
			this->world.clock.After(HOP_LATENCY, [this, other, question, done] {
				other->exchange.Answer(question, [this, done](const PeerConfig &answer) {
					this->world.bytes += answer.body.size();
					this->world.clock.After(HOP_LATENCY, [done, answer] { done(answer); });
				});
			});
		}

		ExchangeWorld &world;    ///< The simulation.
		StoreFeed feed;          ///< Its configuration feed.
		ConfigExchange exchange; ///< Exchange with its peers.
		bool cut_off = false;    ///< Whether messages from and to it are dropped.
	};

	static std::string NameOf(size_t n) { return "10.0.0." + std::to_string(n) + ":1"; }

	Node *Find(const std::string &address)
	{
		for (size_t n = 0; n < this->nodes.size(); n++) {
			if (NameOf(n) == address) {
				return this->nodes[n].get();
			}
		}
		return nullptr;
	}

	int64_t RandomBelow(int64_t below) { return static_cast<int64_t>(this->random() % static_cast<uint64_t>(below)); }

	/**
	 * Schedules publications of new versions.
	 * @param from Time of the first publication.
	 * @param times Number of versions.
	 * @param gap Time between two versions.
	 */
	void Publish(Millis from, size_t times, Millis gap)
	{
		for (size_t n = 0; n < times; n++) {
			this->clock.After(from + Millis(static_cast<int64_t>(n) * gap.Value()) - this->clock.Now(),
							  [this] { this->published_at[++this->published.version] = this->clock.Now(); });
		}
	}

	/**
	 * Lets the store reject the requests of a random share of the nodes from REJECTED_FROM to REJECTED_UNTIL.
	 * @param share The share, from 0 to 1.
	 */
	void RejectNodes(double share)
	{
		for (const auto &it : this->nodes) {
			if (static_cast<double>(this->RandomBelow(1000)) < share * 1000) {
				this->clock.After(REJECTED_FROM, [node = it.get()] { node->feed.requests_rejected = true; });
				this->clock.After(REJECTED_UNTIL, [node = it.get()] { node->feed.requests_rejected = false; });
			}
		}
	}

	/** Schedules a publication of the evacuated zones. @param at Its time. @param zones The evacuated zones. */
	void PublishZones(Millis at, const std::set<ZoneName> &zones)
	{
		this->clock.After(at - this->clock.Now(), [this, zones] {
			this->published.evacuated = EvacuatedZones{this->published.evacuated.as_of + 1, zones};
			this->zones_published_at[this->published.evacuated.as_of] = this->clock.Now();
		});
	}

	/** @return Number of nodes that learned of a state of the evacuated zones in time. @param as_of The state. @param
	 * within Time from its publication. */
	size_t NodesKnowing(uint64_t as_of, Millis within)
	{
		return static_cast<size_t>(std::ranges::count_if(this->nodes, [&](const auto &it) {
			const auto learned_at = it->feed.zones_learned_at.find(as_of);
			return learned_at != it->feed.zones_learned_at.end() &&
				   learned_at->second - this->zones_published_at.at(as_of) <= within;
		}));
	}

	/** @return The longest time from a version's publication until a node had it or a newer one. */
	Millis LongestPropagation()
	{
		Millis slowest;
		for (const auto &[version, at] : this->published_at) {
			for (const auto &it : this->nodes) {
				const auto learned_at = it->feed.learned_at.lower_bound(version);
				const Millis when = learned_at == it->feed.learned_at.end() ? this->clock.Now() : learned_at->second;
				slowest = std::max(slowest, when - at);
			}
		}
		return slowest;
	}

	VirtualScheduler clock{Millis(0)};       ///< Clock of the simulation.
	NullEventLog events;                     ///< Discards log events.
	PublishedConfig published;               ///< Content of the store.
	std::map<uint64_t, Millis> published_at; ///< Publication time of each version.
	/** Publication time of each state of the evacuated zones. */
	std::map<uint64_t, Millis> zones_published_at;
	std::vector<std::unique_ptr<Node>> nodes; ///< All nodes.
	std::mt19937 random;                      ///< Random source.
	uint64_t messages = 0;                    ///< Questions sent to peers.
	uint64_t bytes = 0;                       ///< Bytes of configurations in answers.
};

} // namespace

/* Guards against removed keys that still work, and new keys that don't work yet, on nodes whose requests the
 * store rejects for nine seconds, while all other nodes have the change within milliseconds. */
TEST_CASE("config exchange: a version takes effect within three seconds on nodes whose requests the store rejects")
{
	for (const uint32_t seed : std::views::iota(1U, 21U)) {
		CAPTURE(seed);
		ExchangeWorld world(43, seed, true);
		world.RejectNodes(0.33);
		world.Publish(Millis(4000), 24, Millis(330));
		world.clock.RunUntil(REJECTED_UNTIL);
		CHECK(world.LongestPropagation() <= EFFECTIVE_WITHIN);
	}
}

TEST_CASE("config exchange: without the exchange the same nodes wait for the store")
{
	ExchangeWorld world(43, 1, false);
	world.RejectNodes(0.33);
	world.Publish(Millis(4000), 24, Millis(330));
	world.clock.RunUntil(REJECTED_UNTIL);
	CHECK(world.LongestPropagation() > EFFECTIVE_WITHIN);
}

TEST_CASE("config exchange: evacuated zones reach the same nodes in time, and a removed evacuation does not come back")
{
	for (const uint32_t seed : std::views::iota(1U, 11U)) {
		CAPTURE(seed);
		ExchangeWorld world(43, seed, true);
		world.RejectNodes(0.33);
		world.PublishZones(Millis(6000), {ZoneName("east")});
		world.PublishZones(Millis(9000), {});
		world.clock.RunUntil(Millis(9000));
		CHECK(world.NodesKnowing(1, EFFECTIVE_WITHIN) == 43);
		world.clock.RunUntil(Millis(12000));
		CHECK(world.NodesKnowing(2, EFFECTIVE_WITHIN) == 43);
		/* A node that was cut off meanwhile still has the old state; asking it changes nothing. */
		ExchangeWorld::Node &asking = *world.nodes.front();
		asking.feed.TakeEvacuatedZones(EvacuatedZones{1, {ZoneName("east")}});
		world.clock.RunUntil(REJECTED_UNTIL);
		CHECK(std::ranges::all_of(world.nodes, [](const auto &it) { return it->feed.Evacuated().zones.empty(); }));
	}
}

/* Guards against nodes that stay behind because the store turns away all nodes that hold partitions, the only ones
 * that every node knows. */
TEST_CASE("config exchange: a version reaches nodes of which all known ones are rejected by the store as well")
{
	const auto longest_propagation = [](bool holder_has_callers) {
		ExchangeWorld world(43, 1, true);
		if (holder_has_callers) {
			world.nodes[0]->exchange.LearnPeer(ExchangeWorld::NameOf(40));
		}
		for (const auto &it : world.nodes | std::views::take(PEER_COUNT + 10)) {
			world.clock.After(REJECTED_FROM, [node = it.get()] { node->feed.requests_rejected = true; });
		}
		world.Publish(Millis(4000), 24, Millis(330));
		world.clock.RunUntil(REJECTED_UNTIL);
		return world.LongestPropagation();
	};
	CHECK(longest_propagation(false) > EFFECTIVE_WITHIN);
	CHECK(longest_propagation(true) <= EFFECTIVE_WITHIN);
}

TEST_CASE("config exchange: nodes learn of the nodes that ask them, and pass them on")
{
	ExchangeWorld world(4, 1, false);
	/* Node 2 knows node 1, which node 3 has asked; node 3 is the only one that the store serves. */
	world.nodes[3]->exchange.AddPeer(ExchangeWorld::NameOf(1));
	world.nodes[2]->exchange.AddPeer(ExchangeWorld::NameOf(1));
	world.nodes[3]->feed.requests_rejected = true;
	world.clock.RunUntil(Millis(3000));
	world.nodes[3]->feed.requests_rejected = false;
	world.nodes[1]->feed.requests_rejected = world.nodes[2]->feed.requests_rejected = true;
	world.clock.RunUntil(Millis(6000));
	world.nodes[1]->cut_off = true;
	world.Publish(Millis(6000), 1, Millis(330));
	world.clock.RunUntil(Millis(8000));
	CHECK(world.nodes[2]->feed.ConfigVersion() == 2);
}

TEST_CASE("config exchange: no node asks its peers while the store answers")
{
	ExchangeWorld world(43, 1, true);
	world.Publish(Millis(1000), 30, Millis(330));
	world.clock.RunUntil(Millis(20000));
	CHECK(world.messages == 0);
	CHECK(world.LongestPropagation() <= POLL_TIMEOUT);
}

TEST_CASE("config exchange: an isolated node keeps its version, and gets the newest soon after its peers can be "
		  "reached again")
{
	ExchangeWorld world(5, 1, true);
	ExchangeWorld::Node &isolated = *world.nodes.back();
	world.clock.RunUntil(Millis(2000));
	isolated.feed.requests_rejected = isolated.cut_off = true;
	world.Publish(Millis(3000), 3, Millis(330));
	world.clock.RunUntil(Millis(9000));
	CHECK(isolated.feed.ConfigVersion() == 1);
	bool confirmed = false;
	isolated.exchange.Confirm([&](bool it) { confirmed = it; });
	world.clock.RunUntil(Millis(10000));
	CHECK(!confirmed);
	isolated.cut_off = false;
	world.clock.RunUntil(Millis(10500));
	CHECK(isolated.feed.ConfigVersion() == 4);
	isolated.exchange.Confirm([&](bool it) { confirmed = it; });
	world.clock.RunUntil(Millis(11000));
	CHECK(confirmed);
}

TEST_CASE("config exchange: the simulated feed ignores an older version and an invalid configuration")
{
	ExchangeWorld world(2, 1, true);
	world.Publish(Millis(100), 3, Millis(100));
	world.clock.RunUntil(Millis(3000));
	StoreFeed &feed = world.nodes.front()->feed;
	REQUIRE(feed.ConfigVersion() == 4);
	feed.TakeConfig("v2");
	feed.TakeConfig("nonsense");
	CHECK(feed.ConfigVersion() == 4);
}
