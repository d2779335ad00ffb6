/** @file fleet_site.cpp Simulated keepers, entries, log and platform. */
#include "fleet_site.h"

#include "../../fleet/budget_func.h"

#include <algorithm>

namespace {

constexpr Millis WALL_START(1700000000000); ///< Wall clock at virtual time 0, Unix time in ms.
constexpr Millis REBOOT_TIME(3000);         ///< Time that a reboot takes.
constexpr Millis JOB_TIME(2000);            ///< Run time of a job.
constexpr Millis HELLO_INTERVAL(500);       ///< Interval of an entry's hellos.

PlannerPolicy MakePlannerPolicy()
{
	PlannerPolicy policy = LindeboomPolicy();
	policy.drain_grace = Millis(1000);
	policy.cycle = Millis(MS_PER_HOUR);
	policy.lead = Millis(MS_PER_HOUR);
	policy.idle_lead = Millis(MS_PER_HOUR);
	policy.blocked_lead = Millis(MS_PER_HOUR);
	policy.failure_grace = Millis(5 * MS_PER_SECOND);
	return policy;
}

} // namespace

bool SitePlatform::TakeLostOrder()
{
	if (this->lose_orders > 0) {
		this->lose_orders--;
		return true;
	}
	return false;
}

void SitePlatform::Reboot(const BoxName &name, PermitId permit)
{
	ListedBox &box = this->boxes.at(name);
	if (this->TakeLostOrder() || box.booted_for == permit || box.health == BoxHealth::BH_DOWN) {
		return;
	}
	box.health = BoxHealth::BH_DOWN;
	this->reboots[name]++;
	this->clock.After(REBOOT_TIME, [this, name, permit] {
		this->boxes.at(name).health = BoxHealth::BH_UP;
		this->boxes.at(name).booted_for = permit;
	});
}

void SitePlatform::StartJob(const Job &job)
{
	const auto known = this->jobs.find(job.name);
	if (this->TakeLostOrder() || (known != this->jobs.end() && known->second.first.attempt >= job.attempt)) {
		return;
	}
	this->starts[job.name.Value()]++;
	const bool fails = this->failing_jobs.contains(job.name) || this->failing_boxes.contains(job.box);
	this->jobs[job.name] = {JobEnd{job.name, job.attempt, fails ? JobOutcome::JO_FAILED : JobOutcome::JO_DONE}, true};
	this->clock.After(JOB_TIME, [this, name = job.name, attempt = job.attempt] {
		const auto it = this->jobs.find(name);
		if (it != this->jobs.end() && it->second.first.attempt == attempt) {
			it->second.second = false;
		}
	});
}

void SitePlatform::StopJob(const Job &job)
{
	const auto it = this->jobs.find(job.name);
	if (!this->TakeLostOrder() && it != this->jobs.end() && it->second.second &&
		it->second.first.attempt == job.attempt) {
		it->second.second = false;
		it->second.first.outcome = JobOutcome::JO_CHECKPOINT;
	}
}

void SitePlatform::FetchJobEnds(std::function<void(ResultCode, std::vector<JobEnd>)> done)
{
	std::vector<JobEnd> ends;
	for (const auto &[name, job] : this->jobs) {
		if (!job.second) {
			ends.push_back(job.first);
		}
	}
	done(ResultCode::RC_OK, ends);
}

void SitePlatform::Acknowledge(const JobEnd &end)
{
	/* Ends are reported until acknowledged. The attempt is kept, so that a delayed order does not run it again. */
	const auto it = this->jobs.find(end.job);
	if (it != this->jobs.end() && it->second.first.attempt == end.attempt) {
		it->second.second = true;
	}
}

KeeperNode::KeeperNode(FleetSite &site, const std::string &name, const std::string &zone, KeeperTimes times)
		: site(site), name(name), zone(zone), scheduler(site.clock), log(this->scheduler, site.store),
		  tail(this->scheduler, this->log, [this](const std::vector<Decision> &it) { this->OnRecord(it); }),
		  writer(this->scheduler, this->log, name, Incarnation(static_cast<uint64_t>(site.clock.WallNow().Value()))),
		  core{KeeperIdentity{MemberName(name), RegionName("main"), ZoneName(zone), name,
							  Incarnation(static_cast<uint64_t>(site.clock.WallNow().Value()))},
			   times,
			   this->scheduler,
			   this->tail,
			   this->writer,
			   {},
			   Millis(-MS_PER_DAY),
			   {}},
		  entries(this->core), operators(this->core),
		  planner(this->core, this->entries, site.platform, MakePlannerPolicy()), snapshots(this->core)
{
}

