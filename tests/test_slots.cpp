/** @file test_slots.cpp Lending of slots between entries: no slot is used twice, whatever messages get lost. */
#include "request/slot_broker.h"
#include "standin/memory/simple_view.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

/** Entries of a zone with their slot brokers; messages may be lost or delivered twice. */
class LendingZone : public SlotTransport {
public:
	LendingZone()
	{
		for (int i = 0; i < 3; i++) {
			auto node = std::make_unique<Node>();
			node->name = MemberName("entry-" + std::to_string(i));
			node->routes = std::make_unique<RouteTable>(EntryIdentity{node->name, ZoneName("z"), Incarnation(1)},
														GateSettings{}, LeaseTimes{});
			node->broker = std::make_unique<SlotBroker>(this->clock, *node->routes, node->name, *this, Millis(3000));
			this->nodes.push_back(std::move(node));
		}
		this->PublishView({0, 1, 2});
		this->clock.RunUntil(Millis(6000));
	}

	/** An entry with its broker. */
	struct Node {
		MemberName name;                    ///< Its name.
		std::unique_ptr<RouteTable> routes; ///< Its route table, which has its gates.
		std::unique_ptr<SlotBroker> broker; ///< Its broker.
		bool dead = false;                  ///< Whether it has died: it gets no messages and no views.
	};

	/** Sends all live entries a view. @param members Numbers of the entries in it. */
	void PublishView(const std::vector<int> &members)
	{
		SimpleViewSpec spec;
		spec.version = ++this->version;
		spec.slots = 9;
		spec.peers.clear();
		for (const int i : members) {
			spec.peers.push_back("entry-" + std::to_string(i));
		}
		const glade::wire::ViewT view = SimpleView(spec);
		for (const auto &it : this->nodes) {
			if (!it->dead) {
				it->routes->Apply(view, this->clock.Now());
			}
		}
	}

	bool Send(const Peer &to, const glade::wire::MessageUnion &message) override
	{
		this->sent++;
		if (this->lose_one_in > 0 && this->sent % this->lose_one_in == 0) {
			return false;
		}
		const auto copy = std::make_shared<glade::wire::MessageUnion>(message);
		const int times = this->repeat_returns && message.AsSlotReturn() != nullptr ? 2 : 1;
		for (int i = 0; i < times; i++) {
			this->clock.After(Millis(2), [this, to, copy] {
				const auto it = std::ranges::find(this->nodes, to.name, &Node::name);
				if (!(*it)->dead) {
					(*it)->broker->OnMessage(*copy);
				}
			});
		}
		return true;
	}

	/** Requests n slots, which are held until they are released. */
	void Load(int node, int n)
	{
		const auto gate = this->Gate(node);
		for (int i = 0; i < n; i++) {
			SlotRequest request;
			request.service = ServiceName("s");
			request.deadline = this->clock.Now() + Millis(MS_PER_HOUR);
			request.done = [this, node](const GateDecision &answer) {
				this->held[node] += answer.code == ResultCode::RC_OK ? 1 : 0;
			};
			SlotRequestId id;
			if (const auto decision = gate->RequestSlot(std::move(request), this->clock.Now(), id); decision) {
				this->held[node] += decision->code == ResultCode::RC_OK ? 1 : 0;
			}
		}
	}

	void Release(int node, int n)
	{
		for (int i = 0; i<n &&this->held[node]> 0; i++) {
			this->held[node]--;
			this->Gate(node)->Release(BoxName("box-0"), ServiceName("s"), CallOutcome::CO_SUCCESS, Millis(10),
									  this->clock.Now());
		}
	}

	/** Runs the simulation and checks that no more slots are held than there are. */
	void Run(Millis span)
	{
		for (Millis t(0); t < span; t = t + Millis(20)) {
			this->clock.RunUntil(this->clock.Now() + Millis(20));
			for (const auto &it : this->nodes) {
				if (!it->dead) {
					it->routes->Gates().begin()->second->Tick(this->clock.Now());
					it->broker->Tick();
				}
			}
			CHECK(this->held[0] + this->held[1] + this->held[2] <= 9);
		}
	}

	std::shared_ptr<PoolGate> Gate(int node)
	{
		return this->nodes[static_cast<size_t>(node)]->routes->Gates().begin()->second;
	}

	VirtualScheduler clock;                   ///< Clock of the simulation.
	std::vector<std::unique_ptr<Node>> nodes; ///< All entries.
	std::map<int, int> held;                  ///< Slots held by each entry.
	uint64_t version = 0;                     ///< Version of the last view.
	int sent = 0;                             ///< Messages sent.
	int lose_one_in = 0;                      ///< Every n-th message is lost; 0 for none.
	bool repeat_returns = false;              ///< Whether slot returns are delivered twice.
};

} // namespace

TEST_CASE("slots: idle shares are lent to entries with waiting requests, and returned when their owner needs them")
{
	LendingZone zone;
	zone.Run(Millis(100));
	zone.Load(0, 20);
	zone.Run(Millis(1000));
	CHECK(zone.held[0] == 9);
	zone.Load(1, 2);
	zone.Run(Millis(200));
	CHECK(zone.held[1] == 0);
	zone.Release(0, 3);
	zone.Run(Millis(1500));
	CHECK(zone.held[1] == 2); /* The borrower does not use recalled slots again. */
}

TEST_CASE("slots: lost and repeated messages create no slots")
{
	LendingZone zone;
	zone.lose_one_in = 3;
	zone.repeat_returns = true;
	for (int round = 0; round < 60; round++) {
		zone.Load(round % 3, 6);
		zone.Run(Millis(200));
		zone.Release(round % 3, 4);
		zone.Release((round + 1) % 3, 9);
		zone.Run(Millis(100));
	}
	CHECK(zone.sent > 100);
}

TEST_CASE("slots: the slots of a dead entry are used again only when its requests must have ended")
{
	LendingZone zone;
	zone.Load(0, 20);
	zone.Run(Millis(1000));
	REQUIRE(zone.held[0] == 9);
	zone.nodes[0]->dead = true;
	zone.PublishView({1, 2});
	zone.Load(1, 20);
	zone.Run(Millis(2000));
	CHECK(zone.held[1] + zone.held[2] == 0); /* The endpoint may still serve requests of the dead entry. */
	zone.held[0] = 0;
	zone.Run(Millis(4000));
	CHECK(zone.held[1] >= 5);
}
