/** @file test_http_line.cpp Whole calls over kept connections, against a server on loopback. */
#include "net/http_caller.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>

namespace {

const std::string WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"; ///< An answer that keeps its connection.

/** Lets the event loop run until something holds, or for 3 s. @param done What is waited for. */
template <class Done>
void LoopUntil(Done done)
{
	QEventLoop loop;
	QTimer look;
	QObject::connect(&look, &QTimer::timeout, &loop, [&] {
		if (done()) {
			loop.quit();
		}
	});
	look.start(1);
	QTimer::singleShot(3000, &loop, &QEventLoop::quit);
	loop.exec();
}

/** Answers each request with given bytes; counts connections. */
class BytesServer {
public:
	explicit BytesServer(std::string answer) : answer(std::move(answer))
	{
		this->server.listen(QHostAddress::LocalHost, 0);
		QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] {
			QTcpSocket *socket = this->server.nextPendingConnection();
			this->sockets.emplace_back(socket);
			QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { this->OnBytes(socket); });
		});
	}

	[[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(this->server.serverPort()); }
	[[nodiscard]] size_t Open() const
	{
		return static_cast<size_t>(std::ranges::count_if(this->sockets, [](const QPointer<QTcpSocket> &it) {
			return it && it->state() == QAbstractSocket::ConnectedState;
		}));
	}

	std::string answer;                        ///< Sent when a request is whole.
	std::string got;                           ///< All bytes that came.
	size_t request_bytes = 1;                  ///< A request is whole with so many bytes.
	bool cut = false;                          ///< Whether connections are closed after the answer.
	std::vector<QPointer<QTcpSocket>> sockets; ///< All connections ever made.

private:
	QTcpServer server; ///< Accepts.

	void OnBytes(QTcpSocket *socket)
	{
		this->got += socket->readAll().toStdString();
		if (this->got.size() < this->request_bytes) {
			return;
		}
		socket->write(this->answer.data(), static_cast<qint64>(this->answer.size()));
		if (this->cut) {
			socket->disconnectFromHost();
		}
	}
};

/** A caller with one call after the other. */
struct Calls {
	explicit Calls(Millis idle_wait = Millis(8000)) : caller(scheduler, DialLimits{Millis(500), idle_wait, 2}) {}

	/** Makes a call and waits for its end. @param address Where. @param body Its body. */
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
		LoopUntil([&ended] { return ended; });
		CHECK(ended);
		return out;
	}

	QtScheduler scheduler; ///< Clock.
	HttpCaller caller;     ///< What is tested.
};

} // namespace

TEST_CASE("calls one after the other go over one kept connection")
{
	BytesServer server(WHOLE);
	Calls calls;
	for (int n = 0; n < 3; n++) {
		const HttpReply reply = calls.Make(server.Address());
		CHECK(reply.result == CallResult::CR_ANSWERED);
		CHECK(reply.status == 200);
		CHECK(reply.body == "ok");
	}
	CHECK(server.sockets.size() == 1);
}

TEST_CASE("an answer that ends with its connection is whole, and the next call takes another connection")
{
	BytesServer server("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it");
	server.cut = true;
	Calls calls;
	for (int n = 0; n < 2; n++) {
		const HttpReply reply = calls.Make(server.Address());
		CHECK(reply.result == CallResult::CR_ANSWERED);
		CHECK(reply.body == "all of it");
	}
	CHECK(server.sockets.size() == 2);
}

TEST_CASE("bytes behind an answer spoil the connection for the next call")
{
	BytesServer server(WHOLE + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers");
	Calls calls;
	CHECK(calls.Make(server.Address()).body == "ok");
	CHECK(calls.Make(server.Address()).body == "ok");
	CHECK(server.sockets.size() == 2);
}

TEST_CASE("a call that nobody listens to was certainly not sent")
{
	std::string address;
	{
		const BytesServer server(WHOLE);
		address = server.Address();
	}
	Calls calls;
	CHECK(calls.Make(address).result == CallResult::CR_NOT_SENT);
	CHECK(calls.Make("no address").result == CallResult::CR_NOT_SENT);
}

TEST_CASE("a call whose connection is cut before its answer may have been carried out")
{
	BytesServer server("");
	server.cut = true;
	Calls calls;
	CHECK(calls.Make(server.Address()).result == CallResult::CR_UNKNOWN);
	server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal";
	CHECK(calls.Make(server.Address()).result == CallResult::CR_UNKNOWN);
	server.answer = "no answer at all\r\n\r\n";
	CHECK(calls.Make(server.Address()).result == CallResult::CR_UNKNOWN);
}

TEST_CASE("a request larger than the socket's buffers arrives whole")
{
	BytesServer server(WHOLE);
	const std::string body(8 * 1024 * 1024, 'b');
	server.request_bytes = body.size();
	Calls calls;
	CHECK(calls.Make(server.Address(), body).result == CallResult::CR_ANSWERED);
	CHECK(server.got.ends_with(std::string(1000, 'b')));
	CHECK(std::ranges::count(server.got, 'b') >= static_cast<ptrdiff_t>(body.size()));
}

TEST_CASE("a kept connection is closed after its time although nobody calls its address again")
{
	BytesServer server(WHOLE);
	Calls calls(Millis(100));
	CHECK(calls.Make(server.Address()).result == CallResult::CR_ANSWERED);
	CHECK(server.Open() == 1);
	LoopUntil([&server] { return server.Open() == 0; });
	CHECK(server.Open() == 0);
}

TEST_CASE("a kept connection that the other end has closed isn't used for the next call")
{
	BytesServer server(WHOLE);
	Calls calls;
	CHECK(calls.Make(server.Address()).result == CallResult::CR_ANSWERED);
	server.sockets.front()->disconnectFromHost();
	LoopUntil([&server] { return server.Open() == 0; });
	CHECK(calls.Make(server.Address()).result == CallResult::CR_ANSWERED);
	CHECK(server.sockets.size() == 2);
}
