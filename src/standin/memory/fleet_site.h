/** @file fleet_site.h Simulated keepers, entries, log and platform under a virtual clock, with fault injection. */
#ifndef FLEET_SITE_H
#define FLEET_SITE_H

#include "node_scheduler.h"

#include "../../fleet/table_func.h"
#include "../../keeper/entry_handler.h"
#include "../../keeper/operator_handler.h"
#include "../../keeper/region_planner.h"
#include "../../keeper/snapshot_writer.h"
#include "../../log/memory_log.h"
#include "../../request/route_table.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

class FleetSite;

/** The platform without its log: boxes that reboot and run jobs. */
class SitePlatform : public BoxControl {
public:
	explicit SitePlatform(VirtualScheduler &clock) : clock(clock) {}
	void Reboot(const BoxName &box, PermitId permit) override;
	void StartJob(const Job &job) override;
	void StopJob(const Job &job) override;
	void FetchJobEnds(std::function<void(ResultCode, std::vector<JobEnd>)> done) override;
	void Acknowledge(const JobEnd &end) override;

	std::map<BoxName, ListedBox> boxes; ///< Listed boxes by name.
	std::map<std::string, int> starts;  ///< Started runs by job.
	std::map<JobName, std::pair<JobEnd, bool>>
			jobs;                    ///< Latest attempt by job; false once it has ended, until the end is acknowledged.
	int lose_orders = 0;             ///< Number of orders to drop, from the next one on.
	std::set<JobName> failing_jobs;  ///< Jobs that fail on every box.
	std::set<BoxName> failing_boxes; ///< Boxes on which every job fails.
	std::map<BoxName, int> reboots;  ///< Reboots carried out, by box.

private:
	VirtualScheduler &clock; ///< Clock of the simulation.

	/** @return Whether the present order is to be dropped. */
	bool TakeLostOrder();
};

/** A keeper that is called directly, without sockets. */
class KeeperNode {
public:
	KeeperNode(FleetSite &site, const std::string &name, const std::string &zone, KeeperTimes times);

	/** Starts its periodic work. */
	void Start();

	/** Publishes an edit against this keeper's table. @param cells Changed cells. @param base Table version that they
	 * are based on. @return Filled in when the outcome is known. */
	std::shared_ptr<glade::wire::OutcomeT> Publish(const std::vector<CellEdit> &cells, uint64_t base);

	/** Proposes a change. @param change The change. @return Filled in when the outcome is known. */
	template <class T>
	std::shared_ptr<glade::wire::OutcomeT> Propose(T change);

	FleetSite &site;           ///< The site.
	std::string name;          ///< Its name.
	std::string zone;          ///< Its zone.
	NodeScheduler scheduler;   ///< Its clock.
	MemoryLog log;             ///< Its connection to the log, with its own faults.
	LogTail tail;              ///< Fleet state, built from the log.
	LogWriter writer;          ///< Appends proposals to the log.
	KeeperCore core;           ///< State shared by the handlers below.
	EntryHandler entries;      ///< Serves entries.
	OperatorHandler operators; ///< Serves operators.
	RegionPlanner planner;     ///< Plans the region while this keeper holds the term.
	SnapshotWriter snapshots;  ///< Writes snapshots.
	bool list_frozen = false;  ///< Whether its list of boxes is no longer updated.

private:
	bool join_pending = false; ///< Whether its proposal to join is undecided.

	void OnRecord(const std::vector<Decision> &decisions);
	void Tick();
	void SlowTick();
	void ListTick();
};

/** An entry that serves no callers. */
class EntryStub : public EntryChannel {
public:
	EntryStub(FleetSite &site, const std::string &name, const std::string &zone);
	void Send(const glade::wire::MessageUnion &message) override;
	void Start() { this->Tick(); }

