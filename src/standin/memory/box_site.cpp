/** @file box_site.cpp Simulated boxes that run tasks. */
#include "box_site.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr Millis ONE_WAY_LATENCY(1);           ///< Latency from a node to a box, and back.
constexpr Millis LATE_DELAY(3000);             ///< Delay of an order that is executed late.
constexpr Millis ORDER_TIMEOUT(350);           ///< Time after which a node gives up an unanswered order.
constexpr Millis POLL_INTERVAL(5);             ///< Interval at which a waiting lease order checks for ended runs.
constexpr Millis CANCEL_GRACE(3000);           ///< Time after a confirmed cancellation in which tasks may still start.
constexpr Millis SHRINK_GRACE(4500);           ///< Time until reduced capacity is enforced: 3 s and one report.
constexpr uint32_t CRASHES_BEFORE_LIMIT = 3;   ///< Crashes during a task after which its starts are counted.
constexpr uint32_t FORBIDDEN_START_NUMBER = 3; ///< Number of the first of these starts that is forbidden.
constexpr uint32_t CRASHES_TO_FAIL = 2;        ///< Crashes during a task after which its job may fail.

} // namespace

void BoxSite::Add(const BoxReport &report)
{
	Box &box = this->boxes[report.box];
	box.report = report;
	box.clock_zero = this->clock.Now();
	box.report.incarnation.started = this->reports_starts ? this->clock.WallNow() : Millis(0);
}

Millis BoxSite::ClockOf(const BoxName &name) const
{
	return this->ClockOf(this->boxes.at(name));
}

BoxReport BoxSite::Restart(const BoxName &name)
{
	Box &box = this->boxes.at(name);
	this->LoseRuns(box);
	BoxReport report = box.report;
	if (!this->keep_box_id || !this->reports_starts) {
		report.incarnation.id = BoxId(name.Value() + "-life" + std::to_string(++this->new_box_ids));
	}
	report.incarnation.started = this->reports_starts ? this->clock.WallNow() - this->wall_clock_lag : Millis(0);
	box = Box{};
	box.report = report;
	box.clock_zero = this->clock.Now();
	this->LogBox("box_restarted", box);
	return report;
}

void BoxSite::LoseRuns(Box &box)
{
	for (const auto &[task, run] : box.running) {
		this->clock.Cancel(run.timer);
		this->crashes_by_task[task]++;
	}
	const std::map<TaskId, Run> lost = std::exchange(box.running, {});
	this->clock.Cancel(box.lease_timer);
	std::ranges::for_each(lost | std::views::keys, [this](const TaskId &it) { this->EndGang(it); });
}

void BoxSite::EndGang(const TaskId &lost)
{
	const auto job = this->jobs.find(lost.job);
	if (job == this->jobs.end() || !job->second.spec.steps[lost.step].gang) {
		return;
	}
	for (const BoxName &name : this->boxes | std::views::keys) {
		for (TaskId it = lost; const uint32_t index : std::views::iota(0U, job->second.spec.steps[lost.step].count)) {
			it.index = index;
			this->End(name, it, RunEnding::RE_BROKEN);
		}
	}
}

void BoxSite::Crash(const BoxName &name)
{
	Box &box = this->boxes.at(name);
	if (std::exchange(box.down, true)) {
		return;
	}
	this->crashes++;
	this->LogBox("box_crashed", box);
	this->LoseRuns(box);
	this->clock.After(this->restart_delay, [this, name, incarnation = box.report.incarnation] {
		if (this->boxes.at(name).report.incarnation == incarnation) {
			this->Restart(name);
		}
	});
}

bool BoxSite::Down(const BoxName &name) const
{
	const auto it = this->boxes.find(name);
	return it != this->boxes.end() && it->second.down;
}

void BoxSite::Resize(const BoxName &name, const Resources &new_capacity)
{
	Box &box = this->boxes.at(name);
	box.capacity_before = std::exchange(box.report.capacity, new_capacity);
	box.resized_at = this->clock.Now();
}

bool BoxSite::MayFail(const JobId &id) const
{
	const SiteJob &job = this->jobs.at(id);
	const auto reached = [&id](uint32_t most) {
		return [&id, most](const auto &it) { return it.first.job == id && it.second >= most; };
	};
	return std::ranges::any_of(this->failures, reached(job.failures_max)) ||
		   std::ranges::any_of(this->crashes_by_task, reached(CRASHES_TO_FAIL));
}

