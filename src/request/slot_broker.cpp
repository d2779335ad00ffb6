/** @file slot_broker.cpp Lends and borrows slots among the entries of a zone. */
#include "slot_broker.h"

#include <algorithm>

using namespace glade::wire;

namespace {

constexpr Millis ASK_SELDOM(640); ///< Longest pause between two requests, while nobody lends.
constexpr Millis ASK_EVERY(20);   ///< Shortest time between two requests for slots of a pool.
constexpr Millis ASK_ALL(160);    ///< From this pause on all peers are asked at once.
constexpr Millis WANT_LASTS(700); ///< How long a request for slots that could not be met is remembered.
constexpr uint32_t ASK_AHEAD = 2; ///< Slots asked for beyond what waits: load that comes will want them.

/** Builds a message around its body. */
template <class T>
MessageUnion MailOf(T body)
{
	MessageUnion message;
	message.Set(std::move(body));
	return message;
}

/** Reads the slots of a message. */
template <class T>
SlotCounts CountsOf(const T &message)
{
	SlotCounts slots;
	for (size_t i = 0; i < std::min(message.boxes.size(), message.counts.size()); i++) {
		slots[BoxName(message.boxes[i])] = message.counts[i];
	}
	return slots;
}

/** Writes slots into a message. */
template <class T>
void PutCounts(T &message, const SlotCounts &slots)
{
	for (const auto &[box, count] : slots) {
		message.boxes.push_back(box.Value());
		message.counts.push_back(count);
	}
}

uint32_t SumOf(const SlotCounts &slots)
{
	uint32_t sum = 0;
	for (const auto &[box, count] : slots) {
		sum += count;
	}
	return sum;
}

} // namespace

SlotBroker::SlotBroker(Scheduler &scheduler, RouteTable &routes, MemberName self, SlotTransport &mail, Millis patience)
		: scheduler(scheduler), routes(routes), self(std::move(self)), mail(mail), patience(patience)
{
}

bool SlotBroker::Send(const Peer &to, const MessageUnion &message)
{
	this->counters.messages++;
	return this->mail.Send(to, message);
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
		if (gate->Wanted(this->scheduler.Now()) > 0) {
			this->Ask(pool, *gate, peers);
		}
	}
	this->Return(peers);
	this->MeetOpenWants();
	this->WriteOff(peers);
}

void SlotBroker::Ask(const PoolName &pool, PoolGate &gate, const std::vector<Peer> &peers)
{
	const Millis now = this->scheduler.Now();
	Asking &state = this->asking[pool];
	if (peers.empty() || state.last + state.pause > now) {
		return;
	}
	/* When everybody is busy, asking often helps nobody. */
	state.pause = state.answered ? ASK_EVERY : std::min(Millis(state.pause.Value() * 2), ASK_SELDOM);
	state.answered = false;
	state.last = now;
	/* What this entry has lent itself comes first: then nobody else needs to give. */
	if (gate.LentOut() > 0) {
		this->Recall(pool, gate.Wanted(now), peers);
	}
	SlotWantT want;
	want.from = this->self.Value();
	want.pool = pool.Value();
	want.count = gate.Wanted(now) + ASK_AHEAD;
	const MessageUnion message = MailOf(std::move(want));
	if (state.pause < ASK_ALL) {
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
		const uint32_t here = slots == loan.slots.end() ? 0 : std::min(SumOf(slots->second), left);
		if (here > 0 && peer != peers.end()) {
			left -= here;
			SlotRecallT recall;
			recall.from = this->self.Value();
			recall.pool = pool.Value();
			recall.count = here;
			this->Send(*peer, MailOf(std::move(recall)));
		}
	}
}

void SlotBroker::Return(const std::vector<Peer> &peers)
{
	for (const auto &[pool, gate] : this->routes.Gates()) {
		for (const Peer &lender : peers) {
			const SlotCounts slots = gate->GiveBack(lender.name, this->scheduler.Now());
			if (slots.empty()) {
				continue;
			}
			SlotReturnT back;
			back.from = this->self.Value();
			back.pool = pool.Value();
			PutCounts(back, slots);
			if (!this->Send(lender, MailOf(std::move(back)))) {
				/* Nobody there now: kept, to be given back later. */
				gate->Borrow(lender.name, slots, this->scheduler.Now());
			}
		}
	}
}

void SlotBroker::WriteOff(const std::vector<Peer> &peers)
{
	const Millis now = this->scheduler.Now();
	for (auto &[name, loan] : this->loans) {
		const auto peer = std::ranges::find(peers, name, &Peer::name);
		const bool present = peer != peers.end() && peer->incarnation == loan.incarnation;
		if (present) {
			loan.gone_since = Millis(0);
			continue;
		}
		if (loan.gone_since == Millis(0)) {
			loan.gone_since = now;
		}
		if (loan.gone_since + this->patience > now) {
			continue;
		}
		for (const auto &[pool, slots] : loan.slots) {
			this->counters.written_off += SumOf(slots);
			if (const auto gates = this->routes.Gates(); gates.contains(pool)) {
				gates.at(pool)->TakeBack(slots, now);
			}
		}
		loan.slots.clear();
	}
	std::erase_if(this->loans,
				  [](const auto &it) { return it.second.slots.empty() && it.second.gone_since != Millis(0); });
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
		this->open_wants[pool][peer->name] = OpenWant{want.count - lent, this->scheduler.Now()};
	}
}

void SlotBroker::MeetOpenWants()
{
	const Millis oldest = this->scheduler.Now() - WANT_LASTS;
	for (auto &[pool, wants] : this->open_wants) {
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
	const bool owes = std::ranges::any_of(loan.slots, [](const auto &it) { return SumOf(it.second) > 0; });
	if (owes && loan.incarnation != peer.incarnation) {
		return 0; /* Its earlier start still owes slots. */
	}
	loan.incarnation = peer.incarnation;
	const SlotCounts slots = gate->second->Lend(count, this->scheduler.Now());
	if (slots.empty()) {
		return 0;
	}
	SlotLendT lend;
	lend.from = this->self.Value();
	lend.pool = pool.Value();
	PutCounts(lend, slots);
	if (!this->Send(peer, MailOf(std::move(lend)))) {
		gate->second->TakeBack(slots, this->scheduler.Now());
		return 0;
	}
	this->counters.lent += SumOf(slots);
	for (const auto &[box, n] : slots) {
		loan.slots[pool][box] += n;
	}
	return SumOf(slots);
}

void SlotBroker::OnLend(const SlotLendT &lend)
{
	const auto gates = this->routes.Gates();
	const SlotCounts slots = CountsOf(lend);
	this->counters.borrowed += SumOf(slots);
	this->asking[PoolName(lend.pool)].answered = true;
	if (const auto gate = gates.find(PoolName(lend.pool)); gate != gates.end()) {
		gate->second->Borrow(MemberName(lend.from), slots, this->scheduler.Now());
	}
}

void SlotBroker::OnReturn(const SlotReturnT &back)
{
	const PoolName pool(back.pool);
	SlotCounts &owed = this->loans[MemberName(back.from)].slots[pool];
	SlotCounts counted;
	for (const auto &[box, count] : CountsOf(back)) {
		/* No more than was lent: a message told twice must not make slots. */
		const uint32_t good = std::min(owed[box], count);
		owed[box] -= good;
		counted[box] = good;
	}
	if (const auto gates = this->routes.Gates(); gates.contains(pool)) {
		this->asking[pool].answered = true;
		gates.at(pool)->TakeBack(counted, this->scheduler.Now());
	}
	this->MeetOpenWants();
}
