/** @file config_peers.h Questions for the configuration over frames. */
#ifndef CONFIG_PEERS_H
#define CONFIG_PEERS_H

#include "../net/frame_link.h"
#include "config_exchange.h"

#include <map>

/** Asks over one connection a node, which is kept. */
class FramePeers : public ConfigPeers {
public:
	/** @param scheduler Clock and timers. */
	explicit FramePeers(Scheduler &scheduler) : scheduler(scheduler) {}

	void Ask(const std::string &address, const ConfigQuestion &question, Done done) override;

private:
	/** A question that is not answered yet. */
	struct Open {
		std::string address;   ///< Who was asked.
		ConfigQuestion asking; ///< What.
		Done done;             ///< Gets the answer.
		Millis until;          ///< An answer that comes later is dropped.
		bool sent = false;     ///< Whether it has left.
	};

	Scheduler &scheduler;                                        ///< Clock and timers.
	std::map<std::string, std::unique_ptr<FrameClient>> clients; ///< By address.
	std::map<uint64_t, Open> open;                               ///< By number.
	uint64_t last_number = 0;                                    ///< Of the last question.

	FrameClient &ClientOf(const std::string &address);
	void DropOld();
	void Send(uint64_t number, Open &question);
	void OnAnswer(const glade::wire::ConfigAnswerT &in);
};

#endif /* CONFIG_PEERS_H */
