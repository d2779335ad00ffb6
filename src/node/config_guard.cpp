/** @file config_guard.cpp Keeps requests from being decided by a configuration that may no longer be in force. */
#include "config_guard.h"

#include <algorithm>
#include <utility>

namespace {

/** Part of the time to come into force up to which a configuration counts as confirmed. The rest is for the request's
 * own way and a refresh. */
constexpr int64_t AGE_MAX_NUMERATOR = 2;
constexpr int64_t AGE_MAX_DENOMINATOR = 3;
/** Time limit of a refresh, within which a request may overtake one that waits. */
constexpr Millis REFRESH_TIMEOUT(200);
constexpr Millis REFRESH_INTERVAL(500); ///< Time between the starts of two refreshes while they fail.

} // namespace

ConfigGuard::ConfigGuard(Scheduler &scheduler, const SiteFeed &feed, Refresh refresh, Millis in_force_within)
		: scheduler(scheduler), feed(feed), refresh(std::move(refresh)),
		  age_max(in_force_within.Value() * AGE_MAX_NUMERATOR / AGE_MAX_DENOMINATOR)
{
}

Millis ConfigGuard::ConfirmedAsOf() const
{
	return std::max(this->feed.ConfirmedAsOf(), this->refreshed_as_of);
}

Millis ConfigGuard::Age() const
{
	return this->scheduler.Now() - this->ConfirmedAsOf();
}

void ConfigGuard::Await(Done done)
{
	if (this->Confirmed()) {
		done(true);
		return;
	}
	if (this->FailedLast()) {
		const bool due = this->scheduler.Now() - this->refresh_started_at >= REFRESH_INTERVAL;
		if (!this->refreshing && due) {
			this->StartRefresh();
		}
		done(this->Confirmed());
		return;
	}
	this->waiting.push_back(std::move(done));
	if (!this->refreshing) {
		this->StartRefresh();
	}
}

void ConfigGuard::StartRefresh()
{
	this->refreshing = true;
	this->refresh_started_at = this->scheduler.Now();
	const std::weak_ptr<bool> still(this->alive);
	this->scheduler.After(REFRESH_TIMEOUT, [this, still, number = ++this->refreshes] {
		if (!still.expired() && this->refreshing && number == this->refreshes) {
			this->EndRefresh();
		}
	});
	this->refresh([this, still, started_at = this->refresh_started_at](bool newest) {
		if (!still.expired()) {
			this->OnAnswer(started_at, newest);
		}
	});
}

void ConfigGuard::OnAnswer(Millis started_at, bool newest)
{
	if (newest) {
		this->refreshed_as_of = std::max(this->refreshed_as_of, started_at);
	}
	if (this->refreshing && this->Confirmed()) {
		this->EndRefresh();
	}
}

void ConfigGuard::EndRefresh()
{
	this->refreshing = false;
	const bool confirmed = this->Confirmed();
	this->failed_at = confirmed ? std::nullopt : std::optional(this->scheduler.Now());
	for (const Done &it : std::exchange(this->waiting, {})) {
		it(confirmed);
	}
}
