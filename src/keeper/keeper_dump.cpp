/** @file keeper_dump.cpp State of a keeper as JSON, complete or by topic. */
#include "keeper_dump.h"

#include "../fleet/budget_func.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <array>
#include <functional>

namespace {

constexpr std::array _state_names = {"serving", "draining", "empty", "rebooting", "verifying", "set_aside"};
constexpr std::array _health_names = {"unknown", "up", "down", "leaving"};
constexpr std::array _purpose_names = {"", "maintain", "move"};
constexpr std::array _class_names = {"urgent", "normal", "batch"};
constexpr std::array _job_state_names = {"waiting", "placed", "done", "unknown", "parked", "cancelled"};
constexpr std::array _role_names = {"entry", "keeper"};
constexpr std::array _phase_names = {"joining", "following", "halted"};

template <size_t N, class Enum>
QString NameOfValue(const std::array<const char *, N> &names, Enum value)
{
	return names.at(static_cast<size_t>(value));
}

QString Text(const std::string &text)
{
	return QString::fromStdString(text);
}

QJsonValue Number(uint64_t n)
{
	return static_cast<qint64>(n);
}

QJsonObject BoxRow(const Box &box)
{
	QJsonObject row;
	row["box"] = Text(box.name.Value());
	row["pool"] = Text(box.pool.Value());
	row["zone"] = Text(box.zone.Value());
	row["rack"] = Text(box.rack.Value());
	row["slots"] = Number(box.slots.Value());
	row["state"] = NameOfValue(_state_names, box.state);
	row["health"] = NameOfValue(_health_names, box.health);
	row["epoch"] = Number(box.epoch.Value());
	row["permit"] = Number(box.permit.Value());
	row["purpose"] = NameOfValue(_purpose_names, box.purpose);
	row["move_to"] = Text(box.move_to.Value());
	row["maintained_ms"] = Number(static_cast<uint64_t>(box.last_maintained.Value()));
	row["strikes"] = Number(box.strikes);
	return row;
}

QJsonArray Boxes(const KeeperCore &core)
{
	QJsonArray rows;
	for (const auto &[name, box] : core.State().boxes) {
		rows.append(BoxRow(box));
	}
	return rows;
}

QJsonArray Pools(const KeeperCore &core)
{
	QJsonArray rows;
	for (const auto &[name, pool] : PoolModelsOf(core.State())) {
		const PoolCapacity capacity = CapacityOf(pool);
		const PoolFloors floors = FloorsOf(pool);
		QJsonObject row;
		row["pool"] = Text(name.Value());
		row["boxes"] = Number(pool.boxes.size());
		row["slots_up"] = Number(capacity.up);
		row["floors"] = Number(floors.All());
		row["headroom"] = Number(HeadroomOf(capacity, floors));
		row["floors_hold"] = FloorsHold(capacity, floors, false);
		row["guards_hold"] = FloorsHold(capacity, floors, true);
		rows.append(row);
	}
	return rows;
}

/** @return Rows of all boxes that are not in service, for any reason. */
QJsonArray Waves(const KeeperCore &core)
{
	QJsonArray rows;
	for (const auto &[name, box] : core.State().boxes) {
		if (box.state != BoxState::BS_SERVING) {
			rows.append(BoxRow(box));
		}
	}
	return rows;
}

/** @return For each box, whether it may be taken down now, and why not. */
QJsonArray Budgets(const KeeperCore &core)
{
	QJsonArray rows;
	for (const auto &[name, pool] : PoolModelsOf(core.State())) {
		for (const Box &box : pool.boxes) {
			const Result result = TakesWork(box) ? CheckBudget(pool, box, false) : Result();
			QJsonObject row;
			row["box"] = Text(box.name.Value());
			row["pool"] = Text(name.Value());
			row["may_go_down"] = result.Ok();
			row["why_not"] = result.Ok() ? QString() : Text(result.Text());
			rows.append(row);
		}
	}
	return rows;
}

QJsonArray Jobs(const KeeperCore &core)
{
	QJsonArray rows;
	for (const auto &[name, job] : core.State().jobs) {
		QJsonObject row;
		row["job"] = Text(name.Value());
		row["team"] = Text(job.team.Value());
		row["class"] = NameOfValue(_class_names, job.work_class);
		row["state"] = NameOfValue(_job_state_names, job.state);
		row["box"] = Text(job.box.Value());
		row["attempt"] = Number(job.attempt);
		row["units"] = Number(job.units);
		row["failed_on"] = Number(job.failed_on.size());
		rows.append(row);
	}
	return rows;
}

QJsonArray Members(const KeeperCore &core)
{
	QJsonArray rows;
	for (const auto &[name, member] : core.State().members) {
		QJsonObject row;
		row["member"] = Text(name.Value());
		row["role"] = NameOfValue(_role_names, member.role);
		row["region"] = Text(member.region.Value());
		row["zone"] = Text(member.zone.Value());
		row["address"] = Text(member.address);
		row["rules"] = Number(member.rules);
		row["witnesses"] = Number(member.witnesses.size());
		rows.append(row);
	}
	return rows;
}

QJsonArray History(const OperatorHandler &operators)
{
	QJsonArray rows;
	for (const Decision &it : operators.RecentDecisions()) {
		QJsonObject row;
		row["offset"] = Number(it.offset.Value());
		row["id"] = Text(it.id.Text());
		row["result"] = Text(it.result.Text());
		rows.append(row);
	}
	return rows;
}

QJsonArray Services(const KeeperCore &core)
{
	QJsonArray rows;
	for (const auto &[name, it] : core.State().rows) {
		QJsonObject row;
		row["service"] = Text(name.Value());
		row["pool"] = Text(it.pool.Value());
		row["weight"] = Number(it.weight);
		row["floor"] = Number(it.floor.Value());
		row["ceiling"] = Number(it.ceiling.Value());
		row["class"] = NameOfValue(_class_names, it.work_class);
		rows.append(row);
	}
	return rows;
}

/** Explains a box (its row, its budget and the offset of the record that granted its permit) or a service (each cell
 * with the offset of the publication that set it). */
QJsonArray Explain(const KeeperCore &core, const std::string &name)
{
	QJsonArray rows;
	if (const auto box = core.State().boxes.find(BoxName(name)); box != core.State().boxes.end()) {
		QJsonObject row = BoxRow(box->second);
		constexpr uint64_t PERMIT_IDS_PER_RECORD = 65536;
		const uint64_t permit = box->second.permit.Value();
		row["granted_by_offset"] = Number(permit / PERMIT_IDS_PER_RECORD);
		row["state_since_ms"] = Number(static_cast<uint64_t>(box->second.since.Value()));
		const Result budget = CheckBudget(PoolModelOf(core.State(), box->second.pool), box->second, false);
		row["may_go_down"] = budget.Ok() ? QString("yes") : Text(budget.Text());
		rows.append(row);
	}
	for (const auto &[key, cell] : core.State().cells) {
		if (key.service.Value() == name) {
			QJsonObject row;
			row["service"] = Text(name);
			row["column"] = Text(key.column);
			row["value"] = Text(cell.value);
			row["decided_by_offset"] = Number(cell.version.Value());
			rows.append(row);
		}
	}
	return rows;
}

QString HexOf(uint64_t n)
{
	return QString("%1").arg(static_cast<qulonglong>(n), 16, 16, QChar('0'));
}

} // namespace

