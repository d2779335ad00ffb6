/** @file snapshot_func.h Snapshots of the fold: packing, reading with migrations, chunks in the log. */
#ifndef SNAPSHOT_FUNC_H
#define SNAPSHOT_FUNC_H

#include "fleet_func.h"

#include <optional>
#include <string>

inline constexpr uint32_t SNAPSHOT_FORMAT = 1;            ///< Format that this program writes.
inline constexpr size_t SNAPSHOT_CHUNK_BYTES = 48 * 1024; ///< Bytes of a chunk: a few chunks a batch.

/**
 * Packs a state.
 * @param fleet The state.
 * @return Bytes in format SNAPSHOT_FORMAT.
 */
std::string PackSnapshot(const FleetState &fleet);

/**
 * Reads a packed state, of this format or an older one.
 * @param bytes The bytes.
 * @param hash Hash that the state must have.
 * @return The state; nothing when the bytes are damaged, of a later format, or the hash differs.
 */
std::optional<FleetState> UnpackSnapshot(const std::string &bytes, uint64_t hash);

/**
 * Splits a packed state into records of the log.
 * @param bytes The packed state.
 * @param fleet The state, for base offset and hash.
 * @return Proposals in order.
 */
std::vector<std::unique_ptr<glade::wire::ProposalT>> SplitSnapshot(const std::string &bytes, const FleetState &fleet);

/**
 * Puts chunks together, from one or several writers; the first complete snapshot of the highest base offset wins.
 */
class SnapshotCollector {
public:
	/**
	 * Looks at a record.
	 * @param record Any record of the log.
	 */
	void Add(const LogRecord &record);

	/** @return The newest complete snapshot whose hash checks. */
	[[nodiscard]] const std::optional<FleetState> &Newest() const { return this->newest; }

	/** @return Base offset of the newest complete snapshot, 0 for none. */
	[[nodiscard]] LogOffset Base() const { return this->newest ? this->newest->offset : LogOffset(); }

private:
	/** Whose chunks belong together. */
	struct Source {
		LogOffset base;          ///< Offset of the state.
		std::string writer;      ///< Who wrote them.
		Incarnation incarnation; ///< Its start.

		auto operator<=>(const Source &) const = default;
	};

	std::map<Source, std::map<uint32_t, std::string>> partial; ///< Chunks of snapshots not complete yet.
	std::optional<FleetState> newest;                          ///< Newest complete one.

	void AddChunk(const Source &source, const glade::wire::SnapshotChunkT &chunk);
};

#endif /* SNAPSHOT_FUNC_H */
