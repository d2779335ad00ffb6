/** @file credential_list.cpp Member firms by the hash of their bearer token. */
#include "credential_list.h"

#include <QCryptographicHash>

#include <sstream>

namespace {

constexpr std::string_view SCHEME = "Bearer "; ///< The one scheme that is taken.

} // namespace

CredentialList::CredentialList(const std::vector<SettingRecord> &records)
{
	for (const SettingRecord &record : records) {
		Credential it;
		it.tenant = TenantName(record.at("tenant"));
		it.token_hash = record.at("token_sha256");
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
	if (authorization == nullptr || authorization->size() <= SCHEME.size() ||
		!SameText(authorization->substr(0, SCHEME.size()), SCHEME)) {
		return nullptr;
	}
	/* Looking up a hash leaks nothing of the token by the time it takes. */
	const QByteArray token = QByteArray::fromStdString(authorization->substr(SCHEME.size()));
	const QByteArray hash = QCryptographicHash::hash(token, QCryptographicHash::Sha256).toHex();
	const auto it = this->by_hash.find(hash.toStdString());
	return it == this->by_hash.end() ? nullptr : &it->second;
}
