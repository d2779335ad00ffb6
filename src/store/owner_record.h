/** @file owner_record.h The record that tells who owns a partition. */
#ifndef OWNER_RECORD_H
#define OWNER_RECORD_H

#include "../strong_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/** Who owns a partition. */
struct StoredOwner {
	uint64_t epoch = 0;        ///< Rises with each owner.
	std::string address;       ///< Where its node answers others.
	bool released = false;     ///< It has let go by itself: it prolongs no lease any more.
	Millis earlier_lease_span; ///< When it let go: owners before it may still have prolonged leases for so long.

	bool operator==(const StoredOwner &) const = default;
};

/** @return Bytes of an owner. @param owner The owner. */
std::string EncodeOwner(const StoredOwner &owner);
/** @return The owner, or nothing when the bytes are no such record or of a later format. @param bytes The record. */
std::optional<StoredOwner> DecodeOwner(std::string_view bytes);

#endif /* OWNER_RECORD_H */
