/** @file pool_gate_lend.cpp Lending, borrowing and returning of slots by a pool gate. */
#include "pool_gate.h"

#include <algorithm>

uint32_t PoolGate::SlotDemand(Millis now) const
{
	const std::scoped_lock guard(this->lock);
	uint32_t wanted = 0;
	for (const auto &[name, service] : this->services) {
		const uint32_t room = service.ceiling > service.in_flight ? service.ceiling - service.in_flight : 0;
		wanted += std::min(static_cast<uint32_t>(service.waiting_count), room);
	}
	const uint32_t free = this->FreeSlots(now);
	return wanted > free ? wanted - free : 0;
}

SlotCounts PoolGate::Lend(uint32_t most, Millis now)
{
	const std::scoped_lock guard(this->lock);
	SlotCounts slots;
	if (!this->queued.empty()) {
		return slots;
	}
	uint32_t left = most;
	for (auto &[box, it] : this->endpoints) {
		const uint32_t own = it.usable_share > it.lent ? it.usable_share - it.lent : 0;
		const uint32_t idle = own > it.in_flight ? own - it.in_flight : 0;
		const uint32_t count = std::min(idle, left);
		if (count == 0 || !this->Usable(it, now)) {
			continue;
		}
		it.lent += count;
		left -= count;
		slots[box] = count;
	}
	return slots;
}

void PoolGate::ReclaimSlots(const SlotCounts &slots, Millis now)
{
	Decisions decisions;
	{
		const std::scoped_lock guard(this->lock);
		for (const auto &[box, count] : slots) {
			if (const auto it = this->endpoints.find(box); it != this->endpoints.end()) {
				it->second.lent -= std::min(it->second.lent, count);
			}
		}
		this->GrantWaiting(now, decisions);
	}
	Deliver(decisions);
}

void PoolGate::Borrow(const MemberName &lender, const SlotCounts &slots, Millis now)
{
	Decisions decisions;
	{
		const std::scoped_lock guard(this->lock);
		for (const auto &[box, count] : slots) {
			/* An endpoint that this entry's view does not have yet is created here as closed and not listed; its
			 * borrowed slots are returned unused. */
			auto &it = this->endpoints[box];
			it.listed = it.view.box == box && it.listed;
			it.view.open = it.view.box == box && it.view.open;
			it.borrowed += count;
			this->loans_by_lender[lender][box].owed += count;
		}
		this->GrantWaiting(now, decisions);
	}
	Deliver(decisions);
}

void PoolGate::Recall(const MemberName &lender, uint32_t count)
{
	const std::scoped_lock guard(this->lock);
	const auto loan = this->loans_by_lender.find(lender);
	if (loan == this->loans_by_lender.end()) {
		return;
	}
	/* Recalls only the slots beyond those that were recalled before. */
	uint32_t left = count;
	for (auto &[box, it] : loan->second) {
		left -= std::min(left, it.recalled);
	}
	for (auto &[box, it] : loan->second) {
		const uint32_t more = std::min(left, it.owed - it.recalled);
		it.recalled += more;
		this->endpoints[box].recalled += more;
		left -= more;
	}
}

SlotCounts PoolGate::ReturnSlots(const MemberName &lender, Millis now)
{
	const std::scoped_lock guard(this->lock);
	SlotCounts back;
	const auto from_lender = this->loans_by_lender.find(lender);
	if (from_lender == this->loans_by_lender.end()) {
		return back;
	}
	for (auto &[box, loan] : from_lender->second) {
		EndpointState &it = this->endpoints[box];
		this->AdvanceWindow(it, now);
		const uint32_t all = LimitOf(it) + it.recalled;
		const uint32_t free = all > it.in_flight ? all - it.in_flight : 0;
		const uint32_t needed = it.view.open ? std::max({it.peak, it.last_peak, it.in_flight}) : it.in_flight;
		const uint32_t idle = all > needed ? all - needed : 0;
		const uint32_t count = std::max(std::min(free, loan.recalled), std::min(idle, loan.owed));
		if (count == 0) {
			continue;
		}
		const uint32_t recalled = std::min(loan.recalled, count);
		it.borrowed -= count;
		it.recalled -= recalled;
		loan.recalled -= recalled;
		loan.owed -= count;
		back[box] = count;
	}
	std::erase_if(from_lender->second, [](const auto &it) { return it.second.owed == 0; });
	return back;
}

void PoolGate::AdvanceWindow(EndpointState &it, Millis now) const
{
	if (it.window_start + this->settings.borrow_idle <= now) {
		it.last_peak = it.peak;
		it.peak = it.in_flight;
		it.window_start = now;
	}
}

uint32_t PoolGate::LentSlots() const
{
	const std::scoped_lock guard(this->lock);
	uint32_t lent = 0;
	for (const auto &[box, it] : this->endpoints) {
		lent += it.lent;
	}
	return lent;
}
