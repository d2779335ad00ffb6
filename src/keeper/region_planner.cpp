/** @file region_planner.cpp Planner of a keeper's region. */
#include "region_planner.h"

#include "../request/route_func.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace {

constexpr size_t MAX_JOBS_PER_STEP = 200;     ///< Maximum number of jobs that one planning step places.
constexpr int64_t HEARTBEATS_PER_SILENCE = 3; ///< Heartbeats that a planner submits per KeeperTimes::planner_silence.
constexpr uint64_t TAKEOVER_DELAY_STEPS = 8;  ///< Number of different values of TakeoverDelay().

bool EndBefore(const JobEnd &a, const JobEnd &b)
{
	return std::tie(a.job, a.attempt, a.outcome) < std::tie(b.job, b.attempt, b.outcome);
}

} // namespace

RegionPlanner::RegionPlanner(KeeperCore &core, const EntryHandler &entries, BoxControl &control, PlannerPolicy policy)
		: core(core), entries(entries), control(control), policy(policy), planner_last_seen(core.scheduler.Now()),
		  pending_ends(EndBefore)
{
}

bool RegionPlanner::HoldsTerm() const
{
	/* The state may still name this keeper for a term of its earlier incarnation, which doesn't count. */
	const auto holder = this->core.State().planners.find(this->core.self.region);
	return holder != this->core.State().planners.end() && holder->second.member == this->core.self.name &&
		   holder->second.term == this->own_term && this->own_term != Term();
}

void RegionPlanner::OnDecisions(const std::vector<Decision> &decisions)
{
	const auto holder = this->core.State().planners.find(this->core.self.region);
	if (holder == this->core.State().planners.end()) {
		return;
	}
	const bool heard = std::ranges::any_of(
			decisions, [&](const Decision &it) { return it.id.writer == holder->second.member.Value(); });
	if (heard) {
		this->planner_last_seen = this->core.scheduler.Now();
	}
}

Millis RegionPlanner::TakeoverDelay() const
{
	/* The delay is 1 to 2 times planner_silence and differs between most keepers, so that one takes the term and the
	 * others read its record before their own delays end. */
	const uint64_t step = HashText(this->core.self.name.Value()) % TAKEOVER_DELAY_STEPS;
	const int64_t silence = this->core.times.planner_silence.Value();
	return Millis(silence + silence * static_cast<int64_t>(step) / static_cast<int64_t>(TAKEOVER_DELAY_STEPS));
}

void RegionPlanner::Tick()
{
	if (!this->core.tail.CaughtUp()) {
		/* While the log is unreachable no keeper can write, and while records are unread the planner's may be among
		 * them: silence then doesn't mean that the planner failed. */
		this->planner_last_seen = this->core.scheduler.Now();
		return;
	}
	this->ReportDrains();
	if (this->HoldsTerm()) {
		this->SubmitHeartbeat();
		this->Plan();
		return;
	}
	const auto &planners = this->core.State().planners;
	const auto holder = planners.find(this->core.self.region);
	const bool no_other_planner = holder == planners.end() || holder->second.member == this->core.self.name ||
								  !this->core.State().members.contains(holder->second.member);
	if (no_other_planner || this->planner_last_seen + this->TakeoverDelay() < this->core.scheduler.Now()) {
		this->TakeTerm();
	}
}

void RegionPlanner::TakeTerm()
{
	if (this->term_pending) {
		return;
	}
	this->term_pending = true;
	const auto holder = this->core.State().planners.find(this->core.self.region);
	glade::wire::PlannerTermT term;
	term.region = this->core.self.region.Value();
	term.member = this->core.self.name.Value();
	term.seen_term = holder == this->core.State().planners.end() ? 0 : holder->second.term.Value();
	this->core.writer.Submit(MakeProposal(std::move(term)), WritePriority::WP_CONFIG, [this](const Decision &decision) {
		this->term_pending = false;
		if (decision.result.Ok()) {
			this->core.counters.terms++;
			this->own_term = this->core.State().planners.at(this->core.self.region).term;
			this->core.writer.SetTerm(this->core.self.region, this->own_term);
		}
	});
}

