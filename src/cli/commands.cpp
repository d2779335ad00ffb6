/** @file commands.cpp The commands of `glade`. */
#include "commands.h"

#include "../fleet/fleet_func.h"
#include "../fleet/table_func.h"
#include "keeper_call.h"
#include "table_text.h"

#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace glade::wire;

namespace {

/** Executes one command. */
class Command {
public:
	explicit Command(const ParsedArguments &args) : args(args) {}

	ExitCode Run()
	{
		std::istringstream in(this->Text("--keeper"));
		std::string part;
		while (std::getline(in, part, ',')) {
			const std::optional<NetAddress> address = ParseAddress(part);
			if (!address) {
				return this->Usage("--keeper: expected IP:port, found '" + part + "'");
			}
			this->keepers.push_back(*address);
		}
		if (this->IsSet("table")) {
			return this->RunTable();
		}
		if (this->IsSet("dump")) {
			return this->RunDump();
		}
		if (this->IsSet("ask")) {
			AskOutcomeT ask;
			ask.id = this->Text("ID");
			return this->CallForOutcome(MakeMessage(std::move(ask)));
		}
		if (this->IsSet("job") || this->IsSet("quota") || this->IsSet("box")) {
			return this->RunChange();
		}
		return this->RunTopic();
	}

private:
	const ParsedArguments &args;     ///< The parsed command line.
	std::vector<NetAddress> keepers; ///< Addresses of the keepers, in order of preference.

	[[nodiscard]] bool IsSet(const char *word) const
	{
		const auto it = this->args.find(word);
		return it != this->args.end() && it->second.isBool() && it->second.asBool();
	}

	[[nodiscard]] std::string Text(const char *name) const
	{
		const docopt::value &value = this->args.at(name);
		return value.isString() ? value.asString() : "";
	}

	[[nodiscard]] std::optional<uint64_t> Number(const char *name) const
	{
		bool ok = false;
		const uint64_t n = QString::fromStdString(this->Text(name)).toULongLong(&ok);
		return ok ? std::optional(n) : std::nullopt;
	}

	ExitCode Usage(const std::string &what) const
	{
		std::cerr << Result{ResultCode::RC_USAGE, what}.Text() << '\n';
		return ExitCode::EC_USAGE;
	}

	static ExitCode Fail(const Result &result)
	{
		std::cerr << result.Text() << '\n';
		return ExitCode::EC_FAILED;
	}

	std::unique_ptr<MessageUnion> Call(const MessageUnion &query) const
	{
		const Millis timeout(static_cast<int64_t>(this->Number("--wait").value_or(8)) * MS_PER_SECOND);
		auto response = CallKeeper(this->keepers, query, timeout);
		if (!response) {
			std::cerr << Result{ResultCode::RC_PEER_UNAVAILABLE, "no keeper answered"}.Text() << '\n';
		}
		return response;
	}

	ExitCode CallForOutcome(const MessageUnion &query) const
	{
		const auto response = this->Call(query);
		if (!response) {
			return ExitCode::EC_ADDRESS;
		}
		const auto *outcome = response->AsOutcome();
		if (outcome == nullptr) {
			return Fail({ResultCode::RC_MALFORMED, "unexpected type of response"});
		}
		return this->ShowOutcome(*outcome);
	}

	ExitCode ShowOutcome(const OutcomeT &outcome) const
	{
		const Result result{static_cast<ResultCode>(outcome.code), outcome.message};
		if (this->IsSet("--json")) {
			QJsonObject json;
			json["id"] = QString::fromStdString(outcome.id);
			json["code"] = static_cast<int>(outcome.code);
			json["offset"] = static_cast<qint64>(outcome.offset);
			json["message"] = QString::fromStdString(result.Text());
			std::cout << QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString() << '\n';
		} else if (result.Ok()) {
			std::cout << "accepted at offset " << outcome.offset << (outcome.id.empty() ? "" : ", id " + outcome.id)
					  << '\n';
		} else if (result.code == ResultCode::RC_OUTCOME_UNKNOWN) {
			std::cout << "unknown: ask again with `glade ask " << outcome.id << "`\n";
		} else {
			std::cout << "rejected: " << result.Text() << '\n';
		}
		if (result.code == ResultCode::RC_OUTCOME_UNKNOWN) {
			return ExitCode::EC_UNKNOWN;
		}
		return result.Ok() ? ExitCode::EC_OK : ExitCode::EC_FAILED;
	}

