/** @file slots_bench.cpp Sharing of slots among 2, 3 and 9 entries under uneven load, compared with a single queue. */
#include "bench_output.h"
#include "simulated_fleet.h"

#include "../request/slot_broker.h"
#include "../standin/memory/node_scheduler.h"
#include "../standin/memory/simple_view.h"

#include <algorithm>

namespace {

constexpr uint32_t ENDPOINTS = 10;         ///< Endpoints of the pool.
constexpr uint32_t SLOTS = 8;              ///< Slots of an endpoint.
constexpr Millis SERVICE_TIME_MEAN(40);    ///< Mean time that an endpoint spends on a request.
constexpr Millis MESSAGE_DELAY(1);         ///< Delay of a message between entries.
constexpr Millis BROKER_TICK(20);          ///< Time between two ticks of a broker and its gates.
constexpr Millis HOT_ENTRY_INTERVAL(2000); ///< Time after which another entry gets most of the load.
constexpr Millis DEADLINE(60000);          ///< Longer than a run: no request expires, as capacity is measured.
constexpr size_t QUEUE_LIMIT(512);         ///< Longest queue of a gate.

/** How entries share slots. */
enum class SlotSharing : uint8_t {
	SH_LENDING,   ///< Entries lend idle slots to each other.
	SH_STATIC,    ///< Each entry uses only its own slots.
	SH_ONE_QUEUE, ///< A single queue for the load of all entries.
};

/** Result of a run. */
struct SlotsResult {
	double used_share = 0;      ///< Mean share of slots in use, by completed requests.
	double messages = 0;        ///< Messages per second between all entries.
	uint64_t peak_requests = 0; ///< Most concurrent requests on an endpoint.
	double wait_ms = 0;         ///< Mean time that a request waits until it gets a slot, ms.
};

/** Simulates entries that share the slots of endpoints. */
class SlotSharingSimulation : public SlotTransport {
public:
	SlotSharingSimulation(uint32_t entries, SlotSharing sharing, uint64_t seed) : sharing(sharing), rng(seed)
	{
		const uint32_t count = sharing == SlotSharing::SH_ONE_QUEUE ? 1 : entries;
		this->caller_entries = entries;
		for (uint32_t i = 0; i < count; i++) {
			this->AddEntry(i);
		}
		this->ApplyViews(count);
	}

	/**
	 * Submits requests for a time.
	 * @param span Length of the measurement.
	 * @param load Offered load as a multiple of the capacity of all slots.
	 * @return Result of the run.
	 */
	SlotsResult Run(Millis span, double load)
	{
		this->clock.RunUntil(Millis(10000)); /* Wait until the slot shares are stable. */
		this->begin = this->clock.Now();
		this->Tick();
		this->MoveHotEntry();
		this->SubmitRequests(load);
		this->clock.RunUntil(this->begin + span);
		SlotsResult result;
		const double seconds = static_cast<double>(span.Value()) / MS_PER_SECOND;
		result.used_share = this->busy_ms / (static_cast<double>(span.Value()) * ENDPOINTS * SLOTS);
		for (const auto &it : this->nodes) {
			result.messages += static_cast<double>(it->broker->Counters().messages) / seconds;
		}
		result.peak_requests = this->peak_requests;
		result.wait_ms = this->waits == 0 ? 0 : this->wait_ms_sum / static_cast<double>(this->waits);
		return result;
	}

	bool Send(const Peer &to, const glade::wire::MessageUnion &message) override
	{
		const auto copy = std::make_shared<glade::wire::MessageUnion>(message);
		this->clock.After(MESSAGE_DELAY, [this, to, copy] {
			for (const auto &it : this->nodes) {
				if (it->name == to.name) {
					it->broker->OnMessage(*copy);
				}
			}
		});
		return true;
	}

private:
	/** A simulated entry. */
	struct Node {
		MemberName name;                    ///< Name of the entry.
		std::unique_ptr<RouteTable> routes; ///< Routes and gates of the entry.
		std::unique_ptr<SlotBroker> broker; ///< Lends and borrows slots.
	};

