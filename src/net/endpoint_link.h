/** @file endpoint_link.h Connections to endpoints and peers: one request at a time, never sent twice by themselves. */
#ifndef ENDPOINT_LINK_H
#define ENDPOINT_LINK_H

#include "http_codec.h"
#include "qt_scheduler.h"

#include <QTcpSocket>

#include <deque>
#include <map>

/** Limits of connections to endpoints. */
struct DialLimits {
	Millis connect_wait = Millis(1000); ///< A connection that does not stand by then failed.
	Millis idle_wait = Millis(4000);    ///< Idle connections are kept this long: less than endpoints usually do.
	size_t idle_each = 4;               ///< Idle connections kept per endpoint and lane.
};

/** Starts calls from one lane and keeps idle connections. */
class QtDialer : public EndpointDialer {
public:
	/**
	 * @param scheduler Clock and timers of this thread.
	 * @param limits Limits.
	 */
	QtDialer(QtScheduler &scheduler, DialLimits limits) : scheduler(scheduler), limits(limits) {}
	~QtDialer() override;

	std::unique_ptr<EndpointCall> Start(const std::string &address, const CallerRequest &request,
										CallEvents &events) override;

	/**
	 * Keeps a connection for the next call to its endpoint.
	 * @param address IP:port.
	 * @param socket The connection; owned from now on.
	 */
	void Keep(const std::string &address, QTcpSocket *socket);

	/** @return Limits. */
	[[nodiscard]] const DialLimits &Limits() const { return this->limits; }

private:
	/** An idle connection. */
	struct Idle {
		QTcpSocket *socket = nullptr; ///< The connection.
		Millis since;                 ///< Since when it is idle.
	};

	QtScheduler &scheduler;                       ///< Clock and timers.
	DialLimits limits;                            ///< Limits.
	std::map<std::string, std::deque<Idle>> idle; ///< Idle connections by address, oldest first.

	QTcpSocket *Reuse(const std::string &address);
	void Forget(const std::string &address, QTcpSocket *socket);
};

#endif /* ENDPOINT_LINK_H */
