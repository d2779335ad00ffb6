/** @file pool_balancer.cpp Decides on moves of boxes between pools and the reserve. */
#include "pool_balancer.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr double GROWTH_WEIGHT = 0.5; ///< Weight of the newest change of demand: about two decisions count.

} // namespace

double PoolBalancer::MeanBoxCpu(const FleetView &view)
{
	int64_t all = 0;
	std::ranges::for_each(view.machines, [&all](const MachineRow &it) { all += it.capacity.cpu; });
	return std::max(static_cast<double>(all) / static_cast<double>(std::max<size_t>(view.machines.size(), 1)), 1.0);
}

bool PoolBalancer::Kept(const PendingMove &move, const MachineRow &row, const FleetView &view, const FleetIndex &index,
						Millis now) const
{
	if (row.state != MachineState::MS_UP || view.evacuated.Contains(row.zone)) {
		return false;
	}
	const Millis age = now - move.since;
	if (view.reserves.contains(row.pool)) {
		return age <= this->limits.order_timeout;
	}
	const bool order_possible = move.decided && now - *move.decided <= this->limits.drain.order_within;
	return order_possible || DrainGoesOn(index.FindBox(row), age, this->limits.drain);
}

void PoolBalancer::DropEndedMoves(const FleetView &view, const FleetIndex &index, Millis now)
{
	std::erase_if(this->pending_moves, [&](const auto &it) {
		const MachineRow *row = index.FindMachine(it.first);
		const PendingMove &move = it.second;
		if (row == nullptr || (row->pool == move.to && row->state == MachineState::MS_UP)) {
			return true;
		}
		if (move.ordered) {
			return now - move.since > this->limits.move_timeout;
		}
		const bool kept = this->Kept(move, *row, view, index, now);
		this->drains.cancelled += !kept && move.drained ? 1 : 0;
		return !kept;
	});
}

std::set<BoxName> PoolBalancer::Taken() const
{
	std::set<BoxName> out;
	std::ranges::copy(this->pending_moves | std::views::keys, std::inserter(out, out.end()));
	return out;
}

double PoolBalancer::ExpectedDemand(const ServiceName &pool, double cpu, Millis now)
{
	DemandTrend &trend = this->demand.try_emplace(pool, DemandTrend{now, 0, {}, 0, {}}).first->second;
	if (!trend.samples.empty() && now > trend.samples.back().at) {
		const DemandSample &last = trend.samples.back();
		const auto span = static_cast<double>((now - last.at).Value());
		trend.growth += GROWTH_WEIGHT * ((cpu - last.cpu) / span - trend.growth);
	}
	trend.samples.push_back(DemandSample{now, cpu});
	while (now - trend.samples.front().at > this->limits.rise_window) {
		trend.samples.pop_front();
	}
	trend.lowest = std::ranges::min(trend.samples, {}, &DemandSample::cpu).cpu;
	/* What was there before the first decision isn't known: all of the demand counts as a rise. */
	const bool first = trend.since == now;
	this->RecordRise(trend, DemandSample{now, first ? cpu : cpu - trend.lowest});
	return cpu + std::max(trend.growth, 0.0) * static_cast<double>(this->limits.growth_horizon.Value());
}

void PoolBalancer::RecordRise(DemandTrend &trend, DemandSample rise) const
{
	while (!trend.rises.empty() && trend.rises.back().cpu <= rise.cpu) {
		trend.rises.pop_back(); /* With less than a later one, it can't be the maximum any more. */
	}
	trend.rises.push_back(rise);
	while (rise.at - trend.rises.front().at > this->limits.demand_window) {
		trend.rises.pop_front();
	}
}

int64_t PoolBalancer::FloorOf(const FleetView &view) const
{
	int64_t all = 0;
	std::ranges::for_each(view.machines, [&all](const MachineRow &it) { all += it.capacity.cpu; });
	const auto pools = static_cast<double>(view.pools.size() + view.reserves.size());
	return static_cast<int64_t>(static_cast<double>(all) / std::max(pools, 1.0) * this->limits.floor_share);
}

PoolBalancer::Balance PoolBalancer::BalanceOf(const ServiceName &pool, const PoolStatus &status,
											  const FleetIndex &index, const std::set<BoxName> &taken)
{
	Balance balance;
	balance.pool = pool;
	for (const PoolBox &box : status.boxes) {
		/* The pool's owner may still report a box that has already moved away. */
		const MachineRow *row = index.FindMachine(box.box);
		const bool here = row != nullptr && row->pool == pool && row->id == box.incarnation.id;
		if (here && box.placing && !this->pending_moves.contains(box.box) && !taken.contains(box.box)) {
			balance.have += box.cpu;
			if (box.tasks == 0) {
				balance.empty.push_back(&box);
			} else if (MayDrain(box, status.boxes.size(), this->limits.drain)) {
				balance.drainable.push_back(&box);
			}
		}
	}
	SortForDraining(balance.drainable);
	for (const auto &[box, pending_move] : this->pending_moves) {
		const MachineRow *row = index.FindMachine(box);
		balance.have += pending_move.to == pool && row != nullptr ? row->capacity.cpu : 0;
	}
	return balance;
}

