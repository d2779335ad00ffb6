/** @file test_deadly_share.cpp A queue of which a share of the jobs crash the boxes that start them: what the others
 * pay. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

namespace {

const ServiceName CALC("calc");

constexpr int BOXES = 12;                  ///< Boxes of the queue beside those of the world,
constexpr Resources ROOM{16000, 65536, 0}; ///< and what each has.
constexpr Resources DEMAND{880, 200, 0};   ///< What a task takes.
constexpr Millis RUN_TIME(1000);           ///< Time that a task takes.
constexpr uint32_t WIDTH = 8;              ///< Tasks of a job's step.
constexpr Millis FROM(6000);               ///< When jobs begin to come,
constexpr Millis SPAN(12000);              ///< and for how long they do.
constexpr int JOBS = 140;                  ///< Jobs: 0.4 of what the boxes can do.
constexpr Millis WHOLE(60000);             ///< Length of the day.

/** A day on which each job of so many is deadly. */
struct DeadlyDay {
	/** @param each Of so many jobs one crashes the boxes that start its first task; 0 for none. */
	explicit DeadlyDay(int each)
	{
		this->world.AddBoxes(BOXES, ROOM);
		StepSpec step;
		step.count = WIDTH;
		step.demand = DEMAND;
		step.estimate = RUN_TIME;
		for (const int n : std::views::iota(0, JOBS)) {
			WorldJob &job = this->world.Plan(FROM + Millis(n * SPAN.Value() / JOBS), "calc", {step}, RUN_TIME);
			const bool deadly = each > 0 && n % each == each / 2;
			if (deadly) {
				this->world.site.JobOf(job.spec.id).crashing_tasks = {0};
			}
			(deadly ? this->guilty : this->innocent).push_back(&job);
		}
		this->world.TellEndedLives();
		this->world.clock.RunUntil(WHOLE);
	}

	/** @return How many of the jobs stand at a phase. @param jobs Jobs. @param phase The phase. */
	int64_t Count(const std::vector<WorldJob *> &jobs, JobPhase phase)
	{
		return std::ranges::count_if(jobs, [&](const WorldJob *it) { return this->world.ViewOf(*it).phase == phase; });
	}

	/** @return Runs that were lost with their boxes. */
	uint64_t Lost() { return std::as_const(this->world.OwnerOf(CALC)->host).Find(CALC)->Running()->Counters().lapsed; }

	JobWorld world{1};                ///< The world.
	std::vector<WorldJob *> guilty;   ///< Jobs that crash boxes.
	std::vector<WorldJob *> innocent; ///< The others.
};

} // namespace

/* Guards against verdicts on jobs that only ran beside a guilty one, and against a third crash for one that is known.
 */
TEST_CASE("of a queue with a tenth of deadly jobs only these are given up, each after two crashes")
{
	constexpr int TENTH = 10;
	constexpr uint64_t CRASHES_EACH = 2;
	DeadlyDay day(TENTH);
	CHECK(day.world.site.violations == std::vector<std::string>{});
	CHECK(day.Count(day.guilty, JobPhase::JP_FAILED) == std::ssize(day.guilty));
	CHECK(day.Count(day.innocent, JobPhase::JP_COMPLETED) == std::ssize(day.innocent));
	CAPTURE(day.guilty.size());
	CHECK(day.world.site.crashes <= CRASHES_EACH * day.guilty.size());
}

/* Guards against crashes that take full boxes along. */
TEST_CASE("each of a tenth of deadly jobs costs the others six runs at most")
{
	constexpr int TENTH = 10;
	constexpr uint64_t RUNS_EACH = 6;
	DeadlyDay day(TENTH);
	CAPTURE(day.world.site.crashes);
	CHECK(day.Lost() - day.world.site.crashes <= RUNS_EACH * day.guilty.size());
}
