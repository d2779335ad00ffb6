/** @file test_other_writer.cpp Records that somebody else has written where boxes report or where owners record: they
 * name no box, and hide nothing that stands beside them. */
#include "../platform/platform_feed.h"
#include "../platform/record_frame.h"
#include "job_world.h"
#include "upkeep/fleet_owner.h"

#include <doctest/doctest.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace {

const PartitionId REPORTS{"keyed.servers", 0}; ///< Where boxes report.

/** @return What a box writes. @param address Where it answers. */
QJsonObject ReportAt(const char *address)
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

std::string Written(const QJsonObject &json)
{
	return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

/** @return Whether a report names a box. @param json It. */
bool NamesBox(const QJsonObject &json)
{
	return DecodeReport(BoxId("i-1"), Written(json)).has_value();
}

/** @return A report with one field of another value. @param name The field. @param value The value. */
QJsonObject With(const char *name, const QJsonValue &value)
{
	QJsonObject out = ReportAt("10.0.0.1:80");
	out[name] = value;
	return out;
}

/** @return A report that lacks a field. @param name The field. */
QJsonObject Without(const char *name)
{
	QJsonObject out = ReportAt("10.0.0.1:80");
	out.remove(name);
	return out;
}

/** Keeps the lives whose report stands. */
class StandingReports : public SiteFeedEvents {
public:
	void OnConfig(const JobConfig &) override {}
	void OnWave(const WaveOrder &) override {}
	void OnReport(const BoxReport &report) override { this->lives.insert(report.incarnation.id.Value()); }
	void OnReportRemoved(const BoxId &id) override { this->lives.erase(id.Value()); }

	std::set<std::string> lives; ///< Them.
};

/** Takes orders and does nothing. */
class IdleMachines : public MachineControl, public WaveReporter, public PoolOwnerClient {
public:
	void List(std::function<void(ResultCode, std::vector<MachineRow>)>) override {}
	void Move(const BoxName &, const ServiceName &, const ControlLease &, Done) override {}
	void Maintain(const BoxName &, uint64_t, const ControlLease &, Done) override {}
	void Publish(uint64_t, bool, std::function<void(bool)>) override {}
	void Ask(const ServiceName &, const PoolRequest &, std::function<void(std::optional<PoolStatus>)>) override {}
};

} // namespace

TEST_CASE("a report that no box has written names no box")
{
	REQUIRE(NamesBox(ReportAt("10.0.0.1:80")));
	CHECK(NamesBox(With("state", "draining")));
	CHECK(NamesBox(With("remaining-ms", 900)));
	CHECK(NamesBox(Without("labels")));
	CHECK(NamesBox(With("new-field", true)));
	for (const char *field : {"service", "address", "zone", "state", "machine", "capacity"}) {
		CAPTURE(field);
		CHECK_FALSE(NamesBox(Without(field)));
		CHECK_FALSE(NamesBox(With(field, QJsonValue())));
		CHECK_FALSE(NamesBox(With(field, 7)));
		CHECK_FALSE(NamesBox(With(field, true)));
		CHECK_FALSE(NamesBox(With(field, QJsonArray{"ready"})));
	}
	CHECK_FALSE(NamesBox(With("state", "asleep")));
	CHECK_FALSE(NamesBox(With("state", "Ready")));
	CHECK_FALSE(NamesBox(With("address", "nowhere")));
	CHECK_FALSE(NamesBox(With("remaining-ms", "soon")));
	CHECK_FALSE(NamesBox(With("labels", "a")));
	CHECK_FALSE(NamesBox(With("labels", QJsonArray{1})));
	CHECK_FALSE(NamesBox(With("capacity", QJsonObject{{"cpu", "16000"}, {"mem-mb", 32768}})));
	CHECK_FALSE(NamesBox(With("capacity", QJsonObject{{"cpu", -1}, {"mem-mb", 32768}})));
	for (const char *bytes : {"", "null", "[]", "7", "{", "\xff\xfe\x01", "{\"service\":\"calc\""}) {
		CHECK_FALSE(DecodeReport(BoxId("i-1"), bytes));
	}
}

TEST_CASE(
		"boxes beside a bad report are used, and a box whose report was overwritten is used again once it has reported")
{
	VirtualScheduler clock{Millis(1700000000000)};
	KeyedStore store{12};
	KeyedStoreClient log{clock, clock, store};
	NullEventLog events;
	StandingReports seen;
	PlatformFeed feed(clock, log, events);
	feed.Start(seen);
	feed.WatchBoxes(true);
	const auto write = [&](const char *incarnation, const std::string &bytes) {
		store.Append(REPORTS, {KeyedRecord{incarnation, bytes}}, AppendCondition{});
		clock.RunUntil(clock.Now() + Millis(1000));
	};
	/* Before the first page, and behind it. */
	store.Append(REPORTS, {KeyedRecord{"x-1", "\xff\xfe"}, KeyedRecord{"i-1", Written(ReportAt("10.0.0.1:80"))}},
				 AppendCondition{});
	write("x-2", "[]");
	write("x-3", Written(Without("address")));
	write("i-2", Written(ReportAt("10.0.0.2:80")));
	CHECK(seen.lives == std::set<std::string>{"i-1", "i-2"});

	write("i-1", "\xff\xfe");
	CHECK(seen.lives == std::set<std::string>{"i-2"});
	write("i-1", Written(ReportAt("10.0.0.1:80")));
	CHECK(seen.lives == std::set<std::string>{"i-1", "i-2"});
	store.Append(REPORTS, {KeyedRecord{"x-1", std::nullopt}}, AppendCondition{});
	write("i-2", Written(With("state", "asleep")));
	CHECK(seen.lives == std::set<std::string>{"i-1"});
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
	/* One a box, and three boxes are left. */
	CHECK(world.site.Running(job.spec.id) == 3);
	CHECK(world.site.violations == std::vector<std::string>{});
}

TEST_CASE("a record without a key hides none of those behind it")
{
	std::string bytes("\0\0\0\0", 4);                /* no bytes */
	bytes += std::string("\0\0\0\2\x09q", 6);        /* a key longer than the record */
	bytes += EncodeRecords({KeyedRecord{"k", "v"}}); /* whole */
	std::vector<KeyedRecord> records;
	REQUIRE(DecodeRecords(bytes, records));
	/* Each counts as an offset. */
	CHECK(records == std::vector<KeyedRecord>{KeyedRecord{}, KeyedRecord{}, KeyedRecord{"k", "v"}});
	CHECK_FALSE(DecodeRecords(std::string("\0\0\0\5ab", 6), records));
}

TEST_CASE("a holder of the fleet passes over records of it that nobody here has written")
{
	VirtualScheduler clock{Millis(1700000000000)};
	KeyedStore store{12};
	KeyedStoreClient log{clock, clock, store};
	NullEventLog events;
	IdleMachines idle;
	const PartitionId fleet{"keyed.fleet", 0};
	store.Append(fleet, {KeyedRecord{"hello", "?"}, KeyedRecord{"7x/m0", "1"}, KeyedRecord{"/", "1"}},
				 AppendCondition{});
	FleetOwner owner(FleetOwnerContext{clock, log, idle, idle, idle, events, "a", "a", Millis(3300), "nodes",
									   [] { return true; }});
	owner.Start();
	clock.RunUntil(clock.Now() + Millis(2000));
	CHECK_FALSE(owner.Waiting());
	CHECK(store.Newest(fleet, {}).records.back().key == OWNER_KEY);
}
