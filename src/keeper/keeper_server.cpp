/** @file keeper_server.cpp The keeper process: reads the log, serves its zone, plans its region, answers operators. */
#include "keeper_server.h"

#include "../fleet/snapshot_func.h"
#include "../program/logging.h"
#include "keeper_dump.h"

#include <algorithm>

using namespace glade::wire;

namespace {

constexpr Millis CHECK_INTERVAL(1000);    ///< Interval between checks for unresponsive members and due snapshots.
constexpr Millis HEARTBEAT_INTERVAL(500); ///< Interval between heartbeats to other keepers.

KeeperIdentity IdentityOf(const Settings &settings, Millis wall_now)
{
	KeeperIdentity self;
	self.name = MemberName(settings.Text("name"));
	self.region = RegionName(settings.Text("region"));
	self.zone = ZoneName(settings.Text("zone"));
	self.address = settings.Text("frames");
	self.incarnation = Incarnation(static_cast<uint64_t>(wall_now.Value()));
	return self;
}

KeeperTimes TimesOf(const Settings &settings)
{
	KeeperTimes times;
	times.lease = settings.Duration("lease");
	times.fresh = settings.Duration("fresh");
	times.lapse = settings.Duration("lapse");
	times.plan_tick = settings.Duration("plan_tick");
	times.list_tick = settings.Duration("list_tick");
	times.planner_silence = settings.Duration("planner_silence");
	times.snapshot_age = settings.Duration("snapshot_age");
	times.snapshot_records = static_cast<uint64_t>(settings.Number("snapshot_records"));
	return times;
}

PlannerPolicy PolicyOf(const Settings &settings)
{
	PlannerPolicy policy = settings.Text("policy") == "lindeboom" ? LindeboomPolicy() : GreenhousePolicy();
	policy.cycle = settings.Duration("cycle");
	policy.lead = std::min(policy.lead, settings.Duration("lead"));
	policy.idle_lead = settings.Duration("lead");
	return policy;
}

} // namespace

KeeperServer::KeeperServer(const Settings &settings)
		: settings(settings), platform(settings.Address("platform")),
		  tail(this->scheduler, this->platform, [this](const std::vector<Decision> &it) { this->OnRecord(it); }),
		  writer(this->scheduler, this->platform, settings.Text("name"),
				 Incarnation(static_cast<uint64_t>(this->scheduler.WallNow().Value()))),
		  core{IdentityOf(settings, this->scheduler.WallNow()),
			   TimesOf(settings),
			   this->scheduler,
			   this->tail,
			   this->writer,
			   {},
			   Millis(-MS_PER_DAY),
			   {}},
		  entries(this->core), operators(this->core),
		  planner(this->core, this->entries, this->platform, PolicyOf(settings)), snapshots(this->core),
		  frames([this](FrameLink &link, const MessageUnion &message) { this->OnFrame(link, message); },
				 [this](FrameLink &link) {
					 if (const auto it = this->channels.find(&link); it != this->channels.end()) {
						 this->entries.OnDown(*it->second);
						 this->channels.erase(it);
					 }
				 }),
		  status(*this)
{
	for (const NetAddress &address : settings.Addresses("peers")) {
		auto client = std::make_unique<FrameClient>(this->scheduler, std::vector<NetAddress>{address});
		client->on_message = [this](const MessageUnion &message) { this->OnPeerFrame(message); };
		this->peers.push_back(std::move(client));
	}
}

KeeperServer::~KeeperServer() = default;

bool KeeperServer::Start()
{
	if (!this->frames.Listen(this->settings.Address("frames")) ||
		!this->status.Listen(this->settings.Address("status"))) {
		return false;
	}
	std::ranges::for_each(this->peers, [](const auto &it) { it->Start(); });
	this->tail.Start();
	this->FetchList();
	this->FetchJobEnds();
	this->PlanTick();
	this->CheckTick();
	this->HeartbeatTick();
	return true;
}

