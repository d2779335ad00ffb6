/** @file test_odd_records.cpp Odd records in the partitions of a shard: its owner passes them over. */
#include "odd_bytes.h"

#include <doctest/doctest.h>

namespace {

const ServiceName CALC("calc");

/** @return Whether a submission is accepted after a change. */
bool IsAccepted(const std::function<void(JobSpec &)> &change)
{
	JobSpec spec = MakeJob();
	change(spec);
	return DecodeSubmission(spec.id, EncodeSubmission(spec)).has_value();
}

} // namespace

/* Guards against an owner that ends because of a key that is too short, or of a record that states very many tasks. */
TEST_CASE("odd bytes: an owner loads its shard beside odd records, and completes the jobs in it")
{
	JobWorld world;
	JobSpec no_steps = MakeJob();
	no_steps.steps.clear();
	StoredProgress endless;
	endless.task_count = UINT32_MAX;
	const std::vector<std::string> values{"x", EncodeSubmission(no_steps), EncodeProgress(endless),
										  std::string(4, '\0')};
	for (const uint32_t part : {PROGRESS_PARTITION, INBOX_PARTITION}) {
		for (const std::string &value : values) {
			for (const std::string &key : {std::string(), std::string("p"), std::string("j"), std::string("q"),
										   std::string("m"), std::string("x"), std::string("aaaaaaaaaaaaaaa2"),
										   std::string("\xff\0\xfe", 3), std::string(255, 'k'), std::string("pp")}) {
				const KeyedRecord record{key + (key.size() == 1 || key.empty() ? "" : std::to_string(value.size())),
										 value};
				world.store.Append(PartitionId{"keyed.jobs.calc", part}, {record}, AppendCondition{});
			}
		}
	}
	world.clock.RunUntil(Millis(4000));
	REQUIRE(world.OwnerOf(CALC) != nullptr);
	const WorldJob &first = world.Plan(Millis(0), CALC.Value(), JobWorld::Chain(2));
	world.clock.RunUntil(Millis(8000));
	CHECK(world.ViewOf(first).phase == JobPhase::JP_COMPLETED);
	JobWorld::Kill(*world.OwnerOf(CALC));
	world.clock.RunUntil(Millis(16000));
	REQUIRE(world.OwnerOf(CALC) != nullptr);
	const WorldJob &second = world.Plan(Millis(0), CALC.Value(), JobWorld::Chain(2));
	world.clock.RunUntil(Millis(20000));
	CHECK(world.ViewOf(first).phase == JobPhase::JP_COMPLETED);
	CHECK(world.ViewOf(second).phase == JobPhase::JP_COMPLETED);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("odd bytes: a submission without tasks, with too many, or whose steps wait for later ones is rejected")
{
	CHECK(IsAccepted([](JobSpec &) {}));
	CHECK_FALSE(IsAccepted([](JobSpec &it) { it.steps.clear(); }));
	CHECK_FALSE(IsAccepted([](JobSpec &it) { it.steps[0].count = 0; }));
	CHECK_FALSE(IsAccepted([](JobSpec &it) { it.steps[0].count = UINT32_MAX; }));
	CHECK_FALSE(IsAccepted([](JobSpec &it) { it.repeats = UINT32_MAX; }));
	CHECK_FALSE(IsAccepted([](JobSpec &it) { it.steps[0].after = {0}; }));
	CHECK_FALSE(IsAccepted([](JobSpec &it) { it.steps[1].after = {7}; }));
	CHECK_FALSE(IsAccepted([](JobSpec &it) { it.id = JobId(); }));
}
