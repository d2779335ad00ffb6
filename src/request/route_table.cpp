/** @file route_table.cpp Routing state of an entry. */
#include "route_table.h"

#include <algorithm>
#include <mutex>

namespace {

constexpr size_t HISTORY_LENGTH = 32; ///< Most memberships of the zone kept, for CheckOwnership().
constexpr uint64_t MILLION = 1000000; ///< Scale of slot shares.

/** Joins fields to a text for hashing, each followed by a line break. */
template <class... Parts>
std::string JoinFields(const Parts &...parts)
{
	std::string text;
	const auto add = [&](const auto &part) {
		if constexpr (std::is_arithmetic_v<std::decay_t<decltype(part)>>) {
			text += std::to_string(part);
		} else {
			text += part;
		}
		text += '\n';
	};
	(add(parts), ...);
	return text;
}

uint64_t HashOf(const glade::wire::ViewEndpointT &it)
{
	return HashText(
			JoinFields("e", it.box, it.pool, it.zone, it.rack, it.address, it.slots, it.epoch, it.open, it.permit));
}

uint64_t HashOf(const ServiceRow &it)
{
	return HashText(JoinFields("r", it.service.Value(), it.pool.Value(), it.weight, it.floor.Value(),
							   it.ceiling.Value(), static_cast<int>(it.work_class), it.repeatable));
}

uint64_t HashOf(const Peer &it)
{
	return HashText(JoinFields("p", it.name.Value(), it.zone.Value(), it.address, it.frames, it.incarnation.Value()));
}

uint64_t HashOf(const PoolName &pool, uint32_t slots)
{
	return HashText(JoinFields("s", pool.Value(), slots));
}

ServiceRow ParseRow(const glade::wire::ViewRowT &it)
{
	ServiceRow row;
	row.service = ServiceName(it.service);
	row.pool = PoolName(it.pool);
	row.weight = it.weight;
	row.floor = Slots(it.floor);
	row.ceiling = Slots(it.ceiling);
	row.work_class = static_cast<WorkClass>(it.work_class);
	row.repeatable = it.repeatable;
	return row;
}

Peer ParsePeer(const glade::wire::ViewPeerT &it)
{
	return Peer{MemberName(it.member), ZoneName(it.zone), it.address, it.frames, Incarnation(it.incarnation)};
}

} // namespace

uint64_t HashView(const glade::wire::ViewT &view)
{
	uint64_t sum = 0;
	for (const auto &it : view.endpoints) {
		sum += HashOf(*it);
	}
	for (const auto &it : view.rows) {
		sum += HashOf(ParseRow(*it));
	}
	for (const auto &it : view.peers) {
		sum += HashOf(ParsePeer(*it));
	}
	for (const auto &it : view.pools) {
		sum += HashOf(PoolName(it->pool), it->slots);
	}
	return sum;
}

RouteTable::RouteTable(EntryIdentity self, GateSettings gates, LeaseTimes times)
		: self(std::move(self)), gate_settings(gates), times(times)
{
}

std::vector<Peer> RouteTable::EntriesOf(const ZoneName &zone) const
{
	std::vector<Peer> found;
	for (const auto &[name, peer] : this->peers) {
		if (peer.zone == zone) {
			found.push_back(peer);
		}
	}
	return found;
}

void RouteTable::ApplyParts(const glade::wire::ViewT &view)
{
	if (view.base_version == 0) {
		this->endpoints.clear();
		this->rows.clear();
		this->peers.clear();
		this->pool_slots.clear();
		this->zones.clear();
	}
	if (!view.zones.empty()) {
		this->zones = view.zones;
	}
	for (const std::string &it : view.removed_endpoints) {
		this->endpoints.erase(BoxName(it));
	}
	for (const std::string &it : view.removed_services) {
		this->rows.erase(ServiceName(it));
	}
	for (const std::string &it : view.removed_peers) {
		this->peers.erase(MemberName(it));
	}
	for (const auto &it : view.endpoints) {
		this->endpoints[BoxName(it->box)] = *it;
	}
	for (const auto &it : view.rows) {
		this->rows[ServiceName(it->service)] = ParseRow(*it);
	}
	for (const auto &it : view.peers) {
		this->peers[MemberName(it->member)] = ParsePeer(*it);
	}
	/* A view that changes any pool has all of them, since there are few. */
	if (!view.pools.empty()) {
		this->pool_slots.clear();
	}
	for (const auto &it : view.pools) {
		this->pool_slots[PoolName(it->pool)] = it->slots;
	}
}

