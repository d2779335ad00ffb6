/** @file config_exchange.h The newest configuration from other nodes, while the store doesn't tell it. */
#ifndef CONFIG_EXCHANGE_H
#define CONFIG_EXCHANGE_H

#include "../event_log.h"
#include "../jobs/site_feed.h"
#include "../scheduler_type.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

/** What a node asks of another. */
struct ConfigQuestion {
	uint64_t version = 0; ///< Version that the asking node has.
	bool confirm = false; ///< Whether the other is to make sure first that its own is the newest.
};

/** What the other tells. */
struct PeerConfig {
	uint64_t version = 0; ///< Version that it has.
	std::string body;     ///< That configuration as it was published; empty when the asking node's isn't older.
	Millis age;           ///< It knew everything published until so long before its answer.
};

/** Carries questions to other nodes. */
class ConfigPeers {
public:
	virtual ~ConfigPeers() = default;
	using Done = std::function<void(const PeerConfig &)>;

	/** Asks a node. @param address Where it answers. @param question The question. @param done Gets the answer, if one
	 * comes in time. */
	virtual void Ask(const std::string &address, const ConfigQuestion &question, Done done) = 0;
};

/**
 * A store that turns a node away leaves it with an old configuration: revoked keys would work there on and new ones
 * would not. Such a node asks others, by turns, as long as the store says nothing; a node that hears the store asks
 * nobody. What comes is checked as if it had come from the store, and never replaces a newer version.
 */
class ConfigExchange {
public:
	/** @param scheduler Clock and timers. @param feed What this node knows; outlives this. @param peers Other nodes;
	 * outlives this. @param events Lines; outlives this. @param self Where this node answers. */
	ConfigExchange(Scheduler &scheduler, SiteFeed &feed, ConfigPeers &peers, EventLog &events, std::string self)
			: scheduler(scheduler), feed(feed), peers(peers), events(events), self(std::move(self))
	{
	}

	/** Begins to watch the store. */
	void Start();
	/** Learns of another node. @param address Where it answers. */
	void AddPeer(const std::string &address);
	/** Makes sure that this node has the newest configuration. @param done Gets whether it is known to; perhaps never,
	 * when that can't be found out. */
	void Confirm(const std::function<void(bool)> &done);
	/** Answers another node. @param question Its question. @param done Gets the answer. */
	void Answer(const ConfigQuestion &question, const ConfigPeers::Done &done);

	/** @return Questions asked. */
	[[nodiscard]] uint64_t Questions() const { return this->questions; }
	/** @return Configurations learned from other nodes. */
	[[nodiscard]] uint64_t Learned() const { return this->learned; }

private:
	Scheduler &scheduler;                                       ///< Clock and timers.
	SiteFeed &feed;                                             ///< What this node knows.
	ConfigPeers &peers;                                         ///< Other nodes.
	EventLog &events;                                           ///< Lines.
	std::string self;                                           ///< Where this node answers.
	std::deque<std::string> known;                              ///< Other nodes, the one to be asked next first.
	uint64_t questions = 0;                                     ///< For Questions().
	uint64_t learned = 0;                                       ///< For Learned().
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	[[nodiscard]] bool StoreSilent() const;
	void Look();
	void AskNext(bool confirm, const std::function<void(bool)> &done);
	void Take(const std::string &from, const PeerConfig &answer);
};

#endif /* CONFIG_EXCHANGE_H */
