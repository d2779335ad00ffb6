/** @file job_api.h Operations on jobs for callers, available on any node: submit, query, cancel and count. */
#ifndef JOB_API_H
#define JOB_API_H

#include "inbox_writer.h"
#include "owner_lookup.h"
#include "shard_host.h"

#include <deque>
#include <set>

/** Executes callers' operations on jobs. Submissions and cancellations are durable in the log before they are
 * confirmed. */
class JobApi {
public:
	using Done = std::function<void(ResultCode)>; ///< Called once with the result of an operation.

	/**
	 * @param scheduler Clock and timers.
	 * @param log The log; outlives this object.
	 * @param shards Shards owned by this node; outlives this object.
	 * @param lookup Requests to owners on other nodes; outlives this object.
	 * @param events Event log; outlives this object.
	 */
	JobApi(Scheduler &scheduler, KeyedLog &log, ShardHost &shards, OwnerLookup &lookup, EventLog &events);

	/**
	 * Applies a configuration.
	 * @param config The configuration; ignored unless its version is newer than the one in force.
	 */
	void Configure(const JobConfig &config);
	/** @return The configuration in force; version 0 before the first. */
	[[nodiscard]] const JobConfig &Config() const { return this->config; }

	/**
	 * Submits a job.
	 * @param spec The job, already validated.
	 * @param service Service that runs the job.
	 * @param deadline Time at which the caller stops waiting.
	 * @param done Called with RC_OK once the job is durable; RC_LOG_THROTTLED or RC_LOG_UNAVAILABLE if it is certain
	 * that the job was not recorded and will not be, RC_JOB_MEMORY_FULL if also because of its size; RC_OUTCOME_UNKNOWN
	 * if it may have been; RC_OTHER_ACCOUNT if the id belongs to another account's job; RC_ACCOUNT_BUSY if the owner
	 * reports it.
	 */
	void Submit(const JobSpec &spec, const ServiceName &service, Millis deadline, Done done);
	/**
	 * Cancels a job.
	 * @param job The job, its route and service, and the account of the caller.
	 * @param deadline Time at which the caller stops waiting.
	 * @param done Called with the same results as for Submit().
	 */
	void Cancel(const JobQuestion &job, Millis deadline, Done done);
	/**
	 * Records a submission or cancellation that another shard sends on.
	 * @param service Service of the shard that is to have it.
	 * @param record The record, in the format of the inbox.
	 * @param deadline Time at which the attempt is given up.
	 * @param done Called with the same results as for Submit().
	 */
	void Record(const ServiceName &service, const KeyedRecord &record, Millis deadline, Done done);
	/**
	 * Answers a query, if necessary by forwarding it to the owners of all shards that may have jobs of the route.
	 * @param question The query.
	 * @param deadline Time at which the caller stops waiting.
	 * @param done Called with the answer.
	 */
	void Ask(const JobQuestion &question, Millis deadline, std::function<void(const JobAnswer &)> done);
	/**
	 * Answers a query from the shards that this node owns.
	 * @param question The query.
	 * @return The answer; RC_PEER_UNAVAILABLE if this node doesn't own the shard or can't tell yet.
	 */
	[[nodiscard]] JobAnswer AnswerLocally(const JobQuestion &question) const;
	/** @return Number of submissions and cancellations in progress. */
	[[nodiscard]] size_t InProgress() const { return this->in_progress; }

private:
	/** A submission or cancellation in progress, until its outcome is known or its deadline passes. */
	struct Pending {
		ServiceName service;    ///< Service whose shard records it.
		KeyedRecord record;     ///< The record, in the format of the inbox.
		Millis started_at;      ///< Time of the caller's request.
		Millis deadline;        ///< Time at which the caller stops waiting.
		bool uncertain = false; ///< Whether one of the attempts may have recorded it.
		Done done;              ///< Called with the result; null after that.
		/** Whether only the owner may record it, since the inbox would take it unseen. */
		bool needs_owner = false;
		TimerId timer = TimerId(); ///< Ends it at its deadline.
	};

	/** A query that goes from shard to shard, because the route has changed its service. */
	struct ShardSearch {
		JobQuestion question;                        ///< The query, to the shard that is asked next.
		Millis deadline;                             ///< Time at which the caller stops waiting.
		std::deque<ServiceName> to_ask;              ///< Services whose shards are still to be asked.
		std::set<ServiceName> seen;                  ///< Services that were ever in `to_ask`.
		JobAnswer result;                            ///< The answer so far.
		std::function<void(const JobAnswer &)> done; ///< Called with the answer.
	};

	Scheduler &scheduler; ///< Clock and timers.
	KeyedLog &log;        ///< The log.
	ShardHost &shards;    ///< Shards owned by this node.
	OwnerLookup &lookup;  ///< Requests to owners on other nodes.
	EventLog &events;     ///< Event log.
	JobConfig config;     ///< The configuration in force.
	/** Writers to the inboxes of shards, for when an owner can't be reached. */
	std::map<ServiceName, std::unique_ptr<InboxWriter>> inboxes;
	size_t in_progress = 0; ///< Submissions and cancellations in progress.
	/** Lets callbacks detect that this object was destroyed. */
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);

	/** Sends a query to one shard. */
	void AskShard(const JobQuestion &question, Millis deadline, std::function<void(const JobAnswer &)> done);
	/** Sends the query of a search to the next shard, or ends the search. */
	void AskNext(const std::shared_ptr<ShardSearch> &search);
	void OnShardAnswer(const std::shared_ptr<ShardSearch> &search, const JobAnswer &answer);
	/** Starts to record a submission or cancellation: by the owner if it can be reached, otherwise in the inbox. */
	void BeginRecording(const std::shared_ptr<Pending> &pending);
	void SendToOwner(const std::shared_ptr<Pending> &pending);
	void OnOwnerAnswer(const std::shared_ptr<Pending> &pending, ResultCode code);
	void AppendToInbox(const std::shared_ptr<Pending> &pending);
	void OnInboxAnswer(const std::shared_ptr<Pending> &pending, ResultCode code);
	void Finish(const std::shared_ptr<Pending> &pending, ResultCode code);
};

#endif /* JOB_API_H */
