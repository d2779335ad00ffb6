/** @file keyed_store.h The platform's keyed log in memory: its state, and a client for one node with fault injection.
 */
#ifndef KEYED_STORE_H
#define KEYED_STORE_H

#include "../../scheduler_type.h"
#include "../../store/keyed_log.h"

#include <list>
#include <map>
#include <set>

/** State of the log: partitions and consumer groups. It has no transport; callers pass in the time. */
class KeyedStore {
public:
	/** @param partition_count Partitions of each topic. */
	explicit KeyedStore(uint32_t partition_count) : partition_count(partition_count) {}

	/** Appends records; see KeyedLog::Append(). */
	KeyedAppendAnswer Append(const PartitionId &partition, const std::vector<KeyedRecord> &records,
							 const AppendCondition &condition);
	/** Reads records without waiting; see KeyedLog::Read(). */
	KeyedReadAnswer Read(const PartitionId &partition, uint64_t from) const;
	/** Reads the newest record of each key, page by page; see KeyedLog::Newest(). */
	NewestPage Newest(const PartitionId &partition, const std::string &after) const;
	/** Joins a group or renews the membership; see KeyedLog::Join(). */
	GroupMembership Join(const std::string &group, const std::string &member, const std::string &topic, Millis silence,
						 uint64_t generation, Millis now);
	/** Leaves a group. */
	void Leave(const std::string &group, const std::string &member);
	/** @return Holders of a group's partitions, without those of members whose membership has timed out. */
	std::vector<PartitionHolder> Holders(const std::string &group, Millis now) const;
	/** Compacts all partitions: records so far can't be read any more, only the newest one of each key by Newest(). */
	void Compact();
	/** Reassigns the partitions of all groups, as the platform may do at any time. */
	void ReassignPartitions();

	std::function<void()> on_append; ///< Called after each append.
	AppendLimits limits;             ///< Sizes above which appends are rejected.

private:
	/** Appends of one producer to a partition. */
	struct Producer {
		uint64_t epoch = 0;                            ///< Highest epoch seen.
		std::map<uint64_t, KeyedAppendAnswer> answers; ///< Last KEPT_ANSWERS answers by sequence number.
		uint64_t next = 0;                             ///< Next expected sequence number.
		bool has_appended = false;                     ///< Whether the producer has appended in this epoch.
	};

	/** A partition. */
	struct Partition {
		std::vector<KeyedRecord> records;          ///< All records; offsets count from 0.
		uint64_t first = 0;                        ///< Offset of the oldest record that can be read.
		std::map<std::string, std::string> newest; ///< Newest value of each key.
		std::map<std::string, Producer> producers; ///< Producers by name.
	};

	/** A member of a group. */
	struct Member {
		Millis last_join;        ///< Time of its last join.
		Millis silence;          ///< Time without a join after which it is removed.
		uint64_t generation = 0; ///< Generation that it last reported.
	};

	/** A group. */
	struct Group {
		std::string topic;                        ///< Topic whose partitions are assigned.
		uint64_t generation = 0;                  ///< Increases with each assignment.
		uint64_t rotation = 0;                    ///< Rotates the assignment.
		std::map<std::string, Member> members;    ///< Members by name.
		std::map<uint32_t, std::string> holders;  ///< Current holder of each partition.
		std::map<uint32_t, std::string> assigned; ///< Member that is to hold each partition.
	};

	uint32_t partition_count;                    ///< Partitions of each topic.
	std::map<PartitionId, Partition> partitions; ///< Partitions in use.
	std::map<std::string, Group> groups;         ///< Groups by name.

	/** @return Whether an append is larger than `limits`. @param records Its records. */
	[[nodiscard]] bool Exceeds(const std::vector<KeyedRecord> &records) const;
	void AssignPartitions(Group &group) const;
	void CompleteHandovers(Group &group) const;
};

/** Faults of one node's connection to the log. They may be changed at any time. */
struct StoreFaults {
	bool silent = false;                     ///< Calls get no answer and are not executed.
	std::set<PartitionId> silent_partitions; ///< Partitions whose calls get no answer and are not executed.
	bool refusing = false;                   ///< Appends and joins are refused, reads fail; nothing is executed.
	uint32_t lose_every = 0;                 ///< Every n-th append is executed but not answered; 0 for none.
	bool late = false;                       ///< Whether appends that lose their answer are executed LATE_DELAY later.
	bool join_lost = false;                  ///< Joins get no answer and have no effect.
	Millis latency = Millis(4);              ///< One-way latency.
};

/** Client of one node. */
class KeyedStoreClient : public KeyedLog {
public:
	/** @param scheduler Clock of the node. @param clock Clock of the simulation. @param store The log; outlives this.
	 */
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

	[[nodiscard]] AppendLimits Limits() const override { return this->store.limits; }
	[[nodiscard]] Millis AnswerLostAt() const override { return this->lost_at; }

	StoreFaults faults; ///< Faults in force.

private:
	Scheduler &scheduler;        ///< Clock of the node; answers are held while it is paused.
	VirtualScheduler &clock;     ///< Clock of the simulation; calls arrive also while the node is paused.
	KeyedStore &store;           ///< The log.
	uint32_t appends = 0;        ///< Number of appends sent.
	Millis lost_at = NEVER_LOST; ///< Time of the last call without an answer.

	/** @return Whether calls get no answer. @param partition Partition called; none for calls about groups. */
	[[nodiscard]] bool DropsCalls(const std::optional<PartitionId> &partition) const
	{
		return this->faults.silent || (partition && this->faults.silent_partitions.contains(*partition));
	}
	/** Executes `work` at the log and passes its answer to `done`, or `failed` when a fault stops the call. */
	template <class Answer>
	void Call(const std::optional<PartitionId> &partition, std::function<Answer()> work, Answer failed, Millis patience,
			  const std::function<void(Answer)> &done);
	void Poll(const PartitionId &partition, uint64_t from, Millis until,
			  const std::function<void(KeyedReadAnswer)> &done);
};

#endif /* KEYED_STORE_H */
