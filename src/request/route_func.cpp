/** @file route_func.cpp Pure functions for routing: hashes, slot shares, owners of keys. */
#include "route_func.h"

#include <algorithm>
#include <ranges>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace {

/**
 * Rendezvous weight of a peer for a text; the peer with the largest weight owns the text.
 * @param text Text to be owned.
 * @param peer Name of the peer.
 * @return Weight as a 64-bit hash.
 */
uint64_t RendezvousWeight(std::string_view text, const MemberName &peer)
{
	return HashText(peer.Value() + '\n' + std::string(text));
}

} // namespace

uint64_t HashText(std::string_view text)
{
	return XXH3_64bits(text.data(), text.size());
}

size_t OwnerIndex(std::string_view text, const std::vector<Peer> &peers)
{
	const auto weight = [&](const Peer &it) { return RendezvousWeight(text, it.name); };
	return static_cast<size_t>(std::ranges::max_element(peers, {}, weight) - peers.begin());
}

ZoneName OwnerZone(std::string_view text, const std::vector<std::string> &zones)
{
	const auto weight = [&](const std::string &zone) { return HashText("zone " + zone + '\n' + std::string(text)); };
	return ZoneName(*std::ranges::max_element(zones, {}, weight));
}

uint32_t SlotShare(const BoxName &box, Slots slots, const std::vector<Peer> &peers, const MemberName &self)
{
	if (std::ranges::find(peers, self, &Peer::name) == peers.end()) {
		return 0;
	}
	const auto count = static_cast<uint32_t>(peers.size());
	const uint64_t own = RendezvousWeight(box.Value(), self);
	const auto ahead =
			std::ranges::count_if(peers, [&](const Peer &it) { return RendezvousWeight(box.Value(), it.name) > own; });
	const uint32_t rest = slots.Value() % count;
	return slots.Value() / count + (static_cast<uint32_t>(ahead) < rest ? 1 : 0);
}
