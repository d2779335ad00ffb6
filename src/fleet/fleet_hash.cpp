/** @file fleet_hash.cpp Hashes of the fleet's entities and of the whole state. */
#include "fleet_hash.h"

#include "table_func.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace {

/** Serialises the fields of an entity in a fixed byte order and hashes them. */
class EntityHasher {
public:
	/** @param kind Distinguishes kinds of entities, so that equal fields of two kinds have different hashes. */
	explicit EntityHasher(char kind) { this->buf.push_back(kind); }

	EntityHasher &Add(uint64_t n)
	{
		for (int i = 0; i < 8; i++) {
			this->buf.push_back(static_cast<char>((n >> (8 * i)) & 0xFF));
		}
		return *this;
	}

	EntityHasher &Add(const std::string &text)
	{
		this->Add(static_cast<uint64_t>(text.size()));
		this->buf += text;
		return *this;
	}

	template <class Tag, class Rep>
	EntityHasher &Add(const Strong<Tag, Rep> &value)
	{
		if constexpr (std::is_integral_v<Rep>) {
			return this->Add(static_cast<uint64_t>(value.Value()));
		} else {
			return this->Add(value.Value());
		}
	}

	EntityHasher &Add(const std::set<std::string> &all)
	{
		this->Add(static_cast<uint64_t>(all.size()));
		for (const std::string &it : all) {
			this->Add(it);
		}
		return *this;
	}

	template <class Enum>
	requires std::is_enum_v<Enum> EntityHasher &Add(Enum value) { return this->Add(static_cast<uint64_t>(value)); }

	[[nodiscard]] uint64_t Finish() const { return XXH3_64bits(this->buf.data(), this->buf.size()); }

private:
	std::string buf; ///< Bytes of the fields added.
};

/**
 * Sums the hashes of a map's entities.
 * @param map The map.
 * @return The sum.
 */
template <class Key, class Value>
uint64_t SumHashes(const std::map<Key, Value> &map)
{
	uint64_t sum = 0;
	for (const auto &[key, value] : map) {
		sum += HashEntity(key, value);
	}
	return sum;
}

} // namespace

uint64_t HashEntity(const CellKey &key, const Cell &value)
{
	return EntityHasher('c').Add(key.service).Add(key.column).Add(value.value).Add(value.version).Finish();
}

uint64_t HashEntity(const BoxName &key, const Box &value)
{
	EntityHasher hash('b');
	hash.Add(key).Add(value.zone).Add(value.rack).Add(value.address).Add(value.slots).Add(value.pool).Add(value.epoch);
	hash.Add(value.state).Add(value.health).Add(value.permit).Add(value.purpose).Add(uint64_t{value.urgent});
	hash.Add(value.move_to).Add(value.last_maintained).Add(value.since).Add(uint64_t{value.strikes});
	hash.Add(value.registered).Add(value.confirmed).Add(value.health_since);
	return hash.Add(value.strike_jobs).Finish();
}

uint64_t HashEntity(const MemberName &key, const Member &value)
{
	EntityHasher hash('m');
	hash.Add(key).Add(value.role).Add(value.region).Add(value.zone).Add(value.address).Add(value.incarnation);
	hash.Add(value.frames);
	return hash.Add(value.since).Add(uint64_t{value.rules}).Add(value.witnesses).Finish();
}

uint64_t HashEntity(const ZoneName &key, const ZoneChange &value)
{
	return EntityHasher('z').Add(key).Add(value.changes).Add(value.last).Finish();
}

uint64_t HashEntity(const RegionName &key, const PlannerAssignment &value)
{
	return EntityHasher('p').Add(key).Add(value.member).Add(value.term).Finish();
}

uint64_t HashEntity(const std::string &key, const WriterProgress &value)
{
	return EntityHasher('w').Add(key).Add(value.incarnation).Add(value.sequence).Add(value.last).Finish();
}

uint64_t HashEntity(const TeamName &key, const uint32_t &value)
{
	return EntityHasher('t').Add(key).Add(uint64_t{value}).Finish();
}

uint64_t HashEntity(const JobName &key, const Job &value)
{
	EntityHasher hash('j');
	hash.Add(key).Add(value.team).Add(value.work_class).Add(uint64_t{value.units}).Add(uint64_t{value.repeatable});
	hash.Add(value.state).Add(value.box).Add(value.box_epoch).Add(uint64_t{value.attempt}).Add(value.failed_on);
	return hash.Add(value.accepted).Add(value.since).Finish();
}

void Box::SetDomains(const ZoneName &in_zone, const RackName &in_rack)
{
	this->zone = in_zone;
	this->rack = in_rack;
	this->zone_key = EntityHasher('Z').Add(in_zone).Finish();
	this->rack_key = EntityHasher('R').Add(in_zone).Add(in_rack).Finish();
}

uint64_t FleetState::Hash() const
{
	return EntityHasher('s')
			.Add(this->entity_hash_sum)
			.Add(uint64_t{this->rule_version})
			.Add(this->table_version)
			.Add(this->time)
			.Finish();
}

uint64_t FleetState::SumEntityHashes() const
{
	return SumHashes(this->cells) + SumHashes(this->boxes) + SumHashes(this->members) + SumHashes(this->zones) +
		   SumHashes(this->planners) + SumHashes(this->writers) + SumHashes(this->teams) + SumHashes(this->jobs);
}

uint64_t FleetState::RecomputeHash() const
{
	FleetState copy;
	copy.rule_version = this->rule_version;
	copy.table_version = this->table_version;
	copy.time = this->time;
	copy.entity_hash_sum = this->SumEntityHashes();
	return copy.Hash();
}

void FleetState::Rebuild()
{
	this->entity_hash_sum = this->SumEntityHashes();
	this->team_used.clear();
	this->box_used.clear();
	for (const auto &[name, job] : this->jobs) {
		this->AddJobUnits(job, 1);
	}
	this->rows = CompileRows(this->cells).rows;
}

void FleetState::AddJobUnits(const Job &job, int sign)
{
	/* A job in JS_UNKNOWN may still run on its box, so it still uses the box and its team's quota. */
	if (job.state != JobState::JS_PLACED && job.state != JobState::JS_UNKNOWN) {
		return;
	}
	this->team_used[job.team] += static_cast<uint32_t>(sign) * job.units;
	this->box_used[job.box] += static_cast<uint32_t>(sign) * job.units;
}
