/** @file test_suspended.cpp Machines that are suspended for seconds: their timers stop, while other machines go on. */
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

/** A long task runs on a box that only its owner can reach, and the owner is cut off from the log. The machine of the
 * owner is suspended for almost a lease. Meanwhile another node claims the queue, and reaches all boxes but that of the
 * task once the lease must have lapsed. */
struct SuspendedOwnerWorld {
	/** @param counts_suspension Whether the clocks of nodes include the time for which their machine was suspended. */
	explicit SuspendedOwnerWorld(bool counts_suspension)
			: job(this->world.Plan(Millis(1000), "calc", JobWorld::Chain(1), Millis(40000)))
	{
		this->world.clock.RunUntil(Millis(4000));
		WorldNode *owner = this->world.OwnerOf(CALC);
		REQUIRE(owner != nullptr);
		const auto &boxes = owner->host.Find(CALC)->Running()->Boxes();
		const auto holding = std::ranges::find_if(boxes, [](const auto &it) { return !it.second.placed.empty(); });
		REQUIRE(holding != boxes.end());
		const BoxName box = holding->second.report.box;
		for (const auto &it : this->world.nodes) {
			it->scheduler.counts_sleep = counts_suspension;
			if (it.get() != owner) {
				std::ranges::for_each(this->world.site.Reports(), [&it](const BoxReport &report) {
					it->orders.unreachable_boxes.insert(report.box);
				});
				this->world.clock.After(UNREACHABLE_FOR, [&it, box] { it->orders.unreachable_boxes = {box}; });
			}
		}
		owner->log.faults.silent = true;
		owner->scheduler.Suspend(SUSPENDED_FOR);
	}

	static constexpr Millis SUSPENDED_FOR = Millis(3600); ///< Shorter than a lease: the task still runs on resume.

	static constexpr Millis UNREACHABLE_FOR = Millis(11000); ///< Time until other nodes reach the other boxes again.

	JobWorld world;      ///< The simulation.
	const WorldJob &job; ///< The job with the long task.
};

} // namespace

TEST_CASE("an owner whose machine was suspended doesn't renew leases under a claim that has lapsed meanwhile")
{
	SuspendedOwnerWorld it(true);
	it.world.clock.RunUntil(Millis(60000));
	CHECK(it.world.site.violations == std::vector<std::string>{});
}

TEST_CASE("an owner whose clock stops while its machine is suspended does renew such leases")
{
	/* Shows the failure that the test above guards against: two concurrent runs of the task. */
	SuspendedOwnerWorld it(false);
	it.world.clock.RunUntil(Millis(60000));
	CHECK_FALSE(it.world.site.violations.empty());
}

namespace {

/** A clock that the test sets. */
class ManualClock : public MonotonicClock {
public:
	[[nodiscard]] Millis Now() const override { return this->now; }

	Millis now = Millis(1000); ///< The current time.
};

/** Runs the event loop. @param ms Duration in ms of real time. */
void RunEventLoop(int ms)
{
	QEventLoop loop;
	QTimer::singleShot(ms, &loop, &QEventLoop::quit);
	loop.exec();
}

} // namespace

TEST_CASE("after a suspension the clock is ahead of the timers, and the scheduler detects the suspension")
{
	ManualClock clock;
	QtScheduler scheduler(clock);
	std::vector<Millis> fired_at;
	scheduler.After(Millis(20), [&] { fired_at.push_back(scheduler.Now()); });
	const TimerId later = scheduler.After(Millis(60000), [&] { fired_at.push_back(Millis(0)); });
	CHECK(scheduler.ResumedAt() < Millis(0));
	/* Suspended for 5 s: the timer is overdue, but a socket may be served before it runs. */
	clock.now = Millis(6000);
	CHECK(scheduler.Now() == Millis(6000));
	CHECK(scheduler.ResumedAt() == Millis(6000));
	RunEventLoop(60);
	CHECK(fired_at == std::vector<Millis>{Millis(6000)});
	scheduler.Cancel(later);
}

TEST_CASE("the system clock includes the time for which the machine was suspended")
{
	timespec boot{};
	REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &boot) == 0);
	const Millis from(int64_t{boot.tv_sec} * 1000 + boot.tv_nsec / 1000000);
	const Millis shown = SystemClock().Now();
	REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &boot) == 0);
	CHECK(shown >= from);
	CHECK(shown <= Millis(int64_t{boot.tv_sec} * 1000 + boot.tv_nsec / 1000000));
}
