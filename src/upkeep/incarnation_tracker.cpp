/** @file incarnation_tracker.cpp Finds out which incarnations of boxes have ended. */
#include "incarnation_tracker.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr Millis REPORT_PERIOD(5000); ///< How long an ended incarnation is reported, since requests get lost.

} // namespace

void IncarnationTracker::RecordKnown(const std::map<ServiceName, PoolStatus> &pools)
{
	for (const PoolStatus &pool : pools | std::views::values) {
		std::ranges::for_each(pool.boxes, [this](const PoolBox &it) {
			BoxIncarnation &newest = this->known_incarnations[it.incarnation.id];
			newest = std::max(newest, it.incarnation);
		});
	}
}

std::set<ServiceName> IncarnationTracker::Update(const std::vector<MachineRow> &rows, Millis now)
{
	std::erase_if(this->recently_ended,
				  [now](const EndedIncarnation &it) { return now - it.missed_at > REPORT_PERIOD; });
	std::set<ServiceName> affected_pools;
	for (const MachineRow &row : rows) {
		const bool runs = !row.id.Value().empty();
		/* Without an agent in its row, only a machine that is down shows that the previous agent has ended. */
		if (!runs && row.state != MachineState::MS_DOWN) {
			continue;
		}
		const auto before = this->last_listed.find(row.box);
		if (before != this->last_listed.end() && before->second.id != row.id) {
			if (const auto incarnation = this->known_incarnations.find(before->second.id);
				incarnation != this->known_incarnations.end()) {
				affected_pools.insert(before->second.pool);
				this->recently_ended.push_back(EndedIncarnation{incarnation->second, before->second.pool, now});
				this->known_incarnations.erase(incarnation);
			}
			this->last_listed.erase(before);
		}
		if (runs) {
			this->last_listed[row.box] = ListedAgent{row.id, row.pool};
		}
	}
	return affected_pools;
}

std::set<BoxIncarnation> IncarnationTracker::EndedIn(const ServiceName &pool) const
{
	std::set<BoxIncarnation> out;
	for (const EndedIncarnation &it : this->recently_ended) {
		if (it.pool == pool) {
			out.insert(it.incarnation);
		}
	}
	return out;
}
