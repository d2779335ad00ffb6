/** @file refusal_log.cpp Log of refused callers, counted by reason and client account. */
#include "refusal_log.h"

#include <utility>

namespace {

constexpr Millis WRITE_DELAY(1000); ///< Time from the first refusal until its lines are written.

} // namespace

void RefusalLog::Count(ResultCode code, const AccountName &account, uint64_t version, Millis age)
{
	if (this->rows.empty()) {
		this->scheduler.After(WRITE_DELAY, [this, still = std::weak_ptr<bool>(this->alive)] {
			if (!still.expired()) {
				this->Write();
			}
		});
	}
	this->totals[code]++;
	Row &row = this->rows[{code, account}];
	row.count++;
	row.version = version;
	row.age = age;
}

void RefusalLog::Write()
{
	for (const auto &[key, row] : std::exchange(this->rows, {})) {
		this->events.Write("callers_refused", {{"code", SymbolOf(key.first)},
											   {"account", key.second.Value()},
											   {"count", std::to_string(row.count)},
											   {"config", std::to_string(row.version)},
											   {"config_age_ms", std::to_string(row.age.Value())}});
	}
}
