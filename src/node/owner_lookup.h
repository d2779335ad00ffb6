/** @file owner_lookup.h Questions to the node that owns a shard, over frames. */
#ifndef OWNER_LOOKUP_H
#define OWNER_LOOKUP_H

#include "../event_log.h"
#include "../jobs/job_type.h"
#include "../net/frame_link.h"
#include "../store/group_member.h"

/** A question about a job, or about a route's waiting jobs. Its answer comes from the owner of the service's shard. */
struct JobQuestion {
	ServiceName service; ///< Service whose shard knows.
	RouteName route;     ///< The route, for a count.
	JobId job;           ///< The job; empty for a count.
	AccountName account; ///< Account of the caller; empty on a route without keys.
};

/** Answer to a JobQuestion. */
struct JobAnswer {
	ResultCode code =
			ResultCode::RC_PEER_UNAVAILABLE; ///< RC_OK, RC_UNKNOWN_JOB, RC_OTHER_ACCOUNT or RC_PEER_UNAVAILABLE.
	JobPhase phase = JobPhase::JP_QUEUED;    ///< Where the job stands.
	uint32_t waiting = 0;                    ///< Jobs that wait.
};

/** Finds owners and asks them. */
class OwnerLookup {
public:
	/** Makes the frame of a question. */
	using Make = std::function<MessageUnion(uint64_t number)>;
	/** Gets the answer's frame, or RC_PEER_UNAVAILABLE and null when nobody knew in time. */
	using Done = std::function<void(ResultCode, const MessageUnion *)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The log, which knows the owners; outlives this.
	 * @param events Lines; outlives this.
	 */
	OwnerLookup(Scheduler &scheduler, KeyedLog &log, EventLog &events);

	/**
	 * Asks until an owner answers or time is up.
	 * @param shard Partition that holds the shard's progress, and the record of its owner.
	 * @param what What is asked, for the log.
	 * @param deadline Until when.
	 * @param make Makes the question.
	 * @param done Gets the answer. RC_OUTCOME_UNKNOWN when a node was asked and said nothing.
	 * @param recording_until Until when the result may come, once an owner has said that it is recording.
	 */
	void Ask(const PartitionId &shard, const std::string &what, Millis deadline, Make make, Done done,
			 Millis recording_until = Millis(0));

	/** @return Whether an owner is known and the connection to its node stands; seeks it otherwise. @param shard
	 * Partition that holds the shard's progress. */
	[[nodiscard]] bool Ready(const PartitionId &shard);
	/** @return Address of a shard's owner, as last heard; empty when not known. @param shard Partition that holds the
	 * shard's progress. */
	[[nodiscard]] std::string OwnerOf(const PartitionId &shard) const
	{
		const auto it = this->owners.find(shard);
		return it == this->owners.end() ? std::string() : it->second.address;
	}

private:
	/** A question under way. */
	struct Open {
		PartitionId shard;      ///< Partition that holds the shard's progress.
		std::string what;       ///< What is asked, for the log.
		Millis deadline;        ///< Until when.
		Make make;              ///< Makes the question.
		Done done;              ///< Gets the answer.
		std::string asked;      ///< Node that was asked last.
		Millis recording_until; ///< New deadline once an owner is recording.
		bool recording = false; ///< Whether an owner has said so.
		bool probed = false;    ///< Whether its node was asked since whether it is still there.
		Millis checked_at;      ///< When the wait for a sign of its node began.
		bool sent = false;      ///< Whether a question is out that nobody has answered.
		Millis sent_at;         ///< When it was sent last.
		bool lost = false;      ///< Whether an earlier question got no answer: it may still be carried out.
		TimerId timer;          ///< Next try.
	};

	/** A node that owns shards. */
	struct Peer {
		std::unique_ptr<FrameClient> client; ///< Connection.
		Millis made_at;                      ///< When that was begun.
		Millis heard_at{-1000000};           ///< When the node was last heard of.
		/** An answer is waited for so long. It follows what answers took: a node that is late would get each question
		 * again and again, each time over a new connection, and its answers would find the old one closed. */
		Millis patience;
	};

	/** What is known of a shard's owner. */
	struct KnownOwner {
		std::string address;       ///< Its node; empty when not known.
		bool asking = false;       ///< Whether the log is being asked.
		Millis asked_at{-1000000}; ///< When the log was asked last.
	};

	Scheduler &scheduler;                                       ///< Clock and timers.
	KeyedLog &log;                                              ///< Knows the owners.
	EventLog &events;                                           ///< Lines.
	std::map<PartitionId, KnownOwner> owners;                   ///< Owners by shard.
	std::map<std::string, Peer> peers;                          ///< Nodes by address.
	std::map<uint64_t, Open> open;                              ///< Questions under way.
	uint64_t last_number = 0;                                   ///< Last question's number.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	void Try(uint64_t number);
	void Again(uint64_t number);
	void CheckNode(uint64_t number, Open &question);
	void Probe(const std::string &address);
	/** A node has not answered. @param question What it was asked. @param since When the wait for it began. */
	void GiveUpNode(Open &question, Millis since);
	void Refresh(const PartitionId &shard);
	void ReadOwner(const PartitionId &shard, const PartitionId &from);
	void OnOwner(const PartitionId &shard, const PartitionId &from, const NewestPage &page);
	void Send(uint64_t number);
	void OnFrame(const MessageUnion &message);
	void Finish(uint64_t number, ResultCode code, const MessageUnion *answer);
	Peer &PeerOf(const std::string &address);
	[[nodiscard]] Millis PatienceWith(const std::string &address);
	void NoteAnswer(const Open &question);
};

#endif /* OWNER_LOOKUP_H */
