/** @file soak_node.cpp A node process of the soak test. */
#include "soak_node.h"

#include <csignal>
#include <fstream>
#include <sys/prctl.h>

namespace {

constexpr Millis RESTART_DELAY(200); ///< Time from an exit to the restart.

} // namespace

SoakNode::SoakNode(QtScheduler &scheduler, const SoakEnvironment &environment, int number, const std::string &cpu)
		: proxy(scheduler, environment.store), scheduler(scheduler), environment(environment),
		  name("node-" + std::to_string(number)),
		  first_port(static_cast<quint16>(environment.first_port + number * PORTS_PER_NODE)), pause(RESTART_DELAY)
{
	const auto at = [this](quint16 n) { return "127.0.0.1:" + std::to_string(this->first_port + n); };
	this->address = at(0);
	this->file = environment.folder + "/" + this->name + ".yaml";
	this->proxy.Start();
	std::ofstream(this->file) << "name: " << this->name << "\nzone: z" << number % 2 << "\ncallers: " << at(0)
							  << "\nready: " << at(1) << "\nframes: " << at(2) << "\nmetrics: " << at(3)
							  << "\nstore: 127.0.0.1:" << this->proxy.serverPort()
							  << "\nmachines: 127.0.0.1:" << environment.machines << "\ncpu: " << cpu
							  << "\npartitions: " << environment.partitions << "\nlease_max: 10s\n"
							  << environment.settings;
	this->process.setChildProcessModifier([limit = environment.descriptors] {
		::prctl(PR_SET_PDEATHSIG, SIGKILL); /* A node must not outlive a test that has ended early. */
		if (limit > 0) {
			const rlimit limits{limit, limit};
			::setrlimit(RLIMIT_NOFILE, &limits);
		}
	});
	this->process.setProcessChannelMode(QProcess::MergedChannels);
	this->process.setStandardOutputFile(QString::fromStdString(environment.folder + "/" + this->name + ".log"),
										QIODevice::Append);
	QObject::connect(&this->process, &QProcess::errorOccurred, &this->process, [this](QProcess::ProcessError error) {
		if (error == QProcess::FailedToStart) {
			this->unexpected_exit = this->name + " could not be started: " + this->environment.program;
		}
	});
	QObject::connect(&this->process, &QProcess::finished, &this->process,
					 [this](int code, QProcess::ExitStatus status) { this->OnEnded(code, status); });
}

SoakNode::~SoakNode()
{
	this->process.disconnect();
	if (this->process.state() != QProcess::NotRunning) {
		this->process.kill();
		this->process.waitForFinished();
	}
}

void SoakNode::Start()
{
	this->stopping = this->killed = this->frozen = this->faulted = false;
	this->process.start(QString::fromStdString(this->environment.program),
						{"--settings", QString::fromStdString(this->file)});
}

void SoakNode::OnEnded(int code, QProcess::ExitStatus status)
{
	const bool asked = this->killed || (this->stopping && code == 0 && status == QProcess::NormalExit);
	if (!asked) {
		this->unexpected_exit = this->name + " ended with code " + std::to_string(code) +
								(status == QProcess::CrashExit ? " (crash)" : "");
	}
	if (!this->finishing) {
		this->scheduler.After(this->pause, [this] { this->Start(); });
	}
	this->pause = RESTART_DELAY;
}

void SoakNode::Signal(int number)
{
	if (this->process.state() == QProcess::Running) {
		::kill(static_cast<pid_t>(this->process.processId()), number);
	}
}

void SoakNode::Kill(Millis pause)
{
	this->pause = pause;
	this->killed = this->faulted = true;
	this->Signal(SIGKILL);
}

void SoakNode::Stop()
{
	this->stopping = true;
	this->Signal(SIGTERM);
}

void SoakNode::Freeze(Millis span)
{
	if (this->frozen) {
		return;
	}
	this->frozen = this->faulted = true;
	this->Signal(SIGSTOP);
	this->scheduler.After(span, [this] {
		this->frozen = false;
		this->Signal(SIGCONT);
	});
}

void SoakNode::Reload()
{
	this->Signal(SIGHUP);
}

void SoakNode::Finish()
{
	this->finishing = true;
	this->Stop();
}

bool SoakNode::IsHealthy() const
{
	return this->process.state() == QProcess::Running && !this->stopping && !this->killed && !this->frozen;
}
