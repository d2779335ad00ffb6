/** @file strong_type.h Strong types for ids and units: the same representation, but no accidental mixing. */
#ifndef STRONG_TYPE_H
#define STRONG_TYPE_H

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

/**
 * A value of type Rep that only converts by name.
 * @tparam Tag An empty type that tells one strong type from another.
 * @tparam Rep The representation.
 */
template <class Tag, class Rep>
class Strong {
public:
	constexpr Strong() = default;
	constexpr explicit Strong(Rep value) : value(std::move(value)) {}

	/** @return The bare representation, for codecs and text. */
	[[nodiscard]] constexpr const Rep &Value() const { return this->value; }

	auto operator<=>(const Strong &) const = default;

private:
	Rep value{}; ///< The bare representation.
};

using BoxName = Strong<struct BoxNameTag, std::string>;         ///< A box (machine), as the platform lists it.
using PoolName = Strong<struct PoolNameTag, std::string>;       ///< A pool of boxes.
using ServiceName = Strong<struct ServiceNameTag, std::string>; ///< A service: a row of the table.
using ZoneName = Strong<struct ZoneNameTag, std::string>;       ///< An availability zone.
using RackName = Strong<struct RackNameTag, std::string>;       ///< A rack, unique within its availability zone.
using RegionName = Strong<struct RegionNameTag, std::string>;   ///< A region: availability zones planned together.
using MemberName = Strong<struct MemberNameTag, std::string>;   ///< A process of the system (entry or keeper).
using AccountName = Strong<struct AccountNameTag, std::string>; ///< A client account: callers belong to one.
using KeyHash = Strong<struct KeyHashTag, std::string>;         ///< Hex SHA-256 of a caller's key; never the key.
using TeamName = Strong<struct TeamNameTag, std::string>;       ///< A team with a quota of job units.
using JobName = Strong<struct JobNameTag, std::string>;         ///< A job, named by its owner.

using LogOffset = Strong<struct LogOffsetTag, uint64_t>; ///< Offset of a record in the platform's log; the first is 1.
using BoxEpoch = Strong<struct BoxEpochTag, uint64_t>;   ///< Raised whenever a box changes its pool or fails.
using PermitId = Strong<struct PermitIdTag, uint64_t>;   ///< Offset and index of the grant; 0 is "no permit".
using TableVersion = Strong<struct TableVersionTag, uint64_t>; ///< Offset of the publication last accepted.
using Incarnation =
		Strong<struct IncarnationTag, uint64_t>; ///< Start of a process, in ms; a later start fences an earlier.
using Term = Strong<struct TermTag, uint64_t>;   ///< Planning term of a region.
using Slots = Strong<struct SlotsTag, uint32_t>; ///< Requests that may run side by side.

/** A point in time or a span, in milliseconds. Which clock it belongs to is said where it is kept. */
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
