/** @file retry_budget.h Limits retries to a percentage of successes, so that retries do not multiply load. */
#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include <algorithm>
#include <atomic>
#include <cstdint>

/** Token bucket: successful requests add tokens, and retries take them. Thread safe. */
class RetryBudget {
public:
	/**
	 * @param percent Retries earned per hundred successes.
	 * @param capacity Most retries that can be saved up; the bucket starts full.
	 */
	explicit RetryBudget(uint32_t percent = 10, uint32_t capacity = 20)
			: percent(percent), capacity(int64_t{capacity} * TOKENS_PER_RETRY),
			  tokens(int64_t{capacity} * TOKENS_PER_RETRY)
	{
	}

	/** Records a successful request. */
	void OnSuccess()
	{
		const int64_t now = this->tokens.fetch_add(this->percent) + this->percent;
		if (now > this->capacity) {
			this->tokens.fetch_sub(std::min<int64_t>(now - this->capacity, this->percent));
		}
	}

	/**
	 * Adds one retry to the bucket without a success and beyond its capacity: for benchmark baselines without a budget.
	 * @return Retries in the bucket.
	 */
	int64_t AddRetry() { return (this->tokens.fetch_add(TOKENS_PER_RETRY) + TOKENS_PER_RETRY) / TOKENS_PER_RETRY; }

	/**
	 * Takes one retry from the bucket.
	 * @return Whether there was one; if not, no retry may be made.
	 */
	bool TrySpend()
	{
		if (this->tokens.fetch_sub(TOKENS_PER_RETRY) >= TOKENS_PER_RETRY) {
			return true;
		}
		this->tokens.fetch_add(TOKENS_PER_RETRY);
		return false;
	}

private:
	static constexpr int64_t TOKENS_PER_RETRY = 100; ///< Tokens per retry.

	int64_t percent;             ///< Tokens added per success.
	int64_t capacity;            ///< Capacity in tokens.
	std::atomic<int64_t> tokens; ///< Tokens in the bucket.
};

#endif /* RETRY_BUDGET_H */
