/** @file node_scheduler.h Clock of one process in memory: it can be killed, or paused as by a stopped machine. */
#ifndef NODE_SCHEDULER_H
#define NODE_SCHEDULER_H

#include "../../scheduler_type.h"

#include <memory>

/** Runs on the world's clock while its process lives. */
class NodeScheduler : public Scheduler {
public:
	explicit NodeScheduler(VirtualScheduler &clock) : clock(clock) {}
	~NodeScheduler() override { *this->alive = false; }
	NodeScheduler(const NodeScheduler &) = delete;
	NodeScheduler &operator=(const NodeScheduler &) = delete;

	[[nodiscard]] Millis Now() const override { return this->clock.Now(); }
	[[nodiscard]] Millis WallNow() const override { return this->clock.WallNow(); }
	void Cancel(TimerId id) override { this->timers.erase(id); }
	void Post(std::function<void()> run) override { this->After(Millis(0), std::move(run)); }

	TimerId After(Millis delay, std::function<void()> run) override
	{
		const TimerId id(++this->last_id);
		this->timers.emplace(id, std::move(run));
		this->Arm(id, delay);
		return id;
	}

	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< False once killed.
	Millis paused_until;                                        ///< Everything waits until then.

private:
	VirtualScheduler &clock;                         ///< The world's clock.
	uint64_t last_id = 0;                            ///< Last timer handed out.
	std::map<TimerId, std::function<void()>> timers; ///< Timers that are set, also those that wait for a pause to end.

	void Arm(TimerId id, Millis delay)
	{
		this->clock.After(delay, [this, still = this->alive, id] {
			if (*still) {
				this->Fire(id);
			}
		});
	}

	void Fire(TimerId id)
	{
		if (this->clock.Now() < this->paused_until) {
			this->Arm(id, this->paused_until - this->clock.Now());
			return;
		}
		if (const auto node = this->timers.extract(id); !node.empty()) {
			node.mapped()();
		}
	}
};

#endif /* NODE_SCHEDULER_H */
