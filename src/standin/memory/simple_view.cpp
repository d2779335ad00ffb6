/** @file simple_view.cpp Views for tests and benches that run without a fleet. */
#include "simple_view.h"

namespace {

constexpr uint32_t CEILING = 1000000; ///< Ceiling of each service in slots; high enough not to limit.

} // namespace

glade::wire::ViewT SimpleView(const SimpleViewSpec &spec)
{
	glade::wire::ViewT view;
	view.version = spec.version;
	view.offset = spec.version;
	view.zone_changes = spec.version;
	for (uint32_t i = 0; i < spec.endpoints; i++) {
		auto it = std::make_unique<glade::wire::ViewEndpointT>();
		it->box = "box-" + std::to_string(i);
		it->address = spec.address.empty() ? std::to_string(i) : spec.address;
		it->pool = "p";
		it->zone = "z";
		it->slots = spec.slots;
		it->open = true;
		view.endpoints.push_back(std::move(it));
	}
	for (size_t i = 0; i < spec.services.size(); i++) {
		auto row = std::make_unique<glade::wire::ViewRowT>();
		row->service = spec.services[i];
		row->pool = "p";
		row->weight = 1;
		row->ceiling = CEILING;
		row->work_class = static_cast<uint8_t>(spec.services.size() > 1 ? i : 1);
		view.rows.push_back(std::move(row));
	}
	for (const std::string &name : spec.peers) {
		auto peer = std::make_unique<glade::wire::ViewPeerT>();
		peer->member = name;
		peer->zone = "z";
		peer->incarnation = 1;
		view.peers.push_back(std::move(peer));
	}
	view.hash = HashView(view);
	return view;
}
