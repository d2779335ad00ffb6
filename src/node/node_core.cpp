/** @file node_core.cpp A node without its HTTP transport to callers. */
#include "node_core.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace {

/** Time without contact to the store after which a node is no longer ready for new callers. Two polls of a second each
 * may fail. */
constexpr Millis STORE_CONTACT_TIMEOUT(2600);
/** Interval at which the owner of the fleet is checked while the group does not assign the fleet to this node. */
constexpr Millis FLEET_CHECK_INTERVAL(5000);
/** Interval at which the members of the group are read; they can be asked for the configuration. */
constexpr Millis PEERS_READ_INTERVAL(5000);
constexpr Millis POOL_ANSWER_TIMEOUT(600); ///< Timeout of the fleet owner's request to the owner of a pool.
constexpr int64_t NO_END_KNOWN = -1;       ///< PoolBox.ends_in_ms when the expected end is unknown.

template <class Id>
std::set<Id> IdSetOf(const std::vector<std::string> &names)
{
	std::set<Id> out;
	std::ranges::for_each(names, [&out](const std::string &it) { out.insert(Id(it)); });
	return out;
}

template <class Id>
std::vector<std::string> IdStringsOf(const std::set<Id> &ids)
{
	std::vector<std::string> out;
	std::ranges::transform(ids, std::back_inserter(out), [](const Id &it) { return it.Value(); });
	return out;
}

std::set<BoxIncarnation> IncarnationsFromWire(const glade::wire::PoolQuestionT &in)
{
	std::set<BoxIncarnation> out;
	for (size_t n = 0; n < std::min(in.ended.size(), in.ended_started.size()); n++) {
		out.insert(BoxIncarnation{BoxId(in.ended[n]), Millis(in.ended_started[n])});
	}
	return out;
}

std::unique_ptr<glade::wire::LoanT> LoanToWire(const ShareLoan &loan)
{
	auto out = std::make_unique<glade::wire::LoanT>();
	out->ledger_epoch = loan.ledger_epoch;
	out->sequence = loan.sequence;
	out->config = loan.config;
	for (const ShareGrant &it : loan.grants) {
		out->accounts.push_back(it.account.Value());
		out->parts.push_back(it.parts);
		out->over.push_back(it.over ? 1 : 0);
	}
	return out;
}

/**
 * Decodes a loan.
 * @param in The loan on the wire, or null.
 * @return The loan; if there is none, one of epoch 0, which no owner accepts.
 */
ShareLoan LoanFromWire(const glade::wire::LoanT *in)
{
	ShareLoan out;
	if (in == nullptr) {
		return out;
	}
	out.ledger_epoch = in->ledger_epoch;
	out.sequence = in->sequence;
	out.config = in->config;
	const size_t count = std::min({in->accounts.size(), in->parts.size(), in->over.size()});
	for (size_t n = 0; n < count; n++) {
		out.grants.push_back(ShareGrant{AccountName(in->accounts[n]), in->parts[n], in->over[n] != 0});
	}
	return out;
}

std::unique_ptr<glade::wire::LoanReportT> ReportToWire(const ShareReport &report)
{
	auto out = std::make_unique<glade::wire::LoanReportT>();
	out->owner_epoch = report.owner_epoch;
	out->ledger_epoch = report.ledger_epoch;
	out->sequence = report.sequence;
	out->config = report.config;
	for (const ShareStatement &it : report.statements) {
		out->accounts.push_back(it.account.Value());
		out->holds.push_back(it.hold);
		out->wants.push_back(it.want);
	}
	return out;
}

/**
 * Decodes a report on a loan.
 * @param in The report on the wire, or null.
 * @return The report; if there is none, one of epoch 0, which has no effect.
 */
ShareReport ReportFromWire(const glade::wire::LoanReportT *in)
{
	ShareReport out;
	if (in == nullptr) {
		return out;
	}
	out.owner_epoch = in->owner_epoch;
	out.ledger_epoch = in->ledger_epoch;
	out.sequence = in->sequence;
	out.config = in->config;
	const size_t count = std::min({in->accounts.size(), in->holds.size(), in->wants.size()});
	for (size_t n = 0; n < count; n++) {
		out.statements.push_back(ShareStatement{AccountName(in->accounts[n]), in->holds[n], in->wants[n]});
	}
	return out;
}

