/** @file soak_node.h A node process of the soak, with its own way to the store. */
#ifndef SOAK_NODE_H
#define SOAK_NODE_H

#include "soak_proxy.h"

#include <QProcess>

/** Where the processes of a soak are and what they speak to. */
struct SoakEnvironment {
	std::string program;     ///< glade_node.
	std::string folder;      ///< Settings and logs.
	quint16 first_port = 0;  ///< Each node takes some from here on.
	quint16 store = 0;       ///< Port of the store.
	quint16 machines = 0;    ///< Port of the control of machines.
	uint32_t partitions = 0; ///< Of a topic.
};

/** A node process; started again whenever it ends, until Finish(). */
class SoakNode {
public:
	/** @param scheduler Clock. @param site What it speaks to. @param number Which node. @param cpu Cores, as a text. */
	SoakNode(QtScheduler &scheduler, const SoakEnvironment &site, int number, const std::string &cpu);
	~SoakNode();
	SoakNode(const SoakNode &) = delete;
	SoakNode &operator=(const SoakNode &) = delete;

	/** Starts the process. */
	void Start();
	/** Kills it; it starts again after a pause. @param pause The pause. */
	void Kill(Millis pause);
	/** Asks for a planned stop; it starts again once it has ended. */
	void Stop();
	/** Stands still for a while. @param span How long. */
	void Freeze(Millis span);
	/** Says that the settings have changed. */
	void Reload();
	/** Asks for a planned stop for good. */
	void Finish();

	/** @return Where callers connect, IP:port. */
	[[nodiscard]] std::string Address() const { return this->address; }
	/** @return Whether it is in a planned stop, and nothing else was done to it since it started. */
	[[nodiscard]] bool InUndisturbedStop() const { return this->stopping && !this->faulted; }
	/** @return Whether it runs and nothing is being done to it. */
	[[nodiscard]] bool IsHealthy() const;
	/** @return Whether it has ended for good. */
	[[nodiscard]] bool HasExited() const { return this->process.state() == QProcess::NotRunning; }
	/** Something was done to its way to the store, or to the store. */
	void MarkFaulted() { this->faulted = true; }

	SoakProxy proxy;             ///< Its way to the store.
	std::string unexpected_exit; ///< How it ended when nobody asked for it; empty if it didn't.

private:
	QtScheduler &scheduler; ///< Clock.
	SoakEnvironment site;   ///< What it speaks to.
	std::string name;       ///< Its name.
	std::string address;    ///< Where callers connect.
	std::string file;       ///< Its settings.
	QProcess process;       ///< The process.
	Millis pause;           ///< Before it starts again.
	bool stopping = false;  ///< Whether a planned stop is under way.
	bool killed = false;    ///< Whether it was killed.
	bool frozen = false;    ///< Whether it stands still.
	bool faulted = false;   ///< Whether anything but a planned stop was done to it since it started.
	bool finishing = false; ///< Whether it ends for good.

	void OnEnded(int code, QProcess::ExitStatus status);
	void Signal(int number);
};

#endif /* SOAK_NODE_H */
