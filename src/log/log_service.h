/** @file log_service.h The platform's log behind one narrow interface. */
#ifndef LOG_SERVICE_H
#define LOG_SERVICE_H

#include "../error_type.h"
#include "../fleet/fleet_func.h"

#include <functional>
#include <string>
#include <vector>

/** Answer to an append. */
struct AppendAnswer {
	ResultCode code = ResultCode::RC_OK; ///< RC_OK, RC_LOG_UNAVAILABLE, RC_LOG_THROTTLED or RC_LOG_ANSWER_LOST.
	LogOffset offset;                    ///< Where the record stands, with RC_OK.
};

/** Answer to a read. */
struct ReadAnswer {
	ResultCode code = ResultCode::RC_OK; ///< RC_OK, RC_LOG_UNAVAILABLE or RC_LOG_FORGOTTEN.
	std::vector<LogRecord> records;      ///< Records from the offset asked for, in order; may be empty.
	LogOffset oldest;                    ///< Oldest record that the log still keeps.
	LogOffset newest;                    ///< Newest record, 0 when there was never one.
};

/** The platform's log. Answers come later, on the caller's thread; they may be lost after the effect. */
class LogService {
public:
	virtual ~LogService() = default;

	/**
	 * Appends a record.
	 * @param bytes The record.
	 * @param done Gets the answer.
	 */
	virtual void Append(std::string bytes, std::function<void(AppendAnswer)> done) = 0;

	/**
	 * Reads on. An answer may wait a little for a record to come.
	 * @param from First offset wanted.
	 * @param done Gets the answer.
	 */
	virtual void Read(LogOffset from, std::function<void(ReadAnswer)> done) = 0;
};

#endif /* LOG_SERVICE_H */