void KeeperNode::Start()
{
	this->tail.Start();
	this->ListTick();
	this->Tick();
	this->SlowTick();
}

void KeeperNode::OnRecord(const std::vector<Decision> &decisions)
{
	this->site.CheckRecord(*this, decisions);
	this->operators.OnDecisions(decisions);
	this->planner.OnDecisions(decisions);
	this->writer.OnDecisions(decisions);
	this->entries.Refresh();
}

void KeeperNode::Tick()
{
	const auto self = this->core.State().members.find(this->core.self.name);
	const bool member =
			self != this->core.State().members.end() && self->second.incarnation == this->core.self.incarnation;
	if (!member && this->tail.CaughtUp() && !this->join_pending) {
		this->join_pending = true;
		this->writer.Submit(MakeJoinProposal(this->core.self), WritePriority::WP_CONFIG,
							[this](const Decision &) { this->join_pending = false; });
	}
	if (member) {
		this->planner.Tick();
		if (this->planner.HoldsTerm() && !this->log.faults.down) {
			this->site.platform.FetchJobEnds(
					[this](ResultCode, const std::vector<JobEnd> &ends) { this->planner.OnJobEnds(ends); });
		}
	}
	this->scheduler.After(this->core.times.plan_tick, [this] { this->Tick(); });
}

void KeeperNode::SlowTick()
{
	if (this->tail.CaughtUp()) {
		this->entries.ReportSilentMembers();
		this->snapshots.Tick(this->planner.HoldsTerm());
	}
	glade::wire::KeeperBeatT beat;
	beat.member = this->name;
	beat.offset = this->core.State().offset.Value();
	beat.heard = this->entries.RecentlyHeardEntries();
	beat.log_age_ms = static_cast<uint32_t>(
			std::min(this->scheduler.Now() - this->tail.LastAnswer(), Millis(MS_PER_DAY)).Value());
	for (const auto &other : this->site.keepers) {
		if (other.get() != this && other->zone == this->zone && *other->scheduler.alive &&
			other->scheduler.paused_until < this->scheduler.Now()) {
			other->entries.OnKeeperBeat(beat);
		}
	}
	/* When no snapshot reaches the start of the log, the state of a peer is adopted. */
	if (this->tail.Phase() == TailPhase::TP_JOINING) {
		for (const auto &other : this->site.keepers) {
			if (other.get() != this && *other->scheduler.alive && other->tail.Phase() == TailPhase::TP_FOLLOWING) {
				const FleetState &theirs = other->core.State();
				std::optional<FleetState> copy = UnpackSnapshot(PackSnapshot(theirs), theirs.Hash());
				if (copy) {
					this->tail.Adopt(std::move(*copy));
				}
			}
		}
	}
	this->scheduler.After(Millis(500), [this] { this->SlowTick(); });
}

void KeeperNode::ListTick()
{
	if (!this->list_frozen) {
		this->core.list.clear();
		for (const auto &[box, listed] : this->site.platform.boxes) {
			this->core.list.push_back(listed);
		}
		this->core.list_fetched_at = this->scheduler.Now();
		this->entries.Refresh();
	}
	this->scheduler.After(this->core.times.list_tick, [this] { this->ListTick(); });
}

std::shared_ptr<glade::wire::OutcomeT> KeeperNode::Publish(const std::vector<CellEdit> &cells, uint64_t base)
{
	auto outcome = std::make_shared<glade::wire::OutcomeT>();
	outcome->code = static_cast<uint32_t>(ResultCode::RC_OUTCOME_UNKNOWN);
	glade::wire::PublishRequestT publish;
	publish.base_version = base;
	for (const CellEdit &it : cells) {
		auto cell = std::make_unique<glade::wire::TableCellT>();
		cell->service = it.key.service.Value();
		cell->column = it.key.column;
		cell->value = it.value;
		publish.cells.push_back(std::move(cell));
	}
	this->operators.OnPublish(publish,
							  [outcome](const glade::wire::MessageUnion &message) { *outcome = *message.AsOutcome(); });
	return outcome;
}

EntryStub::EntryStub(FleetSite &site, const std::string &name, const std::string &zone)
		: site(site), name(name), zone(zone), scheduler(site.clock),
		  routes(EntryIdentity{MemberName(name), ZoneName(zone), Incarnation(1)}, GateSettings{}, LeaseTimes{}),
		  keeper(nullptr), incarnation(1)
{
}