	ExitCode RunTable()
	{
		if (this->IsSet("history")) {
			return this->RunTopic();
		}
		const auto response = this->Call(MakeMessage(TableRequestT()));
		if (!response || response->AsTableReply() == nullptr) {
			return ExitCode::EC_ADDRESS;
		}
		std::map<CellKey, Cell> cells;
		for (const auto &cell : response->AsTableReply()->cells) {
			cells[CellKey{ServiceName(cell->service), cell->column}] = Cell{cell->value, TableVersion()};
		}
		const TableVersion version(response->AsTableReply()->version);
		if (this->IsSet("show")) {
			std::cout << "# version " << version.Value() << '\n' << WriteTableCsv(cells);
			return ExitCode::EC_OK;
		}
		std::string text;
		if (!ReadTextFile(this->Text("FILE"), text)) {
			return Fail({ResultCode::RC_TABLE_FILE, this->Text("FILE") + ": can't be read"});
		}
		const TableFile file = ReadTableCsv(text);
		if (!file.result.Ok()) {
			return Fail({file.result.code, this->Text("FILE") + ": " + file.result.detail});
		}
		TableEdit edit = DiffTable(cells, file.cells, version);
		if (const std::optional<uint64_t> base = this->Number("--base"); base) {
			edit.base = TableVersion(*base);
		}
		return this->IsSet("diff") ? ShowDiff(edit, cells) : this->Publish(edit);
	}

	static ExitCode ShowDiff(const TableEdit &edit, const std::map<CellKey, Cell> &cells)
	{
		for (const CellEdit &it : edit.cells) {
			const auto old = cells.find(it.key);
			std::cout << it.key.service.Value() << '.' << it.key.column << ": '"
					  << (old == cells.end() ? "" : old->second.value) << "' -> '" << it.value << "'\n";
		}
		for (const ServiceName &it : edit.removed) {
			std::cout << it.Value() << ": removed\n";
		}
		return ExitCode::EC_OK;
	}

	ExitCode Publish(const TableEdit &edit) const
	{
		PublishRequestT publish;
		publish.base_version = edit.base.Value();
		publish.check_only = this->IsSet("check");
		for (const CellEdit &it : edit.cells) {
			auto cell = std::make_unique<TableCellT>();
			cell->service = it.key.service.Value();
			cell->column = it.key.column;
			cell->value = it.value;
			publish.cells.push_back(std::move(cell));
		}
		for (const ServiceName &it : edit.removed) {
			publish.removed_services.push_back(it.Value());
		}
		if (!publish.check_only && edit.cells.empty() && edit.removed.empty()) {
			std::cout << "nothing to publish\n";
			return ExitCode::EC_OK;
		}
		return this->CallForOutcome(MakeMessage(std::move(publish)));
	}

	template <class T>
	ExitCode Propose(T change) const
	{
		ChangeRequestT request;
		request.proposal = MakeProposal(std::move(change));
		return this->CallForOutcome(MakeMessage(std::move(request)));
	}

	ExitCode RunChange() const
	{
		if (this->IsSet("quota")) {
			const std::optional<uint64_t> units = this->Number("UNITS");
			if (!units || *units > UINT32_MAX) {
				return this->Usage("UNITS: expected a whole number");
			}
			TeamQuotaT quota;
			quota.team = this->Text("TEAM");
			quota.units = static_cast<uint32_t>(*units);
			return this->Propose(std::move(quota));
		}
		if (this->IsSet("box")) {
			return this->RunBox();
		}
		if (this->IsSet("cancel")) {
			JobCancelT cancel;
			cancel.jobs = this->args.at("NAME").asStringList();
			return this->Propose(std::move(cancel));
		}
		return this->RunSubmit();
	}

