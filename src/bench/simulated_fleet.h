/** @file simulated_fleet.h A generated fleet and its script of events: what the fold and the planner are stepped over.
 */
#ifndef SIMULATED_FLEET_H
#define SIMULATED_FLEET_H

#include "../fleet/table_func.h"
#include "../planner/planner_type.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>
#include <vector>

/** Sizes and rates of a deployment. */
struct FleetPreset {
	std::string name;                      ///< Name.
	uint32_t zones = 4;                    ///< Availability zones.
	uint32_t racks_per_zone = 4;           ///< Racks in each.
	uint32_t boxes = 50;                   ///< Boxes, spread over the racks.
	uint32_t pools = 5;                    ///< Pools, one service each.
	uint32_t teams = 10;                   ///< Teams with quotas.
	uint32_t slots = 8;                    ///< Slots of a box.
	Guard guard = Guard::GD_ZONE;          ///< What floors must survive.
	uint32_t floors_percent = 52;          ///< Sum of all floors against all slots.
	double failures_per_day = 0.6;         ///< Boxes that fail.
	double restarts_per_day = 4.6;         ///< Boxes that are restarted by others.
	double rack_losses_per_day = 1.0 / 45; ///< Racks lost for some hours.
	double zone_losses_per_day = 1.0 / 60; ///< Zones lost for some hours.
	double table_changes_per_day = 20;     ///< Cells changed.
	double jobs_per_day = 400;             ///< Jobs accepted.
	bool lindeboom_policy = false;         ///< Which weights the planner uses.
};

/**
 * @param name greenhouse, lindeboom or letter1.
 * @return Its sizes and rates.
 */
FleetPreset PresetByName(const std::string &name);

/** Random numbers of a run: the same seed gives the same run, on every machine. */
class RandomSource {
public:
	explicit RandomSource(uint64_t seed) : random(seed) {}

	/** @return A whole number from 0 to `below` - 1. */
	uint64_t UniformBelow(uint64_t below);

	/** @return Whether an event of a rate per day happens within a step. */
	bool EventOccurs(double per_day, Millis step);

	/** @return A span around a mean, exponentially distributed. */
	Millis ExponentialSpan(Millis mean);

private:
	boost::random::mt19937_64 random; ///< The generator.
};

/** The boxes as they really are, and as the platform lists them. */
class SimulatedFleet {
public:
	/**
	 * @param preset Sizes and rates.
	 * @param seed Seed.
	 */
	SimulatedFleet(const FleetPreset &preset, uint64_t seed);

	/**
	 * Lets time pass: boxes fail and come back, racks and zones are lost.
	 * @param now Virtual time.
	 * @param step Time since the last call.
	 */
	void Step(Millis now, Millis step);

	/**
	 * A reboot was ordered.
	 * @param box The box.
	 * @param permit Its permit.
	 * @param now Virtual time.
	 */
	void Reboot(const BoxName &box, PermitId permit, Millis now);

	/** @return The platform's list. */
	[[nodiscard]] std::vector<ListedBox> List() const;

	/** @return The first table. */
	[[nodiscard]] TableEdit InitialTable() const;

	/**
	 * A change of the table that may come within a step.
	 * @param fleet The state.
	 * @param step The step.
	 * @return The edit, without cells when none comes.
	 */
	TableEdit RandomTableEdit(const FleetState &fleet, Millis step);

	RandomSource rng; ///< Random numbers of the script.

private:
	/** A box as it really is. */
	struct SimulatedBox {
		ListedBox listed;       ///< As listed.
		Millis down_until;      ///< Failed or rebooting until then.
		PermitId reboot_permit; ///< Permit of the reboot under way.
		Millis repaired_at;     ///< When a box that failed its checks passes them again.
	};

	FleetPreset preset;                   ///< Sizes and rates.
	std::vector<SimulatedBox> boxes;      ///< All boxes.
	std::vector<uint32_t> initial_floors; ///< Floors of the first table, by pool.

	void TakeDown(Millis until, const std::vector<size_t> &indices);
	[[nodiscard]] std::vector<size_t> BoxesIn(const ZoneName &zone, const RackName *rack) const;
};

/** @return Name of a pool of a generated fleet. */
std::string PoolNameOf(uint32_t n);

/** @return Name of a service of a generated fleet. */
std::string ServiceNameOf(uint32_t n);

#endif /* SIMULATED_FLEET_H */
