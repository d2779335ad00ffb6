/** @file slot_broker.cpp Lending and borrowing of slots among the entries of a zone. */
#include "slot_broker.h"

#include <algorithm>

using namespace glade::wire;

namespace {

constexpr Millis MAX_ASK_INTERVAL(640);   ///< Longest interval between requests, while no entry lends.
constexpr Millis MIN_ASK_INTERVAL(20);    ///< Shortest interval between requests for slots of a pool.
constexpr Millis BROADCAST_INTERVAL(160); ///< From this interval on, requests go to all peers instead of one.
constexpr Millis WANT_TIMEOUT(700);       ///< How long the unmet part of a peer's request is kept.
constexpr uint32_t EXTRA_SLOTS = 2;       ///< Slots requested beyond the queue, for load that is about to arrive.

/** Wraps a message body into the union of messages. */
template <class T>
MessageUnion MakeMessage(T body)
{
	MessageUnion message;
	message.Set(std::move(body));
	return message;
}

/** Reads the slots of a message, by box. */
template <class T>
SlotCounts ReadCounts(const T &message)
{
	SlotCounts slots;
	for (size_t i = 0; i < std::min(message.boxes.size(), message.counts.size()); i++) {
		slots[BoxName(message.boxes[i])] = message.counts[i];
	}
	return slots;
}

/** Appends slots to a message. */
template <class T>
void WriteCounts(T &message, const SlotCounts &slots)
{
	for (const auto &[box, count] : slots) {
		message.boxes.push_back(box.Value());
		message.counts.push_back(count);
	}
}

/** @return Number of slots at all boxes together. */
uint32_t TotalOf(const SlotCounts &slots)
{
	uint32_t sum = 0;
	for (const auto &[box, count] : slots) {
		sum += count;
	}
	return sum;
}

} // namespace

SlotBroker::SlotBroker(Scheduler &scheduler, RouteTable &routes, MemberName self, SlotTransport &transport,
					   Millis reclaim_delay)
		: scheduler(scheduler), routes(routes), self(std::move(self)), transport(transport),
		  reclaim_delay(reclaim_delay)
{
}

bool SlotBroker::Send(const Peer &to, const MessageUnion &message)
{
	this->counters.messages++;
	return this->transport.Send(to, message);
}

std::optional<Peer> SlotBroker::FindPeer(const std::string &name) const
{
	const std::vector<Peer> peers = this->routes.ZonePeers();
	const auto it = std::ranges::find(peers, MemberName(name), &Peer::name);
	return it == peers.end() ? std::nullopt : std::optional(*it);
}

void SlotBroker::Tick()
{
	std::vector<Peer> peers = this->routes.ZonePeers();
	std::erase_if(peers, [&](const Peer &it) { return it.name == this->self; });
	for (const auto &[pool, gate] : this->routes.Gates()) {
		if (gate->SlotDemand(this->scheduler.Now()) > 0) {
			this->RequestSlots(pool, *gate, peers);
		}
	}
	this->ReturnIdleSlots(peers);
	this->LendToPending();
	this->ReclaimFromAbsent(peers);
}

void SlotBroker::RequestSlots(const PoolName &pool, PoolGate &gate, const std::vector<Peer> &peers)
{
	const Millis now = this->scheduler.Now();
	AskBackoff &state = this->backoffs[pool];
	if (peers.empty() || state.last + state.interval > now) {
		return;
	}
	/* Backs off while no peer lends: frequent requests only add load when all entries are busy. */
	state.interval = state.answered ? MIN_ASK_INTERVAL : std::min(Millis(state.interval.Value() * 2), MAX_ASK_INTERVAL);
	state.answered = false;
	state.last = now;
	/* Own slots that are lent are recalled first, since then no other entry has to lend. */
	if (gate.LentSlots() > 0) {
		this->Recall(pool, gate.SlotDemand(now), peers);
	}
	SlotWantT want;
	want.from = this->self.Value();
	want.pool = pool.Value();
	want.count = gate.SlotDemand(now) + EXTRA_SLOTS;
	const MessageUnion message = MakeMessage(std::move(want));
	if (state.interval < BROADCAST_INTERVAL) {
		this->Send(peers[this->next_peer[pool]++ % peers.size()], message);
	} else {
		std::ranges::for_each(peers, [&](const Peer &it) { this->Send(it, message); });
	}
}

void SlotBroker::Recall(const PoolName &pool, uint32_t count, const std::vector<Peer> &peers)
{
	uint32_t left = count;
	for (const auto &[name, loan] : this->loans) {
		const auto slots = loan.slots.find(pool);
		const auto peer = std::ranges::find(peers, name, &Peer::name);
		const uint32_t recallable = slots == loan.slots.end() ? 0 : std::min(TotalOf(slots->second), left);
		if (recallable > 0 && peer != peers.end()) {
			left -= recallable;
			SlotRecallT recall;
			recall.from = this->self.Value();
			recall.pool = pool.Value();
			recall.count = recallable;
			this->Send(*peer, MakeMessage(std::move(recall)));
		}
	}
}

void SlotBroker::ReturnIdleSlots(const std::vector<Peer> &peers)
{
	for (const auto &[pool, gate] : this->routes.Gates()) {
		for (const Peer &lender : peers) {
			const SlotCounts slots = gate->ReturnSlots(lender.name, this->scheduler.Now());
			if (slots.empty()) {
				continue;
			}
			SlotReturnT back;
			back.from = this->self.Value();
			back.pool = pool.Value();
			WriteCounts(back, slots);
			if (!this->Send(lender, MakeMessage(std::move(back)))) {
				/* No connection to the lender: keeps the slots and retries on a later tick. */
				gate->Borrow(lender.name, slots, this->scheduler.Now());
			}
		}
	}
}

