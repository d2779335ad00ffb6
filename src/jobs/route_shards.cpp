/** @file route_shards.cpp Keeps each job in one shard while the configuration sends its route to changing services. */
#include "route_shards.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr Millis ASK_TIMEOUT(1000); ///< Time after which a question counts as unanswered.
/** Delay before another shard is told again that a route is served here. Nothing waits for it: the shard is also asked
 * before a job is taken. */
constexpr Millis ANNOUNCE_INTERVAL(1000);

} // namespace

RouteShards::RouteShards(const RouteShardsContext &context, ServiceName service, Shard &shard)
		: context(context), service(std::move(service)), shard(shard),
		  route_register(context.scheduler, context.log, this->service)
{
}

void RouteShards::After(Millis delay, Done function)
{
	this->context.scheduler.After(delay, [function = std::move(function), still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			function();
		}
	});
}

void RouteShards::Restore(const RouteName &route, const RouteState &state)
{
	RouteEntry &entry = this->routes[route];
	if (entry.state.revision <= state.revision) {
		entry.state = state;
		entry.durable_revision = state.revision;
		if (state.policy) {
			this->shard.SetLastPolicy(route, *state.policy);
		}
	}
}

void RouteShards::RestoreRedirect(const std::string &key, uint64_t config)
{
	uint64_t &known = this->redirects[key];
	known = std::max(known, config);
}

void RouteShards::Begin()
{
	this->begun = true;
	this->ApplyConfig();
	/* Jobs that were recorded before routes were: their shard has to be registered, too. */
	for (const RouteName &route : this->shard.RoutesOfJobs()) {
		if (!this->routes.contains(route) && !this->to_register.contains(route)) {
			this->Want(route, 1);
		}
	}
	std::vector<RouteName> names;
	std::ranges::copy(this->routes | std::views::keys, std::back_inserter(names));
	std::ranges::for_each(names, [this](const RouteName &it) { this->Announce(it); });
	std::ranges::for_each(names, [this](const RouteName &it) { this->Reconsider(it); });
	std::vector<std::string> keys;
	std::ranges::copy(this->held | std::views::keys, std::back_inserter(keys));
	std::ranges::for_each(keys, [this](const std::string &it) { this->Decide(it); });
	std::vector<std::string> cancel_keys;
	std::ranges::copy(this->cancels | std::views::keys, std::back_inserter(cancel_keys));
	std::ranges::for_each(cancel_keys, [this](const std::string &it) { this->Relay(it); });
}

void RouteShards::Configure(const JobConfig &config)
{
	this->config = config;
	if (this->begun) {
		this->ApplyConfig();
	}
}

void RouteShards::ApplyConfig()
{
	this->WantConfigured();
	for (auto &[route, entry] : this->routes) {
		const bool new_policy = this->UpdatePolicy(route, entry.state);
		if (this->NoteConfiguredShard(route, entry.state) || new_policy) {
			this->Record(route, entry);
		}
	}
}

bool RouteShards::UpdatePolicy(const RouteName &route, RouteState &state)
{
	const JobRoute *configured = this->config.FindRoute(route);
	if (configured == nullptr || (state.policy && state.policy->policy == configured->policy)) {
		return false;
	}
	state.policy = VersionedPolicy{this->config.version, configured->policy};
	this->shard.SetLastPolicy(route, *state.policy);
	return true;
}

bool RouteShards::NoteConfiguredShard(const RouteName &route, RouteState &state)
{
	const JobRoute *configured = this->config.FindRoute(route);
	return configured != nullptr && configured->service != this->service &&
		   state.other_shards.insert(configured->service).second;
}

uint64_t RouteShards::ServedVersion(const RouteName &route, const RouteState &state) const
{
	if (state.registered <= state.redirected) {
		return 0;
	}
	const JobRoute *configured = this->config.FindRoute(route);
	const bool sent_here = configured != nullptr && configured->service == this->service;
	return sent_here ? std::max(state.registered, this->config.version) : state.registered;
}

bool RouteShards::Precedes(uint64_t served, uint64_t version, const ServiceName &other) const
{
	return served < version || (served == version && version > 0 && this->service < other);
}

bool RouteShards::ServesAlone(const RouteName &route) const
{
	const auto it = this->routes.find(route);
	return it != this->routes.end() && it->second.state.registered > it->second.state.redirected &&
		   std::ranges::includes(it->second.empty_shards, it->second.state.other_shards);
}

bool RouteShards::Knows(const RouteName &route) const
{
	const auto it = this->routes.find(route);
	return it != this->routes.end() && std::max(it->second.state.registered, it->second.state.redirected) > 0;
}

