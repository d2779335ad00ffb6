/** @file shard_place.cpp Shard: which box runs which task, and in which order jobs are served. */
#include "shard_base.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

namespace {

constexpr double LATE_FACTOR = 3.0;  ///< Beyond this many times its objective a job is worth nothing to its caller.
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
	std::vector<std::pair<JobRank, ShardJob *>> order;
	for (const JobId &id : this->live) {
		ShardJob &job = this->jobs.at(id);
		if (const JobRank rank = this->RankOf(job); rank.waiting_work > 0) {
			order.emplace_back(rank, &job);
		}
	}
	std::ranges::stable_sort(order, {}, [](const auto &it) { return it.first; });
	std::ranges::for_each(order, [this](const auto &it) { this->PlaceJob(*it.second); });
}

double Shard::RunTimeOf(const ShardJob &job, const StepSpec &step) const
{
	/* Callers' guesses are far off; what the route's tasks took so far is not known for this job. The middle of both,
	 * on a scale of ratios, is better than either. */
	const auto guess = std::max(static_cast<double>(step.estimate.Value()), 1.0);
	const auto learned = this->run_times.find(job.spec.route);
	return learned == this->run_times.end() ? guess : std::sqrt(guess * learned->second);
}

JobRank Shard::RankOf(const ShardJob &job) const
{
	JobRank rank;
	rank.priority = job.route.priority;
	std::vector<double> chain_all(job.spec.steps.size());
	std::vector<double> chain_left(job.spec.steps.size());
	double longest_all = 0;
	double longest_left = 0;
	bool lasting = false;
	for (uint32_t n = 0; n < job.spec.steps.size(); n++) {
		const StepSpec &step = job.spec.steps[n];
		const double takes = this->RunTimeOf(job, step);
		const size_t first = job.IndexOf(TaskId{job.spec.id, 0, n, 0});
		const auto tasks = job.tasks | std::views::drop(first) | std::views::take(step.count);
		const auto open =
				std::ranges::count_if(tasks, [](const ShardTask &it) { return it.phase != TaskPhase::TP_DONE; });
		const auto waiting = std::ranges::count(tasks, TaskPhase::TP_WAITING, &ShardTask::phase);
		lasting = lasting || step.lasting;
		for (const uint32_t before : step.after) {
			chain_all[n] = std::max(chain_all[n], chain_all[before]);
			chain_left[n] = std::max(chain_left[n], chain_left[before]);
		}
		chain_all[n] += takes;
		chain_left[n] += open > 0 ? takes : 0;
		longest_all = std::max(longest_all, chain_all[n]);
		longest_left = std::max(longest_left, chain_left[n]);
		rank.waiting_work +=
				static_cast<double>(waiting) * takes * static_cast<double>(std::max<int64_t>(step.demand.cpu, 1));
	}
	if (job.spec.repeats > 0) {
		/* Only the waiting work of the first occurrence was counted: enough to know that there may be some. */
		rank.waiting_work = std::max(rank.waiting_work, 1.0);
	}
	const auto age = static_cast<double>((this->scheduler.WallNow() - job.spec.accepted).Value());
	const double objective = job.route.stretch * longest_all + static_cast<double>(job.route.headroom.Value());
	if (lasting) {
		rank.hope = JobHope::JH_LASTING;
	} else if (age + longest_left <= objective) {
		rank.hope = JobHope::JH_ON_TIME;
	} else {
		rank.hope = age + longest_left <= LATE_FACTOR * objective ? JobHope::JH_LATE : JobHope::JH_TOO_LATE;
	}
	return rank;
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
		/* Near its data first; what lasts, rather where it can stay; then where least is left: boxes that stay empty
		 * can be lent to another pool. */
		const std::tuple rank(!step.data_rack.empty() && box->report.HasLabel(step.data_rack),
							  !(step.lasting && box->due), -free.cpu);
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
	const auto members =
			job.tasks | std::views::drop(job.IndexOf(first)) | std::views::take(job.spec.steps[step].count);
	if (!std::ranges::all_of(members, [](const ShardTask &it) { return it.phase == TaskPhase::TP_WAITING; })) {
		return;
	}
	const uint32_t last_run =
			std::ranges::max(members | std::views::transform([](const ShardTask &it) { return it.run.Value(); }));
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
	this->orders.Start(
			it->second.report, order,
			[this, start, life = task->box, still = std::weak_ptr<bool>(this->alive)](const OrderAnswer &answer) {
				if (!still.expired()) {
					this->OnStarted(start.task, start.run, life, answer);
				}
			});
}

void Shard::OnStarted(const TaskId &id, RunNumber run, const BoxLife &life, OrderAnswer answer)
{
	if (!this->LifeStands(life, answer.outcome)) {
		return;
	}
	const auto box = this->boxes.find(life);
	ShardTask *task = this->FindTask(id);
	const bool current =
			task != nullptr && task->phase == TaskPhase::TP_PLACED && task->run == run && task->box == life;
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
									 {"outcome", NameOf(answer.outcome)}});
	if (answer.outcome == OrderOutcome::OO_UNKNOWN) {
		/* The next list shows it, or a stop makes sure that it never starts. */
		this->counters.unknown++;
		task->run_state = RunState::RS_UNKNOWN;
		return;
	}
	this->counters.refused++;
	const bool short_of_room = answer.outcome == OrderOutcome::OO_NO_ROOM ||
							   answer.outcome == OrderOutcome::OO_RUN_TOO_OLD ||
							   answer.outcome == OrderOutcome::OO_LEASE_PAST;
	if (box != this->boxes.end()) {
		box->second.avoid_until = this->scheduler.Now() + (short_of_room ? AVOID_REFUSED : AVOID_BUSY);
	}
	const bool invalid = answer.outcome == OrderOutcome::OO_REJECTED;
	this->Resolve(id, invalid ? RunEnding::RE_FAILED : RunEnding::RE_STOPPED, {}, "start_refused");
}
