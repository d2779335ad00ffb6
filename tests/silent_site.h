/** @file silent_site.h The outside of a node, for tests of its frame connections alone. */
#ifndef SILENT_SITE_H
#define SILENT_SITE_H

#include "node/node_core.h"

#include <QTcpServer>

#include <functional>
#include <string>
#include <vector>

/** The outside of a node, of which nothing ever answers. Its event loop counts as idle. */
class SilentSite : public KeyedLog,
				   public BoxOrders,
				   public SiteFeed,
				   public MachineControl,
				   public WaveReporter,
				   public LoadSource {
public:
	void Append(const PartitionId &, const std::vector<KeyedRecord> &, const AppendCondition &, Millis,
				std::function<void(KeyedAppendAnswer)>) override
	{
	}
	void Read(const PartitionId &, uint64_t, Millis, std::function<void(KeyedReadAnswer)>) override {}
	void Newest(const PartitionId &, const std::string &, std::function<void(NewestPage)>) override {}
	void Join(const std::string &, const std::string &, const std::string &, Millis, uint64_t,
			  std::function<void(GroupMembership)>) override
	{
	}
	void Leave(const std::string &, const std::string &, std::function<void()>) override {}
	void Holders(const std::string &, std::function<void(ResultCode, std::vector<PartitionHolder>)>) override {}
	void Start(const BoxReport &, const StartOrder &, BoxOrders::Done) override {}
	void Stop(const BoxReport &, const TaskId &, RunNumber, FenceToken, BoxOrders::Done) override {}
	void Lease(const BoxReport &, const LeaseOrder &, std::function<void(LeaseAnswer)>) override {}
	void Pace(const BoxReport &, const TaskId &, RunNumber, int64_t, FenceToken, BoxOrders::Done) override {}
	void Start(SiteFeedEvents &) override {}
	void WatchBoxes(bool) override {}
	void ConfirmReports(std::function<void()>) override {}
	[[nodiscard]] Millis CurrentAsOf() const override { return Millis(0); }
	[[nodiscard]] Millis LastAnswerAt() const override { return Millis(0); }
	void Confirm(std::function<void(bool)> done) override { this->confirmations.push_back(std::move(done)); }
	[[nodiscard]] uint64_t ConfigVersion() const override { return 0; }
	[[nodiscard]] const std::string &ConfigBody() const override { return this->body; }
	void TakeConfig(const std::string &) override {}
	[[nodiscard]] const EvacuatedZones &Evacuated() const override { return this->evacuated; }
	void TakeEvacuatedZones(const EvacuatedZones &) override {}
	void List(std::function<void(ResultCode, std::vector<MachineRow>)>) override {}
	void Move(const BoxName &, const ServiceName &, const ControlLease &, MachineControl::Done) override {}
	void Maintain(const BoxName &, uint64_t, const ControlLease &, MachineControl::Done) override {}
	void Publish(uint64_t, bool, std::function<void(bool)>) override {}
	[[nodiscard]] std::optional<Millis> BusyTime() const override { return Millis(0); }

	std::vector<std::function<void(bool)>> confirmations; ///< Confirmations of the configuration that were asked for.

private:
	std::string body;         ///< The configuration; none.
	EvacuatedZones evacuated; ///< The evacuated zones; none.
};

/** @return A free port on the loopback interface. */
inline quint16 FreePort()
{
	QTcpServer server;
	server.listen(QHostAddress(QHostAddress::LocalHost));
	return server.serverPort();
}

#endif /* SILENT_SITE_H */
