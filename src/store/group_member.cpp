/** @file group_member.cpp This node's part in a group. */
#include "group_member.h"

#include <algorithm>
#include <charconv>

namespace {

constexpr int64_t JOINS_PER_SILENCE = 3; ///< Joins within the time after which a silent member is out: two may be lost.
constexpr Millis JOIN_AGAIN(100);    ///< After a join that failed: the time in which a silent member is out runs on.
constexpr int64_t MUCH_STRONGER = 2; ///< A node stands by for one with so many times its processor time.
/** A node stands by for so many stronger ones at least: a single one would have all shards and fall behind.
 */
constexpr size_t STRONG_ENOUGH = 3;
/** Nodes that know of stronger ones take part while fewer hold the partitions. At most half: of strong ones that come
 * back enough are then dealt some, whatever their number. Without the limit fewer than STRONG_ENOUGH of 6 strong
 * members beside 20 weak ones held any of 12 partitions (test). */
constexpr size_t WEAK_PART = 2;
/** Weak nodes that joined in the same moment see each other within this time: three looks, and one call that fails. */
constexpr Millis SETTLE_WITHIN(5000);
/** A node that stands by looks so often whether it is wanted; a look costs a reading call of the store. */
constexpr Millis LOOK_AGAIN(1000);
/** While nobody holds anything, or a few stronger ones do, a node waits for this divided by its cores before it joins:
 * stronger ones come first. */
constexpr int64_t FIRST_JOIN_CORE_MS = 100;
constexpr int64_t THOUSANDTHS = 1000; ///< In a core.
constexpr char CPU_MARK = '/';        ///< Between address and processor time in a member's name.

/** @return Members that hold something and have so much processor time. @param cpu Thousandths of a core. @param rows
 * Who holds what. */
std::set<std::string> MembersWith(int64_t cpu, const std::vector<PartitionHolder> &rows)
{
	std::set<std::string> out;
	for (const PartitionHolder &it : rows) {
		if (ParseMemberName(it.member).cpu >= cpu) {
			out.insert(it.member);
		}
	}
	return out;
}

/** @return Members that may hold partitions before a weak node is one too many. @param parts Partitions. */
size_t WeakMost(size_t parts)
{
	/* Where there are few partitions, so that enough strong ones can still hold one each. */
	const size_t spared = parts > STRONG_ENOUGH ? parts - STRONG_ENOUGH : 1;
	return std::max<size_t>(std::min(parts / WEAK_PART, spared), 1);
}

} // namespace

std::string MemberNameOf(const GroupPeer &peer)
{
	return peer.address + CPU_MARK + std::to_string(peer.cpu);
}

GroupPeer ParseMemberName(const std::string &name)
{
	GroupPeer peer;
	const size_t mark = name.find(CPU_MARK);
	peer.address = name.substr(0, mark);
	if (mark != std::string::npos) {
		std::from_chars(name.data() + mark + 1, name.data() + name.size(), peer.cpu);
	}
	return peer;
}

GroupMember::GroupMember(Scheduler &scheduler, KeyedLog &log, EventLog &events, GroupSpec spec)
		: scheduler(scheduler), log(log), events(events), spec(std::move(spec)), name(MemberNameOf(this->spec.self))
{
}

GroupMember::~GroupMember()
{
	this->scheduler.Cancel(this->timer);
	this->scheduler.Cancel(this->look_timer);
}

void GroupMember::Start()
{
	this->started_at = this->scheduler.Now();
	this->LookAround();
}

void GroupMember::LookAround()
{
	this->log.Holders(this->spec.group, [this, still = std::weak_ptr<bool>(this->alive)](
												ResultCode code, const std::vector<PartitionHolder> &rows) {
		if (!still.expired() && !this->leaving) {
			this->OnHolders(code, rows);
		}
	});
}

bool GroupMember::Needless(const std::vector<PartitionHolder> &rows) const
{
	const std::set<std::string> holders = MembersWith(0, rows);
	const size_t most = WeakMost(this->spec.parts);
	if (!this->joined || this->parts.empty()) {
		return holders.size() >= most && !holders.contains(this->name);
	}
	if (holders.size() <= most || this->scheduler.Now() >= this->settles_until) {
		return false;
	}
	/* Several came at the same moment. All of them see the same rows: the strongest stay, by name among equals. */
	std::vector<std::string> ranked(holders.begin(), holders.end());
	std::ranges::stable_sort(ranked, std::ranges::greater{},
							 [](const std::string &it) { return ParseMemberName(it).cpu; });
	return std::ranges::find(ranked, this->name) >= ranked.begin() + static_cast<ptrdiff_t>(most);
}

