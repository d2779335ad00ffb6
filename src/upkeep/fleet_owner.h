/** @file fleet_owner.h The fleet owner: the one node that gives orders to machines. Claims this right in the keyed log,
 * and carries out maintenance waves and moves between pools. */
#ifndef FLEET_OWNER_H
#define FLEET_OWNER_H

#include "../account/share_ledger.h"
#include "../store/partition_claim.h"
#include "incarnation_tracker.h"
#include "order_log.h"
#include "pool_balancer.h"
#include "wave_planner.h"

/** What the fleet owner sends to the owner of a pool with a status request. */
struct PoolRequest {
	std::set<BoxName> drain;        ///< Boxes to drain until the next request; without one, for a short time.
	std::set<BoxName> due;          ///< Boxes that will be drained later.
	std::set<BoxIncarnation> ended; ///< Incarnations that have certainly ended.
	ShareLoan loan;                 ///< Account shares that the ledger lends to the service.
	std::set<BoxName> give_way;     ///< Boxes of `drain` that another pool needs for jobs that can be on time.
};

/** Sends status requests to the owners of pools. */
class PoolOwnerClient {
public:
	virtual ~PoolOwnerClient() = default;

	/** Requests the status of a pool and tells its owner which boxes to drain. @param service Name of the pool. @param
	 * request What the owner is told. @param done Gets the status, or nothing when the owner didn't answer. */
	virtual void Ask(const ServiceName &service, const PoolRequest &request,
					 std::function<void(std::optional<PoolStatus>)> done) = 0;
};

/** Dependencies of the fleet owner, given by its node. */
struct FleetOwnerContext {
	Scheduler &scheduler;               ///< Clock and timers.
	KeyedLog &log;                      ///< The keyed log that holds the fleet's partition.
	MachineControl &machines;           ///< Machine control.
	WaveReporter &reports;              ///< Publishes the state of waves for operators.
	PoolOwnerClient &pools;             ///< Requests to the owners of pools.
	EventLog &events;                   ///< Event log.
	std::string name;                   ///< Name of this node; identifies it in orders to machines.
	std::string address;                ///< Address at which this node answers other nodes.
	Millis turn_gap;                    ///< Minimum time between the orders of two owners for one box.
	std::string group;                  ///< Group of the nodes that may give orders.
	std::function<bool()> should_claim; ///< Whether this node should claim the fleet when it has no owner.
	std::function<bool()> should_watch =
			nullptr; ///< Whether it also watches the owner as a second node; null for never.
	std::function<bool()> expects_release = nullptr; ///< See ClaimSpec::expects_release.
	std::function<Millis()> vacancy_wait = nullptr;  ///< See ClaimSpec::vacancy_wait.
	double spread_share = 0;                         ///< See PoolLimits::spread_share.
};

/** Claims the fleet and, while this node owns it, polls it and gives orders. The destructor cancels the timer and gives
 * up the claim, but doesn't record a release: see Release(). */
class FleetOwner {
public:
	/** @param context Dependencies; what they refer to outlives this. */
	explicit FleetOwner(const FleetOwnerContext &context);
	~FleetOwner();
	FleetOwner(const FleetOwner &) = delete;
	FleetOwner &operator=(const FleetOwner &) = delete;

	/** Begins to claim the fleet. */
	void Start();
	/** Sets the configuration. @param config The new configuration. */
	void Configure(const JobConfig &config);
	/** Applies a change of the evacuated zones. @param evacuated The evacuated zones. */
	void SetEvacuatedZones(const EvacuatedZones &evacuated) { this->view.evacuated = evacuated; }
	/** Adds a maintenance wave. @param wave Its number, boxes and limits. */
	void OnWave(const WaveOrder &wave);
	/** @return Whether another node owns the fleet. */
	[[nodiscard]] bool Waiting() const { return !this->journal && this->claim && this->claim->Waiting(); }

