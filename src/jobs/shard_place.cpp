/** @file shard_place.cpp Shard: choice of boxes for tasks, and start orders. */
#include "shard_base.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace {

/** Delay before a box is tried again that refused a start for lack of room, an old run number or a lease in the past.
 */
constexpr Millis AVOID_REFUSED(200);
constexpr Millis AVOID_BUSY(1000); ///< Delay before a box that is unhealthy or unreachable is tried again.
/** A start without an answer is retried after its age divided by this: 0.09 s after the first attempt. */
constexpr int64_t START_RETRY_DIVISOR = 4;
/** Maximum number of start orders under way. A node that falls behind keeps the others queued, where they don't time
 * out. */
constexpr size_t STARTS_UNDER_WAY_MAX = 100;
/** A start is retried for this long before the task is moved to another box. When 40% of the answers are lost, 98 of
 * 100 starts are answered by the fourth attempt. */
constexpr Millis START_RETRIED_FOR(2000);
/** Starts that may be queued: tasks without demands would fit on the boxes in any number, and the starts of later jobs
 * would wait behind all of them. Boxes take fewer orders at a time. */
constexpr size_t STARTS_QUEUED_MIN = 512;
constexpr size_t STARTS_QUEUED_PER_BOX = 32; ///< Added for each box.

} // namespace

bool PlaceRound::FitsNowhere(const Resources &demand) const
{
	return std::ranges::any_of(this->unplaceable, [&demand](const Resources &it) { return demand.Holds(it); });
}

PlaceRound Shard::BeginRound()
{
	this->counters.rounds++;
	PlaceRound round;
	round.open = this->OpenBoxes();
	return round;
}

std::vector<OpenBox> Shard::OpenBoxes()
{
	std::vector<OpenBox> open;
	const Millis now = this->scheduler.Now();
	const bool spaced = this->StartsSpaced();
	this->counters.boxes_walked += this->boxes.size();
	for (ShardBox &box : this->boxes | std::views::values) {
		if (AcceptsTasks(box, now)) {
			Resources free = box.report.capacity;
			free -= box.used;
			this->counters.tasks_walked += box.suspects.size();
			open.push_back(OpenBox{&box, this->IsolatedJobOn(box), spaced ? this->RecentStartOn(box) : std::nullopt,
								   false, free});
		}
	}
	return open;
}

void Shard::Place()
{
	std::vector<RankedJob> jobs = this->JobsInOrder();
	if (jobs.empty()) {
		return;
	}
	PlaceRound round = this->BeginRound();
	this->ReserveQuarantineBox(round);
	this->MarkBeyondShares(jobs, round);
	for (const RankedJob &it : jobs) {
		if (!this->MayQueueStarts()) {
			return; /* Jobs that are accepted meanwhile may precede the others in the next round. */
		}
		this->PlaceJob(round, *it.job);
	}
}

bool Shard::MayQueueStarts() const
{
	const size_t queued = this->starts.size() + this->recorded_starts.size() + this->starts_under_way;
	return queued < STARTS_QUEUED_MIN + STARTS_QUEUED_PER_BOX * this->boxes.size();
}

void Shard::PlaceJob(PlaceRound &round, ShardJob &job)
{
	for (const uint32_t occurrence : std::views::iota(0U, job.spec.Occurrences())) {
		if (!this->Due(job, occurrence)) {
			return;
		}
		for (const uint32_t step : std::views::iota(0U, static_cast<uint32_t>(job.spec.steps.size()))) {
			const bool unplaceable =
					round.FitsNowhere(job.spec.steps[step].demand) && !this->MayUseQuarantine(round, job);
			if (unplaceable || !this->StepReady(job, occurrence, step)) {
				continue;
			}
			if (job.spec.steps[step].gang) {
				this->PlaceGang(round, job, occurrence, step);
			} else {
				this->PlaceStep(round, job, occurrence, step);
			}
		}
	}
}

