/** @file keyed_store.cpp The platform's keyed log in memory. */
#include "keyed_store.h"

#include <algorithm>
#include <ranges>

namespace {

constexpr size_t KEPT_ANSWERS = 5;   ///< Latest appends of a producer that are deduplicated.
constexpr Millis LATE_DELAY(2500);   ///< Delay of a call that is executed late.
constexpr Millis CALL_TIMEOUT(1000); ///< Time after which an unanswered call fails.
constexpr Millis POLL_INTERVAL(5);   ///< Interval at which a long poll checks for records.
constexpr size_t PAGE_RECORDS = 50;  ///< Records of a page; the platform's pages are larger.

} // namespace

KeyedAppendAnswer KeyedStore::Append(const PartitionId &partition, const std::vector<KeyedRecord> &records,
									 const AppendCondition &condition)
{
	if (this->Exceeds(records)) {
		return {ResultCode::RC_LOG_REJECTED, 0};
	}
	Partition &part = this->partitions[partition];
	if (!condition.producer.empty()) {
		Producer &producer = part.producers[condition.producer];
		if (condition.epoch < producer.epoch) {
			return {ResultCode::RC_FENCED, 0};
		}
		if (condition.epoch == producer.epoch && producer.has_appended) {
			if (const auto repeated = producer.answers.find(condition.sequence); repeated != producer.answers.end()) {
				return repeated->second;
			}
			if (condition.sequence != producer.next) {
				return {ResultCode::RC_STALE_TERM, 0};
			}
		}
	}
	if (condition.at && *condition.at != part.records.size()) {
		return {ResultCode::RC_STALE_TERM, 0};
	}
	for (const KeyedRecord &record : records) {
		part.records.push_back(record);
		if (record.value) {
			part.newest[record.key] = *record.value;
		} else {
			part.newest.erase(record.key);
		}
	}
	const KeyedAppendAnswer answer{ResultCode::RC_OK, part.records.size()};
	if (!condition.producer.empty()) {
		Producer &producer = part.producers[condition.producer];
		if (condition.epoch > producer.epoch) {
			producer = Producer{condition.epoch, {}, 0, false};
		}
		producer.has_appended = true;
		producer.next = condition.sequence + 1;
		producer.answers[condition.sequence] = answer;
		if (producer.answers.size() > KEPT_ANSWERS) {
			producer.answers.erase(producer.answers.begin());
		}
	}
	if (this->on_append) {
		this->on_append();
	}
	return answer;
}

bool KeyedStore::Exceeds(const std::vector<KeyedRecord> &records) const
{
	size_t sum = 0;
	for (const size_t it : records | std::views::transform(EncodedSize)) {
		if (it > this->limits.record_bytes) {
			return true;
		}
		sum += it;
	}
	return sum > this->limits.call_bytes;
}

KeyedReadAnswer KeyedStore::Read(const PartitionId &partition, uint64_t from) const
{
	KeyedReadAnswer answer{ResultCode::RC_OK, {}, from};
	const auto it = this->partitions.find(partition);
	if (it == this->partitions.end()) {
		return answer;
	}
	if (from < it->second.first) {
		answer.code = ResultCode::RC_LOG_FORGOTTEN;
		return answer;
	}
	std::ranges::copy(it->second.records | std::views::drop(from), std::back_inserter(answer.records));
	answer.next = answer.end = from + answer.records.size();
	return answer;
}

NewestPage KeyedStore::Newest(const PartitionId &partition, const std::string &after) const
{
	NewestPage page;
	page.code = ResultCode::RC_OK;
	const auto it = this->partitions.find(partition);
	if (it == this->partitions.end()) {
		return page;
	}
	page.end = it->second.records.size();
	for (auto row = it->second.newest.upper_bound(after); row != it->second.newest.end(); ++row) {
		if (page.records.size() == PAGE_RECORDS) {
			page.more = true;
			break;
		}
		page.records.push_back(KeyedRecord{row->first, row->second});
	}
	return page;
}

void KeyedStore::Compact()
{
	for (Partition &it : this->partitions | std::views::values) {
		it.first = it.records.size();
	}
}

