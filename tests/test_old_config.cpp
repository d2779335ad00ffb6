/** @file test_old_config.cpp Requests at nodes that learn of new configurations late. */
#include "config_world.h"

#include <doctest/doctest.h>

#include <ranges>

namespace {

constexpr size_t OTHER_NODES = 12;        ///< Nodes beside the one under test.
constexpr Millis FAULTS_FROM(5000);       ///< Time of the first fault.
constexpr Millis FAULTS_FOR(9000);        ///< Duration of the lasting faults.
constexpr Millis RUN_UNTIL(16000);        ///< End of a run.
constexpr Millis CONNECTION_LOST_FOR(20); ///< Long enough for the answer to the call in progress to be lost.
constexpr Millis PAUSE(2500);             ///< Duration of a pause of the process.
constexpr Millis SLOW_PEERS(400);         ///< One-way latency to slow nodes.
constexpr size_t SEED_NODES = 3;          ///< Nodes that a restarted node knows.

/** A cause of delay on the way of a configuration to the node. */
enum class Delay : uint8_t {
	STORE_REFUSES,   ///< The store refuses the node's calls.
	STORE_SILENT,    ///< The store doesn't answer the node's calls.
	CONNECTION_LOST, ///< One call is never answered.
	PEERS_CUT_OFF,   ///< All other nodes but one are cut off.
	PEERS_REFUSED,   ///< The store refuses the calls of all other nodes but one.
	PEERS_SLOW,      ///< The other nodes answer slowly.
	RESTART,         ///< The process restarts and knows the seed nodes only.
	PAUSED,          ///< The process is paused.
	COMPACTED,       ///< The store drops its history.
	END,             ///< Number of causes.
};

/** Applies a cause of delay. @param it The simulation. @param delay The cause. */
void Apply(ConfigWorld &it, Delay delay)
{
	const size_t spared = it.spared;
	const auto for_a_while = [&it](Millis span, const std::function<void(bool)> &set) {
		set(true);
		it.world.clock.After(span, [set] { set(false); });
	};
	const auto for_others = [&it, spared](const std::function<void(ConfigNode &)> &set) {
		for (size_t n = 0; n < it.others.size(); n++) {
			if (n != spared) {
				set(*it.others[n]);
			}
		}
	};
	switch (delay) {
	case Delay::STORE_REFUSES:
		for_a_while(FAULTS_FOR, [&it](bool on) { it.node->log.faults.refusing = on; });
		break;
	case Delay::STORE_SILENT:
		for_a_while(FAULTS_FOR, [&it](bool on) { it.node->log.faults.silent = on; });
		break;
	case Delay::CONNECTION_LOST:
		for_a_while(CONNECTION_LOST_FOR, [&it](bool on) { it.node->log.faults.silent = on; });
		break;
	case Delay::PEERS_CUT_OFF:
		for_a_while(FAULTS_FOR, [for_others](bool on) { for_others([on](ConfigNode &node) { node.cut_off = on; }); });
		break;
	case Delay::PEERS_REFUSED:
		for_a_while(FAULTS_FOR,
					[for_others](bool on) { for_others([on](ConfigNode &node) { node.log.faults.refusing = on; }); });
		break;
	case Delay::PEERS_SLOW:
		for_a_while(FAULTS_FOR, [&it](bool on) { it.node->peer_latency = on ? SLOW_PEERS : Millis(2); });
		break;
	case Delay::RESTART:
		it.StartNode({it.known_nodes.begin(), it.known_nodes.begin() + SEED_NODES});
		if (it.restarted_knows_spared) {
			it.node->exchange.AddPeer(it.known_nodes[it.spared]);
		}
		break;
	case Delay::PAUSED:
		it.node->scheduler.paused_until = it.world.clock.Now() + PAUSE;
		break;
	case Delay::COMPACTED:
		it.store.Compact();
		break;
	case Delay::END:
		break;
	}
}

/** Runs random combinations of delays. @param restarted_knows_spared See ConfigWorld::restarted_knows_spared. */
void CheckSeveralDelays(bool restarted_knows_spared)
{
	constexpr uint32_t SEEDS = 150;
	constexpr size_t CAUSES = 4;
	constexpr uint32_t SPREAD_MS = 4000;
	for (const uint32_t seed : std::views::iota(1U, SEEDS + 1)) {
		CAPTURE(seed);
		ConfigWorld it(OTHER_NODES, seed);
		it.restarted_knows_spared = restarted_knows_spared;
		for (size_t n = 0; n < CAUSES; n++) {
			const auto delay = static_cast<Delay>(it.random() % static_cast<uint32_t>(Delay::END));
			const Millis at = FAULTS_FROM + Millis(static_cast<int64_t>(it.random() % SPREAD_MS));
			it.world.clock.After(at - ConfigWorld::START, [&it, delay] { Apply(it, delay); });
		}
		it.Run(RUN_UNTIL);
		CHECK(it.DecidedByOldVersion() == 0);
		CHECK(it.WentBack() == 0);
	}
}

} // namespace

