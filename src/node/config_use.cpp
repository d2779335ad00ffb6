/** @file config_use.cpp Records by which version of the configuration, and how old a one, callers' requests are
 * decided.
 */
#include "config_use.h"

#include <utility>

namespace {

constexpr Millis WRITE_DELAY(1000); ///< Time from the first decision to be logged until its line is written.
/** Age from which a decision is logged. While the store answers, each long poll confirms the version within a second.
 */
constexpr Millis LOGGED_AGE(1300);

} // namespace

void ConfigUseLog::Note(const ConfigDecision &decision)
{
	this->ages.Add(static_cast<double>(decision.age.Value()));
	this->routes_not_found += decision.route_found ? 0 : 1;
	if (decision.route_found && decision.age < LOGGED_AGE) {
		return;
	}
	if (this->unwritten.count == 0) {
		this->scheduler.After(WRITE_DELAY, [this, still = std::weak_ptr<bool>(this->alive)] {
			if (!still.expired()) {
				this->Write();
			}
		});
	}
	if (this->unwritten.count == 0 || decision.age > this->unwritten.oldest.age) {
		this->unwritten.oldest = decision;
	}
	this->unwritten.count++;
	this->unwritten.routes_not_found += decision.route_found ? 0 : 1;
}

void ConfigUseLog::Write()
{
	const Unwritten it = std::exchange(this->unwritten, {});
	this->events.Write("config_use", {{"count", std::to_string(it.count)},
									  {"no_route", std::to_string(it.routes_not_found)},
									  {"version", std::to_string(it.oldest.version)},
									  {"age_ms", std::to_string(it.oldest.age.Value())},
									  {"path", it.oldest.path}});
}
