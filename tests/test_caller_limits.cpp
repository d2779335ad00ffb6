/** @file test_caller_limits.cpp Limits of callers' connections: time, number, memory of bodies, unread responses. */
#include "../platform/caller_door.h"
#include "../platform/platform_node.h"
#include "program/settings_tables.h"
#include "raw_caller.h"

#include <doctest/doctest.h>

#include <sys/resource.h>

namespace {

constexpr size_t CONNECTIONS_MAX = 4; ///< Connections that the listener of the tests allows.

std::string Post(const std::string &target, size_t length)
{
	return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

size_t CountOf(const std::string &text, const std::string &part)
{
	size_t n = 0;
	for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
		n++;
	}
	return n;
}

/** Answers each request with the size of its body, at once. Wants no bodies for targets that begin with "/drop". */
class SizeHandler : public RequestHandler {
public:
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override
	{
		this->served++;
		const std::string body = request.body_dropped ? "dropped" : std::to_string(request.body.size());
		ResponseHead head;
		head.length = body.size();
		sink.Begin(head);
		sink.Body(body);
		sink.End();
		return nullptr;
	}
	[[nodiscard]] bool WantsBody(const CallerRequest &head) const override { return !head.target.starts_with("/drop"); }

	uint32_t served = 0; ///< Number of requests served.
};

/** A listener with small limits. */
class LimitedListener {
public:
	explicit LimitedListener(const CallerLimits &limits)
			: connections("test", this->scheduler, this->handler, limits, CONNECTIONS_MAX, this->events),
			  listener([this](qintptr descriptor) { this->connections.Add(descriptor); })
	{
		ListenOptions options;
		options.receive_buffer = options.send_buffer = 4096;
		ResumeAfterAcceptErrors(this->listener);
		ListenOn(this->listener, NetAddress{QHostAddress(QHostAddress::LocalHost), 0}, options);
	}

	[[nodiscard]] quint16 Port() const { return this->listener.serverPort(); }
	[[nodiscard]] uint64_t Refusals(CallerRefusal reason) const
	{
		return this->connections.Counters().refusals[static_cast<size_t>(reason)];
	}

	QtScheduler scheduler;         ///< Event loop.
	NullEventLog events;           ///< Discards lines.
	SizeHandler handler;           ///< Serves the requests.
	CallerConnections connections; ///< The connections.
	CallerListener listener;       ///< Accepts them.
};

CallerLimits SmallLimits()
{
	CallerLimits limits;
	limits.http.body_bytes = 200000;
	limits.response_buffer_bytes = 1024;
	limits.read_buffer_bytes = 4096;
	return limits;
}

/** @return A free port on loopback. */
quint16 FreePort()
{
	QTcpServer server;
	server.listen(QHostAddress::LocalHost, 0);
	return server.serverPort();
}

} // namespace

TEST_CASE("small bodies have a part of the budget of their own, and a growing body moves to the other part")
{
	const auto budget = std::make_shared<ByteBudget>(400 * 1024);
	ByteShare large(budget);
	CHECK(large.Cover(300 * 1024));
	CHECK_FALSE(ByteShare(budget).Cover(100 * 1024));
	ByteShare small(budget);
	CHECK(small.Cover(10 * 1024));
	CHECK(small.Cover(5 * 1024));
	CHECK(budget->Used() == 310 * 1024);
	CHECK_FALSE(small.Cover(SMALL_BODY_BYTES + 1)); /* The part for large bodies is taken. */
	CHECK(budget->Used() == 310 * 1024);
	{
		ByteShare other(budget);
		CHECK(other.Cover(SMALL_BODY_BYTES));
	}
	CHECK(budget->Used() == 310 * 1024);
}

TEST_CASE("a body that isn't wanted is read and dropped, and the connection goes on")
{
	LimitedListener world(SmallLimits());
	RawCaller caller(world.Port());
	caller.Send(Post("/drop", 100000) + std::string(100000, 'x') + Post("/keep", 3) + "abc");
	CHECK(WaitFor([&] { return caller.Has("dropped") && caller.Has("\r\n\r\n3"); }));
	CHECK(world.handler.served == 2);
}

TEST_CASE("a body for which there is no memory is refused as not run, and small ones are still received")
{
	CallerLimits limits = SmallLimits();
	limits.bodies = std::make_shared<ByteBudget>(200 * 1024);
	LimitedListener world(limits);
	RawCaller first(world.Port());
	first.Send(Post("/first", 120000) + std::string(1000, 'x'));
	REQUIRE(WaitFor([&] { return limits.bodies->Used() == 120000; }));
	RawCaller second(world.Port());
	second.Send(Post("/second", 120000) + std::string(1000, 'x'));
	CHECK(WaitFor([&] { return second.Has("503"); }));
	CHECK(second.Has("Glade-Run: no"));
	CHECK(second.Has("Retry-After: 1"));
	CHECK(second.Has("2108")); /* RC_CALLERS_FULL */
	CHECK(WaitFor([&] { return second.Closed(); }));
	RawCaller small(world.Port());
	small.Send(Post("/small", 3) + "abc");
	CHECK(WaitFor([&] { return small.Has("\r\n\r\n3"); }));
	first.Send(std::string(119000, 'x'));
	CHECK(WaitFor([&] { return first.Has("\r\n\r\n120000"); }));
	CHECK(WaitFor([&] { return limits.bodies->Used() == 0; }));
}

