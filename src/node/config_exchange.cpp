/** @file config_exchange.cpp Fetches the newest configuration and evacuated zones from other nodes while the store is
 * unreachable. */
#include "config_exchange.h"

#include <algorithm>
#include <utility>

namespace {

/** Time without an answer after which the store counts as unreachable. The store answers each long poll within a
 * second, even if there are no new records. */
constexpr Millis STORE_TIMEOUT(1300);
constexpr Millis POLL_INTERVAL(200); ///< Interval of the checks, and of the polls while the store is unreachable.
/** Nodes asked by the first poll: more than one, as the store may refuse a third of all nodes at the same time. */
constexpr size_t PEERS_PER_POLL = 2;
/** Each poll asks twice as many as the last one, up to this number, until one of them has fresh knowledge. */
constexpr size_t PEERS_PER_POLL_MAX = 8;
constexpr size_t PEERS_PER_CONFIRMATION = 3; ///< Nodes asked per confirmation.
constexpr size_t PEERS_PER_REFRESH = 16;     ///< Maximum number of nodes asked per refresh.
constexpr size_t HOLDERS_MAX = 24;           ///< Maximum number of known nodes that hold partitions.
constexpr size_t OTHERS_MAX = 24;            ///< Maximum number of other known nodes.
constexpr size_t NODES_PER_ANSWER = 8;       ///< Maximum number of nodes named in an answer.

} // namespace

ConfigExchange::ConfigExchange(Scheduler &scheduler, SiteFeed &feed, ConfigPeers &peers, EventLog &events,
							   std::string self)
		: scheduler(scheduler), feed(feed), peers(peers), events(events), self(std::move(self)), holders(HOLDERS_MAX),
		  others(OTHERS_MAX), poll_size(PEERS_PER_POLL)
{
}

void ConfigExchange::Start()
{
	this->scheduler.After(POLL_INTERVAL, [this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->PollPeers();
			this->Start();
		}
	});
}

void ConfigExchange::AddPeer(const std::string &address)
{
	if (!address.empty() && address != this->self) {
		this->others.Remove(address);
		this->holders.Add(address);
	}
}

void ConfigExchange::LearnPeer(const std::string &address)
{
	if (!address.empty() && address != this->self && !this->holders.Contains(address)) {
		this->others.Add(address);
	}
}

std::string ConfigExchange::NextPeer()
{
	/* Asked again only after it has answered. */
	std::string fresh = std::exchange(this->fresh_peer, {});
	return fresh.empty() ? this->NextInTurn() : fresh;
}

std::string ConfigExchange::NextInTurn()
{
	this->other_next = !this->other_next && this->others.Size() > 0;
	const bool other = this->other_next || this->holders.Size() == 0;
	return other ? this->others.Next() : this->holders.Next();
}

bool ConfigExchange::StoreUnreachable() const
{
	return this->scheduler.Now() - this->feed.LastAnswerAt() > STORE_TIMEOUT;
}

void ConfigExchange::PollPeers()
{
	if (!this->StoreUnreachable()) {
		this->EndEpisode();
		return;
	}
	if (!this->episode) {
		this->episode = PollEpisode{this->scheduler.Now(), 0, 0, std::nullopt};
	}
	const size_t count = std::min(this->poll_size, this->KnownPeers());
	for (size_t n = 0; n < count; n++) {
		this->AskNextPeer(false, [](bool) { /* AskNextPeer() applies the answer. */ });
	}
	this->asked_in_vain += count;
	this->poll_size = std::min(this->poll_size * 2, PEERS_PER_POLL_MAX);
	if (this->asked_in_vain >= this->KnownPeers()) {
		/* All were asked: to go on at this rate would only load them. */
		this->asked_in_vain = 0;
		this->poll_size = PEERS_PER_POLL;
	}
}

void ConfigExchange::EndEpisode()
{
	if (!this->episode) {
		return;
	}
	const PollEpisode it = *std::exchange(this->episode, std::nullopt);
	const bool answered = it.least_age.has_value();
	this->events.Write("config_polls", {{"lasted_ms", std::to_string((this->scheduler.Now() - it.began_at).Value())},
										{"known_peers", std::to_string(this->KnownPeers())},
										{"asked", std::to_string(it.asked)},
										{"answers", std::to_string(it.answers)},
										{"least_age_ms", answered ? std::to_string(it.least_age->Value()) : "none"}});
}

