/** @file shard_boxes.cpp Shard: leases of boxes, and processing of the runs that boxes list. */
#include "shard_base.h"

#include <algorithm>
#include <ranges>

namespace {

constexpr Millis LEASE_END_SLACK(150); ///< Added to the end of a lease: a box needs a moment to end its runs.
constexpr Millis RETRY_AFTER(300);     ///< Delay before the next lease order to an unreachable box.
/** Consecutive orders without an answer that make a box unreachable. */
constexpr uint32_t UNREACHABLE_AFTER_UNANSWERED = 2;
/** Lease wait of a box whose answers get lost, so that the end of a run is noticed 0.6 s late instead of 1.4 s. */
constexpr Millis LOSSY_WAIT(250);
constexpr Millis LOSSY_FOR(5000); ///< Answers of a box are considered lossy for this long after two were lost.
/** Minimum time between two lease orders to a box, so that ends are processed in batches. It grows with the number of
 * boxes that have runs: an owner sends at most RENEWALS_PER_SECOND_MAX lease orders a second to them as long as the gap
 * doesn't exceed RENEWAL_GAP_MAX. */
constexpr Millis RENEWAL_GAP(25);
/** Upper limit of the gap between lease orders to a box; with many boxes, the end of a step is noticed 50 ms later on
 * average. */
constexpr Millis RENEWAL_GAP_MAX(100);
constexpr int64_t RENEWALS_PER_SECOND_MAX = 600; ///< Lease orders per second to boxes that have runs.
/** An owner is overloaded while its turns are this late and recorded starts wait to be sent. */
constexpr double OVERLOADED_LATE_MS = 10;
/** Starts count as waiting for this long after some last waited, since the next ones are still being recorded. */
constexpr Millis STARTS_WAITED_WITHIN(500);
/** Maximum time between two lease orders of an overloaded owner: what a box has listed is relied on for little longer
 * (see ListedRecently()). */
constexpr Millis RENEWAL_PAUSE_MAX(1300);
/** A box without runs of ours may hold back its answer for this long, the longest that boxes allow. */
constexpr Millis IDLE_WAIT(2000);
/** Delay of the next lease order while ends can't be recorded, since the box answers at once each time. */
constexpr Millis UNRECORDED_GAP(700);
/** Delay of the next lease order while ends can't be acknowledged, since the box answers at once each time. */
constexpr Millis UNACKNOWLEDGED_GAP(200);
/** A box that has not answered for the lease wait plus this gets no new lease. */
constexpr Millis NO_LEASE_AFTER(1500);
constexpr Millis FORGET_AFTER(10000);     ///< A box without report, tasks and answers is forgotten after this time.
constexpr size_t ENDS_PER_LIST_MAX = 500; ///< Maximum number of ends in a list; a list of this size may be incomplete.

/** @return Whether the end of a run shows that the box had started it: one can also be stopped before its start. */
bool ShowsStart(const EndedRow &row)
{
	return row.ending != RunEnding::RE_STOPPED || !row.saved.empty();
}

} // namespace

void Shard::OnReport(const BoxReport &report)
{
	if (report.service != this->service) {
		return;
	}
	if (this->Outdated(report)) {
		this->older_reports[report.incarnation.id] = report;
		return;
	}
	this->older_reports.erase(report.incarnation.id);
	auto [it, added] = this->boxes.try_emplace(report.incarnation);
	ShardBox &box = it->second;
	if (box.over) {
		return; /* It has certainly ended: this is a repeated old report. */
	}
	const bool was_leaving = box.report.leaving;
	const bool changed =
			added || was_leaving != report.leaving || box.report.capacity != report.capacity || !box.has_report;
	box.report = report;
	box.warm_at = this->scheduler.Now() + report.cold_for;
	if (added) {
		this->RaiseFence(report.incarnation.id);
		/* None of our tasks runs there, but an earlier owner may have placed some that aren't known yet. */
		box.leases_expire_at = this->EarlierLeasesEnd();
		box.answered_at = box.runs_listed_at = this->scheduler.Now();
	}
	this->EndOtherIncarnations(box);
	if (added) {
		this->EndEarlierIds(report);
	}
	box.has_report = true;
	if (!changed) {
		return;
	}
	this->log.Write("box_report", {{"box", report.box.Value()},
								   {"incarnation", IncarnationText(report.incarnation)},
								   {"cpu", std::to_string(report.capacity.cpu)},
								   {"leaving", report.leaving ? "yes" : "no"}});
	if (report.leaving && !was_leaving) {
		this->StopTasksOnLeaving(box);
	}
	this->RenewLease(box);
}

