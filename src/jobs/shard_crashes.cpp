/** @file shard_crashes.cpp Shard: detection of tasks that crash the boxes that start them.
 *
 * A crashing box ends up to some twenty runs, most of which did not cause the crash. The only evidence about a run is
 * how long its box stayed up after the start, so a run counts the crash only when the box ended soon after the start or
 * had not confirmed it. A task that had just started then, or whose start had no answer, becomes a suspect. A suspect
 * restarts isolated: until the box has answered ISOLATION_FOR after the start, only suspects of the same job start
 * beside it. While tasks crash boxes, starts of different jobs on one box are spaced in time, so that a crash can be
 * attributed to one job. Tasks that had just started when no other job's task had are sole crash causes. All sole crash
 * causes start together on a quarantine box, on which only lasting tasks may stay.
 *
 * A job fails when two boxes have crashed with one of its tasks, provided that the newest crash is attributed to the
 * task: no other job's task had just started, or only other sole crash causes had. It also fails when four boxes have
 * crashed or may have crashed with one of its tasks. A lasting task is given up alone, since other tasks of its job may
 * be running; the job fails once all its tasks are. After four crashes that aren't all certain it is started once more
 * when boxes are calm, and that start decides: see GivenUp(). */
#include "shard_base.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

/** A run whose box stayed up this long after the start doesn't count the crash, and clears the task's counts. A task
 * that crashes its boxes later is not detected. Lasting tasks see crashes of all causes and are not started any more
 * after CRASHES_MAX, so for them ISOLATION_FOR is enough, and an order sent JUST_STARTED after the confirmed start that
 * was still answered. */
constexpr Millis PROVEN_AFTER(2000);
/** Time after the start for which a suspect stays isolated; the box is sent an order at the end to learn that it is
 * still up. */
constexpr Millis ISOLATION_FOR(300);
/** A run has just started when its box was last heard from less than this after the start order: a task that crashes
 * boxes does so within 10 ms, and answers take up to some tens of ms. */
constexpr Millis JUST_STARTED(60);
/** Time after the confirmed start of a lasting suspect at which its box is sent an order to learn that it is still up.
 * Longer than JUST_STARTED, so that an answer shows that the task hasn't crashed it. */
constexpr Millis SURVIVAL_CHECK_AFTER(80);
/** Time between starts of different jobs on one box while tasks crash boxes. Longer than JUST_STARTED, so that a crash
 * is attributed to one job. */
constexpr Millis START_SPACING(80);
/** Starts are spaced for this long after a crash that a task may have caused. */
constexpr Millis STARTS_SPACED_FOR(10000);
/** A job fails when this many boxes have certainly crashed with a task and the newest crash is attributed to it; the
 * minimum that the platform allows. */
constexpr uint32_t CRASHES_CONFIRMED = 2;
/** A task isn't started any more after this many crashes, certain and possible ones, and its job fails unless the task
 * is lasting. After three crashes a task may be started twice more (platform rules), and one crash of each kind may not
 * have been counted. A lasting task of which not all crashes are certain is started once more, when boxes are calm. */
constexpr uint32_t CRASHES_MAX = 4;
/** Boxes are calm when none was lost for this time, all orders were answered and the log was reachable: then it is
 * certain whether a start crashes its box. A lasting task must run again 7 s after the last fault (platform rules). */
constexpr Millis CALM_AFTER(3000);
/** One in this many open boxes, but at least one box, may be isolated at a time. If more were isolated, ordinary jobs
 * would wait while boxes crash for other reasons. */
constexpr size_t BOXES_PER_ISOLATED_START = 2;
/** A suspect of a single crash waits this long for an isolated start, then starts like other tasks: a job must run
 * within 3 s once it is due (platform rules). */
constexpr Millis ISOLATION_WAIT_MAX(1500);
/** A sole crash cause waits this long for the quarantine box, where it ends no runs but lasting ones; that is the time
 * of two runs of quick tasks. Then it starts like other suspects: a job must run within 3 s once it is due (platform
 * rules). */
constexpr Millis QUARANTINE_WAIT_MAX(2000);
/** A report that is present is reliable when the log was last unreachable at least this long ago. */
constexpr Millis REPORTS_SURE_AFTER(10000);

} // namespace

