/** @file job_config.cpp Lookups in the configuration and in boxes' reports, and names shown in logs. */
#include "job_type.h"

#include <algorithm>
#include <array>

const JobRoute *JobConfig::FindRoute(const RouteName &name) const
{
	const auto it = std::ranges::find(this->routes, name, &JobRoute::name);
	return it == this->routes.end() ? nullptr : &*it;
}

const JobRoute *JobConfig::Match(std::string_view host, std::string_view path) const
{
	const JobRoute *best = nullptr;
	for (const JobRoute &route : this->routes) {
		const bool fits = route.host == host && path.starts_with(route.path_prefix);
		if (fits && (best == nullptr || route.path_prefix.size() > best->path_prefix.size())) {
			best = &route;
		}
	}
	return best;
}

const JobService *JobConfig::FindService(const ServiceName &name) const
{
	const auto it = std::ranges::find(this->services, name, &JobService::name);
	return it == this->services.end() ? nullptr : &*it;
}

bool FitsMaximum(const JobSpec &spec, const Resources &maximum)
{
	return std::ranges::all_of(spec.steps, [&maximum](const StepSpec &it) {
		const Resources least = it.gang ? it.demand.Times(it.count) : it.demand;
		return (maximum.cpu == 0 || least.cpu <= maximum.cpu) &&
			   (maximum.memory == 0 || least.memory <= maximum.memory) &&
			   (maximum.accelerators == 0 || least.accelerators <= maximum.accelerators);
	});
}

bool BoxReport::HasLabel(const std::string &label) const
{
	return std::ranges::find(this->labels, label) != this->labels.end();
}

std::string IncarnationText(const BoxIncarnation &incarnation)
{
	return incarnation.started == Millis(0)
				   ? incarnation.id.Value()
				   : incarnation.id.Value() + "@" + std::to_string(incarnation.started.Value());
}

const char *NameOf(JobPhase phase)
{
	constexpr std::array NAMES = {"queued", "running", "completed", "failed", "cancelled"};
	return NAMES.at(static_cast<size_t>(phase));
}

const char *NameOf(OrderOutcome outcome)
{
	constexpr std::array NAMES = {"done",       "fenced", "run_too_old", "lease_past", "no_room", "no_ticket",
								  "other_life", "busy",   "rejected",    "not_sent",   "unknown"};
	return NAMES.at(static_cast<size_t>(outcome));
}

const char *NameOf(RunEnding ending)
{
	constexpr std::array NAMES = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
	return NAMES.at(static_cast<size_t>(ending));
}
