/** @file incarnation_tracker.cpp Which lives of boxes have ended. */
#include "incarnation_tracker.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr Millis TOLD_FOR(5000); ///< An ended life is told for so long: questions to owners get lost.

} // namespace

void IncarnationTracker::RecordKnown(const std::map<ServiceName, PoolStatus> &pools)
{
	for (const PoolStatus &pool : pools | std::views::values) {
		std::ranges::for_each(pool.boxes, [this](const PoolBox &it) {
			BoxIncarnation &newest = this->known[it.incarnation.id];
			newest = std::max(newest, it.incarnation);
		});
	}
}

std::set<ServiceName> IncarnationTracker::Update(const std::vector<MachineRow> &rows, Millis now)
{
	std::erase_if(this->ended, [now](const Ended &it) { return now - it.at > TOLD_FOR; });
	std::set<ServiceName> fresh;
	for (const MachineRow &row : rows) {
		const bool runs = !row.id.Value().empty();
		/* A machine on its way, or listed without an agent while it is up, says nothing of the one before. */
		if (!runs && row.state != MachineState::MS_DOWN) {
			continue;
		}
		const auto before = this->last.find(row.box);
		if (before != this->last.end() && before->second.id != row.id) {
			if (const auto incarnation = this->known.find(before->second.id); incarnation != this->known.end()) {
				fresh.insert(before->second.pool);
				this->ended.push_back(Ended{incarnation->second, before->second.pool, now});
				this->known.erase(incarnation);
			}
			this->last.erase(before);
		}
		if (runs) {
			this->last[row.box] = Listed{row.id, row.pool};
		}
	}
	return fresh;
}

std::set<BoxIncarnation> IncarnationTracker::EndedIn(const ServiceName &pool) const
{
	std::set<BoxIncarnation> out;
	for (const Ended &it : this->ended) {
		if (it.pool == pool) {
			out.insert(it.incarnation);
		}
	}
	return out;
}
