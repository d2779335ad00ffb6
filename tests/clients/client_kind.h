/** @file client_kind.h Kinds of clients that misbehave: what they send, at which pace, and how they read answers. */
#ifndef CLIENT_KIND_H
#define CLIENT_KIND_H

#include "jobs/job_type.h"

#include <QtGlobal>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Part of a node that clients connect to. */
enum class Door : uint8_t {
	DO_JOBS = 0,     ///< Port for callers, path of a job on a route that needs no key.
	DO_NO_ROUTE = 1, ///< Port for callers, a path without a route.
	DO_NO_KEY = 2,   ///< Port for callers, path of a job on a route that needs a key, without one.
	DO_READY = 3,    ///< Port of the load balancer.
	DO_METRICS = 4,  ///< Port of the readers of metrics.
	DO_NODES = 5,    ///< Port of the other nodes.
};

/** @return The door with a name, as on the command line; nothing if there is none. @param name The name. */
std::optional<Door> DoorNamed(const std::string &name);
/** @return Port of a door. @param first_port First port of the node. @param door The door. */
quint16 PortOf(quint16 first_port, Door door);

/** Pace at which a client sends. */
struct SendPace {
	size_t bytes = 0; ///< Bytes sent at a time; 0 for as many as the socket takes.
	Millis interval;  ///< Time between two sends.
};

/** How a client reads the answers. */
enum class ReadMode : uint8_t {
	RM_ALL = 0,     ///< At once.
	RM_SLOWLY = 1,  ///< A byte each SLOW_INTERVAL.
	RM_NOTHING = 2, ///< Not at all.
};

inline constexpr Millis SLOW_INTERVAL(1000); ///< Interval at which slow clients send or read a byte.

/** Number of ids that the clients use for their jobs. */
inline constexpr uint32_t CROWD_JOBS = 4000;

/** @return Id of a job of the clients. @param number Number of the job, from 0. */
JobId CrowdJobId(uint32_t number);

/** What the clients of one kind do. All clients of a crowd are of the same kind. */
class ClientKind {
public:
	virtual ~ClientKind() = default;

	/** @return The start of a request, up to where the body begins. @param door The door. @param job Id in the path. */
	[[nodiscard]] virtual std::string Head(Door door, const JobId &job) const;
	/** @return The body of each request. */
	[[nodiscard]] virtual const std::string &Body() const { return this->body; }
	/** @return Number of bytes at the end of the request that are never sent. */
	[[nodiscard]] virtual size_t Withheld() const { return 0; }
	/** @return Pace at which bodies are sent; heads are sent at once. */
	[[nodiscard]] virtual SendPace Pace() const { return {}; }
	/** @return How answers are read. */
	[[nodiscard]] virtual ReadMode Reading() const { return ReadMode::RM_ALL; }
	/** @return Whether a client sends its next request without awaiting the answer. */
	[[nodiscard]] virtual bool Pipelines() const { return false; }
	/** @return Whether a client closes its sending side after its request. */
	[[nodiscard]] virtual bool HalfCloses() const { return false; }
	/** @return The job that a request submits, without its id; nothing if the requests submit none. */
	[[nodiscard]] virtual std::optional<JobSpec> Job() const { return std::nullopt; }
	/** @return Maximum number of requests of all clients; 0 for no limit. */
	[[nodiscard]] virtual uint32_t RequestsMax() const { return 0; }

protected:
	/** @return Method of the requests. */
	[[nodiscard]] virtual const char *Method() const { return "POST"; }
	/** @return Header fields that frame the body, each with its line end. */
	[[nodiscard]] virtual std::string FramingFields() const;

	std::string body; ///< See Body().
};

/** @return The kind with a name, as on the command line; null if there is none. @param name The name. */
std::unique_ptr<ClientKind> MakeClientKind(const std::string &name);
/** @return Names of all kinds. */
std::vector<std::string> ClientKindNames();

#endif /* CLIENT_KIND_H */