void KeyedStore::AssignPartitions(Group &group) const
{
	group.generation++;
	group.assigned.clear();
	if (group.members.empty()) {
		return;
	}
	for (uint32_t part = 0; part < this->partition_count; part++) {
		const size_t member_index =
				(size_t{part} * group.members.size() / this->partition_count + group.rotation) % group.members.size();
		group.assigned[part] = std::next(group.members.begin(), static_cast<ptrdiff_t>(member_index))->first;
	}
}

void KeyedStore::CompleteHandovers(Group &group) const
{
	/* A partition is handed over when its holder has left or has reported a generation in which it no longer has it. */
	for (const auto &[part, member] : group.assigned) {
		const auto holder = group.holders.find(part);
		const auto old = holder == group.holders.end() ? group.members.end() : group.members.find(holder->second);
		if (old == group.members.end() || holder->second == member || old->second.generation >= group.generation) {
			group.holders[part] = member;
		}
	}
}

GroupMembership KeyedStore::Join(const std::string &group, const std::string &member, const std::string &topic,
								 Millis silence, uint64_t generation, Millis now)
{
	Group &it = this->groups[group];
	it.topic = topic;
	const size_t gone =
			std::erase_if(it.members, [&](const auto &row) { return now - row.second.last_join > row.second.silence; });
	const bool added = !it.members.contains(member);
	it.members[member] = Member{now, silence, generation};
	if (added || gone > 0) {
		this->AssignPartitions(it);
	}
	this->CompleteHandovers(it);
	GroupMembership answer;
	answer.code = ResultCode::RC_OK;
	answer.generation = it.generation;
	for (const auto &[part, holder] : it.holders) {
		if (holder == member && it.assigned[part] == member) {
			answer.partitions.push_back(PartitionId{topic, part});
		}
	}
	return answer;
}

void KeyedStore::Leave(const std::string &group, const std::string &member)
{
	Group &it = this->groups[group];
	if (it.members.erase(member) > 0) {
		this->AssignPartitions(it);
		this->CompleteHandovers(it);
	}
}

void KeyedStore::ReassignPartitions()
{
	for (Group &it : this->groups | std::views::values) {
		it.rotation++;
		this->AssignPartitions(it);
	}
}

std::vector<PartitionHolder> KeyedStore::Holders(const std::string &group, Millis now) const
{
	std::vector<PartitionHolder> out;
	const auto it = this->groups.find(group);
	if (it == this->groups.end()) {
		return out;
	}
	for (const auto &[part, name] : it->second.holders) {
		const auto member = it->second.members.find(name);
		if (member != it->second.members.end() && now - member->second.last_join <= member->second.silence) {
			out.push_back(PartitionHolder{PartitionId{it->second.topic, part}, name});
		}
	}
	return out;
}

template <class Answer>
void KeyedStoreClient::Call(const std::optional<PartitionId> &partition, std::function<Answer()> work, Answer failed,
							Millis patience, const std::function<void(Answer)> &done)
{
	if (this->DropsCalls(partition)) {
		this->scheduler.After(std::min(patience, CALL_TIMEOUT), [this, done, failed] {
			this->lost_at = this->scheduler.Now();
			done(failed);
		});
		return;
	}
	if (this->faults.refusing) {
		this->scheduler.After(this->faults.latency, [done, failed] { done(failed); });
		return;
	}
	this->clock.After(this->faults.latency, [this, work, done] {
		const Answer answer = work();
		this->scheduler.After(this->faults.latency, [done, answer] { done(answer); });
	});
}

