/** @file test_job_matrix.cpp Jobs under every fault of the store, the nodes and the boxes, at several moments. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

namespace {

constexpr Millis WHOLE(70000);    ///< Length of a cell: every fault is long over, and every lease too.
constexpr Millis FAULT_FOR(5000); ///< Length of a fault.

/** A fault: how it begins and, for those that pass, how it ends. */
struct Fault {
	const char *name;                      ///< For messages.
	std::function<void(JobWorld &)> begin; ///< Begins it.
	std::function<void(JobWorld &)> end;   ///< Ends it.
};

void EachNode(JobWorld &world, const std::function<void(WorldNode &)> &change)
{
	std::ranges::for_each(world.nodes, [&change](const auto &it) { change(*it); });
}

WorldNode &OwnerOrFirst(JobWorld &world)
{
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	return owner == nullptr ? *world.nodes.front() : *owner;
}

/** No call to a partition of "calc" is answered, or all are again. @param part 0: where its owner records; 1: the
 * inbox. */
void Mute(JobWorld &world, uint32_t part, bool mute)
{
	EachNode(world, [part, mute](WorldNode &it) {
		const PartitionId partition{"keyed.jobs.calc", part};
		if (mute) {
			it.log.faults.silent_partitions.insert(partition);
		} else {
			it.log.faults.silent_partitions.erase(partition);
		}
	});
}

BoxFaults &FirstBox(JobWorld &world)
{
	return world.site.faults[BoxName("calc-box0")];
}

