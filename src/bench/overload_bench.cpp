/** @file overload_bench.cpp Three times the capacity with faults, through the real request path on a virtual clock. */
#include "bench_output.h"
#include "fleet_world.h"

#include "../request/exchange.h"
#include "../standin/memory/simple_view.h"

#include <algorithm>

namespace {

constexpr uint32_t ENDPOINTS = 10;  ///< Endpoints of the pool, two a rack.
constexpr uint32_t SLOTS = 8;       ///< Slots of each.
constexpr Millis WORK(40);          ///< Mean time of a request.
constexpr uint32_t SLOW_FACTOR = 5; ///< How much longer the slow endpoint takes.
constexpr Millis FAST_FAILURE(2);   ///< Time after which the failing endpoint answers 500.
constexpr size_t SLOW = 3;          ///< The slow endpoint.
constexpr size_t FAILING = 7;       ///< The endpoint that fails everything.
constexpr size_t RACK_FIRST = 4;    ///< First endpoint of the rack that is lost.
constexpr size_t RACK_LAST = 5;     ///< Last endpoint of it.
constexpr double LOAD = 3.0;        ///< Demand against the slots' capacity.
constexpr Millis TICK(20);          ///< Tick of gates.
constexpr int STATUS_GOOD = 200;    ///< HTTP status.
constexpr int STATUS_ERROR = 500;   ///< HTTP status.

/** A class of callers. */
struct Traffic {
	const char *service; ///< Service.
	uint32_t percent;    ///< Share of the demand.
	Millis deadline;     ///< How long callers wait.
};

constexpr Traffic _traffic[] = {
		{"counter", 20, Millis(300)}, {"reservations", 40, Millis(2000)}, {"claims", 40, Millis(10000)}};

/** How requests are handled. */
struct Handling {
	const char *name;  ///< Name.
	GateSettings gate; ///< Settings of the gate.
	uint32_t tries;    ///< Most endpoints tried.
	bool retry_budget; ///< Whether retries are limited.
};

std::vector<Handling> Handlings()
{
	std::vector<Handling> all;
	all.push_back({"glademount", GateSettings{}, 3, true});
	GateSettings robin;
	robin.two_choices = false;
	robin.eject = false;
	all.push_back({"round_robin", robin, 3, true});
	GateSettings admit_all;
	admit_all.admit_by_deadline = false;
	all.push_back({"no_admission", admit_all, 3, true});
	GateSettings unbounded = admit_all;
	unbounded.queue_limit = 1000000;
	all.push_back({"unbounded_queue", unbounded, 3, true});
	GateSettings plain = robin;
	all.push_back({"plain_retries", plain, 10, false});
	return all;
}

/** What a run showed. */
struct OverloadResult {
	double urgent_on_time = 0; ///< Share of urgent requests answered well and in time.
	double goodput = 0;        ///< Good answers in time against what the slots allow.
	double retries = 0;        ///< Retries per request.
	double amplification = 0;  ///< Sendings to endpoints per request admitted.
	double refusal_ms = 0;     ///< Mean time until a refusal.
};

/** One run. */
class OverloadRun : public EndpointDialer {
public:
	OverloadRun(const Handling &handling, uint64_t seed, Millis span)
			: dice(seed), span(span),
			  path(EntryIdentity{MemberName("entry"), ZoneName("z"), Incarnation(1)}, handling.gate, LeaseTimes{},
				   KeyLimits{}, SettingsOf(handling), this->credentials)
	{
		this->budget = handling.retry_budget;
		this->PushView();
	}

	OverloadResult Run()
	{
		this->Tick();
		this->Arrive();
		this->clock.RunUntil(this->span);
		this->over = true;
		this->clock.RunUntil(this->span + Millis(70000));
		OverloadResult result;
		result.urgent_on_time =
				static_cast<double>(this->good[0]) / static_cast<double>(std::max<uint64_t>(this->sent[0], 1));
		result.goodput = static_cast<double>(this->good[0] + this->good[1] + this->good[2]) / this->Allowed();
		const double all = static_cast<double>(this->sent[0] + this->sent[1] + this->sent[2]);
		result.retries = static_cast<double>(this->path.counters.retries) / all;
		result.amplification = static_cast<double>(this->calls) /
							   static_cast<double>(std::max<uint64_t>(this->calls - this->path.counters.retries, 1));
		result.refusal_ms = this->refusals == 0 ? 0 : this->refusal_ms / static_cast<double>(this->refusals);
		return result;
	}

