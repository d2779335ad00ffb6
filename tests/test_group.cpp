/** @file test_group.cpp Group membership: which nodes are eligible to own shards. */
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace {

constexpr int64_t STRONG_MILLICORES = 500; ///< Processor time of a strong node, in thousandths of a core.
constexpr int64_t WEAK_MILLICORES = 120;   ///< Processor time of a weak node, in thousandths of a core.

/**
 * Starts nodes.
 * @param world The simulation.
 * @param strong Number of strong nodes.
 * @param weak Number of weak nodes.
 */
void BootNodes(JobWorld &world, size_t strong, size_t weak)
{
	/* The weak nodes start first and have the lower names: neither may influence who is eligible. */
	for (size_t n = 0; n < weak; n++) {
		world.Boot("a-weak-" + std::to_string(n), WEAK_MILLICORES);
	}
	for (size_t n = 0; n < strong; n++) {
		world.Boot("b-strong-" + std::to_string(n), STRONG_MILLICORES);
	}
}

/** @return Report of a box on which the owner of "calc" has placed tasks. @param owner The owner's node. */
BoxReport ReportOfBoxWithTasks(WorldNode &owner)
{
	const auto &boxes = owner.host.Find(ServiceName("calc"))->Running()->Boxes();
	return std::ranges::find_if(boxes, [](const auto &it) { return !it.second.placed.empty(); })->second.report;
}

bool IsStrong(const WorldNode &node)
{
	return node.name.starts_with("b-");
}

} // namespace

TEST_CASE("a member name contains the address and the processor time of its node")
{
	const GroupPeer peer = ParseMemberName(MemberNameOf(GroupPeer{"10.1.0.9:7060", 250}));
	CHECK(peer.address == "10.1.0.9:7060");
	CHECK(peer.cpu == 250);
	CHECK(ParseMemberName("10.1.0.9:7060").address == "10.1.0.9:7060");
	CHECK(ParseMemberName("10.1.0.9:7060").cpu == 0);
}

TEST_CASE("shards are owned by the nodes with much more processor time as long as there are any")
{
	JobWorld world(0);
	BootNodes(world, 3, 6);
	std::vector<WorldJob *> jobs;
	constexpr int COUNT = 20;
	jobs.reserve(COUNT);
	for (int n = 0; n < COUNT; n++) {
		jobs.push_back(&world.Plan(Millis(3000 + n * 500), n % 2 == 0 ? "calc" : "grid", JobWorld::Chain(3)));
	}
	world.clock.RunUntil(Millis(4000));
	for (const char *service : {"calc", "grid"}) {
		WorldNode *owner = world.OwnerOf(ServiceName(service));
		REQUIRE(owner != nullptr);
		CHECK(IsStrong(*owner));
	}
	std::ranges::for_each(world.nodes, [](const auto &it) { CHECK(it->member.IsStandby() == !IsStrong(*it)); });

	/* When all strong nodes are down, weak ones take over. */
	for (const auto &node : world.nodes) {
		if (IsStrong(*node)) {
			JobWorld::Kill(*node);
		}
	}
	world.clock.RunUntil(Millis(9000));
	for (const char *service : {"calc", "grid"}) {
		WorldNode *owner = world.OwnerOf(ServiceName(service));
		REQUIRE(owner != nullptr);
		CHECK(!IsStrong(*owner));
	}

	/* Weak nodes hand the shards back when strong ones return. */
	for (int n = 3; n < 6; n++) {
		world.Boot("b-strong-" + std::to_string(n), STRONG_MILLICORES);
	}
	world.clock.RunUntil(Millis(30000));
	for (const char *service : {"calc", "grid"}) {
		WorldNode *owner = world.OwnerOf(ServiceName(service));
		REQUIRE(owner != nullptr);
		CHECK(IsStrong(*owner));
	}
	CHECK(world.site.violations == std::vector<std::string>{});
	for (const WorldJob *job : jobs) {
		CHECK(job->accepted);
		CHECK(static_cast<int>(world.ViewOf(*job).phase) == static_cast<int>(JobPhase::JP_COMPLETED));
	}
}

TEST_CASE("with only two strong nodes all nodes are eligible")
{
	JobWorld world(0);
	BootNodes(world, 2, 4);
	world.clock.RunUntil(Millis(5000));
	CHECK(std::ranges::none_of(world.nodes, [](const auto &it) { return it->member.IsStandby(); }));
}

TEST_CASE("nodes with the same processor time are all eligible, and the first join does not delay them for long")
{
	JobWorld world(3);
	world.clock.RunUntil(Millis(1000));
	CHECK(std::ranges::none_of(world.nodes, [](const auto &it) { return it->member.IsStandby(); }));
	CHECK(world.OwnerOf(ServiceName("calc")) != nullptr);
}

