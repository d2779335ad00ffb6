/** @file test_caller_limits.cpp Limits of callers' connections. */
#include "../platform/platform_node.h"
#include "program/settings_tables.h"
#include "raw_caller.h"

#include <doctest/doctest.h>

namespace {

/** @return A free port on loopback. */
quint16 FreePort()
{
	QTcpServer server;
	server.listen(QHostAddress::LocalHost, 0);
	return server.serverPort();
}

} // namespace

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
