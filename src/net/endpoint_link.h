/** @file endpoint_link.h Client connections to endpoints and peers: one request at a time, never retried automatically.
 */
#ifndef ENDPOINT_LINK_H
#define ENDPOINT_LINK_H

#include "http_codec.h"
#include "qt_scheduler.h"

#include <QTcpSocket>

#include <deque>
#include <map>

/** Limits of outbound connections. */
struct DialLimits {
	Millis connect_wait = Millis(1000); ///< Time limit for establishing a connection.
	Millis idle_wait = Millis(4000);    ///< Maximum idle time before reuse: endpoints usually keep connections longer.
	size_t idle_per_endpoint = 4;       ///< Maximum number of idle connections that a pool keeps per address.
};

/** Starts the calls of one lane and pools idle connections. */
class QtDialer : public EndpointDialer {
public:
	/**
	 * @param scheduler Clock and timers of this thread.
	 * @param limits Limits of the connections.
	 */
	QtDialer(QtScheduler &scheduler, DialLimits limits) : scheduler(scheduler), limits(limits) {}
	~QtDialer() override;

	std::unique_ptr<EndpointCall> Start(const std::string &address, const CallerRequest &request,
										CallEvents &events) override;

	/**
	 * Returns a connection to the pool for the next call to its endpoint.
	 * @param address IP:port.
	 * @param socket The connection; ownership passes to the pool.
	 */
	void KeepIdle(const std::string &address, QTcpSocket *socket);

	/** @return Limits of the connections. */
	[[nodiscard]] const DialLimits &Limits() const { return this->limits; }

private:
	/** An idle connection. */
	struct Idle {
		QTcpSocket *socket = nullptr; ///< The connection.
		Millis since;                 ///< Time when it became idle.
	};

	QtScheduler &scheduler;                       ///< Clock and timers.
	DialLimits limits;                            ///< Limits of the connections.
	std::map<std::string, std::deque<Idle>> idle; ///< Idle connections by address, oldest first.

	QTcpSocket *TakeIdle(const std::string &address);
	void RemoveIdle(const std::string &address, QTcpSocket *socket);
};

#endif /* ENDPOINT_LINK_H */
