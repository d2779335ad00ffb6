/** @file wave_desk.cpp Maintenance waves: which box is emptied and taken down next. */
#include "wave_desk.h"

#include <algorithm>
#include <ranges>

namespace {

constexpr double LATE_AFTER = 2.0 / 3.0; ///< Part of a wave's time after which more boxes of a pool may go at once.

const MachineRow *RowOf(const FleetView &view, const BoxName &box)
{
	const auto it = std::ranges::find(view.machines, box, &MachineRow::box);
	return it == view.machines.end() ? nullptr : &*it;
}

/** A box in the status of its pool, or null. */
const PoolBox *StatusOf(const FleetView &view, const MachineRow &row)
{
	const auto pool = view.pools.find(row.pool);
	if (pool == view.pools.end()) {
		return nullptr;
	}
	const auto it = std::ranges::find(pool->second.boxes, row.life, &PoolBox::life);
	return it == pool->second.boxes.end() ? nullptr : &*it;
}

} // namespace

void WaveDesk::Add(const WaveOrder &order, Millis now)
{
	this->waves.try_emplace(order.number, Wave{order, now});
}

bool WaveDesk::Active() const
{
	return std::ranges::any_of(this->waves | std::views::keys,
							   [this](uint64_t it) { return !this->completed.contains(it); });
}

bool WaveDesk::IsDue(const BoxName &box) const
{
	return std::ranges::any_of(this->waves, [&](const auto &it) {
		const auto done = this->begun.find(it.first);
		const bool begun_there = done != this->begun.end() && done->second.contains(box);
		return !this->completed.contains(it.first) && !begun_there &&
			   std::ranges::count(it.second.order.boxes, box) > 0;
	});
}

void WaveDesk::NoteReturns(const FleetView &view, Millis now)
{
	for (auto &[box, order] : this->down) {
		const MachineRow *row = RowOf(view, box);
		order.seen = order.seen || (row != nullptr && row->state != MachineState::MS_UP);
	}
	std::erase_if(this->down, [&](const auto &it) {
		const MachineRow *row = RowOf(view, it.first);
		if (row == nullptr) {
			return true;
		}
		const bool back = row->state == MachineState::MS_UP && (it.second.seen || row->life != it.second.before);
		/* An order without an answer may never come; the box is tried again then. */
		return back || (row->state == MachineState::MS_UP && now - it.second.at > this->limits.forget_down);
	});
	/* Another owner of this desk may have ordered these. */
	for (const MachineRow &row : view.machines) {
		if (row.state == MachineState::MS_UPKEEP && !this->down.contains(row.box)) {
			for (const auto &[number, wave] : this->waves) {
				if (std::ranges::count(wave.order.boxes, row.box) > 0) {
					this->down[row.box] = Down{number, row.life, now, true};
				}
			}
		}
	}
}

size_t WaveDesk::Taken(uint64_t wave) const
{
	const auto emptied = std::ranges::count(this->draining | std::views::values, wave);
	const auto gone = std::ranges::count(this->down | std::views::values, wave, &Down::wave);
	return static_cast<size_t>(emptied + gone);
}

size_t WaveDesk::TakenOf(const ServiceName &pool, const FleetView &view) const
{
	const auto in_pool = [&](const BoxName &it) {
		const MachineRow *row = RowOf(view, it);
		return row != nullptr && row->pool == pool;
	};
	return static_cast<size_t>(std::ranges::count_if(this->draining | std::views::keys, in_pool) +
							   std::ranges::count_if(this->down | std::views::keys, in_pool));
}

WaveActions WaveDesk::Decide(const FleetView &view, Millis now)
{
	this->NoteReturns(view, now);
	WaveActions actions;
	for (const auto &[number, wave] : this->waves) {
		if (!this->completed.contains(number)) {
			this->DecideWave(wave, view, now, actions);
		}
	}
	for (const auto &[box, wave] : this->draining) {
		if (const MachineRow *row = RowOf(view, box); row != nullptr) {
			actions.drain[row->pool].insert(box);
		}
	}
	return actions;
}

void WaveDesk::DecideWave(const Wave &wave, const FleetView &view, Millis now, WaveActions &actions)
{
	const uint64_t number = wave.order.number;
	std::set<BoxName> &done = this->begun[number];
	std::vector<const MachineRow *> open;
	size_t left = 0;
	for (const BoxName &box : wave.order.boxes) {
		const MachineRow *row = RowOf(view, box);
		if (done.contains(box) || row == nullptr) {
			this->draining.erase(box);
			continue;
		}
		left++;
		if (row->state != MachineState::MS_UP) {
			this->draining.erase(box);
		} else if (!this->down.contains(box) && !this->draining.contains(box) && !this->others.contains(box)) {
			open.push_back(row);
			actions.due[row->pool].insert(box);
		}
	}
	if (left == 0) {
		actions.completed.push_back(number);
		return;
	}
	/* Boxes that are off come first, then those with the least to move. */
	const auto weight = [&view](const MachineRow *it) {
		const PoolBox *status = StatusOf(view, *it);
		return view.reserves.contains(it->pool) ? -1 : status == nullptr ? INT64_MAX : int64_t{status->tasks};
	};
	std::ranges::stable_sort(open, {}, weight);
	const bool late = now - wave.since >
					  Millis(static_cast<int64_t>(static_cast<double>(wave.order.within.Value()) * LATE_AFTER));
	for (const MachineRow *row : open) {
		const auto in_pool = std::ranges::count(view.machines, row->pool, &MachineRow::pool);
		const double share = late ? this->limits.late_share : this->limits.pool_share;
		const auto most = std::max<size_t>(1, static_cast<size_t>(static_cast<double>(in_pool) * share));
		const bool off = view.reserves.contains(row->pool);
		if (this->Taken(number) < wave.order.down_max && (off || this->TakenOf(row->pool, view) < most)) {
			this->draining[row->box] = number;
			actions.due[row->pool].erase(row->box);
		}
	}
	for (const auto &[box, of_wave] : this->draining) {
		const MachineRow *row = RowOf(view, box);
		const PoolBox *status = row == nullptr ? nullptr : StatusOf(view, *row);
		const bool off = row != nullptr && view.reserves.contains(row->pool);
		const bool empty = status != nullptr && status->tasks == 0 && !status->placing;
		if (of_wave == number && (off || empty)) {
			actions.maintain.emplace_back(box, number);
		}
	}
}

std::set<BoxName> WaveDesk::Taken() const
{
	std::set<BoxName> out;
	std::ranges::copy(this->draining | std::views::keys, std::inserter(out, out.end()));
	std::ranges::copy(this->down | std::views::keys, std::inserter(out, out.end()));
	return out;
}

void WaveDesk::Ordered(const BoxName &box, uint64_t wave, const BoxLife &life, Millis now)
{
	this->draining.erase(box);
	this->down[box] = Down{wave, life, now, false};
}

void WaveDesk::Answered(const BoxName &box, uint64_t wave, ControlOutcome outcome)
{
	switch (outcome) {
	case ControlOutcome::CO_DONE:
		this->begun[wave].insert(box);
		break;
	case ControlOutcome::CO_NOT_IN_WAVE:
	case ControlOutcome::CO_REJECTED:
		/* The wave can't mean it any more. */
		this->begun[wave].insert(box);
		this->down.erase(box);
		break;
	case ControlOutcome::CO_BUSY:
	case ControlOutcome::CO_REFUSED:
	case ControlOutcome::CO_FENCED:
		this->down.erase(box);
		break;
	case ControlOutcome::CO_UNKNOWN:
		/* Counts as down until it is seen. */
		break;
	}
}
