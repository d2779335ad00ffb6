/** @file keeper_client.h Connection of an entry to its keeper: hellos, views, leases, drains. */
#ifndef KEEPER_CLIENT_H
#define KEEPER_CLIENT_H

#include "../net/frame_link.h"
#include "../request/request_path.h"

#include <map>

/** Identity and addresses that an entry reports to its keeper. */
struct EntryDescription {
	MemberName name;         ///< Name of the entry.
	RegionName region;       ///< Region of the entry.
	ZoneName zone;           ///< Zone of the entry.
	std::string address;     ///< IP:port for requests from other entries.
	std::string frames;      ///< IP:port for slot messages.
	Incarnation incarnation; ///< Identifies this start of the process.
};

/** Connects to one keeper of the zone at a time, and to the next one when it stops responding. */
class KeeperClient {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param path Receives views and leases; outlives this object.
	 * @param keepers Addresses of keepers, nearest first.
	 * @param description Identity and addresses of this entry.
	 */
	KeeperClient(Scheduler &scheduler, RequestPath &path, std::vector<NetAddress> keepers,
				 EntryDescription description);

	/** Connects and starts sending hellos. */
	void Start();

	/** Sends a hello that marks this entry as leaving; all later hellos do so too. */
	void AnnounceLeaving();

	/** @return Whether a keeper is connected. */
	[[nodiscard]] bool Connected() const { return this->client.IsConnected(); }

	/** @return Bytes of frames sent and received. */
	[[nodiscard]] uint64_t Bytes() const { return this->client.Bytes(); }

private:
	Scheduler &scheduler;         ///< Clock and timers.
	RequestPath &path;            ///< Receives views and leases.
	EntryDescription description; ///< Identity and addresses of this entry.
	FrameClient client;           ///< The connection.
	uint64_t last_hello = 0;      ///< Number of the last hello.
	std::map<uint64_t, Millis>
			hello_sent_at;  ///< Send time of recent hellos by number: a lease counts from the send time.
	Millis last_message_at; ///< Time of the keeper's last message.
	bool leaving = false;   ///< Whether this entry is leaving.

	void Tick();
	void SendHello();
	void OnMessage(const MessageUnion &message);
	void OnView(const glade::wire::ViewT &view);
	void OnLease(const glade::wire::LeaseGrantT &grant);
};

#endif /* KEEPER_CLIENT_H */
