/** @file exchange.h Handling of one request: identification, admission, routing, sending and response. Guarantees
 * given to callers, such as running a keyed request at most once, are enforced here. */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "../scheduler_type.h"
#include "request_path.h"

#include <memory>

/** States of a request. */
enum class ExchangeState : uint8_t {
	ES_RECEIVED = 0, ///< The complete request has been received.
	ES_WAITING = 1,  ///< Queued for a slot.
	ES_SENT = 2,     ///< Passed to an endpoint or peer; from here on it is unknown whether the request runs.
	ES_RELAYING = 3, ///< The response head has been received; the body is being relayed.
	ES_DETACHED = 4, ///< The caller has been answered or has left; the call goes on and holds its slot.
	ES_DONE = 5,     ///< Finished.
};

/**
 * A request of a caller. Used from one thread only. Keeps itself alive until it is finished, since a call may go on
 * after the caller has left.
 */
class Exchange : public CallEvents, public ServedRequest, public std::enable_shared_from_this<Exchange> {
public:
	/**
	 * @param scheduler Clock and timers of the request's thread.
	 * @param path State shared by all requests of the entry; outlives this.
	 * @param dialer Starts calls to endpoints and peers; outlives this.
	 * @param sink Receives the response; used until the response has ended or was aborted, or OnCallerDisconnected().
	 * @param request Complete request.
	 */
	Exchange(Scheduler &scheduler, RequestPath &path, EndpointDialer &dialer, CallerSink &sink, CallerRequest request);
	~Exchange() override;

	/** Starts handling the request. The sink may be used before this returns. */
	void Start();

	void OnCallerDisconnected() override;
	void OnCallerWritable() override;

	/** @return State of the request. */
	[[nodiscard]] ExchangeState State() const { return this->state; }

	void OnResponseHead(ResponseHead head) override;
	void OnResponseBody(std::string_view data) override;
	void OnResponseEnd() override;
	void OnCallFailed(CallFailure failure) override;

private:
	/** Properties of the request, derived from its headers and its service. */
	struct RequestProperties {
		AccountName account;                         ///< Client account of the caller.
		ServiceName service;                         ///< Service requested.
		WorkClass work_class = WorkClass::WC_NORMAL; ///< Work class of the service.
		bool repeatable = false;                     ///< Whether it may run more than once.
		Millis deadline;                             ///< When the caller stops waiting, by the scheduler's clock.
		std::optional<KeyId> key;                    ///< Idempotency key of a request that is not repeatable.
	};

	Scheduler &scheduler;                             ///< Clock and timers of the request's thread.
	RequestPath &path;                                ///< State shared by all requests.
	EndpointDialer &dialer;                           ///< Starts calls to endpoints and peers.
	CallerSink *sink;                                 ///< Receives the response; null once it must not be used.
	CallerRequest request;                            ///< Request as received.
	RequestProperties facts;                          ///< Properties of the request.
	ExchangeState state = ExchangeState::ES_RECEIVED; ///< State of the request.
	Route route;                                      ///< Configuration of the service and gate of its pool.
	SlotRequestId slot_request;                       ///< Queued slot request.
	uint64_t slot_attempt = 0;          ///< Number of the latest slot request; grants of earlier ones are released.
	std::optional<Grant> grant;         ///< Slot in use.
	Millis granted_at;                  ///< Time of the grant.
	Millis started_at;                  ///< Time at which the request was complete.
	uint32_t attempts = 0;              ///< Number of sends to endpoints.
	std::set<BoxName> tried;            ///< Endpoints that failed the request.
	std::unique_ptr<EndpointCall> call; ///< Call in progress.
	bool to_peer = false;               ///< Whether the request is forwarded to another entry.
	bool key_held = false;              ///< Whether the key is recorded as running for this request.
	std::optional<ResponseHead> head;   ///< Response head, once received.
	std::string stored_body;            ///< Body received so far, for the key memory.
	bool store_body = false;            ///< Whether the body is collected in `stored_body`.
	TimerId timer;                      ///< Deadline, or end of `detach_patience` once detached.
	std::shared_ptr<Exchange> self;     ///< Keeps this alive until it is finished.

	Result Identify();
	void ReadDeadline();
	void ReadRepeatable();
	Result ReadKey();
	bool ClaimKey();
	void AskForSlot();
	void OnGateDecision(uint64_t attempt, const GateDecision &answer);
	void OnGranted(const Grant &slot);
	void ForwardTo(const std::string &address);
	bool TryOtherZone();
	void Send(const std::string &address);
	[[nodiscard]] CallerRequest Outgoing() const;
	void OnDeadline();
	void NotRun(ResultCode code, Millis retry_after);
	void Refuse(ResultCode code, const char *run, Millis retry_after = Millis(0));
	void Replay(const StoredResponse &response);
	/** @return Whether the request may be sent again; if so, a retry was taken from the budget. */
	[[nodiscard]] bool MayRetry() const;
	void Retry(CallOutcome outcome);
	void Detach();
	void DropCall();
	void GiveBack(CallOutcome outcome);
	void FinishKey(bool complete);
	void Finish();
};

#endif /* EXCHANGE_H */
