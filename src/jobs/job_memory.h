/** @file job_memory.h Decides whether this process has memory for another job. */
#ifndef JOB_MEMORY_H
#define JOB_MEMORY_H

#include "../event_log.h"
#include "../scheduler_type.h"
#include "job_type.h"

#include <deque>
#include <optional>

/** Memory of this process. */
class MemorySource {
public:
	virtual ~MemorySource() = default;
	/** @return Bytes in use; nothing if they can't be measured. */
	[[nodiscard]] virtual std::optional<uint64_t> UsedBytes() const = 0;
	/** Returns free blocks to the system, so that they don't count as used. */
	virtual void ReturnFree() = 0;
};

/** @return Bytes that an owner needs for a job, estimated. @param spec The job. */
uint64_t EstimateBytes(const JobSpec &spec);

/**
 * Admits jobs while there is memory for them. What a job costs is known only roughly before it has run for a while, so
 * the estimates of the latest ones are added to the memory measured.
 */
class JobMemory {
public:
	/**
	 * @param scheduler Clock; outlives this object.
	 * @param source Memory of this process; outlives this object.
	 * @param events Event log; outlives this object.
	 * @param bytes_max Bytes above which no job is admitted.
	 */
	JobMemory(const Scheduler &scheduler, MemorySource &source, EventLog &events, uint64_t bytes_max)
			: scheduler(scheduler), source(source), events(events), bytes_max(bytes_max)
	{
	}

	/** Decides on a job. @param spec The job. @return Whether there is memory for it. */
	bool Admit(const JobSpec &spec);
	/** @return Number of jobs that were not admitted. */
	[[nodiscard]] uint64_t Refused() const { return this->refused; }

private:
	/** A job that was admitted lately. */
	struct Admitted {
		Millis at;          ///< When it was.
		uint64_t bytes = 0; ///< Its estimate.
	};

	const Scheduler &scheduler;   ///< Clock.
	MemorySource &source;         ///< Memory of this process.
	EventLog &events;             ///< Event log.
	uint64_t bytes_max;           ///< Bytes above which no job is admitted.
	std::deque<Admitted> recent;  ///< Jobs whose memory may not be in use yet, oldest first.
	uint64_t recent_bytes = 0;    ///< Sum of their estimates.
	uint64_t measured_bytes = 0;  ///< Bytes in use at `measured_at`.
	Millis measured_at{-1000000}; ///< Time of the last measurement; initially long ago.
	Millis returned_at{-1000000}; ///< When free blocks were last returned; initially long ago.
	uint64_t refused = 0;         ///< Number of jobs that were not admitted.

	void Measure();
	[[nodiscard]] bool Fits(uint64_t bytes) const
	{
		return this->measured_bytes + this->recent_bytes + bytes <= this->bytes_max;
	}
};

#endif /* JOB_MEMORY_H */
