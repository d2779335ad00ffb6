/** @file test_log.cpp LogWriter and LogTail over a log with injected faults. */
#include "fleet/fleet_hash.h"
#include "log/log_tail.h"
#include "log/log_writer.h"
#include "log/memory_log.h"

#include <doctest/doctest.h>

namespace {

/** A process that writes to and reads a log. */
struct LogClient {
	LogClient(VirtualScheduler &clock, LogStore &store, const std::string &name, uint64_t incarnation = 1)
			: log(clock, store),
			  tail(clock, this->log, [this](const std::vector<Decision> &it) { this->writer.OnDecisions(it); }),
			  writer(clock, this->log, name, Incarnation(incarnation))
	{
		this->tail.Start();
	}

	void SubmitQuota(const std::string &team, uint32_t units)
	{
		glade::wire::TeamQuotaT quota;
		quota.team = team;
		quota.units = units;
		this->writer.Submit(MakeProposal(std::move(quota)), WritePriority::WP_CONFIG,
							[this](const Decision &it) { (it.result.Ok() ? this->accepted : this->rejected)++; });
	}

	MemoryLog log;    ///< Its log client.
	LogTail tail;     ///< Its reader.
	LogWriter writer; ///< Its writer.
	int accepted = 0; ///< Proposals accepted.
	int rejected = 0; ///< Proposals rejected.
};

} // namespace

TEST_CASE("log: group commit writes 200 proposals of a tick in at most three appends")
{
	VirtualScheduler clock(Millis(1700000000000));
	LogStore store(LogLimits{});
	LogClient client(clock, store, "w");
	for (uint32_t i = 0; i < 200; i++) {
		client.SubmitQuota("t" + std::to_string(i), i);
	}
	clock.RunUntil(Millis(1000));
	CHECK(client.accepted == 200);
	CHECK(store.RecordsAppended() <= 3);
}

TEST_CASE("log: lost answers, outages and throttling neither lose nor repeat proposals")
{
	VirtualScheduler clock(Millis(1700000000000));
	LogLimits limits;
	limits.appends_per_second = 3;
	LogStore store(limits);
	LogClient one(clock, store, "one");
	LogClient two(clock, store, "two");
	one.log.faults.lose_answers = 3;
	two.log.faults.repeat_appends = 3;
	for (uint32_t i = 0; i < 30; i++) {
		one.SubmitQuota("a" + std::to_string(i), i);
		two.SubmitQuota("b" + std::to_string(i), i);
		clock.RunUntil(clock.Now() + Millis(100));
	}
	one.log.faults.down = true;
	one.SubmitQuota("late", 1);
	clock.RunUntil(clock.Now() + Millis(4000));
	CHECK(one.tail.LastAnswer() + Millis(3000) < clock.Now());
	one.log.faults.down = false;
	clock.RunUntil(clock.Now() + Millis(20000));
	CHECK(one.accepted == 31);
	CHECK(two.accepted == 30);
	CHECK(one.rejected + two.rejected == 0);
	CHECK(one.writer.Backlog() == 0);
	CHECK(one.tail.State().Hash() == two.tail.State().Hash());
	CHECK(one.tail.State().teams.size() == 61);
}

TEST_CASE("log: an append that had no effect and whose answer is lost is sent again")
{
	/* Drops the first two appends and reports their outcome as unknown. */
	class DroppingLog : public MemoryLog {
	public:
		using MemoryLog::MemoryLog;
		void Append(std::string bytes, std::function<void(AppendAnswer)> done) override
		{
			if (this->drops-- > 0) {
				done({ResultCode::RC_LOG_ANSWER_LOST, LogOffset()});
				return;
			}
			MemoryLog::Append(std::move(bytes), std::move(done));
		}
		int drops = 2; ///< Number of next appends to drop.
	};
	VirtualScheduler clock(Millis(1700000000000));
	LogStore store(LogLimits{});
	DroppingLog log(clock, store);
	LogWriter writer(clock, log, "w", Incarnation(1));
	LogTail tail(clock, log, [&](const std::vector<Decision> &it) { writer.OnDecisions(it); });
	tail.Start();
	glade::wire::TeamQuotaT quota;
	quota.team = "oyo";
	quota.units = 1;
	int done = 0;
	writer.Submit(MakeProposal(std::move(quota)), WritePriority::WP_CONFIG, [&](const Decision &) { done++; });
	clock.RunUntil(Millis(5000));
	CHECK(done == 1);
	CHECK(writer.Counters().repeats == 2);
}

