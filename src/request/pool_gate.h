/**
 * @file pool_gate.h Admission control and load balancing for the endpoints of one pool.
 *
 * - Entry: a process that accepts callers' requests and forwards them to endpoints.
 * - View: the routing configuration that a keeper sends to an entry.
 * - Slot: permission to have one request in flight at an endpoint.
 * - Share: the slots of an endpoint that belong to one entry, see SlotShare().
 * - Ejection: an endpoint that fails repeatedly gets no requests for a while.
 */
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

/** An endpoint with the slots that this entry may use on it. */
struct GateEndpoint {
	BoxName box;         ///< Box that the endpoint runs on.
	std::string address; ///< IP:port.
	BoxEpoch epoch;      ///< Epoch of the box.
	bool open = true;    ///< Whether it accepts new requests.
	uint32_t share = 0;  ///< Number of its slots that belong to this entry.
	PermitId permit;     ///< Permit under which the box is being drained; 0 for none.
};

/** Number of slots by box. */
using SlotCounts = std::map<BoxName, uint32_t>;

/** Permission to use one slot of an endpoint. */
struct Grant {
	BoxName box;         ///< Box that the endpoint runs on.
	std::string address; ///< IP:port.
	BoxEpoch epoch;      ///< Epoch of the box when the slot was granted.
};

/** Result of a slot request. */
struct GateDecision {
	ResultCode code =
			ResultCode::RC_OK; ///< RC_OK: granted; else the reason of the refusal, and the request did not run.
	Grant grant;               ///< Valid with RC_OK only.
	Millis retry_after;        ///< With a refusal: delay before the caller should retry, ms.
};

/** Parameters of a slot request. */
struct SlotRequest {
	ServiceName service;                         ///< Service of the request.
	WorkClass work_class = WorkClass::WC_NORMAL; ///< Work class of the request.
	Millis deadline;                             ///< Latest time of the response, by the scheduler's clock.
	std::set<BoxName> avoid; ///< Endpoints that failed this request before; used only if no other is open.
	bool no_queue = false;   ///< Refuse instead of queueing; set for requests forwarded from another zone.
	std::function<void(GateDecision)> done; ///< Receives a deferred decision; called on any thread, without locks held.
};

using SlotRequestId = Strong<struct SlotRequestIdTag, uint64_t>; ///< A queued slot request; 0 for none.

/** How a call to an endpoint ended, for passive health checks. */
enum class CallOutcome : uint8_t {
	CO_SUCCESS = 0,           ///< Complete response that is no server error.
	CO_SERVER_ERROR = 1,      ///< Complete response with a server error (status 500 or above).
	CO_CONNECTION_FAILED = 2, ///< Connection not established or lost.
	CO_REFUSED = 3,           ///< Endpoint refused for lack of capacity; does not count as a failure.
	CO_CANCELLED = 4,         ///< Cancelled by the caller; says nothing about the endpoint's health.
};

/** Settings of a gate. */
struct GateSettings {
	size_t queue_limit = 256;            ///< Longest queue per service, in requests.
	Millis eject_base = Millis(1000);    ///< Duration of the first ejection; doubles with each consecutive one.
	Millis eject_max = Millis(30000);    ///< Longest duration of an ejection.
	uint32_t eject_after = 3;            ///< Consecutive failures that eject an endpoint.
	uint32_t eject_cap_percent = 34;     ///< Largest percentage of a pool's open endpoints ejected at a time.
	Millis initial_latency = Millis(20); ///< Latency assumed for a service without completed requests.
	/** Services with at least this latency, unless urgent, get no slots that are reserved for urgent services: they
	 * would hold them for too long. */
	Millis long_request = Millis(500);
	bool admit_by_deadline =
			true; ///< Queue by deadline and refuse requests that would miss theirs; off only for benchmark baselines.
	Millis borrow_idle = Millis(100); ///< Borrowed slots unused for this long are returned.
	bool two_choices = true;          ///< Power of two random choices; off (round robin) only for benchmark baselines.
	bool eject = true;                ///< Passive ejection; off only for benchmark baselines.
};

