/** @file snapshot_writer.h Snapshots in the log, well before its retention; states for peers when the log is down. */
#ifndef SNAPSHOT_WRITER_H
#define SNAPSHOT_WRITER_H

#include "keeper_core.h"

/** Writes snapshots when one is due. Any keeper may; the planner goes first, so that one is usually enough. */
class SnapshotWriter {
public:
	explicit SnapshotWriter(KeeperCore &core) : core(core), last_written(core.scheduler.Now()) {}

	/**
	 * Looks whether a snapshot is due. Called every second or so.
	 * @param planner Whether this keeper plans.
	 */
	void Tick(bool planner);

private:
	KeeperCore &core;     ///< Shared parts.
	Millis last_written;  ///< When a newer snapshot was last seen or written here.
	LogOffset last_base;  ///< Base of the newest snapshot seen.
	bool writing = false; ///< Whether chunks are not decided yet.

	void Write();
};

#endif /* SNAPSHOT_WRITER_H */
