/** @file shard_host.cpp The shards that this node owns. */
#include "shard_host.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

/** Minimum of KeptShardsMax(): up to so many shards a node keeps although they are assigned to others. A smaller number
 * causes more handovers; a larger one leaves more shards without an owner when the node fails. */
constexpr size_t KEPT_SHARDS_MIN = 2;
/** Maximum number of last reports kept of former incarnations of agents: those of a minute in which all boxes move. */
constexpr size_t LAST_REPORTS_KEPT = 300;
/** Interval at which the owners of shards that are not assigned to this node are checked. An earlier process of this
 * node may be the recorded owner, and other nodes wait as long as the record names a live node. */
constexpr Millis OWNER_CHECK_INTERVAL(5000);
/** For this long after a handover the former owner claims the shard only when nobody else does, and the new owner keeps
 * it although it is assigned to another node: a load peak lasts several seconds. */
constexpr Millis HANDOVER_KEPT_FOR(10000);
/** Time for which a shard that this node has handed over must be vacant before it claims the shard again: longer than
 * the successor and the other nodes need. */
constexpr Millis HANDED_OVER_WAIT(1000);
/** Time for which an overloaded node leaves a vacant shard to others: these check the owner every 200 ms. */
constexpr Millis OVERLOADED_WAIT(500);

} // namespace

std::optional<uint32_t> PartitionOf(const JobConfig &config, const ServiceName &service, uint32_t partitions)
{
	std::vector<ServiceName> names;
	for (const JobService &it : config.services) {
		if (!it.reserve) {
			names.push_back(it.name);
		}
	}
	std::ranges::sort(names);
	const auto it = std::ranges::find(names, service);
	if (it == names.end()) {
		return std::nullopt;
	}
	const auto index = static_cast<size_t>(std::distance(names.begin(), it));
	return static_cast<uint32_t>(index * partitions / names.size());
}

uint32_t MonitorPartitionOf(uint32_t part, uint32_t partitions)
{
	return (part + 1) % partitions;
}

ShardHost::ShardHost(ShardOwnerContext context, GroupMember &member, SiteFeed &feed, uint32_t partitions)
		: context(std::move(context)), member(member), feed(feed), partitions(partitions)
{
	this->context.read_reports = [&feed](std::function<void()> done) { feed.ConfirmReports(std::move(done)); };
}

void ShardHost::Configure(const JobConfig &config)
{
	this->config = config;
	std::ranges::for_each(this->owners | std::views::values, [&config](const auto &it) { it->Configure(config); });
	this->OnMembership();
}

void ShardHost::SetEvacuatedZones(const EvacuatedZones &evacuated)
{
	this->evacuated = evacuated;
	std::ranges::for_each(this->owners | std::views::values,
						  [&evacuated](const auto &it) { it->SetEvacuatedZones(evacuated); });
}

bool ShardHost::Assigned(const ServiceName &service) const
{
	const std::optional<uint32_t> part = PartitionOf(this->config, service, this->partitions);
	return part && this->member.Holds(*part);
}

bool ShardHost::Monitored(const ServiceName &service) const
{
	const std::optional<uint32_t> part = PartitionOf(this->config, service, this->partitions);
	/* A node that owns a shard does not monitor another, so that it does not come to own two. With 1,100 boxes, a node
	 * with two shards fell 12 s behind during a load peak. */
	return part && this->member.Holds(MonitorPartitionOf(*part, this->partitions)) && this->Claimed() == 0;
}

size_t ShardHost::Claimed() const
{
	return static_cast<size_t>(
			std::ranges::count_if(this->owners | std::views::values, [](const auto &it) { return it->Claimed(); }));
}

size_t ShardHost::KeptShardsMax() const
{
	const auto services = std::ranges::count(this->config.services, false, &JobService::reserve);
	const size_t share = static_cast<size_t>(services) * this->member.Count() / this->partitions;
	return std::max(KEPT_SHARDS_MIN, share + 1);
}

