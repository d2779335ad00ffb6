/** @file fleet_type.h Plain types of the fleet's state: boxes, services, members, jobs. */
#ifndef FLEET_TYPE_H
#define FLEET_TYPE_H

#include "../strong_type.h"

#include <set>
#include <string>

/** State of a box in planned maintenance and moves. Each change of state is a record of the log. */
enum class BoxState : uint8_t {
	BS_SERVING = 0,   ///< Accepts new work.
	BS_DRAINING = 1,  ///< Holds a permit; accepts no new work and finishes what it runs.
	BS_EMPTY = 2,     ///< All entries of its zone confirmed that nothing runs on it and nothing new is sent.
	BS_REBOOTING = 3, ///< The reboot was ordered from the platform.
	BS_VERIFYING = 4, ///< Rebooted; its checks have not passed yet.
	BS_SET_ASIDE = 5, ///< Excluded because work or checks fail on it; an operator or passed checks restore it.
};

/** Health of a box as the platform lists it. Anything but BH_UP counts as down. */
enum class BoxHealth : uint8_t {
	BH_UNKNOWN = 0, ///< No information for too long.
	BH_UP = 1,      ///< Listed as live.
	BH_DOWN = 2,    ///< Listed as failed or gone.
	BH_LEAVING = 3, ///< Listed as leaving; gets no new work.
};

/** Purpose of a permit to take a box down. */
enum class PermitPurpose : uint8_t {
	PP_NONE = 0,     ///< No permit.
	PP_MAINTAIN = 1, ///< Drain, reboot, verify.
	PP_MOVE = 2,     ///< Drain, then change the pool.
};

/** Steps of a box; most of them need a permit. */
enum class BoxStepKind : uint8_t {
	BK_EMPTIED = 1,     ///< Entries of the zone confirm that it is drained.
	BK_REBOOT = 2,      ///< The reboot is about to be ordered; the permit can't be withdrawn any more.
	BK_BOOTED = 3,      ///< The box is listed again with a new boot.
	BK_VERIFIED = 4,    ///< Checks passed; the permit ends.
	BK_CHANGE_POOL = 5, ///< An empty box changes its pool; the permit ends.
	BK_WITHDRAW = 6,    ///< Before the reboot: the permit ends and the box serves again.
	BK_SET_ASIDE = 7,   ///< Checks fail after the reboot; the permit ends.
	BK_RESTORE = 8,     ///< A box that was set aside serves again.
};

/** Classes of work, in order of priority. */
enum class WorkClass : uint8_t {
	WC_URGENT = 0, ///< Counter desks and controllers.
	WC_NORMAL = 1, ///< Other requests that a caller waits for.
	WC_BATCH = 2,  ///< May be delayed, but must not be lost.
};

/** Largest failure that a service's floor must survive. */
enum class Guard : uint8_t {
	GD_NONE = 0, ///< None: the floor needs no headroom.
	GD_BOX = 1,  ///< Loss of the largest box that takes work.
	GD_RACK = 2, ///< Loss of the largest rack, by slots that take work.
	GD_ZONE = 3, ///< Loss of the largest availability zone, by slots that take work.
};

/** Role of a process of the system. */
enum class MemberRole : uint8_t {
	MR_ENTRY = 0,  ///< Routes requests.
	MR_KEEPER = 1, ///< Reads the log, serves the state to entries and plans.
};

/** State of a job. */
enum class JobState : uint8_t {
	JS_WAITING = 0, ///< Accepted, not placed on a box.
	JS_PLACED = 1,  ///< An attempt holds a lease on a box.
	JS_DONE = 2,    ///< Completed.
	JS_UNKNOWN = 3, ///< Not repeatable, and its lease expired while it may still run; not placed again.
	JS_PARKED = 4,  ///< Failed on several boxes, or failed or stopped and not repeatable; its owner is told, no retry.
	JS_CANCELLED = 5, ///< Cancelled by its owner.
};

/** How an attempt at a job ended. */
enum class JobOutcome : uint8_t {
	JO_DONE = 0,          ///< Completed.
	JO_FAILED = 1,        ///< Ran and failed.
	JO_NOT_RUN = 2,       ///< Never started.
	JO_CHECKPOINT = 3,    ///< Stopped at a checkpoint to free its slots; resumes from there.
	JO_LEASE_EXPIRED = 4, ///< The lease expired; whether the attempt still runs is unknown.
	JO_STOPPED = 5,       ///< The box confirms that an attempt with an expired lease ended without completing.
};

