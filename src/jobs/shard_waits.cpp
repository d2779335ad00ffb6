/** @file shard_waits.cpp Shard: why lasting tasks are without a run, for logs and metrics. */
#include "shard_base.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr Millis WAIT_CHECK_INTERVAL(1000); ///< Minimum time between two checks of the lasting tasks.
/** A task that has been without a run for this long is logged, and again after as long. */
constexpr Millis WAIT_LOGGED_AFTER(3000);
/** An owner appends at least every 350 ms, and a slow store takes 600 ms per append, so a log that has confirmed none
 * for this long doesn't answer. */
constexpr Millis LOG_SILENT_AFTER(1600);
/** A refused append is repeated at once, so a log that refuses has done so within this time. */
constexpr Millis LOG_REFUSED_WITHIN(1000);
/** A box that runs answers each lease order within the lease wait plus this time. */
constexpr Millis BOX_ANSWERS_WITHIN(1500);

} // namespace

void Shard::LogTask(const ShardJob &job, const TaskId &id, const char *event, std::initializer_list<EventField> fields)
{
	if (job.spec.steps[id.step].lasting) {
		this->log.WriteLasting(event, fields);
	} else {
		this->log.Write(event, fields);
	}
}

void Shard::NoteWaits()
{
	const Millis now = this->scheduler.Now();
	if (now - this->waits_noted_at < WAIT_CHECK_INTERVAL) {
		return;
	}
	this->waits_noted_at = now;
	std::erase_if(this->lasting_jobs, [this](const JobId &it) { return !this->live.contains(it); });
	WaitCheck check;
	check.before = std::exchange(this->waits, {});
	std::ranges::for_each(this->lasting_jobs, [&](const JobId &it) { this->NoteWaitsOf(check, *this->live.at(it)); });
}

void Shard::NoteWaitsOf(WaitCheck &check, const ShardJob &job)
{
	for (size_t position = 0; position < job.tasks.size(); position++) {
		const TaskId id = job.TaskAt(position);
		if (!job.spec.steps[id.step].lasting) {
			continue;
		}
		if (const std::optional<WaitReason> reason = this->WhyWithoutRun(check, job, id); reason) {
			this->NoteWait(check, job, id, *reason);
		}
	}
}

void Shard::NoteWait(const WaitCheck &check, const ShardJob &job, const TaskId &id, WaitReason reason)
{
	const ShardTask &task = job.tasks[job.IndexOf(id)];
	const auto before = check.before.find(id);
	/* A run may have begun and ended between two checks. */
	const bool continues = before != check.before.end() && task.confirmed_at <= before->second.since;
	LastingWait &wait = this->waits[id];
	wait = continues ? before->second : LastingWait{reason, this->LastKnownToRun(task)};
	wait.reason = reason;
	const Millis now = this->scheduler.Now();
	if (now - wait.since < WAIT_LOGGED_AFTER || now - wait.logged_at < WAIT_LOGGED_AFTER) {
		return;
	}
	wait.logged_at = now;
	this->log.WriteLasting("lasting_waiting",
						   {{"job", id.job.Value()},
							{"task", std::to_string(job.IndexOf(id))},
							{"run", std::to_string(task.run.Value())},
							{"why", NameOf(reason)},
							{"since_ms", std::to_string((now - wait.since).Value())},
							{"box", task.phase == TaskPhase::TP_PLACED ? IncarnationText(task.box) : ""}});
}

Millis Shard::LastKnownToRun(const ShardTask &task) const
{
	const auto box = this->boxes.find(task.box);
	if (task.phase == TaskPhase::TP_PLACED && task.run_state == RunState::RS_RUNNING && box != this->boxes.end()) {
		return std::max(task.confirmed_at, box->second.answered_at);
	}
	return task.phase_since;
}

std::optional<WaitReason> Shard::WhyWithoutRun(WaitCheck &check, const ShardJob &job, const TaskId &id)
{
	const ShardTask &task = job.tasks[job.IndexOf(id)];
	switch (task.phase) {
	case TaskPhase::TP_WAITING:
		return this->WhyNotPlaced(check, job, id);
	case TaskPhase::TP_PLACED:
		return this->WhyNotRunning(task);
	default:
		return std::nullopt;
	}
}

