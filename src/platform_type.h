/** @file platform_type.h Interfaces to the platform other than its log: list of boxes, control of boxes and jobs. */
#ifndef PLATFORM_TYPE_H
#define PLATFORM_TYPE_H

#include "planner/planner_type.h"

#include <functional>
#include <vector>

/** The platform's list of boxes. It lags behind the actual state of the boxes. */
class BoxList {
public:
	virtual ~BoxList() = default;

	/**
	 * Fetches the list.
	 * @param done Called with RC_OK and the list, or with RC_LOG_UNAVAILABLE.
	 */
	virtual void Fetch(std::function<void(ResultCode, std::vector<ListedBox>)> done) = 0;
};

/** End of an attempt at a job, as reported by its worker. */
struct JobEnd {
	JobName job;                              ///< The job.
	uint32_t attempt = 0;                     ///< Number of the attempt.
	JobOutcome outcome = JobOutcome::JO_DONE; ///< Outcome of the attempt.
};

/** Control of boxes and of the jobs on them. Orders are idempotent: each carries its permit or attempt. */
class BoxControl {
public:
	virtual ~BoxControl() = default;

	/**
	 * Orders a reboot. A second order under the same permit changes nothing.
	 * @param box The box.
	 * @param permit The permit for the reboot.
	 */
	virtual void Reboot(const BoxName &box, PermitId permit) = 0;

	/**
	 * Orders a box to run an attempt at a job. A second order of the same attempt changes nothing.
	 * @param job The job, as placed.
	 */
	virtual void StartJob(const Job &job) = 0;

	/**
	 * Requests a box to stop a job at its next checkpoint.
	 * @param job The job, as placed.
	 */
	virtual void StopJob(const Job &job) = 0;

	/**
	 * Fetches the attempts that have ended. Each is returned again until Acknowledge() is called for it.
	 * @param done Called with RC_OK and the ends, or with an error code.
	 */
	virtual void FetchJobEnds(std::function<void(ResultCode, std::vector<JobEnd>)> done) = 0;

	/**
	 * Confirms that the end of an attempt is recorded; it is not returned again.
	 * @param end End of the attempt.
	 */
	virtual void Acknowledge(const JobEnd &end) = 0;
};

#endif /* PLATFORM_TYPE_H */
