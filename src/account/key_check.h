/** @file key_check.h Whether a caller's key is one of the configuration in force. Pure but for its clock. */
#ifndef KEY_CHECK_H
#define KEY_CHECK_H

#include "../scheduler_type.h"
#include "account_list.h"

#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

/** What is known of a key. */
enum class KeyVerdict : uint8_t {
	KV_KNOWN = 0,   ///< The configuration has it.
	KV_UNKNOWN = 1, ///< The configuration in force doesn't have it.
	KV_UNSURE = 2,  ///< A newer configuration than the one at hand may have it.
};

/**
 * Answers at once for keys that the configuration at hand has. Before a key counts as unknown, the node makes sure that
 * no newer configuration is in force: one that has just started, was paused or can't read the store would refuse
 * callers whose key has come meanwhile. One question serves all who wait, and a refused key is remembered for a moment,
 * so that a flood of bad keys costs ten questions a second.
 */
class KeyCheck {
public:
	/** Makes sure that the configuration at hand is the newest, and tells whether it is known to be. */
	using Confirm = std::function<void(std::function<void(bool)>)>;
	using Done = std::function<void(KeyVerdict)>;
	/** Tells the accounts of the configuration at hand; null where callers need no key. */
	using Accounts = std::function<std::shared_ptr<const AccountList>()>;

	/** @param scheduler Clock and timers. @param accounts Tells the accounts. @param confirm Asks whether there is a
	 * newer configuration. */
	KeyCheck(Scheduler &scheduler, Accounts accounts, Confirm confirm)
			: scheduler(scheduler), accounts(std::move(accounts)), confirm(std::move(confirm))
	{
	}

	/** @return The account of a key by the configuration at hand, or null. @param key The key. */
	[[nodiscard]] const ClientAccount *Find(const KeyHash &key) const;
	/** Finds out whether a key is known. @param key The key. @param done Gets the verdict, perhaps from inside the
	 * call.
	 */
	void Check(const KeyHash &key, Done done);

	/** @return Questions asked. */
	[[nodiscard]] uint64_t Confirmations() const { return this->questions; }

private:
	/** A caller who waits. */
	struct Waiting {
		KeyHash key; ///< Its key.
		Done done;   ///< Gets the verdict.
	};

	Scheduler &scheduler;                                       ///< Clock and timers.
	Accounts accounts;                                          ///< Tells the accounts.
	Confirm confirm;                                            ///< Asks.
	std::unordered_set<std::string> refused;                    ///< Keys found unknown a moment ago,
	std::shared_ptr<const AccountList> refused_by;              ///< and by which accounts.
	Millis refused_since;                                       ///< When the first of them was.
	std::vector<Waiting> waiting;                               ///< For the next question.
	std::vector<Waiting> asked;                                 ///< For the one under way.
	bool asking = false;                                        ///< Whether a question is under way, or its pause.
	uint64_t questions = 0;                                     ///< Questions asked.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void DropOld();
	void Question();
	void OnAnswer(uint64_t number, bool confirmed);
};

#endif /* KEY_CHECK_H */
