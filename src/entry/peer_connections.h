/** @file peer_connections.h Connections to the other entries of a zone, for slot messages. */
#ifndef PEER_CONNECTIONS_H
#define PEER_CONNECTIONS_H

#include "../net/frame_link.h"
#include "../request/slot_broker.h"

#include <map>

/** Maintains a connection to each other entry of the zone. */
class PeerConnections : public SlotTransport {
public:
	explicit PeerConnections(Scheduler &scheduler) : scheduler(scheduler) {}

	/**
	 * Connects to new entries and closes connections to those that have left or restarted.
	 * @param peers Entries of the zone.
	 * @param self Name of this entry.
	 */
	void Update(const std::vector<Peer> &peers, const MemberName &self);

	bool Send(const Peer &to, const glade::wire::MessageUnion &message) override;

	/** @return Bytes sent and received on the current connections. */
	[[nodiscard]] uint64_t Bytes() const;

private:
	/** Connection to an entry. */
	struct Connection {
		Incarnation incarnation;             ///< Incarnation of the entry to which it was opened.
		std::unique_ptr<FrameClient> client; ///< The connection.
	};

	Scheduler &scheduler;                         ///< Clock and timers.
	std::map<MemberName, Connection> connections; ///< Connections by entry name.
};

#endif /* PEER_CONNECTIONS_H */
