/** @file test_request_matrix.cpp Every fault of endpoints, callers and entries at every step of a request. */
#include "golden.h"

#include "standin/memory/request_world.h"

#include <doctest/doctest.h>

namespace {

/** What happens to the caller or the entry while the request is at a step. */
enum class Mishap : uint8_t {
	MH_NONE,           ///< Nothing.
	MH_CALLER_LEAVES,  ///< The caller closes.
	MH_ENTRY_KILLED,   ///< The entry is killed.
	MH_ENTRY_STOPS,    ///< The entry begins a planned stop.
	MH_ENTRY_REPLACED, ///< The entry is killed and one without memory takes its place.
	MH_BOX_DRAINS,     ///< All boxes but one are drained.
	MH_PEERS_CUT,      ///< The entries are cut from each other.
	MH_LEASE_LAPSES,   ///< The entry hears nothing from its keeper any more.
	MH_RETRY_THERE,    ///< The caller sends the same again to the other entry.
	MH_COUNT,          ///< Number of mishaps.
};

constexpr const char *_mishap_names[] = {"none",       "caller_leaves", "entry_killed", "entry_stops", "entry_replaced",
										 "box_drains", "peers_cut",     "lease_lapses", "retry_there"};

/** Step of the request at which the mishap comes, by the time since it was sent. */
struct StepAt {
	const char *name; ///< Word.
	Millis at;        ///< Time.
};

constexpr StepAt _steps[] = {
		{"received", Millis(0)}, {"connecting", Millis(1)}, {"running", Millis(4)}, {"answered", Millis(40)}};

/** Kinds of requests. */
struct Kind {
	const char *name;   ///< Word.
	const char *method; ///< Method.
	bool keyed;         ///< Whether it carries a key.
	size_t owner;       ///< Which entry owns the key.
};

constexpr Kind _kinds[] = {{"get", "GET", false, 0},
						   {"post", "POST", false, 0},
						   {"keyed_here", "POST", true, 0},
						   {"keyed_there", "POST", true, 1}};

/** One cell of the matrix. */
class MatrixCell {
public:
	MatrixCell(EndpointBehavior behavior, Mishap mishap, const StepAt &step, const Kind &kind)
			: behavior(behavior), mishap(mishap), step(step), kind(kind)
	{
	}

	void Run()
	{
		for (auto &[address, endpoint] : this->world.endpoints) {
			endpoint.behavior = this->behavior;
		}
		this->key = this->kind.keyed ? this->OwnedKey() : "";
		this->first = &this->world.Submit(*this->world.entries[0], this->kind.method, "first", this->key);
		this->world.Run(this->step.at);
		this->Strike();
		this->world.Run(Millis(10000));
		/* Whatever happened, the caller tries again through each entry that lives. */
		for (size_t i = 0; i < this->world.entries.size(); i++) {
			if (this->kind.keyed && *this->world.entries[i]->scheduler.alive) {
				this->again.push_back(
						&this->world.Submit(*this->world.entries[i], "POST", "again" + std::to_string(i), this->key));
				this->world.Run(Millis(10000));
			}
		}
		this->Check();
	}

	/** @return What happened, a line each. */
	[[nodiscard]] const std::string &Timeline() const { return this->world.timeline; }

private:
	EndpointBehavior behavior;        ///< What endpoints do.
	Mishap mishap;                    ///< What else happens.
	StepAt step;                      ///< When.
	Kind kind;                        ///< Kind of request.
	RequestWorld world;               ///< The world.
	std::string key;                  ///< Key, if any.
	CallerProbe *first = nullptr;     ///< The first submission.
	std::vector<CallerProbe *> again; ///< Later ones with the same key.

	/** A fresh key that the wanted entry owns. */
	std::string OwnedKey()
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

