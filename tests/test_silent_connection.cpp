/** @file test_silent_connection.cpp Open connections stop responding for good, without a reset, while new ones work. */
#include "net/frame_link.h"
#include "net/http_caller.h"
#include "node/owner_lookup.h"
#include "owner_only_log.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QTimer>

#include <algorithm>
#include <set>

namespace {

constexpr int LOOP_TIMEOUT_MS = 10000; ///< Time in ms after which a test has failed.

/** HTTP server whose open connections can be made unresponsive. */
class UnresponsiveServer {
public:
	UnresponsiveServer()
	{
		QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] { this->Accept(); });
		this->server.listen(QHostAddress(QHostAddress::LocalHost));
	}

	/** Makes all connections accepted so far unresponsive. */
	void StopResponding() { this->last_unresponsive = this->accepted; }
	/** @return IP:port. */
	[[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(this->server.serverPort()); }

	size_t accepted = 0; ///< Connections accepted so far.

private:
	QTcpServer server;            ///< The listener.
	size_t last_unresponsive = 0; ///< Connections up to this number are unresponsive.

	void Accept()
	{
		while (QTcpSocket *socket = this->server.nextPendingConnection()) {
			const size_t number = ++this->accepted;
			QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, number] {
				socket->readAll();
				if (number > this->last_unresponsive) {
					socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
				}
			});
		}
	}
};

} // namespace

TEST_CASE("when all idle connections have stopped responding, only one call is lost")
{
	constexpr size_t IDLE_CONNECTIONS = 6;
	UnresponsiveServer server;
	QtScheduler scheduler;
	HttpCaller caller(scheduler, DialLimits{Millis(1000), Millis(8000), IDLE_CONNECTIONS});
	HttpCallSpec spec{server.Address(), {}, Millis(400)};
	spec.request.method = "GET";
	spec.request.target = "/";
	QEventLoop loop;
	QTimer::singleShot(LOOP_TIMEOUT_MS, &loop, &QEventLoop::quit);
	size_t answered = 0;
	for (size_t n = 0; n < IDLE_CONNECTIONS; n++) {
		caller.Call(spec, [&](const HttpReply &it) {
			answered += it.result == CallResult::CR_ANSWERED ? 1 : 0;
			if (answered == IDLE_CONNECTIONS) {
				loop.quit();
			}
		});
	}
	loop.exec();
	REQUIRE(answered == IDLE_CONNECTIONS);
	REQUIRE(server.accepted == IDLE_CONNECTIONS);
	server.StopResponding();
	std::vector<CallResult> results;
	const std::function<void(const HttpReply &)> next = [&](const HttpReply &it) {
		results.push_back(it.result);
		if (it.result == CallResult::CR_ANSWERED || results.size() > IDLE_CONNECTIONS) {
			loop.quit();
			return;
		}
		caller.Call(spec, next);
	};
	caller.Call(spec, next);
	loop.exec();
	CHECK(results == std::vector<CallResult>{CallResult::CR_UNKNOWN, CallResult::CR_ANSWERED});
}

namespace {

/** Asks an owner over a real connection to write a record, and runs the event loop until there is a result. */
struct RecordRequest {
	using Serve = std::function<void(FrameLink &, const MessageUnion &, uint64_t request_count)>;

