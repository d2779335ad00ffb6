/** @file error_type.h Numbered result codes of all modules; docs/errors.md has the same table. */
#ifndef ERROR_TYPE_H
#define ERROR_TYPE_H

#include <optional>
#include <string>
#include <system_error>

/**
 * The table of result codes: symbol, number, text, HTTP status sent to callers (0: never sent to a caller).
 * 1xxx: replicated state; 2xxx: requests; 3xxx: settings and command line; 4xxx: platform and peers.
 */
#define GLADE_RESULT_TABLE(X)                                                                                          \
	X(OK, 0, "success", 200)                                                                                           \
	X(DUPLICATE, 1001, "proposal was already decided", 0)                                                              \
	X(FENCED, 1002, "a later incarnation of the writer has written", 0)                                                \
	X(STALE_TERM, 1003, "another member plans this region now", 0)                                                     \
	X(RULE_VERSION, 1004, "record was written for another rule version", 0)                                            \
	X(MALFORMED, 1005, "record can't be decoded or lacks a field", 0)                                                  \
	X(CELL_CONFLICT, 1101, "cell was changed by a later version", 0)                                                   \
	X(CELL_VALUE, 1102, "cell value is not valid", 0)                                                                  \
	X(CELL_COLUMN, 1103, "no such column", 0)                                                                          \
	X(FLOOR_OVER_CEILING, 1104, "floor is over ceiling", 0)                                                            \
	X(FLOORS_OVER_CAPACITY, 1105, "floors ask for more than the boxes have", 0)                                        \
	X(UNKNOWN_SERVICE, 1106, "no such service", 404)                                                                   \
	X(UNKNOWN_POOL, 1107, "no service of the table uses this pool", 0)                                                 \
	X(BASE_VERSION, 1108, "base version is later than the table", 0)                                                   \
	X(UNKNOWN_BOX, 1201, "no such box", 0)                                                                             \
	X(STALE_EPOCH, 1202, "box epoch has moved on", 0)                                                                  \
	X(WRONG_STATE, 1203, "box is not in a state that allows this", 0)                                                  \
	X(WRONG_PERMIT, 1204, "permit is not the one that the box holds", 0)                                               \
	X(BUDGET_FLOOR, 1205, "floors and headroom would not hold", 0)                                                     \
	X(BUDGET_ZONE, 1206, "too many boxes of the zone are down", 0)                                                     \
	X(BUDGET_RACK, 1207, "too many boxes of the rack are down", 0)                                                     \
	X(UNKNOWN_MEMBER, 1301, "no such member", 0)                                                                       \
	X(LEASE_HELD, 1302, "not every keeper of the zone says that the lease lapsed", 0)                                  \
	X(UNKNOWN_JOB, 1401, "no such job", 0)                                                                             \
	X(JOB_EXISTS, 1402, "a job of this name was accepted before", 0)                                                   \
	X(JOB_STATE, 1403, "job is not in a state that allows this", 0)                                                    \
	X(QUOTA, 1404, "team quota is used up", 0)                                                                         \
	X(NO_ROOM, 1405, "box has no room for the job", 0)                                                                 \
	X(OTHER_ACCOUNT, 1406, "no such job of this client account", 404)                                                  \
	X(OVER_MAXIMUM, 1407, "a step asks for more than its client account may have at once", 400)                        \
	X(ACCOUNT_BUSY, 1408, "client account hands in more than can be done in time", 429)                                \
	X(JOB_MEMORY_FULL, 1409, "owner has no memory for a job of this size now", 503)                                    \
	X(NOT_IDENTIFIED, 2001, "credential is missing or unknown", 401)                                                   \
	X(BAD_REQUEST, 2002, "request is not valid HTTP", 400)                                                             \
	X(BODY_TOO_LARGE, 2003, "request body is over the limit", 413)                                                     \
	X(HEADER_TOO_LARGE, 2004, "request header is over the limit", 431)                                                 \
	X(CALLER_TOO_SLOW, 2005, "request did not arrive in time", 408)                                                    \
	X(QUEUE_FULL, 2101, "queue of the service is full", 503)                                                           \
	X(CANNOT_BE_ON_TIME, 2102, "deadline can't be met any more", 503)                                                  \
	X(NO_ENDPOINT, 2103, "no endpoint is open for the service", 503)                                                   \
	X(CONNECT_FAILED, 2104, "endpoints could not be reached", 503)                                                     \
	X(STOPPING, 2105, "entry is stopping", 503)                                                                        \
	X(NO_VIEW, 2106, "entry has no configuration yet", 503)                                                            \
	X(REFUSED_BY_ENDPOINT, 2107, "endpoint says that it did not run", 503)                                             \
	X(CALLERS_FULL, 2108, "process holds as much of other requests as it may", 503)                                    \
	X(ENDPOINT_BROKE, 2201, "endpoint broke off; whether it ran is unknown", 502)                                      \
	X(DEADLINE_PASSED, 2202, "deadline passed while the endpoint worked", 504)                                         \
	X(KEY_MALFORMED, 2301, "idempotency key lacks its time of issue", 400)                                             \
	X(KEY_EXPIRED, 2302, "key is older than the memory of keys; it may have run", 409)                                 \
	X(KEY_BEFORE_TAKEOVER, 2303, "key was issued before this entry took it over; it may have run", 409)                \
	X(KEY_RUNNING, 2304, "a request with this key is running", 409)                                                    \
	X(KEY_RAN, 2305, "a request with this key has run", 409)                                                           \
	X(KEY_OWNER_AWAY, 2306, "the entry that remembers this key can't be reached", 503)                                 \
	X(KEY_MEMORY_FULL, 2307, "memory of keys is full", 503)                                                            \
	X(KEY_LEASE_LAPSED, 2308, "entry may not own keys while its view lease has lapsed", 503)                           \
	X(KEY_OTHER_REQUEST, 2309, "key was used for another request", 422)                                                \
	X(SETTINGS, 3001, "settings are not valid", 0)                                                                     \
	X(USAGE, 3002, "command line is not valid", 0)                                                                     \
	X(TABLE_FILE, 3003, "table file is not valid", 0)                                                                  \
	X(LOG_UNAVAILABLE, 4001, "log service can't be reached", 0)                                                        \
	X(LOG_ANSWER_LOST, 4002, "append got no answer; it may have taken effect", 0)                                      \
	X(LOG_FORGOTTEN, 4003, "records were dropped by retention", 0)                                                     \
	X(LOG_THROTTLED, 4004, "append limit of the log service reached", 0)                                               \
	X(LOG_RECORDING, 4005, "append waits or is under way; its result follows", 0)                                      \
	X(LOG_REJECTED, 4006, "append is larger than the log accepts; not written", 0)                                     \
	X(PEER_UNAVAILABLE, 4101, "process can't be reached", 0)                                                           \
	X(OUTCOME_UNKNOWN, 4102, "outcome is not known yet; ask again with the id", 0)                                     \
	X(STATE_MISMATCH, 4103, "state hash differs at the same offset", 0)

