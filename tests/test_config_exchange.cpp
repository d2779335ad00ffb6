/** @file test_config_exchange.cpp Configurations in force on nodes that the store turns away. */
#include "node/config_exchange.h"
#include "scheduler_type.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <ranges>

namespace {

constexpr Millis HOP(2);            ///< Time that a message takes from node to node.
constexpr Millis READ(5);           ///< Time that a reading of the store takes.
constexpr Millis POLL(1000);        ///< The store answers a long poll after this, also without news.
constexpr Millis IN_FORCE(3000);    ///< A version is to be in force so long after it was published.
constexpr Millis AWAY_FROM(5000);   ///< When the store begins to turn nodes away,
constexpr Millis AWAY_UNTIL(14000); ///< and when it ends.
constexpr size_t PEERS = 11;        ///< Nodes that each knows: those that hold partitions, and three seeds.

/** The store's newest configuration. */
struct Operator {
	uint64_t version = 1; ///< Its version.
};

/** What a node knows: a long poll on the store unless that turns it away. */
class StoreFeed : public SiteFeed {
public:
	StoreFeed(VirtualScheduler &clock, const Operator &published) : clock(clock), published(published) { this->Poll(); }

	void Start(SiteFeedEvents &) override {}
	void WatchBoxes(bool) override {}
	[[nodiscard]] Millis CurrentAsOf() const override { return this->fresh_at; }
	[[nodiscard]] Millis LastAnswerAt() const override { return this->heard_at; }
	void Confirm(std::function<void(bool)> done) override
	{
		this->clock.After(READ, [this, done = std::move(done)] {
			if (!this->turned_away) {
				this->Learn(this->published.version);
				done(true);
			}
		});
	}
	[[nodiscard]] uint64_t ConfigVersion() const override { return this->version; }
	[[nodiscard]] const std::string &ConfigBody() const override { return this->body; }
	void TakeConfig(const std::string &bytes) override
	{
		if (bytes.starts_with("v")) {
			this->Learn(std::stoull(bytes.substr(1)));
		}
	}

	bool turned_away = false;         ///< Whether the store answers it nothing.
	std::map<uint64_t, Millis> known; ///< When it learned of each version.

private:
	VirtualScheduler &clock;   ///< Clock.
	const Operator &published; ///< The store.
	uint64_t version = 0;      ///< For ConfigVersion().
	std::string body;          ///< For ConfigBody().
	Millis fresh_at;           ///< For CurrentAsOf().
	Millis heard_at;           ///< For LastAnswerAt().
	Millis asked_at;           ///< When its poll was sent.

	void Learn(uint64_t newest)
	{
		if (newest > this->version) {
			this->version = newest;
			this->body = "v" + std::to_string(newest);
			this->known[newest] = this->clock.Now();
		}
	}

	void Poll()
	{
		const Millis now = this->clock.Now();
		const bool news = this->published.version > this->version;
		if (!this->turned_away && (news || now - this->asked_at >= POLL)) {
			this->Learn(this->published.version);
			this->fresh_at = this->asked_at;
			this->heard_at = this->asked_at = now;
		}
		this->clock.After(READ, [this] { this->Poll(); });
	}
};

/** Nodes, the store, and messages between them. */
class ExchangeWorld {
public:
	ExchangeWorld(size_t count, uint32_t seed, bool exchanges) : random(seed)
	{
		for (const size_t n : std::views::iota(size_t{0}, count)) {
			this->nodes.push_back(std::make_unique<Node>(*this, NameOf(n)));
		}
		for (const auto &it : this->nodes) {
			for (size_t n = 0; exchanges && n < PEERS; n++) {
				it->exchange.AddPeer(NameOf(n));
			}
			this->clock.After(Millis(this->Draw(200)), [node = it.get()] { node->exchange.Start(); });
		}
	}

	/** A node. */
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
			this->world.clock.After(HOP, [this, other, question, done] {
				other->exchange.Answer(question, [this, done](const PeerConfig &answer) {
					this->world.bytes += answer.body.size();
					this->world.clock.After(HOP, [done, answer] { done(answer); });
				});
			});
		}

		ExchangeWorld &world;    ///< The world.
		StoreFeed feed;          ///< What it knows.
		ConfigExchange exchange; ///< What others tell.
		bool cut_off = false;    ///< Whether no message gets through.
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

