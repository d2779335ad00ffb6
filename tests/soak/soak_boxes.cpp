/** @file soak_boxes.cpp Box agents and control of machines over HTTP. */
#include "soak_boxes.h"

#include "../../platform/box_words.h"

#include <QJsonArray>

#include <algorithm>

namespace {

QString ToQString(std::string_view text)
{
	return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

constexpr Millis POLL_INTERVAL(10);      ///< Interval at which a waiting lease order checks for ends.
constexpr Millis LATE_DELAY(2500);       ///< Delay of an order that is executed late.
constexpr Millis MAINTENANCE_TIME(600);  ///< Time from a box's restart for maintenance to its new report.
constexpr int PERCENT = 100;             ///< Scale of percentages.
constexpr double SLOW_CLOCK_RATE = 0.98; ///< Clock rate of slow boxes: box clocks drift apart.
constexpr size_t SLOW_CLOCK_ONE_IN = 2;  ///< One box of this many has a slow clock.

double ClockRate(const BoxReport &box)
{
	return std::hash<std::string>()(box.box.Value()) % SLOW_CLOCK_ONE_IN == 0 ? SLOW_CLOCK_RATE : 1.0;
}

} // namespace

SoakBoxes::SoakBoxes(QtScheduler &scheduler, uint32_t seed)
		: site(scheduler), scheduler(scheduler), random(seed),
		  agents(scheduler, [this](const DeferredAnswerPtr &to, const CallerRequest &it) { this->ServeAgent(to, it); }),
		  control(scheduler,
				  [this](const DeferredAnswerPtr &to, const CallerRequest &it) { this->ServeControl(to, it); })
{
}

Millis SoakBoxes::ClockOf(const BoxReport &box) const
{
	const Millis since = this->site.ClockOf(box.box);
	return Millis(static_cast<int64_t>(static_cast<double>(since.Value()) * ClockRate(box)));
}

Millis SoakBoxes::ToSchedulerTime(const BoxReport &box, Millis box_time) const
{
	return Millis(static_cast<int64_t>(static_cast<double>(box_time.Value()) / ClockRate(box)));
}

std::optional<BoxReport> SoakBoxes::BoxOf(const CallerRequest &request) const
{
	const std::string *incarnation = request.headers.Find("X-Target-Instance");
	const BoxReport *box = incarnation == nullptr ? nullptr : this->site.FindReport(BoxId(*incarnation));
	return box == nullptr ? std::nullopt : std::optional(*box);
}

QJsonObject SoakBoxes::AnswerJson(const BoxReport &box, const OrderAnswer &answer, int &status) const
{
	QJsonObject json{{"clock-ms", static_cast<qint64>(this->ClockOf(box).Value())}};
	status = answer.outcome == OrderOutcome::OO_DONE ? 200 : 409;
	if (answer.outcome == OrderOutcome::OO_OTHER_INCARNATION) {
		status = 421;
	} else if (status != 200) {
		json["reason"] = ToQString(RefusalReasonName(answer.outcome));
	}
	return json;
}

void SoakBoxes::ServeAgent(const DeferredAnswerPtr &answer, const CallerRequest &request)
{
	const std::optional<BoxReport> box = this->BoxOf(request);
	if (box && this->site.Down(box->box)) {
		answer->Disconnect();
		return;
	}
	if (!box) {
		answer->Answer(421, std::string("{}"));
		return;
	}
	const QJsonObject json = JsonOf(request.body);
	const FenceToken fence(static_cast<uint64_t>(json["fencing-token"].toInteger()));
	const TaskId task = ParseTaskId(json["task"].toString().toStdString());
	const RunNumber run(static_cast<uint32_t>(json["run-id"].toInteger()));
	const Millis until = this->ToSchedulerTime(*box, Millis(json["expiry-ms"].toInteger()));
	std::function<OrderAnswer()> work;
	if (request.target == "/v1/run-start") {
		StartOrder order;
		order.task = task;
		order.run = run;
		order.payload = json["spec"].toString().toStdString();
		order.saved = json["checkpoint"].toString().toStdString();
		order.lease_until = until;
		order.fence = fence;
		work = [this, box, order] { return this->site.Start(*box, order); };
		this->on_start(box->box);
		if (this->site.Down(box->box)) {
			answer->Disconnect();
			return;
		}
	} else if (request.target == "/v1/run-stop") {
		work = [this, box, task, run, fence] { return this->site.Stop(*box, task, run, fence); };
	} else if (request.target == "/v1/hold") {
		LeaseOrder order;
		order.fence = fence;
		order.ends_noted = static_cast<uint64_t>(json["last-seen"].toInteger());
		if (json.contains("expiry-ms")) {
			order.lease_until = until;
		}
		this->Lease(answer, *box, order, this->scheduler.Now() + Millis(json["wait-ms"].toInteger()));
		return;
	} else {
		answer->Answer(200, QJsonObject{{"clock-ms", static_cast<qint64>(this->ClockOf(*box).Value())}});
		return;
	}
	const SoakBoxFaults &bad = this->faults[box->box];
	if (static_cast<int>(this->random() % PERCENT) < bad.lose_percent) {
		this->scheduler.After(bad.late ? LATE_DELAY : Millis(0), [work] { work(); });
		answer->Disconnect();
		return;
	}
	int status = 0;
	const QJsonObject out = this->AnswerJson(*box, work(), status);
	answer->Answer(status, out);
}

void SoakBoxes::Lease(const DeferredAnswerPtr &answer, const BoxReport &box, LeaseOrder order, Millis until)
{
	if (!answer->IsPending()) {
		return;
	}
	/* The restart of a box closes its connections, so that waiting calls get no answer. */
	if (this->site.Down(box.box) || this->site.IncarnationOf(box.box) != box.incarnation) {
		answer->Disconnect();
		return;
	}
	const auto poll_again = [this, answer, &box, &order, until] {
		order.lease_until.reset();
		this->scheduler.After(POLL_INTERVAL,
							  [this, answer, box, order, until] { this->Lease(answer, box, order, until); });
	};
	if (this->scheduler.Now() < until && this->site.NothingToTell(box, order)) {
		poll_again();
		return;
	}
	const LeaseAnswer seen = this->site.Lease(box, order);
	const bool nothing = seen.order.outcome == OrderOutcome::OO_DONE && seen.ended.empty();
	if (nothing && this->scheduler.Now() < until) {
		poll_again();
		return;
	}
	int status = 0;
	QJsonObject json = this->AnswerJson(box, seen.order, status);
	json["born"] = static_cast<qint64>(box.incarnation.started.Value());
	QJsonArray running;
	for (const RunningRow &it : seen.running) {
		running.append(QJsonArray{ToQString(FormatTaskId(it.task)), static_cast<qint64>(it.run.Value()), "",
								  static_cast<qint64>(it.share), 0});
	}
	QJsonArray ended;
	for (const EndedRow &it : seen.ended) {
		ended.append(QJsonArray{static_cast<qint64>(it.number), ToQString(FormatTaskId(it.task)),
								static_cast<qint64>(it.run.Value()), ToQString(RunEndingName(it.ending)), ""});
	}
	json["running"] = running;
	json["finished"] = ended;
	answer->Answer(status, json);
}

void SoakBoxes::ServeControl(const DeferredAnswerPtr &answer, const CallerRequest &request)
{
	if (PathOf(request.target) == "/v1/machine-upkeep") {
		this->Maintain(answer, request);
		return;
	}
	if (PathOf(request.target) != "/v1/machines") {
		answer->Answer(400, std::string("{}")); /* Moves of boxes are not supported. */
		return;
	}
	QJsonArray rows;
	for (const BoxReport &it : this->site.Reports()) {
		const bool down = this->site.Down(it.box);
		rows.append(QJsonObject{{"machine", QString::fromStdString(it.box.Value())},
								{"pool", QString::fromStdString(it.service.Value())},
								{"state", down ? "down" : "up"},
								{"zone", QString::fromStdString(it.zone.Value())},
								{"capacity", QJsonObject{{"cpu", static_cast<qint64>(it.capacity.cpu)}}},
								{"id", QString::fromStdString(down ? std::string() : it.incarnation.id.Value())}});
	}
	answer->Answer(200, QJsonObject{{"machines", rows}});
}

void SoakBoxes::Maintain(const DeferredAnswerPtr &answer, const CallerRequest &request)
{
	const std::string machine = JsonOf(request.body)["machine"].toString().toStdString();
	const std::string *token = request.headers.Find("X-Fencing-Token");
	const uint64_t fence = token == nullptr ? 0 : std::stoull(*token);
	if (fence < this->fences[machine]) {
		answer->Answer(409, QJsonObject{{"reason", "fence"}});
		return;
	}
	this->fences[machine] = fence;
	this->site.Restart(BoxName(machine));
	this->scheduler.After(MAINTENANCE_TIME, [this] { this->on_restart(); });
	answer->Answer(200, std::string("{}"));
}
