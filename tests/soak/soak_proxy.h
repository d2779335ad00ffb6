/** @file soak_proxy.h A loopback proxy that delays, resets, silences or cuts connections one way. */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include "net/qt_scheduler.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <set>

/** What the proxy does to what passes. */
enum class ProxyFault : uint8_t {
	PF_NONE = 0,    ///< Nothing.
	PF_DELAY = 1,   ///< Bytes come later.
	PF_SILENT = 2,  ///< Bytes of both ways are held, and lost; new connections stand, but say nothing.
	PF_ONE_WAY = 3, ///< Bytes of the answering way are held, and lost.
	PF_RESET = 4,   ///< Connections are reset, new ones too.
};

/** Forwards connections to one port. */
class SoakProxy : public QTcpServer {
public:
	/** @param scheduler Clock. @param to Port that it forwards to. */
	SoakProxy(QtScheduler &scheduler, quint16 target_port) : scheduler(scheduler), target_port(target_port) {}

	/** @return Whether it listens. */
	bool Start() { return this->listen(QHostAddress::LocalHost, 0); }
	/** Sets a fault. @param now What goes wrong from now on. */
	void Set(ProxyFault now);
	/** The connections that stand fall silent for good, without a reset; new ones work. */
	void SilenceOpenConnections();

protected:
	void incomingConnection(qintptr descriptor) override;

private:
	/** A connection of both sides. */
	struct Pair;

	QtScheduler &scheduler;                 ///< Clock.
	quint16 target_port;                    ///< Port that it forwards to.
	ProxyFault fault = ProxyFault::PF_NONE; ///< In force.
	std::set<std::shared_ptr<Pair>> pairs;  ///< Connections.

	void Forward(const std::shared_ptr<Pair> &pair, bool answering);
	void Drop(const std::shared_ptr<Pair> &pair, bool reset);
};

#endif /* SOAK_PROXY_H */