	int64_t Draw(int64_t below) { return static_cast<int64_t>(this->random() % static_cast<uint64_t>(below)); }

	/** Publishes a version at each of so many moments, a gap apart. */
	void Publish(Millis from, size_t times, Millis gap)
	{
		for (size_t n = 0; n < times; n++) {
			this->clock.After(from + Millis(static_cast<int64_t>(n) * gap.Value()) - this->clock.Now(),
							  [this] { this->published_at[++this->published.version] = this->clock.Now(); });
		}
	}

	/** The store turns a share of the nodes away for a while. */
	void TurnAway(double share)
	{
		for (const auto &it : this->nodes) {
			if (static_cast<double>(this->Draw(1000)) < share * 1000) {
				this->clock.After(AWAY_FROM, [node = it.get()] { node->feed.turned_away = true; });
				this->clock.After(AWAY_UNTIL, [node = it.get()] { node->feed.turned_away = false; });
			}
		}
	}

	/** @return The longest time from a version's publication until a node had it or a newer one. */
	Millis Slowest()
	{
		Millis slowest;
		for (const auto &[version, at] : this->published_at) {
			for (const auto &it : this->nodes) {
				const auto known = it->feed.known.lower_bound(version);
				const Millis when = known == it->feed.known.end() ? this->clock.Now() : known->second;
				slowest = std::max(slowest, when - at);
			}
		}
		return slowest;
	}

	VirtualScheduler clock{Millis(0)};        ///< Clock.
	NullEventLog events;                      ///< Lines.
	Operator published;                       ///< The store.
	std::map<uint64_t, Millis> published_at;  ///< When each version was.
	std::vector<std::unique_ptr<Node>> nodes; ///< The nodes.
	std::mt19937 random;                      ///< Draws.
	uint64_t messages = 0;                    ///< Questions sent.
	uint64_t bytes = 0;                       ///< Bytes of configurations sent.
};

} // namespace

/* Guards against keys that work on, or don't work yet, on nodes that the store turns away for nine seconds while all
 * others hear of the change within milliseconds. */
TEST_CASE("config exchange: a version is in force within three seconds on nodes that the store turns away")
{
	for (const uint32_t seed : std::views::iota(1U, 21U)) {
		CAPTURE(seed);
		ExchangeWorld world(43, seed, true);
		world.TurnAway(0.33);
		world.Publish(Millis(4000), 24, Millis(330));
		world.clock.RunUntil(AWAY_UNTIL);
		CHECK(world.Slowest() <= IN_FORCE);
	}
}

TEST_CASE("config exchange: without it the same nodes wait for the store")
{
	ExchangeWorld world(43, 1, false);
	world.TurnAway(0.33);
	world.Publish(Millis(4000), 24, Millis(330));
	world.clock.RunUntil(AWAY_UNTIL);
	CHECK(world.Slowest() > IN_FORCE);
}

TEST_CASE("config exchange: nobody asks anybody while the store answers")
{
	ExchangeWorld world(43, 1, true);
	world.Publish(Millis(1000), 30, Millis(330));
	world.clock.RunUntil(Millis(20000));
	CHECK(world.messages == 0);
	CHECK(world.Slowest() <= POLL);
}

TEST_CASE("config exchange: a node that reaches nobody goes on with what it has, and has the newest soon after")
{
	ExchangeWorld world(5, 1, true);
	ExchangeWorld::Node &alone = *world.nodes.back();
	world.clock.RunUntil(Millis(2000));
	alone.feed.turned_away = alone.cut_off = true;
	world.Publish(Millis(3000), 3, Millis(330));
	world.clock.RunUntil(Millis(9000));
	CHECK(alone.feed.ConfigVersion() == 1);
	bool confirmed = false;
	alone.exchange.Confirm([&](bool it) { confirmed = it; });
	world.clock.RunUntil(Millis(10000));
	CHECK(!confirmed);
	alone.cut_off = false;
	world.clock.RunUntil(Millis(10500));
	CHECK(alone.feed.ConfigVersion() == 4);
	alone.exchange.Confirm([&](bool it) { confirmed = it; });
	world.clock.RunUntil(Millis(11000));
	CHECK(confirmed);
}

TEST_CASE("config exchange: an older version, or what is no configuration, changes nothing")
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
