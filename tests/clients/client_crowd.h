/** @file client_crowd.h Many clients of one kind, in a process of their own. */
#ifndef CLIENT_CROWD_H
#define CLIENT_CROWD_H

#include "client_kind.h"
#include "net/http_codec.h"
#include "net/qt_scheduler.h"

#include <map>

/** What a crowd does. */
struct CrowdSpec {
	std::string kind;     ///< Name of the kind of its clients.
	Door door;            ///< Where they connect.
	quint16 port = 0;     ///< Port on loopback.
	uint32_t clients = 0; ///< Number of clients.
	Millis span;          ///< How long they go on.
};

/** The clients of a crowd, on non-blocking sockets and a loop of its own. */
class ClientCrowd {
public:
	/** @param spec What it does; its kind exists. */
	explicit ClientCrowd(const CrowdSpec &spec);
	~ClientCrowd();
	ClientCrowd(const ClientCrowd &) = delete;
	ClientCrowd &operator=(const ClientCrowd &) = delete;

	/** Runs until the end of the span. */
	void Run();
	/** @return What the clients have met, in one line. */
	[[nodiscard]] std::string Summary() const;

private:
	/** A client. */
	struct Client : public ResponseHandler {
		int descriptor = -1;                    ///< Its socket; -1 while it has none.
		std::string head;                       ///< Start of its request.
		size_t sent = 0;                        ///< Bytes of the request that were sent.
		bool finished = false;                  ///< Whether it sends nothing more on this connection.
		bool wants_write = false;               ///< Whether it waits for space in the send buffer.
		Millis acts_at;                         ///< When it connects, or sends or reads again.
		std::unique_ptr<ResponseReader> reader; ///< Parses the answer.
		int status = 0;                         ///< HTTP status of the answer.

		void OnHead(ResponseHead response) override { this->status = response.status; }
		void OnBody(std::string_view /*data*/) override {}
	};

	CrowdSpec spec;                   ///< What the crowd does.
	std::unique_ptr<ClientKind> kind; ///< What its clients do.
	int epoll;                        ///< The epoll descriptor.
	std::vector<Client> clients;      ///< The clients.
	uint32_t requests = 0;            ///< Requests begun.
	uint32_t connections = 0;         ///< Connections established.
	uint32_t closed = 0;              ///< Connections that the node has closed or reset.
	std::map<int, uint32_t> answers;  ///< Answers by HTTP status.
	const MonotonicClock &clock;      ///< Time source.

	[[nodiscard]] Millis Now() const;
	void Connect(Client &client);
	void BeginRequest(Client &client);
	/** Handles events of a client's socket. @param client The client. @param events Events reported by epoll. */
	void OnEvents(Client &client, uint32_t events);
	/** Lets a client act at the time that it has waited for. @param client The client. */
	void Act(Client &client);
	void Send(Client &client);
	/** @return Bytes that are to be sent next, empty at the end of the request. @param client The client. */
	[[nodiscard]] std::string_view Unsent(const Client &client) const;
	void OnRequestSent(Client &client);
	void Read(Client &client);
	void OnAnswer(Client &client);
	void Close(Client &client);
	/** Registers what a client waits for. @param client The client. */
	void Watch(Client &client);
};

#endif /* CLIENT_CROWD_H */
