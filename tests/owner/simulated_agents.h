/** @file simulated_agents.h Simulated agents of many boxes, served over sockets on their own thread. */
#ifndef SIMULATED_AGENTS_H
#define SIMULATED_AGENTS_H

#include "jobs/job_type.h"
#include "net/caller_link.h"

#include <QThread>

#include <unordered_map>

/**
 * Answers starts and lease orders like boxes; every run succeeds after a fixed time. One listener serves all boxes,
 * each of which has its own loopback address.
 */
class SimulatedAgents : public RequestHandler {
public:
	/** @param boxes Number of boxes. @param run_time Time that every run takes. */
	SimulatedAgents(size_t boxes, Millis run_time);
	~SimulatedAgents() override;
	SimulatedAgents(const SimulatedAgents &) = delete;
	SimulatedAgents &operator=(const SimulatedAgents &) = delete;

	/** @return Reports of all boxes. @param service Their service. @param box_capacity Capacity of each. */
	[[nodiscard]] std::vector<BoxReport> Reports(const ServiceName &service, const Resources &box_capacity) const;

	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;

private:
	/** A lease order that waits for the end of a run. */
	class WaitingLeaseOrder;

	/** A run that has ended. */
	struct EndedRun {
		uint64_t number = 0; ///< Increases with each end.
		std::string task;    ///< Name of the task.
		int64_t run = 0;     ///< Number of the run.
	};

	/** State of a box. */
	struct Agent {
		std::unordered_map<std::string, int64_t> running; ///< Number of the run by task name.
		std::vector<EndedRun> ended;                      ///< Ends that the owner has not acknowledged.
		uint64_t ends = 0;                                ///< Number of the last end.
		std::weak_ptr<WaitingLeaseOrder> waiting_order;   ///< The waiting lease order, if any.
	};

	size_t boxes;                                  ///< Number of boxes.
	Millis run_time;                               ///< Time that every run takes.
	QThread thread;                                ///< Thread of the listener and of all members below.
	QObject thread_object;                         ///< Object in the thread; functions invoked on it run there.
	std::unique_ptr<QtScheduler> scheduler;        ///< Event loop of the thread.
	std::unique_ptr<CallerListener> listener;      ///< Accepts connections.
	CallerLimits limits;                           ///< Limits for connections.
	std::atomic<int> open{0};                      ///< Open connections.
	std::unordered_map<std::string, Agent> agents; ///< Boxes by incarnation id.
	quint16 port = 0;                              ///< Port of the listener.

	void OnThread(const std::function<void()> &run);
	void Start(Agent &agent, const std::string &task, int64_t run);
	[[nodiscard]] std::string LeaseReply(const Agent &agent) const;
};

#endif /* SIMULATED_AGENTS_H */
