/** @file snapshot_writer.cpp Writes snapshots of the state to the log. */
#include "snapshot_writer.h"

#include "../fleet/snapshot_func.h"

#include <memory>

void SnapshotWriter::Tick(bool planner)
{
	const Millis now = this->core.scheduler.Now();
	if (this->core.tail.SnapshotBase() > this->newest_base) {
		this->newest_base = this->core.tail.SnapshotBase();
		this->newest_read_at = now;
	}
	if (this->writing || !this->core.tail.CaughtUp()) {
		return;
	}
	/* Other keepers wait for twice the limits, so that they write only when the planner doesn't. */
	const uint64_t factor = planner ? 1 : 2;
	const uint64_t records = this->core.State().offset.Value() - this->newest_base.Value();
	const Millis age = now - this->newest_read_at;
	const bool records_due = records > this->core.times.snapshot_records * factor;
	const bool age_due =
			records > 0 && age.Value() > this->core.times.snapshot_age.Value() * static_cast<int64_t>(factor);
	if (records_due || age_due) {
		this->Write();
	}
}

void SnapshotWriter::Write()
{
	this->writing = true;
	this->core.counters.snapshots++;
	const std::string bytes = PackSnapshot(this->core.State());
	auto chunks = SplitSnapshot(bytes, this->core.State());
	const auto remaining = std::make_shared<size_t>(chunks.size());
	for (auto &chunk : chunks) {
		this->core.writer.Submit(std::move(chunk), WritePriority::WP_BULK,
								 [this, remaining](const Decision &) { this->writing = --*remaining > 0; });
	}
}
