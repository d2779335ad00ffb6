/** @file slot_broker.h Lends and borrows slots among the entries of a zone, so that shares follow the load. */
#ifndef SLOT_BROKER_H
#define SLOT_BROKER_H

#include "../generated/wire_generated.h"
#include "../scheduler_type.h"
#include "route_table.h"

#include <set>

/** How a broker reaches the other entries of its zone. */
class SlotTransport {
public:
	virtual ~SlotTransport() = default;

	/**
	 * Sends a message; it may be lost with the connection.
	 * @param to The entry.
	 * @param message The message.
	 * @return Whether there is a connection.
	 */
	virtual bool Send(const Peer &to, const glade::wire::MessageUnion &message) = 0;
};

/** Counters of a broker. */
struct BrokerCounters {
	uint64_t messages = 0;  ///< Messages sent.
	uint64_t lent = 0;      ///< Slots lent.
	uint64_t borrowed = 0;  ///< Slots borrowed.
	uint64_t reclaimed = 0; ///< Slots taken back since their borrower is gone for good.
};

/**
 * Each slot of an endpoint belongs to one entry by SlotShare(). An entry with requests waiting asks the others for
 * idle slots; what is lent is not used by the lender until it comes back. So no moment passes the endpoint's limit,
 * whatever messages are lost; a borrower that vanishes keeps its slots until it has left the membership and whatever
 * it had running has ended.
 */
class SlotBroker {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param routes Gates and peers.
	 * @param self This entry.
	 * @param mail Sends messages.
	 * @param patience How long an endpoint may work on for an entry that has vanished.
	 */
	SlotBroker(Scheduler &scheduler, RouteTable &routes, MemberName self, SlotTransport &transport,
			   Millis reclaim_delay);

	/** Asks for slots, and gives back what is idle. Called some twenty times a second. */
	void Tick();

	/**
	 * A message of another entry.
	 * @param message The message.
	 */
	void OnMessage(const glade::wire::MessageUnion &message);

	/** @return Counters. */
	[[nodiscard]] const BrokerCounters &Counters() const { return this->counters; }

private:
	/** Slots lent to one entry. */
	struct Loan {
		std::map<PoolName, SlotCounts> slots; ///< What is lent.
		Incarnation incarnation;              ///< Start of the borrower.
		Millis absent_since;                  ///< Since when it is not among the members; 0 for present.
	};

	Scheduler &scheduler;             ///< Clock and timers.
	RouteTable &routes;               ///< Gates and peers.
	MemberName self;                  ///< This entry.
	SlotTransport &transport;         ///< Sends messages.
	Millis reclaim_delay;             ///< For entries that have vanished.
	std::map<MemberName, Loan> loans; ///< What others hold of ours.
	/** How a pool's slots are asked for. */
	struct AskBackoff {
		Millis last = Millis(-MS_PER_DAY); ///< When slots were last asked for.
		Millis interval;                   ///< Pause until the next time; doubles while nobody lends.
		bool answered = true;              ///< Whether anybody lent since.
	};

	/** A request for slots that could not be met yet. */
	struct PendingWant {
		uint32_t count = 0; ///< Slots wanted.
		Millis at;          ///< When it came.
	};

	std::map<PoolName, AskBackoff> backoffs;                             ///< By pool.
	std::map<PoolName, std::map<MemberName, PendingWant>> pending_wants; ///< Met as soon as slots fall idle.
	std::map<PoolName, size_t> next_peer;                                ///< Whom to ask next.
	BrokerCounters counters;                                             ///< Counters.

	void RequestSlots(const PoolName &pool, PoolGate &gate, const std::vector<Peer> &peers);
	void Recall(const PoolName &pool, uint32_t count, const std::vector<Peer> &peers);
	void ReturnIdleSlots(const std::vector<Peer> &peers);
	void ReclaimFromAbsent(const std::vector<Peer> &peers);
	void OnWant(const glade::wire::SlotWantT &want);
	void LendToPending();
	uint32_t LendTo(const Peer &peer, const PoolName &pool, uint32_t count);
	void OnLend(const glade::wire::SlotLendT &lend);
	void OnReturn(const glade::wire::SlotReturnT &back);
	bool Send(const Peer &to, const glade::wire::MessageUnion &message);
	[[nodiscard]] std::optional<Peer> FindPeer(const std::string &name) const;
};

#endif /* SLOT_BROKER_H */
