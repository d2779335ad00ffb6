/** @file config_peers.h Configuration requests to other nodes over frame connections. */
#ifndef CONFIG_PEERS_H
#define CONFIG_PEERS_H

#include "../net/frame_link.h"
#include "../net/request_numbers.h"
#include "config_exchange.h"

#include <map>

/** Sends configuration requests over one persistent connection per node. */
class FrameConfigPeers : public ConfigPeers {
public:
	/** @param scheduler Clock and timers. */
	explicit FrameConfigPeers(Scheduler &scheduler) : scheduler(scheduler) {}

	void Ask(const std::string &address, const ConfigQuestion &question, Done done) override;

private:
	/** Connection to a node. */
	struct Peer {
		std::unique_ptr<FrameClient> client; ///< The connection.
		Millis asked_at;                     ///< When the node was last asked.
	};

	/** A request without an answer. */
	struct PendingRequest {
		std::string address;    ///< IP:port of the node that was asked.
		ConfigQuestion content; ///< Content of the request.
		Done done;              ///< Called with the answer.
		Millis expires_at;      ///< Time from which an answer is ignored.
		bool sent = false;      ///< Whether the request was sent.
	};

	Scheduler &scheduler;              ///< Clock and timers.
	std::map<std::string, Peer> nodes; ///< Connections by address.
	bool closes_idle = false;          ///< Whether a check for idle connections is scheduled.
	/** Requests without an answer, by number. */
	std::map<uint64_t, PendingRequest> pending;
	std::vector<std::unique_ptr<FrameClient>> retired; ///< Replaced connections, destroyed in a later iteration.
	RequestNumbers numbers;                            ///< Numbers of requests.

	FrameClient &ClientFor(const std::string &address);
	/** Drops expired requests, and the connections on which one of them was sent. */
	void DropExpired();
	/** Drops a connection, which may be delivering a message just now. */
	void Retire(const std::string &address);
	/** Closes connections that are no longer used, as long as there are any. */
	void CloseIdleLater();
	void Send(uint64_t number, PendingRequest &request);
	/** Handles an answer. @param from IP:port of the node. @param in The answer. */
	void OnAnswer(const std::string &from, const glade::wire::ConfigAnswerT &in);

	/** Lets callbacks detect that this object was destroyed. */
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

#endif /* CONFIG_PEERS_H */
