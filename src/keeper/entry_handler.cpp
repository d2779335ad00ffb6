/** @file entry_handler.cpp Handles the entries of the keeper's zone. */
#include "entry_handler.h"

#include "view_func.h"

#include <algorithm>
#include <utility>

using namespace glade::wire;

bool EntryHandler::IsMember(const MemberName &name, Incarnation incarnation) const
{
	const auto it = this->core.State().members.find(name);
	return it != this->core.State().members.end() && it->second.incarnation == incarnation;
}

void EntryHandler::OnHello(EntryChannel &channel, const EntryHelloT &hello)
{
	Session &session = this->sessions[&channel];
	session.name = MemberName(hello.member);
	session.incarnation = Incarnation(hello.incarnation);
	session.heard = this->core.scheduler.Now();
	session.drained.clear();
	for (size_t i = 0; i < std::min(hello.drained_boxes.size(), hello.drained_permits.size()); i++) {
		session.drained[BoxName(hello.drained_boxes[i])] = PermitId(hello.drained_permits[i]);
	}
	LastContact &contact = this->heard[session.name];
	if (contact.incarnation != session.incarnation) {
		contact = LastContact{session.incarnation, Millis(), false};
	}
	contact.at = this->core.scheduler.Now();
	if (!this->core.tail.CaughtUp() && this->core.State().offset == LogOffset()) {
		return;
	}
	const bool member = this->IsMember(session.name, session.incarnation);
	if (hello.leaving) {
		if (member) {
			this->ProposeLeave(this->core.State().members.at(session.name), session.name);
		}
		return;
	}
	if (!member || this->HasReportedSilent(session.name)) {
		this->ProposeJoin(hello);
		return;
	}
	/* Only members get a view. A drain doesn't wait for other entries, so a view built without the entry's join could
	 * show a box as open that is being drained. */
	if (hello.view_version != this->version || hello.view_hash != this->view.hash) {
		if (hello.view_version != session.sent.version) {
			session.sent = ViewT();
		}
		this->SendView(channel, session);
	}
	this->GrantLease(channel, hello);
}

bool EntryHandler::HasReportedSilent(const MemberName &name) const
{
	/* A member that this keeper has reported, decided or not, gets no lease until it has joined again. */
	const auto it = this->core.State().members.find(name);
	return this->pending_leaves.contains(name) ||
		   (it != this->core.State().members.end() && it->second.witnesses.contains(this->core.self.name.Value()));
}

std::vector<std::string> EntryHandler::RecentlyHeardEntries() const
{
	std::vector<std::string> names;
	const Millis heard_since = this->core.scheduler.Now() - this->core.times.lease;
	for (const auto &[channel, session] : this->sessions) {
		if (session.heard >= heard_since) {
			names.push_back(session.name.Value());
		}
	}
	return names;
}

void EntryHandler::OnDown(EntryChannel &channel)
{
	this->sessions.erase(&channel);
}

void EntryHandler::ProposeJoin(const EntryHelloT &hello)
{
	LastContact &it = this->heard[MemberName(hello.member)];
	if (it.proposal_pending) {
		return;
	}
	it.proposal_pending = true;
	MemberJoinT join;
	join.member = hello.member;
	join.incarnation = hello.incarnation;
	join.role = static_cast<uint8_t>(MemberRole::MR_ENTRY);
	join.region = hello.region;
	join.zone = hello.zone;
	join.address = hello.address;
	join.frames = hello.frames;
	join.rules = RULE_VERSION_NEWEST;
	this->core.writer.Submit(
			MakeProposal(std::move(join)), WritePriority::WP_CONFIG,
			[this, name = MemberName(hello.member)](const Decision &) { this->heard[name].proposal_pending = false; });
}

void EntryHandler::ProposeLeave(const Member &member, const MemberName &witness)
{
	LastContact &it = this->heard[member.name];
	if (it.proposal_pending) {
		return;
	}
	it.proposal_pending = true;
	MemberLeaveT leave;
	leave.member = member.name.Value();
	leave.incarnation = member.incarnation.Value();
	leave.witness = witness.Value();
	this->core.writer.Submit(MakeProposal(std::move(leave)), WritePriority::WP_CONFIG,
							 [this, name = member.name](const Decision &) {
								 this->heard[name].proposal_pending = false;
								 this->pending_leaves.erase(name); /* From now on the witnesses in the state show it. */
							 });
}

