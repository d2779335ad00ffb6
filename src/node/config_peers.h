/** @file config_peers.h Configuration requests to other nodes over frame connections. */
#ifndef CONFIG_PEERS_H
#define CONFIG_PEERS_H

#include "../net/frame_link.h"
#include "config_exchange.h"

#include <map>

/** Sends configuration requests over one persistent connection per node. */
class FrameConfigPeers : public ConfigPeers {
public:
	/** @param scheduler Clock and timers. */
	explicit FrameConfigPeers(Scheduler &scheduler) : scheduler(scheduler) {}

	void Ask(const std::string &address, const ConfigQuestion &question, Done done) override;

private:
	/** A request without an answer. */
	struct PendingRequest {
		std::string address;    ///< IP:port of the node that was asked.
		ConfigQuestion content; ///< Content of the request.
		Done done;              ///< Called with the answer.
		Millis expires_at;      ///< Time from which an answer is ignored.
		bool sent = false;      ///< Whether the request was sent.
	};

	Scheduler &scheduler;                                        ///< Clock and timers.
	std::map<std::string, std::unique_ptr<FrameClient>> clients; ///< Connections by address.
	/** Requests without an answer, by number. */
	std::map<uint64_t, PendingRequest> pending;
	uint64_t last_number = 0; ///< Number of the last request.

	FrameClient &ClientFor(const std::string &address);
	/** Drops expired requests, and the connections on which one of them was sent. */
	void DropExpired();
	void Send(uint64_t number, PendingRequest &request);
	void OnAnswer(const glade::wire::ConfigAnswerT &in);
};

#endif /* CONFIG_PEERS_H */
