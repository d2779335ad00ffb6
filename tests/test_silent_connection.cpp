/** @file test_silent_connection.cpp Open connections fall silent for good, without a reset, while new ones work. */
#include "net/frame_link.h"
#include "net/http_caller.h"
#include "node/owner_lookup.h"
#include "store/owner_record.h"
#include "store/partition_claim.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QTimer>

#include <algorithm>
#include <set>

namespace {

constexpr int LOOP_MOST = 10000; ///< ms after which a test has failed.

/** Answers every call on every connection that has not been silenced. */
class SilenceableServer {
public:
	SilenceableServer()
	{
		QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] { this->Accept(); });
		this->server.listen(QHostAddress(QHostAddress::LocalHost));
	}

	/** All connections that stand say nothing any more. */
	void Silence() { this->silent = this->accepted; }
	/** @return IP:port. */
	[[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(this->server.serverPort()); }

	size_t accepted = 0; ///< Connections so far.

private:
	QTcpServer server; ///< The listener.
	size_t silent = 0; ///< Connections up to this number are silent.

	void Accept()
	{
		while (QTcpSocket *socket = this->server.nextPendingConnection()) {
			const size_t number = ++this->accepted;
			QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, number] {
				socket->readAll();
				if (number > this->silent) {
					socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
				}
			});
		}
	}
};

/** A log that knows only who owns a partition. */
class OwnerOnlyLog : public KeyedLog {
public:
	OwnerOnlyLog(Scheduler &scheduler, std::string owner) : scheduler(scheduler), owner(std::move(owner)) {}

	void Newest(const PartitionId &, const std::string &, std::function<void(NewestPage)> done) override
	{
		NewestPage page;
		page.code = ResultCode::RC_OK;
		page.records = {KeyedRecord{OWNER_KEY, EncodeOwner(StoredOwner{1, this->owner, false, Millis(0)})}};
		this->scheduler.After(Millis(1), [done, page] { done(page); });
	}
	void Append(const PartitionId &, const std::vector<KeyedRecord> &, const AppendCondition &, Millis,
				std::function<void(KeyedAppendAnswer)>) override
	{
	}
	void Read(const PartitionId &, uint64_t, Millis, std::function<void(KeyedReadAnswer)>) override {}
	void Join(const std::string &, const std::string &, const std::string &, Millis, uint64_t,
			  std::function<void(GroupMembership)>) override
	{
	}
	void Leave(const std::string &, const std::string &, std::function<void()>) override {}
	void Holders(const std::string &, std::function<void(ResultCode, std::vector<PartitionHolder>)>) override {}

private:
	Scheduler &scheduler; ///< Clock.
	std::string owner;    ///< Address of the owner's node.
};

} // namespace

