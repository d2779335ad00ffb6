/** @file budget_func.cpp Availability budgets: whether one more box of a pool may be taken down for planned work. */
#include "budget_func.h"

#include <algorithm>
#include <array>
#include <utility>

namespace {

constexpr std::array _headroom_guards = {Guard::GD_BOX, Guard::GD_RACK, Guard::GD_ZONE}; ///< All but GD_NONE.

/** Slots by failure domain, in a flat list: a pool has too few domains for a map to be faster. */
class DomainSums {
public:
	/**
	 * Adds slots to the sum of a domain.
	 * @param key Key of the domain: Box::zone_key or Box::rack_key.
	 * @param slots Slots to add.
	 */
	void Add(uint64_t key, uint64_t slots)
	{
		const auto it = std::ranges::find(this->sums, key, &Sum::key);
		if (it == this->sums.end()) {
			this->sums.push_back(Sum{key, slots});
		} else {
			it->slots += slots;
		}
	}

	/** @return The largest sum, 0 without domains. */
	[[nodiscard]] uint64_t Largest() const
	{
		const auto it = std::ranges::max_element(this->sums, {}, &Sum::slots);
		return it == this->sums.end() ? 0 : it->slots;
	}

private:
	/** Slots of one domain. */
	struct Sum {
		uint64_t key = 0;   ///< Key of the domain.
		uint64_t slots = 0; ///< Its slots.
	};

	std::vector<Sum> sums; ///< All domains.
};

/** Boxes of a pool that take no work, in the failure domains of one box. */
struct DownCount {
	uint32_t zone = 0; ///< Such boxes in the same availability zone.
	uint32_t rack = 0; ///< Such boxes in the same rack, also included in `zone`.
};

/**
 * Counts the other boxes of a pool that accept no new work and share a zone or rack with a box.
 * @param pool The pool.
 * @param box The box, itself not counted.
 * @return The counts.
 */
DownCount CountDownInDomains(const PoolModel &pool, const Box &box)
{
	DownCount down;
	for (const Box &it : pool.boxes) {
		if (it.name == box.name || TakesWork(it) || it.zone_key != box.zone_key) {
			continue;
		}
		down.zone++;
		down.rack += it.rack_key == box.rack_key ? 1 : 0;
	}
	return down;
}

} // namespace

uint64_t PoolCapacity::LossOf(Guard guard) const
{
	switch (guard) {
	case Guard::GD_BOX:
		return this->largest_box;
	case Guard::GD_RACK:
		return this->largest_rack;
	case Guard::GD_ZONE:
		return this->largest_zone;
	case Guard::GD_NONE:
		break;
	}
	return 0;
}

bool TakesWork(const Box &box)
{
	return box.state == BoxState::BS_SERVING && box.health == BoxHealth::BH_UP;
}

PoolModel PoolModelOf(const FleetState &fleet, const PoolName &pool)
{
	PoolModel model;
	model.name = pool;
	for (const auto &[service, row] : fleet.rows) {
		if (row.pool == pool) {
			model.rows.push_back(row);
		}
	}
	for (const auto &[name, box] : fleet.boxes) {
		if (box.pool == pool) {
			model.boxes.push_back(box);
		}
	}
	return model;
}

std::map<PoolName, PoolModel> PoolModelsOf(const FleetState &fleet)
{
	std::map<PoolName, PoolModel> models;
	for (const auto &[service, row] : fleet.rows) {
		models[row.pool].rows.push_back(row);
	}
	for (const auto &[name, box] : fleet.boxes) {
		models[box.pool].boxes.push_back(box);
	}
	for (auto &[name, model] : models) {
		model.name = name;
	}
	return models;
}

PoolCapacity CapacityOf(const PoolModel &pool, const BoxName *excluded)
{
	PoolCapacity capacity;
	DomainSums racks;
	DomainSums zones;
	for (const Box &it : pool.boxes) {
		if (!TakesWork(it) || (excluded != nullptr && it.name == *excluded)) {
			continue;
		}
		const uint64_t slots = it.slots.Value();
		capacity.up += slots;
		capacity.largest_box = std::max(capacity.largest_box, slots);
		racks.Add(it.rack_key, slots);
		zones.Add(it.zone_key, slots);
	}
	capacity.largest_rack = racks.Largest();
	capacity.largest_zone = zones.Largest();
	return capacity;
}

PoolFloors FloorsOf(const PoolModel &pool)
{
	PoolFloors floors;
	for (const ServiceRow &row : pool.rows) {
		for (int guard = 0; guard <= static_cast<int>(row.guard); guard++) {
			floors.must_survive[guard] += row.floor.Value();
		}
	}
	return floors;
}

bool FloorsHold(const PoolCapacity &capacity, const PoolFloors &floors, bool with_headroom)
{
	if (capacity.up < floors.All()) {
		return false;
	}
	return !with_headroom || std::ranges::all_of(_headroom_guards, [&](Guard guard) {
		return capacity.up - capacity.LossOf(guard) >= floors.must_survive[static_cast<int>(guard)];
	});
}

uint64_t HeadroomOf(const PoolCapacity &capacity, const PoolFloors &floors)
{
	uint64_t headroom = 0;
	for (Guard guard : _headroom_guards) {
		if (floors.must_survive[static_cast<int>(guard)] > 0) {
			headroom = std::max(headroom, capacity.LossOf(guard));
		}
	}
	return headroom;
}

Result CheckBudget(const PoolModel &pool, const Box &box, bool urgent)
{
	const PoolCapacity after = CapacityOf(pool, &box.name);
	const PoolFloors floors = FloorsOf(pool);
	if (!FloorsHold(after, floors, !urgent)) {
		return {ResultCode::RC_BUDGET_FLOOR, "pool " + pool.name.Value() + " would keep " + std::to_string(after.up) +
													 " slots, floors " + std::to_string(floors.All()) +
													 (urgent ? "" : ", and headroom for the largest domain")};
	}
	const DownCount down = CountDownInDomains(pool, box);
	/* A budget of 0 sets no limit. */
	for (const ServiceRow &row : pool.rows) {
		if (row.zone_budget != 0 && down.zone + 1 > row.zone_budget) {
			return {ResultCode::RC_BUDGET_ZONE, "service " + row.service.Value() + ", zone " + box.zone.Value()};
		}
		if (row.rack_budget != 0 && down.rack + 1 > row.rack_budget) {
			return {ResultCode::RC_BUDGET_RACK, "service " + row.service.Value() + ", rack " + box.rack.Value()};
		}
	}
	return {};
}
