/** @file endpoint_link.cpp Connections to endpoints and peers. */
#include "endpoint_link.h"

#include "address_func.h"

#include <QPointer>

#include <algorithm>

namespace {

constexpr qint64 READ_BUFFER = 256 * 1024; ///< Bytes that Qt reads ahead; more stays with the endpoint's TCP.

/**
 * Hands a socket to Qt for deletion, without further signals.
 * @param socket The socket.
 */
void Discard(QTcpSocket *socket)
{
	socket->disconnect();
	socket->abort();
	socket->deleteLater();
}

/** A call over one connection. */
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

	/** Sends over a connection that stands. */
	void StartOn(QTcpSocket *ready)
	{
		this->socket = ready;
		this->Wire();
		/* No event may come from inside Start(): what closes meanwhile is told later. */
		this->starting = true;
		this->SendNow();
		this->starting = false;
	}

	/** Connects, then sends. */
	void StartNew()
	{
		const std::optional<NetAddress> to = ParseAddress(this->address);
		this->socket = new QTcpSocket;
		this->Wire();
		this->timer = this->scheduler.After(this->dialer.Limits().connect_wait, [this] { this->Fail(); });
		if (to) {
			QObject::connect(this->socket, &QTcpSocket::connected, this->socket, [this] { this->SendNow(); });
			this->socket->connectToHost(to->ip, to->port);
		}
	}

	void SetPaused(bool stop) override
	{
		if (this->paused == stop) {
			return;
		}
		this->paused = stop;
		if (!stop) {
			this->Later([this] { this->OnReadable(); });
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
	QtScheduler &scheduler;                                     ///< Clock and timers.
	QtDialer &dialer;                                           ///< Takes the connection back.
	std::string address;                                        ///< IP:port.
	CallEvents *events;                                         ///< Gets what happens; null once abandoned.
	std::string bytes;                                          ///< The request.
	ResponseReader reader;                                      ///< Reads the answer.
	QTcpSocket *socket = nullptr;                               ///< The connection.
	bool sent = false;                                          ///< Whether a byte was offered to the socket.
	bool paused = false;                                        ///< Whether reading is stopped.
	bool starting = false;                                      ///< Whether Start() is on the stack.
	TimerId timer;                                              ///< Connection wait.
	std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Expires with this.

	/** Runs a function when the lane is free, if this is still there. */
	void Later(std::function<void()> run)
	{
		this->scheduler.Post([still = std::weak_ptr<bool>(this->alive), run = std::move(run)] {
			if (!still.expired()) {
				run();
			}
		});
	}

	void Wire()
	{
		this->socket->setReadBufferSize(READ_BUFFER);
		QObject::connect(this->socket, &QTcpSocket::readyRead, this->socket, [this] { this->OnReadable(); });
		QObject::connect(this->socket, &QTcpSocket::stateChanged, this->socket,
						 [this](QAbstractSocket::SocketState state) {
							 if (state == QAbstractSocket::UnconnectedState) {
								 this->OnClosed();
							 }
						 });
	}

	void SendNow()
	{
		this->scheduler.Cancel(this->timer);
		this->timer = TimerId();
		if (this->socket->state() != QAbstractSocket::ConnectedState) {
			this->Later([this] { this->Fail(); });
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
		const std::weak_ptr<bool> still = this->alive;
		const QByteArray data = this->socket->readAll();
		const bool good =
				this->reader.Read(std::string_view(data.constData(), static_cast<size_t>(data.size())), *this);
		if (still.expired()) {
			return;
		}
		if (!good) {
			this->Report(CallFailure::CF_MALFORMED);
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
			this->Later([this] { this->OnClosed(); });
			return;
		}
		/* What came before the end is read even when reading is paused: the end itself can't wait. */
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
			this->Report(CallFailure::CF_NOT_CONNECTED);
		} else {
			this->Report(this->reader.HeadDone() ? CallFailure::CF_TRUNCATED : CallFailure::CF_NO_RESPONSE);
		}
	}

	void Complete()
	{
		QTcpSocket *done = std::exchange(this->socket, nullptr);
		done->disconnect();
		const bool usable = this->reader.KeepAlive() && !this->reader.HasExcess() &&
							done->state() == QAbstractSocket::ConnectedState && done->bytesAvailable() == 0;
		if (usable) {
			this->dialer.Keep(this->address, done);
		} else {
			Discard(done);
		}
		if (CallEvents *told = std::exchange(this->events, nullptr); told != nullptr) {
			told->OnResponseEnd();
		}
	}

	void Report(CallFailure failure)
	{
		this->scheduler.Cancel(this->timer);
		this->timer = TimerId();
		if (this->socket != nullptr) {
			Discard(std::exchange(this->socket, nullptr));
		}
		if (CallEvents *told = std::exchange(this->events, nullptr); told != nullptr) {
			told->OnCallFailed(failure);
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

QTcpSocket *QtDialer::Reuse(const std::string &address)
{
	auto &list = this->idle[address];
	/* The newest first: the oldest may be about to be closed by the endpoint. */
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

void QtDialer::Forget(const std::string &address, QTcpSocket *socket)
{
	auto &list = this->idle[address];
	const auto it = std::ranges::find(list, socket, &Idle::socket);
	if (it != list.end()) {
		list.erase(it);
		Discard(socket);
	}
}

void QtDialer::Keep(const std::string &address, QTcpSocket *socket)
{
	auto &list = this->idle[address];
	if (list.size() >= this->limits.idle_each) {
		Discard(list.front().socket);
		list.pop_front();
	}
	list.push_back(Idle{socket, this->scheduler.Now()});
	const auto forget = [this, address, socket] { this->Forget(address, socket); };
	QObject::connect(socket, &QTcpSocket::readyRead, socket, forget);
	QObject::connect(socket, &QTcpSocket::disconnected, socket, forget);
}

std::unique_ptr<EndpointCall> QtDialer::Start(const std::string &address, const CallerRequest &request,
											  CallEvents &events)
{
	auto call = std::make_unique<QtCall>(this->scheduler, *this, address, request, events);
	if (QTcpSocket *ready = this->Reuse(address); ready != nullptr) {
		call->StartOn(ready);
	} else {
		call->StartNew();
	}
	return call;
}
