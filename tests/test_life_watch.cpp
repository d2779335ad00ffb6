/** @file test_life_watch.cpp Lives of boxes that have ended, told from lists of machines. */
#include "upkeep/life_watch.h"

#include <doctest/doctest.h>

namespace {

const ServiceName CALC("calc");
const ServiceName GRID("grid");

MachineRow Row(const std::string &life, MachineState state = MachineState::MS_UP, const ServiceName &pool = CALC)
{
	return MachineRow{BoxName("m0"), pool, state, ZoneName("z"), Resources{8000, 8000, 0}, BoxLife(life)};
}

} // namespace

TEST_CASE("a life has ended once its machine is listed as down, or with another life")
{
	LifeWatch lives;
	CHECK(lives.Take({Row("a")}, Millis(0)).empty());
	CHECK(lives.Take({Row("a")}, Millis(200)).empty());
	CHECK(lives.Take({Row("", MachineState::MS_DOWN)}, Millis(400)) == std::set{CALC});
	CHECK(lives.EndedIn(CALC) == std::set{BoxLife("a")});
	CHECK(lives.EndedIn(GRID).empty());
	CHECK(lives.Take({Row("", MachineState::MS_DOWN)}, Millis(600)).empty());
	CHECK(lives.Take({Row("b")}, Millis(800)).empty());
	CHECK(lives.Take({Row("c")}, Millis(1000)) == std::set{CALC});
	CHECK(lives.EndedIn(CALC) == std::set{BoxLife("a"), BoxLife("b")});
}

TEST_CASE("a life that was never listed, or is missing from a list, has not ended")
{
	LifeWatch lives;
	CHECK(lives.Take({Row("", MachineState::MS_DOWN)}, Millis(0)).empty());
	CHECK(lives.Take({Row("a")}, Millis(200)).empty());
	CHECK(lives.Take({}, Millis(400)).empty());
	CHECK(lives.Take({Row("")}, Millis(600)).empty());
	CHECK(lives.Take({Row("", MachineState::MS_MOVING)}, Millis(800)).empty());
	CHECK(lives.EndedIn(CALC).empty());
	CHECK(lives.Take({Row("a", MachineState::MS_UP)}, Millis(1000)).empty());
	CHECK(lives.EndedIn(CALC).empty());
}

TEST_CASE("the owner of the pool that a life served hears of its end, for some seconds")
{
	LifeWatch lives;
	lives.Take({Row("a")}, Millis(0));
	CHECK(lives.Take({Row("b", MachineState::MS_UP, GRID)}, Millis(200)) == std::set{CALC});
	CHECK(lives.EndedIn(CALC) == std::set{BoxLife("a")});
	lives.Take({Row("b", MachineState::MS_UP, GRID)}, Millis(60000));
	CHECK(lives.EndedIn(CALC).empty());
}
