/** @file fleet_owner.cpp The one node that gives orders to machines. */
#include "fleet_owner.h"

#include "../store/owner_record.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace {

constexpr Millis TICK(200); ///< Between two looks at the fleet; a box is away for 1.5 s and more.
/** A holder that has recorded nothing for so long records itself: who watches it knows that it lives. */
constexpr Millis CONFIRM_EVERY(150); ///< With TICK, 0.35 s is the longest gap.
constexpr Millis CONFIRM_FOR(900);   ///< Orders leave this long after their record was sent at most; a slow store takes
									 ///< 500 ms.
constexpr Millis TURN_SLACK(1300);   ///< On top of the gap between two holders: CONFIRM_FOR, and calls under way.
constexpr Millis PUBLISH_AGAIN(500); ///< Before a report that didn't get through is tried again.

const PartitionId FLEET{"keyed.fleet", 0};

/** Key of the record that maintenance of a box has begun. */
std::string KeyOf(uint64_t wave, const BoxName &box)
{
	return std::to_string(wave) + "/" + box.Value();
}

} // namespace

FleetOwner::FleetOwner(const FleetOwnerContext &parts)
		: parts(parts), desk(WaveLimits{}), movers(PoolLimits{}), turns(parts.turn_gap + TURN_SLACK)
{
}

FleetOwner::~FleetOwner()
{
	this->parts.scheduler.Cancel(this->timer);
}

void FleetOwner::Start()
{
	this->claim = std::make_unique<PartitionClaim>(
			this->parts.scheduler, this->parts.log, this->parts.events,
			ClaimSpec{this->parts.address, FLEET, this->parts.group, this->parts.wanted, true, this->parts.watches});
	this->claim->Start([this](const ClaimedPartition &claimed) { this->Run(claimed); });
}

void FleetOwner::Run(const ClaimedPartition &claimed)
{
	std::ranges::for_each(claimed.records, [this](const auto &it) { this->Restore(it.first, it.second); });
	std::ranges::for_each(claimed.spare, [this](const auto &it) { this->Restore(it.first, it.second); });
	this->epoch = claimed.number.epoch;
	this->fence = FenceToken(claimed.number.epoch);
	this->ledger.Begin(this->epoch);
	this->journal = std::make_unique<PairedJournal>(this->parts.scheduler, this->parts.log, this->parts.events,
													JournalPair{FLEET, SparePartitionOf(FLEET),
																[](const std::string &key) {
																	return SpareKey{key, key != OWNER_KEY};
																}},
													claimed.number);
	this->journal->on_superseded = [this] { this->Lose(); };
	this->Tick();
}

void FleetOwner::Restore(const std::string &key, const std::string &value)
{
	if (OrderLog::Owns(key)) {
		this->turns.RestoreOrder(key, value, this->parts.scheduler.Now());
		return;
	}
	if (ShareLedger::IsLedgerKey(key)) {
		if (!this->ledger.Restore(key, value)) {
			this->parts.events.Write("bad_record", {{"topic", FLEET.topic}, {"key", key}});
		}
		return;
	}
	uint64_t wave = 0;
	const char *end = key.data() + key.size();
	const auto [rest, ec] = std::from_chars(key.data(), end, wave);
	if (ec != std::errc() || (rest != end && *rest != '/')) {
		this->parts.events.Write("bad_record", {{"topic", FLEET.topic}, {"key", key}});
	} else if (rest == end) {
		this->desk.RestoreCompleted(wave);
	} else {
		this->desk.Restore(wave, BoxName(std::string(rest + 1, end)));
	}
}

void FleetOwner::Lose()
{
	if (std::exchange(this->lost, true)) {
		return;
	}
	this->parts.events.Write("fleet_lost", {{"fence", std::to_string(this->fence.Value())}});
	if (this->on_lost) {
		this->on_lost();
	}
}

void FleetOwner::OnWave(const WaveOrder &wave)
{
	this->desk.Add(wave, this->parts.scheduler.Now());
}

void FleetOwner::Release(const std::function<void()> &done)
{
	this->parts.scheduler.Cancel(this->timer);
	this->claim.reset();
	if (std::exchange(this->lost, true) || !this->journal) {
		done();
		return;
	}
	this->parts.events.Write("fleet_released", {{"fence", std::to_string(this->fence.Value())}});
	this->journal->on_superseded = done;
	std::vector<KeyedRecord> records = this->turns.Release(this->parts.scheduler.Now());
	records.push_back(
			KeyedRecord{OWNER_KEY, EncodeOwner(StoredOwner{this->epoch, this->parts.address, true, Millis(0)})});
	this->journal->Append(std::move(records), done);
}

void FleetOwner::Tick()
{
	if (this->lost) {
		return;
	}
	this->timer = this->parts.scheduler.After(TICK, [this] { this->Tick(); });
	if (this->pending == 0) {
		this->Look();
	} else {
		this->KeepConfirmed();
	}
}

