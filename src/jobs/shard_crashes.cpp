/** @file shard_crashes.cpp Shard: detection of tasks that crash the boxes that start them.
 *
 * A crashing box ends up to some twenty runs, most of which did not cause the crash. The only evidence about a run is
 * how long its box stayed up after the run started, so only runs that had just started count a crash. Those among the
 * last starts become suspects; a suspect restarts isolated, which means that no other job's task starts beside it until
 * the box has answered afterwards. While tasks crash boxes, starts of different jobs on one box are spaced in time, so
 * that a crash can be attributed to one job. The tasks of that job are isolated crash causes. All of these start
 * together on a quarantine box, which is kept empty for them.
 *
 * A job fails when two boxes have crashed with one of its tasks, provided that the second crash is attributed to the
 * task or only other crash causes had just started beside it; it also fails when four boxes have crashed. A lasting
 * task is just not started any more after four crashes: other tasks of its job may be running, and failing the job
 * would stop those as well. */
#include "shard_base.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

/** A run whose box stayed up this long after the start doesn't count a crash, since lasting tasks see crashes of all
 * causes. A task that crashes its boxes later is not detected. For lasting tasks the limit is ISOLATION_FOR: with many
 * boxes crashing, tasks whose boxes had stayed up for 0.6 to 1.1 s each time were given up after four crashes. */
constexpr Millis PROVEN_AFTER(2000);
/** Time that a suspect is isolated: nothing else starts beside it, and the box is sent an order at the end. */
constexpr Millis ISOLATION_FOR(300);
/** Time that a run counts as one of the last starts of its box: a task that crashes boxes does so within 10 ms, and
 * answers take up to some tens of ms. */
constexpr Millis JUST_STARTED(60);
/** Time between starts of different jobs on one box while tasks crash boxes. Longer than JUST_STARTED, so that a crash
 * is attributed to one job. */
constexpr Millis START_SPACING(80);
/** Starts are spaced for this long after a crash that a task may have caused. */
constexpr Millis STARTS_SPACED_FOR(10000);
/** A task that was the last start is given up after this many crashes, the minimum that the platform allows. */
constexpr uint32_t CRASHES_CONFIRMED = 2;
/** Any task is given up after this many crashes, including possible ones: after three crashes it may be started twice
 * more (platform rules), and one crash of each kind may not have been counted. */
constexpr uint32_t CRASHES_MAX = 4;
/** One of this many boxes may have an isolated start at a time. With fewer, ordinary jobs wait while boxes crash for
 * other reasons. */
constexpr size_t BOXES_PER_ISOLATED_START = 2;
/** A suspect of a single crash waits this long for an isolated start, then starts like other tasks: a job must run
 * within 3 s once it is due (platform rules). */
constexpr Millis ISOLATION_WAIT_MAX(1500);
/** A crash cause waits this long for the quarantine box, where it ends no other runs; that is the time of two runs of
 * quick tasks. Then it starts like other suspects: a job must run within 3 s once it is due (platform rules). */
constexpr Millis QUARANTINE_WAIT_MAX(2000);
/** Reports are reliable when the store was last unreachable at least this long ago. */
constexpr Millis REPORTS_SURE_AFTER(10000);

} // namespace

CrashEvidence Shard::EvidenceOf(const ShardBox &box) const
{
	/* Boxes that are moved or maintained are drained before, and a box that leaves reports so or removes its report. A
	 * missing report may also have expired since the crash, an order to take the box down may be carried out seconds
	 * late or never, and while the store is unreachable none of this is seen. */
	const Millis now = this->scheduler.Now();
	/* A drain that started after the box was last heard from doesn't explain why it ended: a wave may choose a box that
	 * is down after a crash. */
	const bool emptied = now < box.drain_until && box.answered_at >= box.drain_since;
	if (box.report.leaving || emptied) {
		return CrashEvidence::CE_NONE;
	}
	const bool sure = box.listed && now >= box.planned_until && now - this->log_unreachable_at >= REPORTS_SURE_AFTER;
	return sure ? CrashEvidence::CE_CERTAIN : CrashEvidence::CE_POSSIBLE;
}

bool Shard::JustStarted(const ShardBox &box, const ShardTask &task)
{
	return task.run_state == RunState::RS_RUNNING && box.answered_at - task.ordered_at < JUST_STARTED;
}

void Shard::SpaceStarts()
{
	if (!this->StartsSpaced()) {
		this->log.Write("starts_spaced",
						{{"service", this->service.Value()}, {"for_ms", std::to_string(STARTS_SPACED_FOR.Value())}});
	}
	this->starts_spaced_until = this->scheduler.Now() + STARTS_SPACED_FOR;
}

