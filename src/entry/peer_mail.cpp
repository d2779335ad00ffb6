/** @file peer_mail.cpp Connections to the other entries of a zone. */
#include "peer_mail.h"

#include <algorithm>

void PeerMail::Keep(const std::vector<Peer> &peers, const MemberName &self)
{
	std::erase_if(this->lines, [&](const auto &it) {
		const auto peer = std::ranges::find(peers, it.first, &Peer::name);
		return peer == peers.end() || peer->incarnation != it.second.incarnation;
	});
	for (const Peer &peer : peers) {
		const std::optional<NetAddress> address = ParseAddress(peer.frames);
		if (peer.name == self || !address || this->lines.contains(peer.name)) {
			continue;
		}
		auto client = std::make_unique<FrameClient>(this->scheduler, std::vector<NetAddress>{*address});
		client->Start();
		this->lines.emplace(peer.name, Line{peer.incarnation, std::move(client)});
	}
}

bool PeerMail::Send(const Peer &to, const glade::wire::MessageUnion &message)
{
	const auto it = this->lines.find(to.name);
	if (it == this->lines.end() || !it->second.client->IsConnected()) {
		return false;
	}
	it->second.client->Send(message);
	return true;
}

uint64_t PeerMail::Bytes() const
{
	uint64_t n = 0;
	for (const auto &[name, line] : this->lines) {
		n += line.client->Bytes();
	}
	return n;
}
