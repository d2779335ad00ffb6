/** @file endpoint_link.cpp Client connections to endpoints and peers. */
#include "endpoint_link.h"

#include "address_func.h"

#include <QPointer>

#include <algorithm>

namespace {

constexpr qint64 READ_BUFFER_BYTES = 256 * 1024; ///< Size of Qt's read buffer; once full, TCP slows the endpoint.

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

/** A call on one connection. */
class QtCall : public EndpointCall, public ResponseHandler {
public:
	QtCall(QtScheduler &scheduler, QtDialer &dialer, std::string address, const CallerRequest &request,
		   CallEvents &events)
			: scheduler(scheduler), dialer(dialer), address(std::move(address)), events(&events),
			  bytes(WriteRequest(request, this->address)), reader(request.method == "HEAD")
	{
	}

	~QtCall() override
	{
		this->scheduler.Cancel(this->timer);
		if (this->socket != nullptr) {
			Discard(this->socket);
		}
	}

	/** Sends the request on an established connection. @param reused The connection. */
	void StartOnConnection(QTcpSocket *reused)
	{
		this->socket = reused;
		this->ConnectSignals();
		/* QtDialer::Start() must not report events: a disconnect during the write is handled later. */
		this->starting = true;
		this->SendRequest();
		this->starting = false;
	}

	/** Opens a connection, then sends the request. */
	void StartNewConnection()
	{
		const std::optional<NetAddress> to = ParseAddress(this->address);
		this->socket = new QTcpSocket;
		this->ConnectSignals();
		this->timer = this->scheduler.After(this->dialer.Limits().connect_wait, [this] { this->Fail(); });
		/* A call to an invalid address fails after the time limit, like one to an unreachable address. */
		if (to) {
			QObject::connect(this->socket, &QTcpSocket::connected, this->socket, [this] { this->SendRequest(); });
			this->socket->connectToHost(to->ip, to->port);
		}
	}

	void SetPaused(bool pause) override
	{
		if (this->paused == pause) {
			return;
		}
		this->paused = pause;
		if (!pause) {
			this->Defer([this] { this->OnReadable(); });
		}
	}

	void Abandon() override { this->events = nullptr; }

	void OnHead(ResponseHead head) override
	{
		if (this->events != nullptr) {
			this->events->OnResponseHead(std::move(head));
		}
	}

	void OnBody(std::string_view data) override
	{
		if (this->events != nullptr) {
			this->events->OnResponseBody(data);
		}
	}

private:
	QtScheduler &scheduler;       ///< Clock and timers.
	QtDialer &dialer;             ///< Takes the connection into its pool after the call.
	std::string address;          ///< IP:port.
	CallEvents *events;           ///< Receives the call's events; null after the call has ended or been abandoned.
	std::string bytes;            ///< The serialized request.
	ResponseReader reader;        ///< Parses the response.
	QTcpSocket *socket = nullptr; ///< The connection.
	bool sent = false;            ///< Whether the request was written to the socket.
	bool paused = false;          ///< Whether reading is paused.
	bool starting = false;        ///< Whether StartOnConnection() is running.
	TimerId timer;                ///< Connection timeout.
	/** Lets callbacks detect that this object was destroyed. */
	std::shared_ptr<bool> alive = std::make_shared<bool>(true);

	/** Runs a function from the event loop, unless this object is destroyed first. @param run The function. */
	void Defer(std::function<void()> run)
	{
		this->scheduler.Post([weak_alive = std::weak_ptr<bool>(this->alive), run = std::move(run)] {
			if (!weak_alive.expired()) {
				run();
			}
		});
	}

	void ConnectSignals()
	{
		this->socket->setReadBufferSize(READ_BUFFER_BYTES);
		QObject::connect(this->socket, &QTcpSocket::readyRead, this->socket, [this] { this->OnReadable(); });
		QObject::connect(this->socket, &QTcpSocket::stateChanged, this->socket,
						 [this](QAbstractSocket::SocketState state) {
							 if (state == QAbstractSocket::UnconnectedState) {
								 this->OnClosed();
							 }
						 });
	}

	void SendRequest()
	{
		this->scheduler.Cancel(this->timer);
		this->timer = TimerId();
		if (this->socket->state() != QAbstractSocket::ConnectedState) {
			this->Defer([this] { this->Fail(); });
			return;
		}
		this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
		this->sent = true;
		this->socket->write(this->bytes.data(), static_cast<qint64>(this->bytes.size()));
		this->socket->flush();
	}