void RouteTable::RecordMembership(const glade::wire::ViewT &view)
{
	if (view.zone_changes == this->zone_changes && !this->history.empty()) {
		return;
	}
	/* After a missed change, an unknown entry may have owned any key until now, so the history is cleared. */
	if (view.zone_changes != this->zone_changes + 1) {
		this->history.clear();
	}
	this->zone_changes = view.zone_changes;
	this->history.push_back(ZoneEntries{Millis(view.zone_changed), this->EntriesOf(this->self.zone)});
	while (this->history.size() > HISTORY_LENGTH) {
		this->history.pop_front();
	}
}

void RouteTable::UpdateGates(Millis now)
{
	const std::vector<Peer> zone = this->EntriesOf(this->self.zone);
	if (zone != this->gate_peers) {
		/* Entries with the old view may use these slots until their lease has ended. */
		this->gained_usable_from = zone.size() > 1 || !this->gate_peers.empty() ? now + this->times.settle : now;
		this->gate_peers = zone;
	}
	std::map<PoolName, std::vector<GateEndpoint>> by_pool;
	std::map<PoolName, std::vector<ServiceRow>> rows_of;
	std::map<PoolName, uint64_t> own_slots;
	for (const auto &[name, it] : this->endpoints) {
		const uint32_t share = SlotShare(name, Slots(it.slots), zone, this->self.name);
		by_pool[PoolName(it.pool)].push_back(
				GateEndpoint{name, it.address, BoxEpoch(it.epoch), it.open, share, PermitId(it.permit)});
		own_slots[PoolName(it.pool)] += share;
	}
	for (const auto &[name, row] : this->rows) {
		rows_of[row.pool].push_back(row);
		by_pool[row.pool];
	}
	for (const auto &[pool, gate] : this->gates) {
		by_pool[pool];
	}
	for (const auto &[pool, list] : by_pool) {
		auto &gate = this->gates[pool];
		if (!gate) {
			gate = std::make_shared<PoolGate>(this->gate_settings, HashText(this->self.name.Value() + pool.Value()));
		}
		const uint64_t all = std::max<uint64_t>(this->pool_slots[pool], 1);
		gate->Update(list, rows_of[pool], std::min(own_slots[pool] * MILLION / all, MILLION), this->gained_usable_from,
					 now);
	}
}

ResultCode RouteTable::Apply(const glade::wire::ViewT &view, Millis now)
{
	const std::unique_lock guard(this->lock);
	if (view.base_version != 0 && view.base_version != this->version) {
		return ResultCode::RC_STATE_MISMATCH;
	}
	if (LogOffset(view.offset) < this->offset) {
		return ResultCode::RC_OK; /* Sent by a keeper that lags behind this entry; the configuration never goes back. */
	}
	this->ApplyParts(view);
	uint64_t sum = 0;
	for (const auto &[name, it] : this->endpoints) {
		sum += HashOf(it);
	}
	for (const auto &[name, it] : this->rows) {
		sum += HashOf(it);
	}
	for (const auto &[name, it] : this->peers) {
		sum += HashOf(it);
	}
	for (const auto &[pool, slots] : this->pool_slots) {
		sum += HashOf(pool, slots);
	}
	this->hash = sum;
	if (sum != view.hash) {
		this->version = 0;
		return ResultCode::RC_STATE_MISMATCH;
	}
	this->version = view.version;
	this->offset = LogOffset(view.offset);
	this->RecordMembership(view);
	this->UpdateGates(now);
	return ResultCode::RC_OK;
}

