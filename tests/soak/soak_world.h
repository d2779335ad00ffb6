/** @file soak_world.h A randomized day: node processes, stand-ins, callers, faults from outside, and what must hold. */
#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include "net/http_caller.h"
#include "soak_boxes.h"
#include "soak_node.h"
#include "soak_store.h"

/** What a soak is to be. */
struct SoakOptions {
	std::string program;     ///< glade_node.
	std::string folder;      ///< Settings and logs.
	uint32_t seed = 1;       ///< Chooses everything.
	Millis faults_for;       ///< Time with faults; then all heals.
	int nodes = 4;           ///< Node processes.
	int boxes = 6;           ///< Boxes of each service.
	int jobs_per_second = 6; ///< Jobs handed in.
	quint16 first_port = 0;  ///< Of the nodes.
	bool calm = false;       ///< No faults.
};

/** A job as its caller sees it. */
struct SoakJob {
	JobSpec spec;                      ///< As handed in.
	std::string service;               ///< Its service.
	std::string body;                  ///< As sent.
	int attempts = 0;                  ///< Times that it was handed in.
	bool uncertain = false;            ///< Whether a try ended without a refusal.
	std::optional<Millis> accepted_at; ///< When it was first confirmed.
	bool cancel_wanted = false;        ///< Whether its caller asks for its cancellation.
	bool cancelled = false;            ///< Whether that was confirmed.
	std::string expected;              ///< State that it must end in.
	std::string state;                 ///< State told last.
	bool poll_pending = false;         ///< Whether a question is under way.
};

/** The whole. */
class SoakWorld {
public:
	/** @param plan What it is to be. */
	explicit SoakWorld(const SoakOptions &options);

	/** Begins. @param done Told when it is over. @return Whether it could begin. */
	bool Start(std::function<void()> done);

	/** @return What was broken, in words; empty when all held. */
	[[nodiscard]] std::vector<std::string> Failures() const;
	/** @return Counts, in a line. */
	[[nodiscard]] std::string Summary() const;

private:
	/** A fault: what it does for how long. */
	struct Fault {
		const char *name;                             ///< For the log.
		std::function<std::function<void()>()> begin; ///< Begins it; the result ends it, if there is anything to end.
	};

	SoakOptions options;                                 ///< What it is to be.
	QtScheduler scheduler;                               ///< Clock.
	std::mt19937 random;                                 ///< Chooses everything.
	std::minstd_rand capacity_random;                    ///< Chooses boxes whose room changes.
	std::minstd_rand crash_random;                       ///< Chooses boxes that crash.
	SoakStore store;                                     ///< The store.
	SoakBoxes boxes;                                     ///< The boxes.
	std::vector<std::unique_ptr<SoakProxy>> box_proxies; ///< Ways to the boxes' agents.
	std::vector<std::unique_ptr<SoakNode>> nodes;        ///< Node processes.
	HttpCaller caller;                                   ///< Callers' connections.
	std::vector<std::unique_ptr<SoakJob>> jobs;          ///< All jobs.
	std::vector<Fault> fault_kinds;                      ///< Faults that may come.
	std::vector<std::string> failures;                   ///< Promises broken.
	std::function<void()> done;                          ///< Told at the end.
	Millis traffic_started_at;                           ///< When traffic began.
	Millis healed_at;                                    ///< When the last fault ended.
	uint64_t version = 0;                                ///< Of the configuration.
	std::deque<std::string> keys;                        ///< Keys that callers of "grid" may use, the newest last.
	std::string revoked_key;                             ///< The one that was taken away last.
	uint64_t wave = 0;                                   ///< Last wave ordered.
	uint32_t faults = 0;                                 ///< Faults begun.
	uint32_t active_store_faults = 0;                    ///< Faults of the store in force.
	bool load_ended = false;                             ///< Whether no more faults come.

	uint32_t RandomBelow(uint32_t below);
	Millis RandomMillis(int64_t low, int64_t high);
	SoakNode &RandomNode() { return *this->nodes[this->RandomBelow(static_cast<uint32_t>(this->nodes.size()))]; }

	/* soak_world.cpp */
	void AddBoxes();
	void PublishReports();
	void PublishConfig(bool with_extra);
	void InjectNextFault();
	void EndFaults();
	void WaitUntilSettled();
	void ChangeCapacity();
	void CrashBoxes();
	[[nodiscard]] bool HasExpectedState(const SoakJob &job) const;
	bool AllSettled();
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
