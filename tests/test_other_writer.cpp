/** @file test_other_writer.cpp Foreign and malformed records in the partitions for box reports and owners' records:
 * they are ignored, and the records beside them are still used. */
#include "../platform/platform_feed.h"
#include "../platform/record_frame.h"
#include "job_world.h"
#include "upkeep/fleet_owner.h"

#include <doctest/doctest.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace {

const PartitionId REPORT_PARTITION{"keyed.servers", 0}; ///< Partition of box reports.

/** @return A valid report of a box. @param address IP:port of the box. */
QJsonObject MakeReport(const char *address)
{
	return QJsonObject{{"service", "calc"},
					   {"address", address},
					   {"zone", "z"},
					   {"version", "1"},
					   {"slots", 8},
					   {"state", "ready"},
					   {"cold-remaining-ms", 0},
					   {"call-seq", 3},
					   {"machine", "m-1"},
					   {"labels", QJsonArray{"a", "r1-3"}},
					   {"capacity", QJsonObject{{"cpu", 16000}, {"mem-mb", 32768}}}};
}

std::string ToBytes(const QJsonObject &json)
{
	return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

/** @return Whether a report is accepted. @param json The report. */
bool IsAccepted(const QJsonObject &json)
{
	return DecodeReport(BoxId("i-1"), ToBytes(json)).report.has_value();
}

/** @return A valid report with one field replaced. @param name Name of the field. @param value Its value. */
QJsonObject ReportWith(const char *name, const QJsonValue &value)
{
	QJsonObject out = MakeReport("10.0.0.1:80");
	out[name] = value;
	return out;
}

/** @return A valid report without one field. @param name Name of the field. */
QJsonObject ReportWithout(const char *name)
{
	QJsonObject out = MakeReport("10.0.0.1:80");
	out.remove(name);
	return out;
}

/** Tracks the incarnations that have a valid report. */
class ReportTracker : public SiteFeedEvents {
public:
	void OnConfig(const JobConfig &) override {}
	void OnWave(const WaveOrder &) override {}
	void OnEvacuatedZones(const EvacuatedZones &) override {}
	void OnReport(const BoxReport &report) override { this->incarnations.insert(report.incarnation.id.Value()); }
	void OnReportRemoved(const BoxId &id) override { this->incarnations.erase(id.Value()); }

	std::set<std::string> incarnations; ///< Their ids.
};

/** Ignores all calls. */
class NullFleetClients : public MachineControl, public WaveReporter, public PoolOwnerClient {
public:
	void List(std::function<void(ResultCode, std::vector<MachineRow>)>) override {}
	void Move(const BoxName &, const ServiceName &, const ControlLease &, Done) override {}
	void Maintain(const BoxName &, uint64_t, const ControlLease &, Done) override {}
	void Publish(uint64_t, bool, std::function<void(bool)>) override {}
	void Ask(const ServiceName &, const PoolRequest &, std::function<void(std::optional<PoolStatus>)>) override {}
};

} // namespace

TEST_CASE("a malformed report is rejected")
{
	REQUIRE(IsAccepted(MakeReport("10.0.0.1:80")));
	CHECK(IsAccepted(ReportWith("state", "draining")));
	CHECK(IsAccepted(ReportWith("remaining-ms", 900)));
	CHECK(IsAccepted(ReportWithout("labels")));
	CHECK(IsAccepted(ReportWith("new-field", true)));
	for (const char *field : {"service", "address", "zone", "state", "machine", "capacity"}) {
		CAPTURE(field);
		CHECK_FALSE(IsAccepted(ReportWithout(field)));
		CHECK_FALSE(IsAccepted(ReportWith(field, QJsonValue())));
		CHECK_FALSE(IsAccepted(ReportWith(field, 7)));
		CHECK_FALSE(IsAccepted(ReportWith(field, true)));
		CHECK_FALSE(IsAccepted(ReportWith(field, QJsonArray{"ready"})));
	}
	CHECK_FALSE(IsAccepted(ReportWith("state", "asleep")));
	CHECK_FALSE(IsAccepted(ReportWith("state", "Ready")));
	CHECK_FALSE(IsAccepted(ReportWith("address", "nowhere")));
	CHECK_FALSE(IsAccepted(ReportWith("remaining-ms", "soon")));
	CHECK_FALSE(IsAccepted(ReportWith("labels", "a")));
	CHECK_FALSE(IsAccepted(ReportWith("labels", QJsonArray{1})));
	CHECK_FALSE(IsAccepted(ReportWith("capacity", QJsonObject{{"cpu", "16000"}, {"mem-mb", 32768}})));
	CHECK_FALSE(IsAccepted(ReportWith("capacity", QJsonObject{{"cpu", -1}, {"mem-mb", 32768}})));
	for (const char *bytes : {"", "null", "[]", "7", "{", "\xff\xfe\x01", "{\"service\":\"calc\""}) {
		CHECK_FALSE(DecodeReport(BoxId("i-1"), bytes).report);
	}
}

