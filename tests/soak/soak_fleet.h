/** @file soak_fleet.h The boxes of a test with real processes: their agents behind proxies, and their reports. */
#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include "soak_boxes.h"
#include "soak_proxy.h"
#include "soak_store.h"

const Resources FULL_CAPACITY{8000, 8000, 0}; ///< Capacity of a box.

/** Boxes of the services "calc" and "grid", which publish their reports in the store. */
class SoakFleet {
public:
	/** @param scheduler Event loop. @param store Store that has the reports; outlives this object. @param boxes Server
	 * of the agents; outlives this object. */
	SoakFleet(QtScheduler &scheduler, SoakStore &store, SoakBoxes &boxes)
			: scheduler(scheduler), store(store), boxes(boxes)
	{
	}

	/** Adds boxes. @param per_service Number of boxes of each service. */
	void Add(int per_service);
	/** Publishes the reports of all boxes, now and at an interval. */
	void Publish();

	std::vector<std::unique_ptr<SoakProxy>> proxies; ///< Connections to the agents, one a box.

private:
	QtScheduler &scheduler; ///< Event loop.
	SoakStore &store;       ///< Store that has the reports.
	SoakBoxes &boxes;       ///< Server of the agents.
};

#endif /* SOAK_FLEET_H */
