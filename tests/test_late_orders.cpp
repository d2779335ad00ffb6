/** @file test_late_orders.cpp Orders for one incarnation of a box that are carried out by the next one under its id. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

const ServiceName CALC("calc");

constexpr int JOBS = 120;                       ///< Number of jobs.
constexpr Millis SUBMISSION_INTERVAL(150);      ///< Interval between submissions.
constexpr Millis SLOW_FROM(4000);               ///< From here on the log is as slow as the scenario says.
constexpr Millis FORCED_FROM(4500);             ///< Earliest time of the forced sequence.
constexpr Millis TRACED_FOR(3000);              ///< Owners' log lines are kept for this long after the restart.
constexpr Millis SIMULATED_TIME(30000);         ///< Simulated time.
constexpr uint64_t ACKNOWLEDGED_ENDS_MIN = 3;   ///< Number of ends that a chosen lease order acknowledges at least.
constexpr Millis STARTED_WITHIN(10);            ///< A lease order this soon after a start goes with it.
constexpr Millis RESTARTED_BEFORE_ARRIVAL(250); ///< Longest time from a restart to the arrival of a late lease order.

/** Order that is sent when the box restarts. */
enum class RestartAt : uint8_t {
	RA_START_AND_LEASE_ORDER = 0,       ///< A lease order, sent with a start or just after it.
	RA_ACKNOWLEDGEMENT = 1,             ///< A lease order that acknowledges ends.
	RA_START_AFTER_ACKNOWLEDGEMENT = 2, ///< A start, shortly before a lease order without an answer arrives.
	RA_PLAIN_LEASE_ORDER = 3,           ///< A lease order that acknowledges nothing.
	RA_STOP = 4,                        ///< A stop.
};

/** Parameters of a scenario in which one box restarts while chosen orders to it are in transit. */
struct LateOrderScenario {
	RestartAt restart_at;                 ///< Order at which the box restarts.
	Millis delay = Millis(1);             ///< Time until the lease order or the stop arrives.
	Millis log_latency = Millis(4);       ///< One-way latency of the log.
	Millis run_time = Millis(50);         ///< Run time of each task.
	bool owner_killed = false;            ///< Whether the owner is killed when the box restarts.
	bool acknowledges_on_arrival = false; ///< See BoxSite::acknowledges_on_arrival.
};

/** Runs a scenario and keeps the owners' log lines that explain its outcome. */
class LateOrderWorld {
public:
	/** @param scenario The scenario to run. */
	explicit LateOrderWorld(const LateOrderScenario &scenario) : scenario(scenario)
	{
		this->world.site.acknowledges_on_arrival = scenario.acknowledges_on_arrival;
		this->world.site.choose_transit = [this](const OutgoingOrder &it) { return this->ChooseTransit(it); };
		for (const auto &node : this->world.nodes) {
			node->events.write = [this](const std::string &line) { this->Trace(line); };
		}
		for (int n = 0; n < JOBS; n++) {
			WorldJob &job = this->world.Plan(Millis(1000 + n * SUBMISSION_INTERVAL.Value()), "calc", JobWorld::Chain(3),
											 scenario.run_time);
			if (scenario.restart_at == RestartAt::RA_STOP) {
				this->world.PlanCancel(Millis(1200 + n * SUBMISSION_INTERVAL.Value()), job);
			}
		}
		this->world.clock.After(SLOW_FROM, [this] {
			for (const auto &node : this->world.nodes) {
				node->log.faults.latency = this->scenario.log_latency;
			}
		});
		this->world.clock.RunUntil(SIMULATED_TIME);
	}

	JobWorld world;                     ///< The simulation.
	std::optional<Millis> restarted_at; ///< When the box restarted.
	std::string trace;                  ///< Log lines of the owners about the box, from its restart on.

private:
	LateOrderScenario scenario;          ///< The scenario.
	BoxName box;                         ///< The box that restarts.
	std::map<BoxName, Millis> starts_at; ///< When the last start order to each box was sent.
	std::optional<Millis> arrives_at;    ///< When the lease order without an answer arrives.

