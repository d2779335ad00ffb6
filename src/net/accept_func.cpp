/** @file accept_func.cpp Listening sockets that bear a shortage of descriptors and crowds of new connections. */
#include "accept_func.h"

#include <QTimer>

#include <sys/socket.h>

namespace {

constexpr int RESUME_DELAY_MS = 100; ///< Delay in ms after a failed accept, for descriptors to become free.

void SetBuffer(int descriptor, int option, int bytes)
{
	if (bytes > 0) {
		::setsockopt(descriptor, SOL_SOCKET, option, &bytes, sizeof(bytes));
	}
}

} // namespace

void ResumeAfterAcceptErrors(QTcpServer &server)
{
	QObject::connect(&server, &QTcpServer::acceptError, &server, [&server] {
		QTimer::singleShot(RESUME_DELAY_MS, &server, [&server] { server.resumeAccepting(); });
	});
}

bool ListenOn(QTcpServer &server, const NetAddress &address, const ListenOptions &options)
{
	server.setListenBacklogSize(options.backlog);
	if (!server.listen(address.ip, address.port)) {
		return false;
	}
	const auto descriptor = static_cast<int>(server.socketDescriptor());
	SetBuffer(descriptor, SO_RCVBUF, options.receive_buffer);
	SetBuffer(descriptor, SO_SNDBUF, options.send_buffer);
	return true;
}
