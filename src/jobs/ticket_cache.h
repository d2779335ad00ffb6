/** @file ticket_cache.h Tickets of the placement policy, which allow a box to run a step. */
#ifndef TICKET_CACHE_H
#define TICKET_CACHE_H

#include "../event_log.h"
#include "../scheduler_type.h"
#include "job_type.h"

#include <map>
#include <memory>
#include <set>

/** A step of one occurrence of a job. */
struct StepId {
	JobId job;               ///< Id of the job.
	uint32_t occurrence = 0; ///< Index of the occurrence.
	uint32_t step = 0;       ///< Index of the step.

	auto operator<=>(const StepId &) const = default;
};

/** Answer of the placement policy. */
struct Advice {
	ResultCode code = ResultCode::RC_PEER_UNAVAILABLE; ///< RC_OK, or why there is no answer.
	std::map<BoxIncarnation, std::string> tickets;     ///< Tickets of the boxes that may run the step.
	Millis valid;                                      ///< How long the tickets are valid, counted from the answer.
};

/** Client of the service that decides on placement policies. */
class PlacementAdvisor {
public:
	virtual ~PlacementAdvisor() = default;
	/** Requests tickets. @param step Step to run. @param boxes Boxes that could run it. @param done Called later with
	 * the answer. */
	virtual void Ask(const StepId &step, const std::vector<BoxIncarnation> &boxes,
					 std::function<void(Advice)> done) = 0;
};

/** Caches the tickets of a shard's steps and requests missing ones. Tickets aren't recorded: a new owner requests them
 * again. */
class TicketCache {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param events Event log; must outlive this object.
	 * @param advisor Client of the placement policy, or null when there is none; must outlive this object.
	 */
	TicketCache(Scheduler &scheduler, EventLog &events, PlacementAdvisor *advisor)
			: scheduler(scheduler), events(events), advisor(advisor)
	{
	}
	~TicketCache();
	TicketCache(const TicketCache &) = delete;
	TicketCache &operator=(const TicketCache &) = delete;

	/** @return The ticket for a step on a box, or null when there is no valid one. @param step The step. @param
	 * incarnation Incarnation of the box. */
	[[nodiscard]] const std::string *Find(const StepId &step, const BoxIncarnation &incarnation) const;
	/** Requests tickets for a step, unless the answer is known or a request is under way. @param step The step. @param
	 * boxes Boxes that could run it, the best first. @param wanted Number of boxes needed. */
	void Request(const StepId &step, const std::vector<BoxIncarnation> &boxes, size_t wanted);
	/** Drops a ticket that a box has refused. @param step The step. @param incarnation Incarnation of the box. */
	void Drop(const StepId &step, const BoxIncarnation &incarnation);
	/** Drops the tickets of a job. @param job Id of the job. */
	void Forget(const JobId &job);

	std::function<void()> on_tickets; ///< Called when tickets have arrived.

private:
	/** A ticket. */
	struct Ticket {
		std::string text; ///< Ticket as sent to the box.
		Millis until;     ///< Not used from this time on.
	};

	/** Tickets and refusals of a step. */
	struct StepTickets {
		std::map<BoxIncarnation, Ticket> tickets; ///< Tickets of boxes that may run it.
		std::set<BoxIncarnation> refused;         ///< Boxes that may not run it; the policy never changes its answer.
		bool request_under_way = false;           ///< Whether a request is under way.
	};

	Scheduler &scheduler;                                       ///< Clock and timers.
	EventLog &events;                                           ///< Event log.
	PlacementAdvisor *advisor;                                  ///< Client of the placement policy.
	std::map<StepId, StepTickets> steps;                        ///< Tickets and refusals by step.
	size_t under_way = 0;                                       ///< Number of requests under way.
	TimerId retry;                                              ///< Next attempt after a failed request.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	void OnAdvice(const StepId &step, const std::vector<BoxIncarnation> &requested, Millis sent, const Advice &advice);
};

#endif /* TICKET_CACHE_H */
