/** @file peer_ring.cpp Addresses of nodes that are asked by turns. */
#include "peer_ring.h"

#include <algorithm>

void PeerRing::Add(const std::string &address)
{
	if (this->Contains(address)) {
		return;
	}
	this->addresses.push_front(address);
	if (this->addresses.size() > this->max) {
		this->addresses.pop_back();
	}
}

std::string PeerRing::Next()
{
	if (this->addresses.empty()) {
		return {};
	}
	std::ranges::rotate(this->addresses, std::next(this->addresses.begin()));
	return this->addresses.back();
}

bool PeerRing::Contains(const std::string &address) const
{
	return std::ranges::find(this->addresses, address) != this->addresses.end();
}
