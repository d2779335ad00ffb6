/** @file soak_fleet.cpp The boxes of a test with real processes. */
#include "soak_fleet.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace {

constexpr Millis REPORT_INTERVAL(500); ///< Interval of the boxes' reports.

/** Makes what another writer might leave among the reports. @param sound A sound report. @return The odd ones, with ids
 * of their own: nested too deeply, with numbers too large, with ports out of range, and a copy of the sound one. */
std::vector<KeyedRecord> OddReports(const KeyedRecord &sound)
{
	constexpr int DEPTH = 5000;
	const QJsonObject json = QJsonDocument::fromJson(QByteArray::fromStdString(*sound.value)).object();
	const auto with = [&json](const char *name, const QJsonValue &value) {
		QJsonObject out = json;
		out[name] = value;
		return BodyOf(out);
	};
	return {KeyedRecord{"odd-0", std::string(DEPTH, '[')},
			KeyedRecord{"odd-1", with("remaining-ms", 1e300)},
			KeyedRecord{"odd-2", with("capacity", QJsonObject{{"cpu", 9e18}, {"mem-mb", 9e18}})},
			KeyedRecord{"odd-3", with("address", "127.0.0.1:65536")},
			KeyedRecord{"odd-4", with("address", "127.0.0.1:0")},
			KeyedRecord{"odd-5", with("born", 9e15)},
			KeyedRecord{"odd-6", *sound.value}};
}

} // namespace

void SoakFleet::Add(int per_service)
{
	for (const char *service : {"calc", "grid"}) {
		for (int n = 0; n < per_service; n++) {
			this->proxies.push_back(std::make_unique<SoakProxy>(this->scheduler, this->boxes.AgentPort()));
			this->proxies.back()->Start();
			BoxReport report;
			report.box = BoxName(std::string(service) + "-box" + std::to_string(n));
			report.incarnation.id = BoxId(report.box.Value() + "-life0");
			report.service = ServiceName(service);
			report.address = "127.0.0.1:" + std::to_string(this->proxies.back()->serverPort());
			report.zone = ZoneName("z" + std::to_string(n % 2));
			report.capacity = FULL_CAPACITY;
			report.labels = {"a", "rack" + std::to_string(n / 2)};
			this->boxes.site.Add(report);
		}
	}
}

void SoakFleet::Publish()
{
	const PartitionId topic{"keyed.servers", 0};
	std::vector<KeyedRecord> records;
	std::set<std::string> now;
	for (const BoxReport &it : this->boxes.site.Reports()) {
		QJsonArray labels;
		for (const std::string &label : it.labels) {
			labels.append(QString::fromStdString(label));
		}
		const QJsonObject json{{"machine", QString::fromStdString(it.box.Value())},
							   {"service", QString::fromStdString(it.service.Value())},
							   {"address", QString::fromStdString(it.address)},
							   {"zone", QString::fromStdString(it.zone.Value())},
							   {"capacity", QJsonObject{{"cpu", static_cast<qint64>(it.capacity.cpu)},
														{"mem-mb", static_cast<qint64>(it.capacity.memory)}}},
							   {"labels", labels},
							   {"born", static_cast<qint64>(it.incarnation.started.Value())},
							   {"state", "ready"}};
		records.push_back(KeyedRecord{it.incarnation.id.Value(), BodyOf(json)});
		now.insert(it.incarnation.id.Value());
	}
	for (KeyedRecord &odd : OddReports(records.front())) {
		now.insert(odd.key);
		records.push_back(std::move(odd));
	}
	for (const KeyedRecord &old : this->store.store.Newest(topic, {}).records) {
		if (!now.contains(old.key)) {
			records.push_back(KeyedRecord{old.key, std::nullopt});
		}
	}
	this->store.store.Append(topic, records, AppendCondition{});
	this->scheduler.After(REPORT_INTERVAL, [this] { this->Publish(); });
}
