/** @file fleet_owner.cpp The fleet owner: polls the fleet, records orders to machines and sends them. */
#include "fleet_owner.h"

#include "../store/owner_record.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace {

/** Minimum time between the starts of two polls of the fleet: a poll starts once the one before is answered. A box that
 * is moved or taken down is unavailable for at least 1.5 s. */
constexpr Millis POLL_INTERVAL(200);
/** After this time without any record the owner writes its own record, which shows watching nodes that it is alive. It
 * checks this after each poll and, while a poll is unanswered, every POLL_INTERVAL. With fast answers and appends, at
 * most 0.35 s pass between two records (this time plus POLL_INTERVAL). */
constexpr Millis CONFIRM_INTERVAL(150);
constexpr Millis MAX_RECORD_TIME(900); ///< Orders whose record took longer are dropped; a slow log takes 500 ms.
/** Added to FleetOwnerContext::turn_gap, as OrderLog counts from the start of an append: an order may be sent
 * MAX_RECORD_TIME after it. The other 400 ms are for the call to machine control that carries the order. */
constexpr Millis ORDER_GAP_MARGIN(1300);
constexpr Millis PUBLISH_RETRY_DELAY(500); ///< Delay before a report that wasn't published is retried.

/** Holds the records of OrderLog, ShareLedger and DemandForecast, the owner's (OWNER_KEY), "<wave>/<box>" once
 * maintenance of a box has begun, and "<wave>" once the report of a completed wave was published. */
const PartitionId FLEET_PARTITION{"keyed.fleet", 0};

/** @return Key of the record that maintenance of a box has begun. @param wave Number of the wave. @param box Name of
 * the box. */
std::string MaintenanceKey(uint64_t wave, const BoxName &box)
{
	return std::to_string(wave) + "/" + box.Value();
}

PoolLimits LimitsOf(const FleetOwnerContext &context)
{
	PoolLimits limits;
	limits.spread_share = context.spread_share;
	return limits;
}

} // namespace

FleetOwner::FleetOwner(const FleetOwnerContext &context)
		: context(context), wave_planner(WaveLimits{}), pool_balancer(LimitsOf(context)),
		  recent_orders(context.turn_gap + ORDER_GAP_MARGIN)
{
}

FleetOwner::~FleetOwner()
{
	this->context.scheduler.Cancel(this->timer);
}

void FleetOwner::Start()
{
	this->claim = std::make_unique<PartitionClaim>(
			this->context.scheduler, this->context.log, this->context.events,
			ClaimSpec{this->context.address, FLEET_PARTITION, this->context.group, this->context.should_claim, true,
					  this->context.should_watch, this->context.expects_release, this->context.vacancy_wait});
	this->claim->Start([this](const ClaimedPartition &claimed) { this->OnClaimed(claimed); });
}

void FleetOwner::OnClaimed(const ClaimedPartition &claimed)
{
	std::ranges::for_each(claimed.records, [this](const auto &it) { this->Restore(it.first, it.second); });
	std::ranges::for_each(claimed.spare, [this](const auto &it) { this->Restore(it.first, it.second); });
	this->epoch = claimed.number.epoch;
	this->fence = FenceToken(claimed.number.epoch);
	this->ledger.Begin(this->epoch);
	this->journal = std::make_unique<PairedJournal>(this->context.scheduler, this->context.log, this->context.events,
													JournalPair{FLEET_PARTITION, SparePartitionOf(FLEET_PARTITION),
																[](const std::string &key) {
																	return SpareKey{key, key != OWNER_KEY};
																}},
													claimed.number);
	this->journal->on_superseded = [this] { this->EndOwnership(); };
	this->Tick();
}

void FleetOwner::Restore(const std::string &key, const std::string &value)
{
	if (OrderLog::IsOrderKey(key)) {
		this->recent_orders.RestoreOrder(key, value, this->context.scheduler.Now());
		return;
	}
	if (ShareLedger::IsLedgerKey(key)) {
		if (!this->ledger.Restore(key, value)) {
			this->context.events.Write("bad_record", {{"topic", FLEET_PARTITION.topic}, {"key", key}});
		}
		return;
	}
	if (DemandForecast::IsForecastKey(key)) {
		if (!this->pool_balancer.Forecast().Restore(value)) {
			this->context.events.Write("bad_record", {{"topic", FLEET_PARTITION.topic}, {"key", key}});
		}
		return;
	}
	uint64_t wave = 0;
	const char *end = key.data() + key.size();
	const auto [rest, ec] = std::from_chars(key.data(), end, wave);
	if (ec != std::errc() || (rest != end && *rest != '/')) {
		this->context.events.Write("bad_record", {{"topic", FLEET_PARTITION.topic}, {"key", key}});
	} else if (rest == end) {
		this->wave_planner.RestoreCompleted(wave);
	} else {
		this->wave_planner.Restore(wave, BoxName(std::string(rest + 1, end)));
	}
}

