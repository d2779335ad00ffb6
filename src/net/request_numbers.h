/** @file request_numbers.h Numbers of requests to other processes, by which their answers are found. */
#ifndef REQUEST_NUMBERS_H
#define REQUEST_NUMBERS_H

#include <QRandomGenerator>

#include <cstdint>

/**
 * Numbers the requests of a process. The first number is random: an answer to an earlier process at the same address,
 * or to another process, can't have the number of a request of this one.
 */
class RequestNumbers {
public:
	RequestNumbers() : last(QRandomGenerator::system()->generate64()) {}

	/** @return Number of the next request. */
	[[nodiscard]] uint64_t Next() { return ++this->last; }

private:
	uint64_t last; ///< Number of the last request.
};

#endif /* REQUEST_NUMBERS_H */
