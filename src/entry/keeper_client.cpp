/** @file keeper_client.cpp Connection of an entry to its keeper. */
#include "keeper_client.h"

#include "../program/logging.h"

using namespace glade::wire;

namespace {

constexpr Millis HELLO_INTERVAL(500);     ///< Interval between hellos.
constexpr Millis KEEPER_TIMEOUT(3000);    ///< The client switches to the next keeper after this time without a message.
constexpr size_t MAX_TRACKED_HELLOS = 16; ///< Maximum number of hellos whose send times are kept.

} // namespace

KeeperClient::KeeperClient(Scheduler &scheduler, RequestPath &path, std::vector<NetAddress> keepers,
						   EntryDescription description)
		: scheduler(scheduler), path(path), description(std::move(description)), client(scheduler, std::move(keepers)),
		  last_message_at(scheduler.Now())
{
	this->client.on_message = [this](const MessageUnion &message) { this->OnMessage(message); };
	this->client.on_connected = [this] {
		this->last_message_at = this->scheduler.Now();
		this->hello_sent_at.clear();
		LogEvent(LogLevel::LL_INFO, "keeper_connected", {});
		this->SendHello();
	};
	this->client.on_disconnected = [this] { this->hello_sent_at.clear(); };
}

void KeeperClient::Start()
{
	this->client.Start();
	this->Tick();
}

void KeeperClient::AnnounceLeaving()
{
	this->leaving = true;
	this->SendHello();
}

void KeeperClient::Tick()
{
	if (this->client.IsConnected() && this->last_message_at + KEEPER_TIMEOUT < this->scheduler.Now()) {
		LogEvent(LogLevel::LL_WARNING, "keeper_silent", {});
		this->last_message_at = this->scheduler.Now();
		this->client.TryNext();
	} else {
		this->SendHello();
	}
	this->scheduler.After(HELLO_INTERVAL, [this] { this->Tick(); });
}

void KeeperClient::SendHello()
{
	if (!this->client.IsConnected()) {
		return;
	}
	EntryHelloT hello;
	hello.member = this->description.name.Value();
	hello.incarnation = this->description.incarnation.Value();
	hello.region = this->description.region.Value();
	hello.zone = this->description.zone.Value();
	hello.address = this->description.address;
	hello.frames = this->description.frames;
	std::tie(hello.view_version, hello.view_hash) = this->path.routes.Version();
	hello.number = ++this->last_hello;
	hello.leaving = this->leaving;
	for (const auto &[pool, gate] : this->path.routes.Gates()) {
		for (const GateEndpoint &it : gate->Drained()) {
			hello.drained_boxes.push_back(it.box.Value());
			hello.drained_permits.push_back(it.permit.Value());
		}
	}
	this->hello_sent_at[this->last_hello] = this->scheduler.Now();
	while (this->hello_sent_at.size() > MAX_TRACKED_HELLOS) {
		this->hello_sent_at.erase(this->hello_sent_at.begin());
	}
	this->client.Send(MakeMessage(std::move(hello)));
}

void KeeperClient::OnMessage(const MessageUnion &message)
{
	this->last_message_at = this->scheduler.Now();
	if (const auto *view = message.AsView(); view != nullptr) {
		this->OnView(*view);
	} else if (const auto *grant = message.AsLeaseGrant(); grant != nullptr) {
		this->OnLease(*grant);
	}
}

void KeeperClient::OnView(const ViewT &view)
{
	const bool first = !this->path.routes.HasView();
	const ResultCode code = this->path.routes.Apply(view, this->scheduler.Now());
	if (code != ResultCode::RC_OK) {
		LogEvent(LogLevel::LL_WARNING, "view_mismatch", {{"version", std::to_string(view.version)}});
	} else if (first) {
		LogEvent(LogLevel::LL_INFO, "first_view", {{"offset", std::to_string(view.offset)}});
	}
	/* Report the view in force without delay: leases and drains depend on it. */
	this->SendHello();
}

void KeeperClient::OnLease(const LeaseGrantT &grant)
{
	const auto it = this->hello_sent_at.find(grant.hello_number);
	if (it == this->hello_sent_at.end() || grant.view_version != this->path.routes.Version().first) {
		return;
	}
	this->path.routes.ExtendLease(it->second + Millis(grant.lease_ms));
	this->path.routes.AdvanceOffset(LogOffset(grant.offset));
}