	/** @return Counts of drains for moves, since this object was made. */
	[[nodiscard]] const DrainCounters &Drains() const { return this->pool_balancer.Drains(); }

	/** Releases the fleet to another node: gives no more orders, and records the release in the log. The object may be
	 * destroyed once `done` was called. @param done Called when the release is recorded, or at once when this node
	 * doesn't own the fleet. @param successor IP:port on which the node that is to own the fleet serves nodes; empty
	 * when any node may. */
	void Release(const std::function<void()> &done, const std::string &successor = {});
	/** Checks at once whether the fleet can be claimed, if this node waits for that. */
	void CheckNow();

	std::function<void()> on_lost; ///< Called when another node has taken over. Don't destroy this object inside it.

private:
	/** An order that was decided; it is sent once the log holds its record. */
	struct PlannedOrder {
		MachineRow row;               ///< The machine, as last listed.
		std::optional<uint64_t> wave; ///< Number of the wave to maintain it for; none for a move.
		ServiceName to;               ///< Target pool of a move.
	};

	FleetOwnerContext context;                         ///< Dependencies.
	JobConfig config;                                  ///< The configuration in force.
	WavePlanner wave_planner;                          ///< Decides on maintenance.
	PoolBalancer pool_balancer;                        ///< Decides on moves.
	FleetView view;                                    ///< State of the fleet as of the current poll.
	IncarnationTracker incarnations;                   ///< Tracks which incarnations have ended.
	std::unique_ptr<PartitionClaim> claim;             ///< The claim.
	std::unique_ptr<PairedJournal> journal;            ///< Writes records; null until the fleet is claimed.
	FenceToken fence;                                  ///< Token of this ownership.
	uint64_t epoch = 0;                                ///< Epoch of the claim.
	OrderLog recent_orders;                            ///< Boxes with recent orders, of this owner or the one before.
	ShareLedger ledger;                                ///< Lends shares of the accounts' maxima to services.
	bool lending = false;                              ///< Whether a decision of the ledger is being recorded.
	bool recording = false;                            ///< Whether a record of orders is being written.
	bool recording_forecast = false;                   ///< Whether a record of the forecast is being written.
	bool ownership_ended = false;                      ///< Whether the ownership was lost or released.
	size_t pending_answers = 0;                        ///< Requests of this poll without an answer yet.
	std::set<uint64_t> publishing;                     ///< Waves whose report is being published or was published.
	WaveActions actions;                               ///< Actions decided last.
	std::map<ServiceName, std::set<BoxName>> give_way; ///< Boxes where late tasks give way, by pool, as decided last.
	DrainCounters drains_logged;                       ///< Counts of drains as logged last.
	TimerId timer;                                     ///< Next tick.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Callbacks hold it weakly; expires with this.

	void OnClaimed(const ClaimedPartition &claimed);
	void Restore(const std::string &key, const std::string &value);
	void Tick();
	void ConfirmOwnership();
	void Poll();
	[[nodiscard]] PoolRequest RequestFor(const ServiceName &pool) const;
	void OnMachines(ResultCode code, const std::vector<MachineRow> &rows);
	void OnPollAnswer();
	void LendShares();
	void DecideAndOrder();
	void PlanOrder(std::vector<PlannedOrder> &planned, const BoxName &box, std::optional<uint64_t> wave,
				   const ServiceName &to) const;
	void RecordAndSend(const std::vector<PlannedOrder> &planned);
	void Maintain(const MachineRow &row, uint64_t wave);
	void OnMaintained(const BoxName &box, uint64_t wave, ControlOutcome outcome);
	void Move(const MachineRow &row, const ServiceName &to);
	/** Records what the forecast of the pools' demand has learned, for the next owner. */
	void RecordForecast();
	void LogPools() const;
	void LogDrains();
	void Publish(uint64_t wave, bool completed);
	void EndOwnership();
};

#endif /* FLEET_OWNER_H */
