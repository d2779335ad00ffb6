/** @file test_job_memory.cpp Jobs are accepted while their owner has memory for them. */
#include "job_world.h"

#include <doctest/doctest.h>

namespace {

constexpr uint64_t MEGABYTE = 1024 * 1024; ///< Bytes of a megabyte.

JobSpec WideJob(uint32_t tasks)
{
	JobSpec spec;
	spec.id = JobId("0011223344556677");
	StepSpec step;
	step.count = tasks;
	spec.steps = {step};
	return spec;
}

StepSpec PlainStep(uint32_t tasks, int64_t cpu)
{
	StepSpec step;
	step.count = tasks;
	step.demand = Resources{cpu, 10, 0};
	step.estimate = Millis(500);
	return step;
}

} // namespace

TEST_CASE("jobs are admitted by the memory in use and by what the latest ones will need")
{
	VirtualScheduler clock;
	WorldMemory memory;
	NullEventLog events;
	JobMemory jobs(clock, memory, events, 100 * MEGABYTE);
	memory.used = 80 * MEGABYTE;
	CHECK(EstimateBytes(WideJob(20000)) > 8 * MEGABYTE);
	CHECK(jobs.Admit(WideJob(20000)));
	CHECK(jobs.Admit(WideJob(20000)));
	CHECK_FALSE(jobs.Admit(WideJob(20000)));
	CHECK(jobs.Admit(WideJob(10))); /* A small one still fits. */
	CHECK(jobs.Refused() == 1);
	clock.RunUntil(Millis(3000)); /* What was admitted is part of the memory in use by now, or never came to be. */
	CHECK(jobs.Admit(WideJob(20000)));
	clock.RunUntil(Millis(6000));
	memory.used = 99 * MEGABYTE;
	memory.free = 50 * MEGABYTE;
	const uint32_t before = memory.returns;
	CHECK(jobs.Admit(WideJob(20000))); /* Free blocks were returned first. */
	CHECK(memory.returns == before + 1);
}

TEST_CASE("an owner without memory refuses new jobs before they are recorded, and answers for known ones")
{
	JobWorld world(1);
	WorldNode &node = *world.nodes.front();
	world.clock.RunUntil(Millis(4000));
	WorldMemory &memory = node.memory;
	WorldJob &first = world.Plan(Millis(0), "calc", {PlainStep(2, 1000)});
	world.clock.RunUntil(Millis(4500));
	REQUIRE(first.accepted);
	memory.used = WorldNode::MEMORY_MAX;
	std::vector<ResultCode> codes;
	const auto submit = [&](const WorldJob &job) {
		node.job_api.Submit(job.spec, job.service, world.clock.Now() + Millis(3000),
							[&codes](ResultCode code) { codes.push_back(code); });
	};
	WorldJob &second = world.Plan(Millis(60000), "calc", {PlainStep(2, 1000)});
	submit(second);
	submit(first);
	world.clock.RunUntil(Millis(9000));
	CHECK(codes == std::vector<ResultCode>{ResultCode::RC_JOB_MEMORY_FULL, ResultCode::RC_OK});
	CHECK_FALSE(world.site.Started(second.spec.id));
	memory.used = 0;
	submit(second);
	world.clock.RunUntil(Millis(15000));
	CHECK(codes.back() == ResultCode::RC_OK);
	CHECK(world.site.Started(second.spec.id));
	CHECK(world.site.violations.empty());
}
