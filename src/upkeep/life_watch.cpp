/** @file life_watch.cpp Which lives of boxes have ended. */
#include "life_watch.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace {

constexpr Millis TOLD_FOR(5000); ///< An ended life is told for so long: questions to owners get lost.

} // namespace

std::set<ServiceName> LifeWatch::Take(const std::vector<MachineRow> &rows, Millis now)
{
	std::erase_if(this->ended, [now](const Listed &it) { return now - it.ended_at > TOLD_FOR; });
	std::set<ServiceName> fresh;
	for (const MachineRow &row : rows) {
		const bool lives = !row.life.Value().empty();
		/* A machine on its way, or listed without a life while it is up, says nothing of the one before. */
		if (!lives && row.state != MachineState::MS_DOWN) {
			continue;
		}
		const auto known = this->last.find(row.box);
		if (known != this->last.end() && known->second.life != row.life) {
			known->second.ended_at = now;
			fresh.insert(known->second.pool);
			this->ended.push_back(std::move(known->second));
			this->last.erase(known);
		}
		if (lives) {
			this->last[row.box] = Listed{row.life, row.pool, Millis(0)};
		}
	}
	return fresh;
}

std::set<BoxLife> LifeWatch::EndedIn(const ServiceName &pool) const
{
	std::set<BoxLife> out;
	for (const Listed &it : this->ended) {
		if (it.pool == pool) {
			out.insert(it.life);
		}
	}
	return out;
}
