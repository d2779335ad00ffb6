/** @file config_peers.cpp Configuration requests to other nodes over frame connections. */
#include "config_peers.h"

#include <algorithm>

namespace {

constexpr Millis ANSWER_TIMEOUT(1000); ///< Later answers are ignored: other nodes have been asked meanwhile.
constexpr Millis IDLE_TIMEOUT(5000);   ///< Time after which an unused connection is closed.
constexpr Millis AGE_MAX(MS_PER_DAY);  ///< Largest age of a configuration that a node states.

} // namespace

FrameClient &FrameConfigPeers::ClientFor(const std::string &address)
{
	Peer &peer = this->nodes[address];
	peer.asked_at = this->scheduler.Now();
	std::unique_ptr<FrameClient> &client = peer.client;
	if (!client) {
		const std::optional<NetAddress> to = ParseAddress(address);
		client = std::make_unique<FrameClient>(this->scheduler, std::vector<NetAddress>{to.value_or(NetAddress{})});
		client->on_message = [this, address](const MessageUnion &message) {
			if (const auto *answer = message.AsConfigAnswer(); answer != nullptr) {
				this->OnAnswer(address, *answer);
			}
		};
		client->on_connected = [this, address] {
			for (auto &[number, request] : this->pending) {
				if (request.address == address && !request.sent) {
					this->Send(number, request);
				}
			}
		};
		client->Start();
	}
	return *client;
}

void FrameConfigPeers::DropExpired()
{
	const Millis now = this->scheduler.Now();
	std::map<std::string, size_t> unanswered;
	std::erase_if(this->pending, [&](const auto &it) {
		const bool expired = now >= it.second.expires_at;
		unanswered[it.second.address] += expired && it.second.sent ? 1 : 0;
		return expired;
	});
	for (const auto &[address, count] : unanswered) {
		if (count > 0) {
			this->Retire(address); /* The connection may be dead without having been closed. */
		}
	}
}

void FrameConfigPeers::Retire(const std::string &address)
{
	auto node = this->nodes.extract(address);
	if (node.empty()) {
		return;
	}
	this->retired.push_back(std::move(node.mapped().client));
	this->scheduler.After(Millis(0), [this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->retired.clear();
		}
	});
}

void FrameConfigPeers::CloseIdleLater()
{
	if (this->closes_idle || this->nodes.empty()) {
		return;
	}
	this->closes_idle = true;
	this->scheduler.After(IDLE_TIMEOUT, [this, still = std::weak_ptr<bool>(this->alive)] {
		if (still.expired()) {
			return;
		}
		this->closes_idle = false;
		std::erase_if(this->nodes, [now = this->scheduler.Now()](const auto &it) {
			return now - it.second.asked_at >= IDLE_TIMEOUT;
		});
		this->CloseIdleLater();
	});
}

void FrameConfigPeers::Ask(const std::string &address, const ConfigQuestion &question, Done done)
{
	this->DropExpired();
	const uint64_t number = this->numbers.Next();
	const auto it = this->pending
							.emplace(number, PendingRequest{address, question, std::move(done),
															this->scheduler.Now() + ANSWER_TIMEOUT})
							.first;
	if (this->ClientFor(address).IsConnected()) {
		this->Send(number, it->second);
	}
	this->CloseIdleLater();
}

void FrameConfigPeers::Send(uint64_t number, PendingRequest &request)
{
	glade::wire::ConfigQuestionT out;
	out.number = number;
	out.version = request.content.version;
	out.confirm = request.content.confirm;
	out.evacuations_as_of = request.content.evacuations_as_of;
	out.address = request.content.address;
	request.sent = true;
	this->ClientFor(request.address).Send(MakeMessage(out));
}

void FrameConfigPeers::OnAnswer(const std::string &from, const glade::wire::ConfigAnswerT &in)
{
	const auto it = this->pending.find(in.number);
	if (it == this->pending.end() || it->second.address != from) {
		return;
	}
	const auto node = this->pending.extract(it);
	std::optional<EvacuatedZones> evacuated;
	if (in.evacuations_as_of > 0) {
		evacuated = EvacuatedZones{in.evacuations_as_of, {}};
		std::ranges::for_each(in.evacuated,
							  [&evacuated](const std::string &it) { evacuated->zones.insert(ZoneName(it)); });
	}
	node.mapped().done(PeerConfig{in.version, std::string(in.body.begin(), in.body.end()),
								  std::clamp(Millis(in.age_ms), Millis(0), AGE_MAX), std::move(evacuated), in.nodes});
}