	ExitCode RunSubmit() const
	{
		const std::optional<uint64_t> units = this->Number("--units");
		const std::string work_class = this->Text("--class");
		const std::vector<std::string> words = {"urgent", "normal", "batch"};
		const auto word = std::ranges::find(words, work_class);
		if (!units || *units == 0 || *units > UINT32_MAX) {
			return this->Usage("--units: expected a whole number greater than 0");
		}
		if (word == words.end()) {
			return this->Usage("--class: expected urgent, normal or batch");
		}
		JobAcceptT job;
		job.job = this->args.at("NAME").asStringList().front();
		job.team = this->Text("--team");
		job.work_class = static_cast<uint8_t>(word - words.begin());
		job.units = static_cast<uint32_t>(*units);
		job.repeatable = !this->IsSet("--once");
		return this->Propose(std::move(job));
	}

	ExitCode RunBox() const
	{
		BoxStepT step;
		step.box = this->Text("BOX");
		step.step = static_cast<uint8_t>(this->IsSet("restore") ? BoxStepKind::BK_RESTORE : BoxStepKind::BK_WITHDRAW);
		if (this->IsSet("withdraw")) {
			const std::optional<QJsonArray> rows = this->Topic("explain", step.box);
			if (!rows) {
				return ExitCode::EC_ADDRESS;
			}
			step.permit = static_cast<uint64_t>(rows->at(0)["permit"].toInteger());
		}
		return this->Propose(std::move(step));
	}

	[[nodiscard]] std::optional<QJsonArray> Topic(const std::string &topic, const std::string &name) const
	{
		DumpRequestT dump;
		dump.topic = topic;
		dump.name = name;
		const auto response = this->Call(MakeMessage(std::move(dump)));
		if (!response || response->AsDumpReply() == nullptr) {
			return std::nullopt;
		}
		return QJsonDocument::fromJson(QByteArray::fromStdString(response->AsDumpReply()->json)).array();
	}

	ExitCode RunTopic() const
	{
		std::string topic;
		for (const char *word :
			 {"boxes", "pools", "waves", "budgets", "jobs", "members", "services", "history", "explain"}) {
			topic = this->IsSet(word) ? word : topic;
		}
		std::string name;
		if (this->IsSet("explain")) {
			name = this->args.at("NAME").asStringList().front();
		}
		const std::optional<QJsonArray> rows = this->Topic(topic, name);
		if (!rows) {
			return ExitCode::EC_ADDRESS;
		}
		if (this->IsSet("--json")) {
			std::cout << QJsonDocument(*rows).toJson(QJsonDocument::Compact).toStdString() << '\n';
		} else {
			std::cout << TableText(*rows);
		}
		const bool nothing = topic == "explain" && rows->isEmpty();
		return nothing ? Fail({ResultCode::RC_UNKNOWN_BOX, "no box or service is named " + name}) : ExitCode::EC_OK;
	}

	ExitCode RunDump() const
	{
		const std::optional<NetAddress> address = ParseAddress(this->Text("ADDRESS"));
		if (!address) {
			return this->Usage("ADDRESS: expected IP:port");
		}
		QNetworkAccessManager manager;
		QNetworkRequest request(QUrl(QString::fromStdString("http://" + address->Text() + "/dump")));
		request.setTransferTimeout(static_cast<int>(this->Number("--wait").value_or(8) * MS_PER_SECOND));
		QNetworkReply *reply = manager.get(request);
		QEventLoop loop;
		QObject::connect(reply, &QNetworkReply::finished, &loop, [&loop] { loop.quit(); });
		loop.exec();
		const QJsonDocument json = QJsonDocument::fromJson(reply->readAll());
		if (reply->error() != QNetworkReply::NoError || json.isNull()) {
			std::cerr << Result{ResultCode::RC_PEER_UNAVAILABLE, address->Text()}.Text() << '\n';
			return ExitCode::EC_ADDRESS;
		}
		const auto form = this->IsSet("--json") ? QJsonDocument::Compact : QJsonDocument::Indented;
		std::cout << json.toJson(form).toStdString() << '\n';
		return ExitCode::EC_OK;
	}
};

} // namespace

ExitCode RunCommandLine(const ParsedArguments &args)
{
	return Command(args).Run();
}
