/** @file test_waiting_count.cpp The number of waiting jobs of a route after a change of owner.
 *
 * Guards against the failure of review/5: a new owner took waiting tasks with a run number for begun, but starts that
 * boxes refuse use up numbers as well. So callers that watch their queue saw it as empty. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace {

const ServiceName CALC("calc");
const RouteName ROUTE("r-calc");
constexpr Millis SETTLED(4000);         ///< Time by which all shards have owners.
constexpr Millis REFUSED_FOR(3000);     ///< Time for which starts are refused before the owner changes.
constexpr Millis TAKEOVER_MAX(6000);    ///< Time by which a shard has a new owner after its owner's death.
constexpr Millis COUNT_RIGHT(2000);     ///< Age that a count may have: `waiting` may be two seconds old.
constexpr Millis STEP(20);              ///< Interval at which the owner is looked for.
constexpr uint32_t JOBS = 4;            ///< Number of jobs of a case.
constexpr unsigned RANDOM_ORDERS = 100; ///< Number of random orders of events.

/** How a shard gets another owner. */
enum class Change { KILL, KILL_TWICE, HAND_OVER };

/** Runs until the shard has an owner other than `earlier`. @return The owner. */
WorldNode &AwaitOwner(JobWorld &world, const WorldNode *earlier)
{
	const Millis until = world.clock.Now() + TAKEOVER_MAX;
	WorldNode *owner = world.OwnerOf(CALC);
	while ((owner == nullptr || owner == earlier) && world.clock.Now() < until) {
		world.clock.RunUntil(world.clock.Now() + STEP);
		owner = world.OwnerOf(CALC);
	}
	REQUIRE(owner != nullptr);
	REQUIRE(owner != earlier);
	return *owner;
}

/** Kills the owner and starts another node. @return The next owner. */
WorldNode &ReplaceOwner(JobWorld &world)
{
	WorldNode &owner = AwaitOwner(world, nullptr);
	JobWorld::Kill(owner);
	world.Boot("next-" + std::to_string(world.nodes.size()));
	return AwaitOwner(world, &owner);
}

/** Hands the shard over to another node. @return The next owner. */
WorldNode &HandOver(JobWorld &world)
{
	WorldNode &owner = AwaitOwner(world, nullptr);
	const auto next = std::ranges::find_if(world.nodes, [&](const auto &it) { return it->up && it.get() != &owner; });
	REQUIRE(next != world.nodes.end());
	REQUIRE((*next)->host.Expect(CALC));
	owner.host.HandOver(CALC, (*next)->name, [](bool) {});
	return AwaitOwner(world, &owner);
}

WorldNode &ChangeOwner(JobWorld &world, Change change)
{
	if (change == Change::HAND_OVER) {
		return HandOver(world);
	}
	if (change == Change::KILL_TWICE) {
		ReplaceOwner(world);
	}
	return ReplaceOwner(world);
}

/** @return Number of waiting jobs as the owner counts them. @param owner The owner. */
uint32_t WaitingAt(const WorldNode &owner)
{
	return std::as_const(owner.host).Find(CALC)->Running()->Waiting(ROUTE);
}

/** @return Number of accepted jobs of which no box has started a task. @param world The simulation. */
uint32_t CountWaiting(const JobWorld &world)
{
	return static_cast<uint32_t>(std::ranges::count_if(
			world.jobs, [&world](const auto &it) { return it->accepted && !world.site.Started(it->spec.id); }));
}

/** Boxes that refuse some starts, while nodes are killed. */
class RandomOrder {
public:
	explicit RandomOrder(unsigned seed) : random(seed)
	{
		this->world.site.refuse_start = [this](const BoxReport &, const StartOrder &) { return this->Refusal(); };
		this->world.clock.RunUntil(SETTLED);
	}

	/** Plays. @return Number of counts that were wrong. */
	int Play()
	{
		constexpr int ROUNDS = 3;
		int wrong = 0;
		for (int n = 0; n < ROUNDS; n++) {
			this->SubmitJobs();
			this->refused_percent = this->Pick(2) == 0 ? 100 : 60;
			this->world.clock.RunUntil(this->world.clock.Now() + Millis(500 + this->Pick(3000)));
			const WorldNode &owner = ChangeOwner(this->world, static_cast<Change>(this->Pick(3)));
			this->refused_percent = 100; /* So that the true number doesn't change while it is compared. */
			this->world.clock.RunUntil(this->world.clock.Now() + COUNT_RIGHT);
			wrong += WaitingAt(owner) == CountWaiting(this->world) ? 0 : 1;
			this->refused_percent = this->Pick(100);
		}
		return wrong;
	}

private:
	JobWorld world;          ///< The simulation.
	std::mt19937 random;     ///< Random source.
	int refused_percent = 0; ///< Share of starts that boxes refuse.

