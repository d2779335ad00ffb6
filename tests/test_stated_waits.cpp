/** @file test_stated_waits.cpp Waiting times that callers state, some of them far too long. */
#include "../platform/job_handler.h"
#include "job_world.h"
#include "status_sink.h"

#include <doctest/doctest.h>

TEST_CASE("a few callers that state very long waiting times do not make others' submissions look late")
{
	StatedWaits waits;
	CHECK(waits.FirstAttempt() == Millis(0));
	waits.Add(Millis(3000));
	waits.Add(Millis(1200)); /* A retry. */
	CHECK(waits.FirstAttempt() == Millis(3000));
	for (int n = 0; n < 40; n++) {
		waits.Add(n % 20 == 0 ? Millis(60000) : Millis(3000));
	}
	CHECK(waits.FirstAttempt() == Millis(3000));
	for (int n = 0; n < 64; n++) {
		waits.Add(Millis(5000)); /* All callers wait longer now. */
	}
	CHECK(waits.FirstAttempt() == Millis(5000));
}

TEST_CASE("a deadline that no clock can represent is taken as a minute")
{
	JobWorld world(1);
	WorldNode &node = *world.nodes.front();
	world.clock.RunUntil(Millis(3000));
	JobHttpHandler handler(
			node.scheduler, node.job_api, node.feed, [] { return Millis(-1000000); },
			[](const std::function<void(bool)> &done) { done(true); }, node.events);
	CallerRequest request;
	request.method = "POST";
	request.target = "/r-calc/00112233445566aa";
	request.headers.Add("Host", "h");
	request.headers.Add("X-Deadline-Ms", "9223372036854775807");
	request.body = R"({"spec":"t","steps":[{"count":1,"cpu":5}]})";
	StatusSink sink;
	const auto served = handler.Serve(sink, request);
	world.clock.RunUntil(Millis(3500));
	CHECK(sink.status == 200);
	CHECK(handler.Open() <= 1);
	const auto &jobs = node.host.Find(ServiceName("calc"))->Running()->Jobs();
	CHECK(jobs.at(JobId("00112233445566aa")).spec.requested_at >= node.scheduler.WallNow() - Millis(1000));
}
