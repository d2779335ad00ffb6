/** @file config_exchange.cpp Fetches the newest configuration from other nodes while the store is unreachable. */
#include "config_exchange.h"

#include <algorithm>

namespace {

/** Time without an answer after which the store counts as unreachable. The store ends each long poll within a second,
 * even if there are no new records. */
constexpr Millis SILENT_AFTER(1300);
constexpr Millis LOOK_EVERY(200); ///< Interval of the checks, and of the polls while the store is unreachable.
constexpr size_t ASKED_AT_ONCE =
		2;                        ///< Nodes asked per poll; the store may refuse a third of all nodes at the same time.
constexpr size_t CONFIRM_BY = 3;  ///< Nodes asked per confirmation.
constexpr size_t KNOWN_MOST = 24; ///< Maximum number of known peers.

} // namespace

void ConfigExchange::Start()
{
	this->scheduler.After(LOOK_EVERY, [this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->Look();
			this->Start();
		}
	});
}

void ConfigExchange::AddPeer(const std::string &address)
{
	if (address.empty() || address == this->self || std::ranges::find(this->known, address) != this->known.end()) {
		return;
	}
	this->known.push_front(address);
	if (this->known.size() > KNOWN_MOST) {
		this->known.pop_back();
	}
}

bool ConfigExchange::StoreSilent() const
{
	return this->scheduler.Now() - this->feed.LastAnswerAt() > SILENT_AFTER;
}

void ConfigExchange::Look()
{
	if (!this->StoreSilent()) {
		return;
	}
	for (size_t n = 0; n < std::min(ASKED_AT_ONCE, this->known.size()); n++) {
		this->AskNext(false, [](bool) { /* AskNext() applies the answer. */ });
	}
}

void ConfigExchange::AskNext(bool confirm, const std::function<void(bool)> &done)
{
	const std::string address = this->known.front();
	this->known.pop_front();
	this->known.push_back(address);
	this->questions++;
	this->peers.Ask(address, ConfigQuestion{this->feed.ConfigVersion(), confirm},
					[this, address, done, still = std::weak_ptr<bool>(this->alive)](const PeerConfig &answer) {
						if (still.expired()) {
							return;
						}
						this->Take(address, answer);
						if (answer.age == Millis(0) && answer.version <= this->feed.ConfigVersion()) {
							done(true);
						}
					});
}

void ConfigExchange::Take(const std::string &from, const PeerConfig &answer)
{
	const uint64_t before = this->feed.ConfigVersion();
	if (answer.body.empty() || answer.version <= before) {
		return;
	}
	this->feed.TakeConfig(answer.body);
	this->learned += this->feed.ConfigVersion() > before ? 1 : 0;
	this->events.Write("config_from_node", {{"node", from},
											{"version", std::to_string(this->feed.ConfigVersion())},
											{"before", std::to_string(before)},
											{"age_ms", std::to_string(answer.age.Value())}});
}

void ConfigExchange::Confirm(const std::function<void(bool)> &done)
{
	this->feed.Confirm(done);
	if (!this->StoreSilent()) {
		return;
	}
	for (size_t n = 0; n < std::min(CONFIRM_BY, this->known.size()); n++) {
		this->AskNext(true, done);
	}
}

void ConfigExchange::Answer(const ConfigQuestion &question, const ConfigPeers::Done &done)
{
	const auto answer = [this, question, done](Millis age) {
		const uint64_t version = this->feed.ConfigVersion();
		done(PeerConfig{version, version > question.version ? this->feed.ConfigBody() : std::string(), age});
	};
	if (!question.confirm) {
		answer(this->scheduler.Now() - this->feed.CurrentAsOf());
		return;
	}
	this->feed.Confirm([answer, still = std::weak_ptr<bool>(this->alive)](bool confirmed) {
		if (!still.expired() && confirmed) {
			answer(Millis(0));
		}
	});
}
