/** @file region_planner.cpp The keeper as planner. */
#include "region_planner.h"

#include "../request/route_func.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace {

constexpr size_t JOBS_A_STEP = 200;      ///< Most jobs placed in one planning step.
constexpr int64_t BEATS_PER_SILENCE = 3; ///< Beats that a planner sends in the time after which it counts as silent.
constexpr uint64_t PATIENCE_STEPS = 8;   ///< Keepers wait one of so many extra times before they take a term.

bool EndBefore(const JobEnd &a, const JobEnd &b)
{
	return std::tie(a.job, a.attempt, a.outcome) < std::tie(b.job, b.attempt, b.outcome);
}

} // namespace

RegionPlanner::RegionPlanner(KeeperCore &core, const EntryHandler &entries, BoxControl &control, PlannerPolicy policy)
		: core(core), entries(entries), control(control), policy(policy), planner_heard(core.scheduler.Now()),
		  reported(EndBefore)
{
}

bool RegionPlanner::HoldsTerm() const
{
	/* A term that an earlier start of this process took is not ours: it is taken anew. */
	const auto seat = this->core.State().planners.find(this->core.self.region);
	return seat != this->core.State().planners.end() && seat->second.member == this->core.self.name &&
		   seat->second.term == this->taken && this->taken != Term();
}

void RegionPlanner::OnDecisions(const std::vector<Decision> &decisions)
{
	const auto seat = this->core.State().planners.find(this->core.self.region);
	if (seat == this->core.State().planners.end()) {
		return;
	}
	const bool heard = std::ranges::any_of(
			decisions, [&](const Decision &it) { return it.id.writer == seat->second.member.Value(); });
	if (heard) {
		this->planner_heard = this->core.scheduler.Now();
	}
}

Millis RegionPlanner::Patience() const
{
	/* Keepers wait differently long, so that one of them takes the term and the others see it. */
	const uint64_t step = HashText(this->core.self.name.Value()) % PATIENCE_STEPS;
	const int64_t silence = this->core.times.planner_silence.Value();
	return Millis(silence + silence * static_cast<int64_t>(step) / static_cast<int64_t>(PATIENCE_STEPS));
}

void RegionPlanner::Tick()
{
	if (!this->core.tail.CaughtUp()) {
		/* While the log is silent nobody can plan; silence then says nothing about the planner. */
		this->planner_heard = this->core.scheduler.Now();
		return;
	}
	this->ReportDrains();
	if (this->HoldsTerm()) {
		this->Beat();
		this->Plan();
		return;
	}
	const auto &planners = this->core.State().planners;
	const auto seat = planners.find(this->core.self.region);
	const bool vacant = seat == planners.end() || seat->second.member == this->core.self.name ||
						!this->core.State().members.contains(seat->second.member);
	if (vacant || this->planner_heard + this->Patience() < this->core.scheduler.Now()) {
		this->TakeTerm();
	}
}

void RegionPlanner::TakeTerm()
{
	if (this->asked) {
		return;
	}
	this->asked = true;
	const auto seat = this->core.State().planners.find(this->core.self.region);
	glade::wire::PlannerTermT term;
	term.region = this->core.self.region.Value();
	term.member = this->core.self.name.Value();
	term.seen_term = seat == this->core.State().planners.end() ? 0 : seat->second.term.Value();
	this->core.writer.Submit(MakeProposal(std::move(term)), WritePriority::WP_CONFIG, [this](const Decision &decision) {
		this->asked = false;
		if (decision.result.Ok()) {
			this->core.counters.terms++;
			this->taken = this->core.State().planners.at(this->core.self.region).term;
			this->core.writer.SetTerm(this->core.self.region, this->taken);
		}
	});
}

void RegionPlanner::Beat()
{
	const Millis now = this->core.scheduler.Now();
	if (this->last_beat + Millis(this->core.times.planner_silence.Value() / BEATS_PER_SILENCE) > now) {
		return;
	}
	this->last_beat = now;
	this->core.writer.Submit(MakeJoinProposal(this->core.self), WritePriority::WP_CONFIG);
}

