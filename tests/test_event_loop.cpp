/** @file test_event_loop.cpp The epoll event dispatcher: timers, socket notifiers and wake-ups. */
#include "net/epoll_dispatcher.h"

#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QThread>
#include <QTimer>

#include <array>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

/** Runs the event loop until a condition holds, for at most 2000 iterations. @return Whether it holds. */
bool RunUntil(const std::function<bool()> &holds)
{
	QTimer tick;
	tick.start(5);
	for (int iteration = 0; iteration < 2000 && !holds(); iteration++) {
		QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
	}
	return holds();
}

/** A connected pair of non-blocking stream sockets. */
struct SocketPair {
	SocketPair() { REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, this->fd.data()) == 0); }
	~SocketPair()
	{
		::close(this->fd[0]);
		::close(this->fd[1]);
	}
	SocketPair(const SocketPair &) = delete;
	SocketPair &operator=(const SocketPair &) = delete;

	std::array<int, 2> fd{}; ///< Descriptors of the two ends.
};

} // namespace

TEST_CASE("event loop: EpollDispatcher is installed")
{
	CHECK(dynamic_cast<EpollDispatcher *>(QCoreApplication::eventDispatcher()) != nullptr);
}

TEST_CASE("event loop: timers fire in order, repeat, and can be stopped by another timer's handler")
{
	std::vector<int> fired;
	QTimer slow;
	QTimer fast;
	QTimer stopped;
	QObject::connect(&fast, &QTimer::timeout, [&] {
		fired.push_back(1);
		stopped.stop();
	});
	QObject::connect(&slow, &QTimer::timeout, [&] { fired.push_back(2); });
	QObject::connect(&stopped, &QTimer::timeout, [&] { fired.push_back(3); });
	slow.setSingleShot(true);
	slow.start(40);
	fast.start(10);
	stopped.start(15);
	REQUIRE(RunUntil([&] { return std::ranges::count(fired, 2) == 1 && std::ranges::count(fired, 1) >= 3; }));
	CHECK(fired.front() == 1);
	CHECK(std::ranges::count(fired, 3) == 0);
}

TEST_CASE("event loop: a descriptor number that is reused by another socket is watched again")
{
	int activations = 0;
	for (int round = 0; round < 3; round++) {
		SocketPair pair;
		QSocketNotifier notifier(pair.fd[0], QSocketNotifier::Read);
		QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
			std::array<char, 8> bytes{};
			activations += ::read(pair.fd[0], bytes.data(), bytes.size()) > 0 ? 1 : 0;
		});
		REQUIRE(::write(pair.fd[1], "x", 1) == 1);
		REQUIRE(RunUntil([&] { return activations == round + 1; }));
	}
}

TEST_CASE("event loop: a notifier that is disabled and enabled again between two waits still fires")
{
	SocketPair pair;
	int activations = 0;
	QSocketNotifier reader(pair.fd[0], QSocketNotifier::Read);
	QSocketNotifier writer(pair.fd[0], QSocketNotifier::Write);
	QObject::connect(&reader, &QSocketNotifier::activated, [&] { reader.setEnabled(++activations < 1); });
	QObject::connect(&writer, &QSocketNotifier::activated, [&] { writer.setEnabled(false); });
	reader.setEnabled(false);
	reader.setEnabled(true);
	REQUIRE(::write(pair.fd[1], "x", 1) == 1);
	REQUIRE(RunUntil([&] { return activations == 1; }));
	CHECK(!writer.isEnabled());
}

TEST_CASE("event loop: a notifier's handler may destroy another notifier that is ready in the same iteration")
{
	SocketPair one;
	SocketPair two;
	int activations = 0;
	auto first = std::make_unique<QSocketNotifier>(one.fd[0], QSocketNotifier::Read);
	auto second = std::make_unique<QSocketNotifier>(two.fd[0], QSocketNotifier::Read);
	QObject::connect(first.get(), &QSocketNotifier::activated, [&] {
		activations++;
		second.reset();
		first->setEnabled(false);
	});
	QObject::connect(second.get(), &QSocketNotifier::activated, [&] {
		activations++;
		first.reset();
		second->setEnabled(false);
	});
	REQUIRE(::write(one.fd[1], "x", 1) == 1);
	REQUIRE(::write(two.fd[1], "x", 1) == 1);
	REQUIRE(RunUntil([&] { return activations > 0; }));
	QCoreApplication::processEvents();
	CHECK(activations == 1);
}

TEST_CASE("event loop: a call queued by another thread wakes it")
{
	QEventLoop loop;
	bool called = false;
	const std::unique_ptr<QThread> other(QThread::create([&] {
		QMetaObject::invokeMethod(
				&loop,
				[&] {
					called = true;
					loop.quit();
				},
				Qt::QueuedConnection);
	}));
	other->start();
	/* No timer is running, so only the wake-up ends the wait. */
	loop.exec();
	other->wait();
	CHECK(called);
}

TEST_CASE("event loop: many connections carry bytes both ways and close")
{
	QTcpServer server;
	REQUIRE(server.listen(QHostAddress::LocalHost));
	QObject::connect(&server, &QTcpServer::newConnection, [&] {
		while (QTcpSocket *socket = server.nextPendingConnection()) {
			QObject::connect(socket, &QTcpSocket::readyRead, [socket] { socket->write(socket->readAll()); });
		}
	});
	constexpr qsizetype BYTES = 300000;
	constexpr size_t SOCKETS = 40;
	std::vector<std::unique_ptr<QTcpSocket>> sockets;
	std::vector<qsizetype> echoed(SOCKETS);
	size_t closed = 0;
	for (size_t n = 0; n < SOCKETS; n++) {
		sockets.push_back(std::make_unique<QTcpSocket>());
		QTcpSocket *socket = sockets.back().get();
		QObject::connect(socket, &QTcpSocket::connected, [socket] { socket->write(QByteArray(BYTES, 'x')); });
		QObject::connect(socket, &QTcpSocket::readyRead, [&echoed, n, socket] {
			echoed[n] += socket->readAll().size();
			if (echoed[n] == BYTES) {
				socket->disconnectFromHost();
			}
		});
		QObject::connect(socket, &QTcpSocket::disconnected, [&closed] { closed++; });
		socket->connectToHost(QHostAddress(QHostAddress::LocalHost), server.serverPort());
	}
	CHECK(RunUntil([&] { return closed == SOCKETS; }));
	CHECK(std::ranges::count(echoed, BYTES) == SOCKETS);
}

TEST_CASE("event loop: the time spent waiting is counted as idle")
{
	const auto *loop = dynamic_cast<EpollDispatcher *>(QCoreApplication::eventDispatcher());
	REQUIRE(loop != nullptr);
	const auto before = loop->IdleTime();
	bool fired = false;
	QTimer::singleShot(50, [&fired] { fired = true; });
	CHECK(RunUntil([&fired] { return fired; }));
	CHECK(loop->IdleTime() > before);
}
