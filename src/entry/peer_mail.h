/** @file peer_mail.h Connections to the other entries of a zone, for lending slots. */
#ifndef PEER_MAIL_H
#define PEER_MAIL_H

#include "../net/frame_link.h"
#include "../request/slot_broker.h"

#include <map>

/** Keeps a connection to each entry of the zone. */
class PeerMail : public SlotTransport {
public:
	explicit PeerMail(Scheduler &scheduler) : scheduler(scheduler) {}

	/**
	 * Connects to entries that are new and lets go of those that have left.
	 * @param peers Entries of the zone.
	 * @param self This entry.
	 */
	void Keep(const std::vector<Peer> &peers, const MemberName &self);

	bool Send(const Peer &to, const glade::wire::MessageUnion &message) override;

	/** @return Bytes sent and received, of connections that stand. */
	[[nodiscard]] uint64_t Bytes() const;

private:
	/** A connection. */
	struct Line {
		Incarnation incarnation;             ///< Start of the entry.
		std::unique_ptr<FrameClient> client; ///< The connection.
	};

	Scheduler &scheduler;             ///< Clock and timers.
	std::map<MemberName, Line> lines; ///< By entry.
};

#endif /* PEER_MAIL_H */
