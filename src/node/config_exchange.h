/** @file config_exchange.h Fetches the newest configuration and evacuated zones from other nodes while the store is
 * unreachable. */
#ifndef CONFIG_EXCHANGE_H
#define CONFIG_EXCHANGE_H

#include "../event_log.h"
#include "../jobs/site_feed.h"
#include "../scheduler_type.h"
#include "peer_ring.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** A request of one node to another for its configuration. */
struct ConfigQuestion {
	uint64_t version = 0;           ///< Configuration version of the requesting node.
	uint64_t evacuations_as_of = 0; ///< EvacuatedZones::as_of of the requesting node.
	/** Whether the peer must confirm with the store that its own version is the newest before it answers. */
	bool confirm = false;
	std::string address; ///< IP:port of the requesting node's frame server.
};

/** A peer's answer to a ConfigQuestion. */
struct PeerConfig {
	uint64_t version = 0; ///< Configuration version of the peer.
	std::string body;     ///< Configuration as published; empty unless it is newer than the requesting node's.
	/** Time since the peer last knew its version to be the newest; 0 if it has just confirmed that with the store. */
	Millis age;
	/** The evacuated zones as known to the peer; nothing unless they are newer than the requesting node's. */
	std::optional<EvacuatedZones> evacuated;
	std::vector<std::string> nodes; ///< Addresses of some nodes that the peer knows.
};

/** Transport for configuration requests to other nodes. */
class ConfigPeers {
public:
	virtual ~ConfigPeers() = default;
	using Done = std::function<void(const PeerConfig &)>;

	/**
	 * Requests the configuration from a node.
	 * @param address IP:port of the node's frame server.
	 * @param question The request.
	 * @param done Called with the answer; never called if none arrives in time.
	 */
	virtual void Ask(const std::string &address, const ConfigQuestion &question, Done done) = 0;
};

/** Obtains newer configurations from other nodes. A node that the store refuses would keep an old configuration:
 * revoked keys would still be accepted and new ones rejected. While the store does not answer, such a node polls other
 * nodes in turn; a node that the store answers polls nobody. A configuration from a peer is validated like one from the
 * store and never replaces a newer version; the same holds for the evacuated zones, which are passed on with it. */
class ConfigExchange {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param feed Configuration that this node has; outlives this object.
	 * @param peers Transport to other nodes; outlives this object.
	 * @param events Event log; outlives this object.
	 * @param self IP:port of this node's frame server.
	 */
	ConfigExchange(Scheduler &scheduler, SiteFeed &feed, ConfigPeers &peers, EventLog &events, std::string self);

	/** Starts the periodic check of the store. */
	void Start();
	/**
	 * Adds a node that holds partitions, or one of the settings, to the known peers; this node itself and known
	 * addresses are ignored.
	 * @param address IP:port of the node's frame server.
	 */
	void AddPeer(const std::string &address);
	/**
	 * Adds any other node, which has sent a request or was named by a peer. The store may turn away all that hold
	 * partitions, but hardly all others too.
	 * @param address IP:port of the node's frame server.
	 */
	void LearnPeer(const std::string &address);
	/**
	 * Confirms that this node has the newest configuration.
	 * @param done Called with true, possibly several times, once the store or a peer confirms it; never called if
	 * neither answers.
	 */
	void Confirm(const std::function<void(bool)> &done);
	/**
	 * Asks the store and known peers for a newer configuration.
	 * @param done Called with each answer: with true if this node has the newest configuration, with false if a peer's
	 * word has changed SiteFeed::ConfirmedAsOf() at most; never called if nobody answers.
	 */
	void Refresh(const std::function<void(bool)> &done);
	/**
	 * Answers another node's request.
	 * @param question The request.
	 * @param done Called with the answer; never called if a confirmation was requested and the store does not answer.
	 */
	void Answer(const ConfigQuestion &question, const ConfigPeers::Done &done);

	/** @return Number of known peers. */
	[[nodiscard]] size_t KnownPeers() const { return this->holders.Size() + this->others.Size(); }
	/** @return Number of requests sent to peers. */
	[[nodiscard]] uint64_t RequestsSent() const { return this->requests_sent; }
	/** @return Number of newer configurations adopted from peers. */
	[[nodiscard]] uint64_t ConfigsAdopted() const { return this->configs_adopted; }

private:
	/** Polls of peers since the store stopped answering. */
	struct PollEpisode {
		Millis began_at;                 ///< Time of the first poll.
		uint64_t asked = 0;              ///< Requests sent to peers.
		uint64_t answers = 0;            ///< Answers of peers.
		std::optional<Millis> least_age; ///< Least age of an answer; nothing before the first.
	};

	Scheduler &scheduler;         ///< Clock and timers.
	SiteFeed &feed;               ///< Configuration that this node has.
	ConfigPeers &peers;           ///< Transport to other nodes.
	EventLog &events;             ///< Event log.
	std::string self;             ///< IP:port of this node's frame server.
	PeerRing holders;             ///< Nodes of the settings and nodes that hold partitions.
	PeerRing others;              ///< Other nodes.
	bool other_next = false;      ///< Whether one of the other nodes is asked next.
	std::string fresh_peer;       ///< Peer whose last answer was fresh; empty if there is none, or it was asked since.
	size_t poll_size = 0;         ///< Peers to ask with the next poll.
	size_t asked_in_vain = 0;     ///< Peers asked by polls since one answered with fresh knowledge.
	uint64_t requests_sent = 0;   ///< Number of requests sent to peers.
	uint64_t configs_adopted = 0; ///< Number of configurations adopted from peers.
	std::optional<PollEpisode> episode; ///< Set while the store does not answer.
	/** Lets callbacks detect that this object was destroyed. */
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);

	[[nodiscard]] bool StoreUnreachable() const;
	void PollPeers();
	/** Logs the polls of peers once the store answers again. */
	void EndEpisode();
	/** Asks the next peer. @param confirm Whether the peer must confirm its version with the store. @param done Called
	 * with true once the peer has confirmed the version that this node has; unless `confirm`, also with false at any
	 * other answer. */
	void AskNextPeer(bool confirm, const std::function<void(bool)> &done);
	/** @return The next peer to ask: the last one with fresh knowledge, else the next one in turn. */
	std::string NextPeer();
	/** @return The next peer in turn, of both kinds alternately. */
	std::string NextInTurn();
	/** @return Addresses of some known peers, other ones each time. */
	std::vector<std::string> SomePeers();
	/** Notes who answered, how fresh its knowledge is, and which nodes it knows. @param from Its address. @param answer
	 * Its answer. */
	void NoteAnswer(const std::string &from, const PeerConfig &answer);
	/** Adopts what a peer knows. @param from Its address. @param asked_at When it was asked. @param answer Its answer.
	 */
	void ApplyAnswer(const std::string &from, Millis asked_at, const PeerConfig &answer);
};

#endif /* CONFIG_EXCHANGE_H */
