/** @file test_handover_frames.cpp Questions about load and offers of shards over real connections. */
#include "net/qt_scheduler.h"
#include "silent_site.h"

#include <doctest/doctest.h>

#include <QEventLoop>
#include <QTimer>
#include <QtEndian>

namespace {

constexpr int LOOP_TIMEOUT_MS = 10000; ///< Time in ms after which a test has failed.

/** A node that answers with a fixed load and accepts the shard "a". */
class AnsweringNode {
public:
	/** @param old Whether the node doesn't know the messages. */
	explicit AnsweringNode(bool old)
			: old(old), server([this](FrameLink &link, const MessageUnion &message) { this->Answer(link, message); },
							   [](FrameLink &) {})
	{
		REQUIRE(this->server.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
	}

	/** @return IP:port. */
	[[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(this->server.Port()); }
	/** @return Number of open connections. */
	[[nodiscard]] size_t Links() const { return this->server.CountLinks(); }

	size_t frames = 0; ///< Frames received.

private:
	bool old;           ///< Whether the node doesn't know the messages.
	FrameServer server; ///< Its frame server.

	void Answer(FrameLink &link, const MessageUnion &message)
	{
		this->frames++;
		if (this->old) {
			return;
		}
		if (const auto *load = message.AsLoadQuestion(); load != nullptr) {
			glade::wire::LoadAnswerT out;
			out.number = load->number;
			out.cpu = 500;
			out.busy_percent = 12;
			out.shards = 3;
			out.accepts_shard = true;
			link.Send(MakeMessage(out));
		} else if (const auto *offer = message.AsHandoverQuestion(); offer != nullptr) {
			glade::wire::HandoverAnswerT out;
			out.number = offer->number;
			out.accepted =
					offer->service == "a" && offer->epoch == 7 && offer->owner == "o" && offer->busy_percent == 98;
			link.Send(MakeMessage(out));
		}
	}
};

void RunLoop(QEventLoop &loop)
{
	QTimer::singleShot(LOOP_TIMEOUT_MS, &loop, [&loop] { loop.exit(1); });
	CHECK(loop.exec() == 0);
}

} // namespace

/* Guards against answers that are assigned to another request, and against a connection for each request. */
TEST_CASE("handover frames: loads and offers are answered over one connection")
{
	QtScheduler scheduler;
	AnsweringNode node(false);
	FrameHandoverPeers peers(scheduler);
	QEventLoop loop;
	std::vector<bool> accepted;
	const auto offer = [&](const char *service, const std::function<void()> &next) {
		peers.Offer(node.Address(), HandoverOffer{ServiceName(service), 7, "o", 98}, [&accepted, next](bool it) {
			accepted.push_back(it);
			next();
		});
	};
	std::optional<NodeLoad> load;
	peers.AskLoad(node.Address(), [&](const NodeLoad &it) {
		load = it;
		offer("a", [&] { offer("b", [&] { loop.exit(0); }); });
	});
	RunLoop(loop);
	REQUIRE(load);
	CHECK(load->cpu == 500);
	CHECK(load->busy_percent == 12);
	CHECK(load->shards == 3);
	CHECK(load->accepts_shard);
	CHECK(accepted == std::vector<bool>{true, false});
	CHECK(node.Links() == 1);
}

TEST_CASE("handover frames: a node that doesn't answer gets a new connection, and requests that were not sent are "
		  "dropped")
{
	/* An offer that is sent after its owner has given up would make the other node expect a shard in vain. */
	QtScheduler scheduler;
	AnsweringNode old(true);
	FrameHandoverPeers peers(scheduler);
	QEventLoop loop;
	size_t answers = 0;
	peers.AskLoad(old.Address(), [&](const NodeLoad &) { answers++; });
	peers.EndRequests();
	scheduler.After(Millis(150), [&] {
		CHECK(old.frames == 0);
		peers.AskLoad(old.Address(), [&](const NodeLoad &) { answers++; });
	});
	scheduler.After(Millis(400), [&] {
		CHECK(old.frames == 1);
		peers.EndRequests();
		peers.AskLoad(old.Address(), [&](const NodeLoad &) { answers++; });
	});
	scheduler.After(Millis(700), [&] { loop.exit(0); });
	RunLoop(loop);
	CHECK(old.frames == 2);
	CHECK(old.Links() == 1);
	CHECK(answers == 0);
}

TEST_CASE("handover frames: a message of an unknown kind doesn't end the connection")
{
	/* Guards nodes of a version that doesn't know the messages of a newer one. */
	QtScheduler scheduler;
	std::vector<int> kinds;
	QEventLoop loop;
	FrameServer server(
			[&](FrameLink &, const MessageUnion &message) {
				kinds.push_back(static_cast<int>(message.type));
				if (kinds.size() == 2) {
					loop.exit(0);
				}
			},
			[](FrameLink &) {});
	REQUIRE(server.Listen(NetAddress{QHostAddress(QHostAddress::LocalHost), 0}));
	constexpr auto UNKNOWN_KIND = static_cast<glade::wire::Message>(200);
	const auto frame = [](glade::wire::Message kind) {
		flatbuffers::FlatBufferBuilder builder;
		const auto body = glade::wire::CreateLoadQuestion(builder, 5).Union();
		builder.Finish(glade::wire::CreateFrame(builder, kind, body));
		QByteArray out(4, 0);
		qToLittleEndian<quint32>(builder.GetSize(), out.data());
		return out + QByteArray(reinterpret_cast<const char *>(builder.GetBufferPointer()),
								static_cast<qsizetype>(builder.GetSize()));
	};
	QTcpSocket socket;
	QObject::connect(&socket, &QTcpSocket::connected, &socket, [&] {
		socket.write(frame(UNKNOWN_KIND));
		socket.write(frame(glade::wire::Message::LoadQuestion));
	});
	socket.connectToHost(QHostAddress(QHostAddress::LocalHost), server.Port());
	RunLoop(loop);
	CHECK(kinds == std::vector<int>{200, static_cast<int>(glade::wire::Message::LoadQuestion)});
}

/* Guards against nodes that know only the holders of partitions, and learn nothing when the store turns these away. */
TEST_CASE("handover frames: a node knows the nodes that have sent it requests")
{
	QtScheduler scheduler;
	SilentSite site;
	NullEventLog events;
	NodeSpec spec;
	/* Not the address from which requests come, which it would take for its own. */
	spec.frame_address = "127.0.0.2:" + std::to_string(FreePort());
	NodeCore node(scheduler, NodeInterfaces{site, site, site, site, site, events, nullptr, &site}, spec);
	REQUIRE(node.Start());
	CHECK(node.Configs().KnownPeers() == 0);
	FrameHandoverPeers peers(scheduler);
	QEventLoop loop;
	peers.AskLoad(spec.frame_address, [&](const NodeLoad &) {
		peers.AskLoad(spec.frame_address, [&loop](const NodeLoad &) { loop.exit(0); });
	});
	RunLoop(loop);
	CHECK(node.Configs().KnownPeers() == 1);
}

TEST_CASE(
		"handover frames: a node answers for its load, declines a shard that it doesn't know, and accepts none once it "
		"leaves")
{
	QtScheduler scheduler;
	SilentSite site;
	NullEventLog events;
	NodeSpec spec;
	spec.frame_address = "127.0.0.1:" + std::to_string(FreePort());
	spec.cpu = 500;
	NodeCore node(scheduler, NodeInterfaces{site, site, site, site, site, events, nullptr, &site}, spec);
	REQUIRE(node.Start());
	FrameHandoverPeers peers(scheduler);
	QEventLoop loop;
	std::vector<bool> accepts;
	std::vector<bool> accepted;
	const auto ask = [&](const std::function<void()> &next) {
		peers.AskLoad(spec.frame_address, [&accepts, next](const NodeLoad &it) {
			CHECK(it.cpu == 500);
			CHECK(it.busy_percent == 0);
			accepts.push_back(it.accepts_shard);
			next();
		});
	};
	/* The load is known after 600 ms. */
	ask([] {});
	scheduler.After(Millis(1000), [&] {
		ask([&] {
			peers.Offer(spec.frame_address, HandoverOffer{ServiceName("unknown"), 1, "127.0.0.1:1", 98}, [&](bool it) {
				accepted.push_back(it);
				node.Leave([] {});
				ask([&loop] { loop.exit(0); });
			});
		});
	});
	RunLoop(loop);
	CHECK(accepts == std::vector<bool>{false, true, false});
	CHECK(accepted == std::vector<bool>{false});
	CHECK(node.Handovers().Counters().refused == 1);
	CHECK(node.Handovers().Counters().rounds == 0);
}
