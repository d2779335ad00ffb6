/** @file soak_boxes.h Serves box agents and the control of machines over HTTP, with the simulated boxes of the unit
 * tests, BoxSite.
 */
#ifndef SOAK_BOXES_H
#define SOAK_BOXES_H

#include "soak_http.h"
#include "standin/memory/box_site.h"

#include <random>

/** Faults of starts and stops sent to a box. */
struct SoakBoxFaults {
	int lose_percent = 0; ///< Percentage executed, then disconnected without an answer.
	bool late = false;    ///< Whether orders with a lost answer are executed LATE_DELAY later.
};

/** Server of all boxes on one port; the incarnation named in a call selects the box. */
class SoakBoxes {
public:
	/** @param scheduler Event loop. @param seed Seed for the choice of lost orders. */
	SoakBoxes(QtScheduler &scheduler, uint32_t seed);

	/** Opens both ports. @return Whether they listen. */
	bool Start() { return this->agents.Listen() && this->control.Listen(); }
	/** @return Port of the box agents. */
	[[nodiscard]] quint16 AgentPort() const { return this->agents.Port(); }
	/** @return Port of the control of machines. */
	[[nodiscard]] quint16 ControlPort() const { return this->control.Port(); }

	BoxSite site;                                  ///< State of the boxes.
	std::map<BoxName, SoakBoxFaults> faults;       ///< Faults by box.
	std::function<void(const BoxName &)> on_start; ///< Called for each start order before it is executed.
	std::function<void()> on_restart;              ///< Called MAINTENANCE_TIME after a restart for maintenance.

private:
	QtScheduler &scheduler;                 ///< Event loop.
	std::minstd_rand random;                ///< Chooses lost orders.
	SoakListener agents;                    ///< Serves the agents.
	SoakListener control;                   ///< Serves the control of machines.
	std::map<std::string, uint64_t> fences; ///< Highest fence token by machine.

	using Work = std::function<QJsonObject(const BoxReport &, int &status)>;

	void ServeAgent(const DeferredAnswerPtr &answer, const CallerRequest &request);
	void ServeControl(const DeferredAnswerPtr &answer, const CallerRequest &request);
	void Maintain(const DeferredAnswerPtr &answer, const CallerRequest &request);
	void Lease(const DeferredAnswerPtr &answer, const BoxReport &box, LeaseOrder order, Millis until);
	[[nodiscard]] std::optional<BoxReport> BoxOf(const CallerRequest &request) const;
	[[nodiscard]] Millis ClockOf(const BoxReport &box) const;
	[[nodiscard]] Millis ToSchedulerTime(const BoxReport &box, Millis box_time) const;
	QJsonObject AnswerJson(const BoxReport &box, const OrderAnswer &answer, int &status) const;
};

#endif /* SOAK_BOXES_H */
