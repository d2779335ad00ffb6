/** @file owner_lookup.cpp Requests to the node that owns a shard, over frame connections. */
#include "owner_lookup.h"

#include "../store/owner_record.h"
#include "../store/partition_claim.h"

#include <algorithm>
#include <array>
#include <utility>

namespace {

/** Minimum answer timeout, after which the request is repeated; over a new connection if the node has sent nothing at
 * all since. Two hops take a few ms. */
constexpr Millis ANSWER_TIMEOUT_MIN(250);
constexpr Millis ANSWER_TIMEOUT_MAX(1000); ///< Maximum answer timeout, for a node that answers slowly.
/** Answer timeout as a multiple of the duration of the node's last answer. */
constexpr int64_t ANSWER_TIMEOUT_FACTOR = 2;
/** A node that is recording a request in the log and has sent nothing for this time is probed; its connection is
 * replaced if it doesn't answer within the answer timeout. An append that avoids an unreachable partition completes
 * within 0.4 s. */
constexpr Millis RECORDING_TIMEOUT(600);
constexpr Millis RETRY_DELAY(60);          ///< Delay before a retry when the owner is unknown or doesn't own the shard.
constexpr Millis OWNER_AGE_MAX(3000);      ///< Age from which the record of a known owner is read again.
constexpr Millis OWNER_READ_INTERVAL(100); ///< Minimum interval between two reads of the same owner's record.

/**
 * @param code Result code of an answer.
 * @return Whether this is an answer of the shard's owner; otherwise, another node may own the shard.
 */
bool IsOwnerAnswer(ResultCode code)
{
	constexpr std::array CODES = {ResultCode::RC_OK,
								  ResultCode::RC_UNKNOWN_JOB,
								  ResultCode::RC_OTHER_ACCOUNT,
								  ResultCode::RC_ACCOUNT_BUSY,
								  ResultCode::RC_LOG_UNAVAILABLE,
								  ResultCode::RC_OUTCOME_UNKNOWN,
								  ResultCode::RC_JOB_MEMORY_FULL};
	return std::ranges::find(CODES, code) != CODES.end();
}

} // namespace

OwnerLookup::OwnerLookup(Scheduler &scheduler, KeyedLog &log, EventLog &events)
		: scheduler(scheduler), log(log), events(events)
{
}

void OwnerLookup::Ask(const PartitionId &shard, const std::string &subject, Millis deadline, MakeRequest make,
					  Done done, Millis recording_until)
{
	const uint64_t number = this->numbers.Next();
	PendingRequest request;
	request.shard = shard;
	request.subject = subject;
	request.deadline = deadline;
	request.make = std::move(make);
	request.done = std::move(done);
	request.recording_until = recording_until;
	this->pending.emplace(number, std::move(request));
	this->Attempt(number);
}

void OwnerLookup::Attempt(uint64_t number)
{
	const auto it = this->pending.find(number);
	if (it == this->pending.end()) {
		return;
	}
	const Millis now = this->scheduler.Now();
	if (now >= it->second.deadline) {
		this->events.Write("owner_silent",
						   {{"subject", it->second.subject},
							{"shard", it->second.shard.topic},
							{"asked_node", it->second.asked_node.empty() ? "none" : it->second.asked_node}});
		const bool unanswered = it->second.unanswered || it->second.earlier_unanswered;
		this->Finish(number, unanswered ? ResultCode::RC_OUTCOME_UNKNOWN : ResultCode::RC_PEER_UNAVAILABLE, nullptr);
		return;
	}
	const KnownOwner &owner = this->owners[it->second.shard];
	if (owner.address.empty() || now - owner.read_at > OWNER_AGE_MAX) {
		this->RefreshOwner(it->second.shard);
	}
	if (owner.address.empty()) {
		this->ScheduleRetry(number);
	} else {
		this->SendToOwner(number);
	}
}

void OwnerLookup::ScheduleRetry(uint64_t number)
{
	PendingRequest &it = this->pending.at(number);
	const Millis answer_timeout = it.asked_node.empty() ? RETRY_DELAY : this->AnswerTimeoutOf(it.asked_node);
	const Millis wait = it.recording && !it.probed ? std::max(RECORDING_TIMEOUT, answer_timeout) : answer_timeout;
	this->scheduler.Cancel(it.timer);
	it.timer = this->scheduler.After(std::min(wait, it.deadline - this->scheduler.Now()), [this, number] {
		const auto entry = this->pending.find(number);
		if (entry == this->pending.end()) {
			return;
		}
		const bool past_deadline = this->scheduler.Now() >= entry->second.deadline;
		if (entry->second.recording && !past_deadline) {
			this->CheckRecordingNode(number, entry->second);
			return;
		}
		/* A recording node is not abandoned at the deadline: its connection carries other requests too. */
		if (!entry->second.recording && !entry->second.asked_node.empty()) {
			this->AbandonNode(entry->second, entry->second.attempted_at);
		}
		this->Attempt(number);
	});
}

