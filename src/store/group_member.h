/** @file group_member.h This node's part in a group that shares out the shards. */
#ifndef GROUP_MEMBER_H
#define GROUP_MEMBER_H

#include "../event_log.h"
#include "../scheduler_type.h"
#include "keyed_log.h"

#include <memory>
#include <set>

/** Which group, and as whom. */
struct GroupSpec {
	std::string group;  ///< The group.
	std::string member; ///< This member.
	std::string topic;  ///< Topic whose partitions stand for the shards.
	Millis silence;     ///< A member not heard of for so long is out.
};

/** Stays in the group. The partitions told are only a hint who should own a shard: the shard's own log decides. */
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

	/** Joins. */
	void Start();

	/** Leaves. @param done Told when the log was told, or could not be. */
	void Leave(std::function<void()> done);

	/** @return Whether this member holds a partition. @param part The partition. */
	[[nodiscard]] bool Holds(uint32_t part) const { return this->parts.contains(part); }

	/** @return When the last answered join was sent. */
	[[nodiscard]] Millis ConfirmedAt() const { return this->confirmed_at; }

	std::function<void()> on_answer; ///< Told after each answered join.

private:
	Scheduler &scheduler;                                       ///< Clock and timers.
	KeyedLog &log;                                              ///< The log.
	EventLog &events;                                           ///< Lines.
	GroupSpec spec;                                             ///< Which group, and as whom.
	uint64_t generation = 0;                                    ///< Last one heard.
	std::set<uint32_t> parts;                                   ///< Partitions held.
	Millis confirmed_at;                                        ///< For ConfirmedAt().
	bool leaving = false;                                       ///< Whether Leave() was called.
	bool lost = false;                                          ///< Whether the last join got no answer.
	TimerId timer;                                              ///< Next join.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void Join();
	void OnJoined(const GroupMembership &answer, Millis sent);
};

#endif /* GROUP_MEMBER_H */