bool Shard::Outdated(const BoxReport &report)
{
	/* Either the report was written before the known start, or the wall clock was set back. The next answer of the box
	 * tells which: see EndIncarnation(). */
	const std::vector<ShardBox *> incarnations = this->IncarnationsOf(report.incarnation.id);
	return !incarnations.empty() && !incarnations.back()->over &&
		   report.incarnation < incarnations.back()->report.incarnation;
}

void Shard::OnReportRemoved(const BoxId &id)
{
	this->older_reports.erase(id);
	for (ShardBox *box : this->IncarnationsOf(id)) {
		if (!box->has_report) {
			continue;
		}
		box->has_report = false;
		this->boxes_changed = true;
		this->log.Write("box_report_gone", {{"incarnation", IncarnationText(box->report.incarnation)},
											{"placed", std::to_string(box->placed.size())}});
		this->ScheduleTurn();
	}
}

Millis Shard::EarlierLeasesEnd() const
{
	/* Earlier owners request leases of the same length, the last ones just before they stop renewing. */
	const Millis lease = std::min(this->limits.lease, this->limits.lease_max);
	return this->earlier_leases_until +
		   Millis(static_cast<int64_t>(static_cast<double>(lease.Value()) / CLOCK_RATE_MIN)) + LEASE_END_SLACK;
}

std::optional<Millis> Shard::LeaseEnd(const ShardBox &box) const
{
	const Millis now = this->scheduler.Now();
	const bool unreachable =
			now - box.answered_at > std::max(box.answer_wait, this->limits.lease_wait) + NO_LEASE_AFTER;
	if (!box.clock || unreachable || now - this->journal.ConfirmedAt() > this->limits.owner_term) {
		return std::nullopt;
	}
	return *box.clock + (now - box.clock_at) + std::min(this->limits.lease, this->limits.lease_max);
}

void Shard::NoteLeaseRequested(ShardBox &box, Millis until)
{
	if (!box.clock) {
		return; /* No lease is requested before the box has reported its clock: see LeaseEnd(). */
	}
	const auto span = static_cast<double>((until - *box.clock).Value()) / CLOCK_RATE_MIN;
	box.leases_expire_at =
			std::max(box.leases_expire_at, box.clock_at + Millis(static_cast<int64_t>(span)) + LEASE_END_SLACK);
}

void Shard::NoteLongestLease(ShardBox &box) const
{
	/* Its clock started anew, so lease ends in orders to the previous incarnation lie far in its future. */
	const auto span = static_cast<double>(this->limits.lease_max.Value()) / CLOCK_RATE_MIN;
	const Millis end = this->scheduler.Now() + Millis(static_cast<int64_t>(span)) + LEASE_END_SLACK;
	box.leases_expire_at = std::max(box.leases_expire_at, end);
}

void Shard::ScheduleRenewal(const BoxIncarnation &incarnation, Millis delay)
{
	ShardBox &box = this->boxes.at(incarnation);
	this->scheduler.Cancel(box.timer);
	box.timer = this->scheduler.After(delay, [this, incarnation] {
		const auto it = this->boxes.find(incarnation);
		if (it != this->boxes.end()) {
			it->second.timer = TimerId();
			this->RenewLease(it->second);
		}
	});
}

bool Shard::Overloaded() const
{
	return this->late_ms >= OVERLOADED_LATE_MS && this->scheduler.Now() - this->starts_waited_at < STARTS_WAITED_WITHIN;
}

