/** @file test_keyed_follower.cpp Up to when a follower knows the records of its partition. */
#include "standin/memory/keyed_store.h"
#include "standin/memory/node_scheduler.h"
#include "store/keyed_follower.h"

#include <doctest/doctest.h>

#include <set>

namespace {

const PartitionId INBOX{"keyed.jobs.calc", 1};
constexpr PollTiming TIMING{Millis(1000), Millis(0), Millis(100)};
constexpr size_t ANSWER_RECORDS = 2;                         ///< Most records of an answer to a read.
constexpr size_t RECORDS = 60;                               ///< Records appended at one moment.
constexpr Millis LATENCY(100);                               ///< One-way latency of the log.
constexpr Millis APPENDED_AT(5000);                          ///< When the records are appended.
constexpr Millis STEP(50);                                   ///< Interval of checks.
constexpr Millis CAUGHT_UP(20000);                           ///< When the follower has read all records.
constexpr Millis READ_MAX = TIMING.wait + LATENCY + LATENCY; ///< Longest time until a read is answered.

/** A log whose answers to reads have a maximum size. */
class ShortReads : public KeyedStoreClient {
public:
	using KeyedStoreClient::KeyedStoreClient;

	void Read(const PartitionId &partition, uint64_t from, Millis wait,
			  std::function<void(KeyedReadAnswer)> done) override
	{
		KeyedStoreClient::Read(partition, from, wait, [from, done = std::move(done)](KeyedReadAnswer answer) {
			if (answer.records.size() > ANSWER_RECORDS) {
				answer.records.resize(ANSWER_RECORDS);
				answer.next = from + ANSWER_RECORDS;
			}
			done(answer);
		});
	}
};

/** @return Key of a record. @param n Its number. */
std::string KeyOfRecord(size_t n)
{
	return "key" + std::to_string(100 + n);
}

} // namespace

TEST_CASE("a follower that reads more slowly than others append doesn't claim to know their records")
{
	VirtualScheduler clock{Millis(1700000000000)};
	NodeScheduler scheduler(clock);
	KeyedStore store(12);
	ShortReads log(scheduler, clock, store);
	log.faults.latency = LATENCY;
	std::set<std::string> seen;
	KeyedFollower follower(scheduler, log, INBOX, TIMING);
	follower.on_record = [&seen](const KeyedRecord &it) { seen.insert(it.key); };
	follower.Start();
	clock.RunUntil(APPENDED_AT);
	std::vector<KeyedRecord> records;
	for (size_t n = 0; n < RECORDS; n++) {
		records.push_back(KeyedRecord{KeyOfRecord(n), "value"});
	}
	REQUIRE(store.Append(INBOX, records, AppendCondition{}).code == ResultCode::RC_OK);
	int wrong = 0;
	for (; clock.Now() < CAUGHT_UP; clock.RunUntil(clock.Now() + STEP)) {
		wrong += follower.CurrentAsOf() > APPENDED_AT && seen.size() < RECORDS ? 1 : 0;
	}
	CHECK(wrong == 0);
	CHECK(seen.size() == RECORDS);
	CHECK(clock.Now() - follower.CurrentAsOf() <= READ_MAX + READ_MAX + STEP);
}
