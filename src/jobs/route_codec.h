/** @file route_codec.h Encodes the records about routes that shards keep in the keyed log. */
#ifndef ROUTE_CODEC_H
#define ROUTE_CODEC_H

#include "route_type.h"

#include <optional>
#include <string>
#include <string_view>

/** Prefix of the key of a RouteState in the progress partition, before the name of the route. No id begins with it. */
inline constexpr char ROUTE_PREFIX = 'q';
/** Prefix of the key of a redirected record in the progress partition, before its key in the inbox. */
inline constexpr char REDIRECT_PREFIX = 'm';

/** A recorded cancellation. */
struct StoredCancellation {
	RouteName route;      ///< Route of the job; empty in records of earlier versions of the program.
	uint64_t config = 0;  ///< Version of the configuration by which the shard was chosen.
	bool relayed = false; ///< Whether all other shards that may have the job have the record, too.

	bool operator==(const StoredCancellation &) const = default;
};

/** @return The encoded state. @param state State of a route. */
std::string EncodeRoute(const RouteState &state);
/** @return The state, or nothing when the bytes are malformed or of a later format. @param bytes The record. */
std::optional<RouteState> DecodeRoute(std::string_view bytes);

/** @return The encoded cancellation. @param cancellation The cancellation. */
std::string EncodeCancellation(const StoredCancellation &cancellation);
/** @return The cancellation; without a route when the record is of an earlier version. @param bytes The record. */
StoredCancellation DecodeCancellation(std::string_view bytes);

/** @return The encoded record of a submission that another shard has. @param config Version of the configuration by
 * which it was sent to this one. */
std::string EncodeRedirect(uint64_t config);
/** @return The version, or nothing when the bytes are malformed or of a later format. @param bytes The record. */
std::optional<uint64_t> DecodeRedirect(std::string_view bytes);

/** @return Key of a registration; those of a route sort behind its name. @param registration The registration. */
std::string KeyOf(const RouteRegistration &registration);
/** @return The encoded registration. @param registration The registration. */
std::string EncodeRegistration(const RouteRegistration &registration);
/** @return The registration, or nothing when the bytes are malformed or of a later format. @param bytes The record. */
std::optional<RouteRegistration> DecodeRegistration(std::string_view bytes);

#endif /* ROUTE_CODEC_H */
