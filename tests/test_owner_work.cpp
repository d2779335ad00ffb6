/** @file test_owner_work.cpp Work that an owner skips (unchanged reports, ended incarnations, idle boxes), and the
 * format of orders and answers. */
#include "../platform/box_answer.h"
#include "../platform/box_words.h"
#include "../platform/platform_feed.h"
#include "job_world.h"

#include <doctest/doctest.h>

TEST_CASE("a report in which only the call counter differs has the same content hash")
{
	const std::string head = R"({"service":"calc","address":"a:1","state":"ready","call-seq":)";
	CHECK(ReportContentHash(head + "7}") == ReportContentHash(head + "18}"));
	CHECK(ReportContentHash(head + R"(7,"zone":"z"})") == ReportContentHash(head + R"(8,"zone":"z"})"));
	CHECK(ReportContentHash(head + R"(7,"zone":"z"})") != ReportContentHash(head + R"(7,"zone":"y"})"));
	CHECK(ReportContentHash(R"({"state":"ready"})") != ReportContentHash(R"({"state":"draining"})"));
	CHECK(ReportContentHash(R"({"call-seq")") != ReportContentHash(""));
}

TEST_CASE("an incarnation whose report was removed and that runs nothing gets no lease orders")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	const Shard *shard = std::as_const(owner->host).Find(ServiceName("calc"))->Running();
	for (int n = 0; n < 4; n++) {
		const std::string box = "calc-box" + std::to_string(n);
		world.unlisted.insert(BoxName(box));
		world.site.faults[BoxName(box)].unreachable = true;
		for (const auto &node : world.nodes) {
			node->host.OnReportRemoved(BoxId(box + "-life0"));
		}
	}
	world.clock.RunUntil(Millis(5000)); /* Lets orders in flight end. */
	const uint64_t orders = shard->Counters().looks;
	world.clock.RunUntil(Millis(9000));
	CHECK(shard->Counters().looks == orders);
	/* Boxes that return are used again. */
	for (int n = 0; n < 4; n++) {
		world.site.faults[BoxName("calc-box" + std::to_string(n))].unreachable = false;
	}
	world.unlisted.clear();
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Chain(3));
	world.clock.RunUntil(Millis(14000));
	CHECK(world.ViewOf(job).phase == JobPhase::JP_COMPLETED);
	CHECK(world.site.violations.empty());
}

TEST_CASE("the last ended runs of an incarnation whose report was removed are still acknowledged")
{
	JobWorld world;
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Chain(3));
	world.clock.RunUntil(Millis(3000));
	REQUIRE(world.ViewOf(job).phase == JobPhase::JP_COMPLETED);
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	const Shard *shard = std::as_const(owner->host).Find(ServiceName("calc"))->Running();
	for (int n = 0; n < 4; n++) {
		world.unlisted.insert(BoxName("calc-box" + std::to_string(n)));
		owner->host.OnReportRemoved(BoxId("calc-box" + std::to_string(n) + "-life0"));
	}
	/* The lease order that acknowledges the ended runs waits up to a second for another one. */
	world.clock.RunUntil(Millis(4500));
	for (const auto &[incarnation, box] : shard->Boxes()) {
		CHECK(box.ends_acknowledged == box.ends_seen);
	}
}

namespace {

const BoxIncarnation ORDERED_INCARNATION{BoxId("i-1"),
										 Millis(1700000000123)}; ///< Incarnation that an order was sent to.

} // namespace

TEST_CASE("answers of boxes are read into rows, and malformed answers are read as empty")
{
	HttpReply reply;
	reply.result = CallResult::CR_ANSWERED;
	reply.status = 200;
	reply.body = R"({"clock-ms":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00ff",41,250],["odd"],7],)"
				 R"("finished":[[58,"5c0e7a21d94b36f8.3.1.9",1,"done",""]]})";
	const LeaseAnswer answer = ReadLeaseAnswer(reply, ORDERED_INCARNATION);
	CHECK(answer.order.outcome == OrderOutcome::OO_DONE);
	CHECK(answer.order.box_clock == Millis(482113));
	REQUIRE(answer.running.size() == 2);
	CHECK(answer.running[0].task == TaskId{JobId("5c0e7a21d94b36f8"), 0, 1, 17});
	CHECK(answer.running[0].run == RunNumber(2));
	CHECK(answer.running[0].saved == "00ff");
	CHECK(answer.running[0].share == 41);
	CHECK(answer.running[0].load == 250);
	CHECK(answer.running[1].task == TaskId{JobId("odd"), 0, 0, 0});
	REQUIRE(answer.ended.size() == 1);
	CHECK(answer.ended[0].number == 58);
	CHECK(answer.ended[0].task == TaskId{JobId("5c0e7a21d94b36f8"), 3, 1, 9});
	CHECK(answer.ended[0].ending == RunEnding::RE_DONE);
	for (const char *bytes : {"", "[]", "{", "null", R"({"running":{},"finished":[1],"clock-ms":"x"})"}) {
		reply.body = bytes;
		CHECK(ReadLeaseAnswer(reply, ORDERED_INCARNATION).running.empty());
		CHECK(ReadLeaseAnswer(reply, ORDERED_INCARNATION).ended.empty());
		CHECK(!ReadLeaseAnswer(reply, ORDERED_INCARNATION).order.box_clock);
	}
	reply.status = 409;
	reply.body = R"({"clock-ms":1,"reason":"old"})";
	CHECK(ReadOrderAnswer(reply).outcome == OrderOutcome::OO_RUN_TOO_OLD);
	reply.body = "{}";
	CHECK(ReadOrderAnswer(reply).outcome == OrderOutcome::OO_REJECTED);
	reply.result = CallResult::CR_UNKNOWN;
	CHECK(ReadOrderAnswer(reply).outcome == OrderOutcome::OO_UNKNOWN);
}

