/** @file platform_standin.cpp A stand-in for the platform. */
#include "platform_standin.h"

#include "../../request/route_func.h"

#include <QJsonDocument>
#include <QUrl>

#include <algorithm>

namespace {

constexpr int STATUS_OK = 200;           ///< Request served.
constexpr int STATUS_NOT_MODIFIED = 304; ///< The client has the current list.
constexpr int STATUS_NOT_FOUND = 404;    ///< Unknown path or box.
constexpr int STATUS_GONE = 410;         ///< The log no longer has the offset.
constexpr int STATUS_THROTTLED = 429;    ///< Limit of appends per second reached.
constexpr int STATUS_DOWN = 503;         ///< Fault "down" is active.

void SendAnswer(CallerSink &sink, int status, const std::string &body)
{
	ResponseHead head;
	head.status = status;
	head.headers.Add("Content-Type", "application/json");
	head.length = body.size();
	sink.Begin(head);
	sink.Body(body);
	sink.End();
}

std::string JsonText(const QJsonObject &json)
{
	return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

LogLimits LimitsOf(const Settings &settings)
{
	LogLimits limits;
	limits.records = static_cast<size_t>(settings.Number("records"));
	limits.age = settings.Duration("retention");
	limits.appends_per_second = static_cast<uint32_t>(settings.Number("appends_per_second"));
	return limits;
}

const char *BoxStateName(BoxHealth health)
{
	if (health == BoxHealth::BH_UP) {
		return "live";
	}
	return health == BoxHealth::BH_LEAVING ? "leaving" : "failed";
}

} // namespace

/** A read that is answered after a delay, or earlier by WakeReads() when it waits for a record. */
class WaitingRead : public ServedRequest, public std::enable_shared_from_this<WaitingRead> {
public:
	WaitingRead(PlatformStandin &platform, CallerSink &sink, LogOffset from)
			: platform(platform), sink(&sink), from(from)
	{
	}

	void Start(Millis wait)
	{
		this->platform.scheduler.After(wait, [weak = this->weak_from_this()] {
			if (const auto self = weak.lock(); self) {
				self->Finish();
			}
		});
	}

	void OnCallerDisconnected() override { this->sink = nullptr; }
	void OnCallerWritable() override {}

