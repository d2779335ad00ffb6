/** @file fleet_base.h The fleet's state: a pure fold over the records of the platform's log. */
#ifndef FLEET_BASE_H
#define FLEET_BASE_H

#include "../error_type.h"
#include "fleet_type.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

/** A cell of the published table with the version that last changed it. */
struct Cell {
	std::string value;    ///< Text as published.
	TableVersion version; ///< Publication that set it.

	auto operator<=>(const Cell &) const = default;
};

/** Row and column of a cell. */
struct CellKey {
	ServiceName service; ///< Row.
	std::string column;  ///< Column, one of the names in table_func.h.

	auto operator<=>(const CellKey &) const = default;
};

/** Who plans a region. */
struct PlannerSeat {
	MemberName member; ///< The planning keeper.
	Term term;         ///< Raised at each take-over.

	auto operator<=>(const PlannerSeat &) const = default;
};

/** Joins and leaves of entries in an availability zone: who owned a key may have changed with each. */
struct ZoneChange {
	uint64_t changes = 0; ///< How many there were.
	Millis last;          ///< Log time of the last one.

	auto operator<=>(const ZoneChange &) const = default;
};

/** How far a writer has come: what makes a repeated append harmless. */
struct WriterMark {
	Incarnation incarnation; ///< Latest start that has written.
	uint64_t sequence = 0;   ///< Last proposal decided.
	Millis last;             ///< Log time of it.

	auto operator<=>(const WriterMark &) const = default;
};

/**
 * State of the fleet after the log up to `offset`. Deterministic: two processes that have read to the same offset
 * have the same state and the same hash. No clock, no floating point, no hash order.
 *
 * Entities are changed through Put() and Drop() only: they keep the hash, a sum of the hashes of all entities, so
 * that a record costs the entities it touches and not the fleet.
 */
class FleetState {
public:
	LogOffset offset;           ///< Last record folded.
	Millis time;                ///< Largest stamp of the log seen.
	uint32_t rule_version = 1;  ///< Rules in force.
	TableVersion table_version; ///< Publication in force.

	std::map<CellKey, Cell> cells;              ///< The table as published.
	std::map<ServiceName, ServiceRow> rows;     ///< The table compiled; derived from `cells`, not hashed.
	std::map<BoxName, Box> boxes;               ///< All boxes.
	std::map<MemberName, Member> members;       ///< All processes of the system.
	std::map<ZoneName, ZoneChange> zones;       ///< Changes among the entries of each zone.
	std::map<RegionName, PlannerSeat> planners; ///< Who plans.
	std::map<std::string, WriterMark> writers;  ///< How far each writer came.
	std::map<TeamName, uint32_t> teams;         ///< Quotas, in job units.
	std::map<JobName, Job> jobs;                ///< All jobs not yet forgotten.
	std::map<TeamName, uint32_t> team_used;     ///< Units in use; derived.
	std::map<BoxName, uint32_t> box_used;       ///< Job units placed on a box; derived.

	/**
	 * Adds or replaces an entity and keeps the hash.
	 * @param map The map of this state that holds it.
	 * @param key Its key.
	 * @param value The new value.
	 */
	template <class Key, class Value>
	void Put(std::map<Key, Value> &map, const Key &key, Value value);

	/**
	 * Removes an entity, if it is there, and keeps the hash.
	 * @param map The map of this state that holds it.
	 * @param key Its key.
	 */
	template <class Key, class Value>
	void Drop(std::map<Key, Value> &map, const Key &key);

	/** @return Hash of the whole state; the same for all who stand at the same offset. */
	[[nodiscard]] uint64_t Hash() const;

	/** Computes hash and derived maps anew, after loading a snapshot. */
	void Rebuild();

	/** @return Hash computed from all entities, to check the running one. */
	[[nodiscard]] uint64_t RecomputeHash() const;

private:
	uint64_t entity_sum = 0; ///< Sum of the hashes of all entities.

	[[nodiscard]] uint64_t SumAll() const;
	void CountJob(const Job &job, int sign);
	template <class Key, class Value>
	void CountDerived(const Key &key, const Value &value, int sign);
};

/** Whether a command only checks or also changes the state. */
enum class CommandMode : uint8_t {
	CM_TEST,    ///< Check alone: what `glade table check` and planners use.
	CM_EXECUTE, ///< Check, then change.
};

#endif /* FLEET_BASE_H */
