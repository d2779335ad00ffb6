/** @file shard_jobs.cpp Shard: submission, cancellation and completion of jobs, and the turns of the scheduler. */
#include "shard_base.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

namespace {

/** Maximum time between two turns: bounds the delay in noticing expired leases and boxes to be retried. */
constexpr Millis IDLE_TURN_INTERVAL(500);
/** Minimum time between two visits of all boxes. There are some hundred turns a second, and what the visit looks for
 * (expired leases, boxes to be drained) can wait this long. */
constexpr Millis BOX_CHECK_INTERVAL(50);
/** Weight of the newest turn in the smoothed lateness; about three turns count. */
constexpr double LATENESS_WEIGHT = 0.3;
/** Upper limit of a turn's lateness, so that a suspended process counts as late only once. */
constexpr Millis LATENESS_MAX(500);

} // namespace

bool ShardJob::Has(const TaskId &task) const
{
	return task.occurrence < this->spec.Occurrences() && task.step < this->spec.steps.size() &&
		   task.index < this->spec.steps[task.step].count;
}

TaskId ShardJob::TaskAt(size_t position) const
{
	TaskId id{this->spec.id, static_cast<uint32_t>(position / this->per_occurrence), 0, 0};
	const auto rest = static_cast<uint32_t>(position % this->per_occurrence);
	const auto next_step = std::ranges::upper_bound(this->step_offsets, rest);
	id.step = static_cast<uint32_t>(std::distance(this->step_offsets.begin(), next_step)) - 1;
	id.index = rest - this->step_offsets[id.step];
	return id;
}

Shard::Shard(Scheduler &scheduler, PairedJournal &journal, BoxOrders &orders, EventLog &log, ServiceName service,
			 FenceToken fence, ShardLimits limits, PlacementAdvisor *advisor)
		: scheduler(scheduler), journal(journal), orders(orders), log(log), service(std::move(service)), fence(fence),
		  limits(limits), owned_since(scheduler.Now()), earlier_leases_until(scheduler.Now() + limits.owner_term),
		  tickets(scheduler, log, advisor)
{
	this->tickets.on_tickets = [this] { this->ScheduleTurn(); };
}

Shard::~Shard()
{
	this->scheduler.Cancel(this->timer);
	std::ranges::for_each(this->boxes | std::views::values,
						  [this](const ShardBox &it) { this->scheduler.Cancel(it.timer); });
}

void Shard::Restore(const JobId &id, const StoredProgress &progress)
{
	this->restored[id].Add(progress);
}

ShardJob Shard::MakeJob(const JobSpec &spec) const
{
	ShardJob job;
	job.spec = spec;
	job.taken_at = this->scheduler.Now();
	for (const StepSpec &step : spec.steps) {
		job.step_offsets.push_back(job.per_occurrence);
		job.per_occurrence += step.count;
	}
	job.tasks.resize(size_t{job.per_occurrence} * spec.Occurrences());
	std::ranges::for_each(job.tasks, [&job](ShardTask &it) { it.phase_since = job.taken_at; });
	return job;
}

void Shard::ApplyRoute(ShardJob &job) const
{
	if (const JobRoute *route = this->config.FindRoute(job.spec.route); route != nullptr) {
		job.policy = route->policy;
		job.has_policy = true;
		return;
	}
	/* Jobs of a removed route keep its last policy. */
	if (job.has_policy) {
		return;
	}
	const auto last = this->last_policies.find(job.spec.route);
	const uint64_t recorded_version = last == this->last_policies.end() ? 0 : last->second.config;
	if (recorded_version > 0 && (!job.spec.policy || recorded_version >= job.spec.config)) {
		job.policy = last->second.policy;
		job.has_policy = true;
	} else if (job.spec.policy) {
		job.policy = *job.spec.policy;
		job.has_policy = true;
	}
}

void Shard::SetLastPolicy(const RouteName &route, const VersionedPolicy &policy)
{
	this->last_policies[route] = policy;
}

