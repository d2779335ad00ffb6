/** @file test_sockets.cpp The request path over real sockets on loopback: callers and endpoints that misbehave. */
#include "entry/lane.h"
#include "program/settings_tables.h"
#include "raw_caller.h"
#include "standin/endpoint/endpoint_standin.h"
#include "standin/memory/simple_view.h"

#include <doctest/doctest.h>

#include <QCoreApplication>

#include <functional>

namespace {

/** One endpoint stand-in and one lane of an entry, on ephemeral ports. */
class SocketWorld {
public:
	SocketWorld() : SocketWorld(CallerLimits{}) {}

	explicit SocketWorld(const CallerLimits &limits)
			: endpoint(ReadSettings("t", "listen: 127.0.0.1:0\nname: box-1\nslots: 4\nwork: 5ms\n",
									EndpointStandinSettings())
							   .settings),
			  path(EntryIdentity{MemberName("entry"), ZoneName("z"), Incarnation(1)}, GateSettings{}, LeaseTimes{},
				   KeyLimits{}, RequestSettings{}, this->credentials),
			  lane(this->path, limits, limits, DialLimits{}),
			  listener([this](qintptr socket) { this->lane.AddConnection(socket, false); })
	{
		this->endpoint.Start();
		SimpleViewSpec spec;
		spec.slots = 4;
		spec.address = "127.0.0.1:" + std::to_string(this->endpoint.Port());
		const glade::wire::ViewT view = SimpleView(spec);
		this->path.routes.Apply(view, Millis(0));
		this->listener.listen(QHostAddress::LocalHost, 0);
	}

	[[nodiscard]] quint16 Port() const { return this->listener.serverPort(); }

	int RunsOf(const char *what) { return this->endpoint.Dump()["runs"].toObject()[what].toInt(); }

	EndpointStandin endpoint; ///< The endpoint; runs on this thread.
	AnyCaller credentials;    ///< Accepts every caller.
	RequestPath path;         ///< The request path.
	Lane lane;                ///< Lane that serves the connections.
	CallerListener listener;  ///< Listener for callers.
};

std::string Get(const std::string &target)
{
	return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

std::string Post(const std::string &target, const std::string &body)
{
	return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
		   body;
}

size_t CountOf(const std::string &text, const std::string &part)
{
	size_t n = 0;
	for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
		n++;
	}
	return n;
}

} // namespace

TEST_CASE("sockets: pipelined requests are answered in their order, each with its own answer")
{
	SocketWorld world;
	RawCaller caller(world.Port());
	caller.Send(Get("/s/slow?work_ms=60") + Get("/s/fast") + Post("/s/third", "abc"));
	REQUIRE(WaitFor([&] { return CountOf(caller.input, "\"box\"") == 3; }));
	const size_t slow = caller.input.find("/s/slow");
	const size_t fast = caller.input.find("/s/fast");
	CHECK(slow < fast);
	CHECK(fast < caller.input.find("/s/third"));
}

