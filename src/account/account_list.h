/** @file account_list.h Client accounts, as the configuration has them: their keys and what each may have. Pure. */
#ifndef ACCOUNT_LIST_H
#define ACCOUNT_LIST_H

#include "../resources_type.h"
#include "../strong_type.h"

#include <string>
#include <unordered_map>
#include <vector>

/** A client account. */
struct ClientAccount {
	AccountName name;          ///< Its name.
	std::vector<KeyHash> keys; ///< Hashes of the keys that its callers may use.
	double weight = 0;         ///< Jobs a second that it may count on when all is full; 0 when none are stated.
	Resources maximum;         ///< What all its runs may take at once, over all services; 0 of a kind for no limit.
};

/** @return Whether a caller may see or change a job. @param owner Account of the job; empty for nobody's. @param caller
 * Account of the caller; empty on a route without keys. */
bool MayAccess(const AccountName &owner, const AccountName &caller);

/** The accounts of one configuration. Immutable once made. */
class AccountList {
public:
	AccountList() = default;
	/** @param accounts The accounts; names and keys are not to stand twice: see Clashes(). */
	explicit AccountList(std::vector<ClientAccount> accounts);
	/* The look-ups point into the accounts. */
	AccountList(const AccountList &) = delete;
	AccountList &operator=(const AccountList &) = delete;

	/** @return Whether a name or a key stands twice: it isn't known then whose callers those are. */
	[[nodiscard]] bool HasDuplicates() const { return this->clashes; }
	/** @return The account of a key, or null. @param key Hash of the key. */
	[[nodiscard]] const ClientAccount *FindByKey(const KeyHash &key) const;
	/** @return The account of a name, or null. @param name Its name. */
	[[nodiscard]] const ClientAccount *Find(const AccountName &name) const;
	/** @return All accounts. */
	[[nodiscard]] const std::vector<ClientAccount> &All() const { return this->accounts; }

private:
	std::vector<ClientAccount> accounts;                            ///< The accounts.
	std::unordered_map<std::string, const ClientAccount *> by_key;  ///< By hash of a key.
	std::unordered_map<std::string, const ClientAccount *> by_name; ///< By name.
	bool clashes = false;                                           ///< For Clashes().
};

#endif /* ACCOUNT_LIST_H */