const BoxReport *BoxSite::FindReport(const BoxId &id) const
{
	const auto it = std::ranges::find_if(this->boxes,
										 [&id](const auto &one) { return one.second.report.incarnation.id == id; });
	return it == this->boxes.end() ? nullptr : &it->second.report;
}

std::vector<BoxReport> BoxSite::Reports() const
{
	std::vector<BoxReport> out;
	std::ranges::transform(this->boxes | std::views::values, std::back_inserter(out), &Box::report);
	return out;
}

size_t BoxSite::Running(const JobId &id) const
{
	size_t n = 0;
	for (const Box &box : this->boxes | std::views::values) {
		n += static_cast<size_t>(std::ranges::count(box.running | std::views::keys, id, &TaskId::job));
	}
	return n;
}

std::optional<BoxName> BoxSite::BoxOf(const TaskId &task) const
{
	const auto it = std::ranges::find_if(this->boxes | std::views::values,
										 [&task](const Box &box) { return box.running.contains(task); });
	return it.base() == this->boxes.end() ? std::nullopt : std::optional(it.base()->first);
}

bool BoxSite::HasRoom(const ServiceName &service, const TaskId &task) const
{
	const Resources demand = this->jobs.at(task.job).spec.steps.at(task.step).demand;
	return std::ranges::any_of(this->boxes | std::views::values, [&](const Box &box) {
		const bool usable = box.report.service == service && !box.down && !box.report.leaving &&
							!this->no_starts_from.contains(box.report.zone);
		Resources taken = demand;
		std::ranges::for_each(box.running | std::views::values, [&taken](const Run &it) { taken += it.resources; });
		return usable && box.report.capacity.Holds(taken) &&
			   std::ranges::count(box.running | std::views::keys, task.job, &TaskId::job) == 0;
	});
}

BoxSite::Box *BoxSite::Find(const BoxReport &report)
{
	const auto it = this->boxes.find(report.box);
	return it == this->boxes.end() || it->second.report.incarnation.id != report.incarnation.id ? nullptr : &it->second;
}

OrderAnswer BoxSite::MakeAnswer(const Box *box, OrderOutcome outcome) const
{
	return OrderAnswer{outcome, box == nullptr ? std::nullopt : std::optional(this->ClockOf(*box)), std::nullopt};
}

void BoxSite::AddViolation(const std::string &rule, const TaskId &task)
{
	this->violations.push_back(rule + ": " + task.job.Value() + "." + std::to_string(task.step) + "." +
							   std::to_string(task.index) + " at " + std::to_string(this->clock.Now().Value()));
}

void BoxSite::CheckStart(const Box &box, const StartOrder &order)
{
	const auto known = this->jobs.find(order.task.job);
	if (known == this->jobs.end()) {
		this->AddViolation("a job that was never submitted was started", order.task);
		return;
	}
	const SiteJob &job = known->second;
	const StepSpec &step = job.spec.steps.at(order.task.step);
	if (order.payload != job.spec.payload) {
		this->AddViolation("started with another payload", order.task);
	}
	if (job.service != box.report.service && !job.later_services.contains(box.report.service)) {
		this->AddViolation("started on a box of another service", order.task);
	}
	if (job.cancelled_at && this->clock.Now() > *job.cancelled_at + CANCEL_GRACE) {
		this->AddViolation("started after its cancellation was confirmed", order.task);
	}
	if (this->done_acknowledged.contains(order.task) && !step.lasting) {
		this->AddViolation("started after an end that was noted as good", order.task);
	}
	if (!step.lasting && this->failures_acknowledged[order.task] >= job.failures_max) {
		this->AddViolation("started after its last permitted failure", order.task);
	}
	this->CheckCrashLimit(job, order.task);
	const auto evacuated = this->no_starts_from.find(box.report.zone);
	if (evacuated != this->no_starts_from.end() && this->clock.Now() >= evacuated->second) {
		this->AddViolation("started in an evacuated zone", order.task);
	}
	for (const Box &other : this->boxes | std::views::values) {
		if (other.running.contains(order.task)) {
			this->AddViolation("two runs at once", order.task);
		}
	}
	for (const uint32_t before : step.after) {
		for (TaskId it = order.task; const uint32_t index : std::views::iota(0U, job.spec.steps.at(before).count)) {
			it.step = before;
			it.index = index;
			if (!this->done.contains(it)) {
				this->AddViolation("started before an earlier step was complete", order.task);
			}
		}
	}
}