PoolStatus StatusFromWire(const glade::wire::PoolAnswerT &in)
{
	PoolStatus out;
	out.waiting_cpu = in.waiting_cpu;
	out.late_cpu = in.late_cpu;
	out.shares = ReportFromWire(in.shares.get());
	std::ranges::transform(in.boxes, std::back_inserter(out.boxes), [](const auto &it) {
		return PoolBox{BoxName(it->box), BoxIncarnation{BoxId(it->life), Millis(it->started)},
					   it->tasks,        it->used_cpu,
					   it->cpu,          it->placing,
					   it->late_cpu,     it->ends_in_ms < 0 ? std::nullopt : std::optional(Millis(it->ends_in_ms))};
	});
	return out;
}

} // namespace

NodeCore::NodeCore(Scheduler &scheduler, const NodeInterfaces &interfaces, const NodeSpec &self)
		: scheduler(scheduler), interfaces(interfaces), self(self),
		  member(scheduler, interfaces.log, interfaces.events,
				 GroupSpec{NODE_GROUP, GroupPeer{self.frame_address, self.cpu}, NODE_TOPIC, self.group_timeout,
						   self.partitions}),
		  shards(ShardOwnerContext{scheduler, interfaces.log, interfaces.orders, interfaces.events, self.frame_address,
								   self.limits, interfaces.advisor, NODE_GROUP, nullptr, &this->shard_peers,
								   interfaces.memory},
				 this->member, interfaces.feed, self.partitions),
		  lookup(scheduler, interfaces.log, interfaces.events),
		  api(scheduler, interfaces.log, this->shards, this->lookup, interfaces.events),
		  shard_peers(this->shards, this->lookup, this->api), config_peers(scheduler),
		  config_exchange(scheduler, interfaces.feed, this->config_peers, interfaces.events, self.frame_address),
		  handover_peers(scheduler), handover(scheduler, interfaces.load, this->handover_peers, this->shards,
											  interfaces.events, GroupPeer{self.frame_address, self.cpu}),
		  frame_server([this](FrameLink &link, const MessageUnion &message) { this->OnFrame(link, message); },
					   [this](FrameLink &link) { this->known_links.erase(link.Id()); }, self.frame_limits)
{
	this->shards.overloaded = [this] { return this->handover.Overloaded(); };
	this->member.on_answer = [this] { this->OnMembership(); };
	this->member.on_holders = [this](const std::vector<PartitionHolder> &rows) { this->AddPeers(rows); };
}

bool NodeCore::Start()
{
	const std::optional<NetAddress> address = ParseAddress(this->self.frame_address);
	if (!address || !this->frame_server.Listen(*address)) {
		return false;
	}
	std::ranges::for_each(this->self.seeds, [this](const std::string &it) { this->config_exchange.AddPeer(it); });
	this->config_exchange.Start();
	this->interfaces.feed.Start(*this);
	this->member.Start();
	this->handover.Start();
	return true;
}

void NodeCore::Leave(std::function<void()> done)
{
	this->leaving = true;
	this->handover.Stop();
	this->ReleaseFleet();
	this->shards.Clear();
	this->member.Leave(std::move(done));
}

bool NodeCore::Ready() const
{
	const bool store_reached = this->scheduler.Now() - this->interfaces.feed.CurrentAsOf() <= STORE_CONTACT_TIMEOUT;
	return !this->leaving && this->api.Config().version > 0 && store_reached;
}

bool NodeCore::FleetAssigned() const
{
	/* The last partition represents the fleet. PartitionOf() gives it to no service while there are more partitions
	 * than services. */
	return this->member.Holds(this->self.partitions - 1);
}

bool NodeCore::FleetMonitored() const
{
	/* Looks at the partitions before the last one, unlike for services: the partition after the last one is number 0,
	 * which represents a service. */
	return this->member.Monitors(this->self.partitions - 1, -1);
}

void NodeCore::ReadPeers()
{
	const Millis now = this->scheduler.Now();
	if (now - this->peers_read_at < PEERS_READ_INTERVAL) {
		return;
	}
	this->peers_read_at = now;
	this->interfaces.log.Holders(NODE_GROUP, [this, still = std::weak_ptr<bool>(this->alive)](
													 ResultCode, const std::vector<PartitionHolder> &rows) {
		if (!still.expired()) {
			this->AddPeers(rows);
		}
	});
}

void NodeCore::AddPeers(const std::vector<PartitionHolder> &rows)
{
	this->peers_read_at = this->scheduler.Now();
	std::vector<GroupPeer> holders;
	std::ranges::transform(rows, std::back_inserter(holders),
						   [](const PartitionHolder &it) { return ParseMemberName(it.member); });
	std::ranges::for_each(holders, [this](const GroupPeer &it) { this->config_exchange.AddPeer(it.address); });
	if (!holders.empty()) {
		this->handover.SetPeers(std::move(holders)); /* A failed read has no rows. */
	}
}