TEST_CASE("a live owner keeps its shards, whichever node the partitions are assigned to")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	for (int64_t at = 4000; at < 8000; at += 1000) {
		world.store.ReassignPartitions();
		world.clock.RunUntil(Millis(at));
		CHECK(world.OwnerOf(ServiceName("calc")) == owner);
	}
	/* After it has released its shards, another node takes over at its next check. */
	owner->host.Clear();
	owner->member.Leave([] {});
	world.clock.RunUntil(Millis(9200));
	WorldNode *next = world.OwnerOf(ServiceName("calc"));
	CHECK(next != nullptr);
	CHECK(next != owner);
}

TEST_CASE("tasks on an unreachable box are started elsewhere in time although the owner changes several times")
{
	JobWorld world(5);
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(3));
	world.clock.RunUntil(Millis(4000));
	REQUIRE(world.site.Running(job.spec.id) == 3);
	WorldNode *first = world.OwnerOf(ServiceName("calc"));
	const BoxReport box_report = ReportOfBoxWithTasks(*first);
	const BoxName box_name = box_report.box;
	world.unlisted.insert(box_name);
	world.site.faults[box_name].unreachable = true;
	JobWorld::Kill(*first);
	/* Owners that release a shard record how long earlier owners may still renew leases. */
	for (const int64_t at : {8000, 11000, 14000}) {
		world.clock.RunUntil(Millis(at));
		WorldNode *owner = world.OwnerOf(ServiceName("calc"));
		REQUIRE(owner != nullptr);
		owner->host.Clear();
		owner->member.Leave([] {});
	}
	/* The last of them may have renewed leases until 14 s, so the leases end 4.5 s / 0.98 after the next claim. */
	world.clock.RunUntil(Millis(19500));
	CHECK(world.site.Running(job.spec.id) == 3);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a new owner learns from a box whose report was removed that the earlier incarnation has ended")
{
	JobWorld world(5);
	const WorldJob &job = world.Plan(Millis(1000), "calc", JobWorld::Lasting(3));
	world.clock.RunUntil(Millis(4000));
	REQUIRE(world.site.Running(job.spec.id) == 3);
	WorldNode *first = world.OwnerOf(ServiceName("calc"));
	const BoxReport box_report = ReportOfBoxWithTasks(*first);
	const BoxName box_name = box_report.box;
	const BoxIncarnation incarnation = box_report.incarnation;
	/* The owner dies; the box restarts as another incarnation and its report is removed before the next lease order. */
	JobWorld::Kill(*first);
	world.site.Restart(box_name);
	for (const auto &node : world.nodes) {
		if (node->up) {
			node->host.OnReportRemoved(incarnation.id);
		}
	}
	world.clock.RunUntil(Millis(9000));
	REQUIRE(world.OwnerOf(ServiceName("calc")) != nullptr);
	CHECK(world.site.Running(job.spec.id) == 3);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("weak nodes that join while one strong node owns everything become standby nodes")
{
	JobWorld world(0);
	world.Boot("b-strong-0", STRONG_MILLICORES);
	world.clock.RunUntil(Millis(1000));
	/* All others start at once, as after a power failure. There are more members than partitions. */
	for (int n = 0; n < 20; n++) {
		world.Boot("a-weak-" + std::to_string(n), WEAK_MILLICORES);
	}
	for (int n = 1; n < 6; n++) {
		world.Boot("b-strong-" + std::to_string(n), STRONG_MILLICORES);
	}
	world.clock.RunUntil(Millis(10000));
	std::ranges::for_each(world.nodes, [](const auto &it) { CHECK(it->member.IsStandby() == !IsStrong(*it)); });
	for (const char *service : {"calc", "grid"}) {
		WorldNode *owner = world.OwnerOf(ServiceName(service));
		REQUIRE(owner != nullptr);
		CHECK(IsStrong(*owner));
	}
}

TEST_CASE("strong nodes own the shards again after all of them were down for two seconds")
{
	JobWorld world(0);
	BootNodes(world, 6, 20);
	world.clock.RunUntil(Millis(4000));
	std::vector<std::string> names;
	for (const auto &node : world.nodes) {
		if (IsStrong(*node)) {
			names.push_back(node->name);
			JobWorld::Kill(*node);
		}
	}
	world.clock.RunUntil(Millis(6000));
	std::ranges::for_each(names, [&world](const std::string &it) { world.Boot(it, STRONG_MILLICORES); });
	world.clock.RunUntil(Millis(20000));
	for (const char *service : {"calc", "grid"}) {
		WorldNode *owner = world.OwnerOf(ServiceName(service));
		REQUIRE(owner != nullptr);
		CHECK(IsStrong(*owner));
	}
}

TEST_CASE("weak nodes that joined long before the strong ones hand the shards over to them")
{
	JobWorld world(0);
	BootNodes(world, 0, 20);
	world.clock.RunUntil(Millis(5000));
	for (int n = 0; n < 6; n++) {
		world.Boot("b-strong-" + std::to_string(n), STRONG_MILLICORES);
	}
	world.clock.RunUntil(Millis(20000));
	std::ranges::for_each(world.nodes, [](const auto &it) { CHECK(it->member.IsStandby() == !IsStrong(*it)); });
	for (const char *service : {"calc", "grid"}) {
		WorldNode *owner = world.OwnerOf(ServiceName(service));
		REQUIRE(owner != nullptr);
		CHECK(IsStrong(*owner));
	}
}

TEST_CASE("of many weak standby nodes only half as many as there are partitions become eligible, which leaves room for "
		  "strong nodes that return")
{
	JobWorld world(0);
	BootNodes(world, 6, 20);
	world.clock.RunUntil(Millis(4000));
	for (const auto &node : world.nodes) {
		if (IsStrong(*node)) {
			JobWorld::Kill(*node);
		}
	}
	world.clock.RunUntil(Millis(12000));
	const auto eligible_count = [&world] {
		return std::ranges::count_if(world.nodes, [](const auto &it) { return it->up && !it->member.IsStandby(); });
	};
	CHECK(eligible_count() == WorldNode::PARTITION_COUNT / 2);
	/* A standby node replaces each eligible node that dies. */
	const auto first =
			std::ranges::find_if(world.nodes, [](const auto &it) { return it->up && !it->member.IsStandby(); });
	REQUIRE(first != world.nodes.end());
	JobWorld::Kill(**first);
	world.clock.RunUntil(Millis(20000));
	CHECK(eligible_count() == WorldNode::PARTITION_COUNT / 2);
	for (const char *service : {"calc", "grid"}) {
		CHECK(world.OwnerOf(ServiceName(service)) != nullptr);
	}
}

/* Guards against a weak node that keeps a queue although it is a standby node. Its claim was under way when it became
 * one and was answered 12 ms later. Only answers to joins made a node hand over its shards, and a standby node does not
 * join any more, so the weak node kept the queue, and one class of requests got a sixth of its due service. */
TEST_CASE(
		"a weak node hands over a shard that it got just after it became a standby node, whenever strong nodes return")
{
	constexpr int64_t OUTAGE_FIRST_MS = 1800; /* By then, weak nodes have joined and begin to claim. */
	constexpr int64_t OUTAGE_LAST_MS = 3400;
	constexpr int64_t OUTAGE_STEP_MS = 40;
	for (int64_t outage_ms = OUTAGE_FIRST_MS; outage_ms <= OUTAGE_LAST_MS; outage_ms += OUTAGE_STEP_MS) {
		CAPTURE(outage_ms);
		JobWorld world(0);
		BootNodes(world, 3, 4);
		world.clock.RunUntil(Millis(4000));
		for (const auto &node : world.nodes) {
			node->log.faults.latency = Millis(60);
			if (IsStrong(*node)) {
				JobWorld::Kill(*node);
			}
		}
		world.clock.RunUntil(Millis(4000 + outage_ms));
		for (int n = 0; n < 3; n++) {
			world.Boot("b-back-" + std::to_string(n), STRONG_MILLICORES);
		}
		world.clock.RunUntil(Millis(16000));
		for (const char *service : {"calc", "grid"}) {
			WorldNode *owner = world.OwnerOf(ServiceName(service));
			REQUIRE(owner != nullptr);
			CHECK(IsStrong(*owner));
		}
	}
}

/* Guards against a stopping node that claims again the shard it has just lost: callers would wait for an owner that is
 * leaving. */
TEST_CASE("a node that stops in the turn in which it loses a shard claims nothing any more")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	owner->host.Find(ServiceName("calc"))->on_lost();
	owner->host.Clear();
	owner->member.Leave([] {});
	world.clock.RunUntil(Millis(3100));
	CHECK(owner->host.Owners().empty());
	owner->host.OnMembership();
	CHECK(owner->host.Owners().empty());
	world.clock.RunUntil(Millis(6000));
	WorldNode *next = world.OwnerOf(ServiceName("calc"));
	REQUIRE(next != nullptr);
	CHECK(next != owner);
}

/* Guards against orders to boxes that rely on a superseded owner: it may report a box as empty on which the next owner
 * is placing tasks. */
TEST_CASE("an owner that the log has not confirmed for a second reports itself as unconfirmed")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	const Shard *shard = owner->host.Find(ServiceName("calc"))->Running();
	CHECK(shard->Confirmed());
	owner->log.faults.silent = true;
	world.clock.RunUntil(Millis(4500));
	CHECK_FALSE(shard->Confirmed());
}
