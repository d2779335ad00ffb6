/** @file http_caller.cpp Whole HTTP calls with a time limit. */
#include "http_caller.h"

#include <algorithm>
#include <utility>

namespace {

/** A time limit that falls due this much late tells that this process was held up: the answer may lie unread. */
constexpr Millis HELD_UP(30);
constexpr Millis GRACE_LEAST(50); ///< Time to read it then, at least; as long as it was held up, otherwise.

} // namespace

class HttpCaller::Pending : public HttpLineEvents {
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
		this->line = this->caller.lines.Take(spec.address);
		if (this->line) {
			this->line->Call(WriteRequest(spec.request, spec.address), *this);
		}
	}

	void OnAnswer(int status, std::string body) override
	{
		this->reply.status = status;
		this->reply.body = std::move(body);
		this->End(CallResult::CR_ANSWERED);
	}

	void OnFailed(bool sent) override { this->End(sent ? CallResult::CR_UNKNOWN : CallResult::CR_NOT_SENT); }

	Done done;                                        ///< Gets the answer.
	std::list<std::unique_ptr<Pending>>::iterator at; ///< Its place among those under way.

private:
	HttpCaller &caller;             ///< Owns this.
	std::unique_ptr<HttpLine> line; ///< The connection.
	HttpReply reply;                ///< What came.
	TimerId timer;                  ///< Time limit.
	Millis begun;                   ///< When the call was made.
	std::string address;            ///< Where it goes.

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
		this->caller.lines.DropIdle(this->address, this->begun);
		if (this->line) {
			this->line->Drop();
		}
		this->End(this->line ? CallResult::CR_UNKNOWN : CallResult::CR_NOT_SENT);
	}

	void End(CallResult result)
	{
		this->caller.scheduler.Cancel(this->timer);
		if (this->line) {
			this->caller.lines.Keep(this->address, std::move(this->line));
		}
		this->reply.result = result;
		this->reply.took = this->caller.scheduler.Now() - this->begun;
		this->caller.Finish(this, this->reply);
	}
};

HttpCaller::HttpCaller(QtScheduler &scheduler, DialLimits limits) : scheduler(scheduler), lines(scheduler, limits) {}

HttpCaller::~HttpCaller() = default;

void HttpCaller::Call(const HttpCallSpec &spec, Done done)
{
	this->open.push_back(std::make_unique<Pending>(*this, std::move(done)));
	this->open.back()->at = std::prev(this->open.end());
	this->open.back()->Start(spec);
}

void HttpCaller::Finish(Pending *it, const HttpReply &reply)
{
	/* It lives until its caller was told. */
	const std::unique_ptr<Pending> over = std::move(*it->at);
	this->open.erase(it->at);
	over->done(reply);
}
