/** @file fleet_type.h Plain types of the fleet's state: boxes, services, members, jobs. */
#ifndef FLEET_TYPE_H
#define FLEET_TYPE_H

#include "../strong_type.h"

#include <set>
#include <string>

/** Where a box stands in its planned life. Steps between states are records of the log. */
enum class BoxState : uint8_t {
	BS_SERVING = 0,   ///< Takes work.
	BS_DRAINING = 1,  ///< Holds a permit; takes nothing new; work in flight goes on.
	BS_EMPTY = 2,     ///< Its zone confirmed that nothing runs on it and nothing new is sent.
	BS_REBOOTING = 3, ///< The platform was told to reboot it.
	BS_VERIFYING = 4, ///< Back, but not yet known to be well.
	BS_SET_ASIDE = 5, ///< Taken out because work fails on it; an operator or a reboot brings it back.
};

/** What is known of a box's health. Anything but BH_UP counts as down. */
enum class BoxHealth : uint8_t {
	BH_UNKNOWN = 0, ///< Not heard of for too long.
	BH_UP = 1,      ///< Listed as live.
	BH_DOWN = 2,    ///< Listed as failed or gone.
	BH_LEAVING = 3, ///< Listed as leaving: gets nothing new.
};

/** Why a box may go down. */
enum class PermitPurpose : uint8_t {
	PP_NONE = 0,     ///< No permit.
	PP_MAINTAIN = 1, ///< Drain, reboot, verify.
	PP_MOVE = 2,     ///< Drain, then change the pool.
};

/** Steps of a box under a permit. */
enum class BoxStepKind : uint8_t {
	BK_EMPTIED = 1,     ///< Zone confirms: drained.
	BK_REBOOT = 2,      ///< Reboot is about to be ordered; from here on the permit can't be withdrawn.
	BK_BOOTED = 3,      ///< The box is listed again with a new boot.
	BK_VERIFIED = 4,    ///< Checks passed: the permit ends.
	BK_CHANGE_POOL = 5, ///< An empty box changes its pool: the permit ends.
	BK_WITHDRAW = 6,    ///< Not rebooted yet: the permit ends, the box serves again.
	BK_SET_ASIDE = 7,   ///< Checks failed or work fails on it.
	BK_RESTORE = 8,     ///< A box set aside comes back into use.
};

/** Classes of work, most urgent first. */
enum class WorkClass : uint8_t {
	WC_URGENT = 0, ///< Counter desks, controllers.
	WC_NORMAL = 1, ///< Everything else that a caller waits for.
	WC_BATCH = 2,  ///< May wait, must not be lost.
};

/** Largest failure domain whose loss a service's floor must survive. */
enum class Guard : uint8_t {
	GD_NONE = 0, ///< No headroom.
	GD_BOX = 1,  ///< The largest box left.
	GD_RACK = 2, ///< The largest rack left.
	GD_ZONE = 3, ///< The largest availability zone left.
};

/** What a member does. */
enum class MemberRole : uint8_t {
	MR_ENTRY = 0,  ///< Carries requests.
	MR_KEEPER = 1, ///< Reads the log, serves state, plans.
};

/** Life of a job. */
enum class JobState : uint8_t {
	JS_WAITING = 0,   ///< Accepted, not placed.
	JS_PLACED = 1,    ///< An attempt holds a lease on a box.
	JS_DONE = 2,      ///< Ran to its end.
	JS_UNKNOWN = 3,   ///< Its lease lapsed, its holder may only be paused; not repeatable, so not placed again.
	JS_PARKED = 4,    ///< Failed on several healthy boxes: told to its owner, not tried again.
	JS_CANCELLED = 5, ///< Cancelled by its owner.
};

/** How an attempt at a job ended. */
enum class JobOutcome : uint8_t {
	JO_DONE = 0,          ///< Ran to its end.
	JO_FAILED = 1,        ///< Ran and failed.
	JO_NOT_RUN = 2,       ///< Certainly never started.
	JO_CHECKPOINT = 3,    ///< Stopped at a checkpoint, to make room; goes on from there.
	JO_LEASE_EXPIRED = 4, ///< The lease lapsed; whether it runs is unknown.
	JO_STOPPED = 5,       ///< The holder confirms that a lapsed attempt has ended unfinished.
};

