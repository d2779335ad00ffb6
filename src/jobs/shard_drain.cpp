/** @file shard_drain.cpp Shard: draining of boxes, and the status of the pool. */
#include "shard_base.h"

#include <algorithm>
#include <ranges>

namespace {

constexpr Millis LIST_OVERDUE(400); ///< A box's last list is outdated when it is older than the lease wait plus this.
constexpr Millis DRAIN_FOR(2000);   ///< A box is kept empty for this long after the last request to drain it.
/** For this long after the last request to drain a box, its end may be due to an order of our own: an order to move it
 * may be carried out seconds late. */
constexpr Millis PLANNED_END_WITHIN(10000);
/** A box that lists this many ends accepts no tasks, so that its start orders get settled and ends can be acknowledged
 * (see OrderFence). Leaves room for the ends of its runs, since it lists 500 at once and any further ones are not seen.
 */
constexpr size_t ENDS_LISTED_MAX = 400;
constexpr Millis CONFIRMED_WITHIN(1000); ///< An owner is confirmed every 0.35 s; a slow store takes 0.6 s.
/** The log counts as unreachable when it has not confirmed the owner for this long: three confirmations. */
constexpr Millis LOG_UNREACHABLE_AFTER(1500);
/** Reports that expired while the log and the store of reports were unreachable are back within 2 s of its recovery
 * (platform documentation on discovery), plus one poll of the reports. */
constexpr Millis REPORT_BACK_WITHIN(2300);

} // namespace

void Shard::StopTasksOnLeaving(ShardBox &box)
{
	for (const TaskId &id : std::set<TaskId>(box.placed)) {
		ShardJob &job = this->jobs.at(id.job);
		const StepSpec &step = job.spec.steps[id.step];
		/* A task with checkpoints loses little by moving now; others may still end before the box shuts down. */
		if (step.lasting || step.checkpoints) {
			this->WantStop(id, job.tasks[job.IndexOf(id)], "box_leaving");
		}
	}
}

void Shard::Drain(const std::set<BoxName> &drain, const std::set<BoxName> &due, const std::set<BoxName> &give_way)
{
	const Millis now = this->scheduler.Now();
	for (ShardBox &box : this->boxes | std::views::values) {
		const bool drained = drain.contains(box.report.box);
		box.drain_since = drained && box.drain_until <= now ? now : box.drain_since;
		box.drain_until = drained ? now + DRAIN_FOR : Millis(0);
		box.planned_end_until = drained ? now + PLANNED_END_WITHIN : box.planned_end_until;
		box.due = due.contains(box.report.box);
		box.gives_way = drained && give_way.contains(box.report.box);
	}
	this->boxes_changed = true;
	this->ScheduleTurn();
}

void Shard::SetEvacuatedZones(const EvacuatedZones &evacuated)
{
	this->evacuated = evacuated;
	this->boxes_changed = true;
	this->ScheduleTurn();
}

bool Shard::TakeRoomElsewhere(PlaceRound &round, const ShardJob &job, const TaskId &id)
{
	const Resources &demand = job.spec.steps[id.step].demand;
	const StartKind kind = this->StartKindOf(job.tasks[job.IndexOf(id)]);
	if (round.FitsNowhere(demand)) {
		return false;
	}
	OpenBox *open = this->ChooseBox(round.open, job, id, kind);
	if (open == nullptr) {
		return false;
	}
	open->free -= demand;
	return true;
}

void Shard::MoveTasksFromZones()
{
	if (this->evacuated.zones.empty()) {
		return;
	}
	PlaceRound round = this->BeginRound();
	std::set<StepId> moved; /* One task of a step at a time, so that the others keep running meanwhile. */
	for (ShardBox &box : this->boxes | std::views::values) {
		if (box.over || !this->InEvacuatedZone(box)) {
			continue;
		}
		for (const TaskId &id : std::set<TaskId>(box.placed)) {
			ShardJob &job = this->jobs.at(id.job);
			ShardTask &task = job.tasks[job.IndexOf(id)];
			const StepId step{id.job, id.occurrence, id.step};
			const bool running = task.run_state == RunState::RS_RUNNING && !task.stop_wanted;
			/* Other tasks soon end by themselves. */
			if (running && job.spec.steps[id.step].lasting && !moved.contains(step) && this->MayStop(job, id) &&
				this->TakeRoomElsewhere(round, job, id)) {
				moved.insert(step);
				this->WantPlannedStop(id, task, "zone_evacuated");
			}
		}
	}
}

bool Shard::ListedRecently(const BoxIncarnation &incarnation) const
{
	const auto it = this->boxes.find(incarnation);
	const Millis within = this->limits.lease_wait + LIST_OVERDUE;
	return it != this->boxes.end() && !it->second.over && !it->second.unreachable &&
		   this->scheduler.Now() - it->second.runs_listed_at <= within;
}

bool Shard::MayStop(const ShardJob &job, const TaskId &id) const
{
	const StepSpec &step = job.spec.steps[id.step];
	if (!step.absent_max) {
		return true;
	}
	uint32_t absent = 0;
	for (TaskId other = id; const uint32_t index : std::views::iota(0U, step.count)) {
		other.index = index;
		const ShardTask &task = job.tasks[job.IndexOf(other)];
		const bool working = task.phase == TaskPhase::TP_PLACED && task.at_full_pace && !task.stop_wanted &&
							 this->ListedRecently(task.box);
		absent += index != id.index && !working ? 1 : 0;
	}
	return absent < *step.absent_max;
}