	int Pick(int n) { return static_cast<int>(this->random() % static_cast<unsigned>(n)); }

	std::optional<OrderOutcome> Refusal()
	{
		constexpr std::array REFUSALS = {OrderOutcome::OO_BUSY, OrderOutcome::OO_NO_ROOM, OrderOutcome::OO_LEASE_PAST,
										 OrderOutcome::OO_RUN_TOO_OLD};
		const bool refused = this->Pick(100) < this->refused_percent;
		return refused ? std::optional(REFUSALS.at(static_cast<size_t>(this->Pick(REFUSALS.size())))) : std::nullopt;
	}

	void SubmitJobs()
	{
		const int count = 1 + this->Pick(4);
		for (int n = 0; n < count; n++) {
			const auto run_time = Millis(200 + this->Pick(4000));
			this->world.Plan(Millis(this->Pick(300)), CALC.Value(), JobWorld::Chain(1), run_time);
		}
	}
};

} // namespace

TEST_CASE("waiting count: jobs whose starts were refused count as waiting at the next owner")
{
	for (const OrderOutcome refusal : {OrderOutcome::OO_BUSY, OrderOutcome::OO_NO_ROOM, OrderOutcome::OO_LEASE_PAST,
									   OrderOutcome::OO_RUN_TOO_OLD, OrderOutcome::OO_NO_TICKET}) {
		for (const Change change : {Change::KILL, Change::KILL_TWICE, Change::HAND_OVER}) {
			CAPTURE(NameOf(refusal));
			CAPTURE(static_cast<int>(change));
			JobWorld world;
			world.site.refuse_start = [refusal](const BoxReport &, const StartOrder &) { return refusal; };
			world.clock.RunUntil(SETTLED);
			for (uint32_t n = 0; n < JOBS; n++) {
				world.Plan(Millis(0), CALC.Value(), JobWorld::Chain(1));
			}
			world.clock.RunUntil(world.clock.Now() + REFUSED_FOR);
			CHECK(WaitingAt(AwaitOwner(world, nullptr)) == JOBS);
			WorldNode &next = ChangeOwner(world, change);
			CHECK(WaitingAt(next) == JOBS);
			world.clock.RunUntil(world.clock.Now() + COUNT_RIGHT);
			CHECK(WaitingAt(next) == JOBS);
			world.site.refuse_start = nullptr;
			world.clock.RunUntil(world.clock.Now() + SETTLED);
			CHECK(WaitingAt(next) == 0);
		}
	}
}

/* Guards against the opposite error: a job that has run and waits again, as its box was lost, has begun. */
TEST_CASE("waiting count: a job that has run doesn't count as waiting at the next owner")
{
	JobWorld world;
	world.clock.RunUntil(SETTLED);
	world.Plan(Millis(0), CALC.Value(), JobWorld::Chain(1), Millis(60000));
	world.clock.RunUntil(world.clock.Now() + Millis(500));
	CHECK(WaitingAt(AwaitOwner(world, nullptr)) == 0);
	world.site.refuse_start = [](const BoxReport &, const StartOrder &) { return OrderOutcome::OO_BUSY; };
	const std::optional<BoxName> box = world.site.BoxOf(TaskId{world.jobs.front()->spec.id, 0, 0, 0});
	REQUIRE(box);
	world.site.Crash(*box);
	world.clock.RunUntil(world.clock.Now() + SETTLED);
	CHECK(WaitingAt(AwaitOwner(world, nullptr)) == 0);
	CHECK(WaitingAt(ReplaceOwner(world)) == 0);
}

TEST_CASE("waiting count: it is right two seconds after each change of owner, in random orders of refusals and changes")
{
	int wrong = 0;
	for (unsigned seed = 1; seed <= RANDOM_ORDERS; seed++) {
		const int n = RandomOrder(seed).Play();
		if (n > 0) {
			MESSAGE("seed ", seed, ": ", n);
		}
		wrong += n;
	}
	CHECK(wrong == 0);
}

/* Guards against a guess that counts waiting jobs as begun where a record of an earlier version doesn't tell. */
TEST_CASE("waiting count: records of earlier versions tell by the state of the tasks whether a job has begun")
{
	StoredProgress progress;
	progress.tasks.resize(2);
	progress.tasks[0].run = RunNumber(3);
	CHECK_FALSE(DecodeProgress(EncodeProgress(progress))->HasBegun());
	progress.tasks[1].failures = 1;
	CHECK(DecodeProgress(EncodeProgress(progress))->HasBegun());
	progress.begun = false;
	CHECK_FALSE(DecodeProgress(EncodeProgress(progress))->HasBegun());
	progress.begun = true;
	CHECK(DecodeProgress(EncodeProgress(progress))->HasBegun());
}
