// A small HTTP/1.1 server and client on loopback, for the stand-ins of the review.
#pragma once
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace rv {

/** Milliseconds of the steady clock since the program started. */
long long NowMs();
/** Sleeps for some milliseconds. */
void SleepMs(long long ms);

struct Request {
	std::string method, path;                   // path without the query
	std::map<std::string, std::string> query;   // decoded
	std::map<std::string, std::string> headers; // names in lower case
	std::string body;
};

struct Response {
	int status = 200;
	std::string body = "{}";
	std::string type = "application/json";
	bool silent = false; // the answer is lost: the connection says nothing more
};

/** Called again and again until it has an answer. */
using Pending = std::function<std::optional<Response>()>;
/** Takes a request of one role (a listening socket). */
using Handler = std::function<Pending(int role, const Request &)>;

/** Serves several listening sockets on one thread. Handlers run under `mutex`. */
class Server {
public:
	explicit Server(Handler handler) : handler(std::move(handler)) {}
	/** Listens on a free port of an address. Returns the port, 0 on failure. */
	int Listen(int role, const std::string &ip);
	/** Ends all connections of a role, as the end of its process does. */
	void DropConnections(int role);
	/** Leaves all connections of a role as they are, without a further answer, as a loss of power does. */
	void SilenceConnections(int role);
	void Run(); // until Stop()
	void Stop() { this->stopped = true; }
	std::mutex mutex;

private:
	struct Connection {
		int fd = -1, role = 0;
		std::string in, out;
		Pending pending;
		bool silent = false;
	};
	struct Listener {
		int fd, role;
	};
	Handler handler;
	std::vector<Listener> listeners;
	std::vector<Connection> connections;
	bool stopped = false;
	void Progress(Connection &it);
	bool TakeRequest(Connection &it, Request &out);
};

struct Answer {
	int status = 0; // 0: no answer in time, or the connection broke
	std::string body;
};
/** Calls a server over a new connection. */
Answer Call(const std::string &ip, int port, const std::string &method, const std::string &path,
			const std::string &host, const std::string &body, int timeout_ms);
/** Whether a port of an address is free. */
bool PortFree(const std::string &ip, int port);

} // namespace rv
