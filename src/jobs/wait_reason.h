/** @file wait_reason.h Why a lasting task is without a run. */
#ifndef WAIT_REASON_H
#define WAIT_REASON_H

#include "../scheduler_type.h"
#include "job_type.h"

#include <array>

/** Why a lasting task is without a run that its owner knows of. */
enum class WaitReason : uint8_t {
	WR_CRASH_LIMIT = 0,       ///< It crashes its boxes and isn't started any more.
	WR_NOT_CALM = 1,          ///< It has reached the crash limit, and is started once more when boxes are calm.
	WR_NOT_DUE = 2,           ///< Earlier steps aren't done, or its set time hasn't come.
	WR_LOG_REFUSES = 3,       ///< The log refuses appends.
	WR_LOG_SILENT = 4,        ///< The log answers no appends.
	WR_ACCOUNT_SHARE = 5,     ///< The share of its client account is used up.
	WR_NO_ROOM = 6,           ///< No box that accepts tasks has room for it and its label.
	WR_PER_BOX = 7,           ///< All boxes with room have as many tasks of its step as may be on one box.
	WR_NO_TICKET = 8,         ///< There is no ticket of the placement policy for a box with room.
	WR_ISOLATED = 9,          ///< Isolation, quarantine or spacing of starts keeps it from boxes with room.
	WR_NEXT_ROUND = 10,       ///< Nothing keeps it from being placed in the next round.
	WR_RUN_HELD = 11,         ///< Its box has ended, but the start order may still arrive at the next incarnation.
	WR_BOX_SILENT = 12,       ///< Its box doesn't answer.
	WR_START_UNANSWERED = 13, ///< Its box answers, but not the start order.
	WR_STARTING = 14,         ///< Its start is being recorded or ordered.
	WR_STOPPING = 15,         ///< A start that may still be carried out is being stopped.
};

/** All reasons. */
inline constexpr std::array WAIT_REASONS = {
		WaitReason::WR_CRASH_LIMIT, WaitReason::WR_NOT_CALM,         WaitReason::WR_NOT_DUE,
		WaitReason::WR_LOG_REFUSES, WaitReason::WR_LOG_SILENT,       WaitReason::WR_ACCOUNT_SHARE,
		WaitReason::WR_NO_ROOM,     WaitReason::WR_PER_BOX,          WaitReason::WR_NO_TICKET,
		WaitReason::WR_ISOLATED,    WaitReason::WR_NEXT_ROUND,       WaitReason::WR_RUN_HELD,
		WaitReason::WR_BOX_SILENT,  WaitReason::WR_START_UNANSWERED, WaitReason::WR_STARTING,
		WaitReason::WR_STOPPING,
};

/** @return Name of a reason in logs and metrics. @param reason The reason. */
const char *NameOf(WaitReason reason);

/** A lasting task that is without a run. */
struct LastingWait {
	WaitReason reason = WaitReason::WR_NEXT_ROUND; ///< Why, as of the last check.
	Millis since;                                  ///< When it was last known to run, or when this owner took it.
	Millis logged_at{-1000000};                    ///< When it was last logged; initially long ago.
};

#endif /* WAIT_REASON_H */
