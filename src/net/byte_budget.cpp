/** @file byte_budget.cpp Bounds the bytes that a process holds for others at a time. */
#include "byte_budget.h"

namespace {

constexpr size_t SMALL_PART = 4; ///< One of this many parts of the budget is for small bodies.

} // namespace

ByteBudget::ByteBudget(size_t bytes_max)
		: small_max(bytes_max / SMALL_PART), large_max(bytes_max - bytes_max / SMALL_PART)
{
}

bool ByteBudget::Take(size_t bytes)
{
	const bool is_small = bytes <= SMALL_BODY_BYTES;
	size_t &used = is_small ? this->small_used : this->large_used;
	const size_t most = is_small ? this->small_max : this->large_max;
	if (bytes > most - used) {
		return false;
	}
	used += bytes;
	return true;
}

void ByteBudget::Give(size_t bytes)
{
	(bytes <= SMALL_BODY_BYTES ? this->small_used : this->large_used) -= bytes;
}

bool ByteShare::Cover(size_t wanted)
{
	if (wanted <= this->bytes) {
		return true;
	}
	/* The old part is given back first: a growing body takes what it had into account. */
	this->budget->Give(this->bytes);
	if (this->budget->Take(wanted)) {
		this->bytes = wanted;
		return true;
	}
	this->budget->Take(this->bytes);
	return false;
}
