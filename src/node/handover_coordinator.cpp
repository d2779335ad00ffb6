/** @file handover_coordinator.cpp Hands shards of this node over to other nodes while it is overloaded. */
#include "handover_coordinator.h"

#include <algorithm>
#include <utility>

namespace {

constexpr Millis SAMPLE_INTERVAL(200); ///< Interval at which the load is measured.
constexpr Millis TURN(50);             ///< Minimum duration of a turn while waiting for an answer.
constexpr int LOAD_TURNS = 4;          ///< Turns to wait for loads: 200 ms unless the event loop is late.
constexpr int OFFER_TURNS = 6;         ///< Turns to wait for the answer to an offer: 300 ms unless the loop is late.
/** Pause after a round. Asking more often costs time that the node lacks; after a release, all samples of the load are
 * new by then. */
constexpr Millis ROUND_PAUSE(1000);
constexpr size_t ASKED_MAX = 8;        ///< Nodes asked in a round.
constexpr size_t OFFERS_PER_ROUND = 2; ///< Offers in a round: the loads in the answers are soon outdated.

std::string Text(int64_t value)
{
	return std::to_string(value);
}

bool Owns(const std::vector<ShardLoad> &loads, const ShardLoad &shard)
{
	return std::ranges::any_of(
			loads, [&shard](const ShardLoad &it) { return it.service == shard.service && it.epoch == shard.epoch; });
}

} // namespace

HandoverCoordinator::HandoverCoordinator(Scheduler &scheduler, const LoadSource *source, HandoverPeers &peers,
										 HandoverShards &shards, EventLog &events, const GroupPeer &self)
		: scheduler(scheduler), source(source), peers(peers), shards(shards), events(events), self(self), planner(self)
{
}

void HandoverCoordinator::Start()
{
	if (this->source != nullptr) {
		this->ScheduleSample();
	}
}

void HandoverCoordinator::ScheduleSample()
{
	this->scheduler.After(SAMPLE_INTERVAL, [this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired() && !this->stopped) {
			this->Sample();
			this->ScheduleSample();
		}
	});
}

void HandoverCoordinator::Stop()
{
	this->stopped = true;
	if (this->phase != Phase::HP_RELEASING) {
		this->Enter(Phase::HP_NONE);
	}
}

void HandoverCoordinator::Sample()
{
	const std::optional<Millis> busy = this->source->BusyTime();
	if (!busy) {
		return;
	}
	const Millis now = this->scheduler.Now();
	const std::vector<ShardLoad> loads = this->shards.Loads();
	this->monitor.Add(now, *busy);
	this->planner.NoteShards(now, loads);
	this->CheckAwaited(now, loads);
	if (this->phase == Phase::HP_NONE && this->Overloaded() && now >= this->next_round_at &&
		!this->planner.Movable(now, loads).empty()) {
		this->StartRound();
	}
}

void HandoverCoordinator::CheckAwaited(Millis now, const std::vector<ShardLoad> &loads)
{
	if (!this->awaited) {
		return;
	}
	const HandoverOffer &offer = this->awaited->offer;
	if (std::ranges::find(loads, offer.service, &ShardLoad::service) != loads.end()) {
		this->counters.completed++;
		this->events.Write("handover_completed", {{"service", offer.service.Value()},
												  {"node", offer.owner},
												  {"took_ms", Text((now - this->awaited->since).Value())},
												  {"busy_percent", Text(this->BusyPercent())}});
		this->awaited.reset();
	} else if (now - this->awaited->since >= HANDOVER_EXPECTATION) {
		this->counters.lapsed++;
		this->events.Write("handover_lapsed", {{"service", offer.service.Value()},
											   {"node", offer.owner},
											   {"busy_percent", Text(this->BusyPercent())}});
		this->awaited.reset();
	}
}

