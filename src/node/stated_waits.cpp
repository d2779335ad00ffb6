/** @file stated_waits.cpp Waiting times that callers state. */
#include "stated_waits.h"

#include <algorithm>
#include <functional>

namespace {

constexpr size_t LONGER_ONE_IN = 16; ///< One submission of this many may state a longer time than FirstAttempt().

} // namespace

void StatedWaits::Add(Millis wait)
{
	this->waits[this->count % KEPT] = wait;
	this->count++;
}

Millis StatedWaits::FirstAttempt() const
{
	const size_t n = std::min(this->count, KEPT);
	if (n == 0) {
		return Millis(0);
	}
	std::array<Millis, KEPT> sorted = this->waits;
	const auto rank = static_cast<std::ptrdiff_t>((n - 1) / LONGER_ONE_IN);
	std::ranges::nth_element(sorted.begin(), sorted.begin() + rank, sorted.begin() + static_cast<std::ptrdiff_t>(n),
							 std::greater<>());
	return sorted[static_cast<size_t>(rank)];
}