void NodeCore::OnMembership()
{
	this->ReadPeers();
	this->shards.OnMembership();
	if (this->api.Config().version == 0 || this->leaving) {
		return;
	}
	const bool assigned = this->FleetAssigned();
	const bool wanted = assigned || this->FleetMonitored();
	if (!this->fleet) {
		/* The owner is also checked periodically while the fleet is not assigned to this node: the recorded owner may
		 * be an earlier process of this node. */
		const Millis now = this->scheduler.Now();
		const bool check_due = this->member.HeldRecently() && now - this->fleet_checked_at >= FLEET_CHECK_INTERVAL;
		if (wanted || check_due) {
			this->fleet_checked_at = now;
			this->StartFleetOwner();
		}
	} else if (!wanted && this->fleet->Waiting()) {
		this->fleet.reset();
	} else if (!assigned && this->member.IsStandby()) {
		this->ReleaseFleet();
	}
}

void NodeCore::ReleaseFleet()
{
	if (!this->fleet) {
		return;
	}
	FleetOwner *owner = this->fleet.get();
	this->releasing.push_back(std::move(this->fleet));
	owner->Release([this, owner] {
		/* Deferred, since the owner must not be destroyed during its own callback. */
		this->scheduler.After(Millis(0), [this, owner] {
			std::erase_if(this->releasing, [owner](const auto &it) { return it.get() == owner; });
		});
	});
}

void NodeCore::StartFleetOwner()
{
	this->fleet = std::make_unique<FleetOwner>(FleetOwnerContext{
			this->scheduler, this->interfaces.log, this->interfaces.machines, this->interfaces.wave_reporter, *this,
			this->interfaces.events, this->self.name, this->self.frame_address, this->self.turn_gap, NODE_GROUP,
			[this] { return this->FleetAssigned(); }, [this] { return this->FleetMonitored(); }, nullptr, nullptr,
			this->self.spread_share});
	this->fleet->on_lost = [this] {
		/* Deferred, since the owner must not be destroyed during its own callback. The new owner reads from the record
		 * whether another node has claimed the fleet. */
		this->scheduler.After(Millis(0), [this] {
			this->fleet.reset();
			this->fleet_checked_at = Millis(-FLEET_CHECK_INTERVAL.Value());
			this->OnMembership();
		});
	};
	this->fleet->Configure(this->api.Config());
	this->fleet->SetEvacuatedZones(this->interfaces.feed.Evacuated());
	std::ranges::for_each(this->waves | std::views::values, [this](const WaveOrder &it) { this->fleet->OnWave(it); });
	this->fleet->Start();
}

void NodeCore::OnConfig(const JobConfig &config)
{
	this->interfaces.events.Write("config", {{"version", std::to_string(config.version)},
											 {"old_version", std::to_string(this->api.Config().version)},
											 {"routes", std::to_string(config.routes.size())},
											 {"services", std::to_string(config.services.size())}});
	this->api.Configure(config);
	if (this->fleet) {
		this->fleet->Configure(config);
	}
}

void NodeCore::OnWave(const WaveOrder &wave)
{
	this->interfaces.events.Write("wave", {{"wave", std::to_string(wave.number)},
										   {"boxes", std::to_string(wave.boxes.size())},
										   {"down_max", std::to_string(wave.down_max)},
										   {"within_ms", std::to_string(wave.within.Value())}});
	this->waves[wave.number] = wave;
	if (this->fleet) {
		this->fleet->OnWave(wave);
	}
}

void NodeCore::OnEvacuatedZones(const EvacuatedZones &evacuated)
{
	std::string names;
	for (const ZoneName &it : evacuated.zones) {
		names += (names.empty() ? "" : ",") + it.Value();
	}
	this->interfaces.events.Write("evacuated_zones",
								  {{"zones", names.empty() ? "-" : names}, {"as_of", std::to_string(evacuated.as_of)}});
	this->shards.SetEvacuatedZones(evacuated);
	if (this->fleet) {
		this->fleet->SetEvacuatedZones(evacuated);
	}
}

void NodeCore::OnReport(const BoxReport &report)
{
	this->shards.OnReport(report);
}

void NodeCore::OnReportRemoved(const BoxId &id)
{
	this->shards.OnReportRemoved(id);
}

