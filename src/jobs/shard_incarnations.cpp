/** @file shard_incarnations.cpp Shard: lives of boxes that have ended, and what came of their runs.
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
constexpr Millis ORDER_DELAY_MAX(14000);

constexpr uint64_t TOKENS_PER_OWNERSHIP = 1ULL << 20U; ///< Tokens of an ownership, so that the next one's are higher.

} // namespace

FenceToken Shard::NextFence()
{
	/* Each life gets a higher token than those before: once it has seen that, orders that were meant for the life
	 * before, under the same id, can't be carried out any more. */
	this->incarnations_seen = std::min(this->incarnations_seen + 1, TOKENS_PER_OWNERSHIP - 1);
	return FenceToken(this->fence.Value() * TOKENS_PER_OWNERSHIP + this->incarnations_seen);
}

std::vector<ShardBox *> Shard::IncarnationsOf(const BoxId &id)
{
	std::vector<ShardBox *> out;
	for (auto it = this->boxes.lower_bound(BoxIncarnation{id, Millis(0)});
		 it != this->boxes.end() && it->first.id == id; ++it) {
		out.push_back(&it->second);
	}
	return out;
}

void Shard::EndOtherIncarnations(ShardBox &current)
{
	for (ShardBox *box : this->IncarnationsOf(current.report.incarnation.id)) {
		if (box == &current) {
			continue;
		}
		if (!std::exchange(current.has_predecessor, true)) {
			this->NoteLongestLease(current);
		}
		box->has_successor = true;
		this->EndIncarnation(*box, "started_again");
		box->listed = false; /* Its report was replaced. */
	}
}

void Shard::EndIncarnation(ShardBox &box, const char *why)
{
	if (box.over) {
		return;
	}
	box.over = true;
	this->counters.restarted += box.has_successor ? 1 : 0;
	this->scheduler.Cancel(box.timer);
	this->log.Write("box_over", {{"life", IncarnationText(box.report.incarnation)},
								 {"why", why},
								 {"placed", std::to_string(box.placed.size())},
								 {"clock", std::to_string(box.clock.value_or(Millis(-1)).Value())},
								 {"ends_noted", std::to_string(box.ends_durable)}});
	this->LoseBox(box, why, this->EvidenceOf(box));
	if (!box.placed.empty()) {
		this->held.insert(box.report.incarnation.id);
	}
	this->ScheduleTurn();
	if (const auto older = this->older_reports.extract(box.report.incarnation.id); !older.empty()) {
		this->OnReport(older.mapped());
	}
}

void Shard::NoteEnded(const std::set<BoxIncarnation> &incarnations)
{
	for (const BoxIncarnation &incarnation : incarnations) {
		if (const auto it = this->boxes.find(incarnation); it != this->boxes.end()) {
			this->EndIncarnation(it->second, "machine_down");
		}
	}
}

bool Shard::MayStillArrive(const ShardBox &box, const ShardTask &task) const
{
	const Millis now = this->scheduler.Now();
	/* What a box had taken in is gone with it. Only an order on its way comes to the next life: one that was sent since
	 * that began, or, where boxes that live on leave orders unanswered, also one of before. */
	const bool restored = task.run_state == RunState::RS_RESTORED;
	const bool come = box.has_successor || restored || now - this->order_unanswered_at < ORDER_DELAY_MAX;
	const bool recorded_only = task.run_state == RunState::RS_RECORDING;
	const bool answered = task.run_state == RunState::RS_RUNNING && !task.uncertain;
	return come && !recorded_only && !answered && now - task.ordered_at < ORDER_DELAY_MAX;
}

void Shard::ResolveLostRuns(ShardBox &box, const char *why)
{
	for (const TaskId &id : std::set<TaskId>(box.placed)) {
		if (!box.over || !this->MayStillArrive(box, *this->FindTask(id))) {
			this->EndRun(id, RunEnding::RE_LAPSED, {}, why);
		}
	}
}

void Shard::LoseBox(ShardBox &box, const char *why, CrashEvidence evidence)
{
	/* All are judged before any of them is taken off the box. */
	std::set<JobId> confirmed;
	for (const TaskId &id : box.placed) {
		if (this->NoteCrash(box, id, evidence)) {
			confirmed.insert(id.job);
		}
	}
	this->ResolveLostRuns(box, why);
	for (const JobId &id : confirmed) {
		if (ShardJob &job = this->jobs.at(id); !job.Over()) {
			this->counters.given_up++;
			this->EndJob(job, JobPhase::JP_FAILED, "crashes_boxes");
		}
	}
}

bool Shard::HoldsRuns(const BoxId &id)
{
	return std::ranges::any_of(this->IncarnationsOf(id),
							   [](const ShardBox *it) { return it->over && !it->placed.empty(); });
}

void Shard::ResolveHeldRuns(const BoxId &id, const char *why)
{
	if (this->held.erase(id) == 0) {
		return;
	}
	for (ShardBox *box : this->IncarnationsOf(id)) {
		for (const TaskId &task : box->over ? std::set<TaskId>(box->placed) : std::set<TaskId>()) {
			this->EndRun(task, RunEnding::RE_LAPSED, {}, why);
		}
	}
}

void Shard::NoteOtherId(const BoxReport &report)
{
	/* A machine has one agent: nobody answers under the ids that it had before. */
	for (const BoxId &id : std::set<BoxId>(this->held)) {
		const std::vector<ShardBox *> incarnations = this->IncarnationsOf(id);
		const bool here = std::ranges::any_of(
				incarnations, [&report](const ShardBox *it) { return it->over && it->report.box == report.box; });
		if (id != report.incarnation.id && here) {
			this->ResolveHeldRuns(id, "other_id");
		}
	}
}

bool Shard::ClaimRun(ShardBox &box, const TaskId &id, ShardTask &task, RunNumber run)
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
									  {"from", IncarnationText(task.box)},
									  {"to", IncarnationText(box.report.incarnation)}});
	this->counters.inherited++;
	this->RemoveFromBox(before->second, job, id);
	task.box = box.report.incarnation;
	this->AddToBox(box, job, id);
	this->MarkDirty(id.job);
	return true;
}
