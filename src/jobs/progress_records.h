/** @file progress_records.h Progress of a job as records of the keyed log, none of them larger than the log accepts.
 *
 * A job that one record can't hold has several, each with the tasks from some index on. They need not be of one
 * revision: each task is restored from the newest record that has it. */
#ifndef PROGRESS_RECORDS_H
#define PROGRESS_RECORDS_H

#include "../store/keyed_log.h"
#include "job_codec.h"

#include <span>

/** Most tasks in one of several records: a change of one task writes the records with that task and with the first one.
 */
inline constexpr size_t TASKS_PER_RECORD = 1024;

/** Decoded key of a progress record. */
struct ProgressKey {
	JobId job;             ///< The job.
	size_t first_task = 0; ///< Index of the first task in the record.

	bool operator==(const ProgressKey &) const = default;
};

/** @return Encoded key of a progress record. @param name The decoded key. */
std::string KeyOf(const ProgressKey &name);
/** @return Decoded key of a progress record. @param key The encoded key. */
ProgressKey ParseProgressKey(std::string_view key);

/** Records of a job's progress. */
struct ProgressRecords {
	std::vector<KeyedRecord> records; ///< The records; the first task's one is always among them.
	bool divided = false;             ///< Whether one record can't hold all tasks.
	/** Number of checkpoints that a record can't hold: after a change of owner, their tasks start anew. */
	size_t checkpoints_left_out = 0;
};

/**
 * Makes the records of a job's progress.
 * @param id Id of the job.
 * @param progress Progress with all tasks.
 * @param recorded The tasks as recorded last: records of which no task has changed are left out. Empty to make all.
 * @param record_bytes Largest encoded record.
 * @return The records.
 */
ProgressRecords MakeProgressRecords(const JobId &id, const StoredProgress &progress,
									std::span<const StoredTask> recorded, size_t record_bytes);

/** Merges the progress records of a job, in any order. */
class RestoredProgress {
public:
	/** Adds a record. @param record The decoded record. */
	void Add(const StoredProgress &record);
	/** @return The newest progress with all tasks; a task that no record has is in its initial state. */
	[[nodiscard]] const StoredProgress &Result() const { return this->progress; }

private:
	StoredProgress progress;                        ///< See Result().
	std::vector<std::optional<uint64_t>> revisions; ///< Revision of the record that each task is from, if any.
};

#endif /* PROGRESS_RECORDS_H */
