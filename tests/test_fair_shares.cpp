/** @file test_fair_shares.cpp The service that each account gets while one of them submits far more jobs to a queue
 * than its boxes can run. */
#include "account/fair_split.h"
#include "job_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

namespace {

constexpr Millis OVERLOAD_FROM(5000);    ///< Time of the first submission.
constexpr Millis OVERLOAD_FOR(10000);    ///< Period of submissions.
constexpr Millis RUN_TIME(500);          ///< Run time of a task; the boxes complete 16 jobs per second.
constexpr Millis ON_TIME_WITHIN(1400);   ///< Time limit for a job to be on time: 1.6 times the run time plus 600 ms.
constexpr int64_t NORMAL_PER_SECOND = 3; ///< Normal load of an account in jobs per second.
constexpr int64_t OVERLOAD_FACTOR = 16;  ///< Load of the overloading account, as a multiple of normal.

/** Accounts that share one queue. */
class SharesWorld {
public:
	/** @param first_load Load of the first account, as a multiple of normal. @param weights Weights of the accounts. */
	SharesWorld(int64_t first_load, const std::vector<double> &weights) : on_time(weights.size()), sent(weights.size())
	{
		std::vector<ClientAccount> accounts(weights.size());
		for (size_t n = 0; n < weights.size(); n++) {
			accounts[n].name = AccountName("account-" + std::to_string(n));
			accounts[n].weight = weights[n];
		}
		this->world.config.version++;
		this->world.config.accounts = std::make_shared<const AccountList>(std::move(accounts));
		std::ranges::for_each(this->world.nodes, [this](const auto &it) { it->job_api.Configure(this->world.config); });
		for (size_t n = 0; n < weights.size(); n++) {
			this->ScheduleJobs(n, NORMAL_PER_SECOND * (n == 0 ? first_load : 1));
		}
		this->world.clock.RunUntil(OVERLOAD_FROM + OVERLOAD_FOR + ON_TIME_WITHIN + Millis(1000));
	}

	/** @return Share of an account's jobs that were on time, 0 to 1. @param n Index of the account. */
	[[nodiscard]] double OnTimeShare(size_t n) const
	{
		return static_cast<double>(this->on_time[n]) / static_cast<double>(this->sent[n]);
	}

	/** @return Number of jobs of all accounts that were on time. */
	[[nodiscard]] size_t OnTimeTotal() const
	{
		return std::accumulate(this->on_time.begin(), this->on_time.end(), size_t{0});
	}

	JobWorld world; ///< The simulation.

private:
	std::vector<size_t> on_time; ///< Jobs on time, per account.
	std::vector<size_t> sent;    ///< Jobs submitted, per account.

	void ScheduleJobs(size_t n, int64_t per_second)
	{
		const int64_t count = per_second * OVERLOAD_FOR.Value() / MS_PER_SECOND;
		for (int64_t job = 0; job < count; job++) {
			const Millis at = OVERLOAD_FROM + Millis(job * OVERLOAD_FOR.Value() / count);
			StepSpec step;
			step.count = 4;
			step.demand = Resources{1000, 100, 0};
			step.estimate = RUN_TIME;
			WorldJob &it = this->world.Plan(at, "calc", {step}, RUN_TIME);
			it.spec.account = AccountName("account-" + std::to_string(n));
			it.spec.requested_at = this->world.clock.WallNow() + at;
			this->sent[n]++;
			this->world.clock.After(at + ON_TIME_WITHIN, [this, n, &it] {
				this->on_time[n] += this->world.ViewOf(it).phase == JobPhase::JP_COMPLETED ? 1 : 0;
			});
		}
	}
};

} // namespace

/* Guards against one account's backlog delaying the jobs of all others: when it sent ten times its normal load, the
 * others got 0.35 of the value of their jobs. Load: 54 jobs per second against a capacity of 16; the second and the
 * third account send 3 each. */
TEST_CASE("fair shares: accounts with normal load are served as well as without the overloading account")
{
	SharesWorld baseline(1, {10, 10, 10});
	SharesWorld overloaded(OVERLOAD_FACTOR, {10, 10, 10});
	for (const size_t n : {size_t{1}, size_t{2}}) {
		CAPTURE(n);
		CAPTURE(baseline.OnTimeShare(n));
		CHECK(overloaded.OnTimeShare(n) >= 0.95 * baseline.OnTimeShare(n));
	}
	CHECK(overloaded.world.site.violations == std::vector<std::string>{});
}

TEST_CASE("fair shares: the boxes stay fully used, as the overloading account gets the capacity that others leave")
{
	SharesWorld overloaded(OVERLOAD_FACTOR, {10, 10, 10});
	/* The boxes complete 16 jobs per second, 160 in all, less the loss at the start and jobs that end late. */
	CHECK(overloaded.OnTimeTotal() >= 110);
	CHECK(overloaded.OnTimeShare(0) > 0.1);
}

TEST_CASE("fair shares: split by weight, and no account gets more than it asks for")
{
	const auto split = [](const std::vector<WeightedWant> &wants, double whole) { return WeightedSplit(wants, whole); };
	CHECK(split({{30, 1}, {30, 1}}, 100) == std::vector<double>{30, 30});
	CHECK(split({{100, 3}, {100, 1}}, 100) == std::vector<double>{75, 25});
	CHECK(split({{10, 3}, {100, 1}, {100, 1}}, 100) == std::vector<double>{10, 45, 45});
	CHECK(split({{10, 1}}, -5) == std::vector<double>{0});
}