const std::array FAULTS = {
		Fault{"none", [](JobWorld &) {}, [](JobWorld &) {}},
		Fault{"store silent", [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.silent = true; }); },
			  [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.silent = false; }); }},
		Fault{"store refuses", [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.refusing = true; }); },
			  [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.refusing = false; }); }},
		Fault{"store slow", [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.latency = Millis(200); }); },
			  [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.latency = Millis(4); }); }},
		Fault{"answers lost", [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.lose_every = 3; }); },
			  [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.lose_every = 0; }); }},
		Fault{"appends done late",
			  [](JobWorld &w) {
				  EachNode(w, [](WorldNode &n) {
					  n.log.faults.lose_every = 3;
					  n.log.faults.late = true;
				  });
			  },
			  [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.lose_every = 0; }); }},
		Fault{"owner's partition silent", [](JobWorld &w) { Mute(w, 0, true); },
			  [](JobWorld &w) { Mute(w, 0, false); }},
		Fault{"inbox silent", [](JobWorld &w) { Mute(w, 1, true); }, [](JobWorld &w) { Mute(w, 1, false); }},
		Fault{"both partitions silent",
			  [](JobWorld &w) {
				  Mute(w, 0, true);
				  Mute(w, 1, true);
			  },
			  [](JobWorld &w) {
				  Mute(w, 0, false);
				  Mute(w, 1, false);
			  }},
		Fault{"owner's partition silent, owner killed meanwhile",
			  [](JobWorld &w) {
				  Mute(w, 0, true);
				  w.clock.After(FAULT_FOR - Millis(1500), [&w] { JobWorld::Kill(OwnerOrFirst(w)); });
			  },
			  [](JobWorld &w) { Mute(w, 0, false); }},
		Fault{"owner's partition silent, owner killed when it is back", [](JobWorld &w) { Mute(w, 0, true); },
			  [](JobWorld &w) {
				  JobWorld::Kill(OwnerOrFirst(w));
				  Mute(w, 0, false);
			  }},
		Fault{"owner's partition silent, then the inbox and the owner killed", [](JobWorld &w) { Mute(w, 0, true); },
			  [](JobWorld &w) {
				  Mute(w, 0, false);
				  Mute(w, 1, true);
				  JobWorld::Kill(OwnerOrFirst(w));
				  w.clock.After(FAULT_FOR, [&w] { Mute(w, 1, false); });
			  }},
		Fault{"owner's partition silent, all nodes killed",
			  [](JobWorld &w) {
				  Mute(w, 0, true);
				  w.clock.After(FAULT_FOR - Millis(500), [&w] { EachNode(w, JobWorld::Kill); });
			  },
			  [](JobWorld &w) {
				  for (const char *name : {"node-0", "node-1", "node-2"}) {
					  w.Boot(name);
				  }
			  }},
		Fault{"owner cut from store", [](JobWorld &w) { OwnerOrFirst(w).log.faults.silent = true; },
			  [](JobWorld &w) { EachNode(w, [](WorldNode &n) { n.log.faults.silent = false; }); }},
		Fault{"owner paused", [](JobWorld &w) { OwnerOrFirst(w).scheduler.paused_until = w.clock.Now() + FAULT_FOR; },
			  [](JobWorld &) {}},
		Fault{"owner's machine suspended", [](JobWorld &w) { OwnerOrFirst(w).scheduler.Suspend(FAULT_FOR); },
			  [](JobWorld &) {}},
		Fault{"owner killed", [](JobWorld &w) { JobWorld::Kill(OwnerOrFirst(w)); }, [](JobWorld &) {}},
		Fault{"owner killed, back at once",
			  [](JobWorld &w) {
				  WorldNode &owner = OwnerOrFirst(w);
				  JobWorld::Kill(owner);
				  w.Boot(std::string(owner.name));
			  },
			  [](JobWorld &) {}},
		Fault{"all nodes killed, back later", [](JobWorld &w) { EachNode(w, JobWorld::Kill); },
			  [](JobWorld &w) {
				  for (const char *name : {"node-0", "node-1", "node-2"}) {
					  w.Boot(name);
				  }
			  }},
		Fault{"owner leaves",
			  [](JobWorld &w) {
				  WorldNode &owner = OwnerOrFirst(w);
				  owner.host.Clear();
				  owner.member.Leave([] {});
			  },
			  [](JobWorld &) {}},
		Fault{"partitions dealt anew", [](JobWorld &w) { w.store.ReassignPartitions(); },
			  [](JobWorld &w) { w.store.ReassignPartitions(); }},
		Fault{"history forgotten", [](JobWorld &w) { w.store.Compact(); }, [](JobWorld &w) { w.store.Compact(); }},
		Fault{"box dark", [](JobWorld &w) { FirstBox(w).unreachable = true; },
			  [](JobWorld &w) { FirstBox(w).unreachable = false; }},
		Fault{"box dark, owner killed",
			  [](JobWorld &w) {
				  FirstBox(w).unreachable = true;
				  w.unlisted.insert(BoxName("calc-box0"));
				  JobWorld::Kill(OwnerOrFirst(w));
			  },
			  [](JobWorld &w) {
				  FirstBox(w).unreachable = false;
				  w.unlisted.clear();
			  }},
		Fault{"box restarts", [](JobWorld &w) { w.site.Restart(BoxName("calc-box0")); }, [](JobWorld &) {}},
		Fault{"orders without answer", [](JobWorld &w) { FirstBox(w).lose_every = 2; },
			  [](JobWorld &w) { FirstBox(w).lose_every = 0; }},
		Fault{"orders done late",
			  [](JobWorld &w) {
				  FirstBox(w).lose_every = 2;
				  FirstBox(w).late = true;
			  },
			  [](JobWorld &w) { FirstBox(w).lose_every = 0; }},
};