void Shard::Submit(const JobSpec &spec, bool recorded)
{
	if (const auto known = this->jobs.find(spec.id); known != this->jobs.end()) {
		if (known->second.spec.account == spec.account) {
			known->second.recorded = known->second.recorded || recorded;
		} else {
			this->log.Write("id_of_other_account", {{"job", spec.id.Value()}, {"account", spec.account.Value()}});
		}
		return;
	}
	ShardJob job = this->MakeJob(spec);
	job.recorded = recorded;
	this->ApplyRoute(job);
	if (const auto old = this->restored.find(spec.id); old != this->restored.end()) {
		const StoredProgress &progress = old->second.Result();
		job.phase = job.durable_phase = progress.phase;
		job.revision = progress.revision;
		/* A run that was placed by an earlier owner counts as started once its box lists it. */
		job.begun = progress.HasBegun();
		/* A record of another size can only come from a fault: the tasks start in their initial state, but the recorded
		 * phase counts. */
		if (progress.tasks.size() == job.tasks.size()) {
			std::ranges::transform(progress.tasks, job.tasks.begin(), [this, &job](const StoredTask &it) {
				ShardTask task;
				static_cast<StoredTask &>(task) = it;
				task.run_state = RunState::RS_RESTORED;
				task.uncertain = true; /* The earlier owner may have sent more than one order. */
				task.stop_wanted = task.stop_recorded = task.leaving;
				task.phase_since = task.ordered_at = job.taken_at;
				task.order_known = false;
				/* An earlier owner that stood still may go on for this long. */
				task.last_ordered_at = job.taken_at + this->limits.owner_term;
				task.suspect = it.crashes + it.crashes_possible > 0;
				return task;
			});
		}
		this->restored.erase(old);
	}
	this->jobs_by_route[spec.route]++;
	this->cancelled_early.erase(spec.id);
	ShardJob &kept = this->jobs.emplace(spec.id, std::move(job)).first->second;
	if (!kept.Over() && std::ranges::any_of(kept.tasks, [](const ShardTask &it) { return it.crashes > 0; })) {
		this->SpaceStarts();
	}
	for (size_t position = 0; position < kept.tasks.size(); position++) {
		ShardTask &task = kept.tasks[position];
		if (task.phase != TaskPhase::TP_PLACED) {
			continue;
		}
		auto [it, added] = this->boxes.try_emplace(task.box);
		if (added) {
			/* Its report has not arrived yet, if there is one. */
			it->second.report.incarnation = task.box;
			it->second.report.box = task.box_name;
			this->RaiseFence(task.box.id);
			it->second.has_report = false;
			it->second.leases_expire_at = this->EarlierLeasesEnd();
		}
		this->AddToBox(it->second, kept, kept.TaskAt(position));
		this->book.Add(spec.account, spec.steps[kept.TaskAt(position).step].demand);
	}
	this->log.Write("job_taken", {{"job", spec.id.Value()},
								  {"route", spec.route.Value()},
								  {"account", spec.account.Value()},
								  {"tasks", std::to_string(kept.tasks.size())},
								  {"age_ms", std::to_string((this->scheduler.WallNow() - spec.requested_at).Value())},
								  {"image", kept.spec.steps.empty() ? "" : kept.spec.steps.front().image},
								  {"estimate_ms", std::to_string(kept.spec.steps.front().estimate.Value())},
								  {"phase", NameOf(kept.phase)}});
	if (!kept.Over()) {
		this->live.emplace(spec.id, &kept);
		if (std::ranges::any_of(spec.steps, &StepSpec::lasting)) {
			this->lasting_jobs.insert(spec.id);
		}
	}
	if (this->Cancelled(spec.id, spec.account)) {
		this->EndJob(kept, JobPhase::JP_CANCELLED, "cancelled");
	}
	if (kept.Over()) {
		for (size_t position = 0; position < kept.tasks.size(); position++) {
			if (kept.tasks[position].phase == TaskPhase::TP_PLACED) {
				this->WantStop(kept.TaskAt(position), kept.tasks[position], "job_over");
			}
		}
	}
	if (!this->dirty.contains(spec.id)) {
		ReleaseEnded(kept);
	}
	this->ScheduleTurn();
}