TEST_CASE("the answer to a lease order names the incarnation that gave it")
{
	HttpReply reply;
	reply.result = CallResult::CR_ANSWERED;
	reply.status = 200;
	reply.body = R"({"clock-ms":12,"born":1700000009000,"running":[],"finished":[]})";
	CHECK(ReadLeaseAnswer(reply, ORDERED_INCARNATION).order.incarnation ==
		  BoxIncarnation{ORDERED_INCARNATION.id, Millis(1700000009000)});
	/* A box that reports no start time is identified by its id alone. */
	CHECK_FALSE(ReadLeaseAnswer(reply, BoxIncarnation{ORDERED_INCARNATION.id, Millis(0)}).order.incarnation);
	reply.body = R"({"clock-ms":12,"running":[],"finished":[]})";
	CHECK_FALSE(ReadLeaseAnswer(reply, ORDERED_INCARNATION).order.incarnation);
}

TEST_CASE("a list with more rows than the parser's buffer holds is read completely")
{
	HttpReply reply;
	reply.result = CallResult::CR_ANSWERED;
	reply.status = 200;
	reply.body = R"({"running":[)";
	for (int n = 0; n < 2000; n++) {
		reply.body += (n == 0 ? "" : ",") + std::string(R"(["5c0e7a21d94b36f8.0.1.)") + std::to_string(n) +
					  R"(",2,"0011223344556677",100,880])";
	}
	reply.body += "]}";
	const LeaseAnswer answer = ReadLeaseAnswer(reply, ORDERED_INCARNATION);
	REQUIRE(answer.running.size() == 2000);
	CHECK(answer.running.back().task.index == 1999);
}

TEST_CASE("task ids are read back as written, and other texts are read as the id of a job")
{
	const TaskId task{JobId("00ab"), 4, 0, 31};
	CHECK(FormatTaskId(task) == "00ab.4.0.31");
	CHECK(ParseTaskId(FormatTaskId(task)) == task);
	for (const char *text : {"", "a", "a.1", "a.1.2", "a.1.2.3.4", "..."}) {
		const TaskId odd = ParseTaskId(text);
		CHECK(odd.job == JobId(std::string(text) == "..." ? "" : text));
	}
}

TEST_CASE("bodies of orders have the format that boxes expect")
{
	const TaskId task{JobId("ab"), 0, 1, 2};
	CHECK(StopBody(task, RunNumber(3), FenceToken(7)) == R"({"task":"ab.0.1.2","run-id":3,"fencing-token":7})");
	StartOrder order;
	order.task = task;
	order.run = RunNumber(1);
	order.payload = "say \"hi\"";
	order.lease_until = Millis(500);
	order.fence = FenceToken(9);
	CHECK(StartBody(order) ==
		  R"({"task":"ab.0.1.2","run-id":1,"fencing-token":9,"spec":"say \"hi\"","expiry-ms":500})");
	LeaseOrder lease;
	lease.fence = FenceToken(2);
	lease.ends_noted = 5;
	lease.wait = Millis(1000);
	CHECK(LeaseBody(lease) == R"({"fencing-token":2,"last-seen":5,"wait-ms":1000})");
}

TEST_CASE("idle boxes get lease orders half as often as others")
{
	JobWorld world;
	world.clock.RunUntil(Millis(5000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	const Shard *shard = std::as_const(owner->host).Find(ServiceName("calc"))->Running();
	const uint64_t orders_idle = shard->Counters().looks;
	world.clock.RunUntil(Millis(15000));
	/* At one order a second, four boxes would get 40 in ten seconds. */
	CHECK(shard->Counters().looks - orders_idle <= 20);
	const WorldJob &job = world.Plan(Millis(0), "calc", JobWorld::Lasting(4));
	world.clock.RunUntil(Millis(20000));
	REQUIRE(world.site.Running(job.spec.id) == 4);
	const uint64_t orders_busy = shard->Counters().looks;
	world.clock.RunUntil(Millis(30000));
	CHECK(shard->Counters().looks - orders_busy >= 36);
	CHECK(world.site.Running(job.spec.id) == 4);
}
