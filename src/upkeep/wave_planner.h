/** @file wave_planner.h Maintenance waves: which box is emptied and taken down next. Pure: it only decides. */
#ifndef WAVE_PLANNER_H
#define WAVE_PLANNER_H

#include "../jobs/shard_base.h"
#include "../jobs/site_feed.h"
#include "fleet_view.h"

/** Figures of waves. */
struct WaveLimits {
	double pool_share = 0.25;          ///< Boxes of a pool that are emptied or down for waves at once, at least one.
	double late_share = 0.5;           ///< The same once two thirds of a wave's time have passed.
	Millis forget_down = Millis(8000); ///< A box that was ordered down and is not seen down or back is counted so long.
};

/** What the desk wants done now. */
struct WaveActions {
	std::map<ServiceName, std::set<BoxName>> drain;     ///< Boxes to be emptied, by pool.
	std::map<ServiceName, std::set<BoxName>> due;       ///< Boxes that will be emptied later, by pool.
	std::vector<std::pair<BoxName, uint64_t>> maintain; ///< Empty boxes to take down, with their waves.
	std::vector<uint64_t> completed;                    ///< Waves of which every box has begun.
};

/** Decides on waves. At most so many boxes of a wave are down at once as its order says. */
class WavePlanner {
public:
	/** @param limits Figures. */
	explicit WavePlanner(WaveLimits limits) : limits(limits) {}

	/** Takes a wave; one that is known is ignored. @param order It. @param now The time. */
	void Add(const WaveOrder &order, Millis now);
	/** Takes over what is recorded. @param wave The wave. @param box The box, whose maintenance has begun. */
	void Restore(uint64_t wave, const BoxName &box) { this->begun[wave].insert(box); }
	/** Takes over that a wave was reported as completed. @param wave The wave. */
	void RestoreCompleted(uint64_t wave) { this->completed.insert(wave); }

	/** @return What to do now. @param view The fleet. @param now The time. */
	WaveActions Decide(const FleetView &view, Millis now);
	/** An order is about to leave. @param box The box. @param wave Its wave. @param id Its agent's id. @param now The
	 * time. */
	void RecordOrder(const BoxName &box, uint64_t wave, const BoxId &id, Millis now);
	/** An order has ended. @param box The box. @param wave Its wave. @param outcome How. */
	void RecordOutcome(const BoxName &box, uint64_t wave, ControlOutcome outcome);
	/** A wave was reported as completed. @param wave The wave. */
	void MarkReported(uint64_t wave) { this->completed.insert(wave); }

	/** @return Boxes that are being emptied or are down for a wave. */
	[[nodiscard]] std::set<BoxName> Taken() const;
	/** Boxes were chosen for something else: no wave empties them meanwhile. @param boxes Them. */
	void SetExcluded(const std::set<BoxName> &boxes) { this->others = boxes; }
	/** @return Whether any wave is under way. */
	[[nodiscard]] bool Active() const;
	/** @return Whether a box is to be maintained yet. @param box The box. */
	[[nodiscard]] bool IsDue(const BoxName &box) const;

private:
	/** A wave. */
	struct Wave {
		WaveOrder order; ///< As ordered.
		Millis since;    ///< When it was heard of.
	};

	/** A box that was ordered down. */
	struct Down {
		uint64_t wave = 0; ///< For which wave.
		BoxId before;      ///< Its agent's id before; one that comes back may have the same.
		Millis at;         ///< When it was ordered.
		bool seen = false; ///< Whether it was seen down.
	};

	WaveLimits limits;                           ///< Figures.
	std::map<uint64_t, Wave> waves;              ///< Waves.
	std::map<uint64_t, std::set<BoxName>> begun; ///< Boxes whose maintenance has begun, by wave.
	std::set<uint64_t> completed;                ///< Waves reported as completed.
	std::map<BoxName, Down> down;                ///< Boxes that are down, or may be.
	std::map<BoxName, uint64_t> draining;        ///< Boxes being emptied.
	std::set<BoxName> others;                    ///< Boxes that move meanwhile.

	void NoteReturns(const FleetView &view, const FleetIndex &index, Millis now);
	void DecideWave(const Wave &wave, const FleetView &view, const FleetIndex &index, Millis now, WaveActions &actions);
	std::vector<const MachineRow *> OpenOf(const Wave &wave, const FleetIndex &index, WaveActions &actions);
	void Empty(const Wave &wave, const std::vector<const MachineRow *> &open, const FleetView &view,
			   const FleetIndex &index, Millis now, WaveActions &actions);
	[[nodiscard]] size_t Taken(uint64_t wave) const;
	[[nodiscard]] std::map<ServiceName, size_t> TakenByPool(const FleetIndex &index) const;
};

#endif /* WAVE_PLANNER_H */
