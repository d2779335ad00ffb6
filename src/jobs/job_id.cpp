/** @file job_id.cpp Hash of a job's id. */
#include "job_id.h"

#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

size_t JobId::Hash() const
{
	const std::array<uint64_t, 2> halves = {this->head, this->tail};
	return XXH3_64bits(halves.data(), sizeof(halves));
}
