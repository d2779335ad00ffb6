/** @file test_late_work.cpp Allocation of boxes while the backlog of one queue can no longer be on time. */
#include "upkeep/pool_balancer.h"

#include <doctest/doctest.h>

/* Guards against a queue keeping all boxes for a backlog that can no longer be on time, while another queue has jobs
 * that can: from the eighth second after an overload on, the jobs of each second yielded only 0.16 to 0.33 of the
 * possible value. */
TEST_CASE("late work: jobs that can be on time get boxes before those that can't")
{
	FleetView view;
	constexpr int64_t CPU = 16000;
	for (const char *pool : {"late", "turn"}) {
		for (int n = 0; n < 10; n++) {
			const std::string name = pool + std::to_string(n);
			const BoxIncarnation incarnation{BoxId(name + "-1"), Millis(1)};
			view.machines.push_back(MachineRow{BoxName(name), ServiceName(pool), MachineState::MS_UP, ZoneName("z"),
											   Resources{CPU, 1000, 0}, incarnation.id});
			view.pools[ServiceName(pool)].boxes.push_back(PoolBox{BoxName(name), incarnation, 4, CPU, CPU, true});
		}
	}
	PoolStatus &late = view.pools[ServiceName("late")];
	PoolStatus &turn = view.pools[ServiceName("turn")];
	for (PoolBox &it : late.boxes) {
		it.late_cpu = it.used_cpu;
	}
	late.late_cpu = 100 * CPU;
	turn.waiting_cpu = 4 * CPU;
	PoolBalancer balancer{PoolLimits{}};
	const PoolActions actions = balancer.Decide(view, {}, Millis(0));
	REQUIRE(actions.drain.contains(ServiceName("late")));
	CHECK(actions.drain.at(ServiceName("late")).size() >= 4);
	CHECK(!actions.drain.contains(ServiceName("turn")));
	/* If no other queue has jobs that can be on time, idle boxes go to the late queue. */
	for (PoolBox &it : turn.boxes) {
		it.tasks = 0;
		it.used_cpu = 0;
	}
	turn.waiting_cpu = 0;
	PoolBalancer other{PoolLimits{}};
	const PoolActions idle = other.Decide(view, {}, Millis(0));
	CHECK(idle.drain.contains(ServiceName("turn")));
	CHECK(!idle.drain.contains(ServiceName("late")));
}
