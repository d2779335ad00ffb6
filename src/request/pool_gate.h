/** @file pool_gate.h Admission and routing for one pool: who gets the next slot, on which endpoint. */
#ifndef POOL_GATE_H
#define POOL_GATE_H

#include "request_type.h"

#include <boost/random/mersenne_twister.hpp>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <set>

/** An endpoint as an entry may use it. */
struct GateEndpoint {
	BoxName box;         ///< The box.
	std::string address; ///< IP:port.
	BoxEpoch epoch;      ///< Epoch of the box.
	bool open = true;    ///< False: nothing new.
	uint32_t share = 0;  ///< Slots of it that this entry may use.
	PermitId permit;     ///< Permit under which the box is drained, 0 for none.
};

/** Slots of endpoints, by box. */
using SlotCounts = std::map<BoxName, uint32_t>;

/** Permission to use one slot of an endpoint. */
struct Grant {
	BoxName box;         ///< The box.
	std::string address; ///< IP:port.
	BoxEpoch epoch;      ///< Epoch of the box at granting.
};

/** What the gate says to a request. */
struct GateDecision {
	ResultCode code = ResultCode::RC_OK; ///< RC_OK with a grant, or why there is none: not run.
	Grant grant;                         ///< With RC_OK.
	Millis retry_after;                  ///< When to come back, with a refusal.
};

/** A request that wants a slot. */
struct SlotRequest {
	ServiceName service;                         ///< Its service.
	WorkClass work_class = WorkClass::WC_NORMAL; ///< Its class.
	Millis deadline;                             ///< When its answer must be there, by the lane's clock.
	std::set<BoxName> avoid;                ///< Endpoints to take only if there is no other: they failed it before.
	bool only_spare = false;                ///< Take a slot only if nobody waits: a guest from another zone.
	std::function<void(GateDecision)> done; ///< Gets a later answer; called on any thread, without locks held.
};

using SlotRequestId = Strong<struct SlotRequestIdTag, uint64_t>; ///< A request waiting at a gate; 0 is "none".

/** How a request on an endpoint ended, for passive health. */
enum class CallOutcome : uint8_t {
	CO_SUCCESS = 0,           ///< A whole answer that is no server error.
	CO_SERVER_ERROR = 1,      ///< An answer with a server error.
	CO_CONNECTION_FAILED = 2, ///< No connection, or broke off.
	CO_REFUSED = 3,           ///< The endpoint says that it has no room: not its fault.
	CO_CANCELLED = 4,         ///< Ended by the caller: says nothing.
};

/** How a gate is set. */
struct GateSettings {
	size_t queue_limit = 256;            ///< Waiting requests per service.
	Millis eject_base = Millis(1000);    ///< First ejection; doubles with each in a row.
	Millis eject_max = Millis(30000);    ///< Longest ejection.
	uint32_t eject_after = 3;            ///< Failures in a row that eject.
	uint32_t eject_cap_percent = 34;     ///< Share of a pool's endpoints that may be ejected at once.
	Millis initial_latency = Millis(20); ///< Time a request takes, before any was seen.
	Millis long_request = Millis(500);   ///< Services that hold slots longer leave room for urgent ones.
	bool admit_by_deadline = true;       ///< Drop what can't be on time. Off only as a baseline of the bench.
	Millis borrow_idle = Millis(100);    ///< Borrowed slots that no request needed for so long go back.
	bool two_choices = true;             ///< Two random choices; off (round robin) only as a baseline.
	bool eject = true;                   ///< Passive ejection; off only as a baseline.
};

/** Counters of a gate. */
struct GateCounters {
	uint64_t granted = 0;           ///< Slots given.
	uint64_t queue_full = 0;        ///< Refused: queue full.
	uint64_t cannot_be_on_time = 0; ///< Refused: could not be on time.
	uint64_t no_endpoint = 0;       ///< Refused: no endpoint open.
	uint64_t ejections = 0;         ///< Endpoints ejected.
};

/** State of an endpoint, for dumps. */
struct EndpointStatus {
	GateEndpoint endpoint;  ///< What the view says.
	uint32_t in_flight = 0; ///< Requests on it from this entry.
	uint32_t lent = 0;      ///< Slots of the share lent to others.
	uint32_t borrowed = 0;  ///< Slots lent by others.
	Millis typical;         ///< Smoothed time of a request.
	bool ejected = false;   ///< Whether it is ejected now.
};

