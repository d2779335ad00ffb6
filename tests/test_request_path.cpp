/** @file test_request_path.cpp Guarantees of the request path: keys, limits, retries, routing, admission, drains, views
 * and streams. */
#include "standin/memory/request_world.h"

#include <doctest/doctest.h>

#include <algorithm>

TEST_CASE("keys: a second entry replays the answer of the first, and another request with the same key is rejected")
{
	RequestWorld world;
	const std::string key = world.NewKey("k");
	const CallerProbe &first = world.Submit(*world.entries[0], "POST", "first", key);
	world.Run(Millis(100));
	const CallerProbe &second = world.Submit(*world.entries[1], "POST", "second", key);
	world.Run(Millis(100));
	CHECK(first.body == second.body);
	CHECK(*second.head.headers.Find("Glade-Replayed") == "yes");
	CHECK(world.RunsOf("first") + world.RunsOf("second") == 1);
	const CallerProbe &other = world.Submit(*world.entries[1], "POST", "other", key, "/misting/off");
	world.Run(Millis(100));
	CHECK(other.Code() == 2309); /* RC_KEY_OTHER_REQUEST */
}

TEST_CASE("keys: accounts do not share keys")
{
	RequestWorld world;
	const std::string key = world.NewKey("k");
	world.Submit(*world.entries[0], "POST", "oyo", key);
	world.Run(Millis(100));
	CallerRequest request;
	request.method = "POST";
	request.target = "/misting/on";
	request.body = "x";
	request.headers.Add("Authorization", "kaduna");
	request.headers.Add("Submission", "kaduna");
	request.headers.Add("Idempotency-Key", key);
	CallerProbe probe;
	probe.world = &world;
	auto exchange = std::make_shared<Exchange>(world.entries[0]->scheduler, world.entries[0]->path,
											   *world.entries[0]->dialer, probe, request);
	exchange->Start();
	world.Run(Millis(100));
	CHECK(probe.head.status == 200);
	CHECK(world.RunsOf("kaduna") == 1);
}

TEST_CASE("keys: keys without a time, from the future, or too old are rejected, and nothing runs")
{
	RequestWorld world;
	const auto code_of = [&](const std::string &key) {
		const CallerProbe &probe = world.Submit(*world.entries[0], "POST", "k" + key, key);
		world.Run(Millis(100));
		CHECK(world.RunsOf("k" + key) == 0);
		return probe.Code();
	};
	const int64_t now = world.clock.WallNow().Value();
	CHECK(code_of("no-time") == 2301); /* RC_KEY_MALFORMED */
	CHECK(code_of(std::to_string(now + 60000) + "-x") == 2301);
	/* The key is older than this entry, so its request may have run, and the code says so. */
	const int old = code_of(std::to_string(now - 11 * 60000) + "-x");
	CHECK((old == 2302 || old == 2303)); /* RC_KEY_EXPIRED or RC_KEY_BEFORE_TAKEOVER */
	CHECK(KeyIssueTime("018bcfe5-6800-7abc-8def-0123456789ab").value().Value() == 0x018bcfe56800);
	CHECK_FALSE(KeyIssueTime("018bcfe5-6800-4abc-8def-0123456789ab").has_value());
}

TEST_CASE("keys: an owner whose lease has lapsed rejects keyed requests without running them, and serves other ones")
{
	RequestWorld world(4, 1);
	world.entries[0]->renew = false;
	world.Run(Millis(3000));
	const CallerProbe &keyed = world.Submit(*world.entries[0], "POST", "keyed", world.NewKey("k"));
	const CallerProbe &plain = world.Submit(*world.entries[0], "POST", "plain");
	world.Run(Millis(100));
	CHECK(keyed.Code() == 2308); /* RC_KEY_LEASE_LAPSED */
	CHECK(keyed.SaysNotRun());
	CHECK(world.RunsOf("keyed") == 0);
	CHECK(plain.head.status == 200);
}

TEST_CASE("keys: after a membership change only keys whose owner changed are rejected, and only for a while")
{
	RequestWorld world(4, 3);
	std::vector<std::string> keys;
	keys.reserve(200);
	for (int i = 0; i < 200; i++) {
		keys.push_back(world.NewKey(std::to_string(i)));
	}
	world.AddEntry("entry-9", "zone-a");
	int rejected_keys = 0;
	for (const std::string &key : keys) {
		const CallerProbe &probe = world.Submit(*world.entries[0], "POST", key, key);
		world.Run(Millis(10));
		rejected_keys += probe.Code() == 2303 ? 1 : 0; /* RC_KEY_BEFORE_TAKEOVER */
	}
	/* A quarter of the keys moved to the fourth entry. */
	CHECK(rejected_keys > 25);
	CHECK(rejected_keys < 75);
	world.Run(Millis(10000));
	for (int i = 0; i < 50; i++) {
		const std::string key = world.NewKey("later" + std::to_string(i));
		const CallerProbe &probe = world.Submit(*world.entries[0], "POST", key, key);
		world.Run(Millis(10));
		CHECK(probe.head.status == 200);
	}
}

