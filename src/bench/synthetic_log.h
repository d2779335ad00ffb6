/** @file synthetic_log.h A log as a fleet of a given size would have written it. */
#ifndef SYNTHETIC_LOG_H
#define SYNTHETIC_LOG_H

#include "simulated_fleet.h"

/** Sizes of a fleet's state. */
struct SyntheticSize {
	uint32_t boxes = 50;  ///< Boxes.
	uint32_t pools = 5;   ///< Pools, one service each.
	uint32_t teams = 10;  ///< Teams.
	uint32_t zones = 4;   ///< Availability zones.
	uint32_t entries = 8; ///< Entries.
	uint32_t jobs = 200;  ///< Jobs remembered at once.
};

/**
 * @param preset A preset.
 * @return Its sizes.
 */
SyntheticSize SyntheticSizeOf(const FleetPreset &preset);

/**
 * Makes a log: set-up, then changes of all kinds in the proportions of an ordinary day.
 * @param size Sizes.
 * @param records Records after the set-up.
 * @param seed Seed.
 * @return The records.
 */
std::vector<LogRecord> SyntheticLog(const SyntheticSize &size, size_t records, uint64_t seed);

#endif /* SYNTHETIC_LOG_H */