std::string DumpTopic(const KeeperCore &core, const OperatorHandler &operators, const std::string &topic,
					  const std::string &name)
{
	const std::map<std::string, std::function<QJsonArray()>> topics = {
			{"boxes", [&] { return Boxes(core); }},
			{"pools", [&] { return Pools(core); }},
			{"waves", [&] { return Waves(core); }},
			{"budgets", [&] { return Budgets(core); }},
			{"jobs", [&] { return Jobs(core); }},
			{"members", [&] { return Members(core); }},
			{"history", [&] { return History(operators); }},
			{"services", [&] { return Services(core); }},
			{"explain", [&] { return Explain(core, name); }},
	};
	const auto it = topics.find(topic);
	const QJsonArray rows = it == topics.end() ? QJsonArray() : it->second();
	return QJsonDocument(rows).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject DumpKeeper(const KeeperCore &core, const KeeperCounters &counters, size_t entries, bool plans)
{
	const FleetState &fleet = core.State();
	QJsonObject dump;
	dump["name"] = Text(core.self.name.Value());
	dump["zone"] = Text(core.self.zone.Value());
	dump["region"] = Text(core.self.region.Value());
	dump["offset"] = Number(fleet.offset.Value());
	dump["hash"] = HexOf(fleet.Hash());
	dump["table_version"] = Number(fleet.table_version.Value());
	dump["rule_version"] = Number(fleet.rule_version);
	dump["phase"] = NameOfValue(_phase_names, core.tail.Phase());
	dump["caught_up"] = core.tail.CaughtUp();
	dump["snapshot_base"] = Number(core.tail.SnapshotBase().Value());
	dump["plans"] = plans;
	dump["entries_connected"] = Number(entries);
	dump["pools"] = Pools(core);
	dump["boxes"] = Boxes(core);
	dump["members"] = Members(core);
	dump["jobs"] = Number(fleet.jobs.size());
	dump["writer_backlog"] = Number(core.writer.Backlog());
	QJsonObject numbers;
	numbers["accepted"] = Number(counters.accepted);
	numbers["rejected"] = Number(counters.rejected);
	numbers["plans"] = Number(counters.plans);
	numbers["plan_us"] = Number(counters.plan_us);
	numbers["terms"] = Number(counters.terms);
	numbers["snapshots"] = Number(counters.snapshots);
	numbers["reboots"] = Number(counters.reboots);
	numbers["views"] = Number(counters.views);
	numbers["frame_bytes"] = Number(counters.frame_bytes);
	numbers["leases"] = Number(counters.leases);
	numbers["leases_refused"] = Number(counters.leases_refused);
	numbers["appends"] = Number(core.writer.Counters().appends);
	numbers["append_bytes"] = Number(core.writer.Counters().bytes);
	numbers["append_repeats"] = Number(core.writer.Counters().repeats);
	dump["counters"] = numbers;
	return dump;
}
