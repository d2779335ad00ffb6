/** @file entry_handler.h Handles a zone's entries: membership, leases, views, drains, unresponsive members. */
#ifndef ENTRY_HANDLER_H
#define ENTRY_HANDLER_H

#include "../generated/wire_generated.h"
#include "keeper_core.h"

#include <functional>
#include <map>

/** Connection to an entry. */
class EntryChannel {
public:
	virtual ~EntryChannel() = default;

	/**
	 * Sends a message.
	 * @param message The message.
	 */
	virtual void Send(const glade::wire::MessageUnion &message) = 0;
};

/** Status of another keeper, as of its last heartbeat. */
struct PeerKeeperStatus {
	Millis heard;     ///< When its last heartbeat arrived.
	LogOffset offset; ///< Offset up to which it has read the log.
	Millis log_age;   ///< Time since the log last answered that keeper, at the heartbeat.
};

/** Serves the entries of the keeper's zone. An entry is a process that accepts callers' requests and routes them by the
 * view that a keeper sends it. */
class EntryHandler {
public:
	explicit EntryHandler(KeeperCore &core) : core(core), started(core.scheduler.Now()) {}

	/**
	 * Handles a hello message of an entry.
	 * @param channel Connection to the entry.
	 * @param hello The message.
	 */
	void OnHello(EntryChannel &channel, const glade::wire::EntryHelloT &hello);

	/**
	 * Handles the loss of a connection to an entry.
	 * @param channel The connection.
	 */
	void OnDown(EntryChannel &channel);

	/**
	 * Handles a heartbeat of another keeper, of any zone.
	 * @param beat The message.
	 */
	void OnKeeperBeat(const glade::wire::KeeperBeatT &beat);

	/** Rebuilds the view and, when it changed, sends it to the entries. Called after log records and list updates. */
	void Refresh();

	/** Proposes, as a witness, that unresponsive entries and keepers of the zone leave. Called about once a second. */
	void ReportSilentMembers();

	/**
	 * Whether the state is recent enough to grant leases: the log answered within `fresh`, or every other keeper of the
	 * zone is cut off from the log as well and has not read further. In both cases key ownership in this zone can't
	 * have changed.
	 * @return Whether leases may be granted.
	 */
	[[nodiscard]] bool MayGrantLeases() const;

	/** @return For each box, the entries that confirmed its drain under the current permit of the box. */
	[[nodiscard]] std::map<BoxName, std::vector<MemberName>> DrainConfirmations() const;

	/** @return Entries heard within the lease time; other keepers count them as responsive. */
	[[nodiscard]] std::vector<std::string> RecentlyHeardEntries() const;

	/** @return Number of connected entries. */
	[[nodiscard]] size_t ConnectedEntries() const { return this->sessions.size(); }

private:
	/** Session of a connected entry. */
	struct Session {
		MemberName name;                     ///< Name of the entry.
		Incarnation incarnation;             ///< Incarnation of the entry.
		Millis heard;                        ///< When its last hello message arrived.
		glade::wire::ViewT sent;             ///< View last sent to it.
		std::map<BoxName, PermitId> drained; ///< Boxes that it confirmed as drained, with their permits.
	};

	/** When a member last sent a message to this keeper or to another one that reported it. */
	struct LastContact {
		Incarnation incarnation;       ///< Incarnation of the member.
		Millis at;                     ///< Time of the last message.
		bool proposal_pending = false; ///< Whether a proposed join or leave is undecided.
	};

	KeeperCore &core;                               ///< Shared state of the keeper.
	Millis started;                                 ///< When this keeper started.
	std::map<EntryChannel *, Session> sessions;     ///< Sessions by connection.
	std::map<MemberName, LastContact> heard;        ///< Last contact by member.
	std::map<MemberName, PeerKeeperStatus> keepers; ///< Status of the other keepers.
	std::set<MemberName> pending_leaves;            ///< Unresponsive members whose proposed leave is undecided.
	glade::wire::ViewT view;                        ///< Current view.
	uint64_t version = 0;                           ///< Version of the current view.

	void ProposeJoin(const glade::wire::EntryHelloT &hello);
	void ProposeLeave(const Member &member, const MemberName &witness);
	void GrantLease(EntryChannel &channel, const glade::wire::EntryHelloT &hello);
	void SendView(EntryChannel &channel, Session &session);
	[[nodiscard]] bool HasReportedSilent(const MemberName &name) const;
	[[nodiscard]] bool IsMember(const MemberName &name, Incarnation incarnation) const;
};

#endif /* ENTRY_HANDLER_H */
