/** @file entry_server.cpp The entry process: forwards callers' requests to endpoints. */
#include "entry_server.h"

#include "../program/logging.h"
#include "entry_dump.h"

#include <algorithm>
#include <numeric>

namespace {

constexpr Millis GATE_INTERVAL(20);       ///< Interval between updates of the gates' queues and the slot broker.
constexpr Millis IDLE_CHECK_INTERVAL(50); ///< Interval between checks for open requests during a stop.

EntryIdentity MakeIdentity(const Settings &settings, Millis wall_now)
{
	return EntryIdentity{MemberName(settings.Text("name")), ZoneName(settings.Text("zone")),
						 Incarnation(static_cast<uint64_t>(wall_now.Value()))};
}

GateSettings MakeGateSettings(const Settings &settings)
{
	GateSettings gates;
	gates.queue_limit = static_cast<size_t>(settings.Number("queue_limit"));
	return gates;
}

KeyLimits MakeKeyLimits(const Settings &settings)
{
	KeyLimits keys;
	keys.window = settings.Duration("key_window");
	keys.skew = settings.Duration("clock_skew");
	return keys;
}

RequestSettings MakeRequestSettings(const Settings &settings)
{
	RequestSettings path;
	path.deadline_urgent = settings.Duration("deadline_urgent");
	path.deadline_normal = settings.Duration("deadline_normal");
	path.deadline_batch = settings.Duration("deadline_batch");
	path.detach_patience = settings.Duration("detach_patience");
	return path;
}

CallerLimits MakeCallerLimits(const Settings &settings)
{
	CallerLimits callers;
	callers.http.body_bytes = static_cast<size_t>(settings.Number("body_bytes"));
	callers.http.header_bytes = static_cast<size_t>(settings.Number("head_bytes"));
	callers.head_wait = settings.Duration("head_wait");
	callers.body_wait = settings.Duration("body_wait");
	callers.idle_wait = settings.Duration("idle_wait");
	return callers;
}

EntryDescription DescribeEntry(const Settings &settings, Incarnation incarnation)
{
	return EntryDescription{MemberName(settings.Text("name")), RegionName(settings.Text("region")),
							ZoneName(settings.Text("zone")),   settings.Text("peers"),
							settings.Text("frames"),           incarnation};
}

} // namespace

EntryServer::EntryServer(const Settings &settings)
		: settings(settings), credentials(settings.Records("credentials")),
		  path(MakeIdentity(settings, this->scheduler.WallNow()), MakeGateSettings(settings),
			   LeaseTimes{settings.Duration("settle")}, MakeKeyLimits(settings), MakeRequestSettings(settings),
			   this->credentials),
		  caller_listener([this](qintptr descriptor) { this->AssignConnection(descriptor, false); }),
		  peer_listener([this](qintptr descriptor) { this->AssignConnection(descriptor, true); }),
		  peer_connections(this->scheduler), broker(this->scheduler, this->path.routes, this->path.self.name,
													this->peer_connections, settings.Duration("detach_patience")),
		  frame_server([this](FrameLink &, const MessageUnion &message) { this->broker.OnMessage(message); },
					   [](FrameLink &) {}),
		  keeper(this->scheduler, this->path, settings.Addresses("keepers"),
				 DescribeEntry(settings, this->path.self.incarnation)),
		  status(*this)
{
	DialLimits dial;
	dial.connect_wait = settings.Duration("connect_wait");
	const CallerLimits limits = MakeCallerLimits(settings);
	for (int64_t i = 0; i < settings.Number("lanes"); i++) {
		this->lanes.push_back(std::make_unique<Lane>(this->path, limits, limits, dial));
	}
}

EntryServer::~EntryServer()
{
	this->caller_listener.close();
	this->peer_listener.close();
	this->lanes.clear();
}

bool EntryServer::Start()
{
	const NetAddress callers_address = this->settings.Address("callers");
	const NetAddress peers_address = this->settings.Address("peers");
	if (!this->caller_listener.listen(callers_address.ip, callers_address.port) ||
		!this->peer_listener.listen(peers_address.ip, peers_address.port) ||
		!this->frame_server.Listen(this->settings.Address("frames")) ||
		!this->status.Listen(this->settings.Address("status"))) {
		return false;
	}
	this->keeper.Start();
	this->UpdateGates();
	return true;
}

void EntryServer::AssignConnection(qintptr descriptor, bool from_peer)
{
	this->lanes[this->next_lane++ % this->lanes.size()]->AddConnection(descriptor, from_peer);
}

void EntryServer::UpdateGates()
{
	for (const auto &[pool, gate] : this->path.routes.Gates()) {
		gate->Tick(this->scheduler.Now());
	}
	this->peer_connections.Update(this->path.routes.ZonePeers(), this->path.self.name);
	this->broker.Tick();
	this->scheduler.After(GATE_INTERVAL, [this] { this->UpdateGates(); });
}

void EntryServer::Stop(std::function<void()> done)
{
	/* First the health check fails and the keeper is notified, while new requests are still served until the balancer
	 * has noticed. Then the listener closes, and requests in progress are finished. */
	this->leaving = true;
	this->keeper.AnnounceLeaving();
	this->scheduler.After(this->settings.Duration("leave_wait"), [this, done = std::move(done)]() mutable {
		this->path.stopping = true;
		this->caller_listener.close();
		this->stop_deadline = this->scheduler.Now() + this->settings.Duration("stop_wait");
		this->WaitForIdle(std::move(done));
	});
}

void EntryServer::WaitForIdle(std::function<void()> done)
{
	std::ranges::for_each(this->lanes, [](const auto &it) { it->CloseIdle(); });
	const int64_t open_requests = this->path.counters.open;
	const int connections = std::accumulate(this->lanes.begin(), this->lanes.end(), 0,
											[](int sum, const auto &it) { return sum + it->Connections(); });
	const bool timed_out = this->scheduler.Now() >= this->stop_deadline;
	if ((open_requests == 0 && connections == 0) || timed_out) {
		if (open_requests > 0) {
			LogEvent(LogLevel::LL_WARNING, "stop_wait_over", {{"cut", std::to_string(open_requests)}});
		}
		done();
		return;
	}
	this->scheduler.After(IDLE_CHECK_INTERVAL,
						  [this, done = std::move(done)]() mutable { this->WaitForIdle(std::move(done)); });
}

QJsonObject EntryServer::Dump() const
{
	QJsonObject dump = DumpEntry(this->path, this->scheduler.Now());
	const int connections = std::accumulate(this->lanes.begin(), this->lanes.end(), 0,
											[](int sum, const auto &it) { return sum + it->Connections(); });
	dump["connections"] = connections;
	dump["keeper_connected"] = this->keeper.Connected();
	dump["keeper_bytes"] = static_cast<qint64>(this->keeper.Bytes());
	dump["leaving"] = this->leaving;
	dump["slot_messages"] = static_cast<qint64>(this->broker.Counters().messages);
	dump["slots_borrowed"] = static_cast<qint64>(this->broker.Counters().borrowed);
	dump["frame_bytes"] = static_cast<qint64>(this->frame_server.Bytes() + this->peer_connections.Bytes());
	return dump;
}
