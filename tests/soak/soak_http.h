/** @file soak_http.h HTTP listener and deferred answers for the servers of the soak test. */
#ifndef SOAK_HTTP_H
#define SOAK_HTTP_H

#include "net/caller_link.h"

#include <QJsonObject>
#include <QUrlQuery>

/** A request that may be answered later; the answer is dropped when the caller has disconnected. */
class DeferredAnswer : public ServedRequest {
public:
	explicit DeferredAnswer(CallerSink &sink) : sink(&sink) {}

	void OnCallerDisconnected() override { this->sink = nullptr; }
	void OnCallerWritable() override {}

	/** Answers once. @param status HTTP status. @param body Body. */
	void Answer(int status, const std::string &body);
	/** Answers once with JSON. @param status HTTP status. @param json Body. */
	void Answer(int status, const QJsonObject &json);
	/** Closes the connection without an answer. */
	void Disconnect();

	/** @return Whether the request is unanswered and its caller connected. */
	[[nodiscard]] bool IsPending() const { return this->sink != nullptr; }

private:
	CallerSink *sink; ///< Caller; null once answered or disconnected.
};

using DeferredAnswerPtr = std::shared_ptr<DeferredAnswer>;

/** Listens on a port and passes each request to a function. */
class SoakListener : public RequestHandler {
public:
	using ServeFunction = std::function<void(const DeferredAnswerPtr &, const CallerRequest &)>;

	/** @param scheduler Event loop. @param serve Serves a request, at once or later. */
	SoakListener(QtScheduler &scheduler, ServeFunction serve);

	/** Listens on a free loopback port. @return Whether it succeeded. */
	bool Listen();
	/** @return The listening port. */
	[[nodiscard]] quint16 Port() const { return this->listener.serverPort(); }
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;

private:
	ServeFunction serve;      ///< Request handler.
	CallerLimits limits;      ///< Limits for connections.
	std::atomic<int> open{0}; ///< Open connections.
	CallerListener listener;  ///< Accepts connections.
};

/** @return The query of a target. @param target Path and query. */
QUrlQuery QueryOf(const std::string &target);
/** @return The path of a target. @param target Path and query. */
std::string PathOf(const std::string &target);
/** @return The JSON object in a body, empty if there is none. @param body The body. */
QJsonObject JsonOf(const std::string &body);
/** @return A JSON object as a body. @param json The object. */
std::string BodyOf(const QJsonObject &json);

#endif /* SOAK_HTTP_H */