/** A box in the fleet's state. Times are time stamps of the log. */
struct Box {
	BoxName name;                                   ///< Its name.
	ZoneName zone;                                  ///< Its availability zone.
	RackName rack;                                  ///< Rack within the zone.
	uint64_t zone_key = 0;                          ///< Hash of the zone name; derived, see SetDomains().
	uint64_t rack_key = 0;                          ///< Hash of the names of zone and rack; derived.
	std::string address;                            ///< IP:port of its endpoint.
	Slots slots;                                    ///< Requests that its endpoint runs concurrently.
	PoolName pool;                                  ///< Pool that it belongs to.
	BoxEpoch epoch;                                 ///< Increases at registration, reboot, failure, change of pool.
	BoxState state = BoxState::BS_SERVING;          ///< State in planned maintenance and moves.
	BoxHealth health = BoxHealth::BH_UNKNOWN;       ///< Health as the platform lists it.
	Millis health_since;                            ///< When `health` was last changed.
	PermitId permit;                                ///< Permit that it holds, 0 for none.
	PermitPurpose purpose = PermitPurpose::PP_NONE; ///< Purpose of the permit.
	bool urgent = false;                            ///< Whether the permit is of the urgent class.
	PoolName move_to;                               ///< Target pool of a move.
	Millis registered;                              ///< When it was first recorded.
	Millis last_maintained;                         ///< When it was last verified after a reboot, 0 for never.
	std::set<std::string> confirmed;                ///< Entries of its zone that confirmed this drain.
	Millis since;                                   ///< When `state` was entered.
	uint32_t strikes = 0;                           ///< Distinct jobs that failed on it since a job succeeded there.
	std::set<std::string> strike_jobs;              ///< Names of the jobs counted by `strikes`.

	auto operator<=>(const Box &) const = default;

	/**
	 * Sets zone and rack, and their hashes: planners compare these instead of the names.
	 * @param in_zone Its availability zone.
	 * @param in_rack Its rack.
	 */
	void SetDomains(const ZoneName &in_zone, const RackName &in_rack);
};

/** A compiled row of the table. */
struct ServiceRow {
	ServiceName service;                         ///< Service that the row describes.
	PoolName pool;                               ///< Pool that serves it.
	uint32_t weight = 1;                         ///< Weight in the division of capacity above the floors.
	Slots floor;                                 ///< Slots that must stay available.
	Slots ceiling;                               ///< Maximum of slots that it may use.
	WorkClass work_class = WorkClass::WC_NORMAL; ///< Class of its requests.
	Guard guard = Guard::GD_RACK;                ///< Failure that the floor must survive.
	uint32_t zone_budget = 0;                    ///< Boxes of one zone down at once for planned work; 0: no limit.
	uint32_t rack_budget = 0;                    ///< The same for one rack.
	bool repeatable = false;                     ///< Whether requests of the service may be run twice.

	auto operator<=>(const ServiceRow &) const = default;
};

/** A process of the system. */
struct Member {
	MemberName name;                        ///< Its name.
	MemberRole role = MemberRole::MR_ENTRY; ///< Role.
	RegionName region;                      ///< Its region.
	ZoneName zone;                          ///< Its availability zone.
	std::string address;                    ///< IP:port for requests forwarded by peers; for a keeper: for its frames.
	std::string frames;                     ///< IP:port where entries of the zone exchange slots.
	Incarnation incarnation;                ///< Incarnation of the process.
	Millis since;                           ///< Log time of the join.
	uint32_t rules = 1;                     ///< Newest version of the rules for applying records that it supports.
	std::set<std::string> witnesses;        ///< Keepers that reported its lease as expired.

	auto operator<=>(const Member &) const = default;
};

/** A job accepted for a team. */
struct Job {
	JobName name;                               ///< Its name.
	TeamName team;                              ///< Team whose quota it uses.
	WorkClass work_class = WorkClass::WC_BATCH; ///< Its class.
	uint32_t units = 1;                         ///< Declared size in job units.
	bool repeatable = true;                     ///< Whether it may run twice.
	JobState state = JobState::JS_WAITING;      ///< State.
	BoxName box;                                ///< Box of the latest attempt.
	BoxEpoch box_epoch;                         ///< Epoch of the box at placement.
	uint32_t attempt = 0;                       ///< Number of placements.
	std::set<std::string> failed_on;            ///< Boxes on which it failed.
	Millis accepted;                            ///< Log time of acceptance.
	Millis since;                               ///< Log time when `state` was entered.

	auto operator<=>(const Job &) const = default;
};

inline constexpr uint32_t STRIKES_TO_SET_ASIDE = 3; ///< Distinct jobs whose failures set a box aside.
inline constexpr uint32_t FAILURES_TO_PARK = 3;     ///< Distinct boxes whose failures park a job.

#endif /* FLEET_TYPE_H */
