/** @file record_codec.h Encoding of FlatBuffers records that carry a format number. */
#ifndef RECORD_CODEC_H
#define RECORD_CODEC_H

#include "../generated/shard_generated.h"

#include <memory>
#include <string>
#include <string_view>

inline constexpr uint32_t RECORD_FORMAT = 1; ///< Format that is written; records of later formats are rejected.

/**
 * Encodes a native record.
 * @tparam Table FlatBuffers type of the record.
 * @param native The record.
 * @return The encoded record.
 */
template <class Table, class Native>
std::string PackRecord(const Native &native)
{
	flatbuffers::FlatBufferBuilder builder;
	builder.Finish(Table::Pack(builder, &native));
	return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/**
 * Verifies and decodes a record.
 * @tparam Table FlatBuffers type of the record.
 * @param bytes The encoded record.
 * @return The native record, or null when it is malformed or of a later format.
 */
template <class Table>
std::unique_ptr<typename Table::NativeTableType> UnpackRecord(std::string_view bytes)
{
	const auto *data = reinterpret_cast<const uint8_t *>(bytes.data());
	flatbuffers::Verifier verifier(data, bytes.size());
	if (!verifier.VerifyBuffer<Table>(nullptr)) {
		return nullptr;
	}
	std::unique_ptr<typename Table::NativeTableType> native(flatbuffers::GetRoot<Table>(data)->UnPack());
	return native->format <= RECORD_FORMAT ? std::move(native) : nullptr;
}

#endif /* RECORD_CODEC_H */
