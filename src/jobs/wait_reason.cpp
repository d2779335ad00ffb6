/** @file wait_reason.cpp Names of the reasons why lasting tasks are without a run. */
#include "wait_reason.h"

const char *NameOf(WaitReason reason)
{
	switch (reason) {
	case WaitReason::WR_CRASH_LIMIT:
		return "crash_limit";
	case WaitReason::WR_NOT_CALM:
		return "not_calm";
	case WaitReason::WR_NOT_DUE:
		return "not_due";
	case WaitReason::WR_LOG_REFUSES:
		return "log_refuses";
	case WaitReason::WR_LOG_SILENT:
		return "log_silent";
	case WaitReason::WR_ACCOUNT_SHARE:
		return "account_share";
	case WaitReason::WR_NO_ROOM:
		return "no_room";
	case WaitReason::WR_PER_BOX:
		return "per_box";
	case WaitReason::WR_NO_TICKET:
		return "no_ticket";
	case WaitReason::WR_ISOLATED:
		return "isolated";
	case WaitReason::WR_NEXT_ROUND:
		return "next_round";
	case WaitReason::WR_RUN_HELD:
		return "run_held";
	case WaitReason::WR_BOX_SILENT:
		return "box_silent";
	case WaitReason::WR_START_UNANSWERED:
		return "start_unanswered";
	case WaitReason::WR_STARTING:
		return "starting";
	case WaitReason::WR_STOPPING:
		return "stopping";
	}
	return "unknown";
}
