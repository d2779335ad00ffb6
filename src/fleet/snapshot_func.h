/** @file snapshot_func.h Snapshots of the fleet's state: encoding, decoding of older formats, chunks in the log. */
#ifndef SNAPSHOT_FUNC_H
#define SNAPSHOT_FUNC_H

#include "fleet_func.h"

#include <optional>
#include <string>

inline constexpr uint32_t SNAPSHOT_FORMAT = 1;            ///< Format version that this program writes.
inline constexpr size_t SNAPSHOT_CHUNK_BYTES = 48 * 1024; ///< Maximum bytes of a chunk; fits into a batch of LogWriter.

/**
 * Encodes a state.
 * @param fleet The state.
 * @return Bytes in format SNAPSHOT_FORMAT.
 */
std::string PackSnapshot(const FleetState &fleet);

/**
 * Decodes a snapshot of this format or an older one.
 * @param bytes The bytes.
 * @param hash Expected hash of the state.
 * @return The state; nothing when the bytes are damaged or of a newer format, or the hash differs.
 */
std::optional<FleetState> UnpackSnapshot(const std::string &bytes, uint64_t hash);

/**
 * Splits a snapshot into chunks for the log.
 * @param bytes The snapshot.
 * @param fleet State in the snapshot; its offset and hash go into each chunk.
 * @return A proposal per chunk, in order.
 */
std::vector<std::unique_ptr<glade::wire::ProposalT>> SplitSnapshot(const std::string &bytes, const FleetState &fleet);

/**
 * Assembles snapshots from chunks of one or several writers. Keeps the valid one with the highest base offset; of
 * several at that offset, the first that was complete.
 */
class SnapshotCollector {
public:
	/**
	 * Adds the chunks of a record, if it has any.
	 * @param record Any record of the log.
	 */
	void Add(const LogRecord &record);

	/** @return State of the newest complete snapshot with a matching hash; nothing when there is none. */
	[[nodiscard]] const std::optional<FleetState> &Newest() const { return this->newest; }

	/** @return Base offset of the newest complete snapshot, 0 for none. */
	[[nodiscard]] LogOffset Base() const { return this->newest ? this->newest->offset : LogOffset(); }

private:
	/** Identity of a snapshot: chunks with the same source belong together. */
	struct Source {
		LogOffset base;          ///< Offset of the snapshot.
		std::string writer;      ///< Name of the writer.
		Incarnation incarnation; ///< Incarnation of the writer.

		auto operator<=>(const Source &) const = default;
	};

	std::map<Source, std::map<uint32_t, std::string>> partial; ///< Chunks of incomplete snapshots, by index.
	std::optional<FleetState> newest;                          ///< State of the newest complete snapshot.

	void AddChunk(const Source &source, const glade::wire::SnapshotChunkT &chunk);
};

#endif /* SNAPSHOT_FUNC_H */
