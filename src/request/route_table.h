/** @file route_table.h Routing state of an entry: services, gates, peers, owners of keys, lease. */
#ifndef ROUTE_TABLE_H
#define ROUTE_TABLE_H

#include "key_memory.h"
#include "pool_gate.h"
#include "route_func.h"

#include "../generated/wire_generated.h"

#include <deque>
#include <shared_mutex>

/** Route of a service. */
struct Route {
	ServiceRow row;                 ///< Configuration of the service.
	std::shared_ptr<PoolGate> gate; ///< Gate of the service's pool.
};

/** Entry that must handle a request with an idempotency key. */
struct KeyOwner {
	ResultCode code = ResultCode::RC_OK; ///< RC_OK, or the reason why no entry may run the request.
	bool self = false;                   ///< Whether this entry is the owner.
	std::string address;                 ///< IP:port of the owner for forwarded requests.
	MemberName name;                     ///< Name of the owner.
};

/** Identity of an entry. */
struct EntryIdentity {
	MemberName name;         ///< Name of the entry.
	ZoneName zone;           ///< Zone of the entry.
	Incarnation incarnation; ///< Incarnation of the entry; changes with each start.
};

/** Times that the ownership of keys depends on. */
struct LeaseTimes {
	Millis settle = Millis(4000); ///< How long an entry with an old view may own keys after a membership change.
};

/**
 * Routing state of an entry, updated by views from the keepers. Thread safe. Without a lease or a connection, the last
 * view stays in use for everything except the ownership of keys.
 */
class RouteTable {
public:
	/**
	 * @param self Identity of this entry.
	 * @param gates Settings of the pool gates.
	 * @param times Times that key ownership depends on.
	 */
	RouteTable(EntryIdentity self, GateSettings gates, LeaseTimes times);

	/**
	 * Applies a complete view, or the changes since the version in force.
	 * @param view View to apply; one older than the offset in force is ignored.
	 * @param now Scheduler's clock.
	 * @return RC_OK; RC_STATE_MISMATCH when the base version or the resulting hash differs and a complete view must be
	 * requested.
	 */
	ResultCode Apply(const glade::wire::ViewT &view, Millis now);

	/**
	 * Extends the lease; never shortens it.
	 * @param until End of the lease, by the scheduler's clock.
	 */
	void ExtendLease(Millis until);

	/**
	 * Records that the view in force is current up to a later log offset.
	 * @param seen Log offset without changes to the view.
	 */
	void AdvanceOffset(LogOffset seen);

	/**
	 * @param now Scheduler's clock.
	 * @return Whether the lease is valid.
	 */
	[[nodiscard]] bool LeaseHolds(Millis now) const;

	/**
	 * @param service Name of a service.
	 * @return Route of the service; nothing when it is unknown.
	 */
	[[nodiscard]] std::optional<Route> Find(const ServiceName &service) const;

	/**
	 * Finds the entry that owns a key and checks whether this entry may act as owner.
	 * @param id Key with its scope.
	 * @param issued Time of issue of the key, ms since 1970.
	 * @param skew Largest difference between clocks.
	 * @param now Scheduler's clock.
	 * @return The owner.
	 */
	[[nodiscard]] KeyOwner OwnerOf(const KeyId &id, Millis issued, Millis skew, Millis now) const;

	/** @return Entries of other zones, sorted by name. */
	[[nodiscard]] std::vector<Peer> PeersElsewhere() const;

	/** @return Gates by pool. */
	[[nodiscard]] std::map<PoolName, std::shared_ptr<PoolGate>> Gates() const;

	/** @return Version and hash of the view in force; version 0 for none. */
	[[nodiscard]] std::pair<uint64_t, uint64_t> Version() const;

	/** @return Log offset up to which the view in force is current. */
	[[nodiscard]] LogOffset Offset() const;

	/** @return Whether a view is in force. */
	[[nodiscard]] bool HasView() const { return this->Version().first != 0; }

	/** @return Configuration of all services, for dumps. */
	[[nodiscard]] std::vector<ServiceRow> Rows() const;

	/** @return Entries of this entry's zone, including itself. */
	[[nodiscard]] std::vector<Peer> ZonePeers() const;

private:
	/** Entries of the zone from one membership change to the next. */
	struct ZoneEntries {
		Millis since;            ///< Log time of the membership change, ms since 1970.
		std::vector<Peer> peers; ///< Entries after the change.
	};

	mutable std::shared_mutex lock;                          ///< Guards all members below.
	EntryIdentity self;                                      ///< Identity of this entry.
	GateSettings gate_settings;                              ///< Settings of the pool gates.
	LeaseTimes times;                                        ///< Times that key ownership depends on.
	std::map<BoxName, glade::wire::ViewEndpointT> endpoints; ///< Endpoints of the zone by box.
	std::map<ServiceName, ServiceRow> rows;                  ///< Services by name.
	std::map<MemberName, Peer> peers;                        ///< Entries of all zones by name.
	std::map<PoolName, uint32_t> pool_slots;                 ///< Slots in the whole fleet by pool.
	std::vector<std::string> zones;                          ///< Zones among which the keys are distributed.
	std::map<PoolName, std::shared_ptr<PoolGate>> gates;     ///< Gates by pool.
	uint64_t version = 0;                                    ///< Version of the view in force; 0 for none.
	uint64_t hash = 0;                                       ///< Hash of the view in force.
	LogOffset offset;                                        ///< Log offset up to which the view in force is current.
	std::vector<Peer> gate_peers;                            ///< Entries of the zone at the last update of the gates.
	Millis gained_usable_from;                ///< Time from which slots gained by the last change may be used.
	uint64_t zone_changes = 0;                ///< Number of membership changes of the zone.
	std::deque<ZoneEntries> history;          ///< Recent memberships of the zone, oldest first.
	Millis lease_until = Millis(-MS_PER_DAY); ///< End of the lease.

	void ApplyParts(const glade::wire::ViewT &view);
	void RecordMembership(const glade::wire::ViewT &view);
	void UpdateGates(Millis now);
	[[nodiscard]] std::vector<Peer> EntriesOf(const ZoneName &zone) const;
	/** Checks whether this entry, the present owner of a key, has owned it since before the key was issued. @param text
	 * Key with its scope. @param made Earliest time of issue of the key, ms since 1970. @param now
	 * Scheduler's clock. @return RC_OK, RC_KEY_LEASE_LAPSED or RC_KEY_BEFORE_TAKEOVER. */
	[[nodiscard]] ResultCode CheckOwnership(const std::string &text, Millis made, Millis now) const;
};

/**
 * Hashes the content of a view, independent of the order of its parts.
 * @param view Complete view.
 * @return 64-bit hash.
 */
uint64_t HashView(const glade::wire::ViewT &view);

#endif /* ROUTE_TABLE_H */
