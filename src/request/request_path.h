/** @file request_path.h State shared by all requests of an entry: routes, keys, retry budget, credentials, counters. */
#ifndef REQUEST_PATH_H
#define REQUEST_PATH_H

#include "key_memory.h"
#include "latency_meter.h"
#include "retry_budget.h"
#include "route_table.h"

#include <atomic>

/** A credential of a client account. Holds a hash of the token, never the token. */
struct Credential {
	AccountName account;            ///< Client account that the token identifies.
	KeyHash token_hash;             ///< Hash of the bearer token.
	std::set<ServiceName> services; ///< Services that the account may use; empty for all.
};

/** Finds the credential that belongs to a token. */
class CredentialStore {
public:
	virtual ~CredentialStore() = default;

	/**
	 * @param authorization Value of the Authorization field; null when the request has none.
	 * @return Matching credential; null when there is none.
	 */
	[[nodiscard]] virtual const Credential *Find(const std::string *authorization) const = 0;
};

/** Settings for the handling of requests. */
struct RequestSettings {
	Millis deadline_urgent = Millis(1000);  ///< Default deadline of urgent requests.
	Millis deadline_normal = Millis(10000); ///< Default deadline of normal requests.
	Millis deadline_batch = Millis(60000);  ///< Default deadline of batch requests.
	Millis deadline_max = Millis(600000);   ///< Longest deadline that a caller may request.
	Millis detach_patience = Millis(30000); ///< How long a call may go on after its caller left or was answered.
	uint32_t max_attempts = 3;              ///< Most endpoints that a request is sent to.
	bool spillover = true; ///< Whether requests are forwarded to another zone when this one has no free slot.
};

/** Counters of requests, since the start. */
struct RequestCounters {
	std::atomic<uint64_t> received{0};     ///< Requests received.
	std::atomic<uint64_t> answered{0};     ///< Complete responses sent to callers.
	std::atomic<uint64_t> refused{0};      ///< Refusals of requests that did not run.
	std::atomic<uint64_t> unknown{0};      ///< Requests of which it is unknown whether they ran.
	std::atomic<uint64_t> retries{0};      ///< Repeated sends of requests that did not run or may run more than once.
	std::atomic<uint64_t> forwarded{0};    ///< Requests forwarded to another entry.
	std::atomic<uint64_t> replayed{0};     ///< Responses from the key memory.
	std::atomic<uint64_t> broken{0};       ///< Responses that ended incomplete.
	std::atomic<uint64_t> callers_left{0}; ///< Callers that disconnected before their response was complete.
	std::atomic<int64_t> open{0};          ///< Requests in progress.
};

/** State shared by all requests of an entry. Thread safe. */
class RequestPath {
public:
	/**
	 * @param self Identity of this entry.
	 * @param gates Settings of the pool gates.
	 * @param times Times that key ownership depends on.
	 * @param keys Limits of the key memory.
	 * @param settings Settings for the handling of requests.
	 * @param credentials Finds the credentials of callers; outlives this.
	 */
	RequestPath(EntryIdentity self, GateSettings gates, LeaseTimes times, KeyLimits keys, RequestSettings settings,
				const CredentialStore &credentials);

	EntryIdentity self;                 ///< Identity of this entry.
	RequestSettings settings;           ///< Settings for the handling of requests.
	RouteTable routes;                  ///< Services, gates and peers of the view in force.
	KeyMemory keys;                     ///< Idempotency keys of requests that ran here.
	RetryBudget retries;                ///< Budget for retries.
	const CredentialStore &credentials; ///< Finds the credentials of callers.
	RequestCounters counters;           ///< Counters since the start.
	std::atomic<bool> stopping{false};  ///< Whether a planned stop is in progress; new requests are refused.

	/**
	 * Adds the latency of a request to the statistics of its service.
	 * @param service Service of the request.
	 * @param ms Latency, ms.
	 */
	void RecordLatency(const ServiceName &service, double ms);

	/** @return Latency summaries by service. */
	[[nodiscard]] std::map<ServiceName, LatencyMeter::Summary> Latencies() const;

private:
	mutable std::mutex lock;                                        ///< Guards the map; each meter has its own lock.
	std::map<ServiceName, std::unique_ptr<LatencyMeter>> latencies; ///< Meters by service.
};

#endif /* REQUEST_PATH_H */
