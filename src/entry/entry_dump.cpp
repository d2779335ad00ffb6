/** @file entry_dump.cpp State of an entry as JSON. */
#include "entry_dump.h"

#include <QJsonArray>

namespace {

QString Text(const std::string &text)
{
	return QString::fromStdString(text);
}

QJsonValue Number(uint64_t n)
{
	return static_cast<qint64>(n);
}

QJsonArray DumpGates(const RequestPath &path, Millis now)
{
	QJsonArray gates;
	for (const auto &[pool, gate] : path.routes.Gates()) {
		QJsonArray endpoints;
		for (const EndpointStatus &it : gate->Endpoints(now)) {
			QJsonObject row;
			row["box"] = Text(it.endpoint.box.Value());
			row["open"] = it.endpoint.open;
			row["share"] = Number(it.endpoint.share);
			row["in_flight"] = Number(it.in_flight);
			row["lent"] = Number(it.lent);
			row["borrowed"] = Number(it.borrowed);
			row["typical_ms"] = Number(static_cast<uint64_t>(it.typical.Value()));
			row["ejected"] = it.ejected;
			endpoints.append(row);
		}
		const GateCounters counters = gate->Counters();
		QJsonObject row;
		row["pool"] = Text(pool.Value());
		row["waiting"] = Number(gate->Waiting());
		row["granted"] = Number(counters.granted);
		row["refused_full"] = Number(counters.queue_full);
		row["refused_late"] = Number(counters.cannot_be_on_time);
		row["refused_nowhere"] = Number(counters.no_endpoint);
		row["ejections"] = Number(counters.ejections);
		row["endpoints"] = endpoints;
		gates.append(row);
	}
	return gates;
}

QJsonArray DumpLatencies(const RequestPath &path)
{
	QJsonArray rows;
	for (const auto &[service, it] : path.Latencies()) {
		QJsonObject row;
		row["service"] = Text(service.Value());
		row["count"] = Number(it.count);
		row["mean_ms"] = it.mean;
		row["p50_ms"] = it.p50;
		row["p99_ms"] = it.p99;
		row["max_ms"] = it.max;
		rows.append(row);
	}
	return rows;
}

QJsonObject DumpCounters(const RequestCounters &counters)
{
	QJsonObject row;
	row["received"] = Number(counters.received);
	row["answered"] = Number(counters.answered);
	row["refused_not_run"] = Number(counters.refused);
	row["unknown"] = Number(counters.unknown);
	row["retries"] = Number(counters.retries);
	row["forwarded"] = Number(counters.forwarded);
	row["replayed"] = Number(counters.replayed);
	row["broken"] = Number(counters.broken);
	row["callers_left"] = Number(counters.callers_left);
	row["under_way"] = static_cast<qint64>(counters.open);
	return row;
}

} // namespace

QJsonObject DumpEntry(const RequestPath &path, Millis now)
{
	QJsonObject dump;
	dump["name"] = Text(path.self.name.Value());
	dump["zone"] = Text(path.self.zone.Value());
	dump["view_version"] = Number(path.routes.Version().first);
	dump["view_offset"] = Number(path.routes.Offset().Value());
	dump["lease_holds"] = path.routes.LeaseHolds(now);
	dump["keys"] = Number(path.keys.Size());
	dump["gates"] = DumpGates(path, now);
	dump["latencies"] = DumpLatencies(path);
	dump["counters"] = DumpCounters(path.counters);
	return dump;
}
