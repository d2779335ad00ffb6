/** @file frame_link.cpp Messages between Glade processes. */
#include "frame_link.h"

#include "accept_func.h"
#include "monotonic_clock.h"

#include <QtEndian>

#include <algorithm>
#include <ranges>

namespace {

constexpr int FRAME_HEADER_BYTES = 4;           ///< Bytes of the length before each frame.
constexpr Millis CONNECT_TIMEOUT(1000);         ///< Time limit for establishing a connection.
constexpr Millis RECONNECT_DELAY(200);          ///< Delay before the next connection attempt.
constexpr int CHECK_INTERVAL_MS = 1000;         ///< Interval in ms of the checks for frames that are not completed.
constexpr qint64 READ_BUFFER_BYTES = 64 * 1024; ///< Received bytes that wait to be parsed; then TCP slows the sender.

/**
 * Aborts a socket and deletes it later, without further signals.
 * @param socket The socket.
 */
void Discard(QTcpSocket *socket)
{
	socket->disconnect();
	socket->abort();
	socket->deleteLater();
}

} // namespace

FrameLink::FrameLink(QTcpSocket *socket, const std::shared_ptr<ByteBudget> &unfinished, FrameLinkId id)
		: id(id), socket(socket), unfinished(unfinished), last_frame_at(SystemClock().Now())
{
	if (unfinished) {
		socket->setReadBufferSize(READ_BUFFER_BYTES);
	}
	socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
	QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { this->OnReadable(); });
	QObject::connect(socket, &QTcpSocket::connected, socket, [this] {
		if (this->on_connected) {
			this->on_connected();
		}
	});
	QObject::connect(socket, &QTcpSocket::stateChanged, socket, [this](QAbstractSocket::SocketState state) {
		if (state == QAbstractSocket::UnconnectedState && this->on_disconnected) {
			this->on_disconnected();
		}
	});
}

FrameLink::~FrameLink()
{
	Discard(this->socket);
}

bool FrameLink::IsConnected() const
{
	return this->socket->state() == QAbstractSocket::ConnectedState;
}

int64_t FrameLink::Pending() const
{
	return this->socket->bytesToWrite();
}

void FrameLink::Send(const MessageUnion &message)
{
	if (!this->IsConnected()) {
		return;
	}
	flatbuffers::FlatBufferBuilder builder;
	const auto body = message.Pack(builder);
	builder.Finish(glade::wire::CreateFrame(builder, message.type, body));
	char header[FRAME_HEADER_BYTES];
	qToLittleEndian<quint32>(builder.GetSize(), header);
	this->socket->write(header, FRAME_HEADER_BYTES);
	this->socket->write(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
	this->bytes_sent += builder.GetSize() + FRAME_HEADER_BYTES;
}

void FrameLink::OnReadable()
{
	const QByteArray data = this->socket->readAll();
	this->bytes_received += static_cast<uint64_t>(data.size());
	if (this->buf.isEmpty()) {
		this->partial_since = SystemClock().Now();
	}
	this->buf += data;
	while (this->ParseFrame()) {
	}
}

void FrameLink::Reserve(size_t size)
{
	if (!this->unfinished || this->share) {
		return;
	}
	this->share = std::make_unique<ByteShare>(this->unfinished);
	if (!this->share->Cover(size)) {
		this->buf.clear();
		this->socket->abort();
	}
}

bool FrameLink::ParseFrame()
{
	if (this->buf.size() < FRAME_HEADER_BYTES) {
		return false;
	}
	const quint32 size = qFromLittleEndian<quint32>(this->buf.constData());
	if (size > MAX_FRAME_BYTES) {
		this->socket->abort();
		return false;
	}
	if (this->buf.size() < FRAME_HEADER_BYTES + static_cast<qsizetype>(size)) {
		this->Reserve(size);
		return false;
	}
	this->share.reset();
	this->last_frame_at = this->partial_since = SystemClock().Now();
	const QByteArray body = this->buf.mid(FRAME_HEADER_BYTES, size);
	this->buf.remove(0, FRAME_HEADER_BYTES + static_cast<qsizetype>(size));
	const auto *data = reinterpret_cast<const uint8_t *>(body.constData());
	flatbuffers::Verifier verifier(data, size, 64, 100000000);
	if (!verifier.VerifyBuffer<glade::wire::Frame>()) {
		this->socket->abort();
		return false;
	}
	const std::unique_ptr<glade::wire::FrameT> frame(flatbuffers::GetRoot<glade::wire::Frame>(data)->UnPack());
	if (this->on_message) {
		this->on_message(frame->message);
	}
	return true;
}

FrameServer::FrameServer(OnMessage on_message, OnDisconnect on_disconnected, FrameServerLimits limits)
		: on_message(std::move(on_message)), on_disconnected(std::move(on_disconnected)), limits(std::move(limits))
{
	ResumeAfterAcceptErrors(this->server);
	QObject::connect(&this->check_timer, &QTimer::timeout, &this->server, [this] { this->CloseStalled(); });
	this->check_timer.start(CHECK_INTERVAL_MS);
	QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] { this->Accept(); });
}