	void OnReadable()
	{
		if (this->paused || this->socket == nullptr || this->events == nullptr) {
			return;
		}
		const std::weak_ptr<bool> weak_alive = this->alive;
		const QByteArray data = this->socket->readAll();
		const bool valid =
				this->reader.Read(std::string_view(data.constData(), static_cast<size_t>(data.size())), *this);
		if (weak_alive.expired()) {
			return;
		}
		if (!valid) {
			this->ReportFailure(CallFailure::CF_MALFORMED);
		} else if (this->reader.Done()) {
			this->Complete();
		}
	}

	void OnClosed()
	{
		if (this->events == nullptr || this->socket == nullptr) {
			return;
		}
		if (this->starting) {
			this->Defer([this] { this->OnClosed(); });
			return;
		}
		/* Read the remaining data even while paused: the disconnect must be handled now. */
		this->paused = false;
		if (this->sent && this->socket->bytesAvailable() > 0) {
			this->OnReadable();
			if (this->events == nullptr || this->socket == nullptr) {
				return;
			}
		}
		if (this->reader.Eof()) {
			this->Complete();
			return;
		}
		this->Fail();
	}

	void Fail()
	{
		if (!this->sent) {
			this->ReportFailure(CallFailure::CF_NOT_CONNECTED);
		} else {
			this->ReportFailure(this->reader.HeadDone() ? CallFailure::CF_TRUNCATED : CallFailure::CF_NO_RESPONSE);
		}
	}

	void Complete()
	{
		QTcpSocket *done = std::exchange(this->socket, nullptr);
		done->disconnect();
		const bool reusable = this->reader.KeepAlive() && !this->reader.HasExcess() &&
							  done->state() == QAbstractSocket::ConnectedState && done->bytesAvailable() == 0;
		if (reusable) {
			this->dialer.KeepIdle(this->address, done);
		} else {
			Discard(done);
		}
		if (CallEvents *receiver = std::exchange(this->events, nullptr); receiver != nullptr) {
			receiver->OnResponseEnd();
		}
	}

	void ReportFailure(CallFailure failure)
	{
		this->scheduler.Cancel(this->timer);
		this->timer = TimerId();
		if (this->socket != nullptr) {
			Discard(std::exchange(this->socket, nullptr));
		}
		if (CallEvents *receiver = std::exchange(this->events, nullptr); receiver != nullptr) {
			receiver->OnCallFailed(failure);
		}
	}
};

} // namespace

QtDialer::~QtDialer()
{
	for (auto &[address, list] : this->idle) {
		std::ranges::for_each(list, [](const Idle &it) { Discard(it.socket); });
	}
}

QTcpSocket *QtDialer::TakeIdle(const std::string &address)
{
	auto &list = this->idle[address];
	/* Newest first: the endpoint closes the oldest ones first. */
	while (!list.empty()) {
		const Idle it = list.back();
		list.pop_back();
		const bool fresh = it.since + this->limits.idle_wait > this->scheduler.Now();
		it.socket->disconnect();
		if (fresh && it.socket->state() == QAbstractSocket::ConnectedState && it.socket->bytesAvailable() == 0) {
			return it.socket;
		}
		Discard(it.socket);
	}
	return nullptr;
}

void QtDialer::RemoveIdle(const std::string &address, QTcpSocket *socket)
{
	auto &list = this->idle[address];
	const auto it = std::ranges::find(list, socket, &Idle::socket);
	if (it != list.end()) {
		list.erase(it);
		Discard(socket);
	}
}

void QtDialer::KeepIdle(const std::string &address, QTcpSocket *socket)
{
	auto &list = this->idle[address];
	if (list.size() >= this->limits.idle_per_endpoint) {
		Discard(list.front().socket);
		list.pop_front();
	}
	list.push_back(Idle{socket, this->scheduler.Now()});
	const auto remove_idle = [this, address, socket] { this->RemoveIdle(address, socket); };
	QObject::connect(socket, &QTcpSocket::readyRead, socket, remove_idle);
	QObject::connect(socket, &QTcpSocket::disconnected, socket, remove_idle);
}

std::unique_ptr<EndpointCall> QtDialer::Start(const std::string &address, const CallerRequest &request,
											  CallEvents &events)
{
	auto call = std::make_unique<QtCall>(this->scheduler, *this, address, request, events);
	if (QTcpSocket *reused = this->TakeIdle(address); reused != nullptr) {
		call->StartOnConnection(reused);
	} else {
		call->StartNewConnection();
	}
	return call;
}
