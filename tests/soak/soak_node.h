/** @file soak_node.h A node process of the soak test, with its own proxy to the store. */
#ifndef SOAK_NODE_H
#define SOAK_NODE_H

#include "soak_proxy.h"

#include <QProcess>

#include <sys/resource.h>

inline constexpr quint16 PORTS_PER_NODE = 4; ///< Ports for callers, load balancer, other nodes and metrics.

/** Paths and ports for the node processes of a soak test. */
struct SoakEnvironment {
	std::string program;       ///< Path of glade_node.
	std::string folder;        ///< Folder for settings and logs.
	quint16 first_port = 0;    ///< First port of the nodes; each takes PORTS_PER_NODE.
	quint16 store = 0;         ///< Port of the store.
	quint16 machines = 0;      ///< Port of the control of machines.
	uint32_t partitions = 0;   ///< Partitions of each topic.
	std::string settings = {}; ///< Further lines of the settings files; may be empty.
	rlim_t descriptors = 0;    ///< Limit of the descriptors of a process; 0 leaves it as it is.
};

/** A node process, which is restarted whenever it exits, until Finish(). */
class SoakNode {
public:
	/** @param scheduler Event loop. @param environment Paths and ports. @param number Number of the node. @param cpu
	 * Setting "cpu": cores. */
	SoakNode(QtScheduler &scheduler, const SoakEnvironment &environment, int number, const std::string &cpu);
	~SoakNode();
	SoakNode(const SoakNode &) = delete;
	SoakNode &operator=(const SoakNode &) = delete;

	/** Starts the process. */
	void Start();
	/** Kills the process. @param pause Time until it is restarted. */
	void Kill(Millis pause);
	/** Requests a planned stop; the process is restarted after it. */
	void Stop();
	/** Stops the process with SIGSTOP for a while. @param span Time until it continues. */
	void Freeze(Millis span);
	/** Makes the process read its settings again, with SIGHUP. */
	void Reload();
	/** Requests a planned stop without a restart. */
	void Finish();

	/** @return Address for callers, IP:port. */
	[[nodiscard]] std::string Address() const { return this->address; }
	/** @return Id of the process; 0 when it does not run. */
	[[nodiscard]] pid_t Pid() const { return static_cast<pid_t>(this->process.processId()); }
	/** @return First of its ports, which are for callers, the load balancer, other nodes and readers of metrics. */
	[[nodiscard]] quint16 FirstPort() const { return this->first_port; }
	/** @return Whether it is in a planned stop, and no fault has hit it since its start. */
	[[nodiscard]] bool InUndisturbedStop() const { return this->stopping && !this->faulted; }
	/** @return Whether it runs and is neither stopping, killed nor frozen. */
	[[nodiscard]] bool IsHealthy() const;
	/** @return Whether the process is not running. */
	[[nodiscard]] bool HasExited() const { return this->process.state() == QProcess::NotRunning; }
	/** Marks the process as hit by a fault of the store or of the connection to it. */
	void MarkFaulted() { this->faulted = true; }

	SoakProxy proxy;             ///< Its connection to the store.
	std::string unexpected_exit; ///< Description of an unrequested exit; empty for none.

private:
	QtScheduler &scheduler;      ///< Event loop.
	SoakEnvironment environment; ///< Paths and ports.
	std::string name;            ///< Name of the node.
	quint16 first_port;          ///< First of its ports.
	std::string address;         ///< Address for callers.
	std::string file;            ///< Path of its settings file.
	QProcess process;            ///< The process.
	Millis pause;                ///< Time until the next restart.
	bool stopping = false;       ///< Whether a planned stop was requested.
	bool killed = false;         ///< Whether it was killed.
	bool frozen = false;         ///< Whether it is stopped by SIGSTOP.
	bool faulted = false;        ///< Whether a fault has hit it since its start.
	bool finishing = false;      ///< Whether it is not to be restarted.

	void OnEnded(int code, QProcess::ExitStatus status);
	void Signal(int number);
};

#endif /* SOAK_NODE_H */
