/** @file test_lasting_gaps.cpp A bound on the time that a long-running task has no run, under random faults.
 *
 * Guards against long-running tasks that aren't started again, or only long after their last run has ended, although no
 * fault is left and a box has room. The environment variables GLADE_GAP_SEEDS and GLADE_GAP_FIRST set the number of
 * seeds and the first one; GLADE_GAP_LOG prints the events of all nodes.
 */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <random>
#include <ranges>

namespace {

constexpr Millis GAP_MAX(7000);        ///< Longest time without a run after the last run and the last fault.
constexpr Millis ROOM_FOR(3000);       ///< A task is due only if a box has had room for it for this long.
constexpr Millis CHECK_INTERVAL(50);   ///< Interval of checks.
constexpr Millis CALM(60000);          ///< Time without faults at the end of a simulation.
constexpr Millis RESTART_DELAY(3000);  ///< Time from the crash of a box to its restart.
constexpr Millis FOR_GOOD(3600000);    ///< Time from the crash of a box that is lost for good; beyond the simulation.
constexpr Millis REMOVAL_DELAY(500);   ///< Time from the loss of a box to the removal of its report.
constexpr Millis CRASH_SPACING(1200);  ///< Time between the crashes of a series.
constexpr Millis DEATH_SPACING(1500);  ///< Time between the deaths of owners while partitions are reassigned.
constexpr Millis DEATH_BEFORE(1);      ///< Time from a start order to the death of its box, before it arrives.
constexpr Millis DEATH_AFTER(2);       ///< The same, after it has started the task.
constexpr int64_t SEEDS_DEFAULT = 100; ///< Number of seeds.
constexpr int OWNER_DEATHS = 2;        ///< Number of owners killed while partitions are reassigned.
constexpr int BOX_COUNT = 4;           ///< Number of boxes of the service.
const ServiceName CALC("calc");

/** Kind of a fault. */
enum class FaultKind : uint8_t {
	FK_OWNER_KILLED = 0,           ///< The owner is killed, and is back at the end.
	FK_ALL_KILLED = 1,             ///< All nodes are killed, and are back at the end.
	FK_BOXES_CUT = 2,              ///< Boxes can't be reached.
	FK_BOXES_UNLISTED = 3,         ///< Boxes can't be reached, and their reports are not delivered.
	FK_BOXES_CRASH = 4,            ///< Boxes crash and restart.
	FK_BOXES_RESTART = 5,          ///< Boxes restart at once.
	FK_CRASH_SERIES = 6,           ///< Boxes crash repeatedly.
	FK_STORE_SILENT = 7,           ///< The log doesn't answer.
	FK_APPENDS_LATE = 8,           ///< Appends are executed late, without an answer.
	FK_ORDERS_LATE = 9,            ///< Orders are executed late, without an answer.
	FK_OWNER_PAUSED = 10,          ///< The owner is paused.
	FK_OWNER_WITHOUT_STORE = 11,   ///< The owner can't reach the log.
	FK_OWNER_WITHOUT_BOXES = 12,   ///< The owner can't reach any box.
	FK_REASSIGNED = 13,            ///< Partitions are reassigned.
	FK_CUT_AND_KILLED = 14,        ///< Boxes can't be reached, and the owner is killed.
	FK_LOST = 15,                  ///< A box is lost for good.
	FK_LOST_REMOVED = 16,          ///< A box is lost for good, and its report is removed.
	FK_LOST_AND_KILLED = 17,       ///< A box is lost for good, and the owner is killed.
	FK_DIES_AT_START = 18,         ///< Boxes crash before they answer a start order.
	FK_REASSIGNED_AND_KILLED = 19, ///< Partitions are reassigned while owners are killed.
	FK_END = 20,                   ///< Number of kinds.
};

/** A fault of a simulation. */
struct RandomFault {
	FaultKind kind;                 ///< Its kind.
	Millis at;                      ///< When it begins.
	Millis lasts;                   ///< When it ends, from its beginning.
	std::vector<BoxName> boxes;     ///< Boxes concerned.
	int repetitions = 1;            ///< Number of crashes of a series.
	bool after_start = false;       ///< Whether a box that dies at a start order has started the task.
	std::vector<std::string> nodes; ///< Nodes that it has killed.
	bool active = false;            ///< Whether it has begun and not ended.
};

/** A long-running task, as seen at the boxes. */
struct LastingTask {
	const WorldJob *job = nullptr; ///< Its job.
	TaskId id;                     ///< Its id.
	Millis run_at{};               ///< When it was last seen running; at first, when its job was accepted.
	Millis no_room_at{-1000000};   ///< When no box had room for it last; initially long ago.
	Millis longest_gap;            ///< Longest time without a run that counts.
	std::string state;             ///< Its state at its owner when a gap first was too long.
};

/** @return A number of the environment, or a default. @param name Name of the variable. @param otherwise The default.
 */
int64_t NumberFromEnvironment(const char *name, int64_t otherwise)
{
	const char *text = std::getenv(name);
	return text == nullptr ? otherwise : std::stoll(text);
}

/** A simulation with random faults, then calm. */
class GapWorld {
public:
	/** @param seed Seed of all random choices. */
	explicit GapWorld(uint64_t seed) : random(seed)
	{
		this->world.site.restart_delay = RESTART_DELAY;
		this->world.site.keep_box_id = this->Number(0, 1) == 1;
		this->world.site.stop_delay = Millis(this->Number(0, 1) * 150);
		this->world.site.choose_transit = [this](const OutgoingOrder &it) { return this->TransitOf(it); };
		std::ranges::for_each(this->world.nodes, [this](const auto &it) { this->PrintEvents(*it); });
		this->reports_ended = this->Number(0, 1) == 1;
		if (this->reports_ended) {
			this->world.ReportEndedIncarnations();
		}
		this->PlanJobs();
		const int count = this->Number(5, 14);
		for (int n = 0; n < count; n++) {
			this->faults.push_back(this->MakeFault());
		}
		this->story = this->MakeStory();
		std::ranges::for_each(this->faults, [this](RandomFault &it) { this->Schedule(it); });
	}