CrashEvidence Shard::EvidenceOf(const ShardBox &box) const
{
	/* A box is drained before it is moved or maintained, and one that leaves reports so or removes its report. Without
	 * a report, it is only possible that the box crashed: the report may have been removed or have expired since. The
	 * same holds while an order to take the box down may still be carried out, which may be seconds late or never, and
	 * while the log and with it the reports can't be read. */
	const Millis now = this->scheduler.Now();
	/* A drain that started after the last answer of the box doesn't explain why it ended: a maintenance wave may choose
	 * a box that is down after a crash. */
	const bool emptied = now < box.drain_until && box.answered_at >= box.drain_since;
	if (box.report.leaving || emptied) {
		return CrashEvidence::CE_NONE;
	}
	const bool sure =
			box.has_report && now >= box.planned_end_until && now - this->log_unreachable_at >= REPORTS_SURE_AFTER;
	return sure ? CrashEvidence::CE_CERTAIN : CrashEvidence::CE_POSSIBLE;
}

bool Shard::KnownUpFor(const ShardBox &box, const ShardTask &task, Millis span)
{
	/* Counts from the answer that confirmed the run to the sending of a later, answered order, so that neither a late
	 * answer nor an owner that is late itself makes the time look longer. */
	return task.run_state == RunState::RS_RUNNING && box.up_at - task.confirmed_at >= span;
}

Millis Shard::StartedAt(const ShardTask &task)
{
	/* Of several orders, the one that was carried out may be the last. */
	return task.uncertain ? task.confirmed_at : task.ordered_at;
}

bool Shard::JustStarted(const ShardBox &box, const ShardTask &task)
{
	return task.run_state == RunState::RS_RUNNING && box.answered_at - StartedAt(task) < JUST_STARTED;
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
	/* Uses the start noted with the box, since checking every placed task in each round costs too much with many boxes.
	 */
	const bool recent = this->scheduler.Now() - box.last_start_at < START_SPACING;
	return recent ? std::optional(box.last_start) : std::nullopt;
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
	return task.crash_cause && this->scheduler.Now() - task.phase_since < QUARANTINE_WAIT_MAX;
}

int64_t Shard::CountLasting(const ShardBox &box) const
{
	return std::ranges::count_if(
			box.placed, [this](const TaskId &it) { return this->jobs.at(it.job).spec.steps[it.step].lasting; });
}

bool Shard::QuarantineWanted(const TaskId &id) const
{
	const ShardTask *task = this->FindTask(id);
	return task != nullptr && Startable(this->jobs.at(id.job), this->jobs.at(id.job).spec.steps[id.step], *task) &&
		   this->WaitsForQuarantine(*task) && !this->jobs.at(id.job).Over();
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
		/* Lasting tasks would stay there and be lost in a crash, so take a box with the fewest. */
		box = std::ranges::max_element(round.open, {}, [this](const OpenBox &it) {
			return std::pair(-this->CountLasting(*it.box), it.free.cpu);
		});
		this->quarantine_box = box->box->report.incarnation;
		this->log.Write("quarantine_box", {{"incarnation", IncarnationText(*this->quarantine_box)},
										   {"placed", std::to_string(box->box->placed.size())}});
	}
	/* The box is open only while no other tasks but lasting ones are placed there. So all waiting crash causes start in
	 * one round; those that come later wait until these have ended, for QUARANTINE_WAIT_MAX at most. */
	if (this->CountLasting(*box->box) == std::ssize(box->box->placed)) {
		box->is_quarantine = round.has_quarantine = true;
	} else {
		round.open.erase(box);
	}
}

bool Shard::AtCrashLimit(const StoredTask &task)
{
	return task.crashes + task.crashes_possible >= CRASHES_MAX;
}

bool Shard::GivenUp(const StepSpec &step, const StoredTask &task)
{
	if (!step.lasting) {
		return AtCrashLimit(task);
	}
	/* Possible crashes alone never end a task that is to run until it is cancelled. */
	return task.crashes >= CRASHES_MAX || (task.crashes > 0 && task.crashes + task.crashes_possible > CRASHES_MAX);
}

bool Shard::Calm() const
{
	const Millis since =
			std::max({this->owned_since, this->order_unanswered_at, this->log_unreachable_at, this->box_lost_at});
	return this->scheduler.Now() - since >= CALM_AFTER;
}

bool Shard::WaitsForCalm(const StepSpec &step, const StoredTask &task) const
{
	return step.lasting && AtCrashLimit(task) && !this->Calm();
}

