/** @file shard_crashes.cpp Shard: tasks that crash the boxes that start them.
 *
 * A box that crashes takes up to some twenty runs with it, and mostly none of them is to blame. What is known of each
 * is how long its box has lived on after it began. So only runs that had just begun count a crash, the last ones are
 * started again on boxes that take nothing else until they have answered after it, and a job fails when two boxes have
 * crashed under one of its tasks and it was the last start of the second, or when four have.
 *
 * Sixteen days in memory (24 ordinary jobs on four boxes; none, one, four or eight such tasks; owners killed, boxes
 * that crash by themselves, both, neither): 153 boxes crashed, all such tasks were given up and no ordinary job failed;
 * with lost runs not counted 269 boxes crashed and 76 of 384 ordinary jobs were never done. Giving up at two crashes of
 * any kind: 122 and 32. By the same evidence, but without boxes kept free of other starts: 150 and 15.
 */
#include "shard_base.h"

#include <algorithm>
#include <ranges>

namespace {

/** A run whose box has lived so long after its start doesn't count a crash: tasks that last see crashes of all causes.
 * One that crashes its boxes later than this is not found. */
constexpr Millis PROVEN_AFTER(2000);
/** A run is the last start of its box for so long: tasks that crash boxes were seen to do it within 10 ms. Nothing
 * starts beside a suspect meanwhile. */
constexpr Millis TRIAL_FOR(300);
/** With so many crashes a task is given up that was the last start: the least that the platform's page allows. */
constexpr uint32_t CRASHES_CERTAIN = 2;
constexpr uint32_t CRASHES_MOST = 4; ///< With so many crashes, also possible ones, any task is given up.
/** With so many, mostly possible ones, it is given up without two certain ones: after three crashes a task may be
 * started twice more (the platform's rules). */
constexpr uint32_t CRASHES_POSSIBLE_MOST = 5;
/** One box of so many may be on trial at a time. With one of three, ordinary jobs of the days above were done later
 * while boxes crashed by themselves. */
constexpr size_t BOXES_A_TRIAL = 2;
/** A task that only one box may have crashed under waits so long for a trial, then starts like others: a job whose
 * turn has come is to run within 3 s (the platform's rules). */
constexpr Millis TRIAL_WAIT(1500);
constexpr Millis SURE_AFTER(10000); ///< What reports say is sure when the store was away last before this.

} // namespace

bool Shard::HasCrashed(const ShardBox &box) const
{
	/* Whoever leaves says so or takes its report away; what we move or maintain was asked for before. While the store
	 * is away neither is heard. */
	const Millis now = this->scheduler.Now();
	return box.listed && !box.report.leaving && now >= box.planned_until && now - this->store_away_at >= SURE_AFTER;
}

bool Shard::JustBegan(const ShardBox &box, const ShardTask &task)
{
	return task.run_state == RunState::RS_RUNNING && box.answered_at - task.ordered_at < TRIAL_FOR;
}

bool Shard::OthersJustBegan(const ShardBox &box, const JobId &job)
{
	return std::ranges::any_of(box.placed,
							   [&](const TaskId &it) { return it.job != job && JustBegan(box, *this->FindTask(it)); });
}

bool Shard::CrashesBoxes(const ShardTask &task, bool last_start)
{
	const uint32_t all = task.crashes + task.crashes_possible;
	return (task.crashes >= CRASHES_CERTAIN && (last_start || all >= CRASHES_MOST)) || all >= CRASHES_POSSIBLE_MOST;
}

bool Shard::NoteCrash(const ShardBox &box, const TaskId &id, ShardTask &task, bool certain)
{
	const bool sent = task.run_state != RunState::RS_RECORDING;
	const bool began = task.run_state == RunState::RS_RUNNING;
	const Millis lived = box.answered_at - task.ordered_at;
	if (!sent || (began && lived >= PROVEN_AFTER)) {
		return false;
	}
	const bool others = this->OthersJustBegan(box, id.job);
	task.suspect = task.suspect || JustBegan(box, task) || task.crashes > 0;
	if (!certain || !began) {
		/* A start without an answer mostly came to a box that another one had crashed. */
		task.crashes_possible += !certain || task.suspect || !others ? 1 : 0;
		return CrashesBoxes(task, false);
	}
	task.crashes++;
	this->counters.crashed++;
	const bool last_start = JustBegan(box, task) && !others;
	this->log.Write("crashed_under", {{"job", id.job.Value()},
									  {"task", std::to_string(this->jobs.at(id.job).IndexOf(id))},
									  {"run", std::to_string(task.run.Value())},
									  {"life", box.report.life.Value()},
									  {"lived_ms", std::to_string(lived.Value())},
									  {"last_start", last_start ? "yes" : "no"},
									  {"crashes", std::to_string(task.crashes)},
									  {"possible", std::to_string(task.crashes_possible)}});
	return CrashesBoxes(task, last_start);
}

bool Shard::TriedAlone(const ShardTask &task) const
{
	return task.suspect &&
		   (task.crashes + task.crashes_possible >= CRASHES_CERTAIN || this->scheduler.Now() - task.since < TRIAL_WAIT);
}

bool Shard::OnTrial(const ShardBox &box, const ShardTask &task)
{
	return task.suspect && (task.run_state != RunState::RS_RUNNING || box.answered_at - task.ordered_at < TRIAL_FOR);
}

std::optional<JobId> Shard::TrialOn(const ShardBox &box) const
{
	const auto it =
			std::ranges::find_if(box.placed, [&](const TaskId &id) { return OnTrial(box, *this->FindTask(id)); });
	return it == box.placed.end() ? std::nullopt : std::optional(it->job);
}

bool Shard::TrialMayBegin(const std::vector<OpenBox> &open, const JobId &job)
{
	const auto others = std::ranges::count_if(open, [&job](const OpenBox &it) { return it.trial && *it.trial != job; });
	return static_cast<size_t>(others) < std::max<size_t>(open.size() / BOXES_A_TRIAL, 1);
}
