/** @file credential_list.h Client accounts by the hash of their bearer token. */
#ifndef CREDENTIAL_LIST_H
#define CREDENTIAL_LIST_H

#include "../program/settings.h"
#include "../request/request_path.h"

/** Credentials from the settings. Immutable, so that all lanes can read it without a lock. */
class CredentialList : public CredentialStore {
public:
	/**
	 * @param records Records of the setting `credentials`.
	 */
	explicit CredentialList(const std::vector<SettingRecord> &records);

	[[nodiscard]] const Credential *Find(const std::string *authorization) const override;

private:
	std::map<KeyHash, Credential> by_hash; ///< Credentials by token hash.
};

#endif /* CREDENTIAL_LIST_H */
