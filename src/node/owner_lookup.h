/** @file owner_lookup.h Requests to the node that owns a shard, over frame connections. */
#ifndef OWNER_LOOKUP_H
#define OWNER_LOOKUP_H

#include "../event_log.h"
#include "../jobs/job_type.h"
#include "../net/frame_link.h"
#include "../net/request_numbers.h"
#include "../store/group_member.h"
#include "peer_answer.h"

#include <set>

/** A query for the state of a job, or for the number of waiting jobs of a route. The owner of the service's shard
 * answers it. */
struct JobQuestion {
	ServiceName service; ///< Service whose shard has the jobs.
	RouteName route;     ///< The route, for a count of waiting jobs.
	JobId job;           ///< The job; empty for a count of waiting jobs.
	AccountName account; ///< Account of the caller; empty on a route that needs no API key.
};

/** Answer to a JobQuestion. */
struct JobAnswer {
	/** RC_OK, RC_UNKNOWN_JOB, RC_OTHER_ACCOUNT or RC_PEER_UNAVAILABLE. */
	ResultCode code = ResultCode::RC_PEER_UNAVAILABLE;
	JobPhase phase = JobPhase::JP_QUEUED;         ///< State of the job.
	uint32_t waiting = 0;                         ///< Number of waiting jobs of the route.
	std::vector<ServiceName> other_services = {}; ///< Services whose shards may have further jobs of the route.
};

/** Finds the owners of shards and sends them requests. */
class OwnerLookup {
public:
	/** Builds the frame of a request with the given number. */
	using MakeRequest = std::function<MessageUnion(uint64_t number)>;
	/** Called with the result code and the frame of the owner's answer. The frame is null if no owner answered in time;
	 * the code is then RC_OUTCOME_UNKNOWN or RC_PEER_UNAVAILABLE. */
	using Done = std::function<void(ResultCode, const MessageUnion *)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The log, which has the records of owners; outlives this object.
	 * @param events Event log; outlives this object.
	 */
	OwnerLookup(Scheduler &scheduler, KeyedLog &log, EventLog &events);

	/**
	 * Sends a request, repeatedly if necessary, until an owner answers or the deadline passes.
	 * @param shard Partition that holds the shard's progress and the record of its owner.
	 * @param subject Subject of the request, for the event log.
	 * @param deadline Time at which the request is given up.
	 * @param make Builds the request.
	 * @param done Called once with the outcome: the code of the owner's answer; RC_OUTCOME_UNKNOWN if an owner may have
	 * executed the request without an answer; RC_PEER_UNAVAILABLE if none can have.
	 * @param recording_until Deadline that replaces an earlier one once an owner reports that it is recording the
	 * request in the log.
	 */
	void Ask(const PartitionId &shard, const std::string &subject, Millis deadline, MakeRequest make, Done done,
			 Millis recording_until = Millis(0));

	/**
	 * Checks whether a shard's owner is known and connected. If the known one is missing or out of date, starts a read
	 * of the owner from the log for later calls, without waiting for it.
	 * @param shard Partition that holds the shard's progress.
	 * @return Whether the connection to the node of a known owner is up.
	 */
	[[nodiscard]] bool OwnerConnected(const PartitionId &shard);
	/**
	 * @param shard Partition that holds the shard's progress.
	 * @return IP:port of the last known owner's node; empty if none is known.
	 */
	[[nodiscard]] std::string OwnerOf(const PartitionId &shard) const
	{
		const auto it = this->owners.find(shard);
		return it == this->owners.end() ? std::string() : it->second.address;
	}

private:
	/** A request in progress. */
	struct PendingRequest {
		PartitionId shard;             ///< Partition that holds the shard's progress.
		std::string subject;           ///< Subject of the request, for the event log.
		Millis deadline;               ///< Time at which the request is given up.
		MakeRequest make;              ///< Builds the request.
		Done done;                     ///< Called with the answer.
		std::string asked_node;        ///< IP:port of the node that was asked last; empty if none.
		std::set<std::string> sent_to; ///< IP:port of all nodes that the request was sent to.
		glade::wire::Message answer_type = glade::wire::Message::NONE; ///< Type of its answers.
		Millis recording_until;          ///< Deadline once an owner is recording the request, if later than `deadline`.
		bool recording = false;          ///< Whether an owner has reported that it is recording the request in the log.
		bool probed = false;             ///< Whether a probe was sent to the recording node since its last message.
		Millis wait_started_at;          ///< Start of the current wait for any message from the recording node.
		bool unanswered = false;         ///< Whether the last request sent has got no answer.
		Millis attempted_at;             ///< Time of the last attempt, even if the node was not connected.
		bool earlier_unanswered = false; ///< Whether an earlier attempt got no answer and may still be executed.
		TimerId timer;                   ///< Ends the wait for an answer: next attempt, or check of a recording node.
	};

