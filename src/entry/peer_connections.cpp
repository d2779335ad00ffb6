/** @file peer_connections.cpp Connections to the other entries of a zone. */
#include "peer_connections.h"

#include <algorithm>

void PeerConnections::Update(const std::vector<Peer> &peers, const MemberName &self)
{
	std::erase_if(this->connections, [&](const auto &it) {
		const auto peer = std::ranges::find(peers, it.first, &Peer::name);
		return peer == peers.end() || peer->incarnation != it.second.incarnation;
	});
	for (const Peer &peer : peers) {
		const std::optional<NetAddress> address = ParseAddress(peer.frames);
		if (peer.name == self || !address || this->connections.contains(peer.name)) {
			continue;
		}
		auto client = std::make_unique<FrameClient>(this->scheduler, std::vector<NetAddress>{*address});
		client->Start();
		this->connections.emplace(peer.name, Connection{peer.incarnation, std::move(client)});
	}
}

bool PeerConnections::Send(const Peer &to, const glade::wire::MessageUnion &message)
{
	const auto it = this->connections.find(to.name);
	if (it == this->connections.end() || !it->second.client->IsConnected()) {
		return false;
	}
	it->second.client->Send(message);
	return true;
}

uint64_t PeerConnections::Bytes() const
{
	uint64_t n = 0;
	for (const auto &[name, connection] : this->connections) {
		n += connection.client->Bytes();
	}
	return n;
}