	/** Runs the simulation, and checks the tasks all the while. */
	void Run()
	{
		Millis end = CALM;
		for (const RandomFault &it : this->faults) {
			end = std::max(end, it.at + it.lasts + CALM);
		}
		for (Millis at = CHECK_INTERVAL; at <= end; at = at + CHECK_INTERVAL) {
			this->world.clock.RunUntil(at);
			this->NoteCrashes();
			std::ranges::for_each(this->tasks, [this](LastingTask &it) { this->Check(it); });
		}
	}

	/** @return Descriptions of tasks that had no run for too long, or have none at the end. */
	std::string Violations()
	{
		std::string out;
		for (const LastingTask &it : this->tasks) {
			const bool runs = !it.job->accepted || this->world.site.BoxOf(it.id);
			if (it.longest_gap > GAP_MAX || !runs) {
				out += NameOf(it.id) + " gap " + std::to_string(it.longest_gap.Value()) +
					   (runs ? "" : ", never again") + ", " + it.state + "; ";
			}
		}
		for (const std::string &it : this->world.site.violations) {
			out += it + "; ";
		}
		return out;
	}

	/** @return Long-running tasks of accepted jobs that don't run now. */
	std::string WithoutRun()
	{
		std::string out;
		for (const LastingTask &it : this->tasks) {
			if (it.job->accepted && !this->world.site.BoxOf(it.id)) {
				out += NameOf(it.id) + " " + it.state + "; ";
			}
		}
		return out;
	}

	/** @return Names and times of the faults, for messages. */
	[[nodiscard]] const std::string &Story() const { return this->story; }

private:
	/** How a kind of fault begins and ends. */
	struct FaultAction {
		FaultKind kind;                         ///< The kind.
		const char *name;                       ///< Name for messages.
		void (GapWorld::*begin)(RandomFault &); ///< Begins it.
		void (GapWorld::*end)(RandomFault &);   ///< Ends it.
		bool momentary;                         ///< Whether it is over as soon as it has begun.
	};

