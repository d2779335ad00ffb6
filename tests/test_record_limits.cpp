/** @file test_record_limits.cpp The log rejects large appends and records for good: no service stops at one. */
#include "job_world.h"

#include "jobs/progress_records.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

namespace {

constexpr AppendLimits SMALL_LIMITS{4096, 16384}; ///< A job of a few hundred tasks outgrows a record.
constexpr Millis SETTLED(3000);                   ///< Time by which all shards have owners.
const ServiceName CALC("calc");

/** @return Number of jobs in a phase. @param world The simulation. @param jobs The jobs. @param phase The phase. */
int64_t Count(JobWorld &world, const std::vector<WorldJob *> &jobs, JobPhase phase)
{
	return std::ranges::count_if(jobs, [&](const WorldJob *it) { return world.ViewOf(*it).phase == phase; });
}

/** Kills the node that owns the service and starts another one. @param world The simulation. */
void ReplaceOwner(JobWorld &world)
{
	WorldNode *owner = world.OwnerOf(CALC);
	REQUIRE(owner != nullptr);
	const std::string name = owner->name;
	JobWorld::Kill(*owner);
	world.Boot(name);
}

/** @return A step with many tasks that run one after the other. @param count Number of tasks. */
std::vector<StepSpec> Wide(uint32_t count)
{
	std::vector<StepSpec> steps = JobWorld::Chain(count);
	steps.resize(1);
	return steps;
}

/** @return Progress with numbered runs. @param count Number of tasks. @param revision Revision of the progress. */
StoredProgress MakeProgress(size_t count, uint64_t revision)
{
	StoredProgress progress;
	progress.phase = JobPhase::JP_RUNNING;
	progress.route = RouteName("r");
	progress.revision = revision;
	for (size_t n = 0; n < count; n++) {
		StoredTask task;
		task.run = RunNumber(static_cast<uint32_t>(n + 1));
		progress.tasks.push_back(task);
	}
	return progress;
}

/** @return What a later owner restores. @param records Records in the log. */
StoredProgress Restored(const std::vector<KeyedRecord> &records)
{
	RestoredProgress restored;
	for (const KeyedRecord &it : records) {
		const std::optional<StoredProgress> progress = DecodeProgress(*it.value);
		REQUIRE(progress);
		CHECK(ParseProgressKey(it.key).first_task == progress->first_task);
		restored.Add(*progress);
	}
	return restored.Result();
}

} // namespace

