/** @file key_hash.h Hashes of callers' keys. */
#ifndef KEY_HASH_H
#define KEY_HASH_H

#include "../strong_type.h"

#include <optional>
#include <string>
#include <string_view>

/** @return Hash of a key; unlike the key itself, it can be looked up without leaking the key by timing. @param key The
 * key. */
KeyHash HashKey(std::string_view key);

/**
 * Hashes the key of an Authorization header.
 * @param authorization Value of the header; null when there is none.
 * @param scheme Accepted scheme, without the blank after it; compared without regard to case.
 * @return Hash of the key; nothing when the header has no key of this scheme.
 */
std::optional<KeyHash> KeyHashFromHeader(const std::string *authorization, std::string_view scheme);

#endif /* KEY_HASH_H */
