/** @file world.cpp A small deployment on loopback addresses. */
#include "world.h"

#include <QCoreApplication>
#include <QJsonArray>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <sys/prctl.h>
#include <unistd.h>

namespace {

constexpr uint32_t PARTITIONS = 12; ///< Setting `platform.parts` of the small deployments.
constexpr Millis START_LIMIT(15000);
constexpr size_t MACHINES = 8; ///< Minions of a service, four a rack, as `aerovent` of canopy-grid has them.
constexpr size_t RACK = 4;
constexpr const char *HOST = "pule25.example";

/** @return A port that is free on all addresses used here. */
quint16 FreePort()
{
	QTcpServer probe;
	probe.listen(QHostAddress::AnyIPv4, 0);
	return probe.serverPort();
}

/** @return The loopback address of a node. Plays that run side by side have others, so that they don't meet at a port.
 */
std::string IpOf(size_t node)
{
	const auto own = static_cast<size_t>(::getpid()) % (100 * 250);
	return QString("127.%1.%2.%3").arg(1 + own / 250).arg(1 + own % 250).arg(node + 1).toStdString();
}

} // namespace

World::World(const PlayOptions &options)
		: options(options), record(this->scheduler, options.record), store(this->scheduler, this->record, PARTITIONS),
		  minions(this->scheduler, this->record, this->store),
		  caller(this->scheduler, DialLimits{Millis(500), Millis(8000), 8})
{
}

World::~World()
{
	for (const auto &it : this->nodes) {
		it->disconnect();
		if (it->state() != QProcess::NotRunning) {
			it->kill();
			it->waitForFinished();
		}
	}
}

void World::Start(std::function<void()> ready)
{
	for (const char *service : {"calc", "grid"}) {
		for (size_t n = 0; n < MACHINES; n++) {
			this->minions.Add("m-" + std::string(service) + "-" + std::to_string(n), service,
							  "z" + std::to_string(n % 2),
							  "r-" + std::string(service) + "-" + std::to_string(n / RACK));
		}
	}
	if (!this->store.Start() || !this->minions.Start()) {
		this->End(2, "the stand-ins can't listen");
		return;
	}
	this->Publish({{"calc", "calc", 600}, {"grid", "grid", 600}});
	const quint16 front = FreePort();
	const quint16 ready_port = FreePort();
	const quint16 frames = FreePort();
	const quint16 metrics = FreePort();
	for (size_t n = 0; n < NODES; n++) {
		this->StartNode(n, front, ready_port, frames, metrics);
	}
	this->start_limit = this->scheduler.Now() + START_LIMIT;
	this->AwaitReady(std::move(ready));
}

void World::StartNode(size_t number, quint16 front, quint16 ready, quint16 frames, quint16 metrics)
{
	const auto at = [number](quint16 port) { return IpOf(number) + ":" + std::to_string(port); };
	const std::string file = this->options.folder + "/node-" + std::to_string(number) + ".yaml";
	std::string seeds;
	for (size_t n = 0; n < NODES; n++) {
		seeds += (n == 0 ? "" : ", ") + IpOf(n) + ":" + std::to_string(frames);
	}
	/* The same settings as platform/settings.yaml.in, with the figures of canopy-grid. */
	std::ofstream(file) << "name: edge-" << number + 1 << "\nzone: z" << number % 2 << "\ncallers: " << at(front)
						<< "\nready: " << at(ready) << "\nframes: " << at(frames) << "\nmetrics: " << at(metrics)
						<< "\nstore: 127.0.0.1:" << this->store.Port() << "\ncpu: 0.25\npartitions: " << PARTITIONS
						<< "\nlease_max: 10000ms\nmachines: 127.0.0.1:" << this->minions.ControlPort() << "\nseeds: ["
						<< seeds << "]\nadvisor: []\nturn_gap: 3000ms\nconfig_in_force: 2000ms\n";
	auto process = std::make_unique<QProcess>();
	process->setProcessChannelMode(QProcess::MergedChannels);
	process->setStandardOutputFile(
			QString::fromStdString(this->options.folder + "/node-" + std::to_string(number) + ".log"));
	/* No node outlives this program, however it ends. */
	process->setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
	process->start(QString::fromStdString(this->options.node), {"--settings", QString::fromStdString(file)});
	this->nodes.push_back(std::move(process));
	this->addresses.push_back(at(front));
	this->ready_addresses.push_back(at(ready));
}