std::optional<JobId> Shard::RecentStartOn(const ShardBox &box) const
{
	/* The last start is kept with the box, since checking every placed task in each round costs too much with many
	 * boxes. */
	const bool fresh = this->scheduler.Now() - box.last_start_at < START_SPACING;
	return fresh ? std::optional(box.last_start) : std::nullopt;
}

bool Shard::OthersJustStarted(const ShardBox &box, const JobId &job, bool causes_too)
{
	return std::ranges::any_of(box.placed, [&](const TaskId &it) {
		const ShardTask &task = *this->FindTask(it);
		return it.job != job && JustStarted(box, task) && (causes_too || !task.crash_cause);
	});
}

bool Shard::WaitsForQuarantine(const ShardTask &task) const
{
	return task.crash_cause && this->scheduler.Now() - task.since < QUARANTINE_WAIT_MAX;
}

int64_t Shard::CountLasting(const ShardBox &box) const
{
	return std::ranges::count_if(
			box.placed, [this](const TaskId &it) { return this->jobs.at(it.job).spec.steps[it.step].lasting; });
}

bool Shard::QuarantineWanted(const TaskId &id) const
{
	const ShardTask *task = this->FindTask(id);
	return task != nullptr && Startable(*task) && this->WaitsForQuarantine(*task) && !this->jobs.at(id.job).Over();
}

void Shard::ReserveQuarantineBox(PlaceRound &round)
{
	std::erase_if(this->crash_causes, [this](const TaskId &it) {
		const ShardTask *task = this->FindTask(it);
		return task == nullptr || !task->crash_cause || this->jobs.at(it.job).Over();
	});
	const bool wanted =
			std::ranges::any_of(this->crash_causes, [this](const TaskId &it) { return this->QuarantineWanted(it); });
	if (!wanted || round.open.size() <= 1) {
		this->quarantine_box.reset();
		return;
	}
	auto box = std::ranges::find_if(
			round.open, [this](const OpenBox &it) { return it.box->report.incarnation == this->quarantine_box; });
	if (box == round.open.end()) {
		/* Lasting tasks would keep it from becoming empty. */
		box = std::ranges::max_element(round.open, {}, [this](const OpenBox &it) {
			return std::pair(-this->CountLasting(*it.box), it.free.cpu);
		});
		this->quarantine_box = box->box->report.incarnation;
		this->log.Write("quarantine_box", {{"incarnation", IncarnationText(*this->quarantine_box)},
										   {"placed", std::to_string(box->box->placed.size())}});
	}
	/* All waiting crash causes start there in one round; in a later round some would already have started. */
	if (this->CountLasting(*box->box) == std::ssize(box->box->placed)) {
		box->quarantine_box = round.quarantine_box = true;
	} else {
		round.open.erase(box);
	}
}

bool Shard::CrashesBoxes(const StoredTask &task)
{
	return task.crashes + task.crashes_possible >= CRASHES_MAX;
}

bool Shard::Startable(const ShardTask &task)
{
	return task.phase == TaskPhase::TP_WAITING && !CrashesBoxes(task);
}

bool Shard::GivesUp(const ShardJob &job, const TaskId &id, bool last_start)
{
	const ShardTask &task = job.tasks[job.IndexOf(id)];
	if (job.spec.steps[id.step].lasting) {
		return std::ranges::all_of(job.tasks, [](const ShardTask &it) { return CrashesBoxes(it); });
	}
	return CrashesBoxes(task) || (task.crashes >= CRASHES_CONFIRMED && last_start);
}

bool Shard::NoteCrash(const ShardBox &box, const TaskId &id, CrashEvidence evidence)
{
	ShardJob &job = this->jobs.at(id.job);
	ShardTask &task = job.tasks[job.IndexOf(id)];
	const bool had_started = task.run_state == RunState::RS_RUNNING;
	const bool restored = task.run_state == RunState::RS_RESTORED;
	const Millis uptime = box.answered_at - task.ordered_at;
	const bool ignored = evidence == CrashEvidence::CE_NONE || task.run_state == RunState::RS_RECORDING;
	/* A lasting task that is given up stays absent for good, so only the shorter time counts for it. */
	const Millis proven = job.spec.steps[id.step].lasting ? ISOLATION_FOR : PROVEN_AFTER;
	if (ignored || (had_started && uptime >= proven)) {
		return false;
	}
	const bool others = this->OthersJustStarted(box, id.job, true);
	const bool fresh = (!had_started && !restored) || JustStarted(box, task);
	const bool was_suspect = std::exchange(task.suspect, task.suspect || fresh || task.crashes > 0);
	if (evidence == CrashEvidence::CE_POSSIBLE || !had_started) {
		/* A first start without an answer was mostly sent to a box that another task had crashed, so it isn't counted.
		 * One recorded by an earlier owner is counted; otherwise nodes that fail one after another would hide as many
		 * crashes. */
		const bool explained_by_others = !had_started && !restored && others && !was_suspect;
		task.crashes_possible += explained_by_others ? 0 : 1;
		return GivesUp(job, id, false);
	}
	task.crashes++;
	this->counters.crashed++;
	const bool just_started = JustStarted(box, task);
	const bool last_start = just_started && !others;
	if (just_started) {
		this->SpaceStarts();
	}
	this->LogCrash(box, id, last_start);
	/* Beside other crash causes, a crash counts against each of them: they were started together to lose only one box.
	 */
	const bool confirmed =
			last_start || (just_started && task.crash_cause && !this->OthersJustStarted(box, id.job, false));
	if (last_start) {
		task.crash_cause = true;
		this->crash_causes.insert(id);
	}
	return GivesUp(job, id, confirmed);
}