void KeeperServer::Stop(std::function<void()> done)
{
	/* Stopping takes up to 2 s, until the leave is decided. When the connections close, entries connect to another
	 * keeper; another keeper takes the planning term. */
	MemberLeaveT leave;
	leave.member = this->core.self.name.Value();
	leave.incarnation = this->core.self.incarnation.Value();
	leave.witness = leave.member;
	const auto once = std::make_shared<std::function<void()>>(std::move(done));
	const auto end = [once] {
		if (*once) {
			std::exchange(*once, {})();
		}
	};
	this->writer.Submit(MakeProposal(std::move(leave)), WritePriority::WP_CONFIG, [end](const Decision &) { end(); });
	this->scheduler.After(Millis(2000), end);
}

bool KeeperServer::SelfIsMember() const
{
	const auto it = this->core.State().members.find(this->core.self.name);
	return it != this->core.State().members.end() && it->second.incarnation == this->core.self.incarnation;
}

void KeeperServer::OnRecord(const std::vector<Decision> &decisions)
{
	this->operators.OnDecisions(decisions);
	this->planner.OnDecisions(decisions);
	this->writer.SetRuleVersion(this->core.State().rule_version);
	this->writer.OnDecisions(decisions);
	this->entries.Refresh();
}

void KeeperServer::JoinSelf()
{
	if (this->join_pending || !this->tail.CaughtUp() || this->SelfIsMember()) {
		return;
	}
	this->join_pending = true;
	this->writer.Submit(MakeJoinProposal(this->core.self), WritePriority::WP_CONFIG,
						[this](const Decision &) { this->join_pending = false; });
}

void KeeperServer::OnFrame(FrameLink &link, const MessageUnion &message)
{
	const auto reply = this->frames.ReplyTo(link);
	if (const auto *hello = message.AsEntryHello(); hello != nullptr) {
		auto &channel = this->channels[&link];
		if (!channel) {
			channel = std::make_unique<Channel>(link);
		}
		this->entries.OnHello(*channel, *hello);
	} else if (const auto *beat = message.AsKeeperBeat(); beat != nullptr) {
		this->entries.OnKeeperBeat(*beat);
	} else if (const auto *publish = message.AsPublishRequest(); publish != nullptr) {
		this->operators.OnPublish(*publish, reply);
	} else if (const auto *change = message.AsChangeRequest(); change != nullptr) {
		this->operators.OnChange(*change, reply);
	} else if (const auto *ask = message.AsAskOutcome(); ask != nullptr) {
		this->operators.OnAskOutcome(*ask, reply);
	} else if (message.type == Message::TableRequest) {
		this->operators.OnTableRequest(reply);
	} else if (const auto *state = message.AsStateRequest(); state != nullptr) {
		this->SendState(link, state->above_offset);
	} else if (const auto *dump = message.AsDumpRequest(); dump != nullptr) {
		DumpReplyT answer;
		answer.json = DumpTopic(this->core, this->operators, dump->topic, dump->name);
		reply(MakeMessage(std::move(answer)));
	}
}

void KeeperServer::SendState(FrameLink &link, uint64_t above) const
{
	if (this->core.State().offset.Value() <= above) {
		return;
	}
	const std::string bytes = PackSnapshot(this->core.State());
	StateReplyT state;
	state.snapshot.assign(bytes.begin(), bytes.end());
	state.hash = this->core.State().Hash();
	link.Send(MakeMessage(std::move(state)));
}

void KeeperServer::OnPeerFrame(const MessageUnion &message)
{
	const auto *state = message.AsStateReply();
	if (state == nullptr) {
		return;
	}
	std::optional<FleetState> fleet =
			UnpackSnapshot(std::string(state->snapshot.begin(), state->snapshot.end()), state->hash);
	if (!fleet) {
		LogEvent(LogLevel::LL_ERROR, "peer_state_damaged", {{"code", "4103"}});
		return;
	}
	const std::string offset = std::to_string(fleet->offset.Value());
	if (this->tail.Adopt(std::move(*fleet))) {
		LogEvent(LogLevel::LL_INFO, "state_from_peer", {{"offset", offset}});
	}
}