void EntryStub::Tick()
{
	this->Hello();
	this->scheduler.After(HELLO_INTERVAL, [this] { this->Tick(); });
}

void EntryStub::Hello()
{
	if (this->keeper != nullptr && !*this->keeper->scheduler.alive) {
		this->keeper = nullptr;
	}
	for (const auto &it : this->site.keepers) {
		if (this->keeper == nullptr && it->zone == this->zone && *it->scheduler.alive) {
			this->keeper = it.get();
		}
	}
	if (this->keeper == nullptr || this->cut || this->keeper->scheduler.paused_until > this->scheduler.Now()) {
		return;
	}
	glade::wire::EntryHelloT hello;
	hello.member = this->name;
	hello.incarnation = this->incarnation;
	hello.zone = this->zone;
	hello.region = "main";
	hello.address = this->name;
	std::tie(hello.view_version, hello.view_hash) = this->routes.Version();
	hello.number = ++this->number;
	this->sent_at[this->number] = this->scheduler.Now();
	for (const auto &[pool, gate] : this->routes.Gates()) {
		for (const GateEndpoint &it : gate->Drained()) {
			hello.drained_boxes.push_back(it.box.Value());
			hello.drained_permits.push_back(it.permit.Value());
		}
	}
	this->keeper->entries.OnHello(*this, hello);
}

void EntryStub::Send(const glade::wire::MessageUnion &message)
{
	if (this->cut) {
		return;
	}
	if (const auto *view = message.AsView(); view != nullptr) {
		this->routes.Apply(*view, this->scheduler.Now());
		this->scheduler.Post([this] { this->Hello(); });
	} else if (const auto *grant = message.AsLeaseGrant(); grant != nullptr) {
		this->routes.ExtendLease(this->sent_at[grant->hello_number] + Millis(grant->lease_ms));
		this->routes.AdvanceOffset(LogOffset(grant->offset));
	}
}

FleetSite::FleetSite(uint32_t boxes, LogLimits limits) : clock(WALL_START), store(limits), platform(this->clock)
{
	for (uint32_t i = 0; i < boxes; i++) {
		ListedBox box;
		box.name = BoxName("box-" + std::string(i < 10 ? "0" : "") + std::to_string(i));
		box.zone = ZoneName(i % 2 == 0 ? "zone-a" : "zone-b");
		box.rack = RackName("rack-" + std::to_string(i / 2 % 3));
		box.address = "10.0.0." + std::to_string(i) + ":80";
		box.slots = Slots(8);
		box.health = BoxHealth::BH_UP;
		this->platform.boxes[box.name] = box;
	}
	this->times.snapshot_records = 40;
	for (const char *zone : {"zone-a", "zone-b"}) {
		for (int i = 1; i <= 2; i++) {
			this->AddKeeper(std::string("keeper-") + zone + "-" + std::to_string(i), zone);
		}
		this->entries.push_back(std::make_unique<EntryStub>(*this, std::string("entry-") + zone, zone));
		this->entries.back()->Start();
	}
}

FleetSite::~FleetSite()
{
	for (const auto &it : this->keepers) {
		*it->scheduler.alive = false;
	}
	for (const auto &it : this->entries) {
		*it->scheduler.alive = false;
	}
}

KeeperNode &FleetSite::AddKeeper(const std::string &name, const std::string &zone)
{
	this->keepers.push_back(std::make_unique<KeeperNode>(*this, name, zone, this->times));
	this->keepers.back()->Start();
	return *this->keepers.back();
}

void FleetSite::Kill(KeeperNode &keeper)
{
	*keeper.scheduler.alive = false;
	for (const auto &it : this->entries) {
		keeper.entries.OnDown(*it);
	}
}

void FleetSite::Run(Millis span)
{
	this->clock.RunUntil(this->clock.Now() + span);
}

bool FleetSite::RunUntil(const std::function<bool()> &holds, Millis longest)
{
	const Millis end = this->clock.Now() + longest;
	while (!holds() && this->clock.Now() < end) {
		this->Run(Millis(20));
	}
	return holds();
}

KeeperNode &FleetSite::AnyKeeper()
{
	const auto it = std::ranges::find_if(this->keepers, [](const auto &keeper) {
		return *keeper->scheduler.alive && !keeper->log.faults.down && keeper->tail.Phase() == TailPhase::TP_FOLLOWING;
	});
	return it == this->keepers.end() ? *this->keepers.front() : **it;
}