std::vector<std::string> HandoverCoordinator::NodesToAsk() const
{
	std::vector<std::string> all = this->planner.Candidates(this->scheduler.Now(), this->holders);
	if (all.size() > ASKED_MAX) {
		const size_t first = this->counters.rounds * ASKED_MAX % all.size();
		std::ranges::rotate(all, all.begin() + static_cast<std::ptrdiff_t>(first));
		all.resize(ASKED_MAX);
	}
	return all;
}

void HandoverCoordinator::StartRound()
{
	const std::vector<std::string> nodes = this->NodesToAsk();
	if (nodes.empty()) {
		return;
	}
	this->Enter(Phase::HP_ASKING);
	this->counters.rounds++;
	this->offers_left = OFFERS_PER_ROUND;
	this->answers.clear();
	this->asked = std::set<std::string>(nodes.begin(), nodes.end());
	for (const std::string &address : nodes) {
		this->peers.AskLoad(address, [this, address, number = this->step,
									  still = std::weak_ptr<bool>(this->alive)](const NodeLoad &load) {
			if (IsCurrent(this, number, still)) {
				this->OnLoad(address, load);
			}
		});
	}
	this->AfterTurns(LOAD_TURNS, [this] { this->OnLoadsKnown(); });
}

void HandoverCoordinator::OnLoad(const std::string &address, const NodeLoad &load)
{
	if (this->asked.erase(address) == 0) {
		return;
	}
	this->planner.NoteAnswer(address);
	this->answers.push_back(PeerLoad{address, load});
	if (this->asked.empty()) {
		this->OnLoadsKnown();
	}
}

void HandoverCoordinator::OnLoadsKnown()
{
	const Millis now = this->scheduler.Now();
	std::ranges::for_each(this->asked, [this, now](const std::string &it) { this->planner.NoteUnavailable(now, it); });
	this->OfferNext();
}

void HandoverCoordinator::OfferNext()
{
	const std::optional<HandoverChoice> choice =
			this->planner.Choose(this->scheduler.Now(), this->BusyPercent(), this->shards.Loads(), this->answers);
	if (!choice) {
		this->counters.no_room++;
		this->events.Write("handover_no_room", {{"busy_percent", Text(this->BusyPercent())},
												{"answers", std::to_string(this->answers.size())},
												{"unanswered", std::to_string(this->asked.size())}});
		this->EndRound();
		return;
	}
	this->Enter(Phase::HP_OFFERING);
	this->offers_left--;
	this->counters.offered++;
	const HandoverOffer offer{choice->shard.service, choice->shard.epoch, this->self.address, this->BusyPercent()};
	this->events.Write("handover_offered", {{"service", offer.service.Value()},
											{"node", choice->successor.address},
											{"busy_percent", Text(offer.busy_percent)},
											{"node_busy_percent", Text(choice->successor.load.busy_percent)},
											{"starts_per_s", Text(choice->shard.starts_per_s)}});
	this->peers.Offer(
			choice->successor.address, offer,
			[this, choice = *choice, number = this->step, still = std::weak_ptr<bool>(this->alive)](bool accepted) {
				if (!IsCurrent(this, number, still)) {
					return;
				}
				if (accepted) {
					this->Release(choice);
				} else {
					this->OnOfferDeclined(choice, "declined");
				}
			});
	this->AfterTurns(OFFER_TURNS, [this, choice = *choice] { this->OnOfferDeclined(choice, "no_answer"); });
}

void HandoverCoordinator::OnOfferDeclined(const HandoverChoice &choice, const char *why)
{
	this->counters.declined++;
	this->events.Write("handover_declined", {{"service", choice.shard.service.Value()},
											 {"node", choice.successor.address},
											 {"by", choice.successor.address},
											 {"why", why},
											 {"busy_percent", Text(this->BusyPercent())}});
	this->planner.NoteUnavailable(this->scheduler.Now(), choice.successor.address);
	std::erase_if(this->answers, [&choice](const PeerLoad &it) { return it.address == choice.successor.address; });
	if (this->offers_left > 0 && this->Overloaded()) {
		this->OfferNext();
	} else {
		this->EndRound();
	}
}

