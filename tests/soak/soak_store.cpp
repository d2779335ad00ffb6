/** @file soak_store.cpp The platform's keyed log over HTTP. */
#include "soak_store.h"

#include "../../platform/record_frame.h"

#include <QJsonArray>
#include <QtEndian>

#include <random>

namespace {

constexpr Millis POLL_INTERVAL(10); ///< Interval at which a waiting read checks for records.
constexpr Millis LATE_DELAY(2500);  ///< Delay of an append that is executed late.
constexpr size_t OFFSET_BYTES = 8;  ///< Size of each of the two offsets at the start of a read's answer.
constexpr int PERCENT = 100;        ///< Scale of percentages.

PartitionId PartitionOf(const QUrlQuery &query)
{
	return PartitionId{query.queryItemValue("topic").toStdString(), query.queryItemValue("part").toUInt()};
}

std::string OffsetBytes(uint64_t offset)
{
	std::string out(OFFSET_BYTES, '\0');
	qToBigEndian<quint64>(offset, out.data());
	return out;
}

} // namespace

SoakStore::SoakStore(QtScheduler &scheduler, uint32_t parts, uint32_t seed)
		: store(parts), scheduler(scheduler), random(seed),
		  listener(scheduler, [this](const DeferredAnswerPtr &answer, const CallerRequest &request) {
			  this->Serve(answer, request);
		  })
{
}

bool SoakStore::Chance(int percent)
{
	std::minstd_rand next(this->random);
	this->random = static_cast<uint32_t>(next());
	return static_cast<int>(this->random % PERCENT) < percent;
}

void SoakStore::Reply(const DeferredAnswerPtr &answer, int status, const std::string &body)
{
	if (this->faults.added_latency > Millis(0)) {
		this->scheduler.After(this->faults.added_latency, [answer, status, body] { answer->Answer(status, body); });
	} else {
		answer->Answer(status, body);
	}
}

void SoakStore::Serve(const DeferredAnswerPtr &answer, const CallerRequest &request)
{
	if (this->faults.unavailable) {
		answer->Answer(503, std::string());
		return;
	}
	const std::string path = PathOf(request.target);
	const QUrlQuery query = QueryOf(request.target);
	if (this->faults.silent_partitions.contains(PartitionOf(query))) {
		return; /* No answer is sent. Calls about groups name no partition and are never silenced. */
	}
	if (path == "/v1/log-append") {
		this->Append(answer, request);
	} else if (path == "/v1/log-read") {
		const Millis wait(query.queryItemValue("wait-ms").toLongLong());
		this->Read(answer, PartitionOf(query), query.queryItemValue("source").toULongLong(),
				   this->scheduler.Now() + wait);
	} else if (path == "/v1/log-newest") {
		this->Newest(answer, query);
	} else if (path == "/v1/log-join") {
		this->Join(answer, JsonOf(request.body));
	} else if (path == "/v1/log-leave") {
		const QJsonObject json = JsonOf(request.body);
		this->store.Leave(json["group"].toString().toStdString(), json["member"].toString().toStdString());
		this->Reply(answer, 200, "{}");
	} else if (path == "/v1/log-owners") {
		this->Owners(answer, query.queryItemValue("group").toStdString());
	} else {
		answer->Answer(404, std::string());
	}
}

void SoakStore::Append(const DeferredAnswerPtr &answer, const CallerRequest &request)
{
	const QUrlQuery query = QueryOf(request.target);
	const PartitionId partition = PartitionOf(query);
	std::vector<KeyedRecord> records;
	if (!DecodeRecords(request.body, records)) {
		answer->Answer(400, std::string());
		return;
	}
	AppendCondition condition;
	if (query.hasQueryItem("at")) {
		condition.at = query.queryItemValue("at").toULongLong();
	}
	condition.producer = query.queryItemValue("producer").toStdString();
	condition.epoch = query.queryItemValue("epoch").toULongLong();
	condition.sequence = query.queryItemValue("call-seq").toULongLong();
	if (this->Chance(this->faults.lose_percent)) {
		const Millis delay = this->faults.late ? LATE_DELAY : Millis(0);
		this->scheduler.After(
				delay, [this, partition, records, condition] { this->store.Append(partition, records, condition); });
		answer->Disconnect();
		return;
	}
	const KeyedAppendAnswer done = this->store.Append(partition, records, condition);
	if (done.code == ResultCode::RC_OK) {
		const auto end = static_cast<qint64>(done.end);
		const auto first = end - static_cast<qint64>(records.size());
		this->Reply(answer, 200, BodyOf(QJsonObject{{"offset", first}, {"end", end}}));
	} else if (done.code == ResultCode::RC_FENCED) {
		this->Reply(answer, 409, BodyOf(QJsonObject{{"reason", "fenced"}}));
	} else if (condition.at) {
		this->Reply(answer, 412, "{}");
	} else {
		this->Reply(answer, 409, BodyOf(QJsonObject{{"reason", "seq"}}));
	}
}

void SoakStore::Read(const DeferredAnswerPtr &answer, const PartitionId &partition, uint64_t from, Millis until)
{
	if (!answer->IsPending()) {
		return;
	}
	const KeyedReadAnswer read = this->store.Read(partition, from);
	if (read.code == ResultCode::RC_LOG_FORGOTTEN) {
		this->Reply(answer, 410, "{}");
		return;
	}
	if (read.records.empty() && this->scheduler.Now() < until) {
		this->scheduler.After(POLL_INTERVAL,
							  [this, answer, partition, from, until] { this->Read(answer, partition, from, until); });
		return;
	}
	this->Reply(answer, 200, OffsetBytes(read.next) + OffsetBytes(0) + EncodeRecords(read.records));
}

void SoakStore::Newest(const DeferredAnswerPtr &answer, const QUrlQuery &query)
{
	const NewestPage page = this->store.Newest(PartitionOf(query), query.queryItemValue("after").toStdString());
	QJsonArray items;
	for (const KeyedRecord &record : page.records) {
		const QByteArray value = QByteArray::fromStdString(record.value.value_or(std::string()));
		items.append(QJsonObject{{"tls-key", QString::fromStdString(record.key)},
								 {"value", QString::fromLatin1(value.toBase64())}});
	}
	const QJsonObject json{{"items", items}, {"more", page.more}, {"end", static_cast<qint64>(page.end)}};
	this->Reply(answer, 200, BodyOf(json));
}

void SoakStore::Join(const DeferredAnswerPtr &answer, const QJsonObject &json)
{
	const GroupMembership joined = this->store.Join(
			json["group"].toString().toStdString(), json["member"].toString().toStdString(),
			json["topics"].toArray().at(0).toString().toStdString(), Millis(json["ttl_ms"].toInteger()),
			static_cast<uint64_t>(json["generation"].toInteger()), this->scheduler.Now());
	QJsonArray rows;
	for (const PartitionId &it : joined.partitions) {
		rows.append(QJsonArray{QString::fromStdString(it.topic), static_cast<qint64>(it.part), 0});
	}
	this->Reply(answer, 200,
				BodyOf(QJsonObject{{"generation", static_cast<qint64>(joined.generation)}, {"parts", rows}}));
}

void SoakStore::Owners(const DeferredAnswerPtr &answer, const std::string &group)
{
	QJsonArray rows;
	for (const PartitionHolder &it : this->store.Holders(group, this->scheduler.Now())) {
		rows.append(QJsonArray{QString::fromStdString(it.partition.topic), static_cast<qint64>(it.partition.part),
							   QString::fromStdString(it.member), 0});
	}
	this->Reply(answer, 200, BodyOf(QJsonObject{{"owners", rows}}));
}