TEST_CASE("limits: slots are never exceeded, not even after deadlines or when callers disconnect")
{
	RequestWorld world(1, 2);
	FakeEndpoint &endpoint = world.endpoints.begin()->second;
	endpoint.behavior = EndpointBehavior::EB_LATE;
	for (int i = 0; i < 40; i++) {
		CallerProbe &probe = world.Submit(*world.entries[static_cast<size_t>(i % 2)], "POST", "p" + std::to_string(i));
		world.Run(Millis(150));
		if (i % 3 == 0 && !probe.ended) {
			probe.gone = true;
			probe.exchange->OnCallerDisconnected();
		}
	}
	world.Run(Millis(10000));
	CHECK(endpoint.peak <= 8);
	/* The gates keep to the limit, so the endpoint never has to reject a request. */
	CHECK(world.timeline.find("says not run") == std::string::npos);
}

TEST_CASE("limits: the shares of a zone's entries add up to the slots, for any number of entries")
{
	for (size_t n = 1; n <= 9; n++) {
		std::vector<Peer> peers;
		for (size_t i = 0; i < n; i++) {
			peers.push_back(Peer{MemberName("entry-" + std::to_string(i)), ZoneName("z"), "", "", Incarnation(1)});
		}
		for (int box = 0; box < 50; box++) {
			uint32_t sum = 0;
			for (const Peer &it : peers) {
				sum += SlotShare(BoxName("box-" + std::to_string(box)), Slots(8), peers, it.name);
			}
			CHECK(sum == 8);
		}
	}
	CHECK(SlotShare(BoxName("b"), Slots(8), {}, MemberName("stranger")) == 0);
}

TEST_CASE("retries: a request that did not run is tried on another endpoint first, within the budget")
{
	RequestWorld world(4, 1);
	world.endpoints["endpoint-1:80"].behavior = EndpointBehavior::EB_NOT_RUN;
	world.endpoints["endpoint-2:80"].behavior = EndpointBehavior::EB_REFUSE;
	for (int i = 0; i < 50; i++) {
		const CallerProbe &probe = world.Submit(*world.entries[0], "POST", "p" + std::to_string(i));
		world.Run(Millis(100));
		CHECK(probe.head.status == 200);
	}
	for (auto &[address, endpoint] : world.endpoints) {
		endpoint.behavior = EndpointBehavior::EB_NOT_RUN;
	}
	const uint64_t before = world.entries[0]->path.counters.retries;
	for (int i = 0; i < 200; i++) {
		world.Submit(*world.entries[0], "POST", "q" + std::to_string(i));
		world.Run(Millis(100));
	}
	/* Without successes the budget is used up, so retries never multiply the load. */
	CHECK(world.entries[0]->path.counters.retries - before <= 20);
}

TEST_CASE("routing: one failing endpoint is ejected, but failures of all endpoints do not empty a pool")
{
	RequestWorld world(6, 1);
	world.endpoints["endpoint-3:80"].behavior = EndpointBehavior::EB_READ_CLOSE;
	int broken = 0;
	for (int i = 0; i < 200; i++) {
		const CallerProbe &probe = world.Submit(*world.entries[0], "POST", "p" + std::to_string(i));
		world.Run(Millis(10));
		broken += probe.Code() == 2201 ? 1 : 0; /* RC_ENDPOINT_BROKE */
	}
	CHECK(broken <= 8);
	for (auto &[address, endpoint] : world.endpoints) {
		endpoint.behavior = EndpointBehavior::EB_REFUSE;
	}
	for (int i = 0; i < 100; i++) {
		world.Submit(*world.entries[0], "GET", "g" + std::to_string(i));
		world.Run(Millis(10));
	}
	const auto views = world.entries[0]->path.routes.Gates().begin()->second->Endpoints(world.clock.Now());
	CHECK(std::ranges::count(views, true, &EndpointStatus::ejected) <= 2);
	for (auto &[address, endpoint] : world.endpoints) {
		endpoint.behavior = EndpointBehavior::EB_ANSWER;
	}
	const CallerProbe &recovered = world.Submit(*world.entries[0], "GET", "well");
	world.Run(Millis(100));
	CHECK(recovered.head.status == 200);
}

