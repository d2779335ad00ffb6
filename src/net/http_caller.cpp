/** @file http_caller.cpp Whole HTTP calls with a time limit. */
#include "http_caller.h"

#include <algorithm>
#include <utility>

namespace {

/** A time limit that falls due this much late tells that this process was held up: the answer may lie unread. */
constexpr Millis HELD_UP(30);
constexpr Millis GRACE_LEAST(50); ///< Time to read it then, at least; as long as it was held up, otherwise.

} // namespace

class HttpCaller::Pending : public CallEvents {
public:
	Pending(HttpCaller &caller, Done done) : done(std::move(done)), caller(caller) {}
	~Pending() override { this->caller.scheduler.Cancel(this->timer); }
	Pending(const Pending &) = delete;
	Pending &operator=(const Pending &) = delete;

	void Start(const HttpCallSpec &spec)
	{
		this->begun = this->caller.scheduler.Now();
		this->address = spec.address;
		this->timer = this->caller.scheduler.After(spec.patience,
												   [this, due = this->begun + spec.patience] { this->OnDue(due); });
		this->call = this->caller.dialer.Start(spec.address, spec.request, *this);
	}

	void OnAnswerHead(AnswerHead head) override { this->reply.status = head.status; }
	void OnAnswerBody(std::string_view data) override { this->reply.body += data; }
	void OnAnswerEnd() override { this->End(CallResult::CR_ANSWERED); }

	void OnCallFailed(CallFailure failure) override
	{
		this->End(failure == CallFailure::CF_NOT_CONNECTED ? CallResult::CR_NOT_SENT : CallResult::CR_UNKNOWN);
	}

	/** Cuts the connection, unless the answer is whole. */
	void Drop()
	{
		this->caller.scheduler.Cancel(this->timer);
		this->call.reset();
	}

	Done done;                                        ///< Gets the answer.
	std::list<std::unique_ptr<Pending>>::iterator at; ///< Its place among those under way.

private:
	HttpCaller &caller;                 ///< Owns this.
	std::unique_ptr<EndpointCall> call; ///< The call.
	HttpReply reply;                    ///< What came so far.
	TimerId timer;                      ///< Time limit.
	Millis begun;                       ///< When the call was made.
	std::string address;                ///< Where it goes.
	bool ended = false;                 ///< Whether the answer was told.

	/* A busy process that took its own delay for lost answers sent its orders again, and was busier by that: an owner
	 * of 150 boxes then never recovered from a peak. */
	void OnDue(Millis due)
	{
		const Millis late = this->caller.scheduler.Now() - due;
		if (late <= HELD_UP) {
			this->GiveUp();
			return;
		}
		this->timer = this->caller.scheduler.After(std::max(late, GRACE_LEAST), [this] { this->GiveUp(); });
	}

	/* Connections may fall silent without a reset, all at once. Those that have carried nothing since this call began
	 * are closed: otherwise each of six kept ones would cost the next calls their whole time limit. */
	void GiveUp()
	{
		this->caller.dialer.DropIdle(this->address, this->begun);
		this->End(CallResult::CR_UNKNOWN);
	}

	void End(CallResult result)
	{
		/* Answer and time limit may fall due in the same turn of the event loop: the first one counts. */
		if (std::exchange(this->ended, true)) {
			return;
		}
		this->caller.scheduler.Cancel(this->timer);
		this->call->Abandon();
		this->reply.result = result;
		this->reply.took = this->caller.scheduler.Now() - this->begun;
		this->caller.Finish(this, this->reply);
	}
};

HttpCaller::HttpCaller(QtScheduler &scheduler, DialLimits limits) : scheduler(scheduler), dialer(scheduler, limits) {}

HttpCaller::~HttpCaller() = default;

void HttpCaller::Call(const HttpCallSpec &spec, Done done)
{
	this->open.push_back(std::make_unique<Pending>(*this, std::move(done)));
	this->open.back()->at = std::prev(this->open.end());
	this->open.back()->Start(spec);
}

void HttpCaller::Finish(Pending *it, const HttpReply &reply)
{
	/* The events of its socket are still on the stack. */
	this->over.push_back(std::move(*it->at));
	this->open.erase(it->at);
	if (this->over.size() == 1) {
		this->scheduler.Post([this] {
			std::ranges::for_each(this->over, [](const auto &late) { late->Drop(); });
			this->over.clear();
		});
	}
	it->done(reply);
}
