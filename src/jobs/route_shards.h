/** @file route_shards.h Keeps each job in one shard while the configuration sends its route to changing services. */
#ifndef ROUTE_SHARDS_H
#define ROUTE_SHARDS_H

#include "../event_log.h"
#include "route_codec.h"
#include "route_register.h"
#include "shard_base.h"

/** Services of the node that RouteShards uses; all of them outlive it. */
struct RouteShardsContext {
	Scheduler &scheduler; ///< Clock and timers.
	KeyedLog &log;        ///< Client of the log.
	EventLog &events;     ///< Event log.
	ShardPeers *peers;    ///< Reaches other shards; null when there are none.
};

/** What a shard knows of a job that it hasn't taken. */
enum class UntakenJob : uint8_t {
	UJ_UNKNOWN = 0, ///< Nothing.
	UJ_HELD = 1,    ///< It was accepted and waits for the answers of other shards.
	UJ_LEFT = 2,    ///< It was sent on to another shard a short time ago, which may not have read it yet.
};

/**
 * Decides for one shard which submissions it takes. An id is taken by one shard at most:
 * - A shard takes jobs of a route only while it serves the route: it is registered for it as of a version of the
 *   configuration, and no other shard serves it as of a later one.
 * - A shard that isn't the route's only one asks all others first. An asked shard records that it is redirected before
 *   it answers, so an id that it doesn't have then won't be taken there later.
 * - A submission that reaches a redirected shard is sent on to the inbox of the one that serves the route.
 * - A cancellation of a job that the shard hasn't taken is sent on to all others.
 */
class RouteShards {
public:
	/**
	 * @param context Services of the node.
	 * @param service Service of the shard.
	 * @param shard The shard; outlives this object.
	 */
	RouteShards(const RouteShardsContext &context, ServiceName service, Shard &shard);

	/** Restores the recorded state of a route; of two the newer one wins. To be called before Begin(). @param route The
	 * route. @param state The recorded state. */
	void Restore(const RouteName &route, const RouteState &state);
	/** Restores that a submission in the inbox belongs to another shard, or that a cancellation was relayed. @param key
	 * Key in the inbox. @param config Version of the configuration by which it was sent to this shard. */
	void RestoreRedirect(const std::string &key, uint64_t config);
	/** Starts to register and to ask other shards. To be called once all records were passed in. */
	void Begin();
	/** Applies a configuration. @param config The configuration. */
	void Configure(const JobConfig &config);

	/** Takes a submission of the inbox, holds it or sends it on. @param record The record. @param spec The job. */
	void OnSubmission(const KeyedRecord &record, const JobSpec &spec);
	/** Applies a cancellation and relays it if necessary. @param record The record, in the format of the inbox. */
	void OnCancellation(const KeyedRecord &record);
	/** @return Whether the owner may record a caller's record at once. Otherwise it has to take the way through the
	 * inbox. @param incoming The record. */
	[[nodiscard]] bool MayRecord(const IncomingRecord &incoming) const;
	/** Answers another shard, once what follows from its question is durable. @param question The question. @param done
	 * Called with the answer; never when the ownership ends before. */
	void Answer(const RouteQuestion &question, std::function<void(const RouteAnswer &)> done);

	/** @return Whether the shard is registered for a route, or redirected, so that it knows all shards that may have
	 * jobs of it. @param route The route. */
	[[nodiscard]] bool Knows(const RouteName &route) const;
	/** @return Services of other shards that may have jobs of a route. @param route The route. */
	[[nodiscard]] std::vector<ServiceName> OthersWithJobs(const RouteName &route) const;
	/** @return What is known of a job that the shard hasn't taken. @param id Id of the job. */
	[[nodiscard]] UntakenJob FindUntaken(const JobId &id) const;
	/** @return The held job with an id, or null. @param id Id of the job. */
	[[nodiscard]] const JobSpec *FindHeld(const JobId &id) const;
	/** @return Number of held jobs of a route. @param route The route. */
	[[nodiscard]] uint32_t HeldOf(const RouteName &route) const;

private:
	using Done = std::function<void()>;

	static constexpr Millis RETRY_DELAY = Millis(100); ///< Delay before a failed call is repeated.

	/** A route, with what needn't be recorded. */
	struct RouteEntry {
		RouteState state;                                ///< State; the log may have an older one.
		uint64_t durable_revision = 0;                   ///< Revision of the newest durable record.
		std::vector<std::pair<uint64_t, Done>> awaiting; ///< What to do once a revision is durable.
		/** Other shards that have no jobs of the route, and are redirected as of the version served here. */
		std::set<ServiceName> empty_shards;
		std::set<ServiceName> announcing; ///< Other shards that are to be told that the route is served here.
	};

	/** An accepted job that waits for the answers of other shards. */
	struct HeldJob {
		KeyedRecord record;             ///< Record in the inbox.
		JobSpec spec;                   ///< The job.
		bool busy = false;              ///< Whether a call for it is under way.
		std::set<ServiceName> lacks_it; ///< Other shards that don't have it.
		uint64_t asked_revision = 0;    ///< Revision of the route's state that `lacks_it` belongs to.
	};