	/** Keeps a log line. @param line The line. */
	void Trace(const std::string &line)
	{
		const bool in_time = this->restarted_at && this->world.clock.Now() - *this->restarted_at < TRACED_FOR;
		const bool tells = line.starts_with("box_") || line.starts_with("run_inherited") ||
						   line.find("why=not_there") != std::string::npos;
		if (in_time && tells && line.find(this->box.Value()) != std::string::npos) {
			this->trace += std::to_string(this->world.clock.Now().Value()) + " " + line + "\n";
		}
	}

	/** Restarts the box, and kills its owner if wanted. @param name Name of the box. */
	void Restart(const BoxName &name)
	{
		this->box = name;
		this->restarted_at = this->world.clock.Now();
		this->trace += std::to_string(this->restarted_at->Value()) + " the box restarts\n";
		this->world.site.Restart(name);
		if (WorldNode *owner = this->world.OwnerOf(CALC); this->scenario.owner_killed && owner != nullptr) {
			JobWorld::Kill(*owner);
		}
	}

	/** Restarts the box at the chosen order. @param order An order. @return Its transit, if it is chosen. */
	std::optional<OrderTransit> ChooseTransit(const OutgoingOrder &order)
	{
		const Millis now = this->world.clock.Now();
		if (now < FORCED_FROM || this->restarted_at || !order.box.Value().starts_with("calc")) {
			return std::nullopt;
		}
		if (order.kind == OrderKind::OK_START) {
			this->starts_at[order.box] = now;
		}
		if (this->scenario.restart_at == RestartAt::RA_START_AFTER_ACKNOWLEDGEMENT) {
			return this->ChooseLateTransit(order);
		}
		if (!this->RestartsAt(order)) {
			return std::nullopt;
		}
		this->Restart(order.box);
		return OrderTransit{this->scenario.delay};
	}

	/** Makes an acknowledgement late and restarts its box at a start order sent shortly before it arrives.
	 * @param order An order. @return Its transit, if it is the acknowledgement. */
	std::optional<OrderTransit> ChooseLateTransit(const OutgoingOrder &order)
	{
		const Millis now = this->world.clock.Now();
		if (!this->arrives_at && Acknowledges(order)) {
			this->box = order.box;
			this->arrives_at = now + this->scenario.delay;
			return OrderTransit{this->scenario.delay, false, false};
		}
		if (!this->arrives_at || order.box != this->box) {
			return std::nullopt;
		}
		/* Boxes with little to do get no start just then: try again with the next acknowledgement. */
		if (now >= *this->arrives_at) {
			this->arrives_at.reset();
			return std::nullopt;
		}
		const Millis left = *this->arrives_at - now;
		if (order.kind == OrderKind::OK_START && left > this->scenario.run_time && left <= RESTARTED_BEFORE_ARRIVAL) {
			this->Restart(order.box);
		}
		return std::nullopt;
	}

	/** @return Whether an order acknowledges enough ends. @param order The order. */
	[[nodiscard]] static bool Acknowledges(const OutgoingOrder &order)
	{
		return order.kind == OrderKind::OK_LEASE && order.ends_noted >= ACKNOWLEDGED_ENDS_MIN;
	}

	/** @return Whether the box restarts at an order. @param order The order. */
	[[nodiscard]] bool RestartsAt(const OutgoingOrder &order)
	{
		const auto start = this->starts_at.find(order.box);
		const bool started_now =
				start != this->starts_at.end() && this->world.clock.Now() - start->second <= STARTED_WITHIN;
		switch (this->scenario.restart_at) {
		case RestartAt::RA_START_AND_LEASE_ORDER:
			return order.kind == OrderKind::OK_LEASE && started_now;
		case RestartAt::RA_ACKNOWLEDGEMENT:
			return Acknowledges(order);
		case RestartAt::RA_PLAIN_LEASE_ORDER:
			return order.kind == OrderKind::OK_LEASE && order.ends_noted == 0;
		case RestartAt::RA_STOP:
			return order.kind == OrderKind::OK_STOP;
		default:
			return false;
		}
	}
};

