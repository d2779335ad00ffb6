/** @file client_crowd.cpp Many clients of one kind. */
#include "client_crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <ranges>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace {

constexpr int TICK_MS = 10;                ///< Longest time between two looks at the clients that wait for a time.
constexpr Millis RECONNECT_DELAY(200);     ///< Time from the end of a connection to the next one.
constexpr size_t READ_BYTES = 65536;       ///< Bytes read at a time by clients that read at once.
constexpr size_t EVENTS_MAX = 256;         ///< Events taken at a time.
constexpr uint32_t CONNECTS_PER_TICK = 40; ///< Connections opened at a time, fewer than a queue of new ones holds.
constexpr Millis NEVER(int64_t{1} << 40U); ///< Later than the end of any crowd.

} // namespace

ClientCrowd::ClientCrowd(const CrowdSpec &spec)
		: spec(spec), kind(MakeClientKind(spec.kind)), epoll(::epoll_create1(EPOLL_CLOEXEC)), clients(spec.clients),
		  clock(SystemClock())
{
}

ClientCrowd::~ClientCrowd()
{
	std::ranges::for_each(this->clients, [this](Client &it) { this->Close(it); });
	::close(this->epoll);
}

Millis ClientCrowd::Now() const
{
	return this->clock.Now();
}

void ClientCrowd::Run()
{
	const Millis end = this->Now() + this->spec.span;
	std::array<epoll_event, EVENTS_MAX> events{};
	while (this->Now() < end) {
		const int n = ::epoll_wait(this->epoll, events.data(), static_cast<int>(events.size()), TICK_MS);
		for (const epoll_event &it : events | std::views::take(std::max(n, 0))) {
			this->OnEvents(this->clients[it.data.u32], it.events);
		}
		const Millis now = this->Now();
		const auto due = [now](const Client &it) { return it.acts_at <= now; };
		uint32_t connects = 0;
		for (Client &it : this->clients | std::views::filter(due)) {
			if (it.descriptor >= 0 || connects++ < CONNECTS_PER_TICK) {
				this->Act(it);
			}
		}
	}
}

