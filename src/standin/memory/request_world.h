/** @file request_world.h Entries, endpoints and callers in memory, under a virtual clock, with every fault of the
 * matrix. */
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

/** What an endpoint does with a request. */
enum class EndpointBehavior : uint8_t {
	EB_ANSWER,       ///< Runs it and answers.
	EB_REFUSE,       ///< Refuses the connection.
	EB_ACCEPT_CLOSE, ///< Accepts and closes without reading.
	EB_READ_CLOSE,   ///< Reads it, runs it, closes without answering.
	EB_HALF_CLOSE,   ///< Runs it, answers half, closes.
	EB_HALF_STALL,   ///< Runs it, answers half, stalls.
	EB_LATE,         ///< Runs it, answers after the deadline.
	EB_NOT_RUN,      ///< Answers 503, not run.
	EB_ERROR,        ///< Runs it, answers 500.
	EB_COUNT,        ///< Number of deeds.
};

const char *NameOf(EndpointBehavior behavior); ///< Word for timelines.

class RequestWorld;
struct EntryNode;

/** An endpoint. */
struct FakeEndpoint {
	std::string box;                                         ///< Its box.
	EndpointBehavior behavior = EndpointBehavior::EB_ANSWER; ///< What it does.
	Millis work = Millis(5);                                 ///< Time that a request takes.
	uint32_t slots = 8;                                      ///< Slots.
	uint32_t running = 0;                                    ///< Requests running.
	uint32_t peak = 0;                                       ///< Most that ran side by side.
	std::vector<std::string> runs;                           ///< Submissions that ran, by their header "Submission".
};

/** What a caller saw. */
struct CallerProbe : public CallerSink {
	std::string name;                   ///< Submission.
	ResponseHead head;                  ///< Head received.
	std::string body;                   ///< Body received.
	bool begun = false;                 ///< Whether a head came.
	bool ended = false;                 ///< Whether the answer is whole.
	bool broken = false;                ///< Whether the connection broke.
	bool gone = false;                  ///< Whether the caller left.
	bool congested = false;             ///< Whether it takes nothing now.
	RequestWorld *world = nullptr;      ///< For the timeline.
	EntryNode *entry = nullptr;         ///< Where it was sent.
	std::shared_ptr<Exchange> exchange; ///< The request.

	void Begin(const ResponseHead &it) override;
	void Body(std::string_view data) override;
	void End() override;
	void Abort() override;
	[[nodiscard]] bool Congested() const override { return this->congested; }

	/** @return Whether the answer says that the request was not run. */
	[[nodiscard]] bool SaysNotRun() const;

	/** @return Number of the result code, 0 for none. */
	[[nodiscard]] int Code() const;
};

/** Everybody may call; the token is the member firm's name. */
class OpenCredentials : public CredentialStore {
public:
	[[nodiscard]] const Credential *Find(const std::string *authorization) const override;

private:
	mutable std::map<std::string, Credential> made; ///< Credentials handed out.
};

/** An entry. */
struct EntryNode {
	EntryNode(RequestWorld &world, const std::string &name, const std::string &zone, uint64_t incarnation);

	std::string name;                       ///< Its name.
	std::string address;                    ///< Its address for peers.
	NodeScheduler scheduler;                ///< Its clock.
	OpenCredentials credentials;            ///< Who may call.
	RequestPath path;                       ///< The request path.
	std::unique_ptr<EndpointDialer> dialer; ///< Its calls.
	bool cut_from_peers = false;            ///< Whether peers can't reach it.
	bool renew = true;                      ///< Whether its lease is renewed.
	RequestWorld &world;                    ///< The world.
};

/** Callers, entries and endpoints of one zone or more. */
class RequestWorld {
public:
	explicit RequestWorld(uint32_t endpoints = 4, uint32_t entries = 2);
	~RequestWorld();

	/** Adds an entry that joins now. */
	EntryNode &AddEntry(const std::string &name, const std::string &zone);

	/** Publishes the present membership and boxes to all entries that live. */
	void PublishViews();

	/** Sends a request. */
	CallerProbe &Submit(EntryNode &entry, const std::string &method, const std::string &name,
						const std::string &key = "", const std::string &target = "/misting/on");

	/** Kills an entry: it does nothing any more, its callers' connections break. */
	void Kill(EntryNode &entry);

	/** Lets time pass; renews leases and ticks gates. */
	void Run(Millis span);

	/** Writes a line of the timeline. */
	void Note(const std::string &line);

	/** A key issued now. */
	std::string NewKey(const std::string &tail);

	/** How often a submission ran, over all endpoints. */
	[[nodiscard]] int RunsOf(const std::string &submission) const;

	VirtualScheduler clock;                           ///< The clock.
	std::map<std::string, FakeEndpoint> endpoints;    ///< By address.
	std::vector<std::unique_ptr<EntryNode>> entries;  ///< Entries, dead ones too.
	std::vector<std::unique_ptr<CallerProbe>> probes; ///< Callers.
	FleetState fleet;                                 ///< What views are built from.
	std::string timeline;                             ///< What happened, a line each.
	Millis began;                                     ///< Virtual time of the timeline's zero.

private:
	uint64_t view_version = 0; ///< Versions of views.

	void Tick();
};

#endif /* REQUEST_WORLD_H */