Millis Shard::RenewalDue(const ShardBox &box)
{
	/* While only the box may have restarted, its next list decides that, so it isn't delayed. */
	const bool waits = EndsToAcknowledge(box) && !this->FenceOf(box).MayAcknowledge(this->scheduler.Now());
	const Millis due = waits ? box.runs_listed_at + UNACKNOWLEDGED_GAP : box.lease_ordered_at + this->renewal_gap;
	if (!this->Overloaded()) {
		return due;
	}
	/* Renewals that each return one end take the time in which starts could be sent. The owner would fall further
	 * behind and ends would arrive one by one, so process several at once. */
	const Millis pause_end = box.runs_listed_at + RENEWAL_PAUSE_MAX;
	return std::max(due, box.placed.empty() ? pause_end : std::min(pause_end, this->EndsExpected(box)));
}

Millis Shard::EndsExpected(const ShardBox &box)
{
	this->counters.tasks_walked += box.placed.size();
	const Millis now = this->scheduler.Now();
	int64_t sum = 0;
	int64_t n = 0;
	for (const TaskId &id : box.placed) {
		const ShardJob &job = this->jobs.at(id.job);
		const StepSpec &step = job.spec.steps[id.step];
		const ShardTask &task = job.tasks[job.IndexOf(id)];
		if (!step.lasting) {
			const Millis started = task.run_state == RunState::RS_RECORDING ? now : task.ordered_at;
			sum += started.Value() + static_cast<int64_t>(this->RunTimeOf(job, step));
			n++;
		}
	}
	return n == 0 ? box.runs_listed_at : Millis(sum / n);
}

Millis Shard::LeaseWait(const ShardBox &box) const
{
	if (!box.adopted) {
		return Millis(0);
	}
	if (this->scheduler.Now() - box.unanswered_again_at < LOSSY_FOR) {
		return std::min(LOSSY_WAIT, this->limits.lease_wait);
	}
	return box.placed.empty() && !box.unknown_runs ? IDLE_WAIT : this->limits.lease_wait;
}

void Shard::NoteUnanswered(ShardBox &box, const SentOrder &sent, OrderOutcome outcome)
{
	/* A box that ends leaves orders unanswered, too. So an order counts only if the box was still up when its answer
	 * was due, or answers another one later. */
	if (outcome == OrderOutcome::OO_NOT_SENT) {
		return;
	}
	const bool answered = outcome != OrderOutcome::OO_UNKNOWN;
	if (answered ? std::exchange(box.order_unanswered, false) : box.answered_at >= sent.answer_due) {
		this->order_unanswered_at = this->scheduler.Now();
	} else if (!answered) {
		box.order_unanswered = true;
	}
}

void Shard::NoteOutcome(ShardBox &box, const SentOrder &sent, OrderOutcome outcome)
{
	const Millis now = this->scheduler.Now();
	const bool answered = outcome != OrderOutcome::OO_NOT_SENT && outcome != OrderOutcome::OO_UNKNOWN;
	this->NoteUnanswered(box, sent, outcome);
	if (!answered) {
		this->NoteMayHaveRestarted(box);
	}
	if (outcome == OrderOutcome::OO_NOT_SENT) {
		box.unreachable = true;
	} else if (answered) {
		box.answered_at = now;
		box.up_at = std::max(box.up_at, sent.at);
		box.unanswered = 0;
		box.unreachable = false;
	} else {
		box.unanswered_again_at = now - box.unanswered_at < LOSSY_FOR ? now : box.unanswered_again_at;
		box.unanswered_at = now;
		/* An answer since then shows that only this order was lost, so the box keeps accepting tasks. When 40% of the
		 * answers are lost and one loss was enough, half of the boxes accepted none. */
		box.unanswered += box.answered_at < sent.at ? 1 : 0;
		box.unreachable = box.unreachable || box.unanswered >= UNREACHABLE_AFTER_UNANSWERED;
	}
}

void Shard::NoteMayHaveRestarted(ShardBox &box) const
{
	box.may_have_restarted = true;
	box.may_have_restarted_at = this->scheduler.Now();
}

bool Shard::MayAcknowledge(const ShardBox &box)
{
	return !box.may_have_restarted && this->FenceOf(box).MayAcknowledge(this->scheduler.Now());
}

