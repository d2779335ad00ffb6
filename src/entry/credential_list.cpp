/** @file credential_list.cpp Client accounts by the hash of their bearer token. */
#include "credential_list.h"

#include "../account/key_hash.h"

#include <sstream>

namespace {

constexpr std::string_view SCHEME = "Bearer"; ///< The only accepted authentication scheme.

} // namespace

CredentialList::CredentialList(const std::vector<SettingRecord> &records)
{
	for (const SettingRecord &record : records) {
		Credential it;
		it.account = AccountName(record.at("tenant"));
		it.token_hash = KeyHash(record.at("token_sha256"));
		if (const auto services = record.find("services"); services != record.end()) {
			std::istringstream in(services->second);
			std::string service;
			while (in >> service) {
				it.services.insert(ServiceName(service));
			}
		}
		this->by_hash[it.token_hash] = it;
	}
}

const Credential *CredentialList::Find(const std::string *authorization) const
{
	const std::optional<KeyHash> hash = KeyHashFromHeader(authorization, SCHEME);
	const auto it = hash ? this->by_hash.find(*hash) : this->by_hash.end();
	return it == this->by_hash.end() ? nullptr : &it->second;
}
