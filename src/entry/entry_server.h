/** @file entry_server.h The entry process: forwards callers' requests to endpoints. */
#ifndef ENTRY_SERVER_H
#define ENTRY_SERVER_H

#include "../program/program.h"
#include "credential_list.h"
#include "keeper_client.h"
#include "lane.h"
#include "peer_connections.h"

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
	Settings settings;                        ///< Settings of the process.
	QtScheduler scheduler;                    ///< Clock and timers of the main thread.
	CredentialList credentials;               ///< Credentials of client accounts.
	RequestPath path;                         ///< State shared by all requests.
	std::vector<std::unique_ptr<Lane>> lanes; ///< Threads that serve connections.
	size_t next_lane = 0;                     ///< Number of connections assigned to lanes so far.
	CallerListener caller_listener;           ///< Listener for callers.
	CallerListener peer_listener;             ///< Listener for requests from other entries.
	PeerConnections peer_connections;         ///< Connections to other entries of the zone.
	SlotBroker broker;                        ///< Lends slots to other entries and borrows slots from them.
	FrameServer frame_server;                 ///< Listener for slot messages from other entries of the zone.
	KeeperClient keeper;                      ///< Connection to a keeper.
	StatusPage status;                        ///< Status page for operators and health checks of the balancer.
	bool leaving = false;                     ///< Whether a planned stop is in progress.
	Millis stop_deadline;                     ///< Time when a planned stop ends even if requests are in progress.

	void AssignConnection(qintptr descriptor, bool from_peer);
	void UpdateGates();
	void WaitForIdle(std::function<void()> done);
};

#endif /* ENTRY_SERVER_H */
