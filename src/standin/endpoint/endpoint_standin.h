/** @file endpoint_standin.h A small endpoint with slots and fault injection. */
#ifndef ENDPOINT_STANDIN_H
#define ENDPOINT_STANDIN_H

#include "../../net/caller_link.h"
#include "../../program/program.h"

#include <map>

/** Fault of the next requests, set by its number in POST /fault. */
enum class EndpointFault : uint8_t {
	EF_NONE = 0,    ///< None.
	EF_CLOSE = 1,   ///< Runs the request and closes without an answer.
	EF_HALF = 2,    ///< Sends half of the answer and closes.
	EF_STALL = 3,   ///< Sends half of the answer and stalls.
	EF_LATE = 4,    ///< Answers after LATE_FACTOR times the run time.
	EF_ERROR = 5,   ///< Answers 500.
	EF_NOT_RUN = 6, ///< Answers 503 without running the request.
};

/**
 * Runs up to `slots` requests concurrently, each for the time `work`, and refuses more as not run. GET …?stream=N sends
 * N parts. POST /fault?kind=K&count=N sets a fault; GET /runs returns how often each Idempotency-Key ran,
 * or for requests without one, each combination of method, target and body.
 */
class EndpointStandin : public Server, public RequestHandler {
public:
	explicit EndpointStandin(const Settings &settings);

	bool Start() override;
	void Stop(std::function<void()> done) override;
	[[nodiscard]] QJsonObject Dump() const override;
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;

	/** @return Listening port. */
	[[nodiscard]] quint16 Port() const { return this->listener.serverPort(); }

private:
	friend class EndpointRun;

	Settings settings;                            ///< Settings.
	QtScheduler scheduler;                        ///< Event loop and timers.
	CallerLimits limits;                          ///< Limits for connections.
	std::atomic<int> open{0};                     ///< Open connections.
	CallerListener listener;                      ///< Accepts entries.
	EndpointFault fault = EndpointFault::EF_NONE; ///< Active fault.
	int64_t fault_left = 0;                       ///< Remaining requests with the fault.
	int64_t running = 0;                          ///< Running requests.
	int64_t peak = 0;                             ///< Maximum of concurrent requests.
	int64_t refused = 0;                          ///< Requests refused as not run.
	std::map<std::string, int> runs;              ///< Runs by Idempotency-Key, or by method, target and body.
	QObject links; ///< Parent of connections; destroyed first, as they use the members above.

	void ServeControl(CallerSink &sink, const CallerRequest &request);
	[[nodiscard]] EndpointFault NextFault();
};

#endif /* ENDPOINT_STANDIN_H */
