/** @file machine_control.h Control of boxes as machines: which pool each is in, moves and maintenance. */
#ifndef MACHINE_CONTROL_H
#define MACHINE_CONTROL_H

#include "../jobs/job_type.h"

/** What a machine does. */
enum class MachineState : uint8_t {
	MS_UP = 0,          ///< Serves its pool, or stands by in the reserve.
	MS_MOVING = 1,      ///< On its way to another pool.
	MS_MAINTENANCE = 2, ///< Being maintained.
	MS_DOWN = 3,        ///< Down.
};

/** A machine, as its control lists it. */
struct MachineRow {
	BoxName box;                                ///< Its name; stays over moves and restarts.
	ServiceName pool;                           ///< Its pool.
	MachineState state = MachineState::MS_DOWN; ///< What it does.
	ZoneName zone;                              ///< Its availability zone.
	Resources capacity;                         ///< What it has.
	BoxId id;                                   ///< Of its agent, which may have kept it; empty when none runs.
};

/** How an order to a machine ended. */
enum class ControlOutcome : uint8_t {
	CO_DONE = 0,        ///< Done, now or before.
	CO_FENCED = 1,      ///< Another holder has used a higher token.
	CO_BUSY = 2,        ///< The machine is not up, or leaves.
	CO_NOT_IN_WAVE = 3, ///< The wave doesn't name the machine.
	CO_REJECTED = 4,    ///< No such machine, or the pool takes other machines.
	CO_REFUSED = 5,     ///< Over the rate limit or down: nothing was done.
	CO_UNKNOWN = 6,     ///< No answer: it may be done, also later.
};

/** Who gives orders to machines. */
struct ControlLease {
	std::string holder; ///< This node.
	FenceToken fence;   ///< Its token.
};

/** Control of machines. Answers come later, never from inside the call. */
class MachineControl {
public:
	virtual ~MachineControl() = default;
	using Done = std::function<void(ControlOutcome)>;

	/** Lists all machines. @param done Gets RC_OK and the rows, or RC_PEER_UNAVAILABLE. */
	virtual void List(std::function<void(ResultCode, std::vector<MachineRow>)> done) = 0;
	/** Moves a machine: all that runs there ends at once. @param box Which. @param pool Where to. @param lease Who
	 * orders. @param done Gets the outcome. */
	virtual void Move(const BoxName &box, const ServiceName &pool, const ControlLease &lease, Done done) = 0;
	/** Takes a machine down for maintenance: all that runs there ends at once. @param box Which. @param wave For which
	 * wave. @param lease Who orders. @param done Gets the outcome. */
	virtual void Maintain(const BoxName &box, uint64_t wave, const ControlLease &lease, Done done) = 0;
};

/** Tells operators how waves stand. */
class WaveReporter {
public:
	virtual ~WaveReporter() = default;

	/** Publishes the state of a wave. @param wave Which. @param completed Whether all of it has begun. @param done Gets
	 * whether it is published. */
	virtual void Publish(uint64_t wave, bool completed, std::function<void(bool)> done) = 0;
};

#endif /* MACHINE_CONTROL_H */
