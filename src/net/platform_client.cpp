/** @file platform_client.cpp HTTP client of the platform. */
#include "platform_client.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkRequest>

namespace {

constexpr int APPEND_TIMEOUT_MS = 3000;  ///< Time limit of an append; its result is unknown afterwards.
constexpr int READ_TIMEOUT_MS = 4000;    ///< Time limit of a log read; longer than the long poll.
constexpr int CALL_TIMEOUT_MS = 2000;    ///< Time limit of other calls.
constexpr int LONG_POLL_MS = 1000;       ///< Time that the log may wait for a new record.
constexpr int STATUS_OK = 200;           ///< The request succeeded.
constexpr int STATUS_NOT_MODIFIED = 304; ///< The cached list is current.
constexpr int STATUS_GONE = 410;         ///< The log no longer has the offset.
constexpr int STATUS_THROTTLED = 429;    ///< The append rate limit is exceeded.
constexpr int STATUS_UNAVAILABLE = 503;  ///< The log is unavailable and did not accept the record.

/** Parses a 64-bit number from a JSON string, as JSON numbers lose precision. */
uint64_t ParseUint64(const QJsonValue &value)
{
	return value.toString().toULongLong();
}

ReadAnswer ParseReadAnswer(const QByteArray &body)
{
	const QJsonObject json = QJsonDocument::fromJson(body).object();
	ReadAnswer answer;
	answer.oldest = LogOffset(ParseUint64(json["oldest"]));
	answer.newest = LogOffset(ParseUint64(json["newest"]));
	for (const QJsonValue it : json["records"].toArray()) {
		const QByteArray data = QByteArray::fromBase64(it["data"].toString().toLatin1());
		answer.records.push_back(LogRecord{LogOffset(ParseUint64(it["offset"])),
										   Millis(static_cast<int64_t>(ParseUint64(it["stamp"]))), data.toStdString()});
	}
	return answer;
}

ListedBox ParseListedBox(const QJsonObject &json)
{
	ListedBox box;
	box.name = BoxName(json["name"].toString().toStdString());
	box.zone = ZoneName(json["zone"].toString().toStdString());
	box.rack = RackName(json["rack"].toString().toStdString());
	box.address = json["address"].toString().toStdString();
	box.slots = Slots(static_cast<uint32_t>(json["slots"].toInt()));
	const QString state = json["state"].toString();
	if (state == "live") {
		box.health = BoxHealth::BH_UP;
	} else {
		box.health = state == "leaving" ? BoxHealth::BH_LEAVING : BoxHealth::BH_DOWN;
	}
	box.booted_for = PermitId(ParseUint64(json["booted_for"]));
	box.checks_pass = json["checks_pass"].toBool(true);
	return box;
}

QByteArray EncodeJob(const Job &job)
{
	QJsonObject json;
	json["job"] = QString::fromStdString(job.name.Value());
	json["box"] = QString::fromStdString(job.box.Value());
	json["epoch"] = QString::number(job.box_epoch.Value());
	json["attempt"] = static_cast<int>(job.attempt);
	json["units"] = static_cast<int>(job.units);
	return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

} // namespace

PlatformClient::PlatformClient(const NetAddress &platform) : base("http://" + platform.Text()) {}

void PlatformClient::Call(const char *method, const std::string &path, const QByteArray &body, int timeout,
						  std::function<void(const Reply &)> done, const QByteArray &known_etag)
{
	QNetworkRequest request(QUrl(QString::fromStdString(this->base + path)));
	request.setTransferTimeout(timeout);
	request.setHeader(QNetworkRequest::ContentTypeHeader, "application/octet-stream");
	if (!known_etag.isEmpty()) {
		request.setRawHeader("If-None-Match", known_etag);
	}
	this->bytes += static_cast<uint64_t>(body.size());
	QNetworkReply *reply = this->manager.sendCustomRequest(request, method, body);
	QObject::connect(reply, &QNetworkReply::finished, reply, [this, reply, done = std::move(done)] {
		Reply it;
		it.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
		it.body = reply->readAll();
		it.etag = reply->rawHeader("ETag");
		this->bytes += static_cast<uint64_t>(it.body.size());
		reply->deleteLater();
		done(it);
	});
}

void PlatformClient::Append(std::string record, std::function<void(AppendAnswer)> done)
{
	this->Call("POST", "/log/append", QByteArray::fromStdString(record), APPEND_TIMEOUT_MS,
			   [done = std::move(done)](const Reply &reply) {
				   AppendAnswer answer;
				   if (reply.status == STATUS_OK) {
					   answer.offset = LogOffset(ParseUint64(QJsonDocument::fromJson(reply.body).object()["offset"]));
				   } else if (reply.status == STATUS_THROTTLED) {
					   answer.code = ResultCode::RC_LOG_THROTTLED;
				   } else {
					   answer.code = reply.status == STATUS_UNAVAILABLE ? ResultCode::RC_LOG_UNAVAILABLE
																		: ResultCode::RC_LOG_ANSWER_LOST;
				   }
				   done(answer);
			   });
}

void PlatformClient::Read(LogOffset from, std::function<void(ReadAnswer)> done)
{
	const std::string path =
			"/log/read?from=" + std::to_string(from.Value()) + "&wait_ms=" + std::to_string(LONG_POLL_MS);
	this->Call("GET", path, {}, READ_TIMEOUT_MS, [done = std::move(done)](const Reply &reply) {
		ReadAnswer answer;
		if (reply.status == STATUS_OK || reply.status == STATUS_GONE) {
			answer = ParseReadAnswer(reply.body);
			answer.code = reply.status == STATUS_OK ? ResultCode::RC_OK : ResultCode::RC_LOG_FORGOTTEN;
		} else {
			answer.code = ResultCode::RC_LOG_UNAVAILABLE;
		}
		done(std::move(answer));
	});
}

void PlatformClient::Fetch(std::function<void(ResultCode, std::vector<ListedBox>)> done)
{
	const auto on_reply = [this, done = std::move(done)](const Reply &reply) {
		if (reply.status == STATUS_OK) {
			this->listed.clear();
			const QJsonArray rows = QJsonDocument::fromJson(reply.body).array();
			for (const QJsonValue it : rows) {
				this->listed.push_back(ParseListedBox(it.toObject()));
			}
			this->list_etag = reply.etag;
		}
		const bool known = reply.status == STATUS_OK || reply.status == STATUS_NOT_MODIFIED;
		done(known ? ResultCode::RC_OK : ResultCode::RC_LOG_UNAVAILABLE,
			 known ? this->listed : std::vector<ListedBox>());
	};
	/* The list is long and seldom changes: If-None-Match avoids transferring an unchanged one. */
	this->Call("GET", "/boxes", {}, CALL_TIMEOUT_MS, on_reply, this->list_etag);
}

void PlatformClient::Reboot(const BoxName &box, PermitId permit)
{
	const std::string path = "/boxes/reboot?box=" + box.Value() + "&permit=" + std::to_string(permit.Value());
	this->Call("POST", path, {}, CALL_TIMEOUT_MS, [](const Reply &) {});
}

void PlatformClient::StartJob(const Job &job)
{
	this->Call("POST", "/jobs/start", EncodeJob(job), CALL_TIMEOUT_MS, [](const Reply &) {});
}

void PlatformClient::StopJob(const Job &job)
{
	this->Call("POST", "/jobs/stop", EncodeJob(job), CALL_TIMEOUT_MS, [](const Reply &) {});
}

void PlatformClient::FetchJobEnds(std::function<void(ResultCode, std::vector<JobEnd>)> done)
{
	this->Call("GET", "/jobs/ends", {}, CALL_TIMEOUT_MS, [done = std::move(done)](const Reply &reply) {
		std::vector<JobEnd> ends;
		if (reply.status != STATUS_OK) {
			done(ResultCode::RC_LOG_UNAVAILABLE, std::move(ends));
			return;
		}
		for (const QJsonValue it : QJsonDocument::fromJson(reply.body).array()) {
			ends.push_back(JobEnd{JobName(it["job"].toString().toStdString()),
								  static_cast<uint32_t>(it["attempt"].toInt()),
								  static_cast<JobOutcome>(it["outcome"].toInt())});
		}
		done(ResultCode::RC_OK, std::move(ends));
	});
}

void PlatformClient::Acknowledge(const JobEnd &end)
{
	const std::string path = "/jobs/ack?job=" + end.job.Value() + "&attempt=" + std::to_string(end.attempt);
	this->Call("POST", path, {}, CALL_TIMEOUT_MS, [](const Reply &) {});
}
