/** @file request_world.cpp Simulated entries, endpoints and callers. */
#include "request_world.h"

#include "../../fleet/fleet_hash.h"

#include <algorithm>

namespace {

constexpr Millis WALL_START(1700000000000); ///< Wall clock at virtual time 0, Unix time in ms.
constexpr Millis CONNECT_TIME(1);           ///< Time until a connection is established or fails.
constexpr Millis LATE_TIME(3000);           ///< Run time of a request at a late endpoint.
constexpr Millis TICK_INTERVAL(50);         ///< Interval of lease renewals and of the gates' ticks.
constexpr Millis LEASE_SPAN(2000);          ///< Length of a lease.

/** A call to a simulated endpoint. */
class FakeCall : public EndpointCall, public std::enable_shared_from_this<FakeCall> {
public:
	FakeCall(EntryNode &entry, FakeEndpoint &endpoint, const CallerRequest &request, CallEvents &events)
			: entry(entry), endpoint(endpoint), request(request), events(&events)
	{
	}

	void SetPaused(bool stop) override { this->paused = stop; }
	void Abandon() override { this->events = nullptr; }

	void Start()
	{
		this->entry.world.clock.After(CONNECT_TIME, [self = this->shared_from_this()] { self->Arrive(); });
	}

private:
	EntryNode &entry;       ///< Calling entry.
	FakeEndpoint &endpoint; ///< Called endpoint.
	CallerRequest request;  ///< The request.
	CallEvents *events;     ///< Receiver of events; null once abandoned or complete.
	bool paused = false;    ///< Whether the entry accepts no data at present.

	[[nodiscard]] std::string Submission() const { return *this->request.headers.Find("Submission"); }

	[[nodiscard]] bool CanDeliver() const { return this->events != nullptr && *this->entry.scheduler.alive; }

	void Fail(CallFailure failure)
	{
		if (this->CanDeliver()) {
			std::exchange(this->events, nullptr)->OnCallFailed(failure);
		}
	}

	void Arrive()
	{
		const EndpointBehavior behavior = this->endpoint.behavior;
		RequestWorld &world = this->entry.world;
		if (!*this->entry.scheduler.alive) {
			return; /* Killed before the connection was established: nothing was sent. */
		}
		if (behavior == EndpointBehavior::EB_REFUSE) {
			world.Note(this->endpoint.box + " refuses the connection");
			this->Fail(CallFailure::CF_NOT_CONNECTED);
			return;
		}
		if (behavior == EndpointBehavior::EB_ACCEPT_CLOSE) {
			world.Note(this->endpoint.box + " closes without reading");
			this->Fail(CallFailure::CF_NO_RESPONSE);
			return;
		}
		if (behavior == EndpointBehavior::EB_NOT_RUN || this->endpoint.running >= this->endpoint.slots) {
			world.Note(this->endpoint.box + " says not run");
			this->Answer(503, "no slot", "no");
			return;
		}
		this->endpoint.runs.push_back(this->Submission());
		this->endpoint.running++;
		this->endpoint.peak = std::max(this->endpoint.peak, this->endpoint.running);
		world.Note(this->endpoint.box + " runs " + this->Submission());
		const Millis work = behavior == EndpointBehavior::EB_LATE ? LATE_TIME : this->endpoint.work;
		world.clock.After(work, [self = this->shared_from_this(), behavior] { self->Finish(behavior); });
	}

	void Finish(EndpointBehavior behavior)
	{
		this->endpoint.running--;
		if (behavior == EndpointBehavior::EB_READ_CLOSE) {
			this->entry.world.Note(this->endpoint.box + " closes without answering");
			this->Fail(CallFailure::CF_NO_RESPONSE);
		} else if (behavior == EndpointBehavior::EB_HALF_CLOSE || behavior == EndpointBehavior::EB_HALF_STALL) {
			this->SendHalf(behavior);
		} else {
			this->Answer(behavior == EndpointBehavior::EB_ERROR ? 500 : 200, this->request.body, nullptr);
		}
	}

	ResponseHead HeadOf(int status, const char *run) const
	{
		ResponseHead head;
		head.status = status;
		head.length = this->request.body.size();
		if (run != nullptr) {
			head.headers.Add("Glade-Run", run);
		}
		return head;
	}