	SlotSharing sharing;                      ///< How slots are shared.
	RandomSource rng;                         ///< Random numbers of arrivals and service times.
	VirtualScheduler clock;                   ///< Virtual clock.
	std::vector<std::unique_ptr<Node>> nodes; ///< Entries; a single one for SH_ONE_QUEUE.
	uint32_t caller_entries = 1;              ///< Number of entries among which the load is divided.
	uint32_t hot_entry = 0;                   ///< Index of the entry that gets most of the load.
	std::map<BoxName, uint64_t> running;      ///< Number of current requests by endpoint.
	uint64_t peak_requests = 0;               ///< Most concurrent requests on an endpoint.
	double busy_ms = 0;                       ///< Sum of the service times of completed requests, ms.
	double wait_ms_sum = 0;                   ///< Sum of the waits for slots, ms.
	uint64_t waits = 0;                       ///< Number of waits in `wait_ms_sum`.
	Millis begin;                             ///< Start time of the measurement.

	void AddEntry(uint32_t i)
	{
		auto node = std::make_unique<Node>();
		node->name = MemberName("entry-" + std::to_string(i));
		GateSettings gates;
		gates.queue_limit = QUEUE_LIMIT;
		node->routes = std::make_unique<RouteTable>(EntryIdentity{node->name, ZoneName("z"), Incarnation(1)}, gates,
													LeaseTimes{});
		node->broker = std::make_unique<SlotBroker>(this->clock, *node->routes, node->name, *this, Millis(30000));
		this->nodes.push_back(std::move(node));
	}

	void ApplyViews(uint32_t count)
	{
		SimpleViewSpec spec;
		spec.endpoints = ENDPOINTS;
		spec.slots = SLOTS;
		spec.peers.clear();
		for (uint32_t i = 0; i < count; i++) {
			spec.peers.push_back("entry-" + std::to_string(i));
		}
		const glade::wire::ViewT view = SimpleView(spec);
		for (const auto &it : this->nodes) {
			it->routes->Apply(view, this->clock.Now());
		}
	}

	void Tick()
	{
		for (const auto &it : this->nodes) {
			it->routes->Gates().begin()->second->Tick(this->clock.Now());
			if (this->sharing == SlotSharing::SH_LENDING) {
				it->broker->Tick();
			}
		}
		this->clock.After(BROKER_TICK, [this] { this->Tick(); });
	}

	void MoveHotEntry()
	{
		this->hot_entry = (this->hot_entry + 1) % this->caller_entries;
		this->clock.After(HOT_ENTRY_INTERVAL, [this] { this->MoveHotEntry(); });
	}

	void SubmitRequests(double load)
	{
		/* Arrivals per millisecond at this load; at least four fifths go to the hot entry. */
		const double per_ms = load * ENDPOINTS * SLOTS / static_cast<double>(SERVICE_TIME_MEAN.Value());
		const auto whole = static_cast<uint64_t>(per_ms);
		const uint64_t extra =
				this->rng.UniformBelow(1000) < static_cast<uint64_t>((per_ms - static_cast<double>(whole)) * 1000) ? 1
																												   : 0;
		for (uint64_t i = 0; i < whole + extra; i++) {
			const uint64_t entry =
					this->rng.UniformBelow(10) < 8 ? this->hot_entry : this->rng.UniformBelow(this->caller_entries);
			this->SendRequest(*this->nodes[entry % this->nodes.size()]);
		}
		this->clock.After(Millis(1), [this, load] { this->SubmitRequests(load); });
	}

