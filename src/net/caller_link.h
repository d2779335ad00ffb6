/** @file caller_link.h Server side of HTTP connections: one request at a time, responses with back pressure. */
#ifndef CALLER_LINK_H
#define CALLER_LINK_H

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
	int64_t response_buffer_bytes = 256 * 1024; ///< Unsent response bytes above which reading from the endpoint pauses.
	bool from_peers = false;                    ///< Whether the callers are other entries.
};

/** A connection from a caller. Deletes itself when the connection is closed. */
class CallerLink : public QObject, public CallerSink {
public:
	/**
	 * @param scheduler Clock and timers of this thread.
	 * @param handler Serves the requests; outlives this object.
	 * @param limits Size and time limits; outlive this object.
	 * @param open_connections Count of open connections.
	 * @param descriptor The accepted socket.
	 */
	CallerLink(QtScheduler &scheduler, RequestHandler &handler, const CallerLimits &limits,
			   std::atomic<int> &open_connections, qintptr descriptor);
	/** Not to be called with temporary limits, which would not outlive this object. */
	CallerLink(QtScheduler &, RequestHandler &, CallerLimits &&, std::atomic<int> &, qintptr) = delete;
	~CallerLink() override;

	void Begin(const ResponseHead &head) override;
	void Body(std::string_view data) override;
	void End() override;
	void Abort() override;
	[[nodiscard]] bool Congested() const override;

	/** Closes the connection unless a request is in progress or partly received. */
	void CloseIfIdle();

private:
	QtScheduler &scheduler;                       ///< Clock and timers.
	RequestHandler &handler;                      ///< Serves the requests.
	const CallerLimits &limits;                   ///< Size and time limits.
	std::atomic<int> &open_connections;           ///< Count of open connections.
	QTcpSocket socket;                            ///< The connection.
	RequestReader reader;                         ///< Parses requests.
	std::shared_ptr<ServedRequest> served;        ///< Request in progress; null if it was answered within Serve().
	bool busy = false;                            ///< Whether a request was taken whose response is not complete yet.
	bool serving = false;                         ///< Whether the handler's Serve() is running.
	bool closing = false;                         ///< Whether the connection closes after this response.
	bool omit_body = false;                       ///< Whether the response in progress has no body.
	BodyFraming framing = BodyFraming::BF_LENGTH; ///< Body framing of the response in progress.
	TimerId timer;                                ///< Head, body or idle timeout.
	bool timer_for_body = false;                  ///< Whether the timer runs for a body.

	void OnReadable();
	void ServeBuffered();
	bool ServeNext();
	void RejectRequest(ResultCode code);
	/** Sets the timeout of the current state: a partial body, a partial head, or idle. */
	void ArmTimer();
	void OnTimeout();
	void OnDisconnected();
	void Write(std::string_view data);
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
