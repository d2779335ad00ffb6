/** @file shard_late.cpp Shard: which jobs can't be on time any more, when boxes become empty, and late tasks that give
 * way. */
#include "shard_base.h"

#include <algorithm>
#include <ranges>

namespace {

/** A run is expected to take at least its age divided by this longer. A run that exceeds its expected run time would
 * otherwise seem to end at once for as long as it runs. */
constexpr int64_t OVERDUE_DIVISOR = 4;
constexpr uint64_t MILLICORES_PER_CORE = 1000; ///< Thousandths of a core in a core.
/** Expected time from the decision to stop a run to its end: a record and an order. */
constexpr Millis STOP_DURATION(300);
/** Maximum work since its last checkpoint that a run may lose by giving way. */
constexpr Millis LOSS_MAX(1000);
/** Maximum work that may be lost at once, in ms of work of all boxes of the service. */
constexpr double LOSS_BURST_MS = 200;
/** Maximum fraction of the work of all boxes that may be lost in the long term. */
constexpr double LOSS_SHARE = 0.02;

} // namespace

std::optional<Millis> Shard::AgeOf(const ShardTask &task) const
{
	if (task.run_state == RunState::RS_RECORDING) {
		return Millis(0);
	}
	/* An owner doesn't know when the runs of an earlier owner began. */
	return task.order_known ? std::optional(this->scheduler.Now() - task.ordered_at) : std::nullopt;
}

std::optional<Millis> Shard::TimeLeftOf(const ShardJob &job, const StepSpec &step, const ShardTask &task) const
{
	const std::optional<Millis> age = this->AgeOf(task);
	if (!age || step.lasting) {
		return std::nullopt;
	}
	const int64_t left = static_cast<int64_t>(this->RunTimeOf(job, step)) - age->Value();
	return Millis(std::max(left, age->Value() / OVERDUE_DIVISOR));
}

bool Shard::IsLate(const ShardJob &job, Millis wall_now) const
{
	if (RankOf(job, wall_now).timeliness < JobTimeliness::JT_LATE) {
		return false;
	}
	/* The rank of a job assumes that the runs under way have just begun. Without tasks that wait, the ends of the runs
	 * decide. */
	Millis longest(0);
	for (size_t n = 0; n < job.tasks.size(); n++) {
		const ShardTask &task = job.tasks[n];
		if (task.phase == TaskPhase::TP_DONE) {
			continue;
		}
		const StepSpec &step = job.spec.steps[job.TaskAt(n).step];
		const std::optional<Millis> left =
				task.phase == TaskPhase::TP_PLACED ? this->TimeLeftOf(job, step, task) : std::nullopt;
		if (!left) {
			return true;
		}
		longest = std::max(longest, *left);
	}
	const Millis age = wall_now - job.spec.requested_at;
	return static_cast<double>((age + longest).Value()) > ObjectiveOf(job);
}

Resources Shard::LateUseOf(const ShardBox &box, Millis wall_now)
{
	this->counters.tasks_walked += box.placed.size();
	Resources out;
	for (const TaskId &it : box.placed) {
		const ShardJob &job = this->jobs.at(it.job);
		const bool late = job.Over() ? RankOf(job, wall_now).timeliness >= JobTimeliness::JT_LATE : job.late;
		if (late) {
			out += job.spec.steps[it.step].demand;
		}
	}
	return out;
}

std::optional<Millis> Shard::EndsIn(const ShardBox &box)
{
	this->counters.tasks_walked += box.placed.size();
	Millis longest(0);
	for (const TaskId &id : box.placed) {
		const ShardJob &job = this->jobs.at(id.job);
		const StepSpec &step = job.spec.steps[id.step];
		const ShardTask &task = job.tasks[job.IndexOf(id)];
		const std::optional<Millis> left = this->TimeLeftOf(job, step, task);
		if (!left) {
			return std::nullopt;
		}
		const bool stops = task.stop_wanted || this->MayGiveWay(job, id);
		longest = std::max(longest, stops ? std::min(*left, STOP_DURATION) : *left);
	}
	return longest;
}

double Shard::LossOf(const ShardJob &job, const TaskId &id) const
{
	const ShardTask &task = job.tasks[job.IndexOf(id)];
	const Millis lost = this->scheduler.Now() - std::max(task.ordered_at, task.saved_at);
	return static_cast<double>(job.spec.steps[id.step].demand.cpu) * static_cast<double>(lost.Value());
}

bool Shard::MayGiveWay(const ShardJob &job, const TaskId &id) const
{
	const StepSpec &step = job.spec.steps[id.step];
	const ShardTask &task = job.tasks[job.IndexOf(id)];
	const bool running = task.run_state == RunState::RS_RUNNING && !task.stop_wanted && !job.Over();
	/* The other tasks of a gang would end with it. */
	if (!running || !job.late || !step.checkpoints || step.lasting || step.gang || task.gave_way || task.suspect ||
		!this->AgeOf(task)) {
		return false;
	}
	const double loss = this->LossOf(job, id);
	return loss <= static_cast<double>(step.demand.cpu * LOSS_MAX.Value()) && loss <= this->loss_allowed &&
		   this->MayStop(job, id);
}

void Shard::RefillLossAllowed()
{
	const Millis now = this->scheduler.Now();
	const auto cpu = static_cast<double>(this->TotalCapacity().cpu);
	const auto passed = static_cast<double>((now - this->loss_refilled_at).Value());
	this->loss_allowed = std::min(this->loss_allowed + LOSS_SHARE * cpu * passed, LOSS_BURST_MS * cpu);
	this->loss_refilled_at = now;
}

void Shard::GiveWay(ShardJob &job, const TaskId &id)
{
	const double loss = this->LossOf(job, id);
	this->loss_allowed -= loss;
	this->counters.gave_way++;
	this->counters.lost_core_ms += static_cast<uint64_t>(loss) / MILLICORES_PER_CORE;
	ShardTask &task = job.tasks[job.IndexOf(id)];
	task.gave_way = true;
	this->WantRecordedStop(id, task, "gave_way");
}
