/** @file group_member.cpp Membership of this node in a group. */
#include "group_member.h"

#include <algorithm>
#include <charconv>

namespace {

constexpr int64_t JOINS_PER_TIMEOUT = 3; ///< Joins sent within one member timeout: two of them may be lost.
constexpr Millis JOIN_RETRY_DELAY(100);  ///< Delay after a failed join; short, as the member timeout keeps running.
constexpr int64_t STRONGER_RATIO = 2;    ///< A node with this many times the processor time counts as stronger.
/** A node goes on standby when at least this many stronger ones hold partitions: a single one would own all shards and
 * couldn't keep up. */
constexpr size_t MIN_STRONGER_HOLDERS = 3;
/** Nodes that have seen stronger ones join only while fewer members hold partitions than there are partitions divided
 * by this. With half of the partitions left, enough returning strong nodes are assigned some, whatever their number.
 * Without the limit, fewer than MIN_STRONGER_HOLDERS of 6 strong members beside 20 weak ones held any of 12 partitions.
 */
constexpr size_t WEAK_HOLDER_DIVISOR = 2;
/** After it has joined, or has first seen stronger nodes, a weak node that holds partitions goes on standby as surplus
 * only within this time. Nodes that joined at the same moment see each other by then: it allows for three checks and
 * one failed call. */
constexpr Millis SURPLUS_CHECK_TIME(5000);
/** Interval at which a node on standby checks whether it is needed; each check costs one read call to the store. */
constexpr Millis CHECK_INTERVAL(1000);
/** While no member or too few stronger members hold partitions, a node waits for this time divided by its cores before
 * it joins, so that stronger nodes join first. */
constexpr int64_t JOIN_DELAY_CORE_MS = 100;
constexpr int64_t MILLICORES_PER_CORE = 1000; ///< Thousandths in a core.
constexpr char CPU_SEPARATOR = '/';           ///< Separates address and processor time in a member name.

/** @return Names of the members that hold a partition and have enough processor time. @param cpu Least processor time,
 * in thousandths of a core. @param rows Holders of the partitions. */
std::set<std::string> HoldersWithCpu(int64_t cpu, const std::vector<PartitionHolder> &rows)
{
	std::set<std::string> out;
	for (const PartitionHolder &it : rows) {
		if (ParseMemberName(it.member).cpu >= cpu) {
			out.insert(it.member);
		}
	}
	return out;
}

/** @return Number of members that hold partitions from which on a further weak node isn't needed. @param parts Number
 * of partitions. */
size_t MaxWeakHolders(size_t parts)
{
	/* With few partitions, leave MIN_STRONGER_HOLDERS of them to strong nodes. */
	const size_t reserved = parts > MIN_STRONGER_HOLDERS ? parts - MIN_STRONGER_HOLDERS : 1;
	return std::max<size_t>(std::min(parts / WEAK_HOLDER_DIVISOR, reserved), 1);
}

} // namespace

std::string MemberNameOf(const GroupPeer &peer)
{
	return peer.address + CPU_SEPARATOR + std::to_string(peer.cpu);
}

