/** @file job_plan.cpp Places jobs on boxes: urgent jobs first, fair shares of teams, preemption of batch jobs. */
#include "planner_func.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <tuple>

namespace {

constexpr uint64_t SHARE_SCALE = 1000000; ///< Millionths in a whole: unit of TeamQueue::Share().

/** Room for jobs on a box. */
struct BoxRoom {
	const Box *box = nullptr; ///< The box.
	uint32_t free = 0;        ///< Job units free; a box has one per slot.
};

/** Room on the boxes that take work. The most recently maintained come first, so that boxes due for maintenance soon
 * become empty without a drain. */
class RoomList {
public:
	RoomList(const FleetState &fleet, const PlannerPolicy &policy)
	{
		uint32_t all = 0;
		for (const auto &[name, box] : fleet.boxes) {
			if (!TakesWork(box)) {
				continue;
			}
			const auto used = fleet.box_used.find(name);
			const uint32_t taken = used == fleet.box_used.end() ? 0 : used->second;
			all += box.slots.Value();
			if (taken < box.slots.Value()) {
				this->free += box.slots.Value() - taken;
				this->rooms.push_back(BoxRoom{&box, box.slots.Value() - taken});
			}
		}
		this->reserve = (all * policy.urgent_reserve_percent + 99) / 100;
		std::ranges::sort(this->rooms, [](const BoxRoom &a, const BoxRoom &b) {
			return std::make_tuple(-a.box->last_maintained.Value(), a.free, a.box->name) <
				   std::make_tuple(-b.box->last_maintained.Value(), b.free, b.box->name);
		});
	}

	/**
	 * Allocates room for a job, on a box where it hasn't failed. Leaves the reserve free unless the job is urgent.
	 * @param job The job.
	 * @return The box, or null when there is no room.
	 */
	const Box *Allocate(const Job &job)
	{
		if (job.work_class != WorkClass::WC_URGENT && this->free < job.units + this->reserve) {
			return nullptr;
		}
		const auto fits = [&](const BoxRoom &it) {
			return it.free >= job.units && !job.failed_on.contains(it.box->name.Value());
		};
		const auto it = std::ranges::find_if(this->rooms, fits);
		if (it == this->rooms.end()) {
			return nullptr;
		}
		it->free -= job.units;
		this->free -= job.units;
		const Box *box = it->box;
		if (it->free == 0) {
			this->rooms.erase(it);
		}
		return box;
	}

private:
	std::vector<BoxRoom> rooms; ///< Boxes with room, best first.
	uint32_t free = 0;          ///< Job units free on all of them.
	uint32_t reserve = 0;       ///< Job units that only urgent jobs may take.
};

/** Waiting jobs of a team in one class, and the team's use of its quota. */
struct TeamQueue {
	TeamName team;                 ///< The team.
	uint32_t quota = 0;            ///< Its quota in units; 0 if it has none.
	uint32_t used = 0;             ///< Units in use, including jobs placed in this round.
	std::vector<const Job *> jobs; ///< Waiting jobs, oldest first.
	size_t next = 0;               ///< Index of the next job to place.

	/** @return Share of the quota in use, in millionths; the smallest is served first. */
	[[nodiscard]] uint64_t Share() const { return uint64_t{this->used} * SHARE_SCALE / std::max(this->quota, 1U); }
};

/**
 * Sorts waiting jobs into queues by class and team.
 * @param fleet The fleet's state.
 * @return Queues by class, most urgent first.
 */
std::map<WorkClass, std::map<TeamName, TeamQueue>> QueuesOf(const FleetState &fleet)
{
	std::map<WorkClass, std::map<TeamName, TeamQueue>> queues;
	for (const auto &[name, job] : fleet.jobs) {
		if (job.state == JobState::JS_WAITING) {
			queues[job.work_class][job.team].jobs.push_back(&job);
		}
	}
	for (auto &[work_class, teams] : queues) {
		for (auto &[team, queue] : teams) {
			queue.team = team;
			const auto quota = fleet.teams.find(team);
			queue.quota = quota == fleet.teams.end() ? 0 : quota->second;
			std::ranges::sort(queue.jobs, [](const Job *a, const Job *b) {
				return std::tie(a->accepted, a->name) < std::tie(b->accepted, b->name);
			});
		}
	}
	return queues;
}

/**
 * Proposes the placement of a job on a box.
 * @param job The job.
 * @param box The box.
 * @return The proposal.
 */
Proposal MakePlacement(const Job &job, const Box &box)
{
	glade::wire::JobPlaceT record;
	record.job = job.name.Value();
	record.box = box.name.Value();
	record.box_epoch = box.epoch.Value();
	record.attempt = job.attempt + 1;
	return MakeProposal(std::move(record));
}

/** Places the jobs of one class, always the next job of the team with the smallest Share(). */
class ClassPlacer {
public:
	ClassPlacer(RoomList &rooms, std::map<TeamName, uint32_t> &used, JobPlan &plan, size_t limit)
			: rooms(rooms), used(used), plan(plan), limit(limit)
	{
	}