uint32_t Shard::CountStepTasksOn(const ShardBox &box, const TaskId &first) const
{
	return static_cast<uint32_t>(std::ranges::count_if(box.placed, [&](const TaskId &it) {
		return it.job == first.job && it.occurrence == first.occurrence && it.step == first.step;
	}));
}

bool Shard::MayRun(const ShardJob &job, const TaskId &first, const ShardBox &box) const
{
	return !job.policy.needs_ticket ||
		   this->tickets.Find(StepId{first.job, first.occurrence, first.step}, box.report.incarnation) != nullptr;
}

void Shard::WantTickets(const PlaceRound &round, const ShardJob &job, const TaskId &first)
{
	const StepSpec &step = job.spec.steps[first.step];
	const auto tasks = job.tasks | std::views::drop(job.IndexOf(first)) | std::views::take(step.count);
	const auto waiting = std::ranges::count(tasks, TaskPhase::TP_WAITING, &ShardTask::phase);
	std::vector<OpenBox> candidates;
	std::ranges::copy_if(round.open, std::back_inserter(candidates), [&step](const OpenBox &it) {
		return it.free.Holds(step.demand) &&
			   (step.required_label.empty() || it.box->report.HasLabel(step.required_label));
	});
	/* Same order as in ChooseBox(): boxes near the data first, then the fullest. */
	std::ranges::stable_sort(candidates, std::ranges::greater{}, [&step](const OpenBox &it) {
		return std::tuple(!step.data_rack.empty() && it.box->report.HasLabel(step.data_rack), -it.free.cpu);
	});
	std::vector<BoxIncarnation> incarnations;
	std::ranges::transform(candidates, std::back_inserter(incarnations),
						   [](const OpenBox &it) { return it.box->report.incarnation; });
	this->tickets.Request(StepId{first.job, first.occurrence, first.step}, incarnations, static_cast<size_t>(waiting));
}

StartKind Shard::StartKindOf(const ShardTask &task) const
{
	if (this->WaitsForQuarantine(task)) {
		return StartKind::SK_CRASH_CAUSE;
	}
	return this->StartsIsolated(task) ? StartKind::SK_SUSPECT : StartKind::SK_PLAIN;
}

bool Shard::MayUseQuarantine(const PlaceRound &round, const ShardJob &job) const
{
	/* The quarantine box may have room for a demand that fits on no other box. */
	return round.has_quarantine && std::ranges::any_of(this->crash_causes, [this, &job](const TaskId &it) {
			   return it.job == job.spec.id && this->QuarantineWanted(it);
		   });
}

bool Shard::MayStartOn(const OpenBox &open, const JobId &job, StartKind kind)
{
	if (open.is_quarantine || kind == StartKind::SK_CRASH_CAUSE) {
		return open.is_quarantine && kind == StartKind::SK_CRASH_CAUSE;
	}
	const bool spaced = !open.recent_start || open.recent_start == job;
	return spaced && (!open.isolated_job || (kind == StartKind::SK_SUSPECT && open.isolated_job == job));
}

OpenBox *Shard::ChooseBox(std::vector<OpenBox> &open, const ShardJob &job, const TaskId &first, StartKind kind)
{
	const StepSpec &step = job.spec.steps[first.step];
	const bool suspect = kind == StartKind::SK_SUSPECT;
	if (suspect && !MayIsolate(open, job.spec.id)) {
		return nullptr;
	}
	OpenBox *best = nullptr;
	std::tuple<bool, bool, bool, bool, int64_t> best_rank;
	const Millis now = this->scheduler.Now();
	for (OpenBox &it : open) {
		const BoxReport &report = it.box->report;
		const bool fits = it.free.Holds(step.demand) &&
						  (step.required_label.empty() || report.HasLabel(step.required_label)) &&
						  (step.per_box == 0 || this->CountStepTasksOn(*it.box, first) + it.picked < step.per_box) &&
						  MayStartOn(it, job.spec.id, kind) && this->MayRun(job, first, *it.box);
		if (!fits) {
			continue;
		}
		/* Boxes near the data come first, then for lasting tasks those that stay, then those that aren't slow from
		 * their start, then the one with the least room: boxes that stay empty can be lent to another pool. A suspect
		 * goes to a box where tasks of its own job are already isolated, so that a crash costs only one box, otherwise
		 * to the one with the most room, where it does the least harm. */
		const std::tuple rank(it.isolated_job.has_value(), !step.data_rack.empty() && report.HasLabel(step.data_rack),
							  !(step.lasting && it.box->due), now >= it.box->warm_at,
							  suspect ? it.free.cpu : -it.free.cpu);
		if (best == nullptr || rank > best_rank) {
			best = &it;
			best_rank = rank;
		}
	}
	return best;
}

