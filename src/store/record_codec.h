/** @file record_codec.h Packing of FlatBuffers records with a format number. */
#ifndef RECORD_CODEC_H
#define RECORD_CODEC_H

#include "../generated/shard_generated.h"

#include <memory>
#include <string>
#include <string_view>

inline constexpr uint32_t RECORD_FORMAT = 1; ///< Format written; a later one is not read.

/**
 * Packs a native record.
 * @tparam Table Its FlatBuffers type.
 * @param native The record.
 * @return Bytes.
 */
template <class Table, class Native>
std::string PackRecord(const Native &native)
{
	flatbuffers::FlatBufferBuilder builder;
	builder.Finish(Table::Pack(builder, &native));
	return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/**
 * Verifies and unpacks a record.
 * @tparam Table Its FlatBuffers type.
 * @param bytes The record.
 * @return It, or null when the bytes are no such record or of a later format.
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
