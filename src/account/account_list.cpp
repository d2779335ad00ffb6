/** @file account_list.cpp Client accounts, as the configuration has them. */
#include "account_list.h"

#include <utility>

namespace {

/** @return What stands under a name, or null. */
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
		this->clashes = !this->by_name.emplace(it.name.Value(), &it).second || this->clashes;
		for (const KeyHash &key : it.keys) {
			this->clashes = !this->by_key.emplace(key.Value(), &it).second || this->clashes;
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
