/** @file request_path.h What all requests of an entry share: routes, keys, retry budget, credentials, counters. */
#ifndef REQUEST_PATH_H
#define REQUEST_PATH_H

#include "key_memory.h"
#include "retry_budget.h"
#include "route_table.h"

#include <sstream> // Boost.Accumulators' quantiles use it without including it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <atomic>

/** A member firm's credential, as a hash: the token itself is never kept. */
struct Credential {
	AccountName account;            ///< Client account.
	KeyHash token_hash;             ///< Hash of its bearer token.
	std::set<ServiceName> services; ///< Services that it may use; empty for all.
};

/** Finds the member firm behind a token. */
class CredentialStore {
public:
	virtual ~CredentialStore() = default;

	/**
	 * @param authorization Value of the Authorization field, or null.
	 * @return The credential, or null.
	 */
	[[nodiscard]] virtual const Credential *Find(const std::string *authorization) const = 0;
};

/** How requests are handled. */
struct RequestSettings {
	Millis deadline_urgent = Millis(1000);  ///< Deadline of urgent requests that name none.
	Millis deadline_normal = Millis(10000); ///< The same of normal ones.
	Millis deadline_batch = Millis(60000);  ///< The same of batch ones.
	Millis deadline_max = Millis(600000);   ///< Longest deadline that a caller may name.
	Millis detach_patience = Millis(30000); ///< How long an endpoint may work on after its caller left.
	uint32_t max_attempts = 3;              ///< Most endpoints that one request is offered to.
	bool spillover = true;                  ///< Ask other zones when the own has nothing.
};

/** Counters of the request path. */
struct RequestCounters {
	std::atomic<uint64_t> received{0};     ///< Requests.
	std::atomic<uint64_t> answered{0};     ///< Whole answers passed on.
	std::atomic<uint64_t> refused{0};      ///< Refused as not run.
	std::atomic<uint64_t> unknown{0};      ///< Ended as unknown.
	std::atomic<uint64_t> retries{0};      ///< Sent again, after "not run" or since they may be repeated.
	std::atomic<uint64_t> forwarded{0};    ///< Sent to another entry.
	std::atomic<uint64_t> replayed{0};     ///< Answered from the memory of keys.
	std::atomic<uint64_t> broken{0};       ///< Answers broken off.
	std::atomic<uint64_t> callers_left{0}; ///< Callers that left before their answer.
	std::atomic<int64_t> open{0};          ///< Requests under way.
};

/** Latencies of one service, by Boost.Accumulators. */
class LatencyMeter {
public:
	LatencyMeter();

	/** @param ms Time from the whole request to the end of its answer. */
	void Add(double ms);

	/** Count, mean and quantiles. */
	struct Summary {
		uint64_t count = 0; ///< Requests.
		double mean = 0;    ///< Mean, ms.
		double p50 = 0;     ///< Median, ms.
		double p99 = 0;     ///< 99th of a hundred, ms.
		double max = 0;     ///< Longest, ms.
	};

	/** @return The summary so far. */
	[[nodiscard]] Summary Read() const;

private:
	using Tags = boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
											boost::accumulators::tag::max,
											boost::accumulators::tag::extended_p_square_quantile>;

	mutable std::mutex lock;                                ///< Guards the accumulator.
	boost::accumulators::accumulator_set<double, Tags> set; ///< The accumulator.
};

/** What all requests of an entry share. Thread safe. */
class RequestPath {
public:
	/**
	 * @param self Who this entry is.
	 * @param gates Settings of gates.
	 * @param times Lease times.
	 * @param keys Limits of the memory of keys.
	 * @param settings How requests are handled.
	 * @param credentials Who may call; outlives this.
	 */
	RequestPath(EntryIdentity self, GateSettings gates, LeaseTimes times, KeyLimits keys, RequestSettings settings,
				const CredentialStore &credentials);

	EntryIdentity self;                 ///< Who this entry is.
	RequestSettings settings;           ///< How requests are handled.
	RouteTable routes;                  ///< The fleet as this entry knows it.
	KeyMemory keys;                     ///< Memory of keys.
	RetryBudget retries;                ///< What may be spent on retries.
	const CredentialStore &credentials; ///< Who may call.
	RequestCounters counters;           ///< Counters.
	std::atomic<bool> stopping{false};  ///< A planned stop is under way: nothing new.

	/**
	 * Counts the time of an answered request.
	 * @param service Its service.
	 * @param ms Its time.
	 */
	void RecordLatency(const ServiceName &service, double ms);

	/** @return Latencies by service. */
	[[nodiscard]] std::map<ServiceName, LatencyMeter::Summary> Latencies() const;

private:
	mutable std::mutex lock;                                        ///< Guards the map, not the meters.
	std::map<ServiceName, std::unique_ptr<LatencyMeter>> latencies; ///< By service.
};

#endif /* REQUEST_PATH_H */
