/** @file frame_link.h Messages between Glade processes: a 4-byte little-endian length, then a FlatBuffers Frame. */
#ifndef FRAME_LINK_H
#define FRAME_LINK_H

#include "../generated/wire_generated.h"
#include "../scheduler_type.h"
#include "../strong_type.h"
#include "address_func.h"
#include "byte_budget.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>

using MessageUnion = glade::wire::MessageUnion; ///< A message in FlatBuffers' object form.

inline constexpr uint32_t MAX_FRAME_BYTES = 64 * 1024 * 1024; ///< Larger frames reset the connection.

/**
 * Wraps a message body in the union of all messages.
 * @tparam T Object type of the body, such as wire::ViewT.
 * @param body The body.
 * @return The message.
 */
template <class T>
MessageUnion MakeMessage(T body)
{
	MessageUnion message;
	message.Set(std::move(body));
	return message;
}

/** Identifies a connection that a server has accepted. Unlike the address of an object, it is never used again. */
using FrameLinkId = Strong<struct FrameLinkIdTag, uint64_t>;

/** A connection that carries frames. Must be used on the thread of its socket. */
class FrameLink {
public:
	using OnMessage = std::function<void(const MessageUnion &)>;

	/**
	 * @param socket The socket; ownership passes to this object.
	 * @param unfinished Memory for frames that are received in part; null for no common limit.
	 * @param id Id of an accepted connection; 0 for one that was opened here.
	 */
	explicit FrameLink(QTcpSocket *socket, const std::shared_ptr<ByteBudget> &unfinished = nullptr,
					   FrameLinkId id = FrameLinkId());
	~FrameLink();
	FrameLink(const FrameLink &) = delete;
	FrameLink &operator=(const FrameLink &) = delete;

	/**
	 * Sends a message, or drops it when the link is not connected.
	 * @param message The message.
	 */
	void Send(const MessageUnion &message);

	/** @return Id of an accepted connection; 0 for one that was opened here. */
	[[nodiscard]] FrameLinkId Id() const { return this->id; }

	/** @return Whether the connection is established. */
	[[nodiscard]] bool IsConnected() const;

	/** @return Host at the other end; null once the connection is lost. */
	[[nodiscard]] QHostAddress PeerHost() const { return this->socket->peerAddress(); }

	/** @return Bytes written but not yet passed to the kernel. */
	[[nodiscard]] int64_t Pending() const;
	/** @return When the last complete frame was received, or when the object was made. */
	[[nodiscard]] Millis LastFrameAt() const { return this->last_frame_at; }
	/** @return Whether a frame has been received in part since a time or longer. @param since The time. */
	[[nodiscard]] bool StalledSince(Millis since) const { return !this->buf.isEmpty() && this->partial_since <= since; }
	/** Ends the connection at once. */
	void Abort() { this->socket->abort(); }

	OnMessage on_message;                  ///< Called with each message.
	std::function<void()> on_connected;    ///< Called when the connection is established.
	std::function<void()> on_disconnected; ///< Called when the connection is lost or could not be established; must not
										   ///< destroy the link, but may post an event that does.
	uint64_t bytes_sent = 0;               ///< Bytes sent.
	uint64_t bytes_received = 0;           ///< Bytes received.

private:
	FrameLinkId id;                         ///< See Id().
	QTcpSocket *socket;                     ///< The socket.
	QByteArray buf;                         ///< Received bytes of incomplete frames.
	std::shared_ptr<ByteBudget> unfinished; ///< Memory for frames that are received in part; may be null.
	std::unique_ptr<ByteShare> share;       ///< Part of it for the current frame; null if that needs none.
	Millis last_frame_at;                   ///< See LastFrameAt().
	Millis partial_since;                   ///< When the first bytes in `buf` were received, or those before parsed.

	void OnReadable();
	bool ParseFrame();
	/** Reserves memory for a frame that is received in part, or ends the connection. @param size Size of the frame. */
	void Reserve(size_t size);
};

