// A small HTTP/1.1 server and client on loopback, for the stand-ins of the review.
#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace rv {

namespace {

const auto START = std::chrono::steady_clock::now();

sockaddr_in AddressOf(const std::string &ip, int port)
{
	sockaddr_in out{};
	out.sin_family = AF_INET;
	out.sin_port = htons(static_cast<uint16_t>(port));
	inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
	return out;
}

std::string Lower(std::string text)
{
	std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
	return text;
}

std::string Unescape(const std::string &text)
{
	std::string out;
	for (size_t n = 0; n < text.size(); n++) {
		if (text[n] == '%' && n + 2 < text.size()) {
			out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
			n += 2;
		} else {
			out += text[n];
		}
	}
	return out;
}

} // namespace

long long NowMs()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - START).count();
}

void SleepMs(long long ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int Server::Listen(int role, const std::string &ip)
{
	const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	const int on = 1;
	::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sockaddr_in address = AddressOf(ip, 0);
	socklen_t size = sizeof(address);
	if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(fd, 256) != 0 ||
		::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
		return 0;
	}
	this->listeners.push_back(Listener{fd, role});
	return ntohs(address.sin_port);
}

void Server::DropConnections(int role)
{
	for (Connection &it : this->connections) {
		if (it.role == role && it.fd >= 0) {
			::close(it.fd);
			it.fd = -1;
		}
	}
}

void Server::SilenceConnections(int role)
{
	for (Connection &it : this->connections) {
		it.silent = it.silent || it.role == role;
	}
}

bool Server::TakeRequest(Connection &it, Request &out)
{
	const size_t end = it.in.find("\r\n\r\n");
	if (end == std::string::npos) {
		return false;
	}
	out = Request{};
	size_t from = it.in.find("\r\n");
	const std::string line = it.in.substr(0, from);
	for (from += 2; from < end + 2;) {
		const size_t to = it.in.find("\r\n", from);
		const std::string header = it.in.substr(from, to - from);
		const size_t colon = header.find(':');
		if (colon != std::string::npos) {
			const size_t value = header.find_first_not_of(' ', colon + 1);
			out.headers[Lower(header.substr(0, colon))] = value == std::string::npos ? "" : header.substr(value);
		}
		from = to + 2;
	}
	const size_t length = out.headers.contains("content-length") ? std::stoul(out.headers["content-length"]) : 0;
	if (it.in.size() < end + 4 + length) {
		return false;
	}
	out.body = it.in.substr(end + 4, length);
	it.in.erase(0, end + 4 + length);
	const size_t space = line.find(' ');
	out.method = line.substr(0, space);
	std::string target = line.substr(space + 1, line.rfind(' ') - space - 1);
	const size_t mark = target.find('?');
	out.path = target.substr(0, mark);
	for (std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1); !rest.empty();) {
		const size_t amp = rest.find('&');
		const std::string pair = rest.substr(0, amp);
		const size_t equals = pair.find('=');
		out.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : Unescape(pair.substr(equals + 1));
		rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
	}
	return true;
}

void Server::Progress(Connection &it)
{
	while (it.fd >= 0 && !it.silent) {
		if (!it.pending) {
			Request request;
			if (!this->TakeRequest(it, request)) {
				return;
			}
			it.pending = this->handler(it.role, request);
		}
		const std::optional<Response> answer = it.pending();
		if (!answer) {
			return;
		}
		it.pending = nullptr;
		if (answer->silent) {
			it.silent = true;
			return;
		}
		it.out += "HTTP/1.1 " + std::to_string(answer->status) + " S\r\nContent-Type: " + answer->type +
				  "\r\nContent-Length: " + std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
	}
}

void Server::Run()
{
	while (!this->stopped) {
		std::vector<pollfd> polls;
		for (const Listener &it : this->listeners) {
			polls.push_back(pollfd{it.fd, POLLIN, 0});
		}
		for (const Connection &it : this->connections) {
			polls.push_back(pollfd{it.fd, static_cast<short>(POLLIN | (it.out.empty() ? 0 : POLLOUT)), 0});
		}
		::poll(polls.data(), polls.size(), 1);
		const std::lock_guard<std::mutex> lock(this->mutex);
		const size_t count = this->connections.size();
		for (size_t n = 0; n < count; n++) {
			Connection &it = this->connections[n];
			const short events = polls[this->listeners.size() + n].revents;
			if (it.fd >= 0 && (events & (POLLIN | POLLHUP | POLLERR)) != 0) {
				char buf[65536];
				const ssize_t got = ::recv(it.fd, buf, sizeof(buf), 0);
				if (got > 0) {
					it.in.append(buf, static_cast<size_t>(got));
				} else if (got == 0 || (errno != EAGAIN && errno != EINTR)) {
					::close(it.fd);
					it.fd = -1;
				}
			}
			this->Progress(it);
			while (it.fd >= 0 && !it.out.empty()) {
				const ssize_t sent = ::send(it.fd, it.out.data(), it.out.size(), MSG_NOSIGNAL);
				if (sent <= 0) {
					break;
				}
				it.out.erase(0, static_cast<size_t>(sent));
			}
		}
		for (const Listener &it : this->listeners) {
			for (int fd; (fd = ::accept4(it.fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
				const int on = 1;
				::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
				Connection connection;
				connection.fd = fd;
				connection.role = it.role;
				this->connections.push_back(std::move(connection));
			}
		}
		std::erase_if(this->connections, [](const Connection &it) { return it.fd < 0; });
	}
}

Answer Call(const std::string &ip, int port, const std::string &method, const std::string &path,
			const std::string &host, const std::string &body, int timeout_ms)
{
	Answer out;
	const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const sockaddr_in address = AddressOf(ip, port);
	const long long until = NowMs() + timeout_ms;
	if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
		::close(fd);
		return out;
	}
	const std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
							 "\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) +
							 "\r\nConnection: close\r\nContent-Type: application/json\r\n" +
							 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
	::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
	std::string in;
	while (NowMs() < until) {
		pollfd it{fd, POLLIN, 0};
		if (::poll(&it, 1, static_cast<int>(until - NowMs())) <= 0) {
			break;
		}
		char buf[4096];
		const ssize_t got = ::recv(fd, buf, sizeof(buf), 0);
		if (got <= 0) {
			break;
		}
		in.append(buf, static_cast<size_t>(got));
		const size_t end = in.find("\r\n\r\n");
		const size_t length = in.find("Content-Length: ");
		if (end != std::string::npos && length != std::string::npos && length < end &&
			in.size() >= end + 4 + std::stoul(in.substr(length + 16))) {
			out.status = std::stoi(in.substr(9, 3));
			out.body = in.substr(end + 4);
			break;
		}
	}
	::close(fd);
	return out;
}

bool PortFree(const std::string &ip, int port)
{
	const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const sockaddr_in address = AddressOf(ip, port);
	const bool out = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
	::close(fd);
	return out;
}

} // namespace rv
