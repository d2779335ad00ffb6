/** @file test_random_history.cpp Invariants of the fleet state under random histories of commands, with RapidCheck. */
#include "fold_world.h"

#include "fleet/budget_func.h"
#include "fleet/snapshot_func.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace {

/** One random command, with its arguments. */
struct RandomAction {
	uint8_t kind = 0;          ///< Selects the command.
	uint8_t box = 0;           ///< Number of the box; outcome of a job report.
	uint8_t extra = 0;         ///< Selects the command's arguments.
	uint8_t term_selector = 0; ///< Selects the planner term: the current one if even, a wrong one if odd.
	bool repeat_last = false;  ///< Whether the last record is appended again before the command.
};

rc::Gen<RandomAction> AnyAction()
{
	return rc::gen::build<RandomAction>(
			rc::gen::set(&RandomAction::kind, rc::gen::inRange<uint8_t>(0, 10)),
			rc::gen::set(&RandomAction::box, rc::gen::inRange<uint8_t>(0, 8)), rc::gen::set(&RandomAction::extra),
			rc::gen::set(&RandomAction::term_selector, rc::gen::inRange<uint8_t>(0, 4)),
			rc::gen::set(&RandomAction::repeat_last, rc::gen::weightedElement<bool>({{4, false}, {1, true}})));
}

/** Performs an action. */
void Perform(FoldWorld &world, const RandomAction &action)
{
	const std::string box = "b" + std::to_string(action.box);
	if (action.repeat_last) {
		world.Append(world.log.back().bytes);
	}
	world.term = action.term_selector % 2 == 0 ? 1 : 7;
	switch (action.kind) {
	case 0:
		world.Grant(box, PermitPurpose::PP_MAINTAIN, "", action.extra % 5 == 0);
		break;
	case 1:
		world.Grant(box, PermitPurpose::PP_MOVE, action.extra % 2 == 0 ? "p" : "q");
		break;
	case 2:
	case 3:
	case 4:
		world.Step(box, static_cast<BoxStepKind>(1 + action.extra % 8),
				   action.extra % 3 == 0 ? std::vector<std::string>{"entry-1"} : std::vector<std::string>{});
		break;
	case 5:
		world.Health(box, static_cast<BoxHealth>(action.extra % 4));
		break;
	case 6:
		world.Publish({{CellKey{ServiceName("s"), "floor"}, std::to_string(action.extra % 40)}},
					  action.extra % 3 == 0 ? 0 : world.fleet.table_version.Value());
		break;
	case 7: {
		glade::wire::JobAcceptT job;
		job.job = "j" + std::to_string(action.extra % 16);
		job.team = "oyo";
		job.units = 1 + action.extra % 4;
		job.repeatable = action.extra % 2 == 0;
		world.Propose(std::move(job));
		break;
	}
	case 8: {
		glade::wire::JobPlaceT place;
		place.job = "j" + std::to_string(action.extra % 16);
		place.box = box;
		place.box_epoch = world.BoxOf(box).epoch.Value();
		const auto job = world.fleet.jobs.find(JobName(place.job));
		place.attempt = job == world.fleet.jobs.end() ? 1 : job->second.attempt + 1;
		world.Propose(std::move(place));
		break;
	}
	default: {
		glade::wire::JobReportT report;
		report.job = "j" + std::to_string(action.extra % 16);
		const auto job = world.fleet.jobs.find(JobName(report.job));
		report.attempt = job == world.fleet.jobs.end() ? 1 : job->second.attempt;
		report.outcome = action.box % 6;
		world.Propose(std::move(report));
		break;
	}
	}
}

/** Checks the invariants that hold after every action. */
void CheckInvariants(const FleetState &fleet, const FleetState &before)
{
	RC_ASSERT(fleet.Hash() == fleet.RecomputeHash());
	RC_ASSERT(fleet.table_version >= before.table_version);
	std::map<TeamName, uint32_t> used;
	for (const auto &[name, job] : fleet.jobs) {
		if (job.state == JobState::JS_PLACED || job.state == JobState::JS_UNKNOWN) {
			used[job.team] += job.units;
		}
		const auto old = before.jobs.find(name);
		if (old != before.jobs.end() && !job.repeatable) {
			/* It is placed again only after a report that its run did not happen or was stopped at a checkpoint. */
			RC_ASSERT(!(old->second.state == JobState::JS_UNKNOWN && job.state == JobState::JS_PLACED));
		}
	}
	for (const auto &[team, units] : used) {
		RC_ASSERT(units == fleet.team_used.at(team));
		RC_ASSERT(units <= fleet.teams.at(team));
	}
	for (const auto &[name, box] : fleet.boxes) {
		const auto used_units = fleet.box_used.find(name);
		RC_ASSERT(used_units == fleet.box_used.end() || used_units->second <= box.slots.Value());
		RC_ASSERT((box.state == BoxState::BS_DRAINING || box.state == BoxState::BS_EMPTY ||
				   box.state == BoxState::BS_REBOOTING || box.state == BoxState::BS_VERIFYING) ==
				  (box.permit != PermitId()));
		const Box &old = before.boxes.at(name);
		if (old.pool != box.pool) {
			RC_ASSERT(old.state == BoxState::BS_EMPTY);
			RC_ASSERT(box.epoch > old.epoch);
		}
		const bool drain_started = old.state == BoxState::BS_SERVING && box.state == BoxState::BS_DRAINING;
		if (drain_started && old.health == BoxHealth::BH_UP) {
			const PoolModel pool = PoolModelOf(fleet, box.pool);
			RC_ASSERT(FloorsHold(CapacityOf(pool), FloorsOf(pool), !box.urgent));
		}
	}
}

} // namespace

TEST_CASE("random history: invariants hold after every action, and every reader gets the same state")
{
	const bool good = rc::check("histories", [] {
		const auto actions = *rc::gen::container<std::vector<RandomAction>>(60, AnyAction());
		FoldWorld world;
		world.SetUp(8, "16", "rack");
		glade::wire::MemberJoinT join;
		join.member = "entry-1";
		join.incarnation = 1;
		join.zone = "z";
		world.Propose(std::move(join));
		glade::wire::TeamQuotaT quota;
		quota.team = "oyo";
		quota.units = 12;
		world.Propose(std::move(quota));
		std::optional<FleetState> restored;
		for (const RandomAction &action : actions) {
			const FleetState before = world.fleet;
			Perform(world, action);
			CheckInvariants(world.fleet, before);
			if (!restored && action.extra == 7) {
				restored = UnpackSnapshot(PackSnapshot(world.fleet), world.fleet.Hash());
				RC_ASSERT(restored.has_value());
			}
		}
		FleetState replayed;
		for (const LogRecord &record : world.log) {
			ApplyRecord(replayed, record);
			if (restored) {
				ApplyRecord(*restored, record);
			}
		}
		RC_ASSERT(replayed.Hash() == world.fleet.Hash());
		RC_ASSERT(!restored || restored->Hash() == world.fleet.Hash());
	});
	CHECK(good);
}
