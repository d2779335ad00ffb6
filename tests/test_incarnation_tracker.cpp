/** @file test_incarnation_tracker.cpp Detection of ended box incarnations from lists of machines. */
#include "upkeep/incarnation_tracker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>

namespace {

const ServiceName CALC("calc");
const ServiceName GRID("grid");

MachineRow Row(const std::string &incarnation, MachineState state = MachineState::MS_UP, const ServiceName &pool = CALC)
{
	return MachineRow{BoxName("m0"), pool, state, ZoneName("z"), Resources{8000, 8000, 0}, BoxId(incarnation)};
}

BoxIncarnation IncarnationOf(const std::string &id, int64_t started_ms = 1)
{
	return BoxIncarnation{BoxId(id), Millis(started_ms)};
}

/** @return The status of the pool CALC, with one box per incarnation. @param incarnations The incarnations. */
std::map<ServiceName, PoolStatus> PoolsWith(const std::vector<BoxIncarnation> &incarnations)
{
	PoolStatus pool;
	std::ranges::transform(incarnations, std::back_inserter(pool.boxes),
						   [](const BoxIncarnation &it) { return PoolBox{BoxName("m0"), it, 0, 0, 8000, true}; });
	return {{CALC, pool}};
}

} // namespace

TEST_CASE("an incarnation has ended once its machine is listed as down or with another incarnation")
{
	IncarnationTracker tracker;
	tracker.RecordKnown(PoolsWith({IncarnationOf("a"), IncarnationOf("b")}));
	CHECK(tracker.Update({Row("a")}, Millis(0)).empty());
	CHECK(tracker.Update({Row("a")}, Millis(200)).empty());
	CHECK(tracker.Update({Row("", MachineState::MS_DOWN)}, Millis(400)) == std::set{CALC});
	CHECK(tracker.EndedIn(CALC) == std::set{IncarnationOf("a")});
	CHECK(tracker.EndedIn(GRID).empty());
	CHECK(tracker.Update({Row("", MachineState::MS_DOWN)}, Millis(600)).empty());
	CHECK(tracker.Update({Row("b")}, Millis(800)).empty());
	CHECK(tracker.Update({Row("c")}, Millis(1000)) == std::set{CALC});
	CHECK(tracker.EndedIn(CALC) == std::set{IncarnationOf("a"), IncarnationOf("b")});
}

TEST_CASE("an incarnation that was never listed, or is missing from a list, has not ended")
{
	IncarnationTracker tracker;
	tracker.RecordKnown(PoolsWith({IncarnationOf("a")}));
	CHECK(tracker.Update({Row("", MachineState::MS_DOWN)}, Millis(0)).empty());
	CHECK(tracker.Update({Row("a")}, Millis(200)).empty());
	CHECK(tracker.Update({}, Millis(400)).empty());
	CHECK(tracker.Update({Row("")}, Millis(600)).empty());
	CHECK(tracker.Update({Row("", MachineState::MS_MOVING)}, Millis(800)).empty());
	CHECK(tracker.EndedIn(CALC).empty());
	CHECK(tracker.Update({Row("a", MachineState::MS_UP)}, Millis(1000)).empty());
	CHECK(tracker.EndedIn(CALC).empty());
}

TEST_CASE("the end of an incarnation is reported to the owner of the pool that it served, for some seconds")
{
	IncarnationTracker tracker;
	tracker.RecordKnown(PoolsWith({IncarnationOf("a")}));
	tracker.Update({Row("a")}, Millis(0));
	CHECK(tracker.Update({Row("b", MachineState::MS_UP, GRID)}, Millis(200)) == std::set{CALC});
	CHECK(tracker.EndedIn(CALC) == std::set{IncarnationOf("a")});
	tracker.Update({Row("b", MachineState::MS_UP, GRID)}, Millis(60000));
	CHECK(tracker.EndedIn(CALC).empty());
}

TEST_CASE("if a box restarts with the same id, only the incarnation known before its end counts as ended")
{
	IncarnationTracker tracker;
	tracker.RecordKnown(PoolsWith({IncarnationOf("a", 100)}));
	tracker.Update({Row("a")}, Millis(0));
	CHECK(tracker.Update({Row("", MachineState::MS_DOWN)}, Millis(200)) == std::set{CALC});
	CHECK(tracker.EndedIn(CALC) == std::set{IncarnationOf("a", 100)});
	/* The box is back with the same id, and the ended incarnation is still reported: the one that runs now is not. */
	tracker.RecordKnown(PoolsWith({IncarnationOf("a", 350)}));
	CHECK(tracker.Update({Row("a")}, Millis(400)).empty());
	CHECK(tracker.EndedIn(CALC) == std::set{IncarnationOf("a", 100)});
	CHECK(tracker.Update({Row("", MachineState::MS_DOWN)}, Millis(600)) == std::set{CALC});
	CHECK(tracker.EndedIn(CALC) == std::set{IncarnationOf("a", 100), IncarnationOf("a", 350)});
}

TEST_CASE("the end of an incarnation is reported although the owner didn't answer the last poll")
{
	IncarnationTracker tracker;
	tracker.RecordKnown(PoolsWith({IncarnationOf("a", 100)}));
	tracker.Update({Row("a")}, Millis(0));
	tracker.RecordKnown({});
	CHECK(tracker.Update({Row("", MachineState::MS_DOWN)}, Millis(200)) == std::set{CALC});
	CHECK(tracker.EndedIn(CALC) == std::set{IncarnationOf("a", 100)});
}

TEST_CASE("the end of an incarnation that no owner has reported is not reported")
{
	IncarnationTracker tracker;
	tracker.Update({Row("a")}, Millis(0));
	CHECK(tracker.Update({Row("", MachineState::MS_DOWN)}, Millis(200)).empty());
	CHECK(tracker.EndedIn(CALC).empty());
}
