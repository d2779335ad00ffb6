/** @file keeper_server.h The keeper: reads the log, serves its zone, plans its region, answers operators. */
#ifndef KEEPER_SERVER_H
#define KEEPER_SERVER_H

#include "../net/frame_link.h"
#include "../net/platform_client.h"
#include "../net/qt_scheduler.h"
#include "../program/program.h"
#include "entry_handler.h"
#include "operator_handler.h"
#include "region_planner.h"
#include "snapshot_writer.h"

/** The keeper process. */
class KeeperServer : public Server {
public:
	explicit KeeperServer(const Settings &settings);
	~KeeperServer() override;

	bool Start() override;
	void Stop(std::function<void()> done) override;
	[[nodiscard]] QJsonObject Dump() const override;

private:
	/** A connection that an entry uses. */
	struct Channel : public EntryChannel {
		explicit Channel(FrameLink &link) : link(link) {}
		void Send(const MessageUnion &message) override { this->link.Send(message); }
		FrameLink &link; ///< The connection.
	};

	Settings settings;                                        ///< Settings.
	QtScheduler scheduler;                                    ///< Clock and timers.
	PlatformClient platform;                                  ///< The platform.
	LogTail tail;                                             ///< The state.
	LogWriter writer;                                         ///< Appends.
	KeeperCore core;                                          ///< Shared by the desks.
	EntryHandler entries;                                     ///< Entries of the zone.
	OperatorHandler operators;                                ///< Operators.
	RegionPlanner planner;                                    ///< Planning.
	SnapshotWriter snapshots;                                 ///< Snapshots.
	FrameServer frames;                                       ///< Entries, keepers and operators connect here.
	std::map<FrameLink *, std::unique_ptr<Channel>> channels; ///< Entries' connections.
	std::vector<std::unique_ptr<FrameClient>> peers;          ///< Connections to other keepers.
	StatusPage status;                                        ///< For operators.
	bool held = false;                                        ///< Whether this keeper planned at the last tick.
	bool joined_asked = false;                                ///< Whether the own joining is not decided yet.

	void OnRecord(const std::vector<Decision> &decisions);
	void OnFrame(FrameLink &link, const MessageUnion &message);
	void OnPeerFrame(const MessageUnion &message);
	void FetchList();
	void FetchJobEnds();
	void PlanTick();
	void SecondTick();
	void BeatTick();
	void SendState(FrameLink &link, uint64_t above) const;
	void JoinSelf();
	void AskPeersForState();
	[[nodiscard]] bool SelfIsMember() const;
};

#endif /* KEEPER_SERVER_H */
