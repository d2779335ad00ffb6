/** @file http_caller.h Complete HTTP calls with a time limit over persistent connections, never retried. */
#ifndef HTTP_CALLER_H
#define HTTP_CALLER_H

#include "http_connection.h"

#include <list>

/** Outcome of a call. */
enum class CallResult : uint8_t {
	CR_ANSWERED = 0, ///< A complete response was received.
	CR_NOT_SENT = 1, ///< Nothing was sent: the call was certainly not received.
	CR_UNKNOWN = 2,  ///< No complete response was received; the call may have been received.
};

/** Result of a call. */
struct HttpReply {
	CallResult result = CallResult::CR_UNKNOWN; ///< Outcome.
	int status = 0;                             ///< HTTP status, if a response was received.
	std::string body;                           ///< Response body, if a response was received.
	Millis took;                                ///< Time from the start of the call to its end.
};

/** A call to make. */
struct HttpCallSpec {
	std::string address;   ///< IP:port.
	CallerRequest request; ///< Request to send.
	/** Time limit for a complete response, extended if this process stalls; the connection is closed when it expires.
	 */
	Millis timeout;
};

/** Makes calls from one thread. */
class HttpCaller {
public:
	using Done = std::function<void(const HttpReply &)>;

	/**
	 * @param scheduler Clock and timers of this thread.
	 * @param limits Limits of connections.
	 */
	HttpCaller(QtScheduler &scheduler, DialLimits limits);
	~HttpCaller();
	HttpCaller(const HttpCaller &) = delete;
	HttpCaller &operator=(const HttpCaller &) = delete;

	/**
	 * Makes a call.
	 * @param spec The call.
	 * @param done Called with the result, never from within Call().
	 */
	void Call(const HttpCallSpec &spec, Done done);

	/** @return Number of calls in progress. */
	[[nodiscard]] size_t Open() const { return this->open.size(); }

private:
	/** A call in progress. */
	class Pending;

	QtScheduler &scheduler;                   ///< Clock and timers.
	HttpConnectionPool connections;           ///< Idle connections.
	std::list<std::unique_ptr<Pending>> open; ///< Calls in progress.

	void Finish(Pending *it, const HttpReply &reply);
};

#endif /* HTTP_CALLER_H */