void Shard::NoteLogUnreachable()
{
	const Millis now = this->scheduler.Now();
	if (now - this->journal.ConfirmedAt() > LOG_UNREACHABLE_AFTER) {
		this->log_unreachable_at = now;
	}
}

bool Shard::ReportMissing(const ShardBox &box, Millis now) const
{
	/* A box whose report was removed may shut down within seconds without reporting that it leaves. */
	return !box.has_report && box.adopted && !box.unreachable && now - this->log_unreachable_at >= REPORT_BACK_WITHIN;
}

void Shard::DrainBoxes()
{
	const Millis now = this->scheduler.Now();
	this->RefillLossAllowed();
	this->counters.boxes_walked += this->boxes.size();
	for (ShardBox &box : this->boxes | std::views::values) {
		const bool report_missing = this->ReportMissing(box, now);
		if (box.over || (box.drain_until <= now && !report_missing)) {
			continue;
		}
		for (const TaskId &id : std::set<TaskId>(box.placed)) {
			ShardJob &job = this->jobs.at(id.job);
			ShardTask &task = job.tasks[job.IndexOf(id)];
			const StepSpec &step = job.spec.steps[id.step];
			const bool running = task.run_state == RunState::RS_RUNNING && !task.stop_wanted;
			const bool moves = step.lasting || (report_missing && step.checkpoints);
			if (running && moves && this->MayStop(job, id)) {
				this->WantPlannedStop(id, task, report_missing ? "report_gone" : "box_drained");
			} else if (box.gives_way && box.drain_until > now && this->MayGiveWay(job, id)) {
				this->GiveWay(job, id);
			}
		}
	}
}

bool Shard::AcceptsTasks(const ShardBox &box, Millis now) const
{
	return box.has_report && box.adopted && !box.unreachable && !box.over && !box.report.leaving &&
		   !this->InEvacuatedZone(box) && !box.unknown_runs && box.clock && now >= box.avoid_until &&
		   now >= box.drain_until && box.ends_listed < ENDS_LISTED_MAX;
}

bool Shard::Confirmed() const
{
	return this->scheduler.Now() - this->journal.ConfirmedAt() <= CONFIRMED_WITHIN;
}

BoxCounts Shard::CountBoxes() const
{
	const Millis now = this->scheduler.Now();
	BoxCounts out;
	for (const ShardBox &box : this->boxes | std::views::values) {
		out.listed += box.has_report ? 1 : 0;
		out.over += box.has_report && box.over ? 1 : 0;
		out.adopted += box.has_report && box.adopted ? 1 : 0;
		out.open += this->AcceptsTasks(box, now) ? 1 : 0;
		if (box.has_report && this->InEvacuatedZone(box)) {
			out.evacuated++;
			out.evacuated_tasks += box.placed.size();
		}
	}
	return out;
}

void Shard::TakeLoan(const ShareLoan &loan)
{
	this->book.ApplyLoan(loan);
	if (!loan.grants.empty()) {
		this->ScheduleTurn();
	}
}

Resources Shard::TotalCapacity() const
{
	Resources out;
	for (const ShardBox &it : this->boxes | std::views::values) {
		if (it.has_report && !it.over) {
			out += it.report.capacity;
		}
	}
	return out;
}

PoolStatus Shard::Status()
{
	const Millis now = this->scheduler.Now();
	const Millis wall_now = this->scheduler.WallNow();
	PoolStatus out;
	std::map<AccountName, Resources> ready;
	std::map<AccountName, Resources> late;
	bool any_late = false;
	for (ShardJob *job : this->live | std::views::values) {
		this->RefreshOutlook(*job, now);
		job->late = this->IsLate(*job, wall_now);
		any_late = any_late || job->late;
		(job->late ? late : ready)[job->spec.account] += job->outlook.ready;
	}
	const auto cpu_of = [this, capacity = this->TotalCapacity()](const std::map<AccountName, Resources> &all) {
		int64_t cpu = 0;
		for (const auto &[account, amount] : all) {
			cpu += static_cast<int64_t>(static_cast<double>(DominantCpu(amount, capacity)) *
										this->book.FittingFraction(account, amount));
		}
		return cpu;
	};
	out.waiting_cpu = cpu_of(ready);
	out.late_cpu = cpu_of(late);
	for (const auto &[incarnation, box] : this->boxes) {
		if (box.has_report && !box.over) {
			const Resources &capacity = box.report.capacity;
			const Resources late_use = any_late ? this->LateUseOf(box, wall_now) : Resources{};
			out.boxes.push_back(PoolBox{box.report.box, incarnation, static_cast<uint32_t>(box.placed.size()),
										DominantCpu(box.used, capacity), capacity.cpu, this->AcceptsTasks(box, now),
										DominantCpu(late_use, capacity), this->EndsIn(box)});
		}
	}
	for (const auto &[account, amount] : late) {
		ready[account] += amount;
	}
	out.shares = this->book.Report(ready);
	out.shares.owner_epoch = this->fence.Value();
	return out;
}
