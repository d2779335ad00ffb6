/** @file job_api.h What callers may ask of jobs, on any node: hand in, look up, cancel, count. */
#ifndef JOB_API_H
#define JOB_API_H

#include "inbox_writer.h"
#include "owner_lookup.h"
#include "shard_host.h"

/** Answers callers. Submissions and cancellations are durable in the log before they are confirmed. */
class JobApi {
public:
	using Done = std::function<void(ResultCode)>;

	/**
	 * @param scheduler Clock and timers.
	 * @param log The log; outlives this.
	 * @param host Shards of this node; outlives this.
	 * @param lookup Owners elsewhere; outlives this.
	 * @param events Lines; outlives this.
	 */
	JobApi(Scheduler &scheduler, KeyedLog &log, ShardHost &host, OwnerLookup &lookup, EventLog &events);

	/** Takes a configuration. @param config It; one with an older version is ignored. */
	void Configure(const JobConfig &config);
	/** @return The configuration in force; version 0 before the first. */
	[[nodiscard]] const JobConfig &Config() const { return this->config; }

	/**
	 * Hands a job in.
	 * @param spec The job, checked.
	 * @param service Service that runs it.
	 * @param deadline When the caller stops waiting.
	 * @param done Gets RC_OK once it is durable; RC_LOG_THROTTLED or RC_LOG_UNAVAILABLE when it certainly isn't and
	 * never will be; RC_OUTCOME_UNKNOWN when it may be; RC_OTHER_ACCOUNT when the id is another account's.
	 */
	void Submit(const JobSpec &spec, const ServiceName &service, Millis deadline, Done done);
	/** Cancels a job, with the same results as Submit(). @param id The job. @param account Account of the caller.
	 * @param service Its service. @param deadline When the caller stops waiting. @param done Gets the result. */
	void Cancel(const JobId &id, const AccountName &account, const ServiceName &service, Millis deadline, Done done);
	/** Looks up. @param question The question. @param deadline When the caller stops waiting. @param done Gets the
	 * answer. */
	void Ask(const JobQuestion &question, Millis deadline, std::function<void(const JobAnswer &)> done);
	/** @return The answer of this node alone. @param question The question. */
	[[nodiscard]] JobAnswer AnswerLocally(const JobQuestion &question) const;
	/** @return Appends under way: a stop waits for them. */
	[[nodiscard]] size_t Open() const { return this->open; }

private:
	/** A record until its outcome is known or nobody waits any more. */
	struct Pending {
		ServiceName service;    ///< Service whose shard it is for.
		KeyedRecord record;     ///< What, as it lies in the inbox.
		Millis begun;           ///< When the caller asked.
		Millis deadline;        ///< When the caller stops waiting.
		bool uncertain = false; ///< Whether one of the tries may have had an effect.
		Done done;              ///< Gets the result; null once told.
	};

	Scheduler &scheduler;                                        ///< Clock and timers.
	KeyedLog &log;                                               ///< The log.
	ShardHost &host;                                             ///< Shards of this node.
	OwnerLookup &lookup;                                         ///< Owners elsewhere.
	EventLog &events;                                            ///< Lines.
	JobConfig config;                                            ///< The configuration in force.
	std::map<ServiceName, std::unique_ptr<InboxWriter>> inboxes; ///< Ways around owners that can't be asked.
	size_t open = 0;                                             ///< Appends under way.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with this.

	void Record(const std::shared_ptr<Pending> &it);
	void AskOwner(const std::shared_ptr<Pending> &it);
	void OnOwner(const std::shared_ptr<Pending> &it, ResultCode code);
	void TryInbox(const std::shared_ptr<Pending> &it);
	void OnAppended(const std::shared_ptr<Pending> &it, ResultCode code);
	void Finish(const std::shared_ptr<Pending> &it, ResultCode code);
};

#endif /* JOB_API_H */
