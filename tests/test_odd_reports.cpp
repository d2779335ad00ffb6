/** @file test_odd_reports.cpp Odd entries among the reports of boxes: each value is bounded, and the reports beside an
 * odd one are used.
 *
 * Guards against processes that end, or stop following the list, because of one entry that is nested very deeply, has a
 * number too large or a port out of range. */
#include "../platform/platform_feed.h"
#include "odd_bytes.h"

#include <doctest/doctest.h>

#include <map>

namespace {

constexpr size_t DEEP = 1'000'000; ///< Depth of a nested list.

/** @return Name of the field for which a report is rejected; empty if it is accepted. */
std::string FaultOf(const std::string &bytes, const std::string &id = "i-1")
{
	return DecodeReport(BoxId(id), bytes).fault;
}

/** Keeps the newest report of each agent. */
class ReportKeeper : public SiteFeedEvents {
public:
	void OnConfig(const JobConfig &) override {}
	void OnWave(const WaveOrder &) override {}
	void OnEvacuatedZones(const EvacuatedZones &) override {}
	void OnReport(const BoxReport &report) override { this->reports[report.incarnation.id.Value()] = report; }
	void OnReportRemoved(const BoxId &id) override { this->reports.erase(id.Value()); }

	std::map<std::string, BoxReport> reports; ///< The reports by id.
};

} // namespace

TEST_CASE("odd bytes: a report with a value beyond its bounds is rejected, and its fault is named")
{
	CHECK(FaultOf(ReportBytes()).empty());
	CHECK(FaultOf(ReportBytes(R"("remaining-ms":1.5,"cold-remaining-ms":172800000)")).empty());
	CHECK(FaultOf(ReportBytes(R"("other":)" + std::string(500, '[') + std::string(500, ']'))).empty());
	for (const char *number : {"1e300", "9223372036854775807", "-1", "12345678901234567890123", "\"5\"", "172800001"}) {
		CAPTURE(number);
		for (const std::string field : {"remaining-ms", "cold-remaining-ms"}) {
			CHECK(FaultOf(ReportBytes("\"" + field + "\":" + number)) == field);
		}
		CHECK(FaultOf(ReportBytes(R"("capacity":{"cpu":)" + std::string(number) + "}")) == "cpu");
		CHECK(FaultOf(ReportBytes(R"("capacity":{"cpu":1,"gpu":)" + std::string(number) + "}")) == "gpu");
	}
	CHECK(FaultOf(ReportBytes(R"("capacity":{"cpu":1,"mem-mb":1000000001})")) == "mem-mb");
	CHECK(FaultOf(ReportBytes(R"("born":1e15)")) == "born");
	CHECK(FaultOf(ReportBytes(R"("other":)" + std::string(DEEP, '['))) == "machine");
	for (const char *address :
		 {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:080", "1:80",
		  "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "[::]:80", "[::1]:80", "host:80", "10.0.0.1", ":80"}) {
		CAPTURE(address);
		CHECK(FaultOf(ReportBytes("", address)) == "address");
	}
	for (const std::string &id :
		 {std::string(), std::string("a\r\nX: y"), std::string("\xff\xfe"), std::string("a b")}) {
		CHECK(FaultOf(ReportBytes(), id) == "id");
	}
	CHECK(FaultOf(ReportBytes(), std::string(255, 'k')).empty());
}

TEST_CASE("odd bytes: reports before and after an odd one are used, from the first page and from later reads")
{
	VirtualScheduler clock{Millis(1700000000000)};
	KeyedStore store{12};
	KeyedStoreClient log{clock, clock, store};
	WorldEventLog events;
	size_t lines = 0;
	events.write = [&lines](const std::string &line) { lines += line.starts_with("bad_report") ? 1 : 0; };
	ReportKeeper keeper;
	PlatformFeed feed(clock, log, events);
	const PartitionId partition{"keyed.servers", 0};
	constexpr size_t RECORD_DEPTH = 200'000; /* As deep as a record has room for. */
	const std::vector<std::string> odd{
			std::string(RECORD_DEPTH, '['),
			ReportBytes(R"("remaining-ms":1e300)"),
			ReportBytes(R"("capacity":{"cpu":9223372036854775807})"),
			ReportBytes("", "10.0.0.1:65536"),
			ReportBytes("\"born\":" + std::to_string(clock.WallNow().Value() + 3 * MS_PER_DAY)),
	};
	const auto write = [&](const std::string &prefix) {
		size_t number = 0;
		store.Append(partition, {KeyedRecord{prefix + "before", ReportBytes()}}, AppendCondition{});
		for (const std::string &it : odd) {
			store.Append(partition, {KeyedRecord{prefix + std::to_string(number++), it}}, AppendCondition{});
		}
		store.Append(partition, {KeyedRecord{prefix + "later", ReportBytes("", "10.0.0.2:80")}}, AppendCondition{});
	};
	write("a-");
	feed.Start(keeper);
	feed.WatchBoxes(true);
	clock.RunUntil(clock.Now() + Millis(1000));
	CHECK(keeper.reports.size() == 2);
	write("b-");
	clock.RunUntil(clock.Now() + Millis(1000));
	CHECK(keeper.reports.size() == 4);
	CHECK(keeper.reports.contains("a-before"));
	CHECK(keeper.reports.contains("b-later"));
	CHECK(lines == 2 * odd.size());
	/* The same again each second, with the writer's counter alone changed, is logged no more. */
	for (int n = 0; n < 5; n++) {
		std::string again = odd[1];
		again.replace(again.find("\"call-seq\":4"), 12, "\"call-seq\":" + std::to_string(10 + n));
		store.Append(partition, {KeyedRecord{"b-1", again}}, AppendCondition{});
		clock.RunUntil(clock.Now() + Millis(1000));
	}
	CHECK(lines == 2 * odd.size());
	CHECK(keeper.reports.size() == 4);
}

/* Guards against an owner that believes a copied entry: it would end the box that lives, or place tasks on the copy. */
TEST_CASE("odd bytes: tasks keep running beside copies of their boxes' reports under other ids")
{
	JobWorld world;
	world.clock.RunUntil(Millis(4000));
	const WorldJob &job = world.Plan(Millis(0), "calc", JobWorld::Lasting(4));
	world.clock.RunUntil(Millis(6000));
	REQUIRE(world.site.Running(job.spec.id) == 4);
	BoxReport copy = world.site.Reports().front();
	copy.incarnation.id = BoxId("copy");
	BoxReport later = copy;
	later.incarnation = BoxIncarnation{BoxId("later-copy"), copy.incarnation.started + Millis(MS_PER_DAY)};
	BoxReport silent = copy;
	silent.incarnation.id = BoxId("silent");
	silent.box = BoxName("m-none");
	silent.address = "10.255.0.1:80";
	for (const auto &node : world.nodes) {
		node->orders.unreachable_boxes.insert(silent.box);
	}
	for (int n = 0; n < 200; n++) {
		for (const auto &node : world.nodes) {
			for (const BoxReport &it : {copy, later, silent}) {
				node->scheduler.After(Millis(0), [to = node.get(), it] { to->host.OnReport(it); });
			}
		}
		world.clock.RunUntil(world.clock.Now() + Millis(100));
		CHECK(world.site.Running(job.spec.id) == 4);
	}
	const WorldJob &more = world.Plan(Millis(0), "calc", JobWorld::Chain(8));
	world.clock.RunUntil(world.clock.Now() + Millis(6000));
	CHECK(world.ViewOf(more).phase == JobPhase::JP_COMPLETED);
	CHECK(world.site.violations == std::vector<std::string>{});
}