void KeeperServer::RequestStateFromPeers()
{
	/* Needed only while the log doesn't answer, or no longer keeps the next record and has no snapshot to go on from.
	 */
	const bool silent = this->tail.LastAnswer() + this->core.times.fresh < this->scheduler.Now();
	if (!silent && this->tail.Phase() != TailPhase::TP_JOINING) {
		return;
	}
	StateRequestT ask;
	ask.above_offset = this->core.State().offset.Value();
	const MessageUnion message = MakeMessage(ask);
	std::ranges::for_each(this->peers, [&](const auto &it) { it->Send(message); });
}

void KeeperServer::FetchList()
{
	this->platform.Fetch([this](ResultCode code, std::vector<ListedBox> list) {
		if (code == ResultCode::RC_OK) {
			const bool changed = list != this->core.list;
			this->core.list = std::move(list);
			this->core.list_fetched_at = this->scheduler.Now();
			if (changed) {
				this->entries.Refresh();
			}
		}
		this->scheduler.After(this->core.times.list_tick, [this] { this->FetchList(); });
	});
}

void KeeperServer::FetchJobEnds()
{
	const auto schedule_next = [this] {
		this->scheduler.After(this->core.times.plan_tick, [this] { this->FetchJobEnds(); });
	};
	if (!this->planner.HoldsTerm()) {
		schedule_next();
		return;
	}
	this->platform.FetchJobEnds([this, schedule_next](ResultCode code, const std::vector<JobEnd> &ends) {
		if (code == ResultCode::RC_OK) {
			this->planner.OnJobEnds(ends);
		}
		schedule_next();
	});
}

void KeeperServer::PlanTick()
{
	this->JoinSelf();
	if (this->SelfIsMember()) {
		this->planner.Tick();
	}
	if (this->planner.HoldsTerm() != this->was_planning) {
		this->was_planning = !this->was_planning;
		LogEvent(LogLevel::LL_INFO, !this->was_planning ? "term_lost" : "term_taken",
				 {{"region", this->core.self.region.Value()}});
	}
	this->scheduler.After(this->core.times.plan_tick, [this] { this->PlanTick(); });
}

void KeeperServer::CheckTick()
{
	if (this->tail.CaughtUp() && this->SelfIsMember()) {
		this->entries.ReportSilentMembers();
		this->snapshots.Tick(this->planner.HoldsTerm());
	}
	this->RequestStateFromPeers();
	this->scheduler.After(CHECK_INTERVAL, [this] { this->CheckTick(); });
}

void KeeperServer::HeartbeatTick()
{
	KeeperBeatT beat;
	beat.member = this->core.self.name.Value();
	beat.offset = this->core.State().offset.Value();
	beat.hash = this->core.State().Hash();
	beat.heard = this->entries.RecentlyHeardEntries();
	const Millis age = this->scheduler.Now() - this->tail.LastAnswer();
	beat.log_age_ms = static_cast<uint32_t>(std::min(age, Millis(MS_PER_DAY)).Value());
	const MessageUnion message = MakeMessage(std::move(beat));
	std::ranges::for_each(this->peers, [&](const auto &it) { it->Send(message); });
	this->scheduler.After(HEARTBEAT_INTERVAL, [this] { this->HeartbeatTick(); });
}

QJsonObject KeeperServer::Dump() const
{
	KeeperCounters counters = this->core.counters;
	counters.frame_bytes = this->frames.Bytes();
	for (const auto &peer : this->peers) {
		counters.frame_bytes += peer->Bytes();
	}
	QJsonObject dump = DumpKeeper(this->core, counters, this->entries.ConnectedEntries(), this->planner.HoldsTerm());
	dump["platform_bytes"] = static_cast<qint64>(this->platform.Bytes());
	dump["lease_fresh"] = this->entries.MayGrantLeases();
	return dump;
}