bool Shard::Startable(const ShardJob &job, const StepSpec &step, const ShardTask &task)
{
	/* Without a policy it isn't known whether a task may be started again after a failed run, unless it is lasting. */
	const bool may_follow_failures = job.has_policy || task.failures == 0 || step.lasting;
	return task.phase == TaskPhase::TP_WAITING && !GivenUp(step, task) && may_follow_failures;
}

bool Shard::FailsJob(const ShardJob &job, const TaskId &id, bool crash_attributed)
{
	const ShardTask &task = job.tasks[job.IndexOf(id)];
	const StepSpec &step = job.spec.steps[id.step];
	if (step.lasting) {
		return std::ranges::all_of(job.tasks, [&step](const ShardTask &it) { return GivenUp(step, it); });
	}
	return AtCrashLimit(task) || (task.crashes >= CRASHES_CONFIRMED && crash_attributed);
}

bool Shard::NoteCrash(const ShardBox &box, const TaskId &id, CrashEvidence evidence)
{
	ShardJob &job = this->jobs.at(id.job);
	ShardTask &task = job.tasks[job.IndexOf(id)];
	const bool was_running = task.run_state == RunState::RS_RUNNING;
	const bool restored = task.run_state == RunState::RS_RESTORED;
	const Millis uptime = box.answered_at - StartedAt(task);
	const bool ignored =
			evidence == CrashEvidence::CE_NONE || task.run_state == RunState::RS_RECORDING || task.loss_counted;
	/* A lasting task may be given up for good, so it counts a crash only if its box is not known to have outlived the
	 * time in which a task that crashes boxes does so. */
	const bool lasting = job.spec.steps[id.step].lasting;
	const bool outlived = box.answered_at - task.confirmed_at >= ISOLATION_FOR || KnownUpFor(box, task, JUST_STARTED);
	const bool proven = lasting ? outlived : uptime >= PROVEN_AFTER;
	const bool recorded_outlived = lasting && restored && task.run_age != RunAge::RA_NEW;
	if (ignored || recorded_outlived || (was_running && proven)) {
		return false;
	}
	task.loss_counted = true;
	this->MarkDirty(id.job);
	const bool others = this->OthersJustStarted(box, id.job, true);
	const bool may_be_cause = (!was_running && !restored) || JustStarted(box, task);
	const bool was_suspect = std::exchange(task.suspect, task.suspect || may_be_cause || task.crashes > 0 || lasting);
	/* The last start of a lasting task at the limit decides: boxes were calm when this owner ordered it. */
	const bool decides = lasting && AtCrashLimit(task) && task.order_known;
	if (!decides && (evidence == CrashEvidence::CE_POSSIBLE || !was_running)) {
		/* A start without an answer is not counted when tasks of other jobs had just started and this one wasn't a
		 * suspect yet: mostly the box had already been crashed by one of the others. A run recorded by an earlier owner
		 * is counted, since owners that fail one after another would otherwise hide a crash each. */
		const bool explained_by_others = !was_running && !restored && others && !was_suspect;
		task.crashes_possible += explained_by_others ? 0 : 1;
		if (!explained_by_others) {
			this->LogCrash(box, id, false, JustStarted(box, task) && !others);
		}
		return FailsJob(job, id, false);
	}
	task.crashes++;
	this->counters.crashed++;
	const bool just_started = JustStarted(box, task);
	const bool sole_start = just_started && !others;
	if (just_started) {
		this->SpaceStarts();
	}
	this->LogCrash(box, id, true, sole_start);
	/* A crash is attributed to each sole crash cause that had just started when nothing else had: these are started
	 * together so that only one box is lost. */
	const bool attributed =
			sole_start || (just_started && task.crash_cause && !this->OthersJustStarted(box, id.job, false));
	if (sole_start) {
		task.crash_cause = true;
		this->crash_causes.insert(id);
	}
	return FailsJob(job, id, attributed);
}

void Shard::LogCrash(const ShardBox &box, const TaskId &id, bool certain, bool last_start)
{
	const ShardJob &job = this->jobs.at(id.job);
	const ShardTask &task = job.tasks[job.IndexOf(id)];
	/* Without a confirmed start it isn't known how long the box has answered after it. */
	const bool confirmed = task.run_state == RunState::RS_RUNNING;
	const Millis answered_for = confirmed ? box.answered_at - StartedAt(task) : Millis(-1);
	this->LogTask(job, id, "crash_counted",
				  {{"job", id.job.Value()},
				   {"task", std::to_string(job.IndexOf(id))},
				   {"run", std::to_string(task.run.Value())},
				   {"incarnation", IncarnationText(box.report.incarnation)},
				   {"certain", certain ? "yes" : "no"},
				   {"answered_for_ms", std::to_string(answered_for.Value())},
				   {"last_start", last_start ? "yes" : "no"},
				   {"crashes", std::to_string(task.crashes)},
				   {"possible", std::to_string(task.crashes_possible)}});
	if (task.crashes + task.crashes_possible == CRASHES_MAX) {
		this->LogTask(job, id, "crash_limit",
					  {{"job", id.job.Value()},
					   {"task", std::to_string(job.IndexOf(id))},
					   {"run", std::to_string(task.run.Value())},
					   {"crashes", std::to_string(task.crashes)},
					   {"possible", std::to_string(task.crashes_possible)}});
	}
}