void BoxSite::CheckCrashLimit(const SiteJob &job, const TaskId &task)
{
	const bool crashes_box = task.step == 0 && job.crashing_tasks.contains(task.index);
	if (crashes_box && this->crashes_by_task[task] >= CRASHES_BEFORE_LIMIT &&
		++this->starts_after_crashes[task] == FORBIDDEN_START_NUMBER) {
		this->AddViolation("started three times more after three boxes had crashed under it", task);
	}
}

void BoxSite::CheckCapacity(const Box &box, const TaskId &task, const Resources &demand)
{
	Resources taken = demand;
	std::ranges::for_each(box.running | std::views::values, [&taken](const Run &it) { taken += it.resources; });
	const bool enforced = this->clock.Now() - box.resized_at >= SHRINK_GRACE;
	if (!box.report.capacity.Holds(taken) && (enforced || !box.capacity_before.Holds(taken))) {
		this->AddViolation("started beyond the capacity of its box", task);
	}
}

void BoxSite::ExtendLease(Box &box, Millis until)
{
	const Millis now = this->ClockOf(box);
	const Millis end = std::min(until, now + this->lease_max);
	if (end <= box.lease_until) {
		return;
	}
	box.lease_until = end;
	this->clock.Cancel(box.lease_timer);
	box.lease_timer = this->clock.After(end - now, [this, name = box.report.box] { this->ExpireLease(name); });
}

void BoxSite::ExpireLease(const BoxName &name)
{
	std::vector<TaskId> lost;
	std::ranges::copy(this->boxes.at(name).running | std::views::keys, std::back_inserter(lost));
	std::ranges::for_each(lost, [&](const TaskId &it) { this->End(name, it, RunEnding::RE_LAPSED); });
}

void BoxSite::End(const BoxName &name, const TaskId &task, RunEnding ending)
{
	Box &box = this->boxes.at(name);
	const auto it = box.running.find(task);
	if (it == box.running.end()) {
		return;
	}
	this->clock.Cancel(it->second.timer);
	box.stopped[task] = std::max(box.stopped[task], it->second.run);
	box.ended.push_back(EndedRow{++box.last_end, task, it->second.run, ending, {}});
	box.running.erase(it);
	if (ending == RunEnding::RE_DONE) {
		this->done.insert(task);
	} else if (ending == RunEnding::RE_FAILED) {
		this->failures[task]++;
	}
}

OrderAnswer BoxSite::Start(const BoxReport &report, const StartOrder &order)
{
	Box *box = this->Find(report);
	if (box == nullptr) {
		return this->MakeAnswer(nullptr, OrderOutcome::OO_OTHER_INCARNATION);
	}
	if (order.fence < box->fence) {
		return this->MakeAnswer(box, OrderOutcome::OO_FENCED);
	}
	box->fence = order.fence;
	const auto there = box->running.find(order.task);
	if (there != box->running.end() && there->second.run == order.run) {
		return this->MakeAnswer(box, OrderOutcome::OO_DONE);
	}
	if (box->stopped.contains(order.task) && order.run <= box->stopped[order.task]) {
		this->ExtendLease(*box, order.lease_until);
		return this->MakeAnswer(box, OrderOutcome::OO_RUN_TOO_OLD);
	}
	if (order.lease_until <= this->ClockOf(*box)) {
		return this->MakeAnswer(box, OrderOutcome::OO_LEASE_PAST);
	}
	const auto refusal = this->refuse_start ? this->refuse_start(report, order) : std::nullopt;
	if (refusal) {
		return this->MakeAnswer(box, *refusal);
	}
	this->ExtendLease(*box, order.lease_until);
	const auto job = this->jobs.find(order.task.job);
	const Resources demand = job == this->jobs.end() ? Resources{} : job->second.spec.steps.at(order.task.step).demand;
	Resources free = box->report.capacity;
	std::ranges::for_each(box->running | std::views::values, [&free](const Run &it) { free -= it.resources; });
	if (this->checks_capacity && !free.Holds(demand)) {
		return this->MakeAnswer(box, OrderOutcome::OO_NO_ROOM);
	}
	if (this->ticket_valid && !this->ticket_valid(report, order)) {
		return this->MakeAnswer(box, OrderOutcome::OO_NO_TICKET);
	}
	this->CheckStart(*box, order);
	this->CheckCapacity(*box, order.task, demand);
	this->starts++;
	this->started_jobs.insert(order.task.job);
	this->absent_tasks.erase(order.task);
	Run run{order.run, demand, TimerId()};
	if (job != this->jobs.end() && !job->second.spec.steps.at(order.task.step).lasting) {
		const bool fails = this->failures[order.task] < job->second.fail_first;
		run.timer = this->clock.After(job->second.run_time, [this, name = report.box, task = order.task, fails] {
			this->End(name, task, fails ? RunEnding::RE_FAILED : RunEnding::RE_DONE);
		});
	}
	if (job != this->jobs.end() && order.task.step == 0 && job->second.crashing_tasks.contains(order.task.index)) {
		this->clock.Cancel(run.timer);
		run.timer = this->clock.After(job->second.crash_delay, [this, name = report.box] { this->Crash(name); });
	}
	box->running[order.task] = run;
	return this->MakeAnswer(box, OrderOutcome::OO_DONE);
}