std::optional<PoolStatus> NodeCore::LocalPoolStatus(const ServiceName &service, const PoolRequest &request)
{
	ShardOwner *owner = this->shards.Find(service);
	Shard *shard = owner == nullptr ? nullptr : owner->Running();
	if (shard == nullptr) {
		return std::nullopt;
	}
	shard->NoteEnded(request.ended);
	if (!shard->Confirmed()) {
		return std::nullopt;
	}
	shard->TakeLoan(request.loan);
	shard->Drain(request.drain, request.due, request.give_way);
	return shard->Status();
}

void NodeCore::Ask(const ServiceName &service, const PoolRequest &request,
				   std::function<void(std::optional<PoolStatus>)> done)
{
	if (std::optional<PoolStatus> local_status = this->LocalPoolStatus(service, request); local_status) {
		done(std::move(local_status));
		return;
	}
	const auto make = [service, drain = IdStringsOf(request.drain), due = IdStringsOf(request.due),
					   ended = request.ended, loan = request.loan,
					   give_way = IdStringsOf(request.give_way)](uint64_t number) {
		glade::wire::PoolQuestionT out;
		out.number = number;
		out.service = service.Value();
		out.drain = drain;
		out.due = due;
		out.give_way = give_way;
		out.loan = LoanToWire(loan);
		for (const BoxIncarnation &it : ended) {
			out.ended.push_back(it.id.Value());
			out.ended_started.push_back(it.started.Value());
		}
		return MakeMessage(std::move(out));
	};
	this->lookup.Ask(PartitionId{TopicOf(service), PROGRESS_PARTITION}, service.Value(),
					 this->scheduler.Now() + POOL_ANSWER_TIMEOUT, make,
					 [done = std::move(done)](ResultCode, const MessageUnion *message) {
						 const auto *in = message == nullptr ? nullptr : message->AsPoolAnswer();
						 done(in == nullptr ? std::nullopt : std::optional(StatusFromWire(*in)));
					 });
}

void NodeCore::LearnPeerOf(const FrameLink &link)
{
	const std::optional<NetAddress> own = ParseAddress(this->self.frame_address);
	if (own && this->known_links.insert(link.Id()).second) {
		/* The frame servers of all nodes use the same port. */
		this->config_exchange.LearnPeer(NetAddress{link.PeerHost(), own->port}.Text());
	}
}

void NodeCore::OnFrame(FrameLink &link, const MessageUnion &message)
{
	this->LearnPeerOf(link);
	if (const auto *job = message.AsJobQuestion(); job != nullptr) {
		this->OnJobQuestion(link, *job);
	} else if (const auto *pool = message.AsPoolQuestion(); pool != nullptr) {
		this->OnPoolQuestion(link, *pool);
	} else if (const auto *record = message.AsRecordQuestion(); record != nullptr) {
		this->OnRecordQuestion(link, *record);
	} else if (const auto *route = message.AsRouteQuestion(); route != nullptr) {
		this->OnRouteQuestion(link, *route);
	} else if (const auto *config = message.AsConfigQuestion(); config != nullptr) {
		this->OnConfigQuestion(link, *config);
	} else if (const auto *load = message.AsLoadQuestion(); load != nullptr) {
		this->OnLoadQuestion(link, *load);
	} else if (const auto *handover = message.AsHandoverQuestion(); handover != nullptr) {
		this->OnHandoverQuestion(link, *handover);
	} else {
		this->interfaces.events.Write("bad_frame", {{"kind", std::to_string(static_cast<int>(message.type))}});
	}
}

void NodeCore::OnJobQuestion(FrameLink &link, const glade::wire::JobQuestionT &in)
{
	const JobAnswer answer = this->api.AnswerLocally(
			JobQuestion{ServiceName(in.service), RouteName(in.route), JobId(in.job), AccountName(in.account)});
	glade::wire::JobAnswerT out;
	out.number = in.number;
	out.code = static_cast<uint32_t>(answer.code);
	out.phase = static_cast<uint8_t>(answer.phase);
	out.waiting = answer.waiting;
	std::ranges::transform(answer.other_services, std::back_inserter(out.other_services),
						   [](const ServiceName &it) { return it.Value(); });
	link.Send(MakeMessage(std::move(out)));
}

