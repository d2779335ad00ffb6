/** @file test_fold.cpp Rules of the fold: writers, tables, permits, moves, members, jobs, hashes, snapshots. */
#include "fold_world.h"

#include "fleet/budget_func.h"
#include "fleet/snapshot_func.h"

#include <doctest/doctest.h>

using enum ResultCode;

namespace {

CellEdit Edit(const std::string &service, const std::string &column, const std::string &value)
{
	return {CellKey{ServiceName(service), column}, value};
}

glade::wire::JobAcceptT JobOf(const std::string &name, bool repeatable, uint32_t units = 1)
{
	glade::wire::JobAcceptT job;
	job.job = name;
	job.team = "oyo";
	job.units = units;
	job.repeatable = repeatable;
	return job;
}

glade::wire::JobPlaceT PlaceOf(const FoldWorld &world, const std::string &job, const std::string &box, uint32_t attempt)
{
	glade::wire::JobPlaceT place;
	place.job = job;
	place.box = box;
	place.box_epoch = world.BoxOf(box).epoch.Value();
	place.attempt = attempt;
	return place;
}

glade::wire::JobReportT ReportOf(const std::string &job, uint32_t attempt, JobOutcome outcome)
{
	glade::wire::JobReportT report;
	report.job = job;
	report.attempt = attempt;
	report.outcome = static_cast<uint8_t>(outcome);
	return report;
}

void GiveQuota(FoldWorld &world, uint32_t units)
{
	glade::wire::TeamQuotaT quota;
	quota.team = "oyo";
	quota.units = units;
	world.Do(std::move(quota));
}

JobState StateOf(const FoldWorld &world, const std::string &job)
{
	return world.fleet.jobs.at(JobName(job)).state;
}

} // namespace

TEST_CASE("fold: a repeated append is decided once, an earlier start of a writer is fenced, damage changes nothing")
{
	FoldWorld world;
	CHECK(world.Publish({Edit("s", "pool", "p")}, 0) == RC_OK);
	glade::wire::TeamQuotaT quota;
	quota.team = "oyo";
	quota.units = 3;
	CHECK(world.Do(quota, "w", 5, 1) == RC_OK);
	quota.units = 9;
	CHECK(world.Do(quota, "w", 5, 1) == RC_DUPLICATE);
	CHECK(world.fleet.teams.at(TeamName("oyo")) == 3);
	CHECK(world.Do(quota, "w", 4, 7) == RC_FENCED);
	CHECK(world.Do(quota, "w", 6, 1) == RC_OK);
	const uint64_t hash = world.fleet.Hash();
	world.now = world.now - Millis(10);
	CHECK(world.Append("nonsense") == RC_MALFORMED);
	CHECK(world.Append("") == RC_MALFORMED);
	CHECK(world.fleet.RecomputeHash() == world.fleet.Hash());
	(void)hash;
	CHECK(ApplyRecord(world.fleet, world.log.front()).empty());
}

TEST_CASE("table: cells merge, the later edit of the same cell is shown the winner")
{
	FoldWorld world;
	CHECK(world.Publish({Edit("s", "pool", "p"), Edit("s", "floor", "8")}, 0) == RC_OK);
	const uint64_t base = world.fleet.table_version.Value();
	CHECK(world.Publish({Edit("s", "floor", "16")}, base) == RC_OK);
	CHECK(world.Publish({Edit("s", "weight", "3")}, base) == RC_OK);
	CHECK(world.Publish({Edit("s", "floor", "24")}, base) == RC_CELL_CONFLICT);
	CHECK(world.Publish({Edit("s", "floor", "16")}, base) == RC_OK);
	CHECK(world.Publish({}, base, {"s"}) == RC_CELL_CONFLICT);
	CHECK(world.fleet.rows.at(ServiceName("s")).floor == Slots(16));
	CHECK(world.fleet.rows.at(ServiceName("s")).weight == 3);
	CHECK(world.Publish({Edit("s", "floor", "1")}, 999) == RC_BASE_VERSION);
}

