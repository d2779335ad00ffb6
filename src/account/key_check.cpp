/** @file key_check.cpp Checks whether a caller's key is in the configuration in force. */
#include "key_check.h"

#include <algorithm>
#include <utility>

namespace {

constexpr Millis
		CONFIRM_TIMEOUT(200);        ///< Timeout of a confirmation, within which a request may overtake one that waits.
constexpr Millis CONFIRM_DELAY(100); ///< Delay between the end of a confirmation and the next one.
constexpr Millis REFUSED_CACHE_TIME(1000); ///< Time that a refused key is cached: a new key works within this time.
constexpr size_t MAX_REFUSED_KEYS = 4096;  ///< Limit of the cached refused keys.

} // namespace

const ClientAccount *KeyCheck::Find(const KeyHash &key) const
{
	const std::shared_ptr<const AccountList> now = this->accounts();
	return now ? now->FindByKey(key) : nullptr;
}

void KeyCheck::DropStaleRefusals()
{
	const bool old = this->scheduler.Now() - this->refused_since >= REFUSED_CACHE_TIME;
	const bool newer = std::exchange(this->refused_by, this->accounts()) != this->accounts();
	if (old || newer || this->refused_keys.size() >= MAX_REFUSED_KEYS) {
		this->refused_keys.clear();
	}
	if (this->refused_keys.empty()) {
		this->refused_since = this->scheduler.Now();
	}
}

void KeyCheck::Check(const KeyHash &key, Done done)
{
	this->DropStaleRefusals();
	const bool known = this->Find(key) != nullptr;
	if (known || this->refused_keys.contains(key.Value())) {
		done(known ? KeyVerdict::KV_KNOWN : KeyVerdict::KV_UNKNOWN);
		return;
	}
	this->waiting.push_back(Waiting{key, std::move(done)});
	if (!this->confirming) {
		this->StartConfirmation();
	}
}

void KeyCheck::StartConfirmation()
{
	if (this->waiting.empty()) {
		this->confirming = false;
		return;
	}
	this->confirming = true;
	this->in_confirmation = std::exchange(this->waiting, {});
	const uint64_t number = ++this->confirmations;
	const std::weak_ptr<bool> still(this->alive);
	const auto answer = [this, number, still](bool confirmed) {
		if (!still.expired()) {
			this->OnAnswer(number, confirmed);
		}
	};
	this->scheduler.After(CONFIRM_TIMEOUT, [answer] { answer(false); });
	this->confirm(answer);
}

void KeyCheck::OnAnswer(uint64_t number, bool confirmed)
{
	if (number != this->confirmations || this->in_confirmation.empty()) {
		return; /* Already answered, or timed out. */
	}
	this->DropStaleRefusals();
	for (const Waiting &it : std::exchange(this->in_confirmation, {})) {
		const bool known = this->Find(it.key) != nullptr;
		if (!known && confirmed) {
			this->refused_keys.insert(it.key.Value());
		}
		const KeyVerdict verdict = confirmed ? KeyVerdict::KV_UNKNOWN : KeyVerdict::KV_UNSURE;
		it.done(known ? KeyVerdict::KV_KNOWN : verdict);
	}
	this->scheduler.After(CONFIRM_DELAY, [this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->StartConfirmation();
		}
	});
}