void ClientCrowd::Connect(Client &client)
{
	client.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	sockaddr_in to{};
	to.sin_family = AF_INET;
	to.sin_port = htons(this->spec.port);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (client.descriptor < 0 ||
		(::connect(client.descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0 &&
		 errno != EINPROGRESS)) {
		this->Close(client);
		return;
	}
	epoll_event event{};
	event.data.u32 = static_cast<uint32_t>(&client - this->clients.data());
	::epoll_ctl(this->epoll, EPOLL_CTL_ADD, client.descriptor, &event);
	this->connections++;
	client.finished = false;
	this->BeginRequest(client);
	this->Send(client);
}

void ClientCrowd::BeginRequest(Client &client)
{
	if (this->kind->RequestsMax() > 0 && this->requests >= this->kind->RequestsMax()) {
		client.finished = true;
		return;
	}
	client.head = this->kind->Head(this->spec.door, CrowdJobId(this->requests % CROWD_JOBS));
	client.sent = 0;
	client.reader = std::make_unique<ResponseReader>(false);
	this->requests++;
}

std::string_view ClientCrowd::Unsent(const Client &client) const
{
	if (client.sent < client.head.size()) {
		return std::string_view(client.head).substr(client.sent);
	}
	const std::string &body = this->kind->Body();
	const size_t end = body.size() - std::min(body.size(), this->kind->Withheld());
	const size_t begin = std::min(client.sent - client.head.size(), end);
	return std::string_view(body).substr(begin, end - begin);
}

void ClientCrowd::Send(Client &client)
{
	const SendPace pace = this->kind->Pace();
	client.wants_write = false;
	client.acts_at = NEVER;
	while (client.descriptor >= 0 && !client.finished) {
		std::string_view next = this->Unsent(client);
		if (next.empty() && this->kind->Pipelines()) {
			this->BeginRequest(client);
			continue;
		}
		if (next.empty()) {
			this->OnRequestSent(client);
			break;
		}
		const bool paced = pace.bytes > 0 && client.sent >= client.head.size();
		next = paced ? next.substr(0, pace.bytes) : next;
		const ssize_t n = ::send(client.descriptor, next.data(), next.size(), MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN) {
			this->closed++;
			this->Close(client);
			return;
		}
		client.sent += static_cast<size_t>(std::max<ssize_t>(n, 0));
		if (n < 0) {
			client.wants_write = true;
			break;
		}
		if (paced) {
			client.acts_at = this->Now() + pace.interval;
			break;
		}
	}
	this->Watch(client);
}

void ClientCrowd::OnRequestSent(Client &client)
{
	client.finished = true;
	if (this->kind->HalfCloses()) {
		::shutdown(client.descriptor, SHUT_WR);
	}
}

void ClientCrowd::Watch(Client &client)
{
	if (client.descriptor < 0) {
		return;
	}
	epoll_event event{};
	event.data.u32 = static_cast<uint32_t>(&client - this->clients.data());
	event.events = client.wants_write ? uint32_t{EPOLLOUT} : 0U;
	if (this->kind->Reading() == ReadMode::RM_ALL) {
		event.events |= EPOLLIN;
	} else if (!this->kind->HalfCloses()) {
		event.events |= EPOLLRDHUP;
	}
	if (this->kind->Reading() == ReadMode::RM_SLOWLY && client.acts_at == NEVER) {
		client.acts_at = this->Now() + SLOW_INTERVAL;
	}
	::epoll_ctl(this->epoll, EPOLL_CTL_MOD, client.descriptor, &event);
}

void ClientCrowd::OnEvents(Client &client, uint32_t events)
{
	if (client.descriptor < 0) {
		return;
	}
	if ((events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0 && this->kind->Reading() != ReadMode::RM_ALL) {
		this->closed++;
		this->Close(client);
		return;
	}
	if ((events & EPOLLOUT) != 0) {
		this->Send(client);
	}
	if (client.descriptor >= 0 && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
		this->Read(client);
	}
}

void ClientCrowd::Act(Client &client)
{
	if (client.descriptor < 0) {
		this->Connect(client);
		return;
	}
	if (this->kind->Reading() == ReadMode::RM_SLOWLY) {
		char byte = 0;
		(void)::recv(client.descriptor, &byte, sizeof(byte), 0);
		client.acts_at = this->Now() + SLOW_INTERVAL;
	} else {
		this->Send(client);
	}
}

void ClientCrowd::Read(Client &client)
{
	static std::array<char, READ_BYTES> buf;
	const ssize_t n = ::recv(client.descriptor, buf.data(), buf.size(), 0);
	if (n < 0 && errno == EAGAIN) {
		return;
	}
	if (n <= 0 || !client.reader->Read(std::string_view(buf.data(), static_cast<size_t>(n)), client)) {
		this->closed++;
		this->Close(client);
		return;
	}
	if (client.reader->Done()) {
		this->OnAnswer(client);
	}
}

void ClientCrowd::OnAnswer(Client &client)
{
	this->answers[client.status]++;
	if (client.reader->KeepAlive() && client.finished) {
		client.finished = false;
		this->BeginRequest(client);
		this->Send(client);
	} else {
		this->Close(client);
	}
}

void ClientCrowd::Close(Client &client)
{
	if (client.descriptor >= 0) {
		::close(std::exchange(client.descriptor, -1));
	}
	client.acts_at = this->Now() + RECONNECT_DELAY;
}

std::string ClientCrowd::Summary() const
{
	std::string text = "crowd kind=" + this->spec.kind + " connections=" + std::to_string(this->connections) +
					   " requests=" + std::to_string(this->requests) + " closed=" + std::to_string(this->closed);
	for (const auto &[status, count] : this->answers) {
		text += " " + std::to_string(status) + "=" + std::to_string(count);
	}
	return text;
}