	FleetSite &site;         ///< The site.
	std::string name;        ///< Its name.
	std::string zone;        ///< Its zone.
	NodeScheduler scheduler; ///< Its clock.
	RouteTable routes;       ///< Routes of its latest view.
	KeeperNode *keeper;      ///< Keeper that it is connected to, or null.
	uint64_t incarnation;    ///< Its incarnation.
	bool cut = false;        ///< Whether it is disconnected from its keeper.
	uint64_t table_seen = 0; ///< Not used.

private:
	uint64_t number = 0;                ///< Number of the last hello.
	std::map<uint64_t, Millis> sent_at; ///< Send times of hellos by number.

	void Tick();
	void Hello();
};

/** A simulated deployment of two zones. Checks invariants after every record that a keeper applies. */
class FleetSite {
public:
	explicit FleetSite(uint32_t boxes = 12, LogLimits limits = {});
	~FleetSite();

	/** Adds and starts a keeper. */
	KeeperNode &AddKeeper(const std::string &name, const std::string &zone);

	/** Kills a keeper. */
	void Kill(KeeperNode &keeper);

	/** Advances the clock. @param span By how much. */
	void Run(Millis span);

	/** Advances the clock until a condition holds. @param holds The condition. @param longest Time limit. @return
	 * Whether it holds. */
	bool RunUntil(const std::function<bool()> &holds, Millis longest);

	/** @return The keeper that plans, or else AnyKeeper(). */
	KeeperNode &Planner();

	/** @return A live keeper that follows the log, or else the first keeper. */
	KeeperNode &AnyKeeper();

	/** Publishes the first table and a team quota, then waits until all boxes are up. */
	void SetUp();

	/** Checks the invariants after a keeper has applied a record. @param keeper The keeper. @param decisions Decisions
	 * of the record. */
	void CheckRecord(const KeeperNode &keeper, const std::vector<Decision> &decisions);

	/** Ends all faults; adds a keeper to each zone that has none. */
	void Heal();

	/** @return Whether all live keepers have the same state. */
	[[nodiscard]] bool StatesAgree() const;

	VirtualScheduler clock;                           ///< Clock of the simulation.
	LogStore store;                                   ///< The log.
	SitePlatform platform;                            ///< Boxes and their jobs.
	std::vector<std::unique_ptr<KeeperNode>> keepers; ///< Keepers, including killed ones.
	std::vector<std::unique_ptr<EntryStub>> entries;  ///< Entries.
	std::map<uint64_t, uint64_t> state_hashes; ///< State hash at each offset, from the first keeper that reached it.
	std::map<std::string, uint64_t> table_versions; ///< Latest table version of each keeper's incarnation.
	std::vector<std::string> violations;            ///< Descriptions of violated invariants.
	std::set<std::string> accepted_jobs;            ///< Jobs reported as accepted.
	std::string timeline;                           ///< Decisions in order, each from the first keeper that applied it.
	KeeperTimes times;                              ///< Timing settings of the keepers.

private:
	std::map<uint64_t, bool> timeline_offsets; ///< Offsets that the timeline has.

	void AddViolation(const std::string &what);
	void CheckBudgets(const KeeperNode &keeper);
	void AppendTimeline(const KeeperNode &keeper, const std::vector<Decision> &decisions);

	std::map<std::string, std::map<BoxName, BoxState>>
			box_states; ///< Box states of each keeper before the current record.
};

template <class T>
std::shared_ptr<glade::wire::OutcomeT> KeeperNode::Propose(T change)
{
	auto outcome = std::make_shared<glade::wire::OutcomeT>();
	outcome->code = static_cast<uint32_t>(ResultCode::RC_OUTCOME_UNKNOWN);
	glade::wire::ChangeRequestT request;
	request.proposal = MakeProposal(std::move(change));
	this->operators.OnChange(request,
							 [outcome](const glade::wire::MessageUnion &message) { *outcome = *message.AsOutcome(); });
	return outcome;
}

#endif /* FLEET_SITE_H */