TEST_CASE("a body in chunks takes memory as it grows")
{
	CallerLimits limits = SmallLimits();
	limits.bodies = std::make_shared<ByteBudget>(160 * 1024);
	LimitedListener world(limits);
	RawCaller caller(world.Port());
	caller.Send("POST /chunks HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
	std::string chunks;
	for (int n = 0; n < 190000; n++) {
		chunks += "1\r\nx\r\n";
	}
	caller.Send(chunks);
	CHECK(WaitFor([&] { return caller.Has("503"); }));
	CHECK(limits.bodies->Used() <= 160 * 1024);
	CHECK(WaitFor([&] { return caller.Closed(); }));
	CHECK(limits.bodies->Used() == 0);
}

TEST_CASE("a line between chunks that never ends is refused")
{
	LimitedListener world(SmallLimits());
	RawCaller caller(world.Port());
	caller.Send("POST /chunks HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(100000, 'e'));
	CHECK(WaitFor([&] { return caller.Has("400"); }));
	CHECK(world.handler.served == 0);
}

TEST_CASE("the connection that was served least recently gives way to a new one")
{
	LimitedListener world(SmallLimits());
	std::vector<std::unique_ptr<RawCaller>> silent;
	for (size_t n = 0; n < CONNECTIONS_MAX; n++) {
		silent.push_back(std::make_unique<RawCaller>(world.Port()));
		REQUIRE(WaitFor([&] { return world.connections.Open() == n + 1; }));
	}
	silent[0]->Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	REQUIRE(WaitFor([&] { return silent[0]->Has("200 OK"); }));
	RawCaller another(world.Port());
	another.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	CHECK(WaitFor([&] { return another.Has("200 OK"); }));
	CHECK(WaitFor([&] { return silent[1]->Closed(); }));
	CHECK_FALSE(silent[0]->Closed());
	CHECK_FALSE(silent[2]->Closed());
	CHECK(world.connections.Open() == CONNECTIONS_MAX);
	CHECK(world.Refusals(CallerRefusal::CR_DISPLACED) == 1);
}

TEST_CASE("bodies that arrive too slowly are refused, and responses that nobody takes end the connection")
{
	CallerLimits limits = SmallLimits();
	limits.body_grace = limits.send_wait = Millis(100);
	limits.body_rate = 1000000;
	LimitedListener world(limits);
	RawCaller slow(world.Port());
	slow.Send(Post("/slow", 1000) + "x");
	CHECK(WaitFor([&] { return slow.Has("408"); }));
	CHECK(slow.Has("Glade-Run: no"));
	QTcpSocket unread;
	unread.setReadBufferSize(1);
	unread.connectToHost(QHostAddress(QHostAddress::LocalHost), world.Port());
	REQUIRE(unread.waitForConnected());
	std::string requests;
	for (int n = 0; n < 20000; n++) {
		requests += "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	}
	unread.write(requests.data(), static_cast<qint64>(requests.size()));
	CHECK(WaitFor([&] { return world.Refusals(CallerRefusal::CR_TOO_SLOW) == 2; }));
	CHECK(WaitFor([&] { return world.connections.Open() == 0; }));
}

TEST_CASE("requests sent ahead are served once the responses before them are taken")
{
	constexpr uint32_t REQUESTS = 30000;
	LimitedListener world(SmallLimits());
	QTcpSocket caller;
	caller.setReadBufferSize(1);
	caller.connectToHost(QHostAddress(QHostAddress::LocalHost), world.Port());
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
	LimitedListener world(SmallLimits());
	rlimit before{};
	::getrlimit(RLIMIT_NOFILE, &before);
	QTcpSocket caller;
	caller.connectToHost(QHostAddress(QHostAddress::LocalHost), world.Port());
	/* The kernel accepts it; the process has no descriptor for it. */
	REQUIRE(caller.waitForConnected());
	const rlimit none{3, before.rlim_max};
	::setrlimit(RLIMIT_NOFILE, &none);
	bool failed = false;
	QObject::connect(&world.listener, &QTcpServer::acceptError, &world.listener, [&failed] { failed = true; });
	CHECK(WaitFor([&] { return failed; }));
	::setrlimit(RLIMIT_NOFILE, &before);
	caller.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	CHECK(WaitFor([&] { return caller.bytesAvailable() > 0; }));
}

TEST_CASE("limits for callers grow with the machine and leave most of it to the node")
{
	const CallerShares small = SharesOf(NodeMachine{160, 4100});
	CHECK(small.connections == 640);
	CHECK(small.ready_connections == 512);
	CHECK(small.body_bytes == 20 * 1024 * 1024);
	const CallerShares large = SharesOf(NodeMachine{1024, 16384});
	CHECK(large.connections == 4096);
	CHECK(large.body_bytes == 128 * 1024 * 1024);
	CHECK(SharesOf(NodeMachine{1024, 1024}).connections == 256);
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
