/** @file node_scheduler.h Clock of one process in memory: it can be killed, or paused as by a stopped machine. */
#ifndef NODE_SCHEDULER_H
#define NODE_SCHEDULER_H

#include "../../scheduler_type.h"

#include <memory>

/** Runs on the world's clock while its process lives. */
class NodeScheduler : public Scheduler {
public:
	explicit NodeScheduler(VirtualScheduler &clock) : clock(clock) {}
	[[nodiscard]] Millis Now() const override { return this->clock.Now(); }
	[[nodiscard]] Millis WallNow() const override { return this->clock.WallNow(); }
	void Cancel(TimerId id) override { this->clock.Cancel(id); }
	void Post(std::function<void()> run) override { this->After(Millis(0), std::move(run)); }

	TimerId After(Millis delay, std::function<void()> run) override
	{
		return this->clock.After(delay, [this, still = this->alive, run = std::move(run)]() mutable {
			if (*still) {
				this->RunOrWait(std::move(run));
			}
		});
	}

	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< False once killed.
	Millis paused_until;                                        ///< Everything waits until then.

private:
	VirtualScheduler &clock; ///< The world's clock.

	void RunOrWait(std::function<void()> run)
	{
		if (this->clock.Now() < this->paused_until) {
			this->After(this->paused_until - this->clock.Now(), std::move(run));
			return;
		}
		run();
	}
};

#endif /* NODE_SCHEDULER_H */
