/** @file wave_planner.cpp Decides which boxes of a maintenance wave are drained and taken down next. */
#include "wave_planner.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace {

/** Fraction of a wave's time after which more boxes of a pool may be drained or down at once. */
constexpr double LATE_FRACTION = 2.0 / 3.0;

} // namespace

void WavePlanner::Add(const WaveOrder &order, Millis now)
{
	this->waves.try_emplace(order.number, Wave{order, now});
}

bool WavePlanner::Active() const
{
	return std::ranges::any_of(this->waves | std::views::keys,
							   [this](uint64_t it) { return !this->completed.contains(it); });
}

bool WavePlanner::IsDue(const BoxName &box) const
{
	return std::ranges::any_of(this->waves, [&](const auto &it) {
		const auto done = this->begun.find(it.first);
		const bool begun_there = done != this->begun.end() && done->second.contains(box);
		return !this->completed.contains(it.first) && !begun_there &&
			   std::ranges::count(it.second.order.boxes, box) > 0;
	});
}

void WavePlanner::UpdateDownBoxes(const FleetView &view, const FleetIndex &index, Millis now)
{
	for (auto &[box, down_box] : this->down) {
		const MachineRow *row = index.FindMachine(box);
		down_box.seen_down = down_box.seen_down || (row != nullptr && row->state != MachineState::MS_UP);
	}
	std::erase_if(this->down, [&](const auto &it) {
		const MachineRow *row = index.FindMachine(it.first);
		if (row == nullptr) {
			return true;
		}
		const bool back = row->state == MachineState::MS_UP && (it.second.seen_down || row->id != it.second.id_before);
		/* An order of unknown outcome may never be carried out. After the timeout the box may get another one. */
		return back || (row->state == MachineState::MS_UP && now - it.second.ordered_at > this->limits.down_timeout);
	});
	/* Boxes under maintenance that this owner didn't order down: a previous owner of the fleet may have done so. */
	for (const MachineRow &row : view.machines) {
		if (row.state == MachineState::MS_MAINTENANCE && !this->down.contains(row.box)) {
			for (const auto &[number, wave] : this->waves) {
				if (std::ranges::count(wave.order.boxes, row.box) > 0) {
					this->down[row.box] = DownBox{number, row.id, now, true};
				}
			}
		}
	}
}

size_t WavePlanner::Taken(uint64_t wave) const
{
	const auto draining_count = std::ranges::count(this->draining | std::views::values, wave);
	const auto down_count = std::ranges::count(this->down | std::views::values, wave, &DownBox::wave);
	return static_cast<size_t>(draining_count + down_count);
}

std::map<ServiceName, size_t> WavePlanner::TakenByPool(const FleetView &view, const FleetIndex &index) const
{
	std::map<ServiceName, size_t> out;
	const auto count = [&](const BoxName &it) {
		if (const MachineRow *row = index.FindMachine(it); row != nullptr && !view.evacuated.Contains(row->zone)) {
			out[row->pool]++;
		}
	};
	std::ranges::for_each(this->draining | std::views::keys, count);
	std::ranges::for_each(this->down | std::views::keys, count);
	return out;
}

WaveActions WavePlanner::Decide(const FleetView &view, Millis now)
{
	const FleetIndex index(view);
	this->UpdateDownBoxes(view, index, now);
	WaveActions actions;
	for (const auto &[number, wave] : this->waves) {
		if (!this->completed.contains(number)) {
			this->DecideWave(wave, view, index, now, actions);
		}
	}
	for (const auto &[box, wave] : this->draining) {
		if (const MachineRow *row = index.FindMachine(box); row != nullptr) {
			actions.drain[row->pool].insert(box);
		}
	}
	return actions;
}

std::vector<const MachineRow *> WavePlanner::OpenMachines(const Wave &wave, const FleetIndex &index,
														  WaveActions &actions)
{
	const std::set<BoxName> &done = this->begun[wave.order.number];
	std::vector<const MachineRow *> open;
	size_t left = 0;
	for (const BoxName &box : wave.order.boxes) {
		const MachineRow *row = index.FindMachine(box);
		if (done.contains(box) || row == nullptr) {
			this->draining.erase(box);
			continue;
		}
		left++;
		if (row->state != MachineState::MS_UP) {
			this->draining.erase(box);
		} else if (!this->down.contains(box) && !this->draining.contains(box) && !this->excluded.contains(box)) {
			open.push_back(row);
			actions.due[row->pool].insert(box);
		}
	}
	if (left == 0) {
		actions.completed.push_back(wave.order.number);
	}
	return open;
}

