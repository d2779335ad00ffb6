/** @file slots_bench.cpp Shares of 8 slots among 2, 3 and 9 entries under skew, against one omniscient queue. */
#include "bench_output.h"
#include "fleet_world.h"

#include "../request/slot_broker.h"
#include "../standin/memory/node_scheduler.h"
#include "../standin/memory/simple_view.h"

#include <algorithm>

namespace {

constexpr uint32_t ENDPOINTS = 10; ///< Endpoints of the pool.
constexpr uint32_t SLOTS = 8;      ///< Slots of each.
constexpr Millis WORK(40);         ///< Mean time of a request.
constexpr Millis LATENCY(1);       ///< Time of a message between entries.
constexpr Millis TICK(20);         ///< Tick of brokers.
constexpr Millis SHIFT(2000);      ///< Time after which the load shifts to other entries.
constexpr Millis DEADLINE(60000);  ///< Requests wait as long as they must: capacity is what is measured.
constexpr size_t QUEUE(512);       ///< Longest queue of an entry.

/** How entries share slots. */
enum class Sharing : uint8_t {
	SH_LENDING, ///< Shares that are lent.
	SH_STATIC,  ///< Shares that stay.
	SH_ONE,     ///< One queue that knows everything.
};

/** Result of a run. */
struct SlotsResult {
	double use = 0;      ///< Share of the slots in use, mean.
	double messages = 0; ///< Messages a second, of all entries.
	uint64_t peak = 0;   ///< Most requests on one endpoint at once.
	double wait_ms = 0;  ///< Mean wait for a slot.
};

/** Entries that share endpoints. */
class SlotsRun : public SlotTransport {
public:
	SlotsRun(uint32_t entries, Sharing sharing, uint64_t seed) : sharing(sharing), dice(seed)
	{
		const uint32_t count = sharing == Sharing::SH_ONE ? 1 : entries;
		this->load_entries = entries;
		for (uint32_t i = 0; i < count; i++) {
			this->Add(i);
		}
		this->PublishViews(count);
	}

	SlotsResult Run(Millis span, double load)
	{
		this->clock.RunUntil(Millis(10000)); /* Until shares have settled. */
		this->begin = this->clock.Now();
		this->Tick();
		this->Shift();
		this->Arrive(load);
		this->clock.RunUntil(this->begin + span);
		SlotsResult result;
		const double seconds = static_cast<double>(span.Value()) / MS_PER_SECOND;
		result.use = this->busy_ms / (static_cast<double>(span.Value()) * ENDPOINTS * SLOTS);
		for (const auto &it : this->nodes) {
			result.messages += static_cast<double>(it->broker->Counters().messages) / seconds;
		}
		result.peak = this->peak;
		result.wait_ms = this->waits == 0 ? 0 : this->wait_sum / static_cast<double>(this->waits);
		return result;
	}

	bool Send(const Peer &to, const glade::wire::MessageUnion &message) override
	{
		const auto copy = std::make_shared<glade::wire::MessageUnion>(message);
		this->clock.After(LATENCY, [this, to, copy] {
			for (const auto &it : this->nodes) {
				if (it->name == to.name) {
					it->broker->OnMessage(*copy);
				}
			}
		});
		return true;
	}

private:
	/** An entry. */
	struct Node {
		MemberName name;                    ///< Its name.
		std::unique_ptr<RouteTable> routes; ///< Its gates.
		std::unique_ptr<SlotBroker> broker; ///< Lends and borrows.
	};

	Sharing sharing;                          ///< How slots are shared.
	Dice dice;                                ///< Random numbers.
	VirtualScheduler clock;                   ///< The clock.
	std::vector<std::unique_ptr<Node>> nodes; ///< Entries.
	uint32_t load_entries = 1;                ///< Entries that callers know.
	uint32_t hot = 0;                         ///< Entry that gets most of the load.
	std::map<BoxName, uint64_t> running;      ///< Requests per endpoint.
	uint64_t peak = 0;                        ///< Most on one endpoint.
	double busy_ms = 0;                       ///< Slot time used.
	double wait_sum = 0;                      ///< Waits.
	uint64_t waits = 0;                       ///< Number of them.
	Millis begin;                             ///< Start of the measurement.

