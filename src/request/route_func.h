/** @file route_func.h Pure rules of routing: hashes, slot shares, owners of keys. */
#ifndef ROUTE_FUNC_H
#define ROUTE_FUNC_H

#include "../strong_type.h"

#include <string>
#include <string_view>
#include <vector>

/**
 * Hashes text: the same in every process and version.
 * @param text The text.
 * @return 64 bits of XXH3.
 */
uint64_t HashText(std::string_view text);

/** An entry box as others of its zone know it. */
struct Peer {
	MemberName name;         ///< Its name.
	ZoneName zone;           ///< Its zone.
	std::string address;     ///< IP:port for forwarded requests.
	std::string frames;      ///< IP:port for lending slots.
	Incarnation incarnation; ///< Its start.

	auto operator<=>(const Peer &) const = default;
};

/**
 * Owner of a text by rendezvous hashing: a change among the peers moves only the share of those who came or left.
 * @param text The text, such as a key.
 * @param peers Peers; must not be empty.
 * @return Index of the owner.
 */
size_t OwnerIndex(std::string_view text, const std::vector<Peer> &peers);

/**
 * Zone that owns a key. Zones share the keys first and entries within their zone second, so that a zone that is cut
 * off knows all that can change the ownership of its keys.
 * @param text The key.
 * @param zones All zones; must not be empty.
 * @return The zone.
 */
ZoneName OwnerZone(std::string_view text, const std::vector<std::string> &zones);

/**
 * Splits the slots of an endpoint among the entries of its zone, without a message: every entry computes the same.
 * @param box The endpoint's box.
 * @param slots Its slots.
 * @param peers Entries of the zone.
 * @param self The entry that asks.
 * @return Slots that `self` may use; 0 when it is not among the peers.
 */
uint32_t SlotShare(const BoxName &box, Slots slots, const std::vector<Peer> &peers, const MemberName &self);

#endif /* ROUTE_FUNC_H */
