/** @file shard_crashes.cpp Shard: tasks that crash the boxes that start them.
 *
 * A box that crashes takes up to some twenty runs with it, and mostly none of them is to blame. What is known of each
 * is how long its box has lived on after it began. So only runs that had just begun count a crash. Those that were
 * among the last ones are suspects, and start again where nothing else starts until the box has answered after it.
 * While tasks crash boxes, jobs start on one box apart, so that a crash names one of them: its tasks are blamed, and
 * all that are start together on a trial box, which is kept empty for them.
 *
 * A job fails when two boxes have crashed under one of its tasks and the second crash names it, or had only blamed ones
 * beside it, or when four have. A lasting task is only not started any more after four: the others of its job may be at
 * work, and to stop them would take them away, too.
 */
#include "shard_base.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

/** A run whose box has lived so long after its start doesn't count a crash: tasks that last see crashes of all causes.
 * One that crashes its boxes later than this is not found; a lasting one, later than ISOLATION_FOR: with many boxes
 * crashing, tasks whose boxes had lived 0.6 to 1.1 s each time were given up after four. */
constexpr Millis PROVEN_AFTER(2000);
/** A suspect is on trial for so long: nothing starts beside it, and the box is asked after it. */
constexpr Millis ISOLATION_FOR(300);
/** A run is among the last starts of its box for so long: a task that crashes boxes does it within 10 ms, and answers
 * take up to some tens. */
constexpr Millis JUST_BEGAN(60);
/** While tasks crash boxes, jobs start on one box so far apart: beyond JUST_BEGAN, so that a crash names one. */
constexpr Millis START_SPACING(80);
constexpr Millis STARTS_SPACED_FOR(10000); ///< Tasks are taken to crash boxes for so long after one may have.
/** With so many crashes a task is given up that was the last start: the least that the platform's page allows. */
constexpr uint32_t CRASHES_CONFIRMED = 2;
/** With so many, also possible ones, any task is given up: after three crashes it may be started twice more (the
 * platform's rules), and one crash of each may have gone uncounted. */
constexpr uint32_t CRASHES_MAX = 4;
/** One box of so many may be on trial at a time: with fewer, ordinary jobs wait while boxes crash by themselves. */
constexpr size_t BOXES_PER_ISOLATED_START = 2;
/** A task that only one box may have crashed under waits so long for a trial, then starts like others: a job whose
 * turn has come is to run within 3 s (the platform's rules). */
constexpr Millis ISOLATION_WAIT_MAX(1500);
/** A blamed task waits so long for the trial box, where it costs no others their runs: two runs of quick tasks. Then
 * it starts like other suspects: a job whose turn has come is to run within 3 s (the platform's rules). */
constexpr Millis QUARANTINE_WAIT_MAX(2000);
constexpr Millis REPORTS_SURE_AFTER(10000); ///< What reports say is sure when the store was away last before this.

} // namespace

CrashEvidence Shard::EvidenceOf(const ShardBox &box) const
{
	/* What we move or maintain is kept empty before, and who leaves says so, or takes its report away without a word. A
	 * report that has gone may also have lapsed since the crash, an order to take the box down may be done seconds
	 * late or never, and while the store is away nothing of this is heard. */
	const Millis now = this->scheduler.Now();
	/* What has begun after a box was last heard of can't tell why it ended: a wave may choose one that is down after a
	 * crash. */
	const bool emptied = now < box.drain_until && box.answered_at >= box.drain_since;
	if (box.report.leaving || emptied) {
		return CrashEvidence::CE_NONE;
	}
	const bool sure = box.listed && now >= box.planned_until && now - this->log_unreachable_at >= REPORTS_SURE_AFTER;
	return sure ? CrashEvidence::CE_CERTAIN : CrashEvidence::CE_POSSIBLE;
}

