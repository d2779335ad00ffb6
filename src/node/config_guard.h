/** @file config_guard.h Keeps requests from being decided by a configuration that may no longer be in force. */
#ifndef CONFIG_GUARD_H
#define CONFIG_GUARD_H

#include "../jobs/site_feed.h"
#include "../scheduler_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

/**
 * Lets a request be decided only once the configuration was known to be the newest a short time ago, whatever has
 * delayed the news. Otherwise it waits while the store and other nodes are asked. A node that reaches none of them goes
 * on with what it has: after a failed attempt requests no longer wait until the configuration was confirmed again.
 */
class ConfigGuard {
public:
	/** Asks for a newer configuration, and calls back with each answer: with true if the one at hand is the newest,
	 * with false if the feed has to be looked at. */
	using Refresh = std::function<void(std::function<void(bool)>)>;
	/** Called with whether the configuration is confirmed. */
	using Done = std::function<void(bool)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param feed Source of the configuration; outlives this object.
	 * @param refresh Asks for a newer configuration.
	 * @param in_force_within Time from the publication of a configuration within which it must be in force.
	 */
	ConfigGuard(Scheduler &scheduler, const SiteFeed &feed, Refresh refresh, Millis in_force_within);

	/** @return Time since the configuration was last known to be the newest. */
	[[nodiscard]] Millis Age() const;
	/** @return Whether the configuration is confirmed: known to have been the newest a short time ago. */
	[[nodiscard]] bool Confirmed() const { return this->Age() <= this->age_max; }
	/** Waits until the configuration is confirmed, or the attempt has failed. @param done Receives the result, possibly
	 * from inside the call. */
	void Await(Done done);

private:
	Scheduler &scheduler;                                       ///< Clock and timers.
	const SiteFeed &feed;                                       ///< Source of the configuration.
	Refresh refresh;                                            ///< Asks for a newer configuration.
	Millis age_max;                                             ///< Age up to which the configuration is confirmed.
	Millis refreshed_as_of;                                     ///< Start of the last successful refresh.
	Millis refresh_started_at;                                  ///< Start of the last refresh.
	uint64_t refreshes = 0;                                     ///< Number of refreshes started.
	bool refreshing = false;                                    ///< Whether a refresh is in progress.
	std::optional<Millis> failed_at;                            ///< When the last refresh failed.
	std::vector<Done> waiting;                                  ///< Wait for the end of the refresh.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	/** @return Time at which the configuration was last known to be the newest. */
	[[nodiscard]] Millis ConfirmedAsOf() const;
	/** @return Whether the last refresh failed, and nothing has confirmed the configuration since. */
	[[nodiscard]] bool FailedLast() const { return this->failed_at && this->ConfirmedAsOf() < *this->failed_at; }
	void StartRefresh();
	void OnAnswer(Millis started_at, bool newest);
	void EndRefresh();
};

#endif /* CONFIG_GUARD_H */