bool Shard::Cancelled(const JobId &id, const AccountName &account) const
{
	auto it = this->cancelled.lower_bound({id, AccountName()});
	for (; it != this->cancelled.end() && it->first == id; ++it) {
		if (MayAccess(account, it->second)) {
			return true;
		}
	}
	return false;
}

void Shard::Cancel(const JobId &id, const AccountName &account, const RouteName &route)
{
	if (!this->cancelled.emplace(id, account).second) {
		return;
	}
	const auto it = this->jobs.find(id);
	if (it == this->jobs.end()) {
		this->cancelled_early[id] = route;
	}
	if (it != this->jobs.end() && !it->second.Over() && MayAccess(it->second.spec.account, account)) {
		this->EndJob(it->second, JobPhase::JP_CANCELLED, "cancelled");
	}
	this->ScheduleTurn();
}

void Shard::Configure(const JobConfig &config)
{
	this->config = config;
	const auto services = std::ranges::count(config.services, false, &JobService::reserve);
	this->book.Configure(config.accounts, static_cast<size_t>(services), config.version);
	std::ranges::for_each(this->jobs | std::views::values, [this](ShardJob &it) {
		this->ApplyRoute(it);
		it.outlook.stale = true;
	});
	this->ScheduleTurn();
}

void Shard::Begin()
{
	this->begun = true;
	this->log.Write("shard_begun", {{"service", this->service.Value()},
									{"fence", std::to_string(this->fence.Value())},
									{"jobs", std::to_string(this->jobs.size())},
									{"live", std::to_string(this->live.size())},
									{"boxes", std::to_string(this->boxes.size())}});
	for (auto &[incarnation, box] : this->boxes) {
		if (ShardBox *newest = this->IncarnationsOf(incarnation.id).back(); !newest->over) {
			this->EndOtherIncarnations(*newest);
		}
		if (box.has_report && !box.over) {
			this->EndEarlierIds(box.report);
		}
		/* The box itself answers whether its unlisted agent has another incarnation by now. Without the removed
		 * report's address, its tasks would wait until its lease must have expired. */
		if (const auto it = this->removed_reports.find(incarnation);
			it != this->removed_reports.end() && !box.has_report) {
			box.report = it->second;
		}
		this->RenewLease(box);
	}
	this->removed_reports.clear();
	this->ScheduleTurn();
}

JobView Shard::View(const JobId &id) const
{
	if (const auto it = this->jobs.find(id); it != this->jobs.end()) {
		return JobView{true, it->second.durable_phase, it->second.spec.account, it->second.recorded};
	}
	if (const auto it = this->restored.find(id); it != this->restored.end()) {
		return JobView{true, it->second.Result().phase, AccountName()};
	}
	return JobView{};
}

uint32_t Shard::Waiting(const RouteName &route) const
{
	return static_cast<uint32_t>(std::ranges::count_if(this->live | std::views::values, [&route](const ShardJob *it) {
		return it->spec.route == route && !it->begun;
	}));
}

bool Shard::HasAnyOf(const RouteName &route) const
{
	return this->jobs_by_route.contains(route) ||
		   std::ranges::any_of(this->cancelled_early | std::views::values,
							   [&route](const RouteName &it) { return it == route || it.Value().empty(); });
}

std::vector<RouteName> Shard::RoutesOfJobs() const
{
	std::vector<RouteName> out;
	std::ranges::copy(this->jobs_by_route | std::views::keys, std::back_inserter(out));
	return out;
}

const ShardTask *Shard::FindTask(const TaskId &id) const
{
	const auto it = this->jobs.find(id.job);
	if (it == this->jobs.end() || !it->second.Has(id)) {
		return nullptr;
	}
	return &it->second.tasks[it->second.IndexOf(id)];
}