void OwnerLookup::CheckRecordingNode(uint64_t number, PendingRequest &request)
{
	const bool heard = this->PeerOf(request.asked_node).last_heard_at >= request.wait_started_at;
	if (!heard && request.probed) {
		request.recording = request.probed = false;
		this->AbandonNode(request, request.wait_started_at);
		this->Attempt(number);
		return;
	}
	request.wait_started_at = this->scheduler.Now();
	request.probed = !heard;
	if (request.probed) {
		this->Probe(request.asked_node);
	}
	this->ScheduleRetry(number);
}

void OwnerLookup::Probe(const std::string &address)
{
	/* The record itself is not sent again while the node may be recording it, so that a single answer tells the
	 * outcome. Any answer to the probe shows that the connection works. */
	glade::wire::JobQuestionT out;
	out.number = this->numbers.Next();
	this->PeerOf(address).client->Send(MakeMessage(std::move(out)));
}

void OwnerLookup::AbandonNode(PendingRequest &request, Millis since)
{
	/* Either the node is gone, another node owns the shard by now, or the connection is dead. A connection that is
	 * newer than the wait, or that delivered something since, is kept: other requests wait for answers on it. */
	Peer &peer = this->PeerOf(request.asked_node);
	if (peer.created_at <= since && peer.last_heard_at < since) {
		peer.answer_timeout = std::min(peer.answer_timeout + peer.answer_timeout, ANSWER_TIMEOUT_MAX);
		peer.client.reset();
	}
	request.asked_node.clear();
	request.earlier_unanswered = request.earlier_unanswered || request.unanswered;
	this->RefreshOwner(request.shard);
}

void OwnerLookup::RefreshOwner(const PartitionId &shard)
{
	const Millis now = this->scheduler.Now();
	KnownOwner &owner = this->owners[shard];
	if (owner.reading || now - owner.read_at < OWNER_READ_INTERVAL) {
		return;
	}
	owner.reading = true;
	owner.read_at = now;
	this->ReadOwner(shard, shard);
}

void OwnerLookup::ReadOwner(const PartitionId &shard, const PartitionId &partition)
{
	this->log.Newest(partition, KEY_BEFORE_OWNER,
					 [this, shard, partition, still = std::weak_ptr<bool>(this->alive)](const NewestPage &page) {
						 if (!still.expired()) {
							 this->OnOwnerRead(shard, partition, page);
						 }
					 });
}

void OwnerLookup::OnOwnerRead(const PartitionId &shard, const PartitionId &partition, const NewestPage &page)
{
	if (page.code != ResultCode::RC_OK && partition == shard) {
		/* Each claim also records the owner in the spare partition. */
		this->ReadOwner(shard, SparePartitionOf(shard));
		return;
	}
	KnownOwner &owner = this->owners[shard];
	owner.reading = false;
	if (page.code != ResultCode::RC_OK) {
		/* The last known owner stays in use, as it may still own the shard. */
		this->events.Write("owner_read_failed", {{"shard", shard.topic}, {"code", SymbolOf(page.code)}});
		return;
	}
	const auto it = std::ranges::find(page.records, OWNER_KEY, &KeyedRecord::key);
	const std::optional<StoredOwner> found =
			it == page.records.end() ? std::nullopt : DecodeOwner(it->value.value_or(std::string()));
	owner.address.clear();
	if (found) {
		const bool has_successor = found->released && !found->successor.empty();
		owner.address = has_successor ? found->successor : found->address;
	}
}

bool OwnerLookup::OwnerConnected(const PartitionId &shard)
{
	const KnownOwner &owner = this->owners[shard];
	if (owner.address.empty() || this->scheduler.Now() - owner.read_at > OWNER_AGE_MAX) {
		this->RefreshOwner(shard);
	}
	return !owner.address.empty() && this->PeerOf(owner.address).client->IsConnected();
}

