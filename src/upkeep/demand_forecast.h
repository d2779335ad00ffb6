/** @file demand_forecast.h Learns in which order the demand of pools rises, and which pools should hold idle boxes for
 * the next rise. No I/O. */
#ifndef DEMAND_FORECAST_H
#define DEMAND_FORECAST_H

#include "../store/keyed_log.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/** Demand of a pool at a decision, in thousandths of a core. */
struct PoolDemand {
	int64_t used = 0;    ///< In use.
	int64_t waiting = 0; ///< Demanded by waiting tasks.
	int64_t minimum = 0; ///< What the pool keeps in any case; a demand below it is no rise.
	double box_cpu = 1;  ///< CPU of a box.
};

/** @return Thousandths of a core by which a demand varies by chance, at most. The demand of many independent jobs
 * varies by about the square root of their number. @param cpu The demand. @param box_cpu CPU of a box. @param factor
 * Multiple of the square root of the demand in boxes. */
double RandomVariationOf(double cpu, double box_cpu, double factor);

/**
 * Forecast of the next rise. A turn begins with the rise of a pool and ends with the next rise of any pool. The shares
 * of a turn change only when a pool appears or disappears, so a box that was moved by them isn't moved again by them in
 * the same turn. The record holds no times, since clocks of nodes differ: what is known of a peak in progress isn't
 * recorded.
 */
class DemandForecast {
public:
	/** @return Whether a record belongs to the forecast. @param key Key of the record. */
	static bool IsForecastKey(const std::string &key);
	/** Restores the record of an earlier fleet owner. Of two records the newer one counts. @param value Value of the
	 * record. @return Whether it could be decoded. */
	bool Restore(const std::string &value);
	/** @return Record of what was learned since the last call, or nothing. */
	std::optional<KeyedRecord> TakeRecord();

	/** Learns from the demand of a pool. @param pool The pool. @param demand Its demand. @param now Current time. */
	void Observe(const ServiceName &pool, const PoolDemand &demand, Millis now);

	/** @return Shares of the idle boxes that pools should hold for the next rise; their sum is 1. Empty while no rise
	 * was seen, or if no pool is expected to rise. @param now Current time. */
	[[nodiscard]] std::map<ServiceName, double> Shares(Millis now) const;
	/** @return Number of the present turn, which began with the last rise; 0 before the first one. */
	[[nodiscard]] uint64_t Turn() const { return this->turn; }
	/** @return Whether the last peak of a pool is over. @param pool The pool. */
	[[nodiscard]] bool PeakIsOver(const ServiceName &pool) const;
	/** @return Whether no pool is on the way to its peak: until then it isn't known how many boxes it needs. @param now
	 * Current time. */
	[[nodiscard]] bool Settled(Millis now) const;
	/** @return Thousandths of a core that a pool is expected to use at its next peak: as at its last one, or at the
	 * highest one of any pool while it has had none. @param pool The pool. */
	[[nodiscard]] int64_t ExpectedPeak(const ServiceName &pool) const;

private:
	/** A peak, from the begin of its rise to the next rise of the pool. */
	struct Peak {
		Millis began;                      ///< When the rise began.
		int64_t top = 0;                   ///< Highest use, up to variations by chance.
		Millis top_at;                     ///< When it was reached.
		double level = 0;                  ///< Mean use at the decisions of the peak.
		int64_t decisions = 0;             ///< Number of these decisions.
		Millis high_at;                    ///< When the demand was at the level last.
		std::optional<Millis> below_since; ///< Since when the demand is below the level by more than chance.
		bool waiting = false;              ///< Whether tasks waited at the last decision.

		static Peak BeginAt(Millis now) { return Peak{now, 0, now, 0, 0, now, std::nullopt, false}; }
	};

	/** What is known of a pool. */
	struct Row {
		std::optional<Millis> seen; ///< Time of the last observation by this owner.
		uint64_t rise_turn = 0;     ///< Turn that began with its last rise; 0 for none.
		uint64_t over_turn = 0;     ///< Turn in which its last peak was over.
		int64_t peak = 0;           ///< Highest use of its last peak.
		bool in_peak = false;       ///< Whether its last peak isn't over.
		/** Lowest demand seen since its last peak. None was seen before the first decision: all of the demand that is
		 * there counts as a rise. */
		int64_t lowest = 0;
		std::optional<Peak> last; ///< Its last peak, as far as this owner has seen it.
		/** How often pools rose next after it, where each later rise halves the earlier counts. */
		std::map<ServiceName, double> next;
	};

	uint64_t version = 0;             ///< Number of changes learned.
	uint64_t recorded = 0;            ///< Version of the last record.
	uint64_t turn = 0;                ///< Number of the present turn; 0 before the first rise.
	std::optional<Millis> turn_began; ///< When it began, if this owner has seen it.
	std::map<ServiceName, Row> rows;  ///< Pools.

	[[nodiscard]] static bool IsPresent(const Row &row, Millis now);
	[[nodiscard]] static bool IsRise(const Row &row, const PoolDemand &demand);
	void BeginRise(const ServiceName &pool, Row &row, Millis now);
	static void Follow(Peak &peak, const PoolDemand &demand, Millis now);
	void UpdatePeak(Row &row, const PoolDemand &demand, Millis now);
	[[nodiscard]] Row *LastRisen();
	/** @return Pools among which boxes are split evenly, as far as no earlier rise tells which one is next. @param now
	 * Current time. */
	[[nodiscard]] std::vector<ServiceName> Candidates(Millis now) const;
};

#endif /* DEMAND_FORECAST_H */