	static const std::array<FaultAction, static_cast<size_t>(FaultKind::FK_END)> ACTIONS;

	static const FaultAction &ActionOf(FaultKind kind) { return ACTIONS[static_cast<size_t>(kind)]; }

	/** @return Names, times and boxes of the faults. */
	[[nodiscard]] std::string MakeStory() const
	{
		std::string out = this->reports_ended ? "ends reported" : "ends not reported";
		for (const RandomFault &it : this->faults) {
			out += std::string("; ") + ActionOf(it.kind).name + " " + std::to_string(it.at.Value()) + "+" +
				   std::to_string(it.lasts.Value());
			for (const BoxName &box : it.boxes) {
				out += " " + box.Value();
			}
		}
		return out;
	}

	static std::string NameOf(const TaskId &id) { return id.job.Value() + "." + std::to_string(id.index); }

	int Number(int least, int most) { return std::uniform_int_distribution<int>(least, most)(this->random); }

	static BoxName Box(int n) { return BoxName("calc-box" + std::to_string(n)); }

	void PrintEvents(WorldNode &node)
	{
		if (std::getenv("GLADE_GAP_LOG") != nullptr) {
			node.events.write = [this, name = node.name](const std::string &line) {
				std::cout << this->world.clock.Now().Value() << " " << name << " " << line << "\n";
			};
		}
	}

	void PlanJobs()
	{
		for (int n = 0; n < 3; n++) {
			const WorldJob &job = this->world.Plan(Millis(1000 + 200 * n), "calc",
												   JobWorld::Lasting(static_cast<uint32_t>(this->Number(1, 3))));
			for (uint32_t index = 0; index < job.spec.steps.front().count; index++) {
				LastingTask &task = this->tasks.emplace_back();
				task.job = &job;
				task.id = TaskId{job.spec.id, 0, 0, index};
			}
		}
		for (int n = 0; n < 8; n++) {
			this->world.Plan(Millis(1500 + this->Number(0, 20000)), "calc",
							 JobWorld::Chain(static_cast<uint32_t>(1 + n % 3)), Millis(300 + 150 * (n % 4)));
		}
		if (this->Number(0, 3) == 0) {
			const WorldJob &job = this->world.Plan(Millis(1700), "calc", JobWorld::Chain(1));
			this->world.site.JobOf(job.spec.id).crashing_tasks = {0};
		}
	}

	RandomFault MakeFault()
	{
		static constexpr std::array<int, 5> DURATIONS{800, 2500, 5000, 9000, 12000};
		RandomFault fault{};
		fault.kind = static_cast<FaultKind>(this->Number(0, static_cast<int>(FaultKind::FK_END) - 1));
		fault.at = Millis(this->Number(2500, 30000));
		fault.lasts = Millis(DURATIONS[static_cast<size_t>(this->Number(0, 4))]);
		fault.repetitions = this->Number(2, 5);
		fault.after_start = this->Number(0, 1) == 1;
		const int first = this->Number(0, BOX_COUNT - 1);
		const int second = this->Number(0, BOX_COUNT - 1);
		const bool more = this->Number(0, 2) == 0;
		for (int n = 0; n < BOX_COUNT; n++) {
			if (n == first || n == second || (more && this->Number(0, 1) == 1)) {
				fault.boxes.push_back(Box(n));
			}
		}
		if (fault.kind == FaultKind::FK_CRASH_SERIES) {
			fault.lasts = Millis(CRASH_SPACING.Value() * (fault.repetitions - 1));
		} else if (fault.kind == FaultKind::FK_REASSIGNED_AND_KILLED) {
			fault.lasts = std::max(fault.lasts, Millis(DEATH_SPACING.Value() * OWNER_DEATHS));
		} else if (ActionOf(fault.kind).momentary) {
			fault.lasts = Millis(0);
		}
		return fault;
	}

