/** @file node_scheduler.h Scheduler of one simulated process, which can be killed, paused (as by SIGSTOP), suspended
 * together with its machine, or starved of processor time. */
#ifndef NODE_SCHEDULER_H
#define NODE_SCHEDULER_H

#include "../../scheduler_type.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

/** Clock and timers of one simulated process. Its callbacks run on the simulation's clock while it is alive. */
class NodeScheduler : public Scheduler {
public:
	explicit NodeScheduler(VirtualScheduler &clock) : clock(clock) {}
	~NodeScheduler() override { *this->alive = false; }
	NodeScheduler(const NodeScheduler &) = delete;
	NodeScheduler &operator=(const NodeScheduler &) = delete;

	[[nodiscard]] Millis Now() const override
	{
		return this->counts_sleep ? this->clock.Now() : this->clock.Now() - this->suspended_time;
	}
	[[nodiscard]] Millis WallNow() const override { return this->clock.WallNow(); }
	void Cancel(TimerId id) override { this->timers.erase(id); }
	void Post(std::function<void()> run) override { this->After(Millis(0), std::move(run)); }

	TimerId After(Millis delay, std::function<void()> run) override
	{
		const TimerId id(++this->last_id);
		this->timers.emplace(id, Timer{std::move(run), this->suspended_time});
		this->Arm(id, delay);
		return id;
	}

	/** Suspends the machine: nothing runs, and pending timers don't count the time. Now() counts it only if
	 * `counts_sleep` is set. @param span Length of the suspension. */
	void Suspend(Millis span)
	{
		this->paused_until = this->clock.Now() + span;
		this->suspended_time = this->suspended_time + span;
	}

	/** Returns the cost of the last callback in microseconds at the node's share of a core; the node stalls for that
	 * long. Called after each callback; null when work takes no time. */
	std::function<double()> take_cost;
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< False once the process is killed.
	Millis paused_until;                                        ///< End of the current pause; nothing runs before it.
	bool counts_sleep = true; ///< Whether Now() counts the time for which the machine was suspended.

private:
	static constexpr double US_PER_MS = 1000; ///< Microseconds in a millisecond.

	/** A pending timer. */
	struct Timer {
		std::function<void()> run; ///< Callback.
		Millis suspended_time;     ///< Part of the node's total suspended time by which it was already delayed.
	};

	VirtualScheduler &clock;         ///< Clock of the simulation.
	uint64_t last_id = 0;            ///< Id of the last timer.
	std::map<TimerId, Timer> timers; ///< Pending timers, including those that a pause holds back.
	Millis suspended_time;           ///< Total time for which the machine was suspended.
	double stall_us = 0;             ///< Remaining time for which the node stalls, us.
	std::deque<TimerId> deferred;    ///< Timers that expired during a stall, in order.

	void Arm(TimerId id, Millis delay)
	{
		this->clock.After(delay, [this, process_alive = this->alive, id] {
			if (*process_alive) {
				this->OnTimer(id);
			}
		});
	}

	void OnTimer(TimerId id)
	{
		const auto it = this->timers.find(id);
		if (it == this->timers.end()) {
			return;
		}
		if (this->stall_us >= US_PER_MS || !this->deferred.empty()) {
			this->Defer(id);
			return;
		}
		const Millis missed = this->suspended_time - std::exchange(it->second.suspended_time, this->suspended_time);
		const Millis paused = this->paused_until - this->clock.Now();
		if (missed > Millis(0) || paused > Millis(0)) {
			this->Arm(id, std::max(missed, paused));
			return;
		}
		this->Run(it);
	}

	void Run(std::map<TimerId, Timer>::iterator it)
	{
		this->timers.extract(it).mapped().run();
		if (this->take_cost) {
			this->stall_us += this->take_cost();
		}
	}

	/* One timer of the simulation serves all deferred timers: an overloaded node has thousands of them. */
	void Defer(TimerId id)
	{
		this->deferred.push_back(id);
		if (this->deferred.size() == 1) {
			this->RunDeferred();
		}
	}

	void RunDeferred()
	{
		while (!this->deferred.empty() && this->stall_us < US_PER_MS) {
			const auto it = this->timers.find(this->deferred.front());
			this->deferred.pop_front();
			if (it != this->timers.end()) {
				this->Run(it);
			}
		}
		if (this->deferred.empty()) {
			return;
		}
		const Millis stall(static_cast<int64_t>(this->stall_us / US_PER_MS));
		this->stall_us -= static_cast<double>(stall.Value()) * US_PER_MS;
		this->clock.After(std::max(stall, this->paused_until - this->clock.Now()), [this, process_alive = this->alive] {
			if (*process_alive) {
				this->RunDeferred();
			}
		});
	}
};

#endif /* NODE_SCHEDULER_H */
