/** @file owner_lookup.cpp Questions to the node that owns a shard. */
#include "owner_lookup.h"

#include "shard_host.h"

#include <algorithm>

namespace {

constexpr Millis ANSWER_WAIT(250);    ///< A node that has not answered by then is asked again; two hops take a few ms.
constexpr Millis ASK_AGAIN(60);       ///< Pause before another try after "not here".
constexpr Millis HOLDERS_VALID(1500); ///< Holders older than this are asked for again beside a question.
constexpr Millis REFRESH_GAP(100);    ///< Least time between two questions for the holders.

} // namespace

OwnerLookup::OwnerLookup(Scheduler &scheduler, KeyedLog &log, EventLog &events)
		: scheduler(scheduler), log(log), events(events)
{
}

void OwnerLookup::Ask(uint32_t part, const std::string &what, Millis deadline, Make make, Done done)
{
	const uint64_t number = ++this->last_number;
	this->open.emplace(number, Open{part, what, deadline, std::move(make), std::move(done), {}, TimerId()});
	this->Try(number);
}

void OwnerLookup::Try(uint64_t number)
{
	const auto it = this->open.find(number);
	if (it == this->open.end()) {
		return;
	}
	const Millis now = this->scheduler.Now();
	if (now >= it->second.deadline) {
		this->events.Write("owner_silent", {{"what", it->second.what},
											{"part", std::to_string(it->second.part)},
											{"asked", it->second.asked.empty() ? "nobody" : it->second.asked}});
		this->Finish(number, ResultCode::RC_PEER_UNAVAILABLE, nullptr);
		return;
	}
	if (now - this->refreshed_at > HOLDERS_VALID) {
		this->Refresh();
	}
	if (this->holders.contains(it->second.part)) {
		this->Send(number);
	} else {
		this->Refresh();
		this->Again(number);
	}
}

void OwnerLookup::Again(uint64_t number)
{
	Open &it = this->open.at(number);
	const Millis wait = it.asked.empty() ? ASK_AGAIN : ANSWER_WAIT;
	this->scheduler.Cancel(it.timer);
	it.timer = this->scheduler.After(std::min(wait, it.deadline - this->scheduler.Now()), [this, number] {
		const auto late = this->open.find(number);
		if (late != this->open.end() && !late->second.asked.empty()) {
			/* The node is gone or another owns the shard by now. */
			this->clients.erase(late->second.asked);
			late->second.asked.clear();
			this->Refresh();
		}
		this->Try(number);
	});
}

void OwnerLookup::Refresh()
{
	const Millis now = this->scheduler.Now();
	if (this->refreshing || now - this->refreshed_at < REFRESH_GAP) {
		return;
	}
	this->refreshing = true;
	this->refreshed_at = now;
	this->log.Holders(NODE_GROUP, [this, still = std::weak_ptr<bool>(this->alive)](
										  ResultCode code, const std::vector<PartitionHolder> &rows) {
		if (still.expired()) {
			return;
		}
		this->refreshing = false;
		if (code != ResultCode::RC_OK) {
			/* The holders known before are still the best guess. */
			this->events.Write("holders_unknown", {{"code", SymbolOf(code)}});
			return;
		}
		this->holders.clear();
		for (const PartitionHolder &row : rows) {
			this->holders[row.partition.part] = PeerOf(row.member).address;
		}
	});
}

FrameClient &OwnerLookup::ClientOf(const std::string &address)
{
	auto &client = this->clients[address];
	if (!client) {
		const std::optional<NetAddress> to = ParseAddress(address);
		client = std::make_unique<FrameClient>(this->scheduler, std::vector<NetAddress>{to.value_or(NetAddress{})});
		client->on_message = [this](const MessageUnion &message) { this->OnFrame(message); };
		client->on_up = [this, address] {
			for (auto &[number, it] : this->open) {
				if (it.asked == address) {
					this->Send(number);
				}
			}
		};
		client->Start();
	}
	return *client;
}

void OwnerLookup::Send(uint64_t number)
{
	Open &it = this->open.at(number);
	it.asked = this->holders.contains(it.part) ? this->holders.at(it.part) : it.asked;
	FrameClient &client = this->ClientOf(it.asked);
	if (client.Up()) {
		client.Send(it.make(number));
	}
	this->Again(number);
}

void OwnerLookup::OnFrame(const MessageUnion &message)
{
	uint64_t number = 0;
	auto code = ResultCode::RC_PEER_UNAVAILABLE;
	if (const auto *job = message.AsJobAnswer(); job != nullptr) {
		number = job->number;
		code = static_cast<ResultCode>(job->code);
	} else if (const auto *pool = message.AsPoolAnswer(); pool != nullptr) {
		number = pool->number;
		code = static_cast<ResultCode>(pool->code);
	}
	const auto it = this->open.find(number);
	if (it == this->open.end()) {
		return; /* Answered before, by a repeated question. */
	}
	if (code == ResultCode::RC_OK || code == ResultCode::RC_UNKNOWN_JOB) {
		this->Finish(number, code, &message);
		return;
	}
	it->second.asked.clear();
	this->Refresh();
	this->Again(number);
}

void OwnerLookup::Finish(uint64_t number, ResultCode code, const MessageUnion *answer)
{
	const auto node = this->open.extract(number);
	this->scheduler.Cancel(node.mapped().timer);
	node.mapped().done(code, answer);
}