void RouteTable::ExtendLease(Millis until)
{
	const std::unique_lock guard(this->lock);
	this->lease_until = std::max(this->lease_until, until);
}

void RouteTable::AdvanceOffset(LogOffset seen)
{
	const std::unique_lock guard(this->lock);
	this->offset = std::max(this->offset, seen);
}

bool RouteTable::LeaseHolds(Millis now) const
{
	const std::shared_lock guard(this->lock);
	return now < this->lease_until;
}

std::optional<Route> RouteTable::Find(const ServiceName &service) const
{
	const std::shared_lock guard(this->lock);
	const auto it = this->rows.find(service);
	if (it == this->rows.end()) {
		return std::nullopt;
	}
	return Route{it->second, this->gates.at(it->second.pool)};
}

ResultCode RouteTable::CheckOwnership(const std::string &text, Millis made, Millis now) const
{
	if (now >= this->lease_until) {
		return ResultCode::RC_KEY_LEASE_LAPSED;
	}
	/* This entry must be the owner by every membership that any entry may have had in force since the key was issued.
	 * An old membership may be in force for `settle` after the change that replaced it. */
	for (auto it = this->history.rbegin(); it != this->history.rend(); ++it) {
		if (it->peers.empty()) {
			return ResultCode::RC_KEY_BEFORE_TAKEOVER;
		}
		const Peer &owner = it->peers[OwnerIndex(text, it->peers)];
		if (owner.name != this->self.name || owner.incarnation != this->self.incarnation) {
			return ResultCode::RC_KEY_BEFORE_TAKEOVER;
		}
		if (it->since + this->times.settle < made) {
			return ResultCode::RC_OK;
		}
	}
	return ResultCode::RC_KEY_BEFORE_TAKEOVER;
}

KeyOwner RouteTable::OwnerOf(const KeyId &id, Millis issued, Millis skew, Millis now) const
{
	const std::shared_lock guard(this->lock);
	const std::string text = id.account.Value() + '\n' + id.service.Value() + '\n' + id.key;
	KeyOwner owner;
	const ZoneName zone = this->zones.empty() ? this->self.zone : OwnerZone(text, this->zones);
	const std::vector<Peer> entries = this->EntriesOf(zone);
	if (entries.empty()) {
		owner.code = ResultCode::RC_KEY_OWNER_AWAY;
		return owner;
	}
	const Peer &peer = entries[OwnerIndex(text, entries)];
	owner.name = peer.name;
	owner.address = peer.address;
	owner.self = peer.name == this->self.name && peer.incarnation == this->self.incarnation;
	if (owner.self) {
		owner.code = this->CheckOwnership(text, issued - skew, now);
	}
	return owner;
}

std::vector<Peer> RouteTable::PeersElsewhere() const
{
	const std::shared_lock guard(this->lock);
	std::vector<Peer> found;
	for (const auto &[name, peer] : this->peers) {
		if (peer.zone != this->self.zone) {
			found.push_back(peer);
		}
	}
	return found;
}

std::vector<Peer> RouteTable::ZonePeers() const
{
	const std::shared_lock guard(this->lock);
	return this->EntriesOf(this->self.zone);
}

std::map<PoolName, std::shared_ptr<PoolGate>> RouteTable::Gates() const
{
	const std::shared_lock guard(this->lock);
	return this->gates;
}

std::pair<uint64_t, uint64_t> RouteTable::Version() const
{
	const std::shared_lock guard(this->lock);
	return {this->version, this->hash};
}

LogOffset RouteTable::Offset() const
{
	const std::shared_lock guard(this->lock);
	return this->offset;
}

std::vector<ServiceRow> RouteTable::Rows() const
{
	const std::shared_lock guard(this->lock);
	std::vector<ServiceRow> list;
	list.reserve(this->rows.size());
	for (const auto &[name, row] : this->rows) {
		list.push_back(row);
	}
	return list;
}
