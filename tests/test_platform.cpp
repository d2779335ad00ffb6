/** @file test_platform.cpp The platform adapter: decoding of the platform's messages and of stored records, calls with
 * timeouts, job requests. */
#include "../platform/job_handler.h"
#include "../platform/platform_feed.h"
#include "job_world.h"
#include "jobs/job_codec.h"
#include "net/http_caller.h"
#include "status_sink.h"
#include "store/owner_record.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTcpServer>
#include <QThread>
#include <QTimer>

#include <atomic>
#include <thread>

TEST_CASE("a configuration is decoded, and a malformed one is rejected")
{
	const std::optional<JobConfig> config = DecodeConfig(
			R"({"version":7,"routes":[{"name":"r","host":"h.example","path-prefix":"/a/","priority":1,"service":"s",)"
			R"("target-latency-ms":600,"max-attempts":3,"stretch":1.6},{"name":"q","host":"h.example","path-prefix":"/a/b/",)"
			R"("service":"s"}],"services":[{"name":"s","admission-check":true,"spare":false},{"name":"o","spare":true}]})");
	REQUIRE(config);
	CHECK(config->version == 7);
	const JobRoute *route = config->FindRoute(RouteName("r"));
	REQUIRE(route != nullptr);
	CHECK(route->policy.headroom == Millis(600));
	CHECK(route->policy.failures_max == 3);
	CHECK(route->policy.stretch == doctest::Approx(1.6));
	CHECK(config->Match("h.example", "/a/b/0011223344556677")->name == RouteName("q"));
	CHECK(config->Match("h.example", "/a/0011223344556677")->name == RouteName("r"));
	CHECK(config->Match("other.example", "/a/x") == nullptr);
	CHECK(config->FindService(ServiceName("o"))->reserve);
	CHECK(!DecodeConfig("{}"));
	CHECK(!DecodeConfig("not json"));
}

TEST_CASE("a box report is decoded")
{
	const std::optional<BoxReport> report =
			DecodeReport(BoxId("i-1"),
						 R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining","remaining-ms":900,)"
						 R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":1},"labels":["a","r1-3"],"machine":"m-1"})")
					.report;
	REQUIRE(report);
	CHECK(report->box == BoxName("m-1"));
	CHECK(report->capacity == Resources{16000, 32768, 1});
	CHECK(report->leaving);
	CHECK(report->time_left == Millis(900));
	CHECK(report->rack == RackName("r1-3"));
	CHECK(report->incarnation == BoxIncarnation{BoxId("i-1"), Millis(0)});
	CHECK(!DecodeReport(BoxId("i-1"), "{}").report);
}

TEST_CASE("a box report contains the start time of its agent, which is part of the content hash")
{
	const auto bytes = [](const std::string &born) {
		return R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":16000},)"
			   R"("labels":[],"machine":"m-1","call-seq":4,"born":)" +
			   born + "}";
	};
	const std::optional<BoxReport> report = DecodeReport(BoxId("i-1"), bytes("1700000000123")).report;
	REQUIRE(report);
	CHECK(report->incarnation == BoxIncarnation{BoxId("i-1"), Millis(1700000000123)});
	CHECK(ReportContentHash(bytes("1700000000123")) != ReportContentHash(bytes("1700000000124")));
	for (const char *born : {"\"x\"", "-1", "1.5", "null", "[]"}) {
		CHECK_FALSE(DecodeReport(BoxId("i-1"), bytes(born)).report);
	}
}

TEST_CASE("a maintenance wave is decoded")
{
	const std::optional<WaveOrder> wave =
			DecodeWave(R"({"wave":2,"machines":["m-1","m-2"],"duration-s":20,"maximum":3})");
	REQUIRE(wave);
	CHECK(wave->number == 2);
	CHECK(wave->boxes.size() == 2);
	CHECK(wave->within == Millis(20000));
	CHECK(wave->down_max == 3);
	CHECK(!DecodeWave("{}"));
}