OwnerLookup::Peer &OwnerLookup::PeerOf(const std::string &address)
{
	const auto [it, added] = this->peers.try_emplace(address);
	Peer &peer = it->second;
	if (added) {
		peer.answer_timeout = ANSWER_TIMEOUT_MIN;
	}
	if (!peer.client) {
		const std::optional<NetAddress> to = ParseAddress(address);
		peer.client =
				std::make_unique<FrameClient>(this->scheduler, std::vector<NetAddress>{to.value_or(NetAddress{})});
		peer.created_at = this->scheduler.Now();
		peer.client->on_message = [this, address](const MessageUnion &message) {
			this->peers.at(address).last_heard_at = this->scheduler.Now();
			this->OnFrame(address, message);
		};
		peer.client->on_connected = [this, address] {
			for (auto &[number, pending] : this->pending) {
				if (pending.asked_node == address) {
					this->SendToOwner(number);
				}
			}
		};
		peer.client->Start();
	}
	return peer;
}

Millis OwnerLookup::AnswerTimeoutOf(const std::string &address)
{
	/* An unreachable node gets no longer timeout: it is not slow, and another node may own the shard soon. */
	const Peer &peer = this->PeerOf(address);
	return peer.client->IsConnected() ? peer.answer_timeout : ANSWER_TIMEOUT_MIN;
}

void OwnerLookup::UpdateAnswerTimeout(const PendingRequest &request)
{
	if (request.unanswered && !request.asked_node.empty()) {
		const int64_t took = (this->scheduler.Now() - request.attempted_at).Value();
		this->PeerOf(request.asked_node).answer_timeout =
				std::clamp(Millis(took * ANSWER_TIMEOUT_FACTOR), ANSWER_TIMEOUT_MIN, ANSWER_TIMEOUT_MAX);
	}
}

void OwnerLookup::SendToOwner(uint64_t number)
{
	PendingRequest &it = this->pending.at(number);
	it.asked_node = this->owners.at(it.shard).address;
	FrameClient &client = *this->PeerOf(it.asked_node).client;
	it.attempted_at = this->scheduler.Now();
	if (client.IsConnected()) {
		const MessageUnion message = it.make(number);
		it.answer_type = AnswerTypeOf(message.type);
		it.sent_to.insert(it.asked_node);
		client.Send(message);
		/* An earlier attempt may still be executed, whatever the answer to this one is. */
		it.earlier_unanswered = it.earlier_unanswered || it.unanswered;
		it.unanswered = true;
	}
	this->ScheduleRetry(number);
}

bool OwnerLookup::IsAnswerTo(const PendingRequest &request, const std::string &from, const OwnerAnswer &answer)
{
	if (answer.type != request.answer_type) {
		return false;
	}
	return from == request.asked_node || (IsOwnerAnswer(answer.code) && request.sent_to.contains(from));
}

void OwnerLookup::OnFrame(const std::string &from, const MessageUnion &message)
{
	const std::optional<OwnerAnswer> answer = DecodeOwnerAnswer(message);
	const auto it = answer ? this->pending.find(answer->number) : this->pending.end();
	if (it == this->pending.end()) {
		return; /* Answer to a probe, or a further answer to a request that was sent repeatedly. */
	}
	const ResultCode code = answer->code;
	const uint64_t number = answer->number;
	if (!IsAnswerTo(it->second, from, *answer)) {
		this->events.Write("answer_ignored", {{"subject", it->second.subject},
											  {"node", from},
											  {"asked_node", it->second.asked_node},
											  {"type", glade::wire::EnumNameMessage(answer->type)},
											  {"code", SymbolOf(code)}});
		return;
	}
	this->UpdateAnswerTimeout(it->second);
	if (code == ResultCode::RC_LOG_RECORDING) {
		it->second.recording = true;
		it->second.probed = false;
		it->second.wait_started_at = this->scheduler.Now() + Millis(1); /* This message itself doesn't count. */
		it->second.deadline = std::max(it->second.deadline, it->second.recording_until);
		this->ScheduleRetry(number);
		return;
	}
	if (IsOwnerAnswer(code)) {
		const bool not_taken = code == ResultCode::RC_LOG_UNAVAILABLE || code == ResultCode::RC_JOB_MEMORY_FULL;
		const bool unknown = not_taken && it->second.earlier_unanswered;
		this->Finish(number, unknown ? ResultCode::RC_OUTCOME_UNKNOWN : code, &message);
		return;
	}
	it->second.unanswered = false;
	it->second.asked_node.clear();
	this->RefreshOwner(it->second.shard);
	this->ScheduleRetry(number);
}

void OwnerLookup::Finish(uint64_t number, ResultCode code, const MessageUnion *answer)
{
	const auto node = this->pending.extract(number);
	this->scheduler.Cancel(node.mapped().timer);
	node.mapped().done(code, answer);
}
