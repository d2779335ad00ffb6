/** @file peer_ring.h Addresses of nodes that are asked by turns. */
#ifndef PEER_RING_H
#define PEER_RING_H

#include <deque>
#include <string>
#include <vector>

/** A limited number of addresses, asked by turns. */
class PeerRing {
public:
	/** @param max Maximum number of addresses; a new one replaces the one that was asked or added longest ago. */
	explicit PeerRing(size_t max) : max(max) {}

	/** Adds an address as the next one to ask, unless it is known. @param address The address. */
	void Add(const std::string &address);
	/** Removes an address. @param address The address. */
	void Remove(const std::string &address) { std::erase(this->addresses, address); }
	/** @return The next address to ask, which becomes the last; empty if there is none. */
	std::string Next();
	/** @return Whether an address is known. @param address The address. */
	[[nodiscard]] bool Contains(const std::string &address) const;
	/** @return Number of addresses. */
	[[nodiscard]] size_t Size() const { return this->addresses.size(); }

private:
	size_t max;                        ///< Maximum number of addresses.
	std::deque<std::string> addresses; ///< The addresses, the next one to ask first.
};

#endif /* PEER_RING_H */
