/** @file overload_bench.cpp The request path under three times the capacity and with faults, on a virtual clock. */
#include "bench_output.h"
#include "simulated_fleet.h"

#include "../request/exchange.h"
#include "../standin/memory/simple_view.h"

#include <algorithm>

namespace {

constexpr uint32_t ENDPOINTS = 10;      ///< Endpoints of the pool, two per rack.
constexpr uint32_t SLOTS = 8;           ///< Slots of an endpoint.
constexpr Millis SERVICE_TIME_MEAN(40); ///< Mean time that an endpoint spends on a request.
constexpr uint32_t SLOW_FACTOR = 5;     ///< Factor by which the slow endpoint takes longer.
constexpr Millis FAILURE_DELAY(2);      ///< Time after which the failing endpoint answers 500.
constexpr size_t SLOW_ENDPOINT = 3;     ///< Index of the slow endpoint.
constexpr size_t FAILING_ENDPOINT = 7;  ///< Index of the endpoint that fails every request.
constexpr size_t LOST_RACK_FIRST = 4;   ///< First endpoint of the rack that goes down.
constexpr size_t LOST_RACK_LAST = 5;    ///< Last endpoint of the rack that goes down.
constexpr double LOAD_FACTOR = 3.0;     ///< Request rate as a multiple of the slots' capacity.
constexpr Millis GATE_TICK(20);         ///< Time between two ticks of a gate.
constexpr int STATUS_OK = 200;          ///< HTTP status of a success.
constexpr int STATUS_ERROR = 500;       ///< HTTP status of a failure at the endpoint.

/** A class of requests. */
struct TrafficClass {
	const char *service; ///< Name of the service.
	uint32_t percent;    ///< Share of all requests, percent.
	Millis deadline;     ///< Deadline of the requests, after their start.
};

/** Classes of the load; the first is the urgent one. */
constexpr TrafficClass _traffic_classes[] = {
		{"counter", 20, Millis(300)}, {"reservations", 40, Millis(2000)}, {"claims", 40, Millis(10000)}};

/** How overload is handled. */
struct OverloadPolicy {
	const char *name;  ///< Name in the output.
	GateSettings gate; ///< Settings of the gate.
	uint32_t attempts; ///< Most attempts for a request.
	bool retry_budget; ///< Whether retries are limited by a budget.
};

std::vector<OverloadPolicy> OverloadPolicies()
{
	std::vector<OverloadPolicy> all;
	all.push_back({"glademount", GateSettings{}, 3, true});
	GateSettings round_robin;
	round_robin.two_choices = false;
	round_robin.eject = false;
	all.push_back({"round_robin", round_robin, 3, true});
	GateSettings admit_all;
	admit_all.admit_by_deadline = false;
	all.push_back({"no_admission", admit_all, 3, true});
	GateSettings unbounded = admit_all;
	unbounded.queue_limit = 1000000;
	all.push_back({"unbounded_queue", unbounded, 3, true});
	GateSettings plain_retries = round_robin;
	all.push_back({"plain_retries", plain_retries, 10, false});
	return all;
}

/** Result of a run. */
struct OverloadResult {
	double urgent_on_time = 0; ///< Share of urgent requests that succeed before their deadline.
	double goodput = 0;        ///< Successes before the deadline, as a share of what the slots allow.
	double retries = 0;        ///< Retries per request sent.
	double amplification = 0;  ///< Calls to reachable endpoints, divided by their number less all retries.
	double refusal_ms = 0;     ///< Mean time until a refusal, ms.
};

/** Simulates callers, the request path of an entry, and endpoints. */
class OverloadSimulation : public EndpointDialer {
public:
	OverloadSimulation(const OverloadPolicy &policy, uint64_t seed, Millis span)
			: rng(seed), span(span), path(EntryIdentity{MemberName("entry"), ZoneName("z"), Incarnation(1)},
										  policy.gate, LeaseTimes{}, KeyLimits{}, SettingsOf(policy), this->credentials)
	{
		this->limit_retries = policy.retry_budget;
		this->PushView();
	}

	OverloadResult Run()
	{
		this->Tick();
		this->SubmitRequests();
		this->clock.RunUntil(this->span);
		this->finished = true;
		this->clock.RunUntil(this->span + Millis(70000));
		OverloadResult result;
		result.urgent_on_time = static_cast<double>(this->good_answers[0]) /
								static_cast<double>(std::max<uint64_t>(this->sent_requests[0], 1));
		result.goodput = static_cast<double>(this->good_answers[0] + this->good_answers[1] + this->good_answers[2]) /
						 this->AnswerCapacity();
		const double all =
				static_cast<double>(this->sent_requests[0] + this->sent_requests[1] + this->sent_requests[2]);
		result.retries = static_cast<double>(this->path.counters.retries) / all;
		result.amplification =
				static_cast<double>(this->endpoint_calls) /
				static_cast<double>(std::max<uint64_t>(this->endpoint_calls - this->path.counters.retries, 1));
		result.refusal_ms = this->refusals == 0 ? 0 : this->refusal_ms_sum / static_cast<double>(this->refusals);
		return result;
	}

