/** @file keyed_store.h The platform's keyed log in memory: its state, and a client for one node with faults by switch.
 */
#ifndef KEYED_STORE_H
#define KEYED_STORE_H

#include "../../scheduler_type.h"
#include "../../store/keyed_log.h"

#include <list>
#include <map>
#include <set>

/** State of the log: partitions and groups. No transport, no time but what is passed in. */
class KeyedStore {
public:
	/** @param parts Partitions of each topic. */
	explicit KeyedStore(uint32_t partition_count) : partition_count(partition_count) {}

	/** Appends, as KeyedLog says. */
	KeyedAppendAnswer Append(const PartitionId &partition, const std::vector<KeyedRecord> &records,
							 const AppendCondition &condition);
	/** Reads, as KeyedLog says, without waiting. */
	KeyedReadAnswer Read(const PartitionId &partition, uint64_t from) const;
	/** Reads newest records, as KeyedLog says. */
	NewestPage Newest(const PartitionId &partition, const std::string &after) const;
	/** Joins a group, as KeyedLog says. */
	GroupMembership Join(const std::string &group, const std::string &member, const std::string &topic, Millis silence,
						 uint64_t generation, Millis now);
	/** Leaves a group. */
	void Leave(const std::string &group, const std::string &member);
	/** @return Holders of a group's partitions; a member that is silent for too long holds nothing. */
	std::vector<PartitionHolder> Holders(const std::string &group, Millis now) const;
	/** Forgets the history of all partitions: only newest records stay. */
	void Compact();
	/** Deals all partitions of all groups anew, unasked. */
	void ReassignPartitions();

	std::function<void()> on_append; ///< Told after each append.

private:
	/** Appends of one producer to a partition. */
	struct Producer {
		uint64_t epoch = 0;                            ///< Highest epoch seen.
		std::map<uint64_t, KeyedAppendAnswer> answers; ///< Answers by sequence number, the last five.
		uint64_t next = 0;                             ///< Sequence number wanted.
		bool has_appended = false;                     ///< Whether this epoch has appended.
	};

	/** A partition. */
	struct Partition {
		std::vector<KeyedRecord> records;          ///< All records; offsets count from 0.
		uint64_t first = 0;                        ///< Oldest one kept.
		std::map<std::string, std::string> newest; ///< Newest value of each key.
		std::map<std::string, Producer> producers; ///< Producers by name.
	};

	/** A member of a group. */
	struct Member {
		Millis last_join;        ///< When it was heard of last.
		Millis silence;          ///< It is out after this.
		uint64_t generation = 0; ///< Generation that it has named.
	};

	/** A group. */
	struct Group {
		std::string topic;                        ///< What is dealt.
		uint64_t generation = 0;                  ///< Rises with each change.
		uint64_t rotation = 0;                    ///< Moves the deal.
		std::map<std::string, Member> members;    ///< Members by name.
		std::map<uint32_t, std::string> holders;  ///< Who holds what.
		std::map<uint32_t, std::string> assigned; ///< Who is to hold what.
	};

	uint32_t partition_count;                    ///< Partitions of each topic.
	std::map<PartitionId, Partition> partitions; ///< Partitions in use.
	std::map<std::string, Group> groups;         ///< Groups by name.

	void AssignPartitions(Group &group) const;
	void CompleteHandovers(Group &group) const;
};

/** Faults of one node's way to the log. Change them at any time. */
struct StoreFaults {
	bool silent = false;                     ///< Calls get no answer, nothing is done.
	std::set<PartitionId> silent_partitions; ///< The same for calls to these partitions alone.
	bool refusing = false;                   ///< Appends and joins are refused, reads fail: nothing is done.
	uint32_t lose_every = 0;                 ///< Every n-th append is done but not answered; 0 for none.
	bool late = false;                       ///< Those are done seconds later instead of at once.
	bool join_lost = false;                  ///< Joins get no answer and have no effect.
	Millis latency = Millis(4);              ///< One way.
};

/** A node's client. */
class KeyedStoreClient : public KeyedLog {
public:
	/** @param scheduler The node's clock. @param clock The world's clock. @param store The log; outlives this. */
	KeyedStoreClient(Scheduler &scheduler, VirtualScheduler &clock, KeyedStore &store)
			: scheduler(scheduler), clock(clock), store(store)
	{
	}

	void Append(const PartitionId &partition, const std::vector<KeyedRecord> &records, const AppendCondition &condition,
				Millis patience, std::function<void(KeyedAppendAnswer)> done) override;
	void Read(const PartitionId &partition, uint64_t from, Millis wait,
			  std::function<void(KeyedReadAnswer)> done) override;
	void Newest(const PartitionId &partition, const std::string &after, std::function<void(NewestPage)> done) override;
	void Join(const std::string &group, const std::string &member, const std::string &topic, Millis silence,
			  uint64_t generation, std::function<void(GroupMembership)> done) override;
	void Leave(const std::string &group, const std::string &member, std::function<void()> done) override;
	void Holders(const std::string &group, std::function<void(ResultCode, std::vector<PartitionHolder>)> done) override;

	[[nodiscard]] Millis AnswerLostAt() const override { return this->lost_at; }

	StoreFaults faults; ///< Faults in force.

private:
	Scheduler &scheduler;        ///< The node's clock: answers wait while it is paused.
	VirtualScheduler &clock;     ///< The world's clock: calls arrive also then.
	KeyedStore &store;           ///< The log.
	uint32_t appends = 0;        ///< Appends sent.
	Millis lost_at = NEVER_LOST; ///< For AnswerLostAt().

	/** @return Whether calls get no answer. @param partition Where they go; none for calls about groups. */
	[[nodiscard]] bool DropsCalls(const std::optional<PartitionId> &partition) const
	{
		return this->faults.silent || (partition && this->faults.silent_partitions.contains(*partition));
	}
	/** Makes a call: `work` runs at the log, its answer comes back; `failed` is told when the way is broken. */
	template <class Answer>
	void Call(const std::optional<PartitionId> &partition, std::function<Answer()> work, Answer failed, Millis patience,
			  const std::function<void(Answer)> &done);
	void Poll(const PartitionId &partition, uint64_t from, Millis until,
			  const std::function<void(KeyedReadAnswer)> &done);
};

#endif /* KEYED_STORE_H */
