/** @file soak_lasting.cpp Checks all the while that long-running tasks run. */
#include "soak_world.h"

#include <algorithm>
#include <iostream>
#include <ranges>

namespace {

constexpr Millis CHECK_INTERVAL(50); ///< Interval of the checks.
constexpr Millis GAP_MAX(7000);      ///< Longest time without a run, from its last run and from the last fault's end.

} // namespace

void SoakLastingCheck::Start()
{
	this->Check();
	if (!this->ended) {
		this->scheduler.After(CHECK_INTERVAL, [this] { this->Start(); });
	}
}

std::vector<BoxName> SoakLastingCheck::Boxes() const
{
	std::vector<BoxName> out;
	for (const TaskId &task : this->sights | std::views::keys) {
		if (const std::optional<BoxName> box = this->site.BoxOf(task)) {
			out.push_back(*box);
		}
	}
	return out;
}

void SoakLastingCheck::Check()
{
	if (!this->nodes_up()) {
		this->NoteFault(this->scheduler.Now());
	}
	std::ranges::for_each(this->jobs, [this](const auto &it) { this->CheckJob(*it); });
}

void SoakLastingCheck::CheckJob(const SoakJob &job)
{
	const StepSpec &step = job.spec.steps.front();
	if (!step.lasting || !job.accepted_at || this->site.JobOf(job.spec.id).cancel_sent) {
		return;
	}
	for (const uint32_t index : std::views::iota(0U, step.count)) {
		TaskId task;
		task.job = job.spec.id;
		task.index = index;
		this->CheckTask(job, task);
	}
}

void SoakLastingCheck::CheckTask(const SoakJob &job, const TaskId &task)
{
	const Millis now = this->scheduler.Now();
	Sight &sight = this->sights.try_emplace(task, Sight{*job.accepted_at}).first->second;
	const Millis gap = now - std::max(sight.last_run, this->faults_end_at);
	if (this->site.BoxOf(task)) {
		sight = Sight{now};
		return;
	}
	this->longest_gap = std::max(this->longest_gap, gap);
	if (gap <= GAP_MAX || sight.reported || !this->HasRoom(job, task)) {
		return;
	}
	sight.reported = true;
	this->violations.push_back("a long-running task is without a run too long: " + task.job.Value() + "." +
							   std::to_string(task.index) + " at " + std::to_string(now.Value()) + ", last run at " +
							   std::to_string(sight.last_run.Value()) + ", last fault until " +
							   std::to_string(this->faults_end_at.Value()));
}

bool SoakLastingCheck::HasRoom(const SoakJob &job, const TaskId &task) const
{
	const SiteJob &known = this->site.JobOf(job.spec.id);
	std::set<ServiceName> services = known.later_services;
	services.insert(known.service);
	return std::ranges::all_of(services, [this, &task](const ServiceName &it) { return this->site.HasRoom(it, task); });
}