void Shard::LogCrash(const ShardBox &box, const TaskId &id, bool last_start)
{
	const ShardJob &job = this->jobs.at(id.job);
	const ShardTask &task = job.tasks[job.IndexOf(id)];
	this->log.Write("crash_counted", {{"job", id.job.Value()},
									  {"task", std::to_string(job.IndexOf(id))},
									  {"run", std::to_string(task.run.Value())},
									  {"incarnation", IncarnationText(box.report.incarnation)},
									  {"answered_for_ms", std::to_string((box.answered_at - task.ordered_at).Value())},
									  {"last_start", last_start ? "yes" : "no"},
									  {"crashes", std::to_string(task.crashes)},
									  {"possible", std::to_string(task.crashes_possible)}});
}

void Shard::ClearSuspicion(const ShardBox &box, const TaskId &id, ShardTask &task)
{
	const bool counted = task.suspect || task.crashes + task.crashes_possible > 0;
	if (!counted || box.answered_at - task.ordered_at < PROVEN_AFTER) {
		return;
	}
	/* The boxes it was lost with have crashed for other reasons. */
	task.suspect = task.crash_cause = false;
	task.crashes = task.crashes_possible = 0;
	this->MarkDirty(id.job);
}

bool Shard::StartsIsolated(const ShardTask &task) const
{
	return task.suspect && (task.crashes + task.crashes_possible >= CRASHES_CONFIRMED ||
							this->scheduler.Now() - task.since < ISOLATION_WAIT_MAX);
}

bool Shard::IsIsolated(const ShardBox &box, const ShardTask &task)
{
	return task.suspect &&
		   (task.run_state != RunState::RS_RUNNING || box.answered_at - task.ordered_at < ISOLATION_FOR);
}

void Shard::ScheduleIsolationCheck(const TaskId &id, RunNumber run)
{
	this->scheduler.After(ISOLATION_FOR, [this, id, run, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->CheckIsolated(id, run);
		}
	});
}

void Shard::CheckIsolated(const TaskId &id, RunNumber run)
{
	const ShardTask *task = this->FindTask(id);
	const bool there = task != nullptr && task->phase == TaskPhase::TP_PLACED && task->run == run;
	const auto box = there ? this->boxes.find(task->box) : this->boxes.end();
	if (box == this->boxes.end() || box->second.over || task->stop_wanted) {
		return;
	}
	/* The lease order under way may be answered seconds later. If the box crashed for another reason, it would then be
	 * unknown whether that was 10 ms or 2 s after the start. Ordering the current pace has no effect on the run. */
	this->orders.Pace(box->second.report, id, run, FULL_PACE, box->second.fence,
					  [this, sent = this->SentOrderTo(box->second),
					   still = std::weak_ptr<bool>(this->alive)](const OrderAnswer &answer) {
						  if (!still.expired() && this->ProcessOutcome(sent, answer)) {
							  this->ScheduleTurn();
						  }
					  });
}

std::optional<JobId> Shard::IsolatedJobOn(const ShardBox &box) const
{
	const auto it =
			std::ranges::find_if(box.suspects, [&](const TaskId &id) { return IsIsolated(box, *this->FindTask(id)); });
	return it == box.suspects.end() ? std::nullopt : std::optional(it->job);
}

bool Shard::MayIsolate(const std::vector<OpenBox> &open, const JobId &job)
{
	const auto others = std::ranges::count_if(
			open, [&job](const OpenBox &it) { return it.isolated_job && *it.isolated_job != job; });
	return static_cast<size_t>(others) < std::max<size_t>(open.size() / BOXES_PER_ISOLATED_START, 1);
}
