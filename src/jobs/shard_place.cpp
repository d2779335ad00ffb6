/** @file shard_place.cpp Shard: which box runs which task, and in which order jobs are served. */
#include "shard_base.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace {

constexpr Millis AVOID_REFUSED(200); ///< A box that had no room is tried again after this.
constexpr Millis AVOID_BUSY(1000);   ///< A box that is unhealthy or can't be reached is tried again after this.

} // namespace

bool Shard::StepReady(const ShardJob &job, uint32_t occurrence, uint32_t step) const
{
	return std::ranges::all_of(job.spec.steps[step].after, [&](uint32_t before) {
		const size_t first = job.IndexOf(TaskId{job.spec.id, occurrence, before, 0});
		return std::ranges::all_of(job.tasks | std::views::drop(first) | std::views::take(job.spec.steps[before].count),
								   [](const ShardTask &it) { return it.phase == TaskPhase::TP_DONE; });
	});
}

void Shard::Place()
{
	std::vector<ShardJob *> order;
	std::ranges::transform(this->live, std::back_inserter(order), [this](const JobId &id) { return &this->jobs.at(id); });
	std::ranges::stable_sort(order, {}, [](const ShardJob *it) {
		return std::pair(it->route.priority, it->spec.accepted);
	});
	std::ranges::for_each(order, [this](ShardJob *it) { this->PlaceJob(*it); });
}

bool Shard::Due(const ShardJob &job, uint32_t occurrence) const
{
	const int64_t due = job.spec.first_due.Value() + int64_t{occurrence} * job.spec.interval.Value();
	return job.spec.repeats == 0 || this->scheduler.WallNow().Value() >= due;
}

int64_t Shard::WaitingCpu(const ShardJob &job) const
{
	int64_t sum = 0;
	for (const uint32_t occurrence : std::views::iota(0U, job.spec.Occurrences())) {
		for (uint32_t step = 0; step < job.spec.steps.size() && this->Due(job, occurrence); step++) {
			const size_t first = job.IndexOf(TaskId{job.spec.id, occurrence, step, 0});
			const auto tasks = job.tasks | std::views::drop(first) | std::views::take(job.spec.steps[step].count);
			const auto waiting = std::ranges::count(tasks, TaskPhase::TP_WAITING, &ShardTask::phase);
			if (waiting > 0 && this->StepReady(job, occurrence, step)) {
				sum += waiting * job.spec.steps[step].demand.cpu;
			}
		}
	}
	return sum;
}

void Shard::PlaceJob(ShardJob &job)
{
	for (const uint32_t occurrence : std::views::iota(0U, job.spec.Occurrences())) {
		if (!this->Due(job, occurrence)) {
			return;
		}
		for (const uint32_t step : std::views::iota(0U, static_cast<uint32_t>(job.spec.steps.size()))) {
			if (!this->StepReady(job, occurrence, step)) {
				continue;
			}
			if (job.spec.steps[step].gang) {
				this->PlaceGang(job, occurrence, step);
			} else {
				this->PlaceStep(job, occurrence, step);
			}
		}
	}
}

std::vector<ShardBox *> Shard::Candidates(const StepSpec &step)
{
	std::vector<ShardBox *> open;
	for (auto &[life, box] : this->boxes) {
		const bool fits_label = step.required_label.empty() || box.report.HasLabel(step.required_label);
		if (fits_label && this->Placing(box)) {
			open.push_back(&box);
		}
	}
	return open;
}

uint32_t Shard::CountOn(const ShardBox &box, const TaskId &first) const
{
	return static_cast<uint32_t>(std::ranges::count_if(box.placed, [&](const TaskId &it) {
		return it.job == first.job && it.occurrence == first.occurrence && it.step == first.step;
	}));
}

