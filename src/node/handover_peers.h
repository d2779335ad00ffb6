/** @file handover_peers.h Questions about load and offers of shards to other nodes over frame connections. */
#ifndef HANDOVER_PEERS_H
#define HANDOVER_PEERS_H

#include "../net/frame_link.h"
#include "../net/request_numbers.h"
#include "handover_coordinator.h"
#include "peer_answer.h"

/** Sends the requests over one persistent connection per node. */
class FrameHandoverPeers : public HandoverPeers {
public:
	/** @param scheduler Clock and timers. */
	explicit FrameHandoverPeers(Scheduler &scheduler) : scheduler(scheduler) {}

	void AskLoad(const std::string &address, std::function<void(const NodeLoad &)> done) override;
	void Offer(const std::string &address, const HandoverOffer &offer, std::function<void(bool)> done) override;
	void EndRequests() override;

private:
	/** A request without an answer. */
	struct PendingRequest {
		std::string address;                                 ///< IP:port of the node.
		std::function<MessageUnion(uint64_t)> make;          ///< Makes the message, given the request's number.
		std::function<void(const MessageUnion &)> on_answer; ///< Called with the answer.
		bool sent = false;                                   ///< Whether the request was sent.
		glade::wire::Message answer_type = glade::wire::Message::NONE; ///< Type of its answers, once it was sent.
	};

	Scheduler &scheduler;                                        ///< Clock and timers.
	std::map<std::string, std::shared_ptr<FrameClient>> clients; ///< Connections by address.
	std::map<uint64_t, PendingRequest> pending;                  ///< Requests without an answer, by number.
	RequestNumbers numbers;                                      ///< Numbers of requests.

	FrameClient &ClientFor(const std::string &address);
	void Add(PendingRequest request);
	void Send(uint64_t number, PendingRequest &request);
	/** Handles a message of a node. @param from IP:port of the node. @param message The message. */
	void OnFrame(const std::string &from, const MessageUnion &message);
};

#endif /* HANDOVER_PEERS_H */
