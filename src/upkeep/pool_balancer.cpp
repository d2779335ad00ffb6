/** @file pool_balancer.cpp Moves of boxes between pools and the reserve. */
#include "pool_balancer.h"

#include <algorithm>
#include <ranges>

namespace {

constexpr double GROWTH_WEIGHT = 0.5; ///< Of the newest change in the smoothed one: about two looks count.

} // namespace

void PoolBalancer::NoteArrivals(const FleetIndex &index, Millis now)
{
	std::erase_if(this->leaving, [&](const auto &it) {
		const MachineRow *row = index.Row(it.first);
		const bool gone = row == nullptr;
		const bool there = !gone && row->pool == it.second.to && row->state == MachineState::MS_UP;
		const Millis patience = it.second.ordered ? this->limits.move_within : this->limits.empty_within;
		return gone || there || now - it.second.since > patience;
	});
}

std::set<BoxName> PoolBalancer::Taken() const
{
	std::set<BoxName> out;
	std::ranges::copy(this->leaving | std::views::keys, std::inserter(out, out.end()));
	return out;
}

double PoolBalancer::GrowthOf(const ServiceName &pool, double cpu, Millis now)
{
	const auto [it, first] = this->asked.try_emplace(pool, Asked{now, cpu, 0});
	Asked &last = it->second;
	const auto span = static_cast<double>((now - last.at).Value());
	if (!first && span > 0) {
		last.growth += GROWTH_WEIGHT * ((cpu - last.cpu) / span - last.growth);
		last.at = now;
		last.cpu = cpu;
	}
	return std::max(last.growth, 0.0);
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
		/* The report of a box that has moved away stands for a while. */
		const MachineRow *row = index.Row(box.box);
		const bool here = row != nullptr && row->pool == pool && row->id == box.incarnation.id;
		if (here && box.placing && !this->leaving.contains(box.box) && !taken.contains(box.box)) {
			balance.have += box.cpu;
			if (box.tasks == 0) {
				balance.empty.push_back(&box);
			} else if (box.used_cpu == box.late_cpu) {
				balance.loose.push_back(&box);
			}
		}
	}
	for (const auto &[box, way] : this->leaving) {
		const MachineRow *row = index.Row(box);
		balance.have += way.to == pool && row != nullptr ? row->capacity.cpu : 0;
	}
	return balance;
}

std::vector<PoolBalancer::Balance> PoolBalancer::Balances(const FleetView &view, const FleetIndex &index,
														  const std::set<BoxName> &taken, Millis now)
{
	std::vector<Balance> out;
	for (const auto &[service, status] : view.pools) {
		Balance balance = this->BalanceOf(service, status, index, taken);
		int64_t used = 0;
		int64_t late = 0;
		for (const PoolBox &it : status.boxes) {
			used += it.used_cpu - it.late_cpu;
			late += it.late_cpu;
		}
		const double asks =
				static_cast<double>(used) + static_cast<double>(status.waiting_cpu) * this->limits.waiting_weight;
		const double ahead = this->GrowthOf(service, asks, now) * static_cast<double>(this->limits.ahead.Value());
		const double room = static_cast<double>(used) * (this->limits.used_headroom - 1.0);
		balance.want = std::max(static_cast<int64_t>(asks + ahead + room), this->FloorOf(view));
		balance.late = late + status.late_cpu;
		out.push_back(std::move(balance));
	}
	return out;
}

void PoolBalancer::Choose(const BoxName &box, const ServiceName &to, Millis now)
{
	this->leaving[box] = Leaving{to, now, false};
}

bool PoolBalancer::MayGive(const Balance &other, const Balance &needy, const PoolBox &box)
{
	/* What can't be on time any more is done where there is room: it keeps no box from jobs that can be on time, and
	 * gets none that another pool has use for. */
	const bool on_time = needy.have < needy.want;
	return other.have - box.cpu >= other.want + (on_time ? 0 : other.late);
}

void PoolBalancer::TakeFrom(Balance &other, std::vector<const PoolBox *> &boxes, Balance &needy, Millis now)
{
	while (!boxes.empty() && needy.have < needy.want + needy.late && MayGive(other, needy, *boxes.back())) {
		const PoolBox *box = boxes.back();
		boxes.pop_back();
		other.have -= box->cpu;
		needy.have += box->cpu;
		this->Choose(box->box, needy.pool, now);
	}
}

