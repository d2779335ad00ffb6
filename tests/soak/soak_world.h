/** @file soak_world.h A randomized test with node processes, stand-ins, callers, fault injection and invariants. */
#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include "net/http_caller.h"
#include "program/bounded_log.h"
#include "soak_evacuation.h"
#include "soak_fleet.h"
#include "soak_lasting.h"
#include "soak_node.h"

inline constexpr uint32_t LOG_LINES_PER_SECOND = 100; ///< Log lines of one kind per second.

/** Options of a soak test. */
struct SoakOptions {
	std::string program;     ///< Path of glade_node.
	std::string folder;      ///< Folder for settings and logs.
	uint32_t seed = 1;       ///< Seed of all random choices.
	Millis faults_for;       ///< Time with faults.
	int nodes = 4;           ///< Number of node processes.
	int boxes = 6;           ///< Number of boxes of each service.
	int jobs_per_second = 6; ///< Rate of submissions.
	quint16 first_port = 0;  ///< First port of the nodes.
	bool calm = false;       ///< Whether to inject no faults.
	/** Whether a long-running task that is without a run for too long is a failure: that depends on the machine's
	 * speed.
	 */
	bool judges_gaps = false;
};

inline constexpr const char *ROAMING_ROUTE = "roam"; ///< Route that changes its service, is removed and added again.

/** A job from its caller's point of view. */
struct SoakJob {
	JobSpec spec;                      ///< As submitted.
	std::string route;                 ///< Name of its route, as in the path of requests.
	std::string body;                  ///< Body of the submission.
	int attempts = 0;                  ///< Number of submissions.
	bool uncertain = false;            ///< Whether an unconfirmed submission may have been accepted.
	std::optional<Millis> accepted_at; ///< Time of the confirmation.
	bool cancel_wanted = false;        ///< Whether its caller will cancel it.
	bool cancelled = false;            ///< Whether the cancellation was confirmed.
	std::string expected;              ///< State that it must reach.
	std::string state;                 ///< Last reported state.
	bool poll_pending = false;         ///< Whether a query of its state is in progress.
};

/** The soak test. */
class SoakWorld {
public:
	/** @param options Options. */
	explicit SoakWorld(const SoakOptions &options);

	/** Starts the test. @param done Called at its end. @return Whether the servers listen. */
	bool Start(std::function<void()> done);

	/** @return Descriptions of all failed checks. */
	[[nodiscard]] std::vector<std::string> Failures() const;
	/** @return Seed and counts, in one line. */
	[[nodiscard]] std::string Summary() const;

private:
	/** A kind of fault that the test may inject. */
	struct Fault {
		const char *name;                             ///< Name in the output.
		std::function<std::function<void()>()> begin; ///< Begins the fault; returns what ends it, or null.
		bool cuts_store = false; ///< Whether nodes may not learn of the operators' records meanwhile.
	};

	SoakOptions options;                                       ///< Options.
	QtScheduler scheduler;                                     ///< Event loop.
	RateLimitedLog log{this->scheduler, LOG_LINES_PER_SECOND}; ///< Log lines of the boxes.
	std::mt19937 random;                          ///< Makes the random choices that no other generator makes.
	std::minstd_rand capacity_random;             ///< Chooses boxes whose capacity changes.
	std::minstd_rand crash_random;                ///< Chooses crashes of boxes.
	std::minstd_rand loss_random;                 ///< Chooses boxes that are lost at a start or for good.
	std::minstd_rand roaming_random;              ///< Chooses services of the route that changes its service.
	std::string roaming_service{"calc"};          ///< Service of that route; empty while it is removed.
	SoakStore store;                              ///< Store server.
	SoakBoxes boxes;                              ///< Server of the boxes.
	SoakFleet fleet;                              ///< Reports of the boxes, and the ways to them.
	SoakEvacuations evacuations;                  ///< Evacuations of zones.
	std::vector<std::unique_ptr<SoakNode>> nodes; ///< Node processes.
	HttpCaller caller;                            ///< Connections of callers.
	std::vector<std::unique_ptr<SoakJob>> jobs;   ///< All submitted jobs.
	SoakLastingCheck lasting;                     ///< Checks that long-running tasks run.
	std::vector<Fault> fault_kinds;               ///< Kinds of faults to choose from.
	std::vector<std::string> failures;            ///< Failed checks of callers and nodes.
	std::function<void()> done;                   ///< Called at the end.
	Millis traffic_started_at;                    ///< Start of the traffic.
	Millis faults_ended_at;                       ///< End of the last fault.
	uint64_t version = 0;                         ///< Latest version of the configuration.
	std::deque<std::string> keys;                 ///< Valid API keys, newest last.
	std::string revoked_key;                      ///< Latest revoked key.
	uint64_t wave = 0;                            ///< Number of the last wave: a request to maintain boxes.
	uint32_t faults = 0;                          ///< Number of faults begun.
	uint32_t active_store_faults = 0;             ///< Number of active faults of the store.
	bool load_ended = false; ///< Whether the time with faults is over: no more jobs and faults are started.

	uint32_t RandomBelow(uint32_t below);
	Millis RandomMillis(int64_t low, int64_t high);
	SoakNode &RandomNode() { return *this->nodes[this->RandomBelow(static_cast<uint32_t>(this->nodes.size()))]; }

	/* soak_world.cpp */
	/** Publishes a configuration with a new key. */
	void PublishConfig(bool with_extra);
	/** Appends a configuration with the current version, keys and routes. */
	void AppendConfig(bool with_extra);
	[[nodiscard]] QJsonArray RoutesJson(bool with_extra) const;
	/** Sends a route to another service, removes it or adds it, now and at an interval. */
	void MoveRoute();
	void InjectNextFault();
	void EndFaults();
	void WaitUntilSettled();
	void ChangeCapacity();
	void CrashBoxes();
	/** Crashes a box, if chance has it, before it executes a start order or just after. */
	void CrashAtStart(const BoxName &box);
	/** Crashes a box of a long-running task for good; its machine stays listed as down. */
	void LoseBox();
	[[nodiscard]] bool HasExpectedState(const SoakJob &job) const;
	bool AllSettled();
	[[nodiscard]] bool NodesUp() const;
	void CheckRemovedRoute();
	void CheckKeys();
	void CheckKey(SoakNode &node, const std::string &key);
	void StopAll();
	void Check();

	/* soak_faults.cpp */
	void DefineFaults();
	PartitionId RandomPartition();
	std::function<void()> InjectStoreFault(const std::function<void()> &begin, const std::function<void()> &end);

	/* soak_callers.cpp */
	void SubmitNextJob();
	std::unique_ptr<SoakJob> MakeJob();
	void Submit(SoakJob &job);
	void OnSubmitReply(SoakJob &job, const HttpReply &reply);
	void Cancel(SoakJob &job);
	void PollState(SoakJob &job);
	void Send(SoakNode &node, const char *method, const std::string &path, const std::string &body,
			  const std::function<void(const HttpReply &)> &then);
};

#endif /* SOAK_WORLD_H */
