/** @file monotonic_clock.cpp The machine's clock since it was started. */
#include "monotonic_clock.h"

#include <cstdlib>
#include <ctime>

namespace {

constexpr int64_t NS_PER_MS = 1000000;

/** CLOCK_BOOTTIME: the steady clock stands still while the machine is suspended. */
class BootClock : public MonotonicClock {
public:
	[[nodiscard]] Millis Now() const override
	{
		timespec now{};
		if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
			std::abort(); /* Only where the kernel has no such clock: before Linux 2.6.39. */
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