bool Shard::Idle(const ShardBox &box)
{
	/* An incarnation without report and tasks has moved away or ended. With 1,100 boxes, such ones were sent 34 lease
	 * orders each until they were forgotten, 150 a second in total, each over a new connection. */
	return !box.has_report && box.placed.empty() && (box.unreachable || box.ends_acknowledged == box.ends_seen);
}

void Shard::RenewLease(ShardBox &box)
{
	/* Before all submissions are known, every listed run would look like an unknown one. */
	if (!this->begun || box.lease_order_under_way || Idle(box) || box.over || box.report.address.empty() ||
		this->superseded) {
		return;
	}
	const Millis now = this->scheduler.Now();
	if (const Millis due = this->RenewalDue(box); box.adopted && now < due) {
		this->ScheduleRenewal(box.report.incarnation, due - now);
		return;
	}
	LeaseOrder order;
	const bool acknowledges = EndsToAcknowledge(box) && this->MayAcknowledge(box);
	OrderFence &fence = this->FenceOf(box);
	order.fence = acknowledges ? fence.ForAcknowledgement(now) : fence.ForOrder(now);
	order.ends_noted = acknowledges ? box.ends_durable : 0;
	order.lease_until = this->LeaseEnd(box);
	order.wait = box.answer_wait = this->LeaseWait(box);
	if (order.lease_until) {
		this->NoteLeaseRequested(box, *order.lease_until);
	}
	this->scheduler.Cancel(box.timer);
	box.lease_order_under_way = true;
	box.lease_ordered_at = now;
	this->counters.looks++;
	this->orders.Lease(box.report, order,
					   [this, sent = this->SentOrderTo(box, order.fence, order.wait), acknowledged = order.ends_noted,
						still = std::weak_ptr<bool>(this->alive)](const LeaseAnswer &answer) {
						   if (!still.expired()) {
							   this->OnLease(sent, acknowledged, answer);
						   }
					   });
}

void Shard::OnLease(const SentOrder &sent, uint64_t acknowledged, const LeaseAnswer &answer)
{
	const auto it = this->boxes.find(sent.incarnation);
	if (it == this->boxes.end()) {
		return;
	}
	ShardBox &box = it->second;
	box.lease_order_under_way = false;
	if (!this->ProcessOutcome(sent, answer.order)) {
		return;
	}
	if (answer.order.outcome != OrderOutcome::OO_DONE) {
		this->OnLeaseFailed(box, answer.order.outcome);
		return;
	}
	const Millis now = this->scheduler.Now();
	box.runs_listed_at = now;
	box.ends_listed = answer.ended.size();
	box.may_have_restarted = box.may_have_restarted && box.may_have_restarted_at > sent.at;
	if (acknowledged > 0) {
		this->FenceOf(box).OnAcknowledged(sent.fence);
	}
	box.ends_acknowledged = std::max(box.ends_acknowledged, acknowledged);
	if (answer.order.box_clock) {
		box.clock = answer.order.box_clock;
		box.clock_at = now;
	}
	this->newest_listing++;
	this->MarkListed(answer.running);
	this->MarkListed(answer.ended);
	const bool was_isolated = this->IsolatedJobOn(box).has_value();
	this->ProcessRunning(box, answer.running, sent.at);
	const bool new_ends = this->ProcessEnded(box, answer.ended);
	if (answer.ended.size() < ENDS_PER_LIST_MAX) {
		this->ProcessMissing(box, sent.at);
		this->ResolveHeldRuns(sent.incarnation.id, "not_there");
	}
	if (!box.adopted) {
		this->Adopt(box);
	}
	/* When there are ends to record, OnCommitted() sends the next order; when the log can't be reached, this timer
	 * does. */
	const bool waits_for_record = new_ends || box.ends_seen > box.ends_durable;
	this->ScheduleRenewal(sent.incarnation, waits_for_record ? UNRECORDED_GAP : Millis(0));
	if (new_ends || was_isolated) {
		this->ScheduleTurn();
	}
}