	void Add(uint32_t i)
	{
		auto node = std::make_unique<Node>();
		node->name = MemberName("entry-" + std::to_string(i));
		GateSettings gates;
		gates.queue_limit = QUEUE;
		node->routes = std::make_unique<RouteTable>(EntryIdentity{node->name, ZoneName("z"), Incarnation(1)}, gates,
													LeaseTimes{});
		node->broker = std::make_unique<SlotBroker>(this->clock, *node->routes, node->name, *this, Millis(30000));
		this->nodes.push_back(std::move(node));
	}

	void PublishViews(uint32_t count)
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
			if (this->sharing == Sharing::SH_LENDING) {
				it->broker->Tick();
			}
		}
		this->clock.After(TICK, [this] { this->Tick(); });
	}

	void Shift()
	{
		this->hot = (this->hot + 1) % this->load_entries;
		this->clock.After(SHIFT, [this] { this->Shift(); });
	}

	void Arrive(double load)
	{
		/* `load` of all slots, as arrivals: four fifths to the hot entry. */
		const double per_ms = load * ENDPOINTS * SLOTS / static_cast<double>(WORK.Value());
		const auto whole = static_cast<uint64_t>(per_ms);
		const uint64_t extra =
				this->dice.Below(1000) < static_cast<uint64_t>((per_ms - static_cast<double>(whole)) * 1000) ? 1 : 0;
		for (uint64_t i = 0; i < whole + extra; i++) {
			const uint64_t entry = this->dice.Below(10) < 8 ? this->hot : this->dice.Below(this->load_entries);
			this->Request(*this->nodes[entry % this->nodes.size()]);
		}
		this->clock.After(Millis(1), [this, load] { this->Arrive(load); });
	}

	void Request(Node &node)
	{
		const auto gate = node.routes->Gates().begin()->second;
		const Millis asked = this->clock.Now();
		SlotRequest ask;
		ask.service = ServiceName("s");
		ask.deadline = asked + DEADLINE;
		ask.done = [this, gate, asked](const GateDecision &answer) { this->OnAnswer(gate, asked, answer); };
		SlotRequestId id;
		if (const auto now = gate->RequestSlot(std::move(ask), asked, id); now) {
			this->OnAnswer(gate, asked, *now);
		}
	}

	void OnAnswer(const std::shared_ptr<PoolGate> &gate, Millis asked, const GateDecision &answer)
	{
		if (answer.code != ResultCode::RC_OK) {
			return;
		}
		this->wait_sum += static_cast<double>((this->clock.Now() - asked).Value());
		this->waits++;
		const Millis work = Millis(1) + this->dice.Around(WORK);
		this->peak = std::max(this->peak, ++this->running[answer.grant.box]);
		this->clock.After(work, [this, gate, work, box = answer.grant.box] {
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
		const SlotsResult one = SlotsRun(entries, Sharing::SH_ONE, options.seed).Run(span, 1.5);
		const SlotsResult ours = SlotsRun(entries, Sharing::SH_LENDING, options.seed).Run(span, 1.5);
		const SlotsResult fixed = SlotsRun(entries, Sharing::SH_STATIC, options.seed).Run(span, 1.5);
		PrintFigure({"slots", name, "use", ours.use, "share of slots", "one_queue", ours.use / one.use, options.seed});
		PrintFigure({"slots", name, "use.static_shares", fixed.use, "share of slots", "one_queue", fixed.use / one.use,
					 options.seed});
		PrintFigure({"slots", name, "messages", ours.messages, "1/s", "", 0, options.seed});
		PrintFigure({"slots", name, "peak_on_one_endpoint", static_cast<double>(ours.peak), "requests", "slots",
					 static_cast<double>(ours.peak) / SLOTS, options.seed});
		const SlotsResult one_half = SlotsRun(entries, Sharing::SH_ONE, options.seed).Run(span, 0.6);
		const SlotsResult half = SlotsRun(entries, Sharing::SH_LENDING, options.seed).Run(span, 0.6);
		const SlotsResult fixed_half = SlotsRun(entries, Sharing::SH_STATIC, options.seed).Run(span, 0.6);
		PrintFigure({"slots", name, "wait_at_0.6_load", half.wait_ms, "ms", "one_queue", 0, options.seed});
		PrintFigure({"slots", name, "wait_at_0.6_load.one_queue", one_half.wait_ms, "ms", "", 0, options.seed});
		PrintFigure({"slots", name, "wait_at_0.6_load.static_shares", fixed_half.wait_ms, "ms", "", 0, options.seed});
		PrintFigure({"slots", name, "messages_at_0.6_load", half.messages, "1/s", "", 0, options.seed});
		failed += ours.peak > SLOTS ? 1 : 0;
	}
	return failed;
}
