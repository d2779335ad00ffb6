/** @file endpoint_standin.h A small endpoint with slots and fault switches. */
#ifndef ENDPOINT_STANDIN_H
#define ENDPOINT_STANDIN_H

#include "../../net/caller_link.h"
#include "../../program/program.h"

#include <map>

/** What goes wrong with the next requests. */
enum class EndpointFault : uint8_t {
	EF_NONE = 0,    ///< Nothing.
	EF_CLOSE = 1,   ///< Reads the whole request, runs it, closes without an answer.
	EF_HALF = 2,    ///< Answers half and closes.
	EF_STALL = 3,   ///< Answers half and stalls.
	EF_LATE = 4,    ///< Answers after ten times the ordinary time.
	EF_ERROR = 5,   ///< Answers 500.
	EF_NOT_RUN = 6, ///< Answers 503, not run.
};

/**
 * Runs up to `slots` requests side by side, each for the ordinary time; refuses more as not run. GET …?stream=N sends
 * N parts. POST /fault?kind=K&count=N sets a fault; GET /runs tells how often each Idempotency-Key or body ran.
 */
class EndpointStandin : public Server, public RequestHandler {
public:
	explicit EndpointStandin(const Settings &settings);

	bool Start() override;
	void Stop(std::function<void()> done) override;
	[[nodiscard]] QJsonObject Dump() const override;
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;

	/** @return Port that it listens on. */
	[[nodiscard]] quint16 Port() const { return this->listener.serverPort(); }

private:
	friend class EndpointRun;

	Settings settings;                            ///< Settings.
	QtScheduler scheduler;                        ///< Clock and timers.
	CallerLimits limits;                          ///< Limits of connections.
	std::atomic<int> open{0};                     ///< Connections.
	CallerListener listener;                      ///< Entries connect here.
	EndpointFault fault = EndpointFault::EF_NONE; ///< What goes wrong.
	int64_t fault_left = 0;                       ///< Requests that it still hits.
	int64_t running = 0;                          ///< Requests running.
	int64_t peak = 0;                             ///< Most that ever ran side by side.
	int64_t refused = 0;                          ///< Refused as not run.
	std::map<std::string, int> runs;              ///< Runs by key, or by method, target and body.
	QObject links;                                ///< Parent of connections: they end before what they use.

	void ServeControl(CallerSink &sink, const CallerRequest &request);
	[[nodiscard]] EndpointFault NextFault();
};

#endif /* ENDPOINT_STANDIN_H */
