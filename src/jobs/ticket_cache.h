/** @file ticket_cache.h Tickets that a route's policy gives: which boxes may run a step. */
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
	JobId job;               ///< The job.
	uint32_t occurrence = 0; ///< Which time.
	uint32_t step = 0;       ///< Which step.

	auto operator<=>(const StepId &) const = default;
};

/** What the policy says. */
struct Advice {
	ResultCode code = ResultCode::RC_PEER_UNAVAILABLE; ///< RC_OK, or the policy was not heard.
	std::map<BoxIncarnation, std::string> tickets;     ///< For the boxes that may run the step.
	Millis valid;                                      ///< How long the tickets hold from the answer on.
};

/** The service that knows the policy. */
class PlacementAdvisor {
public:
	virtual ~PlacementAdvisor() = default;
	/** Asks. @param step What is to run. @param boxes Where it could run. @param done Gets the answer, later. */
	virtual void Ask(const StepId &step, const std::vector<BoxIncarnation> &boxes,
					 std::function<void(Advice)> done) = 0;
};

/** Keeps the tickets of a shard's steps, and asks for those that are missing. Tickets aren't stored: a new owner asks
 * anew. */
class TicketCache {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param events Lines; outlives this.
	 * @param advisor The policy's service, or null when there is none; outlives this.
	 */
	TicketCache(Scheduler &scheduler, EventLog &events, PlacementAdvisor *advisor)
			: scheduler(scheduler), events(events), advisor(advisor)
	{
	}
	~TicketCache();
	TicketCache(const TicketCache &) = delete;
	TicketCache &operator=(const TicketCache &) = delete;

	/** @return The ticket for a step on a box, or null when there is none that still holds. @param step The step.
	 * @param life The box. */
	[[nodiscard]] const std::string *Find(const StepId &step, const BoxIncarnation &incarnation) const;
	/** Asks about boxes for a step, unless that is known or being asked. @param step The step. @param boxes Boxes that
	 * could run it, the best first. @param wanted Boxes that are needed. */
	void Request(const StepId &step, const std::vector<BoxIncarnation> &boxes, size_t wanted);
	/** A ticket was refused. @param step The step. @param life The box. */
	void Drop(const StepId &step, const BoxIncarnation &incarnation);
	/** Forgets the tickets of a job. @param job The job. */
	void Forget(const JobId &job);

	std::function<void()> on_tickets; ///< Told when tickets have come.

private:
	/** A ticket. */
	struct Ticket {
		std::string text; ///< What the box wants to see.
		Millis until;     ///< It is used until then.
	};

	/** What is known of a step. */
	struct Known {
		std::map<BoxIncarnation, Ticket> tickets; ///< Boxes that may run it.
		std::set<BoxIncarnation> refused;         ///< Boxes that may not: that doesn't change.
		bool asking = false;                      ///< Whether a question is under way.
	};

	Scheduler &scheduler;                                       ///< Clock and timers.
	EventLog &events;                                           ///< Lines.
	PlacementAdvisor *advisor;                                  ///< The policy's service.
	std::map<StepId, Known> steps;                              ///< What is known.
	size_t under_way = 0;                                       ///< Questions under way.
	TimerId retry;                                              ///< Next try after a failure.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void OnAdvice(const StepId &step, const std::vector<BoxIncarnation> &asked, Millis sent, const Advice &advice);
};

#endif /* TICKET_CACHE_H */
