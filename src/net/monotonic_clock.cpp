/** @file monotonic_clock.cpp Clock of the time since the machine's boot. */
#include "monotonic_clock.h"

#include <cstdlib>
#include <ctime>

namespace {

constexpr int64_t NS_PER_MS = 1000000;

/** Uses CLOCK_BOOTTIME, as std::chrono::steady_clock stops while the machine is suspended. */
class BootClock : public MonotonicClock {
public:
	[[nodiscard]] Millis Now() const override
	{
		timespec now{};
		if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
			std::abort(); /* Only fails on kernels without this clock, before Linux 2.6.39. */
		}
		return Millis(int64_t{now.tv_sec} * MS_PER_SECOND + now.tv_nsec / NS_PER_MS);
	}
};

} // namespace

const MonotonicClock &SystemClock()
{
	static const BootClock clock;
	return clock;
}
