/** @file minions.h Stand-ins of minions and of the control of machines, as PROTOCOL.md describes them. */
#ifndef REVIEW_MINIONS_H
#define REVIEW_MINIONS_H

#include "store.h"

#include <map>
#include <set>
#include <vector>

/** What a minion knows of the tasks of a job. */
struct TaskNeeds {
	int64_t cpu = 0;             ///< Thousandths of a core.
	int64_t memory = 0;          ///< MB.
	Millis run_time = Millis(0); ///< Time until a task ends; 0: it lasts.
	size_t checkpoint = 0;       ///< Length of its checkpoints, renewed with each half second of work; 0: it has none.
	uint32_t fail_first = 0;     ///< Runs of each task that end `failed` by their own fault; later ones end `done`.
};

/** A run that has started: where, when and how it ended. */
struct RunSeen {
	std::string task;
	uint32_t run = 0;
	std::string machine;
	std::string service;
	Millis from;
	std::optional<Millis> until;
	std::string how;
};

/** All minions, one listening port each, and the control of machines. */
class Minions {
public:
	Minions(QtScheduler &scheduler, Record &record, ReviewStore &store);

	/** Adds a machine with a minion that is up. */
	void Add(const std::string &machine, const std::string &service, const std::string &zone, const std::string &rack);
	/** Opens all ports and starts the reports. @return Whether they listen. */
	bool Start();
	[[nodiscard]] quint16 ControlPort() const { return this->control.Port(); }
	/** Loses the minion of a machine for good: it crashes and the machine stays `down`. */
	void Lose(const std::string &machine);
	/** @return Number of runs of a job's tasks that are running on minions of a service. */
	[[nodiscard]] size_t Running(const std::string &job, const std::string &service) const;
	/** @return Runs of a job's tasks so far. */
	[[nodiscard]] std::vector<RunSeen> RunsOf(const std::string &job) const;
	/** @return Tasks of a job of which two runs were running at the same time. */
	[[nodiscard]] std::set<std::string> RunTwice(const std::string &job) const;

	std::map<std::string, TaskNeeds> jobs;                                ///< By id of the job.
	std::function<void(const RunSeen &, const std::string &id)> on_start; ///< Called when a run has started.
	Millis start_time;    ///< Time that a minion takes for a start order; it takes them one after the other.
	bool log_runs = true; ///< Whether runs are written to the record.

private:
	struct Run {
		uint32_t run = 0;
		TimerId timer;
		size_t seen = 0; ///< Index in `runs`.
		bool stopping = false;
	};
	struct End {
		uint64_t number = 0;
		std::string task;
		uint32_t run = 0;
		std::string how;
		std::string saved;
	};
	struct Minion {
		std::string machine, service, zone, rack, id, address;
		std::unique_ptr<SoakListener> listener;
		Millis born; ///< Time 0 of its clock.
		uint64_t fence = 0;
		uint64_t writes = 0;
		int64_t lease_until = 0; ///< On its own clock.
		TimerId lease_timer;
		Millis busy_until; ///< When it is done with the start orders that have arrived.
		std::map<std::string, Run> running;
		std::map<std::string, uint32_t> ended_runs; ///< Highest run of each task that was stopped or ended.
		std::vector<End> ends;
		uint64_t last_end = 0;
		bool down = false;
		int lives = 0;
	};

	QtScheduler &scheduler;
	Record &record;
	ReviewStore &store;
	std::map<std::string, Minion> minions; ///< By machine.
	SoakListener control;
	std::vector<RunSeen> runs;

	void BeginLife(Minion &minion);
	void Report(const std::string &machine, const std::string &id);
	[[nodiscard]] int64_t ClockOf(const Minion &minion) const { return (this->scheduler.Now() - minion.born).Value(); }
	void Serve(Minion &minion, const DeferredAnswerPtr &answer, const CallerRequest &request);
	/** Takes a start order when its turn has come. */
	void QueueStart(Minion &minion, const DeferredAnswerPtr &answer, const QJsonObject &json);
	void ServeStart(Minion &minion, const DeferredAnswerPtr &answer, const QJsonObject &json);
	void ServeHold(const std::string &machine, const std::string &id, const DeferredAnswerPtr &answer,
				   const QJsonObject &json, Millis until, bool arrived);
	void ServeControl(const DeferredAnswerPtr &answer, const CallerRequest &request);
	/** @return The checkpoint of a run that has worked since a time. */
	[[nodiscard]] std::string CheckpointOf(const std::string &task, Millis since) const;
	void Extend(Minion &minion, int64_t until);
	void Finish(Minion &minion, const std::string &task, const std::string &how);
	void LoseAll(Minion &minion);
};

#endif /* REVIEW_MINIONS_H */