/** Result of an operation. The numbers must not change: scripts and callers depend on them. */
enum class ResultCode : int {
#define X(symbol, number, text, http) RC_##symbol = number,
	GLADE_RESULT_TABLE(X)
#undef X
};

template <>
struct std::is_error_code_enum<ResultCode> : std::true_type {
};

/** @return The error category that contains all result codes. */
const std::error_category &ResultCategory();

/**
 * Converts a result code to std::error_code.
 * @param rc The result code.
 * @return The error code; converts to false for RC_OK.
 */
std::error_code make_error_code(ResultCode rc);

/**
 * @param rc A result code.
 * @return The HTTP status sent to callers for this code, 0 when it is never sent to callers.
 */
int HttpStatusOf(ResultCode rc);

/**
 * @param rc A result code.
 * @return The symbol without the RC_ prefix, as documentation and logs show it.
 */
const char *SymbolOf(ResultCode rc);

/** A result code with details of the failure. */
struct Result {
	ResultCode code = ResultCode::RC_OK; ///< Result code.
	std::string detail;                  ///< Affected cell, box or job, or the expected value; may be empty.

	/** @return Whether the operation succeeded. */
	[[nodiscard]] bool Ok() const { return this->code == ResultCode::RC_OK; }

	/** @return One line of text: number, symbol, text, and the detail in parentheses when there is one. */
	[[nodiscard]] std::string Text() const;
};

#endif /* ERROR_TYPE_H */
