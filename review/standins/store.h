/** @file store.h Stand-in of the platform's store, as PROTOCOL.md describes it, on one loopback port. */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include "record.h"
#include "soak_http.h"
#include "standin/memory/keyed_store.h"

/** Server of the store. The state of topics and groups is that of the project's own stand-in, KeyedStore. */
class ReviewStore {
public:
	ReviewStore(QtScheduler &scheduler, Record &record, uint32_t parts);

	/** Opens the port. @return Whether it listens. */
	bool Start() { return this->listener.Listen(); }
	[[nodiscard]] quint16 Port() const { return this->listener.Port(); }
	/** Writes a record as the operator or a minion does. @param topic The topic. @param key The key. @param value The
	 * value; none drops the key. */
	void Put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);

	size_t record_bytes = 262144; ///< Setting `platform.record_bytes` of the small deployments.
	size_t call_bytes = 2097152;  ///< Setting `platform.call_bytes` of the small deployments.
	uint64_t refused_appends = 0; ///< Appends refused because a record or the call was larger than that.

private:
	QtScheduler &scheduler;
	Record &record;
	KeyedStore state;
	SoakListener listener;

	void Serve(const DeferredAnswerPtr &answer, const CallerRequest &request);
	void Append(const DeferredAnswerPtr &answer, const CallerRequest &request);
	void Read(const DeferredAnswerPtr &answer, const PartitionId &partition, uint64_t from, Millis until);
	void Newest(const DeferredAnswerPtr &answer, const QUrlQuery &query);
	void Join(const DeferredAnswerPtr &answer, const QJsonObject &json);
	void Owners(const DeferredAnswerPtr &answer, const std::string &group);
	void Reply(const DeferredAnswerPtr &answer, int status, const std::string &body);
};

#endif /* REVIEW_STORE_H */
