/** @file clients_world.h A test with node processes, ordinary callers, and a crowd of clients that misbehave. */
#ifndef CLIENTS_WORLD_H
#define CLIENTS_WORLD_H

#include "../soak/soak_fleet.h"
#include "../soak/soak_node.h"
#include "client_crowd.h"
#include "net/http_caller.h"
#include "program/bounded_log.h"

#include <QProcess>

#include <random>

/** Options of the test. */
struct ClientsOptions {
	std::string program;     ///< Path of glade_node.
	std::string folder;      ///< Folder for settings and logs.
	std::string self;        ///< Path of this program, which also runs the crowd.
	std::string kind;        ///< Name of the kind of clients; empty for none.
	std::string door;        ///< Name of the door that they come to.
	uint32_t clients = 0;    ///< Number of clients.
	Millis span;             ///< How long they go on.
	uint32_t seed = 1;       ///< Seed of all random choices.
	quint16 first_port = 0;  ///< First port of the nodes.
	int64_t memory_mb = 160; ///< Memory of a node's machine.
};

/** A job of an ordinary caller. */
struct OrdinaryJob {
	JobId id;                          ///< Its id.
	int attempts = 0;                  ///< Number of submissions.
	std::optional<Millis> accepted_at; ///< When its submission was confirmed.
	bool completed = false;            ///< Whether it was reported as completed.
	bool poll_pending = false;         ///< Whether a query of its state is in progress.
};

/** How requests to the node that the crowd comes to have fared. */
struct RequestTimes {
	std::vector<Millis> answered; ///< Times of those that were answered.
	uint32_t failed = 0;          ///< Number of those that were not.

	/** @return Count, median, slowest and failures, as text. */
	[[nodiscard]] std::string Text() const;
};

/** The test. The crowd comes to the first node; ordinary callers use all nodes and try others after a refusal. */
class ClientsWorld {
public:
	/** @param options Options. */
	explicit ClientsWorld(const ClientsOptions &options);
	~ClientsWorld();
	ClientsWorld(const ClientsWorld &) = delete;
	ClientsWorld &operator=(const ClientsWorld &) = delete;

	/** Starts the test. @param done Called at its end. @return Whether the servers listen. */
	bool Start(std::function<void()> done);
	/** @return Descriptions of all failed checks. */
	[[nodiscard]] std::vector<std::string> Failures() const;
	/** @return Kind of clients, memory and times, in one line. */
	[[nodiscard]] std::string Summary() const;

private:
	ClientsOptions options;                         ///< Options.
	QtScheduler scheduler;                          ///< Event loop.
	RateLimitedLog log;                             ///< Log lines of the boxes.
	std::mt19937 random;                            ///< Makes the random choices.
	SoakStore store;                                ///< Store server.
	SoakBoxes boxes;                                ///< Server of the boxes.
	SoakFleet fleet;                                ///< Reports of the boxes.
	std::vector<std::unique_ptr<SoakNode>> nodes;   ///< Node processes; the crowd comes to the first.
	HttpCaller caller;                              ///< Connections of ordinary callers.
	HttpCaller prober;                              ///< Connections of the probes of the first node.
	QProcess crowd;                                 ///< The crowd.
	std::vector<std::unique_ptr<OrdinaryJob>> jobs; ///< Jobs of ordinary callers.
	JobId lasting_job;                              ///< Id of the long-running job.
	RequestTimes request_times;                     ///< Probes at the port for callers, while the crowd is there.
	RequestTimes ready_times;                       ///< Probes at the load balancer's port, meanwhile.
	std::vector<uint64_t> peak_bytes;               ///< Most memory that each node has used.
	std::map<quint16, uint64_t> queued;             ///< Bytes in the queues of sockets, by local port.
	Millis queues_due;                              ///< When these are measured again.
	uint64_t peak_resident = 0;                     ///< Resident part of the first node's.
	std::vector<std::string> failures;              ///< Failed checks.
	std::function<void()> done;                     ///< Called at the end.
	bool crowd_present = false;                     ///< Whether the crowd is there.
	bool submitting = true;                         ///< Whether ordinary callers submit jobs.
	Millis crowd_left_at;                           ///< When the crowd has left.

	void StartNodes();
	void PublishConfig();
	/** Registers a job with the boxes. @param id Id of the job. @param spec The job, without its id. */
	void Register(const JobId &id, JobSpec spec);
	void StartCrowd();
	void OnCrowdLeft();
	/** Measures the memory of all nodes; ends a node that is beyond the memory of its machine. */
	void WatchMemory();
	void ReportExcess(size_t node);

	void SubmitLastingJob();
	void SubmitNextJob();
	void Submit(OrdinaryJob &job);
	void Poll(OrdinaryJob &job);
	void Probe();
	/** Makes a call to a node. @param port Port on loopback. @param to Connections to use. @param request Method, path
	 * and body. @param then Called with the reply. */
	void Call(quint16 port, HttpCaller &to, const CallerRequest &request, const HttpCaller::Done &then);

	void AwaitReady();
	void CheckLargeRequest();
	void AwaitSettled();
	[[nodiscard]] bool Settled() const;
	void Finish();
};

#endif /* CLIENTS_WORLD_H */
