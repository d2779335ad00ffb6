/** @file account_list.cpp Client accounts of a configuration. */
#include "account_list.h"

#include <utility>

namespace {

/** @return The account under a key of a map, or null. */
const ClientAccount *LookUp(const std::unordered_map<std::string, const ClientAccount *> &map, const std::string &name)
{
	const auto it = map.find(name);
	return it == map.end() ? nullptr : it->second;
}

} // namespace

bool MayAccess(const AccountName &owner, const AccountName &caller)
{
	return owner.Value().empty() || caller.Value().empty() || owner == caller;
}

AccountList::AccountList(std::vector<ClientAccount> accounts) : accounts(std::move(accounts))
{
	for (const ClientAccount &it : this->accounts) {
		this->duplicates = !this->by_name.emplace(it.name.Value(), &it).second || this->duplicates;
		for (const KeyHash &key : it.keys) {
			this->duplicates = !this->by_key.emplace(key.Value(), &it).second || this->duplicates;
		}
	}
}

const ClientAccount *AccountList::FindByKey(const KeyHash &key) const
{
	return LookUp(this->by_key, key.Value());
}

const ClientAccount *AccountList::Find(const AccountName &name) const
{
	return LookUp(this->by_name, name.Value());
}
