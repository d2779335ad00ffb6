/** @file test_fleet_matrix.cpp Every fault of the platform and of keepers at every step of a simulated site. */
#include "standin/memory/fleet_site.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

/** Faults of the platform and of keepers. */
enum class SiteFault : uint8_t {
	SF_NONE,            ///< No fault.
	SF_LOG_DOWN,        ///< The log rejects everything for 9 s.
	SF_LOG_SLOW,        ///< Answers of the log take 1.5 s, for 9 s.
	SF_ANSWERS_LOST,    ///< The next 5 appends of each keeper take effect, but their answers are lost.
	SF_REPEATED,        ///< The next 20 appends of each keeper take effect twice.
	SF_LIST_LATE,       ///< The list of boxes is not updated for 9 s.
	SF_LIST_WRONG,      ///< The list of boxes reports a healthy box as down for 4 s.
	SF_PLANNER_KILLED,  ///< The planning keeper is killed.
	SF_PLANNER_PAUSED,  ///< The planning keeper is paused for 10 s and then resumes.
	SF_KEEPER_REPLACED, ///< A keeper is killed and restarts without its state.
	SF_ZONE_CUT,        ///< The keepers of a zone are cut off from the log for 9 s.
	SF_ORDERS_LOST,     ///< The next 6 orders to boxes are lost.
	SF_BOX_FAILS,       ///< A box fails and is healthy again after 20 s.
	SF_ENTRY_CUT,       ///< An entry is cut off from its keeper for 9 s.
	SF_COUNT,           ///< Number of faults.
};

constexpr const char *_fault_names[] = {
		"none",           "log_down",       "log_slow",        "answers_lost", "repeated",    "list_late", "list_wrong",
		"planner_killed", "planner_paused", "keeper_replaced", "zone_cut",     "orders_lost", "box_fails", "entry_cut"};

/** Steps of the simulation at which a fault is injected. */
enum class SiteStep : uint8_t {
	SS_PUBLISH,  ///< A table is being published.
	SS_JOIN,     ///< A keeper joins.
	SS_DRAIN,    ///< A box is draining.
	SS_REBOOT,   ///< A box is rebooting.
	SS_RETURN,   ///< A box is being verified.
	SS_MOVE,     ///< Raised floors require boxes to move to another pool.
	SS_ACCEPT,   ///< Jobs are being accepted.
	SS_PLACE,    ///< Jobs were submitted 1.5 s ago and are being placed.
	SS_CANCEL,   ///< All jobs are being cancelled.
	SS_HANDOVER, ///< The planning keeper was killed 5.5 s ago.
	SS_COUNT,    ///< Number of steps.
};

constexpr const char *_step_names[] = {"publish", "join",   "drain", "reboot", "return",
									   "move",    "accept", "place", "cancel", "handover"};

/** One combination of a fault and a step. */
class SiteCell {
public:
	SiteCell(SiteFault fault, SiteStep step) : fault(fault), step(step) {}

	void Run()
	{
		this->site.SetUp();
		this->AdvanceToStep();
		this->InjectFault();
		this->CancelJobs();
		this->site.Run(Millis(9000));
		this->site.Heal();
		this->RunUntilSettled();
		this->Check();
	}

private:
	SiteFault fault;                                  ///< Injected fault.
	SiteStep step;                                    ///< Step at which it is injected.
	FleetSite site;                                   ///< The simulated site.
	std::shared_ptr<glade::wire::OutcomeT> published; ///< Outcome that the operator got; null if nothing was published.
	std::map<std::string, std::shared_ptr<glade::wire::OutcomeT>> jobs; ///< Outcome of each submitted job.

	bool AnyBoxIn(BoxState state)
	{
		const auto &boxes = this->site.AnyKeeper().core.State().boxes;
		return std::ranges::any_of(boxes, [&](const auto &it) { return it.second.state == state; });
	}

	void SubmitJobs()
	{
		for (int i = 0; i < 12; i++) {
			glade::wire::JobAcceptT job;
			job.job = "job-" + std::to_string(i);
			job.team = "oyo";
			job.work_class = static_cast<uint8_t>(i % 3);
			job.units = 2;
			job.repeatable = i % 2 == 0;
			const std::string name = job.job;
			this->jobs[name] = this->site.AnyKeeper().Propose(std::move(job));
		}
	}

