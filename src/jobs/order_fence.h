/** @file order_fence.h Tokens of the orders to a box, and when ends may be acknowledged to it. */
#ifndef ORDER_FENCE_H
#define ORDER_FENCE_H

#include "job_type.h"

#include <optional>
#include <vector>

/** An order without an answer may be carried out up to 12 s after it was sent (platform documentation on faults), and
 * start orders are retried for 2 s. */
inline constexpr Millis ORDER_DELAY_MAX(14000);

/**
 * Tokens of one owner's orders to the incarnations of a box that have the same id.
 *
 * An order may be carried out by a later incarnation than the one it was sent to, even seconds later. That incarnation
 * numbers its ends anew, so an acknowledgement meant for an earlier one makes it forget ends that no owner has seen.
 * This can't happen when it has started no run yet, or has seen a higher token and so refuses the acknowledgement.
 * Therefore an acknowledgement is sent only when no start order sent before can still be carried out, and start orders
 * sent while it can still be carried out have a higher token. Acknowledgements that can still be carried out have
 * tokens of their own, so that the answer to one settles no other. Tokens of an id never fall during an ownership.
 */
class OrderFence {
public:
	/** @param first The lowest token. @param count Number of tokens. */
	OrderFence(FenceToken first, uint64_t count) : token(first), last(first.Value() + count - 1) {}

	/** @return The highest token of the orders sent so far. */
	[[nodiscard]] FenceToken Token() const { return this->token; }
	/** Raises the token, so that a new incarnation refuses the orders sent to earlier ones. Does nothing when no higher
	 * token is left: no start order may be sent then. */
	void Raise();
	/** @return Whether no higher token is left. */
	[[nodiscard]] bool UsedUp() const { return this->token.Value() >= this->last; }

	/** @return Token of an order sent now that is neither a start nor an acknowledgement. @param now Current time. */
	FenceToken ForOrder(Millis now);
	/** @return Token of a start order sent now. @param task The task. @param run Number of the run. @param now Current
	 * time. */
	FenceToken ForStart(const TaskId &task, RunNumber run, Millis now);
	/** @return Token of a lease order sent now that acknowledges ends. @param now Current time. */
	FenceToken ForAcknowledgement(Millis now);

	/** Notes the outcome of a start order. @param task The task. @param run Number of the run. @param outcome The
	 * outcome. */
	void OnStartAnswered(const TaskId &task, RunNumber run, OrderOutcome outcome);
	/** Notes that an incarnation has listed a run, and so has carried out a start order. @param task The task. @param
	 * run Number of the run. */
	void OnRunListed(const TaskId &task, RunNumber run);
	/** Notes that an acknowledgement was carried out. @param sent Its token. */
	void OnAcknowledged(FenceToken sent);

	/** @return Whether start orders are under way: neither answered nor timed out. */
	[[nodiscard]] bool StartsUnderWay() const { return this->starts_under_way > 0; }
	/** @return Whether ends may be acknowledged: no start order can still be carried out. @param now Current time. */
	[[nodiscard]] bool MayAcknowledge(Millis now);
	/** @return Whether no order can still be carried out and no answer to a start order is awaited. @param now Current
	 * time. */
	[[nodiscard]] bool Idle(Millis now) const
	{
		return !this->StartsUnderWay() && now - this->used_at >= ORDER_DELAY_MAX;
	}

private:
	/** Start orders for one run that may not all have been carried out. */
	struct OrderedRun {
		TaskId task;            ///< The task.
		RunNumber run;          ///< Number of the run.
		Millis sent_at;         ///< When the last order was sent.
		uint32_t orders = 0;    ///< Number of orders.
		uint32_t answered = 0;  ///< Number of answered orders.
		bool confirmed = false; ///< Whether an answer has confirmed the run.
		bool listed = false;    ///< Whether the run was listed.

		/** @return Whether an order may still be carried out. */
		[[nodiscard]] bool MayStillStart() const;
	};

	FenceToken token;                          ///< The highest token of the orders sent so far.
	uint64_t last;                             ///< The highest token allowed.
	Millis used_at;                            ///< When the last order was sent.
	size_t starts_under_way = 0;               ///< Start orders neither answered nor timed out.
	std::vector<OrderedRun> ordered;           ///< Runs with start orders that may still be carried out.
	std::optional<FenceToken> acknowledgement; ///< Token of the newest acknowledgement, until it is known to be done.

	/** @return The entry of a run, or null. */
	OrderedRun *Find(const TaskId &task, RunNumber run);
	/** Removes runs whose start orders have all been carried out or refused. */
	void ForgetSettled();
};

#endif /* ORDER_FENCE_H */
