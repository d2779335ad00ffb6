/** @file test_job_id.cpp Conversion, order and hashes of job ids. */
#include "jobs/job_id.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <vector>

TEST_CASE("a job id converts back to its text, and sorts as its text")
{
	const std::vector<std::string> texts = {
			"", "0", "00", "00ab", "5c0e7a21", "5c0e7a21d", "5C0E7A21D94B36F8", "5c0e7a21d94b36f8", "5c0e7a21d94b36f9",
			"z"};
	for (const std::string &a : texts) {
		CHECK(JobId(a).Value() == a);
		CHECK(JobId(a).Empty() == a.empty());
		for (const std::string &b : texts) {
			CAPTURE(a);
			CAPTURE(b);
			CHECK((JobId(a) < JobId(b)) == (a < b));
			CHECK((JobId(a) == JobId(b)) == (a == b));
		}
	}
}

TEST_CASE("a text longer than a job id yields the empty id")
{
	CHECK(JobId("5c0e7a21d94b36f80").Empty());
	CHECK(JobId(std::string(300, 'a')) == JobId());
}

TEST_CASE("hashes of job ids differ in their low bits")
{
	std::set<size_t> low;
	for (int n = 0; n < 1000; n++) {
		low.insert(JobId("000000000000" + std::to_string(1000 + n)).Hash() % 64);
	}
	CHECK(low.size() == 64);
}