ShardBox *Shard::Choose(const std::vector<ShardBox *> &open, const ShardJob &job, const TaskId &first)
{
	const StepSpec &step = job.spec.steps[first.step];
	ShardBox *best = nullptr;
	std::tuple<bool, bool, int64_t> best_rank;
	for (ShardBox *box : open) {
		Resources free = box->report.capacity;
		free -= box->used;
		const bool room = free.Holds(step.demand) && (step.per_box == 0 || this->CountOn(*box, first) < step.per_box);
		if (!room) {
			continue;
		}
		/* Near its data first; what lasts, rather where it can stay; then where least is left: boxes that stay empty can
		 * be lent to another pool. */
		const std::tuple rank(!step.data_rack.empty() && box->report.HasLabel(step.data_rack), !(step.lasting && box->due),
							  -free.cpu);
		if (best == nullptr || rank > best_rank) {
			best = box;
			best_rank = rank;
		}
	}
	return best;
}

void Shard::PlaceStep(ShardJob &job, uint32_t occurrence, uint32_t step)
{
	const TaskId first{job.spec.id, occurrence, step, 0};
	std::vector<ShardBox *> open;
	for (TaskId id = first; const uint32_t index : std::views::iota(0U, job.spec.steps[step].count)) {
		id.index = index;
		const ShardTask &task = job.tasks[job.IndexOf(id)];
		if (task.phase != TaskPhase::TP_WAITING) {
			continue;
		}
		if (open.empty()) {
			open = this->Candidates(job.spec.steps[step]);
		}
		ShardBox *box = this->Choose(open, job, first);
		if (box == nullptr) {
			return;
		}
		this->Assign(job, id, *box, RunNumber(task.run.Value() + 1));
	}
}

void Shard::PlaceGang(ShardJob &job, uint32_t occurrence, uint32_t step)
{
	const TaskId first{job.spec.id, occurrence, step, 0};
	const auto members = job.tasks | std::views::drop(job.IndexOf(first)) | std::views::take(job.spec.steps[step].count);
	if (!std::ranges::all_of(members, [](const ShardTask &it) { return it.phase == TaskPhase::TP_WAITING; })) {
		return;
	}
	const uint32_t last_run = std::ranges::max(members | std::views::transform([](const ShardTask &it) { return it.run.Value(); }));
	/* Rack by rack first, when the step is slow over several; then over all boxes. All or none. */
	const std::vector<ShardBox *> open = this->Candidates(job.spec.steps[step]);
	std::vector<std::vector<ShardBox *>> choices;
	if (job.spec.steps[step].one_rack) {
		std::map<RackName, std::vector<ShardBox *>> racks;
		std::ranges::for_each(open, [&racks](ShardBox *it) { racks[it->report.rack].push_back(it); });
		std::ranges::copy(racks | std::views::values, std::back_inserter(choices));
	}
	choices.push_back(open);
	for (const std::vector<ShardBox *> &choice : choices) {
		std::vector<TaskId> assigned;
		const size_t starts_before = this->starts.size();
		for (TaskId id = first; const uint32_t index : std::views::iota(0U, job.spec.steps[step].count)) {
			id.index = index;
			ShardBox *box = this->Choose(choice, job, first);
			if (box == nullptr) {
				break;
			}
			this->Assign(job, id, *box, RunNumber(last_run + 1));
			assigned.push_back(id);
		}
		if (assigned.size() == job.spec.steps[step].count) {
			return;
		}
		this->starts.resize(starts_before, PendingStart{first, RunNumber()});
		for (const TaskId &id : assigned) {
			ShardTask &task = job.tasks[job.IndexOf(id)];
			this->Release(id, task);
			task.run = RunNumber(last_run);
		}
	}
}

void Shard::Assign(ShardJob &job, const TaskId &id, ShardBox &box, RunNumber run)
{
	ShardTask &task = job.tasks[job.IndexOf(id)];
	task.phase = TaskPhase::TP_PLACED;
	task.run = run;
	task.box = box.report.life;
	task.run_state = RunState::RS_RECORDING;
	task.stop_wanted = task.stop_sent = task.stop_confirmed = false;
	task.since = this->scheduler.Now();
	box.used += job.spec.steps[id.step].demand;
	box.placed.insert(id);
	if (job.phase == JobPhase::JP_QUEUED) {
		job.phase = JobPhase::JP_RUNNING;
	}
	this->starts.push_back(PendingStart{id, run});
	this->dirty.insert(id.job);
}

