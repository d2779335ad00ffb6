/** @file platform_standin.h A stand-in for the platform: log, list of boxes, reboots and jobs, with fault
 * injection. */
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

/** A box and its reboot. */
struct StandinBox {
	ListedBox listed;   ///< Its row of the list of boxes.
	PermitId rebooting; ///< Permit of the reboot in progress, 0 for none.
};

/** The latest attempt at a job. */
struct StandinJob {
	JobEnd end;          ///< Name, attempt and outcome.
	bool running = true; ///< Whether it still runs.
};

/** A read of the log that is answered later: a long poll, or a delayed answer. */
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
	QtScheduler scheduler;                       ///< Event loop and timers.
	CallerLimits limits;                         ///< Limits for connections.
	std::atomic<int> open{0};                    ///< Open connections.
	CallerListener listener;                     ///< Accepts clients.
	LogStore store;                              ///< The log.
	LogFaults faults;                            ///< Active faults.
	std::map<BoxName, StandinBox> boxes;         ///< Boxes by name.
	std::map<JobName, StandinJob> jobs;          ///< Latest attempt at each job.
	std::list<std::weak_ptr<WaitingRead>> reads; ///< Waiting reads.
	QObject links; ///< Parent of connections; destroyed first, as they use the members above.

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
