/** @file keeper_client.h The entry's side of its keeper: hellos, views, leases, drains. */
#ifndef KEEPER_CLIENT_H
#define KEEPER_CLIENT_H

#include "../net/frame_link.h"
#include "../request/request_path.h"

#include <map>

/** What an entry says of itself. */
struct EntryCard {
	MemberName name;         ///< Its name.
	RegionName region;       ///< Its region.
	ZoneName zone;           ///< Its zone.
	std::string address;     ///< IP:port for peers.
	std::string frames;      ///< IP:port for lending slots.
	Incarnation incarnation; ///< Its start.
};

/** Speaks to one keeper of the zone at a time, and goes to the next when it falls silent. */
class KeeperClient {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param path Gets views and leases; outlives this.
	 * @param keepers Addresses of keepers, nearest first.
	 * @param card Who this entry is.
	 */
	KeeperClient(Scheduler &scheduler, RequestPath &path, std::vector<NetAddress> keepers, EntryCard card);

	/** Begins. */
	void Start();

	/** Says from now on that this entry leaves. */
	void SayLeaving();

	/** @return Whether a keeper is connected. */
	[[nodiscard]] bool Connected() const { return this->client.IsConnected(); }

	/** @return Bytes of frames sent and received. */
	[[nodiscard]] uint64_t Bytes() const { return this->client.Bytes(); }

private:
	Scheduler &scheduler;               ///< Clock and timers.
	RequestPath &path;                  ///< Gets views and leases.
	EntryCard card;                     ///< Who this entry is.
	FrameClient client;                 ///< The connection.
	uint64_t number = 0;                ///< Last hello.
	std::map<uint64_t, Millis> sent_at; ///< When hellos without an answer were sent: a lease counts from there.
	Millis heard;                       ///< When the keeper last spoke.
	bool leaving = false;               ///< Whether this entry leaves.

	void Tick();
	void SayHello();
	void OnMessage(const MessageUnion &message);
	void OnView(const glade::wire::ViewT &view);
	void OnLease(const glade::wire::LeaseGrantT &grant);
};

#endif /* KEEPER_CLIENT_H */
