/** @file test_caller_limits.cpp Limits of callers' connections. */
#include "../platform/platform_node.h"
#include "net/accept_func.h"
#include "program/settings_tables.h"
#include "raw_caller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace {

/** @return A free port on loopback. */
quint16 FreePort()
{
	QTcpServer server;
	server.listen(QHostAddress::LocalHost, 0);
	return server.serverPort();
}

} // namespace

TEST_CASE("a listener accepts connections again after a shortage of descriptors")
{
	std::vector<qintptr> accepted;
	CallerListener listener([&accepted](qintptr it) { accepted.push_back(it); });
	ResumeAfterAcceptErrors(listener);
	REQUIRE(ListenOn(listener, NetAddress{QHostAddress(QHostAddress::LocalHost), 0}, {}));
	rlimit before{};
	::getrlimit(RLIMIT_NOFILE, &before);
	QTcpSocket caller;
	caller.connectToHost(QHostAddress(QHostAddress::LocalHost), listener.serverPort());
	/* The kernel accepts it; the process has no descriptor for it. */
	REQUIRE(caller.waitForConnected());
	const rlimit none{3, before.rlim_max};
	::setrlimit(RLIMIT_NOFILE, &none);
	bool failed = false;
	QObject::connect(&listener, &QTcpServer::acceptError, &listener, [&failed] { failed = true; });
	CHECK(WaitFor([&] { return failed; }));
	::setrlimit(RLIMIT_NOFILE, &before);
	CHECK(WaitFor([&] { return accepted.size() == 1; }));
	std::ranges::for_each(accepted, [](qintptr it) { ::close(static_cast<int>(it)); });
}

TEST_CASE("a node closes connections whose head stays unfinished")
{
	const quint16 ready = FreePort();
	const std::string text =
			"name: n\nzone: z\ncallers: 127.0.0.1:" + std::to_string(FreePort()) +
			"\nready: 127.0.0.1:" + std::to_string(ready) + "\nframes: 127.0.0.1:" + std::to_string(FreePort()) +
			"\nmetrics: 127.0.0.1:" + std::to_string(FreePort()) + "\nstore: 127.0.0.1:1\nmachines: 127.0.0.1:1\n";
	const SettingsFile settings = ReadSettings("node", text, NodeSettings());
	REQUIRE(settings.result.Ok());
	PlatformNode node(settings.settings);
	REQUIRE(node.Start());
	RawCaller caller(ready);
	caller.Send("GET /v1/ready HTTP/1.1\r\nHo");
	CHECK(WaitFor([&] { return caller.Has("408") && caller.Closed(); }));
}