void ConfigExchange::AskNextPeer(bool confirm, const std::function<void(bool)> &done)
{
	const std::string address = this->NextPeer();
	this->requests_sent++;
	if (this->episode) {
		this->episode->asked++;
	}
	this->peers.Ask(address,
					ConfigQuestion{this->feed.ConfigVersion(), this->feed.Evacuated().as_of, confirm, this->self},
					[this, address, confirm, done, asked_at = this->scheduler.Now(),
					 still = std::weak_ptr<bool>(this->alive)](const PeerConfig &answer) {
						if (still.expired()) {
							return;
						}
						this->ApplyAnswer(address, asked_at, answer);
						const bool newest = answer.age == Millis(0) && answer.version <= this->feed.ConfigVersion();
						if (newest || !confirm) {
							done(newest);
						}
					});
}

void ConfigExchange::NoteAnswer(const std::string &from, const PeerConfig &answer)
{
	std::ranges::for_each(answer.nodes, [this](const std::string &it) { this->LearnPeer(it); });
	if (answer.age <= STORE_TIMEOUT) {
		this->asked_in_vain = 0;
		this->poll_size = PEERS_PER_POLL;
		this->fresh_peer = from;
	}
	if (this->episode) {
		this->episode->answers++;
		this->episode->least_age = std::min(this->episode->least_age.value_or(answer.age), answer.age);
	}
}

void ConfigExchange::ApplyAnswer(const std::string &from, Millis asked_at, const PeerConfig &answer)
{
	const uint64_t old_version = this->feed.ConfigVersion();
	this->NoteAnswer(from, answer);
	if (answer.evacuated) {
		this->feed.TakeEvacuatedZones(*answer.evacuated);
	}
	if (answer.body.empty() || answer.version <= old_version) {
		this->feed.TakeConfirmation(answer.version, asked_at - answer.age);
		return;
	}
	this->feed.TakeConfig(answer.body);
	this->feed.TakeConfirmation(answer.version, asked_at - answer.age);
	this->configs_adopted += this->feed.ConfigVersion() > old_version ? 1 : 0;
	this->events.Write("config_from_node", {{"node", from},
											{"version", std::to_string(this->feed.ConfigVersion())},
											{"old_version", std::to_string(old_version)},
											{"age_ms", std::to_string(answer.age.Value())}});
}

void ConfigExchange::Confirm(const std::function<void(bool)> &done)
{
	this->feed.Confirm(done);
	if (!this->StoreUnreachable()) {
		return;
	}
	for (size_t n = 0; n < std::min(PEERS_PER_CONFIRMATION, this->KnownPeers()); n++) {
		this->AskNextPeer(true, done);
	}
}

void ConfigExchange::Refresh(const std::function<void(bool)> &done)
{
	this->feed.Confirm(done);
	for (size_t n = 0; n < std::min(PEERS_PER_REFRESH, this->KnownPeers()); n++) {
		this->AskNextPeer(false, done);
	}
}

std::vector<std::string> ConfigExchange::SomePeers()
{
	std::vector<std::string> out(std::min(NODES_PER_ANSWER, this->KnownPeers()));
	std::ranges::generate(out, [this] { return this->NextInTurn(); });
	return out;
}

void ConfigExchange::Answer(const ConfigQuestion &question, const ConfigPeers::Done &done)
{
	this->LearnPeer(question.address);
	const auto answer = [this, question, done](Millis age) {
		const uint64_t version = this->feed.ConfigVersion();
		const EvacuatedZones &evacuated = this->feed.Evacuated();
		done(PeerConfig{version, version > question.version ? this->feed.ConfigBody() : std::string(), age,
						evacuated.as_of > question.evacuations_as_of ? std::optional(evacuated) : std::nullopt,
						this->SomePeers()});
	};
	if (!question.confirm) {
		answer(this->scheduler.Now() - this->feed.ConfirmedAsOf());
		return;
	}
	this->feed.Confirm([answer, still = std::weak_ptr<bool>(this->alive)](bool confirmed) {
		if (!still.expired() && confirmed) {
			answer(Millis(0));
		}
	});
}
