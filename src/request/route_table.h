/** @file route_table.h What an entry knows of the fleet: services, gates, peers, owners of keys, its lease. */
#ifndef ROUTE_TABLE_H
#define ROUTE_TABLE_H

#include "key_memory.h"
#include "pool_gate.h"
#include "route_func.h"

#include "../generated/wire_generated.h"

#include <deque>
#include <shared_mutex>

/** A service as an entry routes it. */
struct Route {
	ServiceRow row;                 ///< Its row.
	std::shared_ptr<PoolGate> gate; ///< Gate of its pool.
};

/** Who must handle a keyed request. */
struct KeyOwner {
	ResultCode code = ResultCode::RC_OK; ///< RC_OK, or why nobody may run it.
	bool self = false;                   ///< This entry.
	std::string address;                 ///< Else the peer to forward to.
	MemberName name;                     ///< The owner's name.
};

/** Who this entry is. */
struct EntryIdentity {
	MemberName name;         ///< Its name.
	ZoneName zone;           ///< Its zone.
	Incarnation incarnation; ///< Its start.
};

/** Times on which ownership of keys rests. */
struct LeaseTimes {
	Millis settle = Millis(4000); ///< How long after a change of membership an entry with the old view may own keys.
};

/**
 * The view of an entry, applied as it arrives. Thread safe. Without a lease, or cut off, the last view stays in use
 * for everything but the ownership of keys.
 */
class RouteTable {
public:
	/**
	 * @param self Who this entry is.
	 * @param gates Settings of gates.
	 * @param times Lease times.
	 */
	RouteTable(EntryIdentity self, GateSettings gates, LeaseTimes times);

	/**
	 * Applies a view: a whole one, or the changes since the version in force.
	 * @param view The view.
	 * @param now Lane's clock.
	 * @return RC_OK; RC_STATE_MISMATCH when the result has another hash: ask for a whole view then.
	 */
	ResultCode Apply(const glade::wire::ViewT &view, Millis now);

	/**
	 * Extends the lease.
	 * @param until Lane's clock.
	 */
	void ExtendLease(Millis until);

	/**
	 * The view in force shows the fleet up to a later offset too: nothing in it has changed since.
	 * @param seen The offset.
	 */
	void AdvanceOffset(LogOffset seen);

	/** @return Whether the lease holds. */
	[[nodiscard]] bool LeaseHolds(Millis now) const;

	/**
	 * @param service A service's name.
	 * @return Its route; nothing when the table has no such service.
	 */
	[[nodiscard]] std::optional<Route> Find(const ServiceName &service) const;

	/**
	 * Finds who must handle a key, and whether anybody may.
	 * @param id The key.
	 * @param issued When the caller made it.
	 * @param skew How far clocks may differ.
	 * @param now Lane's clock.
	 * @return The owner.
	 */
	[[nodiscard]] KeyOwner OwnerOf(const KeyId &id, Millis issued, Millis skew, Millis now) const;

	/** @return Entries of other zones, by name. */
	[[nodiscard]] std::vector<Peer> PeersElsewhere() const;

	/** @return All gates by pool. */
	[[nodiscard]] std::map<PoolName, std::shared_ptr<PoolGate>> Gates() const;

	/** @return Version and hash of the view in force; version 0 for none. */
	[[nodiscard]] std::pair<uint64_t, uint64_t> Version() const;

	/** @return Log offset that the view in force shows. */
	[[nodiscard]] LogOffset Offset() const;

	/** @return Table version in force is known once a view is there. */
	[[nodiscard]] bool HasView() const { return this->Version().first != 0; }

	/** @return Services, for dumps. */
	[[nodiscard]] std::vector<ServiceRow> Rows() const;

	/** @return Entries of the own zone. */
	[[nodiscard]] std::vector<Peer> ZonePeers() const;

private:
	/** The entries of the zone over a stretch of log time. */
	struct ZoneEntries {
		Millis since;            ///< Log time of the change that began it.
		std::vector<Peer> peers; ///< Who was there.
	};

	mutable std::shared_mutex lock;                          ///< Guards all that follows.
	EntryIdentity self;                                      ///< Who this entry is.
	GateSettings gate_settings;                              ///< Settings of gates.
	LeaseTimes times;                                        ///< Lease times.
	std::map<BoxName, glade::wire::ViewEndpointT> endpoints; ///< Endpoints of the zone.
	std::map<ServiceName, ServiceRow> rows;                  ///< Services.
	std::map<MemberName, Peer> peers;                        ///< All entries.
	std::map<PoolName, uint32_t> pool_slots;                 ///< Slots of pools, fleet-wide.
	std::vector<std::string> zones;                          ///< Zones that share the keys.
	std::map<PoolName, std::shared_ptr<PoolGate>> gates;     ///< Gates.
	uint64_t version = 0;                                    ///< View in force.
	uint64_t hash = 0;                                       ///< Its hash.
	LogOffset offset;                                        ///< Its log offset.
	std::vector<Peer> gate_peers;                            ///< Entries of the zone at the last update of gates.
	Millis gained_usable_from;                               ///< When slots gained by the last change may be used.
	uint64_t zone_changes = 0;                               ///< Membership changes of the zone.
	std::deque<ZoneEntries> history;                         ///< Entries of the zone, oldest first.
	Millis lease_until = Millis(-MS_PER_DAY);                ///< End of the lease.

	void ApplyParts(const glade::wire::ViewT &view);
	void RecordMembership(const glade::wire::ViewT &view);
	void UpdateGates(Millis now);
	[[nodiscard]] std::vector<Peer> EntriesOf(const ZoneName &zone) const;
	[[nodiscard]] ResultCode CheckOwnership(const std::string &text, Millis made, Millis now) const;
};

/**
 * Hash of a view's content, whatever the order of its parts.
 * @param view A whole view.
 * @return 64 bits.
 */
uint64_t HashView(const glade::wire::ViewT &view);

#endif /* ROUTE_TABLE_H */
