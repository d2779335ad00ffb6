/** @file route_register.h Registration of shards for routes in the keyed log. */
#ifndef ROUTE_REGISTER_H
#define ROUTE_REGISTER_H

#include "../scheduler_type.h"
#include "../store/keyed_log.h"
#include "route_type.h"

#include <map>

/**
 * Registers one shard for routes, and finds the other shards that are registered for them. A registration is appended
 * before the others are read. So of two shards that register for a route at the same time at least one finds the other.
 */
class RouteRegister {
public:
	/** Called with RC_OK and all registrations for the routes, or with the code of the call that failed. */
	using Done = std::function<void(ResultCode, const std::vector<RouteRegistration> &)>;

	/**
	 * @param scheduler Clock.
	 * @param log The keyed log; outlives this object.
	 * @param service Service of the shard.
	 */
	RouteRegister(Scheduler &scheduler, KeyedLog &log, ServiceName service)
			: scheduler(scheduler), log(log), service(std::move(service))
	{
	}

	/**
	 * Registers the shard. One call at a time.
	 * @param routes The routes, not empty, and the versions of the configuration that send them to the service.
	 * @param done Called with the outcome.
	 */
	void Register(const std::map<RouteName, uint64_t> &routes, Done done);

private:
	Scheduler &scheduler;                                       ///< Clock.
	KeyedLog &log;                                              ///< The keyed log.
	ServiceName service;                                        ///< Service of the shard.
	std::map<RouteName, uint64_t> routes;                       ///< Routes of the call in progress.
	std::vector<RouteRegistration> found;                       ///< Registrations read so far.
	Done done;                                                  ///< Called with the outcome.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this object.

	/** Reads a page of registrations. @param after The page begins after this key. */
	void ReadPage(const std::string &after);
	void OnPage(const NewestPage &page);
	void Finish(ResultCode code);
};

#endif /* ROUTE_REGISTER_H */
