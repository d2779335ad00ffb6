/** @file caller_connections.h The connections of one listener: bounds their number and chooses which one gives way. */
#ifndef CALLER_CONNECTIONS_H
#define CALLER_CONNECTIONS_H

#include "../event_log.h"
#include "caller_link.h"

#include <array>
#include <list>
#include <unordered_map>

/** Counts of a listener's connections, for metrics. */
struct CallerCounters {
	uint64_t accepted = 0;                            ///< Connections accepted.
	uint64_t served = 0;                              ///< Requests answered.
	std::array<uint64_t, CALLER_REFUSALS> refusals{}; ///< Refusals by reason.
};

/** @return Name of a reason, as in logs and metrics. @param reason The reason. */
const char *NameOf(CallerRefusal reason);

/**
 * Connections of callers that one listener has accepted. When there are as many as allowed, the one that was served
 * least recently gives way to a new one: a caller that sends its request at once is served also beside many that send
 * none.
 */
class CallerConnections : private CallerLinkOwner {
public:
	/**
	 * @param name Name of the listener, for logs and metrics.
	 * @param scheduler Clock and timers.
	 * @param handler Serves the requests; outlives this object.
	 * @param limits Limits of each connection.
	 * @param connections_max Maximum number of connections.
	 * @param events Event log; outlives this object.
	 */
	CallerConnections(std::string name, QtScheduler &scheduler, RequestHandler &handler, const CallerLimits &limits,
					  size_t connections_max, EventLog &events);
	~CallerConnections() override;
	CallerConnections(const CallerConnections &) = delete;
	CallerConnections &operator=(const CallerConnections &) = delete;

	/** Takes ownership of an accepted socket. @param descriptor The socket. */
	void Add(qintptr descriptor);
	/** Closes the connections without a request. */
	void CloseIdle();
	/** @return Number of open connections. */
	[[nodiscard]] size_t Open() const { return this->links.size(); }
	/** @return Name of the listener. */
	[[nodiscard]] const std::string &Name() const { return this->name; }
	/** @return Counts since the start. */
	[[nodiscard]] const CallerCounters &Counters() const { return this->counters; }

private:
	std::string name;              ///< Name of the listener.
	QtScheduler &scheduler;        ///< Clock and timers.
	RequestHandler &handler;       ///< Serves the requests.
	const CallerLimits limits;     ///< Limits of each connection.
	size_t connections_max;        ///< Maximum number of connections.
	EventLog &events;              ///< Event log.
	std::atomic<int> open{0};      ///< Count kept by the connections.
	std::list<CallerLink *> links; ///< Least recently served first.
	std::unordered_map<const CallerLink *, std::list<CallerLink *>::iterator> places; ///< Places in `links`.
	CallerCounters counters;                                                          ///< Counts since the start.
	CallerCounters logged;                                                            ///< Counts at the last log line.
	TimerId log_timer;                                                                ///< Next log line, if one is due.

	void OnServed(CallerLink &link) override;
	void OnClosed(CallerLink &link) override;
	void OnRefused(CallerRefusal reason) override;
	bool MakeRoom(const CallerLink &link, size_t bytes) override;
	/** Ends a connection that gives way to another one, and destroys it. */
	void Displace(CallerLink &link);
	/** @return The connection that gives way to a new one; null while requests are served on all of them. */
	[[nodiscard]] CallerLink *LeastRecent() const;
	void LogRefusals();
};

#endif /* CALLER_CONNECTIONS_H */
