/** @file route_shards_jobs.cpp RouteShards: submissions and cancellations of the inbox that may belong to another
 * shard. */
#include "route_shards.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr Millis RECORD_TIMEOUT(3000); ///< Time after which an attempt to record something elsewhere has failed.
/** Time for which a job that was sent on isn't called unknown: longer than another shard's view of its inbox may lag.
 */
constexpr Millis LEFT_FOR(4000);

} // namespace

const JobSpec *RouteShards::FindHeld(const JobId &id) const
{
	const auto it = this->held.lower_bound(id.Value());
	return it != this->held.end() && it->second.spec.id == id ? &it->second.spec : nullptr;
}

UntakenJob RouteShards::FindUntaken(const JobId &id) const
{
	if (this->FindHeld(id) != nullptr) {
		return UntakenJob::UJ_HELD;
	}
	const auto it = this->left.find(id);
	const bool left_lately = it != this->left.end() && this->context.scheduler.Now() < it->second;
	return left_lately ? UntakenJob::UJ_LEFT : UntakenJob::UJ_UNKNOWN;
}

uint32_t RouteShards::HeldOf(const RouteName &route) const
{
	return static_cast<uint32_t>(std::ranges::count_if(this->held | std::views::values,
													   [&route](const HeldJob &it) { return it.spec.route == route; }));
}

bool RouteShards::MayRecord(const IncomingRecord &incoming) const
{
	if (this->shard.View(incoming.inbox_key.job).known) {
		return true;
	}
	if (incoming.spec) {
		return this->ServesAlone(incoming.spec->route);
	}
	const StoredCancellation stored = DecodeCancellation(incoming.record.value.value_or(std::string()));
	return stored.relayed || stored.route.Value().empty() || this->ServesAlone(stored.route);
}

void RouteShards::OnSubmission(const KeyedRecord &record, const JobSpec &spec)
{
	if (this->shard.View(spec.id).known) {
		this->shard.Submit(spec);
		return;
	}
	const auto redirect = this->redirects.find(record.key);
	if (redirect != this->redirects.end() && redirect->second >= spec.config) {
		return;
	}
	if (this->begun && this->ServesAlone(spec.route)) {
		this->shard.Submit(spec);
		return;
	}
	this->held.try_emplace(record.key, HeldJob{record, spec, false, {}, 0});
	if (this->begun) {
		this->Decide(record.key);
	}
}

void RouteShards::Reconsider(const RouteName &route)
{
	/* Deferred, since the caller may be in the middle of a decision. */
	this->After(Millis(0), [this, route] {
		std::vector<std::string> keys;
		for (const auto &[key, it] : this->held) {
			if (it.spec.route == route) {
				keys.push_back(key);
			}
		}
		std::ranges::for_each(keys, [this](const std::string &it) { this->Decide(it); });
		std::vector<std::string> cancel_keys;
		for (const auto &[key, it] : this->cancels) {
			if (it.stored.route == route) {
				cancel_keys.push_back(key);
			}
		}
		std::ranges::for_each(cancel_keys, [this](const std::string &it) { this->Relay(it); });
	});
}

void RouteShards::Decide(const std::string &key)
{
	const auto it = this->held.find(key);
	if (it == this->held.end() || it->second.busy) {
		return;
	}
	HeldJob &job = it->second;
	const RouteName &route = job.spec.route;
	RouteEntry &entry = this->routes[route];
	if (this->ServedVersion(route, entry.state) > 0) {
		if (std::exchange(job.asked_revision, entry.state.revision) != entry.state.revision) {
			job.lacks_it.clear();
		}
		const std::vector<ServiceName> others = this->OthersWithJobs(route);
		const auto next =
				std::ranges::find_if(others, [&job](const ServiceName &it) { return !job.lacks_it.contains(it); });
		if (next == others.end()) {
			this->Take(key);
		} else {
			this->AskAbout(key, *next);
		}
		return;
	}
	const uint64_t newest = std::max(job.spec.config, entry.state.redirected);
	const JobRoute *configured = this->config.FindRoute(route);
	if (configured != nullptr && configured->service != this->service && this->config.version > newest) {
		this->Redirect(route, entry, this->config.version, configured->service);
	} else if (job.spec.config <= entry.state.redirected && entry.state.redirected > 0) {
		this->SendOn(key, entry.state);
	} else {
		this->Want(route, std::max<uint64_t>(job.spec.config, 1));
	}
}

void RouteShards::AskAbout(const std::string &key, const ServiceName &other)
{
	HeldJob &job = this->held.at(key);
	job.busy = true;
	const RouteName &route = job.spec.route;
	const RouteQuestion question{other,         route,
								 job.spec.id,   job.spec.account,
								 this->service, this->ServedVersion(route, this->routes.at(route).state)};
	this->Ask(question, [this, key, question](const RouteAnswer &answer) { this->OnJobAnswer(key, question, answer); });
}

void RouteShards::OnJobAnswer(const std::string &key, const RouteQuestion &question, const RouteAnswer &answer)
{
	HeldJob &job = this->held.at(key);
	if (answer.code == ResultCode::RC_OK && answer.has_job) {
		this->context.events.Write("job_elsewhere", {{"service", this->service.Value()},
													 {"job", job.spec.id.Value()},
													 {"shard", question.service.Value()}});
		this->Drop(key);
		return;
	}
	const RouteState &state = this->routes.at(question.route).state;
	const bool current = job.asked_revision == state.revision && answer.served == 0 &&
						 question.version == this->ServedVersion(question.route, state);
	if (answer.code != ResultCode::RC_OK || !current) {
		if (answer.code == ResultCode::RC_OK) {
			this->NoteAnswer(question, answer);
		}
		this->DecideLater(key);
		return;
	}
	if (answer.cancelled) {
		this->shard.Cancel(job.spec.id, job.spec.account, job.spec.route);
	}
	job.busy = false;
	job.lacks_it.insert(question.service);
	this->NoteAnswer(question, answer);
	this->Decide(key);
}