ShardTask *Shard::FindTask(const TaskId &id)
{
	return const_cast<ShardTask *>(std::as_const(*this).FindTask(id));
}

void Shard::MarkDirty(const JobId &id)
{
	this->dirty.insert(id);
	this->jobs.at(id).outlook.stale = true;
	this->ScheduleTurn();
}

void Shard::ScheduleTurn()
{
	if (this->turn_scheduled || !this->begun || this->superseded) {
		return;
	}
	this->turn_scheduled = true;
	this->scheduler.Cancel(this->timer);
	this->turn_due = this->scheduler.Now();
	this->timer = this->scheduler.After(Millis(0), [this] { this->Turn(); });
}

void Shard::NoteLateness()
{
	const Millis late = std::clamp(this->scheduler.Now() - this->turn_due, Millis(0), LATENESS_MAX);
	this->late_ms += (static_cast<double>(late.Value()) - this->late_ms) * LATENESS_WEIGHT;
}

void Shard::Turn()
{
	this->turn_scheduled = false;
	this->NoteLateness();
	const Millis check_again = this->CheckBoxes();
	/* Nothing can be recorded, and so nothing started, before the append under way has ended; OnCommitted() continues
	 * then. */
	this->place_wanted = !this->MayRecord();
	if (!this->place_wanted) {
		this->ApplyIncoming();
		this->Place();
		this->Commit();
	}
	this->NoteWaits();
	if (!this->turn_scheduled) {
		const Millis pause = std::min(IDLE_TURN_INTERVAL, check_again);
		this->turn_due = this->scheduler.Now() + pause;
		this->timer = this->scheduler.After(pause, [this] { this->Turn(); });
	}
}

Millis Shard::CheckBoxes()
{
	const Millis since = this->scheduler.Now() - this->boxes_checked_at;
	if (since < BOX_CHECK_INTERVAL && !this->boxes_changed) {
		return BOX_CHECK_INTERVAL - since;
	}
	this->boxes_checked_at = this->scheduler.Now();
	this->boxes_changed = false;
	this->ExpireLeases();
	this->NoteLogUnreachable();
	this->DrainBoxes();
	this->MoveTasksFromZones();
	return IDLE_TURN_INTERVAL;
}

void Shard::AddToBox(ShardBox &box, const ShardJob &job, const TaskId &id)
{
	box.placed.insert(id);
	box.used += job.spec.steps[id.step].demand;
	if (job.tasks[job.IndexOf(id)].suspect) {
		box.suspects.insert(id);
	}
}

bool Shard::RemoveFromBox(ShardBox &box, const ShardJob &job, const TaskId &id)
{
	if (box.placed.erase(id) == 0) {
		return false;
	}
	box.used -= job.spec.steps[id.step].demand;
	box.suspects.erase(id);
	return true;
}

void Shard::EndJob(ShardJob &job, JobPhase phase, const char *reason)
{
	job.phase = phase;
	this->live.erase(job.spec.id);
	this->tickets.Forget(job.spec.id);
	this->log.Write("job_over", {{"job", job.spec.id.Value()},
								 {"phase", NameOf(phase)},
								 {"why", reason},
								 {"age_ms", std::to_string((this->scheduler.Now() - job.taken_at).Value())}});
	for (size_t position = 0; position < job.tasks.size(); position++) {
		if (job.tasks[position].phase == TaskPhase::TP_PLACED) {
			this->WantStop(job.TaskAt(position), job.tasks[position], reason);
		}
	}
	this->MarkDirty(job.spec.id);
}

void Shard::CheckCompleted(ShardJob &job)
{
	if (!job.Over() &&
		std::ranges::all_of(job.tasks, [](const ShardTask &it) { return it.phase == TaskPhase::TP_DONE; })) {
		this->EndJob(job, JobPhase::JP_COMPLETED, "all_done");
	}
}