std::optional<WaitReason> Shard::WhyNotRecorded() const
{
	const Millis now = this->scheduler.Now();
	if (now - this->refused_at < LOG_REFUSED_WITHIN) {
		return WaitReason::WR_LOG_REFUSES;
	}
	return now - this->journal.ConfirmedAt() > LOG_SILENT_AFTER ? std::optional(WaitReason::WR_LOG_SILENT)
																: std::nullopt;
}

std::optional<WaitReason> Shard::WhyNotRunning(const ShardTask &task) const
{
	const auto it = this->boxes.find(task.box);
	if (it == this->boxes.end()) {
		return WaitReason::WR_BOX_SILENT;
	}
	const ShardBox &box = it->second;
	if (box.over) {
		return WaitReason::WR_RUN_HELD;
	}
	if (task.run_state == RunState::RS_RECORDING) {
		return this->WhyNotRecorded().value_or(WaitReason::WR_STARTING);
	}
	const Millis quiet = this->scheduler.Now() - box.answered_at;
	if (!box.adopted || box.unreachable || quiet > this->limits.lease_wait + BOX_ANSWERS_WITHIN) {
		return WaitReason::WR_BOX_SILENT;
	}
	if (task.run_state == RunState::RS_RUNNING) {
		return std::nullopt;
	}
	if (task.stop_wanted) {
		return WaitReason::WR_STOPPING;
	}
	return task.run_state == RunState::RS_UNKNOWN ? WaitReason::WR_START_UNANSWERED : WaitReason::WR_STARTING;
}

WaitReason Shard::WhyNotPlaced(WaitCheck &check, const ShardJob &job, const TaskId &id)
{
	const ShardTask &task = job.tasks[job.IndexOf(id)];
	const StepSpec &step = job.spec.steps[id.step];
	if (GivenUp(step, task)) {
		return WaitReason::WR_CRASH_LIMIT;
	}
	if (this->WaitsForCalm(step, task)) {
		return WaitReason::WR_NOT_CALM;
	}
	if (!this->Due(job, id.occurrence) || !this->StepReady(job, id.occurrence, id.step)) {
		return WaitReason::WR_NOT_DUE;
	}
	if (const std::optional<WaitReason> reason = this->WhyNotRecorded(); reason) {
		return *reason;
	}
	if (!this->book.Fits(job.spec.account, step.demand.Times(step.gang ? step.count : 1))) {
		return WaitReason::WR_ACCOUNT_SHARE;
	}
	const TaskId first{id.job, id.occurrence, id.step, 0};
	const StartKind kind = this->StartKindOf(task);
	/* All tasks of a step that start alike have the same boxes to choose from. */
	const auto [known, added] = check.no_box.try_emplace(std::pair(first, kind), WaitReason::WR_NEXT_ROUND);
	if (added) {
		known->second = this->WhyNoBox(check, job, first, kind);
	}
	return known->second;
}

WaitReason Shard::WhyNoBox(WaitCheck &check, const ShardJob &job, const TaskId &first, StartKind kind)
{
	if (!check.open) {
		check.open = this->OpenBoxes();
	}
	const StepSpec &step = job.spec.steps[first.step];
	std::vector<OpenBox> left = *check.open;
	std::erase_if(left, [&step](const OpenBox &it) {
		return !it.free.Holds(step.demand) ||
			   (!step.required_label.empty() && !it.box->report.HasLabel(step.required_label));
	});
	if (left.empty()) {
		return WaitReason::WR_NO_ROOM;
	}
	std::erase_if(left, [&](const OpenBox &it) {
		return step.per_box > 0 && this->CountStepTasksOn(*it.box, first) >= step.per_box;
	});
	if (left.empty()) {
		return WaitReason::WR_PER_BOX;
	}
	std::erase_if(left, [&](const OpenBox &it) { return !this->MayRun(job, first, *it.box); });
	if (left.empty()) {
		return WaitReason::WR_NO_TICKET;
	}
	std::erase_if(left, [&](const OpenBox &it) {
		return it.box->report.incarnation == this->quarantine_box || !MayStartOn(it, job.spec.id, kind);
	});
	const bool isolates = kind != StartKind::SK_SUSPECT || MayIsolate(*check.open, job.spec.id);
	return left.empty() || !isolates ? WaitReason::WR_ISOLATED : WaitReason::WR_NEXT_ROUND;
}