void Shard::SendStart(const PendingStart &start)
{
	ShardTask *task = this->FindTask(start.task);
	if (task == nullptr || task->phase != TaskPhase::TP_PLACED || task->run != start.run || this->deposed) {
		return;
	}
	const auto it = this->boxes.find(task->box);
	const std::optional<Millis> until = it == this->boxes.end() ? std::nullopt : this->LeaseEnd(it->second);
	if (task->stop_wanted || !until || it->second.over || it->second.report.leaving) {
		this->Resolve(start.task, RunEnding::RE_STOPPED, {}, "not_ordered");
		return;
	}
	const ShardJob &job = this->jobs.at(start.task.job);
	StartOrder order;
	order.task = start.task;
	order.run = start.run;
	order.payload = job.spec.payload;
	order.saved = task->saved;
	order.lease_until = *until;
	order.fence = this->fence;
	this->NoteLeaseAsked(it->second, *until);
	task->run_state = RunState::RS_ORDERED;
	this->counters.starts++;
	this->log.Write("run_ordered", {{"job", start.task.job.Value()},
									{"task", std::to_string(job.IndexOf(start.task))},
									{"run", std::to_string(start.run.Value())},
									{"box", task->box.Value()},
									{"waited_ms", std::to_string((this->scheduler.Now() - job.taken_at).Value())}});
	this->orders.Start(it->second.report, order,
					   [this, start, life = task->box,
						still = std::weak_ptr<bool>(this->alive)](const OrderAnswer &answer) {
						   if (!still.expired()) {
							   this->OnStarted(start.task, start.run, life, answer);
						   }
					   });
}

void Shard::OnStarted(const TaskId &id, RunNumber run, const BoxLife &life, OrderAnswer answer)
{
	if (answer.outcome == OrderOutcome::OO_FENCED) {
		this->Depose();
		return;
	}
	const auto box = this->boxes.find(life);
	if (box != this->boxes.end() && answer.outcome == OrderOutcome::OO_OTHER_LIFE) {
		this->EndLife(box->second, "other_life");
		return;
	}
	ShardTask *task = this->FindTask(id);
	const bool current = task != nullptr && task->phase == TaskPhase::TP_PLACED && task->run == run && task->box == life;
	if (!current) {
		return;
	}
	task->settled_at = this->scheduler.Now();
	if (answer.outcome == OrderOutcome::OO_DONE) {
		task->run_state = RunState::RS_RUNNING;
		return;
	}
	this->log.Write("start_failed", {{"job", id.job.Value()},
									 {"run", std::to_string(run.Value())},
									 {"box", life.Value()},
									 {"outcome", std::to_string(static_cast<int>(answer.outcome))}});
	if (answer.outcome == OrderOutcome::OO_UNKNOWN) {
		/* The next list shows it, or a stop makes sure that it never starts. */
		this->counters.unknown++;
		task->run_state = RunState::RS_UNKNOWN;
		return;
	}
	this->counters.refused++;
	const bool short_of_room = answer.outcome == OrderOutcome::OO_NO_ROOM || answer.outcome == OrderOutcome::OO_RUN_TOO_OLD ||
							   answer.outcome == OrderOutcome::OO_LEASE_PAST;
	if (box != this->boxes.end()) {
		box->second.avoid_until = this->scheduler.Now() + (short_of_room ? AVOID_REFUSED : AVOID_BUSY);
	}
	const bool invalid = answer.outcome == OrderOutcome::OO_REJECTED;
	this->Resolve(id, invalid ? RunEnding::RE_FAILED : RunEnding::RE_STOPPED, {}, "start_refused");
}
