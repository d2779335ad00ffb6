/** @file test_upkeep.cpp Waves and moves: what is decided from a view of the fleet. */
#include "upkeep/pool_balancer.h"
#include "upkeep/wave_planner.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

/** Builds views of a fleet: pools "a" and "b", and the reserve "off". */
class ViewMaker {
public:
	ViewMaker()
	{
		this->view.reserves = {ServiceName("off")};
		for (int n = 0; n < 8; n++) {
			this->Add("a" + std::to_string(n), "a");
			this->Add("b" + std::to_string(n), "b");
		}
		this->Add("o0", "off");
		this->Add("o1", "off");
	}

	MachineRow &Row(const std::string &box)
	{
		return *std::ranges::find(this->view.machines, BoxName(box), &MachineRow::box);
	}

	PoolBox &Status(const std::string &pool, const std::string &box)
	{
		return *std::ranges::find(this->view.pools[ServiceName(pool)].boxes, BoxName(box), &PoolBox::box);
	}

	FleetView view; ///< The view.

private:
	static constexpr int64_t CPU = 16000; ///< Of each box.

	void Add(const std::string &box, const std::string &pool)
	{
		const BoxIncarnation incarnation{BoxId(box + "-1"), Millis(1)};
		this->view.machines.push_back(MachineRow{BoxName(box), ServiceName(pool), MachineState::MS_UP, ZoneName("z"),
												 Resources{CPU, 1000, 0}, incarnation.id});
		if (pool != "off") {
			this->view.pools[ServiceName(pool)].boxes.push_back(PoolBox{BoxName(box), incarnation, 0, 0, CPU, true});
		}
	}
};

WaveOrder OrderOf(std::vector<std::string> boxes, uint32_t down_max)
{
	WaveOrder order;
	order.number = 1;
	std::ranges::transform(boxes, std::back_inserter(order.boxes), [](const std::string &it) { return BoxName(it); });
	order.within = Millis(20000);
	order.down_max = down_max;
	return order;
}

} // namespace

TEST_CASE("a wave takes boxes that are off first, and never more than its order allows")
{
	ViewMaker maker;
	WavePlanner desk{WaveLimits{}};
	desk.Add(OrderOf({"a0", "a1", "a2", "b0", "o0"}, 2), Millis(0));
	const WaveActions first = desk.Decide(maker.view, Millis(0));
	CHECK(first.maintain == std::vector<std::pair<BoxName, uint64_t>>{{BoxName("o0"), 1}});
	CHECK(first.drain.size() == 2); /* o0 and one more */
	desk.RecordOrder(BoxName("o0"), 1, BoxId("o0-1"), Millis(0));
	desk.RecordOutcome(BoxName("o0"), 1, ControlOutcome::CO_DONE);
	/* While o0 is down, only one other may go. */
	maker.Row("o0").state = MachineState::MS_MAINTENANCE;
	const WaveActions second = desk.Decide(maker.view, Millis(200));
	size_t drained = 0;
	std::ranges::for_each(second.drain, [&drained](const auto &it) { drained += it.second.size(); });
	CHECK(drained == 1);
	CHECK(second.maintain.empty()); /* it still places tasks */
}

TEST_CASE("a box is taken down only once it is empty and nothing is placed there")
{
	ViewMaker maker;
	WavePlanner desk{WaveLimits{}};
	desk.Add(OrderOf({"a0"}, 1), Millis(0));
	maker.Status("a", "a0").tasks = 1;
	CHECK(desk.Decide(maker.view, Millis(0)).maintain.empty());
	maker.Status("a", "a0").placing = false;
	CHECK(desk.Decide(maker.view, Millis(200)).maintain.empty());
	maker.Status("a", "a0").tasks = 0;
	CHECK(desk.Decide(maker.view, Millis(400)).maintain.size() == 1);
}

TEST_CASE("a wave is completed when every box that is left has begun, also after a change of owner")
{
	ViewMaker maker;
	WavePlanner desk{WaveLimits{}};
	desk.Add(OrderOf({"a0", "a1", "gone"}, 3), Millis(0));
	desk.Restore(1, BoxName("a0"));
	CHECK(desk.Decide(maker.view, Millis(0)).completed.empty());
	desk.RecordOrder(BoxName("a1"), 1, BoxId("a1-1"), Millis(0));
	desk.RecordOutcome(BoxName("a1"), 1, ControlOutcome::CO_UNKNOWN);
	CHECK(desk.Decide(maker.view, Millis(200)).completed.empty());
	desk.RecordOutcome(BoxName("a1"), 1, ControlOutcome::CO_DONE);
	CHECK(desk.Decide(maker.view, Millis(400)).completed == std::vector<uint64_t>{1});
	desk.MarkReported(1);
	CHECK(!desk.Active());
}

TEST_CASE("an order without an answer counts as down until the box is seen back, then is tried again")
{
	ViewMaker maker;
	WavePlanner desk{WaveLimits{}};
	desk.Add(OrderOf({"o0"}, 1), Millis(0));
	desk.Decide(maker.view, Millis(0));
	desk.RecordOrder(BoxName("o0"), 1, BoxId("o0-1"), Millis(0));
	desk.RecordOutcome(BoxName("o0"), 1, ControlOutcome::CO_UNKNOWN);
	CHECK(desk.Decide(maker.view, Millis(2000)).maintain.empty());
	CHECK(desk.Decide(maker.view, Millis(9000)).maintain.size() == 1);
}