void EntryHandler::GrantLease(EntryChannel &channel, const EntryHelloT &hello)
{
	if (hello.view_version != this->version || hello.view_hash != this->view.hash) {
		return;
	}
	if (!this->MayGrantLeases()) {
		this->core.counters.leases_refused++;
		return;
	}
	this->core.counters.leases++;
	LeaseGrantT grant;
	grant.hello_number = hello.number;
	grant.lease_ms = static_cast<uint32_t>(this->core.times.lease.Value());
	grant.view_version = this->version;
	grant.offset = this->core.State().offset.Value();
	MessageUnion message;
	message.Set(grant);
	channel.Send(message);
}

void EntryHandler::SendView(EntryChannel &channel, Session &session)
{
	MessageUnion message;
	if (session.sent.version == 0) {
		message.Set(CopyView(this->view));
	} else {
		message.Set(DiffView(session.sent, this->view));
	}
	session.sent = CopyView(this->view);
	this->core.counters.views++;
	channel.Send(message);
}

void EntryHandler::Refresh()
{
	ViewT next = BuildView(this->core.State(), this->core.self.zone, this->core.list);
	if (this->version != 0 && next.hash == this->view.hash && next.zone_changes == this->view.zone_changes) {
		return;
	}
	next.version = ++this->version;
	this->view = std::move(next);
	for (auto &[channel, session] : this->sessions) {
		if (this->IsMember(session.name, session.incarnation)) {
			this->SendView(*channel, session);
		}
	}
}

void EntryHandler::OnKeeperBeat(const KeeperBeatT &beat)
{
	const Millis now = this->core.scheduler.Now();
	this->keepers[MemberName(beat.member)] = PeerKeeperStatus{now, LogOffset(beat.offset), Millis(beat.log_age_ms)};
	this->heard[MemberName(beat.member)].at = now;
	for (const std::string &name : beat.heard) {
		this->heard[MemberName(name)].at = now;
	}
}

bool EntryHandler::MayGrantLeases() const
{
	const Millis now = this->core.scheduler.Now();
	if (this->core.tail.LastAnswer() + this->core.times.fresh > now) {
		return true;
	}
	return std::ranges::all_of(this->core.State().members, [&](const auto &it) {
		const Member &member = it.second;
		if (member.role != MemberRole::MR_KEEPER || member.zone != this->core.self.zone ||
			member.name == this->core.self.name) {
			return true;
		}
		const auto peer = this->keepers.find(member.name);
		return peer != this->keepers.end() && peer->second.heard + this->core.times.fresh > now &&
			   peer->second.offset <= this->core.State().offset && peer->second.log_age > this->core.times.fresh;
	});
}

void EntryHandler::ReportSilentMembers()
{
	const Millis now = this->core.scheduler.Now();
	const Millis silent_since = now - this->core.times.lapse;
	std::vector<Member> silent;
	for (const auto &[name, member] : this->core.State().members) {
		if (member.zone != this->core.self.zone || name == this->core.self.name) {
			continue;
		}
		/* A keeper that has just started has received no messages yet: the silence counts from its start. */
		const auto it = this->heard.find(name);
		const Millis last = it == this->heard.end() ? this->started : std::max(it->second.at, this->started);
		const bool witnessed = member.witnesses.contains(this->core.self.name.Value());
		if (last < silent_since && !witnessed) {
			silent.push_back(member);
		}
	}
	for (const Member &member : silent) {
		this->pending_leaves.insert(member.name);
		this->ProposeLeave(member, this->core.self.name);
	}
}

std::map<BoxName, std::vector<MemberName>> EntryHandler::DrainConfirmations() const
{
	std::map<BoxName, std::vector<MemberName>> drained;
	for (const auto &[channel, session] : this->sessions) {
		for (const auto &[box, permit] : session.drained) {
			const auto it = this->core.State().boxes.find(box);
			if (it != this->core.State().boxes.end() && it->second.permit == permit) {
				drained[box].push_back(session.name);
			}
		}
	}
	return drained;
}
