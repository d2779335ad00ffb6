/** @file lane.h A thread of an entry: its event loop, its connections, its calls. */
#ifndef LANE_H
#define LANE_H

#include "../net/caller_link.h"
#include "../net/endpoint_link.h"
#include "../request/exchange.h"

#include <QThread>

#include <future>

/** What connections of a lane need; made and destroyed on the lane's thread. */
struct LaneParts;

/** One thread that serves connections. Connections are handed over from the listeners' thread. */
class Lane {
public:
	/**
	 * Starts the thread.
	 * @param path Shared by all requests; outlives this.
	 * @param callers Limits of callers' connections.
	 * @param peers Limits of peers' connections.
	 * @param dial Limits of connections to endpoints.
	 */
	Lane(RequestPath &path, CallerLimits callers, CallerLimits peers, DialLimits dial);

	/** Ends the thread. */
	~Lane();
	Lane(const Lane &) = delete;
	Lane &operator=(const Lane &) = delete;

	/**
	 * Takes over an accepted socket.
	 * @param descriptor The socket.
	 * @param from_peer Whether an entry has connected.
	 */
	void AddConnection(qintptr descriptor, bool from_peer);

	/** Closes connections that have nothing under way. */
	void CloseIdle();

	/**
	 * Runs a function on the lane's thread and waits for it.
	 * @param run The function.
	 */
	void RunOnThread(const std::function<void()> &run);

	/** @return Callers' and peers' connections. */
	[[nodiscard]] int Connections() const { return this->open; }

private:
	RequestPath &path;          ///< Shared by all requests.
	CallerLimits callers;       ///< Limits of callers' connections.
	CallerLimits peers;         ///< Limits of peers' connections.
	DialLimits dial;            ///< Limits of connections to endpoints.
	std::atomic<int> open{0};   ///< Connections.
	QThread thread;             ///< The thread.
	QObject anchor;             ///< Lives on the thread: calls to it run there.
	LaneParts *parts = nullptr; ///< Lives on the thread.
};

#endif /* LANE_H */
