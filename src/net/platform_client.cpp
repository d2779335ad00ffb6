/** @file platform_client.cpp The platform over HTTP. */
#include "platform_client.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkRequest>

namespace {

constexpr int APPEND_TIMEOUT = 3000;     ///< ms; an append without an answer by then counts as lost.
constexpr int READ_TIMEOUT = 4000;       ///< ms; longer than the long poll.
constexpr int CALL_TIMEOUT = 2000;       ///< ms; of other calls.
constexpr int LONG_POLL = 1000;          ///< ms that the log may wait for a record to come.
constexpr int STATUS_OK = 200;           ///< HTTP status.
constexpr int STATUS_NOT_MODIFIED = 304; ///< The list is the one that is known.
constexpr int STATUS_GONE = 410;         ///< The log has forgotten the offset.
constexpr int STATUS_THROTTLED = 429;    ///< Append limit reached.
constexpr int STATUS_DOWN = 503;         ///< The log takes nothing now.

/** Reads an unsigned number that JSON carries as text, since its own numbers are too short. */
uint64_t WideOf(const QJsonValue &value)
{
	return value.toString().toULongLong();
}

ReadAnswer ReadAnswerOf(const QByteArray &body)
{
	const QJsonObject json = QJsonDocument::fromJson(body).object();
	ReadAnswer answer;
	answer.oldest = LogOffset(WideOf(json["oldest"]));
	answer.newest = LogOffset(WideOf(json["newest"]));
	for (const QJsonValue it : json["records"].toArray()) {
		const QByteArray data = QByteArray::fromBase64(it["data"].toString().toLatin1());
		answer.records.push_back(LogRecord{LogOffset(WideOf(it["offset"])),
										   Millis(static_cast<int64_t>(WideOf(it["stamp"]))), data.toStdString()});
	}
	return answer;
}

ListedBox ListedBoxOf(const QJsonObject &json)
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
	box.booted_for = PermitId(WideOf(json["booted_for"]));
	box.checks_pass = json["checks_pass"].toBool(true);
	return box;
}

QByteArray JobBody(const Job &job)
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
						  std::function<void(const Reply &)> done, const QByteArray &known)
{
	QNetworkRequest request(QUrl(QString::fromStdString(this->base + path)));
	request.setTransferTimeout(timeout);
	request.setHeader(QNetworkRequest::ContentTypeHeader, "application/octet-stream");
	if (!known.isEmpty()) {
		request.setRawHeader("If-None-Match", known);
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
	this->Call("POST", "/log/append", QByteArray::fromStdString(record), APPEND_TIMEOUT,
			   [done = std::move(done)](const Reply &reply) {
				   AppendAnswer answer;
				   if (reply.status == STATUS_OK) {
					   answer.offset = LogOffset(WideOf(QJsonDocument::fromJson(reply.body).object()["offset"]));
				   } else if (reply.status == STATUS_THROTTLED) {
					   answer.code = ResultCode::RC_LOG_THROTTLED;
				   } else {
					   answer.code = reply.status == STATUS_DOWN ? ResultCode::RC_LOG_UNAVAILABLE
																 : ResultCode::RC_LOG_ANSWER_LOST;
				   }
				   done(answer);
			   });
}

void PlatformClient::Read(LogOffset from, std::function<void(ReadAnswer)> done)
{
	const std::string path = "/log/read?from=" + std::to_string(from.Value()) + "&wait_ms=" + std::to_string(LONG_POLL);
	this->Call("GET", path, {}, READ_TIMEOUT, [done = std::move(done)](const Reply &reply) {
		ReadAnswer answer;
		if (reply.status == STATUS_OK || reply.status == STATUS_GONE) {
			answer = ReadAnswerOf(reply.body);
			answer.code = reply.status == STATUS_OK ? ResultCode::RC_OK : ResultCode::RC_LOG_FORGOTTEN;
		} else {
			answer.code = ResultCode::RC_LOG_UNAVAILABLE;
		}
		done(std::move(answer));
	});
}

void PlatformClient::Fetch(std::function<void(ResultCode, std::vector<ListedBox>)> done)
{
	const auto take = [this, done = std::move(done)](const Reply &reply) {
		if (reply.status == STATUS_OK) {
			this->listed.clear();
			const QJsonArray rows = QJsonDocument::fromJson(reply.body).array();
			for (const QJsonValue it : rows) {
				this->listed.push_back(ListedBoxOf(it.toObject()));
			}
			this->list_etag = reply.etag;
		}
		const bool known = reply.status == STATUS_OK || reply.status == STATUS_NOT_MODIFIED;
		done(known ? ResultCode::RC_OK : ResultCode::RC_LOG_UNAVAILABLE,
			 known ? this->listed : std::vector<ListedBox>());
	};
	/* The list is long and seldom changes: only its version goes over the wire then. */
	this->Call("GET", "/boxes", {}, CALL_TIMEOUT, take, this->list_etag);
}

void PlatformClient::Reboot(const BoxName &box, PermitId permit)
{
	const std::string path = "/boxes/reboot?box=" + box.Value() + "&permit=" + std::to_string(permit.Value());
	this->Call("POST", path, {}, CALL_TIMEOUT, [](const Reply &) {});
}

void PlatformClient::StartJob(const Job &job)
{
	this->Call("POST", "/jobs/start", JobBody(job), CALL_TIMEOUT, [](const Reply &) {});
}

void PlatformClient::StopJob(const Job &job)
{
	this->Call("POST", "/jobs/stop", JobBody(job), CALL_TIMEOUT, [](const Reply &) {});
}

void PlatformClient::FetchJobEnds(std::function<void(ResultCode, std::vector<JobEnd>)> done)
{
	this->Call("GET", "/jobs/ends", {}, CALL_TIMEOUT, [done = std::move(done)](const Reply &reply) {
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
	this->Call("POST", path, {}, CALL_TIMEOUT, [](const Reply &) {});
}