	/** Runs the site up to the step. */
	void AdvanceToStep()
	{
		switch (this->step) {
		case SiteStep::SS_PUBLISH:
			this->Publish("12");
			break;
		case SiteStep::SS_JOIN:
			this->site.AddKeeper("keeper-new", "zone-b");
			break;
		case SiteStep::SS_DRAIN:
			this->site.RunUntil([this] { return this->AnyBoxIn(BoxState::BS_DRAINING); }, Millis(30000));
			break;
		case SiteStep::SS_REBOOT:
			this->site.RunUntil([this] { return this->AnyBoxIn(BoxState::BS_REBOOTING); }, Millis(30000));
			break;
		case SiteStep::SS_RETURN:
			this->site.RunUntil([this] { return this->AnyBoxIn(BoxState::BS_VERIFYING); }, Millis(30000));
			break;
		case SiteStep::SS_MOVE:
			this->Publish("40");
			this->site.Run(Millis(600));
			break;
		case SiteStep::SS_ACCEPT:
			this->SubmitJobs();
			break;
		case SiteStep::SS_PLACE:
		case SiteStep::SS_CANCEL:
			this->SubmitJobs();
			this->site.Run(Millis(1500));
			break;
		case SiteStep::SS_HANDOVER:
			this->site.Kill(this->site.Planner());
			this->site.Run(Millis(5500));
			break;
		case SiteStep::SS_COUNT:
			break;
		}
	}

	void Publish(const std::string &floor)
	{
		KeeperNode &keeper = this->site.AnyKeeper();
		this->published = keeper.Publish({{CellKey{ServiceName("misting"), "floor"}, floor}},
										 keeper.core.State().table_version.Value());
	}

	void InjectFault()
	{
		switch (this->fault) {
		case SiteFault::SF_LOG_DOWN:
			std::ranges::for_each(this->site.keepers, [](const auto &it) { it->log.faults.down = true; });
			break;
		case SiteFault::SF_LOG_SLOW:
			std::ranges::for_each(this->site.keepers, [](const auto &it) { it->log.faults.delay = Millis(1500); });
			break;
		case SiteFault::SF_ANSWERS_LOST:
			std::ranges::for_each(this->site.keepers, [](const auto &it) { it->log.faults.lose_answers = 5; });
			break;
		case SiteFault::SF_REPEATED:
			std::ranges::for_each(this->site.keepers, [](const auto &it) { it->log.faults.repeat_appends = 20; });
			break;
		case SiteFault::SF_LIST_LATE:
			std::ranges::for_each(this->site.keepers, [](const auto &it) { it->list_frozen = true; });
			break;
		case SiteFault::SF_LIST_WRONG:
			this->site.platform.boxes.begin()->second.health = BoxHealth::BH_DOWN;
			this->site.clock.After(Millis(4000),
								   [this] { this->site.platform.boxes.begin()->second.health = BoxHealth::BH_UP; });
			break;
		case SiteFault::SF_PLANNER_KILLED:
			this->site.Kill(this->site.Planner());
			break;
		case SiteFault::SF_PLANNER_PAUSED:
			this->site.Planner().scheduler.paused_until = this->site.clock.Now() + Millis(10000);
			break;
		case SiteFault::SF_KEEPER_REPLACED: {
			KeeperNode &old = this->site.AnyKeeper();
			this->site.Kill(old);
			this->site.Run(Millis(10));
			this->site.AddKeeper(old.name, old.zone);
			break;
		}
		case SiteFault::SF_ZONE_CUT:
			for (const auto &it : this->site.keepers) {
				it->log.faults.down = it->zone == "zone-b";
			}
			break;
		case SiteFault::SF_ORDERS_LOST:
			this->site.platform.lose_orders = 6;
			break;
		case SiteFault::SF_BOX_FAILS: {
			ListedBox &box = std::prev(this->site.platform.boxes.end())->second;
			box.health = BoxHealth::BH_DOWN;
			this->site.clock.After(Millis(20000), [&box] { box.health = BoxHealth::BH_UP; });
			break;
		}
		case SiteFault::SF_ENTRY_CUT:
			this->site.entries.front()->cut = true;
			break;
		case SiteFault::SF_NONE:
		case SiteFault::SF_COUNT:
			break;
		}
	}