void FleetOwner::KeepConfirmed()
{
	if (this->journal->IdleFor(CONFIRM_EVERY)) {
		const StoredOwner self{this->epoch, this->parts.address, false, Millis(0)};
		this->journal->Append({KeyedRecord{OWNER_KEY, EncodeOwner(self)}}, [] {
			/* Nothing waits for it: it shows that this holder lives, or that there is another one. */
		});
	}
}

PoolRequest FleetOwner::RequestFor(const ServiceName &pool) const
{
	const auto of = [&pool](const std::map<ServiceName, std::set<BoxName>> &all) {
		const auto it = all.find(pool);
		return it == all.end() ? std::set<BoxName>() : it->second;
	};
	return PoolRequest{of(this->actions.drain), of(this->actions.due), this->lives.EndedIn(pool),
					   this->ledger.LoanOf(pool)};
}

void FleetOwner::Look()
{
	this->lives.RecordKnown(this->view.pools);
	this->view.pools.clear();
	this->view.reserves.clear();
	this->pending = 1;
	for (const JobService &service : this->config.services) {
		if (service.reserve) {
			this->view.reserves.insert(service.name);
			continue;
		}
		this->pending++;
		this->parts.pools.Ask(service.name, this->RequestFor(service.name),
							  [this, name = service.name,
							   still = std::weak_ptr<bool>(this->alive)](const std::optional<PoolStatus> &status) {
								  if (still.expired()) {
									  return;
								  }
								  if (status) {
									  this->ledger.ApplyReport(name, status->shares);
									  this->view.pools[name] = *status;
								  }
								  this->Answered();
							  });
	}
	this->parts.machines.List(
			[this, still = std::weak_ptr<bool>(this->alive)](ResultCode code, const std::vector<MachineRow> &rows) {
				if (!still.expired()) {
					this->OnMachines(code, rows);
				}
			});
}

void FleetOwner::OnMachines(ResultCode code, const std::vector<MachineRow> &rows)
{
	if (code == ResultCode::RC_OK) {
		this->view.machines = rows;
		/* Their owners hear of ended lives at once: what ran there waits for it. */
		for (const ServiceName &pool : this->lives.Update(rows, this->parts.scheduler.Now())) {
			this->parts.pools.Ask(pool, this->RequestFor(pool), [](const std::optional<PoolStatus> &) {
				/* The next look asks again. */
			});
		}
	} else {
		/* Decisions on an old list would miss boxes that have come back or gone: none are made this time. */
		this->view.machines.clear();
	}
	this->Answered();
}

void FleetOwner::Answered()
{
	if (--this->pending > 0) {
		return;
	}
	this->Lend();
	if (!this->view.machines.empty()) {
		this->Act();
	}
	/* Behind the orders: their record doesn't wait for this one. */
	this->KeepConfirmed();
}

void FleetOwner::Configure(const JobConfig &config)
{
	this->config = config;
	std::vector<ServiceName> services;
	for (const JobService &it : config.services) {
		if (!it.reserve) {
			services.push_back(it.name);
		}
	}
	this->ledger.Configure(std::move(services));
}

void FleetOwner::Lend()
{
	if (this->lending) {
		return; /* What was decided before is neither lent nor free yet. */
	}
	std::vector<KeyedRecord> records = this->ledger.Decide();
	if (records.empty()) {
		this->ledger.Commit();
		return;
	}
	this->lending = true;
	this->journal->Append(std::move(records), [this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->lending = false;
			this->ledger.Commit();
		}
	});
}

void FleetOwner::NotePools() const
{
	for (const auto &[service, pool] : this->view.pools) {
		int64_t used = 0;
		int64_t cpu = 0;
		std::ranges::for_each(pool.boxes, [&](const PoolBox &it) {
			used += it.used_cpu;
			cpu += it.placing ? it.cpu : 0;
		});
		this->parts.events.Write("pool", {{"service", service.Value()},
										  {"boxes", std::to_string(pool.boxes.size())},
										  {"placing_cpu", std::to_string(cpu)},
										  {"used_cpu", std::to_string(used)},
										  {"waiting_cpu", std::to_string(pool.waiting_cpu)}});
	}
}

void FleetOwner::Act()
{
	const Millis now = this->parts.scheduler.Now();
	this->NotePools();
	this->desk.SetExcluded(this->movers.Taken());
	this->actions = this->desk.Decide(this->view, now);
	const PoolActions moves = this->movers.Decide(this->view, this->desk.Taken(), now);
	for (const auto &[pool, boxes] : moves.drain) {
		this->actions.drain[pool].insert(boxes.begin(), boxes.end());
	}
	std::vector<PlannedOrder> planned;
	for (const auto &[box, wave] : this->actions.maintain) {
		this->Plan(planned, box, wave, ServiceName());
	}
	for (const PoolMove &it : moves.moves) {
		this->Plan(planned, it.box, std::nullopt, it.to);
	}
	const bool tidy = this->turns.HasExpired(now) && !this->journal->Busy();
	if (!this->recording && (!planned.empty() || tidy)) {
		this->Record(planned);
	}
	std::ranges::for_each(this->actions.completed, [this](uint64_t wave) { this->Publish(wave, true); });
}

