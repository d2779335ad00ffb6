/** @file test_keeper.cpp Keepers and their entries: leases, lapses, fail-over, cut zones, snapshots, whole sessions. */
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

TEST_CASE("keeper: an entry whose keeper dies gets its lease from the other, and is not taken for lapsed")
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

TEST_CASE("keeper: an entry that was silent too long takes back what was witnessed against it, or joins anew")
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

TEST_CASE("keeper: in a zone that is cut off whole, leases go on; one keeper that is cut off alone gives none")
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

TEST_CASE("keeper: no drain, move or reboot in a zone that is cut off; elsewhere maintenance goes on")
{
	FleetSite site;
	site.SetUp();
	for (const auto &it : site.keepers) {
		it->log.faults.down = it->zone == "zone-b";
	}
	site.Run(Millis(30000));
	const FleetState &fleet = site.AnyKeeper().core.State();
	for (const auto &[name, box] : fleet.boxes) {
		const bool untouched = box.state == BoxState::BS_SERVING || box.state == BoxState::BS_DRAINING;
		CHECK((box.zone == ZoneName("zone-a") || untouched));
	}
	CHECK(site.platform.reboots.size() > 0);
	CHECK(site.violations.empty());
}

TEST_CASE("keeper: snapshots are written, and a keeper that joins behind the retention catches up")
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

TEST_CASE("keeper: two operators race; different cells merge, the same cell is lost to the first")
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
	const auto &lost = one->code == 0 ? two : one;
	CHECK(lost->code == static_cast<uint32_t>(ResultCode::RC_CELL_CONFLICT));
	CHECK(lost->message.find("loses to") != std::string::npos);
}

TEST_CASE("keeper: an operator is told accepted, rejected or unknown, and may ask again")
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
		glade::wire::OutcomeT told;
		keeper.operators.OnAskOutcome(ask,
									  [&](const glade::wire::MessageUnion &message) { told = *message.AsOutcome(); });
		CHECK(told.code == 0);
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