OrderAnswer BoxSite::Stop(const BoxReport &report, const TaskId &task, RunNumber run, FenceToken fence)
{
	Box *box = this->Find(report);
	if (box == nullptr) {
		return this->MakeAnswer(nullptr, OrderOutcome::OO_OTHER_INCARNATION);
	}
	if (fence < box->fence) {
		return this->MakeAnswer(box, OrderOutcome::OO_FENCED);
	}
	box->fence = fence;
	box->stopped[task] = std::max(box->stopped[task], run);
	if (const auto it = box->running.find(task);
		it != box->running.end() && it->second.run <= run && !std::exchange(it->second.stopping, true)) {
		this->CheckStop(*box, task);
		this->clock.Cancel(it->second.timer);
		if (this->stop_delay == Millis(0)) {
			this->End(report.box, task, RunEnding::RE_STOPPED);
		} else {
			it->second.timer = this->clock.After(
					this->stop_delay, [this, name = report.box, task, run] { this->EndStopped(name, task, run); });
		}
	}
	return this->MakeAnswer(box, OrderOutcome::OO_DONE);
}

void BoxSite::EndStopped(const BoxName &name, const TaskId &task, RunNumber run)
{
	Box &box = this->boxes.at(name);
	if (const auto it = box.running.find(task); it != box.running.end() && it->second.run <= run) {
		this->End(name, task, RunEnding::RE_STOPPED);
	}
}

void BoxSite::CheckStop(const Box &box, const TaskId &task)
{
	const SiteJob &job = this->jobs.at(task.job);
	const StepSpec &step = job.spec.steps[task.step];
	const auto absent = std::ranges::count_if(this->absent_tasks, [&task](const TaskId &it) {
		return it.job == task.job && it.occurrence == task.occurrence && it.step == task.step;
	});
	const bool limited = step.absent_max && !job.cancel_sent && !box.report.leaving;
	if (limited && absent >= int64_t{*step.absent_max}) {
		this->AddViolation("stopped while the maximum of absent tasks of its step was reached", task);
	}
	this->absent_tasks.insert(task);
}

OrderAnswer BoxSite::Pace(const BoxReport &report, FenceToken fence)
{
	Box *box = this->Find(report);
	if (box == nullptr) {
		return this->MakeAnswer(nullptr, OrderOutcome::OO_OTHER_INCARNATION);
	}
	if (fence < box->fence) {
		return this->MakeAnswer(box, OrderOutcome::OO_FENCED);
	}
	box->fence = fence;
	return this->MakeAnswer(box, OrderOutcome::OO_DONE);
}

void BoxSite::LogBox(const char *event, const Box &box)
{
	if (this->log != nullptr) {
		this->log->Write(event, {{"box", box.report.box.Value()},
								 {"incarnation", IncarnationText(box.report.incarnation)},
								 {"last_end", std::to_string(box.last_end)}});
	}
}

void BoxSite::LogForgotten(const Box &box, const LeaseOrder &order, const EndedRow &end)
{
	if (this->log == nullptr || order.ends_noted <= box.last_end) {
		return;
	}
	this->log->Write("end_forgotten", {{"job", end.task.job.Value()},
									   {"step", std::to_string(end.task.step)},
									   {"index", std::to_string(end.task.index)},
									   {"run", std::to_string(end.run.Value())},
									   {"ending", NameOf(end.ending)},
									   {"incarnation", IncarnationText(box.report.incarnation)},
									   {"number", std::to_string(end.number)},
									   {"ends_noted", std::to_string(order.ends_noted)},
									   {"fence", std::to_string(order.fence.Value())}});
}