	/** Cancels all jobs right after the fault if the step is SS_CANCEL. */
	void CancelJobs()
	{
		if (this->step == SiteStep::SS_CANCEL) {
			glade::wire::JobCancelT cancel;
			for (const auto &[name, outcome] : this->jobs) {
				cancel.jobs.push_back(name);
			}
			this->site.AnyKeeper().Propose(std::move(cancel));
		}
	}

	/** Runs until all boxes have been maintained, no job is waiting or placed and all keepers have the same state; for
	 * at most 180 s. */
	void RunUntilSettled()
	{
		this->site.RunUntil(
				[this] {
					const FleetState &fleet = this->site.AnyKeeper().core.State();
					const bool maintained = std::ranges::all_of(fleet.boxes, [](const auto &it) {
						return it.second.last_maintained != Millis(0) && it.second.state == BoxState::BS_SERVING;
					});
					const bool jobs_closed = std::ranges::none_of(fleet.jobs, [](const auto &it) {
						return it.second.state == JobState::JS_WAITING || it.second.state == JobState::JS_PLACED;
					});
					return maintained && jobs_closed && this->site.StatesAgree();
				},
				Millis(180000));
	}

	void Check()
	{
		for (const std::string &it : this->site.violations) {
			FAIL_CHECK(it);
		}
		CHECK(this->site.StatesAgree());
		const FleetState &fleet = this->site.AnyKeeper().core.State();
		CHECK(fleet.Hash() == fleet.RecomputeHash());
		for (const auto &it : fleet.boxes) {
			const Box &box = it.second;
			CAPTURE(box.name.Value());
			CHECK(box.last_maintained != Millis(0));
			CHECK(box.state == BoxState::BS_SERVING);
		}
		this->CheckTable(fleet);
		this->CheckJobs(fleet);
	}

	/** Checks that the table agrees with the outcome that the operator got. */
	void CheckTable(const FleetState &fleet) const
	{
		if (!this->published) {
			return;
		}
		const std::string floor = fleet.cells.at(CellKey{ServiceName("misting"), "floor"}).value;
		const std::string expected = this->step == SiteStep::SS_MOVE ? "40" : "12";
		if (this->published->code == static_cast<uint32_t>(ResultCode::RC_OK)) {
			CHECK(floor == expected);
		} else if (this->published->code != static_cast<uint32_t>(ResultCode::RC_OUTCOME_UNKNOWN)) {
			CHECK(floor != expected);
		}
	}

	/** Checks that each accepted job is known and no longer waiting or placed, and that jobs that are not repeatable
	 * were started at most once. */
	void CheckJobs(const FleetState &fleet) const
	{
		for (const auto &it : this->jobs) {
			const std::string &name = it.first;
			const auto &outcome = it.second;
			CAPTURE(name);
			const auto job = fleet.jobs.find(JobName(name));
			if (outcome->code == static_cast<uint32_t>(ResultCode::RC_OK)) {
				REQUIRE(job != fleet.jobs.end());
				CHECK(job->second.state != JobState::JS_WAITING);
				CHECK(job->second.state != JobState::JS_PLACED);
			}
			const auto starts = this->site.platform.starts.find(name);
			const bool repeatable = (name.back() - '0') % 2 == 0;
			if (!repeatable && starts != this->site.platform.starts.end()) {
				CHECK(starts->second <= 1);
			}
		}
	}
};

} // namespace

TEST_CASE("fleet matrix: faults x steps")
{
	for (int fault = 0; fault < static_cast<int>(SiteFault::SF_COUNT); fault++) {
		for (int step = 0; step < static_cast<int>(SiteStep::SS_COUNT); step++) {
			const std::string name = std::string(_fault_names[fault]) + " x " + _step_names[step];
			CAPTURE(name);
			SiteCell(static_cast<SiteFault>(fault), static_cast<SiteStep>(step)).Run();
		}
	}
}
