/** @file job_config.cpp Look-ups in the configuration and in boxes' reports. */
#include "job_type.h"

#include <algorithm>

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

bool BoxReport::HasLabel(const std::string &label) const
{
	return std::ranges::find(this->labels, label) != this->labels.end();
}