LeaseAnswer BoxSite::Lease(const BoxReport &report, const LeaseOrder &order)
{
	LeaseAnswer answer;
	Box *box = this->Find(report);
	if (box == nullptr) {
		answer.order = this->MakeAnswer(nullptr, OrderOutcome::OO_OTHER_INCARNATION);
		return answer;
	}
	if (order.fence < box->fence) {
		answer.order = this->MakeAnswer(box, OrderOutcome::OO_FENCED);
		return answer;
	}
	box->fence = order.fence;
	std::erase_if(box->ended, [&](const EndedRow &it) {
		if (it.number > order.ends_noted) {
			return false;
		}
		this->LogForgotten(*box, order, it);
		if (it.ending == RunEnding::RE_DONE) {
			this->done_acknowledged.insert(it.task);
		} else if (it.ending == RunEnding::RE_FAILED) {
			this->failures_acknowledged[it.task]++;
		}
		return true;
	});
	if (order.lease_until) {
		this->ExtendLease(*box, *order.lease_until);
	}
	answer.order = this->MakeAnswer(box, OrderOutcome::OO_DONE);
	answer.order.incarnation = box->report.incarnation;
	for (const auto &[task, run] : box->running) {
		answer.running.push_back(RunningRow{task, run.run, {}, 100, 0});
	}
	answer.ended = box->ended;
	return answer;
}

bool BoxSite::NothingToTell(const BoxReport &report, const LeaseOrder &order)
{
	const Box *box = this->Find(report);
	return box != nullptr && box->fence == order.fence && box->ended.empty() && !order.lease_until;
}

bool SiteOrders::CanReach(const BoxReport &box) const
{
	const auto faults = this->site.faults.find(box.box);
	const bool blocked = faults != this->site.faults.end() && faults->second.unreachable;
	return !blocked && !this->site.Down(box.box) && !this->unreachable_boxes.contains(box.box);
}

std::optional<OrderTransit> SiteOrders::TransitOf(const OutgoingOrder &order) const
{
	return this->site.choose_transit ? this->site.choose_transit(order) : std::nullopt;
}

void SiteOrders::SendInTransit(const BoxName &box, const OrderTransit &transit, std::function<OrderAnswer()> work,
							   const Done &done)
{
	const bool answered = transit.answered && !transit.lost && transit.delay < ORDER_TIMEOUT;
	if (!answered) {
		this->scheduler.After(ORDER_TIMEOUT, [done] { done(OrderAnswer{}); });
	}
	if (transit.lost) {
		return;
	}
	this->clock.After(transit.delay, [this, box, transit, answered, work = std::move(work), done] {
		const bool arrives = !this->site.Down(box);
		const OrderAnswer answer = arrives ? work() : OrderAnswer{};
		if (answered) {
			this->scheduler.After(arrives ? ONE_WAY_LATENCY : ORDER_TIMEOUT - transit.delay,
								  [done, answer] { done(answer); });
		}
	});
}

void SiteOrders::Send(const BoxReport &box, const OutgoingOrder &order, std::function<OrderAnswer()> work, Done done)
{
	const BoxFaults faults = this->site.faults[box.box];
	const auto unknown = [done] { done(OrderAnswer{}); };
	this->orders++;
	if (faults.drop_starts_and_stops || !this->CanReach(box)) {
		this->scheduler.After(ORDER_TIMEOUT, [done] { done(OrderAnswer{}); });
		return;
	}
	if (const auto transit = this->TransitOf(order)) {
		this->SendInTransit(box.box, *transit, std::move(work), done);
		return;
	}
	if (faults.lose_every > 0 && this->orders % faults.lose_every == 0) {
		this->clock.After(faults.late ? LATE_DELAY : ONE_WAY_LATENCY, [this, name = box.box, work = std::move(work)] {
			if (!this->site.Down(name)) {
				work();
			}
		});
		this->scheduler.After(ORDER_TIMEOUT, unknown);
		return;
	}
	this->clock.After(ONE_WAY_LATENCY, [this, name = box.box, work = std::move(work), done = std::move(done), unknown] {
		if (this->site.Down(name)) {
			this->scheduler.After(ORDER_TIMEOUT - ONE_WAY_LATENCY, unknown);
			return;
		}
		const OrderAnswer answer = work();
		this->scheduler.After(ONE_WAY_LATENCY, [done, answer] { done(answer); });
	});
}