void SlotBroker::ReclaimFromAbsent(const std::vector<Peer> &peers)
{
	const Millis now = this->scheduler.Now();
	for (auto &[name, loan] : this->loans) {
		const auto peer = std::ranges::find(peers, name, &Peer::name);
		const bool present = peer != peers.end() && peer->incarnation == loan.incarnation;
		if (present) {
			loan.absent_since = Millis(0);
			continue;
		}
		if (loan.absent_since == Millis(0)) {
			loan.absent_since = now;
		}
		if (loan.absent_since + this->reclaim_delay > now) {
			continue;
		}
		for (const auto &[pool, slots] : loan.slots) {
			this->counters.reclaimed += TotalOf(slots);
			if (const auto gates = this->routes.Gates(); gates.contains(pool)) {
				gates.at(pool)->ReclaimSlots(slots, now);
			}
		}
		loan.slots.clear();
	}
	std::erase_if(this->loans,
				  [](const auto &it) { return it.second.slots.empty() && it.second.absent_since != Millis(0); });
}

void SlotBroker::OnMessage(const MessageUnion &message)
{
	if (const auto *want = message.AsSlotWant(); want != nullptr) {
		this->OnWant(*want);
	} else if (const auto *lend = message.AsSlotLend(); lend != nullptr) {
		this->OnLend(*lend);
	} else if (const auto *back = message.AsSlotReturn(); back != nullptr) {
		this->OnReturn(*back);
	} else if (const auto *recall = message.AsSlotRecall(); recall != nullptr) {
		const auto gates = this->routes.Gates();
		if (const auto gate = gates.find(PoolName(recall->pool)); gate != gates.end()) {
			gate->second->Recall(MemberName(recall->from), recall->count);
		}
	}
}

void SlotBroker::OnWant(const SlotWantT &want)
{
	const std::optional<Peer> peer = this->FindPeer(want.from);
	const PoolName pool(want.pool);
	if (!peer) {
		return;
	}
	const uint32_t lent = this->LendTo(*peer, pool, want.count);
	if (lent < want.count) {
		this->pending_wants[pool][peer->name] = PendingWant{want.count - lent, this->scheduler.Now()};
	}
}

void SlotBroker::LendToPending()
{
	const Millis oldest = this->scheduler.Now() - WANT_TIMEOUT;
	for (auto &[pool, wants] : this->pending_wants) {
		std::erase_if(wants, [&](const auto &it) { return it.second.at < oldest || it.second.count == 0; });
		for (auto &[name, want] : wants) {
			if (const std::optional<Peer> peer = this->FindPeer(name.Value()); peer) {
				want.count -= this->LendTo(*peer, pool, want.count);
			}
		}
	}
}

uint32_t SlotBroker::LendTo(const Peer &peer, const PoolName &pool, uint32_t count)
{
	const auto gates = this->routes.Gates();
	const auto gate = gates.find(pool);
	if (gate == gates.end()) {
		return 0;
	}
	Loan &loan = this->loans[peer.name];
	const bool has_loan = std::ranges::any_of(loan.slots, [](const auto &it) { return TotalOf(it.second) > 0; });
	if (has_loan && loan.incarnation != peer.incarnation) {
		return 0; /* The borrower's previous incarnation still holds slots. */
	}
	loan.incarnation = peer.incarnation;
	const SlotCounts slots = gate->second->Lend(count, this->scheduler.Now());
	if (slots.empty()) {
		return 0;
	}
	SlotLendT lend;
	lend.from = this->self.Value();
	lend.pool = pool.Value();
	WriteCounts(lend, slots);
	if (!this->Send(peer, MakeMessage(std::move(lend)))) {
		gate->second->ReclaimSlots(slots, this->scheduler.Now());
		return 0;
	}
	this->counters.lent += TotalOf(slots);
	for (const auto &[box, n] : slots) {
		loan.slots[pool][box] += n;
	}
	return TotalOf(slots);
}

void SlotBroker::OnLend(const SlotLendT &lend)
{
	const auto gates = this->routes.Gates();
	const SlotCounts slots = ReadCounts(lend);
	this->counters.borrowed += TotalOf(slots);
	this->backoffs[PoolName(lend.pool)].answered = true;
	if (const auto gate = gates.find(PoolName(lend.pool)); gate != gates.end()) {
		gate->second->Borrow(MemberName(lend.from), slots, this->scheduler.Now());
	}
}

void SlotBroker::OnReturn(const SlotReturnT &back)
{
	const PoolName pool(back.pool);
	SlotCounts &owed = this->loans[MemberName(back.from)].slots[pool];
	SlotCounts counted;
	for (const auto &[box, count] : ReadCounts(back)) {
		/* Counts at most what was lent: a message delivered twice must not create slots. */
		const uint32_t returned = std::min(owed[box], count);
		owed[box] -= returned;
		counted[box] = returned;
	}
	if (const auto gates = this->routes.Gates(); gates.contains(pool)) {
		this->backoffs[pool].answered = true;
		gates.at(pool)->ReclaimSlots(counted, this->scheduler.Now());
	}
	this->LendToPending();
}
