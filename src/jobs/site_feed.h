/** @file site_feed.h Source of what operators and boxes publish: the configuration, maintenance waves, evacuated zones
 * and reports. */
#ifndef SITE_FEED_H
#define SITE_FEED_H

#include "evacuation_type.h"
#include "job_type.h"

/** A maintenance wave ordered by operators. */
struct WaveOrder {
	uint64_t number = 0;        ///< Number of the wave.
	std::vector<BoxName> boxes; ///< Boxes to be maintained.
	Millis within;              ///< Time limit of the whole wave.
	uint32_t down_max = 1;      ///< Boxes of the wave that may be down at once.
};

/** Receives what is published. */
class SiteFeedEvents {
public:
	virtual ~SiteFeedEvents() = default;
	virtual void OnConfig(const JobConfig &config) = 0;                 ///< A configuration, newer than the last one.
	virtual void OnWave(const WaveOrder &wave) = 0;                     ///< A maintenance wave.
	virtual void OnEvacuatedZones(const EvacuatedZones &evacuated) = 0; ///< A change of the evacuated zones.
	virtual void OnReport(const BoxReport &report) = 0;                 ///< A box's report.
	virtual void OnReportRemoved(const BoxId &id) = 0;                  ///< The report under an id was removed.
};

/** Follows what operators and boxes publish. */
class SiteFeed {
public:
	virtual ~SiteFeed() = default;

	/** Starts to follow the configuration, waves and evacuated zones. @param events Receiver; must outlive this object.
	 */
	virtual void Start(SiteFeedEvents &events) = 0;
	/** Starts or stops following boxes' reports. @param wanted Whether to follow them. */
	virtual void WatchBoxes(bool wanted) = 0;
	/** Makes sure that all reports published so far have been reported. @param done Called then; never called when the
	 * store can't be reached, or reports aren't followed. */
	virtual void ConfirmReports(std::function<void()> done) = 0;
	/** @return When the last answered request for the configuration was sent. */
	[[nodiscard]] virtual Millis CurrentAsOf() const = 0;
	/** @return When the last answer to a request for the configuration arrived. */
	[[nodiscard]] virtual Millis LastAnswerAt() const = 0;
	/** @return Time up to which all published configurations are known, by this node's reads or by another node's word.
	 */
	[[nodiscard]] virtual Millis ConfirmedAsOf() const { return this->CurrentAsOf(); }
	/** Accepts another node's word that a version was the newest. @param version The version. @param as_of Time at
	 * which it was the newest. */
	virtual void TakeConfirmation(uint64_t /* version */, Millis /* as_of */) {}
	/** Makes sure that the newest configuration has been reported. @param done Called with whether everything published
	 * up to this call is known; may never be called when the store can't be reached. */
	virtual void Confirm(std::function<void(bool)> done) = 0;
	/** @return Version of the configuration reported last; 0 before the first. */
	[[nodiscard]] virtual uint64_t ConfigVersion() const = 0;
	/** @return The configuration reported last, as published; another node passes it to its TakeConfig(). */
	[[nodiscard]] virtual const std::string &ConfigBody() const = 0;
	/** Accepts a configuration read by another node; reported if it is valid and newer. @param body The configuration
	 * as published. */
	virtual void TakeConfig(const std::string &body) = 0;
	/** @return The evacuated zones reported last. */
	[[nodiscard]] virtual const EvacuatedZones &Evacuated() const = 0;
	/** Accepts the evacuated zones as known to another node; reported if they are newer. @param evacuated Its state. */
	virtual void TakeEvacuatedZones(const EvacuatedZones &evacuated) = 0;
};

#endif /* SITE_FEED_H */
