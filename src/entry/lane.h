/** @file lane.h A worker thread of an entry, with its event loop, connections and calls. */
#ifndef LANE_H
#define LANE_H

#include "../net/caller_link.h"
#include "../net/endpoint_link.h"
#include "../request/exchange.h"

#include <QThread>

#include <future>

/** State of a lane; created and destroyed on the lane's thread. */
struct LaneState;

/** A worker thread that serves connections accepted on the listeners' thread. */
class Lane {
public:
	/**
	 * Starts the thread.
	 * @param path State shared by all requests; outlives this object.
	 * @param caller_limits Limits of connections from callers.
	 * @param peer_limits Limits of connections from peers.
	 * @param dial_limits Limits of connections to endpoints.
	 */
	Lane(RequestPath &path, CallerLimits caller_limits, CallerLimits peer_limits, DialLimits dial_limits);

	/** Closes all connections and stops the thread. */
	~Lane();
	Lane(const Lane &) = delete;
	Lane &operator=(const Lane &) = delete;

	/**
	 * Takes ownership of an accepted socket.
	 * @param descriptor The socket.
	 * @param from_peer Whether the other end is an entry.
	 */
	void AddConnection(qintptr descriptor, bool from_peer);

	/** Closes connections without a request in progress. */
	void CloseIdle();

	/**
	 * Runs a function on the lane's thread and blocks until it returns.
	 * @param run The function.
	 */
	void RunOnThread(const std::function<void()> &run);

	/** @return Number of open connections from callers and peers. */
	[[nodiscard]] int Connections() const { return this->open_connections; }

private:
	RequestPath &path;                    ///< State shared by all requests.
	CallerLimits caller_limits;           ///< Limits of connections from callers.
	CallerLimits peer_limits;             ///< Limits of connections from peers.
	DialLimits dial_limits;               ///< Limits of connections to endpoints.
	std::atomic<int> open_connections{0}; ///< Number of open connections.
	QThread thread;                       ///< The thread.
	QObject receiver;                     ///< Lives on the thread; functions invoked on it run there.
	LaneState *state = nullptr;           ///< State; its connections are used on the lane's thread only.
};

#endif /* LANE_H */
