/** @file synthetic_log.h Generates a log for a fleet of a given size. */
#ifndef SYNTHETIC_LOG_H
#define SYNTHETIC_LOG_H

#include "simulated_fleet.h"

/** Size of the fleet of a generated log. */
struct SyntheticSize {
	uint32_t boxes = 50;  ///< Boxes.
	uint32_t pools = 5;   ///< Pools, one service each.
	uint32_t teams = 10;  ///< Teams.
	uint32_t zones = 4;   ///< Availability zones.
	uint32_t entries = 8; ///< Entries.
	uint32_t jobs = 200;  ///< Maximum of jobs that are accepted and not cancelled.
};

/**
 * @param preset Preset of a deployment.
 * @return Size of its fleet, with three entries per zone and the jobs of a day.
 */
SyntheticSize SyntheticSizeOf(const FleetPreset &preset);

/**
 * Generates a log: initial records, then random cell changes, maintenance permits, and jobs accepted and cancelled.
 * @param size Size of the fleet.
 * @param records Number of records after the initial ones.
 * @param seed Random seed.
 * @return All records, in the order of the log.
 */
std::vector<LogRecord> SyntheticLog(const SyntheticSize &size, size_t records, uint64_t seed);

#endif /* SYNTHETIC_LOG_H */
