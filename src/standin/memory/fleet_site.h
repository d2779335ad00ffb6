/** @file fleet_site.h Keepers, entries, a log and a platform in memory, under a virtual clock, with fault switches. */
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

/** The platform besides its log: boxes that reboot, jobs that run. */
class SitePlatform : public BoxControl {
public:
	explicit SitePlatform(VirtualScheduler &clock) : clock(clock) {}
	void Reboot(const BoxName &box, PermitId permit) override;
	void StartJob(const Job &job) override;
	void StopJob(const Job &job) override;
	void FetchJobEnds(std::function<void(ResultCode, std::vector<JobEnd>)> done) override;
	void Acknowledge(const JobEnd &end) override;

	std::map<BoxName, ListedBox> boxes;              ///< The list as it is.
	std::map<std::string, int> starts;               ///< Runs begun, by job.
	std::map<JobName, std::pair<JobEnd, bool>> jobs; ///< Newest attempt and whether it still runs.
	int lose_orders = 0;                             ///< Next orders that are lost.
	std::set<JobName> failing_jobs;                  ///< Jobs that always fail.
	std::set<BoxName> failing_boxes;                 ///< Boxes that fail every job.
	std::map<BoxName, int> reboots;                  ///< Reboots carried out.

private:
	VirtualScheduler &clock; ///< The clock.

	bool TakeLostOrder();
};

/** A keeper without sockets. */
class KeeperNode {
public:
	KeeperNode(FleetSite &site, const std::string &name, const std::string &zone, KeeperTimes times);

	/** Begins its ticks. */
	void Start();

	/** Publishes an edit against the table that this keeper knows. */
	std::shared_ptr<glade::wire::OutcomeT> Publish(const std::vector<CellEdit> &cells, uint64_t base);

	/** Proposes a change. */
	template <class T>
	std::shared_ptr<glade::wire::OutcomeT> Propose(T change);

	FleetSite &site;           ///< The site.
	std::string name;          ///< Its name.
	std::string zone;          ///< Its zone.
	NodeScheduler scheduler;   ///< Its clock.
	MemoryLog log;             ///< Its way to the log, with its own faults.
	LogTail tail;              ///< The state.
	LogWriter writer;          ///< Appends.
	KeeperCore core;           ///< Shared by the desks.
	EntryHandler entries;      ///< Entries.
	OperatorHandler operators; ///< Operators.
	RegionPlanner planner;     ///< Planning.
	SnapshotWriter snapshots;  ///< Snapshots.
	bool list_frozen = false;  ///< Whether its list is late.

private:
	bool joined_asked = false; ///< Whether its joining is not decided yet.

	void OnRecord(const std::vector<Decision> &decisions);
	void Tick();
	void SlowTick();
	void ListTick();
};

/** An entry without callers. */
class EntryStub : public EntryChannel {
public:
	EntryStub(FleetSite &site, const std::string &name, const std::string &zone);
	void Send(const glade::wire::MessageUnion &message) override;
	void Start() { this->Tick(); }

	FleetSite &site;         ///< The site.
	std::string name;        ///< Its name.
	std::string zone;        ///< Its zone.
	NodeScheduler scheduler; ///< Its clock.
	RouteTable routes;       ///< Its view.
	KeeperNode *keeper;      ///< The keeper that it speaks to.
	uint64_t incarnation;    ///< Its start.
	bool cut = false;        ///< Whether it is cut from its keeper.
	uint64_t table_seen = 0; ///< Highest offset in force.

private:
	uint64_t number = 0;                ///< Hellos.
	std::map<uint64_t, Millis> sent_at; ///< When they were sent.

	void Tick();
	void Hello();
};

/** A whole site, with an invariant checker on every folded record. */
class FleetSite {
public:
	explicit FleetSite(uint32_t boxes = 12, LogLimits limits = {});
	~FleetSite();

	/** Adds a keeper that starts now. */
	KeeperNode &AddKeeper(const std::string &name, const std::string &zone);

	/** Kills a keeper. */
	void Kill(KeeperNode &keeper);

	/** Lets time pass. */
	void Run(Millis span);

	/** Lets time pass until something holds. */
	bool RunUntil(const std::function<bool()> &holds, Millis longest);

	/** @return The keeper that plans, or the first that lives. */
	KeeperNode &Planner();

	/** @return Any keeper that lives and follows. */
	KeeperNode &AnyKeeper();

	/** Publishes the first table and waits until all boxes serve. */
	void SetUp();

	/** Checks what must always hold, after a record. */
	void CheckRecord(const KeeperNode &keeper, const std::vector<Decision> &decisions);

	/** Heals all faults. */
	void Heal();

	/** @return Whether all keepers that live have the same state. */
	[[nodiscard]] bool StatesAgree() const;

	VirtualScheduler clock;                           ///< The clock.
	LogStore store;                                   ///< The log.
	SitePlatform platform;                            ///< Boxes and jobs.
	std::vector<std::unique_ptr<KeeperNode>> keepers; ///< Keepers, dead ones too.
	std::vector<std::unique_ptr<EntryStub>> entries;  ///< Entries.
	std::map<uint64_t, uint64_t> state_hashes;        ///< Hash at each offset, as first seen.
	std::map<std::string, uint64_t> table_versions;   ///< Table version of each keeper.
	std::vector<std::string> violations;              ///< What did not hold.
	std::set<std::string> accepted_jobs;              ///< Jobs told as accepted.
	std::string timeline;                             ///< Accepted changes of the first keeper to fold them.
	KeeperTimes times;                                ///< Times of keepers.

private:
	std::map<uint64_t, bool> timeline_offsets; ///< Offsets in the timeline.

	void AddViolation(const std::string &what);
	void CheckBudgets(const KeeperNode &keeper);
	void AppendTimeline(const KeeperNode &keeper, const std::vector<Decision> &decisions);

	std::map<std::string, std::map<BoxName, BoxState>> box_states; ///< Box states of each keeper, before the record.
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
