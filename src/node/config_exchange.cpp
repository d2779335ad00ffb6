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
/** Nodes asked per poll: more than one, as the store may refuse a third of all nodes at the same time. */
constexpr size_t PEERS_PER_POLL = 2;
constexpr size_t PEERS_PER_CONFIRMATION = 3; ///< Nodes asked per confirmation.
constexpr size_t KNOWN_PEERS_MAX = 24;       ///< Maximum number of known peers.

} // namespace

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
	if (address.empty() || address == this->self ||
		std::ranges::find(this->known_peers, address) != this->known_peers.end()) {
		return;
	}
	this->known_peers.push_front(address);
	if (this->known_peers.size() > KNOWN_PEERS_MAX) {
		this->known_peers.pop_back();
	}
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
	for (size_t n = 0; n < std::min(PEERS_PER_POLL, this->known_peers.size()); n++) {
		this->AskNextPeer(false, [](bool) { /* AskNextPeer() applies the answer. */ });
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
										{"known_peers", std::to_string(this->known_peers.size())},
										{"asked", std::to_string(it.asked)},
										{"answers", std::to_string(it.answers)},
										{"least_age_ms", answered ? std::to_string(it.least_age->Value()) : "none"}});
}

void ConfigExchange::AskNextPeer(bool confirm, const std::function<void(bool)> &done)
{
	const std::string address = this->known_peers.front();
	this->known_peers.pop_front();
	this->known_peers.push_back(address);
	this->requests_sent++;
	if (this->episode) {
		this->episode->asked++;
	}
	this->peers.Ask(address, ConfigQuestion{this->feed.ConfigVersion(), this->feed.Evacuated().as_of, confirm},
					[this, address, confirm, done, asked_at = this->scheduler.Now(),
					 still = std::weak_ptr<bool>(this->alive)](const PeerConfig &answer) {
						if (still.expired()) {
							return;
						}
						this->ApplyAnswer(address, asked_at, answer);
						const bool current = answer.age <= (confirm ? Millis(0) : STORE_TIMEOUT);
						if (current && answer.version <= this->feed.ConfigVersion()) {
							done(true);
						}
					});
}

void ConfigExchange::ApplyAnswer(const std::string &from, Millis asked_at, const PeerConfig &answer)
{
	const uint64_t old_version = this->feed.ConfigVersion();
	if (this->episode) {
		this->episode->answers++;
		this->episode->least_age = std::min(this->episode->least_age.value_or(answer.age), answer.age);
	}
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
	for (size_t n = 0; n < std::min(PEERS_PER_CONFIRMATION, this->known_peers.size()); n++) {
		this->AskNextPeer(true, done);
	}
}

void ConfigExchange::Refresh(const std::function<void(bool)> &done)
{
	this->feed.Confirm(done);
	for (size_t n = 0; n < this->known_peers.size(); n++) {
		this->AskNextPeer(false, done);
	}
}

void ConfigExchange::Answer(const ConfigQuestion &question, const ConfigPeers::Done &done)
{
	const auto answer = [this, question, done](Millis age) {
		const uint64_t version = this->feed.ConfigVersion();
		const EvacuatedZones &evacuated = this->feed.Evacuated();
		done(PeerConfig{version, version > question.version ? this->feed.ConfigBody() : std::string(), age,
						evacuated.as_of > question.evacuations_as_of ? std::optional(evacuated) : std::nullopt});
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
