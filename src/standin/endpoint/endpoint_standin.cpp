/** @file endpoint_standin.cpp A small endpoint with slots and fault injection. */
#include "endpoint_standin.h"

#include <QJsonDocument>
#include <QUrl>
#include <QUrlQuery>

#include <algorithm>

namespace {

constexpr int LATE_FACTOR = 10;            ///< Factor by which EF_LATE lengthens the run time.
constexpr Millis STREAM_PART_INTERVAL(20); ///< Interval between the parts of a stream.
constexpr size_t STREAM_PART_BYTES = 1024; ///< Size of a part of a stream.

/** Sends a complete answer. @param sink Caller. @param status HTTP status. @param body Body, JSON. @param run Value of
 * the run header; null to leave it out. */
void SendAnswer(CallerSink &sink, int status, const std::string &body, const char *run = nullptr)
{
	ResponseHead head;
	head.status = status;
	head.headers.Add("Content-Type", "application/json");
	if (run != nullptr) {
		head.headers.Add(std::string(HEADER_RUN), run);
	}
	head.length = body.size();
	sink.Begin(head);
	sink.Body(body);
	sink.End();
}

QUrlQuery QueryOf(const std::string &target)
{
	return QUrlQuery(QUrl(QString::fromStdString("http://standin" + target)).query());
}

} // namespace

/** A running request. */
class EndpointRun : public ServedRequest, public std::enable_shared_from_this<EndpointRun> {
public:
	EndpointRun(EndpointStandin &endpoint, CallerSink &sink, CallerRequest request, EndpointFault fault)
			: endpoint(endpoint), sink(&sink), request(std::move(request)), fault(fault)
	{
	}

	~EndpointRun() override { this->endpoint.running--; }

	void Start()
	{
		this->endpoint.running++;
		this->endpoint.peak = std::max(this->endpoint.peak, this->endpoint.running);
		const std::string *key = this->request.headers.Find(HEADER_KEY);
		this->endpoint
				.runs[key != nullptr ? *key
									 : this->request.method + " " + this->request.target + " " + this->request.body]++;
		const QUrlQuery query = QueryOf(this->request.target);
		this->parts_left = query.queryItemValue("stream").toInt();
		Millis work = this->endpoint.settings.Duration("work");
		if (const int asked = query.queryItemValue("work_ms").toInt(); asked > 0) {
			work = Millis(asked);
		}
		if (this->fault == EndpointFault::EF_LATE) {
			work = Millis(work.Value() * LATE_FACTOR);
		}
		/* The timer holds a reference: the run continues when the caller has disconnected. */
		this->endpoint.scheduler.After(work, [self = this->shared_from_this()] { self->Finish(); });
	}

	void OnCallerDisconnected() override { this->sink = nullptr; }
	void OnCallerWritable() override {}

private:
	EndpointStandin &endpoint; ///< Endpoint that runs it.
	CallerSink *sink;          ///< Caller; null once disconnected.
	CallerRequest request;     ///< The request.
	EndpointFault fault;       ///< Fault of this request.
	int parts_left = 0;        ///< Remaining parts of a stream.

	[[nodiscard]] std::string Body() const
	{
		const std::string *tenant = this->request.headers.Find(HEADER_ACCOUNT);
		return "{\"box\":\"" + this->endpoint.settings.Text("name") + "\",\"tenant\":\"" +
			   (tenant == nullptr ? "" : *tenant) + "\",\"target\":\"" + this->request.target +
			   "\",\"bytes\":" + std::to_string(this->request.body.size()) + "}\n";
	}

	void Finish()
	{
		if (this->sink == nullptr) {
			return;
		}
		if (this->fault == EndpointFault::EF_CLOSE) {
			this->sink->Abort();
		} else if (this->fault == EndpointFault::EF_ERROR) {
			SendAnswer(*this->sink, 500, "{\"error\":\"told to fail\"}\n");
		} else if (this->fault == EndpointFault::EF_HALF || this->fault == EndpointFault::EF_STALL) {
			this->AnswerHalf();
		} else if (this->parts_left > 0) {
			this->sink->Begin(ResponseHead());
			this->SendPart();
		} else {
			SendAnswer(*this->sink, 200, this->Body());
		}
	}

	void AnswerHalf()
	{
		const std::string body = this->Body();
		ResponseHead head;
		head.length = body.size();
		this->sink->Begin(head);
		this->sink->Body(body.substr(0, body.size() / 2));
		if (this->fault == EndpointFault::EF_HALF) {
			this->sink->Abort();
		}
	}

	void SendPart()
	{
		if (this->sink == nullptr) {
			return;
		}
		if (this->parts_left-- <= 0) {
			this->sink->End();
			return;
		}
		this->sink->Body(std::string(STREAM_PART_BYTES - 1, 's') + "\n");
		this->endpoint.scheduler.After(STREAM_PART_INTERVAL, [self = this->shared_from_this()] { self->SendPart(); });
	}
};

EndpointStandin::EndpointStandin(const Settings &settings)
		: settings(settings), listener([this](qintptr descriptor) {
			  (new CallerLink(this->scheduler, *this, this->limits, this->open, descriptor))->setParent(&this->links);
		  })
{
}

bool EndpointStandin::Start()
{
	const NetAddress at = this->settings.Address("listen");
	return this->listener.listen(at.ip, at.port);
}

void EndpointStandin::Stop(std::function<void()> done)
{
	done();
}

QJsonObject EndpointStandin::Dump() const
{
	QJsonObject dump;
	dump["running"] = static_cast<qint64>(this->running);
	dump["peak"] = static_cast<qint64>(this->peak);
	dump["refused"] = static_cast<qint64>(this->refused);
	QJsonObject counts;
	for (const auto &[what, n] : this->runs) {
		counts[QString::fromStdString(what)] = n;
	}
	dump["runs"] = counts;
	return dump;
}

EndpointFault EndpointStandin::NextFault()
{
	if (this->fault_left <= 0) {
		return EndpointFault::EF_NONE;
	}
	this->fault_left--;
	return this->fault;
}

void EndpointStandin::ServeControl(CallerSink &sink, const CallerRequest &request)
{
	if (request.target.starts_with("/fault")) {
		const QUrlQuery query = QueryOf(request.target);
		this->fault = static_cast<EndpointFault>(query.queryItemValue("kind").toInt());
		this->fault_left = query.queryItemValue("count").toLongLong();
	}
	SendAnswer(sink, 200, QJsonDocument(this->Dump()).toJson(QJsonDocument::Compact).toStdString() + "\n");
}

std::shared_ptr<ServedRequest> EndpointStandin::Serve(CallerSink &sink, CallerRequest request)
{
	if (request.target.starts_with("/fault") || request.target == "/runs") {
		this->ServeControl(sink, request);
		return nullptr;
	}
	const EndpointFault now = this->NextFault();
	if (this->running >= this->settings.Number("slots") || now == EndpointFault::EF_NOT_RUN) {
		this->refused++;
		SendAnswer(sink, 503, "{\"error\":\"no slot\"}\n", "no");
		return nullptr;
	}
	auto run = std::make_shared<EndpointRun>(*this, sink, std::move(request), now);
	run->Start();
	return run;
}