	void Strike()
	{
		EntryNode &entry = *this->world.entries[0];
		switch (this->mishap) {
		case Mishap::MH_CALLER_LEAVES:
			if (!this->first->ended && !this->first->broken) {
				this->first->gone = true;
				this->first->exchange->OnCallerDisconnected();
			}
			break;
		case Mishap::MH_ENTRY_KILLED:
			this->world.Kill(entry);
			break;
		case Mishap::MH_ENTRY_STOPS:
			entry.path.stopping = true;
			break;
		case Mishap::MH_ENTRY_REPLACED:
			this->world.Kill(entry);
			this->world.AddEntry(entry.name, "zone-a");
			break;
		case Mishap::MH_BOX_DRAINS:
			this->Drain();
			break;
		case Mishap::MH_PEERS_CUT:
			entry.cut_from_peers = true;
			break;
		case Mishap::MH_LEASE_LAPSES:
			entry.renew = false;
			break;
		case Mishap::MH_RETRY_THERE:
			if (this->kind.keyed) {
				this->again.push_back(&this->world.Submit(*this->world.entries[1], "POST", "there", this->key));
			}
			break;
		case Mishap::MH_NONE:
		case Mishap::MH_COUNT:
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

	/** Every answer is the submission's own, whole, or visibly broken; "not run" is true. */
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
		for (const CallerProbe *probe : this->again) {
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
		if (healthy && (this->mishap == Mishap::MH_ENTRY_STOPS || this->mishap == Mishap::MH_BOX_DRAINS ||
						this->mishap == Mishap::MH_NONE)) {
			CHECK(this->first->ended);
			CHECK(this->first->head.status == 200); /* Nothing planned cuts a request in flight. */
		}
		if (healthy && this->mishap == Mishap::MH_NONE && this->kind.keyed) {
			for (const CallerProbe *probe : this->again) {
				CHECK(probe->head.status == 200); /* The remembered answer. */
			}
		}
	}
};

} // namespace

TEST_CASE("request matrix: endpoint deeds x mishaps x steps x kinds")
{
	int cells = 0;
	for (int behavior = 0; behavior < static_cast<int>(EndpointBehavior::EB_COUNT); behavior++) {
		for (int mishap = 0; mishap < static_cast<int>(Mishap::MH_COUNT); mishap++) {
			for (const StepAt &step : _steps) {
				for (const Kind &kind : _kinds) {
					const std::string name = std::string(NameOf(static_cast<EndpointBehavior>(behavior))) + " x " +
											 _mishap_names[mishap] + " x " + step.name + " x " + kind.name;
					CAPTURE(name);
					MatrixCell(static_cast<EndpointBehavior>(behavior), static_cast<Mishap>(mishap), step, kind).Run();
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
		Mishap mishap;
		size_t step;
		size_t kind;
	};
	static constexpr Session _sessions[] = {
			{"answered", EndpointBehavior::EB_ANSWER, Mishap::MH_NONE, 0, 2},
			{"read_and_closed", EndpointBehavior::EB_READ_CLOSE, Mishap::MH_NONE, 0, 1},
			{"refused_then_tried_elsewhere", EndpointBehavior::EB_REFUSE, Mishap::MH_NONE, 0, 1},
			{"half_answer", EndpointBehavior::EB_HALF_CLOSE, Mishap::MH_NONE, 0, 0},
			{"late_answer", EndpointBehavior::EB_LATE, Mishap::MH_NONE, 0, 2},
			{"entry_killed_while_running", EndpointBehavior::EB_ANSWER, Mishap::MH_ENTRY_KILLED, 2, 3},
			{"entry_replaced_while_running", EndpointBehavior::EB_ANSWER, Mishap::MH_ENTRY_REPLACED, 2, 2},
			{"planned_stop_while_running", EndpointBehavior::EB_ANSWER, Mishap::MH_ENTRY_STOPS, 2, 1},
			{"retried_elsewhere_while_running", EndpointBehavior::EB_ANSWER, Mishap::MH_RETRY_THERE, 2, 3},
			{"caller_leaves_while_running", EndpointBehavior::EB_ANSWER, Mishap::MH_CALLER_LEAVES, 2, 2},
	};
	for (const Session &it : _sessions) {
		CAPTURE(it.name);
		MatrixCell cell(it.behavior, it.mishap, _steps[it.step], _kinds[it.kind]);
		cell.Run();
		CHECK_GOLDEN(it.name, cell.Timeline());
	}
}
