/** @file test_incarnation_tracker.cpp Lives of boxes that have ended, told from lists of machines. */
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

BoxIncarnation Life(const std::string &id, int64_t born = 1)
{
	return BoxIncarnation{BoxId(id), Millis(born)};
}

/** Lives as their owners know them. */
std::map<ServiceName, PoolStatus> Known(const std::vector<BoxIncarnation> &lives)
{
	PoolStatus pool;
	std::ranges::transform(lives, std::back_inserter(pool.boxes),
						   [](const BoxIncarnation &it) { return PoolBox{BoxName("m0"), it, 0, 0, 8000, true}; });
	return {{CALC, pool}};
}

} // namespace

TEST_CASE("a life has ended once its machine is listed as down, or with another life")
{
	IncarnationTracker lives;
	lives.RecordKnown(Known({Life("a"), Life("b")}));
	CHECK(lives.Update({Row("a")}, Millis(0)).empty());
	CHECK(lives.Update({Row("a")}, Millis(200)).empty());
	CHECK(lives.Update({Row("", MachineState::MS_DOWN)}, Millis(400)) == std::set{CALC});
	CHECK(lives.EndedIn(CALC) == std::set{Life("a")});
	CHECK(lives.EndedIn(GRID).empty());
	CHECK(lives.Update({Row("", MachineState::MS_DOWN)}, Millis(600)).empty());
	CHECK(lives.Update({Row("b")}, Millis(800)).empty());
	CHECK(lives.Update({Row("c")}, Millis(1000)) == std::set{CALC});
	CHECK(lives.EndedIn(CALC) == std::set{Life("a"), Life("b")});
}

TEST_CASE("a life that was never listed, or is missing from a list, has not ended")
{
	IncarnationTracker lives;
	lives.RecordKnown(Known({Life("a")}));
	CHECK(lives.Update({Row("", MachineState::MS_DOWN)}, Millis(0)).empty());
	CHECK(lives.Update({Row("a")}, Millis(200)).empty());
	CHECK(lives.Update({}, Millis(400)).empty());
	CHECK(lives.Update({Row("")}, Millis(600)).empty());
	CHECK(lives.Update({Row("", MachineState::MS_MOVING)}, Millis(800)).empty());
	CHECK(lives.EndedIn(CALC).empty());
	CHECK(lives.Update({Row("a", MachineState::MS_UP)}, Millis(1000)).empty());
	CHECK(lives.EndedIn(CALC).empty());
}

TEST_CASE("the owner of the pool that a life served hears of its end, for some seconds")
{
	IncarnationTracker lives;
	lives.RecordKnown(Known({Life("a")}));
	lives.Update({Row("a")}, Millis(0));
	CHECK(lives.Update({Row("b", MachineState::MS_UP, GRID)}, Millis(200)) == std::set{CALC});
	CHECK(lives.EndedIn(CALC) == std::set{Life("a")});
	lives.Update({Row("b", MachineState::MS_UP, GRID)}, Millis(60000));
	CHECK(lives.EndedIn(CALC).empty());
}

TEST_CASE("of an id that is used again only the life that its owner knew before the list has ended")
{
	IncarnationTracker lives;
	lives.RecordKnown(Known({Life("a", 100)}));
	lives.Update({Row("a")}, Millis(0));
	CHECK(lives.Update({Row("", MachineState::MS_DOWN)}, Millis(200)) == std::set{CALC});
	CHECK(lives.EndedIn(CALC) == std::set{Life("a", 100)});
	/* It is back under its id: what is told of for some seconds is not the life that runs now. */
	lives.RecordKnown(Known({Life("a", 350)}));
	CHECK(lives.Update({Row("a")}, Millis(400)).empty());
	CHECK(lives.EndedIn(CALC) == std::set{Life("a", 100)});
	CHECK(lives.Update({Row("", MachineState::MS_DOWN)}, Millis(600)) == std::set{CALC});
	CHECK(lives.EndedIn(CALC) == std::set{Life("a", 100), Life("a", 350)});
}

TEST_CASE("a life is told to have ended although its owner didn't answer the last look")
{
	IncarnationTracker lives;
	lives.RecordKnown(Known({Life("a", 100)}));
	lives.Update({Row("a")}, Millis(0));
	lives.RecordKnown({});
	CHECK(lives.Update({Row("", MachineState::MS_DOWN)}, Millis(200)) == std::set{CALC});
	CHECK(lives.EndedIn(CALC) == std::set{Life("a", 100)});
}

TEST_CASE("a life that no owner has told of is not told to have ended")
{
	IncarnationTracker lives;
	lives.Update({Row("a")}, Millis(0));
	CHECK(lives.Update({Row("", MachineState::MS_DOWN)}, Millis(200)).empty());
	CHECK(lives.EndedIn(CALC).empty());
}