TEST_CASE("boxes beside an invalid report are used, and a box whose report was overwritten is used again after its "
		  "next report")
{
	VirtualScheduler clock{Millis(1700000000000)};
	KeyedStore store{12};
	KeyedStoreClient log{clock, clock, store};
	NullEventLog events;
	ReportTracker tracker;
	PlatformFeed feed(clock, log, events);
	feed.Start(tracker);
	feed.WatchBoxes(true);
	const auto write = [&](const char *incarnation, const std::string &bytes) {
		store.Append(REPORT_PARTITION, {KeyedRecord{incarnation, bytes}}, AppendCondition{});
		clock.RunUntil(clock.Now() + Millis(1000));
	};
	/* The first records are there before the first page is read; the others come later. */
	store.Append(REPORT_PARTITION,
				 {KeyedRecord{"x-1", "\xff\xfe"}, KeyedRecord{"i-1", ToBytes(MakeReport("10.0.0.1:80"))}},
				 AppendCondition{});
	write("x-2", "[]");
	write("x-3", ToBytes(ReportWithout("address")));
	write("i-2", ToBytes(MakeReport("10.0.0.2:80")));
	CHECK(tracker.incarnations == std::set<std::string>{"i-1", "i-2"});

	write("i-1", "\xff\xfe");
	CHECK(tracker.incarnations == std::set<std::string>{"i-2"});
	write("i-1", ToBytes(MakeReport("10.0.0.1:80")));
	CHECK(tracker.incarnations == std::set<std::string>{"i-1", "i-2"});
	store.Append(REPORT_PARTITION, {KeyedRecord{"x-1", std::nullopt}}, AppendCondition{});
	write("i-2", ToBytes(ReportWith("state", "asleep")));
	CHECK(tracker.incarnations == std::set<std::string>{"i-1"});
}

TEST_CASE("nothing is placed on a box whose report names another service")
{
	JobWorld world;
	world.clock.RunUntil(Millis(3000));
	WorldNode *owner = world.OwnerOf(ServiceName("calc"));
	REQUIRE(owner != nullptr);
	BoxReport report = owner->host.Find(ServiceName("calc"))->Running()->Boxes().begin()->second.report;
	report.service = ServiceName("unknown");
	world.unlisted.insert(report.box);
	std::ranges::for_each(world.nodes, [&report](const auto &it) { it->host.OnReport(report); });
	const WorldJob &job = world.Plan(Millis(100), "calc", JobWorld::Lasting(4));
	world.clock.RunUntil(Millis(6000));
	/* One task fits on a box, and three boxes still report the service. */
	CHECK(world.site.Running(job.spec.id) == 3);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a malformed record does not hide the records behind it")
{
	std::string bytes("\0\0\0\0", 4);                /* a record without bytes */
	bytes += std::string("\0\0\0\2\x09q", 6);        /* a key longer than the record */
	bytes += EncodeRecords({KeyedRecord{"k", "v"}}); /* valid */
	std::vector<KeyedRecord> records;
	REQUIRE(DecodeRecords(bytes, records));
	/* Malformed records are kept as empty ones, since each record counts as an offset. */
	CHECK(records == std::vector<KeyedRecord>{KeyedRecord{}, KeyedRecord{}, KeyedRecord{"k", "v"}});
	CHECK_FALSE(DecodeRecords(std::string("\0\0\0\5ab", 6), records));
}

TEST_CASE("the fleet owner skips foreign records in its partition")
{
	VirtualScheduler clock{Millis(1700000000000)};
	KeyedStore store{12};
	KeyedStoreClient log{clock, clock, store};
	NullEventLog events;
	NullFleetClients null_clients;
	const PartitionId fleet{"keyed.fleet", 0};
	store.Append(fleet, {KeyedRecord{"hello", "?"}, KeyedRecord{"7x/m0", "1"}, KeyedRecord{"/", "1"}},
				 AppendCondition{});
	FleetOwner owner(FleetOwnerContext{clock, log, null_clients, null_clients, null_clients, events, "a", "a",
									   Millis(3300), "nodes", [] { return true; }});
	owner.Start();
	clock.RunUntil(clock.Now() + Millis(2000));
	CHECK_FALSE(owner.Waiting());
	CHECK(store.Newest(fleet, {}).records.back().key == OWNER_KEY);
}
