/** @file request_type.h Messages of the request path and its interfaces towards callers and endpoints. */
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
	std::string name;  ///< Name as received; compared case-insensitively.
	std::string value; ///< Value without surrounding whitespace.
};

/** Header fields of a message, in the order received. */
class HeaderList {
public:
	std::vector<HeaderField> fields; ///< Fields in order; a name may occur more than once.

	/**
	 * @param name Field name, compared case-insensitively.
	 * @return Value of the first field with this name, or null.
	 */
	[[nodiscard]] const std::string *Find(std::string_view name) const;

	/**
	 * Appends a field.
	 * @param name Field name.
	 * @param value Field value.
	 */
	void Add(std::string name, std::string value);

	/**
	 * Removes all fields with a name.
	 * @param name Field name, compared case-insensitively.
	 */
	void Remove(std::string_view name);

	/** Removes hop-by-hop fields (RFC 9110, section 7.6.1) and Content-Length. */
	void RemoveHopByHop();
};

class ByteShare;

/** A complete request of a caller. */
struct CallerRequest {
	std::string method;        ///< GET, POST, …
	std::string target;        ///< Path and query.
	HeaderList headers;        ///< Header fields.
	std::string body;          ///< Complete body; its size is limited by the settings.
	bool from_peer = false;    ///< Whether another entry forwarded it.
	bool body_dropped = false; ///< Whether it had a body that RequestHandler::WantsBody() declined.
	/** Keeps the bytes of the body reserved; null where bodies have no common limit. */
	std::shared_ptr<const ByteShare> body_share = nullptr;
};

/** Status and header fields of a response. */
struct ResponseHead {
	int status = 200;               ///< HTTP status code.
	std::string reason;             ///< Reason phrase; may be empty.
	HeaderList headers;             ///< Header fields without those that frame the body.
	std::optional<uint64_t> length; ///< Length of the body in bytes, when known in advance.
	bool no_body = false;           ///< Whether the response never has a body (HEAD, 204, 304).
};

/** Sends the response of a request to its caller. All calls are made on the request's thread. */
class CallerSink {
public:
	virtual ~CallerSink() = default;

	/**
	 * Sends the head of the response. Called at most once per request.
	 * @param head Status and header fields.
	 */
	virtual void Begin(const ResponseHead &head) = 0;

	/**
	 * Sends a part of the body.
	 * @param data Next bytes of the body.
	 */
	virtual void Body(std::string_view data) = 0;

	/** Ends the response, which is complete. */
	virtual void End() = 0;

	/** Closes the connection early, so that the caller can tell that the response is incomplete. */
	virtual void Abort() = 0;

	/** @return Whether the send buffer is full; ServedRequest::OnCallerWritable() is called once it has been sent. */
	[[nodiscard]] virtual bool Congested() const = 0;
};

/** A request being served, as seen by its connection. */
class ServedRequest {
public:
	virtual ~ServedRequest() = default;

	/** Called when the caller has disconnected; its sink must not be used after this. */
	virtual void OnCallerDisconnected() = 0;

	/** Called when the send buffer of the sink has been sent. */
	virtual void OnCallerWritable() = 0;
};

/** Serves the requests of connections. Shared by all connections of a thread. */
class RequestHandler {
public:
	virtual ~RequestHandler() = default;

	/**
	 * Starts serving a request.
	 * @param sink Receives the response; may be used before this returns.
	 * @param request Request to serve.
	 * @return Handle of the request; null when its response has ended already.
	 */
	virtual std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) = 0;

	/** Decides on a body before it is received. @param head The request without its body.
	 * @return Whether Serve() uses the body; otherwise it is read and dropped. */
	[[nodiscard]] virtual bool WantsBody(const CallerRequest & /*head*/) const { return true; }
	/** @return Whether connections should be closed once they are idle. */
	[[nodiscard]] virtual bool Closing() const { return false; }
};

/** How a call to an endpoint failed. */
enum class CallFailure : uint8_t {
	CF_NOT_CONNECTED = 0, ///< No byte was written to a socket: the request did not run.
	CF_NO_RESPONSE = 1,   ///< Lost before a complete response head; whether the request ran is unknown.
	CF_TRUNCATED = 2,     ///< Lost within the response body.
	CF_MALFORMED = 3,     ///< The response is not valid HTTP.
};

/** Receives the events of a call. */
class CallEvents {
public:
	virtual ~CallEvents() = default;
	virtual void OnResponseHead(ResponseHead head) = 0;     ///< The head has been received.
	virtual void OnResponseBody(std::string_view data) = 0; ///< A part of the body has been received.
	virtual void OnResponseEnd() = 0;                       ///< The response is complete.
	virtual void OnCallFailed(CallFailure failure) = 0;     ///< The call has failed; no further events follow.
};

/** A call to an endpoint in progress. Its destructor closes the connection unless the response is complete. */
class EndpointCall {
public:
	virtual ~EndpointCall() = default;

	/**
	 * Stops or resumes reading from the endpoint.
	 * @param paused Whether reading is stopped.
	 */
	virtual void SetPaused(bool paused) = 0;

	/** Detaches the call from its owner: no events are delivered after this. */
	virtual void Abandon() = 0;
};

/** Starts calls to endpoints and peers. Does not retry a request by itself. */
class EndpointDialer {
public:
	virtual ~EndpointDialer() = default;

	/**
	 * Starts a call. Events are delivered after this returns, never from inside.
	 * @param address IP:port to connect to.
	 * @param request Request to send.
	 * @param events Receives the events; outlives the call, unless Abandon() was called.
	 * @return The call in progress.
	 */
	virtual std::unique_ptr<EndpointCall> Start(const std::string &address, const CallerRequest &request,
												CallEvents &events) = 0;
};

/**
 * Compares header names or values, ignoring the case of ASCII letters.
 * @param a First text.
 * @param b Second text.
 * @return Whether they are equal apart from case.
 */
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

inline constexpr std::string_view HEADER_RUN = "Glade-Run";   ///< Whether a refused request ran: "no" or "unknown".
inline constexpr std::string_view HEADER_CODE = "Glade-Code"; ///< Number of the result code of a refusal.
inline constexpr std::string_view HEADER_DEADLINE = "Glade-Deadline-Ms";  ///< How long the caller waits, ms.
inline constexpr std::string_view HEADER_REPEATABLE = "Glade-Repeatable"; ///< "yes": the request may be repeated.
inline constexpr std::string_view HEADER_ACCOUNT = "Glade-Tenant";        ///< Client account, for endpoints and peers.
inline constexpr std::string_view HEADER_EPOCH = "Glade-Box-Epoch";       ///< Epoch of the box, for endpoints.
inline constexpr std::string_view HEADER_FORWARDED = "Glade-Forwarded";   ///< Name of the forwarding entry, for peers.
inline constexpr std::string_view HEADER_KEY = "Idempotency-Key";         ///< Key of a request that must not run twice.
inline constexpr std::string_view HEADER_REPLAYED = "Glade-Replayed"; ///< "yes": a stored response of an earlier run.

#endif /* REQUEST_TYPE_H */