	std::unique_ptr<EndpointCall> Start(const std::string &address, const CallerRequest &request,
										CallEvents &events) override;

private:
	friend class SimulatedCall;
	friend struct SimulatedCaller;

	RandomSource rng;                      ///< Random numbers of arrivals and service times.
	Millis span;                           ///< Time during which requests arrive.
	VirtualScheduler clock;                ///< Virtual clock.
	AnyCaller credentials;                 ///< Credentials that accept every caller.
	RequestPath path;                      ///< Request path under test.
	bool limit_retries = true;             ///< Whether retries are limited by a budget.
	bool finished = false;                 ///< Whether requests have ceased to arrive.
	uint64_t sent_requests[3] = {0, 0, 0}; ///< Requests sent, by class.
	uint64_t good_answers[3] = {0, 0, 0};  ///< Successes before the deadline, by class.
	uint64_t endpoint_calls = 0;           ///< Calls to endpoints that could be reached.
	double refusal_ms_sum = 0;             ///< Sum of times until refusals, ms.
	uint64_t refusals = 0;                 ///< Answers with a status other than 200 and 500.

	static RequestSettings SettingsOf(const OverloadPolicy &policy)
	{
		RequestSettings settings;
		settings.max_attempts = policy.attempts;
		settings.spillover = false;
		return settings;
	}

	/** @return Whether the rack is down now: in the third quarter of the span. */
	[[nodiscard]] bool RackLost() const
	{
		const Millis now = this->clock.Now();
		return now >= Millis(this->span.Value() / 2) && now < Millis(this->span.Value() * 3 / 4);
	}

	/** @return Successes that the slots allow: all slots of working endpoints busy for as long as these are up. */
	[[nodiscard]] double AnswerCapacity() const
	{
		/* A request takes 1 ms plus a random time with the mean SERVICE_TIME_MEAN. */
		const double per_endpoint =
				static_cast<double>(SLOTS * this->span.Value()) / static_cast<double>(SERVICE_TIME_MEAN.Value() + 1);
		/* The rack is down for a quarter of the span. The failing endpoint counts as none, the slow one in part. */
		const double lost_endpoints = 0.25 * (LOST_RACK_LAST - LOST_RACK_FIRST + 1);
		return per_endpoint * (ENDPOINTS - 2 - lost_endpoints + 1.0 / SLOW_FACTOR);
	}

	void PushView()
	{
		SimpleViewSpec spec;
		spec.endpoints = ENDPOINTS;
		spec.slots = SLOTS;
		spec.services.clear();
		for (const TrafficClass &it : _traffic_classes) {
			spec.services.emplace_back(it.service);
		}
		const glade::wire::ViewT view = SimpleView(spec);
		this->path.routes.Apply(view, this->clock.Now());
	}

	void Tick()
	{
		this->path.routes.Gates().begin()->second->Tick(this->clock.Now());
		/* Without a budget, the bucket is filled so far that it never limits retries. */
		while (!this->limit_retries && this->path.retries.AddRetry() < 1000) {
		}
		this->clock.After(GATE_TICK, [this] { this->Tick(); });
	}

	/** Submits the requests of a millisecond, and schedules the next call until the span is over. */
	void SubmitRequests();
};

/** Caller of one request; counts its outcome. */
struct SimulatedCaller : public CallerSink {
	SimulatedCaller(OverloadSimulation &run, size_t class_index)
			: run(run), class_index(class_index), begin_time(run.clock.Now())
	{
	}

	void Begin(const ResponseHead &head) override { this->status = head.status; }
	void Body(std::string_view) override {}
	void End() override
	{
		const Millis took = this->run.clock.Now() - this->begin_time;
		if (this->status == STATUS_OK && took <= _traffic_classes[this->class_index].deadline) {
			this->run.good_answers[this->class_index]++;
		} else if (this->status != STATUS_OK && this->status != STATUS_ERROR) {
			this->run.refusals++;
			this->run.refusal_ms_sum += static_cast<double>(took.Value());
		}
	}
	void Abort() override {}
	[[nodiscard]] bool Congested() const override { return false; }

