/** @file key_memory.cpp Memory of idempotency keys. */
#include "key_memory.h"

#include "route_func.h"

#include <algorithm>
#include <charconv>

namespace {

constexpr size_t UUID_LENGTH = 36;        ///< Characters of a UUID in text form.
constexpr size_t UUID_VERSION_INDEX = 14; ///< Index of the version digit.
constexpr size_t MILLIS_DIGITS = 13;      ///< Digits of the milliseconds since 1970, in the years 2001 to 2286.

/**
 * Parses a time.
 * @param text Digits.
 * @param base Base of the digits.
 * @return Time, ms; nothing when the text is no number from 0 on.
 */
std::optional<Millis> ParseMillis(const std::string &text, int base)
{
	int64_t n = 0;
	const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n, base);
	if (ec != std::errc() || end != text.data() + text.size() || n < 0) {
		return std::nullopt;
	}
	return Millis(n);
}

} // namespace

std::optional<Millis> KeyIssueTime(std::string_view key)
{
	if (key.size() == UUID_LENGTH && key[8] == '-' && key[UUID_VERSION_INDEX] == '7') {
		return ParseMillis(std::string(key.substr(0, 8)) + std::string(key.substr(9, 4)), 16);
	}
	if (key.size() > MILLIS_DIGITS + 1 && key[MILLIS_DIGITS] == '-') {
		return ParseMillis(std::string(key.substr(0, MILLIS_DIGITS)), 10);
	}
	return std::nullopt;
}

KeyMemory::Shard &KeyMemory::ShardOf(const KeyId &id)
{
	return this->shards[HashText(id.account.Value() + '\n' + id.service.Value() + '\n' + id.key) % SHARDS];
}

void KeyMemory::Expire(Shard &shard, Millis now) const
{
	/* A key is kept while any entry could accept it: for `window`, plus the clock skews of the caller and the entry. */
	const Millis keep = this->limits.window + this->limits.skew + this->limits.skew;
	auto it = shard.by_issue_time.begin();
	while (it != shard.by_issue_time.end() && it->first + keep < now) {
		const auto entry = shard.entries.find(it->second);
		if (entry->second.running) {
			++it;
			continue;
		}
		shard.bytes -= entry->second.response ? entry->second.response->body.size() : 0;
		shard.entries.erase(entry);
		it = shard.by_issue_time.erase(it);
	}
}

KeyDecision KeyMemory::Begin(const KeyId &id, uint64_t fingerprint, Millis now)
{
	const std::optional<Millis> issued = KeyIssueTime(id.key);
	if (!issued || *issued > now + this->limits.skew) {
		return {ResultCode::RC_KEY_MALFORMED, nullptr};
	}
	if (*issued + this->limits.window < now) {
		return {ResultCode::RC_KEY_EXPIRED, nullptr};
	}
	Shard &shard = this->ShardOf(id);
	const std::scoped_lock guard(shard.lock);
	this->Expire(shard, now);
	if (const auto it = shard.entries.find(id); it != shard.entries.end()) {
		if (it->second.fingerprint != fingerprint) {
			return {ResultCode::RC_KEY_OTHER_REQUEST, nullptr};
		}
		return {it->second.running ? ResultCode::RC_KEY_RUNNING : ResultCode::RC_KEY_RAN, it->second.response};
	}
	if (shard.entries.size() >= this->limits.keys / SHARDS) {
		return {ResultCode::RC_KEY_MEMORY_FULL, nullptr};
	}
	shard.entries.emplace(id, Entry{fingerprint, *issued, true, nullptr});
	shard.by_issue_time.emplace(*issued, id);
	return {};
}

void KeyMemory::Finish(const KeyId &id, std::shared_ptr<const StoredResponse> response)
{
	Shard &shard = this->ShardOf(id);
	const std::scoped_lock guard(shard.lock);
	const auto it = shard.entries.find(id);
	if (it == shard.entries.end()) {
		return;
	}
	it->second.running = false;
	const size_t size = response ? response->body.size() : 0;
	if (size <= this->limits.answer_bytes && shard.bytes + size <= this->limits.total_bytes / SHARDS) {
		shard.bytes += size;
		it->second.response = std::move(response);
	}
}

void KeyMemory::Forget(const KeyId &id)
{
	Shard &shard = this->ShardOf(id);
	const std::scoped_lock guard(shard.lock);
	const auto it = shard.entries.find(id);
	if (it == shard.entries.end()) {
		return;
	}
	const auto [first, last] = shard.by_issue_time.equal_range(it->second.issued);
	const auto place = std::find_if(first, last, [&](const auto &entry) { return entry.second == id; });
	shard.by_issue_time.erase(place);
	shard.entries.erase(it);
}

size_t KeyMemory::Size() const
{
	size_t n = 0;
	for (const Shard &shard : this->shards) {
		const std::scoped_lock guard(shard.lock);
		n += shard.entries.size();
	}
	return n;
}
