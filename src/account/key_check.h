/** @file key_check.h Checks whether a caller's key is in the configuration in force. No I/O, but a clock and timers. */
#ifndef KEY_CHECK_H
#define KEY_CHECK_H

#include "../scheduler_type.h"
#include "account_list.h"

#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

/** Result of a key check. */
enum class KeyVerdict : uint8_t {
	KV_KNOWN = 0,   ///< The configuration at hand has the key.
	KV_UNKNOWN = 1, ///< The configuration in force doesn't have the key.
	KV_UNSURE = 2,  ///< The configuration at hand doesn't have the key, but a newer one may.
};

/**
 * Checks keys against the configuration at hand, at once when it has the key. Before a key counts as unknown, the node
 * confirms that no newer configuration is in force: a node that has just started, was paused or can't read the store
 * would otherwise refuse callers whose key was added meanwhile. One confirmation serves all waiting checks, and refused
 * keys are cached for a moment, so that a flood of unknown keys costs at most ten confirmations per second.
 */
class KeyCheck {
public:
	/** Fetches any newer configuration, and then reports whether the one at hand is known to be the newest. */
	using Confirm = std::function<void(std::function<void(bool)>)>;
	using Done = std::function<void(KeyVerdict)>;
	/** Returns the accounts of the configuration at hand; null where callers need no key. */
	using Accounts = std::function<std::shared_ptr<const AccountList>()>;

	/** @param scheduler Clock and timers. @param accounts Returns the accounts at hand. @param confirm Confirms that
	 * they are the newest. */
	KeyCheck(Scheduler &scheduler, Accounts accounts, Confirm confirm)
			: scheduler(scheduler), accounts(std::move(accounts)), confirm(std::move(confirm))
	{
	}

	/** @return The account of a key in the configuration at hand, or null. @param key Hash of the key. */
	[[nodiscard]] const ClientAccount *Find(const KeyHash &key) const;
	/** Checks whether a key is known. @param key Hash of the key. @param done Receives the result, possibly from inside
	 * the call. */
	void Check(const KeyHash &key, Done done);

	/** @return Number of confirmations started. */
	[[nodiscard]] uint64_t Confirmations() const { return this->confirmations; }

private:
	/** A check that waits for a confirmation. */
	struct Waiting {
		KeyHash key; ///< Hash of the key.
		Done done;   ///< Receives the result.
	};

	Scheduler &scheduler;                          ///< Clock and timers.
	Accounts accounts;                             ///< Returns the accounts at hand.
	Confirm confirm;                               ///< Confirms that they are the newest.
	std::unordered_set<std::string> refused_keys;  ///< Hashes of keys found unknown a moment ago.
	std::shared_ptr<const AccountList> refused_by; ///< Accounts that don't have those keys.
	Millis refused_since;                          ///< When the first of those keys was found unknown.
	std::vector<Waiting> waiting;                  ///< Checks that wait for the next confirmation.
	std::vector<Waiting> in_confirmation;          ///< Checks served by the confirmation in progress.
	bool confirming = false;                       ///< Whether a confirmation or the delay after it is in progress.
	uint64_t confirmations = 0;                    ///< Number of confirmations started.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	void DropStaleRefusals();
	void StartConfirmation();
	void OnAnswer(uint64_t number, bool confirmed);
};

#endif /* KEY_CHECK_H */
