/** @file job_cmd.cpp Commands on jobs: quotas, acceptance, placement, reports, cancellation. */
#include "budget_func.h"
#include "fleet_func.h"
#include "fleet_hash.h"

namespace {

/** @return Job units of a key in a map, 0 when the map doesn't have it. @param map Job units by key. @param key The
 * key. */
template <class Key>
uint32_t UnitsOf(const std::map<Key, uint32_t> &map, const Key &key)
{
	const auto it = map.find(key);
	return it == map.end() ? 0 : it->second;
}

/**
 * Records a failed job on the box that ran it, and sets the box aside when too many jobs have failed there.
 * @param fleet The state.
 * @param job The job.
 */
void RecordStrike(FleetState &fleet, const Job &job)
{
	const auto old = fleet.boxes.find(job.box);
	/* The failure that parks a job doesn't count: a job that fails on several boxes says nothing about this one. The
	 * failure of a job that isn't repeatable parks it and so doesn't count either. */
	if (old == fleet.boxes.end() || old->second.epoch != job.box_epoch || job.state == JobState::JS_PARKED) {
		return;
	}
	Box box = old->second;
	box.strike_jobs.insert(job.name.Value());
	box.strikes = static_cast<uint32_t>(box.strike_jobs.size());
	if (box.strikes >= STRIKES_TO_SET_ASIDE && box.state == BoxState::BS_SERVING) {
		box.state = BoxState::BS_SET_ASIDE;
		box.since = fleet.time;
	}
	fleet.Put(fleet.boxes, box.name, box);
}

/**
 * Clears the strikes of a box on which a job succeeded.
 * @param fleet The state.
 * @param name The box.
 */
void ClearStrikes(FleetState &fleet, const BoxName &name)
{
	const auto old = fleet.boxes.find(name);
	if (old == fleet.boxes.end() || old->second.strikes == 0) {
		return;
	}
	Box box = old->second;
	box.strikes = 0;
	box.strike_jobs.clear();
	fleet.Put(fleet.boxes, name, box);
}

/**
 * Determines the state of a job after a report.
 * @param job The job, with a failure already added to `failed_on`.
 * @param outcome How the attempt ended.
 * @return The next state.
 */
JobState NextState(const Job &job, JobOutcome outcome)
{
	switch (outcome) {
	case JobOutcome::JO_DONE:
		return JobState::JS_DONE;
	case JobOutcome::JO_FAILED:
		return !job.repeatable || job.failed_on.size() >= FAILURES_TO_PARK ? JobState::JS_PARKED : JobState::JS_WAITING;
	case JobOutcome::JO_LEASE_EXPIRED:
		return job.repeatable ? JobState::JS_WAITING : JobState::JS_UNKNOWN;
	case JobOutcome::JO_STOPPED:
		return job.repeatable ? JobState::JS_WAITING : JobState::JS_PARKED;
	case JobOutcome::JO_NOT_RUN:
	case JobOutcome::JO_CHECKPOINT:
		break;
	}
	return JobState::JS_WAITING;
}

} // namespace

Result CmdTeamQuota(const CommandContext &context, FleetState &fleet, const glade::wire::TeamQuotaT &command)
{
	if (command.team.empty()) {
		return {ResultCode::RC_MALFORMED, "team is needed"};
	}
	if (context.mode == CommandMode::CM_EXECUTE) {
		fleet.Put(fleet.teams, TeamName(command.team), command.units);
	}
	return {};
}