bool FrameServer::Listen(const NetAddress &address)
{
	return this->server.listen(address.ip, address.port);
}

void FrameServer::Accept()
{
	while (QTcpSocket *socket = this->server.nextPendingConnection()) {
		socket->setParent(nullptr);
		this->LimitLinks();
		const FrameLinkId id(++this->last_id);
		auto link = std::make_unique<FrameLink>(socket, this->limits.unfinished, id);
		link->on_message = [this, raw = link.get()](const MessageUnion &message) { this->on_message(*raw, message); };
		link->on_disconnected = [this, id] {
			QMetaObject::invokeMethod(
					&this->server, [this, id] { this->RemoveLink(id); }, Qt::QueuedConnection);
		};
		this->links.emplace(id, std::move(link));
	}
}

void FrameServer::CloseStalled()
{
	const Millis since = SystemClock().Now() - this->limits.frame_wait;
	for (const auto &link : this->links | std::views::values) {
		if (link->StalledSince(since)) {
			link->Abort();
		}
	}
}

void FrameServer::LimitLinks()
{
	const auto open = [](const std::unique_ptr<FrameLink> &it) { return it->IsConnected(); };
	auto connected = this->links | std::views::values | std::views::filter(open);
	if (static_cast<size_t>(std::ranges::distance(connected)) < this->limits.connections) {
		return;
	}
	const auto oldest = std::ranges::min_element(connected, {}, [](const auto &it) { return it->LastFrameAt(); });
	(*oldest)->Abort();
}

void FrameServer::RemoveLink(FrameLinkId id)
{
	const auto it = this->links.find(id);
	if (it == this->links.end()) {
		return;
	}
	this->closed_bytes += it->second->bytes_sent + it->second->bytes_received;
	this->on_disconnected(*it->second);
	this->links.erase(it);
}

FrameLink::OnMessage FrameServer::ReplyTo(const FrameLink &link) const
{
	return [this, id = link.Id()](const MessageUnion &message) {
		if (const auto it = this->links.find(id); it != this->links.end()) {
			it->second->Send(message);
		}
	};
}

uint64_t FrameServer::Bytes() const
{
	uint64_t n = this->closed_bytes;
	for (const auto &link : this->links | std::views::values) {
		n += link->bytes_sent + link->bytes_received;
	}
	return n;
}

FrameClient::FrameClient(Scheduler &scheduler, std::vector<NetAddress> addresses)
		: scheduler(scheduler), addresses(std::move(addresses))
{
}

FrameClient::~FrameClient()
{
	this->scheduler.Cancel(this->timer);
}

void FrameClient::Start()
{
	this->Connect();
}

void FrameClient::Connect()
{
	this->scheduler.Cancel(this->timer);
	if (this->addresses.empty()) {
		return;
	}
	const NetAddress &address = this->addresses[this->next % this->addresses.size()];
	auto *socket = new QTcpSocket;
	if (this->link) {
		this->closed_bytes += this->link->bytes_sent + this->link->bytes_received;
	}
	this->link = std::make_unique<FrameLink>(socket);
	this->link->on_message = [this](const MessageUnion &message) {
		if (this->on_message) {
			this->on_message(message);
		}
	};
	this->link->on_connected = [this] {
		this->scheduler.Cancel(this->timer);
		if (this->on_connected) {
			this->on_connected();
		}
	};
	this->link->on_disconnected = [this] { this->OnDisconnected(); };
	this->timer = this->scheduler.After(CONNECT_TIMEOUT, [this] { this->TryNext(); });
	socket->connectToHost(address.ip, address.port);
}

void FrameClient::OnDisconnected()
{
	if (this->on_disconnected) {
		this->on_disconnected();
	}
	this->next++;
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(RECONNECT_DELAY, [this] { this->Connect(); });
}

void FrameClient::TryNext()
{
	this->next++;
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(Millis(0), [this] { this->Connect(); });
}

void FrameClient::Send(const MessageUnion &message)
{
	if (this->link) {
		this->link->Send(message);
	}
}

uint64_t FrameClient::Bytes() const
{
	return this->closed_bytes + (this->link ? this->link->bytes_sent + this->link->bytes_received : 0);
}