void RegionPlanner::SubmitHeartbeat()
{
	const Millis now = this->core.scheduler.Now();
	if (this->last_heartbeat + Millis(this->core.times.planner_silence.Value() / HEARTBEATS_PER_SILENCE) > now) {
		return;
	}
	this->last_heartbeat = now;
	/* A repeated join serves as the heartbeat: it changes no membership, but every keeper reads it in the log. */
	this->core.writer.Submit(MakeJoinProposal(this->core.self), WritePriority::WP_CONFIG);
}

void RegionPlanner::Submit(Proposal proposal, WritePriority priority)
{
	this->pending_plan_proposals++;
	this->core.writer.Submit(std::move(proposal), priority,
							 [this](const Decision &) { this->pending_plan_proposals--; });
}

void RegionPlanner::Plan()
{
	this->SendRebootOrders();
	this->SendJobOrders();
	this->ReportLostJobs();
	/* Skips the step while proposals of the last one are undecided, or when the list is older than ten fetch intervals.
	 */
	const bool list_recent =
			this->core.list_fetched_at + Millis(10 * this->core.times.list_tick.Value()) > this->core.scheduler.Now();
	if (this->pending_plan_proposals > 0 || !list_recent) {
		return;
	}
	const auto begin = std::chrono::steady_clock::now();
	PlannerInputs inputs;
	inputs.list = this->core.list;
	inputs.drained = this->entries.DrainConfirmations();
	for (Proposal &it : PlanBoxes(this->core.State(), inputs, this->policy)) {
		this->Submit(std::move(it), WritePriority::WP_BOX);
	}
	JobPlan jobs = PlanJobs(this->core.State(), this->policy, MAX_JOBS_PER_STEP);
	for (Proposal &it : jobs.placements) {
		this->Submit(std::move(it), WritePriority::WP_JOB);
	}
	for (const JobName &name : jobs.stop) {
		this->control.StopJob(this->core.State().jobs.at(name));
	}
	const auto elapsed = std::chrono::steady_clock::now() - begin;
	this->core.counters.plans++;
	this->core.counters.plan_us +=
			static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count());
}

void RegionPlanner::ReportDrains()
{
	if (this->pending_drain_reports > 0) {
		return;
	}
	PlannerInputs inputs;
	inputs.drained = this->entries.DrainConfirmations();
	for (Proposal &it : PlanDrains(this->core.State(), &this->core.self.zone, inputs)) {
		this->pending_drain_reports++;
		this->core.writer.Submit(std::move(it), WritePriority::WP_BOX,
								 [this](const Decision &) { this->pending_drain_reports--; });
	}
}

void RegionPlanner::SendRebootOrders()
{
	for (const auto &[name, box] : this->core.State().boxes) {
		if (box.state != BoxState::BS_REBOOTING) {
			continue;
		}
		const auto listed = std::ranges::find(this->core.list, name, &ListedBox::name);
		/* Sent at each tick until the list shows the boot under this permit: an order may be lost, and a repeated one
		 * changes nothing. */
		if (listed == this->core.list.end() || listed->booted_for != box.permit) {
			this->core.counters.reboots++;
			this->control.Reboot(name, box.permit);
		}
	}
}

void RegionPlanner::SendJobOrders()
{
	for (const auto &[name, job] : this->core.State().jobs) {
		if (job.state == JobState::JS_PLACED) {
			this->control.StartJob(job);
		} else if (job.state == JobState::JS_CANCELLED && job.attempt > 0) {
			this->control.StopJob(job);
		}
	}
}

void RegionPlanner::ReportLostJobs()
{
	for (const auto &[name, job] : this->core.State().jobs) {
		if (job.state != JobState::JS_PLACED) {
			continue;
		}
		const auto box = this->core.State().boxes.find(job.box);
		const bool lost = box == this->core.State().boxes.end() || box->second.epoch != job.box_epoch;
		/* No worker is left to report the end; without its box the attempt counts as one whose lease has expired. */
		const JobEnd end{name, job.attempt, JobOutcome::JO_LEASE_EXPIRED};
		if (lost && !this->pending_ends.contains(end)) {
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
		if (!this->pending_ends.insert(end).second) {
			continue;
		}
		glade::wire::JobReportT report;
		report.job = end.job.Value();
		report.attempt = end.attempt;
		report.outcome = static_cast<uint8_t>(end.outcome);
		this->core.writer.Submit(MakeProposal(std::move(report)), WritePriority::WP_JOB, [this, end](const Decision &) {
			this->pending_ends.erase(end);
			this->control.Acknowledge(end);
		});
	}
}