void Shard::NoteStarting(OpenBox &open, const JobId &job, StartKind kind) const
{
	if (kind != StartKind::SK_PLAIN) {
		open.isolated_job = job;
	}
	if (this->StartsSpaced()) {
		open.recent_start = job;
	}
}

void Shard::PlaceStep(PlaceRound &round, ShardJob &job, uint32_t occurrence, uint32_t step)
{
	const StepSpec &spec = job.spec.steps[step];
	const TaskId first{job.spec.id, occurrence, step, 0};
	for (TaskId id = first; const uint32_t index : std::views::iota(0U, spec.count)) {
		if (!this->MayQueueStarts()) {
			return;
		}
		id.index = index;
		const ShardTask &task = job.tasks[job.IndexOf(id)];
		const StartKind kind = this->StartKindOf(task);
		if (!Startable(job, spec, task) || this->WaitsForCalm(spec, task) ||
			(kind != StartKind::SK_CRASH_CAUSE && round.FitsNowhere(spec.demand))) {
			continue;
		}
		if (!this->book.Fits(job.spec.account, spec.demand)) {
			return; /* The other tasks of the step have the same demand. */
		}
		OpenBox *it = this->ChooseBox(round.open, job, first, kind);
		if (it == nullptr) {
			if (job.policy.needs_ticket) {
				this->WantTickets(round, job, first);
			}
			if (kind != StartKind::SK_PLAIN) {
				continue; /* The other tasks of the step may still start. */
			}
			/* Tasks with the same or a larger demand need not be tried in this round. */
			if (!job.policy.needs_ticket && spec.required_label.empty() && spec.per_box == 0) {
				round.unplaceable.push_back(spec.demand);
			}
			if (!this->MayUseQuarantine(round, job)) {
				return;
			}
			continue;
		}
		it->free -= spec.demand;
		this->NoteStarting(*it, job.spec.id, kind);
		this->Assign(job, id, *it->box, RunNumber(task.run.Value() + 1));
	}
}

bool Shard::PickGang(std::vector<OpenBox> &open, const ShardJob &job, const TaskId &first, StartKind kind,
					 std::vector<ShardBox *> &picks)
{
	const StepSpec &step = job.spec.steps[first.step];
	picks.clear();
	while (picks.size() < step.count) {
		OpenBox *it = this->ChooseBox(open, job, first, kind);
		if (it == nullptr) {
			return false;
		}
		it->free -= step.demand;
		it->picked++;
		picks.push_back(it->box);
	}
	return true;
}