/** Callers' day: chains, tasks that last, jobs that fail now and then or always, a cancellation. */
void PlanDay(JobWorld &world)
{
	for (int n = 0; n < 12; n++) {
		world.Plan(Millis(1000 + n * 350), n % 2 == 0 ? "calc" : "grid", JobWorld::Chain(1 + n % 4),
				   Millis(300 + 150 * (n % 4)));
	}
	world.Plan(Millis(1200), "calc", JobWorld::Lasting(3));
	world.Plan(Millis(1300), "calc", JobWorld::Chain(2), Millis(200), 1);
	world.Plan(Millis(1400), "calc", JobWorld::Chain(2), Millis(200), 100);
	world.PlanCancel(Millis(2600), world.Plan(Millis(1500), "calc", JobWorld::Chain(4), Millis(4000)));
	world.PlanCancel(Millis(9000), world.Plan(Millis(1600), "calc", JobWorld::Lasting(2)));
}

/** What a job has to be in the end. */
JobPhase Expected(JobWorld &world, const WorldJob &job)
{
	if (job.cancelled) {
		return JobPhase::JP_CANCELLED;
	}
	const SiteJob &known = world.site.JobOf(job.spec.id);
	if (job.spec.steps.front().lasting) {
		return JobPhase::JP_RUNNING;
	}
	return known.fail_first >= known.failures_max || !known.crashing_tasks.empty() ? JobPhase::JP_FAILED
																				   : JobPhase::JP_COMPLETED;
}

/** Plays a day with a fault at a moment, and checks what every job came to. @param fault The fault. @param at The
 * moment.
 * @param crashing Whether a task of the day crashes each box that starts it. */
void PlayCell(const Fault &fault, Millis at, bool crashing)
{
	CAPTURE(std::string(fault.name));
	CAPTURE(at.Value());
	JobWorld world;
	PlanDay(world);
	if (crashing) {
		world.site.JobOf(world.Plan(Millis(1700), "calc", JobWorld::Chain(1)).spec.id).crashing_tasks = {0};
	}
	world.clock.After(at, [&] { fault.begin(world); });
	world.clock.After(at + FAULT_FOR, [&] { fault.end(world); });
	world.clock.RunUntil(WHOLE);
	CHECK(world.site.violations == std::vector<std::string>{});
	for (const auto &job : world.jobs) {
		CAPTURE(job->spec.id.Value());
		const JobView view = world.ViewOf(*job);
		if (!job->accepted) {
			/* Refused at every try for certain, or its caller gave up without knowing. */
			CHECK((job->refused < job->tries || !view.known));
			continue;
		}
		CHECK(view.known);
		CHECK(static_cast<int>(view.phase) == static_cast<int>(Expected(world, *job)));
		const bool lasts = job->spec.steps.front().lasting && !job->cancelled;
		CHECK(world.site.Running(job->spec.id) == (lasts ? job->spec.steps.front().count : 0));
	}
}

/** Plays a cell for each fault at each moment. @param crashing Whether a task of the day crashes its boxes. */
void PlayMatrix(bool crashing)
{
	for (const Fault &fault : FAULTS) {
		for (const int64_t at : {900, 1450, 2500, 4200}) {
			PlayCell(fault, Millis(at), crashing);
		}
	}
}

} // namespace

TEST_CASE("jobs under every fault at several moments")
{
	PlayMatrix(false);
}

TEST_CASE("jobs beside a task that crashes its boxes, under every fault at several moments")
{
	PlayMatrix(true);
}

TEST_CASE("a count of waiting jobs is only told by an owner that knows what others have accepted")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	const JobQuestion count{ServiceName("calc"), RouteName("r-calc"), JobId(), AccountName()};
	CHECK(owner->desk.AnswerLocally(count).code == ResultCode::RC_OK);
	/* Silent for all: nobody else can take the shard over, and it stays the owner. */
	EachNode(world, [](WorldNode &it) { it.log.faults.silent = true; });
	world.clock.RunUntil(Millis(7000));
	CHECK(world.OwnerOf(ServiceName("calc")) == owner);
	CHECK(owner->desk.AnswerLocally(count).code == ResultCode::RC_PEER_UNAVAILABLE);
}

