/** @file http_connection.cpp Persistent connections for HTTP calls, whose bodies are passed on as a whole. */
#include "http_connection.h"

#include <QtEndian>

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <ranges>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace {

constexpr size_t READ_BUFFER_BYTES = 65536; ///< Bytes read per iteration of the event loop.
/** Longest response body that is accepted. A page of the store, the longest one, takes less than 2 MB. */
constexpr size_t RESPONSE_BYTES_MAX = 16 * 1024 * 1024;
constexpr Millis EXPIRY_CHECK_INTERVAL(2000); ///< Interval between checks for connections that have been idle too long.

/** @return Socket address of an IPv4 address and port. @param to The address and port. */
sockaddr_in SocketAddress(const NetAddress &to)
{
	sockaddr_in out{};
	out.sin_family = AF_INET;
	out.sin_port = qToBigEndian(to.port);
	out.sin_addr.s_addr = qToBigEndian(to.ip.toIPv4Address());
	return out;
}

} // namespace

HttpConnection::HttpConnection(QtScheduler &scheduler, const NetAddress &to, Millis connect_wait) : scheduler(scheduler)
{
	this->Connect(to);
	this->connect_timer = this->scheduler.After(connect_wait, [this] {
		this->connect_timer = TimerId();
		this->Fail();
	});
}

HttpConnection::~HttpConnection()
{
	this->Close();
}

void HttpConnection::Connect(const NetAddress &to)
{
	this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (this->descriptor < 0) {
		this->FailLater();
		return;
	}
	const int on = 1;
	::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	const sockaddr_in address = SocketAddress(to);
	if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 &&
		errno != EINPROGRESS) {
		this->FailLater();
		return;
	}
	this->writable = std::make_unique<QSocketNotifier>(this->descriptor, QSocketNotifier::Write);
	QObject::connect(this->writable.get(), &QSocketNotifier::activated, this->writable.get(),
					 [this] { this->OnWritable(); });
	this->readable = std::make_unique<QSocketNotifier>(this->descriptor, QSocketNotifier::Read);
	this->readable->setEnabled(false);
	QObject::connect(this->readable.get(), &QSocketNotifier::activated, this->readable.get(),
					 [this] { this->OnReadable(); });
}

void HttpConnection::Call(std::string bytes, HttpConnectionEvents &events)
{
	this->events = &events;
	this->reader = std::make_unique<ResponseReader>(false);
	this->unsent = std::move(bytes);
	this->status = 0;
	this->body.clear();
	this->body_bytes = 0;
	this->send_started = false;
	if (this->connected) {
		this->Send();
	} else if (this->descriptor < 0) {
		this->FailLater();
	}
}

void HttpConnection::OnWritable()
{
	if (!this->connected) {
		int error = 0;
		socklen_t size = sizeof(error);
		::getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
		if (error != 0) {
			this->Fail();
			return;
		}
		this->connected = true;
		this->scheduler.Cancel(std::exchange(this->connect_timer, TimerId()));
		this->readable->setEnabled(true);
	}
	this->Send();
}

void HttpConnection::Send()
{
	this->send_started = this->send_started || !this->unsent.empty();
	while (!this->unsent.empty()) {
		const ssize_t n = ::send(this->descriptor, this->unsent.data(), this->unsent.size(), MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR) {
			continue;
		}
		if (n < 0 && errno != EAGAIN) {
			this->FailLater();
			return;
		}
		if (n < 0) {
			break;
		}
		this->unsent.erase(0, static_cast<size_t>(n));
	}
	this->writable->setEnabled(!this->unsent.empty());
}

void HttpConnection::OnReadable()
{
	static thread_local std::array<char, READ_BUFFER_BYTES> buf;
	const ssize_t n = ::recv(this->descriptor, buf.data(), buf.size(), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
		return;
	}
	if (this->events == nullptr) {
		this->Close(); /* The other end closed the connection or sent unsolicited data. */
		return;
	}
	if (n <= 0) {
		this->OnPeerClosed();
		return;
	}
	const bool valid = this->reader->Read(std::string_view(buf.data(), static_cast<size_t>(n)), *this);
	if (!valid || this->body_bytes > RESPONSE_BYTES_MAX) {
		this->Fail();
	} else if (this->reader->Done()) {
		this->Complete();
	}
}

