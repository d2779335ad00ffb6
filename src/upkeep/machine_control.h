/** @file machine_control.h Control of boxes as machines: the list of machines, moves between pools, and maintenance. */
#ifndef MACHINE_CONTROL_H
#define MACHINE_CONTROL_H

#include "../jobs/job_type.h"

/** State of a machine. */
enum class MachineState : uint8_t {
	MS_UP = 0,          ///< Up: serves its pool, or stands by in a reserve.
	MS_MOVING = 1,      ///< Moving to another pool.
	MS_MAINTENANCE = 2, ///< Under maintenance.
	MS_DOWN = 3,        ///< Down.
};

/** A machine, as machine control lists it. */
struct MachineRow {
	BoxName box;                                ///< Its name; stays the same over moves and restarts.
	ServiceName pool;                           ///< Its pool.
	MachineState state = MachineState::MS_DOWN; ///< Its state.
	ZoneName zone;                              ///< Its availability zone.
	Resources capacity;                         ///< Its resources.
	BoxId id;                                   ///< Id of its agent, which may survive a restart; empty when none runs.
};

/** Outcome of an order to a machine. */
enum class ControlOutcome : uint8_t {
	CO_DONE = 0,        ///< Carried out, now or before.
	CO_FENCED = 1,      ///< Rejected, as another node has given orders with a higher fencing token.
	CO_BUSY = 2,        ///< The machine isn't up, or is leaving.
	CO_NOT_IN_WAVE = 3, ///< The wave doesn't contain the machine.
	CO_REJECTED = 4,    ///< No such machine, or the pool doesn't accept it.
	CO_REFUSED = 5,     ///< Rate limit exceeded, or machine control is down: nothing was done.
	CO_UNKNOWN = 6,     ///< No answer: the order may have been carried out, or may still be.
};

/** Identifies who gives orders to machines. */
struct ControlLease {
	std::string holder; ///< Name of the node that gives orders.
	FenceToken fence;   ///< Its fencing token.
};

/** Control of machines. Callbacks are called later, never from inside the call. */
class MachineControl {
public:
	virtual ~MachineControl() = default;
	using Done = std::function<void(ControlOutcome)>;

	/** Lists all machines. @param done Gets RC_OK and the machines, or RC_PEER_UNAVAILABLE. */
	virtual void List(std::function<void(ResultCode, std::vector<MachineRow>)> done) = 0;
	/** Moves a machine to another pool; everything that runs there ends at once. @param box Name of the machine.
	 * @param pool Name of the target pool. @param lease Who gives the order. @param done Gets the outcome. */
	virtual void Move(const BoxName &box, const ServiceName &pool, const ControlLease &lease, Done done) = 0;
	/** Takes a machine down for maintenance; everything that runs there ends at once. @param box Name of the
	 * machine. @param wave Number of the wave that it is maintained for. @param lease Who gives the order. @param done
	 * Gets the outcome. */
	virtual void Maintain(const BoxName &box, uint64_t wave, const ControlLease &lease, Done done) = 0;
};

/** Publishes the progress of waves for operators. */
class WaveReporter {
public:
	virtual ~WaveReporter() = default;

	/** Publishes the state of a wave. @param wave Its number. @param completed Whether maintenance of all its boxes has
	 * begun. @param done Gets whether the state was published. */
	virtual void Publish(uint64_t wave, bool completed, std::function<void(bool)> done) = 0;
};

#endif /* MACHINE_CONTROL_H */