void GroupMember::OnHolders(ResultCode code, const std::vector<PartitionHolder> &rows)
{
	const int64_t own = std::max<int64_t>(this->spec.self.cpu, 1);
	const std::set<std::string> stronger = MembersWith(MUCH_STRONGER * own, rows);
	if (!stronger.empty() && !std::exchange(this->weak, true)) {
		this->settles_until = this->scheduler.Now() + SETTLE_WITHIN;
	}
	if (stronger.size() >= STRONG_ENOUGH) {
		this->StandBy("stronger", rows);
		return;
	}
	if (this->weak && code == ResultCode::RC_OK && this->Needless(rows)) {
		this->StandBy("enough", rows);
		return;
	}
	if (this->joined) {
		return;
	}
	if (this->standing_by && code != ResultCode::RC_OK) {
		/* Not known whether the stronger ones are still there; joining would not get through either. */
		this->look_timer = this->scheduler.After(LOOK_AGAIN, [this] { this->LookAround(); });
		return;
	}
	const Millis first(FIRST_JOIN_CORE_MS * THOUSANDTHS / own);
	const Millis waited = this->scheduler.Now() - this->started_at;
	/* Also while some stronger ones are there, but not yet enough: after a loss of power one of them may hold all for a
	 * moment. Members that came too early stayed, since few of 37 nodes hold any of 12 partitions: a queue of 150 boxes
	 * was then owned by nodes with a quarter of the time, and fell behind for 40 s (one day played, twice). */
	if ((rows.empty() || !stronger.empty()) && waited < first) {
		this->look_timer = this->scheduler.After(first - waited, [this] { this->LookAround(); });
		return;
	}
	if (std::exchange(this->standing_by, false)) {
		this->events.Write("group_wanted", {{"group", this->spec.group}, {"holders", std::to_string(rows.size())}});
	}
	this->joined = true;
	this->settles_until = this->scheduler.Now() + SETTLE_WITHIN;
	this->Join();
}

void GroupMember::StandBy(const char *why, const std::vector<PartitionHolder> &rows)
{
	this->look_timer = this->scheduler.After(LOOK_AGAIN, [this] { this->LookAround(); });
	if (std::exchange(this->standing_by, true)) {
		/* A claim that was under way may have got something since, which is to be handed over. */
		this->on_answer();
		return;
	}
	this->events.Write("group_stand_by", {{"group", this->spec.group},
										  {"why", why},
										  {"holders", std::to_string(MembersWith(0, rows).size())},
										  {"own", std::to_string(this->spec.self.cpu)}});
	if (!std::exchange(this->joined, false)) {
		return;
	}
	this->scheduler.Cancel(this->timer);
	this->parts.clear();
	this->held_at = Millis(-this->spec.silence.Value() - 1);
	this->log.Leave(this->spec.group, this->name, [] {
		/* When the log wasn't told, it notices the silence. */
	});
	this->on_answer();
}

void GroupMember::Join()
{
	const Millis sent = this->scheduler.Now();
	this->log.Join(this->spec.group, this->name, this->spec.topic, this->spec.silence, this->generation,
				   [this, sent, still = std::weak_ptr<bool>(this->alive)](const GroupMembership &answer) {
					   if (!still.expired()) {
						   this->OnJoined(answer, sent);
					   }
				   });
}

void GroupMember::OnJoined(const GroupMembership &answer, Millis sent)
{
	if (this->leaving || !this->joined) {
		return;
	}
	const Millis pause(this->spec.silence.Value() / JOINS_PER_SILENCE);
	if (answer.code != ResultCode::RC_OK) {
		if (!std::exchange(this->lost, true)) {
			this->events.Write("group_lost", {{"group", this->spec.group}, {"code", SymbolOf(answer.code)}});
		}
		this->timer = this->scheduler.After(JOIN_AGAIN, [this] { this->Join(); });
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
	this->held_at = this->parts.empty() ? this->held_at : this->scheduler.Now();
	if (changed) {
		std::string list;
		for (const uint32_t part : this->parts) {
			list += (list.empty() ? "" : ",") + std::to_string(part);
		}
		this->events.Write("group_dealt", {{"generation", std::to_string(this->generation)},
										   {"partitions", list.empty() ? "-" : list}});
		/* Who came may be much stronger. */
		this->scheduler.Cancel(this->look_timer);
		this->look_timer = this->scheduler.After(LOOK_AGAIN, [this] { this->LookAround(); });
	}
	this->on_answer();
	/* Saying the new generation lets go of what was dealt to others: they wait for it. */
	this->timer = this->scheduler.After(changed ? Millis(0) : pause, [this] { this->Join(); });
}

void GroupMember::Leave(std::function<void()> done)
{
	this->leaving = true;
	this->parts.clear();
	this->scheduler.Cancel(this->timer);
	this->scheduler.Cancel(this->look_timer);
	this->log.Leave(this->spec.group, this->name, std::move(done));
}
