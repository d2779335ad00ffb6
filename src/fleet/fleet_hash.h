/** @file fleet_hash.h Hashes of the fleet's entities, and the templates of FleetState that update their sum. */
#ifndef FLEET_HASH_H
#define FLEET_HASH_H

#include "fleet_base.h"

/**
 * Computes the XXH3 hash of an entity and its key: all fields but derived ones, in a fixed order.
 * @param key Key in its map.
 * @param value The entity.
 * @return Hash of 64 bits.
 */
uint64_t HashEntity(const CellKey &key, const Cell &value);
uint64_t HashEntity(const BoxName &key, const Box &value);
uint64_t HashEntity(const MemberName &key, const Member &value);
uint64_t HashEntity(const ZoneName &key, const ZoneChange &value);
uint64_t HashEntity(const RegionName &key, const PlannerAssignment &value);
uint64_t HashEntity(const std::string &key, const WriterProgress &value);
uint64_t HashEntity(const TeamName &key, const uint32_t &value);
uint64_t HashEntity(const JobName &key, const Job &value);

template <class Key, class Value>
void FleetState::UpdateDerived(const Key &key, const Value &value, int sign)
{
	if constexpr (std::is_same_v<Value, Job>) {
		(void)key;
		this->AddJobUnits(value, sign);
	}
}

template <class Key, class Value>
void FleetState::Put(std::map<Key, Value> &map, const Key &key, Value value)
{
	const auto it = map.find(key);
	if (it != map.end()) {
		this->entity_hash_sum -= HashEntity(key, it->second);
		this->UpdateDerived(key, it->second, -1);
	}
	this->entity_hash_sum += HashEntity(key, value);
	this->UpdateDerived(key, value, 1);
	if (it != map.end()) {
		it->second = std::move(value);
	} else {
		map.emplace(key, std::move(value));
	}
}

template <class Key, class Value>
void FleetState::Drop(std::map<Key, Value> &map, const Key &key)
{
	const auto it = map.find(key);
	if (it == map.end()) {
		return;
	}
	this->entity_hash_sum -= HashEntity(key, it->second);
	this->UpdateDerived(key, it->second, -1);
	map.erase(it);
}

#endif /* FLEET_HASH_H */
