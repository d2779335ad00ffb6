/** @file keyed_log.h Keyed log: partitions of records that keep the newest record of each key for good. */
#ifndef KEYED_LOG_H
#define KEYED_LOG_H

#include "../error_type.h"
#include "../strong_type.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/** A partition of a topic. */
struct PartitionId {
	std::string topic; ///< Name of the topic.
	uint32_t part = 0; ///< Number of the partition.

	auto operator<=>(const PartitionId &) const = default;
};

/** A record with a key. A record without a value drops the key. */
struct KeyedRecord {
	std::string key;                  ///< Key; at most 255 bytes.
	std::optional<std::string> value; ///< Value; none to drop the key.

	bool operator==(const KeyedRecord &) const = default;
};

/** Sizes above which the log rejects an append for good. */
struct AppendLimits {
	size_t record_bytes = 262144; ///< Largest encoded record: see EncodedSize().
	size_t call_bytes = 2097152;  ///< Largest sum of the encoded records of an append.

	bool operator==(const AppendLimits &) const = default;
};

/** @return Upper bound of the bytes that a record takes in an append. @param record The record. */
inline size_t EncodedSize(const KeyedRecord &record)
{
	constexpr size_t LENGTH_BYTES = 5; /* Length of the record and of its key. */
	return LENGTH_BYTES + record.key.size() + (record.value ? record.value->size() : 0);
}

/** Conditions under which an append is accepted. */
struct AppendCondition {
	std::optional<uint64_t> at; ///< Offset at which the partition must end; none for any.
	std::string producer;       ///< Name of the producer whose epochs are compared; empty for no check.
	uint64_t epoch = 0;         ///< Epoch; the append is refused when the producer has used a higher one.
	uint64_t sequence = 0;      ///< Number of the append in its epoch; a repeated one gets its first answer.
};

/** Answer to an append. */
struct KeyedAppendAnswer {
	/** RC_OK, RC_FENCED, RC_STALE_TERM (the condition `at` or the sequence didn't hold), RC_LOG_THROTTLED (not
	 * written), RC_LOG_UNAVAILABLE (not sent, not written), RC_LOG_REJECTED (larger than Limits(), not written) or
	 * RC_LOG_ANSWER_LOST (outcome unknown). */
	ResultCode code = ResultCode::RC_LOG_ANSWER_LOST;
	uint64_t end = 0; ///< With RC_OK, offset after the last record.
};

/** Answer to a read: records from an offset on. */
struct KeyedReadAnswer {
	ResultCode code = ResultCode::RC_LOG_UNAVAILABLE; ///< RC_OK, RC_LOG_UNAVAILABLE or RC_LOG_FORGOTTEN.
	std::vector<KeyedRecord> records;                 ///< Records in order; empty when none arrived in time.
	uint64_t next = 0;                                ///< Offset after the last record, from which to read on.
	uint64_t end = 0;                                 ///< End of the partition when it was read.
};

/** A page of the newest records, one for each key. */
struct NewestPage {
	ResultCode code = ResultCode::RC_LOG_UNAVAILABLE; ///< RC_OK or RC_LOG_UNAVAILABLE.
	std::vector<KeyedRecord> records;                 ///< Records in the order of their keys.
	bool more = false;                                ///< Whether there are further keys after the last one.
	uint64_t end = 0;                                 ///< End offset of the partition when the page was made.
};

/** Answer to a join: membership in a group to which the partitions of a topic are assigned. */
struct GroupMembership {
	ResultCode code = ResultCode::RC_LOG_UNAVAILABLE; ///< RC_OK or RC_LOG_UNAVAILABLE.
	uint64_t generation = 0;                          ///< Increases with each change of the assignment.
	std::vector<PartitionId> partitions;              ///< Partitions assigned to this member.
};

/** Holder of a partition. */
struct PartitionHolder {
	PartitionId partition; ///< The partition.
	std::string member;    ///< Name of the member that holds it.
};

/** The platform's keyed log. Answers are delivered later on the caller's thread, never from inside the call. */
class KeyedLog {
public:
	virtual ~KeyedLog() = default;

	/** Appends records, all or none. @param partition Partition to append to. @param records Records to append. @param
	 * condition Conditions under which the append is accepted. @param timeout Time after which the answer counts as
	 * lost. @param done Receives the answer. */
	virtual void Append(const PartitionId &partition, const std::vector<KeyedRecord> &records,
						const AppendCondition &condition, Millis timeout,
						std::function<void(KeyedAppendAnswer)> done) = 0;
	/** Reads records in order. @param partition Partition to read. @param from First offset. @param wait Longest time
	 * that the answer may be delayed until a record arrives. @param done Receives the answer. */
	virtual void Read(const PartitionId &partition, uint64_t from, Millis wait,
					  std::function<void(KeyedReadAnswer)> done) = 0;
	/** Reads a page of the newest records by key. @param partition Partition to read. @param after The page begins
	 * after this key; empty for the first page. @param done Receives the page. */
	virtual void Newest(const PartitionId &partition, const std::string &after,
						std::function<void(NewestPage)> done) = 0;
	/** Joins a group or renews the membership. @param group Name of the group. @param member Name of this member.
	 * @param topic Topic whose partitions are assigned. @param member_timeout A member that sends no join for this long
	 * is removed. @param generation Generation of the last answer, which this acknowledges. @param done Receives the
	 * answer. */
	virtual void Join(const std::string &group, const std::string &member, const std::string &topic,
					  Millis member_timeout, uint64_t generation, std::function<void(GroupMembership)> done) = 0;
	/** Leaves a group. @param group Name of the group. @param member Name of this member. @param done Called when the
	 * log has answered or the call has failed. */
	virtual void Leave(const std::string &group, const std::string &member, std::function<void()> done) = 0;
	/** Reads the holders of all partitions of a group. @param group Name of the group. @param done Receives the result
	 * code and the holders. */
	virtual void Holders(const std::string &group,
						 std::function<void(ResultCode, std::vector<PartitionHolder>)> done) = 0;
	/** @return Sizes above which an append is rejected. */
	[[nodiscard]] virtual AppendLimits Limits() const { return AppendLimits(); }
	/** @return When the answer to a call was last found to be lost; NEVER_LOST when none was. */
	[[nodiscard]] virtual Millis AnswerLostAt() const { return NEVER_LOST; }

protected:
	static constexpr Millis NEVER_LOST = Millis(-1000000); ///< Value of AnswerLostAt() while no answer was lost.
};

#endif /* KEYED_LOG_H */
