/** @file key_memory.h Memory of idempotency keys, by which a non-repeatable request runs at most once. */
#ifndef KEY_MEMORY_H
#define KEY_MEMORY_H

#include "request_type.h"

#include <array>
#include <map>
#include <mutex>

/** An idempotency key, scoped to the client account and service that use it. */
struct KeyId {
	AccountName account; ///< Client account of the caller.
	ServiceName service; ///< Service of the request.
	std::string key;     ///< Key chosen by the caller.

	auto operator<=>(const KeyId &) const = default;
};

/** A complete response, stored for retries with the same key. */
struct StoredResponse {
	ResponseHead head; ///< Status and header fields.
	std::string body;  ///< Complete body.
};

/** Limits of the key memory. */
struct KeyLimits {
	Millis window = Millis(10 * 60 * MS_PER_SECOND); ///< Largest age at which a key is accepted.
	Millis skew = Millis(5 * MS_PER_SECOND); ///< Largest difference between the clocks of callers, entries and log.
	size_t keys = 200000;                    ///< Most keys remembered.
	size_t answer_bytes = 16 * 1024;         ///< Largest response body that is stored.
	size_t total_bytes = 64 * 1024 * 1024;   ///< Largest total size of stored response bodies.
};

/** Decision on a request with an idempotency key. */
struct KeyDecision {
	ResultCode code = ResultCode::RC_OK;          ///< RC_OK: run it; otherwise the code to refuse it with.
	std::shared_ptr<const StoredResponse> replay; ///< With RC_KEY_RAN: the response, if it was stored.
};

/**
 * Reads the time of issue from a key: a UUID of version 7, or 13 digits of milliseconds since 1970, '-' and at least
 * one more character.
 * @param key Idempotency key.
 * @return Time since 1970, ms; nothing when the key has neither form.
 */
std::optional<Millis> KeyIssueTime(std::string_view key);

/** Remembers idempotency keys. Thread safe: keys are distributed over shards with a lock each. */
class KeyMemory {
public:
	explicit KeyMemory(KeyLimits limits) : limits(limits) {}

	/**
	 * Decides whether a request may run. With RC_OK its key is recorded as running.
	 * @param id Key with its scope.
	 * @param fingerprint Hash of method, target and body; detects a key that is reused for another request.
	 * @param now Wall clock, ms since 1970.
	 * @return The decision.
	 */
	KeyDecision Begin(const KeyId &id, uint64_t fingerprint, Millis now);

	/**
	 * Records that the request ran, or may have run.
	 * @param id Key with its scope.
	 * @param response Response to store for retries; null when it is incomplete or too large.
	 */
	void Finish(const KeyId &id, std::shared_ptr<const StoredResponse> response);

	/**
	 * Removes the key of a request that certainly did not run, so that it may be used again.
	 * @param id Key with its scope.
	 */
	void Forget(const KeyId &id);

	/** @return Number of keys remembered. */
	[[nodiscard]] size_t Size() const;

	/** @return Limits in force. */
	[[nodiscard]] const KeyLimits &Limits() const { return this->limits; }

private:
	/** State of a key. */
	struct Entry {
		uint64_t fingerprint = 0;                       ///< Hash of the request that used the key.
		Millis issued;                                  ///< Time of issue, ms since 1970.
		bool running = true;                            ///< Whether the request is still running.
		std::shared_ptr<const StoredResponse> response; ///< Stored response; may be null.
	};

	/** Part of the keys, with a lock of its own. */
	struct Shard {
		mutable std::mutex lock;                    ///< Guards all members below.
		std::map<KeyId, Entry> entries;             ///< State by key.
		std::multimap<Millis, KeyId> by_issue_time; ///< Keys by time of issue, oldest first.
		size_t bytes = 0;                           ///< Total size of stored response bodies.
	};

	static constexpr size_t SHARDS = 16; ///< Number of shards.

	KeyLimits limits;                 ///< Limits of all shards together.
	std::array<Shard, SHARDS> shards; ///< Shards by hash of the key.

	Shard &ShardOf(const KeyId &id);
	void Expire(Shard &shard, Millis now) const;
};

#endif /* KEY_MEMORY_H */