/** Runs a scenario with and without the owner killed. @param scenario The scenario. */
void CheckScenario(LateOrderScenario scenario)
{
	for (const bool killed : {false, true}) {
		scenario.owner_killed = killed;
		const LateOrderWorld it(scenario);
		CAPTURE(scenario.log_latency.Value());
		CAPTURE(scenario.delay.Value());
		CAPTURE(scenario.run_time.Value());
		CAPTURE(killed);
		CAPTURE(scenario.acknowledges_on_arrival);
		CAPTURE(it.trace);
		const std::string first = it.world.site.violations.empty() ? "" : it.world.site.violations.front();
		CAPTURE(first);
		CHECK(it.restarted_at.has_value());
		CHECK(it.world.site.violations == std::vector<std::string>{});
	}
}

} // namespace

TEST_CASE("a run is not started again when the acknowledgement sent with its start makes the next incarnation forget "
		  "its end")
{
	for (const int64_t latency : {4, 100, 250}) {
		for (const int64_t run : {50, 300}) {
			CheckScenario({RestartAt::RA_START_AND_LEASE_ORDER, Millis(1), Millis(latency), Millis(run)});
		}
	}
}

TEST_CASE("a run is not started again when an acknowledgement that waits at the next incarnation makes it forget its "
		  "end")
{
	for (const int64_t latency : {4, 100, 250}) {
		CheckScenario({RestartAt::RA_ACKNOWLEDGEMENT, Millis(1), Millis(latency), Millis(50)});
	}
}

TEST_CASE("a run is not started again when an acknowledgement arrives at the next incarnation after its end")
{
	for (const bool on_arrival : {false, true}) {
		for (const int64_t latency : {4, 100, 250}) {
			for (const RestartAt at : {RestartAt::RA_START_AND_LEASE_ORDER, RestartAt::RA_ACKNOWLEDGEMENT}) {
				CheckScenario({at, Millis(150), Millis(latency), Millis(50), false, on_arrival});
			}
		}
	}
}

TEST_CASE("a run is not started again when an acknowledgement without an answer reaches the next incarnation seconds "
		  "late")
{
	for (const bool on_arrival : {false, true}) {
		for (const int64_t delay : {250, 2900, 8900}) {
			CheckScenario({RestartAt::RA_START_AFTER_ACKNOWLEDGEMENT, Millis(delay), Millis(4), Millis(50), false,
						   on_arrival});
		}
	}
}

TEST_CASE("a run that the next incarnation lists as ended is not started again after a late lease order or stop")
{
	for (const bool on_arrival : {false, true}) {
		for (const int64_t delay : {1, 150}) {
			for (const RestartAt at : {RestartAt::RA_PLAIN_LEASE_ORDER, RestartAt::RA_STOP}) {
				CheckScenario({at, Millis(delay), Millis(4), Millis(300), false, on_arrival});
			}
		}
	}
}

TEST_CASE("a run is not started elsewhere while a box that restarted twice within moments runs it")
{
	constexpr size_t TRACE_SIZE_MAX = 3000;
	constexpr Millis SLOW_TRANSIT(50);    /* Longer than a start elsewhere takes. */
	constexpr Millis FIRST_RESTART(3990); /* Just before its report is delivered, so that its clock is low. */
	for (const int64_t delay : {5, 60, 300}) {
		JobWorld world;
		const BoxName box("calc-box0");
		FenceToken fence;
		std::optional<FenceToken> second_fence;
		bool restarted = false;
		std::string trace;
		for (const auto &node : world.nodes) {
			node->events.write = [&](const std::string &line) {
				const bool tells = line.starts_with("box_") || line.starts_with("run_");
				if (restarted && tells && line.find("box0") != std::string::npos && trace.size() < TRACE_SIZE_MAX) {
					trace += std::to_string(world.clock.Now().Value()) + " " + line + "\n";
				}
			};
		}
		world.clock.After(FIRST_RESTART, [&world, &box] { world.site.Restart(box); });
		world.site.choose_transit = [&](const OutgoingOrder &order) -> std::optional<OrderTransit> {
			if (order.box != box) {
				return std::nullopt;
			}
			if (world.clock.Now() < FIRST_RESTART) {
				fence = order.fence;
				return std::nullopt;
			}
			/* The first token that is higher is the one of the second incarnation. */
			if (!second_fence && order.fence > fence) {
				second_fence = order.fence;
			}
			if (restarted && order.fence > *second_fence) {
				return OrderTransit{SLOW_TRANSIT};
			}
			if (order.kind != OrderKind::OK_START || order.fence != second_fence) {
				return std::nullopt;
			}
			if (!std::exchange(restarted, true)) {
				world.site.Restart(box);
			}
			return OrderTransit{Millis(delay)};
		};
		for (int n = 0; n < 20; n++) {
			world.Plan(Millis(1000 + n * 200), "calc", JobWorld::Chain(1), Millis(3000));
		}
		world.clock.RunUntil(Millis(30000));
		CAPTURE(delay);
		CAPTURE(trace);
		const std::string first = world.site.violations.empty() ? "" : world.site.violations.front();
		CAPTURE(first);
		CHECK(restarted);
		CHECK(world.site.violations == std::vector<std::string>{});
	}
}

