/** @file soak_lasting.h Checks all the while that long-running tasks run. */
#ifndef SOAK_LASTING_H
#define SOAK_LASTING_H

#include "net/qt_scheduler.h"
#include "standin/memory/box_site.h"

struct SoakJob;

/** Checks, by what the boxes run, how long each long-running task of an accepted job is without a run. */
class SoakLastingCheck {
public:
	/** @param scheduler Event loop. @param site The boxes. @param jobs All submitted jobs. @param nodes_up Whether all
	 * node processes run. */
	SoakLastingCheck(QtScheduler &scheduler, BoxSite &site, const std::vector<std::unique_ptr<SoakJob>> &jobs,
					 std::function<bool()> nodes_up)
			: scheduler(scheduler), site(site), jobs(jobs), nodes_up(std::move(nodes_up))
	{
	}

	/** Begins to check at an interval. */
	void Start();
	/** Ends the checks. */
	void End() { this->ended = true; }
	/** Records a fault. @param until When it ends. */
	void NoteFault(Millis until) { this->faults_end_at = std::max(this->faults_end_at, until); }

	/** @return The box of each long-running task that runs. */
	[[nodiscard]] std::vector<BoxName> Boxes() const;
	/** @return Longest time without a run after the end of the faults. */
	[[nodiscard]] Millis LongestGap() const { return this->longest_gap; }

	std::vector<std::string> violations; ///< Tasks that didn't run in time, each gap once.

private:
	/** What is known of a task. */
	struct Sight {
		Millis last_run;       ///< When it last ran, or was accepted.
		bool reported = false; ///< Whether its present gap was reported.
	};

	QtScheduler &scheduler;                            ///< Event loop.
	BoxSite &site;                                     ///< The boxes.
	const std::vector<std::unique_ptr<SoakJob>> &jobs; ///< All submitted jobs.
	std::function<bool()> nodes_up;                    ///< Whether all node processes run.
	std::map<TaskId, Sight> sights;                    ///< What is known of each long-running task.
	Millis faults_end_at;                              ///< When the last fault ends.
	Millis longest_gap;                                ///< See LongestGap().
	bool ended = false;                                ///< Whether End() was called.

	void Check();
	void CheckJob(const SoakJob &job);
	void CheckTask(const SoakJob &job, const TaskId &task);
	[[nodiscard]] bool HasRoom(const SoakJob &job, const TaskId &task) const;
};

#endif /* SOAK_LASTING_H */
