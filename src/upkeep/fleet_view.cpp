/** @file fleet_view.cpp Index of a snapshot of the fleet. */
#include "fleet_view.h"

FleetIndex::FleetIndex(const FleetView &view)
{
	for (const MachineRow &row : view.machines) {
		this->machines_by_name.emplace(row.box.Value(), &row);
		this->pool_sizes[row.pool]++;
	}
	for (const auto &[pool, status] : view.pools) {
		for (const PoolBox &box : status.boxes) {
			this->boxes_by_id.emplace(box.incarnation.id.Value(), ReportedBox{&pool, &box});
		}
	}
}

const MachineRow *FleetIndex::FindMachine(const BoxName &box) const
{
	const auto it = this->machines_by_name.find(box.Value());
	return it == this->machines_by_name.end() ? nullptr : it->second;
}

const PoolBox *FleetIndex::FindBox(const MachineRow &row) const
{
	const auto it = this->boxes_by_id.find(row.id.Value());
	return it == this->boxes_by_id.end() || *it->second.pool != row.pool ? nullptr : it->second.box;
}

size_t FleetIndex::PoolSize(const ServiceName &pool) const
{
	const auto it = this->pool_sizes.find(pool);
	return it == this->pool_sizes.end() ? 0 : it->second;
}