TEST_CASE("sockets: a request sent byte by byte and one in chunks reach the endpoint completely")
{
	SocketWorld world;
	RawCaller caller(world.Port());
	for (const char c : Post("/s/bytes", "hello")) {
		caller.Send(std::string(1, c));
		QCoreApplication::processEvents();
	}
	CHECK(WaitFor([&] { return caller.Has("\"bytes\":5"); }));
	caller.Send("POST /s/chunks HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
				"chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
	CHECK(WaitFor([&] { return caller.Has("\"bytes\":7"); }));
}

TEST_CASE("sockets: callers that disconnect at any moment leave no open requests")
{
	SocketWorld world;
	for (int round = 0; round < 30; round++) {
		RawCaller caller(world.Port());
		caller.Send(round % 3 == 0 ? "GET /s/x HT" : Post("/s/leave?work_ms=20", "abc"));
		WaitFor([&] { return round % 2 == 0 || world.path.counters.received > 0; });
		caller.Disconnect();
	}
	RawCaller last(world.Port());
	last.Send(Get("/s/after"));
	CHECK(WaitFor([&] { return last.Has("/s/after"); }));
	CHECK(WaitFor([&] { return world.path.counters.open == 0; }));
	CHECK(world.endpoint.Dump()["peak"].toInt() <= 4);
}

TEST_CASE(
		"sockets: a POST whose endpoint closes without an answer is sent once, and its outcome is reported as unknown")
{
	SocketWorld world;
	RawCaller control(world.endpoint.Port());
	control.Send(Get("/fault?kind=1&count=1")); /* EF_CLOSE */
	REQUIRE(WaitFor([&] { return control.Has("200 OK"); }));
	RawCaller caller(world.Port());
	caller.Send(Post("/s/once", "abc"));
	REQUIRE(WaitFor([&] { return caller.Has("\r\n\r\n"); }));
	CHECK(caller.Has("502"));
	CHECK(caller.Has("Glade-Run: unknown"));
	CHECK(world.RunsOf("POST /s/once abc") == 1);
}

TEST_CASE("sockets: a truncated response is visibly broken; a chunked response is relayed completely")
{
	SocketWorld world;
	RawCaller control(world.endpoint.Port());
	control.Send(Get("/fault?kind=2&count=3")); /* EF_HALF */
	REQUIRE(WaitFor([&] { return control.Has("200 OK"); }));
	RawCaller half(world.Port());
	half.Send(Get("/s/half"));
	/* If a reset overtakes the partial response, the entry sees no head and reports the outcome as unknown. */
	CHECK(WaitFor([&] { return half.Closed() || half.Has("Glade-Run: unknown"); }));
	CHECK_FALSE(half.Has("\"bytes\""));
	control.Send(Get("/fault?kind=0&count=0")); /* EF_NONE */
	REQUIRE(WaitFor([&] { return CountOf(control.input, "200 OK") == 2; }));
	RawCaller stream(world.Port());
	stream.Send(Get("/s/stream?stream=5"));
	CHECK(WaitFor([&] { return stream.Has("\r\n0\r\n\r\n"); }));
	CHECK(CountOf(stream.input, "s\n") == 5);
}

TEST_CASE("sockets: not-run answers are reported as such; slow heads, oversized bodies and ambiguous requests are "
		  "rejected")
{
	CallerLimits limits;
	limits.http.body_bytes = 1000;
	limits.head_wait = Millis(50);
	SocketWorld world(limits);
	RawCaller control(world.endpoint.Port());
	control.Send(Get("/fault?kind=6&count=9")); /* EF_NOT_RUN */
	REQUIRE(WaitFor([&] { return control.Has("200 OK"); }));
	RawCaller refused(world.Port());
	refused.Send(Post("/s/refused", "abc"));
	CHECK(WaitFor([&] { return refused.Has("Glade-Run: no"); }));
	CHECK(world.RunsOf("POST /s/refused abc") == 0);
	RawCaller slow(world.Port());
	slow.Send("GET /s/x HTTP/1.1\r\nHo");
	CHECK(WaitFor([&] { return slow.Has("408"); }));
	RawCaller large(world.Port());
	large.Send(Post("/s/large", std::string(2000, 'x')));
	CHECK(WaitFor([&] { return large.Has("413"); }));
	RawCaller smuggle(world.Port());
	smuggle.Send("POST /s/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n" + Get("/s/hidden"));
	CHECK(WaitFor([&] { return smuggle.Closed(); }));
	CHECK(smuggle.Has("400"));
	CHECK_FALSE(smuggle.Has("hidden"));
	RawCaller expects(world.Port());
	expects.Send("POST /s/e HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
	CHECK(WaitFor([&] { return expects.Has("100 Continue"); }));
}

TEST_CASE("sockets: a planned stop finishes requests in flight and accepts no new ones")
{
	SocketWorld world;
	RawCaller working(world.Port());
	RawCaller idle(world.Port());
	working.Send(Post("/s/work?work_ms=100", "abc"));
	REQUIRE(WaitFor([&] { return world.endpoint.Dump()["running"].toInt() == 1; }));
	world.path.stopping = true;
	world.lane.CloseIdle();
	CHECK(WaitFor([&] { return idle.Closed(); }));
	CHECK(WaitFor([&] { return working.Has("\"bytes\":3"); }));
	CHECK(working.Has("200 OK"));
	RawCaller late(world.Port());
	late.Send(Post("/s/late", "abc"));
	CHECK(WaitFor([&] { return late.Has("Glade-Run: no"); }));
	CHECK(late.Has("2105")); /* RC_STOPPING */
	CHECK(world.RunsOf("POST /s/late abc") == 0);
}
