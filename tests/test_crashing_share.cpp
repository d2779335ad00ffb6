/** @file test_crashing_share.cpp Effect of jobs that crash their boxes on the other jobs of the queue. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

namespace {

const ServiceName CALC("calc");

constexpr int BOXES = 12;                          ///< Boxes added to those of the simulation.
constexpr Resources BOX_CAPACITY{16000, 65536, 0}; ///< Capacity of each added box.
constexpr Resources DEMAND{880, 200, 0};           ///< Resources of a task.
constexpr Millis RUN_TIME(1000);                   ///< Run time of a task.
constexpr uint32_t WIDTH = 8;                      ///< Tasks of a job.
constexpr Millis FIRST_SUBMISSION(6000);           ///< Time of the first submission.
constexpr Millis SUBMISSION_PERIOD(12000);         ///< Period of submissions.
constexpr int JOBS = 140;                          ///< Number of jobs; they use 0.4 of the capacity of the boxes.
constexpr Millis SIMULATED_TIME(60000);            ///< Simulated time.

/** A scenario in which every n-th job crashes its boxes. */
struct CrashScenario {
	/** @param each One of this many jobs crashes the boxes that start its first task; 0 for none. */
	explicit CrashScenario(int each)
	{
		this->world.AddBoxes(BOXES, BOX_CAPACITY);
		StepSpec step;
		step.count = WIDTH;
		step.demand = DEMAND;
		step.estimate = RUN_TIME;
		for (const int n : std::views::iota(0, JOBS)) {
			WorldJob &job = this->world.Plan(FIRST_SUBMISSION + Millis(n * SUBMISSION_PERIOD.Value() / JOBS), "calc",
											 {step}, RUN_TIME);
			const bool crashes_boxes = each > 0 && n % each == each / 2;
			if (crashes_boxes) {
				this->world.site.JobOf(job.spec.id).crashing_tasks = {0};
			}
			(crashes_boxes ? this->crashing : this->ordinary).push_back(&job);
		}
		this->world.ReportEndedIncarnations();
		this->world.clock.RunUntil(SIMULATED_TIME);
	}

	/** @return Number of jobs in a phase. @param jobs The jobs to count. @param phase The phase. */
	int64_t Count(const std::vector<WorldJob *> &jobs, JobPhase phase)
	{
		return std::ranges::count_if(jobs, [&](const WorldJob *it) { return this->world.ViewOf(*it).phase == phase; });
	}

	/** @return Number of runs lost because their box ended or their lease expired. */
	uint64_t LostRuns()
	{
		return std::as_const(this->world.OwnerOf(CALC)->host).Find(CALC)->Running()->Counters().lapsed;
	}

	JobWorld world{1};                ///< The simulation.
	std::vector<WorldJob *> crashing; ///< Jobs that crash their boxes.
	std::vector<WorldJob *> ordinary; ///< All other jobs.
};

} // namespace

/* Guards against the failure of jobs that merely ran beside one that crashes its boxes, and against a third crash by a
 * job already confirmed as the cause. */
TEST_CASE("if a tenth of the jobs crash their boxes, only these are given up, each after two crashes")
{
	constexpr int TENTH = 10;
	constexpr uint64_t CRASHES_EACH = 2;
	CrashScenario scenario(TENTH);
	CHECK(scenario.world.site.violations == std::vector<std::string>{});
	CHECK(scenario.Count(scenario.crashing, JobPhase::JP_FAILED) == std::ssize(scenario.crashing));
	CHECK(scenario.Count(scenario.ordinary, JobPhase::JP_COMPLETED) == std::ssize(scenario.ordinary));
	CAPTURE(scenario.crashing.size());
	CHECK(scenario.world.site.crashes <= CRASHES_EACH * scenario.crashing.size());
}

/* Guards against crashes of full boxes, each of which ends the runs of up to some twenty other tasks. */
TEST_CASE("each of a tenth of deadly jobs costs the others six runs at most")
{
	constexpr int TENTH = 10;
	constexpr uint64_t RUNS_EACH = 6;
	CrashScenario scenario(TENTH);
	CAPTURE(scenario.world.site.crashes);
	CHECK(scenario.LostRuns() - scenario.world.site.crashes <= RUNS_EACH * scenario.crashing.size());
}
