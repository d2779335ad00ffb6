/** @file exchange.h One request on its way: identify, admit, route, send, answer; every promise to callers is kept
 * here. */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "../scheduler_type.h"
#include "request_path.h"

#include <memory>

/** States of a request. */
enum class ExchangeState : uint8_t {
	ES_RECEIVED = 0, ///< Whole request is there.
	ES_WAITING = 1,  ///< Waits for a slot.
	ES_SENT = 2,     ///< Offered to an endpoint or peer; whether it runs is unknown from here on.
	ES_RELAYING = 3, ///< The answer's head is there; its body is passed on.
	ES_DETACHED = 4, ///< The caller has its final answer or left; the endpoint still works and holds its slot.
	ES_DONE = 5,     ///< Nothing is left to do.
};

/**
 * A request of a caller. Lives on one lane (thread); calls into it come from that lane only. It keeps itself alive
 * until it is done, since an endpoint may work on after the caller has left.
 */
class Exchange : public CallEvents, public ServedRequest, public std::enable_shared_from_this<Exchange> {
public:
	/**
	 * @param lane Clock and timers of the request's thread.
	 * @param path What all requests of the entry share; outlives this.
	 * @param dialer Starts calls; outlives this.
	 * @param sink The caller's end; used until the answer has ended, broken, or OnCallerDisconnected().
	 * @param request The request.
	 */
	Exchange(Scheduler &scheduler, RequestPath &path, EndpointDialer &dialer, CallerSink &sink, CallerRequest request);
	~Exchange() override;

	/** Begins. The sink may be used before this returns. */
	void Start();

	void OnCallerDisconnected() override;
	void OnCallerWritable() override;

	/** @return Where the request stands. */
	[[nodiscard]] ExchangeState State() const { return this->state; }

	void OnResponseHead(ResponseHead head) override;
	void OnResponseBody(std::string_view data) override;
	void OnResponseEnd() override;
	void OnCallFailed(CallFailure failure) override;

private:
	/** What was found out about the request. */
	struct Facts {
		AccountName account;                         ///< Client account of the caller.
		ServiceName service;                         ///< Service asked for.
		WorkClass work_class = WorkClass::WC_NORMAL; ///< Its class.
		bool repeatable = false;                     ///< Whether it may run twice.
		Millis deadline;                             ///< When the caller stops waiting, by the lane's clock.
		std::optional<KeyId> key;                    ///< Its key, if it may not be repeated.
	};

	Scheduler &scheduler;                             ///< Clock and timers.
	RequestPath &path;                                ///< Shared by all requests.
	EndpointDialer &dialer;                           ///< Starts calls.
	CallerSink *sink;                                 ///< The caller's end, null once it is over.
	CallerRequest request;                            ///< The request.
	Facts facts;                                      ///< What was found out.
	ExchangeState state = ExchangeState::ES_RECEIVED; ///< Where it stands.
	Route route;                                      ///< Service and gate.
	SlotRequestId slot_request;                       ///< Place at the gate.
	uint64_t slot_attempt = 0;                        ///< Counts asks: late answers of older ones give their slot back.
	std::optional<Grant> grant;                       ///< Slot held.
	Millis granted_at;                                ///< Since when.
	Millis started_at;                                ///< When the request was whole.
	uint32_t attempts = 0;                            ///< Endpoints that it was offered to, one as often as it was.
	std::set<BoxName> tried;                          ///< Endpoints that did not run it.
	std::unique_ptr<EndpointCall> call;               ///< Call under way.
	bool to_peer = false;                             ///< Whether the call goes to another entry.
	bool key_held = false;                            ///< Whether the key's memory says that this request runs.
	std::optional<ResponseHead> head;                 ///< Head of the answer.
	std::string stored_body;                          ///< Body so far, for the memory of keys.
	bool store_body = false;                          ///< Whether the body is kept.
	TimerId timer;                                    ///< Deadline or end of patience.
	std::shared_ptr<Exchange> self;                   ///< Keeps this alive until it is done.

	Result Identify();
	void ReadDeadline();
	void ReadRepeatable();
	Result ReadKey();
	bool ClaimKey();
	void AskForSlot();
	void OnGateDecision(uint64_t round, const GateDecision &answer);
	void OnGranted(const Grant &slot);
	void ForwardTo(const std::string &address);
	bool TryOtherZone();
	void Send(const std::string &address);
	[[nodiscard]] CallerRequest Outgoing() const;
	void OnDeadline();
	void NotRun(ResultCode code, Millis retry_after);
	void Refuse(ResultCode code, const char *run, Millis retry_after = Millis(0));
	void Replay(const StoredResponse &response);
	[[nodiscard]] bool MayRetry() const;
	void Retry(CallOutcome outcome);
	void Detach();
	void DropCall();
	void GiveBack(CallOutcome outcome);
	void FinishKey(bool complete);
	void Finish();
};

#endif /* EXCHANGE_H */