std::vector<PoolBalancer::Balance> PoolBalancer::ComputeBalances(const FleetView &view, const FleetIndex &index,
																 const std::set<BoxName> &taken, Millis now)
{
	std::vector<Balance> out;
	const double box_cpu = MeanBoxCpu(view);
	for (const auto &[service, status] : view.pools) {
		Balance balance = this->BalanceOf(service, status, index, taken);
		int64_t used = 0;
		int64_t late = 0;
		for (const PoolBox &it : status.boxes) {
			used += it.used_cpu - it.late_cpu;
			late += it.late_cpu;
		}
		const double base_demand =
				static_cast<double>(used) + static_cast<double>(status.waiting_cpu) * this->limits.waiting_weight;
		const double headroom = static_cast<double>(used) * (this->limits.headroom_factor - 1.0);
		balance.want = std::max(static_cast<int64_t>(this->ExpectedDemand(service, base_demand, now) + headroom),
								this->FloorOf(view));
		balance.late = late + status.late_cpu;
		balance.peak = this->PeakOf(service, box_cpu, now);
		this->ObserveDemand(status, balance, view, now);
		out.push_back(std::move(balance));
	}
	return out;
}

void PoolBalancer::BeginMove(const BoxName &box, const ServiceName &to, Millis now)
{
	this->pending_moves[box] = PendingMove{to, now, false};
}

bool PoolBalancer::CanDonate(const Balance &donor, const Balance &receiver, const PoolBox &box)
{
	/* Jobs that can't be on time any more only use what is left: the donor's hold back no box from jobs that can be on
	 * time, and the receiver's get no box that the donor needs for its own. */
	const bool on_time = receiver.have < receiver.want;
	return donor.have - box.cpu >= donor.want + (on_time ? 0 : donor.late);
}

void PoolBalancer::TakeBoxes(Balance &donor, std::vector<const PoolBox *> &boxes, Balance &receiver, int64_t limit,
							 Millis now)
{
	while (!boxes.empty() && receiver.have < limit && CanDonate(donor, receiver, *boxes.back())) {
		const PoolBox *box = boxes.back();
		boxes.pop_back();
		this->BeginMove(box->box, receiver.pool, now);
		this->pending_moves[box->box].on_time = receiver.have < receiver.want;
		donor.have -= box->cpu;
		receiver.have += box->cpu;
	}
}

void PoolBalancer::TakeFromReserve(Balance &receiver, int64_t wanted, const FleetView &view,
								   const std::set<BoxName> &taken, Millis now)
{
	for (const MachineRow &row : view.machines) {
		if (receiver.have >= wanted) {
			return;
		}
		const bool free = view.reserves.contains(row.pool) && row.state == MachineState::MS_UP &&
						  !view.evacuated.Contains(row.zone) && !taken.contains(row.box) &&
						  !this->pending_moves.contains(row.box) &&
						  !this->incompatible_pools.contains({row.pool, receiver.pool});
		if (free) {
			this->BeginMove(row.box, receiver.pool, now);
			receiver.have += row.capacity.cpu;
		}
	}
}

void PoolBalancer::CoverShortage(Balance &receiver, std::vector<Balance> &all, const FleetView &view,
								 const std::set<BoxName> &taken, Millis now)
{
	/* Boxes of a reserve first, as they run no tasks. */
	this->TakeFromReserve(receiver, receiver.want + receiver.late, view, taken, now);
	for (Balance &donor : all) {
		if (donor.pool != receiver.pool && !this->incompatible_pools.contains({donor.pool, receiver.pool})) {
			this->TakeBoxes(donor, donor.empty, receiver, receiver.want + receiver.late, now);
		}
	}
	for (Balance &donor : all) {
		const bool on_time = receiver.have < receiver.want;
		if (on_time && donor.pool != receiver.pool && !this->incompatible_pools.contains({donor.pool, receiver.pool})) {
			this->TakeBoxes(donor, donor.drainable, receiver, receiver.want, now);
		}
	}
}