void Shard::PlaceGang(PlaceRound &round, ShardJob &job, uint32_t occurrence, uint32_t step)
{
	const StepSpec &spec = job.spec.steps[step];
	const TaskId first{job.spec.id, occurrence, step, 0};
	const auto members = job.tasks | std::views::drop(job.IndexOf(first)) | std::views::take(spec.count);
	const auto may_start = [&](const ShardTask &it) {
		return Startable(job, spec, it) && !this->WaitsForCalm(spec, it);
	};
	if (!std::ranges::all_of(members, may_start) || !this->book.Fits(job.spec.account, spec.demand.Times(spec.count))) {
		return;
	}
	const uint32_t last_run =
			std::ranges::max(members | std::views::transform([](const ShardTask &it) { return it.run.Value(); }));
	/* Single racks are tried first when the step is slower over several, then all boxes together. Either all tasks are
	 * placed or none. */
	std::vector<std::vector<OpenBox>> choices;
	if (spec.one_rack) {
		std::map<RackName, std::vector<OpenBox>> racks;
		std::ranges::for_each(round.open, [&racks](const OpenBox &it) { racks[it.box->report.rack].push_back(it); });
		std::ranges::copy(racks | std::views::values, std::back_inserter(choices));
	}
	choices.push_back(round.open);
	std::vector<ShardBox *> picks;
	/* The tasks start together on several boxes, so one suspect makes all of them suspect. */
	const bool suspect = std::ranges::any_of(members, [this](const ShardTask &it) { return this->StartsIsolated(it); });
	const StartKind kind = suspect ? StartKind::SK_SUSPECT : StartKind::SK_PLAIN;
	const bool found =
			std::ranges::any_of(choices, [&](auto &open) { return this->PickGang(open, job, first, kind, picks); });
	if (!found && job.policy.needs_ticket) {
		this->WantTickets(round, job, first);
	}
	for (TaskId id = first; const uint32_t index : std::views::iota(0U, found ? spec.count : 0U)) {
		id.index = index;
		this->Assign(job, id, *picks[index], RunNumber(last_run + 1));
		OpenBox &open = *std::ranges::find(round.open, picks[index], &OpenBox::box);
		open.free -= spec.demand;
		this->NoteStarting(open, job.spec.id, kind);
	}
}

void Shard::Assign(ShardJob &job, const TaskId &id, ShardBox &box, RunNumber run)
{
	ShardTask &task = job.tasks[job.IndexOf(id)];
	task.phase = TaskPhase::TP_PLACED;
	task.run = run;
	task.box = box.report.incarnation;
	task.box_name = box.report.box;
	task.run_state = RunState::RS_RECORDING;
	task.uncertain = task.answerer_unsure = false;
	task.stop_wanted = task.stop_sent = task.stop_confirmed = false;
	task.leaving = task.stop_recorded = false;
	task.order_known = true;
	task.run_age = RunAge::RA_NEW;
	task.loss_counted = false;
	task.phase_since = this->scheduler.Now();
	box.last_start = id.job;
	box.last_start_at = task.phase_since;
	this->AddToBox(box, job, id);
	this->book.Add(job.spec.account, job.spec.steps[id.step].demand);
	if (job.phase == JobPhase::JP_QUEUED) {
		job.phase = JobPhase::JP_RUNNING;
	}
	this->starts.push_back(PendingStart{id, run});
	this->dirty.insert(id.job);
	job.outlook.stale = true;
}

void Shard::SendRecordedStarts()
{
	while (this->reads_awaited == 0 && this->starts_under_way < STARTS_UNDER_WAY_MAX &&
		   !this->recorded_starts.empty()) {
		const PendingStart next = this->recorded_starts.front();
		this->recorded_starts.pop_front();
		this->SendStart(next);
	}
	if (!this->recorded_starts.empty()) {
		this->starts_waited_at = this->scheduler.Now();
	}
}

