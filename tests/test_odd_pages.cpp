/** @file test_odd_pages.cpp Pages of records that can't be read, or are too long. */
#include "../platform/store_client.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>

/* Guards against a node that drops all that it knows because one page of records can't be read. */
TEST_CASE("odd bytes: a page of records that can't be read is a failed read, not an empty page")
{
	QTcpServer server;
	REQUIRE(server.listen(QHostAddress(QHostAddress::LocalHost)));
	std::string body;
	QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
		QTcpSocket *socket = server.nextPendingConnection();
		QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, &body] {
			socket->readAll();
			const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
			socket->write((head + body).c_str());
		});
	});
	QtScheduler scheduler;
	HttpCaller caller(scheduler, DialLimits{Millis(1000), Millis(8000), 2});
	NullEventLog events;
	StoreClient store(scheduler, caller, events, "127.0.0.1:" + std::to_string(server.serverPort()), AppendLimits{});
	const auto read = [&](const std::string &bytes) {
		body = bytes;
		NewestPage out;
		QEventLoop loop;
		store.Newest(PartitionId{"keyed.servers", 0}, {}, [&](const NewestPage &page) {
			out = page;
			loop.quit();
		});
		loop.exec();
		return out;
	};
	CHECK(read(R"({"items":[{"tls-key":"k","value":"dg==","offset":0}],"more":false,"end":1})").records.size() == 1);
	CHECK(read(R"({"items":[],"end":0})").code == ResultCode::RC_OK);
	for (const char *bytes : {"", "{", "[]", R"({"items":[{"tls-key":"k","value":)", R"({"items":[]})"}) {
		CAPTURE(bytes);
		CHECK(read(bytes).code != ResultCode::RC_OK);
	}
	/* A body without a bound would take the node's memory. */
	CHECK(read(R"({"items":[],"end":0,"pad":")" + std::string(17 * 1024 * 1024, 'x') + "\"}").code !=
		  ResultCode::RC_OK);
	CHECK(read(R"({"items":[],"end":0})").code == ResultCode::RC_OK);
}
