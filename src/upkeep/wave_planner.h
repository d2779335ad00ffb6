/** @file wave_planner.h Decides which boxes of a maintenance wave are drained and taken down next. No I/O. */
#ifndef WAVE_PLANNER_H
#define WAVE_PLANNER_H

#include "../jobs/shard_base.h"
#include "../jobs/site_feed.h"
#include "fleet_view.h"

/** Limits of waves. */
struct WaveLimits {
	double max_down_share = 0.25;       ///< Fraction of a pool's boxes drained or down for waves at once; at least one.
	double late_max_down_share = 0.5;   ///< The same after two thirds of a wave's time.
	Millis down_timeout = Millis(8000); ///< A box ordered down, but never listed as down, counts as down this long.
};

/** Actions to take now. */
struct WaveActions {
	std::map<ServiceName, std::set<BoxName>> drain;     ///< Boxes to drain, by pool.
	std::map<ServiceName, std::set<BoxName>> due;       ///< Boxes that will be drained later, by pool.
	std::vector<std::pair<BoxName, uint64_t>> maintain; ///< Empty boxes to take down, with the numbers of their waves.
	std::vector<uint64_t> completed;                    ///< Waves for which maintenance of every listed box has begun.
};

/** Decides on maintenance. At most WaveOrder::down_max boxes of a wave are drained or down at once. */
class WavePlanner {
public:
	/** @param limits Limits of waves. */
	explicit WavePlanner(WaveLimits limits) : limits(limits) {}

	/** Adds a wave; a known one is ignored. @param order Its number, boxes and limits. @param now Current time. */
	void Add(const WaveOrder &order, Millis now);
	/** Restores a record that maintenance of a box has begun. @param wave Number of its wave. @param box Its name. */
	void Restore(uint64_t wave, const BoxName &box) { this->begun[wave].insert(box); }
	/** Restores a record that a wave was reported as completed. @param wave Its number. */
	void RestoreCompleted(uint64_t wave) { this->completed.insert(wave); }

	/** Decides on maintenance from a new view. @return Actions to take now. @param view Snapshot of the fleet.
	 * @param now Current time. */
	WaveActions Decide(const FleetView &view, Millis now);
	/** Records that an order is about to be sent. @param box Name of the box. @param wave Number of its wave. @param id
	 * Id of its agent. @param now Current time. */
	void RecordOrder(const BoxName &box, uint64_t wave, const BoxId &id, Millis now);
	/** Records the outcome of an order. @param box Name of the box. @param wave Number of its wave. @param outcome How
	 * the order ended. */
	void RecordOutcome(const BoxName &box, uint64_t wave, ControlOutcome outcome);
	/** Records that a wave was reported as completed. @param wave Its number. */
	void MarkReported(uint64_t wave) { this->completed.insert(wave); }

	/** @return Boxes that are being drained or are down for a wave. */
	[[nodiscard]] std::set<BoxName> Taken() const;
	/** Excludes boxes that are chosen for moves: no wave begins to drain them. @param boxes All excluded boxes; they
	 * replace those of the previous call. */
	void SetExcluded(const std::set<BoxName> &boxes) { this->excluded = boxes; }
	/** @return Whether any wave isn't completed yet. */
	[[nodiscard]] bool Active() const;
	/** @return Whether maintenance of a box is still to begin. @param box Name of the box. */
	[[nodiscard]] bool IsDue(const BoxName &box) const;

private:
	/** A wave and when it was added. */
	struct Wave {
		WaveOrder order; ///< Its number, boxes and limits.
		Millis since;    ///< When it was added.
	};

	/** A box that was ordered down for maintenance. */
	struct DownBox {
		uint64_t wave = 0;      ///< Number of the wave that it is maintained for.
		BoxId id_before;        ///< Id of its agent before; the restarted agent may have the same.
		Millis ordered_at;      ///< When the order was given.
		bool seen_down = false; ///< Whether it was listed as not up since.
	};

	WaveLimits limits;                           ///< Limits of waves.
	std::map<uint64_t, Wave> waves;              ///< Waves by number.
	std::map<uint64_t, std::set<BoxName>> begun; ///< Boxes whose maintenance has begun, by wave.
	std::set<uint64_t> completed;                ///< Waves reported as completed.
	std::map<BoxName, DownBox> down;             ///< Boxes that are down for a wave, or may be.
	std::map<BoxName, uint64_t> draining;        ///< Boxes being drained, with the numbers of their waves.
	std::set<BoxName> excluded;                  ///< Boxes chosen for moves; no wave begins to drain them.

	void UpdateDownBoxes(const FleetView &view, const FleetIndex &index, Millis now);
	void DecideWave(const Wave &wave, const FleetView &view, const FleetIndex &index, Millis now, WaveActions &actions);
	std::vector<const MachineRow *> OpenMachines(const Wave &wave, const FleetIndex &index, WaveActions &actions);
	void BeginDraining(const Wave &wave, const std::vector<const MachineRow *> &open, const FleetView &view,
					   const FleetIndex &index, Millis now, WaveActions &actions);
	[[nodiscard]] size_t Taken(uint64_t wave) const;
	/** @return Boxes drained or down for waves by pool, but for those of evacuated zones, which are no capacity. */
	[[nodiscard]] std::map<ServiceName, size_t> TakenByPool(const FleetView &view, const FleetIndex &index) const;
};

#endif /* WAVE_PLANNER_H */