void ShardHost::OnMembership()
{
	if (this->stopped) {
		return;
	}
	size_t owned = this->Claimed();
	const Millis now = this->context.scheduler.Now();
	const bool check_due = this->member.HeldRecently() && now - this->owners_checked_at >= OWNER_CHECK_INTERVAL;
	this->owners_checked_at = check_due && !this->config.services.empty() ? now : this->owners_checked_at;
	for (const JobService &service : this->config.services) {
		const bool assigned = this->Assigned(service.name);
		const bool wanted = assigned || this->Monitored(service.name) || this->Expected(service.name);
		const auto it = this->owners.find(service.name);
		if (it == this->owners.end()) {
			/* A claim would read the owner's record before the release and supersede that. */
			if (!this->Releasing(service.name) && (wanted || (check_due && !service.reserve))) {
				this->StartOwner(service.name);
			}
		} else if (!wanted && it->second->Waiting()) {
			this->owners.erase(it);
		} else if (!assigned && it->second->Claimed() && !this->ReceivedRecently(*it->second) &&
				   (this->member.IsStandby() || owned > this->KeptShardsMax())) {
			/* A member that the group missed only briefly keeps its shards: a new owner would have to claim them first.
			 */
			this->context.events.Write("shard_handed_over", {{"service", service.name.Value()}});
			this->Release(service.name);
			owned--;
		}
	}
	/* Nodes that may have to take over a shard keep the box reports in memory: a new owner can't place anything without
	 * them. */
	const bool reports_needed = !this->owners.empty() || this->member.HeldRecently();
	this->feed.WatchBoxes(reports_needed);
	if (!reports_needed) {
		this->reports.clear();
		this->last_reports.clear();
	}
}

void ShardHost::StartOwner(const ServiceName &service)
{
	auto owner = std::make_unique<ShardOwner>(
			this->context, service, [this, service] { return this->Assigned(service); },
			[this, service] { return this->Monitored(service); });
	owner->on_lost = [this, service] {
		/* Deferred, since the owner must not be destroyed during its own callback. The new owner reads from the record
		 * whether another node has claimed the shard. */
		this->context.scheduler.After(Millis(0), [this, service] {
			if (!this->stopped) {
				this->owners.erase(service);
				this->StartOwner(service);
			}
		});
	};
	owner->expects_release = [this, service] { return this->Expected(service); };
	owner->vacancy_wait = [this, service] { return this->VacancyWait(service); };
	owner->Configure(this->config);
	owner->SetEvacuatedZones(this->evacuated);
	std::ranges::for_each(this->reports | std::views::values, [&owner](const BoxReport &it) { owner->OnReport(it); });
	std::ranges::for_each(this->last_reports, [&owner](const BoxReport &it) { owner->NoteRemovedReport(it); });
	owner->Start();
	this->owners.emplace(service, std::move(owner));
}

void ShardHost::Release(const ServiceName &service, const std::string &successor, std::function<void(bool)> done)
{
	auto node = this->owners.extract(service);
	ShardOwner *owner = node.mapped().get();
	this->releasing.push_back(std::move(node.mapped()));
	owner->Release(
			[this, owner, done = std::move(done)](bool durable) {
				this->context.scheduler.After(Millis(0), [this, owner] {
					std::erase_if(this->releasing, [owner](const auto &it) { return it.get() == owner; });
				});
				if (done) {
					done(durable);
				}
			},
			successor);
}

std::vector<ShardLoad> ShardHost::Loads() const
{
	std::vector<ShardLoad> out;
	for (const auto &[service, owner] : this->owners) {
		if (owner->Running() != nullptr) {
			out.push_back(ShardLoad{service, owner->Epoch(), owner->StartsPerSecond()});
		}
	}
	return out;
}

