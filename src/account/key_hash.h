/** @file key_hash.h Callers' keys as they come, made into what is kept of them: a hash. */
#ifndef KEY_HASH_H
#define KEY_HASH_H

#include "../strong_type.h"

#include <optional>
#include <string>
#include <string_view>

/** @return Hash of a key. Looking up a hash leaks nothing of the key by the time it takes. @param key The key. */
KeyHash HashKey(std::string_view key);

/**
 * Reads the key of an Authorization header.
 * @param authorization The header's value; null when there is none.
 * @param scheme The scheme that is taken, without the blank behind it; its case doesn't count.
 * @return Hash of the key; nothing when there is none under this scheme.
 */
std::optional<KeyHash> KeyHashFromHeader(const std::string *authorization, std::string_view scheme);

#endif /* KEY_HASH_H */
