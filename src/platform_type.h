/** @file platform_type.h The platform besides its log, behind narrow interfaces: list of boxes, control of boxes and
 * jobs. */
#ifndef PLATFORM_TYPE_H
#define PLATFORM_TYPE_H

#include "planner/planner_type.h"

#include <functional>
#include <vector>

/** The platform's list of boxes; it lags. */
class BoxList {
public:
	virtual ~BoxList() = default;

	/**
	 * Asks for the list.
	 * @param done Gets RC_OK and the list, or RC_LOG_UNAVAILABLE.
	 */
	virtual void Fetch(std::function<void(ResultCode, std::vector<ListedBox>)> done) = 0;
};

/** How an attempt at a job ended, as a worker reports it. */
struct JobEnd {
	JobName job;                              ///< The job.
	uint32_t attempt = 0;                     ///< Its attempt.
	JobOutcome outcome = JobOutcome::JO_DONE; ///< How it ended.
};

/** Control of boxes and of the jobs on them. Every order is idempotent: it names its permit or attempt. */
class BoxControl {
public:
	virtual ~BoxControl() = default;

	/**
	 * Orders a reboot. A second order under the same permit changes nothing.
	 * @param box The box.
	 * @param permit Permit under which it reboots.
	 */
	virtual void Reboot(const BoxName &box, PermitId permit) = 0;

	/**
	 * Orders a box to run an attempt at a job. A second order of the same attempt changes nothing.
	 * @param job The job, as placed.
	 */
	virtual void StartJob(const Job &job) = 0;

	/**
	 * Asks a box to stop a job at its next checkpoint.
	 * @param job The job, as placed.
	 */
	virtual void StopJob(const Job &job) = 0;

	/**
	 * Asks for attempts that have ended. Each is told until Acknowledge().
	 * @param done Gets them.
	 */
	virtual void FetchJobEnds(std::function<void(ResultCode, std::vector<JobEnd>)> done) = 0;

	/**
	 * The end of an attempt is recorded: it need not be told again.
	 * @param end The end.
	 */
	virtual void Acknowledge(const JobEnd &end) = 0;
};

#endif /* PLATFORM_TYPE_H */