TEST_CASE("old configuration: after several delays no request is decided by a version replaced for 3 s")
{
	CheckSeveralDelays(true);
}

TEST_CASE("old configuration: after several delays at one node no request is decided by a version replaced for 3 s")
{
	CheckSeveralDelays(false);
}

TEST_CASE("old configuration: an added route isn't answered 404 when no known node can read the store")
{
	ConfigWorld it(OTHER_NODES, 1);
	it.world.clock.RunUntil(FAULTS_FROM);
	it.node->log.faults.refusing = true;
	std::ranges::for_each(it.others, [](const auto &node) { node->log.faults.refusing = true; });
	it.world.clock.RunUntil(FAULTS_FROM + Millis(500));
	it.Publish();
	it.world.clock.RunUntil(FAULTS_FROM + Millis(5000));
	it.Ask(it.version);
	it.world.clock.RunUntil(FAULTS_FROM + Millis(6000));
	CHECK(it.probes.back()->sink.status == 503);
}

TEST_CASE("old configuration: the word of another node counts from when that node knew it")
{
	constexpr int64_t STEP_MS = 100;
	for (int64_t lost_ms = 0; lost_ms < PAUSE.Value(); lost_ms += STEP_MS) {
		CAPTURE(lost_ms);
		ConfigWorld it(OTHER_NODES, 1);
		it.world.clock.RunUntil(FAULTS_FROM);
		/* After a pause without the store, the node asks nodes that have lost the store a while before. */
		it.node->scheduler.paused_until = FAULTS_FROM + PAUSE;
		it.node->log.faults.refusing = true;
		it.world.clock.After(Millis(lost_ms), [&it] {
			std::ranges::for_each(it.others, [](const auto &node) { node->log.faults.refusing = true; });
		});
		it.Run(FAULTS_FROM + Millis(7000));
		CHECK(it.AddedRouteNotFound() == 0);
	}
}

TEST_CASE("old configuration: one of 24 known nodes answers, whichever it is")
{
	constexpr size_t KNOWN_NODES = 24;
	constexpr size_t SPARED_STEP = 5;
	for (const int64_t poll_ms : {0, 250, 500, 750}) { /* At several moments of the long poll. */
		for (size_t spared = 0; spared < KNOWN_NODES; spared += SPARED_STEP) {
			CAPTURE(poll_ms);
			CAPTURE(spared);
			ConfigWorld it(KNOWN_NODES, 1);
			for (size_t n = 0; n < KNOWN_NODES; n++) {
				it.others[n]->cut_off = n != spared;
			}
			it.world.clock.RunUntil(FAULTS_FROM + Millis(poll_ms));
			it.node->log.faults.refusing = true;
			it.Run(FAULTS_FROM + Millis(6000));
			CHECK(it.DecidedByOldVersion() == 0);
		}
	}
}

TEST_CASE("old configuration: a node without the store and other nodes goes on serving and few requests wait each time")
{
	constexpr int REQUESTS = 100;
	constexpr int WAITING_MAX = 10;
	constexpr Millis OUTAGE(5000);
	ConfigWorld it(OTHER_NODES, 1);
	for (const Millis from : {FAULTS_FROM, FAULTS_FROM + OUTAGE + OUTAGE}) {
		it.world.clock.RunUntil(from);
		it.node->log.faults.silent = it.node->cut_off = true;
		int waiting = 0;
		for (int n = 0; n < REQUESTS; n++) {
			it.world.clock.RunUntil(from + Millis(n * OUTAGE.Value() / REQUESTS));
			it.Ask(it.version);
			it.world.clock.RunUntil(it.world.clock.Now() + Millis(10));
			waiting += it.probes.back()->sink.status == 0 ? 1 : 0;
		}
		it.world.clock.RunUntil(from + OUTAGE);
		it.node->log.faults.silent = it.node->cut_off = false;
		it.world.clock.RunUntil(from + OUTAGE + Millis(1000));
		CHECK(it.Answered(200, from, from + OUTAGE) == REQUESTS);
		CHECK(waiting > 0);
		CHECK(waiting <= WAITING_MAX);
	}
}