/** Counters of a gate, since its start. */
struct GateCounters {
	uint64_t granted = 0;           ///< Slots granted.
	uint64_t queue_full = 0;        ///< Refusals with RC_QUEUE_FULL.
	uint64_t cannot_be_on_time = 0; ///< Refusals with RC_CANNOT_BE_ON_TIME.
	uint64_t no_endpoint = 0;       ///< Refusals with RC_NO_ENDPOINT.
	uint64_t ejections = 0;         ///< Ejections of endpoints.
};

/** Snapshot of an endpoint's state, for dumps. */
struct EndpointStatus {
	GateEndpoint endpoint;  ///< Endpoint as configured.
	uint32_t in_flight = 0; ///< Requests in flight from this entry.
	uint32_t lent = 0;      ///< Slots of this entry's share that are lent to other entries.
	uint32_t borrowed = 0;  ///< Slots borrowed from other entries.
	Millis typical;         ///< Smoothed latency, ms; 0 before the first response.
	bool ejected = false;   ///< Whether the endpoint is ejected now.
};

/**
 * Admits requests to the endpoints of one pool and balances the load among them. Thread safe; callbacks are called
 * after the lock is released.
 */
class PoolGate {
public:
	/**
	 * @param settings Settings of the gate.
	 * @param seed Seed of the random generator that chooses endpoints.
	 */
	PoolGate(GateSettings settings, uint64_t seed);

	/**
	 * Applies the endpoints and services of a new view.
	 * @param endpoints Endpoints of this entry's zone.
	 * @param rows Services of the pool.
	 * @param share_scale This entry's share of the pool's slots in the whole fleet, in millionths. The services' floors
	 * and ceilings, which are configured for the whole fleet, are scaled by it.
	 * @param gained_usable_from Time from which slots gained by a change of shares may be used; until then entries with
	 * the old view may use them.
	 * @param now Scheduler's clock.
	 */
	void Update(const std::vector<GateEndpoint> &endpoints, const std::vector<ServiceRow> &rows, uint64_t share_scale,
				Millis gained_usable_from, Millis now);

	/**
	 * Requests a slot.
	 * @param request Parameters of the request.
	 * @param now Scheduler's clock.
	 * @param[out] id Handle for CancelRequest(); set only when the request is queued.
	 * @return The decision; nothing when the request is queued and `request.done` will receive it.
	 */
	std::optional<GateDecision> RequestSlot(SlotRequest request, Millis now, SlotRequestId &id);

	/**
	 * Removes a request from the queue.
	 * @param id Handle of the request.
	 * @return Whether it was still queued; if not, its callback has been called or is about to be.
	 */
	bool CancelRequest(SlotRequestId id);

	/**
	 * Releases a granted slot.
	 * @param box Box of the slot.
	 * @param service Service that held the slot.
	 * @param outcome How the call ended.
	 * @param held How long the slot was held, ms.
	 * @param now Scheduler's clock.
	 */
	void Release(const BoxName &box, const ServiceName &service, CallOutcome outcome, Millis held, Millis now);

	/**
	 * Refuses queued requests that can no longer meet their deadline and grants free slots. Called about ten times a
	 * second.
	 * @param now Scheduler's clock.
	 */
	void Tick(Millis now);

	/**
	 * Computes how many slots this entry should borrow.
	 * @param now Scheduler's clock.
	 * @return Number of queued requests that their services' ceilings allow to run, less the free slots; at least 0.
	 */
	[[nodiscard]] uint32_t SlotDemand(Millis now) const;

	/**
	 * Lends idle slots of this entry's share to another entry. Nothing is lent while requests are queued here.
	 * @param most Maximum number of slots.
	 * @param now Scheduler's clock.
	 * @return Slots lent; this gate does not use them until ReclaimSlots().
	 */
	SlotCounts Lend(uint32_t most, Millis now);

