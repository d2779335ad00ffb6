/** @file shard_runs.cpp Shard: ends of runs, and stop orders. */
#include "shard_base.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace {

constexpr double RUN_TIME_WEIGHT = 0.05; ///< Weight of the newest run in the learned run time; about 20 runs count.
constexpr Millis STOP_RETRY_AFTER(400);  ///< Delay before a stop that was refused or not sent is retried.
/** Delay before a stop is retried that has waited for its timeout or was overtaken by an order with a higher token. */
constexpr Millis STOP_RETRY_SOON(20);
/** A box whose clock is lower may have restarted unnoticed: the clock of its next incarnation can be as high by the
 * time at which that one answers, since answers take up to 3 s and clocks differ by 2%. */
constexpr Millis CLOCK_DISTINCT_FROM(5000);
/** Time within which a box that runs answers an order, also when it or the owner runs five times slower. */
constexpr Millis ANSWERED_WITHIN(250);

} // namespace

void Shard::Release(const TaskId &id, ShardTask &task)
{
	const ShardJob &job = this->jobs.at(id.job);
	if (const auto it = this->boxes.find(task.box); it != this->boxes.end()) {
		this->RemoveFromBox(it->second, job, id);
	}
	if (task.phase == TaskPhase::TP_PLACED) {
		this->book.Remove(job.spec.account, job.spec.steps[id.step].demand);
	}
	task.box = BoxIncarnation();
	task.box_name = BoxName();
	task.phase = TaskPhase::TP_WAITING;
	task.stop_wanted = task.stop_sent = task.stop_confirmed = false;
	task.leaving = task.stop_recorded = false;
	task.at_full_pace = false;
	task.pace = FULL_PACE;
	task.phase_since = this->scheduler.Now();
	this->MarkDirty(id.job);
}

void Shard::EndRun(const TaskId &id, RunEnding ending, const std::string &saved, const char *reason)
{
	ShardJob &job = this->jobs.at(id.job);
	ShardTask &task = job.tasks[job.IndexOf(id)];
	const StepSpec &step = job.spec.steps[id.step];
	const Millis ran = this->scheduler.Now() - task.phase_since;
	this->LogTask(job, id, "run_ended",
				  {{"job", id.job.Value()},
				   {"task", std::to_string(job.IndexOf(id))},
				   {"run", std::to_string(task.run.Value())},
				   {"box", IncarnationText(task.box)},
				   {"ending", NameOf(ending)},
				   {"why", reason},
				   {"ran_ms", std::to_string(ran.Value())}});
	if (!saved.empty()) {
		task.saved = saved;
	}
	this->Release(id, task);
	switch (ending) {
	case RunEnding::RE_DONE:
		this->counters.done++;
		this->LearnRunTime(job, this->scheduler.Now() - task.ordered_at);
		if (!step.lasting) {
			task.phase = TaskPhase::TP_DONE;
			if (step.gang) {
				this->FinishGang(job, id);
			}
			this->CheckCompleted(job);
		}
		return;
	case RunEnding::RE_FAILED:
		this->counters.failed++;
		this->OnRunFailed(job, id, task);
		return;
	case RunEnding::RE_LAPSED:
		this->counters.lapsed++;
		break;
	default:
		break;
	}
	if (step.gang) {
		this->BreakGang(job, id);
	}
}

void Shard::LearnRunTime(const ShardJob &job, Millis ran)
{
	if (this->Overloaded()) {
		return; /* An overloaded owner would mostly measure its own delay. */
	}
	const double ms = std::max(static_cast<double>(ran.Value()), 1.0);
	const auto [it, first] = this->run_times.try_emplace(job.spec.route, ms);
	if (!first) {
		it->second *= std::pow(ms / it->second, RUN_TIME_WEIGHT);
	}
}

void Shard::OnRunFailed(ShardJob &job, const TaskId &id, ShardTask &task)
{
	task.failures++;
	const StepSpec &step = job.spec.steps[id.step];
	if (!step.lasting && !job.Over() && job.has_policy && task.failures >= job.policy.failures_max) {
		this->EndJob(job, JobPhase::JP_FAILED, "task_failed");
		return;
	}
	if (step.gang) {
		this->BreakGang(job, id);
	}
}

void Shard::BreakGang(ShardJob &job, const TaskId &id)
{
	/* The other tasks of the gang can't continue without it. */
	for (TaskId other = id; const uint32_t index : std::views::iota(0U, job.spec.steps[id.step].count)) {
		other.index = index;
		ShardTask &task = job.tasks[job.IndexOf(other)];
		if (task.phase == TaskPhase::TP_PLACED) {
			this->WantStop(other, task, "gang_broken");
		}
	}
}

void Shard::FinishGang(ShardJob &job, const TaskId &id)
{
	for (TaskId other = id; const uint32_t index : std::views::iota(0U, job.spec.steps[id.step].count)) {
		other.index = index;
		ShardTask &task = job.tasks[job.IndexOf(other)];
		if (task.phase != TaskPhase::TP_DONE) {
			this->Release(other, task);
			task.phase = TaskPhase::TP_DONE;
		}
	}
}

void Shard::WantStop(const TaskId &id, ShardTask &task, const char *reason)
{
	if (task.stop_wanted) {
		if (task.leaving && !task.stop_confirmed) {
			this->SendStop(id); /* When the job is over by now, this doesn't wait for the record. */
		}
		return;
	}
	task.stop_wanted = true;
	this->LogTask(this->jobs.at(id.job), id, "run_stopping",
				  {{"job", id.job.Value()},
				   {"task", std::to_string(this->jobs.at(id.job).IndexOf(id))},
				   {"run", std::to_string(task.run.Value())},
				   {"box", IncarnationText(task.box)},
				   {"why", reason}});
	if (task.run_state != RunState::RS_RECORDING) {
		this->SendStop(id);
	}
}

