/** @file memory_log.cpp An append-only log in memory with retention, an append rate limit and fault injection. */
#include "memory_log.h"

#include <algorithm>

AppendAnswer LogStore::Append(std::string bytes, Millis now)
{
	const int64_t now_second = now.Value() / MS_PER_SECOND;
	if (now_second != this->limited_second) {
		this->limited_second = now_second;
		this->appends_in_second = 0;
	}
	if (this->appends_in_second >= this->limits.appends_per_second) {
		return {ResultCode::RC_LOG_THROTTLED, LogOffset()};
	}
	this->appends_in_second++;
	this->last_stamp = std::max(this->last_stamp, now);
	this->bytes_appended += bytes.size();
	const LogOffset offset(this->first_offset + this->records.size());
	this->records.push_back(LogRecord{offset, this->last_stamp, std::move(bytes)});
	this->RemoveExpired(now);
	return {ResultCode::RC_OK, offset};
}

ReadAnswer LogStore::Read(LogOffset from, Millis now)
{
	this->RemoveExpired(now);
	ReadAnswer answer;
	answer.oldest = LogOffset(this->first_offset);
	answer.newest = this->Newest();
	if (from.Value() < this->first_offset) {
		answer.code = ResultCode::RC_LOG_FORGOTTEN;
		return answer;
	}
	const size_t start = std::min<size_t>(from.Value() - this->first_offset, this->records.size());
	const size_t count = std::min(this->records.size() - start, this->limits.read_records);
	const auto begin = this->records.begin() + static_cast<std::ptrdiff_t>(start);
	answer.records.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
	return answer;
}

void LogStore::RemoveExpired(Millis now)
{
	while (!this->records.empty() &&
		   (this->records.size() > this->limits.records || this->records.front().stamp + this->limits.age < now)) {
		this->records.pop_front();
		this->first_offset++;
	}
}

void MemoryLog::Append(std::string bytes, std::function<void(AppendAnswer)> done)
{
	if (this->faults.down) {
		this->scheduler.After(this->faults.delay, [done = std::move(done)] {
			done({ResultCode::RC_LOG_UNAVAILABLE, LogOffset()});
		});
		return;
	}
	AppendAnswer answer = this->store.Append(bytes, this->scheduler.WallNow());
	if (answer.code == ResultCode::RC_OK && this->faults.repeat_appends > 0) {
		this->faults.repeat_appends--;
		this->store.Append(std::move(bytes), this->scheduler.WallNow());
	}
	if (answer.code == ResultCode::RC_OK && this->faults.lose_answers > 0) {
		this->faults.lose_answers--;
		answer = {ResultCode::RC_LOG_ANSWER_LOST, LogOffset()};
	}
	this->scheduler.After(this->faults.delay, [done = std::move(done), answer] { done(answer); });
}

void MemoryLog::Read(LogOffset from, std::function<void(ReadAnswer)> done)
{
	ReadAnswer answer;
	if (this->faults.down) {
		answer.code = ResultCode::RC_LOG_UNAVAILABLE;
	} else {
		answer = this->store.Read(from, this->scheduler.WallNow());
	}
	this->scheduler.After(this->faults.delay,
						  [done = std::move(done), answer = std::move(answer)]() mutable { done(std::move(answer)); });
}
