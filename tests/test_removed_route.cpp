/** @file test_removed_route.cpp Jobs of a route that the configuration doesn't have any more, under a new owner.
 *
 * Guards against a job that is reported as failed too early: the records of a job didn't hold the policy of its route.
 * An owner that had never seen a configuration with the route took one failed run for the last permitted one, and sent
 * starts without the tickets that the route asks for.
 */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

const ServiceName CALC("calc");
const RouteName ROUTE("r-calc");
constexpr Millis RUN_TIME(6000);        ///< Run time of a task: longer than a change of the owner takes.
constexpr Millis REMOVED_AT(3500);      ///< When the route is removed; the job is running then.
constexpr Millis REMOVED_UNTIL(20000);  ///< When the route is added again; the first run has failed by then.
constexpr Millis SIMULATED_TIME(40000); ///< The second run has ended by then.

/** A simulation of three nodes whose configuration loses a route and gets it back. */
class RemovedRouteWorld {
public:
	/** Publishes a configuration to all nodes that are up. @param policy Policy of the route; unset to remove it. */
	void Publish(const std::optional<RoutePolicy> &policy)
	{
		JobConfig &config = this->world.config;
		config.version++;
		std::erase_if(config.routes, [](const JobRoute &it) { return it.name == ROUTE; });
		if (policy) {
			config.routes.push_back(JobRoute{ROUTE, "h", "/r-calc/", CALC, *policy});
		}
		for (const auto &node : this->world.nodes) {
			if (node->up) {
				node->job_api.Configure(config);
			}
		}
	}

	/** Stops and starts all nodes in turn, so that no owner has seen an earlier configuration. */
	void RestartNodes()
	{
		const size_t count = this->world.nodes.size();
		for (size_t n = 0; n < count; n++) {
			WorldNode &node = *this->world.nodes[n];
			node.host.Clear();
			node.member.Leave([] {});
			this->world.clock.RunUntil(this->world.clock.Now() + Millis(300));
			JobWorld::Kill(node);
			this->world.Boot(std::string(node.name));
			this->world.clock.RunUntil(this->world.clock.Now() + Millis(300));
		}
	}

	/** Removes the route, restarts all nodes and adds the route again. @param policy Policy of the added route. */
	void PlayRemoval(const RoutePolicy &policy)
	{
		this->world.clock.RunUntil(REMOVED_AT);
		this->Publish(std::nullopt);
		this->RestartNodes();
		this->world.clock.RunUntil(REMOVED_UNTIL);
		this->Publish(policy);
		this->world.clock.RunUntil(SIMULATED_TIME);
	}

	/** Checks that a job is complete and that nothing was started against the rules. @param job The job. */
	void CheckCompleted(const WorldJob &job)
	{
		CHECK(this->world.site.violations == std::vector<std::string>{});
		const JobView view = this->world.ViewOf(job);
		CHECK(view.known);
		CHECK(static_cast<int>(view.phase) == static_cast<int>(JobPhase::JP_COMPLETED));
	}

	JobWorld world; ///< The simulation.
};

/** @return A single step with one task. */
std::vector<StepSpec> OneTask()
{
	StepSpec step;
	step.demand = Resources{1000, 100, 0};
	step.estimate = RUN_TIME;
	return {step};
}

} // namespace

TEST_CASE("a job of a removed route keeps its permitted failures under an owner that never saw the route")
{
	RemovedRouteWorld it;
	const WorldJob &job = it.world.Plan(Millis(2500), "calc", OneTask(), RUN_TIME, 1);
	it.PlayRemoval(RoutePolicy{0, 3, 1.6, Millis(900)});
	it.CheckCompleted(job);
}

TEST_CASE("a job of a removed route keeps the newest policy, not the one of its submission")
{
	RemovedRouteWorld it;
	it.Publish(RoutePolicy{0, 1, 1.6, Millis(600)});
	const WorldJob &job = it.world.Plan(Millis(2500), "calc", OneTask(), RUN_TIME, 1);
	it.world.clock.RunUntil(Millis(3000));
	it.Publish(RoutePolicy{0, 3, 1.6, Millis(600)});
	it.PlayRemoval(RoutePolicy{0, 3, 1.6, Millis(600)});
	it.CheckCompleted(job);
}

TEST_CASE("a job of a removed route whose runs need tickets gets them under an owner that never saw the route")
{
	RemovedRouteWorld it;
	it.world.site.ticket_valid = [&it](const BoxReport &, const StartOrder &order) {
		return it.world.advisor.IsValid(order);
	};
	const RoutePolicy policy{0, 3, 1.6, Millis(600), true};
	it.Publish(policy);
	std::vector<StepSpec> steps{OneTask().front(), OneTask().front()};
	steps.back().after = {0};
	const WorldJob &job = it.world.Plan(Millis(2500), "calc", steps, RUN_TIME);
	size_t without_ticket = 0;
	it.world.site.ticket_valid = [&it, &without_ticket](const BoxReport &, const StartOrder &order) {
		without_ticket += order.ticket.empty() ? 1 : 0;
		return it.world.advisor.IsValid(order);
	};
	it.PlayRemoval(policy);
	CHECK(without_ticket == 0);
	it.CheckCompleted(job);
}

TEST_CASE("a job whose records have no policy waits after a failed run until the route is back")
{
	RemovedRouteWorld it;
	it.Publish(std::nullopt);
	WorldJob &job = it.world.Plan(SIMULATED_TIME, "calc", OneTask(), Millis(500), 1);
	it.world.nodes.front()->log.Append(
			PartitionId{TopicOf(CALC), INBOX_PARTITION}, {KeyedRecord{job.spec.id.Value(), EncodeSubmission(job.spec)}},
			AppendCondition{}, Millis(500), [](const KeyedAppendAnswer &) { /* The job's end is checked. */ });
	it.world.clock.RunUntil(REMOVED_UNTIL);
	CHECK(it.world.site.starts == 1);
	CHECK(static_cast<int>(it.world.ViewOf(job).phase) == static_cast<int>(JobPhase::JP_RUNNING));
	it.Publish(RoutePolicy{0, 3, 1.6, Millis(600)});
	it.world.clock.RunUntil(SIMULATED_TIME - Millis(1));
	it.CheckCompleted(job);
}
