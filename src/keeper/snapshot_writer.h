/** @file snapshot_writer.h Writes snapshots of the state to the log, before its retention drops the records. */
#ifndef SNAPSHOT_WRITER_H
#define SNAPSHOT_WRITER_H

#include "keeper_core.h"

/** Writes a snapshot when enough records or time have passed since the newest one. Any keeper may write one; the
 * planner does so earlier than the others. */
class SnapshotWriter {
public:
	explicit SnapshotWriter(KeeperCore &core) : core(core), newest_read_at(core.scheduler.Now()) {}

	/**
	 * Writes a snapshot when one is due. Called about once a second.
	 * @param planner Whether this keeper holds the planning term.
	 */
	void Tick(bool planner);

private:
	KeeperCore &core;      ///< Shared state of the keeper.
	Millis newest_read_at; ///< When the newest snapshot was read from the log; at first the start of the process.
	LogOffset newest_base; ///< Base offset of the newest snapshot read.
	bool writing = false;  ///< Whether chunks of a snapshot are undecided.

	void Write();
};

#endif /* SNAPSHOT_WRITER_H */