void Shard::ClearSuspicion(const ShardBox &box, const TaskId &id, ShardTask &task)
{
	const bool counted = task.suspect || task.crashes + task.crashes_possible > 0;
	const bool lasting = this->jobs.at(id.job).spec.steps[id.step].lasting;
	const bool proven =
			lasting ? KnownUpFor(box, task, ISOLATION_FOR) : box.answered_at - StartedAt(task) >= PROVEN_AFTER;
	if (!counted || !proven) {
		return;
	}
	this->ForgetCrashes(id, task);
}

void Shard::ForgetCrashes(const TaskId &id, ShardTask &task)
{
	/* Since a box has outlived a start of the task, the earlier ones have crashed for other reasons. */
	task.suspect = task.crash_cause = false;
	task.crashes = task.crashes_possible = 0;
	this->MarkDirty(id.job);
}

void Shard::ClearByLapse(const TaskId &id, ShardTask &task)
{
	const bool counted = task.suspect || task.crashes + task.crashes_possible > 0;
	if (counted && this->jobs.at(id.job).spec.steps[id.step].lasting) {
		this->ForgetCrashes(id, task);
	}
}

void Shard::NoteRunAge(const ShardBox &box, const TaskId &id, ShardTask &task)
{
	if (!this->jobs.at(id.job).spec.steps[id.step].lasting) {
		return;
	}
	RunAge age = task.run_age;
	const bool sole_order_answered = task.order_known && !task.uncertain && KnownUpFor(box, task, JUST_STARTED);
	if (sole_order_answered || this->scheduler.Now() - task.last_ordered_at >= ORDER_DELAY_MAX) {
		age = RunAge::RA_SETTLED;
	} else if (KnownUpFor(box, task, ISOLATION_FOR)) {
		age = std::max(age, RunAge::RA_OUTLIVED);
	}
	if (age > task.run_age) {
		task.run_age = age;
		this->MarkDirty(id.job);
	}
}

bool Shard::StartsIsolated(const ShardTask &task) const
{
	return task.suspect && (task.crashes + task.crashes_possible >= CRASHES_CONFIRMED ||
							this->scheduler.Now() - task.phase_since < ISOLATION_WAIT_MAX);
}

bool Shard::IsIsolated(const ShardBox &box, const ShardTask &task)
{
	return task.suspect &&
		   (task.run_state != RunState::RS_RUNNING || box.answered_at - StartedAt(task) < ISOLATION_FOR);
}

void Shard::ScheduleIsolationCheck(const TaskId &id, RunNumber run)
{
	const auto check = [this, id, run, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->CheckIsolated(id, run);
		}
	};
	this->scheduler.After(ISOLATION_FOR, check);
	if (this->jobs.at(id.job).spec.steps[id.step].lasting) {
		this->scheduler.After(SURVIVAL_CHECK_AFTER, check);
	}
}

void Shard::CheckIsolated(const TaskId &id, RunNumber run)
{
	const ShardTask *task = this->FindTask(id);
	const bool there = task != nullptr && task->phase == TaskPhase::TP_PLACED && task->run == run;
	const auto box = there ? this->boxes.find(task->box) : this->boxes.end();
	if (box == this->boxes.end() || box->second.over || task->stop_wanted) {
		return;
	}
	/* Makes the box answer now, since the lease order under way may be answered only seconds later. If the box crashed
	 * in between, it would be unknown whether that was 10 ms or 2 s after the start. Full pace is the pace at which
	 * runs start, and no other order changes it, so this order has no effect on the run. */
	const FenceToken token = this->FenceOf(box->second).ForOrder(this->scheduler.Now());
	this->orders.Pace(box->second.report, id, run, FULL_PACE, token,
					  [this, sent = this->SentOrderTo(box->second, token),
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
