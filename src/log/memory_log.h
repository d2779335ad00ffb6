/** @file memory_log.h An append-only log in memory with retention, an append rate limit and fault injection. */
#ifndef MEMORY_LOG_H
#define MEMORY_LOG_H

#include "../scheduler_type.h"
#include "log_service.h"

#include <deque>

/** Limits of a log. */
struct LogLimits {
	size_t records = 1000000;            ///< Maximum number of records kept.
	Millis age = Millis(7 * MS_PER_DAY); ///< Maximum age of a record kept.
	uint32_t appends_per_second = 100;   ///< Maximum number of appends per second.
	size_t read_records = 512;           ///< Maximum number of records returned by a read.
};

/** Faults to inject. */
struct LogFaults {
	bool down = false;           ///< Every call fails with RC_LOG_UNAVAILABLE.
	Millis delay;                ///< Delay of each answer.
	uint32_t lose_answers = 0;   ///< Number of next appends that are stored but answered with RC_LOG_ANSWER_LOST.
	uint32_t repeat_appends = 0; ///< Number of next appends that are stored twice.
};

/** Records and limits of a log, without a transport. The platform stand-in serves one over HTTP. */
class LogStore {
public:
	explicit LogStore(LogLimits limits) : limits(limits) {}

	/**
	 * Appends a record, unless the rate limit is reached.
	 * @param bytes Bytes of the record.
	 * @param now Time by the log's clock.
	 * @return RC_OK with the offset, or RC_LOG_THROTTLED.
	 */
	AppendAnswer Append(std::string bytes, Millis now);

	/**
	 * Reads records.
	 * @param from Offset of the first record to read.
	 * @param now Time by the log's clock, for retention.
	 * @return The records, or RC_LOG_FORGOTTEN when the record at `from` is no longer kept.
	 */
	ReadAnswer Read(LogOffset from, Millis now);

	/** @return Offset of the newest record, 0 when none was ever appended. */
	[[nodiscard]] LogOffset Newest() const { return LogOffset(this->first_offset + this->records.size() - 1); }

	/** @return Total bytes appended. */
	[[nodiscard]] uint64_t BytesAppended() const { return this->bytes_appended; }

	/** @return Total number of records appended. */
	[[nodiscard]] uint64_t RecordsAppended() const { return this->first_offset + this->records.size() - 1; }

private:
	LogLimits limits;               ///< Limits.
	std::deque<LogRecord> records;  ///< Records kept.
	uint64_t first_offset = 1;      ///< Offset of the first record kept.
	Millis last_stamp;              ///< Stamp of the newest record; stamps never decrease.
	int64_t limited_second = 0;     ///< Second that `appends_in_second` counts.
	uint32_t appends_in_second = 0; ///< Appends accepted in `limited_second`.
	uint64_t bytes_appended = 0;    ///< Total bytes appended.

	void RemoveExpired(Millis now);
};

/** A log service in memory that runs on a scheduler, for tests and benchmarks. Several services may share one store. */
class MemoryLog : public LogService {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param store The records; must outlive this object.
	 */
	MemoryLog(Scheduler &scheduler, LogStore &store) : scheduler(scheduler), store(store) {}

	void Append(std::string bytes, std::function<void(AppendAnswer)> done) override;
	void Read(LogOffset from, std::function<void(ReadAnswer)> done) override;

	LogFaults faults; ///< Faults to inject; may be changed at any time.

private:
	Scheduler &scheduler; ///< Clock and timers.
	LogStore &store;      ///< The records.
};

#endif /* MEMORY_LOG_H */