/**
 * The gate of one pool. Thread safe: its state is one shard under its own lock; answers are given after unlocking.
 */
class PoolGate {
public:
	/**
	 * @param settings Limits.
	 * @param seed Seed of the random choices.
	 */
	PoolGate(GateSettings settings, uint64_t seed);

	/**
	 * Takes over endpoints and services of a new view.
	 * @param endpoints Endpoints of the own zone.
	 * @param rows Services of the pool.
	 * @param share_scale Own share of the whole pool's slots, in millionths: ceilings hold fleet-wide.
	 * @param gained_usable_from Shares that grew count from then on: until then others may still use them.
	 * @param now Lane's clock.
	 */
	void Update(const std::vector<GateEndpoint> &endpoints, const std::vector<ServiceRow> &rows, uint64_t share_scale,
				Millis gained_usable_from, Millis now);

	/**
	 * Asks for a slot.
	 * @param ask The request.
	 * @param now Lane's clock.
	 * @param[out] id For Withdraw(), when no answer is returned.
	 * @return An answer at once, or nothing: `ask.done` will get it.
	 */
	std::optional<GateDecision> RequestSlot(SlotRequest request, Millis now, SlotRequestId &id);

	/**
	 * Takes a waiting request out.
	 * @param id The request.
	 * @return Whether it still waited; if not, its answer was given or is on its way.
	 */
	bool CancelRequest(SlotRequestId id);

	/**
	 * Gives a slot back.
	 * @param box The box.
	 * @param service Service that held the slot.
	 * @param outcome How the request ended.
	 * @param held How long the slot was held.
	 * @param now Lane's clock.
	 */
	void Release(const BoxName &box, const ServiceName &service, CallOutcome outcome, Millis held, Millis now);

	/**
	 * Refuses what can't be on time any more and grants what has become free. Called some ten times a second.
	 * @param now Lane's clock.
	 */
	void Tick(Millis now);

	/**
	 * How many slots more would be used now.
	 * @param now Lane's clock.
	 * @return Requests that wait although their service might take more.
	 */
	[[nodiscard]] uint32_t SlotDemand(Millis now) const;

	/**
	 * Lends idle slots of the own share. Nothing is lent while requests wait here.
	 * @param most Most slots.
	 * @param now Lane's clock.
	 * @return What is lent; it is gone until ReclaimSlots().
	 */
	SlotCounts Lend(uint32_t most, Millis now);

	/**
	 * Lent slots have come back.
	 * @param slots The slots.
	 * @param now Lane's clock.
	 */
	void ReclaimSlots(const SlotCounts &slots, Millis now);

	/**
	 * Slots were lent to this entry.
	 * @param lender Who lent them.
	 * @param slots The slots.
	 * @param now Lane's clock.
	 */
	void Borrow(const MemberName &lender, const SlotCounts &slots, Millis now);

	/**
	 * A lender needs slots itself: as they become free they are not used again.
	 * @param lender The lender.
	 * @param count How many.
	 */
	void Recall(const MemberName &lender, uint32_t count);

	/**
	 * Gives back borrowed slots that are recalled or have been idle for `borrow_idle`.
	 * @param lender The lender.
	 * @param now Lane's clock.
	 * @return What goes back; this entry does not use it any more.
	 */
	SlotCounts ReturnSlots(const MemberName &lender, Millis now);

	/** @return Slots lent and not back yet. */
	[[nodiscard]] uint32_t LentSlots() const;

	/** @return Endpoints that are being drained under a permit, with nothing in flight from this entry. */
	[[nodiscard]] std::vector<GateEndpoint> Drained() const;

	/** @return Endpoints, for dumps. */
	[[nodiscard]] std::vector<EndpointStatus> Endpoints(Millis now) const;

	/** @return Counters. */
	[[nodiscard]] GateCounters Counters() const;

