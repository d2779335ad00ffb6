/** @file owner_lookup.cpp Requests to the node that owns a shard, over frame connections. */
#include "owner_lookup.h"

#include "../store/owner_record.h"
#include "../store/partition_claim.h"

#include <algorithm>
#include <array>
#include <utility>

namespace {

/** Minimum answer timeout, after which the request is repeated, over a new connection if the node sent nothing at all.
 * Two hops take a few ms. */
constexpr Millis ANSWER_WAIT(250);
constexpr Millis ANSWER_WAIT_MOST(1000); ///< Maximum answer timeout, for a node that answers slowly.
constexpr int64_t PATIENCE_A_ANSWER = 2; ///< Answer timeout as a multiple of the duration of the node's last answer.
/** A recording node that has sent nothing for this time is probed; its connection is replaced if it doesn't answer
 * within ANSWER_TIMEOUT_MIN. An append that avoids an unreachable partition completes within 0.4 s. */
constexpr Millis RECORDING_WAIT(600);
constexpr Millis ASK_AGAIN(60);     ///< Delay before a retry when the owner is unknown or doesn't own the shard.
constexpr Millis OWNER_VALID(3000); ///< Age from which a known owner is read again from the log while requests go on.
constexpr Millis REFRESH_GAP(100);  ///< Minimum interval between two reads of the same owner's record.

/**
 * @param code Result code of an answer.
 * @return Whether this is an answer of the shard's owner; otherwise, another node may own the shard.
 */
bool Decides(ResultCode code)
{
	constexpr std::array CODES = {
			ResultCode::RC_OK,           ResultCode::RC_UNKNOWN_JOB,     ResultCode::RC_OTHER_ACCOUNT,
			ResultCode::RC_ACCOUNT_BUSY, ResultCode::RC_LOG_UNAVAILABLE, ResultCode::RC_OUTCOME_UNKNOWN};
	return std::ranges::find(CODES, code) != CODES.end();
}

} // namespace

OwnerLookup::OwnerLookup(Scheduler &scheduler, KeyedLog &log, EventLog &events)
		: scheduler(scheduler), log(log), events(events)
{
}

void OwnerLookup::Ask(const PartitionId &shard, const std::string &what, Millis deadline, Make make, Done done,
					  Millis recording_until)
{
	const uint64_t number = ++this->last_number;
	Open question;
	question.shard = shard;
	question.what = what;
	question.deadline = deadline;
	question.make = std::move(make);
	question.done = std::move(done);
	question.recording_until = recording_until;
	this->open.emplace(number, std::move(question));
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
											{"shard", it->second.shard.topic},
											{"asked", it->second.asked.empty() ? "nobody" : it->second.asked}});
		const bool sent = it->second.sent || it->second.lost;
		this->Finish(number, sent ? ResultCode::RC_OUTCOME_UNKNOWN : ResultCode::RC_PEER_UNAVAILABLE, nullptr);
		return;
	}
	const KnownOwner &owner = this->owners[it->second.shard];
	if (owner.address.empty() || now - owner.asked_at > OWNER_VALID) {
		this->Refresh(it->second.shard);
	}
	if (owner.address.empty()) {
		this->Again(number);
	} else {
		this->Send(number);
	}
}

void OwnerLookup::Again(uint64_t number)
{
	Open &it = this->open.at(number);
	const Millis patience = it.asked.empty() ? ASK_AGAIN : this->PatienceWith(it.asked);
	const Millis wait = it.recording && !it.probed ? std::max(RECORDING_WAIT, patience) : patience;
	this->scheduler.Cancel(it.timer);
	it.timer = this->scheduler.After(std::min(wait, it.deadline - this->scheduler.Now()), [this, number] {
		const auto late = this->open.find(number);
		if (late == this->open.end()) {
			return;
		}
		const bool over = this->scheduler.Now() >= late->second.deadline;
		if (late->second.recording && !over) {
			this->CheckNode(number, late->second);
			return;
		}
		/* A recording node is kept even if it takes long: its connection carries other requests too. */
		if (!late->second.recording && !late->second.asked.empty()) {
			this->GiveUpNode(late->second, late->second.sent_at);
		}
		this->Try(number);
	});
}

void OwnerLookup::CheckNode(uint64_t number, Open &question)
{
	const bool heard = this->PeerOf(question.asked).heard_at >= question.checked_at;
	if (!heard && question.probed) {
		question.recording = question.probed = false;
		this->GiveUpNode(question, question.checked_at);
		this->Try(number);
		return;
	}
	question.checked_at = this->scheduler.Now();
	question.probed = !heard;
	if (question.probed) {
		this->Probe(question.asked);
	}
	this->Again(number);
}

void OwnerLookup::Probe(const std::string &address)
{
	/* The record itself is not sent again while the node may be recording it, so that a single answer tells the
	 * outcome. Any answer to the probe shows that the connection works. */
	glade::wire::JobQuestionT out;
	out.number = ++this->last_number;
	this->PeerOf(address).client->Send(MakeMessage(std::move(out)));
}

void OwnerLookup::GiveUpNode(Open &question, Millis since)
{
	/* Either the node is gone, another node owns the shard by now, or the connection is dead. A connection that is
	 * newer than the wait, or that delivered something since, is kept: other requests wait for answers on it. */
	Peer &peer = this->PeerOf(question.asked);
	if (peer.made_at <= since && peer.heard_at < since) {
		peer.patience = std::min(peer.patience + peer.patience, ANSWER_WAIT_MOST);
		peer.client.reset();
	}
	question.asked.clear();
	question.lost = question.lost || question.sent;
	this->Refresh(question.shard);
}

