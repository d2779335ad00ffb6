/** @file group_member.h This node's part in a group that shares out the shards. */
#ifndef GROUP_MEMBER_H
#define GROUP_MEMBER_H

#include "../event_log.h"
#include "../scheduler_type.h"
#include "keyed_log.h"

#include <memory>
#include <set>

/** A member, as its name in the group tells. */
struct GroupPeer {
	std::string address; ///< IP:port where it answers other nodes.
	int64_t cpu = 0;     ///< Thousandths of a core that it may use; 0 when its name doesn't tell.
};

/** @return Name of a member in the group. @param peer The member. */
std::string MemberNameOf(const GroupPeer &peer);
/** @return The member of a name. @param name Its name in the group. */
GroupPeer ParseMemberName(const std::string &name);

/** Which group, and as whom. */
struct GroupSpec {
	std::string group; ///< The group.
	GroupPeer self;    ///< This member.
	std::string topic; ///< Topic whose partitions stand for the shards.
	Millis silence;    ///< A member not heard of for so long is out.
	size_t parts = 1;  ///< Partitions of that topic.
};

/**
 * Stays in the group, or stands by while nodes with much more processor time hold its partitions. The partitions told
 * are only a hint who should own a shard: the shard's own log decides.
 *
 * A node that knows of stronger ones takes part only while few hold the partitions. The log names those that hold some,
 * and no other members: if all weak nodes took part when the strong ones die, strong ones that come back would hold
 * hardly any, nobody would see them, and the weak nodes would own the shards for good.
 */
class GroupMember {
public:
	/**
	 * @param scheduler Clock and timers.
	 * @param log The log; outlives this.
	 * @param events Lines; outlives this.
	 * @param spec Which group, and as whom.
	 */
	GroupMember(Scheduler &scheduler, KeyedLog &log, EventLog &events, GroupSpec spec);
	~GroupMember();
	GroupMember(const GroupMember &) = delete;
	GroupMember &operator=(const GroupMember &) = delete;

	/** Joins, or stands by. */
	void Start();

	/** Leaves. @param done Told when the log was told, or could not be. */
	void Leave(std::function<void()> done);

	/** @return Whether this member holds a partition. @param part The partition. */
	[[nodiscard]] bool Holds(uint32_t part) const { return this->parts.contains(part); }

	/** @return Whether this member holds any partition, or did until a moment ago: while all are dealt anew it may hold
	 * none. Others take it for alive then. */
	[[nodiscard]] bool HeldRecently() const { return this->scheduler.Now() - this->held_at <= this->spec.silence; }

	/** @return Partitions held. */
	[[nodiscard]] size_t Count() const { return this->parts.size(); }

	/** @return Whether stronger nodes hold the partitions and this one only waits for their end. */
	[[nodiscard]] bool IsStandby() const { return this->standing_by; }

	/** @return When the last answered join was sent. */
	[[nodiscard]] Millis ConfirmedAt() const { return this->confirmed_at; }

	/** Told after each answered join, and each look while it stands by. Never null. */
	std::function<void()> on_answer = [] {};

private:
	Scheduler &scheduler;                                       ///< Clock and timers.
	KeyedLog &log;                                              ///< The log.
	EventLog &events;                                           ///< Lines.
	GroupSpec spec;                                             ///< Which group, and as whom.
	std::string name;                                           ///< This member's name in the group.
	Millis started_at;                                          ///< When Start() was called.
	bool joined = false;                                        ///< Whether this node takes part, or tries to.
	bool standing_by = false;                                   ///< For IsStandby().
	bool weak = false;                                          ///< Whether stronger nodes were seen in the group.
	Millis settles_until{-1000000};                             ///< Until then it may turn out to be one too many.
	uint64_t generation = 0;                                    ///< Last one heard.
	std::set<uint32_t> parts;                                   ///< Partitions held.
	Millis confirmed_at;                                        ///< For ConfirmedAt().
	Millis held_at{-1000000};                                   ///< When it last was told that it holds a partition.
	bool leaving = false;                                       ///< Whether Leave() was called.
	bool lost = false;                                          ///< Whether the last join got no answer.
	TimerId timer;                                              ///< Next join.
	TimerId look_timer;                                         ///< Next look at the holders.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void LookAround();
	void OnHolders(ResultCode code, const std::vector<PartitionHolder> &rows);
	[[nodiscard]] bool Needless(const std::vector<PartitionHolder> &rows) const;
	void StandBy(const char *why, const std::vector<PartitionHolder> &rows);
	void Join();
	void OnJoined(const GroupMembership &answer, Millis sent);
};

#endif /* GROUP_MEMBER_H */