void FleetOwner::EndOwnership()
{
	if (std::exchange(this->ownership_ended, true)) {
		return;
	}
	this->context.events.Write("fleet_lost", {{"fence", std::to_string(this->fence.Value())}});
	if (this->on_lost) {
		this->on_lost();
	}
}

void FleetOwner::OnWave(const WaveOrder &wave)
{
	this->wave_planner.Add(wave, this->context.scheduler.Now());
}

void FleetOwner::CheckNow()
{
	if (this->claim) {
		this->claim->CheckNow();
	}
}

void FleetOwner::Release(const std::function<void()> &done, const std::string &successor)
{
	this->context.scheduler.Cancel(this->timer);
	this->claim.reset();
	if (std::exchange(this->ownership_ended, true) || !this->journal) {
		done();
		return;
	}
	this->context.events.Write("fleet_released", {{"fence", std::to_string(this->fence.Value())}});
	this->journal->on_superseded = done;
	std::vector<KeyedRecord> records = this->recent_orders.Release(this->context.scheduler.Now());
	records.push_back(KeyedRecord{
			OWNER_KEY, EncodeOwner(StoredOwner{this->epoch, this->context.address, true, Millis(0), successor})});
	this->journal->Append(std::move(records), done);
}

void FleetOwner::Tick()
{
	if (this->ownership_ended) {
		return;
	}
	this->timer = this->context.scheduler.After(POLL_INTERVAL, [this] { this->Tick(); });
	if (this->pending_answers == 0) {
		this->Poll();
	} else {
		this->ConfirmOwnership();
	}
}

void FleetOwner::ConfirmOwnership()
{
	if (this->journal->IdleFor(CONFIRM_INTERVAL)) {
		const StoredOwner self{this->epoch, this->context.address, false, Millis(0)};
		this->journal->Append({KeyedRecord{OWNER_KEY, EncodeOwner(self)}}, [] {
			/* Nothing waits for this record. It shows that this owner is alive. When a later owner has claimed the
			 * fleet, the log refuses it and the journal calls on_superseded. */
		});
	}
}

PoolRequest FleetOwner::RequestFor(const ServiceName &pool) const
{
	const auto boxes_of = [&pool](const std::map<ServiceName, std::set<BoxName>> &all) {
		const auto it = all.find(pool);
		return it == all.end() ? std::set<BoxName>() : it->second;
	};
	return PoolRequest{boxes_of(this->actions.drain), boxes_of(this->actions.due), this->incarnations.EndedIn(pool),
					   this->ledger.LoanOf(pool), boxes_of(this->give_way)};
}

void FleetOwner::Poll()
{
	this->incarnations.RecordKnown(this->view.pools);
	this->view.pools.clear();
	this->view.reserves.clear();
	this->pending_answers = 1; /* The list of machines; one is added for each pool. */
	for (const JobService &service : this->config.services) {
		if (service.reserve) {
			this->view.reserves.insert(service.name);
			continue;
		}
		this->pending_answers++;
		this->context.pools.Ask(service.name, this->RequestFor(service.name),
								[this, name = service.name, weak_alive = std::weak_ptr<bool>(this->alive)](
										const std::optional<PoolStatus> &status) {
									if (weak_alive.expired()) {
										return;
									}
									if (status) {
										this->ledger.ApplyReport(name, status->shares);
										this->view.pools[name] = *status;
									}
									this->OnPollAnswer();
								});
	}
	this->context.machines.List([this, weak_alive = std::weak_ptr<bool>(this->alive)](
										ResultCode code, const std::vector<MachineRow> &rows) {
		if (!weak_alive.expired()) {
			this->OnMachines(code, rows);
		}
	});
}

void FleetOwner::OnMachines(ResultCode code, const std::vector<MachineRow> &rows)
{
	if (code == ResultCode::RC_OK) {
		this->view.machines = rows;
		/* Report ended incarnations to the pools' owners at once: otherwise the tasks that ran there aren't placed
		 * again before the box is back or its lease has expired. */
		for (const ServiceName &pool : this->incarnations.Update(rows, this->context.scheduler.Now())) {
			this->context.pools.Ask(pool, this->RequestFor(pool), [](const std::optional<PoolStatus> &) {
				/* The status is ignored, and the next poll reports the incarnations again. */
			});
		}
	} else {
		/* Without a list this poll decides nothing: in an old one, machines that have come back or gone down since
		 * would have the wrong state. */
		this->view.machines.clear();
	}
	this->OnPollAnswer();
}

