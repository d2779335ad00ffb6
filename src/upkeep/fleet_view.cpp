/** @file fleet_view.cpp Index of what is known of the fleet. */
#include "fleet_view.h"

FleetIndex::FleetIndex(const FleetView &view)
{
	for (const MachineRow &row : view.machines) {
		this->rows.emplace(row.box.Value(), &row);
		this->sizes[row.pool]++;
	}
	for (const auto &[pool, status] : view.pools) {
		for (const PoolBox &box : status.boxes) {
			this->statuses.emplace(box.incarnation.id.Value(), Told{&pool, &box});
		}
	}
}

const MachineRow *FleetIndex::Row(const BoxName &box) const
{
	const auto it = this->rows.find(box.Value());
	return it == this->rows.end() ? nullptr : it->second;
}

const PoolBox *FleetIndex::Status(const MachineRow &row) const
{
	const auto it = this->statuses.find(row.id.Value());
	return it == this->statuses.end() || *it->second.pool != row.pool ? nullptr : it->second.box;
}

size_t FleetIndex::Size(const ServiceName &pool) const
{
	const auto it = this->sizes.find(pool);
	return it == this->sizes.end() ? 0 : it->second;
}