TEST_CASE("a service goes on when its owner has more to record than one append may carry")
{
	JobWorld world;
	world.store.limits = SMALL_LIMITS;
	world.clock.RunUntil(SETTLED);
	const WorldJob &lasting = world.Plan(Millis(100), "calc", JobWorld::Lasting(2));
	constexpr int JOBS = 300;
	std::vector<WorldJob *> jobs;
	jobs.reserve(JOBS);
	for (int n = 0; n < JOBS; n++) {
		jobs.push_back(&world.Plan(Millis(200 + n), "calc", JobWorld::Chain(3), Millis(50)));
	}
	/* The next owner takes them all at once, and cancels many in the same moment. */
	world.clock.RunUntil(SETTLED + Millis(700));
	ReplaceOwner(world);
	for (WorldJob *it : jobs | std::views::drop(100)) {
		world.PlanCancel(Millis(1), *it);
	}
	world.clock.RunUntil(SETTLED + Millis(40000));
	CHECK(world.site.Running(lasting.spec.id) == 2);
	CHECK(Count(world, jobs, JobPhase::JP_COMPLETED) + Count(world, jobs, JobPhase::JP_CANCELLED) == JOBS);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a job whose progress outgrows a record of the log stops neither itself nor the other jobs of its service")
{
	for (const bool replaced : {false, true}) {
		CAPTURE(replaced);
		JobWorld world;
		world.store.limits = SMALL_LIMITS;
		world.clock.RunUntil(SETTLED);
		const WorldJob &lasting = world.Plan(Millis(100), "calc", JobWorld::Lasting(2));
		std::vector<WorldJob *> jobs = {&world.Plan(Millis(200), "calc", Wide(2500), Millis(50))};
		for (int n = 0; n < 10; n++) {
			jobs.push_back(&world.Plan(Millis(300 + n * 500), "calc", JobWorld::Chain(2)));
		}
		world.clock.RunUntil(SETTLED + Millis(2500));
		if (replaced) {
			ReplaceOwner(world);
		}
		world.clock.RunUntil(SETTLED + Millis(60000));
		CHECK(world.site.Running(lasting.spec.id) == 2);
		CHECK(Count(world, jobs, JobPhase::JP_COMPLETED) == 11);
		CHECK(world.site.violations == std::vector<std::string>{});
	}
}

TEST_CASE("a submission that no record of the log can hold is rejected at once")
{
	JobWorld world;
	world.store.limits = SMALL_LIMITS;
	world.clock.RunUntil(SETTLED);
	WorldJob &job = world.Plan(Millis(1000000), "calc", JobWorld::Chain(1));
	job.spec.payload = std::string(SMALL_LIMITS.record_bytes, 'p');
	std::optional<ResultCode> result;
	world.nodes.front()->job_api.Submit(job.spec, job.service, world.clock.Now() + Millis(3000),
										[&result](ResultCode code) { result = code; });
	world.clock.RunUntil(SETTLED + Millis(10));
	CHECK(result == ResultCode::RC_BODY_TOO_LARGE);
	CHECK(HttpStatusOf(ResultCode::RC_BODY_TOO_LARGE) == 413);
}

TEST_CASE("progress is divided into records that the log accepts, and restored from them in any order")
{
	const JobId id("0011223344556677");
	const StoredProgress progress = MakeProgress(5000, 7);
	ProgressRecords made = MakeProgressRecords(id, progress, {}, SMALL_LIMITS.record_bytes);
	CHECK(made.records.size() > 5);
	for (const KeyedRecord &it : made.records) {
		CHECK(EncodedSize(it) <= SMALL_LIMITS.record_bytes);
		CHECK(ParseProgressKey(it.key).job == id);
	}
	std::ranges::reverse(made.records);
	CHECK(Restored(made.records).tasks == progress.tasks);
	CHECK(Restored(made.records).phase == progress.phase);
}

TEST_CASE("of a large job only records with changed tasks are written, and the newest record of a task counts")
{
	const JobId id("0011223344556677");
	const StoredProgress before = MakeProgress(5000, 7);
	StoredProgress after = before;
	after.revision++;
	after.phase = JobPhase::JP_COMPLETED;
	after.tasks[4500].failures = 3;
	CHECK(MakeProgressRecords(id, before, {}, 1000000).records.size() == 1);
	constexpr size_t RECORD_BYTES = 30000; /* Less than all tasks, more than TASKS_PER_RECORD. */
	ProgressRecords made = MakeProgressRecords(id, before, {}, RECORD_BYTES);
	const ProgressRecords changed = MakeProgressRecords(id, after, before.tasks, RECORD_BYTES);
	CHECK(made.records.size() == 5);
	CHECK(changed.records.size() == 2);
	std::ranges::copy(changed.records, std::back_inserter(made.records));
	CHECK(Restored(made.records).tasks == after.tasks);
	CHECK(Restored(made.records).phase == JobPhase::JP_COMPLETED);
	std::ranges::reverse(made.records);
	CHECK(Restored(made.records).tasks == after.tasks);
	CHECK(Restored(made.records).phase == JobPhase::JP_COMPLETED);
}

TEST_CASE("a checkpoint that is longer than a record is left out, and its task is recorded")
{
	StoredProgress progress = MakeProgress(40, 1);
	progress.tasks[20].saved = std::string(SMALL_LIMITS.record_bytes, 's');
	progress.tasks[21].saved = "short";
	const ProgressRecords made =
			MakeProgressRecords(JobId("0011223344556677"), progress, {}, SMALL_LIMITS.record_bytes);
	CHECK(made.checkpoints_left_out == 1);
	const StoredProgress restored = Restored(made.records);
	REQUIRE(restored.tasks.size() == 40);
	CHECK(restored.tasks[20].saved.empty());
	CHECK(restored.tasks[20].run == RunNumber(21));
	CHECK(restored.tasks[21].saved == "short");
}