TEST_CASE("table: what can't hold is refused with the cell")
{
	FoldWorld world;
	world.SetUp(4, "8", "box");
	const uint64_t base = world.fleet.table_version.Value();
	CHECK(world.Publish({Edit("s", "floor", "33")}, base) == RC_FLOORS_OVER_CAPACITY);
	CHECK(world.Publish({Edit("s", "floor", "20"), Edit("s", "ceiling", "10")}, base) == RC_FLOOR_OVER_CEILING);
	CHECK(world.Publish({Edit("s", "floor", "-1")}, base) == RC_CELL_VALUE);
	CHECK(world.Publish({Edit("s", "guard", "planet")}, base) == RC_CELL_VALUE);
	CHECK(world.Publish({Edit("s", "colour", "red")}, base) == RC_CELL_COLUMN);
	CHECK(world.Publish({Edit("new", "floor", "1")}, base) == RC_CELL_VALUE);
	CHECK(world.fleet.table_version.Value() == base);
}

TEST_CASE("table: files tell the line of an error, and read back what was written")
{
	CHECK(ReadTableCsv("service,pool\na,p\n").result.Ok());
	CHECK(ReadTableCsv("").result.code == RC_TABLE_FILE);
	CHECK(ReadTableCsv("service,colour\n").result.detail.starts_with("line 1"));
	CHECK(ReadTableCsv("# c\nservice,pool\na,p\na,p\n").result.detail.starts_with("line 4"));
	CHECK(ReadTableCsv("service,pool\na,p,3\n").result.detail.starts_with("line 2"));
	CHECK(ReadTableCsv("service,pool,floor\na,p,x\n").result.code == RC_CELL_VALUE);
	FoldWorld world;
	world.SetUp(2, "8", "box");
	const TableFile file = ReadTableCsv(WriteTableCsv(world.fleet.cells));
	CHECK(file.result.Ok());
	CHECK(DiffTable(world.fleet.cells, file.cells, TableVersion(1)).cells.empty());
	CHECK(DiffTable(world.fleet.cells, {}, TableVersion(1)).removed.size() == 2);
}

TEST_CASE("fold: permits keep floors and the headroom of the guard, counting unknown as down")
{
	FoldWorld world;
	world.SetUp(6, "24", "rack"); /* Racks of two boxes: 48 slots, floor 24, loss 16: 8 to spare. */
	CHECK(world.Grant("b0") == RC_OK);
	CHECK(world.Grant("b1") == RC_BUDGET_FLOOR);
	CHECK(world.Grant("b1", PermitPurpose::PP_MAINTAIN, "", true) == RC_OK); /* Urgent: headroom may go, floors not. */
	CHECK(world.Grant("b2", PermitPurpose::PP_MAINTAIN, "", true) == RC_OK);
	CHECK(world.Grant("b3", PermitPurpose::PP_MAINTAIN, "", true) == RC_BUDGET_FLOOR);
	FoldWorld other;
	other.SetUp(6, "24", "rack");
	other.Health("b5", BoxHealth::BH_UNKNOWN);
	CHECK(other.Grant("b0") == RC_BUDGET_FLOOR);
	CHECK(other.Grant("b5") == RC_OK); /* It takes no work anyway. */
}

TEST_CASE("fold: zone and rack budgets bound what is down at once")
{
	FoldWorld world;
	world.SetUp(8, "0", "none");
	const uint64_t base = world.fleet.table_version.Value();
	CHECK(world.Publish({Edit("s", "zone_budget", "3"), Edit("s", "rack_budget", "1")}, base) == RC_OK);
	CHECK(world.Grant("b0") == RC_OK);
	CHECK(world.Grant("b1") == RC_BUDGET_RACK);
	CHECK(world.Grant("b2") == RC_OK);
	world.Health("b7", BoxHealth::BH_DOWN);
	CHECK(world.Grant("b4") == RC_BUDGET_ZONE);
}

