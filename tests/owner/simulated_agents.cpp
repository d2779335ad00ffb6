/** @file simulated_agents.cpp Simulated agents of many boxes. */
#include "simulated_agents.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <utility>

namespace {

constexpr size_t BOXES_PER_SUBNET = 200; ///< Boxes whose addresses differ only in the last byte.

std::string IncarnationIdOf(size_t n)
{
	return "life" + std::to_string(n);
}

void Answer(CallerSink &sink, int status, const std::string &body)
{
	ResponseHead head;
	head.status = status;
	head.length = body.size();
	head.headers.Add("Content-Type", "application/json");
	sink.Begin(head);
	sink.Body(body);
	sink.End();
}

} // namespace

class SimulatedAgents::WaitingLeaseOrder : public ServedRequest {
public:
	explicit WaitingLeaseOrder(CallerSink &sink) : sink(&sink) {}

	void OnCallerDisconnected() override { this->sink = nullptr; }
	void OnCallerWritable() override {}

	/** Answers once, unless the owner has disconnected. @param body Body, JSON. */
	void Finish(const std::string &body)
	{
		if (CallerSink *to = std::exchange(this->sink, nullptr); to != nullptr) {
			Answer(*to, 200, body);
		}
	}

private:
	CallerSink *sink; ///< The owner; null once answered or disconnected.
};

SimulatedAgents::SimulatedAgents(size_t boxes, Millis run_time) : boxes(boxes), run_time(run_time)
{
	this->thread.start();
	this->thread_object.moveToThread(&this->thread);
	this->OnThread([this] {
		this->scheduler = std::make_unique<QtScheduler>();
		this->listener = std::make_unique<CallerListener>([this](qintptr descriptor) {
			new CallerLink(*this->scheduler, *this, this->limits, this->open, descriptor);
		});
		this->listener->listen(QHostAddress::AnyIPv4, 0);
		this->port = this->listener->serverPort();
		for (size_t n = 0; n < this->boxes; n++) {
			this->agents[IncarnationIdOf(n)];
		}
	});
}

SimulatedAgents::~SimulatedAgents()
{
	this->OnThread([this] { this->listener.reset(); });
	this->thread.quit();
	this->thread.wait();
}

void SimulatedAgents::OnThread(const std::function<void()> &run)
{
	QMetaObject::invokeMethod(&this->thread_object, run, Qt::BlockingQueuedConnection);
}

std::vector<BoxReport> SimulatedAgents::Reports(const ServiceName &service, const Resources &box_capacity) const
{
	std::vector<BoxReport> out;
	for (size_t n = 0; n < this->boxes; n++) {
		BoxReport report;
		report.incarnation.id = BoxId(IncarnationIdOf(n));
		report.box = BoxName("box" + std::to_string(n));
		report.service = service;
		report.address = "127.9." + std::to_string(n / BOXES_PER_SUBNET) + "." +
						 std::to_string(n % BOXES_PER_SUBNET + 1) + ":" + std::to_string(this->port);
		report.capacity = box_capacity;
		report.labels = {"a", "rack" + std::to_string(n / 20)};
		report.rack = RackName(report.labels.back());
		out.push_back(report);
	}
	return out;
}

std::string SimulatedAgents::LeaseReply(const Agent &agent) const
{
	std::string body = R"({"clock-ms":)" + std::to_string(this->scheduler->Now().Value()) + R"(,"running":[)";
	for (const auto &[task, run] : agent.running) {
		body += (body.back() == '[' ? "[\"" : ",[\"") + task + "\"," + std::to_string(run) + R"(,"",100,2100])";
	}
	body += R"(],"finished":[)";
	for (const EndedRun &it : agent.ended) {
		body += (body.back() == '[' ? "[" : ",[") + std::to_string(it.number) + ",\"" + it.task + "\"," +
				std::to_string(it.run) + R"(,"done",""])";
	}
	return body + "]}";
}

void SimulatedAgents::Start(Agent &agent, const std::string &task, int64_t run)
{
	if (!agent.running.emplace(task, run).second) {
		return;
	}
	this->scheduler->After(this->run_time, [this, &agent, task, run] {
		agent.running.erase(task);
		agent.ended.push_back(EndedRun{++agent.ends, task, run});
		if (const auto poll = std::exchange(agent.waiting_order, {}).lock(); poll) {
			poll->Finish(this->LeaseReply(agent));
		}
	});
}

std::shared_ptr<ServedRequest> SimulatedAgents::Serve(CallerSink &sink, CallerRequest request)
{
	const std::string *incarnation = request.headers.Find("X-Target-Instance");
	const auto it = incarnation == nullptr ? this->agents.end() : this->agents.find(*incarnation);
	if (it == this->agents.end()) {
		Answer(sink, 421, "{}");
		return nullptr;
	}
	rapidjson::Document json;
	json.Parse(request.body.data(), request.body.size());
	Agent &agent = it->second;
	if (request.target == "/v1/run-start") {
		this->Start(agent, json["task"].GetString(), json["run-id"].GetInt64());
		Answer(sink, 200, R"({"clock-ms":)" + std::to_string(this->scheduler->Now().Value()) + "}");
		return nullptr;
	}
	if (json.HasMember("last-seen")) {
		std::erase_if(agent.ended,
					  [&json](const EndedRun &end) { return end.number <= json["last-seen"].GetUint64(); });
	}
	const int64_t wait = json.HasMember("wait-ms") ? json["wait-ms"].GetInt64() : 0;
	if (!agent.ended.empty() || wait == 0) {
		Answer(sink, 200, this->LeaseReply(agent));
		return nullptr;
	}
	const auto poll = std::make_shared<WaitingLeaseOrder>(sink);
	agent.waiting_order = poll;
	this->scheduler->After(Millis(wait), [this, &agent, late = std::weak_ptr<WaitingLeaseOrder>(poll)] {
		if (const auto still = late.lock(); still) {
			still->Finish(this->LeaseReply(agent));
		}
	});
	return poll;
}