TEST_CASE("planned work doesn't stop a lasting task while another of its step is on a box that doesn't answer")
{
	JobWorld world;
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(3));
	world.clock.RunUntil(Millis(4000));
	REQUIRE(world.site.Running(job.spec.id) == 3);
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	Shard *shard = owner->host.Find(ServiceName("calc"))->Running();
	std::vector<BoxName> holding;
	for (const auto &[incarnation, box] : shard->Boxes()) {
		if (!box.placed.empty()) {
			holding.push_back(box.report.box);
		}
	}
	REQUIRE(holding.size() == 3);
	world.site.faults[holding[0]].unreachable = true;
	/* Longer than an answer may take, shorter than the lease: its task may run on or not. */
	world.clock.RunUntil(Millis(6500));
	const uint64_t stops = shard->Counters().stops;
	shard->Drain({holding[1]}, {});
	world.clock.RunUntil(Millis(7000));
	CHECK(shard->Counters().stops == stops);
	world.site.faults[holding[0]].unreachable = false;
	world.clock.RunUntil(Millis(9000));
	shard->Drain({holding[1]}, {});
	world.clock.RunUntil(Millis(9500));
	CHECK(shard->Counters().stops == stops + 1);
}

namespace {

/** A world in which a job with three lasting tasks runs, and the owner's shard. */
struct LastingWorld {
	LastingWorld() : job(this->world.Plan(Millis(1000), "calc", JobWorld::Lasting(3)))
	{
		this->world.clock.RunUntil(Millis(4000));
		REQUIRE(this->world.site.Running(this->job.spec.id) == 3);
		WorldNode *owner = this->world.OwnerOf(ServiceName("calc"));
		REQUIRE(owner != nullptr);
		this->shard = owner->host.Find(ServiceName("calc"))->Running();
		const auto holding =
				std::ranges::find_if(this->shard->Boxes(), [](const auto &it) { return !it.second.placed.empty(); });
		this->incarnation = holding->first;
		this->box = holding->second.report.box;
	}

	/** The report of the box goes, while the box serves on. */
	void RemoveReport()
	{
		this->world.unlisted.insert(this->box);
		EachNode(this->world, [this](WorldNode &it) { it.host.OnReportRemoved(this->incarnation.id); });
	}

	JobWorld world;             ///< The world.
	const WorldJob &job;        ///< The job.
	Shard *shard = nullptr;     ///< The owner's shard.
	BoxIncarnation incarnation; ///< Life of a box that runs one of the tasks.
	BoxName box;                ///< Its box.
};

} // namespace

