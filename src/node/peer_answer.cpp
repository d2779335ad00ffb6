/** @file peer_answer.cpp Which answers of other nodes belong to which requests. */
#include "peer_answer.h"

namespace {

/**
 * Decodes an answer of an owner.
 * @tparam T Object type of the answer.
 * @param type Type of the answer.
 * @param in The answer.
 * @return What it answers.
 */
template <class T>
OwnerAnswer Decode(glade::wire::Message type, const T &in)
{
	return OwnerAnswer{in.number, static_cast<ResultCode>(in.code), type};
}

} // namespace

std::optional<OwnerAnswer> DecodeOwnerAnswer(const MessageUnion &message)
{
	if (const auto *job = message.AsJobAnswer(); job != nullptr) {
		return Decode(message.type, *job);
	}
	if (const auto *pool = message.AsPoolAnswer(); pool != nullptr) {
		return Decode(message.type, *pool);
	}
	if (const auto *record = message.AsRecordAnswer(); record != nullptr) {
		return Decode(message.type, *record);
	}
	if (const auto *route = message.AsRouteAnswer(); route != nullptr) {
		return Decode(message.type, *route);
	}
	return std::nullopt;
}

glade::wire::Message AnswerTypeOf(glade::wire::Message request)
{
	using glade::wire::Message;
	switch (request) {
	case Message::JobQuestion:
		return Message::JobAnswer;
	case Message::PoolQuestion:
		return Message::PoolAnswer;
	case Message::RecordQuestion:
		return Message::RecordAnswer;
	case Message::RouteQuestion:
		return Message::RouteAnswer;
	case Message::LoadQuestion:
		return Message::LoadAnswer;
	case Message::HandoverQuestion:
		return Message::HandoverAnswer;
	default:
		return Message::NONE;
	}
}