std::vector<ServiceName> RouteShards::OthersWithJobs(const RouteName &route) const
{
	std::vector<ServiceName> out;
	if (const auto it = this->routes.find(route); it != this->routes.end()) {
		std::ranges::set_difference(it->second.state.other_shards, it->second.empty_shards, std::back_inserter(out));
	}
	return out;
}

void RouteShards::WantConfigured()
{
	for (const JobRoute &it : this->config.routes) {
		if (it.service != this->service) {
			continue;
		}
		const auto known = this->routes.find(it.name);
		const RouteState state = known == this->routes.end() ? RouteState{} : known->second.state;
		if (this->ServedVersion(it.name, state) == 0 && this->config.version > state.redirected) {
			this->Want(it.name, this->config.version);
		}
	}
}

void RouteShards::Want(const RouteName &route, uint64_t version)
{
	uint64_t &wanted = this->to_register[route];
	wanted = std::max(wanted, version);
	this->Register();
}

void RouteShards::Register()
{
	if (this->registering || !this->begun) {
		return;
	}
	/* Jobs may have asked for it again while it was under way. */
	std::erase_if(this->to_register, [this](const auto &it) {
		const auto known = this->routes.find(it.first);
		return known != this->routes.end() && known->second.state.registered >= it.second;
	});
	if (this->to_register.empty()) {
		return;
	}
	this->registering = true;
	/* Deferred, so that all routes of a configuration are registered by one call. */
	this->After(Millis(0), [this] {
		const std::map<RouteName, uint64_t> wanted = std::exchange(this->to_register, {});
		this->route_register.Register(wanted,
									  [this, wanted](ResultCode code, const std::vector<RouteRegistration> &found) {
										  this->OnRegisterAnswer(wanted, code, found);
									  });
	});
}

void RouteShards::OnRegisterAnswer(const std::map<RouteName, uint64_t> &wanted, ResultCode code,
								   const std::vector<RouteRegistration> &found)
{
	if (code == ResultCode::RC_OK) {
		this->registering = false;
		this->OnRegistered(wanted, found);
		this->Register();
		return;
	}
	this->context.events.Write(
			"route_register_failed",
			{{"service", this->service.Value()}, {"routes", std::to_string(wanted.size())}, {"code", SymbolOf(code)}});
	for (const auto &[route, version] : wanted) {
		uint64_t &again = this->to_register[route];
		again = std::max(again, version);
	}
	this->After(RETRY_DELAY, [this] {
		this->registering = false;
		this->Register();
	});
}

void RouteShards::OnRegistered(const std::map<RouteName, uint64_t> &wanted, const std::vector<RouteRegistration> &found)
{
	for (const auto &[route, version] : wanted) {
		RouteEntry &entry = this->routes[route];
		entry.state.registered = std::max(entry.state.registered, version);
		entry.empty_shards.clear();
		const uint64_t served = this->ServedVersion(route, entry.state);
		for (const RouteRegistration &it : found) {
			if (it.route != route || it.service == this->service) {
				continue;
			}
			entry.state.other_shards.insert(it.service);
			if (this->Precedes(served, it.config, it.service) && it.config > entry.state.redirected) {
				entry.state.redirected = it.config;
				entry.state.redirect_to = it.service;
				this->shard.RecordProgressOf(route);
			}
		}
		this->context.events.Write("route_registered",
								   {{"service", this->service.Value()},
									{"route", route.Value()},
									{"config", std::to_string(version)},
									{"other_shards", std::to_string(entry.state.other_shards.size())},
									{"redirect_to", entry.state.redirect_to.Value()}});
		this->Record(route, entry);
		this->Announce(route);
		this->Reconsider(route);
	}
}

void RouteShards::Record(const RouteName &route, RouteEntry &entry)
{
	this->UpdatePolicy(route, entry.state);
	const uint64_t revision = ++entry.state.revision;
	this->shard.Record(KeyedRecord{ROUTE_PREFIX + route.Value(), EncodeRoute(entry.state)},
					   [this, route, revision, still = std::weak_ptr<bool>(this->alive)](ResultCode code) {
						   if (!still.expired() && code == ResultCode::RC_OK) {
							   this->OnRecorded(route, revision);
						   }
					   });
}

void RouteShards::OnRecorded(const RouteName &route, uint64_t revision)
{
	RouteEntry &entry = this->routes.at(route);
	entry.durable_revision = std::max(entry.durable_revision, revision);
	std::vector<Done> ready;
	for (const auto &[awaited, done] : std::exchange(entry.awaiting, {})) {
		if (awaited <= entry.durable_revision) {
			ready.push_back(done);
		} else {
			entry.awaiting.emplace_back(awaited, done);
		}
	}
	std::ranges::for_each(ready, [](const Done &it) { it(); });
}