	void SendHalf(EndpointBehavior behavior)
	{
		if (!this->CanDeliver()) {
			return;
		}
		this->events->OnResponseHead(this->HeadOf(200, nullptr));
		if (this->CanDeliver()) {
			this->events->OnResponseBody(this->request.body.substr(0, this->request.body.size() / 2));
		}
		this->entry.world.Note(this->endpoint.box + " answers half");
		if (behavior == EndpointBehavior::EB_HALF_CLOSE) {
			this->Fail(CallFailure::CF_TRUNCATED);
		}
	}

	void Answer(int status, const std::string &body, const char *run)
	{
		const auto keep_alive = this->shared_from_this();
		if (!this->CanDeliver()) {
			return;
		}
		ResponseHead head = this->HeadOf(status, run);
		head.length = body.size();
		this->events->OnResponseHead(std::move(head));
		if (this->CanDeliver()) {
			this->events->OnResponseBody(body);
		}
		if (this->CanDeliver()) {
			std::exchange(this->events, nullptr)->OnResponseEnd();
		}
	}
};

/** A call to a simulated endpoint, as the exchange owns it. When the exchange destroys it, the endpoint still runs the
 * request. */
class CallHandle : public EndpointCall {
public:
	explicit CallHandle(std::shared_ptr<FakeCall> call) : call(std::move(call)) {}
	~CallHandle() override { this->call->Abandon(); }
	void SetPaused(bool stop) override { this->call->SetPaused(stop); }
	void Abandon() override { this->call->Abandon(); }

private:
	std::shared_ptr<FakeCall> call; ///< The call.
};

/** A call that forwards a request to another entry. */
class PeerCall : public EndpointCall {
public:
	PeerCall(EntryNode &from, EntryNode *to, const CallerRequest &request, CallEvents &events)
			: state(std::make_shared<State>(from, to, request, events))
	{
		from.world.clock.After(CONNECT_TIME, [it = this->state] { it->Arrive(it); });
	}

	~PeerCall() override { this->state->events = nullptr; }
	void SetPaused(bool) override {}
	void Abandon() override { this->state->events = nullptr; }

private:
	/** Both ends of the call; outlives the handle while events are pending. */
	struct State : public CallerSink {
		State(EntryNode &from, EntryNode *to, const CallerRequest &request, CallEvents &events)
				: from(from), to(to), request(request), events(&events)
		{
		}

		EntryNode &from;                    ///< Calling entry.
		EntryNode *to;                      ///< Called entry; null when the address is unknown.
		CallerRequest request;              ///< The request.
		CallEvents *events;                 ///< Receiver of events; null once abandoned or complete.
		std::shared_ptr<Exchange> exchange; ///< The request as served by the called entry.

		[[nodiscard]] bool CanDeliver() const { return this->events != nullptr && *this->from.scheduler.alive; }

		void Arrive(const std::shared_ptr<State> &self)
		{
			if (this->to == nullptr || !*this->to->scheduler.alive || this->to->cut_from_peers ||
				this->from.cut_from_peers) {
				if (this->CanDeliver()) {
					std::exchange(this->events, nullptr)->OnCallFailed(CallFailure::CF_NOT_CONNECTED);
				}
				return;
			}
			this->from.world.Note(this->from.name + " forwards to " + this->to->name);
			this->request.from_peer = true;
			this->exchange = std::make_shared<Exchange>(this->to->scheduler, this->to->path, *this->to->dialer, *this,
														this->request);
			this->from.world.clock.After(Millis(60000), [self] { self->exchange.reset(); });
			this->exchange->Start();
			this->WatchTarget(self);
		}

		/** Reports a failed call when the called entry is killed. */
		void WatchTarget(const std::shared_ptr<State> &self)
		{
			if (!*this->to->scheduler.alive) {
				if (this->CanDeliver()) {
					std::exchange(this->events, nullptr)->OnCallFailed(CallFailure::CF_NO_RESPONSE);
				}
				return;
			}
			if (this->CanDeliver()) {
				this->from.world.clock.After(Millis(10), [self] { self->WatchTarget(self); });
			}
		}

		void Begin(const ResponseHead &head) override
		{
			if (this->CanDeliver()) {
				this->events->OnResponseHead(head);
			}
		}
		void Body(std::string_view data) override
		{
			if (this->CanDeliver()) {
				this->events->OnResponseBody(data);
			}
		}
		void End() override
		{
			if (this->CanDeliver()) {
				std::exchange(this->events, nullptr)->OnResponseEnd();
			}
		}
		void Abort() override
		{
			if (this->CanDeliver()) {
				std::exchange(this->events, nullptr)->OnCallFailed(CallFailure::CF_TRUNCATED);
			}
		}
		[[nodiscard]] bool Congested() const override { return false; }
	};

