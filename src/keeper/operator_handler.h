/** @file operator_handler.h Operators' requests to a keeper: publish, change, ask for outcomes, read table and state.
 */
#ifndef OPERATOR_HANDLER_H
#define OPERATOR_HANDLER_H

#include "keeper_core.h"

#include <deque>
#include <functional>

/** Answers operators. An operator is told "accepted", "rejected, because" or "unknown, ask again"; never a guess. */
class OperatorHandler {
public:
	using Reply = std::function<void(const glade::wire::MessageUnion &)>;

	explicit OperatorHandler(KeeperCore &core) : core(core) {}

	/**
	 * Checks or publishes an edit of the table.
	 * @param it The edit.
	 * @param reply Gets the outcome; later, when the fold has decided.
	 */
	void OnPublish(const glade::wire::PublishRequestT &it, const Reply &reply);

	/**
	 * Proposes any other change: jobs, quotas, steps of boxes.
	 * @param it The change.
	 * @param reply Gets the outcome; later, when the fold has decided.
	 */
	void OnChange(const glade::wire::ChangeRequestT &it, const Reply &reply);

	/**
	 * Tells what became of a proposal.
	 * @param it Its id.
	 * @param reply Gets the outcome.
	 */
	void OnAskOutcome(const glade::wire::AskOutcomeT &it, const Reply &reply) const;

	/**
	 * Sends the table in force.
	 * @param reply Gets it.
	 */
	void OnTable(const Reply &reply) const;

	/**
	 * Remembers decisions of all writers for OnAskOutcome() and `glade table history`.
	 * @param decisions Decisions of a record.
	 */
	void OnDecisions(const std::vector<Decision> &decisions);

	/** @return Decisions remembered, oldest first. */
	[[nodiscard]] const std::deque<Decision> &Recent() const { return this->recent; }

private:
	KeeperCore &core;            ///< Shared parts.
	std::deque<Decision> recent; ///< Decisions remembered.

	void Propose(Proposal proposal, const Reply &reply);
};

#endif /* OPERATOR_HANDLER_H */
