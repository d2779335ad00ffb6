/** @file test_keeper.cpp Keepers and their entries: leases, fail-over, isolated zones, snapshots, operators, and the
 * timeline of a site. */
#include "golden.h"

#include "standin/memory/fleet_site.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

KeeperNode &KeeperOf(FleetSite &site, const std::string &name)
{
	return **std::ranges::find_if(site.keepers, [&](const auto &it) { return it->name == name; });
}

} // namespace

TEST_CASE("keeper: an entry whose keeper dies gets its lease from another keeper and stays a member")
{
	FleetSite site;
	site.SetUp();
	site.Run(Millis(20000));
	EntryStub &entry = *site.entries.front();
	CHECK(entry.routes.LeaseHolds(site.clock.Now()));
	CHECK(site.AnyKeeper().core.State().members.at(MemberName(entry.name)).witnesses.empty());
	site.Kill(*entry.keeper);
	site.Run(Millis(3500));
	CHECK(entry.routes.LeaseHolds(site.clock.Now()));
	site.Run(Millis(30000));
	CHECK(entry.routes.LeaseHolds(site.clock.Now()));
	CHECK(site.AnyKeeper().core.State().members.contains(MemberName(entry.name)));
}

TEST_CASE(
		"keeper: an entry that is cut off for too long loses its lease and its membership, and joins again afterwards")
{
	FleetSite site;
	site.SetUp();
	site.Run(Millis(2000));
	EntryStub &entry = *site.entries.front();
	entry.cut = true;
	site.Run(Millis(2500));
	CHECK_FALSE(entry.routes.LeaseHolds(site.clock.Now()));
	site.Run(Millis(15000));
	CHECK_FALSE(site.AnyKeeper().core.State().members.contains(MemberName(entry.name)));
	entry.cut = false;
	site.Run(Millis(3000));
	CHECK(site.AnyKeeper().core.State().members.contains(MemberName(entry.name)));
	CHECK(entry.routes.LeaseHolds(site.clock.Now()));
}

TEST_CASE("keeper: leases continue in a zone that is cut off as a whole; a keeper that is cut off alone grants none")
{
	FleetSite site;
	site.SetUp();
	site.Run(Millis(3000));
	EntryStub &entry = *site.entries.back();
	for (const auto &it : site.keepers) {
		it->log.faults.down = it->zone == entry.zone;
	}
	site.Run(Millis(10000));
	CHECK(entry.routes.LeaseHolds(site.clock.Now()));
	site.Heal();
	site.Run(Millis(3000));
	entry.keeper->log.faults.down = true;
	site.Run(Millis(5000));
	CHECK_FALSE(entry.routes.LeaseHolds(site.clock.Now()));
	CHECK(entry.keeper->core.counters.leases_refused > 0);
}

TEST_CASE("keeper: no box of a zone that is cut off is emptied, moved or rebooted; maintenance continues elsewhere")
{
	FleetSite site;
	site.SetUp();
	for (const auto &it : site.keepers) {
		it->log.faults.down = it->zone == "zone-b";
	}
	site.Run(Millis(30000));
	const FleetState &fleet = site.AnyKeeper().core.State();
	for (const auto &[name, box] : fleet.boxes) {
		const bool not_emptied = box.state == BoxState::BS_SERVING || box.state == BoxState::BS_DRAINING;
		CHECK((box.zone == ZoneName("zone-a") || not_emptied));
	}
	CHECK(site.platform.reboots.size() > 0);
	CHECK(site.violations.empty());
}

TEST_CASE("keeper: snapshots are written, and a keeper that joins after the first records were dropped catches up")
{
	LogLimits limits;
	limits.records = 60;
	FleetSite site(12, limits);
	site.SetUp();
	for (int i = 0; i < 60; i++) {
		site.AnyKeeper().Publish({{CellKey{ServiceName("misting"), "weight"}, std::to_string(2 + i)}},
								 site.AnyKeeper().core.State().table_version.Value());
		site.Run(Millis(1000));
	}
	uint64_t snapshots = 0;
	for (const auto &it : site.keepers) {
		snapshots += it->core.counters.snapshots;
	}
	CHECK(snapshots >= 1);
	KeeperNode &late = site.AddKeeper("keeper-late", "zone-a");
	site.Run(Millis(5000));
	CHECK(late.tail.CaughtUp());
	CHECK(site.StatesAgree());
	CHECK(site.violations.empty());
}

TEST_CASE("keeper: concurrent edits of different cells merge; of two edits of one cell only one is accepted")
{
	FleetSite site;
	site.SetUp();
	const uint64_t base = site.AnyKeeper().core.State().table_version.Value();
	const auto one =
			KeeperOf(site, "keeper-zone-a-1").Publish({{CellKey{ServiceName("misting"), "weight"}, "5"}}, base);
	const auto two =
			KeeperOf(site, "keeper-zone-b-1").Publish({{CellKey{ServiceName("misting"), "weight"}, "6"}}, base);
	const auto three =
			KeeperOf(site, "keeper-zone-b-2").Publish({{CellKey{ServiceName("misting"), "floor"}, "12"}}, base);
	site.Run(Millis(3000));
	CHECK((one->code == 0) != (two->code == 0));
	CHECK(three->code == 0);
	const auto &rejected = one->code == 0 ? two : one;
	CHECK(rejected->code == static_cast<uint32_t>(ResultCode::RC_CELL_CONFLICT));
	CHECK(rejected->message.find("loses to") != std::string::npos);
}

TEST_CASE("keeper: an edit whose answers are lost takes effect, and its outcome can be queried later if it was unknown")
{
	FleetSite site;
	site.SetUp();
	KeeperNode &keeper = site.AnyKeeper();
	keeper.log.faults.lose_answers = 1000;
	keeper.log.faults.delay = Millis(4000);
	const auto slow = keeper.Publish({{CellKey{ServiceName("misting"), "weight"}, "5"}},
									 keeper.core.State().table_version.Value());
	site.Run(Millis(5500));
	site.Heal();
	const std::string id = slow->id;
	site.Run(Millis(20000));
	if (slow->code == static_cast<uint32_t>(ResultCode::RC_OUTCOME_UNKNOWN)) {
		glade::wire::AskOutcomeT ask;
		ask.id = id;
		glade::wire::OutcomeT outcome;
		keeper.operators.OnAskOutcome(
				ask, [&](const glade::wire::MessageUnion &message) { outcome = *message.AsOutcome(); });
		CHECK(outcome.code == 0);
	}
	CHECK(site.AnyKeeper().core.State().cells.at(CellKey{ServiceName("misting"), "weight"}).value == "5");
}

TEST_CASE("golden: a site from its first table through one round of maintenance")
{
	FleetSite site(6);
	site.SetUp();
	site.RunUntil(
			[&] {
				return std::ranges::all_of(site.AnyKeeper().core.State().boxes,
										   [](const auto &it) { return it.second.last_maintained != Millis(0); });
			},
			Millis(120000));
	CHECK(site.violations.empty());
	CHECK_GOLDEN("site_round", site.timeline);
}
