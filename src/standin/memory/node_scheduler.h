/** @file node_scheduler.h Clock of one process in memory: it can be killed, paused as by a stopped process, suspended
 * with its machine, or be short of processor time. */
#ifndef NODE_SCHEDULER_H
#define NODE_SCHEDULER_H

#include "../../scheduler_type.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

/** Runs on the world's clock while its process lives. */
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

	/** The machine is suspended: nothing runs, and the time does not count for timers that are set; when it wakes, the
	 * clock has jumped ahead of them. @param span For how long. */
	void Suspend(Millis span)
	{
		this->paused_until = this->clock.Now() + span;
		this->suspended_time = this->suspended_time + span;
	}

	/** What a callback has cost in microseconds of processor time at the node's share of a core, told after each one;
	 * null when work takes no time. The node stands still for so long. */
	std::function<double()> take_cost;
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< False once killed.
	Millis paused_until;                                        ///< Everything waits until then.
	bool counts_sleep = true; ///< Whether Now() counts the time for which the machine was suspended.

private:
	static constexpr double US_PER_MS = 1000; ///< Microseconds in a millisecond.

	/** A timer that is set. */
	struct Timer {
		std::function<void()> run; ///< What it runs.
		Millis suspended_time;     ///< Time suspended before it was set.
	};

	VirtualScheduler &clock;         ///< The world's clock.
	uint64_t last_id = 0;            ///< Last timer handed out.
	std::map<TimerId, Timer> timers; ///< Timers that are set, also those that wait for a pause to end.
	Millis suspended_time;           ///< Time for which the machine was suspended so far.
	double stall_us = 0;             ///< Time for which the node has yet to stand still.
	std::deque<TimerId> deferred;    ///< Timers that came due while it did, in order.

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

	/* One timer of the world serves all that wait: a node that is behind has thousands. */
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