	/**
	 * Places the jobs that fit, until the limit is reached.
	 * @param teams Queues of the class.
	 * @return Units of the jobs within their teams' quotas that found no room.
	 */
	uint32_t Run(std::map<TeamName, TeamQueue> &teams)
	{
		const auto later = [](const TeamQueue *a, const TeamQueue *b) {
			return std::make_tuple(a->Share(), a->team) > std::make_tuple(b->Share(), b->team);
		};
		std::priority_queue<TeamQueue *, std::vector<TeamQueue *>, decltype(later)> order(later);
		for (auto &[team, queue] : teams) {
			queue.used = this->used[team];
			order.push(&queue);
		}
		uint32_t unplaced_units = 0;
		while (!order.empty() && this->plan.placements.size() < this->limit) {
			TeamQueue *queue = order.top();
			order.pop();
			unplaced_units += this->PlaceNext(*queue);
			if (queue->next < queue->jobs.size()) {
				order.push(queue);
			}
		}
		return unplaced_units;
	}

private:
	RoomList &rooms;                    ///< Room on the boxes.
	std::map<TeamName, uint32_t> &used; ///< Units in use by team.
	JobPlan &plan;                      ///< Gets the placements.
	size_t limit;                       ///< Maximum number of placements.

	/**
	 * Places the next job of a team.
	 * @param queue The team's queue.
	 * @return Units of the job when it is within the quota but found no room, else 0.
	 */
	uint32_t PlaceNext(TeamQueue &queue)
	{
		const Job &job = *queue.jobs[queue.next++];
		if (queue.used + job.units > queue.quota) {
			return 0;
		}
		const Box *box = this->rooms.Allocate(job);
		if (box == nullptr) {
			return job.units;
		}
		queue.used += job.units;
		this->used[queue.team] = queue.used;
		this->plan.placements.push_back(MakePlacement(job, *box));
		return 0;
	}
};

/**
 * Chooses batch jobs to stop at a checkpoint so that urgent jobs find room: youngest first, since they lose least.
 * @param fleet The fleet's state.
 * @param units Units that urgent jobs lack.
 * @return Jobs to stop.
 */
std::vector<JobName> ChooseVictims(const FleetState &fleet, uint32_t units)
{
	std::vector<const Job *> running;
	for (const auto &[name, job] : fleet.jobs) {
		if (job.state == JobState::JS_PLACED && job.work_class == WorkClass::WC_BATCH && job.repeatable) {
			running.push_back(&job);
		}
	}
	std::ranges::sort(running, [](const Job *a, const Job *b) {
		return std::make_tuple(-a->since.Value(), a->name) < std::make_tuple(-b->since.Value(), b->name);
	});
	std::vector<JobName> victims;
	uint32_t freed = 0;
	for (const Job *job : running) {
		if (freed >= units) {
			break;
		}
		freed += job->units;
		victims.push_back(job->name);
	}
	return victims;
}

/**
 * Finds jobs to stop on boxes that have been draining for the grace period. Jobs that may not be repeated run to their
 * end.
 * @param fleet The fleet's state.
 * @param policy Policy, for how long jobs of a draining box may run.
 * @return Jobs to stop.
 */
std::vector<JobName> ExpiredDrainJobs(const FleetState &fleet, const PlannerPolicy &policy)
{
	std::vector<JobName> stop;
	for (const auto &[name, job] : fleet.jobs) {
		if (job.state != JobState::JS_PLACED || !job.repeatable) {
			continue;
		}
		const auto it = fleet.boxes.find(job.box);
		const bool draining = it != fleet.boxes.end() && it->second.state == BoxState::BS_DRAINING;
		if (draining && it->second.since + policy.drain_grace <= fleet.time) {
			stop.push_back(name);
		}
	}
	return stop;
}

} // namespace

JobPlan PlanJobs(const FleetState &fleet, const PlannerPolicy &policy, size_t limit)
{
	JobPlan plan;
	RoomList rooms(fleet, policy);
	std::map<TeamName, uint32_t> used = fleet.team_used;
	for (auto &[work_class, teams] : QueuesOf(fleet)) {
		const uint32_t unplaced_units = ClassPlacer(rooms, used, plan, limit).Run(teams);
		if (work_class == WorkClass::WC_URGENT && unplaced_units > 0) {
			plan.stop = ChooseVictims(fleet, unplaced_units);
		}
	}
	std::ranges::move(ExpiredDrainJobs(fleet, policy), std::back_inserter(plan.stop));
	return plan;
}
