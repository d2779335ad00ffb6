/** @file keeper_client.cpp The entry's side of its keeper. */
#include "keeper_client.h"

#include "../program/logging.h"

using namespace glade::wire;

namespace {

constexpr Millis HELLO_TICK(500);      ///< Time between two hellos.
constexpr Millis KEEPER_SILENCE(3000); ///< A keeper silent for so long is given up for the next.
constexpr size_t HELLOS_KEPT = 16;     ///< Hellos whose time of sending is remembered.

} // namespace

KeeperClient::KeeperClient(Scheduler &scheduler, RequestPath &path, std::vector<NetAddress> keepers, EntryCard card)
		: scheduler(scheduler), path(path), card(std::move(card)), client(scheduler, std::move(keepers)),
		  heard(scheduler.Now())
{
	this->client.on_message = [this](const MessageUnion &message) { this->OnMessage(message); };
	this->client.on_connected = [this] {
		this->heard = this->scheduler.Now();
		this->sent_at.clear();
		LogEvent(LogLevel::LL_INFO, "keeper_connected", {});
		this->SayHello();
	};
	this->client.on_disconnected = [this] { this->sent_at.clear(); };
}

void KeeperClient::Start()
{
	this->client.Start();
	this->Tick();
}

void KeeperClient::SayLeaving()
{
	this->leaving = true;
	this->SayHello();
}

void KeeperClient::Tick()
{
	if (this->client.IsConnected() && this->heard + KEEPER_SILENCE < this->scheduler.Now()) {
		LogEvent(LogLevel::LL_WARNING, "keeper_silent", {});
		this->heard = this->scheduler.Now();
		this->client.TryNext();
	} else {
		this->SayHello();
	}
	this->scheduler.After(HELLO_TICK, [this] { this->Tick(); });
}

void KeeperClient::SayHello()
{
	if (!this->client.IsConnected()) {
		return;
	}
	EntryHelloT hello;
	hello.member = this->card.name.Value();
	hello.incarnation = this->card.incarnation.Value();
	hello.region = this->card.region.Value();
	hello.zone = this->card.zone.Value();
	hello.address = this->card.address;
	hello.frames = this->card.frames;
	std::tie(hello.view_version, hello.view_hash) = this->path.routes.Version();
	hello.number = ++this->number;
	hello.leaving = this->leaving;
	for (const auto &[pool, gate] : this->path.routes.Gates()) {
		for (const GateEndpoint &it : gate->Drained()) {
			hello.drained_boxes.push_back(it.box.Value());
			hello.drained_permits.push_back(it.permit.Value());
		}
	}
	this->sent_at[this->number] = this->scheduler.Now();
	while (this->sent_at.size() > HELLOS_KEPT) {
		this->sent_at.erase(this->sent_at.begin());
	}
	this->client.Send(MakeMessage(std::move(hello)));
}

void KeeperClient::OnMessage(const MessageUnion &message)
{
	this->heard = this->scheduler.Now();
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
	/* Say at once what is in force: the lease and drains depend on it. */
	this->SayHello();
}

void KeeperClient::OnLease(const LeaseGrantT &grant)
{
	const auto it = this->sent_at.find(grant.hello_number);
	if (it == this->sent_at.end() || grant.view_version != this->path.routes.Version().first) {
		return;
	}
	this->path.routes.ExtendLease(it->second + Millis(grant.lease_ms));
	this->path.routes.AdvanceOffset(LogOffset(grant.offset));
}
