/** @file keeper_call.h Sends one query to a keeper and waits for its response. */
#ifndef KEEPER_CALL_H
#define KEEPER_CALL_H

#include "../net/frame_link.h"

#include <optional>

/**
 * Sends a query to the first keeper that accepts a connection and waits for the response.
 * @param keepers Addresses of the keepers, in order of preference.
 * @param query The query.
 * @param timeout Longest wait for the response.
 * @return The response; null when none arrived in time or the connection was lost.
 */
std::unique_ptr<MessageUnion> CallKeeper(const std::vector<NetAddress> &keepers, const MessageUnion &query,
										 Millis timeout);

#endif /* KEEPER_CALL_H */