	void SendRequest(Node &node)
	{
		const auto gate = node.routes->Gates().begin()->second;
		const Millis requested_at = this->clock.Now();
		SlotRequest request;
		request.service = ServiceName("s");
		request.deadline = requested_at + DEADLINE;
		request.done = [this, gate, requested_at](const GateDecision &decision) {
			this->OnDecision(gate, requested_at, decision);
		};
		SlotRequestId id;
		if (const auto now = gate->RequestSlot(std::move(request), requested_at, id); now) {
			this->OnDecision(gate, requested_at, *now);
		}
	}

	/** Counts the wait of a granted request, and releases its slot after the service time. */
	void OnDecision(const std::shared_ptr<PoolGate> &gate, Millis requested_at, const GateDecision &decision)
	{
		if (decision.code != ResultCode::RC_OK) {
			return;
		}
		this->wait_ms_sum += static_cast<double>((this->clock.Now() - requested_at).Value());
		this->waits++;
		const Millis work = Millis(1) + this->rng.ExponentialSpan(SERVICE_TIME_MEAN);
		this->peak_requests = std::max(this->peak_requests, ++this->running[decision.grant.box]);
		this->clock.After(work, [this, gate, work, box = decision.grant.box] {
			this->busy_ms += static_cast<double>(work.Value());
			this->running[box]--;
			gate->Release(box, ServiceName("s"), CallOutcome::CO_SUCCESS, work, this->clock.Now());
		});
	}
};

} // namespace

int RunSlotsBench(const BenchOptions &options)
{
	const Millis span = options.quick ? Millis(3000) : Millis(30000);
	int failed = 0;
	for (const uint32_t entries : {2U, 3U, 9U}) {
		const std::string name = std::to_string(entries) + "_entries";
		const SlotsResult one_queue =
				SlotSharingSimulation(entries, SlotSharing::SH_ONE_QUEUE, options.seed).Run(span, 1.5);
		const SlotsResult lending =
				SlotSharingSimulation(entries, SlotSharing::SH_LENDING, options.seed).Run(span, 1.5);
		const SlotsResult static_shares =
				SlotSharingSimulation(entries, SlotSharing::SH_STATIC, options.seed).Run(span, 1.5);
		PrintFigure({"slots", name, "use", lending.used_share, "share of slots", "one_queue",
					 lending.used_share / one_queue.used_share, options.seed});
		PrintFigure({"slots", name, "use.static_shares", static_shares.used_share, "share of slots", "one_queue",
					 static_shares.used_share / one_queue.used_share, options.seed});
		PrintFigure({"slots", name, "messages", lending.messages, "1/s", "", 0, options.seed});
		PrintFigure({"slots", name, "peak_on_one_endpoint", static_cast<double>(lending.peak_requests), "requests",
					 "slots", static_cast<double>(lending.peak_requests) / SLOTS, options.seed});
		const SlotsResult one_queue_at_60_percent =
				SlotSharingSimulation(entries, SlotSharing::SH_ONE_QUEUE, options.seed).Run(span, 0.6);
		const SlotsResult lending_at_60_percent =
				SlotSharingSimulation(entries, SlotSharing::SH_LENDING, options.seed).Run(span, 0.6);
		const SlotsResult static_shares_at_60_percent =
				SlotSharingSimulation(entries, SlotSharing::SH_STATIC, options.seed).Run(span, 0.6);
		PrintFigure(
				{"slots", name, "wait_at_0.6_load", lending_at_60_percent.wait_ms, "ms", "one_queue", 0, options.seed});
		PrintFigure({"slots", name, "wait_at_0.6_load.one_queue", one_queue_at_60_percent.wait_ms, "ms", "", 0,
					 options.seed});
		PrintFigure({"slots", name, "wait_at_0.6_load.static_shares", static_shares_at_60_percent.wait_ms, "ms", "", 0,
					 options.seed});
		PrintFigure(
				{"slots", name, "messages_at_0.6_load", lending_at_60_percent.messages, "1/s", "", 0, options.seed});
		failed += lending.peak_requests > SLOTS ? 1 : 0;
	}
	return failed;
}
