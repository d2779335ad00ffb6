/** @file unlucky_task.h Simulation of a long-running task whose boxes are lost again and again by other causes. */
#ifndef UNLUCKY_TASK_H
#define UNLUCKY_TASK_H

#include "job_world.h"

#include <doctest/doctest.h>

inline const ServiceName CALC("calc"); ///< The service that runs the task.

/** A long-running job of three tasks, of which the last loses its box soon after each start, without being the cause.
 */
struct UnluckyTask {
	/** @param others Number of ordinary jobs beside it. */
	explicit UnluckyTask(int others) : job(world.Plan(Millis(1000), "calc", JobWorld::Lasting(3)))
	{
		this->world.site.restart_delay = Millis(250);
		for (int n = 0; n < others; n++) {
			this->world.Plan(Millis(1500 + n * 300), "calc", JobWorld::Chain(2));
		}
	}

	/** @return Whether the owner knows that a run of the last task is under way which has not been lost. */
	bool KnownToRun()
	{
		const WorldNode *owner = this->world.OwnerOf(CALC);
		if (owner == nullptr) {
			return false;
		}
		const ShardJobs &jobs = std::as_const(owner->host).Find(CALC)->Running()->Jobs();
		const auto it = jobs.find(this->job.spec.id);
		if (it == jobs.end()) {
			return false;
		}
		const ShardTask &task = it->second.tasks[2];
		const bool runs = task.phase == TaskPhase::TP_PLACED && task.run_state == RunState::RS_RUNNING;
		if (!runs || task.run == this->lost_run) {
			return false;
		}
		this->run = task.run;
		this->box = BoxName(task.box.id.Value().substr(0, task.box.id.Value().find("-life")));
		return true;
	}

	/** Waits for such a run. @return Whether there is one. */
	bool WaitForRun()
	{
		const Millis give_up_at = this->world.clock.Now() + START_WITHIN;
		while (!this->KnownToRun()) {
			if (this->world.clock.Now() > give_up_at || !this->world.clock.RunNextTimer()) {
				return false;
			}
		}
		return true;
	}

	/** Replaces the node that owns the service. */
	void ReplaceOwner()
	{
		if (WorldNode *owner = this->world.OwnerOf(CALC); owner != nullptr) {
			const std::string name = owner->name;
			JobWorld::Kill(*owner);
			this->world.Boot(name);
		}
	}

	/** Crashes the box of the run. @param after Time until then. @param replaces_owner Whether the owner is replaced at
	 * that moment. */
	void LoseRun(Millis after, bool replaces_owner = false)
	{
		this->world.clock.RunUntil(this->world.clock.Now() + after);
		if (replaces_owner) {
			this->ReplaceOwner();
		}
		this->world.site.Crash(this->box);
		this->lost_run = this->run;
	}

	/** Checks that all tasks of the job run in the end. */
	void CheckAllRun()
	{
		this->world.clock.RunUntil(this->world.clock.Now() + Millis(12000));
		CHECK(this->world.site.Running(this->job.spec.id) == 3);
		CHECK(this->world.site.violations == std::vector<std::string>{});
	}

	static constexpr int LOST_RUNS = 12;                  ///< Number of runs that are lost in a scenario.
	static constexpr Millis START_WITHIN = Millis(20000); ///< Wait for a start; includes a change of owner.

	JobWorld world;     ///< The simulation.
	WorldJob &job;      ///< The long-running job.
	RunNumber run;      ///< The run of the last task that is under way.
	BoxName box;        ///< Its box.
	RunNumber lost_run; ///< The last run of the task that was lost.
};

#endif /* UNLUCKY_TASK_H */
