/** @file snapshot_writer.cpp Snapshots in the log. */
#include "snapshot_writer.h"

#include "../fleet/snapshot_func.h"

#include <memory>

void SnapshotWriter::Tick(bool planner)
{
	const Millis now = this->core.scheduler.Now();
	if (this->core.tail.SnapshotBase() > this->last_base) {
		this->last_base = this->core.tail.SnapshotBase();
		this->last_written = now;
	}
	if (this->writing || !this->core.tail.CaughtUp()) {
		return;
	}
	/* Others wait for twice as much, so that they step in only when the planner does not write. */
	const uint64_t factor = planner ? 1 : 2;
	const uint64_t records = this->core.State().offset.Value() - this->last_base.Value();
	const Millis age = now - this->last_written;
	const bool many = records > this->core.times.snapshot_records * factor;
	const bool old = records > 0 && age.Value() > this->core.times.snapshot_age.Value() * static_cast<int64_t>(factor);
	if (many || old) {
		this->Write();
	}
}

void SnapshotWriter::Write()
{
	this->writing = true;
	this->core.counters.snapshots++;
	const std::string bytes = PackSnapshot(this->core.State());
	auto chunks = SplitSnapshot(bytes, this->core.State());
	const auto left = std::make_shared<size_t>(chunks.size());
	for (auto &chunk : chunks) {
		this->core.writer.Submit(std::move(chunk), WritePriority::WP_BULK,
								 [this, left](const Decision &) { this->writing = --*left > 0; });
	}
}
