/** @file fleet_base.h The fleet's state: a pure function of the records of the platform's log. */
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
	std::string value;    ///< Text of the cell as published.
	TableVersion version; ///< Version of the publication that set it.

	auto operator<=>(const Cell &) const = default;
};

/** Row and column of a cell. */
struct CellKey {
	ServiceName service; ///< Service whose row it is.
	std::string column;  ///< Name of the column, one of TableColumns().

	auto operator<=>(const CellKey &) const = default;
};

/** Keeper that plans a region. */
struct PlannerAssignment {
	MemberName member; ///< Name of the keeper.
	Term term;         ///< Increases each time that a keeper takes over the region.

	auto operator<=>(const PlannerAssignment &) const = default;
};

/** Number of joins and leaves of entries in an availability zone. Each of them may change which entry owns a key. */
struct ZoneChange {
	uint64_t changes = 0; ///< Number of joins and leaves.
	Millis last;          ///< Log time of the last one.

	auto operator<=>(const ZoneChange &) const = default;
};

/** Last proposal of a writer that was decided: repeated appends are recognised by it and ignored. */
struct WriterProgress {
	Incarnation incarnation; ///< Latest incarnation of the writer that has written.
	uint64_t sequence = 0;   ///< Sequence number of the last proposal decided.
	Millis last;             ///< Log time when it was decided.

	auto operator<=>(const WriterProgress &) const = default;
};

/**
 * State of the fleet after applying the log up to `offset`. Deterministic: all processes at the same offset have the
 * same state and the same hash. So it uses no clock, no floating point and no containers ordered by hash.
 *
 * Entities are changed only through Put() and Drop(), which update the hash. It is a sum of the hashes of all entities,
 * so the cost of a record depends on the entities that it changes, not on the size of the fleet.
 */
class FleetState {
public:
	LogOffset offset;           ///< Last record applied.
	Millis time;                ///< Largest time stamp seen in the log.
	uint32_t rule_version = 1;  ///< Rule version in force.
	TableVersion table_version; ///< Table version in force.

	std::map<CellKey, Cell> cells;                    ///< Cells of the table as last published.
	std::map<ServiceName, ServiceRow> rows;           ///< Compiled rows of the table; derived from `cells`, not hashed.
	std::map<BoxName, Box> boxes;                     ///< Boxes by name.
	std::map<MemberName, Member> members;             ///< Processes of the system by name.
	std::map<ZoneName, ZoneChange> zones;             ///< Joins and leaves of entries by zone.
	std::map<RegionName, PlannerAssignment> planners; ///< Planning keeper of each region.
	std::map<std::string, WriterProgress> writers;    ///< Last proposal decided of each writer.
	std::map<TeamName, uint32_t> teams;               ///< Quota of each team in job units.
	std::map<JobName, Job> jobs;                      ///< Jobs by name; removed some time after their end.
	std::map<TeamName, uint32_t> team_used;           ///< Job units in use by each team; derived.
	std::map<BoxName, uint32_t> box_used;             ///< Job units placed on each box; derived.

	/**
	 * Adds or replaces an entity and updates the hash.
	 * @param map The map of this state that holds it.
	 * @param key Its key.
	 * @param value The new value.
	 */
	template <class Key, class Value>
	void Put(std::map<Key, Value> &map, const Key &key, Value value);

	/**
	 * Removes an entity, if there is one, and updates the hash.
	 * @param map The map of this state that holds it.
	 * @param key Its key.
	 */
	template <class Key, class Value>
	void Drop(std::map<Key, Value> &map, const Key &key);

	/** @return Hash of the whole state; equal for all processes at the same offset. */
	[[nodiscard]] uint64_t Hash() const;

	/** Recomputes the hash and the derived maps after a snapshot was loaded. */
	void Rebuild();

	/** @return Hash computed from all entities, to check the one that is updated record by record. */
	[[nodiscard]] uint64_t RecomputeHash() const;

private:
	uint64_t entity_hash_sum = 0; ///< Sum of the hashes of all entities.

	[[nodiscard]] uint64_t SumEntityHashes() const;
	void AddJobUnits(const Job &job, int sign);
	template <class Key, class Value>
	void UpdateDerived(const Key &key, const Value &value, int sign);
};

/** Whether a command only checks a change or also makes it. */
enum class CommandMode : uint8_t {
	CM_TEST,    ///< Check only; used by `glade table check` and by planners.
	CM_EXECUTE, ///< Check, then change the state.
};

#endif /* FLEET_BASE_H */
