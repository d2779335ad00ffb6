/** @file test_fold.cpp Command rules of the fleet state: writers, tables, permits, moves, members, jobs, hashes,
 * snapshots. */
#include "fold_world.h"

#include "fleet/budget_func.h"
#include "fleet/snapshot_func.h"

#include <doctest/doctest.h>

using enum ResultCode;

namespace {

CellEdit MakeEdit(const std::string &service, const std::string &column, const std::string &value)
{
	return {CellKey{ServiceName(service), column}, value};
}

glade::wire::JobAcceptT MakeJob(const std::string &name, bool repeatable, uint32_t units = 1)
{
	glade::wire::JobAcceptT job;
	job.job = name;
	job.team = "oyo";
	job.units = units;
	job.repeatable = repeatable;
	return job;
}

glade::wire::JobPlaceT MakePlacement(const FoldWorld &world, const std::string &job, const std::string &box,
									 uint32_t attempt)
{
	glade::wire::JobPlaceT place;
	place.job = job;
	place.box = box;
	place.box_epoch = world.BoxOf(box).epoch.Value();
	place.attempt = attempt;
	return place;
}

glade::wire::JobReportT MakeReport(const std::string &job, uint32_t attempt, JobOutcome outcome)
{
	glade::wire::JobReportT report;
	report.job = job;
	report.attempt = attempt;
	report.outcome = static_cast<uint8_t>(outcome);
	return report;
}

void SetQuota(FoldWorld &world, uint32_t units)
{
	glade::wire::TeamQuotaT quota;
	quota.team = "oyo";
	quota.units = units;
	world.Propose(std::move(quota));
}

JobState JobStateOf(const FoldWorld &world, const std::string &job)
{
	return world.fleet.jobs.at(JobName(job)).state;
}

} // namespace

TEST_CASE("fold: a repeated append is decided once, an earlier incarnation of a writer is fenced, malformed records "
		  "are rejected")
{
	FoldWorld world;
	CHECK(world.Publish({MakeEdit("s", "pool", "p")}, 0) == RC_OK);
	glade::wire::TeamQuotaT quota;
	quota.team = "oyo";
	quota.units = 3;
	CHECK(world.Propose(quota, "w", 5, 1) == RC_OK);
	quota.units = 9;
	CHECK(world.Propose(quota, "w", 5, 1) == RC_DUPLICATE);
	CHECK(world.fleet.teams.at(TeamName("oyo")) == 3);
	CHECK(world.Propose(quota, "w", 4, 7) == RC_FENCED);
	CHECK(world.Propose(quota, "w", 6, 1) == RC_OK);
	const uint64_t hash = world.fleet.Hash();
	world.now = world.now - Millis(10);
	CHECK(world.Append("nonsense") == RC_MALFORMED);
	CHECK(world.Append("") == RC_MALFORMED);
	CHECK(world.fleet.RecomputeHash() == world.fleet.Hash());
	(void)hash;
	CHECK(ApplyRecord(world.fleet, world.log.front()).empty());
}

TEST_CASE("table: edits of different cells merge; a conflicting later edit of the same cell is rejected")
{
	FoldWorld world;
	CHECK(world.Publish({MakeEdit("s", "pool", "p"), MakeEdit("s", "floor", "8")}, 0) == RC_OK);
	const uint64_t base = world.fleet.table_version.Value();
	CHECK(world.Publish({MakeEdit("s", "floor", "16")}, base) == RC_OK);
	CHECK(world.Publish({MakeEdit("s", "weight", "3")}, base) == RC_OK);
	CHECK(world.Publish({MakeEdit("s", "floor", "24")}, base) == RC_CELL_CONFLICT);
	CHECK(world.Publish({MakeEdit("s", "floor", "16")}, base) == RC_OK);
	CHECK(world.Publish({}, base, {"s"}) == RC_CELL_CONFLICT);
	CHECK(world.fleet.rows.at(ServiceName("s")).floor == Slots(16));
	CHECK(world.fleet.rows.at(ServiceName("s")).weight == 3);
	CHECK(world.Publish({MakeEdit("s", "floor", "1")}, 999) == RC_BASE_VERSION);
}

