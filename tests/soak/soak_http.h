/** @file soak_http.h Small HTTP answers and listeners of the soak's stand-ins. */
#ifndef SOAK_HTTP_H
#define SOAK_HTTP_H

#include "net/caller_link.h"

#include <QJsonObject>
#include <QUrlQuery>

/** A request that is answered later, unless its caller leaves. */
class DeferredAnswer : public ServedRequest {
public:
	explicit DeferredAnswer(CallerSink &sink) : sink(&sink) {}

	void OnCallerDisconnected() override { this->sink = nullptr; }
	void OnCallerWritable() override {}

	/** Answers. @param status HTTP status. @param body The body. */
	void Answer(int status, const std::string &body);
	/** Answers with JSON. @param status HTTP status. @param json The body. */
	void Answer(int status, const QJsonObject &json);
	/** Cuts the connection. */
	void Disconnect();

	/** @return Whether the caller still waits. */
	[[nodiscard]] bool IsPending() const { return this->sink != nullptr; }

private:
	CallerSink *sink; ///< The caller's end; null once answered or gone.
};

using DeferredAnswerPtr = std::shared_ptr<DeferredAnswer>;

/** Serves each request by a function, on a port of its own. */
class SoakListener : public RequestHandler {
public:
	using ServeFunction = std::function<void(const DeferredAnswerPtr &, const CallerRequest &)>;

	/** @param scheduler Clock. @param serve Serves a request, now or later. */
	SoakListener(QtScheduler &scheduler, ServeFunction serve);

	/** Listens on a port that is free. @return Whether it does. */
	bool Listen();
	/** @return Its port. */
	[[nodiscard]] quint16 Port() const { return this->listener.serverPort(); }
	std::shared_ptr<ServedRequest> Serve(CallerSink &sink, CallerRequest request) override;

private:
	ServeFunction serve;      ///< Serves a request.
	CallerLimits limits;      ///< Of connections.
	std::atomic<int> open{0}; ///< Connections.
	CallerListener listener;  ///< Accepts.
};

/** @return The query of a target. @param target Path and query. */
QUrlQuery QueryOf(const std::string &target);
/** @return The path of a target. @param target Path and query. */
std::string PathOf(const std::string &target);
/** @return A body as JSON. @param body The body. */
QJsonObject JsonOf(const std::string &body);
/** @return JSON as a body. @param json The JSON. */
std::string BodyOf(const QJsonObject &json);

#endif /* SOAK_HTTP_H */