	std::shared_ptr<State> state; ///< Both ends of the call.
};

/** Starts calls of an entry to endpoints and to other entries. */
class FakeDialer : public EndpointDialer {
public:
	explicit FakeDialer(EntryNode &entry) : entry(entry) {}

	std::unique_ptr<EndpointCall> Start(const std::string &address, const CallerRequest &request,
										CallEvents &events) override
	{
		RequestWorld &world = this->entry.world;
		if (const auto it = world.endpoints.find(address); it != world.endpoints.end()) {
			auto call = std::make_shared<FakeCall>(this->entry, it->second, request, events);
			call->Start();
			return std::make_unique<CallHandle>(call);
		}
		EntryNode *to = nullptr;
		for (const auto &it : world.entries) {
			to = it->address == address && *it->scheduler.alive ? it.get() : to;
		}
		return std::make_unique<PeerCall>(this->entry, to, request, events);
	}

private:
	EntryNode &entry; ///< Calling entry.
};

} // namespace

const char *NameOf(EndpointBehavior behavior)
{
	static constexpr const char *_names[] = {"answer",     "refuse", "accept_close", "read_close", "half_close",
											 "half_stall", "late",   "not_run",      "error"};
	return _names[static_cast<size_t>(behavior)];
}

void CallerProbe::Begin(const ResponseHead &it)
{
	this->head = it;
	this->begun = true;
}

void CallerProbe::Body(std::string_view data)
{
	this->body.append(data);
}

void CallerProbe::End()
{
	this->ended = true;
	const std::string *run = this->head.headers.Find("Glade-Run");
	this->world->Note(this->name + " gets " + std::to_string(this->head.status) +
					  (run == nullptr ? "" : " run=" + *run + " code=" + std::to_string(this->Code())));
}

void CallerProbe::Abort()
{
	this->broken = true;
	this->world->Note(this->name + " sees the connection break");
}

bool CallerProbe::SaysNotRun() const
{
	const std::string *run = this->head.headers.Find("Glade-Run");
	return this->ended && run != nullptr && *run == "no";
}

int CallerProbe::Code() const
{
	const std::string *code = this->head.headers.Find("Glade-Code");
	return code == nullptr ? 0 : std::stoi(*code);
}

const Credential *OpenCredentials::Find(const std::string *authorization) const
{
	if (authorization == nullptr) {
		return nullptr;
	}
	Credential &it = this->made[*authorization];
	it.account = AccountName(*authorization);
	return &it;
}

EntryNode::EntryNode(RequestWorld &world, const std::string &name, const std::string &zone, uint64_t incarnation)
		: name(name), address(name + ":" + std::to_string(incarnation)), scheduler(world.clock),
		  path(EntryIdentity{MemberName(name), ZoneName(zone), Incarnation(incarnation)}, GateSettings{}, LeaseTimes{},
			   KeyLimits{}, RequestSettings{}, this->credentials),
		  dialer(std::make_unique<FakeDialer>(*this)), world(world)
{
}

RequestWorld::RequestWorld(uint32_t count, uint32_t entry_count) : clock(WALL_START)
{
	this->fleet.offset = LogOffset(1);
	this->fleet.time = this->clock.WallNow();
	ServiceRow row;
	row.service = ServiceName("misting");
	row.pool = PoolName("control");
	row.ceiling = Slots(1000);
	row.work_class = WorkClass::WC_URGENT;
	this->fleet.rows[row.service] = row;
	for (uint32_t i = 1; i <= count; i++) {
		Box box;
		box.name = BoxName("box-" + std::to_string(i));
		box.SetDomains(ZoneName("zone-a"), RackName("rack-" + std::to_string(i)));
		box.address = "endpoint-" + std::to_string(i) + ":80";
		box.slots = Slots(8);
		box.pool = PoolName("control");
		box.health = BoxHealth::BH_UP;
		this->fleet.Put(this->fleet.boxes, box.name, box);
		this->endpoints[box.address].box = box.name.Value();
	}
	for (uint32_t i = 1; i <= entry_count; i++) {
		this->AddEntry("entry-" + std::to_string(i), "zone-a");
	}
	this->Tick();
	/* Keys are accepted only if they were issued after the entries' first membership has settled, so that has to be
	 * over before the test begins. */
	this->Run(Millis(20000));
	this->timeline.clear();
	this->timeline_start = this->clock.Now();
}