/** A box as the fold knows it. Times are the log's own stamps. */
struct Box {
	BoxName name;                                   ///< Its name.
	ZoneName zone;                                  ///< Its availability zone.
	RackName rack;                                  ///< Its rack within the zone.
	uint64_t zone_key = 0;                          ///< Number of the zone, from its name; derived, see SetDomains().
	uint64_t rack_key = 0;                          ///< Number of the rack, from zone and rack; derived.
	std::string address;                            ///< IP:port of its endpoint.
	Slots slots;                                    ///< Requests that its endpoint runs side by side.
	PoolName pool;                                  ///< The one pool it belongs to.
	BoxEpoch epoch;                                 ///< Raised at each change of pool and each failure.
	BoxState state = BoxState::BS_SERVING;          ///< Where it stands in its planned life.
	BoxHealth health = BoxHealth::BH_UNKNOWN;       ///< What the platform's list says.
	Millis health_since;                            ///< When `health` was last changed.
	PermitId permit;                                ///< The permit it holds, 0 for none.
	PermitPurpose purpose = PermitPurpose::PP_NONE; ///< What the permit is for.
	bool urgent = false;                            ///< Whether the permit is of the urgent class.
	PoolName move_to;                               ///< Target of a move.
	Millis registered;                              ///< When it was first recorded.
	Millis last_maintained;                         ///< When it was last verified after a reboot, 0 for never.
	std::set<std::string> confirmed;                ///< Entries of its zone that confirmed the drain under its permit.
	Millis since;                                   ///< When `state` was entered.
	uint32_t strikes = 0;                           ///< Distinct jobs that failed here since the last success.
	std::set<std::string> strike_jobs;              ///< Their names.

	auto operator<=>(const Box &) const = default;

	/**
	 * Places the box and numbers its failure domains, so that planners compare numbers and not names.
	 * @param in_zone Its availability zone.
	 * @param in_rack Its rack.
	 */
	void SetDomains(const ZoneName &in_zone, const RackName &in_rack);
};

/** A row of the table, checked and compiled. Floors and ceilings are in slots. */
struct ServiceRow {
	ServiceName service;                         ///< The row.
	PoolName pool;                               ///< Pool that serves it.
	uint32_t weight = 1;                         ///< Share of capacity above the floors.
	Slots floor;                                 ///< Slots that must stay available.
	Slots ceiling;                               ///< Slots that it may use at most.
	WorkClass work_class = WorkClass::WC_NORMAL; ///< Class of its requests.
	Guard guard = Guard::GD_RACK;                ///< What the floor must survive.
	uint32_t zone_budget = 0;                    ///< Boxes of one zone that may be down at once by plan; 0: no limit.
	uint32_t rack_budget = 0;                    ///< The same for a rack.
	bool repeatable = false;                     ///< Whether any method of the service may be run twice.

	auto operator<=>(const ServiceRow &) const = default;
};

/** A process of the system. */
struct Member {
	MemberName name;                        ///< Its name.
	MemberRole role = MemberRole::MR_ENTRY; ///< What it does.
	RegionName region;                      ///< Its region.
	ZoneName zone;                          ///< Its availability zone.
	std::string address;                    ///< IP:port where peers forward requests to; keepers: their frames.
	std::string frames;                     ///< IP:port where entries of the zone lend each other slots.
	Incarnation incarnation;                ///< Its start.
	Millis since;                           ///< Log time of its joining.
	uint32_t rules = 1;                     ///< Newest rule version that it knows.
	std::set<std::string> witnesses;        ///< Keepers that said its lease lapsed.

	auto operator<=>(const Member &) const = default;
};

/** A job accepted for a team. */
struct Job {
	JobName name;                               ///< Its name.
	TeamName team;                              ///< Whose quota it uses.
	WorkClass work_class = WorkClass::WC_BATCH; ///< Its class.
	uint32_t units = 1;                         ///< Declared size, in job units of a box.
	bool repeatable = true;                     ///< Whether it may run twice.
	JobState state = JobState::JS_WAITING;      ///< Where it stands.
	BoxName box;                                ///< Where its attempt runs.
	BoxEpoch box_epoch;                         ///< Epoch of the box at placing.
	uint32_t attempt = 0;                       ///< Counts placements.
	std::set<std::string> failed_on;            ///< Boxes on which it failed.
	Millis accepted;                            ///< Log time of its acceptance.
	Millis since;                               ///< Log time of its state.

	auto operator<=>(const Job &) const = default;
};

inline constexpr uint32_t STRIKES_TO_SET_ASIDE = 3; ///< Distinct jobs failing on a box that set it aside.
inline constexpr uint32_t FAILURES_TO_PARK = 3;     ///< Distinct healthy boxes on which a failing job is parked.

#endif /* FLEET_TYPE_H */