TEST_CASE("a job is decoded, and an error names the expected value")
{
	const JobId id("0011223344556677");
	const ParsedJob job = ParseJob(
			id,
			R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"est-runtime-ms":900,"colocate":"r1"},)"
			R"({"count":2,"cpu":700,"after":[0],"gang":true,"fills":true,"anti-affinity":1,"may_miss":0,"target_ms":50}]})");
	REQUIRE(job.result.Ok());
	CHECK(job.spec.payload == "text");
	REQUIRE(job.spec.steps.size() == 2);
	CHECK(job.spec.steps[0].demand == Resources{500, 256, 0});
	CHECK(job.spec.steps[0].data_rack == "r1");
	CHECK(!job.spec.steps[0].absent_max);
	CHECK(job.spec.steps[1].demand.cpu == 0); /* a filler task reserves no resources */
	CHECK(job.spec.steps[1].absent_max == 0U);
	CHECK(job.spec.steps[1].per_box == 1);
	CHECK(ParseJob(id, "{").result.code == ResultCode::RC_BAD_REQUEST);
	CHECK(ParseJob(id, "{}").result.detail == "steps: expected at least one");
	CHECK(ParseJob(id, R"({"steps":[{"count":0}]})").result.detail == "steps[0].count: expected 1 or more");
	CHECK(ParseJob(id, R"({"steps":[{"count":1,"after":[0]}]})").result.detail ==
		  "steps[0].after: expected numbers of earlier steps");
	CHECK(!ParseJob(id, R"({"steps":[{"count":30000}]})").result.Ok());
	CHECK(!ParseJob(id, R"({"spec":")" + std::string(4001, 'x') + R"(","steps":[{"count":1}]})").result.Ok());
}

TEST_CASE("records are read back as written, and malformed ones are rejected")
{
	JobSpec spec =
			ParseJob(JobId("0011223344556677"), R"({"spec":"t","steps":[{"count":2,"cpu":5,"may_miss":0}]})").spec;
	spec.route = RouteName("r");
	spec.requested_at = Millis(17);
	CHECK(DecodeSubmission(spec.id, EncodeSubmission(spec)) == spec);
	StoredProgress progress;
	progress.phase = JobPhase::JP_RUNNING;
	progress.route = RouteName("r");
	progress.changed = Millis(5);
	progress.tasks = {StoredTask{TaskPhase::TP_PLACED, RunNumber(2), 1,
								 BoxIncarnation{BoxId("i-1"), Millis(1700000000123)}, BoxName("box-1"), "saved"},
					  StoredTask{}};
	CHECK(DecodeProgress(EncodeProgress(progress)) == progress);
	const StoredOwner owner{9, "10.0.0.1:7060", true, Millis(1200)};
	CHECK(DecodeOwner(EncodeOwner(owner)) == owner);
	CHECK(!DecodeProgress("short"));
	CHECK(!DecodeOwner(std::string(64, '\xff')));
	CHECK(!DecodeSubmission(spec.id, ""));
}

namespace {

/** Makes a call with a timeout of 300 ms to a server that answers late, while the caller's event loop is blocked. */
struct BlockedCall {
	/**
	 * @param answer_after Time in ms after which the server answers.
	 * @param block_for Time in ms for which the loop is blocked, beginning 50 ms after the call.
	 * @param loop_for Time in ms for which the loop runs.
	 */
	BlockedCall(unsigned long answer_after, unsigned long block_for, int loop_for)
	{
		QTcpServer server;
		REQUIRE(server.listen(QHostAddress(QHostAddress::LocalHost)));
		const quint16 port = server.serverPort();
		server.close();
		std::atomic<bool> listening = false;
		/* Answers from a thread of its own, since the caller's loop is blocked. */
		std::thread answering([&] {
			QTcpServer own;
			own.listen(QHostAddress(QHostAddress::LocalHost), port);
			listening = true;
			own.waitForNewConnection(20000);
			const std::unique_ptr<QTcpSocket> socket(own.nextPendingConnection());
			socket->waitForReadyRead(20000);
			QThread::msleep(answer_after);
			socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
			socket->waitForBytesWritten(20000);
			socket->waitForDisconnected(20000);
		});
		while (!listening) {
			QThread::msleep(1);
		}
		{
			QtScheduler scheduler;
			HttpCaller caller(scheduler, DialLimits{});
			HttpCallSpec spec{"127.0.0.1:" + std::to_string(port), {}, Millis(300)};
			spec.request.method = "GET";
			spec.request.target = "/";
			QEventLoop loop;
			caller.Call(spec, [this](const HttpReply &it) {
				this->callbacks++;
				this->reply = it;
			});
			QTimer::singleShot(50, [block_for] { QThread::msleep(block_for); });
			QTimer::singleShot(loop_for, &loop, &QEventLoop::quit);
			loop.exec();
			this->open = caller.Open();
		}
		answering.join();
	}

