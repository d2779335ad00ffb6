/** @file test_request_matrix.cpp Every behavior of endpoints and every disruption of callers and entries at every step
 * of a request. */
#include "golden.h"

#include "standin/memory/request_world.h"

#include <doctest/doctest.h>

namespace {

/** What disrupts a request at a step, apart from the behavior of endpoints. */
enum class Disruption : uint8_t {
	DR_NONE,              ///< No disruption.
	DR_CALLER_LEAVES,     ///< The caller closes its connection.
	DR_ENTRY_KILLED,      ///< The entry is killed.
	DR_ENTRY_STOPS,       ///< The entry begins a planned stop.
	DR_ENTRY_REPLACED,    ///< The entry is killed, and one without its state takes its place.
	DR_BOX_DRAINS,        ///< All boxes but one are drained.
	DR_PEERS_CUT,         ///< The entry is cut off from its peers.
	DR_LEASE_LAPSES,      ///< The entry's lease is no longer renewed.
	DR_RETRY_OTHER_ENTRY, ///< The caller sends the same key to the other entry as well.
	DR_COUNT,             ///< Number of disruptions.
};

constexpr const char *_disruption_names[] = {"none",        "caller_leaves",  "entry_killed",
											 "entry_stops", "entry_replaced", "box_drains",
											 "peers_cut",   "lease_lapses",   "retry_there"};

/** Step of the request at which it is disrupted. */
struct StepAt {
	const char *name; ///< Name in test output.
	Millis at;        ///< Time since the request was sent.
};

constexpr StepAt _steps[] = {
		{"received", Millis(0)}, {"connecting", Millis(1)}, {"running", Millis(4)}, {"answered", Millis(40)}};

/** A kind of request. */
struct RequestKind {
	const char *name;   ///< Name in test output.
	const char *method; ///< HTTP method.
	bool keyed;         ///< Whether it carries an idempotency key.
	size_t owner;       ///< Index of the entry that owns the key.
};

constexpr RequestKind _kinds[] = {{"get", "GET", false, 0},
								  {"post", "POST", false, 0},
								  {"keyed_here", "POST", true, 0},
								  {"keyed_there", "POST", true, 1}};

/** One combination of the matrix. */
class MatrixCell {
public:
	MatrixCell(EndpointBehavior behavior, Disruption disruption, const StepAt &step, const RequestKind &kind)
			: behavior(behavior), disruption(disruption), step(step), kind(kind)
	{
	}

	void Run()
	{
		for (auto &[address, endpoint] : this->world.endpoints) {
			endpoint.behavior = this->behavior;
		}
		this->key = this->kind.keyed ? this->NewOwnedKey() : "";
		this->first = &this->world.Submit(*this->world.entries[0], this->kind.method, "first", this->key);
		this->world.Run(this->step.at);
		this->Disrupt();
		this->world.Run(Millis(10000));
		/* The caller retries through each live entry. */
		for (size_t i = 0; i < this->world.entries.size(); i++) {
			if (this->kind.keyed && *this->world.entries[i]->scheduler.alive) {
				this->retries.push_back(
						&this->world.Submit(*this->world.entries[i], "POST", "again" + std::to_string(i), this->key));
				this->world.Run(Millis(10000));
			}
		}
		this->Check();
	}

	/** @return Events of the run, one on a line. */
	[[nodiscard]] const std::string &Timeline() const { return this->world.timeline; }

private:
	EndpointBehavior behavior;          ///< Behavior of the endpoints.
	Disruption disruption;              ///< Disruption of the request.
	StepAt step;                        ///< Step at which it is disrupted.
	RequestKind kind;                   ///< Kind of request.
	RequestWorld world;                 ///< The simulation.
	std::string key;                    ///< Idempotency key; empty if none.
	CallerProbe *first = nullptr;       ///< The first submission.
	std::vector<CallerProbe *> retries; ///< Later submissions with the same key.

	/** @return A new key that is owned by the entry with the index RequestKind::owner. */
	std::string NewOwnedKey()
	{
		const EntryNode &owner = *this->world.entries[this->kind.owner];
		for (int i = 0;; i++) {
			std::string candidate = this->world.NewKey(std::to_string(i));
			const KeyId id{AccountName("oyo"), ServiceName("misting"), candidate};
			const KeyOwner found =
					owner.path.routes.OwnerOf(id, *KeyIssueTime(candidate), Millis(0), this->world.clock.Now());
			if (found.name.Value() == owner.name) {
				return candidate;
			}
		}
	}

	void Disrupt()
	{
		EntryNode &entry = *this->world.entries[0];
		switch (this->disruption) {
		case Disruption::DR_CALLER_LEAVES:
			if (!this->first->ended && !this->first->broken) {
				this->first->gone = true;
				this->first->exchange->OnCallerDisconnected();
			}
			break;
		case Disruption::DR_ENTRY_KILLED:
			this->world.Kill(entry);
			break;
		case Disruption::DR_ENTRY_STOPS:
			entry.path.stopping = true;
			break;
		case Disruption::DR_ENTRY_REPLACED:
			this->world.Kill(entry);
			this->world.AddEntry(entry.name, "zone-a");
			break;
		case Disruption::DR_BOX_DRAINS:
			this->Drain();
			break;
		case Disruption::DR_PEERS_CUT:
			entry.cut_from_peers = true;
			break;
		case Disruption::DR_LEASE_LAPSES:
			entry.renew = false;
			break;
		case Disruption::DR_RETRY_OTHER_ENTRY:
			if (this->kind.keyed) {
				this->retries.push_back(&this->world.Submit(*this->world.entries[1], "POST", "there", this->key));
			}
			break;
		case Disruption::DR_NONE:
		case Disruption::DR_COUNT:
			break;
		}
	}

