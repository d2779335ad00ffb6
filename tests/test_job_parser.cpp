/** @file test_job_parser.cpp Submitted jobs of very many or misplaced parts. */
#include "../platform/job_parser.h"

#include <doctest/doctest.h>

namespace {

const JobId ID("0011223344556677"); ///< Id of the jobs.

/** @return Parts of a list, separated by commas. */
std::string Repeat(const std::string &part, size_t count)
{
	std::string out = part;
	for (size_t n = 1; n < count; n++) {
		out += "," + part;
	}
	return out;
}

std::string FaultOf(const std::string &body)
{
	return ParseJob(ID, body).result.detail;
}

} // namespace

TEST_CASE("a job of too many steps is refused at the first one too many")
{
	const ParsedJob job = ParseJob(ID, R"({"steps":[)" + Repeat("{}", 87000) + "]}");
	CHECK(job.result.detail == "steps: expected 20000 tasks at most");
	CHECK(job.spec.steps.size() == 20001);
	CHECK(ParseJob(ID, R"({"steps":[)" + Repeat("{}", 20000) + "]}").result.Ok());
}

TEST_CASE("each earlier step may be named once")
{
	CHECK(ParseJob(ID, R"({"steps":[{},{},{"after":[0,1]}]})").result.Ok());
	const ParsedJob job = ParseJob(ID, R"({"steps":[{},{"after":[)" + Repeat("0", 100000) + "]}]}");
	CHECK(job.result.detail == "steps[1].after: expected numbers of earlier steps");
	CHECK(job.spec.steps[1].after.size() == 1);
	CHECK(FaultOf(R"({"steps":[{"after":[-1]}]})") == "steps[0].after: expected numbers of earlier steps");
}

TEST_CASE("deep nesting, broken text and numbers out of range are refused")
{
	CHECK(FaultOf(R"({"steps":)" + std::string(200000, '[')) == "body: nested too deeply");
	CHECK(FaultOf("{\"steps\":[{}],\"a\":\"\xff\"}").starts_with("body: "));
	CHECK(FaultOf(R"({"steps":[{"cpu":-1}]})") == "steps[0].cpu: expected 0 to 2147483647");
	CHECK(FaultOf(R"({"steps":[{},{"mem-mb":99999999999}]})") == "steps[1].mem-mb: expected 0 to 2147483647");
	CHECK(FaultOf(R"({"steps":[{}],"repeat-count":20001})") == "steps: expected 20000 tasks at most");
}

TEST_CASE("members that aren't known, and values of another type, are passed over")
{
	const ParsedJob job =
			ParseJob(ID, R"({"x":{"spec":"no","steps":[{"count":9}]},"spec":"yes","steps":[{"count":"9","cpu":5.0,)"
						 R"("gang":1,"more":[[{"cpu":7}]],"requires":"a"},3,null,[]],"start-delay-ms":1700000000000})");
	REQUIRE(job.result.Ok());
	CHECK(job.spec.payload == "yes");
	REQUIRE(job.spec.steps.size() == 4);
	CHECK(job.spec.steps[0].count == 1);
	CHECK(job.spec.steps[0].demand.cpu == 5);
	CHECK_FALSE(job.spec.steps[0].gang);
	CHECK(job.spec.steps[0].required_label == "a");
	CHECK(job.spec.steps[1] == StepSpec());
	CHECK(job.spec.first_due == Millis(1700000000000));
	CHECK(FaultOf("[]") == "steps: expected at least one");
	CHECK(FaultOf("7") == "steps: expected at least one");
}

/* Guards against times of occurrences that overflow: they are sums and products of what the caller states. */
TEST_CASE("the times of a repeated job are bounded")
{
	const ParsedJob job =
			ParseJob(ID, R"({"steps":[{}],"repeat-count":3,"start-delay-ms":9223372036854775807,"interval-ms":-5})");
	REQUIRE(job.result.Ok());
	CHECK(job.spec.first_due < Millis(1LL << 42U));
	CHECK(job.spec.interval == Millis(0));
}