void Shard::WantPlannedStop(const TaskId &id, ShardTask &task, const char *reason)
{
	if (!this->jobs.at(id.job).spec.steps[id.step].absent_max) {
		this->WantStop(id, task, reason);
		return;
	}
	this->WantRecordedStop(id, task, reason);
}

void Shard::WantRecordedStop(const TaskId &id, ShardTask &task, const char *reason)
{
	if (task.stop_wanted) {
		return;
	}
	/* Counted as absent from now on; the order is sent once this is recorded: see StoredTask::leaving. */
	task.leaving = true;
	this->WantStop(id, task, reason);
	this->stops.push_back(PendingStop{id, task.run});
	this->MarkDirty(id.job);
}

void Shard::OnStopRecorded(const PendingStop &stop)
{
	ShardTask *task = this->FindTask(stop.task);
	if (task != nullptr && task->phase == TaskPhase::TP_PLACED && task->run == stop.run) {
		task->stop_recorded = true;
		this->SendStop(stop.task);
	}
}

void Shard::SendStop(const TaskId &id)
{
	ShardTask *task = this->FindTask(id);
	if (task == nullptr || task->phase != TaskPhase::TP_PLACED || !task->stop_wanted || task->stop_sent ||
		this->superseded) {
		return;
	}
	if (task->leaving && !task->stop_recorded && !this->jobs.at(id.job).Over()) {
		return; /* OnStopRecorded() sends it. */
	}
	const auto it = this->boxes.find(task->box);
	if (it == this->boxes.end() || it->second.over || it->second.report.address.empty()) {
		return;
	}
	task->stop_sent = true;
	this->counters.stops++;
	const FenceToken token = this->FenceOf(it->second).ForOrder(this->scheduler.Now());
	this->orders.Stop(it->second.report, id, task->run, token,
					  [this, id, run = task->run, sent = this->SentOrderTo(it->second, token),
					   still = std::weak_ptr<bool>(this->alive)](const OrderAnswer &answer) {
						  if (!still.expired() && this->ProcessOutcome(sent, answer)) {
							  this->OnStopped(id, run, sent.incarnation, answer);
						  }
					  });
}

SentOrder Shard::SentOrderTo(const ShardBox &box, FenceToken token, Millis wait) const
{
	const Millis now = this->scheduler.Now();
	std::optional<Millis> clock_min;
	if (box.clock) {
		const auto passed = static_cast<double>((now - box.clock_at).Value()) * CLOCK_RATE_MIN;
		clock_min = *box.clock + Millis(static_cast<int64_t>(passed));
	}
	return SentOrder{box.report.incarnation, token, now, box.clock, clock_min, now + wait + ANSWERED_WITHIN};
}

bool Shard::FromOtherIncarnation(const SentOrder &sent, const OrderAnswer &answer)
{
	const bool clock_back = sent.clock && answer.box_clock && *answer.box_clock < *sent.clock;
	return clock_back || (answer.incarnation && *answer.incarnation != sent.incarnation);
}

bool Shard::FromSameIncarnation(const SentOrder &sent, const OrderAnswer &answer)
{
	return sent.clock && *sent.clock >= CLOCK_DISTINCT_FROM && answer.box_clock && *answer.box_clock >= *sent.clock_min;
}

bool Shard::ProcessOutcome(const SentOrder &sent, const OrderAnswer &answer)
{
	const auto box = this->boxes.find(sent.incarnation);
	/* The box or the successor of an ended incarnation may have seen our own, higher token. */
	const bool ended = box == this->boxes.end() || box->second.over;
	if (answer.outcome == OrderOutcome::OO_FENCED && (ended || sent.fence == this->FenceOf(box->second).Token())) {
		if (!ended) {
			this->OnSuperseded("fenced");
		}
		return false;
	}
	if (box == this->boxes.end()) {
		return true;
	}
	if (answer.outcome == OrderOutcome::OO_OTHER_INCARNATION) {
		this->EndIncarnation(box->second, "other_life");
		this->ResolveHeldRuns(sent.incarnation.id, "other_life");
	} else if (FromOtherIncarnation(sent, answer)) {
		/* The runs of its successor are processed when that incarnation is asked itself. */
		box->second.has_successor = true;
		this->EndIncarnation(box->second, "started_again");
	}
	if (box->second.over) {
		return false;
	}
	this->NoteOutcome(box->second, sent, answer.outcome);
	return true;
}

void Shard::OnStopped(const TaskId &id, RunNumber run, const BoxIncarnation &incarnation, const OrderAnswer &answer)
{
	const auto box = this->boxes.find(incarnation);
	ShardTask *task = this->FindTask(id);
	if (task == nullptr || task->phase != TaskPhase::TP_PLACED || task->run != run || task->box != incarnation) {
		return;
	}
	task->stop_sent = false;
	if (answer.outcome == OrderOutcome::OO_DONE) {
		/* The end is in the next list; if it isn't, the run never started. */
		task->stop_confirmed = true;
		task->state_known_at = this->scheduler.Now();
		if (box != this->boxes.end()) {
			this->RenewLease(box->second);
		}
		return;
	}
	const bool repeat_soon = answer.outcome == OrderOutcome::OO_UNKNOWN || answer.outcome == OrderOutcome::OO_FENCED;
	const Millis pause = repeat_soon ? STOP_RETRY_SOON : STOP_RETRY_AFTER;
	this->scheduler.After(pause, [this, id, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->SendStop(id);
		}
	});
}
