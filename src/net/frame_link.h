/** @file frame_link.h Frames between our own processes: a length of 4 bytes, little endian, then a FlatBuffers Frame.
 */
#ifndef FRAME_LINK_H
#define FRAME_LINK_H

#include "../generated/wire_generated.h"
#include "../scheduler_type.h"
#include "address_func.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <list>
#include <memory>

using MessageUnion = glade::wire::MessageUnion; ///< A message in native form.

inline constexpr uint32_t FRAME_BYTES_MAX = 64 * 1024 * 1024; ///< Longest frame that is taken.

/**
 * Builds a message around a native body.
 * @tparam T Native type, such as wire::ViewT.
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

/** One connection that carries frames. Lives on the thread of its socket. */
class FrameLink {
public:
	using OnMessage = std::function<void(const MessageUnion &)>;

	/**
	 * @param socket The socket; owned from now on.
	 */
	explicit FrameLink(QTcpSocket *socket);
	~FrameLink();
	FrameLink(const FrameLink &) = delete;
	FrameLink &operator=(const FrameLink &) = delete;

	/**
	 * Sends a message; dropped when the link is down.
	 * @param message The message.
	 */
	void Send(const MessageUnion &message);

	/** @return Whether the connection stands. */
	[[nodiscard]] bool IsConnected() const;

	/** @return Bytes waiting to be taken by the other side. */
	[[nodiscard]] int64_t Pending() const;

	OnMessage on_message;               ///< Gets each message.
	std::function<void()> on_connected; ///< The connection stands.
	std::function<void()>
			on_disconnected;     ///< The connection is gone; the link may be destroyed from here by a later event.
	uint64_t bytes_sent = 0;     ///< Bytes sent.
	uint64_t bytes_received = 0; ///< Bytes received.

private:
	QTcpSocket *socket; ///< The socket.
	QByteArray buf;     ///< Bytes received, not yet a whole frame.

	void OnReadable();
	bool TakeFrame();
};

/** Listens for frames. */
class FrameServer {
public:
	using OnMessage = std::function<void(FrameLink &, const MessageUnion &)>;
	using OnDown = std::function<void(FrameLink &)>;

	/**
	 * @param on_message Gets each message with its link.
	 * @param on_disconnected Told when a link is gone, before it is destroyed.
	 */
	FrameServer(OnMessage on_message, OnDown on_disconnected);

	/**
	 * Begins to listen.
	 * @param address Where.
	 * @return Whether it listens.
	 */
	bool Listen(const NetAddress &address);

	/** @return Port that it listens on. */
	[[nodiscard]] quint16 Port() const { return this->server.serverPort(); }

	/** @return Bytes sent and received over all links, also those gone. */
	[[nodiscard]] uint64_t Bytes() const;

	/** @return The links that stand. */
	[[nodiscard]] const std::list<std::unique_ptr<FrameLink>> &Links() const { return this->links; }

private:
	QTcpServer server;                           ///< The listener.
	OnMessage on_message;                        ///< Gets each message.
	OnDown on_disconnected;                      ///< Told of links that are gone.
	std::list<std::unique_ptr<FrameLink>> links; ///< Links that stand.
	uint64_t old_bytes = 0;                      ///< Bytes of links that are gone.

	void Accept();
	void Drop(FrameLink *link);
};

/** A link that comes back by itself: connects to the first of several addresses that answers. */
class FrameClient {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param addresses Where to connect, in order of preference.
	 */
	FrameClient(Scheduler &scheduler, std::vector<NetAddress> addresses);
	~FrameClient();
	FrameClient(const FrameClient &) = delete;
	FrameClient &operator=(const FrameClient &) = delete;

	/** Begins to connect. */
	void Start();

	/**
	 * Sends a message; dropped when the link is down.
	 * @param message The message.
	 */
	void Send(const MessageUnion &message);

	/** Gives this connection up and tries the next address. */
	void TryNext();

	/** @return Whether the connection stands. */
	[[nodiscard]] bool IsConnected() const { return this->link && this->link->IsConnected(); }

	/** @return Bytes sent and received. */
	[[nodiscard]] uint64_t Bytes() const;

	FrameLink::OnMessage on_message;       ///< Gets each message.
	std::function<void()> on_connected;    ///< The connection stands.
	std::function<void()> on_disconnected; ///< The connection is gone.

private:
	Scheduler &scheduler;              ///< Clock and timers.
	std::vector<NetAddress> addresses; ///< Where to connect.
	size_t next = 0;                   ///< Next address to try.
	std::unique_ptr<FrameLink> link;   ///< Current connection.
	TimerId timer;                     ///< Next try or timeout.
	uint64_t old_bytes = 0;            ///< Bytes of connections that are gone.

	void Connect();
	void Down();
};

#endif /* FRAME_LINK_H */