TEST_CASE("table: invalid and unsatisfiable cell values are rejected")
{
	FoldWorld world;
	world.SetUp(4, "8", "box");
	const uint64_t base = world.fleet.table_version.Value();
	CHECK(world.Publish({MakeEdit("s", "floor", "33")}, base) == RC_FLOORS_OVER_CAPACITY);
	CHECK(world.Publish({MakeEdit("s", "floor", "20"), MakeEdit("s", "ceiling", "10")}, base) == RC_FLOOR_OVER_CEILING);
	CHECK(world.Publish({MakeEdit("s", "floor", "-1")}, base) == RC_CELL_VALUE);
	CHECK(world.Publish({MakeEdit("s", "guard", "planet")}, base) == RC_CELL_VALUE);
	CHECK(world.Publish({MakeEdit("s", "colour", "red")}, base) == RC_CELL_COLUMN);
	CHECK(world.Publish({MakeEdit("new", "floor", "1")}, base) == RC_CELL_VALUE);
	CHECK(world.fleet.table_version.Value() == base);
}

TEST_CASE("table: errors in CSV files name the line, and written files are read back unchanged")
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

TEST_CASE("fold: permits preserve floors and the guard headroom; boxes of unknown health count as down")
{
	FoldWorld world;
	/* Racks of two boxes: 48 slots less the floor of 24 and the loss of a rack, 16, leave 8 spare. */
	world.SetUp(6, "24", "rack");
	CHECK(world.Grant("b0") == RC_OK);
	CHECK(world.Grant("b1") == RC_BUDGET_FLOOR);
	/* An urgent permit may use up the headroom, but not the floor. */
	CHECK(world.Grant("b1", PermitPurpose::PP_MAINTAIN, "", true) == RC_OK);
	CHECK(world.Grant("b2", PermitPurpose::PP_MAINTAIN, "", true) == RC_OK);
	CHECK(world.Grant("b3", PermitPurpose::PP_MAINTAIN, "", true) == RC_BUDGET_FLOOR);
	FoldWorld other;
	other.SetUp(6, "24", "rack");
	other.Health("b5", BoxHealth::BH_UNKNOWN);
	CHECK(other.Grant("b0") == RC_BUDGET_FLOOR);
	CHECK(other.Grant("b5") == RC_OK); /* A box of unknown health takes no work, so draining it costs no capacity. */
}

TEST_CASE("fold: zone and rack budgets limit how many boxes are down at once")
{
	FoldWorld world;
	world.SetUp(8, "0", "none");
	const uint64_t base = world.fleet.table_version.Value();
	CHECK(world.Publish({MakeEdit("s", "zone_budget", "3"), MakeEdit("s", "rack_budget", "1")}, base) == RC_OK);
	CHECK(world.Grant("b0") == RC_OK);
	CHECK(world.Grant("b1") == RC_BUDGET_RACK);
	CHECK(world.Grant("b2") == RC_OK);
	world.Health("b7", BoxHealth::BH_DOWN);
	CHECK(world.Grant("b4") == RC_BUDGET_ZONE);
}