	/**
	 * As the lender, takes lent slots back into use.
	 * @param slots Slots that were returned, never reached the borrower, or whose borrower has left.
	 * @param now Scheduler's clock.
	 */
	void ReclaimSlots(const SlotCounts &slots, Millis now);

	/**
	 * As the borrower, adds slots that another entry has lent.
	 * @param lender Entry that lent them.
	 * @param slots Slots borrowed.
	 * @param now Scheduler's clock.
	 */
	void Borrow(const MemberName &lender, const SlotCounts &slots, Millis now);

	/**
	 * As the borrower, marks borrowed slots that the lender needs back. They are not used for further requests, and the
	 * next ReturnSlots() returns those that are free.
	 * @param lender Entry that lent them.
	 * @param count Number of slots that the lender needs, including those that it recalled before.
	 */
	void Recall(const MemberName &lender, uint32_t count);

	/**
	 * As the borrower, gives up free borrowed slots that were recalled, or were unused for `borrow_idle`.
	 * @param lender Entry that lent them.
	 * @param now Scheduler's clock.
	 * @return Slots to return to the lender; this gate no longer uses them.
	 */
	SlotCounts ReturnSlots(const MemberName &lender, Millis now);

	/** @return Number of slots lent and not yet returned. */
	[[nodiscard]] uint32_t LentSlots() const;

	/** @return Endpoints drained under a permit that have no request in flight from this entry. */
	[[nodiscard]] std::vector<GateEndpoint> Drained() const;

	/** @return Snapshots of all endpoints, for dumps. */
	[[nodiscard]] std::vector<EndpointStatus> Endpoints(Millis now) const;

	/** @return Counters since the start. */
	[[nodiscard]] GateCounters Counters() const;

	/** @return Number of queued requests. */
	[[nodiscard]] size_t Waiting() const;

private:
	/** An endpoint with its load and health. This entry may use `usable_share - lent + borrowed - recalled` slots at a
	 * time, see LimitOf(). */
	struct EndpointState {
		GateEndpoint view;         ///< Endpoint as configured by the view.
		uint32_t in_flight = 0;    ///< Requests in flight from this entry.
		int64_t typical_us = 0;    ///< Smoothed latency, us; 0 before the first response.
		uint32_t failures = 0;     ///< Consecutive failures.
		uint32_t error_score = 0;  ///< Smoothed error rate, in thousandths.
		uint32_t ejections = 0;    ///< Consecutive ejections.
		Millis ejected_until;      ///< End of the ejection.
		uint32_t refusals = 0;     ///< Consecutive CO_REFUSED outcomes.
		Millis refused_until;      ///< End of the backoff after a CO_REFUSED outcome.
		uint32_t usable_share = 0; ///< Slots of `view.share` without those gained but not yet usable.
		uint32_t lent = 0;         ///< Slots of this entry's share that are lent to other entries.
		uint32_t borrowed = 0;     ///< Slots borrowed from other entries.
		uint32_t recalled = 0;     ///< Borrowed slots that were recalled and must not be reused.
		uint32_t peak = 0;      ///< Most requests in flight at a time in the current window, which lasts `borrow_idle`.
		uint32_t last_peak = 0; ///< Most requests in flight at a time in the previous window.
		Millis window_start;    ///< Start of the current window.
		bool listed = true;     ///< Whether the view has the endpoint; if not, it is removed once it is unused.
	};

	/** Slots of one box borrowed from one lender. */
	struct BoxLoan {
		uint32_t owed = 0;     ///< Slots not yet returned.
		uint32_t recalled = 0; ///< Slots not yet returned that the lender has recalled.
	};

	/** A queued request. */
	struct Waiter {
		SlotRequestId id;    ///< Handle for CancelRequest().
		SlotRequest request; ///< Parameters of the request.
	};