void KeyedStoreClient::Append(const PartitionId &partition, const std::vector<KeyedRecord> &records,
							  const AppendCondition &condition, Millis patience,
							  std::function<void(KeyedAppendAnswer)> done)
{
	const KeyedAppendAnswer unknown{ResultCode::RC_LOG_ANSWER_LOST, 0};
	const auto work = [&store = this->store, partition, records, condition] {
		return store.Append(partition, records, condition);
	};
	this->appends++;
	if (!this->DropsCalls(partition) && this->faults.lose_every > 0 && this->appends % this->faults.lose_every == 0) {
		this->clock.After(this->faults.late ? LATE_DELAY : this->faults.latency, [work] { work(); });
		this->scheduler.After(patience, [this, done, unknown] {
			this->lost_at = this->scheduler.Now();
			done(unknown);
		});
		return;
	}
	const KeyedAppendAnswer failed =
			this->faults.refusing ? KeyedAppendAnswer{ResultCode::RC_LOG_THROTTLED, 0} : unknown;
	this->Call<KeyedAppendAnswer>(partition, work, failed, patience, done);
}

void KeyedStoreClient::Poll(const PartitionId &partition, uint64_t from, Millis until,
							const std::function<void(KeyedReadAnswer)> &done)
{
	KeyedReadAnswer answer = this->store.Read(partition, from);
	const bool empty_answer = answer.code == ResultCode::RC_OK && answer.records.empty();
	const bool broken = this->DropsCalls(partition) || this->faults.refusing;
	if (empty_answer && this->clock.Now() < until && !broken) {
		this->scheduler.After(POLL_INTERVAL,
							  [this, partition, from, until, done] { this->Poll(partition, from, until, done); });
		return;
	}
	if (this->DropsCalls(partition)) {
		this->scheduler.After(until + CALL_TIMEOUT - this->clock.Now(), [done] { done(KeyedReadAnswer{}); });
		return;
	}
	if (broken) {
		answer = KeyedReadAnswer{};
	}
	this->scheduler.After(this->faults.latency, [done, answer] { done(answer); });
}

void KeyedStoreClient::Read(const PartitionId &partition, uint64_t from, Millis wait,
							std::function<void(KeyedReadAnswer)> done)
{
	if (this->DropsCalls(partition) || this->faults.refusing) {
		this->Call<KeyedReadAnswer>(
				partition, [] { return KeyedReadAnswer{}; }, KeyedReadAnswer{}, wait + CALL_TIMEOUT, done);
		return;
	}
	this->scheduler.After(this->faults.latency, [this, partition, from, wait, done = std::move(done)] {
		this->Poll(partition, from, this->clock.Now() + wait, done);
	});
}

void KeyedStoreClient::Newest(const PartitionId &partition, const std::string &after,
							  std::function<void(NewestPage)> done)
{
	this->Call<NewestPage>(
			partition, [&store = this->store, partition, after] { return store.Newest(partition, after); },
			NewestPage{}, CALL_TIMEOUT, done);
}

void KeyedStoreClient::Join(const std::string &group, const std::string &member, const std::string &topic,
							Millis silence, uint64_t generation, std::function<void(GroupMembership)> done)
{
	if (this->faults.join_lost) {
		this->scheduler.After(CALL_TIMEOUT, [this, done] {
			this->lost_at = this->scheduler.Now();
			done(GroupMembership{});
		});
		return;
	}
	this->Call<GroupMembership>(
			std::nullopt,
			[this, group, member, topic, silence, generation] {
				return this->store.Join(group, member, topic, silence, generation, this->clock.Now());
			},
			GroupMembership{}, CALL_TIMEOUT, done);
}

void KeyedStoreClient::Leave(const std::string &group, const std::string &member, std::function<void()> done)
{
	this->Call<int>(
			std::nullopt,
			[&store = this->store, group, member] {
				store.Leave(group, member);
				return 0;
			},
			0, CALL_TIMEOUT, [done = std::move(done)](int) { done(); });
}

void KeyedStoreClient::Holders(const std::string &group,
							   std::function<void(ResultCode, std::vector<PartitionHolder>)> done)
{
	using Rows = std::optional<std::vector<PartitionHolder>>;
	this->Call<Rows>(
			std::nullopt, [this, group] { return Rows(this->store.Holders(group, this->clock.Now())); }, std::nullopt,
			CALL_TIMEOUT,
			[done = std::move(done)](const Rows &rows) {
				done(rows ? ResultCode::RC_OK : ResultCode::RC_LOG_UNAVAILABLE,
					 rows.value_or(std::vector<PartitionHolder>{}));
			});
}
