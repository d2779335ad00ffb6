/** @file job_plan.cpp Which box runs which job: fair shares of teams, urgent work first, room made by checkpoints. */
#include "planner_func.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <tuple>

namespace {

constexpr uint64_t SHARE_SCALE = 1000000; ///< A team's use of its quota is kept in millionths.

/** Room for jobs on a box. */
struct Room {
	const Box *box = nullptr; ///< The box.
	uint32_t free = 0;        ///< Units free.
};

/** What is free on the boxes: those maintained last first, so that boxes due soon run empty by themselves. */
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
				this->rooms.push_back(Room{&box, box.slots.Value() - taken});
			}
		}
		this->reserve = (all * policy.urgent_reserve_percent + 99) / 100;
		std::ranges::sort(this->rooms, [](const Room &a, const Room &b) {
			return std::make_tuple(-a.box->last_maintained.Value(), a.free, a.box->name) <
				   std::make_tuple(-b.box->last_maintained.Value(), b.free, b.box->name);
		});
	}

	/**
	 * Takes room for a job, not on a box where it has failed.
	 * @param job The job.
	 * @return The box, null when there is no room.
	 */
	const Box *Take(const Job &job)
	{
		if (job.work_class != WorkClass::WC_URGENT && this->free < job.units + this->reserve) {
			return nullptr;
		}
		const auto fits = [&](const Room &it) {
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
	std::vector<Room> rooms; ///< Boxes with room, best first.
	uint32_t free = 0;       ///< Units free on all of them.
	uint32_t reserve = 0;    ///< Units that only urgent jobs may take.
};

/** Waiting jobs of a team in one class, oldest first, and how much of its quota the team uses. */
struct TeamQueue {
	TeamName team;                 ///< The team.
	uint32_t quota = 0;            ///< Its quota.
	uint32_t used = 0;             ///< Units in use, with those placed in this step.
	std::vector<const Job *> jobs; ///< Waiting, oldest first.
	size_t next = 0;               ///< Next to place.

	/** @return Share of the quota in use; the smallest is served first. */
	[[nodiscard]] uint64_t Share() const { return uint64_t{this->used} * SHARE_SCALE / std::max(this->quota, 1U); }
};

/**
 * Sorts waiting jobs by class and team.
 * @param fleet The state.
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
 * Proposes a placement.
 * @param job The job.
 * @param box The box.
 * @return The proposal.
 */
Proposal Place(const Job &job, const Box &box)
{
	glade::wire::JobPlaceT record;
	record.job = job.name.Value();
	record.box = box.name.Value();
	record.box_epoch = box.epoch.Value();
	record.attempt = job.attempt + 1;
	return MakeProposal(std::move(record));
}

/** Places the jobs of one class, the team with the smallest share first. */
class ClassPlacer {
public:
	ClassPlacer(RoomList &rooms, std::map<TeamName, uint32_t> &used, JobPlan &plan, size_t limit)
			: rooms(rooms), used(used), plan(plan), limit(limit)
	{
	}

	/**
	 * Places what fits.
	 * @param teams Queues of the class.
	 * @return Units of the class that found no room, of teams within their quota.
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
		uint32_t missing = 0;
		while (!order.empty() && this->plan.placements.size() < this->limit) {
			TeamQueue *queue = order.top();
			order.pop();
			missing += this->PlaceNext(*queue);
			if (queue->next < queue->jobs.size()) {
				order.push(queue);
			}
		}
		return missing;
	}

private:
	RoomList &rooms;                    ///< What is free.
	std::map<TeamName, uint32_t> &used; ///< Units in use per team.
	JobPlan &plan;                      ///< Gets the placements.
	size_t limit;                       ///< Most placements.

	/**
	 * Places the next job of a team.
	 * @param queue The team.
	 * @return Its units when it found no room, else 0.
	 */
	uint32_t PlaceNext(TeamQueue &queue)
	{
		const Job &job = *queue.jobs[queue.next++];
		if (queue.used + job.units > queue.quota) {
			return 0;
		}
		const Box *box = this->rooms.Take(job);
		if (box == nullptr) {
			return job.units;
		}
		queue.used += job.units;
		this->used[queue.team] = queue.used;
		this->plan.placements.push_back(Place(job, *box));
		return 0;
	}
};

/**
 * Chooses batch jobs to stop at a checkpoint so that urgent work finds room: youngest first, they lose least.
 * @param fleet The state.
 * @param units Units that urgent work misses.
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
 * Jobs on draining boxes whose patience is over. Work that may not be repeated is waited for.
 * @param fleet The state.
 * @param policy How long jobs may go on.
 * @return Jobs to stop.
 */
std::vector<JobName> JobsOnDraining(const FleetState &fleet, const PlannerPolicy &policy)
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
		const uint32_t missing = ClassPlacer(rooms, used, plan, limit).Run(teams);
		if (work_class == WorkClass::WC_URGENT && missing > 0) {
			plan.stop = ChooseVictims(fleet, missing);
		}
	}
	std::ranges::move(JobsOnDraining(fleet, policy), std::back_inserter(plan.stop));
	return plan;
}