void Shard::Adopt(ShardBox &box)
{
	box.adopted = true;
	if (box.has_predecessor) {
		this->NoteLongestLease(box);
	}
	this->log.Write("box_adopted", {{"incarnation", IncarnationText(box.report.incarnation)},
									{"placed", std::to_string(box.placed.size())}});
	if (box.report.leaving) {
		this->StopTasksOnLeaving(box);
	}
	this->ScheduleTurn();
}

void Shard::OnLeaseFailed(ShardBox &box, OrderOutcome outcome)
{
	if (outcome == OrderOutcome::OO_FENCED) {
		/* A start order with a higher token has arrived while the answer was held back, or has overtaken the order. */
		this->counters.looks_fenced++;
		this->ScheduleRenewal(box.report.incarnation, Millis(0));
		return;
	}
	this->log.Write("box_silent", {{"incarnation", IncarnationText(box.report.incarnation)},
								   {"outcome", NameOf(outcome)},
								   {"silent", box.unreachable ? "yes" : "no"},
								   {"placed", std::to_string(box.placed.size())},
								   {"silent_ms", std::to_string((this->scheduler.Now() - box.answered_at).Value())}});
	this->ScheduleRenewal(box.report.incarnation, box.unreachable ? RETRY_AFTER : Millis(0));
}

void Shard::ProcessRunning(ShardBox &box, const std::vector<RunningRow> &rows, Millis sent)
{
	box.unknown_runs = false;
	for (const RunningRow &row : rows) {
		this->FenceOf(box).OnRunListed(row.task, row.run);
		ShardTask *task = this->FindTask(row.task);
		const bool ours = task != nullptr && this->ClaimRun(box, row.task, *task, row.run);
		if (!ours) {
			box.unknown_runs = true;
			this->StopUnknownRun(box, row);
			continue;
		}
		this->jobs.at(row.task.job).begun = true;
		task->answerer_unsure = false;
		if (task->run_state != RunState::RS_RUNNING) {
			task->run_state = RunState::RS_RUNNING;
			task->confirmed_at = this->scheduler.Now();
			task->state_known_at = sent;
		}
		if (!row.saved.empty() && task->saved != row.saved) {
			task->saved = row.saved;
			task->saved_at = sent;
		}
		task->at_full_pace = row.share == FULL_PACE;
		this->ClearSuspicion(box, row.task, *task);
		this->NoteRunAge(box, row.task, *task);
		if (task->stop_wanted && !task->stop_confirmed) {
			this->SendStop(row.task);
		}
	}
}

void Shard::StopUnknownRun(ShardBox &box, const RunningRow &row)
{
	this->log.Write("unknown_run", {{"job", row.task.job.Value()},
									{"run", std::to_string(row.run.Value())},
									{"box", IncarnationText(box.report.incarnation)}});
	this->counters.stops++;
	const FenceToken token = this->FenceOf(box).ForOrder(this->scheduler.Now());
	this->orders.Stop(box.report, row.task, row.run, token, [](const OrderAnswer &) {
		/* The next list shows whether the run is gone; it is stopped again until then. */
	});
}

bool Shard::ProcessEnded(ShardBox &box, const std::vector<EndedRow> &rows)
{
	bool any = false;
	for (const EndedRow &row : rows) {
		if (row.number <= box.ends_seen) {
			continue;
		}
		box.ends_seen = row.number;
		any = true;
		this->FenceOf(box).OnRunListed(row.task, row.run);
		ShardTask *task = this->FindTask(row.task);
		if (task == nullptr) {
			continue;
		}
		ShardJob &job = this->jobs.at(row.task.job);
		job.begun = job.begun || ShowsStart(row);
		if (row.ending == RunEnding::RE_LAPSED) {
			this->ClearByLapse(row.task, *task);
		}
		if (this->ClaimRun(box, row.task, *task, row.run)) {
			this->EndRun(row.task, row.ending, row.saved, "listed");
		} else if (task->phase == TaskPhase::TP_WAITING && row.ending == RunEnding::RE_DONE) {
			/* A run that was considered lost had ended successfully. */
			this->EndRun(row.task, row.ending, row.saved, "listed_late");
		}
	}
	return any;
}