	void Schedule(RandomFault &fault)
	{
		this->world.clock.After(fault.at, [this, &fault] {
			fault.active = true;
			std::invoke(ActionOf(fault.kind).begin, this, fault);
			this->world.clock.After(fault.lasts, [this, &fault] {
				std::invoke(ActionOf(fault.kind).end, this, fault);
				fault.active = false;
				this->last_fault_at = this->world.clock.Now();
			});
		});
	}

	void NoteCrashes()
	{
		if (std::exchange(this->crashes_seen, this->world.site.crashes) != this->world.site.crashes) {
			this->last_fault_at = this->world.clock.Now();
		}
	}

	/** @return Whether no fault is active. */
	[[nodiscard]] bool Calm() const { return std::ranges::none_of(this->faults, &RandomFault::active); }

	void Check(LastingTask &task)
	{
		const Millis now = this->world.clock.Now();
		if (!task.job->accepted || this->world.site.BoxOf(task.id)) {
			task.run_at = now;
			return;
		}
		if (!this->world.site.HasRoom(CALC, task.id)) {
			task.no_room_at = now;
		}
		if (!this->Calm() || now - task.no_room_at < ROOM_FOR) {
			return;
		}
		const Millis gap = now - std::max(task.run_at, this->last_fault_at);
		task.longest_gap = std::max(task.longest_gap, gap);
		if (gap > GAP_MAX && task.state.empty()) {
			task.state = this->StateOf(task);
		}
	}

	static std::string TaskText(const ShardTask &task)
	{
		const std::string state = std::to_string(static_cast<int>(task.run_state));
		return (task.phase == TaskPhase::TP_PLACED ? " placed, state " + state : " waits") + ", run " +
			   std::to_string(task.run.Value()) + ", crashes " + std::to_string(task.crashes) + "+" +
			   std::to_string(task.crashes_possible) + (task.suspect ? ", suspect" : "");
	}

	static std::string BoxText(const ShardBox &box, Millis now)
	{
		return ", box " + IncarnationText(box.report.incarnation) + (box.over ? " over" : "") +
			   (box.has_successor ? " succeeded" : "") + (box.unreachable ? " unreachable" : "") +
			   ", leases expire in " + std::to_string((box.leases_expire_at - now).Value());
	}

	/** @return The state of a task at its owner, for messages. */
	std::string StateOf(const LastingTask &task)
	{
		const std::string at = "at " + std::to_string(this->world.clock.Now().Value());
		WorldNode *owner = this->world.OwnerOf(CALC);
		if (owner == nullptr) {
			return at + ": no owner";
		}
		const Shard &shard = *std::as_const(owner->host).Find(CALC)->Running();
		const auto job = shard.Jobs().find(task.id.job);
		if (job == shard.Jobs().end()) {
			return at + ": not known";
		}
		const ShardTask &it = job->second.tasks[task.id.index];
		std::string out = at + ": " + owner->name + TaskText(it);
		const auto box = shard.Boxes().find(it.box);
		if (it.phase == TaskPhase::TP_PLACED && box != shard.Boxes().end()) {
			out += BoxText(box->second, owner->scheduler.Now());
		}
		return out + ", earlier leases " + std::to_string(shard.EarlierLeaseSpanLeft().Value());
	}

	/** @return The owner, or else the first node that is up, or null. */
	WorldNode *Owner()
	{
		if (WorldNode *owner = this->world.OwnerOf(CALC); owner != nullptr) {
			return owner;
		}
		const auto it = std::ranges::find_if(this->world.nodes, [](const auto &node) { return node->up; });
		return it == this->world.nodes.end() ? nullptr : it->get();
	}

	void EachNode(const std::function<void(WorldNode &)> &change)
	{
		std::ranges::for_each(this->world.nodes, [&change](const auto &it) { change(*it); });
	}

	void KillNode(WorldNode *node, RandomFault &fault)
	{
		if (node != nullptr && node->up) {
			JobWorld::Kill(*node);
			fault.nodes.push_back(node->name);
		}
	}

