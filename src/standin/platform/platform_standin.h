/** @file platform_standin.h The platform in small: a log, a list of boxes, reboots and jobs, each with fault switches.
 */
#ifndef PLATFORM_STANDIN_H
#define PLATFORM_STANDIN_H

#include "../../log/memory_log.h"
#include "../../net/caller_link.h"
#include "../../platform_type.h"
#include "../../program/program.h"

#include <QJsonArray>
#include <QUrlQuery>

#include <list>
#include <map>

/** A box of the platform. */
struct StandinBox {
	ListedBox listed;   ///< As it is listed.
	PermitId rebooting; ///< Permit of a reboot under way, 0 for none.
};

/** An attempt at a job on a box. */
struct StandinJob {
	JobEnd end;          ///< Its name and attempt, and how it ended.
	bool running = true; ///< Whether it still runs.
};

/** A read that waits for a record. */
class WaitingRead;

/**
 * Serves over HTTP:
 * POST /log/append, GET /log/read?from=N&wait_ms=M, GET /boxes, POST /boxes/reboot?box=B&permit=P,
 * POST /boxes/state?box=B&state=live|leaving|failed, POST /jobs/start, POST /jobs/stop, GET /jobs/ends, POST /jobs/ack,
 * POST /fault?down=0|1&delay_ms=N&lose=N&repeat=N. docs/platform.md describes them.
 */
class PlatformStandin : public Server, public RequestHandler {
public:
	explicit PlatformStandin(const Settings &settings);

	bool Start() override;
	void Stop(std::function<void()> done) override;
	[[nodiscard]] QJsonObject Dump() const override;
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;

private:
	friend class WaitingRead;

	Settings settings;                           ///< Settings.
	QtScheduler scheduler;                       ///< Clock and timers.
	CallerLimits limits;                         ///< Limits of connections.
	std::atomic<int> open{0};                    ///< Connections.
	CallerListener listener;                     ///< Clients connect here.
	LogStore store;                              ///< The log.
	LogFaults faults;                            ///< Faults in force.
	std::map<BoxName, StandinBox> boxes;         ///< The boxes.
	std::map<JobName, StandinJob> jobs;          ///< The newest attempt at each job.
	std::list<std::weak_ptr<WaitingRead>> reads; ///< Reads that wait.
	QObject links;                               ///< Parent of connections: they end before what they use.

	void ServeBoxesAndJobs(CallerSink &sink, const CallerRequest &request, const QUrlQuery &query,
						   const std::string &path);
	std::shared_ptr<ServedRequest> ServeRead(CallerSink &sink, const QUrlQuery &query);
	void ServeAppend(CallerSink &sink, CallerRequest request);
	void ServeBox(CallerSink &sink, const QUrlQuery &query, const std::string &path);
	void ServeJob(CallerSink &sink, const CallerRequest &request, const QUrlQuery &query, const std::string &path);
	void SetFaults(const QUrlQuery &query);
	void Reboot(const BoxName &name, PermitId permit);
	void StartJob(const QJsonObject &json);
	void WakeReads();
	void ServeList(CallerSink &sink, const CallerRequest &request) const;
	[[nodiscard]] QJsonArray ListBoxes() const;
	[[nodiscard]] std::string ReadBody(const ReadAnswer &answer) const;
};

#endif /* PLATFORM_STANDIN_H */
