/** @file load_monitor.cpp Decides from the busy time of the event loop whether this node is overloaded. */
#include "load_monitor.h"

#include <algorithm>
#include <numeric>

namespace {

constexpr Millis WINDOW(600);              ///< Time over which the load is judged.
constexpr int64_t OVERLOADED_PERCENT = 90; ///< Load from which a sample counts as overloaded.
/** Minimum number of samples for an overload. The loop counts as busy while the process is suspended, which shows in a
 * single long sample. */
constexpr size_t SAMPLES_MIN = 2;
constexpr int64_t PERCENT = 100; ///< Converts a ratio to percent.

int64_t PercentOf(Millis busy, Millis span)
{
	return std::clamp<int64_t>(PERCENT * busy.Value() / std::max<int64_t>(span.Value(), 1), 0, PERCENT);
}

} // namespace

Millis LoadMonitor::Span() const
{
	return std::accumulate(this->intervals.begin(), this->intervals.end(), Millis(0),
						   [](Millis sum, const Interval &it) { return sum + it.span; });
}

void LoadMonitor::Add(Millis now, Millis busy_total)
{
	if (this->last_at && now <= *this->last_at) {
		return;
	}
	if (this->last_at) {
		this->intervals.push_back(Interval{now - *this->last_at, busy_total - this->last_busy});
	}
	this->last_at = now;
	this->last_busy = busy_total;
	while (this->intervals.size() > SAMPLES_MIN && this->Span() - this->intervals.front().span >= WINDOW) {
		this->intervals.pop_front();
	}
}

bool LoadMonitor::Measured() const
{
	return this->intervals.size() >= SAMPLES_MIN && this->Span() >= WINDOW;
}

int64_t LoadMonitor::BusyPercent() const
{
	const Millis busy = std::accumulate(this->intervals.begin(), this->intervals.end(), Millis(0),
										[](Millis sum, const Interval &it) { return sum + it.busy; });
	return PercentOf(busy, this->Span());
}

bool LoadMonitor::Overloaded() const
{
	return this->Measured() && std::ranges::all_of(this->intervals, [](const Interval &it) {
			   return PercentOf(it.busy, it.span) >= OVERLOADED_PERCENT;
		   });
}