	/**
	 * @param serve Serves a frame on a link; its last argument is how often the record was requested.
	 * @param within Time in ms that the owner has to write the record.
	 */
	RecordRequest(const Serve &serve, int64_t within)
	{
		QtScheduler scheduler;
		NullEventLog events;
		FrameServer server(
				[&](FrameLink &link, const MessageUnion &message) {
					this->request_count += message.AsRecordQuestion() != nullptr ? 1 : 0;
					serve(link, message, this->request_count);
				},
				[](FrameLink &) {});
		REQUIRE(server.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
		OwnerOnlyLog log(scheduler, "127.0.0.1:" + std::to_string(server.Port()));
		OwnerLookup lookup(scheduler, log, events);
		QEventLoop loop;
		QTimer::singleShot(LOOP_TIMEOUT_MS, &loop, &QEventLoop::quit);
		const auto make = [](uint64_t number) {
			glade::wire::RecordQuestionT out;
			out.number = number;
			out.service = "calc";
			out.key = "k";
			return MakeMessage(std::move(out));
		};
		const auto done = [&](ResultCode code, const MessageUnion *) {
			this->outcome = code;
			loop.quit();
		};
		const Millis now = scheduler.Now();
		lookup.Ask(PartitionId{"keyed.jobs.calc", 0}, "k", now + Millis(within / 2), make, done, now + Millis(within));
		loop.exec();
	}

	uint64_t request_count = 0;        ///< How often the record was requested.
	std::optional<ResultCode> outcome; ///< The result, if there was one in time.
};

/** Answers a request to write a record. */
void SendRecordAnswer(FrameLink &link, const MessageUnion &message, ResultCode code)
{
	glade::wire::RecordAnswerT out;
	out.number = message.AsRecordQuestion()->number;
	out.code = static_cast<uint32_t>(code);
	link.Send(MakeMessage(out));
}

} // namespace

TEST_CASE("a record request is repeated over a new connection when the first one stops responding")
{
	std::set<FrameLink *> unresponsive;
	const RecordRequest it(
			[&unresponsive](FrameLink &link, const MessageUnion &message, uint64_t request_count) {
				if (message.AsRecordQuestion() == nullptr || unresponsive.contains(&link)) {
					return;
				}
				/* Over the first connection the owner answers that it is recording, and then nothing more. */
				SendRecordAnswer(link, message, request_count == 1 ? ResultCode::RC_LOG_RECORDING : ResultCode::RC_OK);
				if (request_count == 1) {
					unresponsive.insert(&link);
				}
			},
			4000);
	REQUIRE(it.outcome.has_value());
	CHECK(*it.outcome == ResultCode::RC_OK);
	CHECK(it.request_count == 2);
}

TEST_CASE("an owner that records for a long time, but responds, is not sent the record again, so its rejection is "
		  "certain")
{
	std::optional<MessageUnion> record;
	FrameLink *from = nullptr;
	int probes = 0;
	const RecordRequest it(
			[&](FrameLink &link, const MessageUnion &message, uint64_t) {
				if (message.AsRecordQuestion() != nullptr) {
					record = message;
					from = &link;
					SendRecordAnswer(link, message, ResultCode::RC_LOG_RECORDING);
				} else if (const auto *probe = message.AsJobQuestion(); probe != nullptr) {
					glade::wire::JobAnswerT out;
					out.number = probe->number;
					out.code = static_cast<uint32_t>(ResultCode::RC_PEER_UNAVAILABLE);
					link.Send(MakeMessage(out));
					if (++probes == 2) {
						SendRecordAnswer(*from, *record, ResultCode::RC_LOG_UNAVAILABLE);
					}
				}
			},
			6000);
	REQUIRE(it.outcome.has_value());
	CHECK(*it.outcome == ResultCode::RC_LOG_UNAVAILABLE);
	CHECK(it.request_count == 1);
}

/* Guards against requests that multiply when their owner is slow: each was repeated every 250 ms over a new connection,
 * so the answers, 400 ms late, came when their connections were closed already, and no caller got one. */
TEST_CASE("an owner that answers late is not asked repeatedly, and its answers arrive")
{
	constexpr size_t QUESTIONS = 8;
	constexpr int ANSWER_DELAY_MS = 400;
	constexpr Millis DEADLINE(3000);
	QtScheduler scheduler;
	NullEventLog events;
	size_t request_count = 0;
	std::set<FrameLink *> open_links;
	size_t links_opened = 0;
	FrameServer server(
			[&](FrameLink &link, const MessageUnion &message) {
				request_count++;
				links_opened += open_links.insert(&link).second ? 1 : 0;
				glade::wire::JobAnswerT out;
				out.number = message.AsJobQuestion()->number;
				out.code = static_cast<uint32_t>(ResultCode::RC_OK);
				QTimer::singleShot(ANSWER_DELAY_MS, [&open_links, to = &link, out] {
					if (open_links.contains(to)) {
						to->Send(MakeMessage(out));
					}
				});
			},
			[&open_links](FrameLink &link) { open_links.erase(&link); });
	REQUIRE(server.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
	OwnerOnlyLog log(scheduler, "127.0.0.1:" + std::to_string(server.Port()));
	OwnerLookup lookup(scheduler, log, events);
	QEventLoop loop;
	QTimer::singleShot(LOOP_TIMEOUT_MS, &loop, &QEventLoop::quit);
	size_t finished = 0;
	size_t answered = 0;
	for (size_t n = 0; n < QUESTIONS; n++) {
		const auto make = [](uint64_t number) {
			glade::wire::JobQuestionT out;
			out.number = number;
			out.service = "calc";
			return MakeMessage(std::move(out));
		};
		const auto done = [&](ResultCode code, const MessageUnion *) {
			answered += code == ResultCode::RC_OK ? 1 : 0;
			if (++finished == QUESTIONS) {
				loop.quit();
			}
		};
		lookup.Ask(PartitionId{"keyed.jobs.calc", 0}, "j", scheduler.Now() + DEADLINE, make, done);
	}
	loop.exec();
	CHECK(answered == QUESTIONS);
	CHECK(request_count <= 2 * QUESTIONS);
	CHECK(links_opened <= 2);
}

/* Guards against requests that go on asking a node that has handed its shard over, until their deadline. */
TEST_CASE("once an owner has released its shard to a named successor, the successor is asked")
{
	constexpr Millis DEADLINE(1000);
	QtScheduler scheduler;
	NullEventLog events;
	FrameServer server(
			[](FrameLink &link, const MessageUnion &message) {
				glade::wire::JobAnswerT out;
				out.number = message.AsJobQuestion()->number;
				out.code = static_cast<uint32_t>(ResultCode::RC_OK);
				link.Send(MakeMessage(out));
			},
			[](FrameLink &) {});
	REQUIRE(server.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
	OwnerOnlyLog log(scheduler,
					 StoredOwner{1, "127.0.0.1:1", true, Millis(0), "127.0.0.1:" + std::to_string(server.Port())});
	OwnerLookup lookup(scheduler, log, events);
	QEventLoop loop;
	QTimer::singleShot(LOOP_TIMEOUT_MS, &loop, &QEventLoop::quit);
	std::optional<ResultCode> result;
	const auto make = [](uint64_t number) {
		glade::wire::JobQuestionT out;
		out.number = number;
		return MakeMessage(std::move(out));
	};
	lookup.Ask(PartitionId{"t", 0}, "job", scheduler.Now() + DEADLINE, make,
			   [&](ResultCode code, const MessageUnion *) {
				   result = code;
				   loop.quit();
			   });
	loop.exec();
	CHECK(result == ResultCode::RC_OK);
}