	std::unique_ptr<EndpointCall> Start(const std::string &address, const CallerRequest &request,
										CallEvents &events) override;

private:
	friend class BenchCall;
	friend struct BenchCaller;

	Dice dice;                    ///< Random numbers.
	Millis span;                  ///< Length of the run.
	VirtualScheduler clock;       ///< The clock.
	AnyCaller credentials;        ///< Who may call.
	RequestPath path;             ///< The request path.
	bool budget = true;           ///< Whether retries are limited.
	bool over = false;            ///< Whether no more requests come.
	uint64_t sent[3] = {0, 0, 0}; ///< Requests by class.
	uint64_t good[3] = {0, 0, 0}; ///< Good answers in time.
	uint64_t calls = 0;           ///< Sendings to endpoints.
	double refusal_ms = 0;        ///< Time until refusals, sum.
	uint64_t refusals = 0;        ///< Refusals.

	static RequestSettings SettingsOf(const Handling &handling)
	{
		RequestSettings settings;
		settings.max_attempts = handling.tries;
		settings.spillover = false;
		return settings;
	}

	[[nodiscard]] bool RackLost() const
	{
		const Millis now = this->clock.Now();
		return now >= Millis(this->span.Value() / 2) && now < Millis(this->span.Value() * 3 / 4);
	}

	/** Good answers that the slots allow: every slot of an endpoint that works, all the time that it is there. */
	[[nodiscard]] double Allowed() const
	{
		const double per_endpoint =
				static_cast<double>(SLOTS * this->span.Value()) / static_cast<double>(WORK.Value() + 1);
		const double lost = 0.25 * (RACK_LAST - RACK_FIRST + 1);
		return per_endpoint * (ENDPOINTS - 2 - lost + 1.0 / SLOW_FACTOR);
	}

	void PushView()
	{
		SimpleViewSpec spec;
		spec.endpoints = ENDPOINTS;
		spec.slots = SLOTS;
		spec.services.clear();
		for (const Traffic &it : _traffic) {
			spec.services.emplace_back(it.service);
		}
		const glade::wire::ViewT view = SimpleView(spec);
		this->path.routes.Apply(view, this->clock.Now());
	}

	void Tick()
	{
		this->path.routes.Gates().begin()->second->Tick(this->clock.Now());
		while (!this->budget && this->path.retries.AddRetry() < 1000) {
		}
		this->clock.After(TICK, [this] { this->Tick(); });
	}

	void Arrive();
};

/** A caller. */
struct BenchCaller : public CallerSink {
	BenchCaller(OverloadRun &run, size_t kind) : run(run), kind(kind), began(run.clock.Now()) {}

	void Begin(const ResponseHead &head) override { this->status = head.status; }
	void Body(std::string_view) override {}
	void End() override
	{
		const Millis took = this->run.clock.Now() - this->began;
		if (this->status == STATUS_GOOD && took <= _traffic[this->kind].deadline) {
			this->run.good[this->kind]++;
		} else if (this->status != STATUS_GOOD && this->status != STATUS_ERROR) {
			this->run.refusals++;
			this->run.refusal_ms += static_cast<double>(took.Value());
		}
	}
	void Abort() override {}
	[[nodiscard]] bool Congested() const override { return false; }

