/** @file test_job_matrix.cpp Jobs under each fault of the store, the nodes and the boxes, at several times. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

namespace {

constexpr Millis SIMULATED_TIME(70000); ///< Simulated time of a combination; faults and leases end well before.
constexpr Millis FAULT_FOR(5000);       ///< Duration of a fault.

/** A fault that can be injected into the simulation. */
struct Fault {
	const char *name;                      ///< Name for messages.
	std::function<void(JobWorld &)> begin; ///< Starts the fault.
	std::function<void(JobWorld &)> end;   ///< Ends the fault; does nothing if it is permanent or ends by itself.
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

/**
 * Starts or stops dropping all calls to a partition of "calc".
 * @param world The simulation.
 * @param index 0: the partition that the owner writes; 1: the inbox.
 * @param drop Whether calls are dropped.
 */
void DropCalls(JobWorld &world, uint32_t index, bool drop)
{
	EachNode(world, [index, drop](WorldNode &it) {
		const PartitionId partition{"keyed.jobs.calc", index};
		if (drop) {
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
		Fault{"owner's partition silent", [](JobWorld &w) { DropCalls(w, 0, true); },
			  [](JobWorld &w) { DropCalls(w, 0, false); }},
		Fault{"inbox silent", [](JobWorld &w) { DropCalls(w, 1, true); }, [](JobWorld &w) { DropCalls(w, 1, false); }},
		Fault{"both partitions silent",
			  [](JobWorld &w) {
				  DropCalls(w, 0, true);
				  DropCalls(w, 1, true);
			  },
			  [](JobWorld &w) {
				  DropCalls(w, 0, false);
				  DropCalls(w, 1, false);
			  }},
		Fault{"owner's partition silent, owner killed meanwhile",
			  [](JobWorld &w) {
				  DropCalls(w, 0, true);
				  w.clock.After(FAULT_FOR - Millis(1500), [&w] { JobWorld::Kill(OwnerOrFirst(w)); });
			  },
			  [](JobWorld &w) { DropCalls(w, 0, false); }},
		Fault{"owner's partition silent, owner killed when it is back", [](JobWorld &w) { DropCalls(w, 0, true); },
			  [](JobWorld &w) {
				  JobWorld::Kill(OwnerOrFirst(w));
				  DropCalls(w, 0, false);
			  }},
		Fault{"owner's partition silent, then the inbox and the owner killed",
			  [](JobWorld &w) { DropCalls(w, 0, true); },
			  [](JobWorld &w) {
				  DropCalls(w, 0, false);
				  DropCalls(w, 1, true);
				  JobWorld::Kill(OwnerOrFirst(w));
				  w.clock.After(FAULT_FOR, [&w] { DropCalls(w, 1, false); });
			  }},
		Fault{"owner's partition silent, all nodes killed",
			  [](JobWorld &w) {
				  DropCalls(w, 0, true);
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
		Fault{"partitions reassigned", [](JobWorld &w) { w.store.ReassignPartitions(); },
			  [](JobWorld &w) { w.store.ReassignPartitions(); }},
		Fault{"log compacted", [](JobWorld &w) { w.store.Compact(); }, [](JobWorld &w) { w.store.Compact(); }},
		Fault{"box unreachable", [](JobWorld &w) { FirstBox(w).unreachable = true; },
			  [](JobWorld &w) { FirstBox(w).unreachable = false; }},
		Fault{"box unreachable, owner killed",
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

/** Schedules the workload: chains, long-running tasks, jobs that fail once or always, and cancellations. */
void ScheduleWorkload(JobWorld &world)
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

/** @return The phase that a job must be in at the end. */
JobPhase ExpectedPhase(JobWorld &world, const WorldJob &job)
{
	if (job.cancelled) {
		return job.completed_before_cancellation ? JobPhase::JP_COMPLETED : JobPhase::JP_CANCELLED;
	}
	const SiteJob &site_job = world.site.JobOf(job.spec.id);
	if (job.spec.steps.front().lasting) {
		return JobPhase::JP_RUNNING;
	}
	return site_job.fail_first >= site_job.failures_max || !site_job.crashing_tasks.empty() ? JobPhase::JP_FAILED
																							: JobPhase::JP_COMPLETED;
}

/**
 * Runs the workload with one fault, and checks the outcome of each job.
 * @param fault The fault.
 * @param at Time at which the fault starts.
 * @param crashing Whether the workload has a task that crashes each box that starts it.
 */
void RunCombination(const Fault &fault, Millis at, bool crashing)
{
	CAPTURE(std::string(fault.name));
	CAPTURE(at.Value());
	JobWorld world;
	ScheduleWorkload(world);
	if (crashing) {
		world.site.JobOf(world.Plan(Millis(1700), "calc", JobWorld::Chain(1)).spec.id).crashing_tasks = {0};
	}
	world.clock.After(at, [&] { fault.begin(world); });
	world.clock.After(at + FAULT_FOR, [&] { fault.end(world); });
	world.clock.RunUntil(SIMULATED_TIME);
	CHECK(world.site.violations == std::vector<std::string>{});
	for (const auto &job : world.jobs) {
		CAPTURE(job->spec.id.Value());
		const JobView view = world.ViewOf(*job);
		if (!job->accepted) {
			/* A job whose every submission was definitely refused doesn't exist; otherwise the caller can't know. */
			CHECK((job->refused < job->attempts || !view.known));
			continue;
		}
		CHECK(view.known);
		CHECK(static_cast<int>(view.phase) == static_cast<int>(ExpectedPhase(world, *job)));
		const bool goes_on = job->spec.steps.front().lasting && !job->cancelled;
		CHECK(world.site.Running(job->spec.id) == (goes_on ? job->spec.steps.front().count : 0));
	}
}

/** Runs each fault at each start time. @param crashing Whether the workload has a task that crashes its boxes. */
void RunMatrix(bool crashing)
{
	for (const Fault &fault : FAULTS) {
		for (const int64_t at : {900, 1450, 2500, 4200}) {
			RunCombination(fault, Millis(at), crashing);
		}
	}
}

} // namespace

TEST_CASE("jobs under each fault at several times")
{
	RunMatrix(false);
}

TEST_CASE("jobs beside a task that crashes its boxes, under each fault at several times")
{
	RunMatrix(true);
}

TEST_CASE("an owner reports a count of waiting jobs only if it knows what other nodes have accepted")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	const JobQuestion count{ServiceName("calc"), RouteName("r-calc"), JobId(), AccountName()};
	CHECK(owner->job_api.AnswerLocally(count).code == ResultCode::RC_OK);
	/* No node reaches the log: none can take the shard over, and the owner stays. */
	EachNode(world, [](WorldNode &it) { it.log.faults.silent = true; });
	world.clock.RunUntil(Millis(7000));
	CHECK(world.OwnerOf(ServiceName("calc")) == owner);
	CHECK(owner->job_api.AnswerLocally(count).code == ResultCode::RC_PEER_UNAVAILABLE);
}

TEST_CASE("planned work doesn't stop a long-running task while another of its step is on an unreachable box")
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
	/* Longer than the timeout of a call, but shorter than the lease: the task may or may not still run. */
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

/** A simulation in which a job with three long-running tasks runs. */
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

	/** Removes the report of the box, while the box keeps running. */
	void RemoveReport()
	{
		this->world.unlisted.insert(this->box);
		EachNode(this->world, [this](WorldNode &it) { it.host.OnReportRemoved(this->incarnation.id); });
	}

	JobWorld world;             ///< The simulation.
	const WorldJob &job;        ///< The job with the long-running tasks.
	Shard *shard = nullptr;     ///< The shard at its owner.
	BoxIncarnation incarnation; ///< Incarnation of a box that runs one of the tasks.
	BoxName box;                ///< Name of that box.
};

} // namespace

TEST_CASE("a box whose report was removed is drained at once, as it may end without notice")
{
	LastingWorld it;
	it.RemoveReport();
	it.world.clock.RunUntil(Millis(5000));
	CHECK(it.shard->Boxes().at(it.incarnation).placed.empty());
	CHECK(it.world.site.Running(it.job.spec.id) == 3);
	CHECK(it.world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a report that is removed after a store outage is given time to come back")
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
	/* The report is still missing: the box counts as ending. */
	it.world.clock.RunUntil(Millis(11500));
	CHECK(it.shard->Counters().stops == stops + 1);
	CHECK(it.world.site.Running(it.job.spec.id) == 3);
}

TEST_CASE("a start order without an answer is repeated: a run that began unnoticed is not stopped")
{
	JobWorld world;
	for (const BoxReport &it : world.site.Reports()) {
		world.site.faults[it.box] = BoxFaults{.lose_every = 2, .late = true};
	}
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(3));
	world.clock.RunUntil(Millis(2500));
	CHECK(world.site.Running(job.spec.id) == 3);
	/* By now all delayed orders have been carried out. */
	world.clock.RunUntil(Millis(6000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	CHECK(owner->host.Find(ServiceName("calc"))->Running()->Counters().stops == 0);
	CHECK(world.site.Running(job.spec.id) == 3);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a box that loses every second lease answer still gets tasks, and the ends of its runs are soon known")
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
	/* Two steps of 0.3 s; in each, at most three lost answers delay the end by 0.6 s in all. */
	world.clock.RunUntil(Millis(6100 + 600 + 1200));
	CHECK(world.ViewOf(job).phase == JobPhase::JP_COMPLETED);
}

TEST_CASE("a caller gets a definite refusal only if its job will never run")
{
	/* Store latencies for which the caller's deadline passes at each stage of the submission. */
	for (int64_t latency = 100; latency <= 1600; latency += 50) {
		JobWorld world;
		world.clock.RunUntil(Millis(3000));
		EachNode(world, [latency](WorldNode &it) { it.log.faults.latency = Millis(latency); });
		std::vector<ResultCode> answers(world.nodes.size(), ResultCode::RC_OK);
		std::vector<WorldJob *> jobs;
		for (size_t n = 0; n < world.nodes.size(); n++) {
			WorldJob &job = world.Plan(Millis(1000000), "calc", JobWorld::Chain(2));
			jobs.push_back(&job);
			world.nodes[n]->job_api.Submit(job.spec, job.service, world.nodes[n]->scheduler.Now() + Millis(1500),
										   [&answers, n](ResultCode code) { answers[n] = code; });
		}
		world.clock.RunUntil(Millis(12000));
		EachNode(world, [](WorldNode &it) { it.log.faults.latency = Millis(4); });
		world.clock.RunUntil(Millis(25000));
		CAPTURE(latency);
		for (size_t n = 0; n < jobs.size(); n++) {
			const bool refused =
					answers[n] == ResultCode::RC_LOG_UNAVAILABLE || answers[n] == ResultCode::RC_LOG_THROTTLED;
			CHECK_FALSE((refused && world.site.Started(jobs[n]->spec.id)));
			CHECK((answers[n] != ResultCode::RC_OK || world.site.Started(jobs[n]->spec.id)));
		}
	}
}

TEST_CASE("with a slow store, jobs are accepted and started with a single append of the owner")
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
		owner->job_api.Submit(jobs.back()->spec, ServiceName("calc"), owner->scheduler.Now() + Millis(3000),
							  [&accepted](ResultCode code) { accepted += code == ResultCode::RC_OK ? 1 : 0; });
	}
	/* The append in progress and that of the jobs: 0.4 s each. With separate appends for jobs and placements, and a
	 * read between them, it would take 1.2 s at least. */
	world.clock.RunUntil(Millis(3000 + 850));
	CHECK(accepted == jobs.size());
	CHECK(std::ranges::all_of(jobs, [&world](const WorldJob *it) { return world.site.Started(it->spec.id); }));
}