	/** Boots the nodes that a fault has killed, but never a second one of a name. */
	void BootKilled(RandomFault &fault)
	{
		for (const std::string &name : std::exchange(fault.nodes, {})) {
			const bool runs = std::ranges::any_of(this->world.nodes,
												  [&name](const auto &it) { return it->up && it->name == name; });
			if (!runs) {
				this->PrintEvents(this->world.Boot(name));
			}
		}
	}

	void Nothing(RandomFault &) {}

	void KillOwner(RandomFault &fault) { this->KillNode(this->Owner(), fault); }

	void KillAll(RandomFault &fault)
	{
		this->EachNode([&](WorldNode &it) { this->KillNode(&it, fault); });
	}

	void CutBoxes(RandomFault &fault)
	{
		std::ranges::for_each(fault.boxes,
							  [this](const BoxName &it) { this->world.site.faults[it].unreachable = true; });
	}

	void ReachBoxes(RandomFault &fault)
	{
		std::ranges::for_each(fault.boxes,
							  [this](const BoxName &it) { this->world.site.faults[it].unreachable = false; });
	}

	void CutAndUnlist(RandomFault &fault)
	{
		this->CutBoxes(fault);
		this->world.unlisted.insert(fault.boxes.begin(), fault.boxes.end());
	}

	void ReachAndList(RandomFault &fault)
	{
		this->ReachBoxes(fault);
		for (const BoxName &it : fault.boxes) {
			if (it != this->removed_box) {
				this->world.unlisted.erase(it);
			}
		}
	}

	void CrashBoxes(RandomFault &fault)
	{
		std::ranges::for_each(fault.boxes, [this](const BoxName &it) { this->world.site.Crash(it); });
	}

	void RestartBoxes(RandomFault &fault)
	{
		for (const BoxName &it : fault.boxes) {
			if (!this->world.site.Down(it)) {
				this->world.site.Restart(it);
			}
		}
	}

	void CrashInSeries(RandomFault &fault)
	{
		for (int n = 0; n < fault.repetitions; n++) {
			this->world.clock.After(Millis(CRASH_SPACING.Value() * n), [this, &fault] { this->CrashBoxes(fault); });
		}
	}

	void SilenceStore(RandomFault &)
	{
		this->EachNode([](WorldNode &it) { it.log.faults.silent = true; });
	}

	void AnswerFromStore(RandomFault &)
	{
		this->EachNode([](WorldNode &it) { it.log.faults.silent = false; });
	}

	void DelayAppends(RandomFault &)
	{
		this->EachNode([](WorldNode &it) {
			it.log.faults.lose_every = 3;
			it.log.faults.late = true;
		});
	}

	void AppendInTime(RandomFault &)
	{
		this->EachNode([](WorldNode &it) { it.log.faults.lose_every = 0; });
	}

	void DelayOrders(RandomFault &fault)
	{
		for (const BoxName &it : fault.boxes) {
			this->world.site.faults[it].lose_every = 2;
			this->world.site.faults[it].late = true;
		}
	}

	void OrderInTime(RandomFault &fault)
	{
		std::ranges::for_each(fault.boxes, [this](const BoxName &it) { this->world.site.faults[it].lose_every = 0; });
	}

	void PauseOwner(RandomFault &fault)
	{
		if (WorldNode *owner = this->Owner(); owner != nullptr) {
			owner->scheduler.paused_until = this->world.clock.Now() + fault.lasts;
		}
	}

	void CutOwnerFromStore(RandomFault &)
	{
		if (WorldNode *owner = this->Owner(); owner != nullptr) {
			owner->log.faults.silent = true;
		}
	}

	void CutOwnerFromBoxes(RandomFault &)
	{
		if (WorldNode *owner = this->Owner(); owner != nullptr) {
			for (int n = 0; n < BOX_COUNT; n++) {
				owner->orders.unreachable_boxes.insert(Box(n));
			}
		}
	}

	void ReachFromNodes(RandomFault &)
	{
		this->EachNode([](WorldNode &it) { it.orders.unreachable_boxes.clear(); });
	}