bool Shard::JustBegan(const ShardBox &box, const ShardTask &task)
{
	return task.run_state == RunState::RS_RUNNING && box.answered_at - task.ordered_at < JUST_BEGAN;
}

void Shard::SpaceStarts()
{
	if (!this->StartsSpaced()) {
		this->log.Write("starts_apart",
						{{"service", this->service.Value()}, {"for_ms", std::to_string(STARTS_SPACED_FOR.Value())}});
	}
	this->starts_spaced_until = this->scheduler.Now() + STARTS_SPACED_FOR;
}

std::optional<JobId> Shard::RecentStartOn(const ShardBox &box) const
{
	/* The last start is noted with its box: to look through what is placed there would grow with boxes times rounds. */
	const bool fresh = this->scheduler.Now() - box.last_start_at < START_SPACING;
	return fresh ? std::optional(box.last_start) : std::nullopt;
}

bool Shard::OthersJustBegan(const ShardBox &box, const JobId &job, bool causes_too)
{
	return std::ranges::any_of(box.placed, [&](const TaskId &it) {
		const ShardTask &task = *this->FindTask(it);
		return it.job != job && JustBegan(box, task) && (causes_too || !task.crash_cause);
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
		/* Tasks that last would keep it from getting empty. */
		box = std::ranges::max_element(round.open, {}, [this](const OpenBox &it) {
			return std::pair(-this->CountLasting(*it.box), it.free.cpu);
		});
		this->quarantine_box = box->box->report.incarnation;
		this->log.Write("trial_box", {{"life", IncarnationText(*this->quarantine_box)},
									  {"placed", std::to_string(box->box->placed.size())}});
	}
	/* All that wait start there in one round: in a later one, some would already have begun. */
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
	const bool began = task.run_state == RunState::RS_RUNNING;
	const bool restored = task.run_state == RunState::RS_RESTORED;
	const Millis lived = box.answered_at - task.ordered_at;
	const bool ignored = evidence == CrashEvidence::CE_NONE || task.run_state == RunState::RS_RECORDING;
	/* A lasting task that is given up is missed for good. */
	const Millis proven = job.spec.steps[id.step].lasting ? ISOLATION_FOR : PROVEN_AFTER;
	if (ignored || (began && lived >= proven)) {
		return false;
	}
	const bool others = this->OthersJustBegan(box, id.job, true);
	const bool fresh = (!began && !restored) || JustBegan(box, task);
	const bool was_suspect = std::exchange(task.suspect, task.suspect || fresh || task.crashes > 0);
	if (evidence == CrashEvidence::CE_POSSIBLE || !began) {
		/* A first start without an answer mostly came to a box that another one had crashed: not counted. One that an
		 * owner before has recorded is, or nodes killed in rows would hide as many crashes. */
		const bool attributed = !began && !restored && others && !was_suspect;
		task.crashes_possible += attributed ? 0 : 1;
		return GivesUp(job, id, false);
	}
	task.crashes++;
	this->counters.crashed++;
	const bool just_began = JustBegan(box, task);
	const bool last_start = just_began && !others;
	if (just_began) {
		this->SpaceStarts();
	}
	this->LogCrash(box, id, last_start);
	/* Beside others that are blamed as well, a crash speaks against each: they were tried together to lose one box. */
	const bool confirmed = last_start || (just_began && task.crash_cause && !this->OthersJustBegan(box, id.job, false));
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
	this->log.Write("crashed_under", {{"job", id.job.Value()},
									  {"task", std::to_string(job.IndexOf(id))},
									  {"run", std::to_string(task.run.Value())},
									  {"life", IncarnationText(box.report.incarnation)},
									  {"lived_ms", std::to_string((box.answered_at - task.ordered_at).Value())},
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
	/* The boxes that it lost have crashed by themselves. */
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
	/* The look at the box that is under way may be answered seconds later: then nobody knows whether a box that crashes
	 * by itself did so 10 ms or 2 s after the start. A pace that the run has already changes nothing. */
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
