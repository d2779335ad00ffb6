/** @file view_func.cpp Views of the fleet that are sent to entries. */
#include "view_func.h"

#include "../fleet/budget_func.h"
#include "../request/route_table.h"

#include <algorithm>

namespace {

using namespace glade::wire;

/**
 * Compares two lists of view parts by name.
 * @param from Older parts.
 * @param to Newer parts.
 * @param name_of Returns the name of a part.
 * @param[out] changed Copies of parts that were added or changed.
 * @param[out] removed Names of parts that were removed.
 */
template <class Part, class NameOf>
void DiffParts(const std::vector<std::unique_ptr<Part>> &from, const std::vector<std::unique_ptr<Part>> &to,
			   NameOf name_of, std::vector<std::unique_ptr<Part>> &changed, std::vector<std::string> &removed)
{
	std::map<std::string, const Part *> old_parts;
	for (const auto &it : from) {
		old_parts[name_of(*it)] = it.get();
	}
	for (const auto &it : to) {
		const auto found = old_parts.find(name_of(*it));
		if (found == old_parts.end() || !(*found->second == *it)) {
			changed.push_back(std::make_unique<Part>(*it));
		}
		if (found != old_parts.end()) {
			old_parts.erase(found);
		}
	}
	std::ranges::transform(old_parts, std::back_inserter(removed), [](const auto &it) { return it.first; });
}

template <class Part>
void CopyParts(const std::vector<std::unique_ptr<Part>> &from, std::vector<std::unique_ptr<Part>> &to)
{
	for (const auto &it : from) {
		to.push_back(std::make_unique<Part>(*it));
	}
}

template <class Part>
bool SameParts(const std::vector<std::unique_ptr<Part>> &a, const std::vector<std::unique_ptr<Part>> &b)
{
	return std::ranges::equal(a, b, [](const auto &x, const auto &y) { return *x == *y; });
}

/** @return Boxes that the list shows with a health other than up. */
std::set<BoxName> NotUpInList(const std::vector<ListedBox> &list)
{
	std::set<BoxName> closed;
	for (const ListedBox &it : list) {
		if (it.health != BoxHealth::BH_UP) {
			closed.insert(it.name);
		}
	}
	return closed;
}

std::unique_ptr<ViewEndpointT> EndpointOf(const Box &box, bool closed)
{
	auto it = std::make_unique<ViewEndpointT>();
	it->box = box.name.Value();
	it->pool = box.pool.Value();
	it->zone = box.zone.Value();
	it->rack = box.rack.Value();
	it->address = box.address;
	it->slots = box.slots.Value();
	it->epoch = box.epoch.Value();
	it->open = TakesWork(box) && !closed;
	it->permit = box.permit.Value();
	return it;
}

std::unique_ptr<ViewRowT> RowOf(const ServiceRow &row)
{
	auto it = std::make_unique<ViewRowT>();
	it->service = row.service.Value();
	it->pool = row.pool.Value();
	it->weight = row.weight;
	it->floor = row.floor.Value();
	it->ceiling = row.ceiling.Value();
	it->work_class = static_cast<uint8_t>(row.work_class);
	it->repeatable = row.repeatable;
	return it;
}

std::unique_ptr<ViewPeerT> PeerOf(const Member &member)
{
	auto it = std::make_unique<ViewPeerT>();
	it->member = member.name.Value();
	it->zone = member.zone.Value();
	it->address = member.address;
	it->frames = member.frames;
	it->since = member.since.Value();
	it->incarnation = member.incarnation.Value();
	return it;
}

} // namespace

ViewT BuildView(const FleetState &fleet, const ZoneName &zone, const std::vector<ListedBox> &list)
{
	ViewT view;
	view.offset = fleet.offset.Value();
	const std::set<BoxName> closed = NotUpInList(list);
	std::map<PoolName, uint32_t> slots;
	for (const auto &[name, box] : fleet.boxes) {
		slots[box.pool] += box.slots.Value();
		if (box.zone == zone) {
			view.endpoints.push_back(EndpointOf(box, closed.contains(name)));
		}
	}
	for (const auto &[pool, sum] : slots) {
		auto it = std::make_unique<ViewPoolT>();
		it->pool = pool.Value();
		it->slots = sum;
		view.pools.push_back(std::move(it));
	}
	for (const auto &[service, row] : fleet.rows) {
		view.rows.push_back(RowOf(row));
	}
	for (const auto &[name, member] : fleet.members) {
		if (member.role == MemberRole::MR_ENTRY) {
			view.peers.push_back(PeerOf(member));
		}
	}
	for (const auto &[name, change] : fleet.zones) {
		view.zones.push_back(name.Value());
	}
	if (const auto it = fleet.zones.find(zone); it != fleet.zones.end()) {
		view.zone_changes = it->second.changes;
		view.zone_changed = it->second.last.Value();
	}
	view.hash = HashView(view);
	return view;
}

ViewT DiffView(const ViewT &from, const ViewT &to)
{
	ViewT diff;
	diff.version = to.version;
	diff.base_version = from.version;
	diff.offset = to.offset;
	diff.hash = to.hash;
	diff.zone_changes = to.zone_changes;
	diff.zone_changed = to.zone_changed;
	DiffParts(
			from.endpoints, to.endpoints, [](const ViewEndpointT &it) { return it.box; }, diff.endpoints,
			diff.removed_endpoints);
	DiffParts(
			from.rows, to.rows, [](const ViewRowT &it) { return it.service; }, diff.rows, diff.removed_services);
	DiffParts(
			from.peers, to.peers, [](const ViewPeerT &it) { return it.member; }, diff.peers, diff.removed_peers);
	if (!SameParts(from.pools, to.pools)) {
		CopyParts(to.pools, diff.pools);
	}
	if (from.zones != to.zones) {
		diff.zones = to.zones;
	}
	return diff;
}

ViewT CopyView(const ViewT &view)
{
	ViewT copy;
	copy.version = view.version;
	copy.base_version = view.base_version;
	copy.offset = view.offset;
	copy.hash = view.hash;
	copy.zone_changes = view.zone_changes;
	copy.zone_changed = view.zone_changed;
	copy.zones = view.zones;
	CopyParts(view.pools, copy.pools);
	CopyParts(view.endpoints, copy.endpoints);
	CopyParts(view.rows, copy.rows);
	CopyParts(view.peers, copy.peers);
	return copy;
}
