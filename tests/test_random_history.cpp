/** @file test_random_history.cpp Random histories of several writers against the fold, by RapidCheck. */
#include "fold_world.h"

#include "fleet/budget_func.h"
#include "fleet/snapshot_func.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace {

/** One random thing that a writer says. */
struct Move {
	uint8_t kind = 0;   ///< What.
	uint8_t box = 0;    ///< On which box or job.
	uint8_t extra = 0;  ///< Particulars.
	uint8_t writer = 0; ///< Who.
	bool again = false; ///< Whether the last record is appended once more first.
};

rc::Gen<Move> AnyMove()
{
	return rc::gen::build<Move>(rc::gen::set(&Move::kind, rc::gen::inRange<uint8_t>(0, 10)),
								rc::gen::set(&Move::box, rc::gen::inRange<uint8_t>(0, 8)), rc::gen::set(&Move::extra),
								rc::gen::set(&Move::writer, rc::gen::inRange<uint8_t>(0, 4)),
								rc::gen::set(&Move::again, rc::gen::weightedElement<bool>({{4, false}, {1, true}})));
}

/** Says it. */
void Say(FoldWorld &world, const Move &move)
{
	const std::string box = "b" + std::to_string(move.box);
	if (move.again) {
		world.Append(world.log.back().bytes);
	}
	world.term = move.writer % 2 == 0 ? 1 : 7;
	switch (move.kind) {
	case 0:
		world.Grant(box, PermitPurpose::PP_MAINTAIN, "", move.extra % 5 == 0);
		break;
	case 1:
		world.Grant(box, PermitPurpose::PP_MOVE, move.extra % 2 == 0 ? "p" : "q");
		break;
	case 2:
	case 3:
	case 4:
		world.Step(box, static_cast<BoxStepKind>(1 + move.extra % 8),
				   move.extra % 3 == 0 ? std::vector<std::string>{"entry-1"} : std::vector<std::string>{});
		break;
	case 5:
		world.Health(box, static_cast<BoxHealth>(move.extra % 4));
		break;
	case 6:
		world.Publish({{CellKey{ServiceName("s"), "floor"}, std::to_string(move.extra % 40)}},
					  move.extra % 3 == 0 ? 0 : world.fleet.table_version.Value());
		break;
	case 7: {
		glade::wire::JobAcceptT job;
		job.job = "j" + std::to_string(move.extra % 16);
		job.team = "oyo";
		job.units = 1 + move.extra % 4;
		job.repeatable = move.extra % 2 == 0;
		world.Do(std::move(job));
		break;
	}
	case 8: {
		glade::wire::JobPlaceT place;
		place.job = "j" + std::to_string(move.extra % 16);
		place.box = box;
		place.box_epoch = world.BoxOf(box).epoch.Value();
		const auto job = world.fleet.jobs.find(JobName(place.job));
		place.attempt = job == world.fleet.jobs.end() ? 1 : job->second.attempt + 1;
		world.Do(std::move(place));
		break;
	}
	default: {
		glade::wire::JobReportT report;
		report.job = "j" + std::to_string(move.extra % 16);
		const auto job = world.fleet.jobs.find(JobName(report.job));
		report.attempt = job == world.fleet.jobs.end() ? 1 : job->second.attempt;
		report.outcome = move.box % 6;
		world.Do(std::move(report));
		break;
	}
	}
}

/** What must hold after every record. */
void CheckAlways(const FleetState &fleet, const FleetState &before)
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
			/* Placed again only after a run that certainly did not happen or was stopped at a checkpoint. */
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
		const bool went_down_by_plan = old.state == BoxState::BS_SERVING && box.state == BoxState::BS_DRAINING;
		if (went_down_by_plan && old.health == BoxHealth::BH_UP) {
			const PoolModel pool = PoolModelOf(fleet, box.pool);
			RC_ASSERT(FloorsHold(CapacityOf(pool), FloorsOf(pool), !box.urgent));
		}
	}
}

} // namespace

TEST_CASE("random history: what must hold holds after every record, and every reader comes to the same state")
{
	const bool good = rc::check("histories", [] {
		const auto moves = *rc::gen::container<std::vector<Move>>(60, AnyMove());
		FoldWorld world;
		world.SetUp(8, "16", "rack");
		glade::wire::MemberJoinT join;
		join.member = "entry-1";
		join.incarnation = 1;
		join.zone = "z";
		world.Do(std::move(join));
		glade::wire::TeamQuotaT quota;
		quota.team = "oyo";
		quota.units = 12;
		world.Do(std::move(quota));
		std::optional<FleetState> joined;
		for (const Move &move : moves) {
			const FleetState before = world.fleet;
			Say(world, move);
			CheckAlways(world.fleet, before);
			if (!joined && move.extra == 7) {
				joined = UnpackSnapshot(PackSnapshot(world.fleet), world.fleet.Hash());
				RC_ASSERT(joined.has_value());
			}
		}
		FleetState again;
		for (const LogRecord &record : world.log) {
			ApplyRecord(again, record);
			if (joined) {
				ApplyRecord(*joined, record);
			}
		}
		RC_ASSERT(again.Hash() == world.fleet.Hash());
		RC_ASSERT(!joined || joined->Hash() == world.fleet.Hash());
	});
	CHECK(good);
}