KeeperNode &FleetSite::Planner()
{
	const auto it = std::ranges::find_if(
			this->keepers, [](const auto &keeper) { return *keeper->scheduler.alive && keeper->planner.HoldsTerm(); });
	return it == this->keepers.end() ? this->AnyKeeper() : **it;
}

void FleetSite::SetUp()
{
	this->Run(Millis(500));
	this->AnyKeeper().Publish({{CellKey{ServiceName("misting"), "pool"}, "control"},
							   {CellKey{ServiceName("misting"), "floor"}, "16"},
							   {CellKey{ServiceName("misting"), "guard"}, "rack"},
							   {CellKey{ServiceName("misting"), "class"}, "urgent"},
							   {CellKey{ServiceName("analytics"), "pool"}, "batch"},
							   {CellKey{ServiceName("analytics"), "floor"}, "8"},
							   {CellKey{ServiceName("analytics"), "guard"}, "box"}},
							  0);
	glade::wire::TeamQuotaT quota;
	quota.team = "oyo";
	quota.units = 40;
	this->AnyKeeper().Propose(std::move(quota));
	this->RunUntil(
			[this] {
				const auto &boxes = this->AnyKeeper().core.State().boxes;
				return boxes.size() == this->platform.boxes.size() &&
					   std::ranges::all_of(boxes, [](const auto &it) { return it.second.health == BoxHealth::BH_UP; });
			},
			Millis(20000));
}

void FleetSite::AddViolation(const std::string &what)
{
	this->violations.push_back(std::to_string(this->clock.Now().Value()) + " " + what);
}

void FleetSite::CheckRecord(const KeeperNode &keeper, const std::vector<Decision> &decisions)
{
	const FleetState &fleet = keeper.core.State();
	const auto [it, first] = this->state_hashes.emplace(fleet.offset.Value(), fleet.Hash());
	if (!first && it->second != fleet.Hash()) {
		this->AddViolation("keepers have different states at offset " + std::to_string(fleet.offset.Value()));
	}
	uint64_t &table = this->table_versions[keeper.name + std::to_string(keeper.core.self.incarnation.Value())];
	if (fleet.table_version.Value() < table) {
		this->AddViolation("table version decreased at keeper " + keeper.name);
	}
	table = fleet.table_version.Value();
	this->CheckBudgets(keeper);
	this->AppendTimeline(keeper, decisions);
}

void FleetSite::CheckBudgets(const KeeperNode &keeper)
{
	const FleetState &fleet = keeper.core.State();
	auto &before = this->box_states[keeper.name];
	std::set<PoolName> granted;
	for (const auto &[name, box] : fleet.boxes) {
		const auto old = before.find(name);
		if (old != before.end() && old->second == BoxState::BS_SERVING && box.state == BoxState::BS_DRAINING &&
			box.health == BoxHealth::BH_UP) {
			granted.insert(box.pool);
		}
	}
	for (const PoolName &pool : granted) {
		const PoolModel picture = PoolModelOf(fleet, pool);
		if (!FloorsHold(CapacityOf(picture), FloorsOf(picture), true)) {
			this->AddViolation("a permit in pool " + pool.Value() + " violates its floors and guards");
		}
	}
	before.clear();
	for (const auto &[name, box] : fleet.boxes) {
		before[name] = box.state;
	}
}

void FleetSite::AppendTimeline(const KeeperNode &keeper, const std::vector<Decision> &decisions)
{
	if (!this->timeline_offsets.emplace(keeper.core.State().offset.Value(), true).second) {
		return;
	}
	for (const Decision &it : decisions) {
		this->timeline +=
				std::to_string(it.offset.Value()) + " " + it.id.writer + " " + SymbolOf(it.result.code) + "\n";
	}
}

void FleetSite::Heal()
{
	for (const auto &it : this->keepers) {
		it->log.faults = LogFaults{};
		it->list_frozen = false;
	}
	for (const auto &it : this->entries) {
		it->cut = false;
	}
	this->platform.lose_orders = 0;
	for (const char *zone : {"zone-a", "zone-b"}) {
		const bool served = std::ranges::any_of(
				this->keepers, [&](const auto &it) { return *it->scheduler.alive && it->zone == zone; });
		if (!served) {
			this->AddKeeper(std::string("keeper-") + zone + "-3", zone);
		}
	}
}

bool FleetSite::StatesAgree() const
{
	std::set<std::pair<uint64_t, uint64_t>> states;
	for (const auto &it : this->keepers) {
		if (*it->scheduler.alive) {
			states.insert({it->core.State().offset.Value(), it->core.State().Hash()});
		}
	}
	return states.size() == 1;
}