TEST_CASE("admission: requests are rejected at once, with Retry-After, if the queue is full or the deadline cannot be "
		  "met")
{
	RequestWorld world(1, 1);
	world.endpoints.begin()->second.work = Millis(400);
	std::vector<CallerProbe *> probes;
	probes.reserve(400);
	for (int i = 0; i < 400; i++) {
		probes.push_back(&world.Submit(*world.entries[0], "POST", "p" + std::to_string(i)));
	}
	/* RC_CANNOT_BE_ON_TIME or RC_QUEUE_FULL. */
	const auto rejected_count = std::ranges::count_if(
			probes, [](const CallerProbe *it) { return it->Code() == 2102 || it->Code() == 2101; });
	CHECK(rejected_count > 0);
	for (const CallerProbe *probe : probes) {
		if (probe->ended) {
			CHECK(probe->SaysNotRun());
			CHECK(probe->head.headers.Find("Retry-After") != nullptr);
		}
	}
	world.Run(Millis(5000));
	for (const CallerProbe *probe : probes) {
		CHECK(probe->ended);
	}
}

TEST_CASE("drain: a box being drained gets no new requests and is reported as drained only when it is empty")
{
	RequestWorld world(2, 1);
	world.endpoints["endpoint-1:80"].work = Millis(500);
	world.endpoints["endpoint-2:80"].work = Millis(500);
	for (int i = 0; i < 10; i++) {
		world.Submit(*world.entries[0], "POST", "p" + std::to_string(i));
	}
	world.Run(Millis(10));
	const size_t before = world.endpoints["endpoint-1:80"].runs.size();
	REQUIRE(before > 0);
	Box &box = world.fleet.boxes[BoxName("box-1")];
	box.state = BoxState::BS_DRAINING;
	box.permit = PermitId(77);
	world.PublishViews();
	const auto gate = world.entries[0]->path.routes.Gates().begin()->second;
	CHECK(gate->Drained().empty());
	for (int i = 0; i < 5; i++) {
		world.Submit(*world.entries[0], "POST", "q" + std::to_string(i));
		world.Run(Millis(200));
	}
	CHECK(world.endpoints["endpoint-1:80"].runs.size() == before);
	REQUIRE(gate->Drained().size() == 1);
	CHECK(gate->Drained()[0].permit == PermitId(77));
}

TEST_CASE("views: a view of a lagging keeper never reverts the current one, and a damaged delta requires a whole view")
{
	RequestWorld world(2, 1);
	RouteTable &routes = world.entries[0]->path.routes;
	const LogOffset offset = routes.Offset();
	glade::wire::ViewT old = BuildView(world.fleet, ZoneName("zone-a"), {});
	old.offset = offset.Value() - 1;
	old.version = 99;
	old.rows.clear();
	CHECK(routes.Apply(old, world.clock.Now()) == ResultCode::RC_OK);
	CHECK(routes.Offset() == offset);
	CHECK(routes.Find(ServiceName("misting")).has_value());
	glade::wire::ViewT next = BuildView(world.fleet, ZoneName("zone-a"), {});
	next.version = 100;
	next.base_version = 55;
	CHECK(routes.Apply(next, world.clock.Now()) == ResultCode::RC_STATE_MISMATCH);
	next.base_version = 0;
	next.hash ^= 1;
	CHECK(routes.Apply(next, world.clock.Now()) == ResultCode::RC_STATE_MISMATCH);
	CHECK(routes.Version().first == 0);
}

TEST_CASE("streams: a response to a congested caller ends")
{
	RequestWorld world(1, 1);
	CallerProbe &probe = world.Submit(*world.entries[0], "GET", "stream");
	probe.congested = true;
	world.Run(Millis(100));
	probe.congested = false;
	CHECK(probe.ended);
}

TEST_CASE("retries: with one endpoint a request is sent to it a limited number of times")
{
	RequestWorld world(1, 1);
	FakeEndpoint &endpoint = world.endpoints.begin()->second;
	endpoint.behavior = EndpointBehavior::EB_READ_CLOSE;
	const CallerProbe &probe = world.Submit(*world.entries[0], "GET", "get");
	world.Run(Millis(5000));
	CHECK(probe.Code() == 2201); /* RC_ENDPOINT_BROKE */
	CHECK(endpoint.runs.size() <= 3);
}