	void Drain()
	{
		for (auto &[name, box] : this->world.fleet.boxes) {
			if (name != BoxName("box-1")) {
				box.state = BoxState::BS_DRAINING;
			}
		}
		this->world.PublishViews();
	}

	/** Checks that an answer belongs to its request and is complete, or is visibly broken, and that a request reported
	 * as not run did not run. */
	void CheckAnswer(const CallerProbe &probe) const
	{
		if (probe.SaysNotRun()) {
			CHECK(this->world.RunsOf(probe.name) == 0);
		}
		if (probe.ended && probe.head.status == 200) {
			CHECK(probe.body == (this->key.empty() ? "body of " + probe.name : "body of " + this->key));
		}
		if (!probe.ended && !probe.gone) {
			const bool stalls = this->behavior == EndpointBehavior::EB_HALF_STALL;
			CHECK((probe.broken || (stalls && probe.begun)));
		}
	}

	void Check() const
	{
		this->CheckAnswer(*this->first);
		int runs = this->world.RunsOf("first");
		for (const CallerProbe *probe : this->retries) {
			this->CheckAnswer(*probe);
			runs += this->world.RunsOf(probe->name);
		}
		if (this->kind.method == std::string("POST")) {
			CHECK(runs <= 1);
		}
		for (const auto &[address, endpoint] : this->world.endpoints) {
			CHECK(endpoint.peak <= endpoint.slots);
		}
		const bool healthy = this->behavior == EndpointBehavior::EB_ANSWER;
		if (healthy && (this->disruption == Disruption::DR_ENTRY_STOPS ||
						this->disruption == Disruption::DR_BOX_DRAINS || this->disruption == Disruption::DR_NONE)) {
			CHECK(this->first->ended);
			CHECK(this->first->head.status == 200); /* Planned operations do not interrupt requests in flight. */
		}
		if (healthy && this->disruption == Disruption::DR_NONE && this->kind.keyed) {
			for (const CallerProbe *probe : this->retries) {
				CHECK(probe->head.status == 200); /* The stored answer is replayed. */
			}
		}
	}
};

} // namespace

TEST_CASE("request matrix: endpoint behaviors x disruptions x steps x kinds")
{
	int cells = 0;
	for (int behavior = 0; behavior < static_cast<int>(EndpointBehavior::EB_COUNT); behavior++) {
		for (int disruption = 0; disruption < static_cast<int>(Disruption::DR_COUNT); disruption++) {
			for (const StepAt &step : _steps) {
				for (const RequestKind &kind : _kinds) {
					const std::string name = std::string(NameOf(static_cast<EndpointBehavior>(behavior))) + " x " +
											 _disruption_names[disruption] + " x " + step.name + " x " + kind.name;
					CAPTURE(name);
					MatrixCell(static_cast<EndpointBehavior>(behavior), static_cast<Disruption>(disruption), step, kind)
							.Run();
					cells++;
				}
			}
		}
	}
	MESSAGE("cells: ", cells);
}

TEST_CASE("golden: whole sessions of callers, entries and endpoints")
{
	struct Session {
		const char *name;
		EndpointBehavior behavior;
		Disruption disruption;
		size_t step;
		size_t kind;
	};
	static constexpr Session _sessions[] = {
			{"answered", EndpointBehavior::EB_ANSWER, Disruption::DR_NONE, 0, 2},
			{"read_and_closed", EndpointBehavior::EB_READ_CLOSE, Disruption::DR_NONE, 0, 1},
			{"refused_then_tried_elsewhere", EndpointBehavior::EB_REFUSE, Disruption::DR_NONE, 0, 1},
			{"half_answer", EndpointBehavior::EB_HALF_CLOSE, Disruption::DR_NONE, 0, 0},
			{"late_answer", EndpointBehavior::EB_LATE, Disruption::DR_NONE, 0, 2},
			{"entry_killed_while_running", EndpointBehavior::EB_ANSWER, Disruption::DR_ENTRY_KILLED, 2, 3},
			{"entry_replaced_while_running", EndpointBehavior::EB_ANSWER, Disruption::DR_ENTRY_REPLACED, 2, 2},
			{"planned_stop_while_running", EndpointBehavior::EB_ANSWER, Disruption::DR_ENTRY_STOPS, 2, 1},
			{"retried_elsewhere_while_running", EndpointBehavior::EB_ANSWER, Disruption::DR_RETRY_OTHER_ENTRY, 2, 3},
			{"caller_leaves_while_running", EndpointBehavior::EB_ANSWER, Disruption::DR_CALLER_LEAVES, 2, 2},
	};
	for (const Session &it : _sessions) {
		CAPTURE(it.name);
		MatrixCell cell(it.behavior, it.disruption, _steps[it.step], _kinds[it.kind]);
		cell.Run();
		CHECK_GOLDEN(it.name, cell.Timeline());
	}
}
