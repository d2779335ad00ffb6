/** @file group_member.h Membership of this node in the group whose members own the shards. */
#ifndef GROUP_MEMBER_H
#define GROUP_MEMBER_H

#include "../event_log.h"
#include "../scheduler_type.h"
#include "keyed_log.h"

#include <map>
#include <memory>
#include <set>

/** What the name of a group member encodes: its address and processor time. */
struct GroupPeer {
	std::string address; ///< IP:port on which it serves other nodes.
	int64_t cpu = 0;     ///< Thousandths of a core that it may use; 0 when the name has none.
};

/** @return Member name that encodes a member. @param peer The member. */
std::string MemberNameOf(const GroupPeer &peer);
/** @return The member that a name encodes. @param name Member name. */
GroupPeer ParseMemberName(const std::string &name);

/** Group to join, and the member to join as. */
struct GroupSpec {
	std::string group;     ///< Name of the group.
	GroupPeer self;        ///< This member.
	std::string topic;     ///< Topic whose partitions the group assigns, one for each shard.
	Millis member_timeout; ///< A member that sends no join for this long is removed.
	size_t parts = 1;      ///< Number of partitions of that topic.
};

/**
 * Keeps this node in the group, or on standby while nodes with much more processor time hold its partitions. The
 * assigned partitions are only a hint as to which node should own a shard: the shard's own log decides.
 *
 * A node that has seen stronger ones joins only while few members hold partitions. The log lists only members that hold
 * partitions. If all weak nodes joined when the strong ones fail, returning strong nodes would get hardly any
 * partitions, would not be seen, and the weak nodes would keep the shards.
 */
class GroupMember {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param log The keyed log; must outlive this.
	 * @param events Event log; must outlive this.
	 * @param spec Group to join, and the member to join as.
	 */
	GroupMember(Scheduler &scheduler, KeyedLog &log, EventLog &events, GroupSpec spec);
	~GroupMember();
	GroupMember(const GroupMember &) = delete;
	GroupMember &operator=(const GroupMember &) = delete;

	/** Joins the group, or goes on standby. */
	void Start();

	/** Leaves the group. @param done Called when the log has answered or the call has failed. */
	void Leave(std::function<void()> done);

	/** @return Whether this member holds a partition. @param part Number of the partition. */
	[[nodiscard]] bool Holds(uint32_t part) const { return this->parts.contains(part); }

	/**
	 * Returns whether this member is the monitor of a partition: the second node that watches the owner, beside the
	 * holder of the partition. It is the next holder that differs from that one, since the holder of one partition
	 * often holds its neighbours as well and would be its own monitor.
	 * @param part Number of the partition.
	 * @param step 1 to look at the following partitions, -1 for the preceding ones.
	 * @return Whether this member is the monitor.
	 */
	[[nodiscard]] bool Monitors(uint32_t part, int step) const;

	/** @return Whether this member holds any partition, or did within the member timeout: during a reassignment it may
	 * hold none, while others still count it as alive. */
	[[nodiscard]] bool HeldRecently() const
	{
		return this->scheduler.Now() - this->last_held_at <= this->spec.member_timeout;
	}

	/** @return Number of partitions held. */
	[[nodiscard]] size_t Count() const { return this->parts.size(); }

	/** @return Whether this node is on standby, since stronger nodes or enough others hold the partitions. */
	[[nodiscard]] bool IsStandby() const { return this->standby; }

	/** @return When the last join that got an answer was sent. */
	[[nodiscard]] Millis ConfirmedAt() const { return this->confirmed_at; }

	/** Called after each answered join, and after each check of the holders while on standby. Never null. */
	std::function<void()> on_answer = [] {};
	/** Called with the holders of the partitions whenever they were read. Never null. */
	std::function<void(const std::vector<PartitionHolder> &)> on_holders = [](const std::vector<PartitionHolder> &) {};

private:
	Scheduler &scheduler;      ///< Clock and timers.
	KeyedLog &log;             ///< The keyed log.
	EventLog &events;          ///< Event log.
	GroupSpec spec;            ///< Group to join, and the member to join as.
	std::string name;          ///< Member name of this node.
	Millis started_at;         ///< When Start() was called.
	bool joined = false;       ///< Whether this node is in the group, or tries to join.
	bool standby = false;      ///< See IsStandby().
	bool saw_stronger = false; ///< Whether stronger nodes were ever seen in the group.
	/** Until then this node may go on standby as surplus while it holds partitions. */
	Millis surplus_check_until{-1000000};
	uint64_t generation = 0;                 ///< Group generation of the last answer.
	std::set<uint32_t> parts;                ///< Numbers of the partitions held.
	std::map<uint32_t, std::string> holders; ///< Holders of the partitions when they were last read.
	Millis confirmed_at;                     ///< See ConfirmedAt().
	Millis last_held_at{-1000000};           ///< When an answer last assigned a partition to this member.
	bool leaving = false;                    ///< Whether Leave() was called.
	bool join_failed = false;                ///< Whether the last join failed.
	TimerId timer;                           ///< Next join.
	TimerId check_timer;                     ///< Next check of the holders.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	void CheckHolders();
	void OnHolders(ResultCode code, const std::vector<PartitionHolder> &rows);
	[[nodiscard]] bool IsSurplus(const std::vector<PartitionHolder> &rows) const;
	void EnterStandby(const char *reason, const std::vector<PartitionHolder> &rows);
	void Join();
	void OnJoined(const GroupMembership &answer, Millis sent);
};

#endif /* GROUP_MEMBER_H */
