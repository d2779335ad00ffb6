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

size_t CountOf(const std::string &text, const std::string &part)
{
	size_t n = 0;
	for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
		n++;
	}
	return n;
}

/** Answers each request with the size of its body, at once. */
class SizeHandler : public RequestHandler {
public:
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override
	{
		this->served++;
		const std::string body = std::to_string(request.body.size());
		ResponseHead head;
		head.length = body.size();
		sink.Begin(head);
		sink.Body(body);
		sink.End();
		return nullptr;
	}

	uint32_t served = 0; ///< Number of requests served.
};

/** A listener whose connections keep few unread response bytes. */
class PlainListener {
public:
	PlainListener()
			: listener([this](qintptr descriptor) {
				  new CallerLink(this->scheduler, this->handler, this->limits, this->open, descriptor);
			  })
	{
		this->limits.response_buffer_bytes = 1024;
		ListenOptions options;
		options.receive_buffer = options.send_buffer = 4096;
		ListenOn(this->listener, NetAddress{QHostAddress(QHostAddress::LocalHost), 0}, options);
	}

	QtScheduler scheduler;    ///< Event loop.
	SizeHandler handler;      ///< Serves the requests.
	CallerLimits limits;      ///< Limits of the connections.
	std::atomic<int> open{0}; ///< Count of connections.
	CallerListener listener;  ///< Accepts connections.
};

/** @return A free port on loopback. */
quint16 FreePort()
{
	QTcpServer server;
	server.listen(QHostAddress::LocalHost, 0);
	return server.serverPort();
}

} // namespace

TEST_CASE("requests sent ahead are served once the responses before them are taken")
{
	constexpr uint32_t REQUESTS = 30000;
	PlainListener world;
	QTcpSocket caller;
	caller.setReadBufferSize(1);
	caller.connectToHost(QHostAddress(QHostAddress::LocalHost), world.listener.serverPort());
	REQUIRE(caller.waitForConnected());
	std::string requests;
	for (uint32_t n = 0; n < REQUESTS; n++) {
		requests += "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	}
	caller.write(requests.data(), static_cast<qint64>(requests.size()));
	uint32_t last = 0;
	/* Goes on until no more requests are served, since the buffers between both ends are full. */
	REQUIRE(WaitFor([&] { return world.handler.served > 0 && std::exchange(last, world.handler.served) == last; }));
	CHECK(world.handler.served < REQUESTS);
	std::string input;
	caller.setReadBufferSize(0);
	CHECK(WaitFor([&] {
		input += caller.readAll().toStdString();
		return CountOf(input, "200 OK") == REQUESTS;
	}));
}

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
