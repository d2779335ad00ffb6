/** @file request_type.h Types of the request path: messages, and the interfaces towards callers and endpoints. */
#ifndef REQUEST_TYPE_H
#define REQUEST_TYPE_H

#include "../error_type.h"
#include "../fleet/fleet_type.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** One header field. */
struct HeaderField {
	std::string name;  ///< As received; compared without case.
	std::string value; ///< Without surrounding blanks.
};

/** Header fields of a message, in order. */
class HeaderList {
public:
	std::vector<HeaderField> fields; ///< The fields.

	/**
	 * @param name Name of a field.
	 * @return Value of the first such field, or null.
	 */
	[[nodiscard]] const std::string *Find(std::string_view name) const;

	/**
	 * Adds a field.
	 * @param name Its name.
	 * @param value Its value.
	 */
	void Add(std::string name, std::string value);

	/**
	 * Removes all fields of a name.
	 * @param name The name.
	 */
	void Remove(std::string_view name);

	/** Removes the fields that hold for one connection only (RFC 9110, 7.6.1), and framing fields. */
	void RemoveHopByHop();
};

/** A whole request of a caller. */
struct CallerRequest {
	std::string method;     ///< GET, POST, …
	std::string target;     ///< Path and query.
	HeaderList headers;     ///< Its fields.
	std::string body;       ///< Whole body; bounded by the settings.
	bool from_peer = false; ///< Whether another entry forwarded it.
};

/** Head of an answer. */
struct ResponseHead {
	int status = 200;               ///< HTTP status.
	std::string reason;             ///< Reason phrase, may be empty.
	HeaderList headers;             ///< Fields without framing.
	std::optional<uint64_t> length; ///< Length of the body, when it is known beforehand.
	bool no_body = false;           ///< Whether no body follows by definition (HEAD, 204, 304).
};

/** The caller's end of a request. All calls on the request's own thread. */
class CallerSink {
public:
	virtual ~CallerSink() = default;

	/**
	 * Begins the answer. Called once a request, unless it is broken before.
	 * @param head The head.
	 */
	virtual void Begin(const ResponseHead &head) = 0;

	/**
	 * Sends a part of the body.
	 * @param data The part.
	 */
	virtual void Body(std::string_view data) = 0;

	/** Ends the answer: it is whole. */
	virtual void End() = 0;

	/** Breaks the connection so that the caller can tell that the answer is not whole. */
	virtual void Abort() = 0;

	/** @return Whether too much is waiting to be taken by the caller; Exchange::OnCallerWritable() tells when not. */
	[[nodiscard]] virtual bool Congested() const = 0;
};

/** A request being served, as its connection knows it. */
class ServedRequest {
public:
	virtual ~ServedRequest() = default;

	/** The caller has closed its end: its sink must not be used any more. */
	virtual void OnCallerDisconnected() = 0;

	/** The caller has taken what was waiting for it. */
	virtual void OnCallerWritable() = 0;
};

/** Serves requests of a connection. Shared by all connections of a lane. */
class RequestHandler {
public:
	virtual ~RequestHandler() = default;

	/**
	 * Begins to serve a request.
	 * @param sink The caller's end; may be used at once.
	 * @param request The request.
	 * @return The request being served; null when its answer has ended already.
	 */
	virtual std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) = 0;

	/** @return Whether connections should be closed as soon as they are idle. */
	[[nodiscard]] virtual bool Closing() const { return false; }
};

/** How a call to an endpoint failed. */
enum class CallFailure : uint8_t {
	CF_NOT_CONNECTED = 0, ///< No byte was offered to a socket: the request did not run.
	CF_NO_RESPONSE = 1,   ///< Sent, but broke off before a whole head of an answer: unknown.
	CF_TRUNCATED = 2,     ///< Broke off within the answer.
	CF_MALFORMED = 3,     ///< The answer is not valid HTTP.
};

/** What a call tells its owner. */
class CallEvents {
public:
	virtual ~CallEvents() = default;
	virtual void OnResponseHead(ResponseHead head) = 0;     ///< Head of the answer.
	virtual void OnResponseBody(std::string_view data) = 0; ///< A part of its body.
	virtual void OnResponseEnd() = 0;                       ///< The answer is whole.
	virtual void OnCallFailed(CallFailure failure) = 0;     ///< No more will come.
};

/** A call to an endpoint under way. Destroying it cuts the connection, unless the answer is whole. */
class EndpointCall {
public:
	virtual ~EndpointCall() = default;

	/**
	 * Stops or resumes reading from the endpoint.
	 * @param paused Whether to stop.
	 */
	virtual void SetPaused(bool paused) = 0;

	/** No event comes after this. */
	virtual void Abandon() = 0;
};

/** Starts calls to endpoints and peers. Never sends a request a second time by itself. */
class EndpointDialer {
public:
	virtual ~EndpointDialer() = default;

	/**
	 * Starts a call. Events come later, never from inside this function.
	 * @param address IP:port.
	 * @param request What to send.
	 * @param events Gets what happens; outlives the call.
	 * @return The call.
	 */
	virtual std::unique_ptr<EndpointCall> Start(const std::string &address, const CallerRequest &request,
												CallEvents &events) = 0;
};

/**
 * Compares header names and values without case.
 * @param a One text.
 * @param b Another.
 * @return Whether they are equal but for case.
 */
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

inline constexpr std::string_view HEADER_RUN = "Glade-Run";               ///< "no" or "unknown" on refusals.
inline constexpr std::string_view HEADER_CODE = "Glade-Code";             ///< Number of the result code on refusals.
inline constexpr std::string_view HEADER_DEADLINE = "Glade-Deadline-Ms";  ///< How long the caller waits.
inline constexpr std::string_view HEADER_REPEATABLE = "Glade-Repeatable"; ///< "yes": the caller allows repeats.
inline constexpr std::string_view HEADER_ACCOUNT = "Glade-Tenant";        ///< Client account, told to endpoints.
inline constexpr std::string_view HEADER_EPOCH = "Glade-Box-Epoch";       ///< Epoch of the box, told to endpoints.
inline constexpr std::string_view HEADER_FORWARDED = "Glade-Forwarded";   ///< Name of the forwarding entry.
inline constexpr std::string_view HEADER_KEY = "Idempotency-Key";         ///< Key of a request that may not run twice.
inline constexpr std::string_view HEADER_REPLAYED = "Glade-Replayed"; ///< "yes": remembered answer of an earlier run.

#endif /* REQUEST_TYPE_H */
