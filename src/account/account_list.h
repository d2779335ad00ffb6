/** @file account_list.h Client accounts of a configuration: their keys, weights and maxima. No I/O. */
#ifndef ACCOUNT_LIST_H
#define ACCOUNT_LIST_H

#include "../resources_type.h"
#include "../strong_type.h"

#include <string>
#include <unordered_map>
#include <vector>

/** A client account. */
struct ClientAccount {
	AccountName name;          ///< Name of the account.
	std::vector<KeyHash> keys; ///< Hashes of the keys that its callers may use.
	double weight = 0;         ///< Guaranteed jobs per second under full load; 0 when not configured.
	Resources maximum;         ///< Limit of the resources of all its runs at all services; 0 of a kind: no limit.
};

/** @return Whether a caller may read or change a job. @param owner Account of the job; empty for none. @param caller
 * Account of the caller; empty on a route without keys. */
bool MayAccess(const AccountName &owner, const AccountName &caller);

/** The accounts of one configuration. Immutable. */
class AccountList {
public:
	AccountList() = default;
	/** @param accounts The accounts; their names and keys should be unique, see HasDuplicates(). */
	explicit AccountList(std::vector<ClientAccount> accounts);
	/* Not copyable, since the maps point into the accounts. */
	AccountList(const AccountList &) = delete;
	AccountList &operator=(const AccountList &) = delete;

	/** @return Whether a name or a key occurs twice, so that it doesn't identify one account. */
	[[nodiscard]] bool HasDuplicates() const { return this->duplicates; }
	/** @return The account of a key, or null. @param key Hash of the key. */
	[[nodiscard]] const ClientAccount *FindByKey(const KeyHash &key) const;
	/** @return The account with a name, or null. @param name Name of the account. */
	[[nodiscard]] const ClientAccount *Find(const AccountName &name) const;
	/** @return All accounts. */
	[[nodiscard]] const std::vector<ClientAccount> &All() const { return this->accounts; }

private:
	std::vector<ClientAccount> accounts;                            ///< The accounts.
	std::unordered_map<std::string, const ClientAccount *> by_key;  ///< Account by hash of a key.
	std::unordered_map<std::string, const ClientAccount *> by_name; ///< Account by name.
	bool duplicates = false;                                        ///< See HasDuplicates().
};

#endif /* ACCOUNT_LIST_H */
