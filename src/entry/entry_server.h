/** @file entry_server.h The entry: carries callers' requests to endpoints. */
#ifndef ENTRY_SERVER_H
#define ENTRY_SERVER_H

#include "../program/program.h"
#include "credential_list.h"
#include "keeper_client.h"
#include "lane.h"
#include "peer_mail.h"

/** The entry process. */
class EntryServer : public Server {
public:
	explicit EntryServer(const Settings &settings);
	~EntryServer() override;

	bool Start() override;
	void Stop(std::function<void()> done) override;
	[[nodiscard]] QJsonObject Dump() const override;
	[[nodiscard]] bool Healthy() const override { return !this->leaving && this->path.routes.HasView(); }

private:
	Settings settings;                        ///< Settings.
	QtScheduler scheduler;                    ///< Clock and timers of the main thread.
	CredentialList credentials;               ///< Member firms.
	RequestPath path;                         ///< Shared by all requests.
	std::vector<std::unique_ptr<Lane>> lanes; ///< Threads that serve.
	size_t next_lane = 0;                     ///< Next lane to get a connection.
	CallerListener callers;                   ///< Callers connect here.
	CallerListener peers;                     ///< Entries connect here.
	PeerMail mail;                            ///< Connections to other entries of the zone.
	SlotBroker broker;                        ///< Lends and borrows slots.
	FrameServer frames;                       ///< Other entries of the zone connect here.
	KeeperClient keeper;                      ///< The keeper.
	StatusPage status;                        ///< For operators and the balancer.
	bool leaving = false;                     ///< Whether a planned stop is under way.
	Millis stop_until;                        ///< When the stop gives up waiting.

	void Take(qintptr descriptor, bool from_peer);
	void TickGates();
	void WaitForIdle(std::function<void()> done);
};

#endif /* ENTRY_SERVER_H */