void NodeCore::OnRouteQuestion(FrameLink &link, const glade::wire::RouteQuestionT &in)
{
	this->shard_peers.AnswerHere(
			RouteQuestion{ServiceName(in.service), RouteName(in.route), JobId(in.job), AccountName(in.account),
						  ServiceName(in.from), in.version},
			[reply = this->frame_server.ReplyTo(link), number = in.number](const RouteAnswer &answer) {
				glade::wire::RouteAnswerT out;
				out.number = number;
				out.code = static_cast<uint32_t>(answer.code);
				out.has_job = answer.has_job;
				out.cancelled = answer.cancelled;
				out.has_any = answer.has_any;
				out.served = answer.served;
				reply(MakeMessage(out));
			});
}

void NodeCore::OnRecordQuestion(FrameLink &link, const glade::wire::RecordQuestionT &in)
{
	const auto answer = [reply = this->frame_server.ReplyTo(link), number = in.number](ResultCode code) {
		glade::wire::RecordAnswerT out;
		out.number = number;
		out.code = static_cast<uint32_t>(code);
		reply(MakeMessage(out));
	};
	ShardOwner *owner = this->shards.Find(ServiceName(in.service));
	if (owner == nullptr || owner->Running() == nullptr || in.key.empty()) {
		answer(ResultCode::RC_PEER_UNAVAILABLE);
		return;
	}
	/* The requesting node keeps waiting as long as it knows that this node is alive. */
	answer(ResultCode::RC_LOG_RECORDING);
	const std::string value(reinterpret_cast<const char *>(in.value.data()), in.value.size());
	owner->Accept(KeyedRecord{in.key, value}, answer);
}

void NodeCore::OnConfigQuestion(FrameLink &link, const glade::wire::ConfigQuestionT &in)
{
	this->config_exchange.Answer(
			ConfigQuestion{in.version, in.evacuations_as_of, in.confirm, in.address},
			[reply = this->frame_server.ReplyTo(link), number = in.number](const PeerConfig &answer) {
				glade::wire::ConfigAnswerT out;
				out.number = number;
				out.version = answer.version;
				out.age_ms = answer.age.Value();
				out.body.assign(answer.body.begin(), answer.body.end());
				if (answer.evacuated) {
					out.evacuations_as_of = answer.evacuated->as_of;
					out.evacuated = IdStringsOf(answer.evacuated->zones);
				}
				out.nodes = answer.nodes;
				reply(MakeMessage(std::move(out)));
			});
}

void NodeCore::OnLoadQuestion(FrameLink &link, const glade::wire::LoadQuestionT &in)
{
	const NodeLoad load = this->handover.Load();
	glade::wire::LoadAnswerT out;
	out.number = in.number;
	out.cpu = load.cpu;
	out.busy_percent = static_cast<uint32_t>(load.busy_percent);
	out.shards = static_cast<uint32_t>(load.shards);
	out.accepts_shard = load.accepts_shard;
	link.Send(MakeMessage(out));
}

void NodeCore::OnHandoverQuestion(FrameLink &link, const glade::wire::HandoverQuestionT &in)
{
	glade::wire::HandoverAnswerT out;
	out.number = in.number;
	out.accepted = this->handover.Answer(HandoverOffer{ServiceName(in.service), in.epoch, in.owner, in.busy_percent});
	link.Send(MakeMessage(out));
}

void NodeCore::OnPoolQuestion(FrameLink &link, const glade::wire::PoolQuestionT &in)
{
	const std::optional<PoolStatus> status = this->LocalPoolStatus(
			ServiceName(in.service),
			PoolRequest{IdSetOf<BoxName>(in.drain), IdSetOf<BoxName>(in.due), IncarnationsFromWire(in),
						LoanFromWire(in.loan.get()), IdSetOf<BoxName>(in.give_way)});
	glade::wire::PoolAnswerT out;
	out.number = in.number;
	out.code = static_cast<uint32_t>(status ? ResultCode::RC_OK : ResultCode::RC_PEER_UNAVAILABLE);
	if (status) {
		out.waiting_cpu = status->waiting_cpu;
		out.late_cpu = status->late_cpu;
		out.shares = ReportToWire(status->shares);
		for (const PoolBox &box : status->boxes) {
			auto row = std::make_unique<glade::wire::PoolBoxT>();
			row->box = box.box.Value();
			row->life = box.incarnation.id.Value();
			row->started = box.incarnation.started.Value();
			row->tasks = box.tasks;
			row->used_cpu = box.used_cpu;
			row->late_cpu = box.late_cpu;
			row->cpu = box.cpu;
			row->placing = box.placing;
			row->ends_in_ms = box.ends_in ? box.ends_in->Value() : NO_END_KNOWN;
			out.boxes.push_back(std::move(row));
		}
	}
	link.Send(MakeMessage(std::move(out)));
}
