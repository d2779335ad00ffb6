/** @file test_crossed_answers.cpp Answers of nodes reach only the process and the request that they are meant for. */
#include "net/qt_scheduler.h"
#include "owner_only_log.h"
#include "silent_site.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTimer>

#include <algorithm>
#include <set>
#include <vector>

namespace {

constexpr int LOOP_TIMEOUT_MS = 10000; ///< Time in ms after which a test has failed.
constexpr Millis DEADLINE(1500);       ///< Deadline of requests.
constexpr Millis SETTLE_TIME(300);     ///< Time for connections to be established and messages to arrive.
constexpr Millis CLOSE_TIME(4);        ///< Time for the other end of a connection to see it closed.
/** Connections opened one after the other, so that some get the memory of an earlier one. */
constexpr size_t CONNECTIONS = 100;

/** Runs the event loop for some time. */
void RunFor(Scheduler &scheduler, Millis span)
{
	QEventLoop loop;
	scheduler.After(span, [&loop] { loop.quit(); });
	loop.exec();
}

/** Runs the event loop until a condition holds, or LOOP_TIMEOUT_MS at most. */
void RunUntil(Scheduler &scheduler, const std::function<bool()> &holds)
{
	const Millis until = scheduler.Now() + Millis(LOOP_TIMEOUT_MS);
	while (!holds() && scheduler.Now() < until) {
		RunFor(scheduler, Millis(1));
	}
	REQUIRE(holds());
}

/** A frame client that keeps what it receives. */
struct RecordingClient {
	RecordingClient(Scheduler &scheduler, const std::string &address)
			: client(scheduler, {ParseAddress(address).value()})
	{
		this->client.on_message = [this](const MessageUnion &message) { this->received.push_back(message); };
		this->client.Start();
	}

	FrameClient client;                 ///< The client.
	std::vector<MessageUnion> received; ///< Messages received.
};

MessageUnion MakeConfigQuestion(uint64_t number)
{
	glade::wire::ConfigQuestionT out;
	out.number = number;
	out.confirm = true;
	return MakeMessage(std::move(out));
}

MessageUnion MakeRecordQuestion(uint64_t number)
{
	glade::wire::RecordQuestionT out;
	out.number = number;
	out.service = "calc";
	out.key = "k";
	return MakeMessage(std::move(out));
}

MessageUnion MakeRecordAnswer(uint64_t number, ResultCode code)
{
	glade::wire::RecordAnswerT out;
	out.number = number;
	out.code = static_cast<uint32_t>(code);
	return MakeMessage(out);
}

/** Owners of a shard, and a process that has requests to them. */
struct AskingProcess {
	using Serve = std::function<void(FrameLink &, const MessageUnion &)>;

	/** @param serve Serves a frame at the first owner. */
	explicit AskingProcess(const Serve &serve)
			: server(serve, [](FrameLink &) {}), log(scheduler, this->Listen()), lookup(scheduler, log, events)
	{
	}

