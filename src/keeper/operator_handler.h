/** @file operator_handler.h Handles operators' requests: publish, change, query outcomes, read the table. */
#ifndef OPERATOR_HANDLER_H
#define OPERATOR_HANDLER_H

#include "keeper_core.h"

#include <deque>
#include <functional>

/** Answers operators. An outcome is RC_OK for an accepted change, RC_OUTCOME_UNKNOWN when it is not known yet, or else
 * the reason why the change was rejected or not even appended to the log. */
class OperatorHandler {
public:
	using Reply = std::function<void(const glade::wire::MessageUnion &)>;

	explicit OperatorHandler(KeeperCore &core) : core(core) {}

	/**
	 * Checks or publishes an edit of the table.
	 * @param request The edit.
	 * @param reply Called with the outcome when it is decided or after a timeout; at once for a check.
	 */
	void OnPublish(const glade::wire::PublishRequestT &request, const Reply &reply);

	/**
	 * Proposes any other change: jobs, quotas, steps of boxes.
	 * @param request The change.
	 * @param reply Called with the outcome when it is decided or after a timeout; at once for a malformed request.
	 */
	void OnChange(const glade::wire::ChangeRequestT &request, const Reply &reply);

	/**
	 * Reports the outcome of an earlier proposal.
	 * @param request Id of the proposal.
	 * @param reply Called with the outcome; RC_OUTCOME_UNKNOWN when the decision is not among the remembered ones.
	 */
	void OnAskOutcome(const glade::wire::AskOutcomeT &request, const Reply &reply) const;

	/**
	 * Sends the current table.
	 * @param reply Called with the table.
	 */
	void OnTableRequest(const Reply &reply) const;

	/**
	 * Remembers decisions of all writers for OnAskOutcome() and `glade table history`.
	 * @param decisions Decisions on the proposals of one log record.
	 */
	void OnDecisions(const std::vector<Decision> &decisions);

	/** @return The remembered decisions, oldest first. */
	[[nodiscard]] const std::deque<Decision> &RecentDecisions() const { return this->recent; }

private:
	KeeperCore &core;            ///< Shared state of the keeper.
	std::deque<Decision> recent; ///< The remembered decisions, oldest first.

	void Propose(Proposal proposal, const Reply &reply);
};

#endif /* OPERATOR_HANDLER_H */