void RouteShards::Redirect(const RouteName &route, RouteEntry &entry, uint64_t version, const ServiceName &to)
{
	entry.state.redirected = version;
	entry.state.redirect_to = to;
	entry.state.other_shards.insert(to);
	entry.empty_shards.clear();
	this->context.events.Write("route_redirected", {{"service", this->service.Value()},
													{"route", route.Value()},
													{"to", to.Value()},
													{"config", std::to_string(version)}});
	/* A job with recorded progress belongs to this shard. One in the inbox without it counts as not taken when the
	 * next owner reads it. */
	this->shard.RecordProgressOf(route);
	this->Record(route, entry);
	this->Reconsider(route);
}

void RouteShards::Announce(const RouteName &route)
{
	RouteEntry &entry = this->routes.at(route);
	std::vector<ServiceName> others;
	std::ranges::set_difference(entry.state.other_shards, entry.announcing, std::back_inserter(others));
	for (const ServiceName &it : others) {
		entry.announcing.insert(it);
		this->AnnounceTo(route, it);
	}
}

void RouteShards::AnnounceTo(const RouteName &route, const ServiceName &other)
{
	const RouteQuestion question{other,         route,
								 JobId(),       AccountName(),
								 this->service, this->ServedVersion(route, this->routes.at(route).state)};
	this->Ask(question, [this, question](const RouteAnswer &answer) {
		RouteEntry &entry = this->routes.at(question.route);
		const bool outdated = question.version != this->ServedVersion(question.route, entry.state);
		if (answer.code != ResultCode::RC_OK || outdated) {
			this->After(ANNOUNCE_INTERVAL, [this, question] { this->AnnounceTo(question.route, question.service); });
			return;
		}
		entry.announcing.erase(question.service);
		this->NoteAnswer(question, answer);
	});
}

void RouteShards::Ask(const RouteQuestion &question, const std::function<void(const RouteAnswer &)> &done)
{
	const auto answered = std::make_shared<bool>(false);
	const auto once = [answered, done, still = std::weak_ptr<bool>(this->alive)](const RouteAnswer &answer) {
		if (!still.expired() && !std::exchange(*answered, true)) {
			done(answer);
		}
	};
	const Millis deadline = this->context.scheduler.Now() + ASK_TIMEOUT;
	this->After(ASK_TIMEOUT, [once] { once(RouteAnswer{}); });
	if (this->context.peers != nullptr) {
		this->context.peers->Ask(question, deadline, once);
	}
}

void RouteShards::NoteAnswer(const RouteQuestion &question, const RouteAnswer &answer)
{
	RouteEntry &entry = this->routes.at(question.route);
	const uint64_t served = this->ServedVersion(question.route, entry.state);
	if (served == 0 || served != question.version) {
		return; /* What the other shard says may have changed since. */
	}
	if (this->Precedes(served, answer.served, question.service)) {
		this->Redirect(question.route, entry, answer.served, question.service);
	} else if (answer.served == 0 && !answer.has_any && entry.empty_shards.insert(question.service).second) {
		this->Reconsider(question.route);
	}
}

void RouteShards::Answer(const RouteQuestion &question, std::function<void(const RouteAnswer &)> done)
{
	RouteEntry &entry = this->routes[question.route];
	const bool new_shard = entry.state.other_shards.insert(question.from).second;
	const uint64_t served = this->ServedVersion(question.route, entry.state);
	if (question.version > entry.state.redirected && this->Precedes(served, question.version, question.from)) {
		this->Redirect(question.route, entry, question.version, question.from);
	} else if (new_shard) {
		this->Record(question.route, entry);
	}
	const auto answer = [this, question, done = std::move(done)] {
		RouteAnswer out;
		out.code = ResultCode::RC_OK;
		out.cancelled = this->shard.Cancelled(question.job, question.account);
		out.has_any = this->shard.HasAnyOf(question.route);
		out.served = this->ServedVersion(question.route, this->routes.at(question.route).state);
		if (const JobView view = this->shard.View(question.job); view.known) {
			out.has_job = true;
			out.code = view.recorded ? ResultCode::RC_OK : ResultCode::RC_PEER_UNAVAILABLE;
		}
		done(out);
	};
	if (entry.durable_revision >= entry.state.revision) {
		answer();
	} else {
		entry.awaiting.emplace_back(entry.state.revision, answer);
	}
}
