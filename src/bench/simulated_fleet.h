/** @file simulated_fleet.h A simulated fleet with random failures, restarts and table changes. */
#ifndef SIMULATED_FLEET_H
#define SIMULATED_FLEET_H

#include "../fleet/table_func.h"
#include "../planner/planner_type.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>
#include <vector>

/** Sizes and event rates of a deployment. */
struct FleetPreset {
	std::string name;                      ///< Name of the preset.
	uint32_t zones = 4;                    ///< Availability zones.
	uint32_t racks_per_zone = 4;           ///< Racks in each zone.
	uint32_t boxes = 50;                   ///< Boxes, spread evenly over the racks.
	uint32_t pools = 5;                    ///< Pools, with one service each.
	uint32_t teams = 10;                   ///< Teams with quotas.
	uint32_t slots = 8;                    ///< Slots of a box.
	Guard guard = Guard::GD_ZONE;          ///< Failure domain whose loss the floors must survive.
	uint32_t floors_percent = 52;          ///< Sum of all floors in percent of all slots.
	double failures_per_day = 0.6;         ///< Failures of single boxes, which stay down for hours.
	double restarts_per_day = 4.6;         ///< Restarts of boxes without an order by the planner.
	double rack_losses_per_day = 1.0 / 45; ///< Losses of racks for some hours.
	double zone_losses_per_day = 1.0 / 60; ///< Losses of zones for about an hour.
	double table_changes_per_day = 20;     ///< Changes of cells in the service table.
	double jobs_per_day = 400;             ///< Jobs accepted.
	bool lindeboom_policy = false; ///< Whether the planner uses LindeboomPolicy() instead of GreenhousePolicy().
};

/**
 * @param name greenhouse, lindeboom or letter1.
 * @return Sizes and rates; lindeboom has those of greenhouse, and so has any other name.
 */
FleetPreset PresetByName(const std::string &name);

/** Random numbers of a simulation. Boost's distributions give the same numbers for a seed on every platform. */
class RandomSource {
public:
	explicit RandomSource(uint64_t seed) : random(seed) {}

	/** @return Uniformly distributed integer from 0 to `below` - 1. */
	uint64_t UniformBelow(uint64_t below);

	/** @return Whether an event with a daily rate occurs within a step; a rate above one per step counts as one. */
	bool EventOccurs(double per_day, Millis step);

	/** @return Exponentially distributed time span with a given mean. */
	Millis ExponentialSpan(Millis mean);

private:
	boost::random::mt19937_64 random; ///< Generator of the numbers.
};

/** The actual state of all boxes, as the platform lists them. */
class SimulatedFleet {
public:
	/**
	 * @param preset Sizes and event rates.
	 * @param seed Random seed.
	 */
	SimulatedFleet(const FleetPreset &preset, uint64_t seed);

	/**
	 * Advances the simulation: boxes, racks and zones go down and come back.
	 * @param now Virtual time.
	 * @param step Time since the previous call.
	 */
	void Step(Millis now, Millis step);

	/**
	 * Reboots a box; ignored for an unknown box and for the permit of its last reboot.
	 * @param box Box to reboot.
	 * @param permit Permit of the reboot.
	 * @param now Virtual time.
	 */
	void Reboot(const BoxName &box, PermitId permit, Millis now);

	/** @return All boxes as the platform lists them. */
	[[nodiscard]] std::vector<ListedBox> List() const;

	/** @return Initial contents of the service table. */
	[[nodiscard]] TableEdit InitialTable() const;

	/**
	 * Draws the table changes of a step.
	 * @param fleet Current state.
	 * @param step Length of the step.
	 * @return Edit of the table, without cells if nothing changes.
	 */
	TableEdit RandomTableEdit(const FleetState &fleet, Millis step);

	RandomSource rng; ///< Random numbers of the events.

private:
	/** A box and its actual state. */
	struct SimulatedBox {
		ListedBox listed;       ///< Box as the platform lists it.
		Millis down_until;      ///< End of the outage or reboot.
		PermitId reboot_permit; ///< Permit of the reboot under way, empty for none.
		Millis repaired_at; ///< Time at which the box passes its checks again, if it failed them after its last reboot.
	};

	FleetPreset preset;                   ///< Sizes and event rates.
	std::vector<SimulatedBox> boxes;      ///< Boxes in the order of their names.
	std::vector<uint32_t> initial_floors; ///< Floors in the initial table, by pool.

	/** Marks boxes as down until a time, or longer if they are down for longer already. */
	void TakeDown(Millis until, const std::vector<size_t> &indices);
	/** @return Indices of the boxes in a rack of a zone; with a null rack, in the whole zone. */
	[[nodiscard]] std::vector<size_t> BoxesIn(const ZoneName &zone, const RackName *rack) const;
};

/** @return Name of the pool with index `n`. */
std::string PoolNameOf(uint32_t n);

/** @return Name of the service with index `n`. */
std::string ServiceNameOf(uint32_t n);

#endif /* SIMULATED_FLEET_H */
