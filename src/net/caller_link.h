/** @file caller_link.h Server side of HTTP connections: one request at a time, responses with back pressure. */
#ifndef CALLER_LINK_H
#define CALLER_LINK_H

#include "byte_budget.h"
#include "http_codec.h"
#include "qt_scheduler.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <atomic>

/** Limits of connections from callers. */
struct CallerLimits {
	HttpLimits http;                            ///< Message size limits.
	Millis head_wait = Millis(10000);           ///< Time limit for a complete request head.
	Millis body_wait = Millis(30000);           ///< Time limit for a complete request body.
	Millis idle_wait = Millis(60000);           ///< An idle connection is closed after this time.
	Millis send_wait = Millis(30000);           ///< Time limit for a caller to take some of the response bytes.
	Millis body_grace = Millis(30000);          ///< Time after which `body_rate` is demanded of a body.
	int64_t body_rate = 0;                      ///< Minimum bytes of a body per second; 0 for none.
	int64_t response_buffer_bytes = 256 * 1024; ///< Unsent response bytes above which nothing more is taken in.
	int64_t read_buffer_bytes = 64 * 1024;      ///< Received bytes that wait to be parsed; then TCP slows the caller.
	std::shared_ptr<ByteBudget> bodies;         ///< Bounds the bytes of all bodies; null for no common limit.
	bool from_peers = false;                    ///< Whether the callers are other entries.
};

/** Why the process has ended a connection or refused a request, rather than its caller. */
enum class CallerRefusal : uint8_t {
	CR_TOO_SLOW = 0,    ///< A head, body or the taking of a response took too long.
	CR_INVALID = 1,     ///< A request was invalid or over a limit of its own.
	CR_BODIES_FULL = 2, ///< The bodies of other requests left no memory for its body.
	CR_DISPLACED = 3,   ///< It gave way to newer connections.
};
inline constexpr size_t CALLER_REFUSALS = 4; ///< Number of reasons.

class CallerLink;

/** Keeps the connections of a process. */
class CallerLinkOwner {
public:
	virtual ~CallerLinkOwner() = default;
	/** Notes that a request of a connection was answered. @param link The connection. */
	virtual void OnServed(CallerLink &link) = 0;
	/** Notes that a connection is destroyed. @param link The connection. */
	virtual void OnClosed(CallerLink &link) = 0;
	/** Notes a refusal. @param reason The reason. */
	virtual void OnRefused(CallerRefusal reason) = 0;
	/** Asks for a body's memory. @param link The connection of the body. @param bytes Bytes that it needs. @return
	 * Whether another body has given way. */
	virtual bool MakeRoom(const CallerLink &link, size_t bytes) = 0;
};

/** A connection from a caller. Deletes itself when the connection is closed. */
class CallerLink : public QObject, public CallerSink, private BodyAdmission {
public:
	/**
	 * @param scheduler Clock and timers of this thread.
	 * @param handler Serves the requests; outlives this object.
	 * @param limits Size and time limits; outlive this object.
	 * @param open_connections Count of open connections.
	 * @param descriptor The accepted socket.
	 * @param owner Keeps the connections; outlives this object; may be null.
	 */
	CallerLink(QtScheduler &scheduler, RequestHandler &handler, const CallerLimits &limits,
			   std::atomic<int> &open_connections, qintptr descriptor, CallerLinkOwner *owner = nullptr);
	/** Not to be called with temporary limits, which would not outlive this object. */
	CallerLink(QtScheduler &, RequestHandler &, CallerLimits &&, std::atomic<int> &, qintptr,
			   CallerLinkOwner * = nullptr) = delete;
	~CallerLink() override;

	void Begin(const ResponseHead &head) override;
	void Body(std::string_view data) override;
	void End() override;
	void Abort() override;
	[[nodiscard]] bool Congested() const override;

	/** Closes the connection unless a request is in progress or partly received. */
	void CloseIfIdle();
	/** @return Whether a request was received whose response is not complete. */
	[[nodiscard]] bool Busy() const { return this->busy; }
	/** @return Bytes that are reserved for a body that is being received. */
	[[nodiscard]] size_t BodyBytes() const { return this->body_bytes; }
	/** @return When the head of the request in progress was complete. */
	[[nodiscard]] Millis BodySince() const { return this->body_since; }

private:
	/** What a connection waits for. */
	enum class Wait : uint8_t {
		W_SERVING = 0, ///< The response of the request in progress.
		W_REQUEST = 1, ///< The first byte of a request.
		W_HEAD = 2,    ///< The rest of a head.
		W_BODY = 3,    ///< The rest of a body.
		W_SEND = 4,    ///< That the caller takes response bytes.
		W_CLOSE = 5,   ///< That the caller closes after the last response.
	};

	QtScheduler &scheduler;                       ///< Clock and timers.
	RequestHandler &handler;                      ///< Serves the requests.
	const CallerLimits &limits;                   ///< Size and time limits.
	std::atomic<int> &open_connections;           ///< Count of open connections.
	CallerLinkOwner *owner;                       ///< Keeps the connections; may be null.
	QTcpSocket socket;                            ///< The connection.
	RequestReader reader;                         ///< Parses requests.
	std::shared_ptr<ServedRequest> served;        ///< Request in progress; null if it was answered within Serve().
	bool busy = false;                            ///< Whether a request was taken whose response is not complete yet.
	bool serving = false;                         ///< Whether the handler's Serve() is running.
	bool closing = false;                         ///< Whether the connection closes after this response.
	bool refused = false;                         ///< Whether the request was refused before it was received in full.
	bool closed_output = false;                   ///< Whether the sending side was closed.
	bool omit_body = false;                       ///< Whether the response in progress has no body.
	BodyFraming framing = BodyFraming::BF_LENGTH; ///< Body framing of the response in progress.
	std::shared_ptr<ByteShare> body_share;        ///< Memory of the body that is being received; may be null.
	size_t body_bytes = 0;                        ///< See BodyBytes().
	Millis body_since;                            ///< See BodySince().
	TimerId timer;                                ///< Ends the current wait.
	Wait timer_for = Wait::W_SERVING;             ///< What the timer runs for.

	BodyHandling OnHead(const CallerRequest &head, std::optional<uint64_t> length) override;
	bool OnGrow(size_t bytes) override;
	void OnReadable();
	void OnWritten();
	void ServeBuffered();
	/** Serves the next buffered request. @return Whether it was answered, so that another one may follow. */
	bool ServeNext();
	void RejectRequest(ResultCode code);
	[[nodiscard]] Wait CurrentWait() const;
	[[nodiscard]] Millis WaitLimit(Wait wait) const;
	/** Sets the time limit of what the connection waits for now. */
	void ArmTimer();
	void CancelTimer();
	void OnTimeout();
	/** @return Whether the body arrives fast enough to go on waiting for it. */
	[[nodiscard]] bool BodyKeepsUp() const;
	/** Closes the connection once all response bytes are sent. */
	void CloseAfterResponse();
	void OnDisconnected();
	void Write(std::string_view data);
	void NoteRefusal(CallerRefusal reason);
};

/** Listening socket that hands accepted descriptors to a callback. */
class CallerListener : public QTcpServer {
public:
	using Accept = std::function<void(qintptr)>;

	/** @param accept Called with each accepted descriptor, on the listener's thread. */
	explicit CallerListener(Accept accept) : accept(std::move(accept)) {}

protected:
	void incomingConnection(qintptr descriptor) override { this->accept(descriptor); }

private:
	Accept accept; ///< Called with each accepted descriptor.
};

#endif /* CALLER_LINK_H */