void HandoverCoordinator::Release(const HandoverChoice &choice)
{
	if (!Owns(this->shards.Loads(), choice.shard)) {
		this->OnReleased(choice, false);
		return;
	}
	this->Enter(Phase::HP_RELEASING);
	this->shards.HandOver(choice.shard.service, choice.successor.address,
						  [this, choice, number = this->step, still = std::weak_ptr<bool>(this->alive)](bool released) {
							  if (IsCurrent(this, number, still)) {
								  this->OnReleased(choice, released);
							  }
						  });
}

void HandoverCoordinator::OnReleased(const HandoverChoice &choice, bool released)
{
	this->events.Write(released ? "handover_released" : "handover_cancelled",
					   {{"service", choice.shard.service.Value()},
						{"node", choice.successor.address},
						{"busy_percent", Text(this->BusyPercent())},
						{"node_busy_percent", Text(choice.successor.load.busy_percent)}});
	this->counters.released += released ? 1 : 0;
	/* The answer to a release may be lost: then the shard is gone although the release counts as cancelled. */
	if (released || !Owns(this->shards.Loads(), choice.shard)) {
		this->planner.NoteReleased(this->scheduler.Now(), choice.shard.service);
	}
	this->EndRound();
}

void HandoverCoordinator::Enter(Phase next)
{
	this->phase = next;
	this->step++;
	this->peers.EndRequests();
}

void HandoverCoordinator::EndRound()
{
	this->Enter(Phase::HP_NONE);
	this->next_round_at = this->scheduler.Now() + ROUND_PAUSE;
}

void HandoverCoordinator::AfterTurns(int turns, std::function<void()> done)
{
	this->scheduler.After(TURN, [this, turns, done = std::move(done), number = this->step,
								 still = std::weak_ptr<bool>(this->alive)]() mutable {
		if (!IsCurrent(this, number, still)) {
			return;
		}
		if (turns <= 1) {
			done();
			return;
		}
		/* A late event loop may run several timers before it reads sockets. A posted function runs before the sockets
		 * are read, so the next timer runs after that. */
		this->scheduler.Post([this, turns, done = std::move(done), number, still]() mutable {
			if (IsCurrent(this, number, still)) {
				this->AfterTurns(turns - 1, std::move(done));
			}
		});
	});
}

NodeLoad HandoverCoordinator::Load() const
{
	const Millis now = this->scheduler.Now();
	const size_t expected = this->planner.Expected(now) ? 1 : 0;
	const bool accepts = !this->stopped && this->phase == Phase::HP_NONE && this->monitor.Measured() &&
						 this->planner.Accepts(now, this->BusyPercent());
	return NodeLoad{this->self.cpu, this->BusyPercent(), this->shards.Loads().size() + expected, accepts};
}

bool HandoverCoordinator::Answer(const HandoverOffer &offer)
{
	const Millis now = this->scheduler.Now();
	if (!this->stopped && this->planner.Expects(now, offer.service, offer.epoch)) {
		return true; /* The answer to the first offer was lost. */
	}
	const bool has_room = this->Load().accepts_shard;
	const bool accepted = has_room && this->shards.Expect(offer.service);
	if (!accepted) {
		this->counters.refused++;
		this->events.Write("handover_declined", {{"service", offer.service.Value()},
												 {"node", offer.owner},
												 {"by", this->self.address},
												 {"why", has_room ? "not_ready" : "no_room"},
												 {"busy_percent", Text(this->BusyPercent())}});
		return false;
	}
	this->counters.accepted++;
	this->planner.NoteAccepted(now, offer.service, offer.epoch);
	this->awaited = AwaitedShard{offer, now};
	this->events.Write("handover_accepted", {{"service", offer.service.Value()},
											 {"node", offer.owner},
											 {"busy_percent", Text(this->BusyPercent())},
											 {"node_busy_percent", Text(offer.busy_percent)}});
	return true;
}