	void Reassign(RandomFault &) { this->world.store.ReassignPartitions(); }

	void CutAndKill(RandomFault &fault)
	{
		this->CutBoxes(fault);
		this->KillOwner(fault);
	}

	void ReachAndBoot(RandomFault &fault)
	{
		this->ReachBoxes(fault);
		this->BootKilled(fault);
	}

	/** Loses a box for good, unless one was lost before: three boxes suffice for all tasks. */
	void LoseBox(RandomFault &fault)
	{
		if (this->lost_box || this->world.site.Down(fault.boxes.front())) {
			return;
		}
		this->lost_box = fault.boxes.front();
		this->world.site.restart_delay = FOR_GOOD;
		this->world.site.Crash(*this->lost_box);
		this->world.site.restart_delay = RESTART_DELAY;
	}

	void LoseBoxAndReport(RandomFault &fault)
	{
		this->LoseBox(fault);
		if (this->lost_box != fault.boxes.front()) {
			return;
		}
		this->world.clock.After(REMOVAL_DELAY, [this] {
			this->removed_box = this->lost_box;
			this->world.unlisted.insert(*this->lost_box);
			const BoxId id = this->world.site.IncarnationOf(*this->lost_box).id;
			this->EachNode([&id](WorldNode &it) {
				it.scheduler.After(Millis(0), [&it, id] { it.host.OnReportRemoved(id); });
			});
		});
	}

	void LoseBoxAndOwner(RandomFault &fault)
	{
		this->LoseBox(fault);
		this->KillOwner(fault);
	}

	/** @return Transit of an order: a start order to a box that is to die at one gets no answer. */
	std::optional<OrderTransit> TransitOf(const OutgoingOrder &order)
	{
		const auto it = std::ranges::find_if(this->faults, [&order](const RandomFault &fault) {
			return fault.active && fault.kind == FaultKind::FK_DIES_AT_START &&
				   std::ranges::find(fault.boxes, order.box) != fault.boxes.end();
		});
		if (order.kind != OrderKind::OK_START || it == this->faults.end()) {
			return std::nullopt;
		}
		const BoxName box = order.box;
		std::erase(it->boxes, box);
		this->world.clock.After(it->after_start ? DEATH_AFTER : DEATH_BEFORE,
								[this, box] { this->world.site.Crash(box); });
		return OrderTransit{DEATH_BEFORE, false, false};
	}

	void ReassignAndKill(RandomFault &fault)
	{
		for (int n = 0; n < OWNER_DEATHS; n++) {
			this->world.clock.After(Millis(DEATH_SPACING.Value() * n), [this, &fault] {
				this->world.store.ReassignPartitions();
				this->KillOwner(fault);
			});
		}
	}

	void BootAndReassign(RandomFault &fault)
	{
		this->BootKilled(fault);
		this->world.store.ReassignPartitions();
	}

