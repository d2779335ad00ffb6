/** @file metrics_page.cpp Metrics of a node in text form, and its state dump. */
#include "metrics_page.h"

#include <QJsonArray>

#include <algorithm>
#include <array>
#include <ranges>

namespace {

/** A shard counter and its name. */
struct CounterRow {
	const char *name;                ///< Name in the metrics and in the dump.
	uint64_t ShardCounters::*member; ///< The counter.
};

constexpr std::array COUNTERS = {
		CounterRow{"starts", &ShardCounters::starts},
		CounterRow{"stops", &ShardCounters::stops},
		CounterRow{"looks", &ShardCounters::looks},
		CounterRow{"runs_done", &ShardCounters::done},
		CounterRow{"runs_failed", &ShardCounters::failed},
		CounterRow{"runs_lapsed", &ShardCounters::lapsed},
		CounterRow{"runs_crashed", &ShardCounters::crashed},
		CounterRow{"boxes_restarted", &ShardCounters::restarted},
		CounterRow{"runs_inherited", &ShardCounters::inherited},
		CounterRow{"jobs_given_up", &ShardCounters::given_up},
		CounterRow{"starts_refused", &ShardCounters::refused},
		CounterRow{"starts_unknown", &ShardCounters::unknown},
		CounterRow{"records_refused", &ShardCounters::records_refused},
		CounterRow{"runs_gave_way", &ShardCounters::gave_way},
		CounterRow{"lost_core_ms", &ShardCounters::lost_core_ms},
		CounterRow{"rounds", &ShardCounters::rounds},
		CounterRow{"boxes_walked", &ShardCounters::boxes_walked},
		CounterRow{"tasks_walked", &ShardCounters::tasks_walked},
};

/** A counter of handovers and its name. */
struct HandoverRow {
	const char *name;                   ///< Name in the metrics and in the dump.
	uint64_t HandoverCounters::*member; ///< The counter.
};

constexpr std::array HANDOVER_COUNTERS = {
		HandoverRow{"handover_rounds", &HandoverCounters::rounds},
		HandoverRow{"handovers_without_room", &HandoverCounters::no_room},
		HandoverRow{"handovers_offered", &HandoverCounters::offered},
		HandoverRow{"handovers_declined", &HandoverCounters::declined},
		HandoverRow{"handovers_released", &HandoverCounters::released},
		HandoverRow{"handovers_accepted", &HandoverCounters::accepted},
		HandoverRow{"handovers_refused", &HandoverCounters::refused},
		HandoverRow{"handovers_completed", &HandoverCounters::completed},
		HandoverRow{"handovers_lapsed", &HandoverCounters::lapsed},
};

constexpr size_t ACCOUNTS_SHOWN = 20; ///< Accounts shown per service: those with the largest use.

QJsonArray DumpAccounts(const AccountBook &book)
{
	QJsonArray out;
	for (const AccountBook::NamedUse &it : book.Largest(ACCOUNTS_SHOWN)) {
		out.push_back(QJsonObject{{"account", QString::fromStdString(it.account.Value())},
								  {"used_cpu", static_cast<qint64>(it.use.used.cpu)},
								  {"used_memory", static_cast<qint64>(it.use.used.memory)},
								  {"maximum_cpu", static_cast<qint64>(it.use.maximum.cpu)},
								  {"maximum_memory", static_cast<qint64>(it.use.maximum.memory)},
								  {"lent", static_cast<qint64>(it.use.lent)},
								  {"over", it.use.over},
								  {"settles_by", static_cast<qint64>(it.use.version)}});
	}
	return out;
}

int64_t LiveJobs(const Shard &shard)
{
	return std::ranges::count_if(shard.Jobs() | std::views::values, [](const ShardJob &it) { return !it.Over(); });
}

/** @return Number of lasting tasks of a shard without a run, by reason. */
int64_t CountWaits(const Shard &shard, WaitReason reason)
{
	return std::ranges::count(shard.LastingWaits() | std::views::values, reason, &LastingWait::reason);
}

QJsonObject DumpWaits(const Shard &shard)
{
	QJsonObject out;
	for (const WaitReason it : WAIT_REASONS) {
		out[NameOf(it)] = static_cast<qint64>(CountWaits(shard, it));
	}
	return out;
}

} // namespace

QJsonObject DumpNode(const NodeCore &core)
{
	QJsonObject out{{"config", static_cast<qint64>(core.Api().Config().version)},
					{"ready", core.Ready()},
					{"appends_open", static_cast<qint64>(core.Api().InProgress())}};
	out["config_questions"] = static_cast<qint64>(core.Configs().RequestsSent());
	out["config_peers"] = static_cast<qint64>(core.Configs().KnownPeers());
	out["configs_from_nodes"] = static_cast<qint64>(core.Configs().ConfigsAdopted());
	out["busy_percent"] = static_cast<qint64>(core.Handovers().BusyPercent());
	out["overloaded"] = core.Handovers().Overloaded();
	for (const HandoverRow &it : HANDOVER_COUNTERS) {
		out[it.name] = static_cast<qint64>(core.Handovers().Counters().*it.member);
	}
	out["drains_begun"] = static_cast<qint64>(core.Drains().begun);
	out["drains_ended"] = static_cast<qint64>(core.Drains().ended);
	out["drains_cancelled"] = static_cast<qint64>(core.Drains().cancelled);
	QJsonArray zones;
	for (const ZoneName &it : core.Evacuated().zones) {
		zones.push_back(QString::fromStdString(it.Value()));
	}
	out["evacuated_zones"] = zones;
	out["evacuations_as_of"] = static_cast<qint64>(core.Evacuated().as_of);
	QJsonArray shards;
	for (const auto &[service, owner] : core.OwnedShards().Owners()) {
		QJsonObject row{{"service", QString::fromStdString(service.Value())}, {"running", owner->Running() != nullptr}};
		if (const Shard *shard = owner->Running(); shard != nullptr) {
			row["jobs"] = static_cast<qint64>(shard->Jobs().size());
			row["live"] = static_cast<qint64>(LiveJobs(*shard));
			row["boxes"] = static_cast<qint64>(shard->Boxes().size());
			row["boxes_evacuated"] = static_cast<qint64>(shard->CountBoxes().evacuated);
			row["tasks_evacuated"] = static_cast<qint64>(shard->CountBoxes().evacuated_tasks);
			row["accounts"] = DumpAccounts(shard->Accounts());
			row["version_of_all"] = static_cast<qint64>(shard->Accounts().MinAppliedVersion());
			row["lasting_waiting"] = DumpWaits(*shard);
			row["journal_detours"] = static_cast<qint64>(shard->Detours());
			for (const CounterRow &counter : COUNTERS) {
				row[counter.name] = static_cast<qint64>(shard->Counters().*counter.member);
			}
		}
		shards.push_back(row);
	}
	out["shards"] = shards;
	return out;
}

