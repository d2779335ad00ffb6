/** @file keeper_server.h The keeper process: reads the log, serves its zone, plans its region, answers operators. */
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

/**
 * The keeper process. Each keeper applies the log to its own copy of the fleet's state, grants the entries of its
 * availability zone views and leases, and may be the planner of its region.
 */
class KeeperServer : public Server {
public:
	explicit KeeperServer(const Settings &settings);
	~KeeperServer() override;

	bool Start() override;
	void Stop(std::function<void()> done) override;
	[[nodiscard]] QJsonObject Dump() const override;

private:
	/** Connection to an entry over frames. */
	struct Channel : public EntryChannel {
		explicit Channel(FrameLink &link) : link(link) {}
		void Send(const MessageUnion &message) override { this->link.Send(message); }
		FrameLink &link; ///< The connection.
	};

	Settings settings;                                        ///< Settings of the process.
	QtScheduler scheduler;                                    ///< Clock and timers.
	PlatformClient platform;                                  ///< Client of the platform.
	LogTail tail;                                             ///< Reads the log and applies it to the state.
	LogWriter writer;                                         ///< Appends proposals to the log.
	KeeperCore core;                                          ///< State shared by the handlers.
	EntryHandler entries;                                     ///< Serves the entries of the zone.
	OperatorHandler operators;                                ///< Handles requests of operators.
	RegionPlanner planner;                                    ///< Plans the region.
	SnapshotWriter snapshots;                                 ///< Writes snapshots to the log.
	FrameServer frames;                                       ///< Server for entries, keepers and operators.
	std::map<FrameLink *, std::unique_ptr<Channel>> channels; ///< Connections to entries.
	std::vector<std::unique_ptr<FrameClient>> peers;          ///< Connections to other keepers.
	StatusPage status;                                        ///< State dump over HTTP.
	bool was_planning = false;                                ///< Whether this keeper held the term at the last tick.
	bool join_pending = false;                                ///< Whether this keeper's join is undecided.

	void OnRecord(const std::vector<Decision> &decisions);
	void OnFrame(FrameLink &link, const MessageUnion &message);
	void OnPeerFrame(const MessageUnion &message);
	void FetchList();
	void FetchJobEnds();
	void PlanTick();
	void CheckTick();
	void HeartbeatTick();
	void SendState(FrameLink &link, uint64_t above) const;
	void JoinSelf();
	void RequestStateFromPeers();
	[[nodiscard]] bool SelfIsMember() const;
};

#endif /* KEEPER_SERVER_H */