	std::mt19937_64 random;             ///< Source of all choices.
	JobWorld world;                     ///< The simulation.
	std::vector<RandomFault> faults;    ///< All faults; not changed once they are scheduled.
	std::vector<LastingTask> tasks;     ///< All long-running tasks.
	std::string story;                  ///< Names, times and boxes of the faults.
	bool reports_ended = false;         ///< Whether ended incarnations are reported.
	Millis last_fault_at;               ///< When a fault last ended.
	uint64_t crashes_seen = 0;          ///< Number of crashes of boxes at the last check.
	std::optional<BoxName> lost_box;    ///< The box that is lost for good.
	std::optional<BoxName> removed_box; ///< The same, once its report is removed.
};

const std::array<GapWorld::FaultAction, static_cast<size_t>(FaultKind::FK_END)> GapWorld::ACTIONS{{
		{FaultKind::FK_OWNER_KILLED, "owner killed", &GapWorld::KillOwner, &GapWorld::BootKilled, false},
		{FaultKind::FK_ALL_KILLED, "all nodes killed", &GapWorld::KillAll, &GapWorld::BootKilled, false},
		{FaultKind::FK_BOXES_CUT, "boxes cut", &GapWorld::CutBoxes, &GapWorld::ReachBoxes, false},
		{FaultKind::FK_BOXES_UNLISTED, "boxes cut and unlisted", &GapWorld::CutAndUnlist, &GapWorld::ReachAndList,
		 false},
		{FaultKind::FK_BOXES_CRASH, "boxes crash", &GapWorld::CrashBoxes, &GapWorld::Nothing, true},
		{FaultKind::FK_BOXES_RESTART, "boxes restart", &GapWorld::RestartBoxes, &GapWorld::Nothing, true},
		{FaultKind::FK_CRASH_SERIES, "boxes crash in series", &GapWorld::CrashInSeries, &GapWorld::Nothing, false},
		{FaultKind::FK_STORE_SILENT, "store silent", &GapWorld::SilenceStore, &GapWorld::AnswerFromStore, false},
		{FaultKind::FK_APPENDS_LATE, "appends late", &GapWorld::DelayAppends, &GapWorld::AppendInTime, false},
		{FaultKind::FK_ORDERS_LATE, "orders late", &GapWorld::DelayOrders, &GapWorld::OrderInTime, false},
		{FaultKind::FK_OWNER_PAUSED, "owner paused", &GapWorld::PauseOwner, &GapWorld::Nothing, false},
		{FaultKind::FK_OWNER_WITHOUT_STORE, "owner without store", &GapWorld::CutOwnerFromStore,
		 &GapWorld::AnswerFromStore, false},
		{FaultKind::FK_OWNER_WITHOUT_BOXES, "owner without boxes", &GapWorld::CutOwnerFromBoxes,
		 &GapWorld::ReachFromNodes, false},
		{FaultKind::FK_REASSIGNED, "partitions reassigned", &GapWorld::Reassign, &GapWorld::Nothing, true},
		{FaultKind::FK_CUT_AND_KILLED, "boxes cut and owner killed", &GapWorld::CutAndKill, &GapWorld::ReachAndBoot,
		 false},
		{FaultKind::FK_LOST, "box lost", &GapWorld::LoseBox, &GapWorld::Nothing, true},
		{FaultKind::FK_LOST_REMOVED, "box lost and report removed", &GapWorld::LoseBoxAndReport, &GapWorld::Nothing,
		 true},
		{FaultKind::FK_LOST_AND_KILLED, "box lost and owner killed", &GapWorld::LoseBoxAndOwner, &GapWorld::BootKilled,
		 false},
		{FaultKind::FK_DIES_AT_START, "boxes die at a start", &GapWorld::Nothing, &GapWorld::Nothing, false},
		{FaultKind::FK_REASSIGNED_AND_KILLED, "partitions reassigned, owners killed", &GapWorld::ReassignAndKill,
		 &GapWorld::BootAndReassign, false},
}};

} // namespace

TEST_CASE("all long-running tasks run a minute after random faults have ended")
{
	const int64_t first = NumberFromEnvironment("GLADE_GAP_FIRST", 1);
	const int64_t count = NumberFromEnvironment("GLADE_GAP_SEEDS", SEEDS_DEFAULT);
	for (int64_t seed = first; seed < first + count; seed++) {
		GapWorld world(static_cast<uint64_t>(seed));
		world.Run();
		const std::string missing = world.WithoutRun();
		CHECK_MESSAGE(missing.empty(), "seed ", seed, ": ", missing, world.Story());
	}
}

TEST_CASE("a long-running task is never without a run for longer than the rule allows")
{
	const int64_t first = NumberFromEnvironment("GLADE_GAP_FIRST", 1);
	const int64_t count = NumberFromEnvironment("GLADE_GAP_SEEDS", SEEDS_DEFAULT);
	for (int64_t seed = first; seed < first + count; seed++) {
		GapWorld world(static_cast<uint64_t>(seed));
		world.Run();
		const std::string violations = world.Violations();
		CHECK_MESSAGE(violations.empty(), "seed ", seed, ": ", violations, world.Story());
	}
}
