/** @file strong_type.h Strong typedefs for ids and units, which prevent values of different kinds from being mixed. */
#ifndef STRONG_TYPE_H
#define STRONG_TYPE_H

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

/**
 * Strong typedef: a value of type Rep without implicit conversions.
 * @tparam Tag Empty type that distinguishes one strong type from another.
 * @tparam Rep Underlying type.
 */
template <class Tag, class Rep>
class Strong {
public:
	constexpr Strong() = default;
	constexpr explicit Strong(Rep value) : value(std::move(value)) {}

	/** @return The underlying value, for codecs and text. */
	[[nodiscard]] constexpr const Rep &Value() const { return this->value; }

	auto operator<=>(const Strong &) const = default;

private:
	Rep value{}; ///< The underlying value.
};

using BoxName = Strong<struct BoxNameTag, std::string>;         ///< A box (machine), as the platform lists it.
using PoolName = Strong<struct PoolNameTag, std::string>;       ///< A pool of boxes.
using ServiceName = Strong<struct ServiceNameTag, std::string>; ///< A service: a row of the table.
using ZoneName = Strong<struct ZoneNameTag, std::string>;       ///< An availability zone.
using RackName = Strong<struct RackNameTag, std::string>;       ///< A rack, unique within its availability zone.
using RegionName = Strong<struct RegionNameTag, std::string>;   ///< A region: availability zones planned together.
using MemberName = Strong<struct MemberNameTag, std::string>;   ///< A member process (entry or keeper).
using AccountName = Strong<struct AccountNameTag, std::string>; ///< A client account; each caller belongs to one.
using KeyHash = Strong<struct KeyHashTag, std::string>;         ///< Hex SHA-256 of a caller's key, never the key.
using TeamName = Strong<struct TeamNameTag, std::string>;       ///< A team with a quota of job units.
using JobName = Strong<struct JobNameTag, std::string>;         ///< A job; its owner chooses the name.

using LogOffset = Strong<struct LogOffsetTag, uint64_t>; ///< Offset of a record in the platform's log; the first is 1.
using BoxEpoch = Strong<struct BoxEpochTag, uint64_t>;   ///< Incremented when a box changes its pool or fails.
using PermitId = Strong<struct PermitIdTag, uint64_t>;   ///< Offset and index of the grant; 0 means no permit.
using TableVersion = Strong<struct TableVersionTag, uint64_t>; ///< Offset of the last accepted publication.
using Incarnation = Strong<struct IncarnationTag, uint64_t>; ///< Start of a process, ms; a later one fences an earlier.
using Term = Strong<struct TermTag, uint64_t>;               ///< Planning term of a region.
using Slots = Strong<struct SlotsTag, uint32_t>;             ///< Number of requests that may run concurrently.

/** A point in time or a duration, in milliseconds. Its clock is documented where it is stored. */
using Millis = Strong<struct MillisTag, int64_t>;

constexpr Millis operator+(Millis a, Millis b)
{
	return Millis(a.Value() + b.Value());
}
constexpr Millis operator-(Millis a, Millis b)
{
	return Millis(a.Value() - b.Value());
}

inline constexpr int64_t MS_PER_SECOND = 1000;               ///< Milliseconds in a second.
inline constexpr int64_t MS_PER_HOUR = 3600 * MS_PER_SECOND; ///< Milliseconds in an hour.
inline constexpr int64_t MS_PER_DAY = 24 * MS_PER_HOUR;      ///< Milliseconds in a day.

#endif /* STRONG_TYPE_H */