namespace {

/** @return Counts of a listener, one a line. @param connections Its connections. */
std::string ListenerText(const CallerConnections &connections)
{
	const std::string listener = "{listener=\"" + connections.Name() + "\"";
	const CallerCounters &counters = connections.Counters();
	std::string text = "glade_caller_connections" + listener + "} " + std::to_string(connections.Open()) + "\n";
	text += "glade_callers_accepted" + listener + "} " + std::to_string(counters.accepted) + "\n";
	text += "glade_callers_served" + listener + "} " + std::to_string(counters.served) + "\n";
	for (size_t n = 0; n < CALLER_REFUSALS; n++) {
		text += "glade_callers_refused" + listener + ",reason=\"" + NameOf(static_cast<CallerRefusal>(n)) + "\"} " +
				std::to_string(counters.refusals[n]) + "\n";
	}
	return text;
}

} // namespace

std::shared_ptr<ServedRequest> MetricsPage::Serve(CallerSink &sink, CallerRequest)
{
	std::string text = "glade_config_version " + std::to_string(this->core.Api().Config().version) + "\nglade_ready " +
					   (this->core.Ready() ? "1" : "0") + "\nglade_config_questions " +
					   std::to_string(this->core.Configs().RequestsSent()) + "\nglade_configs_from_nodes " +
					   std::to_string(this->core.Configs().ConfigsAdopted()) + "\nglade_evacuated_zones " +
					   std::to_string(this->core.Evacuated().zones.size()) + "\n";
	const LatencyMeter::Summary ages = this->config_use.Ages();
	text += "glade_config_age_ms{quantile=\"0.5\"} " + std::to_string(ages.p50) + "\n";
	text += "glade_config_age_ms{quantile=\"0.99\"} " + std::to_string(ages.p99) + "\n";
	text += "glade_config_peers " + std::to_string(this->core.Configs().KnownPeers()) + "\n";
	text += "glade_config_age_ms_max " + std::to_string(ages.max) + "\n";
	text += "glade_requests_without_route " + std::to_string(this->config_use.RoutesNotFound()) + "\n";
	text += "glade_busy_percent " + std::to_string(this->core.Handovers().BusyPercent()) + "\n";
	for (const HandoverRow &it : HANDOVER_COUNTERS) {
		text += std::string("glade_") + it.name + " " + std::to_string(this->core.Handovers().Counters().*it.member) +
				"\n";
	}
	std::ranges::for_each(this->listeners, [&text](const CallerConnections *it) { text += ListenerText(*it); });
	const DrainCounters drains = this->core.Drains();
	text += "glade_drains_begun " + std::to_string(drains.begun) + "\nglade_drains_ended " +
			std::to_string(drains.ended) + "\nglade_drains_cancelled " + std::to_string(drains.cancelled) + "\n";
	for (const auto &[service, owner] : this->core.OwnedShards().Owners()) {
		const Shard *shard = owner->Running();
		const std::string label = "{service=\"" + service.Value() + "\"} ";
		text += "glade_shard_running" + label + (shard == nullptr ? "0" : "1") + "\n";
		if (shard == nullptr) {
			continue;
		}
		text += "glade_jobs_live" + label + std::to_string(LiveJobs(*shard)) + "\n";
		text += "glade_tasks_evacuated" + label + std::to_string(shard->CountBoxes().evacuated_tasks) + "\n";
		for (const WaitReason it : WAIT_REASONS) {
			text += "glade_lasting_waiting{service=\"" + service.Value() + "\",reason=\"" + NameOf(it) + "\"} " +
					std::to_string(CountWaits(*shard, it)) + "\n";
		}
		text += "glade_journal_detours" + label + std::to_string(shard->Detours()) + "\n";
		for (const AccountBook::NamedUse &it : shard->Accounts().Largest(ACCOUNTS_SHOWN)) {
			text += "glade_account_used_cpu{service=\"" + service.Value() + "\",account=\"" + it.account.Value() +
					"\"} " + std::to_string(it.use.used.cpu) + "\n";
		}
		for (const CounterRow &counter : COUNTERS) {
			text += std::string("glade_") + counter.name + label + std::to_string(shard->Counters().*counter.member) +
					"\n";
		}
	}
	ResponseHead head;
	head.headers.Add("Content-Type", "text/plain");
	head.length = text.size();
	sink.Begin(head);
	sink.Body(text);
	sink.End();
	return nullptr;
}