void OwnerLookup::Refresh(const PartitionId &shard)
{
	const Millis now = this->scheduler.Now();
	KnownOwner &owner = this->owners[shard];
	if (owner.asking || now - owner.asked_at < REFRESH_GAP) {
		return;
	}
	owner.asking = true;
	owner.asked_at = now;
	this->ReadOwner(shard, shard);
}

void OwnerLookup::ReadOwner(const PartitionId &shard, const PartitionId &from)
{
	this->log.Newest(from, KEY_BEFORE_OWNER,
					 [this, shard, from, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (!still.expired()) {
							 this->OnOwner(shard, from, page);
						 }
					 });
}

void OwnerLookup::OnOwner(const PartitionId &shard, const PartitionId &from, const NewestPage &page)
{
	if (page.code != ResultCode::RC_OK && from == shard) {
		/* Each claim also records the owner in the spare partition. */
		this->ReadOwner(shard, SparePartitionOf(shard));
		return;
	}
	KnownOwner &owner = this->owners[shard];
	owner.asking = false;
	if (page.code != ResultCode::RC_OK) {
		/* The last known owner remains the best guess. */
		this->events.Write("owner_unknown", {{"shard", shard.topic}, {"code", SymbolOf(page.code)}});
		return;
	}
	const auto it = std::ranges::find(page.records, OWNER_KEY, &KeyedRecord::key);
	const std::optional<StoredOwner> found =
			it == page.records.end() ? std::nullopt : DecodeOwner(it->value.value_or(std::string()));
	owner.address = found ? found->address : std::string();
}

bool OwnerLookup::Ready(const PartitionId &shard)
{
	const KnownOwner &owner = this->owners[shard];
	if (owner.address.empty() || this->scheduler.Now() - owner.asked_at > OWNER_VALID) {
		this->Refresh(shard);
	}
	return !owner.address.empty() && this->PeerOf(owner.address).client->Up();
}

OwnerLookup::Peer &OwnerLookup::PeerOf(const std::string &address)
{
	const auto [it, added] = this->peers.try_emplace(address);
	Peer &peer = it->second;
	if (added) {
		peer.patience = ANSWER_WAIT;
	}
	if (!peer.client) {
		const std::optional<NetAddress> to = ParseAddress(address);
		peer.client =
				std::make_unique<FrameClient>(this->scheduler, std::vector<NetAddress>{to.value_or(NetAddress{})});
		peer.made_at = this->scheduler.Now();
		peer.client->on_message = [this, address](const MessageUnion &message) {
			this->peers.at(address).heard_at = this->scheduler.Now();
			this->OnFrame(message);
		};
		peer.client->on_up = [this, address] {
			for (auto &[number, open] : this->open) {
				if (open.asked == address) {
					this->Send(number);
				}
			}
		};
		peer.client->Start();
	}
	return peer;
}

Millis OwnerLookup::PatienceWith(const std::string &address)
{
	/* An unreachable node gets no longer timeout: it is not slow, and another node may own the shard soon. */
	const Peer &peer = this->PeerOf(address);
	return peer.client->Up() ? peer.patience : ANSWER_WAIT;
}

void OwnerLookup::NoteAnswer(const Open &question)
{
	if (question.sent && !question.asked.empty()) {
		const int64_t took = (this->scheduler.Now() - question.sent_at).Value();
		this->PeerOf(question.asked).patience =
				std::clamp(Millis(took * PATIENCE_A_ANSWER), ANSWER_WAIT, ANSWER_WAIT_MOST);
	}
}

void OwnerLookup::Send(uint64_t number)
{
	Open &it = this->open.at(number);
	it.asked = this->owners.at(it.shard).address;
	FrameClient &client = *this->PeerOf(it.asked).client;
	it.sent_at = this->scheduler.Now();
	if (client.Up()) {
		client.Send(it.make(number));
		/* The previous request may still be executed, whatever the answer to this one is. */
		it.lost = it.lost || it.sent;
		it.sent = true;
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
	} else if (const auto *record = message.AsRecordAnswer(); record != nullptr) {
		number = record->number;
		code = static_cast<ResultCode>(record->code);
	}
	const auto it = this->open.find(number);
	if (it == this->open.end()) {
		return; /* An earlier answer to a repeated request has completed it. */
	}
	this->NoteAnswer(it->second);
	if (code == ResultCode::RC_LOG_RECORDING) {
		it->second.recording = true;
		it->second.probed = false;
		it->second.checked_at = this->scheduler.Now() + Millis(1); /* Later than this answer, so that only a further
																	* message counts. */
		it->second.deadline = std::max(it->second.deadline, it->second.recording_until);
		this->Again(number);
		return;
	}
	if (Decides(code)) {
		const bool unknown = code == ResultCode::RC_LOG_UNAVAILABLE && it->second.lost;
		this->Finish(number, unknown ? ResultCode::RC_OUTCOME_UNKNOWN : code, &message);
		return;
	}
	it->second.sent = false;
	it->second.asked.clear();
	this->Refresh(it->second.shard);
	this->Again(number);
}

void OwnerLookup::Finish(uint64_t number, ResultCode code, const MessageUnion *answer)
{
	const auto node = this->open.extract(number);
	this->scheduler.Cancel(node.mapped().timer);
	node.mapped().done(code, answer);
}