void SiteOrders::Start(const BoxReport &box, const StartOrder &order, Done done)
{
	this->Send(
			box, OutgoingOrder{OrderKind::OK_START, box.box, order.fence, order.task},
			[&site = this->site, box, order] { return site.Start(box, order); }, std::move(done));
}

void SiteOrders::Stop(const BoxReport &box, const TaskId &task, RunNumber run, FenceToken fence, Done done)
{
	this->Send(
			box, OutgoingOrder{OrderKind::OK_STOP, box.box, fence, task},
			[&site = this->site, box, task, run, fence] { return site.Stop(box, task, run, fence); }, std::move(done));
}

void SiteOrders::Pace(const BoxReport &box, const TaskId &task, RunNumber, int64_t, FenceToken fence, Done done)
{
	this->Send(
			box, OutgoingOrder{OrderKind::OK_PACE, box.box, fence, task},
			[&site = this->site, box, fence] { return site.Pace(box, fence); }, std::move(done));
}

void SiteOrders::Poll(const BoxReport &box, const LeaseOrder &order, Millis until,
					  const BoxIncarnation &called_incarnation, const std::function<void(LeaseAnswer)> &done)
{
	/* The restart of a box closes its connections, so that waiting calls get no answer. */
	if (this->site.IncarnationOf(box.box) != called_incarnation) {
		this->scheduler.After(ORDER_TIMEOUT, [done] { done(LeaseAnswer{}); });
		return;
	}
	const LeaseAnswer answer = this->site.Lease(box, order);
	const bool blocked = !this->CanReach(box);
	const bool nothing =
			answer.order.outcome == OrderOutcome::OO_DONE && answer.ended.empty() && this->clock.Now() < until;
	if (blocked) {
		this->scheduler.After(ORDER_TIMEOUT, [done] { done(LeaseAnswer{}); });
	} else if (nothing) {
		LeaseOrder later = order;
		later.lease_until.reset();
		later.ends_noted = this->site.acknowledges_on_arrival ? 0 : order.ends_noted;
		this->clock.After(POLL_INTERVAL, [this, box, later, until, called_incarnation, done] {
			this->Poll(box, later, until, called_incarnation, done);
		});
	} else {
		this->scheduler.After(ONE_WAY_LATENCY, [done, answer] { done(answer); });
	}
}

void SiteOrders::LeaseInTransit(const BoxReport &box, const LeaseOrder &order, const OrderTransit &transit,
								const std::function<void(LeaseAnswer)> &done)
{
	const bool answered = transit.answered && !transit.lost && transit.delay < ORDER_TIMEOUT;
	const auto unknown = [done] { done(LeaseAnswer{}); };
	if (!answered) {
		this->scheduler.After(order.wait + ORDER_TIMEOUT, unknown);
	}
	if (transit.lost) {
		return;
	}
	this->clock.After(transit.delay, [this, box, order, answered, done, unknown] {
		if (!this->site.Down(box.box)) {
			this->Poll(
					box, order, this->clock.Now() + order.wait, this->site.IncarnationOf(box.box),
					answered ? done : [](const LeaseAnswer &) {});
		} else if (answered) {
			this->scheduler.After(ORDER_TIMEOUT, unknown);
		}
	});
}

void SiteOrders::Lease(const BoxReport &box, const LeaseOrder &order, std::function<void(LeaseAnswer)> done)
{
	if (!this->CanReach(box)) {
		this->scheduler.After(order.wait + ORDER_TIMEOUT, [done] { done(LeaseAnswer{}); });
		return;
	}
	if (const auto transit =
				this->TransitOf(OutgoingOrder{OrderKind::OK_LEASE, box.box, order.fence, {}, order.ends_noted})) {
		this->LeaseInTransit(box, order, *transit, done);
		return;
	}
	const uint32_t sent = ++this->lease_orders[box.box];
	const uint32_t lose_every_nth = this->site.faults[box.box].lose_lease_every;
	if (lose_every_nth > 0 && sent % lose_every_nth == 0) {
		this->clock.After(ONE_WAY_LATENCY, [&site = this->site, box, order] { site.Lease(box, order); });
		this->scheduler.After(order.wait + ORDER_TIMEOUT, [done] { done(LeaseAnswer{}); });
		return;
	}
	this->clock.After(ONE_WAY_LATENCY, [this, box, order, done = std::move(done)] {
		this->Poll(box, order, this->clock.Now() + order.wait, this->site.IncarnationOf(box.box), done);
	});
}