void FleetOwner::OnPollAnswer()
{
	if (--this->pending_answers > 0) {
		return;
	}
	this->LendShares();
	if (!this->view.machines.empty()) {
		this->DecideAndOrder();
	}
	/* Called after DecideAndOrder(), as a record of orders would have to wait for this one. */
	this->ConfirmOwnership();
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

void FleetOwner::LendShares()
{
	if (this->lending) {
		return; /* Until the previous decision is recorded, its shares are neither lent nor free for a new one. */
	}
	std::vector<KeyedRecord> records = this->ledger.Decide();
	if (records.empty()) {
		this->ledger.Commit();
		return;
	}
	this->lending = true;
	this->journal->Append(std::move(records), [this, weak_alive = std::weak_ptr<bool>(this->alive)] {
		if (!weak_alive.expired()) {
			this->lending = false;
			this->ledger.Commit();
		}
	});
}

void FleetOwner::RecordForecast()
{
	if (this->context.spread_share <= 0) {
		return;
	}
	if (this->recording_forecast) {
		return; /* What is learned meanwhile goes into the next record. */
	}
	if (std::optional<KeyedRecord> record = this->pool_balancer.Forecast().TakeRecord(); record) {
		this->recording_forecast = true;
		this->journal->Append({std::move(*record)}, [this, weak_alive = std::weak_ptr<bool>(this->alive)] {
			if (!weak_alive.expired()) {
				this->recording_forecast = false;
			}
		});
	}
}

void FleetOwner::LogPools() const
{
	for (const auto &[service, pool] : this->view.pools) {
		int64_t used = 0;
		int64_t cpu = 0;
		std::ranges::for_each(pool.boxes, [&](const PoolBox &it) {
			used += it.used_cpu;
			cpu += it.placing ? it.cpu : 0;
		});
		this->context.events.Write("pool", {{"service", service.Value()},
											{"boxes", std::to_string(pool.boxes.size())},
											{"placing_cpu", std::to_string(cpu)},
											{"used_cpu", std::to_string(used)},
											{"waiting_cpu", std::to_string(pool.waiting_cpu)}});
	}
}

void FleetOwner::LogDrains()
{
	const DrainCounters &drains = this->pool_balancer.Drains();
	if (drains != std::exchange(this->drains_logged, drains)) {
		this->context.events.Write("drains", {{"begun", std::to_string(drains.begun)},
											  {"ended", std::to_string(drains.ended)},
											  {"cancelled", std::to_string(drains.cancelled)}});
	}
}

void FleetOwner::DecideAndOrder()
{
	const Millis now = this->context.scheduler.Now();
	this->LogPools();
	/* Neither planner chooses a box that the other one has taken. */
	this->wave_planner.SetExcluded(this->pool_balancer.Taken());
	this->actions = this->wave_planner.Decide(this->view, now);
	const PoolActions moves = this->pool_balancer.Decide(this->view, this->wave_planner.Taken(), now);
	for (const auto &[pool, boxes] : moves.drain) {
		this->actions.drain[pool].insert(boxes.begin(), boxes.end());
	}
	this->give_way = moves.give_way;
	this->LogDrains();
	std::vector<PlannedOrder> planned;
	for (const auto &[box, wave] : this->actions.maintain) {
		this->PlanOrder(planned, box, wave, ServiceName());
	}
	for (const PoolMove &it : moves.moves) {
		this->PlanOrder(planned, it.box, std::nullopt, it.to);
	}
	const bool cleanup_due = this->recent_orders.HasExpired(now) && !this->journal->Busy();
	/* Without orders, the records written only remove expired ones. */
	if (!this->recording && (!planned.empty() || cleanup_due)) {
		this->RecordAndSend(planned);
	}
	/* After the orders, which must not wait for this record. */
	this->RecordForecast();
	std::ranges::for_each(this->actions.completed, [this](uint64_t wave) { this->Publish(wave, true); });
}

void FleetOwner::PlanOrder(std::vector<PlannedOrder> &planned, const BoxName &box, std::optional<uint64_t> wave,
						   const ServiceName &to) const
{
	const auto row = std::ranges::find(this->view.machines, box, &MachineRow::box);
	if (row != this->view.machines.end() && this->recent_orders.MayOrder(box, this->context.scheduler.Now())) {
		planned.push_back(PlannedOrder{*row, wave, to});
	}
}

void FleetOwner::RecordAndSend(const std::vector<PlannedOrder> &planned)
{
	std::set<BoxName> boxes;
	std::ranges::for_each(planned, [&boxes](const PlannedOrder &it) { boxes.insert(it.row.box); });
	const Millis append_started = this->context.scheduler.Now();
	this->recording = true;
	this->journal->Append(this->recent_orders.RecordOrders(boxes, append_started),
						  [this, planned, append_started, weak_alive = std::weak_ptr<bool>(this->alive)] {
							  if (weak_alive.expired()) {
								  return;
							  }
							  this->recording = false;
							  const Millis took = this->context.scheduler.Now() - append_started;
							  if (this->ownership_ended || took > MAX_RECORD_TIME) {
								  /* Another owner may give orders by now. Drop these; the next poll decides again. */
								  this->context.events.Write("orders_too_late",
															 {{"orders", std::to_string(planned.size())},
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
	this->pool_balancer.RecordOrder(move, this->context.scheduler.Now());
	this->context.events.Write("move_ordered", {{"box", move.box.Value()},
												{"from", row.pool.Value()},
												{"to", move.to.Value()},
												{"fence", std::to_string(this->fence.Value())}});
	this->context.machines.Move(
			move.box, move.to, ControlLease{this->context.name, this->fence},
			[this, move, from = row.pool, weak_alive = std::weak_ptr<bool>(this->alive)](ControlOutcome outcome) {
				if (weak_alive.expired()) {
					return;
				}
				this->pool_balancer.RecordOutcome(move, from, outcome);
				if (outcome != ControlOutcome::CO_DONE) {
					this->context.events.Write("not_moved", {{"box", move.box.Value()},
															 {"outcome", std::to_string(static_cast<int>(outcome))}});
				}
				if (outcome == ControlOutcome::CO_FENCED) {
					this->EndOwnership();
				}
			});
}

void FleetOwner::Maintain(const MachineRow &row, uint64_t wave)
{
	this->wave_planner.RecordOrder(row.box, wave, row.id, this->context.scheduler.Now());
	this->context.events.Write("maintenance_ordered", {{"box", row.box.Value()},
													   {"wave", std::to_string(wave)},
													   {"pool", row.pool.Value()},
													   {"fence", std::to_string(this->fence.Value())}});
	this->context.machines.Maintain(
			row.box, wave, ControlLease{this->context.name, this->fence},
			[this, box = row.box, wave, weak_alive = std::weak_ptr<bool>(this->alive)](ControlOutcome outcome) {
				if (!weak_alive.expired()) {
					this->OnMaintained(box, wave, outcome);
				}
			});
}

void FleetOwner::OnMaintained(const BoxName &box, uint64_t wave, ControlOutcome outcome)
{
	this->wave_planner.RecordOutcome(box, wave, outcome);
	if (outcome == ControlOutcome::CO_DONE) {
		this->journal->Append({KeyedRecord{MaintenanceKey(wave, box), std::string("1")}}, [] {
			/* Nothing waits for this record. Without it, the next owner orders the maintenance again. */
		});
		return;
	}
	this->context.events.Write("maintenance_not_begun",
							   {{"box", box.Value()}, {"outcome", std::to_string(static_cast<int>(outcome))}});
	if (outcome == ControlOutcome::CO_FENCED) {
		this->EndOwnership();
	}
}

void FleetOwner::Publish(uint64_t wave, bool completed)
{
	if (!this->publishing.insert(wave).second) {
		return;
	}
	this->context.reports.Publish(
			wave, completed, [this, wave, weak_alive = std::weak_ptr<bool>(this->alive)](bool done) {
				if (weak_alive.expired()) {
					return;
				}
				if (!done) {
					this->context.scheduler.After(PUBLISH_RETRY_DELAY, [this, wave, weak_alive] {
						if (!weak_alive.expired()) {
							this->publishing.erase(wave);
						}
					});
					return;
				}
				this->context.events.Write("wave_completed", {{"wave", std::to_string(wave)}});
				this->wave_planner.MarkReported(wave);
				this->journal->Append({KeyedRecord{std::to_string(wave), std::string("completed")}}, [] {
					/* Nothing waits for this record. Without it, the next owner publishes the report again. */
				});
			});
}
