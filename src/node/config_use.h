/** @file config_use.h Records by which version of the configuration, and how old a one, callers' requests are decided.
 */
#ifndef CONFIG_USE_H
#define CONFIG_USE_H

#include "../event_log.h"
#include "../request/latency_meter.h"
#include "../scheduler_type.h"

#include <memory>
#include <string>

/** A request that was decided by the configuration. */
struct ConfigDecision {
	uint64_t version = 0;     ///< Version that decided.
	Millis age;               ///< Time since that version was last known to be the newest.
	bool route_found = false; ///< Whether the configuration has a route for the request.
	std::string path;         ///< Path of the request.
};

/** Keeps statistics of the age of the configuration at each decision, and logs, at most once a second, decisions by an
 * old configuration and requests without a route. */
class ConfigUseLog {
public:
	/** @param scheduler Clock and timers. @param events Event log; must outlive this. */
	ConfigUseLog(Scheduler &scheduler, EventLog &events) : scheduler(scheduler), events(events) {}

	/** Records a decision. @param decision The decision. */
	void Note(const ConfigDecision &decision);

	/** @return Statistics of the age at all decisions so far, in ms. */
	[[nodiscard]] LatencyMeter::Summary Ages() const { return this->ages.Read(); }
	/** @return Number of requests without a route so far. */
	[[nodiscard]] uint64_t RoutesNotFound() const { return this->routes_not_found; }

private:
	/** Decisions to be logged with the next line. */
	struct Unwritten {
		uint64_t count = 0;            ///< Number of decisions.
		uint64_t routes_not_found = 0; ///< Those without a route.
		ConfigDecision oldest;         ///< The one with the oldest configuration.
	};

	Scheduler &scheduler;                                       ///< Clock and timers.
	EventLog &events;                                           ///< Event log.
	LatencyMeter ages;                                          ///< See Ages().
	uint64_t routes_not_found = 0;                              ///< See RoutesNotFound().
	Unwritten unwritten;                                        ///< Decisions since the last line.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	void Write();
};

#endif /* CONFIG_USE_H */
