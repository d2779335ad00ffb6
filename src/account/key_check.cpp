/** @file key_check.cpp Whether a caller's key is one of the configuration in force. */
#include "key_check.h"

#include <algorithm>
#include <utility>

namespace {

constexpr Millis CONFIRM_WAIT(400);   ///< A question without an answer by then has failed; a slow store takes 250 ms.
constexpr Millis QUESTION_GAP(100);   ///< Least time between two questions.
constexpr Millis REFUSED_FOR(1000);   ///< A refused key is remembered so long: a new key works within this time.
constexpr size_t REFUSED_MOST = 4096; ///< Refused keys that are remembered.

} // namespace

const ClientAccount *KeyCheck::Find(const KeyHash &key) const
{
	const std::shared_ptr<const AccountList> now = this->accounts();
	return now ? now->FindByKey(key) : nullptr;
}

void KeyCheck::DropOld()
{
	const bool old = this->scheduler.Now() - this->refused_since >= REFUSED_FOR;
	const bool newer = std::exchange(this->refused_by, this->accounts()) != this->accounts();
	if (old || newer || this->refused.size() >= REFUSED_MOST) {
		this->refused.clear();
	}
	if (this->refused.empty()) {
		this->refused_since = this->scheduler.Now();
	}
}

void KeyCheck::Check(const KeyHash &key, Done done)
{
	this->DropOld();
	const bool known = this->Find(key) != nullptr;
	if (known || this->refused.contains(key.Value())) {
		done(known ? KeyVerdict::KV_KNOWN : KeyVerdict::KV_UNKNOWN);
		return;
	}
	this->waiting.push_back(Waiting{key, std::move(done)});
	if (!this->asking) {
		this->Question();
	}
}

void KeyCheck::Question()
{
	if (this->waiting.empty()) {
		this->asking = false;
		return;
	}
	this->asking = true;
	this->asked = std::exchange(this->waiting, {});
	const uint64_t number = ++this->questions;
	const std::weak_ptr<bool> still(this->alive);
	const auto answer = [this, number, still](bool confirmed) {
		if (!still.expired()) {
			this->OnAnswer(number, confirmed);
		}
	};
	this->scheduler.After(CONFIRM_WAIT, [answer] { answer(false); });
	this->confirm(answer);
}

void KeyCheck::OnAnswer(uint64_t number, bool confirmed)
{
	if (number != this->questions || this->asked.empty()) {
		return; /* Answered before, or too late. */
	}
	this->DropOld();
	for (const Waiting &it : std::exchange(this->asked, {})) {
		const bool known = this->Find(it.key) != nullptr;
		if (!known && confirmed) {
			this->refused.insert(it.key.Value());
		}
		const KeyVerdict verdict = confirmed ? KeyVerdict::KV_UNKNOWN : KeyVerdict::KV_UNSURE;
		it.done(known ? KeyVerdict::KV_KNOWN : verdict);
	}
	this->scheduler.After(QUESTION_GAP, [this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->Question();
		}
	});
}