void World::AwaitReady(std::function<void()> ready)
{
	if (this->scheduler.Now() > this->start_limit) {
		this->End(2, "the nodes did not become ready");
		return;
	}
	auto left = std::make_shared<size_t>(NODES);
	auto good = std::make_shared<size_t>(0);
	for (const std::string &address : this->ready_addresses) {
		HttpCallSpec spec{address, {}, Millis(1000)};
		spec.request.method = "GET";
		spec.request.target = "/v1/ready";
		this->caller.Call(spec, [this, left, good, ready](const HttpReply &reply) {
			*good += reply.result == CallResult::CR_ANSWERED && reply.status == 200 ? 1 : 0;
			if (--*left > 0) {
				return;
			}
			const bool one_ended = std::ranges::any_of(
					this->nodes, [](const auto &it) { return it->state() == QProcess::NotRunning; });
			if (one_ended) {
				this->End(2, "a node ended at its start");
			} else if (*good == NODES) {
				this->record.Write("platform", "all nodes are ready");
				this->After(Millis(3000), ready);
			} else {
				this->After(Millis(300), [this, ready] { this->AwaitReady(ready); });
			}
		});
	}
}

void World::Publish(const std::vector<RouteSpec> &routes)
{
	QJsonArray list;
	std::string text;
	for (const RouteSpec &it : routes) {
		text += " " + it.name + "->" + it.service + " (target-latency-ms " + std::to_string(it.target_latency) + ")";
		list.append(QJsonObject{{"name", QString::fromStdString(it.name)},
								{"host", HOST},
								{"path-prefix", QString::fromStdString("/" + it.name + "/")},
								{"service", QString::fromStdString(it.service)},
								{"priority", 0},
								{"max-attempts", 3},
								{"stretch", 1.6},
								{"target-latency-ms", static_cast<qint64>(it.target_latency)}});
	}
	const QJsonArray services{QJsonObject{{"name", "calc"}, {"admission-check", true}},
							  QJsonObject{{"name", "grid"}, {"admission-check", true}}};
	this->version += 3;
	this->store.Put("keyed.op", "config",
					BodyOf(QJsonObject{{"version", static_cast<qint64>(this->version)},
									   {"routes", list},
									   {"services", services},
									   {"limits", QJsonObject{}}}));
	this->record.Write("operator", "config " + std::to_string(this->version) + " acknowledged:" + text);
}

void World::Call(size_t node, const CallSpec &call, std::function<void(const HttpReply &)> done)
{
	HttpCallSpec spec{this->addresses[node % NODES], {}, call.deadline};
	spec.request.method = call.method;
	spec.request.target = call.path;
	spec.request.headers.Add("Host", HOST);
	spec.request.headers.Add("X-Deadline-Ms", std::to_string(call.deadline.Value()));
	if (!call.body.empty()) {
		spec.request.headers.Add("Content-Type", "application/json");
	}
	spec.request.body = call.body;
	this->caller.Call(spec, [this, node, call, done = std::move(done)](const HttpReply &reply) {
		const std::string what = reply.result == CallResult::CR_ANSWERED
										 ? std::to_string(reply.status) + " " + reply.body
										 : std::string("no answer");
		this->record.Write("client", call.method + " " + call.path + " at node " + std::to_string(node % NODES + 1) +
											 " -> " + what.substr(0, 200) + " after " +
											 std::to_string(reply.took.Value()) + " ms");
		done(reply);
	});
}

void World::HandIn(size_t node, const CallSpec &call, int retries, std::function<void(const HttpReply &)> done)
{
	const Millis sent = this->scheduler.Now();
	this->Call(node, call, [this, node, call, retries, sent, done = std::move(done)](const HttpReply &reply) {
		const bool again = reply.result != CallResult::CR_ANSWERED || reply.status == 502 || reply.status == 503 ||
						   reply.status == 504 || reply.status == 429;
		CallSpec next = call;
		next.deadline = call.deadline - (this->scheduler.Now() - sent) - Millis(100);
		if (!again || retries == 0 || next.deadline < Millis(100)) {
			done(reply);
			return;
		}
		this->After(Millis(100),
					[this, node, next, retries, done] { this->HandIn(node + 1, next, retries - 1, done); });
	});
}

void World::Restart(size_t node, std::function<void()> done)
{
	QProcess *process = this->nodes[node].get();
	this->record.Write("platform", "SIGTERM to node " + std::to_string(node + 1));
	QObject::connect(process, &QProcess::finished, process, [this, process, node, done = std::move(done)] {
		this->record.Write("platform", "node " + std::to_string(node + 1) + " has ended and is started again");
		this->After(Millis(200), [process, done] {
			process->disconnect();
			process->start();
			done();
		});
	});
	process->terminate();
}

void World::End(int code, const std::string &text)
{
	if (std::exchange(this->ended, true)) {
		return;
	}
	this->record.Write("verdict", (code == 0 ? "held: " : code == 1 ? "broken: " : "could not run: ") + text);
	std::cout << (code == 0 ? "held: " : code == 1 ? "broken: " : "could not run: ") << text << std::endl;
	QCoreApplication::exit(code);
}