void Shard::SendStart(const PendingStart &start)
{
	ShardTask *task = this->FindTask(start.task);
	if (task == nullptr || task->phase != TaskPhase::TP_PLACED || task->run != start.run || this->superseded) {
		return;
	}
	if (task->run_state != RunState::RS_RECORDING && (task->run_state != RunState::RS_UNKNOWN || task->stop_wanted)) {
		return; /* It was answered or listed in the meantime, or is being stopped. */
	}
	const auto it = this->boxes.find(task->box);
	if (it != this->boxes.end() && it->second.over && task->uncertain) {
		return; /* The run is held: the list of the box's next incarnation decides. */
	}
	const std::optional<Millis> until = it == this->boxes.end() ? std::nullopt : this->LeaseEnd(it->second);
	if (task->stop_wanted || !until || it->second.over || it->second.report.leaving) {
		this->GiveUpStart(start.task, *task, RunEnding::RE_STOPPED, "not_ordered");
		return;
	}
	if (this->InEvacuatedZone(it->second)) {
		this->GiveUpStartInZone(start.task, *task);
		return;
	}
	/* Check the room again: a box may have shrunk while the record was under way or the order was retried, and one that
	 * doesn't enforce its capacity starts whatever it is ordered to. */
	if (!it->second.report.capacity.Holds(it->second.used) || it->second.unknown_runs) {
		if (task->uncertain) {
			this->RepeatStart(start.task, *task); /* It may already run there unnoticed: see RepeatStart(). */
		} else {
			this->GiveUpStart(start.task, *task, RunEnding::RE_STOPPED, "no_room_left");
		}
		return;
	}
	const ShardJob &job = this->jobs.at(start.task.job);
	StartOrder order = this->MakeStart(start, *task, *until);
	if (order.ticket.empty() && job.policy.needs_ticket) {
		this->GiveUpStart(start.task, *task, RunEnding::RE_STOPPED, "ticket_over");
		return;
	}
	if (this->FenceOf(it->second).UsedUp()) {
		this->OnSuperseded("tokens_used_up");
		return;
	}
	order.fence = this->FenceOf(it->second).ForStart(start.task, start.run, this->scheduler.Now());
	this->NoteLeaseRequested(it->second, *until);
	task->run_state = RunState::RS_ORDERED;
	task->last_ordered_at = this->scheduler.Now();
	if (!task->uncertain) {
		task->ordered_at = this->scheduler.Now();
	}
	it->second.last_start = start.task.job;
	it->second.last_start_at = this->scheduler.Now();
	this->starts_under_way++;
	this->counters.starts++;
	this->LogTask(job, start.task, "run_ordered",
				  {{"job", start.task.job.Value()},
				   {"task", std::to_string(job.IndexOf(start.task))},
				   {"run", std::to_string(start.run.Value())},
				   {"box", IncarnationText(task->box)},
				   {"repeated", task->uncertain ? "yes" : "no"},
				   {"waited_ms", std::to_string((this->scheduler.Now() - job.taken_at).Value())}});
	this->orders.Start(it->second.report, order,
					   [this, start, sent = this->SentOrderTo(it->second, order.fence),
						still = std::weak_ptr<bool>(this->alive)](const OrderAnswer &answer) {
						   if (!still.expired()) {
							   this->OnStartAnswered(start, sent, answer);
						   }
					   });
}

StartOrder Shard::MakeStart(const PendingStart &start, const ShardTask &task, Millis until) const
{
	StartOrder order;
	order.task = start.task;
	order.run = start.run;
	order.payload = this->jobs.at(start.task.job).spec.payload;
	order.saved = task.saved;
	order.lease_until = until;
	const StepId step{start.task.job, start.task.occurrence, start.task.step};
	if (const std::string *ticket = this->tickets.Find(step, task.box); ticket != nullptr) {
		order.ticket = *ticket;
	}
	return order;
}

void Shard::OnStartAnswered(const PendingStart &start, const SentOrder &sent, const OrderAnswer &answer)
{
	this->starts_under_way--;
	OrderFence &fence = this->fences.at(sent.incarnation.id);
	fence.OnStartAnswered(start.task, start.run, answer.outcome);
	const bool current = this->ProcessOutcome(sent, answer);
	const auto it = this->boxes.find(sent.incarnation);
	const bool unsure = !FromSameIncarnation(sent, answer);
	if (current && unsure && it != this->boxes.end()) {
		this->NoteMayHaveRestarted(it->second);
	}
	if (current) {
		this->OnStarted(start.task, start.run, sent.incarnation, answer);
	}
	if (ShardTask *task = this->FindTask(start.task); current && task != nullptr && task->run == start.run) {
		task->answerer_unsure = unsure && task->run_state == RunState::RS_RUNNING;
	}
	this->SendRecordedStarts();
	if (it != this->boxes.end() && EndsToAcknowledge(it->second) && !fence.StartsUnderWay()) {
		this->RenewLease(it->second);
	}
}