void RouteShards::DecideLater(const std::string &key)
{
	this->After(RETRY_DELAY, [this, key] {
		this->held.at(key).busy = false;
		this->Decide(key);
	});
}

void RouteShards::Take(const std::string &key)
{
	const JobSpec spec = this->held.at(key).spec;
	this->held.erase(key);
	this->shard.Submit(spec);
	/* The next owner needn't ask about a job with recorded progress. */
	this->shard.RecordProgressOf(spec.id);
}

void RouteShards::SendOn(const std::string &key, const RouteState &state)
{
	HeldJob &job = this->held.at(key);
	job.busy = true;
	JobSpec spec = job.spec;
	/* The version by which it is sent rises with each shard, so it can't circulate. */
	spec.config = state.redirected;
	const ServiceName to = state.redirect_to;
	this->RecordAt(to, KeyedRecord{key, EncodeSubmission(spec)},
				   [this, key, to](ResultCode code) { this->OnSentOn(key, to, code); });
}

void RouteShards::OnSentOn(const std::string &key, const ServiceName &to, ResultCode code)
{
	if (code != ResultCode::RC_OK) {
		this->DecideLater(key);
		return;
	}
	const JobId id = this->held.at(key).spec.id;
	this->context.events.Write("job_redirected",
							   {{"service", this->service.Value()}, {"job", id.Value()}, {"to", to.Value()}});
	this->left[id] = this->context.scheduler.Now() + LEFT_FOR;
	this->After(LEFT_FOR, [this, id] { this->left.erase(id); });
	this->Drop(key);
}

void RouteShards::RecordAt(const ServiceName &other, const KeyedRecord &record,
						   const std::function<void(ResultCode)> &done)
{
	if (this->context.peers == nullptr) {
		this->After(RECORD_TIMEOUT, [done] { done(ResultCode::RC_PEER_UNAVAILABLE); });
		return;
	}
	this->context.peers->Record(other, record, this->context.scheduler.Now() + RECORD_TIMEOUT,
								[done, still = std::weak_ptr<bool>(this->alive)](ResultCode code) {
									if (!still.expired()) {
										done(code);
									}
								});
}

void RouteShards::Drop(const std::string &key)
{
	const uint64_t config = this->held.at(key).spec.config;
	this->held.erase(key);
	this->NoteRedirected(key, config);
}

void RouteShards::NoteRedirected(const std::string &key, uint64_t config)
{
	this->RestoreRedirect(key, config);
	this->shard.Record(KeyedRecord{REDIRECT_PREFIX + key, EncodeRedirect(config)}, [](ResultCode) {});
}

void RouteShards::OnCancellation(const KeyedRecord &record)
{
	const InboxKey name = ParseInboxKey(record.key);
	const StoredCancellation stored = DecodeCancellation(record.value.value_or(std::string()));
	this->shard.Cancel(name.job, name.account, stored.route);
	if (!stored.relayed && !stored.route.Value().empty() && !this->redirects.contains(record.key)) {
		this->cancels.try_emplace(record.key, HeldCancellation{record, stored});
		this->Reconsider(stored.route);
	}
}

void RouteShards::Relay(const std::string &key)
{
	const auto it = this->cancels.find(key);
	if (it == this->cancels.end() || it->second.under_way > 0 || !this->begun) {
		return;
	}
	HeldCancellation &cancel = it->second;
	if (this->shard.View(ParseInboxKey(key).job).known || this->ServesAlone(cancel.stored.route)) {
		this->cancels.erase(it);
		return;
	}
	if (!this->Knows(cancel.stored.route)) {
		this->Want(cancel.stored.route, std::max<uint64_t>(cancel.stored.config, 1));
		return;
	}
	const std::vector<ServiceName> others = this->OthersWithJobs(cancel.stored.route);
	if (others.empty()) {
		this->cancels.erase(it);
		return;
	}
	cancel.under_way = others.size();
	cancel.failed = false;
	StoredCancellation stored = cancel.stored;
	stored.relayed = true;
	const KeyedRecord record{key, EncodeCancellation(stored)};
	for (const ServiceName &other : others) {
		this->RecordAt(other, record, [this, key](ResultCode code) { this->OnRelayed(key, code); });
	}
}

void RouteShards::OnRelayed(const std::string &key, ResultCode code)
{
	const auto it = this->cancels.find(key);
	if (it == this->cancels.end()) {
		return;
	}
	HeldCancellation &cancel = it->second;
	cancel.under_way--;
	cancel.failed = cancel.failed || code != ResultCode::RC_OK;
	if (cancel.under_way > 0) {
		return;
	}
	if (cancel.failed) {
		cancel.under_way = 1; /* Until the retry. */
		this->After(RETRY_DELAY, [this, key] {
			if (const auto again = this->cancels.find(key); again != this->cancels.end()) {
				again->second.under_way = 0;
				this->Relay(key);
			}
		});
		return;
	}
	this->context.events.Write("cancel_relayed", {{"service", this->service.Value()}, {"key", key}});
	const uint64_t config = cancel.stored.config;
	this->cancels.erase(it);
	this->NoteRedirected(key, config);
}