TEST_CASE("a box whose report is gone is emptied at once: it may end without a word")
{
	LastingWorld it;
	it.RemoveReport();
	it.world.clock.RunUntil(Millis(5000));
	CHECK(it.shard->Boxes().at(it.incarnation).placed.empty());
	CHECK(it.world.site.Running(it.job.spec.id) == 3);
	CHECK(it.world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a report that went while the store was away has time to come back")
{
	LastingWorld it;
	EachNode(it.world, [](WorldNode &node) { node.log.faults.silent = true; });
	it.world.clock.RunUntil(Millis(7000));
	EachNode(it.world, [](WorldNode &node) { node.log.faults.silent = false; });
	it.world.clock.RunUntil(Millis(7900));
	const uint64_t stops = it.shard->Counters().stops;
	it.RemoveReport();
	it.world.clock.RunUntil(Millis(9000));
	CHECK(it.shard->Counters().stops == stops);
	/* Still missing: it is gone. */
	it.world.clock.RunUntil(Millis(11500));
	CHECK(it.shard->Counters().stops == stops + 1);
	CHECK(it.world.site.Running(it.job.spec.id) == 3);
}

TEST_CASE("a start without an answer is repeated: a run that came to work unseen is not stopped")
{
	JobWorld world;
	for (const BoxReport &it : world.site.Reports()) {
		world.site.faults[it.box] = BoxFaults{.lose_every = 2, .late = true};
	}
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(3));
	world.clock.RunUntil(Millis(2500));
	CHECK(world.site.Running(job.spec.id) == 3);
	/* By then the orders that were done late have come. */
	world.clock.RunUntil(Millis(6000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	CHECK(owner->host.Find(ServiceName("calc"))->Running()->Counters().stops == 0);
	CHECK(world.site.Running(job.spec.id) == 3);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a box of which single answers are lost goes on taking tasks, and its ends are soon known")
{
	JobWorld world;
	for (const BoxReport &it : world.site.Reports()) {
		world.site.faults[it.box].lose_lease_every = 2;
	}
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	Shard *shard = owner->host.Find(ServiceName("calc"))->Running();
	for (int64_t at = 3000; at < 6000; at += 100) {
		world.clock.RunUntil(Millis(at));
		const PoolStatus status = shard->Status();
		CHECK(std::ranges::count(status.boxes, true, &PoolBox::placing) == 4);
	}
	const WorldJob &job = world.Plan(Millis(100), "calc", JobWorld::Chain(4), Millis(300));
	/* Two steps of 0.3 s, and for each at most three answers that are lost at 0.6 s. */
	world.clock.RunUntil(Millis(6100 + 600 + 1200));
	CHECK(world.ViewOf(job).phase == JobPhase::JP_COMPLETED);
}

TEST_CASE("a caller is told that its job was not taken only when it never will be")
{
	/* Every moment of a slow store at which the caller's time may be over. */
	for (int64_t latency = 100; latency <= 1600; latency += 50) {
		JobWorld world;
		world.clock.RunUntil(Millis(3000));
		EachNode(world, [latency](WorldNode &it) { it.log.faults.latency = Millis(latency); });
		std::vector<ResultCode> told(world.nodes.size(), ResultCode::RC_OK);
		std::vector<WorldJob *> jobs;
		for (size_t n = 0; n < world.nodes.size(); n++) {
			WorldJob &job = world.Plan(Millis(1000000), "calc", JobWorld::Chain(2));
			jobs.push_back(&job);
			world.nodes[n]->desk.Submit(job.spec, job.service, world.nodes[n]->scheduler.Now() + Millis(1500),
										[&told, n](ResultCode code) { told[n] = code; });
		}
		world.clock.RunUntil(Millis(12000));
		EachNode(world, [](WorldNode &it) { it.log.faults.latency = Millis(4); });
		world.clock.RunUntil(Millis(25000));
		CAPTURE(latency);
		for (size_t n = 0; n < jobs.size(); n++) {
			const bool refused = told[n] == ResultCode::RC_LOG_UNAVAILABLE || told[n] == ResultCode::RC_LOG_THROTTLED;
			CHECK_FALSE((refused && world.site.Started(jobs[n]->spec.id)));
			CHECK((told[n] != ResultCode::RC_OK || world.site.Started(jobs[n]->spec.id)));
		}
	}
}

TEST_CASE("with a slow store, jobs are accepted and begun with one append of the owner")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	EachNode(world, [](WorldNode &it) { it.log.faults.latency = Millis(200); });
	std::vector<WorldJob *> jobs;
	size_t accepted = 0;
	for (int n = 0; n < 8; n++) {
		jobs.push_back(&world.Plan(Millis(1000000), "calc", JobWorld::Chain(2)));
		owner->desk.Submit(jobs.back()->spec, ServiceName("calc"), owner->scheduler.Now() + Millis(3000),
						   [&accepted](ResultCode code) { accepted += code == ResultCode::RC_OK ? 1 : 0; });
	}
	/* The append under way, and theirs: 0.4 s each. Before, theirs, a read and the placements': 1.2 s at least. */
	world.clock.RunUntil(Millis(3000 + 850));
	CHECK(accepted == jobs.size());
	CHECK(std::ranges::all_of(jobs, [&world](const WorldJob *it) { return world.site.Started(it->spec.id); }));
}
