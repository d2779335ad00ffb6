/** @file shard_incarnations.cpp Shard: ended incarnations of boxes and their runs.
 *
 * A box's agent may restart under the same id, if its report has a start time. Orders name only the id, so an order
 * meant for the previous incarnation may be carried out by the next one, even seconds later. A run whose order may
 * still arrive is held: its task starts nowhere else until the next incarnation has listed its runs or the order can't
 * arrive any more. */
#include "shard_base.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

/** Number of tokens per ownership; keeps the tokens of the next ownership higher. */
constexpr uint64_t TOKENS_PER_OWNERSHIP = 1ULL << 20U;

} // namespace

void Shard::RaiseFence(const BoxId &id)
{
	/* Once the new incarnation has seen the token, it refuses orders meant for the previous one under its id. */
	const uint64_t begin = this->fence.Value() * TOKENS_PER_OWNERSHIP;
	const FenceToken first = std::max(FenceToken(begin), this->forgotten_fence);
	const uint64_t count = begin + TOKENS_PER_OWNERSHIP - first.Value();
	this->fences.try_emplace(id, first, count).first->second.Raise();
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
		box->has_report = false; /* Its report was replaced. */
	}
}

void Shard::EndIncarnation(ShardBox &box, const char *reason)
{
	if (box.over) {
		return;
	}
	box.over = true;
	this->counters.restarted += box.has_successor ? 1 : 0;
	this->scheduler.Cancel(box.timer);
	this->log.Write("box_over", {{"incarnation", IncarnationText(box.report.incarnation)},
								 {"why", reason},
								 {"placed", std::to_string(box.placed.size())},
								 {"clock", std::to_string(box.clock.value_or(Millis(-1)).Value())},
								 {"ends_noted", std::to_string(box.ends_durable)}});
	this->LoseBox(box, reason, this->EvidenceOf(box));
	if (!box.placed.empty()) {
		this->held_ids.insert(box.report.incarnation.id);
		this->LogHeldRuns(box, reason);
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

bool Shard::IdMayBeUsedAgain(const ShardBox &box)
{
	const bool has_been_reported = !box.report.address.empty();
	return !has_been_reported || box.report.incarnation.started != Millis(0);
}

bool Shard::MayStillArrive(const ShardBox &box, const ShardTask &task) const
{
	const Millis now = this->scheduler.Now();
	/* Orders that a box had received are lost with it. Only an order in transit can reach the next incarnation: one
	 * that was sent after that one started or, if boxes that keep running leave orders unanswered, also an earlier one.
	 */
	const bool restored = task.run_state == RunState::RS_RESTORED;
	if (task.run_age == RunAge::RA_SETTLED || !IdMayBeUsedAgain(box)) {
		return false; /* All orders for it were sent long ago, or no other agent carries them out. */
	}
	const bool may_arrive = box.has_successor || restored || now - this->order_unanswered_at < ORDER_DELAY_MAX;
	const bool recorded_only = task.run_state == RunState::RS_RECORDING;
	const bool answered = task.run_state == RunState::RS_RUNNING && !task.uncertain && !task.answerer_unsure;
	return may_arrive && !recorded_only && !answered && now - task.ordered_at < ORDER_DELAY_MAX;
}

void Shard::ResolveLostRuns(ShardBox &box, const char *reason)
{
	for (const TaskId &id : std::set<TaskId>(box.placed)) {
		if (!box.over || !this->MayStillArrive(box, *this->FindTask(id))) {
			this->EndRun(id, RunEnding::RE_LAPSED, {}, reason);
		}
	}
}

void Shard::LoseBox(ShardBox &box, const char *reason, CrashEvidence evidence)
{
	if (evidence != CrashEvidence::CE_NONE) {
		this->box_lost_at = this->scheduler.Now();
	}
	/* Counts crashes of all tasks before any is removed, since NoteCrash() checks which others had just started. */
	std::set<JobId> failing;
	for (const TaskId &id : box.placed) {
		if (this->NoteCrash(box, id, evidence)) {
			failing.insert(id.job);
		}
	}
	this->ResolveLostRuns(box, reason);
	for (const JobId &id : failing) {
		if (ShardJob &job = this->jobs.at(id); !job.Over()) {
			this->counters.given_up++;
			this->EndJob(job, JobPhase::JP_FAILED, "crashes_boxes");
		}
	}
}

void Shard::LogHeldRuns(const ShardBox &box, const char *reason)
{
	for (const TaskId &id : box.placed) {
		const ShardJob &job = this->jobs.at(id.job);
		const ShardTask &task = job.tasks[job.IndexOf(id)];
		const char *unanswered = task.run_state == RunState::RS_RESTORED ? "restored" : "orders_unanswered";
		this->LogTask(job, id, "run_held",
					  {{"job", id.job.Value()},
					   {"task", std::to_string(job.IndexOf(id))},
					   {"run", std::to_string(task.run.Value())},
					   {"box", IncarnationText(box.report.incarnation)},
					   {"why", box.has_successor ? "has_successor" : unanswered},
					   {"box_over", reason}});
	}
}

bool Shard::HoldsRuns(const BoxId &id)
{
	return std::ranges::any_of(this->IncarnationsOf(id),
							   [](const ShardBox *it) { return it->over && !it->placed.empty(); });
}

void Shard::ResolveHeldRuns(const BoxId &id, const char *reason)
{
	if (this->held_ids.erase(id) == 0) {
		return;
	}
	for (ShardBox *box : this->IncarnationsOf(id)) {
		for (const TaskId &task : box->over ? std::set<TaskId>(box->placed) : std::set<TaskId>()) {
			this->EndRun(task, RunEnding::RE_LAPSED, {}, reason);
		}
	}
}

void Shard::EndEarlierIds(const BoxReport &report)
{
	/* An owner that has restored a run may know nothing else of the incarnation that it was placed on. */
	for (auto &[incarnation, box] : this->boxes) {
		const bool earlier =
				incarnation.id != report.incarnation.id && incarnation.started < report.incarnation.started;
		if (earlier && !box.has_report && box.report.box == report.box) {
			this->EndIncarnation(box, "other_id");
		}
	}
	this->NoteOtherId(report);
}

void Shard::NoteOtherId(const BoxReport &report)
{
	/* A machine has one agent, so no agent answers under its earlier ids. */
	for (const BoxId &id : std::set<BoxId>(this->held_ids)) {
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
	/* The order was meant for the previous incarnation, but this one has carried it out. */
	ShardJob &job = this->jobs.at(id.job);
	this->log.Write("run_inherited", {{"job", id.job.Value()},
									  {"task", std::to_string(job.IndexOf(id))},
									  {"run", std::to_string(run.Value())},
									  {"from", IncarnationText(task.box)},
									  {"to", IncarnationText(box.report.incarnation)}});
	this->counters.inherited++;
	this->RemoveFromBox(before->second, job, id);
	task.box = box.report.incarnation;
	task.run_age = RunAge::RA_NEW;
	task.loss_counted = false;
	this->AddToBox(box, job, id);
	this->MarkDirty(id.job);
	return true;
}
