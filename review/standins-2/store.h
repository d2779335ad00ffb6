// Stand-in of the platform's store, as PROTOCOL.md describes it.
#pragma once
#include "http.h"

#include <deque>
#include <set>

namespace rv {

/** What becomes of an append. */
enum class AppendFate {
	NORMAL, // done and answered
	LATE,   // not answered; done `late_ms` later, if its condition still holds
};

class Store {
public:
	/** Decides on an append. Null: all are normal. */
	std::function<AppendFate(const std::string &topic, int part, const Request &)> fate;
	long long late_ms = 3000;
	long long answer_ms = 4;
	unsigned long long writes = 0, late = 0;
	std::function<void(const std::string &)> note; // record of what was sent and answered

	Pending Handle(const Request &request);
	/** Writes a record of the operator or of a minion; without a value the key is dropped. */
	void Put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
	/** Carries out what is due. To be called often. */
	void Tick();

private:
	struct Record {
		std::string key;
		std::optional<std::string> value;
	};
	struct Producer {
		unsigned long long epoch = 0, last = 0;
		std::deque<std::pair<unsigned long long, std::string>> answers;
	};
	struct Partition {
		std::vector<Record> records;
		std::map<std::string, size_t> newest;
		std::map<std::string, Producer> producers;
	};
	struct Group {
		unsigned long long generation = 0;
		std::string topic;
		std::map<std::string, long long> until;           // members: when they are dropped
		std::map<std::string, unsigned long long> joined; // generation that they have joined with
		std::map<int, std::string> holder, target;
	};
	std::map<std::pair<std::string, int>, Partition> partitions;
	std::map<std::string, Group> groups;
	std::deque<std::pair<long long, std::function<void()>>> later;

	Response Append(const Request &request);
	Response Newest(const Request &request);
	Response Join(const Request &request);
	void Deal(Group &group);
	void Expire(Group &group);
};

} // namespace rv