	/** A cancellation that is to be relayed to other shards. */
	struct HeldCancellation {
		KeyedRecord record;        ///< Record in the inbox.
		StoredCancellation stored; ///< Its decoded value.
		size_t under_way = 0;      ///< Appends without an answer.
		bool failed = false;       ///< Whether one of these appends has failed.
	};

	RouteShardsContext context;                      ///< Services of the node.
	ServiceName service;                             ///< Service of the shard.
	Shard &shard;                                    ///< The shard.
	RouteRegister route_register;                    ///< Registers the shard for routes.
	JobConfig config;                                ///< The configuration in force.
	bool begun = false;                              ///< Whether Begin() was called.
	bool registering = false;                        ///< Whether a registration is under way.
	std::map<RouteName, uint64_t> to_register;       ///< Routes to register for, with versions.
	std::map<RouteName, RouteEntry> routes;          ///< Known routes.
	std::map<std::string, HeldJob> held;             ///< Held jobs by their key in the inbox.
	std::map<std::string, HeldCancellation> cancels; ///< Cancellations to be relayed, by their key in the inbox.
	std::map<std::string, uint64_t> redirects;       ///< See RestoreRedirect().
	std::map<JobId, Millis> left;                    ///< Jobs sent on, and until when UJ_LEFT is told of them.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	/* route_shards.cpp */
	/** @return Version as of which this shard serves a route; 0 if it doesn't. */
	[[nodiscard]] uint64_t ServedVersion(const RouteName &route, const RouteState &state) const;
	/** @return Whether another shard's claim to a route replaces this one's: the newer version counts, and of two equal
	 * ones, which only routes without a configuration have, the later name. @param served Version as of which this
	 * shard serves the route. @param version Version as of which the other one does. @param other Service of that
	 * shard. */
	[[nodiscard]] bool Precedes(uint64_t served, uint64_t version, const ServiceName &other) const;
	/** @return Whether the shard serves a route and no other one has jobs of it. */
	[[nodiscard]] bool ServesAlone(const RouteName &route) const;
	/** Runs a function later, unless this object was destroyed. */
	void After(Millis delay, Done function);

	/** Registers for the configuration's routes, and records their policies. */
	void ApplyConfig();
	/** Asks for a registration as of a version. */
	void Want(const RouteName &route, uint64_t version);
	void WantConfigured();
	/** Starts a registration unless one is under way. */
	void Register();
	void OnRegisterAnswer(const std::map<RouteName, uint64_t> &wanted, ResultCode code,
						  const std::vector<RouteRegistration> &found);
	void OnRegistered(const std::map<RouteName, uint64_t> &wanted, const std::vector<RouteRegistration> &found);

	/** Takes over the route's policy from the configuration, if that has the route. @return Whether it has changed. */
	bool UpdatePolicy(const RouteName &route, RouteState &state);
	/** Notes the shard that a configuration sends a route to: its inbox may accept jobs before it is registered, and so
	 * before it has asked this one. @return Whether it was not known. */
	bool NoteConfiguredShard(const RouteName &route, RouteState &state);
	/** Records a route's state. */
	void Record(const RouteName &route, RouteEntry &entry);
	void OnRecorded(const RouteName &route, uint64_t revision);
	/** Redirects a route's new jobs to another shard. */
	void Redirect(const RouteName &route, RouteEntry &entry, uint64_t version, const ServiceName &to);
	/** Tells the other shards that this one serves the route, so that they are redirected. */
	void Announce(const RouteName &route);
	void AnnounceTo(const RouteName &route, const ServiceName &other);
	/** Sends a question; `done` is called once, at the latest after a timeout. */
	void Ask(const RouteQuestion &question, const std::function<void(const RouteAnswer &)> &done);
	/** Applies what an answer says of the asked shard. */
	void NoteAnswer(const RouteQuestion &question, const RouteAnswer &answer);

	/* route_shards_jobs.cpp */
	/** Decides again about the held records of a route. */
	void Reconsider(const RouteName &route);
	/** Takes a held job, sends it on or asks the next shard about it. @param key Its key in the inbox. */
	void Decide(const std::string &key);
	void AskAbout(const std::string &key, const ServiceName &other);
	void OnJobAnswer(const std::string &key, const RouteQuestion &question, const RouteAnswer &answer);
	/** Decides about a held job after a delay; it stays busy until then. @param key Its key in the inbox. */
	void DecideLater(const std::string &key);
	void Take(const std::string &key);
	void SendOn(const std::string &key, const RouteState &state);
	void OnSentOn(const std::string &key, const ServiceName &to, ResultCode code);
	/** Records a submission or cancellation in another shard. */
	void RecordAt(const ServiceName &other, const KeyedRecord &record, const std::function<void(ResultCode)> &done);
	/** Records that a held submission belongs to another shard. */
	void Drop(const std::string &key);
	/** Records that a record of the inbox was sent on to the shards that need it. */
	void NoteRedirected(const std::string &key, uint64_t config);
	/** Relays a cancellation. @param key Its key in the inbox. */
	void Relay(const std::string &key);
	void OnRelayed(const std::string &key, ResultCode code);
};

#endif /* ROUTE_SHARDS_H */
