/** @file key_hash.cpp Hashes of callers' keys. */
#include "key_hash.h"

#include <QByteArray>
#include <QCryptographicHash>

#include <algorithm>
#include <cctype>

namespace {

bool EqualIgnoringCase(std::string_view a, std::string_view b)
{
	return std::ranges::equal(a, b,
							  [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

KeyHash HashKey(std::string_view key)
{
	const QByteArray bytes = QByteArray::fromRawData(key.data(), static_cast<qsizetype>(key.size()));
	return KeyHash(QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString());
}

std::optional<KeyHash> KeyHashFromHeader(const std::string *authorization, std::string_view scheme)
{
	if (authorization == nullptr || authorization->size() <= scheme.size() + 1 ||
		(*authorization)[scheme.size()] != ' ' ||
		!EqualIgnoringCase(std::string_view(*authorization).substr(0, scheme.size()), scheme)) {
		return std::nullopt;
	}
	return HashKey(std::string_view(*authorization).substr(scheme.size() + 1));
}
