/** @file http_line.cpp Kept connections for whole HTTP calls. */
#include "http_line.h"

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

constexpr size_t READ_BYTES = 65536; ///< Taken from a socket at once; what is left comes with the next turn.
constexpr Millis SWEEP_EVERY(2000);  ///< Connections that are idle for too long are closed so often.

/** @return Socket address of an IPv4 address. */
sockaddr_in SocketAddress(const NetAddress &to)
{
	sockaddr_in out{};
	out.sin_family = AF_INET;
	out.sin_port = qToBigEndian(to.port);
	out.sin_addr.s_addr = qToBigEndian(to.ip.toIPv4Address());
	return out;
}

} // namespace

HttpLine::HttpLine(QtScheduler &scheduler, const NetAddress &to, Millis connect_wait) : scheduler(scheduler)
{
	this->Connect(to);
	this->timer = this->scheduler.After(connect_wait, [this] {
		this->timer = TimerId();
		this->Fail();
	});
}

HttpLine::~HttpLine()
{
	this->Close();
}

void HttpLine::Connect(const NetAddress &to)
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

void HttpLine::Call(std::string bytes, HttpLineEvents &events)
{
	this->events = &events;
	this->reader = std::make_unique<ResponseReader>(false);
	this->unsent = std::move(bytes);
	this->status = 0;
	this->body.clear();
	this->sent = false;
	if (this->connected) {
		this->Send();
	} else if (this->descriptor < 0) {
		this->FailLater();
	}
}

void HttpLine::OnWritable()
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
		this->scheduler.Cancel(std::exchange(this->timer, TimerId()));
		this->readable->setEnabled(true);
	}
	this->Send();
}

void HttpLine::Send()
{
	this->sent = this->sent || !this->unsent.empty();
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

void HttpLine::OnReadable()
{
	static thread_local std::array<char, READ_BYTES> buf;
	const ssize_t n = ::recv(this->descriptor, buf.data(), buf.size(), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
		return;
	}
	if (this->events == nullptr) {
		this->Close(); /* The other end closes it, or says what nobody has asked for. */
		return;
	}
	if (n <= 0) {
		this->OnEnd();
		return;
	}
	if (!this->reader->Read(std::string_view(buf.data(), static_cast<size_t>(n)), *this)) {
		this->Fail();
	} else if (this->reader->Done()) {
		this->Complete();
	}
}

void HttpLine::OnEnd()
{
	if (this->reader->Eof()) {
		this->Complete();
	} else {
		this->Fail();
	}
}

void HttpLine::Complete()
{
	this->idle_since = this->scheduler.Now();
	if (!this->reader->KeepAlive() || this->reader->HasExcess() || !this->unsent.empty()) {
		this->Close();
	}
	std::exchange(this->events, nullptr)->OnAnswer(this->status, std::move(this->body));
}

void HttpLine::Fail()
{
	this->Close();
	if (HttpLineEvents *told = std::exchange(this->events, nullptr); told != nullptr) {
		told->OnFailed(this->sent);
	}
}

void HttpLine::FailLater()
{
	this->Close();
	this->scheduler.Post([this, still = std::weak_ptr<bool>(this->alive)] {
		if (!still.expired()) {
			this->Fail();
		}
	});
}

void HttpLine::Drop()
{
	this->events = nullptr;
	this->Close();
}

void HttpLine::Close()
{
	this->scheduler.Cancel(std::exchange(this->timer, TimerId()));
	/* Their own signals may be on the stack. Unregistered before the descriptor's number can be given to another. */
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

HttpLines::HttpLines(QtScheduler &scheduler, DialLimits limits) : scheduler(scheduler), limits(limits)
{
	this->timer = this->scheduler.After(SWEEP_EVERY, [this] { this->Sweep(); });
}

HttpLines::~HttpLines()
{
	this->scheduler.Cancel(this->timer);
}

bool HttpLines::Usable(const HttpLine &line) const
{
	return line.Idle() && line.IdleSince() + this->limits.idle_wait > this->scheduler.Now();
}

std::unique_ptr<HttpLine> HttpLines::Take(const std::string &address)
{
	if (const auto it = this->by_address.find(address); it != this->by_address.end()) {
		/* The newest first: the oldest may be about to be closed by the other end. */
		while (!it->second.empty()) {
			std::unique_ptr<HttpLine> line = std::move(it->second.back());
			it->second.pop_back();
			if (this->Usable(*line)) {
				return line;
			}
		}
	}
	const std::optional<NetAddress> to = ParseAddress(address);
	return to ? std::make_unique<HttpLine>(this->scheduler, *to, this->limits.connect_wait) : nullptr;
}

void HttpLines::Keep(const std::string &address, std::unique_ptr<HttpLine> line)
{
	if (!line->Idle()) {
		return;
	}
	auto &list = this->by_address[address];
	if (list.size() >= this->limits.idle_each) {
		list.erase(list.begin());
	}
	list.push_back(std::move(line));
}

void HttpLines::DropIdle(const std::string &address, Millis since)
{
	if (const auto it = this->by_address.find(address); it != this->by_address.end()) {
		std::erase_if(it->second, [since](const auto &line) { return line->IdleSince() <= since; });
	}
}

void HttpLines::Sweep()
{
	for (auto &list : this->by_address | std::views::values) {
		std::erase_if(list, [this](const auto &line) { return !this->Usable(*line); });
	}
	std::erase_if(this->by_address, [](const auto &it) { return it.second.empty(); });
	this->timer = this->scheduler.After(SWEEP_EVERY, [this] { this->Sweep(); });
}
