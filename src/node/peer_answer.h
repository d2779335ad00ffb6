/** @file peer_answer.h Which answers of other nodes belong to which requests. */
#ifndef PEER_ANSWER_H
#define PEER_ANSWER_H

#include "../error_type.h"
#include "../net/frame_link.h"

#include <optional>

/** What all answers of the owners of shards have in common. */
struct OwnerAnswer {
	uint64_t number = 0;                                    ///< Number of the request.
	ResultCode code = ResultCode::RC_PEER_UNAVAILABLE;      ///< Result of the request.
	glade::wire::Message type = glade::wire::Message::NONE; ///< Type of the answer.
};

/** @return What a message answers; nothing if it isn't an answer of an owner. @param message The message. */
[[nodiscard]] std::optional<OwnerAnswer> DecodeOwnerAnswer(const MessageUnion &message);

/** @return Type of the answers to a type of request, or NONE. @param request Type of the request. */
[[nodiscard]] glade::wire::Message AnswerTypeOf(glade::wire::Message request);

#endif /* PEER_ANSWER_H */
