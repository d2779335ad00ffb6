/** @file test_fair_shares.cpp A queue at which one account hands in far more than its boxes can do: what callers of
 * each account get. */
#include "account/fair_split.h"
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

namespace {

constexpr Millis FLOOD_FROM(5000);    ///< When the load begins,
constexpr Millis FLOOD_FOR(10000);    ///< and how long it lasts.
constexpr Millis RUN_TIME(500);       ///< Time that a task takes: the boxes do 16 jobs a second.
constexpr Millis OBJECTIVE(1400);     ///< 1.6 times the run time and 600 ms: a job is on time within it.
constexpr int64_t USUAL_A_SECOND = 3; ///< Jobs of an account in a second.
constexpr int64_t FLOOD = 16;         ///< The flooding account's as a multiple of that.

/** Accounts at one queue. */
class SharesWorld {
public:
	/** @param first_sends Jobs of the first account as a multiple of its usual. @param weights The accounts' weights.
	 */
	SharesWorld(int64_t first_sends, const std::vector<double> &weights) : on_time(weights.size()), sent(weights.size())
	{
		std::vector<ClientAccount> accounts(weights.size());
		for (size_t n = 0; n < weights.size(); n++) {
			accounts[n].name = AccountName("account-" + std::to_string(n));
			accounts[n].weight = weights[n];
		}
		this->world.config.version++;
		this->world.config.accounts = std::make_shared<const AccountList>(std::move(accounts));
		std::ranges::for_each(this->world.nodes, [this](const auto &it) { it->desk.Configure(this->world.config); });
		for (size_t n = 0; n < weights.size(); n++) {
			this->Send(n, USUAL_A_SECOND * (n == 0 ? first_sends : 1));
		}
		this->world.clock.RunUntil(FLOOD_FROM + FLOOD_FOR + OBJECTIVE + Millis(1000));
	}

	/** @return Share of an account's jobs that were on time. @param n The account. */
	[[nodiscard]] double OnTime(size_t n) const
	{
		return static_cast<double>(this->on_time[n]) / static_cast<double>(this->sent[n]);
	}

	/** @return Jobs that were on time. */
	[[nodiscard]] size_t All() const { return std::accumulate(this->on_time.begin(), this->on_time.end(), size_t{0}); }

	JobWorld world; ///< The world.

private:
	std::vector<size_t> on_time; ///< Jobs of each account that were.
	std::vector<size_t> sent;    ///< Jobs of each account.

	void Send(size_t n, int64_t per_second)
	{
		const int64_t count = per_second * FLOOD_FOR.Value() / MS_PER_SECOND;
		for (int64_t job = 0; job < count; job++) {
			const Millis at = FLOOD_FROM + Millis(job * FLOOD_FOR.Value() / count);
			StepSpec step;
			step.count = 4;
			step.demand = Resources{1000, 100, 0};
			step.estimate = RUN_TIME;
			WorldJob &it = this->world.Plan(at, "calc", {step}, RUN_TIME);
			it.spec.account = AccountName("account-" + std::to_string(n));
			it.spec.requested_at = this->world.clock.WallNow() + at;
			this->sent[n]++;
			this->world.clock.After(at + OBJECTIVE, [this, n, &it] {
				this->on_time[n] += this->world.ViewOf(it).phase == JobPhase::JP_COMPLETED ? 1 : 0;
			});
		}
	}
};

} // namespace

/* Guards against one account whose jobs stand among those of all others: with ten times its usual the others got 0.35
 * of their worth. Load: 54 jobs a second, of which boxes can do 16; 3 of them are the second account's, 3 the third's.
 */
TEST_CASE("fair shares: accounts that send their usual get what they get without the one that floods")
{
	SharesWorld calm(1, {10, 10, 10});
	SharesWorld flooded(FLOOD, {10, 10, 10});
	for (const size_t n : {size_t{1}, size_t{2}}) {
		CAPTURE(n);
		CAPTURE(calm.OnTime(n));
		CHECK(flooded.OnTime(n) >= 0.95 * calm.OnTime(n));
	}
	CHECK(flooded.world.site.violations == std::vector<std::string>{});
}

TEST_CASE("fair shares: the boxes do as much with a flood as without shares: what others leave is the flood's")
{
	SharesWorld flooded(FLOOD, {10, 10, 10});
	/* 16 a second, less what is lost at the beginning and to jobs that were begun and end late. */
	CHECK(flooded.All() >= 110);
	CHECK(flooded.OnTime(0) > 0.1);
}

TEST_CASE("fair shares: by weights, and nobody gets more than is wanted")
{
	const auto split = [](const std::vector<WeightedWant> &wants, double whole) { return WeightedSplit(wants, whole); };
	CHECK(split({{30, 1}, {30, 1}}, 100) == std::vector<double>{30, 30});
	CHECK(split({{100, 3}, {100, 1}}, 100) == std::vector<double>{75, 25});
	CHECK(split({{10, 3}, {100, 1}, {100, 1}}, 100) == std::vector<double>{10, 45, 45});
	CHECK(split({{10, 1}}, -5) == std::vector<double>{0});
}