std::optional<PoolBalancer::ExpectedPeak> PoolBalancer::PeakOf(const ServiceName &pool, double box_cpu,
															   Millis now) const
{
	const auto it = this->demand.find(pool);
	if (it == this->demand.end() || it->second.samples.empty()) {
		return std::nullopt;
	}
	const DemandTrend &trend = it->second;
	const double present = trend.samples.back().cpu;
	const double peak = trend.lowest + trend.rises.front().cpu;
	const double safety = RandomVariationOf(std::max(present, peak), box_cpu, this->limits.safety_factor);
	/* While its demand rises, or stays near the highest seen, the pool may not have seen its peak yet. A pool without
	 * demand keeps its minimum only. */
	const bool known = now - trend.since >= this->limits.demand_window || peak - present >= safety;
	return known ? std::optional(ExpectedPeak{static_cast<int64_t>(peak), static_cast<int64_t>(safety)}) : std::nullopt;
}

void PoolBalancer::MoveToReserve(Balance &source, const FleetView &view, Millis now)
{
	if (view.reserves.empty() || !source.peak) {
		return;
	}
	const int64_t kept =
			std::max({source.peak->cpu + source.peak->safety, source.want + source.late, source.forecast_max});
	/* A move there and back costs more than a few boxes that stay idle: none is released until there are many. */
	if (source.have - kept < source.peak->safety) {
		return;
	}
	const ServiceName reserve = *view.reserves.begin();
	const auto boxes = static_cast<double>(view.pools.at(source.pool).boxes.size());
	const auto most = std::max<size_t>(1, static_cast<size_t>(boxes * this->limits.release_share));
	size_t begun = 0;
	while (begun < most && !source.empty.empty() && source.have - source.empty.back()->cpu >= kept &&
		   !this->incompatible_pools.contains({source.pool, reserve})) {
		source.have -= source.empty.back()->cpu;
		this->BeginMove(source.empty.back()->box, reserve, now);
		source.empty.pop_back();
		begun++;
	}
}

PoolActions PoolBalancer::Decide(const FleetView &view, const std::set<BoxName> &taken, Millis now)
{
	const FleetIndex index(view);
	this->DropEndedMoves(view, index, now);
	std::vector<Balance> all = this->ComputeBalances(view, index, taken, now);
	/* The pool with the largest shortage first. */
	std::ranges::sort(all, std::ranges::greater{}, [](const Balance &it) { return it.want - it.have; });
	for (Balance &it : all) {
		if (it.have < it.want + it.late) {
			const int64_t before = it.have;
			this->CoverShortage(it, all, view, taken, now);
			if (it.have > before && this->forecast.PeakIsOver(it.pool)) {
				this->short_in_turn[it.pool] = this->forecast.Turn();
			}
		}
	}
	if (this->limits.spread_share > 0) {
		this->ApplyForecast(all, view, now);
		this->SpreadIdle(all, now);
	}
	for (Balance &it : all) {
		if (it.peak && !it.gives_idle) {
			/* Half of the safety, so that no box is fetched that is released soon. */
			this->TakeFromReserve(it, it.peak->cpu + it.peak->safety / 2, view, taken, now);
		}
		this->MoveToReserve(it, view, now);
	}
	return this->ActionsOf(view, index, now);
}

PoolActions PoolBalancer::ActionsOf(const FleetView &view, const FleetIndex &index, Millis now)
{
	PoolActions actions;
	for (auto &[box, pending_move] : this->pending_moves) {
		const MachineRow *row = index.FindMachine(box);
		if (pending_move.ordered || row == nullptr) {
			continue;
		}
		if (view.reserves.contains(row->pool)) {
			actions.moves.push_back(PoolMove{box, pending_move.to});
			continue;
		}
		actions.drain[row->pool].insert(box);
		if (pending_move.on_time) {
			actions.give_way[row->pool].insert(box);
		}
		this->drains.begun += std::exchange(pending_move.drained, true) ? 0 : 1;
		const PoolBox *status = index.FindBox(*row);
		const bool in_time = now - pending_move.since <= this->limits.drain.longest;
		if (status != nullptr && status->tasks == 0 && !status->placing && in_time) {
			pending_move.decided = now;
			actions.moves.push_back(PoolMove{box, pending_move.to});
		}
	}
	return actions;
}

void PoolBalancer::RecordOrder(const PoolMove &move, Millis now)
{
	PendingMove &pending_move = this->pending_moves[move.box];
	this->drains.ended += pending_move.drained ? 1 : 0;
	pending_move = PendingMove{move.to, now, true};
}

void PoolBalancer::RecordOutcome(const PoolMove &move, const ServiceName &from, ControlOutcome outcome)
{
	if (outcome == ControlOutcome::CO_REJECTED) {
		this->incompatible_pools.emplace(from, move.to);
	}
	const bool in_progress = outcome == ControlOutcome::CO_DONE || outcome == ControlOutcome::CO_UNKNOWN;
	if (!in_progress) {
		this->pending_moves.erase(move.box);
	}
}