TEST_CASE("an owner keeps its shard when a box that it has forgotten reports again")
{
	constexpr Millis REMOVED_AT(6100);
	constexpr Millis BACK_AT(30000); /* Longer than the box and its orders are kept. */
	JobWorld world;
	const BoxName box("calc-box0");
	bool superseded = false;
	size_t raised = 0;
	std::optional<FenceToken> first;
	std::string trace;
	for (const auto &node : world.nodes) {
		node->events.write = [&](const std::string &line) {
			superseded = superseded || line.starts_with("superseded");
			if (line.starts_with("superseded") ||
				(line.starts_with("box_") && line.find("box0") != std::string::npos)) {
				trace += std::to_string(world.clock.Now().Value()) + " " + line + "\n";
			}
		};
	}
	world.site.choose_transit = [&](const OutgoingOrder &order) -> std::optional<OrderTransit> {
		if (order.box == box) {
			first = first.value_or(order.fence);
			raised += *first < order.fence ? 1 : 0;
		}
		return std::nullopt;
	};
	for (int n = 0; n < 20; n++) {
		world.Plan(Millis(1000 + n * 130), "calc", JobWorld::Chain(2), Millis(300));
	}
	world.clock.After(REMOVED_AT, [&] {
		world.unlisted.insert(box);
		for (const auto &node : world.nodes) {
			node->host.OnReportRemoved(world.site.IncarnationOf(box).id);
		}
	});
	world.clock.After(BACK_AT, [&] { world.unlisted.clear(); });
	world.clock.RunUntil(Millis(40000));
	CAPTURE(trace);
	CHECK(raised > 0);
	CHECK_FALSE(superseded);
}

TEST_CASE("a run is not started again when a lost acknowledgement arrives late, after the box has listed its runs")
{
	constexpr Millis ARRIVES_AT(8250);
	constexpr Millis RUN_TIME(50);
	constexpr Millis STARTED_FROM(8050);
	for (const bool on_arrival : {false, true}) {
		JobWorld world;
		world.site.acknowledges_on_arrival = on_arrival;
		const BoxName box("calc-box0");
		bool late = false;
		bool restarted = false;
		world.site.choose_transit = [&](const OutgoingOrder &order) -> std::optional<OrderTransit> {
			const Millis now = world.clock.Now();
			if (order.box == box && order.ends_noted >= 6 && !std::exchange(late, true)) {
				return OrderTransit{ARRIVES_AT - now, false, false};
			}
			if (order.box == box && order.kind == OrderKind::OK_START && now >= STARTED_FROM &&
				!std::exchange(restarted, true)) {
				world.site.Restart(box);
			}
			return std::nullopt;
		};
		for (const int64_t at : {1000, 1500, 2000, 8050}) {
			world.Plan(Millis(at), "calc", JobWorld::Chain(1), RUN_TIME);
		}
		world.clock.RunUntil(Millis(30000));
		CAPTURE(on_arrival);
		CHECK(late);
		CHECK(restarted);
		CHECK(world.site.violations == std::vector<std::string>{});
	}
}