TEST_CASE("fold: a box goes through its steps in order and is in one pool all the time")
{
	FoldWorld world;
	world.SetUp(4, "8", "box");
	glade::wire::MemberJoinT join;
	join.member = "entry-1";
	join.incarnation = 1;
	join.zone = "z";
	CHECK(world.Do(std::move(join)) == RC_OK);
	CHECK(world.Step("b0", BoxStepKind::BK_REBOOT) == RC_WRONG_PERMIT);
	CHECK(world.Grant("b0") == RC_OK);
	CHECK(world.Step("b0", BoxStepKind::BK_REBOOT) == RC_WRONG_STATE);
	CHECK(world.Step("b0", BoxStepKind::BK_EMPTIED) == RC_WRONG_STATE); /* The entry has not confirmed. */
	CHECK(world.BoxOf("b0").state == BoxState::BS_DRAINING);
	CHECK(world.Step("b0", BoxStepKind::BK_EMPTIED, {"entry-1"}) == RC_OK);
	CHECK(world.BoxOf("b0").state == BoxState::BS_EMPTY);
	CHECK(world.Step("b0", BoxStepKind::BK_CHANGE_POOL) == RC_WRONG_STATE);
	const uint64_t epoch = world.BoxOf("b0").epoch.Value();
	CHECK(world.Step("b0", BoxStepKind::BK_REBOOT) == RC_OK);
	CHECK(world.BoxOf("b0").epoch.Value() == epoch + 1);
	CHECK(world.Step("b0", BoxStepKind::BK_WITHDRAW) == RC_WRONG_STATE);
	CHECK(world.Step("b0", BoxStepKind::BK_BOOTED) == RC_OK);
	CHECK(world.Step("b0", BoxStepKind::BK_VERIFIED) == RC_OK);
	CHECK(world.BoxOf("b0").permit == PermitId());
	CHECK(world.BoxOf("b0").last_maintained > Millis(0));
	CHECK(world.Grant("b1", PermitPurpose::PP_MOVE, "nowhere") == RC_UNKNOWN_POOL);
	CHECK(world.Grant("b1", PermitPurpose::PP_MOVE, "q") == RC_OK);
	CHECK(world.Step("b1", BoxStepKind::BK_EMPTIED, {"entry-1"}) == RC_OK);
	CHECK(world.BoxOf("b1").pool == PoolName("p"));
	CHECK(world.Step("b1", BoxStepKind::BK_CHANGE_POOL) == RC_OK);
	CHECK(world.BoxOf("b1").pool == PoolName("q"));
}

TEST_CASE("fold: only the term's holder grants; a paused planner's grants are refused")
{
	FoldWorld world;
	world.SetUp(4, "8", "box");
	glade::wire::PlannerTermT other;
	other.region = "main";
	other.member = "keeper-2";
	other.seen_term = 1;
	CHECK(world.Do(other, "keeper-2") == RC_OK);
	CHECK(world.Do(other, "keeper-2") == RC_STALE_TERM);
	CHECK(world.Grant("b0") == RC_STALE_TERM);
	CHECK(world.TakeTerm(2) == RC_OK);
	CHECK(world.Grant("b0") == RC_OK);
	world.term = 1;
	CHECK(world.Grant("b1") == RC_STALE_TERM);
}