GroupPeer ParseMemberName(const std::string &name)
{
	GroupPeer peer;
	const size_t separator = name.find(CPU_SEPARATOR);
	peer.address = name.substr(0, separator);
	if (separator != std::string::npos) {
		std::from_chars(name.data() + separator + 1, name.data() + name.size(), peer.cpu);
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
	this->scheduler.Cancel(this->check_timer);
}

void GroupMember::Start()
{
	this->started_at = this->scheduler.Now();
	this->CheckHolders();
}

bool GroupMember::Monitors(uint32_t part, int step) const
{
	const auto count = static_cast<uint32_t>(this->spec.parts);
	const uint32_t offset = step > 0 ? 1 : count - 1;
	uint32_t next = (part + offset) % count;
	const auto holder = this->holders.find(part);
	const auto held_by_same = [this, holder](uint32_t other) {
		const auto it = this->holders.find(other);
		return holder != this->holders.end() && it != this->holders.end() && it->second == holder->second;
	};
	while (next != part && held_by_same(next)) {
		next = (next + offset) % count;
	}
	return this->Holds(next);
}

void GroupMember::CheckHolders()
{
	this->log.Holders(this->spec.group, [this, still = std::weak_ptr<bool>(this->alive)](
												ResultCode code, const std::vector<PartitionHolder> &rows) {
		if (!still.expired() && !this->leaving) {
			this->OnHolders(code, rows);
		}
	});
}

bool GroupMember::IsSurplus(const std::vector<PartitionHolder> &rows) const
{
	const std::set<std::string> holders = HoldersWithCpu(0, rows);
	const size_t most = MaxWeakHolders(this->spec.parts);
	if (!this->joined || this->parts.empty()) {
		return holders.size() >= most && !holders.contains(this->name);
	}
	if (holders.size() <= most || this->scheduler.Now() >= this->surplus_check_until) {
		return false;
	}
	/* Several weak nodes joined at the same moment. All of them see the same rows: the strongest stay, and among equals
	 * the first by name. */
	std::vector<std::string> ranked(holders.begin(), holders.end());
	std::ranges::stable_sort(ranked, std::ranges::greater{},
							 [](const std::string &it) { return ParseMemberName(it).cpu; });
	return std::ranges::find(ranked, this->name) >= ranked.begin() + static_cast<ptrdiff_t>(most);
}

void GroupMember::OnHolders(ResultCode code, const std::vector<PartitionHolder> &rows)
{
	if (code == ResultCode::RC_OK) {
		this->holders.clear();
		std::ranges::for_each(
				rows, [this](const PartitionHolder &it) { this->holders.emplace(it.partition.part, it.member); });
		this->on_holders(rows);
	}
	const int64_t own = std::max<int64_t>(this->spec.self.cpu, 1);
	const std::set<std::string> stronger = HoldersWithCpu(STRONGER_RATIO * own, rows);
	if (!stronger.empty() && !std::exchange(this->saw_stronger, true)) {
		this->surplus_check_until = this->scheduler.Now() + SURPLUS_CHECK_TIME;
	}
	if (stronger.size() >= MIN_STRONGER_HOLDERS) {
		this->EnterStandby("stronger", rows);
		return;
	}
	if (this->saw_stronger && code == ResultCode::RC_OK && this->IsSurplus(rows)) {
		this->EnterStandby("enough", rows);
		return;
	}
	if (this->joined) {
		return;
	}
	if (this->standby && code != ResultCode::RC_OK) {
		/* It isn't known whether the stronger nodes are still there, and a join would fail as well. */
		this->check_timer = this->scheduler.After(CHECK_INTERVAL, [this] { this->CheckHolders(); });
		return;
	}
	const Millis join_delay(JOIN_DELAY_CORE_MS * MILLICORES_PER_CORE / own);
	const Millis waited = this->scheduler.Now() - this->started_at;
	/* Also wait while some stronger nodes are there, but not yet enough: after a power loss one of them may hold all
	 * partitions for a moment. Weak members that joined then kept their partitions, since only few of 37 nodes get any
	 * of 12 partitions: a service with 150 boxes was owned by nodes with a quarter of the processor time, and lagged
	 * for 40 s. */
	if ((rows.empty() || !stronger.empty()) && waited < join_delay) {
		this->check_timer = this->scheduler.After(join_delay - waited, [this] { this->CheckHolders(); });
		return;
	}
	if (std::exchange(this->standby, false)) {
		this->events.Write("group_standby_ended",
						   {{"group", this->spec.group}, {"holders", std::to_string(rows.size())}});
	}
	this->joined = true;
	this->surplus_check_until = this->scheduler.Now() + SURPLUS_CHECK_TIME;
	this->Join();
}

void GroupMember::EnterStandby(const char *reason, const std::vector<PartitionHolder> &rows)
{
	this->check_timer = this->scheduler.After(CHECK_INTERVAL, [this] { this->CheckHolders(); });
	if (std::exchange(this->standby, true)) {
		/* A claim that was in progress may have succeeded since; its shard has to be handed over. */
		this->on_answer();
		return;
	}
	this->events.Write("group_standby", {{"group", this->spec.group},
										 {"why", reason},
										 {"holders", std::to_string(HoldersWithCpu(0, rows).size())},
										 {"own_cpu", std::to_string(this->spec.self.cpu)}});
	if (!std::exchange(this->joined, false)) {
		return;
	}
	this->scheduler.Cancel(this->timer);
	this->parts.clear();
	this->last_held_at = Millis(-this->spec.member_timeout.Value() - 1);
	this->log.Leave(this->spec.group, this->name, [] {
		/* If the call is lost, the member timeout removes this node. */
	});
	this->on_answer();
}

void GroupMember::Join()
{
	const Millis sent = this->scheduler.Now();
	this->log.Join(this->spec.group, this->name, this->spec.topic, this->spec.member_timeout, this->generation,
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
	const Millis pause(this->spec.member_timeout.Value() / JOINS_PER_TIMEOUT);
	if (answer.code != ResultCode::RC_OK) {
		if (!std::exchange(this->join_failed, true)) {
			this->events.Write("group_lost", {{"group", this->spec.group}, {"code", SymbolOf(answer.code)}});
		}
		this->timer = this->scheduler.After(JOIN_RETRY_DELAY, [this] { this->Join(); });
		return;
	}
	if (std::exchange(this->join_failed, false)) {
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
	this->last_held_at = this->parts.empty() ? this->last_held_at : this->scheduler.Now();
	if (changed) {
		std::string list;
		for (const uint32_t part : this->parts) {
			list += (list.empty() ? "" : ",") + std::to_string(part);
		}
		this->events.Write("group_assigned", {{"generation", std::to_string(this->generation)},
											  {"partitions", list.empty() ? "-" : list}});
		/* A new member may be much stronger. */
		this->scheduler.Cancel(this->check_timer);
		this->check_timer = this->scheduler.After(CHECK_INTERVAL, [this] { this->CheckHolders(); });
	}
	this->on_answer();
	/* Joining with the new generation releases the partitions now assigned to others, which wait for that. */
	this->timer = this->scheduler.After(changed ? Millis(0) : pause, [this] { this->Join(); });
}

void GroupMember::Leave(std::function<void()> done)
{
	this->leaving = true;
	this->parts.clear();
	this->scheduler.Cancel(this->timer);
	this->scheduler.Cancel(this->check_timer);
	this->log.Leave(this->spec.group, this->name, std::move(done));
}