TEST_CASE("a busy box some of whose start orders are lost lists all its ends at once")
{
	constexpr size_t ENDS_PER_LIST_MAX = 500;
	constexpr uint64_t LOST_EVERY = 25;
	constexpr Millis BUSY_UNTIL(60000);
	JobWorld world;
	const BoxName box("calc-box0");
	uint64_t starts = 0;
	uint64_t looks = 0;
	size_t acknowledgements = 0;
	Millis acknowledged_at(2000);
	Millis pause_max;
	FenceToken fence;
	size_t ends_max = 0;
	world.site.choose_transit = [&](const OutgoingOrder &order) -> std::optional<OrderTransit> {
		const Millis now = world.clock.Now();
		if (order.box != box) {
			return std::nullopt;
		}
		looks += order.kind == OrderKind::OK_LEASE ? 1 : 0;
		fence = std::max(fence, order.fence);
		if (now < BUSY_UNTIL) {
			pause_max = std::max(pause_max, now - acknowledged_at);
		}
		if (order.ends_noted > 0) {
			acknowledgements++;
			acknowledged_at = now;
		}
		const bool lost = order.kind == OrderKind::OK_START && ++starts % LOST_EVERY == 0;
		return lost ? std::optional(OrderTransit{Millis(1), true}) : std::nullopt;
	};
	for (int n = 0; n < 290; n++) {
		world.Plan(Millis(1000 + n * 200), "calc", JobWorld::Chain(3), Millis(300));
	}
	for (int n = 3; n < 90; n++) {
		world.clock.After(Millis(n * 1000), [&] {
			LeaseOrder look;
			look.fence = fence;
			ends_max = std::max(ends_max, world.site.Lease(world.site.Reports().front(), look).ended.size());
		});
	}
	world.clock.RunUntil(Millis(90000));
	MESSAGE("starts ", starts, " looks ", looks, " acks ", acknowledgements, " longest pause ", pause_max.Value(),
			" most ends listed ", ends_max);
	CHECK(ends_max < ENDS_PER_LIST_MAX);
	CHECK(acknowledgements > 0);
	CHECK(std::as_const(world.OwnerOf(CALC)->host).Find(CALC)->Running()->CountBoxes().open == 4);
	CHECK(std::ranges::all_of(world.jobs,
							  [&world](const auto &it) { return world.ViewOf(*it).phase == JobPhase::JP_COMPLETED; }));
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a run is not started elsewhere while the next incarnation runs it by a late order of the previous owner")
{
	for (const int64_t arrives : {9200, 9490, 11200}) {
		JobWorld world;
		const Millis arrives_at(arrives);
		world.site.stop_delay = Millis(300);
		std::optional<BoxName> box;
		std::string trace;
		for (const auto &node : world.nodes) {
			node->events.write = [&](const std::string &line) {
				if (line.starts_with("box_over") || line.starts_with("run_") || line.starts_with("unknown_run")) {
					trace += std::to_string(world.clock.Now().Value()) + " " + line + "\n";
				}
			};
		}
		world.site.choose_transit = [&](const OutgoingOrder &order) -> std::optional<OrderTransit> {
			if (order.kind != OrderKind::OK_START || box) {
				return std::nullopt;
			}
			box = order.box;
			return OrderTransit{arrives_at - world.clock.Now(), false, false};
		};
		world.Plan(Millis(3000), "calc", JobWorld::Chain(1), Millis(20000));
		world.clock.After(Millis(3700), [&] { JobWorld::Kill(*world.OwnerOf(CALC)); });
		world.clock.After(Millis(arrives - 80), [&] { world.site.Restart(*box); });
		world.clock.RunUntil(Millis(30000));
		CAPTURE(arrives);
		CAPTURE(trace);
		const std::string first = world.site.violations.empty() ? "" : world.site.violations.front();
		CAPTURE(first);
		CHECK(world.site.violations == std::vector<std::string>{});
	}
}