TEST_CASE("log: configuration is written before jobs when appends are scarce")
{
	VirtualScheduler clock(Millis(1700000000000));
	LogStore store(LogLimits{});
	LogClient client(clock, store, "w");
	std::vector<int> order;
	for (int i = 0; i < 600; i++) {
		glade::wire::JobCancelT cancel;
		client.writer.Submit(MakeProposal(std::move(cancel)), WritePriority::WP_JOB,
							 [&](const Decision &) { order.push_back(2); });
	}
	glade::wire::TeamQuotaT quota;
	quota.team = "oyo";
	client.writer.Submit(MakeProposal(std::move(quota)), WritePriority::WP_CONFIG,
						 [&](const Decision &) { order.push_back(0); });
	clock.RunUntil(Millis(3000));
	REQUIRE(order.size() == 601);
	CHECK(order.front() == 0);
}

TEST_CASE("log: a proposal that was not sent yet can be withdrawn, but only once")
{
	VirtualScheduler clock(Millis(1700000000000));
	LogStore store(LogLimits{});
	LogClient client(clock, store, "w");
	client.log.faults.down = true;
	client.SubmitQuota("first", 1);
	clock.RunUntil(Millis(100));
	glade::wire::TeamQuotaT quota;
	quota.team = "second";
	const auto id = client.writer.Submit(MakeProposal(std::move(quota)), WritePriority::WP_CONFIG);
	CHECK(client.writer.Withdraw(id));
	CHECK_FALSE(client.writer.Withdraw(id));
	client.log.faults.down = false;
	clock.RunUntil(Millis(5000));
	CHECK(client.tail.State().teams.size() == 1);
}

TEST_CASE(
		"log: a reader that starts after the first records were dropped uses a snapshot, and no reader moves backwards")
{
	VirtualScheduler clock(Millis(1700000000000));
	LogLimits limits;
	limits.records = 20;
	LogStore store(limits);
	LogClient old(clock, store, "old");
	for (uint32_t i = 0; i < 30; i++) {
		old.SubmitQuota("t" + std::to_string(i), i);
		clock.RunUntil(clock.Now() + Millis(100));
	}
	LogClient early(clock, store, "early");
	clock.RunUntil(clock.Now() + Millis(2000));
	CHECK(early.tail.Phase() == TailPhase::TP_JOINING); /* It waits, since there is no snapshot yet. */
	const FleetState before = old.tail.State();
	for (auto &chunk : SplitSnapshot(PackSnapshot(before), before)) {
		old.writer.Submit(std::move(chunk), WritePriority::WP_BULK);
	}
	for (uint32_t i = 0; i < 10; i++) {
		old.SubmitQuota("u" + std::to_string(i), i);
		clock.RunUntil(clock.Now() + Millis(100));
	}
	LogClient late(clock, store, "late");
	clock.RunUntil(clock.Now() + Millis(2000));
	CHECK(late.tail.CaughtUp());
	CHECK(early.tail.CaughtUp());
	CHECK(late.tail.State().Hash() == old.tail.State().Hash());
	CHECK(early.tail.State().Hash() == old.tail.State().Hash());
	CHECK_FALSE(old.tail.Adopt(before));
	CHECK(old.tail.State().offset > before.offset);
}

TEST_CASE("log: a snapshot written while another is being written is usable, and an incomplete one is not used")
{
	VirtualScheduler clock(Millis(1700000000000));
	LogStore store(LogLimits{});
	LogClient one(clock, store, "one");
	LogClient two(clock, store, "two");
	for (uint32_t i = 0; i < 3000; i++) {
		one.SubmitQuota("team-with-a-long-name-" + std::to_string(i), i);
	}
	clock.RunUntil(Millis(5000));
	const FleetState state = one.tail.State();
	const std::string bytes = PackSnapshot(state);
	REQUIRE(bytes.size() > 2 * SNAPSHOT_CHUNK_BYTES);
	auto first = SplitSnapshot(bytes, state);
	auto second = SplitSnapshot(bytes, state);
	for (size_t i = 0; i < first.size(); i++) {
		one.writer.Submit(std::move(first[i]), WritePriority::WP_BULK);
		if (i + 1 < second.size()) {
			two.writer.Submit(std::move(second[i]), WritePriority::WP_BULK);
		}
		clock.RunUntil(clock.Now() + Millis(200));
	}
	clock.RunUntil(clock.Now() + Millis(1000));
	CHECK(two.tail.SnapshotBase() == state.offset);
	SnapshotCollector partial;
	const ReadAnswer all = store.Read(LogOffset(1), clock.WallNow());
	for (const LogRecord &record : all.records) {
		const auto batch = DecodeBatch(record.bytes);
		if (batch && batch->writer == "two") {
			partial.Add(record);
		}
	}
	CHECK_FALSE(partial.Newest().has_value());
}
