/** @file test_odd_answers.cpp Answers of boxes that are nested too deeply, have odd numbers, or are none. */
#include "../platform/box_answer.h"
#include "odd_bytes.h"

#include <doctest/doctest.h>

namespace {

const BoxIncarnation INCARNATION{BoxId("i-1"), Millis(1700000000000)};
constexpr size_t DEEP = 1'000'000; ///< Depth of a nested list.

LeaseAnswer LeaseOf(const std::string &body)
{
	return ReadLeaseAnswer(ReplyOf(body), INCARNATION);
}

} // namespace

/* Guards against a process that ends because a box nests the lists of its answer too deeply for the stack. */
TEST_CASE("odd bytes: an answer of a box may be nested as deeply as it likes")
{
	const std::string open(DEEP, '[');
	const std::string closed = open + std::string(DEEP, ']');
	for (const std::string &body : {R"({"running":)" + open, R"({"running":)" + closed + "}", open, closed,
									R"({"running":[],"finished":[],"other":)" + closed + "}"}) {
		CHECK(LeaseOf(body).running.size() <= 1);
		CHECK_FALSE(ReadOrderAnswer(ReplyOf(body)).box_clock);
	}
}

/* Guards against runs that are taken for ended, and started elsewhere, since an answer had no list that can be read. */
TEST_CASE("odd bytes: a list of runs that can't be read is no list")
{
	CHECK(LeaseOf(R"({"running":[],"finished":[]})").order.outcome == OrderOutcome::OO_DONE);
	CHECK(LeaseOf("{}").order.outcome == OrderOutcome::OO_DONE);
	for (const char *body : {"", "[]", "{", "null", R"({"running":[],"finished":[])", R"({"running":{},"finished":[]})",
							 R"({"running":[],"finished":7})"}) {
		CAPTURE(body);
		CHECK(LeaseOf(body).order.outcome == OrderOutcome::OO_UNKNOWN);
	}
}

/* Guards against sums that overflow: a clock is added to times, the number of an end is what all later ones exceed. */
TEST_CASE("odd bytes: numbers in the answer of a box are bounded")
{
	const LeaseAnswer answer = LeaseOf(
			R"({"clock-ms":9223372036854775807,"born":-5,"running":[["aaaaaaaaaaaaaaa1.0.0.0",4294967296,"",101,-1]],)"
			R"("finished":[[-1,"aaaaaaaaaaaaaaa1.0.0.0",-1,"done",""]]})");
	CHECK_FALSE(answer.order.box_clock);
	CHECK_FALSE(answer.order.incarnation);
	REQUIRE(answer.running.size() == 1);
	CHECK(answer.running[0].run == RunNumber(0));
	CHECK(answer.running[0].share == 0);
	CHECK(answer.running[0].load == 0);
	REQUIRE(answer.ended.size() == 1);
	CHECK(answer.ended[0].number == 0);
	CHECK(answer.ended[0].run == RunNumber(0));
}
