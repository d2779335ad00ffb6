/** @file request_world.h Simulated entries, endpoints and callers under a virtual clock, with fault injection. */
#ifndef REQUEST_WORLD_H
#define REQUEST_WORLD_H

#include "node_scheduler.h"

#include "../../keeper/view_func.h"
#include "../../request/exchange.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/** How an endpoint treats requests. */
enum class EndpointBehavior : uint8_t {
	EB_ANSWER,       ///< Runs the request and answers.
	EB_REFUSE,       ///< Refuses the connection.
	EB_ACCEPT_CLOSE, ///< Accepts and closes without reading.
	EB_READ_CLOSE,   ///< Runs the request and closes without answering.
	EB_HALF_CLOSE,   ///< Runs the request, sends half of the answer and closes.
	EB_HALF_STALL,   ///< Runs the request, sends half of the answer and stalls.
	EB_LATE,         ///< Runs the request and answers after the deadline.
	EB_NOT_RUN,      ///< Answers 503 without running the request, as it does when all slots are in use.
	EB_ERROR,        ///< Runs the request and answers 500.
	EB_COUNT,        ///< Number of behaviors.
};

const char *NameOf(EndpointBehavior behavior); ///< Name for timelines and test cases.

class RequestWorld;
struct EntryNode;

/** A simulated endpoint. */
struct FakeEndpoint {
	std::string box;                                         ///< Name of its box.
	EndpointBehavior behavior = EndpointBehavior::EB_ANSWER; ///< How it treats requests.
	Millis work = Millis(5);                                 ///< Run time of a request.
	uint32_t slots = 8;                                      ///< Requests that may run at a time.
	uint32_t running = 0;                                    ///< Running requests.
	uint32_t peak = 0;                                       ///< Maximum of concurrent requests.
	std::vector<std::string> runs;                           ///< Header "Submission" of each request that ran.
};

/** A caller, with what it has received. */
struct CallerProbe : public CallerSink {
	std::string name;                   ///< Its header "Submission".
	ResponseHead head;                  ///< Received response head.
	std::string body;                   ///< Received part of the body.
	bool begun = false;                 ///< Whether a response head was received.
	bool ended = false;                 ///< Whether the answer is complete.
	bool broken = false;                ///< Whether the connection was lost.
	bool gone = false;                  ///< Whether the caller has disconnected.
	bool congested = false;             ///< Whether it accepts no data at present.
	RequestWorld *world = nullptr;      ///< Whose timeline it writes to.
	EntryNode *entry = nullptr;         ///< Entry that serves the request.
	std::shared_ptr<Exchange> exchange; ///< The request.

	void Begin(const ResponseHead &it) override;
	void Body(std::string_view data) override;
	void End() override;
	void Abort() override;
	[[nodiscard]] bool Congested() const override { return this->congested; }

	/** @return Whether the answer states that the request was not run. */
	[[nodiscard]] bool SaysNotRun() const;

	/** @return Number of the result code in the answer, 0 for none. */
	[[nodiscard]] int Code() const;
};

/** Accepts every caller; the header "Authorization" is the account name. */
class OpenCredentials : public CredentialStore {
public:
	[[nodiscard]] const Credential *Find(const std::string *authorization) const override;

private:
	mutable std::map<std::string, Credential> made; ///< Credentials by account name.
};

/** A simulated entry. */
struct EntryNode {
	EntryNode(RequestWorld &world, const std::string &name, const std::string &zone, uint64_t incarnation);

	std::string name;                       ///< Its name.
	std::string address;                    ///< Address for other entries.
	NodeScheduler scheduler;                ///< Its clock.
	OpenCredentials credentials;            ///< Credentials of callers.
	RequestPath path;                       ///< The request path.
	std::unique_ptr<EndpointDialer> dialer; ///< Connects to endpoints and other entries.
	bool cut_from_peers = false;            ///< Whether it is cut off from other entries.
	bool renew = true;                      ///< Whether it gets views and lease renewals.
	RequestWorld &world;                    ///< The simulation.
};

/** A simulation of callers, entries and endpoints. */
class RequestWorld {
public:
	explicit RequestWorld(uint32_t endpoints = 4, uint32_t entries = 2);
	~RequestWorld();

	/** Adds an entry, which joins at once. @param name Its name. @param zone Its zone. */
	EntryNode &AddEntry(const std::string &name, const std::string &zone);

	/** Publishes the current members and boxes to all live entries. */
	void PublishViews();

	/** Sends a request. @param entry Receiving entry. @param method HTTP method. @param name Header "Submission".
	 * @param key Idempotency key, empty for none. @param target Path. */
	CallerProbe &Submit(EntryNode &entry, const std::string &method, const std::string &name,
						const std::string &key = "", const std::string &target = "/misting/on");

	/** Kills an entry; the connections of its callers are lost. */
	void Kill(EntryNode &entry);

	/** Advances the clock. @param span By how much. */
	void Run(Millis span);

	/** Adds a line to the timeline. @param line The text, without the time. */
	void Note(const std::string &line);

	/** @return An idempotency key issued now. @param tail Makes it unique. */
	std::string NewKey(const std::string &tail);

	/** @return How often a submission ran at all endpoints. @param submission Its header "Submission". */
	[[nodiscard]] int RunsOf(const std::string &submission) const;

	VirtualScheduler clock;                           ///< Clock of the simulation.
	std::map<std::string, FakeEndpoint> endpoints;    ///< Endpoints by address.
	std::vector<std::unique_ptr<EntryNode>> entries;  ///< Entries, including killed ones.
	std::vector<std::unique_ptr<CallerProbe>> probes; ///< All callers.
	FleetState fleet;                                 ///< Fleet state from which views are built.
	std::string timeline;                             ///< Events, one a line.
	Millis timeline_start;                            ///< Start of the timeline.

private:
	uint64_t view_version = 0; ///< Version of the latest view.

	void Tick();
};

#endif /* REQUEST_WORLD_H */
