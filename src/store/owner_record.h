/** @file owner_record.h The record that names the owner of a partition. */
#ifndef OWNER_RECORD_H
#define OWNER_RECORD_H

#include "../strong_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/** Owner of a partition. */
struct StoredOwner {
	uint64_t epoch = 0;         ///< Increases with each owner.
	std::string address;        ///< IP:port on which its node serves other nodes.
	bool released = false;      ///< Whether it has released the partition itself, and extends no more leases.
	Millis earlier_lease_span;  ///< If released: how long after that earlier owners may still extend leases.
	std::string successor = {}; ///< If released to another node: IP:port on which that node serves other nodes.

	bool operator==(const StoredOwner &) const = default;
};

/** @return The encoded record of an owner. A successor doesn't change the format number: nodes that don't know the
 * field have to read the record as released, and they take a record of a later format for a missing one. @param owner
 * The owner. */
std::string EncodeOwner(const StoredOwner &owner);
/** @return The owner, or nothing when the record is malformed or of a later format. @param bytes The encoded record. */
std::optional<StoredOwner> DecodeOwner(std::string_view bytes);

#endif /* OWNER_RECORD_H */
