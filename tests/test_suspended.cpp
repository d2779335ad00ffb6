/** @file test_suspended.cpp Machines that are suspended for seconds: their timers stand still, the world goes on. */
#include "job_world.h"
#include "net/qt_scheduler.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTimer>

#include <algorithm>
#include <ctime>
#include <vector>

namespace {

const ServiceName CALC("calc");

/** A long task runs in a zone that is cut off with its owner: others reach neither the log's owner nor its boxes. The
 * owner's machine sleeps for almost a lease; meanwhile another node has claimed the queue, and reaches all boxes but
 * the task's once its lease must have lapsed. */
struct SleepingWorld {
	/** @param counts Whether clocks of nodes count the time for which their machine was suspended. */
	explicit SleepingWorld(bool counts) : job(this->world.Plan(Millis(1000), "calc", JobWorld::Chain(1), Millis(40000)))
	{
		this->world.clock.RunUntil(Millis(4000));
		WorldNode *owner = this->world.OwnerOf(CALC);
		REQUIRE(owner != nullptr);
		const auto &boxes = owner->host.Find(CALC)->Running()->Boxes();
		const auto holding = std::ranges::find_if(boxes, [](const auto &it) { return !it.second.placed.empty(); });
		REQUIRE(holding != boxes.end());
		const BoxName box = holding->second.report.box;
		for (const auto &it : this->world.nodes) {
			it->scheduler.counts_sleep = counts;
			if (it.get() != owner) {
				std::ranges::for_each(this->world.site.Reports(), [&it](const BoxReport &report) {
					it->orders.unreachable_boxes.insert(report.box);
				});
				this->world.clock.After(CUT, [&it, box] { it->orders.unreachable_boxes = {box}; });
			}
		}
		owner->log.faults.silent = true;
		owner->scheduler.Suspend(SLEEP);
	}

	static constexpr Millis SLEEP = Millis(3600); ///< Shorter than a lease: its boxes still run the task when it wakes.

	static constexpr Millis CUT = Millis(11000); ///< Other nodes reach the other boxes again after this.

	JobWorld world;      ///< The world.
	const WorldJob &job; ///< The job.
};

} // namespace

TEST_CASE("an owner whose machine slept doesn't prolong leases by the right that it had before")
{
	SleepingWorld it(true);
	it.world.clock.RunUntil(Millis(60000));
	CHECK(it.world.site.violations == std::vector<std::string>{});
}

TEST_CASE("with a clock that stands still while its machine sleeps, an owner does prolong them")
{
	/* What the test above guards against: the task runs twice at once. */
	SleepingWorld it(false);
	it.world.clock.RunUntil(Millis(60000));
	CHECK_FALSE(it.world.site.violations.empty());
}

namespace {

/** A clock that is moved by hand. */
class HandClock : public MonotonicClock {
public:
	[[nodiscard]] Millis Now() const override { return this->now; }

	Millis now = Millis(1000); ///< What it shows.
};

/** Lets the event loop run for a while. @param ms For how long, in real time. */
void LoopFor(int ms)
{
	QEventLoop loop;
	QTimer::singleShot(ms, &loop, &QEventLoop::quit);
	loop.exec();
}

} // namespace

TEST_CASE("after a sleep a process finds its clock ahead of its timers, and knows that it has slept")
{
	HandClock clock;
	QtScheduler scheduler(clock);
	std::vector<Millis> rung;
	scheduler.After(Millis(20), [&] { rung.push_back(scheduler.Now()); });
	const TimerId later = scheduler.After(Millis(60000), [&] { rung.push_back(Millis(0)); });
	CHECK(scheduler.ResumedAt() < Millis(0));
	/* Asleep for 5 s: the timer is overdue, but hasn't run when a socket is served. */
	clock.now = Millis(6000);
	CHECK(scheduler.Now() == Millis(6000));
	CHECK(scheduler.ResumedAt() == Millis(6000));
	LoopFor(60);
	CHECK(rung == std::vector<Millis>{Millis(6000)});
	scheduler.Cancel(later);
}

TEST_CASE("the clock of the programs counts the time for which the machine was suspended")
{
	timespec boot{};
	REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &boot) == 0);
	const Millis from(int64_t{boot.tv_sec} * 1000 + boot.tv_nsec / 1000000);
	const Millis shown = SystemClock().Now();
	REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &boot) == 0);
	CHECK(shown >= from);
	CHECK(shown <= Millis(int64_t{boot.tv_sec} * 1000 + boot.tv_nsec / 1000000));
}
