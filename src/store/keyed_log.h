/** @file keyed_log.h A log with keys: partitions of records, of which the newest of each key is kept for good. */
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
	std::string topic; ///< Topic.
	uint32_t part = 0; ///< Number of the partition.

	auto operator<=>(const PartitionId &) const = default;
};

/** A record with a key. Without a value it drops the key. */
struct KeyedRecord {
	std::string key;                  ///< Key, 255 bytes at most.
	std::optional<std::string> value; ///< Value.

	bool operator==(const KeyedRecord &) const = default;
};

/** What must hold for an append. */
struct AppendCondition {
	std::optional<uint64_t> at; ///< The partition must end at this offset.
	std::string producer;       ///< Name under which epochs are compared; empty for none.
	uint64_t epoch = 0;         ///< An append below the highest epoch seen of this producer is refused.
	uint64_t sequence = 0;      ///< Counts the appends of an epoch; a repeated one gets its first answer.
};

/** Answer to an append. */
struct KeyedAppendAnswer {
	/** RC_OK, RC_FENCED, RC_STALE_TERM (the condition `at` or the sequence didn't hold), RC_LOG_THROTTLED (nothing was
	 * done), RC_LOG_UNAVAILABLE (not sent, nothing was done) or RC_LOG_ANSWER_LOST (unknown). */
	ResultCode code = ResultCode::RC_LOG_ANSWER_LOST;
	uint64_t end = 0; ///< End of the partition behind the records, with RC_OK.
};

/** Records of a partition from an offset on. */
struct KeyedReadAnswer {
	ResultCode code = ResultCode::RC_LOG_UNAVAILABLE; ///< RC_OK, RC_LOG_UNAVAILABLE or RC_LOG_FORGOTTEN.
	std::vector<KeyedRecord> records;                 ///< In order; none when nothing came in time.
	uint64_t next = 0;                                ///< Offset behind the last of them.
};

/** A page of the newest records of all keys. */
struct NewestPage {
	ResultCode code = ResultCode::RC_LOG_UNAVAILABLE; ///< RC_OK or RC_LOG_UNAVAILABLE.
	std::vector<KeyedRecord> records;                 ///< In the order of keys.
	bool more = false;                                ///< Whether keys behind the last one follow.
	uint64_t end = 0;                                 ///< End of the partition when the page was made.
};

/** Membership in a group that shares out the partitions of a topic. */
struct GroupMembership {
	ResultCode code = ResultCode::RC_LOG_UNAVAILABLE; ///< RC_OK or RC_LOG_UNAVAILABLE.
	uint64_t generation = 0;                          ///< Rises with each change.
	std::vector<PartitionId> partitions;              ///< Partitions of this member.
};

/** Who holds a partition. */
struct PartitionHolder {
	PartitionId partition; ///< The partition.
	std::string member;    ///< Its member.
};

/** The platform's keyed log. Answers come later, on the caller's thread, never from inside the call. */
class KeyedLog {
public:
	virtual ~KeyedLog() = default;

	/** Appends records, all or none. @param partition Where. @param records What. @param condition What must hold.
	 * @param patience Time after which the answer counts as lost. @param done Gets the answer. */
	virtual void Append(const PartitionId &partition, const std::vector<KeyedRecord> &records,
						const AppendCondition &condition, Millis patience,
						std::function<void(KeyedAppendAnswer)> done) = 0;
	/** Reads on. @param partition Where. @param from First offset. @param wait Time that the answer may wait for a
	 * record. @param done Gets the answer. */
	virtual void Read(const PartitionId &partition, uint64_t from, Millis wait,
					  std::function<void(KeyedReadAnswer)> done) = 0;
	/** Reads newest records by key. @param partition Where. @param after Key behind which the page begins; empty for
	 * the first page. @param done Gets the page. */
	virtual void Newest(const PartitionId &partition, const std::string &after,
						std::function<void(NewestPage)> done) = 0;
	/** Joins a group or stays in it. @param group The group. @param member This member. @param topic Topic that is
	 * shared out. @param silence A member not heard of for so long is out. @param generation The last one heard.
	 * @param done Gets the answer. */
	virtual void Join(const std::string &group, const std::string &member, const std::string &topic, Millis silence,
					  uint64_t generation, std::function<void(GroupMembership)> done) = 0;
	/** Leaves a group. @param group The group. @param member This member. @param done Told when it was tried. */
	virtual void Leave(const std::string &group, const std::string &member, std::function<void()> done) = 0;
	/** Asks who holds what. @param group The group. @param done Gets RC_OK and the holders. */
	virtual void Holders(const std::string &group,
						 std::function<void(ResultCode, std::vector<PartitionHolder>)> done) = 0;
	/** @return When a call last turned out to have got no answer, or long ago. */
	[[nodiscard]] virtual Millis AnswerLostAt() const { return NEVER_LOST; }

protected:
	static constexpr Millis NEVER_LOST = Millis(-1000000); ///< For AnswerLostAt(), before the first.
};

#endif /* KEYED_LOG_H */
