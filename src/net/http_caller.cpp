/** @file http_caller.cpp Complete HTTP calls with a time limit. */
#include "http_caller.h"

#include <algorithm>
#include <utility>

namespace {

/** A timer that fires later than this shows that the process was stalled: the response may be waiting unread. */
constexpr Millis STALL_THRESHOLD(30);
constexpr Millis MIN_STALL_GRACE(50); ///< Minimum extra wait after a stall; otherwise the wait equals the stall.

} // namespace

class HttpCaller::Pending : public HttpConnectionEvents {
public:
	Pending(HttpCaller &caller, Done done) : done(std::move(done)), caller(caller) {}
	~Pending() override { this->caller.scheduler.Cancel(this->timer); }
	Pending(const Pending &) = delete;
	Pending &operator=(const Pending &) = delete;

	void Start(const HttpCallSpec &spec)
	{
		this->started_at = this->caller.scheduler.Now();
		this->address = spec.address;
		this->timer = this->caller.scheduler.After(
				spec.timeout, [this, due = this->started_at + spec.timeout] { this->OnTimeout(due); });
		this->connection = this->caller.connections.Acquire(spec.address);
		if (this->connection) {
			this->connection->Call(WriteRequest(spec.request, spec.address), *this);
		}
	}

	void OnAnswer(int status, std::string body) override
	{
		this->reply.status = status;
		this->reply.body = std::move(body);
		this->End(CallResult::CR_ANSWERED);
	}

	void OnFailed(bool maybe_received) override
	{
		this->End(maybe_received ? CallResult::CR_UNKNOWN : CallResult::CR_NOT_SENT);
	}

	Done done;                                              ///< Called with the result.
	std::list<std::unique_ptr<Pending>>::iterator position; ///< Position in the list of calls in progress.

private:
	HttpCaller &caller;                         ///< Owns this call.
	std::unique_ptr<HttpConnection> connection; ///< The connection; null if the address is not valid.
	HttpReply reply;                            ///< Result of the call.
	TimerId timer;                              ///< Time limit.
	Millis started_at;                          ///< Start time of the call.
	std::string address;                        ///< Destination, IP:port.

	/* An overloaded process that mistakes its own delay for lost responses repeats its orders, which adds load: an
	 * owner of 150 boxes never recovered from a peak that way. */
	void OnTimeout(Millis due)
	{
		const Millis delay = this->caller.scheduler.Now() - due;
		if (delay <= STALL_THRESHOLD) {
			this->FailWithTimeout();
			return;
		}
		this->timer =
				this->caller.scheduler.After(std::max(delay, MIN_STALL_GRACE), [this] { this->FailWithTimeout(); });
	}

	/* All connections to an address may stop responding at once without a reset. Those unused since this call
	 * started are closed: otherwise each of them, up to six, would make a later call time out. */
	void FailWithTimeout()
	{
		this->caller.connections.CloseIdle(this->address, this->started_at);
		if (this->connection) {
			this->connection->Abandon();
		}
		this->End(this->connection ? CallResult::CR_UNKNOWN : CallResult::CR_NOT_SENT);
	}

	void End(CallResult result)
	{
		this->caller.scheduler.Cancel(this->timer);
		if (this->connection) {
			this->caller.connections.Release(this->address, std::move(this->connection));
		}
		this->reply.result = result;
		this->reply.took = this->caller.scheduler.Now() - this->started_at;
		this->caller.Finish(this, this->reply);
	}
};

HttpCaller::HttpCaller(QtScheduler &scheduler, DialLimits limits) : scheduler(scheduler), connections(scheduler, limits)
{
}

HttpCaller::~HttpCaller() = default;

void HttpCaller::Call(const HttpCallSpec &spec, Done done)
{
	this->open.push_back(std::make_unique<Pending>(*this, std::move(done)));
	this->open.back()->position = std::prev(this->open.end());
	this->open.back()->Start(spec);
}

void HttpCaller::Finish(Pending *it, const HttpReply &reply)
{
	/* Keeps the call alive until its callback has returned. */
	const std::unique_ptr<Pending> finished = std::move(*it->position);
	this->open.erase(it->position);
	finished->done(reply);
}
