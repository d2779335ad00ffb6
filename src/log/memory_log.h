/** @file memory_log.h An append-only log in memory, with retention, an append limit and fault switches. */
#ifndef MEMORY_LOG_H
#define MEMORY_LOG_H

#include "../scheduler_type.h"
#include "log_service.h"

#include <deque>

/** Limits of a log. */
struct LogLimits {
	size_t records = 1000000;            ///< Records kept at most.
	Millis age = Millis(7 * MS_PER_DAY); ///< Age up to which records are kept.
	uint32_t appends_per_second = 100;   ///< Appends taken a second.
	size_t read_records = 512;           ///< Records in one answer at most.
};

/** Faults that a log can be told to show. */
struct LogFaults {
	bool down = false;           ///< Refuses everything.
	Millis delay;                ///< Delay of each answer.
	uint32_t lose_answers = 0;   ///< Number of next appends whose answers are lost after the effect.
	uint32_t repeat_appends = 0; ///< Number of next appends that take effect twice.
};

/** The records and rules of a log, without transport; the platform stand-in serves one over HTTP. */
class LogStore {
public:
	explicit LogStore(LogLimits limits) : limits(limits) {}

	/**
	 * Appends a record, if the limit allows.
	 * @param bytes The record.
	 * @param now The log's clock.
	 * @return RC_OK with the offset, or RC_LOG_THROTTLED.
	 */
	AppendAnswer Append(std::string bytes, Millis now);

	/**
	 * Reads records.
	 * @param from First offset wanted.
	 * @param now The log's clock, for retention.
	 * @return The records, or RC_LOG_FORGOTTEN when `from` is older than what is kept.
	 */
	ReadAnswer Read(LogOffset from, Millis now);

	/** @return Offset of the newest record, 0 when there was never one. */
	[[nodiscard]] LogOffset Newest() const { return LogOffset(this->first + this->records.size() - 1); }

	/** @return Bytes appended ever. */
	[[nodiscard]] uint64_t BytesAppended() const { return this->bytes_appended; }

	/** @return Records appended ever. */
	[[nodiscard]] uint64_t RecordsAppended() const { return this->first + this->records.size() - 1; }

private:
	LogLimits limits;              ///< Rules.
	std::deque<LogRecord> records; ///< What is kept.
	uint64_t first = 1;            ///< Offset of the first record kept.
	Millis last_stamp;             ///< Stamps never fall.
	int64_t second = 0;            ///< Second in which `taken` counts.
	uint32_t taken = 0;            ///< Appends taken in it.
	uint64_t bytes_appended = 0;   ///< Bytes appended ever.

	void Retain(Millis now);
};

/** A log service in memory under a scheduler: for tests and benches. Several clients may share one store. */
class MemoryLog : public LogService {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param store The records; outlives this.
	 */
	MemoryLog(Scheduler &scheduler, LogStore &store) : scheduler(scheduler), store(store) {}

	void Append(std::string bytes, std::function<void(AppendAnswer)> done) override;
	void Read(LogOffset from, std::function<void(ReadAnswer)> done) override;

	LogFaults faults; ///< Faults in force; change them at any time.

private:
	Scheduler &scheduler; ///< Clock and timers.
	LogStore &store;      ///< The records.
};

#endif /* MEMORY_LOG_H */