void RegionPlanner::Submit(Proposal proposal, WritePriority priority)
{
	this->undecided++;
	this->core.writer.Submit(std::move(proposal), priority, [this](const Decision &) { this->undecided--; });
}

void RegionPlanner::Plan()
{
	this->OrderReboots();
	this->OrderJobs();
	this->ReportLapsedJobs();
	/* The next step is planned on what the last one has led to. */
	const bool list_known =
			this->core.list_fetched_at + Millis(10 * this->core.times.list_tick.Value()) > this->core.scheduler.Now();
	if (this->undecided > 0 || !list_known) {
		return;
	}
	const auto begin = std::chrono::steady_clock::now();
	PlannerInputs inputs;
	inputs.list = this->core.list;
	inputs.drained = this->entries.Drained();
	for (Proposal &it : PlanBoxes(this->core.State(), inputs, this->policy)) {
		this->Submit(std::move(it), WritePriority::WP_BOX);
	}
	JobPlan jobs = PlanJobs(this->core.State(), this->policy, JOBS_A_STEP);
	for (Proposal &it : jobs.placements) {
		this->Submit(std::move(it), WritePriority::WP_JOB);
	}
	for (const JobName &name : jobs.stop) {
		this->control.StopJob(this->core.State().jobs.at(name));
	}
	const auto took = std::chrono::steady_clock::now() - begin;
	this->core.counters.plans++;
	this->core.counters.plan_us +=
			static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(took).count());
}

void RegionPlanner::ReportDrains()
{
	if (this->drains > 0) {
		return;
	}
	PlannerInputs inputs;
	inputs.drained = this->entries.Drained();
	for (Proposal &it : PlanDrains(this->core.State(), &this->core.self.zone, inputs)) {
		this->drains++;
		this->core.writer.Submit(std::move(it), WritePriority::WP_BOX, [this](const Decision &) { this->drains--; });
	}
}

void RegionPlanner::OrderReboots()
{
	for (const auto &[name, box] : this->core.State().boxes) {
		if (box.state != BoxState::BS_REBOOTING) {
			continue;
		}
		const auto listed = std::ranges::find(this->core.list, name, &ListedBox::name);
		/* Ordered until the list shows the boot of this permit: an order may be lost, and a second does no harm. */
		if (listed == this->core.list.end() || listed->booted_for != box.permit) {
			this->core.counters.reboots++;
			this->control.Reboot(name, box.permit);
		}
	}
}

void RegionPlanner::OrderJobs()
{
	for (const auto &[name, job] : this->core.State().jobs) {
		if (job.state == JobState::JS_PLACED) {
			this->control.StartJob(job);
		} else if (job.state == JobState::JS_CANCELLED && job.attempt > 0) {
			this->control.StopJob(job);
		}
	}
}

void RegionPlanner::ReportLapsedJobs()
{
	for (const auto &[name, job] : this->core.State().jobs) {
		if (job.state != JobState::JS_PLACED) {
			continue;
		}
		const auto box = this->core.State().boxes.find(job.box);
		const bool lost = box == this->core.State().boxes.end() || box->second.epoch != job.box_epoch;
		const JobEnd end{name, job.attempt, JobOutcome::JO_LEASE_EXPIRED};
		if (lost && !this->reported.contains(end)) {
			this->OnJobEnds({end});
		}
	}
}

void RegionPlanner::OnJobEnds(const std::vector<JobEnd> &ends)
{
	if (!this->HoldsTerm()) {
		return;
	}
	for (const JobEnd &end : ends) {
		if (!this->reported.insert(end).second) {
			continue;
		}
		glade::wire::JobReportT report;
		report.job = end.job.Value();
		report.attempt = end.attempt;
		report.outcome = static_cast<uint8_t>(end.outcome);
		this->core.writer.Submit(MakeProposal(std::move(report)), WritePriority::WP_JOB, [this, end](const Decision &) {
			this->reported.erase(end);
			this->control.Acknowledge(end);
		});
	}
}
