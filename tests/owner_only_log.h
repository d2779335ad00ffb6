/** @file owner_only_log.h A log that only answers who owns a partition. */
#ifndef OWNER_ONLY_LOG_H
#define OWNER_ONLY_LOG_H

#include "store/keyed_log.h"
#include "store/owner_record.h"
#include "store/partition_claim.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

/** A log that only answers who owns a partition. */
class OwnerOnlyLog : public KeyedLog {
public:
	OwnerOnlyLog(Scheduler &scheduler, std::string owner)
			: OwnerOnlyLog(scheduler, StoredOwner{1, std::move(owner), false, Millis(0)})
	{
	}
	OwnerOnlyLog(Scheduler &scheduler, StoredOwner owner) : scheduler(scheduler), owner(std::move(owner)) {}

	/** Sets the owner of one topic's partitions. @param topic The topic. @param address IP:port of its owner's node. */
	void SetOwner(const std::string &topic, const std::string &address)
	{
		this->others[topic] = StoredOwner{1, address, false, Millis(0)};
	}

	void Newest(const PartitionId &partition, const std::string &, std::function<void(NewestPage)> done) override
	{
		const auto it = this->others.find(partition.topic);
		NewestPage page;
		page.code = ResultCode::RC_OK;
		page.records = {KeyedRecord{OWNER_KEY, EncodeOwner(it == this->others.end() ? this->owner : it->second)}};
		this->scheduler.After(Millis(1), [done, page] { done(page); });
	}
	void Append(const PartitionId &, const std::vector<KeyedRecord> &, const AppendCondition &, Millis,
				std::function<void(KeyedAppendAnswer)>) override
	{
	}
	void Read(const PartitionId &, uint64_t, Millis, std::function<void(KeyedReadAnswer)>) override {}
	void Join(const std::string &, const std::string &, const std::string &, Millis, uint64_t,
			  std::function<void(GroupMembership)>) override
	{
	}
	void Leave(const std::string &, const std::string &, std::function<void()>) override {}
	void Holders(const std::string &, std::function<void(ResultCode, std::vector<PartitionHolder>)>) override {}

private:
	Scheduler &scheduler;                      ///< Scheduler for answers.
	StoredOwner owner;                         ///< Record of the owner.
	std::map<std::string, StoredOwner> others; ///< Records of the owners of other topics.
};

#endif /* OWNER_ONLY_LOG_H */