	/** Answers once with the available records. */
	void Finish()
	{
		if (CallerSink *to = std::exchange(this->sink, nullptr); to != nullptr) {
			const ReadAnswer answer = this->platform.store.Read(this->from, this->platform.scheduler.WallNow());
			const int status = answer.code == ResultCode::RC_OK ? STATUS_OK : STATUS_GONE;
			SendAnswer(*to, status, this->platform.ReadBody(answer));
		}
	}

private:
	PlatformStandin &platform; ///< Owner of the log.
	CallerSink *sink;          ///< Reader; null once answered or disconnected.
	LogOffset from;            ///< First offset to read.
};

PlatformStandin::PlatformStandin(const Settings &settings)
		: settings(settings), listener([this](qintptr descriptor) {
			  (new CallerLink(this->scheduler, *this, this->limits, this->open, descriptor))->setParent(&this->links);
		  }),
		  store(LimitsOf(settings))
{
	this->limits.http.body_bytes = 16 * 1024 * 1024;
	for (const SettingRecord &record : settings.Records("boxes")) {
		StandinBox box;
		box.listed.name = BoxName(record.at("name"));
		box.listed.zone = ZoneName(record.at("zone"));
		box.listed.rack = RackName(record.at("rack"));
		box.listed.address = record.at("address");
		const auto slots = record.find("slots");
		box.listed.slots = Slots(
				slots == record.end() || slots->second.empty() ? 8 : static_cast<uint32_t>(std::stoul(slots->second)));
		box.listed.health = BoxHealth::BH_UP;
		this->boxes[box.listed.name] = box;
	}
}

bool PlatformStandin::Start()
{
	const NetAddress at = this->settings.Address("listen");
	return this->listener.listen(at.ip, at.port);
}

void PlatformStandin::Stop(std::function<void()> done)
{
	done();
}

QJsonObject PlatformStandin::Dump() const
{
	QJsonObject dump;
	dump["newest"] = QString::number(this->store.Newest().Value());
	dump["records"] = static_cast<qint64>(this->store.RecordsAppended());
	dump["bytes"] = static_cast<qint64>(this->store.BytesAppended());
	dump["boxes"] = this->ListBoxes();
	return dump;
}

std::shared_ptr<ServedRequest> PlatformStandin::Serve(CallerSink &sink, CallerRequest request)
{
	const QUrl url(QString::fromStdString("http://standin" + request.target));
	const QUrlQuery query(url.query());
	const std::string path = url.path().toStdString();
	if (path == "/fault") {
		this->SetFaults(query);
		SendAnswer(sink, STATUS_OK, "{}");
		return nullptr;
	}
	if (path == "/dump") {
		SendAnswer(sink, STATUS_OK, JsonText(this->Dump()));
		return nullptr;
	}
	if (this->faults.down) {
		SendAnswer(sink, STATUS_DOWN, "{}");
		return nullptr;
	}
	if (path == "/log/read") {
		return this->ServeRead(sink, query);
	}
	if (path == "/log/append") {
		this->ServeAppend(sink, std::move(request));
		return nullptr;
	}
	this->ServeBoxesAndJobs(sink, request, query, path);
	return nullptr;
}

void PlatformStandin::SetFaults(const QUrlQuery &query)
{
	if (query.hasQueryItem("down")) {
		this->faults.down = query.queryItemValue("down") == "1";
	}
	if (query.hasQueryItem("delay_ms")) {
		this->faults.delay = Millis(query.queryItemValue("delay_ms").toLongLong());
	}
	if (query.hasQueryItem("lose")) {
		this->faults.lose_answers = query.queryItemValue("lose").toUInt();
	}
	if (query.hasQueryItem("repeat")) {
		this->faults.repeat_appends = query.queryItemValue("repeat").toUInt();
	}
}

std::shared_ptr<ServedRequest> PlatformStandin::ServeRead(CallerSink &sink, const QUrlQuery &query)
{
	const LogOffset from(query.queryItemValue("from").toULongLong());
	auto read = std::make_shared<WaitingRead>(*this, sink, from);
	const bool available = from <= this->store.Newest();
	const Millis wait(available ? this->faults.delay.Value() : query.queryItemValue("wait_ms").toLongLong());
	if (available && wait == Millis(0)) {
		read->Finish();
		return nullptr;
	}
	if (!available) {
		this->reads.push_back(read);
	}
	read->Start(wait);
	return read;
}

std::string PlatformStandin::ReadBody(const ReadAnswer &answer) const
{
	QJsonArray records;
	for (const LogRecord &it : answer.records) {
		QJsonObject record;
		record["offset"] = QString::number(it.offset.Value());
		record["stamp"] = QString::number(it.stamp.Value());
		record["data"] = QString::fromLatin1(QByteArray::fromStdString(it.bytes).toBase64());
		records.append(record);
	}
	QJsonObject json;
	json["oldest"] = QString::number(answer.oldest.Value());
	json["newest"] = QString::number(answer.newest.Value());
	json["records"] = records;
	return JsonText(json);
}

void PlatformStandin::ServeAppend(CallerSink &sink, CallerRequest request)
{
	const Millis now = this->scheduler.WallNow();
	const AppendAnswer answer = this->store.Append(request.body, now);
	if (answer.code != ResultCode::RC_OK) {
		SendAnswer(sink, STATUS_THROTTLED, "{}");
		return;
	}
	if (this->faults.repeat_appends > 0) {
		this->faults.repeat_appends--;
		this->store.Append(std::move(request.body), now);
	}
	if (this->faults.lose_answers > 0) {
		this->faults.lose_answers--;
		sink.Abort();
	} else {
		QJsonObject json;
		json["offset"] = QString::number(answer.offset.Value());
		SendAnswer(sink, STATUS_OK, JsonText(json));
	}
	this->WakeReads();
}

void PlatformStandin::WakeReads()
{
	const auto ready = std::exchange(this->reads, {});
	for (const auto &weak : ready) {
		if (const auto read = weak.lock(); read) {
			read->Finish();
		}
	}
}

void PlatformStandin::ServeBoxesAndJobs(CallerSink &sink, const CallerRequest &request, const QUrlQuery &query,
										const std::string &path)
{
	if (path == "/boxes") {
		this->ServeList(sink, request);
	} else if (path.starts_with("/boxes/")) {
		this->ServeBox(sink, query, path);
	} else if (path.starts_with("/jobs/")) {
		this->ServeJob(sink, request, query, path);
	} else {
		SendAnswer(sink, STATUS_NOT_FOUND, "{}");
	}
}

void PlatformStandin::ServeList(CallerSink &sink, const CallerRequest &request) const
{
	const std::string body = QJsonDocument(this->ListBoxes()).toJson(QJsonDocument::Compact).toStdString();
	const std::string etag = '"' + std::to_string(HashText(body)) + '"';
	const std::string *known = request.headers.Find("If-None-Match");
	ResponseHead head;
	head.headers.Add("ETag", etag);
	if (known != nullptr && *known == etag) {
		head.status = STATUS_NOT_MODIFIED;
		head.no_body = true;
		sink.Begin(head);
		sink.End();
		return;
	}
	head.headers.Add("Content-Type", "application/json");
	head.length = body.size();
	sink.Begin(head);
	sink.Body(body);
	sink.End();
}

QJsonArray PlatformStandin::ListBoxes() const
{
	QJsonArray list;
	for (const auto &[name, box] : this->boxes) {
		QJsonObject json;
		json["name"] = QString::fromStdString(name.Value());
		json["zone"] = QString::fromStdString(box.listed.zone.Value());
		json["rack"] = QString::fromStdString(box.listed.rack.Value());
		json["address"] = QString::fromStdString(box.listed.address);
		json["slots"] = static_cast<int>(box.listed.slots.Value());
		json["state"] = box.rebooting != PermitId() ? "failed" : BoxStateName(box.listed.health);
		json["booted_for"] = QString::number(box.listed.booted_for.Value());
		json["checks_pass"] = box.listed.checks_pass;
		list.append(json);
	}
	return list;
}

void PlatformStandin::ServeBox(CallerSink &sink, const QUrlQuery &query, const std::string &path)
{
	const BoxName name(query.queryItemValue("box").toStdString());
	const auto it = this->boxes.find(name);
	if (it == this->boxes.end()) {
		SendAnswer(sink, STATUS_NOT_FOUND, "{}");
		return;
	}
	if (path == "/boxes/reboot") {
		this->Reboot(name, PermitId(query.queryItemValue("permit").toULongLong()));
	} else if (path == "/boxes/state") {
		const QString state = query.queryItemValue("state");
		it->second.listed.health = state == "live"      ? BoxHealth::BH_UP
								   : state == "leaving" ? BoxHealth::BH_LEAVING
														: BoxHealth::BH_DOWN;
	}
	SendAnswer(sink, STATUS_OK, "{}");
}

void PlatformStandin::Reboot(const BoxName &name, PermitId permit)
{
	StandinBox &box = this->boxes[name];
	if (box.listed.booted_for == permit || box.rebooting == permit) {
		return;
	}
	box.rebooting = permit;
	this->scheduler.After(this->settings.Duration("reboot_time"), [this, name, permit] {
		StandinBox &back = this->boxes[name];
		if (back.rebooting == permit) {
			back.rebooting = PermitId();
			back.listed.booted_for = permit;
		}
	});
}

void PlatformStandin::ServeJob(CallerSink &sink, const CallerRequest &request, const QUrlQuery &query,
							   const std::string &path)
{
	const QJsonObject json = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
	if (path == "/jobs/start") {
		this->StartJob(json);
	} else if (path == "/jobs/stop") {
		const auto it = this->jobs.find(JobName(json["job"].toString().toStdString()));
		if (it != this->jobs.end() && it->second.running &&
			static_cast<int>(it->second.end.attempt) == json["attempt"].toInt()) {
			it->second.running = false;
			it->second.end.outcome = JobOutcome::JO_CHECKPOINT;
		}
	} else if (path == "/jobs/ack") {
		const auto it = this->jobs.find(JobName(query.queryItemValue("job").toStdString()));
		if (it != this->jobs.end() && !it->second.running &&
			it->second.end.attempt == query.queryItemValue("attempt").toUInt()) {
			this->jobs.erase(it);
		}
	} else if (path == "/jobs/ends") {
		QJsonArray ends;
		for (const auto &[name, job] : this->jobs) {
			if (!job.running) {
				QJsonObject end;
				end["job"] = QString::fromStdString(name.Value());
				end["attempt"] = static_cast<int>(job.end.attempt);
				end["outcome"] = static_cast<int>(job.end.outcome);
				ends.append(end);
			}
		}
		SendAnswer(sink, STATUS_OK, QJsonDocument(ends).toJson(QJsonDocument::Compact).toStdString());
		return;
	}
	SendAnswer(sink, STATUS_OK, "{}");
}

void PlatformStandin::StartJob(const QJsonObject &json)
{
	const JobName name(json["job"].toString().toStdString());
	const auto attempt = static_cast<uint32_t>(json["attempt"].toInt());
	const auto known = this->jobs.find(name);
	if (known != this->jobs.end() && known->second.end.attempt >= attempt) {
		return;
	}
	this->jobs[name] = StandinJob{JobEnd{name, attempt, JobOutcome::JO_DONE}, true};
	this->scheduler.After(this->settings.Duration("job_time"), [this, name, attempt] {
		const auto it = this->jobs.find(name);
		if (it != this->jobs.end() && it->second.end.attempt == attempt) {
			it->second.running = false;
		}
	});
}