	int callbacks = 0; ///< How often the callback was called.
	HttpReply reply;   ///< The last reply.
	size_t open = 0;   ///< Calls that were still open when the loop ended.
};

} // namespace

TEST_CASE("a call whose answer and timeout are due in the same iteration is reported once")
{
	/* In the iteration after the pause the socket is readable and the timeout is due. Sockets are handled before
	 * timers. */
	const BlockedCall call(150, 500, 700);
	CHECK(call.open == 0);
	CHECK(call.callbacks == 1);
}

TEST_CASE("a timeout that is noticed late waits for answers that the blocked process could not read")
{
	/* Due at 0.3 s, noticed at 1.25 s, answered at 1.4 s: an order that was given up earlier would be sent again. */
	const BlockedCall call(1400, 1200, 2600);
	CHECK(call.callbacks == 1);
	CHECK(static_cast<int>(call.reply.result) == static_cast<int>(CallResult::CR_ANSWERED));
}

TEST_CASE("a request that arrived during a pause is answered with the configuration that is read after the pause")
{
	JobWorld world(1);
	WorldNode &node = *world.nodes.front();
	world.clock.RunUntil(Millis(3000));
	Millis paused_at(-1000000);
	JobHttpHandler handler(
			node.scheduler, node.job_api, node.feed, [&paused_at] { return paused_at; },
			[](const std::function<void(bool)> &done) { done(true); }, node.events);
	CallerRequest request;
	request.method = "POST";
	request.target = "/r-new/0011223344556677";
	request.headers.Add("Host", "h");
	request.body = R"({"spec":"t","steps":[{"count":1,"cpu":5}]})";
	StatusSink before;
	handler.Serve(before, request);
	CHECK(before.status == 404);
	paused_at = world.clock.Now();
	StatusSink after;
	const auto served = handler.Serve(after, request);
	JobConfig newer = world.config;
	newer.version = 2;
	newer.routes.push_back(newer.routes.front());
	newer.routes.back().name = RouteName("r-new");
	newer.routes.back().path_prefix = "/r-new/";
	node.job_api.Configure(newer);
	world.clock.RunUntil(Millis(3500));
	CHECK(after.status == 200);
}

TEST_CASE("the time that a retrying caller has left gives the time of its first request")
{
	JobWorld world(1);
	WorldNode &node = *world.nodes.front();
	world.clock.RunUntil(Millis(3000));
	JobHttpHandler handler(
			node.scheduler, node.job_api, node.feed, [] { return Millis(-1000000); },
			[](const std::function<void(bool)> &done) { done(true); }, node.events);
	const auto make_request = [](const char *id, const char *wait) {
		CallerRequest request;
		request.method = "POST";
		request.headers.Add("Host", "h");
		request.headers.Add("X-Deadline-Ms", wait);
		request.body = R"({"spec":"t","steps":[{"count":1,"cpu":5}]})";
		request.target = std::string("/r-calc/") + id;
		return request;
	};
	StatusSink first;
	const auto served = handler.Serve(first, make_request("00112233445566aa", "3000"));
	StatusSink again;
	const auto served_again = handler.Serve(again, make_request("00112233445566bb", "1200"));
	const Millis now = node.scheduler.WallNow();
	world.clock.RunUntil(Millis(3500));
	REQUIRE(first.status == 200);
	REQUIRE(again.status == 200);
	const auto &jobs = node.host.Find(ServiceName("calc"))->Running()->Jobs();
	CHECK(jobs.at(JobId("00112233445566aa")).spec.requested_at == now);
	CHECK(jobs.at(JobId("00112233445566bb")).spec.requested_at == now - Millis(1800));
}
