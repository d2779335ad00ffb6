/** @file shard_lives.cpp Shard: lives of boxes that have ended, and what came of their runs.
 *
 * A box's agent may start again under its id. Orders name the id alone, so one that was meant for the life before may
 * be carried out by the next one, also seconds later. A run whose order may still come is held: its task starts nowhere
 * else until the next life has listed what it runs, or the order can't come any more.
 */
#include "shard_base.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

/** An order that got no answer may be carried out 12 s after it was sent (the platform's kinds of faults), and orders
 * to start a run are repeated for 2 s. */
constexpr Millis ORDERS_COME_WITHIN(14000);

constexpr uint64_t LIVES_MOST = 1ULL << 20U; ///< Tokens of an ownership, so that the next one's are higher.

} // namespace

FenceToken Shard::NextFence()
{
	/* Each life gets a higher token than those before: once it has seen that, orders that were meant for the life
	 * before, under the same id, can't be carried out any more. */
	this->lives_seen = std::min(this->lives_seen + 1, LIVES_MOST - 1);
	return FenceToken(this->fence.Value() * LIVES_MOST + this->lives_seen);
}

std::vector<ShardBox *> Shard::LivesOf(const BoxId &id)
{
	std::vector<ShardBox *> out;
	for (auto it = this->boxes.lower_bound(BoxIncarnation{id, Millis(0)});
		 it != this->boxes.end() && it->first.id == id; ++it) {
		out.push_back(&it->second);
	}
	return out;
}

void Shard::EndOtherLives(ShardBox &current)
{
	for (ShardBox *box : this->LivesOf(current.report.incarnation.id)) {
		if (box == &current) {
			continue;
		}
		if (!std::exchange(current.follows, true)) {
			this->NoteLongestLease(current);
		}
		box->followed = true;
		this->EndLife(*box, "started_again");
		box->listed = false; /* Its report was replaced. */
	}
}

void Shard::EndLife(ShardBox &box, const char *why)
{
	if (box.over) {
		return;
	}
	box.over = true;
	this->counters.restarted += box.followed ? 1 : 0;
	this->scheduler.Cancel(box.timer);
	this->log.Write("box_over", {{"life", LifeText(box.report.incarnation)},
								 {"why", why},
								 {"placed", std::to_string(box.placed.size())},
								 {"clock", std::to_string(box.clock.value_or(Millis(-1)).Value())},
								 {"ends_noted", std::to_string(box.ends_durable)}});
	this->LoseTasks(box, why, this->EvidenceOf(box));
	if (!box.placed.empty()) {
		this->held.insert(box.report.incarnation.id);
	}
	this->Wake();
	if (const auto older = this->older_reports.extract(box.report.incarnation.id); !older.empty()) {
		this->OnReport(older.mapped());
	}
}

void Shard::NoteEnded(const std::set<BoxIncarnation> &lives)
{
	for (const BoxIncarnation &incarnation : lives) {
		if (const auto it = this->boxes.find(incarnation); it != this->boxes.end()) {
			this->EndLife(it->second, "machine_down");
		}
	}
}

bool Shard::MayBeCarriedOut(const ShardBox &box, const ShardTask &task) const
{
	const Millis now = this->scheduler.Now();
	/* What a box had taken in is gone with it. Only an order on its way comes to the next life: one that was sent since
	 * that began, or, where boxes that live on leave orders unanswered, also one of before. */
	const bool restored = task.run_state == RunState::RS_RESTORED;
	const bool come = box.followed || restored || now - this->order_lost_at < ORDERS_COME_WITHIN;
	const bool recorded_only = task.run_state == RunState::RS_RECORDING;
	const bool answered = task.run_state == RunState::RS_RUNNING && !task.uncertain;
	return come && !recorded_only && !answered && now - task.ordered_at < ORDERS_COME_WITHIN;
}

void Shard::LoseRuns(ShardBox &box, const char *why)
{
	for (const TaskId &id : std::set<TaskId>(box.placed)) {
		if (!box.over || !this->MayBeCarriedOut(box, *this->FindTask(id))) {
			this->Resolve(id, RunEnding::RE_LAPSED, {}, why);
		}
	}
}

void Shard::LoseTasks(ShardBox &box, const char *why, CrashEvidence evidence)
{
	/* All are judged before any of them is taken off the box. */
	std::set<JobId> guilty;
	for (const TaskId &id : box.placed) {
		if (this->NoteCrash(box, id, evidence)) {
			guilty.insert(id.job);
		}
	}
	this->LoseRuns(box, why);
	for (const JobId &id : guilty) {
		if (ShardJob &job = this->jobs.at(id); !job.Over()) {
			this->counters.given_up++;
			this->EndJob(job, JobPhase::JP_FAILED, "crashes_boxes");
		}
	}
}

bool Shard::Holds(const BoxId &id)
{
	return std::ranges::any_of(this->LivesOf(id), [](const ShardBox *it) { return it->over && !it->placed.empty(); });
}

void Shard::LoseHeld(const BoxId &id, const char *why)
{
	if (this->held.erase(id) == 0) {
		return;
	}
	for (ShardBox *box : this->LivesOf(id)) {
		for (const TaskId &task : box->over ? std::set<TaskId>(box->placed) : std::set<TaskId>()) {
			this->Resolve(task, RunEnding::RE_LAPSED, {}, why);
		}
	}
}

void Shard::NoteOtherId(const BoxReport &report)
{
	/* A machine has one agent: nobody answers under the ids that it had before. */
	for (const BoxId &id : std::set<BoxId>(this->held)) {
		const std::vector<ShardBox *> lives = this->LivesOf(id);
		const bool here = std::ranges::any_of(
				lives, [&report](const ShardBox *it) { return it->over && it->report.box == report.box; });
		if (id != report.incarnation.id && here) {
			this->LoseHeld(id, "other_id");
		}
	}
}

bool Shard::TakeRun(ShardBox &box, const TaskId &id, ShardTask &task, RunNumber run)
{
	if (task.phase != TaskPhase::TP_PLACED || task.run != run) {
		return false;
	}
	if (task.box == box.report.incarnation) {
		return true;
	}
	const auto before = this->boxes.find(task.box);
	if (task.box.id != box.report.incarnation.id || before == this->boxes.end() || !before->second.over) {
		return false;
	}
	/* The order was meant for the life before, and this one has carried it out. */
	ShardJob &job = this->jobs.at(id.job);
	this->log.Write("run_inherited", {{"job", id.job.Value()},
									  {"task", std::to_string(job.IndexOf(id))},
									  {"run", std::to_string(run.Value())},
									  {"from", LifeText(task.box)},
									  {"to", LifeText(box.report.incarnation)}});
	this->counters.inherited++;
	this->Take(before->second, job, id);
	task.box = box.report.incarnation;
	this->Put(box, job, id);
	this->Touch(id.job);
	return true;
}