void HttpConnection::OnBody(std::string_view data)
{
	this->body_bytes += data.size();
	if (this->body_bytes <= RESPONSE_BYTES_MAX) {
		this->body += data;
	}
}

void HttpConnection::OnPeerClosed()
{
	if (this->reader->Eof()) {
		this->Complete();
	} else {
		this->Fail();
	}
}

void HttpConnection::Complete()
{
	this->idle_since = this->scheduler.Now();
	if (!this->reader->KeepAlive() || this->reader->HasExcess() || !this->unsent.empty()) {
		this->Close();
	}
	std::exchange(this->events, nullptr)->OnAnswer(this->status, std::move(this->body));
}

void HttpConnection::Fail()
{
	this->Close();
	if (HttpConnectionEvents *receiver = std::exchange(this->events, nullptr); receiver != nullptr) {
		receiver->OnFailed(this->send_started);
	}
}

void HttpConnection::FailLater()
{
	this->Close();
	this->scheduler.Post([this, weak_alive = std::weak_ptr<bool>(this->alive)] {
		if (!weak_alive.expired()) {
			this->Fail();
		}
	});
}

void HttpConnection::Abandon()
{
	this->events = nullptr;
	this->Close();
}

void HttpConnection::Close()
{
	this->scheduler.Cancel(std::exchange(this->connect_timer, TimerId()));
	/* Deleted later, as a notifier's own signal may be on the stack; disabled now, before the descriptor's number can
	 * be reused. */
	for (std::unique_ptr<QSocketNotifier> *it : {&this->readable, &this->writable}) {
		if (*it) {
			(*it)->setEnabled(false);
			it->release()->deleteLater();
		}
	}
	if (this->descriptor >= 0) {
		::close(std::exchange(this->descriptor, -1));
	}
}

HttpConnectionPool::HttpConnectionPool(QtScheduler &scheduler, DialLimits limits) : scheduler(scheduler), limits(limits)
{
	this->expiry_timer = this->scheduler.After(EXPIRY_CHECK_INTERVAL, [this] { this->RemoveExpired(); });
}

HttpConnectionPool::~HttpConnectionPool()
{
	this->scheduler.Cancel(this->expiry_timer);
}

bool HttpConnectionPool::Reusable(const HttpConnection &connection) const
{
	return connection.IsIdle() && connection.IdleSince() + this->limits.idle_wait > this->scheduler.Now();
}

std::unique_ptr<HttpConnection> HttpConnectionPool::Acquire(const std::string &address)
{
	if (const auto it = this->by_address.find(address); it != this->by_address.end()) {
		/* Newest first: the other end closes the oldest ones first. */
		while (!it->second.empty()) {
			std::unique_ptr<HttpConnection> connection = std::move(it->second.back());
			it->second.pop_back();
			if (this->Reusable(*connection)) {
				return connection;
			}
		}
	}
	const std::optional<NetAddress> to = ParseAddress(address);
	return to ? std::make_unique<HttpConnection>(this->scheduler, *to, this->limits.connect_wait) : nullptr;
}

void HttpConnectionPool::Release(const std::string &address, std::unique_ptr<HttpConnection> connection)
{
	if (!connection->IsIdle()) {
		return;
	}
	auto &list = this->by_address[address];
	if (list.size() >= this->limits.idle_per_endpoint) {
		list.erase(list.begin());
	}
	list.push_back(std::move(connection));
}

void HttpConnectionPool::CloseIdle(const std::string &address, Millis since)
{
	if (const auto it = this->by_address.find(address); it != this->by_address.end()) {
		std::erase_if(it->second, [since](const auto &connection) { return connection->IdleSince() <= since; });
	}
}

void HttpConnectionPool::RemoveExpired()
{
	for (auto &list : this->by_address | std::views::values) {
		std::erase_if(list, [this](const auto &connection) { return !this->Reusable(*connection); });
	}
	std::erase_if(this->by_address, [](const auto &it) { return it.second.empty(); });
	this->expiry_timer = this->scheduler.After(EXPIRY_CHECK_INTERVAL, [this] { this->RemoveExpired(); });
}
