/** @file soak_boxes.h Agents of boxes and control of machines over HTTP: the state machine is the one of the tests. */
#ifndef SOAK_BOXES_H
#define SOAK_BOXES_H

#include "soak_http.h"
#include "standin/memory/box_site.h"

#include <random>

/** What goes wrong with orders to a box. */
struct SoakBoxFaults {
	int lose_percent = 0; ///< So many of 100 orders are done, and their connection is cut without an answer.
	bool late = false;    ///< Those are done 2.5 s later instead of at once.
};

/** The boxes' server: one port for all, told apart by the life that a call names. */
class SoakBoxes {
public:
	/** @param scheduler Clock. @param seed For which orders are lost. */
	SoakBoxes(QtScheduler &scheduler, uint32_t seed);

	/** @return Whether both ports listen. */
	bool Start() { return this->agents.Listen() && this->control.Listen(); }
	/** @return Port of the boxes' agents. */
	[[nodiscard]] quint16 AgentPort() const { return this->agents.Port(); }
	/** @return Port of the control of machines. */
	[[nodiscard]] quint16 ControlPort() const { return this->control.Port(); }

	BoxSite site;                            ///< The state.
	std::map<BoxName, SoakBoxFaults> faults; ///< Faults by box.
	std::function<void()> on_restart;        ///< Told when a box has another life.

private:
	QtScheduler &scheduler;                 ///< Clock.
	std::minstd_rand random;                ///< Which orders are lost.
	SoakListener agents;                    ///< Port of the agents.
	SoakListener control;                   ///< Port of the control of machines.
	std::map<std::string, uint64_t> fences; ///< Highest fence of each machine.

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
