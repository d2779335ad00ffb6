/** @file entry_handler.h The keeper's side of its entries: membership, leases, views, drains, lapses. */
#ifndef ENTRY_HANDLER_H
#define ENTRY_HANDLER_H

#include "../generated/wire_generated.h"
#include "keeper_core.h"

#include <functional>
#include <map>

/** An entry's connection, as the desk uses it. */
class EntryChannel {
public:
	virtual ~EntryChannel() = default;

	/**
	 * Sends a message.
	 * @param message The message.
	 */
	virtual void Send(const glade::wire::MessageUnion &message) = 0;
};

/** What a keeper knows of the other keepers of its zone. */
struct KeeperNews {
	Millis heard;     ///< When it was last heard.
	LogOffset offset; ///< How far it has read.
	Millis log_age;   ///< How long ago the log answered it, when it said so.
};

/** Serves the entries of the keeper's zone. */
class EntryHandler {
public:
	explicit EntryHandler(KeeperCore &core) : core(core), started(core.scheduler.Now()) {}

	/**
	 * An entry speaks.
	 * @param channel Its connection.
	 * @param hello What it says.
	 */
	void OnHello(EntryChannel &channel, const glade::wire::EntryHelloT &hello);

	/**
	 * A connection is gone.
	 * @param channel The connection.
	 */
	void OnDown(EntryChannel &channel);

	/**
	 * A keeper of the zone speaks.
	 * @param beat What it says.
	 */
	void OnKeeperBeat(const glade::wire::KeeperBeatT &beat);

	/** Builds the view anew and sends it to entries that have an older one. Called after records and lists. */
	void Refresh();

	/** Says of silent entries and keepers of the zone that their leases lapsed. Called every second or so. */
	void ReportSilentMembers();

	/**
	 * Whether the state can be no older than `fresh`: the log answered, or every keeper of the zone is cut off from it
	 * as well and has read no further. Who may own keys in this zone can then not have changed.
	 * @return Whether leases may be given.
	 */
	[[nodiscard]] bool Fresh() const;

	/** @return Entries that confirmed the drain of each box, under the permit that the box holds now. */
	[[nodiscard]] std::map<BoxName, std::vector<MemberName>> Drained() const;

	/** @return Names of the entries that speak to this keeper: other keepers need not blame them. */
	[[nodiscard]] std::vector<std::string> RecentlyHeardEntries() const;

	/** @return Entries connected now. */
	[[nodiscard]] size_t Connected() const { return this->sessions.size(); }

private:
	/** An entry's session. */
	struct Session {
		MemberName name;                     ///< The entry.
		Incarnation incarnation;             ///< Its start.
		Millis heard;                        ///< When it last spoke.
		glade::wire::ViewT sent;             ///< View that it was sent last.
		std::map<BoxName, PermitId> drained; ///< Boxes that it confirmed as drained, under which permit.
	};

	/** When a member was last heard, whichever its connection. */
	struct Heard {
		Incarnation incarnation; ///< Its start.
		Millis at;               ///< When.
		bool asked = false;      ///< Whether a join or leave was proposed and is not decided yet.
	};

	KeeperCore &core;                           ///< Shared parts.
	Millis started;                             ///< When this keeper began to listen.
	std::map<EntryChannel *, Session> sessions; ///< Entries connected.
	std::map<MemberName, Heard> heard;          ///< Members of the zone.
	std::map<MemberName, KeeperNews> keepers;   ///< Other keepers of the zone.
	std::set<MemberName> lapsed;                ///< Members that this keeper witnesses against, not decided yet.
	glade::wire::ViewT view;                    ///< Newest view.
	uint64_t version = 0;                       ///< Its version.

	void Join(const glade::wire::EntryHelloT &hello);
	void Leave(const Member &member, const MemberName &witness);
	void Lease(EntryChannel &channel, const glade::wire::EntryHelloT &hello);
	void Push(EntryChannel &channel, Session &session);
	[[nodiscard]] bool Witnessed(const MemberName &name) const;
	[[nodiscard]] bool IsMember(const MemberName &name, Incarnation incarnation) const;
};

#endif /* ENTRY_HANDLER_H */
