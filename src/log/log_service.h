/** @file log_service.h Interface to the platform's log. */
#ifndef LOG_SERVICE_H
#define LOG_SERVICE_H

#include "../error_type.h"
#include "../fleet/fleet_func.h"

#include <functional>
#include <string>
#include <vector>

/** Result of an append. */
struct AppendAnswer {
	ResultCode code = ResultCode::RC_OK; ///< RC_OK, RC_LOG_UNAVAILABLE, RC_LOG_THROTTLED or RC_LOG_ANSWER_LOST.
	LogOffset offset;                    ///< Offset of the record when `code` is RC_OK.
};

/** Result of a read. */
struct ReadAnswer {
	ResultCode code = ResultCode::RC_OK; ///< RC_OK, RC_LOG_UNAVAILABLE or RC_LOG_FORGOTTEN.
	std::vector<LogRecord> records;      ///< Records from the requested offset on, in order; may be empty.
	LogOffset oldest;                    ///< Offset of the oldest record that the log keeps.
	LogOffset newest;                    ///< Offset of the newest record, 0 when none was ever appended.
};

/**
 * The platform's log. Calls return at once; results arrive later on the caller's thread. The result of an append may
 * be lost although the record was appended.
 */
class LogService {
public:
	virtual ~LogService() = default;

	/**
	 * Appends a record.
	 * @param bytes Bytes of the record.
	 * @param done Called with the result.
	 */
	virtual void Append(std::string bytes, std::function<void(AppendAnswer)> done) = 0;

	/**
	 * Reads records. The result may be delayed for a short time until there is a record.
	 * @param from Offset of the first record to read.
	 * @param done Called with the result.
	 */
	virtual void Read(LogOffset from, std::function<void(ReadAnswer)> done) = 0;
};

#endif /* LOG_SERVICE_H */
