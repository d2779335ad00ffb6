/** @file slot_broker.h Lends and borrows slots among the entries of a zone, so that their shares follow the load. */
#ifndef SLOT_BROKER_H
#define SLOT_BROKER_H

#include "../generated/wire_generated.h"
#include "../scheduler_type.h"
#include "route_table.h"

#include <set>

/** Sends messages to the other entries of the zone. */
class SlotTransport {
public:
	virtual ~SlotTransport() = default;

	/**
	 * Sends a message, which is lost when the connection breaks.
	 * @param to Entry to send it to.
	 * @param message Message to send.
	 * @return Whether there is a connection to the entry.
	 */
	virtual bool Send(const Peer &to, const glade::wire::MessageUnion &message) = 0;
};

/** Counters of a broker, since its start. */
struct BrokerCounters {
	uint64_t messages = 0;  ///< Messages sent, including those without a connection.
	uint64_t lent = 0;      ///< Slots lent to other entries.
	uint64_t borrowed = 0;  ///< Slots borrowed from other entries.
	uint64_t reclaimed = 0; ///< Slots reclaimed from borrowers that left the membership.
};

/**
 * Each slot of an endpoint belongs to one entry, as SlotShare() computes. An entry with queued requests asks the others
 * for idle slots, and a lender does not use a lent slot until it is returned. So an endpoint never gets more requests
 * at a time than it has slots, whichever messages are lost. The slots of a borrower that fails are reclaimed only after
 * it has left the membership and the requests that it had running have ended.
 */
class SlotBroker {
public:
	/**
	 * @param scheduler Clock, ms.
	 * @param routes Gates of the pools and entries of the zone.
	 * @param self Name of this entry.
	 * @param transport Sends messages to other entries; outlives this.
	 * @param reclaim_delay Time after a borrower's departure until its slots are reclaimed: the longest time that an
	 * endpoint may go on with its requests.
	 */
	SlotBroker(Scheduler &scheduler, RouteTable &routes, MemberName self, SlotTransport &transport,
			   Millis reclaim_delay);

	/** Requests, returns and reclaims slots. Called about twenty times a second. */
	void Tick();

	/**
	 * Handles a message of another entry.
	 * @param message One of SlotWant, SlotLend, SlotReturn and SlotRecall; others are ignored.
	 */
	void OnMessage(const glade::wire::MessageUnion &message);

	/** @return Counters since the start. */
	[[nodiscard]] const BrokerCounters &Counters() const { return this->counters; }

private:
	/** Slots lent to one entry. */
	struct Loan {
		std::map<PoolName, SlotCounts> slots; ///< Slots lent, by pool.
		Incarnation incarnation;              ///< Incarnation of the borrower.
		Millis absent_since; ///< When the borrower was first missing from the members; 0 while it is one.
	};

	Scheduler &scheduler;             ///< Clock.
	RouteTable &routes;               ///< Gates of the pools and entries of the zone.
	MemberName self;                  ///< Name of this entry.
	SlotTransport &transport;         ///< Sends messages to other entries.
	Millis reclaim_delay;             ///< Delay until the slots of an absent borrower are reclaimed.
	std::map<MemberName, Loan> loans; ///< Slots lent, by borrower.
	/** Backoff of the requests for slots of a pool. */
	struct AskBackoff {
		Millis last = Millis(-MS_PER_DAY); ///< Time of the last request.
		Millis interval;                   ///< Interval until the next request; doubles while no entry lends.
		bool answered = true;              ///< Whether slots were lent or returned since the last request.
	};

	/** Unmet part of a request for slots. */
	struct PendingWant {
		uint32_t count = 0; ///< Slots still wanted.
		Millis at;          ///< Time of arrival.
	};

	std::map<PoolName, AskBackoff> backoffs;                             ///< Backoff by pool.
	std::map<PoolName, std::map<MemberName, PendingWant>> pending_wants; ///< Unmet requests by pool and entry.
	std::map<PoolName, size_t> next_peer;                                ///< Index of the next peer to ask, by pool.
	BrokerCounters counters;                                             ///< Counters since the start.

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