void WavePlanner::BeginDraining(const Wave &wave, const std::vector<const MachineRow *> &open, const FleetView &view,
								const FleetIndex &index, Millis now, WaveActions &actions)
{
	const bool late = now - wave.since >
					  Millis(static_cast<int64_t>(static_cast<double>(wave.order.within.Value()) * LATE_FRACTION));
	const double share = late ? this->limits.late_max_down_share : this->limits.max_down_share;
	std::map<ServiceName, size_t> by_pool = this->TakenByPool(view, index);
	size_t taken = this->Taken(wave.order.number);
	for (const MachineRow *row : open) {
		const auto in_pool = static_cast<double>(index.PoolSize(row->pool));
		const auto max_taken = std::max<size_t>(1, static_cast<size_t>(in_pool * share));
		const bool capacity = !view.reserves.contains(row->pool) && !view.evacuated.Contains(row->zone);
		if (taken < wave.order.down_max && (!capacity || by_pool[row->pool] < max_taken)) {
			this->draining[row->box] = wave.order.number;
			actions.due[row->pool].erase(row->box);
			by_pool[row->pool] += capacity ? 1 : 0;
			taken++;
		}
	}
}

void WavePlanner::DecideWave(const Wave &wave, const FleetView &view, const FleetIndex &index, Millis now,
							 WaveActions &actions)
{
	std::vector<const MachineRow *> open = this->OpenMachines(wave, index, actions);
	/* Boxes in a reserve first, then those of evacuated zones, then those with the fewest tasks; boxes of unknown
	 * status last. */
	const auto drain_cost = [&](const MachineRow *it) {
		const PoolBox *status = index.FindBox(*it);
		const int64_t tasks = status == nullptr ? INT64_MAX : int64_t{status->tasks};
		return std::tuple(!view.reserves.contains(it->pool), !view.evacuated.Contains(it->zone), tasks);
	};
	std::ranges::stable_sort(open, {}, drain_cost);
	this->BeginDraining(wave, open, view, index, now, actions);
	for (const auto &[box, of_wave] : this->draining) {
		const MachineRow *row = index.FindMachine(box);
		const PoolBox *status = row == nullptr ? nullptr : index.FindBox(*row);
		const bool in_reserve = row != nullptr && view.reserves.contains(row->pool);
		const bool empty = status != nullptr && status->tasks == 0 && !status->placing;
		if (of_wave == wave.order.number && (in_reserve || empty)) {
			actions.maintain.emplace_back(box, of_wave);
		}
	}
}

std::set<BoxName> WavePlanner::Taken() const
{
	std::set<BoxName> out;
	std::ranges::copy(this->draining | std::views::keys, std::inserter(out, out.end()));
	std::ranges::copy(this->down | std::views::keys, std::inserter(out, out.end()));
	return out;
}

void WavePlanner::RecordOrder(const BoxName &box, uint64_t wave, const BoxId &id, Millis now)
{
	this->draining.erase(box);
	this->down[box] = DownBox{wave, id, now, false};
}

void WavePlanner::RecordOutcome(const BoxName &box, uint64_t wave, ControlOutcome outcome)
{
	switch (outcome) {
	case ControlOutcome::CO_DONE:
		this->begun[wave].insert(box);
		break;
	case ControlOutcome::CO_NOT_IN_WAVE:
	case ControlOutcome::CO_REJECTED:
		/* The box can't be maintained for this wave: count it as begun, so that the wave can complete. */
		this->begun[wave].insert(box);
		this->down.erase(box);
		break;
	case ControlOutcome::CO_BUSY:
	case ControlOutcome::CO_REFUSED:
	case ControlOutcome::CO_FENCED:
		this->down.erase(box);
		break;
	case ControlOutcome::CO_UNKNOWN:
		/* The box counts as down until the list shows its state. */
		break;
	}
}
