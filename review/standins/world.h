/** @file world.h A small deployment: node processes, the platform's stand-ins and clients, on loopback addresses. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include "minions.h"

#include "net/http_caller.h"

#include <QProcess>

/** Bounds of canopy-grid (SYSTEM.md), in ms. */
namespace bounds {
inline constexpr Millis CONTACT(3000);
inline constexpr Millis ACK_TIMEOUT(4000);
inline constexpr Millis CONFIG_APPLY(2000);
inline constexpr Millis VISIBLE(3000);
inline constexpr Millis CANCEL(3000);
inline constexpr Millis STOP(400);
inline constexpr Millis FINISH(14000);
} // namespace bounds

/** Options of a play. */
struct PlayOptions {
	std::string node;   ///< Path of glade_node.
	std::string folder; ///< Temporary folder for settings and logs.
	std::string record; ///< Path of record.txt.
	bool trouble = true;
};

/** A route of the config. */
struct RouteSpec {
	std::string name;
	std::string service;
	int64_t target_latency = 600;
};

/** A client's call and its answer. */
struct CallSpec {
	std::string method;
	std::string path;
	std::string body;
	Millis deadline = Millis(3000);
};

class World {
public:
	explicit World(const PlayOptions &options);
	~World();
	World(const World &) = delete;
	World &operator=(const World &) = delete;

	/** Starts everything. @param ready Called when all nodes call themselves ready. */
	void Start(std::function<void()> ready);
	/** Publishes a config. */
	void Publish(const std::vector<RouteSpec> &routes);
	/** Sends a client's call to a node. @param node Number of the node. */
	void Call(size_t node, const CallSpec &call, std::function<void(const HttpReply &)> done);
	/** Hands a job in as a client does: the same id at other nodes after no answer, 502, 503 or 504, within the time
	 * limit and `retries` times at most. @param done Called with the last answer. */
	void HandIn(size_t node, const CallSpec &call, int retries, std::function<void(const HttpReply &)> done);
	/** Stops a node as the platform does, with SIGTERM, and starts it again when it has ended. @param done Called when
	 * it has been started again. */
	void Restart(size_t node, std::function<void()> done);
	/** Ends the play. @param code Exit code. @param text Why. */
	void End(int code, const std::string &text);
	void After(Millis delay, std::function<void()> run) { this->scheduler.After(delay, std::move(run)); }

	PlayOptions options;
	QtScheduler scheduler;
	Record record;
	ReviewStore store;
	Minions minions;
	static constexpr size_t NODES = 3;

private:
	HttpCaller caller;
	std::vector<std::unique_ptr<QProcess>> nodes;
	std::vector<std::string> addresses; ///< `front` of each node.
	std::vector<std::string> ready_addresses;
	uint64_t version = 0;
	Millis start_limit;
	bool ended = false;

	void StartNode(size_t number, quint16 front, quint16 ready, quint16 frames, quint16 metrics);
	void AwaitReady(std::function<void()> ready);
};

#endif /* REVIEW_WORLD_H */
