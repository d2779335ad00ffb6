/** @file keeper_call.h One question to a keeper and its answer, for the operators' command. */
#ifndef KEEPER_CALL_H
#define KEEPER_CALL_H

#include "../net/frame_link.h"

#include <optional>

/**
 * Asks the first keeper that answers.
 * @param keepers Addresses, in order of preference.
 * @param question The question.
 * @param wait Longest wait.
 * @return The answer; nothing when none came.
 */
std::unique_ptr<MessageUnion> CallKeeper(const std::vector<NetAddress> &keepers, const MessageUnion &question,
										 Millis wait);

#endif /* KEEPER_CALL_H */
