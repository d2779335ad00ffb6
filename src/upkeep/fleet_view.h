/** @file fleet_view.h What is known of the fleet at one look, and an index of it. */
#ifndef FLEET_VIEW_H
#define FLEET_VIEW_H

#include "../jobs/shard_type.h"
#include "machine_control.h"

#include <map>
#include <string_view>
#include <unordered_map>

/** What is known of the fleet. */
struct FleetView {
	std::vector<MachineRow> machines;        ///< All machines, newly listed.
	std::map<ServiceName, PoolStatus> pools; ///< Pools, as their owners see them; absent when unknown.
	std::set<ServiceName> reserves;          ///< Pools whose boxes are off.
};

/**
 * Finds machines and boxes of a view by name. Made once a look, since a search through all machines for each box
 * grows with boxes times boxes.
 */
class FleetIndex {
public:
	/** @param view The view; outlives this and stays as it is. */
	explicit FleetIndex(const FleetView &view);

	/** @return A machine, or null. @param box Its name. */
	[[nodiscard]] const MachineRow *Row(const BoxName &box) const;
	/** @return A machine's box as its pool's owner sees it, or null. @param row The machine. */
	[[nodiscard]] const PoolBox *Status(const MachineRow &row) const;
	/** @return Machines in a pool. @param pool The pool. */
	[[nodiscard]] size_t Size(const ServiceName &pool) const;

private:
	/** A box, and the pool whose owner told of it. */
	struct Told {
		const ServiceName *pool; ///< The pool.
		const PoolBox *box;      ///< The box.
	};

	std::unordered_map<std::string_view, const MachineRow *> rows; ///< By name.
	std::unordered_map<std::string_view, Told> statuses;           ///< By id: each is in one pool.
	std::map<ServiceName, size_t> sizes;                           ///< By pool.
};

#endif /* FLEET_VIEW_H */