	/** Queue and slot usage of a service. */
	struct ServiceState {
		ServiceRow row;                                 ///< Configuration of the service.
		uint32_t floor = 0;                             ///< This entry's share of the floor, in slots.
		uint32_t ceiling = 0;                           ///< This entry's share of the ceiling, in slots.
		uint32_t in_flight = 0;                         ///< Slots in use.
		uint32_t recent_peak = 0;                       ///< Most slots in use at a time within PEAK_WINDOW.
		Millis peak_since;                              ///< When `recent_peak` was set.
		int64_t typical_us = 0;                         ///< Smoothed latency, us; 0 before the first response.
		std::map<WorkClass, std::list<Waiter>> waiting; ///< Queues by class, sorted by deadline.
		size_t waiting_count = 0;                       ///< Queued requests of all classes.
	};

	using Decisions = std::vector<std::pair<std::function<void(GateDecision)>, GateDecision>>;

	mutable std::mutex lock;                                           ///< Guards all members below.
	GateSettings settings;                                             ///< Settings of the gate.
	boost::random::mt19937_64 random;                                  ///< Generator for random choices.
	std::map<BoxName, EndpointState> endpoints;                        ///< Endpoints by box.
	std::map<ServiceName, ServiceState> services;                      ///< Services by name.
	std::map<SlotRequestId, std::pair<ServiceName, WorkClass>> queued; ///< Service and class of queued requests.
	uint64_t last_id = 0;                                              ///< Last request id assigned.
	std::map<MemberName, std::map<BoxName, BoxLoan>> loans_by_lender;  ///< Borrowed slots by lender and box.
	uint64_t round_robin = 0;                                          ///< Next index without `two_choices`.
	Millis gained_usable_from;                                         ///< Time from which gained slots may be used.
	GateCounters counters;                                             ///< Counters since the start.

	/** @return Whether an endpoint that the view no longer has can be removed, as no slot of it is in use, lent or
	 * borrowed. @param it State of the endpoint. */
	[[nodiscard]] static bool Removable(const EndpointState &it);
	void AdvanceWindow(EndpointState &it, Millis now) const;
	/** @return Number of slots of an endpoint that this entry may use at a time. @param it State of the endpoint. */
	[[nodiscard]] static uint32_t LimitOf(const EndpointState &it);
	EndpointState *Choose(const std::set<BoxName> &avoid, Millis now);
	EndpointState *LessLoaded(EndpointState *a, EndpointState *b) const;
	[[nodiscard]] bool Usable(const EndpointState &it, Millis now) const;
	[[nodiscard]] bool AnyOpen() const;
	[[nodiscard]] uint32_t FreeSlots(Millis now) const;
	[[nodiscard]] uint32_t TotalSlots(Millis now) const;
	/** @return Number of free slots that a service must leave to urgent services. @param applicant State of the service
	 * that needs a slot. */
	[[nodiscard]] uint32_t ReservedFor(const ServiceState &applicant) const;
	[[nodiscard]] bool MayGrant(const ServiceState &service, uint32_t free) const;
	ServiceState *NextService(uint32_t free);
	GateDecision GrantSlot(ServiceState &service, EndpointState &endpoint, Millis now);
	[[nodiscard]] Millis TypicalLatency(const ServiceState &service) const;
	[[nodiscard]] Millis EstimatedWait(const ServiceState &service, WorkClass work_class, Millis deadline,
									   Millis now) const;
	void RefuseLate(ServiceState &service, Millis now, Decisions &decisions);
	void GrantWaiting(Millis now, Decisions &decisions);
	void UpdateHealth(EndpointState &it, CallOutcome outcome, Millis now);
	void Eject(EndpointState &it, Millis now);
	GateDecision Refuse(ResultCode code, const ServiceState *service, Millis now);
	static void Deliver(Decisions &decisions);
};

#endif /* POOL_GATE_H */