TEST_CASE("fold: an entry leaves by its own word, or when every keeper of its zone says that its lease lapsed")
{
	FoldWorld world;
	world.SetUp(2, "0", "none");
	const auto join = [&](const std::string &name, MemberRole role) {
		glade::wire::MemberJoinT it;
		it.member = name;
		it.incarnation = 1;
		it.role = static_cast<uint8_t>(role);
		it.zone = "z";
		return world.Do(std::move(it));
	};
	const auto leave = [&](const std::string &name, const std::string &witness, const std::string &writer) {
		glade::wire::MemberLeaveT it;
		it.member = name;
		it.incarnation = 1;
		it.witness = witness;
		return world.Do(std::move(it), writer);
	};
	CHECK(join("entry-1", MemberRole::MR_ENTRY) == RC_OK);
	CHECK(join("keeper-2", MemberRole::MR_KEEPER) == RC_OK);
	const uint64_t changes = world.fleet.zones.at(ZoneName("z")).changes;
	CHECK(leave("entry-1", "keeper", "keeper") == RC_OK);
	CHECK(world.fleet.members.contains(MemberName("entry-1")));
	CHECK(leave("entry-1", "keeper-2", "stranger") == RC_UNKNOWN_MEMBER);
	CHECK(leave("entry-1", "keeper-2", "keeper-2") == RC_OK);
	CHECK_FALSE(world.fleet.members.contains(MemberName("entry-1")));
	CHECK(world.fleet.zones.at(ZoneName("z")).changes == changes + 1);
	CHECK(join("entry-1", MemberRole::MR_ENTRY) == RC_OK);
	CHECK(join("entry-1", MemberRole::MR_ENTRY) == RC_OK);
	CHECK(world.fleet.zones.at(ZoneName("z")).changes == changes + 2);
	CHECK(leave("entry-1", "entry-1", "keeper") == RC_OK);
	CHECK_FALSE(world.fleet.members.contains(MemberName("entry-1")));
}

TEST_CASE("fold: new rules start only when every member knows them")
{
	FoldWorld world;
	world.SetUp(1, "0", "none");
	glade::wire::RuleAdvanceT advance;
	advance.version = 2;
	CHECK(world.Do(advance) == RC_RULE_VERSION);
	advance.version = 3;
	CHECK(world.Do(advance) == RC_RULE_VERSION);
	glade::wire::MemberJoinT join;
	join.member = "keeper";
	join.incarnation = 1;
	join.role = static_cast<uint8_t>(MemberRole::MR_KEEPER);
	join.zone = "z";
	join.rules = 2;
	CHECK(world.Do(std::move(join)) == RC_OK);
	advance.version = 2;
	CHECK(world.Do(advance) == RC_OK);
	CHECK_FALSE(SupportsRules(world.fleet));
	const LogOffset offset = world.fleet.offset;
	world.Register("late", "p");
	CHECK(world.fleet.offset == offset); /* This program halts rather than part from the others. */
}

TEST_CASE("fold: jobs keep quotas, rooms and epochs; what may not be repeated is not placed again")
{
	FoldWorld world;
	world.SetUp(2, "0", "none");
	CHECK(world.Do(JobOf("early", true)) == RC_QUOTA);
	GiveQuota(world, 10);
	CHECK(world.Do(JobOf("a", false, 6)) == RC_OK);
	CHECK(world.Do(JobOf("a", false, 6)) == RC_JOB_EXISTS);
	CHECK(world.Do(JobOf("b", true, 6)) == RC_OK);
	CHECK(world.Do(JobOf("huge", true, 11)) == RC_QUOTA);
	CHECK(world.Do(PlaceOf(world, "a", "b0", 1)) == RC_OK);
	CHECK(world.Do(PlaceOf(world, "a", "b0", 1)) == RC_JOB_STATE);
	CHECK(world.Do(PlaceOf(world, "b", "b0", 1)) == RC_NO_ROOM);
	CHECK(world.Do(PlaceOf(world, "b", "b1", 1)) == RC_QUOTA);
	GiveQuota(world, 20);
	glade::wire::JobPlaceT stale = PlaceOf(world, "b", "b1", 1);
	world.Health("b1", BoxHealth::BH_DOWN);
	CHECK(world.Do(std::move(stale)) == RC_STALE_EPOCH);
	world.Health("b1", BoxHealth::BH_UP);
	CHECK(world.Do(PlaceOf(world, "b", "b1", 1)) == RC_OK);
	CHECK(world.Do(ReportOf("a", 1, JobOutcome::JO_LEASE_EXPIRED)) == RC_OK);
	CHECK(StateOf(world, "a") == JobState::JS_UNKNOWN);
	CHECK(world.Do(PlaceOf(world, "a", "b1", 2)) == RC_JOB_STATE);
	CHECK(world.fleet.box_used.at(BoxName("b0")) == 6); /* Its holder may only be paused. */
	CHECK(world.Do(ReportOf("b", 1, JobOutcome::JO_LEASE_EXPIRED)) == RC_OK);
	CHECK(StateOf(world, "b") == JobState::JS_WAITING);
	CHECK(world.Do(ReportOf("b", 1, JobOutcome::JO_DONE)) == RC_JOB_STATE);
	CHECK(world.Do(ReportOf("a", 1, JobOutcome::JO_DONE)) == RC_OK);
	CHECK(StateOf(world, "a") == JobState::JS_DONE);
	glade::wire::JobCancelT cancel;
	cancel.jobs = {"a", "b", "nobody"};
	CHECK(world.Do(cancel) == RC_OK);
	CHECK(world.Do(cancel) == RC_OK);
	CHECK(StateOf(world, "a") == JobState::JS_DONE);
	CHECK(StateOf(world, "b") == JobState::JS_CANCELLED);
}

