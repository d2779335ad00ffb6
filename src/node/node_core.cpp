/** @file node_core.cpp A node without its transport to callers. */
#include "node_core.h"

namespace {

constexpr Millis STORE_SEEN_WITHIN(2600); ///< A node that has not reached the store for so long asks for no new callers:
										  ///< two polls of a second each may fail.

} // namespace

NodeCore::NodeCore(Scheduler &scheduler, KeyedLog &log, BoxOrders &orders, SiteFeed &feed, EventLog &events,
				   const NodeIdentity &self)
		: scheduler(scheduler), events(events), feed(feed), self(self),
		  member(scheduler, log, events, GroupSpec{NODE_GROUP, self.frames, NODE_TOPIC, self.silence}),
		  host(OwnerParts{scheduler, log, orders, events, self.frames, self.limits}, this->member, feed, self.partitions),
		  lookup(scheduler, log, events), desk(scheduler, log, this->host, this->lookup, events, self.partitions),
		  frames([this](FrameLink &link, const MessageUnion &message) { this->OnFrame(link, message); },
				 [](FrameLink &) {})
{
	this->member.on_answer = [this] { this->host.OnMembership(); };
}

bool NodeCore::Start()
{
	const std::optional<NetAddress> address = ParseAddress(this->self.frames);
	if (!address || !this->frames.Listen(*address)) {
		return false;
	}
	this->feed.Start(*this);
	this->member.Start();
	return true;
}

void NodeCore::Leave(std::function<void()> done)
{
	this->leaving = true;
	this->host.Clear();
	this->member.Leave(std::move(done));
}

bool NodeCore::Ready() const
{
	const bool reached = this->scheduler.Now() - this->feed.FreshAt() <= STORE_SEEN_WITHIN;
	return !this->leaving && this->desk.Config().version > 0 && reached;
}

void NodeCore::OnConfig(const JobConfig &config)
{
	this->events.Write("config", {{"version", std::to_string(config.version)},
								  {"before", std::to_string(this->desk.Config().version)},
								  {"routes", std::to_string(config.routes.size())},
								  {"services", std::to_string(config.services.size())}});
	this->desk.Configure(config);
}

void NodeCore::OnWave(const WaveOrder &wave)
{
	this->events.Write("wave", {{"wave", std::to_string(wave.number)},
								{"boxes", std::to_string(wave.boxes.size())},
								{"down_max", std::to_string(wave.down_max)},
								{"within_ms", std::to_string(wave.within.Value())}});
}

void NodeCore::OnReport(const BoxReport &report)
{
	this->host.OnReport(report);
}

void NodeCore::OnReportGone(const BoxLife &life)
{
	this->host.OnReportGone(life);
}

void NodeCore::OnFrame(FrameLink &link, const MessageUnion &message)
{
	const auto *in = message.AsJobQuestion();
	if (in == nullptr) {
		this->events.Write("bad_frame", {{"kind", std::to_string(static_cast<int>(message.type))}});
		return;
	}
	const JobAnswer answer =
			this->desk.AnswerHere(JobQuestion{ServiceName(in->service), RouteName(in->route), JobId(in->job)});
	glade::wire::JobAnswerT out;
	out.number = in->number;
	out.code = static_cast<uint32_t>(answer.code);
	out.phase = static_cast<uint8_t>(answer.phase);
	out.waiting = answer.waiting;
	link.Send(MakeMessage(std::move(out)));
}