	/** Connection to a node that owns shards. */
	struct Peer {
		std::unique_ptr<FrameClient> client; ///< The connection.
		Millis created_at;                   ///< Time at which the connection was created.
		Millis last_heard_at{-1000000};      ///< Time of the last message from the node; initially far in the past.
		/** Answer timeout, adapted to the duration of past answers. With a fixed one, a slow node would receive each
		 * request several times, each over a new connection, and its answers would be lost with the closed connections.
		 */
		Millis answer_timeout;
	};

	/** Last known owner of a shard. */
	struct KnownOwner {
		std::string address;      ///< IP:port of the owner's node; empty if not known.
		bool reading = false;     ///< Whether a read of the owner's record is in progress.
		Millis read_at{-1000000}; ///< Time at which the last read of the record began; initially far in the past.
	};

	Scheduler &scheduler;                       ///< Clock and timers.
	KeyedLog &log;                              ///< The log, which has the records of owners.
	EventLog &events;                           ///< Event log.
	std::map<PartitionId, KnownOwner> owners;   ///< Known owners by shard.
	std::map<std::string, Peer> peers;          ///< Connections by the node's address.
	std::map<uint64_t, PendingRequest> pending; ///< Requests in progress, by number.
	RequestNumbers numbers;                     ///< Numbers of requests.
	/** Lets callbacks detect that this object was destroyed. */
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);

	/** Makes an attempt: sends the request if the owner is known, or ends it after its deadline. @param number Number
	 * of the request. */
	void Attempt(uint64_t number);
	/** Sets the timer that ends the wait for an answer. @param number Number of the request. */
	void ScheduleRetry(uint64_t number);
	/** Probes a recording node that has sent nothing during the wait; abandons it if a probe was not answered either.
	 * @param number Number of the request. @param request The request. */
	void CheckRecordingNode(uint64_t number, PendingRequest &request);
	/** Sends a request without effect to see whether the node answers. @param address IP:port of the node. */
	void Probe(const std::string &address);
	/**
	 * Gives up on a node that has not answered: drops its connection if that seems dead, and reads the owner again.
	 * @param request The request that the node has not answered.
	 * @param since Start of the wait for the answer.
	 */
	void AbandonNode(PendingRequest &request, Millis since);
	/** Starts a read of a shard's owner unless one is in progress or began just before. @param shard The shard. */
	void RefreshOwner(const PartitionId &shard);
	/** Reads the record of a shard's owner. @param shard The shard. @param partition Partition to read: that of the
	 * shard's progress, or its spare. */
	void ReadOwner(const PartitionId &shard, const PartitionId &partition);
	void OnOwnerRead(const PartitionId &shard, const PartitionId &partition, const NewestPage &page);
	/** Sends a request to the known owner if its node is connected, and sets the timer of the wait for the answer.
	 * @param number Number of the request. */
	void SendToOwner(uint64_t number);
	/** Handles a message of a node. @param from IP:port of the node. @param message The message. */
	void OnFrame(const std::string &from, const MessageUnion &message);
	/** @return Whether an answer belongs to a request. A final one may come from a node that was asked before; what it
	 * says holds. @param request The request with the answer's number. @param from IP:port of the node. @param answer
	 * The answer. */
	[[nodiscard]] static bool IsAnswerTo(const PendingRequest &request, const std::string &from,
										 const OwnerAnswer &answer);
	void Finish(uint64_t number, ResultCode code, const MessageUnion *answer);
	/** @return Connection to a node; it is opened if there is none. @param address IP:port of the node. */
	Peer &PeerOf(const std::string &address);
	[[nodiscard]] Millis AnswerTimeoutOf(const std::string &address);
	/** Adapts a node's answer timeout to the duration of an answer. @param request The request that was answered. */
	void UpdateAnswerTimeout(const PendingRequest &request);
};

#endif /* OWNER_LOOKUP_H */
