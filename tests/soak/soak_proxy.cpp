/** @file soak_proxy.cpp A loopback TCP proxy with fault injection. */
#include "soak_proxy.h"

#include <QHostAddress>

namespace {

constexpr Millis PROXY_DELAY(150); ///< Delay of bytes under PF_DELAY.

} // namespace

struct SoakProxy::Pair {
	QTcpSocket caller;     ///< Side of the client.
	QTcpSocket server;     ///< Side of the server.
	bool silenced = false; ///< Whether all bytes are dropped for the rest of the connection.
};

void SoakProxy::Set(ProxyFault now)
{
	this->fault = now;
	const bool heals = now == ProxyFault::PF_NONE;
	/* Bytes were dropped during the fault, so connections that were open then can't continue. */
	if (now == ProxyFault::PF_RESET || heals) {
		const auto all = this->pairs;
		for (const auto &it : all) {
			if (!it->silenced) {
				this->Drop(it, true);
			}
		}
	}
}

void SoakProxy::SilenceOpenConnections()
{
	for (const auto &it : this->pairs) {
		it->silenced = true;
	}
}

void SoakProxy::incomingConnection(qintptr descriptor)
{
	auto pair = std::make_shared<Pair>();
	pair->caller.setSocketDescriptor(descriptor);
	if (this->fault == ProxyFault::PF_RESET) {
		pair->caller.abort();
		return;
	}
	this->pairs.insert(pair);
	const std::weak_ptr<Pair> weak = pair;
	const auto connect_socket = [this, weak](QTcpSocket &socket, bool answering) {
		QObject::connect(&socket, &QTcpSocket::readyRead, &socket, [this, weak, answering] {
			if (const auto it = weak.lock()) {
				this->Forward(it, answering);
			}
		});
		QObject::connect(&socket, &QTcpSocket::disconnected, &socket, [this, weak] {
			this->scheduler.After(Millis(0), [this, weak] {
				if (const auto it = weak.lock()) {
					this->Drop(it, false);
				}
			});
		});
	};
	connect_socket(pair->caller, false);
	connect_socket(pair->server, true);
	pair->server.connectToHost(QHostAddress(QHostAddress::LocalHost), this->target_port);
}

void SoakProxy::Forward(const std::shared_ptr<Pair> &pair, bool answering)
{
	const QByteArray data = (answering ? pair->server : pair->caller).readAll();
	const bool dropped = pair->silenced || this->fault == ProxyFault::PF_SILENT ||
						 (this->fault == ProxyFault::PF_ONE_WAY && answering);
	if (dropped) {
		return;
	}
	const auto pass = [weak = std::weak_ptr<Pair>(pair), data, answering] {
		if (const auto it = weak.lock()) {
			(answering ? it->caller : it->server).write(data);
		}
	};
	if (this->fault == ProxyFault::PF_DELAY) {
		this->scheduler.After(PROXY_DELAY, pass);
	} else {
		pass();
	}
}

void SoakProxy::Drop(const std::shared_ptr<Pair> &pair, bool reset)
{
	if (this->pairs.erase(pair) == 0) {
		return;
	}
	for (QTcpSocket *it : {&pair->caller, &pair->server}) {
		it->disconnect();
		if (reset) {
			it->abort();
		} else {
			it->disconnectFromHost();
		}
	}
	/* The sockets must not be destroyed inside one of their signals. */
	this->scheduler.After(Millis(100), [pair] {});
}
