/** @file caller_link.h Connections of callers: HTTP in, one request at a time, answers streamed with back pressure. */
#ifndef CALLER_LINK_H
#define CALLER_LINK_H

#include "http_codec.h"
#include "qt_scheduler.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <atomic>

/** Limits of callers' connections. */
struct CallerLimits {
	HttpLimits http;                    ///< Of messages.
	Millis head_wait = Millis(10000);   ///< A head that is not whole by then is refused.
	Millis body_wait = Millis(30000);   ///< The same for a body.
	Millis idle_wait = Millis(60000);   ///< A connection idle for so long is closed.
	int64_t answer_buffer = 256 * 1024; ///< Bytes of an answer waiting for the caller that stop the endpoint.
	bool from_peers = false;            ///< Whether the callers are entries.
};

/** A caller's connection. Deletes itself when the connection is gone. */
class CallerLink : public QObject, public CallerSink {
public:
	/**
	 * @param scheduler Clock and timers of this thread.
	 * @param handler Serves the requests; outlives this.
	 * @param limits Limits.
	 * @param open Counts connections.
	 * @param descriptor The accepted socket.
	 */
	CallerLink(QtScheduler &scheduler, RequestHandler &handler, const CallerLimits &limits, std::atomic<int> &open,
			   qintptr descriptor);
	~CallerLink() override;

	void Begin(const ResponseHead &head) override;
	void Body(std::string_view data) override;
	void End() override;
	void Abort() override;
	[[nodiscard]] bool Congested() const override;

	/** Closes the connection if nothing is under way on it. */
	void CloseIfIdle();

private:
	QtScheduler &scheduler;                       ///< Clock and timers.
	RequestHandler &handler;                      ///< Serves the requests.
	const CallerLimits &limits;                   ///< Limits.
	std::atomic<int> &open;                       ///< Counts connections.
	QTcpSocket socket;                            ///< The connection.
	RequestReader reader;                         ///< Reads requests.
	std::shared_ptr<ServedRequest> served;        ///< Request under way.
	bool busy = false;                            ///< Whether an answer is owed.
	bool serving = false;                         ///< Whether Serve() is on the stack.
	bool closing = false;                         ///< Whether the connection ends with this answer.
	bool head_request = false;                    ///< Whether the request under way is HEAD.
	BodyFraming framing = BodyFraming::BF_LENGTH; ///< Framing of the answer under way.
	TimerId timer;                                ///< Head, body or idle wait.
	bool timer_for_body = false;                  ///< Whether the timer counts the body's wait.

	void OnReadable();
	void Advance();
	bool ServeNext();
	void RefuseBad(ResultCode code);
	void Arm();
	void OnWait();
	void OnGone();
	void Write(std::string_view data);
};

/** Accepts connections and spreads them over lanes. */
class CallerListener : public QTcpServer {
public:
	using Accept = std::function<void(qintptr)>;

	/** @param accept Gets each accepted socket, on the listener's thread. */
	explicit CallerListener(Accept accept) : accept(std::move(accept)) {}

protected:
	void incomingConnection(qintptr descriptor) override { this->accept(descriptor); }

private:
	Accept accept; ///< Gets each accepted socket.
};

#endif /* CALLER_LINK_H */
