/** @file job_codec.h Records that a shard keeps in the keyed log, as bytes: FlatBuffers with a format number. */
#ifndef JOB_CODEC_H
#define JOB_CODEC_H

#include "job_type.h"

/** What is stored of a task. */
struct StoredTask {
	TaskPhase phase = TaskPhase::TP_WAITING; ///< Where it stands.
	RunNumber run;                           ///< Last start; also of one that has ended.
	uint32_t failures = 0;                   ///< Runs that failed.
	BoxIncarnation box;                      ///< Where it may run, while placed.
	std::string saved;                       ///< Checkpoint to resume from.
	/** The current run is to be stopped for planned work. Recorded before that stop leaves: a box lists a run at full
	 * pace until it has ended, so the next owner would take the task for one that works. */
	bool leaving = false;
	/** Boxes that have crashed for certain soon after they began the task. Recorded before its next start leaves, so
	 * that no owner forgets one: see Shard::NoteCrash(). */
	uint32_t crashes = 0;
	uint32_t crashes_possible = 0; ///< Runs lost with a box that may have crashed under them.

	bool operator==(const StoredTask &) const = default;
};

/** What is stored of a job's progress. */
struct StoredProgress {
	JobPhase phase = JobPhase::JP_QUEUED; ///< Where it stands.
	RouteName route;                      ///< Its route.
	Millis changed;                       ///< Wall time of the record.
	uint64_t revision = 0;                ///< Rises with each record of the job: of two, the higher one is newer.
	std::vector<StoredTask> tasks;        ///< By occurrence, step, index.

	bool operator==(const StoredProgress &) const = default;
};

/** What a caller's record in the inbox is about, as its key tells. Two accounts that use one id have two keys: the
 * newest record of a key is all that the log keeps. */
struct InboxKey {
	JobId job;                    ///< The job.
	AccountName account;          ///< The caller's account; empty on a route without keys.
	bool is_cancellation = false; ///< Whether it cancels the job, rather than hands it in.

	auto operator<=>(const InboxKey &) const = default;
};

/** @return Key of a caller's record. @param name What it is about. */
std::string KeyOf(const InboxKey &name);
/** @return What a caller's record is about. @param key Its key, not empty. */
InboxKey ParseInboxKey(std::string_view key);

/** @return Bytes of a submission, without the job's id: that is the record's key. */
std::string EncodeSubmission(const JobSpec &spec);
/** @return Bytes of a job's progress. */
std::string EncodeProgress(const StoredProgress &progress);
/**
 * Reads a submission.
 * @param id Its job.
 * @param bytes The record.
 * @return The job, or nothing when the bytes are no such record or of a later format.
 */
std::optional<JobSpec> DecodeSubmission(const JobId &id, std::string_view bytes);
/** @return Progress, or nothing when the bytes are no such record or of a later format. @param bytes The record. */
std::optional<StoredProgress> DecodeProgress(std::string_view bytes);

#endif /* JOB_CODEC_H */
