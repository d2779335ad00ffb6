/** @file route_func.h Pure functions for routing: hashes, slot shares, owners of keys. */
#ifndef ROUTE_FUNC_H
#define ROUTE_FUNC_H

#include "../strong_type.h"

#include <string>
#include <string_view>
#include <vector>

/**
 * Hashes text. The result is the same in every process and version.
 * @param text Text to hash.
 * @return 64-bit XXH3.
 */
uint64_t HashText(std::string_view text);

/** An entry as other entries know it. */
struct Peer {
	MemberName name;         ///< Name of the entry.
	ZoneName zone;           ///< Zone of the entry.
	std::string address;     ///< IP:port for forwarded requests.
	std::string frames;      ///< IP:port for messages about lent slots.
	Incarnation incarnation; ///< Incarnation of the entry; changes with each start.

	auto operator<=>(const Peer &) const = default;
};

/**
 * Finds the owner of a text by rendezvous hashing: a membership change moves only texts owned by peers that joined or
 * left.
 * @param text Text to be owned, such as a key.
 * @param peers Candidates; must not be empty.
 * @return Index of the owner in `peers`.
 */
size_t OwnerIndex(std::string_view text, const std::vector<Peer> &peers);

/**
 * Finds the zone that owns a key by rendezvous hashing. Keys are distributed among zones first and among the entries of
 * a zone second, so that a zone without connection to others knows all changes to the ownership of its keys.
 * @param text Key with its scope.
 * @param zones All zones; must not be empty.
 * @return Zone that owns the key.
 */
ZoneName OwnerZone(std::string_view text, const std::vector<std::string> &zones);

/**
 * Divides the slots of an endpoint among the entries of its zone. Needs no messages, since every entry computes the
 * same result from the same peers.
 * @param box Box of the endpoint.
 * @param slots Slots of the endpoint.
 * @param peers Entries of the zone.
 * @param self Entry whose share is computed.
 * @return Slots that `self` may use; 0 when it is not among the peers.
 */
uint32_t SlotShare(const BoxName &box, Slots slots, const std::vector<Peer> &peers, const MemberName &self);

#endif /* ROUTE_FUNC_H */