TEST_CASE("fold: a job that fails everywhere is parked, a box that fails everything is set aside, neither blames the "
		  "other")
{
	FoldWorld world;
	world.SetUp(5, "0", "none");
	GiveQuota(world, 100);
	world.Do(JobOf("poison", true));
	for (uint32_t i = 0; i < 3; i++) {
		CHECK(world.Do(PlaceOf(world, "poison", "b" + std::to_string(i), i + 1)) == RC_OK);
		CHECK(world.Do(ReportOf("poison", i + 1, JobOutcome::JO_FAILED)) == RC_OK);
	}
	CHECK(StateOf(world, "poison") == JobState::JS_PARKED);
	for (uint32_t i = 0; i < 3; i++) {
		const std::string name = "good-" + std::to_string(i);
		world.Do(JobOf(name, true));
		world.Do(PlaceOf(world, name, "b4", 1));
		world.Do(ReportOf(name, 1, JobOutcome::JO_FAILED));
	}
	CHECK(world.BoxOf("b4").state == BoxState::BS_SET_ASIDE);
	CHECK(world.BoxOf("b0").state == BoxState::BS_SERVING);
	CHECK(StateOf(world, "good-0") == JobState::JS_WAITING);
	CHECK(world.Step("b4", BoxStepKind::BK_RESTORE) == RC_OK);
	CHECK(world.BoxOf("b4").strikes == 0);
	world.Do(JobOf("once", false));
	world.Do(PlaceOf(world, "once", "b0", 1));
	world.Do(ReportOf("once", 1, JobOutcome::JO_FAILED));
	CHECK(StateOf(world, "once") == JobState::JS_PARKED);
}

TEST_CASE("snapshot: a state comes back with its hash; damage, other formats and wrong hashes are refused")
{
	FoldWorld world;
	world.SetUp(6, "8", "box");
	GiveQuota(world, 20);
	world.Do(JobOf("a", false));
	world.Do(PlaceOf(world, "a", "b1", 1));
	world.Grant("b0");
	const std::string bytes = PackSnapshot(world.fleet);
	const std::optional<FleetState> back = UnpackSnapshot(bytes, world.fleet.Hash());
	REQUIRE(back.has_value());
	CHECK(back->Hash() == world.fleet.Hash());
	CHECK(back->rows == world.fleet.rows);
	CHECK(back->box_used == world.fleet.box_used);
	CHECK_FALSE(UnpackSnapshot(bytes, world.fleet.Hash() + 1).has_value());
	CHECK_FALSE(UnpackSnapshot(bytes.substr(0, bytes.size() / 2), world.fleet.Hash()).has_value());
	std::string damaged = bytes;
	damaged[damaged.find("oyo")] = 'x';
	CHECK_FALSE(UnpackSnapshot(damaged, world.fleet.Hash()).has_value());
}
