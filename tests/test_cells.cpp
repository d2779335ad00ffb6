/** @file test_cells.cpp Services whose jobs and boxes are dealt to two cells, each with an owner of its own. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

namespace {

const ServiceName CALC("calc");
constexpr uint32_t PARTS = 24; ///< Partitions of a topic: two cells a service.
constexpr int BOXES = 16;      ///< Boxes of the service beside those of every world.
constexpr size_t JOBS = 24;    ///< Jobs handed in.

/** A world of two cells and four nodes. */
struct CellWorld {
	CellWorld() : world(4, PARTS)
	{
		for (int n = 4; n < 4 + BOXES; n++) {
			this->world.site.Add(JobWorld::MakeBox("calc", n));
		}
		this->world.clock.RunUntil(Millis(3000));
	}

	/** @return Jobs of a cell. @param cell Which. */
	[[nodiscard]] std::vector<const WorldJob *> JobsOf(uint32_t cell) const
	{
		std::vector<const WorldJob *> out;
		for (const auto &it : this->world.jobs) {
			if (CellOf(it->spec.id, 2) == cell) {
				out.push_back(it.get());
			}
		}
		return out;
	}

	/** @return Whether all jobs of a cell are done. @param cell Which. */
	[[nodiscard]] bool Done(uint32_t cell)
	{
		return std::ranges::all_of(this->JobsOf(cell), [this](const WorldJob *it) {
			return this->world.ViewOf(*it).phase == JobPhase::JP_COMPLETED;
		});
	}

	/** Hands jobs in, one every 50 ms. @param first Node at which callers try first. */
	void Plan(size_t first = 0)
	{
		for (size_t n = 0; n < JOBS; n++) {
			this->world.Plan(Millis(static_cast<int64_t>(n) * 50), "calc", JobWorld::Chain(3)).tries = first;
		}
	}

	JobWorld world; ///< The world.
};

} // namespace

TEST_CASE("the number of cells follows from how the platform sizes its topics")
{
	CHECK(CellsOf(1) == 1);
	CHECK(CellsOf(12) == 1);
	CHECK(CellsOf(23) == 1);
	CHECK(CellsOf(24) == 2);
	CHECK(CellsOf(48) == 4);
}

TEST_CASE("a service of one cell keeps the partitions that it had")
{
	CHECK(ProgressOf(CALC) == PartitionId{"keyed.jobs.calc", 0});
	CHECK(InboxOf(CALC) == PartitionId{"keyed.jobs.calc", 1});
	CHECK(ProgressOf(ShardName(CALC, 1)) == PartitionId{"keyed.jobs.calc", 2});
	CHECK(InboxOf(ShardName(CALC, 1)) == PartitionId{"keyed.jobs.calc", 3});
}

TEST_CASE("shards of all cells have partitions of the group of their own, and so have their watchers")
{
	JobConfig config;
	config.services = {JobService{CALC, true, false}, JobService{ServiceName("grid"), true, false},
					   JobService{ServiceName("mesh"), true, false}, JobService{ServiceName("wind"), true, false},
					   JobService{ServiceName("spare"), true, true}};
	std::set<uint32_t> taken = {PARTS - 1}; /* The fleet's. */
	for (const JobService &service : config.services) {
		for (const uint32_t cell : {0U, 1U}) {
			const auto part = PartitionOf(config, ShardName(service.name, cell), PARTS);
			REQUIRE(part.has_value() == !service.reserve);
			if (part) {
				CHECK(taken.insert(*part).second);
				CHECK(taken.insert(WatcherOf(*part, PARTS)).second);
			}
		}
	}
}

TEST_CASE("cells have owners, jobs and boxes of their own, and all jobs are done")
{
	CellWorld it;
	it.Plan();
	it.world.clock.RunUntil(Millis(9000));
	CHECK(!it.JobsOf(0).empty());
	CHECK(!it.JobsOf(1).empty());
	CHECK(it.Done(0));
	CHECK(it.Done(1));
	std::set<BoxLife> boxes;
	for (const uint32_t cell : {0U, 1U}) {
		WorldNode *owner = it.world.OwnerOf(ShardName(CALC, cell));
		REQUIRE(owner != nullptr);
		for (const BoxLife &life : owner->host.Find(ShardName(CALC, cell))->Running()->Boxes() | std::views::keys) {
			CHECK(boxes.insert(life).second);
		}
	}
	CHECK(boxes.size() == 4 + BOXES);
	CHECK(it.world.OwnerOf(ShardName(CALC, 0)) != it.world.OwnerOf(ShardName(CALC, 1)));
	CHECK(it.world.site.violations == std::vector<std::string>{});
}

TEST_CASE("while the owner of one cell is cut off, the other cell goes on")
{
	for (const uint32_t cell : {0U, 1U}) {
		CellWorld it;
		CAPTURE(cell);
		WorldNode *cut = it.world.OwnerOf(ShardName(CALC, cell));
		WorldNode *other = it.world.OwnerOf(ShardName(CALC, 1 - cell));
		REQUIRE(cut != nullptr);
		REQUIRE(cut != other);
		const auto sound = std::ranges::find(it.world.nodes, other, &std::unique_ptr<WorldNode>::get);
		/* It stands still for longer than a takeover takes. */
		cut->scheduler.paused_until = it.world.clock.Now() + Millis(8000);
		it.Plan(static_cast<size_t>(std::distance(it.world.nodes.begin(), sound)));
		it.world.clock.RunUntil(Millis(3000 + static_cast<int64_t>(JOBS) * 50 + 2500));
		CHECK(it.Done(1 - cell));
		it.world.clock.RunUntil(Millis(25000));
		CHECK(it.Done(cell));
		CHECK(it.world.site.violations == std::vector<std::string>{});
	}
}

TEST_CASE("a count of waiting jobs is the sum of all cells, on each node")
{
	CellWorld it;
	/* Nothing can start: all boxes are dark. */
	for (const BoxReport &box : it.world.site.Reports()) {
		it.world.site.faults[box.box].dark = true;
	}
	it.world.clock.RunUntil(Millis(6000));
	it.Plan();
	it.world.clock.RunUntil(Millis(9000));
	const auto accepted = std::ranges::count_if(it.world.jobs, [](const auto &job) { return job->accepted; });
	REQUIRE(accepted == static_cast<ptrdiff_t>(JOBS));
	for (const uint32_t cell : {0U, 1U}) {
		WorldNode *owner = it.world.OwnerOf(ShardName(CALC, cell));
		REQUIRE(owner != nullptr);
		CHECK(owner->host.Find(ShardName(CALC, cell))->Running()->Waiting(RouteName("r-calc")) ==
			  it.JobsOf(cell).size());
	}
	/* Asked at the node of one of the owners: it has to ask the other one, which this world's nodes can't. */
	WorldNode *owner = it.world.OwnerOf(ShardName(CALC, 0));
	JobAnswer answer{ResultCode::RC_OK};
	owner->desk.Ask(JobQuestion{CALC, RouteName("r-calc"), JobId()}, owner->scheduler.Now() + Millis(1000),
					[&answer](const JobAnswer &got) { answer = got; });
	it.world.clock.RunUntil(Millis(12000));
	CHECK(answer.code != ResultCode::RC_OK);
}
