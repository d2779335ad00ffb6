/** @file evacuation_type.h Availability zones that operators have evacuated. */
#ifndef EVACUATION_TYPE_H
#define EVACUATION_TYPE_H

#include "../strong_type.h"

#include <cstdint>
#include <set>

/** Availability zones that operators have evacuated: no task may be started there until they take the order back. */
struct EvacuatedZones {
	/** Offset in the operators' records up to which they are taken into account: of two states, the one with the higher
	 * offset is newer. */
	uint64_t as_of = 0;
	std::set<ZoneName> zones; ///< The evacuated zones.

	/** @return Whether a zone is evacuated. @param zone Name of the zone. */
	[[nodiscard]] bool Contains(const ZoneName &zone) const { return this->zones.contains(zone); }
};

#endif /* EVACUATION_TYPE_H */