void PoolBalancer::Supply(Balance &needy, std::vector<Balance> &all, const FleetView &view,
						  const std::set<BoxName> &taken, Millis now)
{
	/* From the reserve first: nobody misses those. */
	for (const MachineRow &row : view.machines) {
		const bool free = view.reserves.contains(row.pool) && row.state == MachineState::MS_UP &&
						  !taken.contains(row.box) && !this->leaving.contains(row.box) &&
						  !this->refused.contains({row.pool, needy.pool});
		if (free && needy.have < needy.want + needy.late) {
			this->Choose(row.box, needy.pool, now);
			needy.have += row.capacity.cpu;
		}
	}
	for (Balance &other : all) {
		if (other.pool != needy.pool && !this->refused.contains({other.pool, needy.pool})) {
			this->TakeFrom(other, other.empty, needy, now);
		}
	}
	for (Balance &other : all) {
		const bool on_time = needy.have < needy.want;
		if (on_time && other.pool != needy.pool && !this->refused.contains({other.pool, needy.pool})) {
			this->TakeFrom(other, other.loose, needy, now);
		}
	}
}

int64_t PoolBalancer::Unneeded(const std::vector<Balance> &all, Millis now)
{
	int64_t have = 0;
	int64_t need = 0;
	for (const Balance &it : all) {
		have += it.have;
		need += it.want + it.late;
	}
	this->watched_since = this->watched_since.value_or(now);
	/* Looks that asked for less than a later one can't be the most any more. */
	while (!this->needs.empty() && this->needs.back().cpu <= need) {
		this->needs.pop_back();
	}
	this->needs.push_back(Need{now, need});
	while (now - this->needs.front().at > this->limits.unneeded_for) {
		this->needs.pop_front();
	}
	const bool known = now - *this->watched_since >= this->limits.unneeded_for;
	return known ? have - this->needs.front().cpu : 0;
}

void PoolBalancer::SendAway(Balance &rich, const FleetView &view, int64_t &unneeded, Millis now)
{
	if (view.reserves.empty()) {
		return;
	}
	const ServiceName reserve = *view.reserves.begin();
	while (!rich.empty.empty() && rich.empty.back()->cpu <= unneeded &&
		   rich.have - rich.empty.back()->cpu >= rich.want + rich.late &&
		   !this->refused.contains({rich.pool, reserve})) {
		rich.have -= rich.empty.back()->cpu;
		unneeded -= rich.empty.back()->cpu;
		this->Choose(rich.empty.back()->box, reserve, now);
		rich.empty.pop_back();
	}
}

PoolActions PoolBalancer::Decide(const FleetView &view, const std::set<BoxName> &taken, Millis now)
{
	const FleetIndex index(view);
	this->NoteArrivals(index, now);
	std::vector<Balance> all = this->Balances(view, index, taken, now);
	/* The neediest first. */
	std::ranges::sort(all, std::ranges::greater{}, [](const Balance &it) { return it.want - it.have; });
	for (Balance &it : all) {
		if (it.have < it.want + it.late) {
			this->Supply(it, all, view, taken, now);
		}
	}
	int64_t unneeded = this->Unneeded(all, now);
	std::ranges::for_each(all, [&](Balance &it) { this->SendAway(it, view, unneeded, now); });
	PoolActions actions;
	for (const auto &[box, way] : this->leaving) {
		const MachineRow *row = index.Row(box);
		if (way.ordered || row == nullptr) {
			continue;
		}
		if (view.reserves.contains(row->pool)) {
			actions.moves.push_back(PoolMove{box, way.to});
			continue;
		}
		actions.drain[row->pool].insert(box);
		const PoolBox *status = index.Status(*row);
		if (status != nullptr && status->tasks == 0 && !status->placing) {
			actions.moves.push_back(PoolMove{box, way.to});
		}
	}
	return actions;
}

void PoolBalancer::RecordOrder(const PoolMove &move, Millis now)
{
	this->leaving[move.box] = Leaving{move.to, now, true};
}

void PoolBalancer::RecordOutcome(const PoolMove &move, const ServiceName &from, ControlOutcome outcome)
{
	if (outcome == ControlOutcome::CO_REJECTED) {
		this->refused.emplace(from, move.to);
	}
	const bool under_way = outcome == ControlOutcome::CO_DONE || outcome == ControlOutcome::CO_UNKNOWN;
	if (!under_way) {
		this->leaving.erase(move.box);
	}
}
