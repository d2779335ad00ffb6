/** @file job_codec.h Encodes the records that a shard keeps in the keyed log: FlatBuffers with a format number. */
#ifndef JOB_CODEC_H
#define JOB_CODEC_H

#include "job_type.h"

namespace glade::shard {
struct PolicyRecordT;
}

/** Largest number of tasks of a job over all its occurrences in a valid record; far above what callers may submit. */
inline constexpr uint64_t STORED_TASKS_MAX = 1'000'000;

/** How long the current run of a lasting task is known to have lasted; the numbers are stored. */
enum class RunAge : uint8_t {
	RA_NEW = 0,      ///< Nothing is known.
	RA_OUTLIVED = 1, ///< Its box was up long enough after the start to show that the task doesn't crash boxes.
	RA_SETTLED = 2,  ///< Also, no start order for it can still be carried out.
};

/** Stored state of a task. */
struct StoredTask {
	TaskPhase phase = TaskPhase::TP_WAITING; ///< Phase of the task.
	RunNumber run;                           ///< Newest run; also one that has ended.
	uint32_t failures = 0;                   ///< Number of failed runs.
	BoxIncarnation box;                      ///< Where it may run, while placed.
	BoxName box_name;                        ///< Name of that box; empty if it isn't recorded.
	std::string saved;                       ///< Checkpoint to resume from.
	/** The current run is to be stopped for planned maintenance. Recorded before the stop order is sent: a box lists a
	 * run at full pace until it has ended, so the next owner would otherwise count the task as working. */
	bool leaving = false;
	/** Number of boxes that have certainly crashed soon after they started the task. Recorded before its next start
	 * order is sent, so that the count survives a change of owner: see Shard::NoteCrash(). */
	uint32_t crashes = 0;
	/** Number of runs lost with a box that may have crashed, or that crashed before it had confirmed the start. */
	uint32_t crashes_possible = 0;
	/** It was stopped once so that another pool gets its box. Recorded before the stop order is sent. */
	bool gave_way = false;
	/** Recorded so that a later owner need neither hold the run nor suspect its task when its box has ended. */
	RunAge run_age = RunAge::RA_NEW;
	/** Whether it was decided if the loss of the current run counts: several owners may find it lost. */
	bool loss_counted = false;

	bool operator==(const StoredTask &) const = default;
};

/** Stored progress of a job. */
struct StoredProgress {
	JobPhase phase = JobPhase::JP_QUEUED; ///< Phase of the job.
	RouteName route;                      ///< Route of the job.
	Millis changed;                       ///< Wall time of the record.
	uint64_t revision = 0;                ///< Rises with each record of the job: the highest is the newest.
	std::vector<StoredTask> tasks;        ///< By occurrence, step, index; a record may have only some of them.
	size_t first_task = 0;                ///< Index of the first of `tasks` among all tasks of the job.
	size_t task_count = 0;                ///< Number of tasks of the job; 0 in records from before it was recorded.
	std::optional<bool> begun;            ///< Whether a box is known to have started a run; unset in older records.

	/** @return Whether a box is known to have started a run. The number of a run doesn't tell: a start that a box has
	 * refused uses one up as well. */
	[[nodiscard]] bool HasBegun() const;
	bool operator==(const StoredProgress &) const = default;
};

/** Decoded key of a caller's record in the inbox. The account is part of the key, since the log keeps only the newest
 * record of each key: two accounts may use the same id. */
struct InboxKey {
	JobId job;                    ///< Id of the job.
	AccountName account;          ///< Account of the caller; empty on a route without keys.
	bool is_cancellation = false; ///< Whether the record cancels the job rather than submits it.

	auto operator<=>(const InboxKey &) const = default;
};

/** @return Encoded key of a caller's record. @param name The decoded key. */
std::string KeyOf(const InboxKey &name);
/** @return Decoded key of a caller's record. @param key The encoded key. */
InboxKey ParseInboxKey(std::string_view key);

/** @return The policy, as it is stored in records. @param policy A route's policy. */
std::unique_ptr<glade::shard::PolicyRecordT> PolicyToWire(const VersionedPolicy &policy);
/** @return The policy. @param in The policy, as it is stored in records. */
VersionedPolicy PolicyFromWire(const glade::shard::PolicyRecordT &in);
/** @return Encoded submission, without the id of the job, which is in the record's key. */
std::string EncodeSubmission(const JobSpec &spec);
/** @return Encoded progress of a job. */
std::string EncodeProgress(const StoredProgress &progress);
/**
 * Decodes a submission.
 * @param id Id of the job.
 * @param bytes Value of the record.
 * @return The job, or nothing when the bytes are no valid submission or of a later format. A valid one has an id
 * and tasks, and its steps wait for earlier ones only.
 */
std::optional<JobSpec> DecodeSubmission(const JobId &id, std::string_view bytes);
/** @return The progress, or nothing when the bytes are no valid progress record or of a later format. @param bytes
 * Value of the record. */
std::optional<StoredProgress> DecodeProgress(std::string_view bytes);

#endif /* JOB_CODEC_H */
