/** @file test_event_loop.cpp The event loop over epoll: what Qt's sockets and timers rely on. */
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

/** Runs the loop until a condition holds; gives up after many turns. */
bool RunUntil(const std::function<bool()> &holds)
{
	QTimer tick;
	tick.start(5);
	for (int turn = 0; turn < 2000 && !holds(); turn++) {
		QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
	}
	return holds();
}

/** Two ends of a stream. */
struct Ends {
	Ends() { REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, this->fd.data()) == 0); }
	~Ends()
	{
		::close(this->fd[0]);
		::close(this->fd[1]);
	}
	Ends(const Ends &) = delete;
	Ends &operator=(const Ends &) = delete;

	std::array<int, 2> fd{}; ///< The ends.
};

} // namespace

TEST_CASE("event loop: the one of the programs is in use")
{
	CHECK(dynamic_cast<EpollDispatcher *>(QCoreApplication::eventDispatcher()) != nullptr);
}

TEST_CASE("event loop: timers ring in order, repeat, and can be taken away from inside one another")
{
	std::vector<int> rung;
	QTimer slow;
	QTimer fast;
	QTimer never;
	QObject::connect(&fast, &QTimer::timeout, [&] {
		rung.push_back(1);
		never.stop();
	});
	QObject::connect(&slow, &QTimer::timeout, [&] { rung.push_back(2); });
	QObject::connect(&never, &QTimer::timeout, [&] { rung.push_back(3); });
	slow.setSingleShot(true);
	slow.start(40);
	fast.start(10);
	never.start(15);
	REQUIRE(RunUntil([&] { return std::ranges::count(rung, 2) == 1 && std::ranges::count(rung, 1) >= 3; }));
	CHECK(rung.front() == 1);
	CHECK(std::ranges::count(rung, 3) == 0);
}

TEST_CASE("event loop: a descriptor whose number is given to another socket is watched anew")
{
	int seen = 0;
	for (int round = 0; round < 3; round++) {
		Ends ends;
		QSocketNotifier notifier(ends.fd[0], QSocketNotifier::Read);
		QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
			std::array<char, 8> bytes{};
			seen += ::read(ends.fd[0], bytes.data(), bytes.size()) > 0 ? 1 : 0;
		});
		REQUIRE(::write(ends.fd[1], "x", 1) == 1);
		REQUIRE(RunUntil([&] { return seen == round + 1; }));
	}
}

TEST_CASE("event loop: a notifier that is switched off and on between two waits still tells")
{
	Ends ends;
	int seen = 0;
	QSocketNotifier reader(ends.fd[0], QSocketNotifier::Read);
	QSocketNotifier writer(ends.fd[0], QSocketNotifier::Write);
	QObject::connect(&reader, &QSocketNotifier::activated, [&] { reader.setEnabled(++seen < 1); });
	QObject::connect(&writer, &QSocketNotifier::activated, [&] { writer.setEnabled(false); });
	reader.setEnabled(false);
	reader.setEnabled(true);
	REQUIRE(::write(ends.fd[1], "x", 1) == 1);
	REQUIRE(RunUntil([&] { return seen == 1; }));
	CHECK(!writer.isEnabled());
}

TEST_CASE("event loop: one notifier may take away another that is told in the same turn")
{
	Ends one;
	Ends two;
	int seen = 0;
	auto first = std::make_unique<QSocketNotifier>(one.fd[0], QSocketNotifier::Read);
	auto second = std::make_unique<QSocketNotifier>(two.fd[0], QSocketNotifier::Read);
	QObject::connect(first.get(), &QSocketNotifier::activated, [&] {
		seen++;
		second.reset();
		first->setEnabled(false);
	});
	QObject::connect(second.get(), &QSocketNotifier::activated, [&] {
		seen++;
		first.reset();
		second->setEnabled(false);
	});
	REQUIRE(::write(one.fd[1], "x", 1) == 1);
	REQUIRE(::write(two.fd[1], "x", 1) == 1);
	REQUIRE(RunUntil([&] { return seen > 0; }));
	QCoreApplication::processEvents();
	CHECK(seen == 1);
}

TEST_CASE("event loop: another thread wakes it")
{
	QEventLoop loop;
	bool told = false;
	const std::unique_ptr<QThread> other(QThread::create([&] {
		QMetaObject::invokeMethod(
				&loop,
				[&] {
					told = true;
					loop.quit();
				},
				Qt::QueuedConnection);
	}));
	other->start();
	/* Without a timer: only the wake-up ends the wait. */
	loop.exec();
	other->wait();
	CHECK(told);
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
	std::vector<qsizetype> back(SOCKETS);
	size_t closed = 0;
	for (size_t n = 0; n < SOCKETS; n++) {
		sockets.push_back(std::make_unique<QTcpSocket>());
		QTcpSocket *socket = sockets.back().get();
		QObject::connect(socket, &QTcpSocket::connected, [socket] { socket->write(QByteArray(BYTES, 'x')); });
		QObject::connect(socket, &QTcpSocket::readyRead, [&back, n, socket] {
			back[n] += socket->readAll().size();
			if (back[n] == BYTES) {
				socket->disconnectFromHost();
			}
		});
		QObject::connect(socket, &QTcpSocket::disconnected, [&closed] { closed++; });
		socket->connectToHost(QHostAddress(QHostAddress::LocalHost), server.serverPort());
	}
	CHECK(RunUntil([&] { return closed == SOCKETS; }));
	CHECK(std::ranges::count(back, BYTES) == SOCKETS);
}

TEST_CASE("event loop: the time spent waiting is told")
{
	const auto *loop = dynamic_cast<EpollDispatcher *>(QCoreApplication::eventDispatcher());
	REQUIRE(loop != nullptr);
	const auto before = loop->IdleTime();
	bool rung = false;
	QTimer::singleShot(50, [&rung] { rung = true; });
	CHECK(RunUntil([&rung] { return rung; }));
	CHECK(loop->IdleTime() > before);
}
