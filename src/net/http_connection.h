/** @file http_connection.h Persistent connections for HTTP calls, whose bodies are passed on as a whole; directly on
 * non-blocking sockets. */
#ifndef HTTP_CONNECTION_H
#define HTTP_CONNECTION_H

#include "address_func.h"
#include "endpoint_link.h"

#include <QSocketNotifier>

#include <memory>
#include <unordered_map>
#include <vector>

/** Receives the outcome of a call: exactly one function is called, once, and never from within HttpConnection::Call().
 * None is called after Abandon(). */
class HttpConnectionEvents {
public:
	virtual ~HttpConnectionEvents() = default;
	/** A complete response was received. @param status HTTP status. @param body Response body. */
	virtual void OnAnswer(int status, std::string body) = 0;
	/** No response will be received. @param maybe_received Whether the other end may have received any
	 * byte of the request. */
	virtual void OnFailed(bool maybe_received) = 0;
};

/**
 * A connection that carries one call at a time. Uses the socket directly: the owner of a shard makes thousands of small
 * calls per second, for which the buffers, signals and state changes of QTcpSocket cost more than the calls themselves.
 */
class HttpConnection : public ResponseHandler {
public:
	/** @param scheduler Clock and timers of this thread. @param to Address to connect to, IPv4. @param connect_wait
	 * Time limit for establishing the connection. */
	HttpConnection(QtScheduler &scheduler, const NetAddress &to, Millis connect_wait);
	~HttpConnection() override;
	HttpConnection(const HttpConnection &) = delete;
	HttpConnection &operator=(const HttpConnection &) = delete;

	/** Starts a call. @param bytes The serialized request. @param events Receives the outcome; outlives the call. */
	void Call(std::string bytes, HttpConnectionEvents &events);
	/** @return Whether a call can be started: the connection is established and no call is in progress. */
	[[nodiscard]] bool IsIdle() const { return this->descriptor >= 0 && this->connected && this->events == nullptr; }
	/** @return Time at which the last response was complete; 0 if there was none yet. */
	[[nodiscard]] Millis IdleSince() const { return this->idle_since; }
	/** Closes the connection and drops the call in progress, if any, without reporting its outcome. */
	void Abandon();

	void OnHead(ResponseHead head) override { this->status = head.status; }
	void OnBody(std::string_view data) override;

private:
	QtScheduler &scheduler;                    ///< Clock and timers.
	int descriptor = -1;                       ///< The socket; -1 if it could not be opened, and once closed.
	bool connected = false;                    ///< Whether the connection is established.
	bool send_started = false;                 ///< Whether sending the request has started.
	std::unique_ptr<QSocketNotifier> readable; ///< Notifies of received data.
	std::unique_ptr<QSocketNotifier> writable; ///< Notifies of connection establishment or send buffer space.
	std::unique_ptr<ResponseReader> reader;    ///< Parses the response of the current call.
	HttpConnectionEvents *events = nullptr;    ///< Receives the outcome of the current call; null while idle.
	std::string unsent;                        ///< Part of the request that is not sent yet.
	int status = 0;                            ///< HTTP status of the response.
	std::string body;                          ///< Response body received so far.
	size_t body_bytes = 0;                     ///< Its size, also beyond the longest one that is kept.
	Millis idle_since;                         ///< Time at which the last response was complete.
	TimerId connect_timer;                     ///< Time limit for establishing the connection.
	/** Lets callbacks detect that this object was destroyed. */
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);

	void Connect(const NetAddress &to);
	void OnWritable();
	void OnReadable();
	void OnPeerClosed();
	void Send();
	void Complete();
	void Fail();
	/** Closes the connection now and reports the failure from the event loop. */
	void FailLater();
	void Close();
};

/** Pool of idle connections, by address. */
class HttpConnectionPool {
public:
	/** @param scheduler Clock and timers of this thread. @param limits Limits of connections. */
	HttpConnectionPool(QtScheduler &scheduler, DialLimits limits);
	~HttpConnectionPool();
	HttpConnectionPool(const HttpConnectionPool &) = delete;
	HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

	/** @return A connection for a call: the most recently used idle one or a new one; null if the address is not valid.
	 * @param address IP:port. */
	std::unique_ptr<HttpConnection> Acquire(const std::string &address);
	/** Returns a connection to the pool, or closes it if it can't be reused. @param address IP:port. @param connection
	 * The connection. */
	void Release(const std::string &address, std::unique_ptr<HttpConnection> connection);
	/** Closes pooled connections that have been idle since a given time. @param address IP:port. @param since
	 * Connections last used at this time or earlier are closed. */
	void CloseIdle(const std::string &address, Millis since);

private:
	QtScheduler &scheduler; ///< Clock and timers.
	DialLimits limits;      ///< Time and size limits of connections and of the pool.
	std::unordered_map<std::string, std::vector<std::unique_ptr<HttpConnection>>>
			by_address;   ///< Idle connections by address, least recently used first.
	TimerId expiry_timer; ///< Timer of the next RemoveExpired().

	/** Closes the connections that are too old or no longer usable, at an interval. */
	void RemoveExpired();
	[[nodiscard]] bool Reusable(const HttpConnection &connection) const;
};

#endif /* HTTP_CONNECTION_H */