TEST_CASE("fold: a box goes through its maintenance steps in order and always belongs to exactly one pool")
{
	FoldWorld world;
	world.SetUp(4, "8", "box");
	glade::wire::MemberJoinT join;
	join.member = "entry-1";
	join.incarnation = 1;
	join.zone = "z";
	CHECK(world.Propose(std::move(join)) == RC_OK);
	CHECK(world.Step("b0", BoxStepKind::BK_REBOOT) == RC_WRONG_PERMIT);
	CHECK(world.Grant("b0") == RC_OK);
	CHECK(world.Step("b0", BoxStepKind::BK_REBOOT) == RC_WRONG_STATE);
	CHECK(world.Step("b0", BoxStepKind::BK_EMPTIED) == RC_WRONG_STATE); /* entry-1 has not confirmed yet. */
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

TEST_CASE("fold: only the holder of the current planner term grants permits; grants with an older term are rejected")
{
	FoldWorld world;
	world.SetUp(4, "8", "box");
	glade::wire::PlannerTermT other;
	other.region = "main";
	other.member = "keeper-2";
	other.seen_term = 1;
	CHECK(world.Propose(other, "keeper-2") == RC_OK);
	CHECK(world.Propose(other, "keeper-2") == RC_STALE_TERM);
	CHECK(world.Grant("b0") == RC_STALE_TERM);
	CHECK(world.TakeTerm(2) == RC_OK);
	CHECK(world.Grant("b0") == RC_OK);
	world.term = 1;
	CHECK(world.Grant("b1") == RC_STALE_TERM);
}

TEST_CASE("fold: an entry leaves at its own request, or when every keeper of its zone reports that its lease lapsed")
{
	FoldWorld world;
	world.SetUp(2, "0", "none");
	const auto join = [&](const std::string &name, MemberRole role) {
		glade::wire::MemberJoinT it;
		it.member = name;
		it.incarnation = 1;
		it.role = static_cast<uint8_t>(role);
		it.zone = "z";
		return world.Propose(std::move(it));
	};
	const auto leave = [&](const std::string &name, const std::string &witness, const std::string &writer) {
		glade::wire::MemberLeaveT it;
		it.member = name;
		it.incarnation = 1;
		it.witness = witness;
		return world.Propose(std::move(it), writer);
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
	CHECK(world.Propose(advance) == RC_RULE_VERSION);
	advance.version = 3;
	CHECK(world.Propose(advance) == RC_RULE_VERSION);
	glade::wire::MemberJoinT join;
	join.member = "keeper";
	join.incarnation = 1;
	join.role = static_cast<uint8_t>(MemberRole::MR_KEEPER);
	join.zone = "z";
	join.rules = 2;
	CHECK(world.Propose(std::move(join)) == RC_OK);
	advance.version = 2;
	CHECK(world.Propose(advance) == RC_OK);
	CHECK_FALSE(SupportsRules(world.fleet));
	const LogOffset offset = world.fleet.offset;
	world.Register("late", "p");
	/* A process that does not support the rules stops applying records rather than diverge. */
	CHECK(world.fleet.offset == offset);
}

TEST_CASE(
		"fold: jobs respect team quotas, box capacity and box epochs; a job that is not repeatable is not placed again")
{
	FoldWorld world;
	world.SetUp(2, "0", "none");
	CHECK(world.Propose(MakeJob("early", true)) == RC_QUOTA);
	SetQuota(world, 10);
	CHECK(world.Propose(MakeJob("a", false, 6)) == RC_OK);
	CHECK(world.Propose(MakeJob("a", false, 6)) == RC_JOB_EXISTS);
	CHECK(world.Propose(MakeJob("b", true, 6)) == RC_OK);
	CHECK(world.Propose(MakeJob("huge", true, 11)) == RC_QUOTA);
	CHECK(world.Propose(MakePlacement(world, "a", "b0", 1)) == RC_OK);
	CHECK(world.Propose(MakePlacement(world, "a", "b0", 1)) == RC_JOB_STATE);
	CHECK(world.Propose(MakePlacement(world, "b", "b0", 1)) == RC_NO_ROOM);
	CHECK(world.Propose(MakePlacement(world, "b", "b1", 1)) == RC_QUOTA);
	SetQuota(world, 20);
	glade::wire::JobPlaceT stale = MakePlacement(world, "b", "b1", 1);
	world.Health("b1", BoxHealth::BH_DOWN);
	CHECK(world.Propose(std::move(stale)) == RC_STALE_EPOCH);
	world.Health("b1", BoxHealth::BH_UP);
	CHECK(world.Propose(MakePlacement(world, "b", "b1", 1)) == RC_OK);
	CHECK(world.Propose(MakeReport("a", 1, JobOutcome::JO_LEASE_EXPIRED)) == RC_OK);
	CHECK(JobStateOf(world, "a") == JobState::JS_UNKNOWN);
	CHECK(world.Propose(MakePlacement(world, "a", "b1", 2)) == RC_JOB_STATE);
	CHECK(world.fleet.box_used.at(BoxName("b0")) == 6); /* The box may just be paused and still run the job. */
	CHECK(world.Propose(MakeReport("b", 1, JobOutcome::JO_LEASE_EXPIRED)) == RC_OK);
	CHECK(JobStateOf(world, "b") == JobState::JS_WAITING);
	CHECK(world.Propose(MakeReport("b", 1, JobOutcome::JO_DONE)) == RC_JOB_STATE);
	CHECK(world.Propose(MakeReport("a", 1, JobOutcome::JO_DONE)) == RC_OK);
	CHECK(JobStateOf(world, "a") == JobState::JS_DONE);
	glade::wire::JobCancelT cancel;
	cancel.jobs = {"a", "b", "nobody"};
	CHECK(world.Propose(cancel) == RC_OK);
	CHECK(world.Propose(cancel) == RC_OK);
	CHECK(JobStateOf(world, "a") == JobState::JS_DONE);
	CHECK(JobStateOf(world, "b") == JobState::JS_CANCELLED);
}

TEST_CASE("fold: a job that fails on three boxes is parked, a box on which three jobs fail is set aside, and neither "
		  "counts against the other")
{
	FoldWorld world;
	world.SetUp(5, "0", "none");
	SetQuota(world, 100);
	world.Propose(MakeJob("poison", true));
	for (uint32_t i = 0; i < 3; i++) {
		CHECK(world.Propose(MakePlacement(world, "poison", "b" + std::to_string(i), i + 1)) == RC_OK);
		CHECK(world.Propose(MakeReport("poison", i + 1, JobOutcome::JO_FAILED)) == RC_OK);
	}
	CHECK(JobStateOf(world, "poison") == JobState::JS_PARKED);
	for (uint32_t i = 0; i < 3; i++) {
		const std::string name = "good-" + std::to_string(i);
		world.Propose(MakeJob(name, true));
		world.Propose(MakePlacement(world, name, "b4", 1));
		world.Propose(MakeReport(name, 1, JobOutcome::JO_FAILED));
	}
	CHECK(world.BoxOf("b4").state == BoxState::BS_SET_ASIDE);
	CHECK(world.BoxOf("b0").state == BoxState::BS_SERVING);
	CHECK(JobStateOf(world, "good-0") == JobState::JS_WAITING);
	CHECK(world.Step("b4", BoxStepKind::BK_RESTORE) == RC_OK);
	CHECK(world.BoxOf("b4").strikes == 0);
	world.Propose(MakeJob("once", false));
	world.Propose(MakePlacement(world, "once", "b0", 1));
	world.Propose(MakeReport("once", 1, JobOutcome::JO_FAILED));
	CHECK(JobStateOf(world, "once") == JobState::JS_PARKED);
}

TEST_CASE("snapshot: a state is restored with its hash; damaged or truncated snapshots and wrong hashes are rejected")
{
	FoldWorld world;
	world.SetUp(6, "8", "box");
	SetQuota(world, 20);
	world.Propose(MakeJob("a", false));
	world.Propose(MakePlacement(world, "a", "b1", 1));
	world.Grant("b0");
	const std::string bytes = PackSnapshot(world.fleet);
	const std::optional<FleetState> restored = UnpackSnapshot(bytes, world.fleet.Hash());
	REQUIRE(restored.has_value());
	CHECK(restored->Hash() == world.fleet.Hash());
	CHECK(restored->rows == world.fleet.rows);
	CHECK(restored->box_used == world.fleet.box_used);
	CHECK_FALSE(UnpackSnapshot(bytes, world.fleet.Hash() + 1).has_value());
	CHECK_FALSE(UnpackSnapshot(bytes.substr(0, bytes.size() / 2), world.fleet.Hash()).has_value());
	std::string damaged = bytes;
	damaged[damaged.find("oyo")] = 'x';
	CHECK_FALSE(UnpackSnapshot(damaged, world.fleet.Hash()).has_value());
}