void Shard::GiveUpStartInZone(const TaskId &id, ShardTask &task)
{
	if (!task.uncertain) {
		this->GiveUpStart(id, task, RunEnding::RE_STOPPED, "zone_evacuated");
	} else if (this->MayStop(this->jobs.at(id.job), id)) {
		this->WantPlannedStop(id, task, "zone_evacuated");
	}
	/* Otherwise the next list of the box shows whether the run exists, or leads here again. */
}

void Shard::GiveUpStart(const TaskId &id, ShardTask &task, RunEnding ending, const char *reason)
{
	if (task.uncertain) {
		/* An earlier order for the run may still be carried out; only a stop makes sure that it isn't. */
		this->WantStop(id, task, reason);
	} else {
		this->EndRun(id, ending, {}, reason);
	}
}

void Shard::OnStarted(const TaskId &id, RunNumber run, const BoxIncarnation &incarnation, const OrderAnswer &answer)
{
	ShardTask *task = this->FindTask(id);
	const bool current =
			task != nullptr && task->phase == TaskPhase::TP_PLACED && task->run == run && task->box == incarnation;
	if (!current) {
		return;
	}
	task->state_known_at = this->scheduler.Now();
	if (answer.outcome == OrderOutcome::OO_DONE || task->run_state == RunState::RS_RUNNING) {
		if (task->run_state != RunState::RS_RUNNING) { /* Otherwise it was listed before. */
			task->run_state = RunState::RS_RUNNING;
			task->confirmed_at = this->scheduler.Now();
		}
		this->jobs.at(id.job).begun = true;
		if (task->suspect) {
			this->ScheduleIsolationCheck(id, run);
		}
		return;
	}
	this->LogTask(this->jobs.at(id.job), id, "start_failed",
				  {{"job", id.job.Value()},
				   {"run", std::to_string(run.Value())},
				   {"box", IncarnationText(incarnation)},
				   {"outcome", NameOf(answer.outcome)}});
	if (answer.outcome == OrderOutcome::OO_UNKNOWN) {
		this->OnStartUnknown(id, *task);
	} else {
		this->OnStartRefused(id, *task, answer.outcome);
	}
}

void Shard::OnStartUnknown(const TaskId &id, ShardTask &task)
{
	this->counters.unknown++;
	task.run_state = RunState::RS_UNKNOWN;
	task.uncertain = true;
	this->RepeatStart(id, task);
}

void Shard::RepeatStart(const TaskId &id, ShardTask &task)
{
	const bool keep_trying = this->scheduler.Now() - task.phase_since < START_RETRIED_FOR;
	if (!keep_trying && this->MayStop(this->jobs.at(id.job), id)) {
		this->WantPlannedStop(id, task, "start_unanswered");
		return;
	}
	/* Order the same run again. A box that has it already just confirms it, and a run that has started unnoticed is not
	 * stopped while other tasks of its step are absent. */
	const Millis pause((this->scheduler.Now() - task.phase_since).Value() / START_RETRY_DIVISOR);
	this->scheduler.After(pause, [this, start = PendingStart{id, task.run}, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->SendStart(start);
		}
	});
}

void Shard::OnStartRefused(const TaskId &id, ShardTask &task, OrderOutcome outcome)
{
	this->counters.refused++;
	const bool box_healthy = outcome == OrderOutcome::OO_NO_ROOM || outcome == OrderOutcome::OO_RUN_TOO_OLD ||
							 outcome == OrderOutcome::OO_LEASE_PAST;
	const auto box = this->boxes.find(task.box);
	if (outcome == OrderOutcome::OO_NO_TICKET) {
		this->tickets.Drop(StepId{id.job, id.occurrence, id.step}, task.box);
	} else if (box != this->boxes.end()) {
		box->second.avoid_until = this->scheduler.Now() + (box_healthy ? AVOID_REFUSED : AVOID_BUSY);
	}
	const bool invalid = outcome == OrderOutcome::OO_REJECTED;
	this->GiveUpStart(id, task, invalid ? RunEnding::RE_FAILED : RunEnding::RE_STOPPED, "start_refused");
}