/** Limits of accepted connections that carry frames. */
struct FrameServerLimits {
	size_t connections = SIZE_MAX;          ///< Maximum number; the one that was silent for longest gives way.
	Millis frame_wait = Millis(10000);      ///< Time limit for the rest of a frame.
	std::shared_ptr<ByteBudget> unfinished; ///< Memory for frames that are received in part; null for no limit.
};

/** Accepts connections that carry frames. */
class FrameServer {
public:
	using OnMessage = std::function<void(FrameLink &, const MessageUnion &)>;
	using OnDisconnect = std::function<void(FrameLink &)>;

	/**
	 * @param on_message Called with each message and its link.
	 * @param on_disconnected Called when a link is disconnected, before it is destroyed.
	 * @param limits Limits of the connections.
	 */
	FrameServer(OnMessage on_message, OnDisconnect on_disconnected, FrameServerLimits limits = {});

	/**
	 * Starts listening.
	 * @param address Address to listen on.
	 * @return Whether it succeeded.
	 */
	bool Listen(const NetAddress &address);

	/** @return Port of the listening socket. */
	[[nodiscard]] quint16 Port() const { return this->server.serverPort(); }

	/** @return Bytes sent and received on all links, including closed ones. */
	[[nodiscard]] uint64_t Bytes() const;

	/** @return Number of open links. */
	[[nodiscard]] size_t CountLinks() const { return this->links.size(); }

	/**
	 * Prepares an answer that is sent later, when the link may be gone.
	 * @param link The link on which the question came.
	 * @return Sends a message on that link, or drops it once the link is closed. The server must outlive it.
	 */
	[[nodiscard]] FrameLink::OnMessage ReplyTo(const FrameLink &link) const;

private:
	QTcpServer server;                                       ///< The listening socket.
	OnMessage on_message;                                    ///< Called with each message.
	OnDisconnect on_disconnected;                            ///< Called with each disconnected link.
	std::map<FrameLinkId, std::unique_ptr<FrameLink>> links; ///< Open links.
	uint64_t last_id = 0;                                    ///< Id of the newest link.
	uint64_t closed_bytes = 0;                               ///< Bytes of closed links.
	FrameServerLimits limits;                                ///< Limits of the connections.
	QTimer check_timer;                                      ///< Interval of CloseStalled().

	/** Ends connections whose frames are not completed in time. */
	void CloseStalled();
	/** Ends the connection that was silent for longest, if there are too many. */
	void LimitLinks();
	void Accept();
	void RemoveLink(FrameLinkId id);
};

/** A link that reconnects automatically, trying several addresses in turn. */
class FrameClient {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param addresses Addresses to connect to, in order of preference.
	 */
	FrameClient(Scheduler &scheduler, std::vector<NetAddress> addresses);
	~FrameClient();
	FrameClient(const FrameClient &) = delete;
	FrameClient &operator=(const FrameClient &) = delete;

	/** Starts connecting. */
	void Start();

	/**
	 * Sends a message, or drops it when the link is not connected.
	 * @param message The message.
	 */
	void Send(const MessageUnion &message);

	/** Drops the current connection and connects to the next address. */
	void TryNext();

	/** @return Whether the connection is established. */
	[[nodiscard]] bool IsConnected() const { return this->link && this->link->IsConnected(); }

	/** @return Bytes sent and received, including closed connections. */
	[[nodiscard]] uint64_t Bytes() const;

	FrameLink::OnMessage on_message;       ///< Called with each message.
	std::function<void()> on_connected;    ///< Called when the connection is established.
	std::function<void()> on_disconnected; ///< Called when the connection is lost or could not be established.

private:
	Scheduler &scheduler;              ///< Clock and timers.
	std::vector<NetAddress> addresses; ///< Addresses to connect to.
	size_t next = 0;                   ///< Index of the address to try next, modulo their number.
	std::unique_ptr<FrameLink> link;   ///< Current connection.
	TimerId timer;                     ///< Connection timeout or reconnect delay.
	uint64_t closed_bytes = 0;         ///< Bytes of closed connections.

	void Connect();
	void OnDisconnected();
};

#endif /* FRAME_LINK_H */
