/** @file group_member.cpp This node's part in a group. */
#include "group_member.h"

namespace {

constexpr int64_t JOINS_PER_SILENCE = 3; ///< Joins within the time after which a silent member is out: two may be lost.

} // namespace

GroupMember::GroupMember(Scheduler &scheduler, KeyedLog &log, EventLog &events, GroupSpec spec)
		: scheduler(scheduler), log(log), events(events), spec(std::move(spec))
{
}

GroupMember::~GroupMember()
{
	this->scheduler.Cancel(this->timer);
}

void GroupMember::Start()
{
	this->Join();
}

void GroupMember::Join()
{
	const Millis sent = this->scheduler.Now();
	this->log.Join(this->spec.group, this->spec.member, this->spec.topic, this->spec.silence, this->generation,
				   [this, sent, still = std::weak_ptr<bool>(this->alive)](const GroupMembership &answer) {
					   if (!still.expired()) {
						   this->OnJoined(answer, sent);
					   }
				   });
}

void GroupMember::OnJoined(const GroupMembership &answer, Millis sent)
{
	if (this->leaving) {
		return;
	}
	const Millis pause(this->spec.silence.Value() / JOINS_PER_SILENCE);
	if (answer.code != ResultCode::RC_OK) {
		if (!std::exchange(this->lost, true)) {
			this->events.Write("group_lost", {{"group", this->spec.group}, {"code", SymbolOf(answer.code)}});
		}
		this->timer = this->scheduler.After(pause, [this] { this->Join(); });
		return;
	}
	if (std::exchange(this->lost, false)) {
		this->events.Write("group_regained", {{"group", this->spec.group}});
	}
	std::set<uint32_t> now;
	for (const PartitionId &partition : answer.partitions) {
		now.insert(partition.part);
	}
	const bool changed = now != this->parts || answer.generation != this->generation;
	this->confirmed_at = sent;
	this->generation = answer.generation;
	this->parts = std::move(now);
	if (changed) {
		std::string list;
		for (const uint32_t part : this->parts) {
			list += (list.empty() ? "" : ",") + std::to_string(part);
		}
		this->events.Write("group_dealt", {{"generation", std::to_string(this->generation)},
										   {"partitions", list.empty() ? "-" : list}});
	}
	if (this->on_answer) {
		this->on_answer();
	}
	/* Saying the new generation lets go of what was dealt to others: they wait for it. */
	this->timer = this->scheduler.After(changed ? Millis(0) : pause, [this] { this->Join(); });
}

void GroupMember::Leave(std::function<void()> done)
{
	this->leaving = true;
	this->parts.clear();
	this->scheduler.Cancel(this->timer);
	this->log.Leave(this->spec.group, this->spec.member, std::move(done));
}