RequestWorld::~RequestWorld()
{
	for (const auto &it : this->probes) {
		if (it->exchange && *it->entry->scheduler.alive && !it->gone && !it->ended && !it->broken) {
			it->exchange->OnCallerDisconnected();
		}
	}
	this->Run(Millis(120000));
}

EntryNode &RequestWorld::AddEntry(const std::string &name, const std::string &zone)
{
	const auto incarnation = static_cast<uint64_t>(this->clock.WallNow().Value()) + this->entries.size();
	this->entries.push_back(std::make_unique<EntryNode>(*this, name, zone, incarnation));
	Member member;
	member.name = MemberName(name);
	member.zone = ZoneName(zone);
	member.address = this->entries.back()->address;
	member.incarnation = Incarnation(incarnation);
	member.since = this->clock.WallNow();
	this->fleet.Put(this->fleet.members, member.name, member);
	this->fleet.time = this->clock.WallNow();
	ZoneChange change = this->fleet.zones[member.zone];
	this->fleet.zones[member.zone] = ZoneChange{change.changes + 1, this->fleet.time};
	this->PublishViews();
	return *this->entries.back();
}

void RequestWorld::PublishViews()
{
	this->fleet.offset = LogOffset(this->fleet.offset.Value() + 1);
	this->view_version++;
	for (const auto &entry : this->entries) {
		if (!*entry->scheduler.alive || !entry->renew) {
			continue;
		}
		glade::wire::ViewT view = BuildView(this->fleet, entry->path.self.zone, {});
		view.version = this->view_version;
		entry->path.routes.Apply(view, this->clock.Now());
		entry->path.routes.ExtendLease(this->clock.Now() + LEASE_SPAN);
	}
}

CallerProbe &RequestWorld::Submit(EntryNode &entry, const std::string &method, const std::string &name,
								  const std::string &key, const std::string &target)
{
	CallerRequest request;
	request.method = method;
	request.target = target;
	request.headers.Add("Authorization", "oyo");
	request.headers.Add("Submission", name);
	request.body = key.empty() ? "body of " + name : "body of " + key;
	if (!key.empty()) {
		request.headers.Add("Idempotency-Key", key);
	}
	this->probes.push_back(std::make_unique<CallerProbe>());
	CallerProbe &probe = *this->probes.back();
	probe.name = name;
	probe.world = this;
	probe.entry = &entry;
	this->Note(name + " sends " + method + (key.empty() ? "" : " with key") + " to " + entry.name);
	if (!*entry.scheduler.alive) {
		probe.Abort();
		return probe;
	}
	probe.exchange = std::make_shared<Exchange>(entry.scheduler, entry.path, *entry.dialer, probe, request);
	probe.exchange->Start();
	return probe;
}

void RequestWorld::Kill(EntryNode &entry)
{
	this->Note(entry.name + " is killed");
	*entry.scheduler.alive = false;
	for (const auto &it : this->probes) {
		if (it->entry == &entry && !it->ended && !it->gone && !it->broken) {
			it->Abort();
		}
	}
}

void RequestWorld::Tick()
{
	for (const auto &entry : this->entries) {
		if (!*entry->scheduler.alive) {
			continue;
		}
		if (entry->renew) {
			entry->path.routes.ExtendLease(this->clock.Now() + LEASE_SPAN);
		}
		for (const auto &[pool, gate] : entry->path.routes.Gates()) {
			gate->Tick(this->clock.Now());
		}
	}
	this->clock.After(TICK_INTERVAL, [this] { this->Tick(); });
}

void RequestWorld::Run(Millis span)
{
	this->clock.RunUntil(this->clock.Now() + span);
}

void RequestWorld::Note(const std::string &line)
{
	const std::string at = std::to_string((this->clock.Now() - this->timeline_start).Value());
	this->timeline += std::string(at.size() < 6 ? 6 - at.size() : 0, ' ') + at + "  " + line + "\n";
}

std::string RequestWorld::NewKey(const std::string &tail)
{
	return std::to_string(this->clock.WallNow().Value()) + "-" + tail;
}

int RequestWorld::RunsOf(const std::string &submission) const
{
	int n = 0;
	for (const auto &[address, endpoint] : this->endpoints) {
		n += static_cast<int>(std::ranges::count(endpoint.runs, submission));
	}
	return n;
}
