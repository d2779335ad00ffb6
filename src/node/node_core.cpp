/** @file node_core.cpp A node without its HTTP transport to callers. */
#include "node_core.h"

#include <algorithm>
#include <ranges>

namespace {

constexpr Millis STORE_SEEN_WITHIN(2600); ///< Time without contact to the store after which a node accepts no new
										  ///< callers. Two polls of a second each may fail.
constexpr Millis LOOK_EVERY(5000); ///< Interval at which the owner of the fleet is checked while the group does not
								   ///< assign the fleet to this node.
constexpr Millis PEERS_EVERY(
		5000); ///< Interval at which the members of the group are read; they can be asked for the configuration.
constexpr Millis POOL_WAIT(600); ///< Timeout of the fleet owner's request to the owner of a pool.

template <class Id>
std::set<Id> SetOf(const std::vector<std::string> &names)
{
	std::set<Id> out;
	std::ranges::for_each(names, [&out](const std::string &it) { out.insert(Id(it)); });
	return out;
}

template <class Id>
std::vector<std::string> NamesOf(const std::set<Id> &ids)
{
	std::vector<std::string> out;
	std::ranges::transform(ids, std::back_inserter(out), [](const Id &it) { return it.Value(); });
	return out;
}

std::set<BoxIncarnation> LivesOf(const glade::wire::PoolQuestionT &in)
{
	std::set<BoxIncarnation> out;
	for (size_t n = 0; n < std::min(in.ended.size(), in.ended_started.size()); n++) {
		out.insert(BoxIncarnation{BoxId(in.ended[n]), Millis(in.ended_started[n])});
	}
	return out;
}

std::unique_ptr<glade::wire::LoanT> NativeLoan(const ShareLoan &loan)
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
ShareLoan LoanOf(const glade::wire::LoanT *in)
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

std::unique_ptr<glade::wire::LoanReportT> NativeReport(const ShareReport &report)
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
ShareReport ReportOf(const glade::wire::LoanReportT *in)
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

PoolStatus StatusOf(const glade::wire::PoolAnswerT &in)
{
	PoolStatus out;
	out.waiting_cpu = in.waiting_cpu;
	out.late_cpu = in.late_cpu;
	out.shares = ReportOf(in.shares.get());
	std::ranges::transform(in.boxes, std::back_inserter(out.boxes), [](const auto &it) {
		return PoolBox{BoxName(it->box), BoxIncarnation{BoxId(it->life), Millis(it->started)},
					   it->tasks,        it->used_cpu,
					   it->cpu,          it->placing,
					   it->late_cpu};
	});
	return out;
}

} // namespace

NodeCore::NodeCore(Scheduler &scheduler, const NodeLinks &links, const NodeIdentity &self)
		: scheduler(scheduler), links(links), self(self),
		  member(scheduler, links.log, links.events,
				 GroupSpec{NODE_GROUP, GroupPeer{self.frames, self.cpu}, NODE_TOPIC, self.silence, self.partitions}),
		  host(ShardOwnerContext{scheduler, links.log, links.orders, links.events, self.frames, self.limits,
								 links.advisor, NODE_GROUP},
			   this->member, links.feed, self.partitions),
		  lookup(scheduler, links.log, links.events),
		  desk(scheduler, links.log, this->host, this->lookup, links.events), peers(scheduler),
		  configs(scheduler, links.feed, this->peers, links.events, self.frames),
		  frames([this](FrameLink &link, const MessageUnion &message) { this->OnFrame(link, message); },
				 [this](FrameLink &link) { this->recording.erase(&link); })
{
	this->member.on_answer = [this] { this->OnMembership(); };
}

bool NodeCore::Start()
{
	const std::optional<NetAddress> address = ParseAddress(this->self.frames);
	if (!address || !this->frames.Listen(*address)) {
		return false;
	}
	std::ranges::for_each(this->self.seeds, [this](const std::string &it) { this->configs.AddPeer(it); });
	this->configs.Start();
	this->links.feed.Start(*this);
	this->member.Start();
	return true;
}

void NodeCore::Leave(std::function<void()> done)
{
	this->leaving = true;
	this->ReleaseFleet();
	this->host.Clear();
	this->member.Leave(std::move(done));
}

bool NodeCore::Ready() const
{
	const bool reached = this->scheduler.Now() - this->links.feed.CurrentAsOf() <= STORE_SEEN_WITHIN;
	return !this->leaving && this->desk.Config().version > 0 && reached;
}

bool NodeCore::FleetDealt() const
{
	/* The last partition represents the fleet. Each service uses the first partition of its even share. */
	return this->member.Holds(this->self.partitions - 1);
}