TEST_CASE("a box that is back from maintenance under its id makes place for the next one")
{
	ViewMaker maker;
	WavePlanner desk{WaveLimits{}};
	desk.Add(OrderOf({"a0", "a1"}, 1), Millis(0));
	const WaveActions first = desk.Decide(maker.view, Millis(0));
	REQUIRE(first.drain.at(ServiceName("a")).size() == 1);
	const BoxName box = *first.drain.at(ServiceName("a")).begin();
	desk.RecordOrder(box, 1, BoxId(box.Value() + "-1"), Millis(0));
	desk.RecordOutcome(box, 1, ControlOutcome::CO_DONE);
	/* Not seen down yet: it may be the list that is old. */
	CHECK_FALSE(desk.Decide(maker.view, Millis(200)).drain.contains(ServiceName("a")));
	maker.Row(box.Value()).state = MachineState::MS_MAINTENANCE;
	CHECK_FALSE(desk.Decide(maker.view, Millis(400)).drain.contains(ServiceName("a")));
	maker.Row(box.Value()).state = MachineState::MS_UP;
	CHECK(desk.Decide(maker.view, Millis(2400)).drain.at(ServiceName("a")).size() == 1);
}

TEST_CASE("a pool in need gets boxes from the reserve, then idle ones of other pools above their floor")
{
	ViewMaker maker;
	PoolBalancer desk{PoolLimits{}};
	for (PoolBox &box : maker.view.pools[ServiceName("a")].boxes) {
		box.tasks = 4;
		box.used_cpu = box.cpu;
	}
	maker.view.pools[ServiceName("a")].waiting_cpu = 200000;
	const PoolActions first = desk.Decide(maker.view, {}, Millis(0));
	CHECK(first.moves.size() == 2); /* o0 and o1 at once */
	CHECK(std::ranges::all_of(first.moves, [](const PoolMove &it) { return it.to == ServiceName("a"); }));
	/* 18 boxes over 3 pools, of which each keeps 0.4 of an even share: 2.4 boxes, so "b" gives 5 of 8. */
	CHECK(first.drain.at(ServiceName("b")).size() == 5);
	CHECK(first.drain.count(ServiceName("a")) == 0);
	const BoxName given = *first.drain.at(ServiceName("b")).begin();
	maker.Status("b", given.Value()).placing = false;
	const PoolActions second = desk.Decide(maker.view, {}, Millis(200));
	CHECK(std::ranges::count(second.moves, given, &PoolMove::box) == 1);
}

TEST_CASE("boxes that a wave has chosen are left alone, and pairs that can't exchange boxes are remembered")
{
	ViewMaker maker;
	PoolBalancer desk{PoolLimits{}};
	maker.view.pools[ServiceName("a")].waiting_cpu = 1000000;
	const PoolActions first = desk.Decide(maker.view, {BoxName("o0")}, Millis(0));
	CHECK(std::ranges::count(first.moves, BoxName("o0"), &PoolMove::box) == 0);
	const PoolMove move{BoxName("o1"), ServiceName("a")};
	desk.RecordOrder(move, Millis(0));
	desk.RecordOutcome(move, ServiceName("off"), ControlOutcome::CO_REJECTED);
	const PoolActions second = desk.Decide(maker.view, {}, Millis(200));
	CHECK(std::ranges::count(second.moves, BoxName("o1"), &PoolMove::box) == 0);
}

TEST_CASE("a box goes to the reserve only when no pool has needed it for a long while, and a moved box counts once")
{
	ViewMaker maker;
	PoolBalancer desk{PoolLimits{}};
	for (PoolBox &box : maker.view.pools[ServiceName("a")].boxes) {
		box.tasks = 4;
		box.used_cpu = box.cpu;
	}
	CHECK(desk.Decide(maker.view, {}, Millis(0)).drain.empty());
	/* The peak of "a" is over: it could do without boxes, but may need them for its next one. */
	ViewMaker calm;
	CHECK(desk.Decide(calm.view, {}, Millis(2600)).drain.empty());
	CHECK(desk.Decide(calm.view, {}, Millis(60000)).drain.empty());
	/* What was needed at the peak was not needed since. */
	CHECK(desk.Decide(calm.view, {}, Millis(89000)).drain.empty());
	const PoolActions late = desk.Decide(calm.view, {}, Millis(93000));
	CHECK(late.drain.size() == 2);
	/* Its report still stands in the old pool: it must not be moved again from there. */
	ViewMaker moved;
	moved.Row("a0").pool = ServiceName("off");
	PoolBalancer other{PoolLimits{}};
	other.Decide(moved.view, {}, Millis(0));
	const PoolActions later = other.Decide(moved.view, {}, Millis(91000));
	REQUIRE(later.drain.contains(ServiceName("a")));
	CHECK(later.drain.at(ServiceName("a")).count(BoxName("a0")) == 0);
	CHECK(std::ranges::count(later.moves, BoxName("a0"), &PoolMove::box) == 0);
}