	std::string Listen()
	{
		REQUIRE(this->server.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
		return "127.0.0.1:" + std::to_string(this->server.Port());
	}

	/** Asks for a record and waits for the outcome or the deadline. */
	ResultCode Ask()
	{
		std::optional<ResultCode> out;
		QEventLoop loop;
		QTimer::singleShot(LOOP_TIMEOUT_MS, &loop, &QEventLoop::quit);
		this->lookup.Ask(PartitionId{"keyed.jobs.calc", 0}, "k", this->scheduler.Now() + DEADLINE, MakeRecordQuestion,
						 [&](ResultCode code, const MessageUnion *) {
							 out = code;
							 loop.quit();
						 });
		loop.exec();
		REQUIRE(out);
		return *out;
	}

	QtScheduler scheduler; ///< Clock and timers.
	NullEventLog events;   ///< Event log.
	FrameServer server;    ///< The first owner.
	OwnerOnlyLog log;      ///< Has the owner's record.
	OwnerLookup lookup;    ///< The requests.
};

} // namespace

/* Guards against the failure of review/4: an owner's answer went to the process that had connected after the asking one
 * had been killed, and was taken for the answer to a request of its own. */
TEST_CASE("crossed answers: a late answer is not sent on a connection that was opened after its question")
{
	QtScheduler scheduler;
	SilentSite site;
	NullEventLog events;
	NodeSpec spec;
	spec.frame_address = "127.0.0.1:" + std::to_string(FreePort());
	NodeCore node(scheduler, NodeInterfaces{site, site, site, site, site, events, nullptr, &site}, spec);
	REQUIRE(node.Start());
	std::unique_ptr<RecordingClient> client;
	for (size_t n = 1; n <= CONNECTIONS; n++) {
		client = std::make_unique<RecordingClient>(scheduler, spec.frame_address);
		RunUntil(scheduler, [&client] { return client->client.IsConnected(); });
		client->client.Send(MakeConfigQuestion(n));
		RunUntil(scheduler, [&site, n] { return site.confirmations.size() == n; });
		if (n < CONNECTIONS) {
			client.reset();
			RunFor(scheduler, CLOSE_TIME);
		}
	}
	std::ranges::for_each(site.confirmations, [](const auto &it) { it(true); });
	RunFor(scheduler, SETTLE_TIME);
	REQUIRE(client->received.size() == 1);
	CHECK(client->received.front().AsConfigAnswer()->number == CONNECTIONS);
}

/* Guards against the same failure where the memory of a closed connection is certainly used again. */
TEST_CASE("crossed answers: a reply is dropped when the connection's memory is used by another one")
{
	QtScheduler scheduler;
	std::vector<const FrameLink *> links;
	std::vector<FrameLink::OnMessage> replies;
	FrameServer *to = nullptr;
	FrameServer server(
			[&](FrameLink &link, const MessageUnion &) {
				links.push_back(&link);
				replies.push_back(to->ReplyTo(link));
			},
			[](FrameLink &) {});
	to = &server;
	REQUIRE(server.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
	std::unique_ptr<RecordingClient> client;
	for (size_t n = 1; n <= CONNECTIONS; n++) {
		client.reset();
		RunUntil(scheduler, [&server] { return server.CountLinks() == 0; });
		client = std::make_unique<RecordingClient>(scheduler, "127.0.0.1:" + std::to_string(server.Port()));
		RunUntil(scheduler, [&client] { return client->client.IsConnected(); });
		client->client.Send(MakeRecordQuestion(n));
		RunUntil(scheduler, [&links, n] { return links.size() == n; });
	}
	REQUIRE(std::ranges::count(links, links.back()) > 1);
	for (size_t n = 0; n < CONNECTIONS; n++) {
		replies[n](MakeRecordAnswer(n + 1, ResultCode::RC_OK));
	}
	RunFor(scheduler, SETTLE_TIME);
	REQUIRE(client->received.size() == 1);
	CHECK(client->received.front().AsRecordAnswer()->number == CONNECTIONS);
}

/* Guards against answers to an earlier process, which used to have the numbers of the next one's first requests. */
TEST_CASE("crossed answers: two processes use no common numbers")
{
	constexpr size_t PROCESSES = 8;
	std::set<uint64_t> numbers;
	for (size_t n = 0; n < PROCESSES; n++) {
		AskingProcess process([&numbers](FrameLink &link, const MessageUnion &message) {
			const uint64_t number = message.AsRecordQuestion()->number;
			numbers.insert(number);
			link.Send(MakeRecordAnswer(number, ResultCode::RC_OK));
		});
		CHECK(process.Ask() == ResultCode::RC_OK);
	}
	CHECK(numbers.size() == PROCESSES);
	CHECK(*numbers.begin() > 1000 * PROCESSES);
}

/* Guards against an answer to a query that ends a request to record a job: no record stands behind its RC_OK. */
TEST_CASE("crossed answers: an answer of another type doesn't end a request")
{
	AskingProcess process([](FrameLink &link, const MessageUnion &message) {
		if (message.AsRecordQuestion() != nullptr) {
			glade::wire::RouteAnswerT out;
			out.number = message.AsRecordQuestion()->number;
			out.code = static_cast<uint32_t>(ResultCode::RC_OK);
			link.Send(MakeMessage(out));
		}
	});
	CHECK(process.Ask() == ResultCode::RC_OUTCOME_UNKNOWN);
}

/* Guards against an answer of a node that wasn't asked, such as one that sends answers to the wrong connection. */
TEST_CASE("crossed answers: an answer of a node that wasn't asked doesn't end a request")
{
	std::optional<uint64_t> number;
	FrameLink *other_link = nullptr;
	FrameServer other([&](FrameLink &link, const MessageUnion &) { other_link = &link; }, [](FrameLink &) {});
	REQUIRE(other.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
	AskingProcess process([&](FrameLink &, const MessageUnion &message) {
		if (message.AsRecordQuestion() == nullptr || number) {
			return;
		}
		number = message.AsRecordQuestion()->number;
		other_link->Send(MakeRecordAnswer(*number, ResultCode::RC_OK));
	});
	/* The other node is known as the owner of another shard. */
	process.log.SetOwner("keyed.jobs.other", "127.0.0.1:" + std::to_string(other.Port()));
	process.lookup.Ask(PartitionId{"keyed.jobs.other", 0}, "o", process.scheduler.Now() + Millis(LOOP_TIMEOUT_MS),
					   MakeRecordQuestion, [](ResultCode, const MessageUnion *) {});
	RunFor(process.scheduler, SETTLE_TIME);
	REQUIRE(other_link != nullptr);
	CHECK(process.Ask() == ResultCode::RC_OUTCOME_UNKNOWN);
	CHECK(number.has_value());
}