TEST_CASE("one call over a silent connection is lost, not one for each connection that was kept")
{
	constexpr size_t KEPT = 6;
	SilenceableServer server;
	QtScheduler scheduler;
	HttpCaller caller(scheduler, DialLimits{Millis(1000), Millis(8000), KEPT});
	HttpCallSpec spec{server.Address(), {}, Millis(400)};
	spec.request.method = "GET";
	spec.request.target = "/";
	QEventLoop loop;
	QTimer::singleShot(LOOP_MOST, &loop, &QEventLoop::quit);
	size_t answered = 0;
	for (size_t n = 0; n < KEPT; n++) {
		caller.Call(spec, [&](const HttpReply &it) {
			answered += it.result == CallResult::CR_ANSWERED ? 1 : 0;
			if (answered == KEPT) {
				loop.quit();
			}
		});
	}
	loop.exec();
	REQUIRE(answered == KEPT);
	REQUIRE(server.accepted == KEPT);
	server.Silence();
	std::vector<CallResult> results;
	const std::function<void(const HttpReply &)> next = [&](const HttpReply &it) {
		results.push_back(it.result);
		if (it.result == CallResult::CR_ANSWERED || results.size() > KEPT) {
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

/** Asks an owner, behind a real connection, to record something, until the owner has answered or time is up. */
struct RecordAsked {
	using Serve = std::function<void(FrameLink &, const MessageUnion &, uint64_t asked)>;

	/** @param serve Serves a frame on a link; gets how often the record was asked for. @param within ms that the owner
	 * may record. */
	RecordAsked(const Serve &serve, int64_t within)
	{
		QtScheduler scheduler;
		NullEventLog events;
		FrameServer server(
				[&](FrameLink &link, const MessageUnion &message) {
					this->asked += message.AsRecordQuestion() != nullptr ? 1 : 0;
					serve(link, message, this->asked);
				},
				[](FrameLink &) {});
		REQUIRE(server.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
		OwnerOnlyLog log(scheduler, "127.0.0.1:" + std::to_string(server.Port()));
		OwnerLookup lookup(scheduler, log, events);
		QEventLoop loop;
		QTimer::singleShot(LOOP_MOST, &loop, &QEventLoop::quit);
		const auto make = [](uint64_t number) {
			glade::wire::RecordQuestionT out;
			out.number = number;
			out.service = "calc";
			out.key = "k";
			return MakeMessage(std::move(out));
		};
		const auto done = [&](ResultCode code, const MessageUnion *) {
			this->told = code;
			loop.quit();
		};
		const Millis now = scheduler.Now();
		lookup.Ask(PartitionId{"keyed.jobs.calc", 0}, "k", now + Millis(within / 2), make, done, now + Millis(within));
		loop.exec();
	}

	uint64_t asked = 0;             ///< Times that the record was asked for.
	std::optional<ResultCode> told; ///< What was told.
};

/** Answers a question about a record. */
void AnswerRecord(FrameLink &link, const MessageUnion &message, ResultCode code)
{
	glade::wire::RecordAnswerT out;
	out.number = message.AsRecordQuestion()->number;
	out.code = static_cast<uint32_t>(code);
	link.Send(MakeMessage(out));
}

} // namespace

TEST_CASE("a record handed to an owner is handed on over a new connection when the first one falls silent")
{
	std::set<FrameLink *> silent;
	const RecordAsked it(
			[&silent](FrameLink &link, const MessageUnion &message, uint64_t asked) {
				if (message.AsRecordQuestion() == nullptr || silent.contains(&link)) {
					return;
				}
				/* The owner says over the first connection that it is recording, and is not heard there again. */
				AnswerRecord(link, message, asked == 1 ? ResultCode::RC_LOG_RECORDING : ResultCode::RC_OK);
				if (asked == 1) {
					silent.insert(&link);
				}
			},
			4000);
	REQUIRE(it.told.has_value());
	CHECK(*it.told == ResultCode::RC_OK);
	CHECK(it.asked == 2);
}

TEST_CASE("an owner that records for long, and answers, is not given the record twice: its refusal stays certain")
{
	std::optional<MessageUnion> record;
	FrameLink *from = nullptr;
	int probes = 0;
	const RecordAsked it(
			[&](FrameLink &link, const MessageUnion &message, uint64_t) {
				if (message.AsRecordQuestion() != nullptr) {
					record = message;
					from = &link;
					AnswerRecord(link, message, ResultCode::RC_LOG_RECORDING);
				} else if (const auto *probe = message.AsJobQuestion(); probe != nullptr) {
					glade::wire::JobAnswerT out;
					out.number = probe->number;
					out.code = static_cast<uint32_t>(ResultCode::RC_PEER_UNAVAILABLE);
					link.Send(MakeMessage(out));
					if (++probes == 2) {
						AnswerRecord(*from, *record, ResultCode::RC_LOG_UNAVAILABLE);
					}
				}
			},
			6000);
	REQUIRE(it.told.has_value());
	CHECK(*it.told == ResultCode::RC_LOG_UNAVAILABLE);
	CHECK(it.asked == 1);
}

/* Guards against questions that grow when their owner is late: each was asked again every 250 ms over a new connection,
 * so that the answers, 400 ms late, found theirs closed, and no caller got one. */
TEST_CASE("an owner that answers late is not asked again and again, and its answers arrive")
{
	constexpr size_t QUESTIONS = 8;
	constexpr int LATE_MS = 400;
	constexpr Millis DEADLINE(3000);
	QtScheduler scheduler;
	NullEventLog events;
	size_t asked = 0;
	std::set<FrameLink *> standing;
	size_t links = 0;
	FrameServer server(
			[&](FrameLink &link, const MessageUnion &message) {
				asked++;
				links += standing.insert(&link).second ? 1 : 0;
				glade::wire::JobAnswerT out;
				out.number = message.AsJobQuestion()->number;
				out.code = static_cast<uint32_t>(ResultCode::RC_OK);
				QTimer::singleShot(LATE_MS, [&standing, to = &link, out] {
					if (standing.contains(to)) {
						to->Send(MakeMessage(out));
					}
				});
			},
			[&standing](FrameLink &link) { standing.erase(&link); });
	REQUIRE(server.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
	OwnerOnlyLog log(scheduler, "127.0.0.1:" + std::to_string(server.Port()));
	OwnerLookup lookup(scheduler, log, events);
	QEventLoop loop;
	QTimer::singleShot(LOOP_MOST, &loop, &QEventLoop::quit);
	size_t over = 0;
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
			if (++over == QUESTIONS) {
				loop.quit();
			}
		};
		lookup.Ask(PartitionId{"keyed.jobs.calc", 0}, "j", scheduler.Now() + DEADLINE, make, done);
	}
	loop.exec();
	CHECK(answered == QUESTIONS);
	CHECK(asked <= 2 * QUESTIONS);
	CHECK(links <= 2);
}