	OverloadSimulation &run; ///< Simulation that counts the outcome.
	size_t class_index;      ///< Index of its traffic class.
	Millis begin_time;       ///< Start time of the request.
	int status = 0;          ///< HTTP status of the answer, 0 before it.
};

/** A call to a simulated endpoint. */
class SimulatedCall : public EndpointCall {
public:
	SimulatedCall(OverloadSimulation &run, size_t endpoint, CallEvents &events)
			: receiver(std::make_shared<CallEvents *>(&events))
	{
		const bool unreachable = run.RackLost() && endpoint >= LOST_RACK_FIRST && endpoint <= LOST_RACK_LAST;
		if (unreachable) {
			run.clock.After(Millis(1), [it = this->receiver] {
				if (*it != nullptr) {
					std::exchange(*it, nullptr)->OnCallFailed(CallFailure::CF_NOT_CONNECTED);
				}
			});
			return;
		}
		run.endpoint_calls++;
		Millis work = Millis(1) + run.rng.ExponentialSpan(SERVICE_TIME_MEAN);
		if (endpoint == SLOW_ENDPOINT) {
			work = Millis(work.Value() * SLOW_FACTOR);
		}
		if (endpoint == FAILING_ENDPOINT) {
			work = FAILURE_DELAY;
		}
		run.clock.After(work, [it = this->receiver, endpoint] {
			if (*it == nullptr) {
				return;
			}
			ResponseHead head;
			head.status = endpoint == FAILING_ENDPOINT ? STATUS_ERROR : STATUS_OK;
			head.length = 0;
			(*it)->OnResponseHead(head);
			if (*it != nullptr) {
				std::exchange(*it, nullptr)->OnResponseEnd();
			}
		});
	}

	~SimulatedCall() override { *this->receiver = nullptr; }
	void SetPaused(bool) override {}
	void Abandon() override { *this->receiver = nullptr; }

private:
	std::shared_ptr<CallEvents *> receiver; ///< Receiver of events; null once the call has ended or was abandoned.
};

std::unique_ptr<EndpointCall> OverloadSimulation::Start(const std::string &address, const CallerRequest &,
														CallEvents &events)
{
	return std::make_unique<SimulatedCall>(*this, std::stoul(address), events);
}

void OverloadSimulation::SubmitRequests()
{
	if (this->finished) {
		return;
	}
	const double per_ms = LOAD_FACTOR * ENDPOINTS * SLOTS / static_cast<double>(SERVICE_TIME_MEAN.Value());
	const auto whole = static_cast<uint64_t>(per_ms);
	const uint64_t extra =
			this->rng.UniformBelow(1000) < static_cast<uint64_t>((per_ms - static_cast<double>(whole)) * 1000) ? 1 : 0;
	for (uint64_t i = 0; i < whole + extra; i++) {
		const uint64_t roll = this->rng.UniformBelow(100);
		const size_t class_index = roll < _traffic_classes[0].percent                                 ? 0
								   : roll < _traffic_classes[0].percent + _traffic_classes[1].percent ? 1
																									  : 2;
		this->sent_requests[class_index]++;
		CallerRequest request;
		request.method = "GET";
		request.target = std::string("/") + _traffic_classes[class_index].service;
		request.headers.Add(std::string(HEADER_DEADLINE),
							std::to_string(_traffic_classes[class_index].deadline.Value()));
		auto caller = std::make_shared<SimulatedCaller>(*this, class_index);
		auto exchange = std::make_shared<Exchange>(this->clock, this->path, *this, *caller, std::move(request));
		exchange->Start();
		/* Keeps both alive far beyond the longest deadline. */
		this->clock.After(Millis(65000), [caller, exchange] {});
	}
	this->clock.After(Millis(1), [this] { this->SubmitRequests(); });
}

} // namespace

int RunOverloadBench(const BenchOptions &options)
{
	const Millis span = options.quick ? Millis(2000) : Millis(8000);
	const std::vector<OverloadPolicy> policies = OverloadPolicies();
	std::vector<OverloadResult> results;
	results.reserve(policies.size());
	for (const OverloadPolicy &it : policies) {
		results.push_back(OverloadSimulation(it, options.seed, span).Run());
	}
	for (size_t i = 0; i < policies.size(); i++) {
		const std::string suffix = i == 0 ? "" : std::string(".") + policies[i].name;
		const auto print = [&](const char *figure, double reference, double value, const char *unit) {
			PrintFigure({"overload", "3x", figure + suffix, value, unit, i == 0 ? "" : policies[i].name,
						 i == 0 || value == 0 ? 0 : reference / value, options.seed});
		};
		print("urgent_on_time", results[0].urgent_on_time, results[i].urgent_on_time, "share");
		print("goodput", results[0].goodput, results[i].goodput, "of what the slots allow");
		print("retries", results[0].retries, results[i].retries, "per request");
		print("amplification", results[0].amplification, results[i].amplification, "sendings per admitted request");
		print("refused_after", results[0].refusal_ms, results[i].refusal_ms, "ms");
	}
	return 0;
}