void FleetOwner::Plan(std::vector<PlannedOrder> &planned, const BoxName &box, std::optional<uint64_t> wave,
					  const ServiceName &to) const
{
	const auto row = std::ranges::find(this->view.machines, box, &MachineRow::box);
	if (row != this->view.machines.end() && this->turns.MayOrder(box, this->parts.scheduler.Now())) {
		planned.push_back(PlannedOrder{*row, wave, to});
	}
}

void FleetOwner::Record(const std::vector<PlannedOrder> &planned)
{
	std::set<BoxName> boxes;
	std::ranges::for_each(planned, [&boxes](const PlannedOrder &it) { boxes.insert(it.row.box); });
	const Millis sent = this->parts.scheduler.Now();
	this->recording = true;
	this->journal->Append(
			this->turns.RecordOrders(boxes, sent), [this, planned, sent, still = std::weak_ptr<bool>(this->alive)] {
				if (still.expired()) {
					return;
				}
				this->recording = false;
				const Millis took = this->parts.scheduler.Now() - sent;
				if (this->lost || took > CONFIRM_FOR) {
					/* Another holder may give orders by now. They are decided anew. */
					this->parts.events.Write("orders_too_late", {{"orders", std::to_string(planned.size())},
																 {"took_ms", std::to_string(took.Value())}});
					return;
				}
				for (const PlannedOrder &it : planned) {
					if (it.wave) {
						this->Maintain(it.row, *it.wave);
					} else {
						this->Move(it.row, it.to);
					}
				}
			});
}

void FleetOwner::Move(const MachineRow &row, const ServiceName &to)
{
	const PoolMove move{row.box, to};
	this->movers.RecordOrder(move, this->parts.scheduler.Now());
	this->parts.events.Write("move_ordered", {{"box", move.box.Value()},
											  {"from", row.pool.Value()},
											  {"to", move.to.Value()},
											  {"fence", std::to_string(this->fence.Value())}});
	this->parts.machines.Move(
			move.box, move.to, ControlLease{this->parts.name, this->fence},
			[this, move, from = row.pool, still = std::weak_ptr<bool>(this->alive)](ControlOutcome outcome) {
				if (still.expired()) {
					return;
				}
				this->movers.RecordOutcome(move, from, outcome);
				if (outcome != ControlOutcome::CO_DONE) {
					this->parts.events.Write("not_moved", {{"box", move.box.Value()},
														   {"outcome", std::to_string(static_cast<int>(outcome))}});
				}
				if (outcome == ControlOutcome::CO_FENCED) {
					this->Lose();
				}
			});
}

void FleetOwner::Maintain(const MachineRow &row, uint64_t wave)
{
	this->desk.RecordOrder(row.box, wave, row.id, this->parts.scheduler.Now());
	this->parts.events.Write("maintenance_ordered", {{"box", row.box.Value()},
													 {"wave", std::to_string(wave)},
													 {"pool", row.pool.Value()},
													 {"fence", std::to_string(this->fence.Value())}});
	this->parts.machines.Maintain(
			row.box, wave, ControlLease{this->parts.name, this->fence},
			[this, box = row.box, wave, still = std::weak_ptr<bool>(this->alive)](ControlOutcome outcome) {
				if (!still.expired()) {
					this->OnMaintained(box, wave, outcome);
				}
			});
}

void FleetOwner::OnMaintained(const BoxName &box, uint64_t wave, ControlOutcome outcome)
{
	this->desk.RecordOutcome(box, wave, outcome);
	if (outcome == ControlOutcome::CO_DONE) {
		this->journal->Append({KeyedRecord{KeyOf(wave, box), std::string("1")}}, [] {
			/* Nothing waits for it: without the record, the next owner only asks once more. */
		});
		return;
	}
	this->parts.events.Write("maintenance_not_begun",
							 {{"box", box.Value()}, {"outcome", std::to_string(static_cast<int>(outcome))}});
	if (outcome == ControlOutcome::CO_FENCED) {
		this->Lose();
	}
}

void FleetOwner::Publish(uint64_t wave, bool completed)
{
	if (!this->publishing.insert(wave).second) {
		return;
	}
	this->parts.reports.Publish(wave, completed, [this, wave, still = std::weak_ptr<bool>(this->alive)](bool done) {
		if (still.expired()) {
			return;
		}
		if (!done) {
			this->parts.scheduler.After(PUBLISH_AGAIN, [this, wave, still] {
				if (!still.expired()) {
					this->publishing.erase(wave);
				}
			});
			return;
		}
		this->parts.events.Write("wave_completed", {{"wave", std::to_string(wave)}});
		this->desk.MarkReported(wave);
		this->journal->Append({KeyedRecord{std::to_string(wave), std::string("completed")}}, [] {
			/* Nothing waits for it: without the record, the next owner reports once more. */
		});
	});
}
