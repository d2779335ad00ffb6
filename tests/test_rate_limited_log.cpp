/** @file test_rate_limited_log.cpp Lines about long-running tasks aren't displaced by others of their kind. */
#include "program/bounded_log.h"
#include "scheduler_type.h"

#include <doctest/doctest.h>

namespace {

constexpr uint32_t LINES_PER_SECOND = 2; ///< Limit of the lines of one kind.

} // namespace

TEST_CASE("a line about a long-running task is written however many lines of its kind are dropped")
{
	VirtualScheduler clock{Millis(1700000000000)};
	RateLimitedLog log(clock, LINES_PER_SECOND);
	for (int n = 0; n < 5; n++) {
		log.Write("run_ended", {{"task", std::to_string(n)}});
	}
	CHECK(log.DroppedLines() == 3);
	for (int n = 0; n < 5; n++) {
		log.WriteLasting("run_ended", {{"task", std::to_string(n)}});
	}
	CHECK(log.DroppedLines() == 3);
	log.Write("run_ended", {{"task", "5"}});
	CHECK(log.DroppedLines() == 4);
}

TEST_CASE("lines about long-running tasks are limited, too")
{
	VirtualScheduler clock{Millis(1700000000000)};
	RateLimitedLog log(clock, LINES_PER_SECOND);
	for (int n = 0; n < 60; n++) {
		log.WriteLasting("run_ended", {{"task", std::to_string(n)}});
	}
	CHECK(log.DroppedLines() == 10);
}
