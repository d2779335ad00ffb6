/** @file simulated_agents.h Agents of many boxes over real sockets, on a thread of their own. */
#ifndef SIMULATED_AGENTS_H
#define SIMULATED_AGENTS_H

#include "jobs/job_type.h"
#include "net/caller_link.h"

#include <QThread>

#include <unordered_map>

/**
 * Answers starts and lease orders as boxes do; every run ends well after a fixed time. One listener serves all boxes:
 * each has a loopback address of its own.
 */
class SimulatedAgents : public RequestHandler {
public:
	/** @param boxes Number of boxes. @param run_time Time that each run takes. */
	SimulatedAgents(size_t boxes, Millis run_time);
	~SimulatedAgents() override;
	SimulatedAgents(const SimulatedAgents &) = delete;
	SimulatedAgents &operator=(const SimulatedAgents &) = delete;

	/** @return Reports of all boxes. @param service Their service. @param room What each has. */
	[[nodiscard]] std::vector<BoxReport> Reports(const ServiceName &service, const Resources &room) const;

	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;

private:
	/** A lease order whose answer waits for an end. */
	class WaitingLeaseOrder;

	/** A run that has ended. */
	struct EndedRun {
		uint64_t number = 0; ///< Rises with each end.
		std::string task;    ///< Name of the task.
		int64_t run = 0;     ///< Which start.
	};

	/** A box. */
	struct Agent {
		std::unordered_map<std::string, int64_t> running; ///< Which start, by name of the task.
		std::vector<EndedRun> ended;                      ///< Ends that the owner hasn't recorded.
		uint64_t ends = 0;                                ///< Number of the last end.
		std::weak_ptr<WaitingLeaseOrder> waiting_order;   ///< The lease order that waits.
	};

	size_t boxes;                                  ///< Number of boxes.
	Millis run_time;                               ///< Time that each run takes.
	QThread thread;                                ///< Serves all of them.
	QObject thread_context;                        ///< Lives on it.
	std::unique_ptr<QtScheduler> scheduler;        ///< Clock of the thread.
	std::unique_ptr<CallerListener> listener;      ///< Accepts.
	CallerLimits limits;                           ///< Of connections.
	std::atomic<int> open{0};                      ///< Connections.
	std::unordered_map<std::string, Agent> agents; ///< Boxes by life.
	quint16 port = 0;                              ///< Port of the listener.

	void OnThread(const std::function<void()> &run);
	void Start(Agent &agent, const std::string &task, int64_t run);
	[[nodiscard]] std::string LeaseReply(const Agent &agent) const;
};

#endif /* SIMULATED_AGENTS_H */
