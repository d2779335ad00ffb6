/** @file http_caller.h Whole HTTP calls with a time limit, over kept connections. Nothing is ever sent twice. */
#ifndef HTTP_CALLER_H
#define HTTP_CALLER_H

#include "http_line.h"

#include <list>

/** How a call ended. */
enum class CallResult : uint8_t {
	CR_ANSWERED = 0, ///< A whole answer came.
	CR_NOT_SENT = 1, ///< No connection stood: the call was certainly not received.
	CR_UNKNOWN = 2,  ///< Sent, without a whole answer in time.
};

/** Answer to a call. */
struct HttpReply {
	CallResult result = CallResult::CR_UNKNOWN; ///< How it ended.
	int status = 0;                             ///< HTTP status, when answered.
	std::string body;                           ///< Body, when answered.
	Millis took;                                ///< Time from the call to its end.
};

/** A call to make. */
struct HttpCallSpec {
	std::string address;   ///< IP:port.
	CallerRequest request; ///< What to send.
	Millis patience;       ///< Without a whole answer by then, the connection is cut.
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
	 * @param done Gets the answer, later.
	 */
	void Call(const HttpCallSpec &spec, Done done);

	/** @return Calls under way. */
	[[nodiscard]] size_t Open() const { return this->open.size(); }

private:
	/** A call under way. */
	class Pending;

	QtScheduler &scheduler;                   ///< Clock and timers.
	HttpLines lines;                          ///< Connections.
	std::list<std::unique_ptr<Pending>> open; ///< Calls under way.

	void Finish(Pending *it, const HttpReply &reply);
};

#endif /* HTTP_CALLER_H */