Result CmdJobAccept(const CommandContext &context, FleetState &fleet, const glade::wire::JobAcceptT &command)
{
	if (command.job.empty() || command.units == 0 || command.work_class > static_cast<uint8_t>(WorkClass::WC_BATCH)) {
		return {ResultCode::RC_MALFORMED, "job name, class and at least one unit are needed"};
	}
	if (fleet.jobs.contains(JobName(command.job))) {
		return {ResultCode::RC_JOB_EXISTS, command.job};
	}
	const auto quota = fleet.teams.find(TeamName(command.team));
	if (quota == fleet.teams.end() || quota->second < command.units) {
		return {ResultCode::RC_QUOTA, "team " + command.team + " could never run it"};
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	Job job;
	job.name = JobName(command.job);
	job.team = TeamName(command.team);
	job.work_class = static_cast<WorkClass>(command.work_class);
	job.units = command.units;
	job.repeatable = command.repeatable;
	job.accepted = fleet.time;
	job.since = fleet.time;
	fleet.Put(fleet.jobs, job.name, job);
	return {};
}

Result CmdJobPlace(const CommandContext &context, FleetState &fleet, const glade::wire::JobPlaceT &command)
{
	if (Result term = CheckTerm(context, fleet); !term.Ok()) {
		return term;
	}
	const auto old = fleet.jobs.find(JobName(command.job));
	if (old == fleet.jobs.end()) {
		return {ResultCode::RC_UNKNOWN_JOB, command.job};
	}
	Job job = old->second;
	if (job.state != JobState::JS_WAITING || job.attempt + 1 != command.attempt) {
		return {ResultCode::RC_JOB_STATE, command.job};
	}
	const auto box = fleet.boxes.find(BoxName(command.box));
	if (box == fleet.boxes.end()) {
		return {ResultCode::RC_UNKNOWN_BOX, command.box};
	}
	if (box->second.epoch.Value() != command.box_epoch) {
		return {ResultCode::RC_STALE_EPOCH, command.box};
	}
	if (!TakesWork(box->second)) {
		return {ResultCode::RC_WRONG_STATE, command.box};
	}
	if (UnitsOf(fleet.box_used, box->first) + job.units > box->second.slots.Value()) {
		return {ResultCode::RC_NO_ROOM, command.box};
	}
	if (UnitsOf(fleet.team_used, job.team) + job.units > UnitsOf(fleet.teams, job.team)) {
		return {ResultCode::RC_QUOTA, "team " + job.team.Value()};
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	job.state = JobState::JS_PLACED;
	job.box = box->first;
	job.box_epoch = box->second.epoch;
	job.attempt = command.attempt;
	job.since = fleet.time;
	fleet.Put(fleet.jobs, job.name, job);
	return {};
}

Result CmdJobReport(const CommandContext &context, FleetState &fleet, const glade::wire::JobReportT &command)
{
	const auto old = fleet.jobs.find(JobName(command.job));
	if (old == fleet.jobs.end()) {
		return {ResultCode::RC_UNKNOWN_JOB, command.job};
	}
	Job job = old->second;
	if (command.outcome > static_cast<uint8_t>(JobOutcome::JO_STOPPED)) {
		return {ResultCode::RC_MALFORMED, "outcome " + std::to_string(command.outcome)};
	}
	const auto outcome = static_cast<JobOutcome>(command.outcome);
	const bool after_expiry = job.state == JobState::JS_UNKNOWN && outcome != JobOutcome::JO_LEASE_EXPIRED;
	if ((job.state != JobState::JS_PLACED && !after_expiry) || job.attempt != command.attempt) {
		return {ResultCode::RC_JOB_STATE, command.job};
	}
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	if (outcome == JobOutcome::JO_FAILED) {
		job.failed_on.insert(job.box.Value());
	}
	job.state = NextState(job, outcome);
	job.since = fleet.time;
	fleet.Put(fleet.jobs, job.name, job);
	if (outcome == JobOutcome::JO_FAILED) {
		RecordStrike(fleet, job);
	} else if (outcome == JobOutcome::JO_DONE) {
		ClearStrikes(fleet, job.box);
	}
	return {};
}

Result CmdJobCancel(const CommandContext &context, FleetState &fleet, const glade::wire::JobCancelT &command)
{
	if (context.mode == CommandMode::CM_TEST) {
		return {};
	}
	/* One record cancels many jobs. Jobs that are neither waiting nor placed are skipped, so the command is
	 * idempotent. */
	for (const std::string &name : command.jobs) {
		const auto old = fleet.jobs.find(JobName(name));
		if (old == fleet.jobs.end()) {
			continue;
		}
		Job job = old->second;
		if (job.state == JobState::JS_WAITING || job.state == JobState::JS_PLACED) {
			job.state = JobState::JS_CANCELLED;
			job.since = fleet.time;
			fleet.Put(fleet.jobs, job.name, job);
		}
	}
	return {};
}