template <class Row>
void Shard::MarkListed(const std::vector<Row> &rows)
{
	for (const Row &row : rows) {
		if (ShardTask *task = this->FindTask(row.task); task != nullptr && task->run == row.run) {
			task->last_listing = this->newest_listing;
		}
	}
}

void Shard::ProcessMissing(ShardBox &box, Millis sent)
{
	this->counters.tasks_walked += box.placed.size();
	std::vector<TaskId> missing;
	std::ranges::copy_if(box.placed, std::back_inserter(missing),
						 [this](const TaskId &it) { return this->FindTask(it)->last_listing != this->newest_listing; });
	for (const TaskId &id : missing) {
		ShardTask *task = this->FindTask(id);
		if (task == nullptr || task->phase != TaskPhase::TP_PLACED) {
			continue;
		}
		if (task->run_state == RunState::RS_RESTORED) {
			/* The box has seen this owner's token, so it refuses orders of earlier owners. */
			this->EndRun(id, RunEnding::RE_STOPPED, {}, "not_there");
		} else if (task->stop_confirmed && task->state_known_at < sent) {
			this->EndRun(id, RunEnding::RE_STOPPED, {}, "stopped_before_start");
		} else if (task->run_state == RunState::RS_UNKNOWN && task->state_known_at < sent) {
			this->SendStart(PendingStart{id, task->run});
		} else if (task->run_state == RunState::RS_RUNNING && task->state_known_at < sent) {
			/* The order may still arrive; only a stop makes sure that it isn't carried out. */
			this->WantStop(id, *task, "not_listed");
		}
	}
}

void Shard::SetRenewalGap(size_t busy)
{
	const Millis spread(static_cast<int64_t>(busy) * MS_PER_SECOND / RENEWALS_PER_SECOND_MAX);
	this->renewal_gap = std::clamp(spread, RENEWAL_GAP, RENEWAL_GAP_MAX);
}

void Shard::ExpireLeases()
{
	const Millis now = this->scheduler.Now();
	size_t busy = 0;
	this->counters.boxes_walked += this->boxes.size();
	std::vector<BoxIncarnation> forget;
	for (auto &[incarnation, box] : this->boxes) {
		busy += box.placed.empty() ? 0 : 1;
		const bool lapsed = !box.over && now >= box.leases_expire_at && now - box.answered_at > this->limits.lease_wait;
		if (lapsed && !box.placed.empty()) {
			this->LoseBox(box, "lease_lapsed", CrashEvidence::CE_POSSIBLE);
		} else if (box.over && !box.placed.empty()) {
			this->ResolveLostRuns(box, "never_carried_out");
		}
		const bool forgettable = !box.has_report && box.placed.empty() && !box.lease_order_under_way;
		if (forgettable && (box.over || now - box.answered_at > FORGET_AFTER)) {
			forget.push_back(incarnation);
		}
	}
	this->SetRenewalGap(busy);
	std::erase_if(this->held_ids, [this](const BoxId &it) { return !this->HoldsRuns(it); });
	this->ForgetBoxes(forget);
}

void Shard::ForgetBoxes(const std::vector<BoxIncarnation> &incarnations)
{
	for (const BoxIncarnation &incarnation : incarnations) {
		this->scheduler.Cancel(this->boxes.at(incarnation).timer);
		this->boxes.erase(incarnation);
	}
	if (this->fences.size() <= this->boxes.size()) {
		return;
	}
	/* Tokens of an id are kept while orders may still be carried out: a later incarnation needs higher ones. */
	std::erase_if(this->fences, [this, now = this->scheduler.Now()](const auto &it) {
		const bool forgotten = it.second.Idle(now) && this->IncarnationsOf(it.first).empty();
		if (forgotten) {
			this->forgotten_fence = std::max(this->forgotten_fence, it.second.Token());
		}
		return forgotten;
	});
}

void Shard::OnSuperseded(const char *reason)
{
	if (std::exchange(this->superseded, true)) {
		return;
	}
	this->log.Write(
			"superseded",
			{{"service", this->service.Value()}, {"fence", std::to_string(this->fence.Value())}, {"why", reason}});
	if (this->on_superseded) {
		this->on_superseded();
	}
}
