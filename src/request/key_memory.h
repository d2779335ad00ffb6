/** @file key_memory.h Memory of idempotency keys: a request that may not be repeated runs at most once. */
#ifndef KEY_MEMORY_H
#define KEY_MEMORY_H

#include "request_type.h"

#include <array>
#include <map>
#include <mutex>

/** A key, in the scope of the member firm and service that used it. */
struct KeyId {
	AccountName account; ///< Client account.
	ServiceName service; ///< Service.
	std::string key;     ///< The caller's key.

	auto operator<=>(const KeyId &) const = default;
};

/** A whole small answer, kept for a retry with the same key. */
struct StoredResponse {
	ResponseHead head; ///< Its head.
	std::string body;  ///< Its body.
};

/** Limits of the memory. */
struct KeyLimits {
	Millis window = Millis(10 * 60 * MS_PER_SECOND); ///< Age up to which a key is accepted.
	Millis skew = Millis(5 * MS_PER_SECOND);         ///< How far the clocks of callers, entries and log may differ.
	size_t keys = 200000;                            ///< Keys remembered at most.
	size_t answer_bytes = 16 * 1024;                 ///< Largest answer that is kept.
	size_t total_bytes = 64 * 1024 * 1024;           ///< All kept answers together.
};

/** What to do with a keyed request. */
struct KeyDecision {
	ResultCode code = ResultCode::RC_OK;          ///< RC_OK: run it; else refuse with this code.
	std::shared_ptr<const StoredResponse> replay; ///< With RC_KEY_RAN: the answer, when it was kept.
};

/**
 * Time of issue that a key carries: a UUID of version 7, or the milliseconds since 1970, '-' and anything.
 * @param key The key.
 * @return The time, or nothing when the key carries none.
 */
std::optional<Millis> KeyIssueTime(std::string_view key);

/** The memory. Thread safe: keys are spread over shards, each under its own lock. */
class KeyMemory {
public:
	explicit KeyMemory(KeyLimits limits) : limits(limits) {}

	/**
	 * Decides on a keyed request and, with RC_OK, remembers that it runs from now on.
	 * @param id The key.
	 * @param fingerprint Hash of method, target and body: a key stands for one request.
	 * @param now Wall clock.
	 * @return The decision.
	 */
	KeyDecision Begin(const KeyId &id, uint64_t fingerprint, Millis now);

	/**
	 * The request ran, or may have run.
	 * @param id The key.
	 * @param answer Its answer when it is whole and small enough, else null.
	 */
	void Finish(const KeyId &id, std::shared_ptr<const StoredResponse> response);

	/**
	 * The request certainly did not run: the key may be used again.
	 * @param id The key.
	 */
	void Forget(const KeyId &id);

	/** @return Keys remembered. */
	[[nodiscard]] size_t Size() const;

	/** @return Limits in force. */
	[[nodiscard]] const KeyLimits &Limits() const { return this->limits; }

private:
	/** What is remembered of a key. */
	struct Entry {
		uint64_t fingerprint = 0;                       ///< Of the request that used it.
		Millis issued;                                  ///< When the caller made it.
		bool running = true;                            ///< Whether its request is under way.
		std::shared_ptr<const StoredResponse> response; ///< Kept answer, if any.
	};

	/** Part of the memory. */
	struct Shard {
		mutable std::mutex lock;                    ///< Guards what follows.
		std::map<KeyId, Entry> entries;             ///< The keys.
		std::multimap<Millis, KeyId> by_issue_time; ///< The same, oldest first.
		size_t bytes = 0;                           ///< Kept answers.
	};

	static constexpr size_t SHARDS = 16; ///< Parts of the memory.

	KeyLimits limits;                 ///< Limits.
	std::array<Shard, SHARDS> shards; ///< The parts.

	Shard &ShardOf(const KeyId &id);
	void Expire(Shard &shard, Millis now) const;
};

#endif /* KEY_MEMORY_H */
