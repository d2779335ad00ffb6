/** @file test_http_line.cpp HttpCaller: calls over keep-alive connections to a server on loopback. */
#include "net/http_caller.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>

namespace {

const std::string OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"; ///< Keeps its connection open.

/** Runs the event loop until a condition holds, for at most 3 s. @param done The condition. */
template <class Done>
void RunLoopUntil(Done done)
{
	QEventLoop loop;
	QTimer poll_timer;
	QObject::connect(&poll_timer, &QTimer::timeout, &loop, [&] {
		if (done()) {
			loop.quit();
		}
	});
	poll_timer.start(1);
	QTimer::singleShot(3000, &loop, &QEventLoop::quit);
	loop.exec();
}

/** Answers each request with the same bytes and keeps track of its connections. */
class FixedResponseServer {
public:
	explicit FixedResponseServer(std::string answer) : answer(std::move(answer))
	{
		this->server.listen(QHostAddress::LocalHost, 0);
		QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] {
			QTcpSocket *socket = this->server.nextPendingConnection();
			this->sockets.emplace_back(socket);
			QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { this->OnBytes(socket); });
		});
	}

	[[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(this->server.serverPort()); }
	[[nodiscard]] size_t OpenConnections() const
	{
		return static_cast<size_t>(std::ranges::count_if(this->sockets, [](const QPointer<QTcpSocket> &it) {
			return it && it->state() == QAbstractSocket::ConnectedState;
		}));
	}

	std::string answer;                        ///< Bytes sent as an answer.
	std::string received;                      ///< All bytes received.
	size_t request_bytes = 1;                  ///< The answer is sent once this many bytes were received in all.
	bool close_after_answer = false;           ///< Whether connections are closed after the answer.
	std::vector<QPointer<QTcpSocket>> sockets; ///< All connections accepted so far.

private:
	QTcpServer server; ///< Listener.

	void OnBytes(QTcpSocket *socket)
	{
		this->received += socket->readAll().toStdString();
		if (this->received.size() < this->request_bytes) {
			return;
		}
		socket->write(this->answer.data(), static_cast<qint64>(this->answer.size()));
		if (this->close_after_answer) {
			socket->disconnectFromHost();
		}
	}
};

/** Makes calls one after the other and waits for each. */
struct SequentialCaller {
	explicit SequentialCaller(Millis idle_wait = Millis(8000))
			: caller(scheduler, DialLimits{Millis(500), idle_wait, 2})
	{
	}

	/**
	 * Makes a POST call and waits for its end.
	 * @param address IP:port of the server.
	 * @param body Body of the request.
	 * @return The reply.
	 */
	HttpReply Make(const std::string &address, const std::string &body = {})
	{
		HttpCallSpec spec{address, {}, Millis(2000)};
		spec.request.method = "POST";
		spec.request.target = "/x";
		spec.request.body = body;
		bool ended = false;
		HttpReply out;
		this->caller.Call(spec, [&](const HttpReply &reply) {
			out = reply;
			ended = true;
		});
		RunLoopUntil([&ended] { return ended; });
		CHECK(ended);
		return out;
	}

	QtScheduler scheduler; ///< Scheduler of the caller.
	HttpCaller caller;     ///< Caller under test.
};

} // namespace

TEST_CASE("consecutive calls use one keep-alive connection")
{
	FixedResponseServer server(OK_RESPONSE);
	SequentialCaller sequential_caller;
	for (int n = 0; n < 3; n++) {
		const HttpReply reply = sequential_caller.Make(server.Address());
		CHECK(reply.result == CallResult::CR_ANSWERED);
		CHECK(reply.status == 200);
		CHECK(reply.body == "ok");
	}
	CHECK(server.sockets.size() == 1);
}

TEST_CASE("a response delimited by the end of its connection is complete, and the next call opens another connection")
{
	FixedResponseServer server("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it");
	server.close_after_answer = true;
	SequentialCaller sequential_caller;
	for (int n = 0; n < 2; n++) {
		const HttpReply reply = sequential_caller.Make(server.Address());
		CHECK(reply.result == CallResult::CR_ANSWERED);
		CHECK(reply.body == "all of it");
	}
	CHECK(server.sockets.size() == 2);
}

TEST_CASE("a connection with excess bytes behind a response is not used for the next call")
{
	FixedResponseServer server(OK_RESPONSE + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers");
	SequentialCaller sequential_caller;
	CHECK(sequential_caller.Make(server.Address()).body == "ok");
	CHECK(sequential_caller.Make(server.Address()).body == "ok");
	CHECK(server.sockets.size() == 2);
}

TEST_CASE("a call to an address without a listener is reported as not sent")
{
	std::string address;
	{
		const FixedResponseServer server(OK_RESPONSE);
		address = server.Address();
	}
	SequentialCaller sequential_caller;
	CHECK(sequential_caller.Make(address).result == CallResult::CR_NOT_SENT);
	CHECK(sequential_caller.Make("no address").result == CallResult::CR_NOT_SENT);
}

TEST_CASE("the outcome of a call whose connection closes before the response is complete is unknown")
{
	FixedResponseServer server("");
	server.close_after_answer = true;
	SequentialCaller sequential_caller;
	CHECK(sequential_caller.Make(server.Address()).result == CallResult::CR_UNKNOWN);
	server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal";
	CHECK(sequential_caller.Make(server.Address()).result == CallResult::CR_UNKNOWN);
	server.answer = "no answer at all\r\n\r\n";
	CHECK(sequential_caller.Make(server.Address()).result == CallResult::CR_UNKNOWN);
}

TEST_CASE("a request larger than the socket's buffers arrives completely")
{
	FixedResponseServer server(OK_RESPONSE);
	const std::string body(8 * 1024 * 1024, 'b');
	server.request_bytes = body.size();
	SequentialCaller sequential_caller;
	CHECK(sequential_caller.Make(server.Address(), body).result == CallResult::CR_ANSWERED);
	CHECK(server.received.ends_with(std::string(1000, 'b')));
	CHECK(std::ranges::count(server.received, 'b') >= static_cast<ptrdiff_t>(body.size()));
}

TEST_CASE("an idle connection is closed after its timeout even if its address is not called again")
{
	FixedResponseServer server(OK_RESPONSE);
	SequentialCaller sequential_caller(Millis(100));
	CHECK(sequential_caller.Make(server.Address()).result == CallResult::CR_ANSWERED);
	CHECK(server.OpenConnections() == 1);
	RunLoopUntil([&server] { return server.OpenConnections() == 0; });
	CHECK(server.OpenConnections() == 0);
}

TEST_CASE("an idle connection that the peer has closed is not used for the next call")
{
	FixedResponseServer server(OK_RESPONSE);
	SequentialCaller sequential_caller;
	CHECK(sequential_caller.Make(server.Address()).result == CallResult::CR_ANSWERED);
	server.sockets.front()->disconnectFromHost();
	RunLoopUntil([&server] { return server.OpenConnections() == 0; });
	CHECK(sequential_caller.Make(server.Address()).result == CallResult::CR_ANSWERED);
	CHECK(server.sockets.size() == 2);
}
