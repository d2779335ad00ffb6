/** @file retry_budget.h A share of recent successes that may be spent on retries, so that retries never multiply load.
 */
#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include <algorithm>
#include <atomic>
#include <cstdint>

/** Token bucket filled by successes. Thread safe. */
class RetryBudget {
public:
	/**
	 * @param percent Tokens per hundred successes.
	 * @param most Most retries that can be saved up; the bucket starts full.
	 */
	explicit RetryBudget(uint32_t percent = 10, uint32_t capacity = 20)
			: percent(percent), capacity(int64_t{capacity} * SCALE), tokens(int64_t{capacity} * SCALE)
	{
	}

	/** Counts a success. */
	void OnSuccess()
	{
		const int64_t now = this->tokens.fetch_add(this->percent) + this->percent;
		if (now > this->capacity) {
			this->tokens.fetch_sub(std::min<int64_t>(now - this->capacity, this->percent));
		}
	}

	/**
	 * Puts one retry into the bucket, whatever succeeded: for baselines without a budget.
	 * @return Retries in the bucket.
	 */
	int64_t AddRetry() { return (this->tokens.fetch_add(SCALE) + SCALE) / SCALE; }

	/** @return Whether a retry may be made; it is paid for when so. */
	bool TrySpend()
	{
		if (this->tokens.fetch_sub(SCALE) >= SCALE) {
			return true;
		}
		this->tokens.fetch_add(SCALE);
		return false;
	}

private:
	static constexpr int64_t SCALE = 100; ///< Tokens that a retry costs.

	int64_t percent;             ///< Tokens per success.
	int64_t capacity;            ///< Largest content.
	std::atomic<int64_t> tokens; ///< Content.
};

#endif /* RETRY_BUDGET_H */
