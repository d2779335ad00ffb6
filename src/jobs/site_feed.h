/** @file site_feed.h What operators and boxes publish: the configuration and the boxes' reports. */
#ifndef SITE_FEED_H
#define SITE_FEED_H

#include "job_type.h"

/** Maintenance that operators ask for. */
struct WaveOrder {
	uint64_t number = 0;        ///< Its number.
	std::vector<BoxName> boxes; ///< Boxes due.
	Millis within;              ///< Time for the whole of it.
	uint32_t down_max = 1;      ///< Boxes of the wave that may be down at once.
};

/** Gets what is published. */
class SiteFeedEvents {
public:
	virtual ~SiteFeedEvents() = default;
	virtual void OnConfig(const JobConfig &config) = 0; ///< A configuration, newer than the last one told.
	virtual void OnWave(const WaveOrder &wave) = 0;     ///< A maintenance wave.
	virtual void OnReport(const BoxReport &report) = 0; ///< A box's report.
	virtual void OnReportRemoved(const BoxId &id) = 0;  ///< The report under an id was removed.
};

/** Follows what is published. */
class SiteFeed {
public:
	virtual ~SiteFeed() = default;

	/** Begins to follow the configuration and waves. @param events Gets them; outlives this. */
	virtual void Start(SiteFeedEvents &events) = 0;
	/** Follows boxes' reports, or stops to. @param wanted Whether to follow. */
	virtual void WatchBoxes(bool wanted) = 0;
	/** @return When the last answered question for the configuration was sent. */
	[[nodiscard]] virtual Millis CurrentAsOf() const = 0;
	/** @return When the last answer to such a question came. */
	[[nodiscard]] virtual Millis LastAnswerAt() const = 0;
	/** Makes sure that the newest configuration has been told. @param done Gets whether all that was published by now
	 * is known; perhaps never, when that can't be found out. */
	virtual void Confirm(std::function<void(bool)> done) = 0;
	/** @return Version of the configuration told last; 0 before the first. */
	[[nodiscard]] virtual uint64_t ConfigVersion() const = 0;
	/** @return That configuration as it was published: other nodes read it by TakeConfig(). */
	[[nodiscard]] virtual const std::string &ConfigBody() const = 0;
	/** Takes a configuration that another node has read; told if it is valid and newer. @param body It, as published.
	 */
	virtual void TakeConfig(const std::string &body) = 0;
};

#endif /* SITE_FEED_H */
