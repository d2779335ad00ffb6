/** @file fleet_owner.h The one node that gives orders to machines: claims that right in the log, and carries out waves.
 */
#ifndef FLEET_OWNER_H
#define FLEET_OWNER_H

#include "../account/share_ledger.h"
#include "../store/partition_claim.h"
#include "incarnation_tracker.h"
#include "order_log.h"
#include "pool_balancer.h"
#include "wave_planner.h"

/** What the owner of a pool is told with a question. */
struct PoolRequest {
	std::set<BoxName> drain;        ///< Boxes to be emptied, until the next question or for a short time.
	std::set<BoxName> due;          ///< Boxes that will be emptied later.
	std::set<BoxIncarnation> ended; ///< Lives that have ended for certain.
	ShareLoan loan;                 ///< What the ledger of shares lends the service.
};

/** Asks the owners of pools. */
class PoolOwnerClient {
public:
	virtual ~PoolOwnerClient() = default;

	/** Asks how a pool stands and has boxes emptied. @param service The pool. @param request What its owner is told.
	 * @param done Gets the status, or nothing when the owner didn't answer. */
	virtual void Ask(const ServiceName &service, const PoolRequest &request,
					 std::function<void(std::optional<PoolStatus>)> done) = 0;
};

/** What the fleet's owner needs of its node. */
struct FleetOwnerContext {
	Scheduler &scheduler;                    ///< Clock and timers.
	KeyedLog &log;                           ///< The log.
	MachineControl &machines;                ///< Machines.
	WaveReporter &reports;                   ///< For operators.
	PoolOwnerClient &pools;                  ///< Owners of pools.
	EventLog &events;                        ///< Lines.
	std::string name;                        ///< This node, as holder of orders.
	std::string address;                     ///< Where it answers others.
	Millis turn_gap;                         ///< Time between the last order of one holder and the first of the next.
	std::string group;                       ///< Group of the nodes that may give orders.
	std::function<bool()> wanted;            ///< Whether this node is the one to claim when the holder is gone.
	std::function<bool()> watches = nullptr; ///< Whether it watches the holder beside that one; null for never.
};

/** Owns the fleet's orders, from the wish on. Destroying it lets go. */
class FleetOwner {
public:
	/** @param parts What it needs; outlives this. */
	explicit FleetOwner(const FleetOwnerContext &parts);
	~FleetOwner();
	FleetOwner(const FleetOwner &) = delete;
	FleetOwner &operator=(const FleetOwner &) = delete;

	/** Begins to claim. */
	void Start();
	/** Takes a configuration. @param config It. */
	void Configure(const JobConfig &config);
	/** Takes a wave. @param wave It. */
	void OnWave(const WaveOrder &wave);
	/** @return Whether another node holds the fleet. */
	[[nodiscard]] bool Waiting() const { return !this->journal && this->claim && this->claim->Waiting(); }

	/** Lets go because another node is to own the fleet: gives no more orders, and tells the log. The object may be
	 * destroyed once `done` was called. @param done Told when the log has it. */
	void Release(const std::function<void()> &done);

	std::function<void()> on_lost; ///< Another node has taken over: this object may be destroyed from a later turn.

private:
	/** An order that is decided. */
	struct PlannedOrder {
		MachineRow row;               ///< The box, as last listed.
		std::optional<uint64_t> wave; ///< Maintenance for this wave; or else a move.
		ServiceName to;               ///< Where to, for a move.
	};

	FleetOwnerContext parts;                                    ///< What it needs.
	JobConfig config;                                           ///< The configuration in force.
	WavePlanner desk;                                           ///< Decides on waves.
	PoolBalancer movers;                                        ///< Decides on moves.
	FleetView view;                                             ///< What is known.
	IncarnationTracker lives;                                   ///< Which boxes have crashed.
	std::unique_ptr<PartitionClaim> claim;                      ///< The claim.
	std::unique_ptr<PairedJournal> journal;                     ///< Records, once claimed.
	FenceToken fence;                                           ///< Token of this ownership.
	uint64_t epoch = 0;                                         ///< Of the claim.
	OrderLog turns;                                             ///< Boxes with recent orders.
	ShareLedger ledger;                                         ///< What services may use of accounts' maxima.
	bool lending = false;                                       ///< Whether what it decided is being recorded.
	bool recording = false;                                     ///< Whether orders wait for their record.
	bool lost = false;                                          ///< Whether another holder has come.
	size_t pending = 0;                                         ///< Questions of this tick that are not answered.
	std::set<uint64_t> publishing;                              ///< Waves being reported.
	WaveActions actions;                                        ///< Decided last.
	TimerId timer;                                              ///< Next tick.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void Run(const ClaimedPartition &claimed);
	void Restore(const std::string &key, const std::string &value);
	void Tick();
	void KeepConfirmed();
	void Look();
	[[nodiscard]] PoolRequest RequestFor(const ServiceName &pool) const;
	void OnMachines(ResultCode code, const std::vector<MachineRow> &rows);
	void Answered();
	void Lend();
	void Act();
	void Plan(std::vector<PlannedOrder> &planned, const BoxName &box, std::optional<uint64_t> wave,
			  const ServiceName &to) const;
	void Record(const std::vector<PlannedOrder> &planned);
	void Maintain(const MachineRow &row, uint64_t wave);
	void OnMaintained(const BoxName &box, uint64_t wave, ControlOutcome outcome);
	void Move(const MachineRow &row, const ServiceName &to);
	void NotePools() const;
	void Publish(uint64_t wave, bool completed);
	void Lose();
};

#endif /* FLEET_OWNER_H */