	/** @return Requests waiting. */
	[[nodiscard]] size_t Waiting() const;

private:
	/** An endpoint and what was seen of it. */
	struct EndpointState {
		GateEndpoint view;        ///< What the view says.
		uint32_t in_flight = 0;   ///< Requests on it.
		int64_t typical_us = 0;   ///< Smoothed time of a request, 0 for none seen.
		uint32_t failures = 0;    ///< Failures in a row.
		uint32_t error_score = 0; ///< Smoothed share of errors, in thousandths.
		uint32_t ejections = 0;   ///< Ejections in a row.
		Millis ejected_until;     ///< End of the ejection.
		uint32_t refusals = 0;    ///< Its own refusals in a row.
		Millis refused_until;     ///< Its own refusal holds until then.
		uint32_t base = 0;        ///< Part of the share that counts already.
		uint32_t lent = 0;        ///< Slots of the share lent to others.
		uint32_t borrowed = 0;    ///< Slots lent by others.
		uint32_t recalled = 0;    ///< Part of them not to be used again.
		uint32_t peak = 0;        ///< Most requests at once in this window of `borrow_idle`.
		uint32_t last_peak = 0;   ///< The same of the window before.
		Millis window;            ///< Start of this window.
		bool listed = true;       ///< Whether the view has it; else it is dropped when empty.
	};

	/** Slots borrowed from one lender. */
	struct BoxLoan {
		uint32_t owed = 0;     ///< Slots.
		uint32_t recalled = 0; ///< Part of them that the lender needs.
	};

	/** A waiting request. */
	struct Waiter {
		SlotRequestId id;    ///< For Withdraw().
		SlotRequest request; ///< The request.
	};

	/** A service's queue and use. */
	struct ServiceState {
		ServiceRow row;                                 ///< Its row.
		uint32_t floor = 0;                             ///< Own share of its floor.
		uint32_t ceiling = 0;                           ///< Own share of its ceiling.
		uint32_t in_flight = 0;                         ///< Slots held.
		uint32_t recent_peak = 0;                       ///< Largest recent use.
		Millis peak_since;                              ///< Since when the peak counts.
		int64_t typical_us = 0;                         ///< Smoothed time of a request.
		std::map<WorkClass, std::list<Waiter>> waiting; ///< By class, sorted by deadline.
		size_t waiting_count = 0;                       ///< Waiters of all classes.
	};

	using Decisions = std::vector<std::pair<std::function<void(GateDecision)>, GateDecision>>;

	mutable std::mutex lock;                                           ///< Guards all that follows.
	GateSettings settings;                                             ///< Limits.
	boost::random::mt19937_64 random;                                  ///< Random choices.
	std::map<BoxName, EndpointState> endpoints;                        ///< Endpoints.
	std::map<ServiceName, ServiceState> services;                      ///< Services.
	std::map<SlotRequestId, std::pair<ServiceName, WorkClass>> queued; ///< Where a waiter stands.
	uint64_t last_id = 0;                                              ///< Last waiter.
	std::map<MemberName, std::map<BoxName, BoxLoan>> loans_by_lender;  ///< Borrowed slots by lender.
	uint64_t round_robin = 0;                                          ///< Next choice of the baseline.
	Millis gained_usable_from;                                         ///< When shares that grew begin to count.
	GateCounters counters;                                             ///< Counters.

	[[nodiscard]] static bool Removable(const EndpointState &it);
	void AdvanceWindow(EndpointState &it, Millis now) const;
	[[nodiscard]] static uint32_t LimitOf(const EndpointState &it);
	EndpointState *Choose(const std::set<BoxName> &avoid, Millis now);
	EndpointState *LessLoaded(EndpointState *a, EndpointState *b) const;
	[[nodiscard]] bool Usable(const EndpointState &it, Millis now) const;
	[[nodiscard]] bool AnyOpen() const;
	[[nodiscard]] uint32_t FreeSlots(Millis now) const;
	[[nodiscard]] uint32_t TotalSlots(Millis now) const;
	[[nodiscard]] uint32_t ReservedFor(const ServiceState &applicant) const;
	[[nodiscard]] bool MayGrant(const ServiceState &service, uint32_t free) const;
	ServiceState *NextService(uint32_t free);
	GateDecision GrantSlot(ServiceState &service, EndpointState &endpoint, Millis now);
	[[nodiscard]] Millis TypicalLatency(const ServiceState &service) const;
	[[nodiscard]] Millis WaitFor(const ServiceState &service, WorkClass work_class, Millis deadline, Millis now) const;
	void RefuseLate(ServiceState &service, Millis now, Decisions &decisions);
	void GrantWaiting(Millis now, Decisions &decisions);
	void UpdateHealth(EndpointState &it, CallOutcome outcome, Millis now);
	void Eject(EndpointState &it, Millis now);
	GateDecision Refuse(ResultCode code, const ServiceState *service, Millis now);
	static void Deliver(Decisions &decisions);
};

#endif /* POOL_GATE_H */
