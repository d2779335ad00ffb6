/** @file http_line.h Kept connections for whole HTTP calls, straight over non-blocking sockets. */
#ifndef HTTP_LINE_H
#define HTTP_LINE_H

#include "address_func.h"
#include "endpoint_link.h"

#include <QSocketNotifier>

#include <memory>
#include <unordered_map>
#include <vector>

/** Gets what becomes of a call. Told once, never from inside HttpLine::Call(). */
class HttpLineEvents {
public:
	virtual ~HttpLineEvents() = default;
	/** A whole answer has come. @param status HTTP status. @param body Its body. */
	virtual void OnAnswer(int status, std::string body) = 0;
	/** None will come. @param sent Whether a byte of the call may have arrived. */
	virtual void OnFailed(bool sent) = 0;
};

/**
 * A connection that carries one call at a time. Straight over the socket: an owner makes thousands of small calls a
 * second, and QTcpSocket's buffers, signals and state changes cost it more than the calls themselves.
 */
class HttpLine : public ResponseHandler {
public:
	/** @param scheduler Clock and timers of this thread. @param to The other end. @param connect_wait A connection that
	 * does not stand by then has failed. */
	HttpLine(QtScheduler &scheduler, const NetAddress &to, Millis connect_wait);
	~HttpLine() override;
	HttpLine(const HttpLine &) = delete;
	HttpLine &operator=(const HttpLine &) = delete;

	/** Makes a call. @param bytes The request. @param events Gets what becomes of it; outlives the call. */
	void Call(std::string bytes, HttpLineEvents &events);
	/** @return Whether another call can be made: it is connected and nothing is under way. */
	[[nodiscard]] bool Idle() const { return this->descriptor >= 0 && this->connected && this->events == nullptr; }
	/** @return When the last answer came. */
	[[nodiscard]] Millis IdleSince() const { return this->idle_since; }
	/** Forgets who gets the events, and closes the connection. */
	void Drop();

	void OnHead(ResponseHead head) override { this->status = head.status; }
	void OnBody(std::string_view data) override { this->body += data; }

private:
	QtScheduler &scheduler;                    ///< Clock and timers.
	int descriptor = -1;                       ///< The socket; -1 once closed.
	bool connected = false;                    ///< Whether the connection stands.
	bool sent = false;                         ///< Whether a byte of the call was offered to the socket.
	std::unique_ptr<QSocketNotifier> readable; ///< Tells of bytes.
	std::unique_ptr<QSocketNotifier> writable; ///< Tells that it is connected, or of room.
	std::unique_ptr<ResponseReader> reader;    ///< Reads the answer of the call under way.
	HttpLineEvents *events = nullptr;          ///< Gets what becomes of the call under way.
	std::string unsent;                        ///< What is left of the request.
	int status = 0;                            ///< Of the answer.
	std::string body;                          ///< Of the answer, so far.
	Millis idle_since;                         ///< For IdleSince().
	TimerId timer;                             ///< Wait for the connection.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void Connect(const NetAddress &to);
	void OnWritable();
	void OnReadable();
	void OnEnd();
	void Send();
	void Complete();
	void Fail();
	void FailLater();
	void Close();
};

/** Idle connections by address. */
class HttpLines {
public:
	/** @param scheduler Clock and timers of this thread. @param limits Limits. */
	HttpLines(QtScheduler &scheduler, DialLimits limits);
	~HttpLines();
	HttpLines(const HttpLines &) = delete;
	HttpLines &operator=(const HttpLines &) = delete;

	/** @return A connection for a call: the newest idle one, or a new one; null when the address is none.
	 * @param address IP:port. */
	std::unique_ptr<HttpLine> Take(const std::string &address);
	/** Keeps a connection for the next call, if another call can be made on it. @param address IP:port. @param line
	 * The connection. */
	void Keep(const std::string &address, std::unique_ptr<HttpLine> line);
	/** Closes connections that have carried nothing for a while. @param address IP:port. @param since Those idle since
	 * then or longer. */
	void DropIdle(const std::string &address, Millis since);

private:
	QtScheduler &scheduler;                                                             ///< Clock and timers.
	DialLimits limits;                                                                  ///< Limits.
	std::unordered_map<std::string, std::vector<std::unique_ptr<HttpLine>>> by_address; ///< Oldest first.
	TimerId timer;                                                                      ///< Next Sweep().

	void Sweep();
	[[nodiscard]] bool Usable(const HttpLine &line) const;
};

#endif /* HTTP_LINE_H */
