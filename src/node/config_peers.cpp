/** @file config_peers.cpp Configuration requests to other nodes over frame connections. */
#include "config_peers.h"

namespace {

constexpr Millis ANSWER_WITHIN(1000); ///< Later answers are ignored: other nodes have been asked meanwhile.

} // namespace

FrameClient &FramePeers::ClientOf(const std::string &address)
{
	std::unique_ptr<FrameClient> &client = this->clients[address];
	if (!client) {
		const std::optional<NetAddress> to = ParseAddress(address);
		client = std::make_unique<FrameClient>(this->scheduler, std::vector<NetAddress>{to.value_or(NetAddress{})});
		client->on_message = [this](const MessageUnion &message) {
			if (const auto *answer = message.AsConfigAnswer(); answer != nullptr) {
				this->OnAnswer(*answer);
			}
		};
		client->on_up = [this, address] {
			for (auto &[number, question] : this->open) {
				if (question.address == address && !question.sent) {
					this->Send(number, question);
				}
			}
		};
		client->Start();
	}
	return *client;
}

void FramePeers::DropOld()
{
	const Millis now = this->scheduler.Now();
	std::map<std::string, size_t> silent;
	std::erase_if(this->open, [&](const auto &it) {
		const bool old = now >= it.second.until;
		silent[it.second.address] += old && it.second.sent ? 1 : 0;
		return old;
	});
	for (const auto &[address, count] : silent) {
		if (count > 0) {
			this->clients.erase(address); /* The connection may be dead without having been closed. */
		}
	}
}

void FramePeers::Ask(const std::string &address, const ConfigQuestion &question, Done done)
{
	this->DropOld();
	const uint64_t number = ++this->last_number;
	const auto it =
			this->open.emplace(number, Open{address, question, std::move(done), this->scheduler.Now() + ANSWER_WITHIN})
					.first;
	if (this->ClientOf(address).Up()) {
		this->Send(number, it->second);
	}
}

void FramePeers::Send(uint64_t number, Open &question)
{
	glade::wire::ConfigQuestionT out;
	out.number = number;
	out.version = question.asking.version;
	out.confirm = question.asking.confirm;
	question.sent = true;
	this->ClientOf(question.address).Send(MakeMessage(out));
}

void FramePeers::OnAnswer(const glade::wire::ConfigAnswerT &in)
{
	const auto node = this->open.extract(in.number);
	if (node.empty()) {
		return;
	}
	node.mapped().done(PeerConfig{in.version, std::string(in.body.begin(), in.body.end()), Millis(in.age_ms)});
}