void ShardHost::HandOver(const ServiceName &service, const std::string &successor, std::function<void(bool)> done)
{
	const auto it = this->owners.find(service);
	if (it == this->owners.end() || !it->second->Claimed() || !it->second->MainAnswers()) {
		done(false);
		return;
	}
	this->handed_over_at[service] = this->context.scheduler.Now();
	this->Release(service, successor, std::move(done));
}

bool ShardHost::Expect(const ServiceName &service)
{
	const auto it = this->owners.find(service);
	const bool claimed = it != this->owners.end() && it->second->Claimed();
	if (this->stopped || claimed || this->Releasing(service) || !PartitionOf(this->config, service, this->partitions)) {
		return false;
	}
	this->expected_until[service] = this->context.scheduler.Now() + HANDOVER_EXPECTATION;
	this->feed.WatchBoxes(true); /* Nothing can be placed without the boxes' reports. */
	if (it == this->owners.end()) {
		this->StartOwner(service);
	} else {
		it->second->CheckNow();
	}
	return true;
}

bool ShardHost::Expected(const ServiceName &service) const
{
	const auto it = this->expected_until.find(service);
	return it != this->expected_until.end() && this->context.scheduler.Now() < it->second;
}

bool ShardHost::Releasing(const ServiceName &service) const
{
	return std::ranges::any_of(this->releasing, [&service](const auto &it) { return it->Service() == service; });
}

bool ShardHost::ReceivedRecently(const ShardOwner &owner) const
{
	const std::optional<Millis> at = owner.ReceivedAt();
	return at && this->context.scheduler.Now() - *at < HANDOVER_KEPT_FOR;
}

Millis ShardHost::VacancyWait(const ServiceName &service) const
{
	const auto it = this->handed_over_at.find(service);
	if (it != this->handed_over_at.end() && this->context.scheduler.Now() - it->second < HANDOVER_KEPT_FOR) {
		return HANDED_OVER_WAIT;
	}
	return this->overloaded() ? OVERLOADED_WAIT : Millis(0);
}

size_t ShardHost::ClaimedOrExpected() const
{
	const auto expected = std::ranges::count_if(this->expected_until | std::views::keys, [this](const auto &it) {
		const ShardOwner *owner = this->Find(it);
		return this->Expected(it) && (owner == nullptr || !owner->Claimed());
	});
	return this->Claimed() + static_cast<size_t>(expected);
}

void ShardHost::OnReport(const BoxReport &report)
{
	const auto known = this->reports.find(report.incarnation.id);
	if (known != this->reports.end() && known->second.incarnation != report.incarnation) {
		this->KeepLastReport(known->second);
	}
	this->reports[report.incarnation.id] = report;
	std::ranges::for_each(this->owners | std::views::values, [&report](const auto &it) { it->OnReport(report); });
}

void ShardHost::KeepLastReport(const BoxReport &report)
{
	this->last_reports.push_back(report);
	while (this->last_reports.size() > LAST_REPORTS_KEPT) {
		this->last_reports.pop_front();
	}
}

void ShardHost::OnReportRemoved(const BoxId &id)
{
	if (const auto it = this->reports.find(id); it != this->reports.end()) {
		this->KeepLastReport(it->second);
		this->reports.erase(it);
	}
	std::ranges::for_each(this->owners | std::views::values, [&id](const auto &it) { it->OnReportRemoved(id); });
}

void ShardHost::Clear()
{
	this->stopped = true;
	while (!this->owners.empty()) {
		this->Release(ServiceName(this->owners.begin()->first));
	}
	this->feed.WatchBoxes(false);
}

const ShardOwner *ShardHost::Find(const ServiceName &service) const
{
	const auto it = this->owners.find(service);
	return it == this->owners.end() ? nullptr : it->second.get();
}

ShardOwner *ShardHost::Find(const ServiceName &service)
{
	return const_cast<ShardOwner *>(std::as_const(*this).Find(service));
}
