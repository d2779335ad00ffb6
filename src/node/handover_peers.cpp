/** @file handover_peers.cpp Questions about load and offers of shards to other nodes over frame connections. */
#include "handover_peers.h"

FrameClient &FrameHandoverPeers::ClientFor(const std::string &address)
{
	std::shared_ptr<FrameClient> &client = this->clients[address];
	if (!client) {
		const std::optional<NetAddress> to = ParseAddress(address);
		client = std::make_shared<FrameClient>(this->scheduler, std::vector<NetAddress>{to.value_or(NetAddress{})});
		client->on_message = [this, address](const MessageUnion &message) { this->OnFrame(address, message); };
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

void FrameHandoverPeers::Add(PendingRequest request)
{
	const uint64_t number = this->numbers.Next();
	const auto it = this->pending.emplace(number, std::move(request)).first;
	if (this->ClientFor(it->second.address).IsConnected()) {
		this->Send(number, it->second);
	}
}

void FrameHandoverPeers::Send(uint64_t number, PendingRequest &request)
{
	const MessageUnion message = request.make(number);
	request.sent = true;
	request.answer_type = AnswerTypeOf(message.type);
	this->ClientFor(request.address).Send(message);
}

void FrameHandoverPeers::AskLoad(const std::string &address, std::function<void(const NodeLoad &)> done)
{
	const auto make = [](uint64_t number) {
		glade::wire::LoadQuestionT out;
		out.number = number;
		return MakeMessage(out);
	};
	this->Add(PendingRequest{address, make, [done = std::move(done)](const MessageUnion &message) {
								 if (const auto *in = message.AsLoadAnswer(); in != nullptr) {
									 done(NodeLoad{in->cpu, in->busy_percent, in->shards, in->accepts_shard});
								 }
							 }});
}

void FrameHandoverPeers::Offer(const std::string &address, const HandoverOffer &offer, std::function<void(bool)> done)
{
	const auto make = [offer](uint64_t number) {
		glade::wire::HandoverQuestionT out;
		out.number = number;
		out.service = offer.service.Value();
		out.epoch = offer.epoch;
		out.owner = offer.owner;
		out.busy_percent = static_cast<uint32_t>(offer.busy_percent);
		return MakeMessage(std::move(out));
	};
	this->Add(PendingRequest{address, make, [done = std::move(done)](const MessageUnion &message) {
								 if (const auto *in = message.AsHandoverAnswer(); in != nullptr) {
									 done(in->accepted);
								 }
							 }});
}

void FrameHandoverPeers::EndRequests()
{
	/* A node without an answer may be gone, or its connection dead without having been closed. The connections are
	 * destroyed later, since one of them may be the caller of this function. */
	std::vector<std::shared_ptr<FrameClient>> silent;
	for (const auto &[number, request] : this->pending) {
		if (auto node = this->clients.extract(request.address); !node.empty()) {
			silent.push_back(std::move(node.mapped()));
		}
	}
	this->pending.clear();
	if (!silent.empty()) {
		this->scheduler.After(Millis(0), [silent = std::move(silent)]() mutable { silent.clear(); });
	}
}

void FrameHandoverPeers::OnFrame(const std::string &from, const MessageUnion &message)
{
	uint64_t number = 0;
	if (const auto *load = message.AsLoadAnswer(); load != nullptr) {
		number = load->number;
	} else if (const auto *answer = message.AsHandoverAnswer(); answer != nullptr) {
		number = answer->number;
	}
	const auto it = this->pending.find(number);
	if (it == this->pending.end() || it->second.address != from || it->second.answer_type != message.type) {
		return;
	}
	const auto node = this->pending.extract(it);
	node.mapped().on_answer(message);
}