	OverloadRun &run; ///< The run.
	size_t kind;      ///< Its class.
	Millis began;     ///< When it called.
	int status = 0;   ///< Status of the answer.
};

/** A call to an endpoint. */
class BenchCall : public EndpointCall {
public:
	BenchCall(OverloadRun &run, size_t endpoint, CallEvents &events) : state(std::make_shared<CallEvents *>(&events))
	{
		const bool refuses = run.RackLost() && endpoint >= RACK_FIRST && endpoint <= RACK_LAST;
		if (refuses) {
			run.clock.After(Millis(1), [it = this->state] {
				if (*it != nullptr) {
					std::exchange(*it, nullptr)->OnCallFailed(CallFailure::CF_NOT_CONNECTED);
				}
			});
			return;
		}
		run.calls++;
		Millis work = Millis(1) + run.dice.Around(WORK);
		if (endpoint == SLOW) {
			work = Millis(work.Value() * SLOW_FACTOR);
		}
		if (endpoint == FAILING) {
			work = FAST_FAILURE;
		}
		run.clock.After(work, [it = this->state, endpoint] {
			if (*it == nullptr) {
				return;
			}
			ResponseHead head;
			head.status = endpoint == FAILING ? STATUS_ERROR : STATUS_GOOD;
			head.length = 0;
			(*it)->OnResponseHead(head);
			if (*it != nullptr) {
				std::exchange(*it, nullptr)->OnResponseEnd();
			}
		});
	}

	~BenchCall() override { *this->state = nullptr; }
	void SetPaused(bool) override {}
	void Abandon() override { *this->state = nullptr; }

private:
	std::shared_ptr<CallEvents *> state; ///< Who hears, null for nobody.
};

std::unique_ptr<EndpointCall> OverloadRun::Start(const std::string &address, const CallerRequest &, CallEvents &events)
{
	return std::make_unique<BenchCall>(*this, std::stoul(address), events);
}

void OverloadRun::Arrive()
{
	if (this->over) {
		return;
	}
	const double per_ms = LOAD * ENDPOINTS * SLOTS / static_cast<double>(WORK.Value());
	const auto whole = static_cast<uint64_t>(per_ms);
	const uint64_t extra =
			this->dice.Below(1000) < static_cast<uint64_t>((per_ms - static_cast<double>(whole)) * 1000) ? 1 : 0;
	for (uint64_t i = 0; i < whole + extra; i++) {
		const uint64_t roll = this->dice.Below(100);
		const size_t kind = roll < _traffic[0].percent ? 0 : roll < _traffic[0].percent + _traffic[1].percent ? 1 : 2;
		this->sent[kind]++;
		CallerRequest request;
		request.method = "GET";
		request.target = std::string("/") + _traffic[kind].service;
		request.headers.Add(std::string(HEADER_DEADLINE), std::to_string(_traffic[kind].deadline.Value()));
		auto caller = std::make_shared<BenchCaller>(*this, kind);
		auto exchange = std::make_shared<Exchange>(this->clock, this->path, *this, *caller, std::move(request));
		exchange->Start();
		this->clock.After(Millis(65000), [caller, exchange] {});
	}
	this->clock.After(Millis(1), [this] { this->Arrive(); });
}

} // namespace

int RunOverloadBench(const BenchOptions &options)
{
	const Millis span = options.quick ? Millis(2000) : Millis(8000);
	const std::vector<Handling> handlings = Handlings();
	std::vector<OverloadResult> results;
	results.reserve(handlings.size());
	for (const Handling &it : handlings) {
		results.push_back(OverloadRun(it, options.seed, span).Run());
	}
	for (size_t i = 0; i < handlings.size(); i++) {
		const std::string suffix = i == 0 ? "" : std::string(".") + handlings[i].name;
		const auto print = [&](const char *figure, double ours, double value, const char *unit) {
			PrintFigure({"overload", "3x", figure + suffix, value, unit, i == 0 ? "" : handlings[i].name,
						 i == 0 || value == 0 ? 0 : ours / value, options.seed});
		};
		print("urgent_on_time", results[0].urgent_on_time, results[i].urgent_on_time, "share");
		print("goodput", results[0].goodput, results[i].goodput, "of what the slots allow");
		print("retries", results[0].retries, results[i].retries, "per request");
		print("amplification", results[0].amplification, results[i].amplification, "sendings per admitted request");
		print("refused_after", results[0].refusal_ms, results[i].refusal_ms, "ms");
	}
	return 0;
}