bool NodeCore::FleetWatched() const
{
	/* The watcher holds the partition before the last one, because the partition after it represents a service. */
	return this->member.Holds((2 * this->self.partitions - 2) % this->self.partitions);
}

void NodeCore::ReadPeers()
{
	const Millis now = this->scheduler.Now();
	if (now - this->peers_read_at < PEERS_EVERY) {
		return;
	}
	this->peers_read_at = now;
	this->links.log.Holders(NODE_GROUP, [this, still = std::weak_ptr<bool>(this->alive)](
												ResultCode, const std::vector<PartitionHolder> &rows) {
		if (!still.expired()) {
			std::ranges::for_each(rows, [this](const PartitionHolder &it) {
				this->configs.AddPeer(ParseMemberName(it.member).address);
			});
		}
	});
}

void NodeCore::OnMembership()
{
	this->ReadPeers();
	this->host.OnMembership();
	if (this->desk.Config().version == 0 || this->leaving) {
		return;
	}
	const bool dealt = this->FleetDealt();
	const bool wanted = dealt || this->FleetWatched();
	if (!this->fleet) {
		/* The owner is also checked periodically while the fleet is not assigned to this node: the recorded owner may
		 * be an earlier process of this node. */
		const Millis now = this->scheduler.Now();
		const bool look = this->member.HeldRecently() && now - this->fleet_looked_at >= LOOK_EVERY;
		if (wanted || look) {
			this->fleet_looked_at = now;
			this->BeginFleet();
		}
	} else if (!wanted && this->fleet->Waiting()) {
		this->fleet.reset();
	} else if (!dealt && this->member.IsStandby()) {
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

void NodeCore::BeginFleet()
{
	this->fleet = std::make_unique<FleetOwner>(
			FleetOwnerContext{this->scheduler, this->links.log, this->links.machines, this->links.reports, *this,
							  this->links.events, this->self.name, this->self.frames, this->self.turn_gap, NODE_GROUP,
							  [this] { return this->FleetDealt(); }, [this] { return this->FleetWatched(); }});
	this->fleet->on_lost = [this] {
		/* Deferred, since the owner must not be destroyed during its own callback. The new owner reads from the record
		 * whether another node has claimed the fleet. */
		this->scheduler.After(Millis(0), [this] {
			this->fleet.reset();
			this->fleet_looked_at = Millis(-LOOK_EVERY.Value());
			this->OnMembership();
		});
	};
	this->fleet->Configure(this->desk.Config());
	std::ranges::for_each(this->waves | std::views::values, [this](const WaveOrder &it) { this->fleet->OnWave(it); });
	this->fleet->Start();
}

void NodeCore::OnConfig(const JobConfig &config)
{
	this->links.events.Write("config", {{"version", std::to_string(config.version)},
										{"before", std::to_string(this->desk.Config().version)},
										{"routes", std::to_string(config.routes.size())},
										{"services", std::to_string(config.services.size())}});
	this->desk.Configure(config);
	if (this->fleet) {
		this->fleet->Configure(config);
	}
}

void NodeCore::OnWave(const WaveOrder &wave)
{
	this->links.events.Write("wave", {{"wave", std::to_string(wave.number)},
									  {"boxes", std::to_string(wave.boxes.size())},
									  {"down_max", std::to_string(wave.down_max)},
									  {"within_ms", std::to_string(wave.within.Value())}});
	this->waves[wave.number] = wave;
	if (this->fleet) {
		this->fleet->OnWave(wave);
	}
}

void NodeCore::OnReport(const BoxReport &report)
{
	this->host.OnReport(report);
}

void NodeCore::OnReportRemoved(const BoxId &id)
{
	this->host.OnReportRemoved(id);
}

std::optional<PoolStatus> NodeCore::PoolHere(const ServiceName &service, const PoolRequest &request)
{
	ShardOwner *owner = this->host.Find(service);
	Shard *shard = owner == nullptr ? nullptr : owner->Running();
	if (shard == nullptr) {
		return std::nullopt;
	}
	shard->NoteEnded(request.ended);
	if (!shard->Confirmed()) {
		return std::nullopt;
	}
	shard->TakeLoan(request.loan);
	shard->Drain(request.drain, request.due);
	return shard->Status();
}

void NodeCore::Ask(const ServiceName &service, const PoolRequest &request,
				   std::function<void(std::optional<PoolStatus>)> done)
{
	if (std::optional<PoolStatus> here = this->PoolHere(service, request); here) {
		done(std::move(here));
		return;
	}
	const auto make = [service, drain = NamesOf(request.drain), due = NamesOf(request.due), ended = request.ended,
					   loan = request.loan](uint64_t number) {
		glade::wire::PoolQuestionT out;
		out.number = number;
		out.service = service.Value();
		out.drain = drain;
		out.due = due;
		out.loan = NativeLoan(loan);
		for (const BoxIncarnation &it : ended) {
			out.ended.push_back(it.id.Value());
			out.ended_started.push_back(it.started.Value());
		}
		return MakeMessage(std::move(out));
	};
	this->lookup.Ask(PartitionId{TopicOf(service), PROGRESS_PARTITION}, service.Value(),
					 this->scheduler.Now() + POOL_WAIT, make,
					 [done = std::move(done)](ResultCode, const MessageUnion *message) {
						 const auto *in = message == nullptr ? nullptr : message->AsPoolAnswer();
						 done(in == nullptr ? std::nullopt : std::optional(StatusOf(*in)));
					 });
}

void NodeCore::OnFrame(FrameLink &link, const MessageUnion &message)
{
	if (const auto *job = message.AsJobQuestion(); job != nullptr) {
		this->OnJobQuestion(link, *job);
	} else if (const auto *pool = message.AsPoolQuestion(); pool != nullptr) {
		this->OnPoolQuestion(link, *pool);
	} else if (const auto *record = message.AsRecordQuestion(); record != nullptr) {
		this->OnRecordQuestion(link, *record);
	} else if (const auto *config = message.AsConfigQuestion(); config != nullptr) {
		this->OnConfigQuestion(link, *config);
	} else {
		this->links.events.Write("bad_frame", {{"kind", std::to_string(static_cast<int>(message.type))}});
	}
}

void NodeCore::OnJobQuestion(FrameLink &link, const glade::wire::JobQuestionT &in)
{
	const JobAnswer answer = this->desk.AnswerLocally(
			JobQuestion{ServiceName(in.service), RouteName(in.route), JobId(in.job), AccountName(in.account)});
	glade::wire::JobAnswerT out;
	out.number = in.number;
	out.code = static_cast<uint32_t>(answer.code);
	out.phase = static_cast<uint8_t>(answer.phase);
	out.waiting = answer.waiting;
	link.Send(MakeMessage(out));
}

void NodeCore::OnRecordQuestion(FrameLink &link, const glade::wire::RecordQuestionT &in)
{
	const auto answer = [number = in.number](FrameLink &to, ResultCode code) {
		glade::wire::RecordAnswerT out;
		out.number = number;
		out.code = static_cast<uint32_t>(code);
		to.Send(MakeMessage(out));
	};
	ShardOwner *owner = this->host.Find(ServiceName(in.service));
	if (owner == nullptr || owner->Running() == nullptr || in.key.empty()) {
		answer(link, ResultCode::RC_PEER_UNAVAILABLE);
		return;
	}
	/* The requesting node keeps waiting as long as it knows that this node is alive. */
	answer(link, ResultCode::RC_LOG_RECORDING);
	this->recording.insert(&link);
	const std::string value(reinterpret_cast<const char *>(in.value.data()), in.value.size());
	owner->Accept(KeyedRecord{in.key, value}, [this, to = &link, answer](ResultCode code) {
		if (this->recording.contains(to)) {
			answer(*to, code);
		}
	});
}

void NodeCore::OnConfigQuestion(FrameLink &link, const glade::wire::ConfigQuestionT &in)
{
	this->recording.insert(&link);
	this->configs.Answer(ConfigQuestion{in.version, in.confirm},
						 [this, to = &link, number = in.number](const PeerConfig &answer) {
							 if (!this->recording.contains(to)) {
								 return;
							 }
							 glade::wire::ConfigAnswerT out;
							 out.number = number;
							 out.version = answer.version;
							 out.age_ms = answer.age.Value();
							 out.body.assign(answer.body.begin(), answer.body.end());
							 to->Send(MakeMessage(std::move(out)));
						 });
}

void NodeCore::OnPoolQuestion(FrameLink &link, const glade::wire::PoolQuestionT &in)
{
	const std::optional<PoolStatus> status =
			this->PoolHere(ServiceName(in.service), PoolRequest{SetOf<BoxName>(in.drain), SetOf<BoxName>(in.due),
																LivesOf(in), LoanOf(in.loan.get())});
	glade::wire::PoolAnswerT out;
	out.number = in.number;
	out.code = static_cast<uint32_t>(status ? ResultCode::RC_OK : ResultCode::RC_PEER_UNAVAILABLE);
	if (status) {
		out.waiting_cpu = status->waiting_cpu;
		out.late_cpu = status->late_cpu;
		out.shares = NativeReport(status->shares);
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
			out.boxes.push_back(std::move(row));
		}
	}
	link.Send(MakeMessage(std::move(out)));
}
