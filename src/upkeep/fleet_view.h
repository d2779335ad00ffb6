/** @file fleet_view.h A snapshot of the fleet's machines and pools, and an index of it. */
#ifndef FLEET_VIEW_H
#define FLEET_VIEW_H

#include "../jobs/evacuation_type.h"
#include "../jobs/shard_type.h"
#include "machine_control.h"

#include <map>
#include <string_view>
#include <unordered_map>

/** A snapshot of the fleet. */
struct FleetView {
	std::vector<MachineRow> machines;        ///< All machines, as just listed.
	std::map<ServiceName, PoolStatus> pools; ///< Status by pool, as owners report it; absent without an answer.
	std::set<ServiceName> reserves;          ///< Reserve pools, whose boxes are switched off.
	EvacuatedZones evacuated;                ///< Zones whose boxes may not start tasks.
};

/**
 * Finds machines and boxes of a view by name. Built once for each decision: a linear search through all machines for
 * each box would be quadratic in the number of boxes.
 */
class FleetIndex {
public:
	/** @param view The view to index; outlives this and isn't changed meanwhile. */
	explicit FleetIndex(const FleetView &view);

	/** @return The machine, or null when it isn't listed. @param box Its name. */
	[[nodiscard]] const MachineRow *FindMachine(const BoxName &box) const;
	/** @return A machine's box as the owner of the machine's pool reports it, or null. @param row The listed machine.
	 */
	[[nodiscard]] const PoolBox *FindBox(const MachineRow &row) const;
	/** @return Number of machines in a pool, in any state. @param pool Name of the pool. */
	[[nodiscard]] size_t PoolSize(const ServiceName &pool) const;

private:
	/** A box, and the pool whose owner reports it. */
	struct ReportedBox {
		const ServiceName *pool; ///< Name of the pool.
		const PoolBox *box;      ///< Report on the box.
	};

	std::unordered_map<std::string_view, const MachineRow *> machines_by_name; ///< Machines by name.
	std::unordered_map<std::string_view, ReportedBox> boxes_by_id; ///< Boxes by agent id; each is in one pool.
	std::map<ServiceName, size_t> pool_sizes;                      ///< Number of machines by pool.
};

#endif /* FLEET_VIEW_H */
