/** @file owner_record.cpp The record that names the owner of a partition. */
#include "owner_record.h"

#include "record_codec.h"

std::string EncodeOwner(const StoredOwner &owner)
{
	glade::shard::OwnerRecordT out;
	out.format = RECORD_FORMAT;
	out.epoch = owner.epoch;
	out.address = owner.address;
	out.released = owner.released;
	out.others_ms = static_cast<uint32_t>(owner.earlier_lease_span.Value());
	out.successor = owner.successor;
	return PackRecord<glade::shard::OwnerRecord>(out);
}

std::optional<StoredOwner> DecodeOwner(std::string_view bytes)
{
	const auto in = UnpackRecord<glade::shard::OwnerRecord>(bytes);
	if (!in) {
		return std::nullopt;
	}
	return StoredOwner{in->epoch, in->address, in->released, Millis(in->others_ms), in->successor};
}
