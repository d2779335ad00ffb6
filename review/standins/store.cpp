/** @file store.cpp Stand-in of the platform's store. */
#include "store.h"

#include "record_frame.h"

#include <QJsonArray>
#include <QtEndian>

#include <algorithm>

namespace {

constexpr Millis ANSWER_TIME(4);       ///< The site files' `platform`: 4 ms an answer.
constexpr Millis POLL_INTERVAL(5);     ///< Interval at which a waiting read looks for records.
constexpr size_t READ_BYTES = 1 << 20; ///< `max_kb` of a read, as PROTOCOL.md gives it where a call names none.

PartitionId PartitionOf(const QUrlQuery &query)
{
	return PartitionId{query.queryItemValue("topic").toStdString(), query.queryItemValue("part").toUInt()};
}

std::string OffsetBytes(uint64_t offset)
{
	std::string out(sizeof(offset), '\0');
	qToBigEndian<quint64>(offset, out.data());
	return out;
}

size_t SizeOf(const KeyedRecord &record)
{
	return 1 + record.key.size() + record.value.value_or(std::string()).size();
}

} // namespace

ReviewStore::ReviewStore(QtScheduler &scheduler, Record &record, uint32_t parts)
		: scheduler(scheduler), record(record), state(parts),
		  listener(scheduler, [this](const DeferredAnswerPtr &to, const CallerRequest &it) { this->Serve(to, it); })
{
}

void ReviewStore::Put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
	this->state.Append(PartitionId{topic, 0}, {KeyedRecord{key, value}}, AppendCondition{});
}

void ReviewStore::Reply(const DeferredAnswerPtr &answer, int status, const std::string &body)
{
	this->scheduler.After(ANSWER_TIME, [answer, status, body] { answer->Answer(status, body); });
}

void ReviewStore::Serve(const DeferredAnswerPtr &answer, const CallerRequest &request)
{
	const std::string path = PathOf(request.target);
	const QUrlQuery query = QueryOf(request.target);
	if (path == "/v1/log-append") {
		this->Append(answer, request);
	} else if (path == "/v1/log-read") {
		this->Read(answer, PartitionOf(query), query.queryItemValue("source").toULongLong(),
				   this->scheduler.Now() + Millis(query.queryItemValue("wait-ms").toLongLong()));
	} else if (path == "/v1/log-newest") {
		this->Newest(answer, query);
	} else if (path == "/v1/log-join") {
		this->Join(answer, JsonOf(request.body));
	} else if (path == "/v1/log-leave") {
		const QJsonObject json = JsonOf(request.body);
		this->state.Leave(json["group"].toString().toStdString(), json["member"].toString().toStdString());
		this->Reply(answer, 200, "{}");
	} else if (path == "/v1/log-owners") {
		this->Owners(answer, query.queryItemValue("group").toStdString());
	} else {
		this->Reply(answer, 404, "{}");
	}
}

void ReviewStore::Append(const DeferredAnswerPtr &answer, const CallerRequest &request)
{
	const QUrlQuery query = QueryOf(request.target);
	std::vector<KeyedRecord> records;
	const bool readable = DecodeRecords(request.body, records);
	const auto largest = std::ranges::max_element(records, {}, [](const KeyedRecord &it) { return SizeOf(it); });
	if (!readable || request.body.size() > this->call_bytes ||
		(largest != records.end() && SizeOf(*largest) > this->record_bytes)) {
		if (this->refused_appends++ % 1000 == 0) {
			this->record.Write("store", "append to " + PartitionOf(query).topic + " part " +
												std::to_string(PartitionOf(query).part) + " of " +
												std::to_string(request.body.size()) +
												" bytes refused with 400: record " +
												(largest == records.end() ? "-" : largest->key) + " has " +
												(largest == records.end() ? "0" : std::to_string(SizeOf(*largest))) +
												" bytes of " + std::to_string(this->record_bytes) +
												"; refused so far " + std::to_string(this->refused_appends));
		}
		this->Reply(answer, 400, "{}");
		return;
	}
	AppendCondition condition;
	if (query.hasQueryItem("at")) {
		condition.at = query.queryItemValue("at").toULongLong();
	}
	condition.producer = query.queryItemValue("producer").toStdString();
	condition.epoch = query.queryItemValue("epoch").toULongLong();
	condition.sequence = query.queryItemValue("call-seq").toULongLong();
	const KeyedAppendAnswer done = this->state.Append(PartitionOf(query), records, condition);
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

void ReviewStore::Read(const DeferredAnswerPtr &answer, const PartitionId &partition, uint64_t from, Millis until)
{
	if (!answer->IsPending()) {
		return;
	}
	KeyedReadAnswer read = this->state.Read(partition, from);
	if (read.records.empty() && this->scheduler.Now() < until) {
		this->scheduler.After(POLL_INTERVAL,
							  [this, answer, partition, from, until] { this->Read(answer, partition, from, until); });
		return;
	}
	size_t bytes = 0;
	size_t count = 0;
	while (count < read.records.size() && (count == 0 || bytes + SizeOf(read.records[count]) <= READ_BYTES)) {
		bytes += SizeOf(read.records[count++]);
	}
	read.records.resize(count);
	this->Reply(answer, 200, OffsetBytes(read.end) + OffsetBytes(0) + EncodeRecords(read.records));
}

void ReviewStore::Newest(const DeferredAnswerPtr &answer, const QUrlQuery &query)
{
	const NewestPage page = this->state.Newest(PartitionOf(query), query.queryItemValue("after").toStdString());
	QJsonArray items;
	for (const KeyedRecord &it : page.records) {
		const QByteArray value = QByteArray::fromStdString(it.value.value_or(std::string()));
		items.append(QJsonObject{{"tls-key", QString::fromStdString(it.key)},
								 {"value", QString::fromLatin1(value.toBase64())}});
	}
	this->Reply(answer, 200,
				BodyOf(QJsonObject{{"items", items}, {"more", page.more}, {"end", static_cast<qint64>(page.end)}}));
}

void ReviewStore::Join(const DeferredAnswerPtr &answer, const QJsonObject &json)
{
	const GroupMembership joined = this->state.Join(
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

void ReviewStore::Owners(const DeferredAnswerPtr &answer, const std::string &group)
{
	QJsonArray rows;
	for (const PartitionHolder &it : this->state.Holders(group, this->scheduler.Now())) {
		rows.append(QJsonArray{QString::fromStdString(it.partition.topic), static_cast<qint64>(it.partition.part),
							   QString::fromStdString(it.member), 0});
	}
	this->Reply(answer, 200, BodyOf(QJsonObject{{"owners", rows}}));
}
