/** @file soak_proxy.h A loopback TCP proxy that injects delays, resets and one-way or two-way loss. */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include "net/qt_scheduler.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <set>

/** Fault of the proxied connections. */
enum class ProxyFault : uint8_t {
	PF_NONE = 0,    ///< None.
	PF_DELAY = 1,   ///< Bytes are delayed by PROXY_DELAY.
	PF_SILENT = 2,  ///< Bytes of both directions are dropped; connections are still accepted.
	PF_ONE_WAY = 3, ///< Bytes from the server are dropped.
	PF_RESET = 4,   ///< Open and new connections are reset.
};

/** Forwards connections to one loopback port. */
class SoakProxy : public QTcpServer {
public:
	/** @param scheduler Event loop. @param target_port Port that it forwards to. */
	SoakProxy(QtScheduler &scheduler, quint16 target_port) : scheduler(scheduler), target_port(target_port) {}

	/** Listens on a free loopback port. @return Whether it succeeded. */
	bool Start() { return this->listen(QHostAddress::LocalHost, 0); }
	/** Sets the fault. @param now The new fault; PF_NONE and PF_RESET reset all open connections but silenced ones. */
	void Set(ProxyFault now);
	/** Drops all bytes of the present connections from now on, without a reset; new connections work. */
	void SilenceOpenConnections();

protected:
	void incomingConnection(qintptr descriptor) override;

private:
	/** A connection: both of its sockets. */
	struct Pair;

	QtScheduler &scheduler;                 ///< Event loop.
	quint16 target_port;                    ///< Port that it forwards to.
	ProxyFault fault = ProxyFault::PF_NONE; ///< Active fault.
	std::set<std::shared_ptr<Pair>> pairs;  ///< Open connections.

	void Forward(const std::shared_ptr<Pair> &pair, bool answering);
	void Drop(const std::shared_ptr<Pair> &pair, bool reset);
};

#endif /* SOAK_PROXY_H */
