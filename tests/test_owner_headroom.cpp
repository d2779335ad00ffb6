/** @file test_owner_headroom.cpp Owners that have half a core each for a queue of 600 boxes at its peak. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

namespace {

const ServiceName CALC("calc");

constexpr size_t NODES = 4;                ///< Nodes that may own.
constexpr uint32_t PARTS = 24;             ///< Partitions of a topic on a site of this size.
constexpr int BOXES = 600;                 ///< Boxes of the queue,
constexpr Resources ROOM{16000, 65536, 0}; ///< and what each has.
constexpr Resources DEMAND{2200, 6400, 0}; ///< What a task takes.
constexpr Millis RUN_TIME(1000);           ///< Time that a task takes.
constexpr int64_t TASKS_A_SECOND = 3800;   ///< Handed in while the peak lasts: 0.87 of what the boxes can do.
constexpr uint32_t WIDTH = 8;              ///< Tasks of a job's step.
constexpr Millis PEAK_FROM(6000);          ///< When the peak begins,
constexpr Millis PEAK_FOR(5000);           ///< and how long it lasts.
constexpr Millis OBJECTIVE(2200);          ///< 1.6 times its chain and 600 ms: a job is on time within it.
constexpr double SHARE = 0.5;              ///< Of a core that the owner has.

/** Processor time in microseconds of a core, as profiles of an owner show it. */
constexpr double ORDER_US = 150; ///< An order to a box, its answer, and what follows from it.
constexpr double BOX_US = 0.1;   ///< A box gone through.
constexpr double TASK_US = 0.37; ///< A task on a box gone through.
/** What a run is to cost an owner: 4,000 a second are then half of half a core. */
constexpr double RUN_AIM_US = 60;
constexpr double WALKS_PART = 0.1; ///< Of that, what may go into looking for what to do.

/** A queue at its peak. */
class PeakWorld {
public:
	/** @param charged Whether owners' work takes time. */
	explicit PeakWorld(bool charged) : world(NODES, PARTS), last(NODES)
	{
		for (int n = 0; n < BOXES; n++) {
			BoxReport report = this->world.site.Reports().front();
			report.box = BoxName("calc-wide" + std::to_string(n));
			report.life = BoxLife(report.box.Value() + "-life0");
			report.service = CALC;
			report.address = report.box.Value();
			report.capacity = ROOM;
			this->world.site.Add(report);
		}
		this->world.clock.RunUntil(PEAK_FROM);
		if (charged) {
			for (const size_t n : std::views::iota(size_t{0}, NODES)) {
				this->world.nodes[n]->scheduler.take_cost = [this, n] { return this->Cost(n); };
			}
		}
		const int64_t jobs = TASKS_A_SECOND * PEAK_FOR.Value() / MS_PER_SECOND / WIDTH;
		for (const int64_t n : std::views::iota(int64_t{0}, jobs)) {
			StepSpec step;
			step.count = WIDTH;
			step.demand = DEMAND;
			step.estimate = RUN_TIME;
			this->world.Plan(Millis(n * PEAK_FOR.Value() / jobs), "calc", {step}, RUN_TIME);
		}
		/* What is done then was on time, or late by the wait for its record. */
		this->world.clock.RunUntil(PEAK_FROM + PEAK_FOR + OBJECTIVE);
	}

	/** @return Share of the jobs that are completed. */
	[[nodiscard]] double Done()
	{
		const auto done = std::ranges::count_if(this->world.jobs, [this](const auto &it) {
			return this->world.ViewOf(*it).phase == JobPhase::JP_COMPLETED;
		});
		return static_cast<double>(done) / static_cast<double>(this->world.jobs.size());
	}

	/** @return What a counter says of all owners on a node. @param node Which. @param counter The counter. */
	[[nodiscard]] uint64_t Count(size_t node, uint64_t ShardCounters::*counter) const
	{
		uint64_t sum = 0;
		for (const auto &owner : this->world.nodes[node]->host.Owners() | std::views::values) {
			sum += owner->Running() == nullptr ? 0 : owner->Running()->Counters().*counter;
		}
		return sum;
	}

	/** @return The same of all nodes. @param counter The counter. */
	[[nodiscard]] uint64_t Count(uint64_t ShardCounters::*counter) const
	{
		uint64_t sum = 0;
		for (const size_t n : std::views::iota(size_t{0}, NODES)) {
			sum += this->Count(n, counter);
		}
		return sum;
	}

	JobWorld world; ///< The world.

private:
	std::vector<double> last; ///< Cost up to which each node has paid, in microseconds of a core.

	double Cost(size_t node)
	{
		const auto of = [node, this](uint64_t ShardCounters::*it) {
			return static_cast<double>(this->Count(node, it));
		};
		const double spent =
				ORDER_US * (of(&ShardCounters::starts) + of(&ShardCounters::looks) + of(&ShardCounters::stops)) +
				BOX_US * of(&ShardCounters::boxes_walked) + TASK_US * of(&ShardCounters::tasks_walked);
		return std::max(spent - std::exchange(this->last[node], spent), 0.0) / SHARE;
	}
};

} // namespace

/* What users saw: a queue's callers at its peak got their results seconds late, or nothing, while its boxes stood half
 * idle. In that order: the pool of the queue grew from 94 boxes to 800; from 300 boxes on its owner placed tasks as
 * fast as boxes came, but starts and ends waited for the owner's processor, 2 to 6 s; records of new jobs waited behind
 * them, and callers left. */
TEST_CASE("an owner with half a core keeps up with the peak of a queue of 600 boxes")
{
	PeakWorld free(false);
	PeakWorld charged(true);
	CAPTURE(charged.Count(&ShardCounters::starts));
	CAPTURE(charged.Count(&ShardCounters::looks));
	CAPTURE(charged.Count(&ShardCounters::rounds));
	/* As good as with processors that are free, within 0.03. */
	CHECK(charged.Done() >= free.Done() - 0.03);
	CHECK(charged.world.site.violations == std::vector<std::string>{});
}

TEST_CASE("an owner of 600 boxes spends a tenth of what a run may cost on looking for what to do")
{
	const PeakWorld world(false);
	const uint64_t boxes = world.Count(&ShardCounters::boxes_walked);
	const uint64_t tasks = world.Count(&ShardCounters::tasks_walked);
	const double walks = BOX_US * static_cast<double>(boxes) + TASK_US * static_cast<double>(tasks);
	CAPTURE(boxes);
	CAPTURE(tasks);
	CHECK(walks / static_cast<double>(world.Count(&ShardCounters::starts)) <= RUN_AIM_US * WALKS_PART);
}
